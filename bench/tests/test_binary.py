"""The executable file runs alone: it writes no file, starts no process and needs no other file."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from bench.binary import build
from bench.fleet import ROOT, Fleet
from bench.tests.small_fleet import SERVICE, ZONE, job_body, submit

BASE = 14
TIMEOUT_S = 20.0


@pytest.fixture(scope="module")
def binary(tmp_path_factory):
    path = tmp_path_factory.mktemp("binary") / "camphorchute"
    build(path)
    return path


def clean_environment(folder):
    """Return an environment with the base interpreter only and one folder for all files."""
    interpreter_folder = Path(sys.base_prefix, "bin")
    return {"PATH": f"{interpreter_folder}:/usr/bin:/bin", "HOME": folder, "TMPDIR": folder}


def run_binary(binary, folder, *arguments):
    return subprocess.run(
        [binary, *arguments],
        cwd=folder,
        env=clean_environment(str(folder)),
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


@pytest.mark.parametrize(
    ("arguments", "status", "output"),
    [
        (["codes"], 0, (ROOT / "docs" / "codes.md").read_text()),
        (["settings", "--markdown"], 0, (ROOT / "docs" / "settings.md").read_text()),
        (["--version"], 0, "camphorchute, version 0.1.0\n"),
        (["entry"], 2, ""),
    ],
    ids=["codes", "settings", "version", "settings missing"],
)
def test_command_prints_its_output_and_writes_no_file(binary, tmp_path, arguments, status, output):
    result = run_binary(binary, tmp_path, *arguments)
    assert (result.returncode, result.stdout) == (status, output), result.stderr
    assert list(tmp_path.iterdir()) == []


def test_help_lists_the_commands(binary, tmp_path):
    result = run_binary(binary, tmp_path, "--help")
    assert result.returncode == 0, result.stderr
    assert {"entry", "service", "job", "codes"} <= set(result.stdout.split())


def test_build_is_reproducible(binary, tmp_path):
    build(tmp_path / "again")
    assert (tmp_path / "again").read_bytes() == binary.read_bytes()


class BinaryFleet(Fleet):
    """A fleet whose entry processes run from the executable file, in an empty folder."""

    def set_binary(self, binary, folder):
        """Set the executable file and the working folder of the entry processes."""
        self.binary, self.folder = binary, folder

    def _spawn(self, name, command, environment=None):
        if command[1:3] != ["-m", "camphorchute"]:
            return super()._spawn(name, command, environment)
        process = subprocess.Popen(
            [self.binary, "entry"],
            cwd=self.folder,
            env=clean_environment(str(self.folder)) | environment,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self._processes.append(process)
        return process


@pytest.fixture(scope="module")
def entry(binary, tmp_path_factory):
    fleet = BinaryFleet([ZONE], tmp_path_factory.mktemp("logs"), BASE)
    fleet.set_binary(binary, tmp_path_factory.mktemp("empty"))
    try:
        fleet.start_platform()
        fleet.start_workers(ZONE, [1.0])
        first_entry = fleet.add_entry(ZONE, 1)
        fleet.wait_ready()
        fleet.wait_in_force(fleet.confirm_service(first_entry, fleet.definition(SERVICE)))
        assert submit(first_entry, "north:from-one-file", job_body(20))[0] == 200
        yield first_entry
        assert os.listdir(fleet.folder) == []
    finally:
        fleet.close()


def parent_pid(process_folder):
    """Return the id of the parent of a process, or None if the process has ended."""
    try:
        fields = (process_folder / "stat").read_text().rpartition(")")[2].split()
    except OSError:
        return None
    return int(fields[1])


def test_entry_has_no_child_process(entry):
    folders = [folder for folder in Path("/proc").iterdir() if folder.name.isdigit()]
    parent_pids = [parent_pid(folder) for folder in folders]
    assert os.getpid() in parent_pids
    assert entry.process.pid not in parent_pids


def test_entry_writes_nothing_to_disk(entry):
    io_counters = Path(f"/proc/{entry.process.pid}/io").read_text()
    assert "\nwrite_bytes: 0\n" in io_counters


def test_extension_modules_are_loaded_from_memory(entry):
    lines = Path(f"/proc/{entry.process.pid}/maps").read_text().splitlines()
    libraries = {line.split(maxsplit=5)[5] for line in lines if ".so" in line}
    from_files = {name for name in libraries if not name.startswith("/memfd:")}
    assert any("_greenlet" in name for name in libraries - from_files)
    assert not [name for name in from_files if "site-packages" in name]

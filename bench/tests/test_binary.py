"""The one file that ships: it needs no disk, starts no process and uses nothing beside it."""

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
    """Return an environment with the base interpreter and an empty folder for all files."""
    interpreter_folder = Path(sys.base_prefix, "bin")
    return {"PATH": f"{interpreter_folder}:/usr/bin:/bin", "HOME": folder, "TMPDIR": folder}


def run(binary, folder, *arguments):
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
def test_commands(binary, tmp_path, arguments, status, output):
    result = run(binary, tmp_path, *arguments)
    assert (result.returncode, result.stdout) == (status, output), result.stderr
    assert list(tmp_path.iterdir()) == []


def test_help_names_the_commands(binary, tmp_path):
    result = run(binary, tmp_path, "--help")
    assert result.returncode == 0, result.stderr
    assert {"entry", "service", "job", "codes"} <= set(result.stdout.split())


def test_equal_input_gives_equal_bytes(binary, tmp_path):
    build(tmp_path / "again")
    assert (tmp_path / "again").read_bytes() == binary.read_bytes()


class BinaryFleet(Fleet):
    """A fleet whose entry processes run from the one file, in an empty folder."""

    def run_from(self, binary, folder):
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
    fleet.run_from(binary, tmp_path_factory.mktemp("empty"))
    try:
        fleet.start_platform()
        fleet.start_workers(ZONE, [1.0])
        started = fleet.add_entry(ZONE, 1)
        fleet.wait_ready()
        fleet.wait_in_force(fleet.confirm_service(started, fleet.definition(SERVICE)))
        assert submit(started, "north:from-one-file", job_body(20))[0] == 200
        yield started
        assert os.listdir(fleet.folder) == []
    finally:
        fleet.close()


def parent_of(process_folder):
    """Return the id of a process's parent, None where it has ended."""
    try:
        fields = (process_folder / "stat").read_text().rpartition(")")[2].split()
    except OSError:
        return None
    return int(fields[1])


def test_entry_has_no_child_process(entry):
    folders = [folder for folder in Path("/proc").iterdir() if folder.name.isdigit()]
    parents = [parent_of(folder) for folder in folders]
    assert os.getpid() in parents
    assert entry.process.pid not in parents


def test_entry_writes_to_no_disk(entry):
    counted = Path(f"/proc/{entry.process.pid}/io").read_text()
    assert "\nwrite_bytes: 0\n" in counted


def test_compiled_modules_are_mapped_from_memory(entry):
    lines = Path(f"/proc/{entry.process.pid}/maps").read_text().splitlines()
    mapped = {line.split(maxsplit=5)[5] for line in lines if ".so" in line}
    from_files = {name for name in mapped if not name.startswith("/memfd:")}
    assert any("_greenlet" in name for name in mapped - from_files)
    assert not [name for name in from_files if "site-packages" in name]

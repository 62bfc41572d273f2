"""Run every test; a failure of a test in ``KNOWN-RED.txt`` is printed but does not count.

The tests of the program, those of the benchmark's own modules and those that start entry processes
run beside each other, since most of them wait. Those that measure the memory of a process run alone
after them.
"""

import subprocess
import sys
import tempfile
from contextlib import ExitStack
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_FIELD = "test:"
REMARK = "  # "
PROGRAM_TESTS = ["camphorchute"]
SERIAL_TESTS = ["bench/tests/test_hostile_clients.py"]
BENCH_TESTS = [
    ["bench/tests", *(f"--ignore={module}" for module in SERIAL_TESTS)],
    ["bench", "--ignore=bench/tests"],
]


def known_red_tests(text: str) -> list[str]:
    """Return the test ids of the entries of ``KNOWN-RED.txt``.

    Args:
        text: contents of the file.

    Examples:
        >>> known_red_tests("test: tests/test_x.py::test_y  # seen: 3\\ncommand: make test\\n")
        ['tests/test_x.py::test_y']
    """
    lines = [line.partition(REMARK)[0].strip() for line in text.splitlines()]
    return [line[len(TEST_FIELD) :].strip() for line in lines if line.startswith(TEST_FIELD)]


def main() -> int:
    """Run the tests with the given pytest arguments, all if none, and return the exit status.

    The listed tests are deselected from the main run and run one by one after it.
    """
    text = KNOWN_RED.read_text() if KNOWN_RED.exists() else ""
    listed_tests = known_red_tests(text)
    deselected = [f"--deselect={test}" for test in listed_tests]
    arguments = sys.argv[1:]
    status = pytest.main([*arguments, *deselected]) if arguments else _run_all(deselected)
    for test in listed_tests:
        failed = pytest.main([test])
        print(
            f"known red: {test}: {'still fails' if failed else 'passes, remove it from the list'}"
        )
    print(text)
    return int(status)


def _run_all(options: list[str]) -> int:
    """Run the tests of the benchmark in processes of their own; return the highest exit status."""
    with ExitStack() as stack:
        outputs = [stack.enter_context(tempfile.TemporaryFile("w+")) for _ in BENCH_TESTS]
        bench_runs = [
            subprocess.Popen(
                [sys.executable, "-m", "pytest", *tests, *options],
                cwd=ROOT,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
            for tests, output in zip(BENCH_TESTS, outputs, strict=True)
        ]
        # In this process, the event loop of the tests would collect the exit status of the others.
        program_run = [sys.executable, "-m", "pytest", *PROGRAM_TESTS, *options]
        statuses = [abs(subprocess.run(program_run, cwd=ROOT, check=False).returncode)]
        for bench_run, output in zip(bench_runs, outputs, strict=True):
            statuses.append(abs(bench_run.wait()))
            output.seek(0)
            print(output.read())
    serial_run = [sys.executable, "-m", "pytest", *SERIAL_TESTS, *options]
    statuses.append(abs(subprocess.run(serial_run, cwd=ROOT, check=False).returncode))
    return max(statuses)


if __name__ == "__main__":
    sys.exit(main())

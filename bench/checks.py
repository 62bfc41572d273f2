"""Run every test; a test listed in ``KNOWN-RED.txt`` is run, printed and not counted."""

import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_FIELD = "test:"


def known_red_tests(text: str) -> list[str]:
    """Return the test ids named by the entries of the list.

    Examples:
        >>> known_red_tests("test: bench/tests/test_x.py::test_y\\ncommand: make test\\n")
        ['bench/tests/test_x.py::test_y']
    """
    lines = [line.strip() for line in text.splitlines()]
    return [line[len(TEST_FIELD) :].strip() for line in lines if line.startswith(TEST_FIELD)]


def main() -> int:
    """Run the checks and return the exit status."""
    text = KNOWN_RED.read_text() if KNOWN_RED.exists() else ""
    known = known_red_tests(text)
    deselected = [f"--deselect={test}" for test in known]
    status = pytest.main([*sys.argv[1:], *deselected])
    for test in known:
        red = pytest.main([test])
        print(f"known red: {test}: {'still fails' if red else 'passes now, take it off the list'}")
    print(text)
    return int(status)


if __name__ == "__main__":
    sys.exit(main())

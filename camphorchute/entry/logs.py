"""Destination of log messages."""

import sys

from eliot import to_file

__all__ = ["start_logs"]

STANDARD_ERROR = "-"


def start_logs(log_file: str) -> None:
    """Write log messages, one JSON object per line, to a file or to standard error.

    Args:
        log_file: path of the file; ``-`` for standard error.
    """
    if log_file == STANDARD_ERROR:
        to_file(sys.stderr)
    else:
        to_file(open(log_file, "a", encoding="utf-8"))  # noqa: SIM115 - kept for the whole run

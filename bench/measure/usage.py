"""Processor time and memory of processes, read from ``/proc``."""

import os
from collections.abc import Iterable
from pathlib import Path

__all__ = ["Usage", "read_usage", "total_usage"]

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KB_PER_MB = 1024


class Usage:
    """Resource usage of a process.

    Attributes:
        cpu_s: processor time in user and kernel mode since the process started, in seconds.
        rss_mb: current resident memory in megabytes.
    """

    __slots__ = ("cpu_s", "rss_mb")

    def __init__(self, cpu_s: float = 0.0, rss_mb: float = 0.0) -> None:
        self.cpu_s = cpu_s
        self.rss_mb = rss_mb


def read_usage(pid: int) -> Usage:
    """Return the resource usage of a process.

    Args:
        pid: process id.

    Raises:
        FileNotFoundError: the process does not exist.
        ProcessLookupError: the process ended while it was read.
        StopIteration: the process has ended but was not waited for, so it has no memory.

    Examples:
        >>> read_usage(os.getpid()).rss_mb > 1
        True
    """
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    rss_kb = next(int(line.split()[1]) for line in lines if line.startswith("VmRSS:"))
    return Usage((int(fields[11]) + int(fields[12])) / TICKS_PER_S, rss_kb / KB_PER_MB)


def total_usage(pids: Iterable[int]) -> Usage:
    """Return the summed usage of the processes that still run."""
    total = Usage()
    for pid in pids:
        try:
            usage = read_usage(pid)
        except (FileNotFoundError, ProcessLookupError, StopIteration):
            continue
        total.cpu_s += usage.cpu_s
        total.rss_mb += usage.rss_mb
    return total

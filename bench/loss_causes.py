"""Sorts the jobs that were not served in time by cause, from the logs of entry processes.

``python -m bench.loss_causes LOG...`` prints a table. A line of a log is a JSON object, with or
without a prefix such as a time and the name of a VM.
"""

import re
import sys
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path

import click
import msgspec

__all__ = ["CAUSES", "cause_of", "count_causes", "read_lines"]

Line = dict[str, object]
Cause = Callable[[Line], bool]
CAUSES: dict[str, Cause] = {}
JSON_START = re.compile(r"\{.*\}")


def register_cause(name: str) -> Callable[[Cause], Cause]:
    """Return a decorator that adds a cause; the first one that applies to a line is counted."""

    def add(cause: Cause) -> Cause:
        CAUSES[name] = cause
        return cause

    return add


def _is_not_done(line: Line, outcome: str) -> bool:
    return line.get("text") == "queues: job not done" and line.get("outcome") == outcome


def _has_tasks(line: Line, state: str) -> bool:
    tasks = line.get("tasks")
    return isinstance(tasks, dict) and state in tasks


@register_cause("no scheduler known")
def _had_no_scheduler(line: Line) -> bool:
    return line.get("text") == "queues: refused, no worker"


@register_cause("refused on arrival")
def _was_refused(line: Line) -> bool:
    return line.get("text") == "queues: refused, too long a wait"


@register_cause("caller gone")
def _lost_its_caller(line: Line) -> bool:
    return line.get("text") == "queues: job not done" and line.get("waiters") == 0


@register_cause("returned after waiting")
def _waited_in_vain(line: Line) -> bool:
    return _is_not_done(line, "not run")


@register_cause("task failed")
def _failed(line: Line) -> bool:
    return _is_not_done(line, "failed")


@register_cause("lost with its scheduler")
def _lost_its_scheduler(line: Line) -> bool:
    return _is_not_done(line, "some tasks may have run") and _has_tasks(line, "may_run")


@register_cause("started, then no capacity")
def _ran_in_part(line: Line) -> bool:
    return _is_not_done(line, "some tasks may have run") and _has_tasks(line, "waiting")


@register_cause("overdue run")
def _had_an_overdue_run(line: Line) -> bool:
    return _is_not_done(line, "some tasks may have run")


@register_cause("late: waited for capacity")
def _was_late_by_waiting(line: Line) -> bool:
    return line.get("text") == "queues: job done late" and bool(line.get("had_to_wait"))


@register_cause("late: a task ran again")
def _was_late_by_a_restart(line: Line) -> bool:
    return line.get("text") == "queues: job done late" and bool(line.get("restarted"))


@register_cause("late: a slow run")
def _was_late_by_a_slow_run(line: Line) -> bool:
    return line.get("text") == "queues: job done late"


def cause_of(line: Line) -> str | None:
    """Return the cause that a log line shows, None if it is not about a job served badly.

    Examples:
        >>> cause_of({"text": "queues: refused, no worker", "job": "5c0e7a21d94b36f8"})
        'no scheduler known'
        >>> cause_of({"text": "entry: started"}) is None
        True
    """
    return next((name for name, applies in CAUSES.items() if applies(line)), None)


def read_lines(texts: Iterable[str]) -> Iterable[Line]:
    """Yield the JSON objects in lines of text; other lines are skipped."""
    for text in texts:
        match = JSON_START.search(text)
        if match is None:
            continue
        try:
            line = msgspec.json.decode(match[0])
        except (msgspec.DecodeError, UnicodeDecodeError):
            continue
        if isinstance(line, dict):
            yield line


def count_causes(lines: Iterable[Line]) -> tuple[Counter, int]:
    """Return the number of jobs by cause, and the number of lines that the logs left out."""
    counts: Counter = Counter()
    left_out = 0
    for line in lines:
        cause = cause_of(line)
        if cause is not None:
            counts[cause] += 1
        dropped = line.get("left_out")
        left_out += dropped if isinstance(dropped, int) else 0
    return counts, left_out


@click.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
def main(logs: tuple[Path, ...]) -> None:
    """Print the number of jobs by cause, from the LOGS of all processes."""
    lines = (line for log in logs for line in read_lines(log.read_text("utf-8").splitlines()))
    counts, left_out = count_causes(lines)
    for name in CAUSES:
        print(f"{counts[name]:7}  {name}")
    print(f"{left_out:7}  lines left out by the limit on the rate of log lines")


if __name__ == "__main__":
    sys.exit(main())

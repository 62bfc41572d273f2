"""Order of the events on tasks at one scheduler, each with the calls that led to it."""

import sys
import time
from collections import defaultdict
from collections.abc import Callable

from camphorchute.runs import GroupScheduler, PendingTask, Run

__all__ = ["TaskTrace"]

TRACED_METHODS = (
    "_accept_task",
    "requeue",
    "run_ended",
    "start_refused",
    "finish_task",
    "_stop_task",
)
FRAMES_SHOWN = 6


class TaskTrace:
    """Records the calls of some methods of a scheduler by task.

    Args:
        name: member id of the scheduler's process.
        scheduler: the scheduler, whose methods are wrapped.
    """

    __slots__ = ("_name", "_rows")

    def __init__(self, name: str, scheduler: GroupScheduler) -> None:
        self._name = name
        self._rows: dict[str, list[tuple[float, str]]] = defaultdict(list)
        for method in TRACED_METHODS:
            if hasattr(scheduler, method):
                setattr(scheduler, method, self._traced(method, getattr(scheduler, method)))

    def rows_of(self, task: str) -> list[tuple[float, str]]:
        """Return monotonic time in seconds and description of the events on a task."""
        return list(self._rows.get(task, ()))

    def record(self, task: str, text: str) -> None:
        """Record an event on a task now.

        Args:
            task: name of the task.
            text: description of the event.
        """
        self._rows[task].append((time.monotonic(), f"{self._name} {text}"))

    def _traced(self, name: str, method: Callable) -> Callable:
        def call(*arguments: object, **fields: object) -> object:
            task = next((a for a in arguments if isinstance(a, PendingTask)), None)
            run = next((a for a in arguments if isinstance(a, Run)), None)
            if task is None and run is not None:
                task = run.task
            values = [_shown(value) for value in (*arguments, *fields.values())]
            text = f"{self._name} {name}({', '.join(values)}) from {_call_path()}"
            if task is not None:
                self._rows[task.name].append((time.monotonic(), text))
            return method(*arguments, **fields)

        return call


def _shown(value: object) -> str:
    if isinstance(value, PendingTask):
        return f"next_run={value.next_run} may_run={value.may_run}"
    if isinstance(value, Run):
        return f"run={value.number} {value.state.name}"
    entry = getattr(value, "entry", None)
    if entry is not None:
        return f"worker={entry.worker_id}/{entry.incarnation}"
    return getattr(value, "name", None) or str(value)


def _call_path() -> str:
    """Return the functions that led to a traced call, innermost first."""
    frame = sys._getframe(2)
    names: list[str] = []
    while frame is not None and len(names) < FRAMES_SHOWN:
        if "camphorchute" in frame.f_code.co_filename:
            names.append(f"{frame.f_code.co_qualname}:{frame.f_lineno}")
        frame = frame.f_back
    return " < ".join(names)

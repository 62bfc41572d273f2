"""Start bindings: the workers on which a task may still start, or its run still go on."""

from __future__ import annotations

import time
from collections import OrderedDict

from camphorchute.runs.late_commands import LATE_ARRIVAL_MAX_S
from camphorchute.runs.start_binding import StartBinding

__all__ = ["StartBindings"]

BOUND_MAX_S = 120.0  # that another process can bind a task for
MS_PER_S = 1000.0


class StartBindings:
    """The workers that the tasks of a scheduler are bound to, by name of the task.

    A start command without an answer may be carried out by this incarnation of its worker or by the
    next, which has seen neither the fencing token in force nor a stop command. Until no such
    command can arrive, its task may start on that worker only: the same run there is one run,
    however often and by whom it is started. The binding outlives the task, as its job may be sent
    again. A run that was stopped, or left to another scheduler, while renewals without an answer
    may keep it alive binds its task in the same way, until its end is known.

    A task may be bound to several workers, as other processes may have sent start commands too. It
    starts nowhere then until all bindings but one are over.

    Examples:
        >>> bindings = StartBindings()
        >>> bindings.record_sent("5c0e7a21d94b36f8.0.0.1", "w1", 1, incarnation=100)
        >>> bindings.allows("5c0e7a21d94b36f8.0.0.1", "w1")
        True
        >>> bindings.allows("5c0e7a21d94b36f8.0.0.1", "w2")
        False
        >>> bindings.record_answer("5c0e7a21d94b36f8.0.0.1", "w1")
        >>> bindings.allows("5c0e7a21d94b36f8.0.0.1", "w2")
        True
    """

    __slots__ = ("_by_task", "_unanswered_by_worker")

    def __init__(self) -> None:
        self._by_task: OrderedDict[str, list[StartBinding]] = OrderedDict()
        self._unanswered_by_worker: dict[str, set[str]] = {}

    def record_sent(self, task: str, worker_id: str, number: int, incarnation: int) -> None:
        """Bind a task to a worker while a start command is under way.

        Args:
            task: name of the task.
            worker_id: id of the worker.
            number: number of the run.
            incarnation: incarnation of the worker that the command is sent to.
        """
        binding = self._bind(task, worker_id)
        binding.set_run(number)
        binding.add_incarnation(incarnation)
        binding.under_way += 1

    def record_answer(self, task: str, worker_id: str) -> None:
        """Record that a start command for a task was answered, or was not sent.

        Args:
            task: name of the task.
            worker_id: id of the worker that it is for.
        """
        self._on_worker(task, worker_id).under_way -= 1
        self._drop_closed(task)

    def record_no_answer(self, task: str, worker_id: str) -> None:
        """Record that a start command for a task has no answer.

        Args:
            task: name of the task.
            worker_id: id of the worker that it is for.
        """
        binding = self._on_worker(task, worker_id)
        binding.under_way -= 1
        self._extend(task, binding, LATE_ARRIVAL_MAX_S)

    def add(self, task: str, worker_id: str, number: int, duration_ms: float) -> None:
        """Bind a task that another process has sent a start command for.

        Args:
            task: name of the task.
            worker_id: id of the worker.
            number: number of the run.
            duration_ms: for how long the command may arrive from now on, in milliseconds.
        """
        binding = self._bind(task, worker_id)
        binding.set_run(number)
        self._extend(task, binding, duration_ms / MS_PER_S)

    def record_unended(self, task: str, worker_id: str, number: int, until_s: float) -> None:
        """Bind a task whose run may go on, as commands that may arrive renew its lease.

        Args:
            task: name of the task.
            worker_id: id of the worker.
            number: number of the run.
            until_s: monotonic time in seconds by which the run has ended.

        Examples:
            >>> bindings = StartBindings()
            >>> bindings.record_unended("5c0e7a21d94b36f8.0.0.1", "w1", 1, time.monotonic() + 2.0)
            >>> bindings.allows("5c0e7a21d94b36f8.0.0.1", "w2")
            False
            >>> bindings.record_end("5c0e7a21d94b36f8.0.0.1", "w1", 1)
            >>> bindings.allows("5c0e7a21d94b36f8.0.0.1", "w2")
            True
        """
        binding = self._bind(task, worker_id)
        if number > binding.number:
            binding.number, binding.is_repeatable = number, False
        binding.active_until_s = max(binding.active_until_s, until_s)
        self._note_unanswered(task, worker_id)

    def record_end(self, task: str, worker_id: str, number: int) -> None:
        """Record that a run has ended; a start command for its task may still arrive.

        Args:
            task: name of the task.
            worker_id: id of the worker.
            number: number of the run.
        """
        binding = self._on_worker(task, worker_id)
        if binding is not None and number >= binding.number:
            binding.active_until_s = 0.0
            self._drop_closed(task)

    def _bind(self, task: str, worker_id: str) -> StartBinding:
        binding = self._on_worker(task, worker_id)
        if binding is None or not binding.is_open():
            self._drop_closed(task)
            binding = StartBinding(worker_id)
            self._by_task.setdefault(task, []).append(binding)
        self._by_task.move_to_end(task)
        return binding

    def _on_worker(self, task: str, worker_id: str) -> StartBinding | None:
        """Return the binding of a task to a worker, which may have been closed meanwhile."""
        for binding in self._by_task.get(task, ()):
            if binding.worker_id == worker_id:
                return binding
        return None

    def _open_bindings(self, task: str) -> list[StartBinding]:
        """Return the bindings of a task that are open."""
        return [binding for binding in self._by_task.get(task, ()) if binding.is_open()]

    def _drop_closed(self, task: str) -> None:
        """Forget the bindings of a task that are closed."""
        if task not in self._by_task:
            return
        bindings = self._open_bindings(task)
        if bindings:
            self._by_task[task] = bindings
        else:
            del self._by_task[task]

    def _extend(self, task: str, binding: StartBinding, duration_s: float) -> None:
        until_s = time.monotonic() + min(duration_s, BOUND_MAX_S)
        binding.unanswered_until_s = max(binding.unanswered_until_s, until_s)
        self._note_unanswered(task, binding.worker_id)

    def _note_unanswered(self, task: str, worker_id: str) -> None:
        self._unanswered_by_worker.setdefault(worker_id, set()).add(task)
        while self._by_task and not self._open_bindings(next(iter(self._by_task))):
            self._by_task.popitem(last=False)

    def mark_unrepeatable(self, task: str, worker_id: str) -> None:
        """Record that a worker does not start the run of a task again.

        Args:
            task: name of the task.
            worker_id: id of the worker.
        """
        binding = self._on_worker(task, worker_id)
        if binding is not None:
            binding.is_repeatable = False

    def mark_over(self, task: str, is_over: bool) -> None:
        """Record whether a task has ended, so that its run must not begin.

        Args:
            task: name of the task.
            is_over: whether it has ended.
        """
        for binding in self._open_bindings(task):
            binding.is_over = is_over

    def of_task(self, task: str) -> StartBinding | None:
        """Return the longest binding of a task, None if it may start on any worker.

        Args:
            task: name of the task.
        """
        if task not in self._by_task:
            return None
        self._drop_closed(task)
        bindings = self._by_task.get(task, ())
        return max(bindings, key=StartBinding.remaining_ms, default=None)

    def allows(self, task: str, worker_id: str) -> bool:
        """Return whether a task may be started on a worker, as it is bound to no other one.

        Args:
            task: name of the task.
            worker_id: id of the worker.
        """
        return all(binding.worker_id == worker_id for binding in self._open_bindings(task))

    def is_over(self, task: str) -> bool:
        """Return whether a late start command can only be for a task that has ended.

        Args:
            task: name of the task.
        """
        bindings = self._open_bindings(task)
        return bool(bindings) and all(binding.is_over for binding in bindings)

    def remaining_ms(self, task: str) -> float:
        """Return for how long a start command for a task may still arrive, in milliseconds.

        Args:
            task: name of the task.
        """
        binding = self.of_task(task)
        return 0.0 if binding is None else binding.remaining_ms()

    def of_job(self, job_id: str) -> list[tuple[str, StartBinding]]:
        """Return the bound tasks of a job, each with every binding that it has.

        Args:
            job_id: the job.
        """
        prefix = f"{job_id}."
        tasks = [task for task in self._by_task if task.startswith(prefix)]
        return [(task, binding) for task in tasks for binding in self._open_bindings(task)]

    def of_worker(self, worker_id: str) -> list[tuple[str, StartBinding]]:
        """Return the tasks with a command that a worker has not answered, and their bindings.

        Args:
            worker_id: id of the worker.
        """
        tasks = self._unanswered_by_worker.get(worker_id)
        if not tasks:
            return []
        bound = [
            (task, binding)
            for task in tasks
            if (binding := self._on_worker(task, worker_id)) is not None and binding.is_open()
        ]
        if bound:
            self._unanswered_by_worker[worker_id] = {task for task, _ in bound}
        else:
            del self._unanswered_by_worker[worker_id]
        return bound

    def unanswered(self) -> list[tuple[str, StartBinding]]:
        """Return all tasks with a command without an answer, and their bindings."""
        return [
            row
            for worker_id in list(self._unanswered_by_worker)
            for row in self.of_worker(worker_id)
        ]

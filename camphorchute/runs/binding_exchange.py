"""Binding exchange: tells other schedulers which tasks of ended jobs may still start, and where."""

from collections.abc import Callable

import gevent

from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import TaskBinding, TasksBound
from camphorchute.links import handles
from camphorchute.runs.run import job_of
from camphorchute.runs.start_bindings import StartBindings

__all__ = ["BindingExchange"]

BATCH_DELAY_MS = 200.0  # callers repeat a job after 1.3 s
MS_PER_S = 1000.0


class BindingExchange:
    """Makes the bindings of jobs that may be sent again known to all schedulers.

    A job that was not done is repeated by its caller, at any process, which may dispatch its tasks
    to any scheduler. Few jobs end with a start command that has no answer.

    Args:
        bindings: the bindings of this scheduler.
        count: adds to a named counter.

    Attributes:
        send_to_all: sends a one-way message to all other members.

    Examples:
        >>> bindings, others = StartBindings(), StartBindings()
        >>> bindings.add("5c0e7a21d94b36f8.0.0.1", "w1", 1, duration_ms=5000.0)
        >>> exchange = BindingExchange(bindings, lambda name, n=1: None)
        >>> exchange.send_to_all = lambda message: print(len(message.tasks), "bound")
        >>> exchange.add_job("5c0e7a21d94b36f8")
        >>> exchange.send()
        1 bound
    """

    __slots__ = ("send_to_all", "_bindings", "_count", "_unsent")

    def __init__(self, bindings: StartBindings, count: Callable[..., None]) -> None:
        self.send_to_all: Callable[[TasksBound], None] = lambda message: None
        self._bindings = bindings
        self._count = count
        self._unsent: set[str] = set()

    def add_job(self, job_id: str) -> None:
        """Tell the others of the bindings of a job that has ended and may be sent again.

        Args:
            job_id: the job.
        """
        if job_id in self._unsent or not self._bindings.of_job(job_id):
            return
        if not self._unsent:
            gevent.spawn_later(BATCH_DELAY_MS / MS_PER_S, self.send)
        self._unsent.add(job_id)

    def add_tasks(self, tasks: list[TaskBinding]) -> None:
        """Bind tasks of a job whose scheduler was lost, and tell the others of them.

        Args:
            tasks: the tasks.
        """
        self._bind(tasks)
        for row in tasks:
            self.add_job(job_of(row.task))

    def send(self) -> None:
        """Send the bindings of the jobs that were added."""
        jobs, self._unsent = self._unsent, set()
        rows = [
            TaskBinding(task, binding.worker_id, binding.number, binding.remaining_ms())
            for job_id in jobs
            for task, binding in self._bindings.of_job(job_id)
        ]
        if rows:
            self._count("runs.bindings_sent", len(rows))
            self.send_to_all(TasksBound(rows))

    @handles(TasksBound, nonblocking=True)
    def bind_tasks(self, peer: Member, message: TasksBound) -> None:
        """Bind tasks that another scheduler has sent start commands for."""
        self._bind(message.tasks)

    def _bind(self, tasks: list[TaskBinding]) -> None:
        for row in tasks:
            self._bindings.add(row.task, row.worker_id, row.run, row.bound_ms)

"""Notices to the owners of jobs of where their tasks are about to start."""

from collections.abc import Callable, Iterable

from camphorchute.contracts.run_messages import TaskPlace, TasksPlaced
from camphorchute.runs.run import PendingTask

__all__ = ["PlacementNotices"]


class PlacementNotices:
    """Tells the owners of jobs on which workers their tasks are about to start.

    If the process of the scheduler is killed before a start command is answered, the owner alone
    knows where the run may begin. An owner in the same process is lost with it, so it is told only
    of durable tasks, which it reports to callers as begun, and of tasks that lost a worker before:
    it stores their places for the next owner.

    Args:
        notify: sends a one-way message to an owner; returns whether it could be sent.
        count: adds to a named counter.

    Attributes:
        notify: as the argument.
        own_id: member id of this process, empty if it owns no jobs.
    """

    __slots__ = ("notify", "own_id", "_count")

    def __init__(
        self, notify: Callable[[str, TasksPlaced], bool], count: Callable[..., None]
    ) -> None:
        self.notify = notify
        self.own_id = ""
        self._count = count

    def send(self, tasks: Iterable[PendingTask]) -> None:
        """Send one message for each owner and job, without waiting.

        Args:
            tasks: tasks that have just been given a run whose start command is not sent yet.
        """
        notices: dict[tuple[str, str], list[TaskPlace]] = {}
        for task in tasks:
            if task.owner_id == self.own_id and not (task.lost_runs or task.is_durable):
                continue
            message = task.message
            notices.setdefault((task.owner_id, message.job_id), []).append(
                TaskPlace(message.step, task.index, task.dispatch, task.run.place())
            )
        for (owner_id, job_id), places in notices.items():
            if not self.notify(owner_id, TasksPlaced(job_id, places)):
                self._count("runs.placement_unsent")

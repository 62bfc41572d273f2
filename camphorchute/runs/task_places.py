"""Task places: the places that hold a task at a scheduler, of which there must be one at most."""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from eliot import log_message

from camphorchute.decision_log import log_decision
from camphorchute.runs.owner_contacts import OwnerContacts
from camphorchute.runs.owner_fields import owner_fields
from camphorchute.runs.run import PendingTask

if TYPE_CHECKING:
    from camphorchute.runs.worker_group import WorkerGroup

__all__ = ["TaskPlaces"]

BACKLOG = "backlog"


class TaskPlaces:
    """Checks that a scheduler holds a task in one place: a backlog or the runs of one worker.

    A task in two places has two runs at the same time sooner or later.

    Args:
        groups: returns the groups of the scheduler.
        count: adds to a named counter.

    Examples:
        >>> from types import SimpleNamespace as Fake
        >>> group = Fake(backlog=[], workers={})
        >>> TaskPlaces(lambda: [group], print).places_of(Fake(name="j.0.0.0"))
        []
    """

    __slots__ = ("_groups", "_count")

    def __init__(
        self, groups: Callable[[], Iterable["WorkerGroup"]], count: Callable[..., None]
    ) -> None:
        self._groups = groups
        self._count = count

    def places_of(self, task: PendingTask) -> list[str]:
        """Return the places of a task: ``backlog`` for each entry there, and ids of workers."""
        places = []
        for group in self._groups():
            places += [BACKLOG for other in group.backlog if other.name == task.name]
            places += [
                worker_id for worker_id, worker in group.workers.items() if task.name in worker.runs
            ]
        return places

    def check(self, task: PendingTask) -> None:
        """Count and log a task that was put into a second place."""
        places = self.places_of(task)
        if len(places) > 1:
            self._count("runs.invariant.task_in_two_places")
            log_message(
                message_type="runs",
                text="runs: task is in more than one place",
                task=task.name,
                next_run=task.next_run,
                places=places,
            )

    def log_restart(self, task: PendingTask, contacts: OwnerContacts) -> None:
        """Log the start of a task that had an earlier run, and check its places.

        Args:
            task: the task.
            contacts: when the owners were last known to be running.
        """
        log_decision(
            "runs",
            "task starts again",
            task=task.name,
            run=task.next_run - 1,
            worker=",".join(self.places_of(task)),
            earlier_worker=task.avoided_worker_id or task.worker_id,
            may_run=task.may_run,
            evidence=_earlier_run_evidence(task),
            **owner_fields(task, contacts),
        )
        self.check(task)


def _earlier_run_evidence(task: PendingTask) -> str:
    """Return why the last run of a task is taken as ended."""
    if not task.may_run:
        return "its scheduler saw it end"
    if task.earlier_run is not None and task.earlier_run.is_ruled_out:
        return "its worker ruled it out"
    return "its leases must have expired"

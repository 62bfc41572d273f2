"""Groups of evacuated zones: their pending tasks return to the owners, their offer changes."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from camphorchute.contracts.run_messages import TaskResultKind
from camphorchute.runs.run import PendingTask
from camphorchute.runs.worker_group import WorkerGroup

if TYPE_CHECKING:
    from camphorchute.runs.group_scheduler import GroupScheduler

__all__ = ["EvacuatedGroups"]

FIRST_RUN = 1


class EvacuatedGroups:
    """Returns the pending tasks of evacuated zones, and notices when a group offers more or less.

    Args:
        scheduler: the scheduler of the groups, which reports the results.
        count: adds to a named counter.
    """

    __slots__ = ("_scheduler", "_count", "_offers")

    def __init__(self, scheduler: GroupScheduler, count: Callable[..., None]) -> None:
        self._scheduler = scheduler
        self._count = count
        self._offers: dict[str, int | None] = {}

    def return_tasks(self, group: WorkerGroup) -> None:
        """Return the pending tasks of a group to their owners, to be placed in other zones.

        A task whose earlier run may be active on a worker of the group stays until the run is
        adopted or ruled out. Of a durable task, :meth:`WorkerGroup.place_pending` decides then.

        Args:
            group: a group of an evacuated zone.
        """
        for task in list(group.backlog):
            if group.is_bound(task):
                continue
            if task.may_run and (task.is_durable or not group.are_earlier_runs_known(task)):
                continue
            group.backlog.remove(task)
            if not group.adopt_run(task):
                self._return_task(task)

    def _return_task(self, task: PendingTask) -> None:
        """Return a task; its first run counts as started if a lost scheduler may have started it.

        Only the number of the run shows its owner that the job is not one that was not run.
        """
        self._count("runs.returned.evacuated")
        last_run = max(task.next_run - 1, FIRST_RUN) if task.may_run else task.next_run - 1
        self._scheduler.finish_task(task, last_run, TaskResultKind.NOT_STARTED)

    def has_offer_changed(self, groups: Iterable[WorkerGroup]) -> bool:
        """Return whether a group offers another part of its workers than at the last call.

        Args:
            groups: all groups of the scheduler.
        """
        now_s = time.monotonic()
        offers = {group.name: group.offered_count(now_s) for group in groups}
        earlier_offers, self._offers = self._offers, offers
        return any(offers[name] != earlier_offers.get(name) for name in offers)

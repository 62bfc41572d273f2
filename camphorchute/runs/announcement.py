"""Announcement: runs of one job that witnesses are told of together, and their answers."""

import time

from gevent.event import Event

from camphorchute.contracts.start_messages import AnnouncedStart, KnownStart
from camphorchute.loops import wait_for_event

__all__ = ["Announcement"]

DECIDED_WITHIN_MS = 400.0  # each member is silent, twice
MS_PER_S = 1000.0


class Announcement:
    """Runs of one job that are announced together.

    Attributes:
        key: the key by which the witnesses are chosen.
        owner_id: member id of the owner of the job, which is no witness, as it is lost with it.
        starts: what is announced, by name of the task; without those that were given up.
        announced_s: monotonic time in seconds at which members were first asked.
        conflicts: runs beside which a start must not take place, by member id of the witness.
        shared: runs at the same workers that other schedulers may have started.
        first_id: member id of the first in rank, which decides between two starts at the same time.
        asked_ids: ids of the members that were asked, which have to be told of the ends.
        waiting_ids: those that have not answered, since the starts were last announced.
        answered: number of those that have, without those that are shutting down.
        zones: availability zones of these.
        is_last: whether a conflict is not asked about once more.
        is_decided: event that is set when the start commands may be sent or are in conflict.
    """

    __slots__ = (
        "key",
        "owner_id",
        "starts",
        "announced_s",
        "conflicts",
        "shared",
        "first_id",
        "asked_ids",
        "waiting_ids",
        "answered",
        "zones",
        "is_last",
        "is_decided",
    )

    def __init__(self, key: str, owner_id: str, starts: dict[str, AnnouncedStart]) -> None:
        self.key = key
        self.owner_id = owner_id
        self.starts = starts
        self.announced_s = time.monotonic()
        self.conflicts: dict[str, list[KnownStart]] = {}
        self.shared: list[KnownStart] = []
        self.first_id = ""
        self.asked_ids: set[str] = set()
        self.waiting_ids: set[str] = set()
        self.answered = 0
        self.zones: set[str] = set()
        self.is_last = False
        self.is_decided = Event()

    def wait_until_decided(self, task: str) -> KnownStart | None:
        """Wait until the start of a task is decided; return the run that it is in conflict with.

        It takes ``DECIDED_WITHIN_MS`` at most.

        Args:
            task: name of the task.
        """
        wait_for_event(self.is_decided, DECIDED_WITHIN_MS / MS_PER_S)
        return self.conflict(task)

    def conflict(self, task: str) -> KnownStart | None:
        """Return the run that a start is in conflict with for the longest time, None if none is.

        Args:
            task: name of the task.
        """
        rows = [row for known in self.conflicts.values() for row in known if row.task == task]
        return max(rows, key=lambda row: row.remaining_ms, default=None)

    def witness_ids(self) -> list[str]:
        """Return the ids of the members that have answered."""
        return sorted(self.asked_ids - self.waiting_ids)

    def record_known(self, witness_id: str, known: list[KnownStart]) -> None:
        """Record runs that a witness knows of, instead of those that it has named before.

        Args:
            witness_id: member id of the witness.
            known: the runs.
        """
        self.shared += [row for row in known if not row.is_conflict]
        self.conflicts.pop(witness_id, None)
        conflicts = [row for row in known if row.is_conflict]
        if conflicts:
            self.conflicts[witness_id] = conflicts

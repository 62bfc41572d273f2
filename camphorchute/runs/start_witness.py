"""Start witness: remembers the starts that the schedulers of other processes have announced."""

import time
from collections import OrderedDict
from collections.abc import Callable

from camphorchute.contracts.member import Member
from camphorchute.contracts.start_messages import (
    AnnouncedStart,
    AnnounceStarts,
    ForgetStarts,
    KnownStart,
    StartsWitnessed,
)
from camphorchute.links import handles

__all__ = ["StartWitness"]

STARTS_MAX = 50_000
DURATION_MAX_MS = 60_000.0
SWEEP_INTERVAL_S = 1.0
MS_PER_S = 1000.0


class _WitnessedStart:
    """An announced start.

    Attributes:
        start: what its scheduler has announced.
        until_s: monotonic time until which the run may start or go on, in seconds.
    """

    __slots__ = ("start", "until_s")

    def __init__(self, start: AnnouncedStart) -> None:
        self.start = start
        is_plausible = 0 <= start.duration_ms <= DURATION_MAX_MS
        duration_ms = start.duration_ms if is_plausible else DURATION_MAX_MS
        self.until_s = time.monotonic() + duration_ms / MS_PER_S

    def excludes(self, other: AnnouncedStart) -> bool:
        """Whether a start by another scheduler must not take place beside this one.

        At one worker the same run starts once, and a later run does not start beside it.
        """
        return self.start.worker_id != other.worker_id or self.start.run > other.run

    def known_to(self, other: AnnouncedStart) -> KnownStart:
        """Return what to tell the scheduler of another start of the task."""
        start, remaining_s = self.start, self.until_s - time.monotonic()
        return KnownStart(
            start.task,
            start.worker_id,
            start.group,
            start.run,
            remaining_s * MS_PER_S,
            self.excludes(other),
        )


class StartWitness:
    """Remembers where tasks may run, in case that their owners and schedulers are lost.

    It decides between schedulers: a task that may run on a worker is not announced for another one
    until its scheduler has said that the run is over, or until it cannot start any more.

    Args:
        count: adds to a named counter.

    Attributes:
        is_leaving: returns whether this process is shutting down.
        send: sends a one-way message to a member; returns whether it could be sent.

    Examples:
        >>> witness = StartWitness(lambda name, n=1: None)
        >>> north = AnnouncedStart("5c0e7a21d94b36f8.0.0.1", "w1", "north/flags/0", 1, 5000.0)
        >>> south = AnnouncedStart("5c0e7a21d94b36f8.0.0.1", "w2", "south/flags/0", 1, 5000.0)
        >>> witness.announce("a", [north])
        []
        >>> [(known.worker_id, known.is_conflict) for known in witness.announce("b", [south])]
        [('w1', True)]
        >>> witness.forget("a", ["5c0e7a21d94b36f8.0.0.1"])
        >>> witness.announce("b", [south])
        []
    """

    __slots__ = ("is_leaving", "send", "_count", "_starts", "_swept_s")

    def __init__(self, count: Callable[..., None]) -> None:
        self.is_leaving: Callable[[], bool] = lambda: False
        self.send: Callable[[str, StartsWitnessed], bool] = lambda member_id, message: False
        self._count = count
        self._swept_s = float("-inf")
        # By task, then by scheduler; the tasks are in the order of their last announcement.
        self._starts: OrderedDict[str, dict[str, _WitnessedStart]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._starts)

    def announce(self, scheduler_id: str, starts: list[AnnouncedStart]) -> list[KnownStart]:
        """Remember starts that are in no conflict; return what other schedulers have announced.

        Args:
            scheduler_id: member id of the scheduler.
            starts: the starts.
        """
        now_s = time.monotonic()
        self._drop_expired(now_s)
        known: list[KnownStart] = []
        for start in starts:
            by_scheduler = self._starts.get(start.task, {})
            others = [
                witnessed
                for other_id, witnessed in by_scheduler.items()
                if other_id != scheduler_id and witnessed.until_s > now_s
            ]
            known += [witnessed.known_to(start) for witnessed in others]
            if any(witnessed.excludes(start) for witnessed in others):
                self._count("runs.witness.conflict")
                continue
            self._starts.setdefault(start.task, {})[scheduler_id] = _WitnessedStart(start)
            self._starts.move_to_end(start.task)
        return known

    def find(self, task: str) -> KnownStart | None:
        """Return the start of a task that may happen for the longest time, None if none is known.

        Args:
            task: name of the task.
        """
        witnessed = max(
            self._starts.get(task, {}).values(), key=lambda row: row.until_s, default=None
        )
        if witnessed is None or witnessed.until_s <= time.monotonic():
            return None
        return witnessed.known_to(witnessed.start)

    def forget(self, scheduler_id: str, tasks: list[str]) -> None:
        """Forget the starts of tasks that a scheduler has announced.

        Args:
            scheduler_id: member id of the scheduler.
            tasks: names of the tasks.
        """
        for task in tasks:
            by_scheduler = self._starts.get(task, {})
            is_known = by_scheduler.pop(scheduler_id, None) is not None
            if is_known and not by_scheduler:
                del self._starts[task]

    @handles(AnnounceStarts, nonblocking=True)
    def witness_starts(self, peer: Member, message: AnnounceStarts) -> None:
        """Witness the starts of another process, and answer it."""
        self.forget(peer.member_id, message.forgotten)
        known = self.announce(peer.member_id, message.starts)
        answer = StartsWitnessed(message.number, known, self.is_leaving())
        if not self.send(peer.member_id, answer):
            self._count("runs.witness.answer_unsent")

    @handles(ForgetStarts, nonblocking=True)
    def forget_starts(self, peer: Member, message: ForgetStarts) -> None:
        """Forget starts of another process."""
        self.forget(peer.member_id, message.tasks)

    def _drop_expired(self, now_s: float) -> None:
        if len(self._starts) >= STARTS_MAX and now_s - self._swept_s >= SWEEP_INTERVAL_S:
            self._swept_s = now_s
            for task, by_scheduler in list(self._starts.items()):
                if all(witnessed.until_s <= now_s for witnessed in by_scheduler.values()):
                    del self._starts[task]
        while self._starts:
            task, by_scheduler = next(iter(self._starts.items()))
            is_expired = all(witnessed.until_s <= now_s for witnessed in by_scheduler.values())
            if not is_expired and len(self._starts) < STARTS_MAX:
                return
            if not is_expired:
                self._count("runs.witness.dropped")
            del self._starts[task]

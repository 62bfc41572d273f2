"""The slots of one worker: how many are free, how fast it is, whether it takes work."""

import random

from camphorchute.contracts import InvariantBroken, TaskSpec
from camphorchute.services.definition import Upstream, Worker
from camphorchute.workers.failures import FailureTracker

__all__ = ["WorkerSlots"]

SPEED_WEIGHT = 0.1
SPEED_RATIO_MIN = 0.05
SPEED_RATIO_MAX = 20.0
LIMIT_RAISE_MS = 1000.0
BLOCK_FIRST_MS = 100.0
BLOCK_MAX_MS = 5000.0
DOUBLINGS_MAX = 10


class WorkerSlots:
    """Exact count of one worker's slots, as the only process that starts tasks on it keeps it.

    Attributes:
        slots: slots that may be used.
        busy: slots that attempts of this home occupy.
        foreign: slots that the worker says are occupied by others.
        answering: whether the worker answers.
        removed: whether the worker left the service.
        blocked_until_ms: no work before this time.
        speed: learned speed, 1 for the average worker of the service.

    Examples:
        >>> worker = Worker(name="w1", address="127.0.0.1:9000", zone="north", slots=2)
        >>> slots = WorkerSlots(worker, random.Random(1))
        >>> slots.take()
        >>> slots.free(now_ms=0.0)
        1
    """

    __slots__ = (
        "name",
        "address",
        "slots",
        "cpus",
        "memory_mb",
        "accelerators",
        "draining",
        "removed",
        "answering",
        "blocked_until_ms",
        "busy",
        "foreign",
        "speed",
        "failures",
        "_declared",
        "_reported",
        "_limit",
        "_busy_at_refusal",
        "_raise_at_ms",
        "_slowness",
        "_blocks",
    )

    def __init__(self, worker: Worker | Upstream, rng: random.Random) -> None:
        self.address = worker.address
        self.removed = False
        self.answering = True
        self.blocked_until_ms = 0.0
        self.busy = 0
        self.foreign = 0
        self.speed = 1.0
        self.failures = FailureTracker(rng)
        self._reported: int | None = None
        self._limit: int | None = None
        self._busy_at_refusal: int | None = None
        self._raise_at_ms = 0.0
        self._slowness = 1.0
        self._blocks = 0
        self.define(worker)

    def define(self, worker: Worker | Upstream) -> None:
        """Apply the definition of the worker."""
        self.name = worker.name
        self.draining = worker.draining
        if isinstance(worker, Worker):
            self._declared = worker.slots
            self.cpus = worker.cpus
            self.memory_mb = worker.memory_mb
            self.accelerators = worker.accelerators
        else:
            self._declared = worker.connections
            self.cpus = self.memory_mb = self.accelerators = float("inf")
        self._set_slots()

    def report(self, slots: int, running: int) -> None:
        """Apply the worker's own count of slots and of running tasks."""
        self._reported = slots
        self.foreign = max(0, running - self.busy)
        self._set_slots()
        if self._busy_at_refusal is not None:
            self._limit = max(1, self._busy_at_refusal + self.foreign)
            self._busy_at_refusal = None

    def refused(self, others_busy: int, now_ms: float) -> None:
        """The worker had no slot while ``others_busy`` slots counted as busy: use no more.

        The worker's next report corrects the limit, and it is raised by one each second.
        """
        self._limit = max(1, others_busy)
        self._busy_at_refusal = others_busy
        self._raise_at_ms = now_ms + LIMIT_RAISE_MS

    def block(self, now_ms: float) -> None:
        """Take no work for a while after a failure to start, twice as long each time."""
        self.blocked_until_ms = now_ms + min(BLOCK_MAX_MS, BLOCK_FIRST_MS * 2**self._blocks)
        self._blocks = min(self._blocks + 1, DOUBLINGS_MAX)

    def start_succeeded(self) -> None:
        """A task came through: the next failure to start counts as the first."""
        self._blocks = 0

    def take(self) -> None:
        """Occupy a slot."""
        self.busy += 1

    def release(self) -> None:
        """Free a slot.

        Raises:
            InvariantBroken: ``slots_not_negative``: none was occupied.
        """
        if not self.busy:
            raise InvariantBroken(f"slots_not_negative: {self.address}")
        self.busy -= 1

    def free(self, now_ms: float) -> int:
        """Return how many tasks may be started now."""
        if self.draining or self.removed or not self.answering or now_ms < self.blocked_until_ms:
            return 0
        if self.failures.ejected:
            return int(not self.busy and now_ms >= self.failures.probe_at_ms)
        limit = self.slots
        if self._limit is not None:
            limit = self._limit_now(now_ms)
        free = limit - self.busy - self.foreign
        return free if free > 0 else 0

    def fits(self, spec: TaskSpec) -> bool:
        """Whether the worker is large enough for a task."""
        return (
            spec.cpus <= self.cpus
            and spec.memory_mb <= self.memory_mb
            and spec.accelerators <= self.accelerators
        )

    def learn_speed(self, run_ms: float, expected_ms: float) -> None:
        """Note a run time beside the one that was expected of an average worker."""
        if run_ms <= 0 or expected_ms <= 0:
            return
        ratio = min(SPEED_RATIO_MAX, max(SPEED_RATIO_MIN, run_ms / expected_ms))
        self._slowness += SPEED_WEIGHT * (ratio - self._slowness)
        self.speed = 1 / self._slowness

    def _set_slots(self) -> None:
        reported = self._declared if self._reported is None else self._reported
        self.slots = min(self._declared, reported)

    def _limit_now(self, now_ms: float) -> int:
        while self._limit < self.slots and now_ms >= self._raise_at_ms:
            self._limit += 1
            self._raise_at_ms += LIMIT_RAISE_MS
        if self._limit >= self.slots:
            self._limit = None
            return self.slots
        return self._limit

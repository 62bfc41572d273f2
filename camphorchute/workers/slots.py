"""Slot accounting of one worker: free slots, learned speed and whether it accepts work."""

import random

from camphorchute.contracts import InvariantBroken, TaskSpec
from camphorchute.policies.failures import FailureTracker
from camphorchute.services.definition import Upstream, Worker

__all__ = ["WorkerSlots"]

SPEED_WEIGHT = 0.1
SPEED_RATIO_MIN = 0.05
SPEED_RATIO_MAX = 20.0
LIMIT_RAISE_INTERVAL_MS = 1000.0
BACKOFF_FIRST_MS = 100.0
BACKOFF_MAX_MS = 5000.0
BACKOFF_DOUBLINGS_MAX = 10


class WorkerSlots:
    """Exact slot count of one worker, kept by the only process that starts tasks on it.

    An upstream counts as a worker whose slots are its connections and that is large enough for
    every task.

    Attributes:
        slots: usable slots: the smaller of the declared and the reported number.
        cpus: size of the worker in CPUs.
        memory_mb: size of the worker in MB of memory.
        accelerators: size of the worker in accelerators.
        draining: whether the service definition drains the worker.
        removed: whether the worker is no longer listed for the service.
        answering: whether the worker answers; while it does not, no task is started on it.
        blocked_until_ms: monotonic time before which no task is started.
        busy: slots occupied by attempts of this scheduler.
        busy_by_others: slots that the worker reports as occupied beyond ``busy``.
        speed: learned speed, 1 for the average worker of the service.
        failures: recent outcomes, and whether the worker is ejected.

    Examples:
        >>> worker = Worker(name="w1", address="127.0.0.1:9000", zone="north", slots=2)
        >>> slots = WorkerSlots(worker, random.Random(1))
        >>> slots.take_slot()
        >>> slots.free_slots(now_ms=0.0)
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
        "busy_by_others",
        "speed",
        "failures",
        "_declared",
        "_reported",
        "_limit",
        "_busy_at_refusal",
        "_raise_limit_at_ms",
        "_run_time_ratio",
        "_consecutive_blocks",
    )

    def __init__(self, worker: Worker | Upstream, rng: random.Random) -> None:
        self.address = worker.address
        self.removed = False
        self.answering = True
        self.blocked_until_ms = 0.0
        self.busy = 0
        self.busy_by_others = 0
        self.speed = 1.0
        self.failures = FailureTracker(rng)
        self._reported: int | None = None
        self._limit: int | None = None
        self._busy_at_refusal: int | None = None
        self._raise_limit_at_ms = 0.0
        self._run_time_ratio = 1.0
        self._consecutive_blocks = 0
        self.apply_definition(worker)

    def apply_definition(self, worker: Worker | Upstream) -> None:
        """Apply the name, size and draining state that the service definition declares."""
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

    def apply_report(self, slots: int, running: int) -> None:
        """Apply the number of slots and of running tasks that the worker reports."""
        self._reported = slots
        self.busy_by_others = max(0, running - self.busy)
        self._set_slots()
        if self._busy_at_refusal is not None:
            self._limit = max(1, self._busy_at_refusal + self.busy_by_others)
            self._busy_at_refusal = None

    def lower_limit(self, others_busy: int, now_ms: float) -> None:
        """Limit the slots to those in use after the worker refused tasks for want of a slot.

        The next report of the worker corrects the limit, and each second raises it by one.

        Args:
            others_busy: slots that were counted as busy without the refused tasks.
            now_ms: monotonic time.
        """
        self._limit = max(1, others_busy)
        self._busy_at_refusal = others_busy
        self._raise_limit_at_ms = now_ms + LIMIT_RAISE_INTERVAL_MS

    def block_starts(self, now_ms: float) -> None:
        """Start no task for a backoff after a failed start; consecutive failures double it."""
        self.blocked_until_ms = now_ms + min(
            BACKOFF_MAX_MS, BACKOFF_FIRST_MS * 2**self._consecutive_blocks
        )
        self._consecutive_blocks = min(self._consecutive_blocks + 1, BACKOFF_DOUBLINGS_MAX)

    def reset_block_backoff(self) -> None:
        """Reset the backoff of failed starts after a task was started successfully."""
        self._consecutive_blocks = 0

    def take_slot(self) -> None:
        """Occupy a slot."""
        self.busy += 1

    def release_slot(self) -> None:
        """Free a slot.

        Raises:
            InvariantBroken: ``slots_not_negative``: no slot was occupied.
        """
        if not self.busy:
            raise InvariantBroken(f"slots_not_negative: no busy slot to free at {self.address}")
        self.busy -= 1

    def free_slots(self, now_ms: float) -> int:
        """Return the number of tasks that may be started now, at most one on an ejected worker."""
        if self.draining or self.removed or not self.answering or now_ms < self.blocked_until_ms:
            return 0
        if self.failures.ejected:
            return int(not self.busy and now_ms >= self.failures.probe_at_ms)
        limit = self.slots
        if self._limit is not None:
            limit = self._limit_now(now_ms)
        free = limit - self.busy - self.busy_by_others
        return free if free > 0 else 0

    def fits(self, spec: TaskSpec) -> bool:
        """Return whether the worker is large enough for a task."""
        return (
            spec.cpus <= self.cpus
            and spec.memory_mb <= self.memory_mb
            and spec.accelerators <= self.accelerators
        )

    def learn_speed(self, run_ms: float, expected_ms: float) -> None:
        """Update the learned speed with a run time.

        Args:
            run_ms: run time on this worker.
            expected_ms: run time that is expected of the average worker.
        """
        if run_ms <= 0 or expected_ms <= 0:
            return
        ratio = min(SPEED_RATIO_MAX, max(SPEED_RATIO_MIN, run_ms / expected_ms))
        self._run_time_ratio += SPEED_WEIGHT * (ratio - self._run_time_ratio)
        self.speed = 1 / self._run_time_ratio

    def _set_slots(self) -> None:
        reported = self._declared if self._reported is None else self._reported
        self.slots = min(self._declared, reported)

    def _limit_now(self, now_ms: float) -> int:
        while self._limit < self.slots and now_ms >= self._raise_limit_at_ms:
            self._limit += 1
            self._raise_limit_at_ms += LIMIT_RAISE_INTERVAL_MS
        if self._limit >= self.slots:
            self._limit = None
            return self.slots
        return self._limit

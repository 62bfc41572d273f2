"""State that the components of one scheduler share: clock, counters, records, access to peers."""

import random
import time
from collections.abc import Callable

from camphorchute.contracts.messages import Message
from camphorchute.policies.run_times import RunTimes
from camphorchute.workers.fence import StartFence
from camphorchute.workers.timing import SchedulerTiming

__all__ = ["Metrics", "SchedulerContext", "Send", "no_metrics"]

Send = Callable[[str, Message], bool]
Metrics = Callable[..., None]


def no_metrics(name: str, n: int = 1) -> None:
    """Discard a count."""


class SchedulerContext:
    """State shared by the components of one scheduler.

    Attributes:
        scheduler_id: member id of this process.
        send: ``send(member_id, message)`` sends a message to a peer and awaits no reply.
        count: ``count(name, n)`` adds to a counter.
        timing: durations and bounds.
        rng: source of jitter and of random choices.
        fence: records of the tasks that were dispatched to this process.
        run_times: learned run times.
        closing: whether the scheduler is closing and starts no further tasks.
    """

    __slots__ = (
        "scheduler_id",
        "send",
        "count",
        "timing",
        "rng",
        "fence",
        "run_times",
        "closing",
        "_clock",
    )

    def __init__(
        self,
        scheduler_id: str,
        send: Send,
        clock: Callable[[], float] = time.monotonic,
        metrics: Metrics = no_metrics,
        timing: SchedulerTiming | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.scheduler_id = scheduler_id
        self.send = send
        self.count = metrics
        self.timing = timing or SchedulerTiming()
        self.rng = rng or random.Random()
        self.fence = StartFence(
            self.timing.remember_s,
            int(self.timing.remember_max_tasks),
            int(self.timing.remember_max_keys),
            metrics,
        )
        self.run_times = RunTimes()
        self.closing = False
        self._clock = clock

    def now_ms(self) -> float:
        """Return the monotonic time in milliseconds."""
        return self._clock() * 1000

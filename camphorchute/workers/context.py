"""What the parts of a home share: its clock, counters, records and the way to its peers."""

import random
import time
from collections.abc import Callable

from camphorchute.contracts.messages import Message
from camphorchute.workers.fence import StartFence
from camphorchute.workers.run_times import RunTimes
from camphorchute.workers.timing import HomeTiming

__all__ = ["HomeContext", "Metrics", "Send", "no_metrics"]

Send = Callable[[str, Message], bool]
Metrics = Callable[..., None]


def no_metrics(name: str, n: int = 1) -> None:
    """Count nothing."""


class HomeContext:
    """Shared by the parts of one home.

    Attributes:
        home_id: this entry process.
        send: delivers a message to a peer, one way.
        count: counter of metrics.
        closing: whether no task is started any more.
    """

    __slots__ = (
        "home_id",
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
        home_id: str,
        send: Send,
        clock: Callable[[], float] = time.monotonic,
        metrics: Metrics = no_metrics,
        timing: HomeTiming | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.home_id = home_id
        self.send = send
        self.count = metrics
        self.timing = timing or HomeTiming()
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

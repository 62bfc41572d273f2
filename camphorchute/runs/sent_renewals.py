"""Sent renewals: what workers that were let go may still carry out when they are back."""

import time
from collections import OrderedDict

from camphorchute.runs.late_commands import LATE_ARRIVAL_MAX_S
from camphorchute.runs.worker_leases import WorkerLeases

__all__ = ["SentRenewals"]


class SentRenewals:
    """The leases that a scheduler has granted to workers that it was connected to.

    A worker may leave service discovery or its group for a while, or restart under its id; it
    carries out then what it was sent before.

    Examples:
        >>> renewals, earlier, later = SentRenewals(), WorkerLeases(), WorkerLeases()
        >>> renewals.keep("w1", earlier)
        >>> renewals.hand_on("w1", later)
        >>> earlier.record_unanswered(time.monotonic() - 2.5)
        >>> later.record_active()
        >>> later.latest_expiry_s() > later.expiry_s
        True
    """

    __slots__ = ("_leases",)

    def __init__(self) -> None:
        self._leases: OrderedDict[str, tuple[WorkerLeases, float]] = OrderedDict()

    def keep(self, worker_id: str, leases: WorkerLeases) -> None:
        """Keep the leases of a worker while commands that were sent to it may arrive.

        Args:
            worker_id: id of the worker.
            leases: its leases.
        """
        now_s = time.monotonic()
        self._leases.pop(worker_id, None)
        self._leases[worker_id] = leases, now_s
        while next(iter(self._leases.values()))[1] < now_s - LATE_ARRIVAL_MAX_S:
            self._leases.popitem(last=False)

    def hand_on(self, worker_id: str, leases: WorkerLeases) -> None:
        """Let new leases of a worker count the renewals of earlier ones that have no answer.

        Args:
            worker_id: id of the worker.
            leases: the new leases.
        """
        earlier, _ = self._leases.pop(worker_id, (None, 0.0))
        if earlier is not None:
            leases.take_unanswered(earlier)

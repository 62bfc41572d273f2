"""Owner contacts: bound the leases of runs by the last proof that they are still wanted."""

import time
from collections.abc import Callable

from camphorchute.runs.run import PendingTask
from camphorchute.runs.worker_leases import LEASE_MS

__all__ = ["ISOLATED_RUN_MAX_MS", "OwnerContacts"]

RESEND_MS = 1300.0
RESEND_MARGIN_MS = 60.0  # a worker's clock may be slow, and ending a run takes time
ISOLATED_RUN_MAX_MS = 8000.0
MS_PER_S = 1000.0


class OwnerContacts:
    """Decides until when a run may go on without further news of the owner of its job.

    A caller whose connection breaks sends its job again after a fixed time, to any process. All
    that this one knows by then has to have ended, even if it is lost itself: so no lease lasts
    until a task of a lost owner may start elsewhere. Durable jobs are not sent again to be run;
    their next owner asks for the runs. One that is cut off from this process cannot ask, and takes
    the runs for ended after a while, so they end while this process is cut off.

    Attributes:
        resend_ms: time after which callers send a job again, in milliseconds.
        running_at_s: returns the latest monotonic time at which a member is known to have been
            running, in seconds.
        request_proof: asks a member, without waiting, for a message that proves that it is running.
        connected_at_s: returns the latest monotonic time at which this process was certainly not
            cut off with its zone, in seconds.

    Examples:
        >>> contacts = OwnerContacts()
        >>> contacts.running_at_s = lambda owner_id: 50.0
        >>> contacts.ends_by_s("owner")
        51.24
    """

    __slots__ = ("resend_ms", "running_at_s", "request_proof", "connected_at_s")

    def __init__(self) -> None:
        self.resend_ms = RESEND_MS
        self.running_at_s: Callable[[str], float] = lambda owner_id: time.monotonic()
        self.request_proof: Callable[[str], None] = lambda owner_id: None
        self.connected_at_s: Callable[[], float] = time.monotonic

    def ends_by_s(self, owner_id: str) -> float:
        """Return the monotonic time by which runs for an owner must have ended if it is lost.

        Args:
            owner_id: member id of the owner.
        """
        return self.running_at_s(owner_id) + (self.resend_ms - RESEND_MARGIN_MS) / MS_PER_S

    def refresh(self, owner_id: str) -> None:
        """Ask an owner for a proof if that would allow for a longer lease.

        Args:
            owner_id: member id of the owner.
        """
        if not self.is_recent(owner_id):
            self.request_proof(owner_id)

    def is_recent(self, owner_id: str) -> bool:
        """Return whether the last proof allows for a lease of the usual length.

        Args:
            owner_id: member id of the owner.
        """
        return self.ends_by_s(owner_id) - time.monotonic() >= LEASE_MS / MS_PER_S

    def allows_full_lease(self, task: PendingTask, now_s: float) -> bool:
        """Return whether a run of a task that starts now may have a lease of the usual length.

        Args:
            task: the task.
            now_s: the present time of the monotonic clock in seconds.
        """
        return self.lease_end_s(task) - now_s >= LEASE_MS / MS_PER_S

    def lease_end_s(self, task: PendingTask) -> float:
        """Return the monotonic time until which a lease of a task's run may last, in seconds.

        Args:
            task: the task.
        """
        if task.is_durable:
            return self.connected_at_s() + ISOLATED_RUN_MAX_MS / MS_PER_S
        return self.ends_by_s(task.owner_id)

"""The last free-capacity report of a worker group, kept up to date with its changes."""

from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import GroupChange, GroupFreeCapacity

__all__ = ["ReceivedReport"]


class ReceivedReport:
    """The last free-capacity report of a worker group.

    Attributes:
        scheduler: the member that sent it.
        free_capacity: what it says, less the tasks that were planned since.
        number: number of the sender's report that it is up to date with.
        received_s: monotonic time at which it was received.
        is_own_zone: whether the group is in the zone of this process.
        touched: indices of the workers that tasks were planned for since.
    """

    __slots__ = (
        "scheduler",
        "free_capacity",
        "number",
        "received_s",
        "is_own_zone",
        "touched",
        "_reported",
    )

    def __init__(
        self,
        scheduler: Member,
        reported: GroupFreeCapacity,
        number: int,
        received_s: float,
        is_own_zone: bool,
    ) -> None:
        self.scheduler = scheduler
        self.free_capacity = GroupFreeCapacity(
            reported.group,
            reported.service,
            reported.capacity,
            dict(reported.waiting_core_ms),
            list(reported.workers),
            reported.oldest_wait_ms,
            reported.late_wait_ms,
            reported.largest,
            reported.fence,
        )
        self.number = number
        self.received_s = received_s
        self.is_own_zone = is_own_zone
        self.touched: set[int] = set()
        self._reported = list(reported.workers)

    def apply(self, change: GroupChange, number: int, received_s: float) -> None:
        """Apply what has changed since the last report, which ends all reservations."""
        workers, reported = self.free_capacity.workers, self._reported
        for index, worker in change.workers.items():
            if 0 <= index < len(reported):
                reported[index] = workers[index] = worker
        for index in self.touched - change.workers.keys():
            workers[index] = reported[index]
        self.touched.clear()
        self.free_capacity.waiting_core_ms = dict(change.waiting_core_ms)
        self.free_capacity.oldest_wait_ms = change.oldest_wait_ms
        self.free_capacity.late_wait_ms = change.late_wait_ms
        self.number = number
        self.received_s = received_s

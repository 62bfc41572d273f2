"""A worker as service discovery shows it."""

from camphorchute.contracts.resources import Resources

__all__ = ["WorkerEntry"]


class WorkerEntry:
    """What service discovery says of one worker.

    Attributes:
        worker_id: its name.
        incarnation: changes when the worker starts anew; it then remembers nothing.
        address: ``IP:port`` that takes its orders.
        service: the service that it belongs to.
        zone: its availability zone.
        capacity: what it can give to tasks in all.
        labels: its kind and its rack.
        draining: whether it takes no new work.
    """

    __slots__ = (
        "worker_id",
        "incarnation",
        "address",
        "service",
        "zone",
        "capacity",
        "labels",
        "draining",
    )

    def __init__(
        self,
        worker_id: str,
        incarnation: int,
        address: str,
        service: str,
        zone: str,
        capacity: Resources,
        labels: tuple[str, ...] = (),
        draining: bool = False,
    ) -> None:
        self.worker_id = worker_id
        self.incarnation = incarnation
        self.address = address
        self.service = service
        self.zone = zone
        self.capacity = capacity
        self.labels = labels
        self.draining = draining

    def __repr__(self) -> str:
        return f"WorkerEntry({self.worker_id!r}, {self.incarnation}, {self.address!r})"

    def is_same_life(self, other: "WorkerEntry") -> bool:
        """Whether both entries tell of the same incarnation at the same address."""
        return (self.incarnation, self.address) == (other.incarnation, other.address)

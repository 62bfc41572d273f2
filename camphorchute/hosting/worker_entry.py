"""The entry of a worker in service discovery."""

from camphorchute.contracts.resources import Resources

__all__ = ["WorkerEntry"]


class WorkerEntry:
    """The entry of one worker in service discovery.

    Attributes:
        worker_id: name of the worker.
        incarnation: changes when the worker restarts; it then knows nothing of its earlier runs.
        address: ``IP:port`` at which the worker receives commands.
        service: the service that the worker belongs to.
        zone: availability zone of the worker.
        capacity: total resources for tasks, free or not.
        labels: kind and rack of the worker.
        is_draining: whether the worker starts no new runs.
    """

    __slots__ = (
        "worker_id",
        "incarnation",
        "address",
        "service",
        "zone",
        "capacity",
        "labels",
        "is_draining",
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
        is_draining: bool = False,
    ) -> None:
        self.worker_id = worker_id
        self.incarnation = incarnation
        self.address = address
        self.service = service
        self.zone = zone
        self.capacity = capacity
        self.labels = labels
        self.is_draining = is_draining

    def __repr__(self) -> str:
        return f"WorkerEntry({self.worker_id!r}, {self.incarnation}, {self.address!r})"

    def is_equal(self, other: "WorkerEntry | None") -> bool:
        """Whether both entries say the same of the worker."""
        return other is not None and all(
            getattr(self, name) == getattr(other, name) for name in self.__slots__
        )

    def is_same_incarnation(self, other: "WorkerEntry") -> bool:
        """Whether both entries show the same incarnation at the same address."""
        return (self.incarnation, self.address) == (other.incarnation, other.address)

"""Orders to a worker whose runs are fenced and held by leases."""

from abc import ABC, abstractmethod
from enum import Enum

from camphorchute.contracts.resources import Resources

__all__ = [
    "EndKind",
    "OrderLost",
    "OrderRefused",
    "RefusedReason",
    "RunEnd",
    "RunListing",
    "RunOrder",
    "RunPort",
    "RunSeen",
]


class EndKind(Enum):
    """How a run ended at its worker."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease expired"
    GANG_ENDED = "another member of its gang ended"
    GANG_INCOMPLETE = "its gang did not assemble"


class RefusedReason(Enum):
    """Why a worker refused an order; in each case it has started nothing."""

    FENCED = "a higher fencing token was seen"
    OLD_RUN = "this or a later run of the task has ended"
    TOO_LATE = "the order came after its deadline"
    NO_ROOM = "no room"
    OTHER_INCARNATION = "the worker has started anew"
    UNHEALTHY = "the worker is not healthy"
    MALFORMED = "the worker did not understand the order"


class OrderRefused(Exception):  # noqa: N818
    """A worker refused an order and did nothing."""

    def __init__(self, reason: RefusedReason, detail: str = "") -> None:
        self.reason = reason
        super().__init__(f"{reason.value}: {detail}" if detail else reason.value)


class OrderLost(Exception):  # noqa: N818
    """No answer came; the worker may have carried the order out, or may still do so.

    Attributes:
        sent: whether a byte of the order may have left.
    """

    def __init__(self, detail: str, sent: bool = True) -> None:
        self.sent = sent
        super().__init__(detail)


class RunOrder:
    """A run that is to be started.

    Attributes:
        task: name of the task.
        run: number of the run; a worker starts no run that is not above those that ended there.
        payload: text that the task is started with.
        demand: what it needs.
    """

    __slots__ = ("task", "run", "payload", "demand")

    def __init__(self, task: str, run: int, payload: str, demand: Resources) -> None:
        self.task = task
        self.run = run
        self.payload = payload
        self.demand = demand


class RunSeen:
    """A run that a worker lists as running.

    Attributes:
        task: name of the task.
        run: number of the run.
    """

    __slots__ = ("task", "run")

    def __init__(self, task: str, run: int) -> None:
        self.task = task
        self.run = run


class RunEnd:
    """The end of a run, as its worker lists it until it is acknowledged.

    Attributes:
        number: rises by one with each end of this incarnation.
        task: name of the task.
        run: number of the run.
        kind: how it ended.
    """

    __slots__ = ("number", "task", "run", "kind")

    def __init__(self, number: int, task: str, run: int, kind: EndKind) -> None:
        self.number = number
        self.task = task
        self.run = run
        self.kind = kind


class RunListing:
    """What a worker tells of its runs.

    Attributes:
        clock_ms: the worker's steady clock when it answered.
        running: the runs under way.
        ended: the ends that are not acknowledged yet.
    """

    __slots__ = ("clock_ms", "running", "ended")

    def __init__(self, clock_ms: float, running: list[RunSeen], ended: list[RunEnd]) -> None:
        self.clock_ms = clock_ms
        self.running = running
        self.ended = ended


class RunPort(ABC):
    """The connection to one incarnation of a worker.

    Each call raises :class:`OrderRefused` where the worker did nothing and :class:`OrderLost`
    where that is not known. ``lease_until_ms`` is a time on the worker's own clock.
    """

    @abstractmethod
    def start_run(self, order: RunOrder, fence: int, lease_until_ms: float) -> float:
        """Start a run, or do nothing where that very run is there; return the worker's clock."""

    @abstractmethod
    def stop_run(self, task: str, run: int, fence: int) -> float:
        """Stop a run, and bar it where it is not there yet; return the worker's clock."""

    @abstractmethod
    def renew(
        self, fence: int, acknowledged: int, lease_until_ms: float | None, wait_ms: float
    ) -> RunListing:
        """Renew the leases of all runs of the worker and list its runs and ends.

        Args:
            fence: fencing token of the caller.
            acknowledged: number up to which ends need not be listed again.
            lease_until_ms: how long the runs may go on; None to leave the leases alone.
            wait_ms: how long to wait for an end.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connections."""

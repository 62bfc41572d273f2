"""The client interface of a worker that supports fencing tokens and leases.

Every command carries a fencing token; the worker refuses a command with a lower token than one
that it has seen. Every run has a lease, and the worker ends the run when the lease expires.
"""

from abc import ABC, abstractmethod
from enum import Enum

from camphorchute.contracts.resources import Resources

__all__ = [
    "CommandRefused",
    "CommandUnanswered",
    "ListedRun",
    "RefusalReason",
    "RunCompletion",
    "RunListing",
    "RunOutcome",
    "StartCommand",
    "WorkerClient",
]


class RunOutcome(Enum):
    """Outcome of a run, as its worker reports it."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease expired"
    GANG_ENDED = "another member of its gang ended"
    GANG_INCOMPLETE = "its gang did not assemble"


class RefusalReason(Enum):
    """Why a worker refused a command; a refused command has had no effect."""

    FENCED = "a higher fencing token was seen"
    OLD_RUN = "this or a later run of the task has ended"
    TOO_LATE = "the order came after its deadline"
    NO_ROOM = "no room"
    OTHER_INCARNATION = "the worker has started anew"
    UNHEALTHY = "the worker is not healthy"
    MALFORMED = "the worker did not understand the order"


class CommandRefused(Exception):  # noqa: N818
    """A worker refused a command, which has had no effect.

    Args:
        reason: why the worker refused it.
        detail: what the worker answered, for people.
    """

    def __init__(self, reason: RefusalReason, detail: str = "") -> None:
        self.reason = reason
        super().__init__(f"{reason.value}: {detail}" if detail else reason.value)


class CommandUnanswered(Exception):  # noqa: N818
    """A command has no usable answer; the worker may have executed it or may still do so.

    Args:
        detail: what went wrong, for people.
        sent: whether any byte of the command may have been sent. If not, the worker never
            executes it.
    """

    def __init__(self, detail: str, sent: bool = True) -> None:
        self.sent = sent
        super().__init__(detail)


class StartCommand:
    """A command to start a run of a task.

    Attributes:
        task: name of the task.
        run: number of the run. It must be higher than the number of every run of the task that
            has ended at the worker; the worker refuses it otherwise.
        payload: text that the task is started with.
        demand: resources that the task needs.
    """

    __slots__ = ("task", "run", "payload", "demand")

    def __init__(self, task: str, run: int, payload: str, demand: Resources) -> None:
        self.task = task
        self.run = run
        self.payload = payload
        self.demand = demand


class ListedRun:
    """An active run in the listing of a worker.

    Attributes:
        task: name of the task.
        run: number of the run.
    """

    __slots__ = ("task", "run")

    def __init__(self, task: str, run: int) -> None:
        self.task = task
        self.run = run


class RunCompletion:
    """Completion of a run; the worker lists it until it is acknowledged.

    Attributes:
        sequence_number: number of the completion, counted up by one for each completion of an
            incarnation of the worker.
        task: name of the task.
        run: number of the run.
        outcome: outcome of the run.
    """

    __slots__ = ("sequence_number", "task", "run", "outcome")

    def __init__(self, sequence_number: int, task: str, run: int, outcome: RunOutcome) -> None:
        self.sequence_number = sequence_number
        self.task = task
        self.run = run
        self.outcome = outcome


class RunListing:
    """The runs of a worker, as it listed them at one time.

    Attributes:
        clock_ms: reading of the worker's monotonic clock when it answered, in milliseconds.
        running: the active runs.
        completions: the completions that are not acknowledged yet.
        is_complete: whether these are all of them; a worker lists a limited number at a time.
    """

    __slots__ = ("clock_ms", "running", "completions", "is_complete")

    def __init__(
        self,
        clock_ms: float,
        running: list[ListedRun],
        completions: list[RunCompletion],
        is_complete: bool = True,
    ) -> None:
        self.clock_ms = clock_ms
        self.running = running
        self.completions = completions
        self.is_complete = is_complete


class WorkerClient(ABC):
    """Client for one incarnation of a worker.

    :meth:`start_run`, :meth:`stop_run` and :meth:`renew_and_list` raise :class:`CommandRefused` if
    the worker refused the command, and :class:`CommandUnanswered` if it is not known whether the
    worker executed it. The argument ``lease_until_ms`` is a time on the worker's own clock, in
    milliseconds.
    """

    @abstractmethod
    def start_run(self, command: StartCommand, fencing_token: int, lease_until_ms: float) -> float:
        """Start a run; a repeat of the command for an active run has no effect.

        Args:
            command: the run to start.
            fencing_token: fencing token of the caller.
            lease_until_ms: when the lease of the run expires, on the worker's clock.

        Returns:
            Reading of the worker's clock in milliseconds.
        """

    @abstractmethod
    def stop_run(self, task: str, run: int, fencing_token: int) -> float:
        """Stop a run; if its start command has not arrived yet, the worker will refuse that.

        Args:
            task: name of the task.
            run: number of the run.
            fencing_token: fencing token of the caller.

        Returns:
            Reading of the worker's clock in milliseconds.
        """

    @abstractmethod
    def renew_and_list(
        self, fencing_token: int, acknowledged: int, lease_until_ms: float | None, wait_ms: float
    ) -> RunListing:
        """Renew the leases of all runs of the worker and list its runs and completions.

        Args:
            fencing_token: fencing token of the caller.
            acknowledged: completions up to this number are acknowledged; the worker does not list
                them again.
            lease_until_ms: when the renewed leases expire, on the worker's clock; None to list
                only, without renewing any lease.
            wait_ms: longest time that the worker waits for a new completion before it answers.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connections to the worker."""

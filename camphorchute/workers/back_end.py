"""Common interface of the clients for workers and upstreams, and the registry of its classes."""

import msgspec

from camphorchute.services.definition import ServiceDefinition

__all__ = [
    "AnswerPage",
    "Attempt",
    "AttemptAnswer",
    "BackEnd",
    "BackEndError",
    "BackEndStatus",
    "FoundAttempt",
    "StartReport",
    "back_end_class",
    "register_back_end",
]

RUNNING = "running"
REFUSED_NO_SLOT = "no_slot"
REFUSED_UNREACHABLE = "unreachable"


class BackEndError(Exception):
    """A query to a back end got no usable answer."""


class Attempt(msgspec.Struct):
    """One attempt of a task, as it is sent to a worker."""

    attempt: str
    job: str
    index: int
    service: str
    kind: str
    payload: str
    run_time_ms: float


class AttemptAnswer(msgspec.Struct):
    """Outcome of an attempt, as a worker reports it.

    Attributes:
        ok: whether the task succeeded.
        answer: the answer, or the description of the failure.
        run_ms: run time in milliseconds.
    """

    attempt: str
    job: str
    index: int
    ok: bool = True
    answer: str = ""
    run_ms: float = 0.0


class FoundAttempt(msgspec.Struct):
    """State of an attempt at a worker, ``running`` or ``ended``; an ended one has the answer."""

    attempt: str
    index: int
    state: str
    ok: bool | None = None
    answer: str | None = None
    run_ms: float | None = None


class BackEndStatus(msgspec.Struct):
    """Size and load of a back end, as reported by itself."""

    slots: int
    running: int
    cpus: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0


class StartReport:
    """Result of sending the attempts of one start message.

    Attributes:
        started: ids of the attempts that were started.
        refused: reasons by id of the attempts that are proved not to have started.
        unclear: ids of the attempts that may have started.

    Examples:
        >>> StartReport(started=["a"], refused={"b": "no_slot"}).unclear
        []
    """

    __slots__ = ("started", "refused", "unclear")

    def __init__(
        self,
        started: list[str] | None = None,
        refused: dict[str, str] | None = None,
        unclear: list[str] | None = None,
    ) -> None:
        self.started = started or []
        self.refused = refused or {}
        self.unclear = unclear or []


class AnswerPage:
    """Result of one poll.

    Attributes:
        last: number of the last answer; the next poll asks for those after it.
        answers: the attempts that ended.
        refused: reasons by id of attempts that were reported as started and are now proved not to
            have run.
        lost: ids of the attempts that may have run and whose answers cannot be obtained.
    """

    __slots__ = ("last", "answers", "refused", "lost")

    def __init__(
        self,
        last: int,
        answers: list[AttemptAnswer] | None = None,
        refused: dict[str, str] | None = None,
        lost: list[str] | None = None,
    ) -> None:
        self.last = last
        self.answers = answers or []
        self.refused = refused or {}
        self.lost = lost or []


class BackEnd:
    """Client of a scheduler for one worker or upstream.

    Subclasses implement the methods. A query without a usable answer raises
    :class:`BackEndError`.

    Args:
        scheduler_id: member id of the scheduler, which is sent to the back end.
        address: ``IP:port`` of the back end.
        connections: maximum number of connections that the back end accepts.
    """

    __slots__ = ("scheduler_id", "address", "connections")

    def __init__(self, scheduler_id: str, address: str, connections: int = 64) -> None:
        self.scheduler_id = scheduler_id
        self.address = address
        self.connections = connections

    def apply_definition(self, definition: ServiceDefinition) -> None:
        """Apply the definition of the service."""

    def start(self) -> None:
        """Prepare for use."""

    def close(self) -> None:
        """Close every connection and end every greenlet."""

    def start_attempts(self, attempts: list[Attempt]) -> StartReport:
        """Start attempts, each at most once."""
        raise NotImplementedError

    def next_answers(self, after: int, wait_ms: float) -> AnswerPage:
        """Wait up to ``wait_ms`` milliseconds for answers numbered over ``after``."""
        raise NotImplementedError

    def find_attempts(self, job: str) -> list[FoundAttempt]:
        """Return the attempts of a job that the back end knows, queried on a new connection."""
        raise NotImplementedError

    def stop_job(self, job: str) -> None:
        """Stop the running attempts of a job."""
        raise NotImplementedError

    def status(self) -> BackEndStatus:
        """Return the size and the load of the back end."""
        raise NotImplementedError


_CLASSES: dict[str, type[BackEnd]] = {}


def register_back_end(name: str):
    """Return a decorator that registers a subclass of :class:`BackEnd` under a name.

    Examples:
        >>> @register_back_end("example")
        ... class Example(BackEnd):
        ...     pass
        >>> back_end_class("example") is Example
        True
    """

    def register(back_end: type[BackEnd]) -> type[BackEnd]:
        _CLASSES[name] = back_end
        return back_end

    return register


def back_end_class(name: str) -> type[BackEnd]:
    """Return the subclass of :class:`BackEnd` that is registered under a name.

    Raises:
        KeyError: no class has this name.
    """
    return _CLASSES[name]

"""What every kind of back end can do, and the registry of the kinds."""

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
    """A back end gave no usable answer to a query."""


class Attempt(msgspec.Struct):
    """One start of one task, as a worker reads it."""

    attempt: str
    job: str
    index: int
    service: str
    kind: str
    payload: str
    run_time_ms: float


class AttemptAnswer(msgspec.Struct):
    """The end of an attempt, as a worker reports it."""

    attempt: str
    job: str
    index: int
    ok: bool = True
    answer: str = ""
    run_ms: float = 0.0


class FoundAttempt(msgspec.Struct):
    """What a worker knows of an attempt; the state is ``running`` or ``ended``."""

    attempt: str
    index: int
    state: str
    ok: bool | None = None
    answer: str | None = None
    run_ms: float | None = None


class BackEndStatus(msgspec.Struct):
    """Size and load of a back end, as it reports them itself."""

    slots: int
    running: int
    cpus: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0


class StartReport:
    """What became of the attempts of one start message.

    Attributes:
        started: ids of the attempts that run.
        refused: id to reason of the attempts that are proved not to have started.
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
    """Answers that came together.

    Attributes:
        last: number to ask for more answers after.
        answers: the attempts that ended.
        refused: id to reason of attempts that are proved, after all, not to have been run.
        lost: ids of the attempts that may have run and whose answer cannot be had.
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
    """One worker or upstream, as the home entry process reaches it.

    Subclasses fill the hooks. A query that gets no answer raises :class:`BackEndError`.

    Args:
        home_id: the home entry process, as the back end is told.
        address: ``IP:port`` of the back end.
        connections: most connections that it takes.
    """

    __slots__ = ("home_id", "address", "connections")

    def __init__(self, home_id: str, address: str, connections: int = 64) -> None:
        self.home_id = home_id
        self.address = address
        self.connections = connections

    def define(self, definition: ServiceDefinition) -> None:
        """Apply the definition of the service."""

    def start(self) -> None:
        """Get ready for use."""

    def close(self) -> None:
        """Give back every connection and greenlet."""

    def start_attempts(self, attempts: list[Attempt]) -> StartReport:
        """Start these attempts, each at most once."""
        raise NotImplementedError

    def next_answers(self, after: int, wait_ms: float) -> AnswerPage:
        """Wait for answers numbered over ``after``."""
        raise NotImplementedError

    def find(self, job: str) -> list[FoundAttempt]:
        """Ask on a new connection what became of the attempts of a job."""
        raise NotImplementedError

    def stop(self, job: str) -> None:
        """Stop the running attempts of a job."""
        raise NotImplementedError

    def status(self) -> BackEndStatus:
        """Ask for size and load."""
        raise NotImplementedError


_CLASSES: dict[str, type[BackEnd]] = {}


def register_back_end(name: str):
    """Return a decorator that registers a class of back ends under a name.

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
    """Return the class of back ends that is registered under a name."""
    return _CLASSES[name]

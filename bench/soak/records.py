"""What a run leaves to be checked: calls, starts, drains, revisions and lives of entries."""

from enum import Enum

__all__ = [
    "Call",
    "CallKind",
    "Drain",
    "EntryLife",
    "Evidence",
    "RequestRun",
    "RevisionSeen",
    "Start",
]


class CallKind(Enum):
    """What a caller asked for."""

    SUBMIT = "submit"
    FETCH = "fetch"
    CANCEL = "cancel"
    REQUEST = "request"


class EntryLife:
    """One incarnation of an entry process, as the run disturbed it.

    Attributes:
        name: its address and the number of its incarnation.
        killed_unix_ms: when it was killed, 0 if it was not.
        ended_unix_ms: when it ended by itself, 0 if it did not.
        stopped_unix_ms: when its orderly stop was asked for, 0 if it was not.
        pauses: beginning and end of each pause; the end is infinite while it lasts.
    """

    __slots__ = ("name", "killed_unix_ms", "ended_unix_ms", "stopped_unix_ms", "pauses")

    def __init__(self, name: str) -> None:
        self.name = name
        self.killed_unix_ms = 0.0
        self.ended_unix_ms = 0.0
        self.stopped_unix_ms = 0.0
        self.pauses: list[list[float]] = []

    def is_live(self, unix_ms: float) -> bool:
        """Whether it neither ended nor was asked to end up to a time."""
        ends = (self.killed_unix_ms, self.ended_unix_ms, self.stopped_unix_ms)
        return not any(0 < end <= unix_ms for end in ends)

    def was_killed_by(self, unix_ms: float) -> bool:
        """Whether it was killed up to a time."""
        return 0 < self.killed_unix_ms <= unix_ms

    def was_stopped_by(self, unix_ms: float) -> bool:
        """Whether an orderly stop was asked for up to a time."""
        return 0 < self.stopped_unix_ms <= unix_ms

    def was_paused_in(self, from_unix_ms: float, until_unix_ms: float) -> bool:
        """Whether a pause overlaps a span of time."""
        return any(begin <= until_unix_ms and end >= from_unix_ms for begin, end in self.pauses)


class Call:
    """One call of a stand-in caller and its answer.

    Attributes:
        kind: what was asked for.
        key: the idempotency key.
        tasks: number of tasks of the body; 1 for a request.
        life: the incarnation that was called.
        body_number: 0 for the body that the key belongs to, 1 for a conflicting one.
        for_upstream: whether the key is that of a single request.
        repeatable: whether a request may run more than once.
        sent_unix_ms: when the call was sent.
        ended_unix_ms: when its answer came or the caller gave up; 0 while it lasts.
        connected: whether a connection was made, so that the request may have been received.
        status: HTTP status, 0 without an answer.
        code: number of the result code; 0 for a complete answer, -1 without one.
        fate: the answer's word on whether tasks may have run.
        answers: the answers of a complete job, or the key of an upstream's answer.
        detail: text for people.
    """

    __slots__ = (
        "kind",
        "key",
        "tasks",
        "life",
        "body_number",
        "for_upstream",
        "repeatable",
        "sent_unix_ms",
        "ended_unix_ms",
        "connected",
        "status",
        "code",
        "fate",
        "answers",
        "detail",
    )

    def __init__(
        self,
        kind: CallKind,
        key: str,
        tasks: int,
        life: EntryLife,
        body_number: int = 0,
        repeatable: bool = False,
    ) -> None:
        self.kind = kind
        self.key = key
        self.tasks = tasks
        self.life = life
        self.body_number = body_number
        self.for_upstream = kind is CallKind.REQUEST
        self.repeatable = repeatable
        self.sent_unix_ms = 0.0
        self.ended_unix_ms = 0.0
        self.connected = True
        self.status = 0
        self.code = -1
        self.fate = ""
        self.answers: list[str] = []
        self.detail = ""

    @property
    def is_submission(self) -> bool:
        """Whether it may start tasks."""
        return self.kind in (CallKind.SUBMIT, CallKind.REQUEST)

    @property
    def is_complete(self) -> bool:
        """Whether it was answered complete."""
        return self.code == 0


class Start:
    """One start in a worker's own record.

    Attributes:
        worker: address of the worker.
        key: the job's key.
        index: place of the task in its job.
        unix_ms: when it started.
    """

    __slots__ = ("worker", "key", "index", "unix_ms")

    def __init__(self, worker: str, key: str, index: int, unix_ms: float) -> None:
        self.worker = worker
        self.key = key
        self.index = index
        self.unix_ms = unix_ms


class RequestRun:
    """One request in an upstream's own record.

    Attributes:
        upstream: address of the upstream.
        key: the request's key.
        unix_ms: when it began to run.
    """

    __slots__ = ("upstream", "key", "unix_ms")

    def __init__(self, upstream: str, key: str, unix_ms: float) -> None:
        self.upstream = upstream
        self.key = key
        self.unix_ms = unix_ms


class Drain:
    """A back end that a confirmed plan took out of service.

    Attributes:
        address: ``IP:port`` of the back end.
        confirmed_unix_ms: when the confirmation was answered.
        until_unix_ms: when the plan that puts it back was sent; infinite if there was none.
        blind_spans: when its zone could learn of no plan.
    """

    __slots__ = ("address", "confirmed_unix_ms", "until_unix_ms", "blind_spans")

    def __init__(self, address: str, confirmed_unix_ms: float) -> None:
        self.address = address
        self.confirmed_unix_ms = confirmed_unix_ms
        self.until_unix_ms = float("inf")
        self.blind_spans: list[tuple[float, float]] = []


class RevisionSeen:
    """A revision in the status of one incarnation.

    Attributes:
        member: the incarnation.
        revision: its revision of the configuration.
    """

    __slots__ = ("member", "revision")

    def __init__(self, member: str, revision: int) -> None:
        self.member = member
        self.revision = revision


class Evidence:
    """All records of a run.

    Attributes:
        calls: calls of the callers.
        starts: the workers' own records.
        runs: the upstreams' own records.
        drains: confirmed drains.
        revisions: revisions in the order in which they were seen.
        reverted: confirmed changes that were found not to be in force, for people.
    """

    __slots__ = ("calls", "starts", "runs", "drains", "revisions", "reverted")

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.starts: list[Start] = []
        self.runs: list[RequestRun] = []
        self.drains: list[Drain] = []
        self.revisions: list[RevisionSeen] = []
        self.reverted: list[str] = []

"""Records of a soak run that the checks read: calls, starts, drains, revisions, incarnations."""

from enum import Enum

__all__ = [
    "Call",
    "CallKind",
    "Drain",
    "EntryIncarnation",
    "SoakRecords",
    "RequestRun",
    "ObservedRevision",
    "TaskStart",
]


class CallKind(Enum):
    """Kind of a call."""

    SUBMIT = "submit"
    FETCH = "fetch"
    CANCEL = "cancel"
    REQUEST = "request"


class EntryIncarnation:
    """One incarnation of an entry process and the faults injected into it.

    All times are Unix milliseconds.

    Attributes:
        name: its address and the number of its incarnation.
        killed_unix_ms: when it was killed; 0 if it was not.
        ended_unix_ms: when its unexpected exit was detected; 0 if there was none.
        stopped_unix_ms: when a graceful stop was requested; 0 if it was not.
        pauses: start and end of each pause; the end is infinite while it lasts.
    """

    __slots__ = ("name", "killed_unix_ms", "ended_unix_ms", "stopped_unix_ms", "pauses")

    def __init__(self, name: str) -> None:
        self.name = name
        self.killed_unix_ms = 0.0
        self.ended_unix_ms = 0.0
        self.stopped_unix_ms = 0.0
        self.pauses: list[list[float]] = []

    def is_live(self, unix_ms: float) -> bool:
        """Whether it had neither ended nor been requested to stop by a given time."""
        ends = (self.killed_unix_ms, self.ended_unix_ms, self.stopped_unix_ms)
        return not any(0 < end <= unix_ms for end in ends)

    def was_killed_by(self, unix_ms: float) -> bool:
        """Whether it had been killed by a given time."""
        return 0 < self.killed_unix_ms <= unix_ms

    def was_stopped_by(self, unix_ms: float) -> bool:
        """Whether a graceful stop had been requested by a given time."""
        return 0 < self.stopped_unix_ms <= unix_ms

    def was_paused_in(self, from_unix_ms: float, until_unix_ms: float) -> bool:
        """Whether a pause overlaps a time span."""
        return any(begin <= until_unix_ms and end >= from_unix_ms for begin, end in self.pauses)


class Call:
    """One call of a stand-in caller and its answer; times are Unix milliseconds.

    Attributes:
        kind: kind of the call.
        key: idempotency key.
        task_count: number of tasks of the body; 1 for a single request.
        incarnation: the entry incarnation that was called.
        body_number: 0 for the intended body of the key, 1 for a conflicting body.
        is_for_upstream: whether the key belongs to a single request to an upstream.
        repeatable: whether a request may run more than once.
        sent_unix_ms: when the call was sent.
        ended_unix_ms: when it was answered, failed or timed out; 0 while it lasts.
        connected: whether a connection was made, so that the entry may have received the call.
        status: HTTP status; 0 without an answer.
        code: result code; 0 for a complete answer, -1 without an answer.
        fate: the answer's statement whether tasks may have run, a value of ``Fate``.
        answers: the task answers of a job, or the key in an upstream's answer.
        detail: detail text of the answer, or the error of the call.
    """

    __slots__ = (
        "kind",
        "key",
        "task_count",
        "incarnation",
        "body_number",
        "is_for_upstream",
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
        task_count: int,
        incarnation: EntryIncarnation,
        body_number: int = 0,
        repeatable: bool = False,
    ) -> None:
        self.kind = kind
        self.key = key
        self.task_count = task_count
        self.incarnation = incarnation
        self.body_number = body_number
        self.is_for_upstream = kind is CallKind.REQUEST
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
        """Whether the call may start tasks."""
        return self.kind in (CallKind.SUBMIT, CallKind.REQUEST)

    @property
    def is_complete(self) -> bool:
        """Whether the answer is complete."""
        return self.code == 0


class TaskStart:
    """One task start as a worker recorded it.

    Attributes:
        worker: ``IP:port`` of the worker.
        key: idempotency key of the job.
        index: zero-based index of the task in its job.
        unix_ms: when it started, in Unix milliseconds.
    """

    __slots__ = ("worker", "key", "index", "unix_ms")

    def __init__(self, worker: str, key: str, index: int, unix_ms: float) -> None:
        self.worker = worker
        self.key = key
        self.index = index
        self.unix_ms = unix_ms


class RequestRun:
    """One request run as an upstream recorded it.

    Attributes:
        upstream: ``IP:port`` of the upstream.
        key: idempotency key of the request.
        unix_ms: when it started to run, in Unix milliseconds.
    """

    __slots__ = ("upstream", "key", "unix_ms")

    def __init__(self, upstream: str, key: str, unix_ms: float) -> None:
        self.upstream = upstream
        self.key = key
        self.unix_ms = unix_ms


class Drain:
    """The drain of a worker or upstream by a confirmed plan; times are Unix milliseconds.

    Attributes:
        address: ``IP:port`` of the worker or upstream.
        confirmed_unix_ms: when the confirmation of the plan was answered.
        undrain_sent_unix_ms: when the plan that ends the drain was sent; infinite if none was.
        config_outage_spans: start and end of the spans in which no plan could reach its zone.
    """

    __slots__ = ("address", "confirmed_unix_ms", "undrain_sent_unix_ms", "config_outage_spans")

    def __init__(self, address: str, confirmed_unix_ms: float) -> None:
        self.address = address
        self.confirmed_unix_ms = confirmed_unix_ms
        self.undrain_sent_unix_ms = float("inf")
        self.config_outage_spans: list[tuple[float, float]] = []


class ObservedRevision:
    """A configuration revision that an entry process reported in a status.

    Attributes:
        member: member id of the entry process.
        revision: the reported configuration revision.
    """

    __slots__ = ("member", "revision")

    def __init__(self, member: str, revision: int) -> None:
        self.member = member
        self.revision = revision


class SoakRecords:
    """All records of a soak run.

    Attributes:
        calls: calls of the callers.
        starts: task starts as the workers recorded them.
        runs: request runs as the upstreams recorded them.
        drains: confirmed drains.
        revisions: reported revisions in the order of their observation.
        reverted_changes: one message for each confirmed change that is not in force or that
            conflicts with another.
    """

    __slots__ = ("calls", "starts", "runs", "drains", "revisions", "reverted_changes")

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.starts: list[TaskStart] = []
        self.runs: list[RequestRun] = []
        self.drains: list[Drain] = []
        self.revisions: list[ObservedRevision] = []
        self.reverted_changes: list[str] = []

"""The record of which tasks a home was handed, so that none of them is started twice."""

from collections import OrderedDict
from collections.abc import Callable
from enum import IntEnum

from eliot import log_message

from camphorchute.contracts import InvariantBroken, ResultCode, TaskOutcome, TaskSpec
from camphorchute.contracts.messages import HandedTask, HandOff

__all__ = ["AttemptState", "KeyRecord", "OpenAttempt", "StartFence"]

INVARIANT_ONE_START = "one_start_per_task"


class AttemptState(IntEnum):
    """Where an attempt stands.

    A lingering attempt was reported as ended but may still occupy its slot.
    """

    WAITING = 0
    SENT = 1
    STARTED = 2
    UNCLEAR = 3
    LINGERING = 4
    ENDED = 5


class OpenAttempt:
    """A task that was handed to this home, and its one attempt."""

    __slots__ = (
        "attempt",
        "record",
        "index",
        "spec",
        "link",
        "state",
        "outcome",
        "sent_ms",
        "checks",
        "next_check_ms",
    )

    def __init__(self, attempt: str, record: "KeyRecord", index: int, spec: TaskSpec) -> None:
        self.attempt = attempt
        self.record = record
        self.index = index
        self.spec: TaskSpec | None = spec
        self.link = None
        self.state = AttemptState.WAITING
        self.outcome: TaskOutcome | None = None
        self.sent_ms = 0.0
        self.checks = 0
        self.next_check_ms = 0.0


class KeyRecord:
    """What this home knows of one job.

    Attributes:
        term: highest term under which an owner handed or asked for the job.
        watched_ms: when the deadline is looked at next, 0 for never.
        fenced: whether the record must outlive its tasks, to refuse an older owner.
        barred: attempts that were promised never to start.
        attempts: task index to attempt.
        spent: a bit for each task that ended and whose answer is no longer held.
        open_tasks: attempts whose outcome is not known yet.
    """

    __slots__ = (
        "key",
        "owner_id",
        "term",
        "service",
        "team",
        "deadline_ms",
        "watched_ms",
        "fenced",
        "cancelled",
        "barred",
        "attempts",
        "spent",
        "open_tasks",
        "idle_since_ms",
    )

    def __init__(self, key: str, owner_id: str, term: int, service: str) -> None:
        self.key = key
        self.owner_id = owner_id
        self.term = term
        self.service = service
        self.team = ""
        self.deadline_ms = 0.0
        self.watched_ms = 0.0
        self.fenced = False
        self.cancelled = False
        self.barred: set[str] = set()
        self.attempts: dict[int, OpenAttempt] = {}
        self.spent = 0
        self.open_tasks = 0
        self.idle_since_ms = 0.0

    def is_spent(self, index: int) -> bool:
        """Whether a task ended here and its answer is no longer held."""
        return bool(self.spent >> index & 1)

    def outcomes(self) -> list[TaskOutcome]:
        """Return what became of the tasks that ended."""
        known = [a.outcome for a in self.attempts.values() if a.outcome is not None]
        expired = [i for i in range(self.spent.bit_length()) if self.is_spent(i)]
        return known + [TaskOutcome(i, int(ResultCode.ANSWER_EXPIRED)) for i in expired]

    def open_attempts(self) -> list[OpenAttempt]:
        """Return the attempts whose outcome is not known yet."""
        return [a for a in self.attempts.values() if a.state < AttemptState.LINGERING]


class StartFence:
    """All key records of a home, kept for the resubmission window.

    Args:
        remember_s: how long a job is remembered after its last task ended.
        max_tasks: most ended tasks whose answers are held; the oldest jobs lose theirs first,
            and are still remembered.
        max_keys: most jobs that are remembered; a further one is refused.
        count: counter of metrics.
    """

    __slots__ = (
        "records",
        "attempts",
        "open_tasks",
        "_idle",
        "_held",
        "_remember_ms",
        "_max",
        "_keys",
        "_count",
    )

    def __init__(
        self, remember_s: float, max_tasks: int, max_keys: int, count: Callable[..., None]
    ) -> None:
        self.records: dict[str, KeyRecord] = {}
        self.attempts: dict[str, OpenAttempt] = {}
        self.open_tasks = 0
        self._idle: OrderedDict[str, KeyRecord] = OrderedDict()
        self._held: OrderedDict[str, KeyRecord] = OrderedDict()
        self._remember_ms = remember_s * 1000
        self._max = max_tasks
        self._keys = max_keys
        self._count = count

    def is_full(self, key: str) -> bool:
        """Whether a job would be one more than can be remembered."""
        return key not in self.records and len(self.records) >= self._keys

    def record(self, key: str, owner_id: str, term: int, service: str) -> KeyRecord:
        """Return the record of a key, made if need be, pointed to the newest owner."""
        record = self.records.get(key)
        if record is None:
            record = self.records[key] = KeyRecord(key, owner_id, term, service)
        elif term >= record.term:
            record.term = term
            record.owner_id = owner_id
        return record

    def admit(self, record: KeyRecord, task: HandedTask) -> OpenAttempt | None:
        """Note a handed task; ``None`` where it or its attempt was handed before."""
        known = task.index in record.attempts or record.is_spent(task.index)
        if known or task.attempt in self.attempts:
            return None
        attempt = OpenAttempt(task.attempt, record, task.index, task.spec)
        record.attempts[task.index] = attempt
        self.attempts[task.attempt] = attempt
        record.open_tasks += 1
        self.open_tasks += 1
        self._idle.pop(record.key, None)
        self._held.pop(record.key, None)
        return attempt

    def bar(self, record: KeyRecord, attempts: list[str]) -> None:
        """Promise that those of the attempts that are not known here will never start."""
        record.barred.update(attempt for attempt in attempts if attempt not in self.attempts)

    def broken(self, message: HandOff, indices: list[int]) -> InvariantBroken:
        """Return the error for tasks that were handed a second time."""
        self._count(f"home.invariant.{INVARIANT_ONE_START}", len(indices))
        log_message(
            "workers: a task was handed a second time.",
            invariant=INVARIANT_ONE_START,
            key=message.key,
            owner=message.owner_id,
            indices=indices,
        )
        return InvariantBroken(f"{INVARIANT_ONE_START}: job {message.key}, tasks {indices}")

    def withdraw(self, attempt: OpenAttempt, now_ms: float) -> None:
        """Forget a task that was not started, so that it may be handed again."""
        record = attempt.record
        del record.attempts[attempt.index]
        del self.attempts[attempt.attempt]
        attempt.state = AttemptState.ENDED
        self._close_one(record, now_ms)

    def end(self, attempt: OpenAttempt, outcome: TaskOutcome, now_ms: float) -> None:
        """Note the outcome of a task; its state is the caller's to set."""
        attempt.outcome = outcome
        attempt.spec = None
        self._close_one(attempt.record, now_ms)

    def settle(self, record: KeyRecord, now_ms: float) -> None:
        """Keep or drop a record that has no open task."""
        if record.open_tasks:
            return
        if record.attempts or record.spent or record.fenced or record.cancelled:
            record.idle_since_ms = now_ms
            for queue in (self._idle, self._held):
                queue[record.key] = record
                queue.move_to_end(record.key)
        else:
            self._idle.pop(record.key, None)
            self._held.pop(record.key, None)
            self.records.pop(record.key, None)

    def forget(self, now_ms: float) -> None:
        """Drop the records that are old, and the answers that are too many."""
        while self._idle:
            record = next(iter(self._idle.values()))
            if now_ms - record.idle_since_ms < self._remember_ms:
                break
            self._drop_answers(record)
            del self._idle[record.key]
            del self.records[record.key]
        while self._held and len(self.attempts) - self.open_tasks > self._max:
            record = next(iter(self._held.values()))
            self._count("home.answers_dropped", len(record.attempts))
            self._drop_answers(record)

    def _drop_answers(self, record: KeyRecord) -> None:
        self._held.pop(record.key, None)
        for index, attempt in record.attempts.items():
            record.spent |= 1 << index
            del self.attempts[attempt.attempt]
        record.attempts = {}

    def _close_one(self, record: KeyRecord, now_ms: float) -> None:
        record.open_tasks -= 1
        self.open_tasks -= 1
        self.settle(record, now_ms)

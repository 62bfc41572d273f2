"""Records of the tasks dispatched to a scheduler, which prevent that a task is started twice."""

from collections import OrderedDict
from collections.abc import Callable
from enum import IntEnum

from eliot import log_message

from camphorchute.contracts import InvariantBroken, ResultCode, TaskOutcome, TaskSpec
from camphorchute.contracts.messages import DispatchedTask, HandOff

__all__ = ["AttemptState", "KeyRecord", "OpenAttempt", "StartFence"]

INVARIANT_ONE_START = "one_start_per_task"


class AttemptState(IntEnum):
    """State of an attempt.

    ``WAITING`` precedes the start message. ``UNCLEAR`` means that the start message was sent and
    its answer was lost. A ``LINGERING`` attempt was reported as ended but may still occupy its
    slot.
    """

    WAITING = 0
    SENT = 1
    STARTED = 2
    UNCLEAR = 3
    LINGERING = 4
    ENDED = 5


class OpenAttempt:
    """A task that was dispatched to this scheduler, with its only attempt.

    Attributes:
        attempt: id of the attempt.
        record: record of the job.
        index: index of the task in its job.
        spec: the task, None once its outcome is known.
        link: the worker that the attempt was placed on, None before.
        state: state of the attempt.
        outcome: outcome of the task, None while it is not known.
        sent_ms: monotonic time at which the start message was sent.
        check_count: queries about the attempt so far, which set the backoff of the next one.
        next_check_ms: monotonic time of the next query.
    """

    __slots__ = (
        "attempt",
        "record",
        "index",
        "spec",
        "link",
        "state",
        "outcome",
        "sent_ms",
        "check_count",
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
        self.check_count = 0
        self.next_check_ms = 0.0


class KeyRecord:
    """State of one job at this scheduler.

    Attributes:
        term: highest term under which an owner dispatched tasks of the job or asked for them.
        deadline_ms: monotonic time of the job's deadline.
        deadline_check_ms: monotonic time at which the deadline is checked next, 0 for never.
        fenced: whether the record must outlive its tasks, to refuse an older owner.
        cancelled: whether the job was cancelled.
        barred_attempts: ids of the attempts that the scheduler has promised never to start.
        attempts: attempts by task index.
        expired_answers: bit mask of the tasks that ended and whose answers are no longer stored.
        open_tasks: number of attempts whose outcome is not known yet.
        idle_since_ms: monotonic time since when the job has had no open task.
    """

    __slots__ = (
        "key",
        "owner_id",
        "term",
        "service",
        "team",
        "deadline_ms",
        "deadline_check_ms",
        "fenced",
        "cancelled",
        "barred_attempts",
        "attempts",
        "expired_answers",
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
        self.deadline_check_ms = 0.0
        self.fenced = False
        self.cancelled = False
        self.barred_attempts: set[str] = set()
        self.attempts: dict[int, OpenAttempt] = {}
        self.expired_answers = 0
        self.open_tasks = 0
        self.idle_since_ms = 0.0

    def has_expired_answer(self, index: int) -> bool:
        """Return whether a task ended here and its answer is no longer stored."""
        return bool(self.expired_answers >> index & 1)

    def outcomes(self) -> list[TaskOutcome]:
        """Return the outcomes of the tasks that ended, ``ANSWER_EXPIRED`` without an answer."""
        known = [a.outcome for a in self.attempts.values() if a.outcome is not None]
        expired = [
            i for i in range(self.expired_answers.bit_length()) if self.has_expired_answer(i)
        ]
        return known + [TaskOutcome(i, int(ResultCode.ANSWER_EXPIRED)) for i in expired]

    def open_attempts(self) -> list[OpenAttempt]:
        """Return the attempts whose outcome is not known yet."""
        return [a for a in self.attempts.values() if a.state < AttemptState.LINGERING]


class StartFence:
    """All job records of a scheduler, retained for the resubmission window.

    Args:
        remember_s: seconds for which a job is remembered after its last task ended.
        max_tasks: maximum number of ended tasks whose answers are stored. Beyond it the oldest
            jobs lose their answers first; their records remain.
        max_keys: maximum number of jobs that are remembered. Further ones are refused.
        count: ``count(name, n)`` adds to a counter.
    """

    __slots__ = (
        "records",
        "attempts",
        "open_tasks",
        "_idle_records",
        "_with_answers",
        "_remember_ms",
        "_max_answers",
        "_max_keys",
        "_count",
    )

    def __init__(
        self, remember_s: float, max_tasks: int, max_keys: int, count: Callable[..., None]
    ) -> None:
        self.records: dict[str, KeyRecord] = {}
        self.attempts: dict[str, OpenAttempt] = {}
        self.open_tasks = 0
        self._idle_records: OrderedDict[str, KeyRecord] = OrderedDict()
        self._with_answers: OrderedDict[str, KeyRecord] = OrderedDict()
        self._remember_ms = remember_s * 1000
        self._max_answers = max_tasks
        self._max_keys = max_keys
        self._count = count

    def is_full(self, key: str) -> bool:
        """Return whether a job is unknown and ``max_keys`` jobs are remembered already."""
        return key not in self.records and len(self.records) >= self._max_keys

    def ensure_record(self, key: str, owner_id: str, term: int, service: str) -> KeyRecord:
        """Return the record of a job, created if missing, with its owner of the highest term."""
        record = self.records.get(key)
        if record is None:
            record = self.records[key] = KeyRecord(key, owner_id, term, service)
        elif term >= record.term:
            record.term = term
            record.owner_id = owner_id
        return record

    def admit_task(self, record: KeyRecord, task: DispatchedTask) -> OpenAttempt | None:
        """Add a dispatched task; return None if it or its attempt was dispatched before."""
        known = task.index in record.attempts or record.has_expired_answer(task.index)
        if known or task.attempt in self.attempts:
            return None
        attempt = OpenAttempt(task.attempt, record, task.index, task.spec)
        record.attempts[task.index] = attempt
        self.attempts[task.attempt] = attempt
        record.open_tasks += 1
        self.open_tasks += 1
        self._idle_records.pop(record.key, None)
        self._with_answers.pop(record.key, None)
        return attempt

    def bar_attempts(self, record: KeyRecord, attempts: list[str]) -> None:
        """Exclude those of the attempts that are not known here from ever being started."""
        record.barred_attempts.update(
            attempt for attempt in attempts if attempt not in self.attempts
        )

    def repeated_start_error(self, message: HandOff, indices: list[int]) -> InvariantBroken:
        """Count and log tasks that were dispatched a second time, and return the error to raise."""
        self._count(f"home.invariant.{INVARIANT_ONE_START}", len(indices))
        log_message(
            "workers: tasks were dispatched a second time and not started again.",
            invariant=INVARIANT_ONE_START,
            key=message.key,
            owner=message.owner_id,
            indices=indices,
        )
        return InvariantBroken(
            f"{INVARIANT_ONE_START}: job {message.key}, tasks {indices} dispatched a second time"
        )

    def withdraw_attempt(self, attempt: OpenAttempt, now_ms: float) -> None:
        """Remove a task that was not started, so that it may be dispatched again."""
        record = attempt.record
        del record.attempts[attempt.index]
        del self.attempts[attempt.attempt]
        attempt.state = AttemptState.ENDED
        self._close_task(record, now_ms)

    def record_outcome(self, attempt: OpenAttempt, outcome: TaskOutcome, now_ms: float) -> None:
        """Store the outcome of a task; the caller sets the state of the attempt."""
        attempt.outcome = outcome
        attempt.spec = None
        self._close_task(attempt.record, now_ms)

    def retain_or_drop(self, record: KeyRecord, now_ms: float) -> None:
        """Retain or drop a record without open tasks; do nothing if it has any.

        The record is retained, from now on for the resubmission window, if a task ended, an owner
        asked for the job's tasks or the job was cancelled.
        """
        if record.open_tasks:
            return
        if record.attempts or record.expired_answers or record.fenced or record.cancelled:
            record.idle_since_ms = now_ms
            for queue in (self._idle_records, self._with_answers):
                queue[record.key] = record
                queue.move_to_end(record.key)
        else:
            self._idle_records.pop(record.key, None)
            self._with_answers.pop(record.key, None)
            self.records.pop(record.key, None)

    def drop_expired(self, now_ms: float) -> None:
        """Drop the records past the resubmission window, and the answers beyond the maximum."""
        while self._idle_records:
            record = next(iter(self._idle_records.values()))
            if now_ms - record.idle_since_ms < self._remember_ms:
                break
            self._drop_answers(record)
            del self._idle_records[record.key]
            del self.records[record.key]
        while self._with_answers and len(self.attempts) - self.open_tasks > self._max_answers:
            record = next(iter(self._with_answers.values()))
            self._count("home.answers_dropped", len(record.attempts))
            self._drop_answers(record)

    def _drop_answers(self, record: KeyRecord) -> None:
        self._with_answers.pop(record.key, None)
        for index, attempt in record.attempts.items():
            record.expired_answers |= 1 << index
            del self.attempts[attempt.attempt]
        record.attempts = {}

    def _close_task(self, record: KeyRecord, now_ms: float) -> None:
        record.open_tasks -= 1
        self.open_tasks -= 1
        self.retain_or_drop(record, now_ms)

"""Stand-in callers that submit, resubmit, fetch and cancel work through random entries."""

import random

import gevent
import msgspec
from gevent.pool import Group, Pool

from bench.soak.http_call import make_call
from bench.soak.records import Call, CallKind
from bench.soak.soak_fleet import SERVICE, SoakFleet
from camphorchute.contracts import ResultCode, new_key
from camphorchute.contracts.codes import Fate

__all__ = ["Callers", "WorkItem", "is_fate_unclear"]

TASKS_MAX = 60
RUN_TIME_MIN_MS = 20.0
RUN_TIME_MAX_MS = 400.0
DEADLINE_MIN_MS = 3000.0
DEADLINE_MAX_MS = 15_000.0
ANSWER_GRACE_S = 10.0
FETCH_WAIT_MS = 4000.0
SHORT_CALL_TIMEOUT_S = 20.0
SUBMISSIONS_PER_S = 5.0
BURST_SIZE = 25
CANCEL_PENDING_PROBABILITY = 0.6
SUBMISSIONS_MAX = 4
RESUBMIT_CONCURRENCY = 16
RETRY_PAUSE_MIN_S = 0.2
RETRY_PAUSE_MAX_S = 1.2
REQUEST_PROBABILITY = 0.25
REPEATABLE_PROBABILITY = 0.2
DUPLICATE_SUBMIT_PROBABILITY = 0.25
CONFLICT_PROBABILITY = 0.05
CANCEL_PROBABILITY = 0.06
FETCH_PROBABILITY = 0.15
WRONG_RUN_TIME_PROBABILITY = 0.1
LARGEST_JOB_FAIL_PROBABILITY = 0.03

FINAL_FATES = (Fate.NOT_RUN.value, Fate.MAY_HAVE_RUN.value, Fate.RAN.value)


class WorkItem:
    """A job or a single request of a caller.

    Attributes:
        key: idempotency key.
        task_count: number of tasks; 1 for a request.
        deadline_ms: deadline in milliseconds from its submission.
        body: encoded body of the submission.
        is_request: whether it is a single request to an upstream.
        repeatable: whether the request may run more than once.
    """

    __slots__ = ("key", "task_count", "deadline_ms", "body", "is_request", "repeatable")

    def __init__(
        self, key: str, task_count: int, deadline_ms: float, body: bytes, is_request: bool
    ) -> None:
        self.key = key
        self.task_count = task_count
        self.deadline_ms = deadline_ms
        self.body = body
        self.is_request = is_request
        self.repeatable = False


class Callers:
    """All callers of a soak run.

    Args:
        fleet: the processes to call.
        seed: seed of the callers' random choices.

    Attributes:
        calls: every call, in the order of their start.
    """

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        self.calls: list[Call] = []
        self._fleet = fleet
        self._random = random.Random(f"callers {seed}")
        self._work_by_key: dict[str, WorkItem] = {}
        self._group = Group()
        self._number = 0

    def submit_continuously(self) -> None:
        """Submit new work at random times until the greenlet is killed."""
        while True:
            self._group.spawn(self._submit_until_clear, self._make_work())
            gevent.sleep(self._random.expovariate(SUBMISSIONS_PER_S))

    def submit_burst(self) -> None:
        """Submit ``BURST_SIZE`` pieces of new work at the same time."""
        for _ in range(BURST_SIZE):
            self._group.spawn(self._submit_until_clear, self._make_work())

    def cancel_pending_work(self) -> None:
        """Cancel a random majority of the work that has no answer yet."""
        ended = {call.key for call in self.calls if call.status}
        for work in list(self._work_by_key.values()):
            if work.key not in ended and self._random.random() < CANCEL_PENDING_PROBABILITY:
                self._group.spawn(self._cancel, work)

    def join(self, timeout_s: float) -> bool:
        """Wait up to a number of seconds for all calls to end; return whether they did."""
        self._group.join(timeout_s)
        return len(self._group) == 0

    def resubmit_unclear_work(self) -> int:
        """Submit all work of unclear fate once more; return the number of submissions."""
        unclear = [work for work in self._work_by_key.values() if self._is_unresolved(work)]
        Pool(RESUBMIT_CONCURRENCY).map(self._submit, unclear)
        return len(unclear)

    def _is_unresolved(self, work: WorkItem) -> bool:
        calls = [c for c in self.calls if c.key == work.key and c.is_submission]
        return all(is_fate_unclear(call) for call in calls if call.body_number == 0)

    def _submit_until_clear(self, work: WorkItem) -> None:
        """Submit work until its fate is clear, with random duplicates, conflicts and cancels."""
        self._work_by_key[work.key] = work
        rng = self._random
        if rng.random() < DUPLICATE_SUBMIT_PROBABILITY:
            self._group.start(gevent.Greenlet(self._submit_later, work))
        if rng.random() < CONFLICT_PROBABILITY and not work.is_request:
            self._group.start(gevent.Greenlet(self._submit_later, work, 1))
        if rng.random() < CANCEL_PROBABILITY:
            self._group.start(gevent.Greenlet(self._cancel_later, work))
        wait_ms = 0.0 if rng.random() < FETCH_PROBABILITY and not work.is_request else None
        call = self._submit(work, wait_ms=wait_ms)
        if call.code == ResultCode.ACCEPTED:
            call = self._fetch(work)
        for _ in range(SUBMISSIONS_MAX - 1):
            if not is_fate_unclear(call):
                return
            gevent.sleep(rng.uniform(RETRY_PAUSE_MIN_S, RETRY_PAUSE_MAX_S))
            call = self._submit(work)

    def _submit_later(self, work: WorkItem, body_number: int = 0) -> None:
        gevent.sleep(self._random.uniform(0.0, 1.0) ** 3)
        self._submit(work, body_number)

    def _cancel_later(self, work: WorkItem) -> None:
        gevent.sleep(self._random.uniform(0.0, 0.6))
        self._cancel(work)

    def _submit(self, work: WorkItem, body_number: int = 0, wait_ms: float | None = None) -> Call:
        timeout_s = work.deadline_ms / 1000.0 + ANSWER_GRACE_S
        if work.is_request:
            headers = {
                "Idempotency-Key": work.key,
                "X-Deadline-Ms": str(work.deadline_ms),
                "X-Repeatable": "1" if work.repeatable else "0",
            }
            path = f"/v1/requests/{SERVICE}/stamps"
            kind = CallKind.REQUEST
            return self._call(work, kind, "POST", path, work.body, headers, timeout_s)
        body, task_count = work.body, work.task_count
        if body_number:
            body, task_count = (
                _job_body([_task("run_ms=20", 20.0)] * (task_count + 1)),
                task_count + 1,
            )
        path = "/v1/jobs" if wait_ms is None else f"/v1/jobs?wait_ms={wait_ms:.0f}"
        headers = {"Idempotency-Key": work.key}
        kind = CallKind.SUBMIT
        return self._call(
            work, kind, "POST", path, body, headers, timeout_s, task_count, body_number
        )

    def _fetch(self, work: WorkItem) -> Call:
        path = f"/v1/jobs/{work.key}?wait_ms={FETCH_WAIT_MS:.0f}"
        return self._call(work, CallKind.FETCH, "GET", path, b"", {}, SHORT_CALL_TIMEOUT_S)

    def _cancel(self, work: WorkItem) -> Call:
        path = f"/v1/jobs/{work.key}"
        return self._call(work, CallKind.CANCEL, "DELETE", path, b"", {}, SHORT_CALL_TIMEOUT_S)

    def _call(
        self,
        work: WorkItem,
        kind: CallKind,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        timeout_s: float,
        task_count: int = 0,
        body_number: int = 0,
    ) -> Call:
        entry = self._random.choice(self._fleet.callable_entries() or self._fleet.entries)
        incarnation = self._fleet.current_incarnation(entry)
        call = Call(
            kind, work.key, task_count or work.task_count, incarnation, body_number, work.repeatable
        )
        call.is_for_upstream = work.is_request
        self.calls.append(call)
        make_call(call, entry.http_address, method, path, body, headers, timeout_s)
        return call

    def _make_work(self) -> WorkItem:
        rng = self._random
        self._number += 1
        deadline_ms = float(round(rng.uniform(DEADLINE_MIN_MS, DEADLINE_MAX_MS)))
        if rng.random() < REQUEST_PROBABILITY:
            body = msgspec.json.encode({"flag": f"QLD-{self._number}"})
            work = WorkItem(self._make_key(), 1, deadline_ms, body, True)
            work.repeatable = rng.random() < REPEATABLE_PROBABILITY
            return work
        tasks = [self._make_task() for _ in range(round(TASKS_MAX ** rng.random()))]
        body = _job_body(tasks, deadline_ms)
        return WorkItem(self._make_key(), len(tasks), deadline_ms, body, False)

    def _make_key(self) -> str:
        zone = self._random.choice([None, *self._fleet.zones])
        if self._random.random() < 0.7:
            return new_key(zone)
        name = f"order-{self._number}"
        return f"{zone}:{name}" if zone else name

    def _make_task(self) -> dict:
        rng = self._random
        run_time_ms = round(rng.uniform(RUN_TIME_MIN_MS, RUN_TIME_MAX_MS), 1)
        payload = f"run_ms={run_time_ms}"
        if rng.random() < WRONG_RUN_TIME_PROBABILITY:
            run_time_ms *= rng.choice([0.1, 5.0])
        if rng.random() < LARGEST_JOB_FAIL_PROBABILITY / TASKS_MAX:
            payload += " fail=1"
        return _task(payload, run_time_ms)


def is_fate_unclear(call: Call) -> bool:
    """Whether an answer does not determine if the tasks ran."""
    return not call.is_complete and call.fate not in FINAL_FATES


def _task(payload: str, run_time_ms: float) -> dict:
    return {"kind": "check", "payload": payload, "run_time_ms": run_time_ms}


def _job_body(tasks: list[dict], deadline_ms: float = DEADLINE_MIN_MS) -> bytes:
    body = {"service": SERVICE, "deadline_ms": deadline_ms, "tasks": tasks}
    return msgspec.json.encode(body)

"""Stand-in callers: they submit, submit again, fetch and cancel through any zone."""

import random

import gevent
import msgspec
from gevent.pool import Group, Pool

from bench.soak.http_call import make_call
from bench.soak.records import Call, CallKind
from bench.soak.site import SERVICE, Site
from camphorchute.contracts import ResultCode, new_key
from camphorchute.contracts.codes import Fate

__all__ = ["Callers", "Work", "is_unclear"]

TASKS_MAX = 60
RUN_TIME_MIN_MS = 20.0
RUN_TIME_MAX_MS = 400.0
DEADLINE_MIN_MS = 3000.0
DEADLINE_MAX_MS = 15_000.0
ANSWER_GRACE_S = 10.0
FETCH_WAIT_MS = 4000.0
SHORT_CALL_TIMEOUT_S = 20.0
JOBS_PER_S = 5.0
BURST_JOBS = 25
CANCEL_WAVE_SHARE = 0.6
TRIES_MAX = 4
SETTLE_CALLS = 16
PAUSE_MIN_S = 0.2
PAUSE_MAX_S = 1.2
REQUEST_SHARE = 0.25
REPEATABLE_SHARE = 0.2
TWICE_SHARE = 0.25
CONFLICT_SHARE = 0.05
CANCEL_SHARE = 0.06
FETCH_SHARE = 0.15
LIE_SHARE = 0.1
FAIL_SHARE = 0.03

FINAL_FATES = (Fate.NOT_RUN.value, Fate.MAY_HAVE_RUN.value, Fate.RAN.value)


class Work:
    """One piece of work of a caller.

    Attributes:
        key: the idempotency key.
        tasks: number of tasks.
        deadline_ms: its deadline.
        body: the body of the submission.
        is_request: whether it is a single request to an upstream.
        repeatable: whether the request may run more than once.
    """

    __slots__ = ("key", "tasks", "deadline_ms", "body", "is_request", "repeatable")

    def __init__(
        self, key: str, tasks: int, deadline_ms: float, body: bytes, is_request: bool
    ) -> None:
        self.key = key
        self.tasks = tasks
        self.deadline_ms = deadline_ms
        self.body = body
        self.is_request = is_request
        self.repeatable = False


class Callers:
    """All callers of a run.

    Args:
        site: the processes.
        seed: the seed of what they do.

    Attributes:
        calls: every call that was made.
    """

    def __init__(self, site: Site, seed: int) -> None:
        self.calls: list[Call] = []
        self._site = site
        self._random = random.Random(f"callers {seed}")
        self._works: dict[str, Work] = {}
        self._group = Group()
        self._number = 0

    def run(self) -> None:
        """Begin new work at random times until the greenlet is killed."""
        while True:
            self._group.spawn(self._carry_out, self._make_work())
            gevent.sleep(self._random.expovariate(JOBS_PER_S))

    def burst(self) -> None:
        """Begin much work at once."""
        for _ in range(BURST_JOBS):
            self._group.spawn(self._carry_out, self._make_work())

    def cancel_wave(self) -> None:
        """Cancel most of the work that has no answer yet."""
        ended = {call.key for call in self.calls if call.status}
        for work in list(self._works.values()):
            if work.key not in ended and self._random.random() < CANCEL_WAVE_SHARE:
                self._group.spawn(self._cancel, work)

    def join(self, timeout_s: float) -> bool:
        """Wait until every call has ended; return whether all did."""
        self._group.join(timeout_s)
        return len(self._group) == 0

    def settle(self) -> int:
        """Submit all work of unclear fate once more; return how much that was."""
        unclear = [work for work in self._works.values() if self._is_open(work)]
        Pool(SETTLE_CALLS).map(self._submit, unclear)
        return len(unclear)

    def _is_open(self, work: Work) -> bool:
        calls = [c for c in self.calls if c.key == work.key and c.is_submission]
        return all(is_unclear(call) for call in calls if call.body_number == 0)

    def _carry_out(self, work: Work) -> None:
        self._works[work.key] = work
        drawn = self._random
        if drawn.random() < TWICE_SHARE:
            self._group.start(gevent.Greenlet(self._submit_later, work))
        if drawn.random() < CONFLICT_SHARE and not work.is_request:
            self._group.start(gevent.Greenlet(self._submit_later, work, 1))
        if drawn.random() < CANCEL_SHARE:
            self._group.start(gevent.Greenlet(self._cancel_later, work))
        wait_ms = 0.0 if drawn.random() < FETCH_SHARE and not work.is_request else None
        call = self._submit(work, wait_ms=wait_ms)
        if call.code == ResultCode.ACCEPTED:
            call = self._fetch(work)
        for _ in range(TRIES_MAX - 1):
            if not is_unclear(call):
                return
            gevent.sleep(drawn.uniform(PAUSE_MIN_S, PAUSE_MAX_S))
            call = self._submit(work)

    def _submit_later(self, work: Work, body_number: int = 0) -> None:
        gevent.sleep(self._random.uniform(0.0, 1.0) ** 3)
        self._submit(work, body_number)

    def _cancel_later(self, work: Work) -> None:
        gevent.sleep(self._random.uniform(0.0, 0.6))
        self._cancel(work)

    def _submit(self, work: Work, body_number: int = 0, wait_ms: float | None = None) -> Call:
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
        body, tasks = work.body, work.tasks
        if body_number:
            body, tasks = _job_body([_task("run_ms=20", 20.0)] * (tasks + 1)), tasks + 1
        path = "/v1/jobs" if wait_ms is None else f"/v1/jobs?wait_ms={wait_ms:.0f}"
        headers = {"Idempotency-Key": work.key}
        kind = CallKind.SUBMIT
        return self._call(work, kind, "POST", path, body, headers, timeout_s, tasks, body_number)

    def _fetch(self, work: Work) -> Call:
        path = f"/v1/jobs/{work.key}?wait_ms={FETCH_WAIT_MS:.0f}"
        return self._call(work, CallKind.FETCH, "GET", path, b"", {}, SHORT_CALL_TIMEOUT_S)

    def _cancel(self, work: Work) -> Call:
        path = f"/v1/jobs/{work.key}"
        return self._call(work, CallKind.CANCEL, "DELETE", path, b"", {}, SHORT_CALL_TIMEOUT_S)

    def _call(
        self,
        work: Work,
        kind: CallKind,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        timeout_s: float,
        tasks: int = 0,
        body_number: int = 0,
    ) -> Call:
        entry = self._random.choice(self._site.callable_entries() or self._site.entries)
        life = self._site.life_of(entry)
        call = Call(kind, work.key, tasks or work.tasks, life, body_number, work.repeatable)
        call.for_upstream = work.is_request
        self.calls.append(call)
        make_call(call, entry.http_address, method, path, body, headers, timeout_s)
        return call

    def _make_work(self) -> Work:
        drawn = self._random
        self._number += 1
        deadline_ms = float(round(drawn.uniform(DEADLINE_MIN_MS, DEADLINE_MAX_MS)))
        if drawn.random() < REQUEST_SHARE:
            body = msgspec.json.encode({"flag": f"QLD-{self._number}"})
            work = Work(self._make_key(), 1, deadline_ms, body, True)
            work.repeatable = drawn.random() < REPEATABLE_SHARE
            return work
        tasks = [self._make_task() for _ in range(round(TASKS_MAX ** drawn.random()))]
        body = _job_body(tasks, deadline_ms)
        return Work(self._make_key(), len(tasks), deadline_ms, body, False)

    def _make_key(self) -> str:
        zone = self._random.choice([None, *self._site.zones])
        if self._random.random() < 0.7:
            return new_key(zone)
        name = f"order-{self._number}"
        return f"{zone}:{name}" if zone else name

    def _make_task(self) -> dict:
        drawn = self._random
        run_time_ms = round(drawn.uniform(RUN_TIME_MIN_MS, RUN_TIME_MAX_MS), 1)
        payload = f"run_ms={run_time_ms}"
        if drawn.random() < LIE_SHARE:
            run_time_ms *= drawn.choice([0.1, 5.0])
        if drawn.random() < FAIL_SHARE / TASKS_MAX:
            payload += " fail=1"
        return _task(payload, run_time_ms)


def is_unclear(call: Call) -> bool:
    """Whether an answer leaves open what became of the work."""
    return not call.is_complete and call.fate not in FINAL_FATES


def _task(payload: str, run_time_ms: float) -> dict:
    return {"kind": "check", "payload": payload, "run_time_ms": run_time_ms}


def _job_body(tasks: list[dict], deadline_ms: float = DEADLINE_MIN_MS) -> bytes:
    body = {"service": SERVICE, "deadline_ms": deadline_ms, "tasks": tasks}
    return msgspec.json.encode(body)

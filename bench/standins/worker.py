"""A worker: it runs tasks by sleeping and keeps an independent record of every start."""

import os
from collections import Counter, defaultdict, deque
from collections.abc import Callable

import gevent
from gevent.event import Event

from bench.standins.server import ConnectionDropped, Faults, Reply, Request, Standin, now_unix_ms

__all__ = ["Worker", "WorkerFaults"]

ENDED_KEPT = 100_000
FAIL_RUN_MS = 1.0
EXIT_CRASHED = 70


class WorkerFaults(Faults):
    """Faults of a worker.

    Attributes:
        refuse: every attempt is refused.
        fail_all: every attempt fails as soon as it started.
        crash: the worker is lost now, with all that it held.
        slow_factor: factor on every run time.
        lie_slots: slots that the status adds to those that exist.
        double_answers: every answer is given twice.
        late_ms: time between the end of a task and its answer, milliseconds.
        lose_answers: number of deliveries that start and whose connection then closes.
    """

    refuse: bool = False
    fail_all: bool = False
    crash: bool = False
    slow_factor: float = 1.0
    lie_slots: int = 0
    double_answers: bool = False
    late_ms: float = 0.0
    lose_answers: int = 0


class Attempt:
    """One started attempt."""

    __slots__ = (
        "attempt",
        "job",
        "index",
        "service",
        "home",
        "payload",
        "run_time_ms",
        "state",
        "ok",
        "answer",
        "run_ms",
        "greenlet",
    )

    def __init__(self, home: str, fields: dict) -> None:
        self.attempt = fields["attempt"]
        self.job = fields["job"]
        self.index = int(fields["index"])
        self.service = fields.get("service", "")
        self.home = home
        self.payload = payload_fields(fields.get("payload", ""))
        declared_ms = float(fields.get("run_time_ms", 0.0))
        self.run_time_ms = float(self.payload.get("run_ms", declared_ms))
        self.state = "running"
        self.ok = False
        self.answer = ""
        self.run_ms = 0.0
        self.greenlet: gevent.Greenlet | None = None

    def outcome(self) -> dict:
        """Return the fields that the answer and the search have in common."""
        return {
            "attempt": self.attempt,
            "index": self.index,
            "ok": self.ok,
            "answer": self.answer,
            "run_ms": self.run_ms,
        }


class AnswerQueue:
    """The answers for one home, numbered from 1."""

    __slots__ = ("last", "kept", "added")

    def __init__(self) -> None:
        self.last = 0
        self.kept: deque[tuple[int, dict]] = deque()
        self.added = Event()

    def add(self, answer: dict) -> None:
        """Append an answer and wake those that wait."""
        self.last += 1
        self.kept.append((self.last, answer))
        added, self.added = self.added, Event()
        added.set()

    def after(self, number: int) -> list[dict]:
        """Forget the answers up to a number and return the rest."""
        while self.kept and self.kept[0][0] <= number:
            self.kept.popleft()
        return [answer for _, answer in self.kept]


class Worker(Standin):
    """The stand-in for a worker.

    A payload may hold ``run_ms=<n>``, the time that the task really takes, and ``fail=1``.

    Args:
        address: ``ip:port``.
        slots: tasks that run at once.
        speed: factor on every run time; 2.0 is a worker of half the speed.
        cpus: processors in its status.
        memory_mb: memory in its status, megabytes.
        accelerators: accelerators in its status.
        on_crash: called instead of ending the process when the worker crashes.

    Attributes:
        starts: every start in order, with the fields of ``GET /record``.
        calls: number of requests by path.
        group: the started workers of the process, by address.
    """

    faults_type = WorkerFaults

    def __init__(
        self,
        address: str,
        slots: int = 8,
        speed: float = 1.0,
        cpus: int = 32,
        memory_mb: int = 65536,
        accelerators: int = 0,
        on_crash: Callable[["Worker"], None] | None = None,
    ) -> None:
        super().__init__(address)
        self.slots = slots
        self.speed = speed
        self.starts: list[tuple[str, str, int, str, float]] = []
        self.calls = Counter()
        self.group: dict[str, Worker] = {}
        self._size = {"cpus": cpus, "memory_mb": memory_mb, "accelerators": accelerators}
        self._on_crash = on_crash
        self._running: set[Attempt] = set()
        self._ended: deque[Attempt] = deque()
        self._by_job: dict[str, list[Attempt]] = defaultdict(list)
        self._answers: dict[str, AnswerQueue] = defaultdict(AnswerQueue)
        self.routes |= {
            ("POST", "/v1/attempts"): self._start_attempts,
            ("GET", "/v1/answers"): self._give_answers,
            ("POST", "/v1/attempts/find"): self._find,
            ("POST", "/v1/attempts/stop"): self._stop,
            ("GET", "/v1/status"): self._status,
            ("GET", "/record"): self._record,
        }

    def start(self) -> None:
        """Listen."""
        super().start()
        self.group[self.address] = self

    def close(self) -> None:
        """Stop listening and stop every task without an answer."""
        super().close()
        for attempt in list(self._running):
            attempt.greenlet.kill()
        self._running.clear()

    def before(self, request: Request) -> None:
        """Count the request and let the faults act on it."""
        self.calls[request.path] += 1
        super().before(request)

    def faults_changed(self, request: Request) -> None:
        """Act on faults that were just set."""
        super().faults_changed(request)
        if not self.faults.crash:
            return
        if self._on_crash is None:
            os._exit(EXIT_CRASHED)
        self._on_crash(self)
        raise ConnectionDropped

    def _start_attempts(self, request: Request) -> Reply:
        body = request.json()
        refused = []
        for attempt in [Attempt(body["home"], fields) for fields in body["attempts"]]:
            if self.faults.refuse or len(self._running) >= self.slots:
                refused.append({"attempt": attempt.attempt, "reason": "no_slot"})
            else:
                self._start(attempt)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise ConnectionDropped
        return Reply({"refused": refused})

    def _start(self, attempt: Attempt) -> None:
        row = (attempt.attempt, attempt.job, attempt.index, attempt.service, now_unix_ms())
        self.starts.append(row)
        self._running.add(attempt)
        self._by_job[attempt.job].append(attempt)
        attempt.greenlet = gevent.spawn(self._run, attempt, now_unix_ms())

    def _run(self, attempt: Attempt, started_unix_ms: float) -> None:
        fails = self.faults.fail_all or attempt.payload.get("fail") == "1"
        run_ms = attempt.run_time_ms * self.speed * self.faults.slow_factor
        gevent.sleep((FAIL_RUN_MS if self.faults.fail_all else run_ms) / 1000.0)
        answer = "failed" if fails else f"{attempt.job}/{attempt.index}"
        self._end(attempt, not fails, answer, now_unix_ms() - started_unix_ms)

    def _end(self, attempt: Attempt, ok: bool, answer: str, run_ms: float) -> None:
        self._running.discard(attempt)
        attempt.state, attempt.ok, attempt.answer, attempt.run_ms = "ended", ok, answer, run_ms
        attempt.greenlet = None
        self._ended.append(attempt)
        if len(self._ended) > ENDED_KEPT:
            self._forget(self._ended.popleft())
        if self.faults.late_ms:
            gevent.spawn_later(self.faults.late_ms / 1000.0, self._answer, attempt)
        else:
            self._answer(attempt)

    def _forget(self, attempt: Attempt) -> None:
        attempts = self._by_job[attempt.job]
        attempts.remove(attempt)
        if not attempts:
            del self._by_job[attempt.job]

    def _answer(self, attempt: Attempt) -> None:
        answer = attempt.outcome() | {"job": attempt.job}
        for _ in range(2 if self.faults.double_answers else 1):
            self._answers[attempt.home].add(answer)

    def _give_answers(self, request: Request) -> Reply:
        home, after = request.query["home"], int(request.query.get("after", 0))
        if home == "*":
            raise ValueError("home is * and must name one")
        queue = self._answers[home]
        added = queue.added
        answers = queue.after(after)
        if not answers and after <= queue.last:
            added.wait(float(request.query.get("wait_ms", 0)) / 1000.0)
            answers = queue.after(after)
        return Reply({"last": queue.last, "answers": answers})

    def _find(self, request: Request) -> Reply:
        attempts = self._by_job.get(request.json()["job"], [])
        return Reply({"attempts": [a.outcome() | {"state": a.state} for a in attempts]})

    def _stop(self, request: Request) -> Reply:
        attempts = self._by_job.get(request.json()["job"], [])
        running = [attempt for attempt in attempts if attempt in self._running]
        for attempt in running:
            attempt.greenlet.kill(block=False)
            self._end(attempt, False, "stopped", 0.0)
        return Reply({"stopped": [attempt.attempt for attempt in running]})

    def _status(self, request: Request) -> Reply:
        slots = self.slots + self.faults.lie_slots
        return Reply({"slots": slots, "running": len(self._running)} | self._size)

    def _record(self, request: Request) -> Reply:
        """Answer the starts, from place ``after`` on, and the number of calls by path.

        ``worker=<address>`` asks for those of another worker of the process, also after it
        crashed.
        """
        names = ("attempt", "job", "index", "service", "unix_ms")
        worker = self.group[request.query.get("worker", self.address)]
        starts = worker.starts[int(request.query.get("after", 0)) :]
        rows = [dict(zip(names, row, strict=True)) for row in starts]
        return Reply({"starts": rows, "calls": worker.calls})


def payload_fields(payload: str) -> dict[str, str]:
    """Return the ``name=value`` words of a payload.

    Examples:
        >>> payload_fields("run_ms=40 fail=1 other")
        {'run_ms': '40', 'fail': '1'}
    """
    return dict(word.split("=", 1) for word in payload.split() if "=" in word)

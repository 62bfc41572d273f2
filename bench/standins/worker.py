"""Stand-in for a worker: runs tasks by sleeping and records every start independently."""

import os
from collections import Counter, defaultdict, deque
from collections.abc import Callable

import gevent
from gevent.event import Event

from bench.standins.server import ConnectionDropped, Faults, Reply, Request, Standin, now_unix_ms

__all__ = ["Worker", "WorkerFaults"]

MAX_ENDED_ATTEMPTS = 100_000
FAIL_ALL_RUN_MS = 1.0
CRASH_EXIT_CODE = 70


class WorkerFaults(Faults):
    """Faults of a worker.

    Attributes:
        refuse: whether every attempt is refused.
        fail_all: whether every attempt fails right after it starts.
        crash: crashes the worker immediately; its running tasks and its answers are lost.
        slow_factor: factor that multiplies every run time.
        lie_slots: number of slots that the status reports beyond those that exist.
        double_answers: whether every answer is delivered twice.
        late_ms: delay between the completion of a task and its answer, in milliseconds.
        lose_answers: number of start requests that take effect and whose connection is then
            closed without an answer.
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
    """One attempt to run a task.

    Args:
        scheduler: name of the scheduler that receives its answer.
        fields: its fields in the start request.

    Attributes:
        attempt: id of the attempt.
        job: id of the job.
        index: index of the task in the job.
        service: name of the service.
        scheduler: name of the scheduler that receives its answer.
        payload: the ``name=value`` words of its payload.
        run_time_ms: time that it takes at speed 1, in milliseconds.
        state: ``running`` or ``ended``.
        ok: whether it ended with success.
        answer: the text of its answer, empty while it runs.
        run_ms: time that it ran, in milliseconds; 0 while it runs and after a stop.
        greenlet: the greenlet that runs it, None once it has ended.
    """

    __slots__ = (
        "attempt",
        "job",
        "index",
        "service",
        "scheduler",
        "payload",
        "run_time_ms",
        "state",
        "ok",
        "answer",
        "run_ms",
        "greenlet",
    )

    def __init__(self, scheduler: str, fields: dict) -> None:
        self.attempt = fields["attempt"]
        self.job = fields["job"]
        self.index = int(fields["index"])
        self.service = fields.get("service", "")
        self.scheduler = scheduler
        self.payload = parse_payload_fields(fields.get("payload", ""))
        declared_ms = float(fields.get("run_time_ms", 0.0))
        self.run_time_ms = float(self.payload.get("run_ms", declared_ms))
        self.state = "running"
        self.ok = False
        self.answer = ""
        self.run_ms = 0.0
        self.greenlet: gevent.Greenlet | None = None

    def outcome(self) -> dict:
        """Return the fields that an answer and an item of ``/v1/attempts/find`` share."""
        return {
            "attempt": self.attempt,
            "index": self.index,
            "ok": self.ok,
            "answer": self.answer,
            "run_ms": self.run_ms,
        }


class AnswerQueue:
    """Answers for one scheduler, numbered from 1.

    Attributes:
        last_number: number of the last answer, 0 before the first.
        numbered_answers: the answers that were not discarded, each with its number.
        answer_added: event that the next answer sets; each answer replaces it.
    """

    __slots__ = ("last_number", "numbered_answers", "answer_added")

    def __init__(self) -> None:
        self.last_number = 0
        self.numbered_answers: deque[tuple[int, dict]] = deque()
        self.answer_added = Event()

    def add(self, answer: dict) -> None:
        """Append an answer and wake the polls that wait for it."""
        self.last_number += 1
        self.numbered_answers.append((self.last_number, answer))
        answer_added, self.answer_added = self.answer_added, Event()
        answer_added.set()

    def discard_through(self, number: int) -> list[dict]:
        """Discard the answers up to and including a number and return the others."""
        while self.numbered_answers and self.numbered_answers[0][0] <= number:
            self.numbered_answers.popleft()
        return [answer for _, answer in self.numbered_answers]


class Worker(Standin):
    """Stand-in for a worker.

    A payload may contain ``run_ms=<n>``, the actual run time of the task in milliseconds, and
    ``fail=1``, which makes it fail.

    Args:
        address: ``ip:port`` to listen on.
        slots: number of tasks that run at once.
        speed: factor that multiplies every run time; 2.0 is a worker of half the speed.
        cpus: number of processors in its status.
        memory_mb: memory in its status, in megabytes.
        accelerators: number of accelerators in its status.
        on_crash: called with the worker when it crashes; the process exits if it is None.

    Attributes:
        starts: every start in order, as a tuple of the fields of ``GET /record``.
        calls: number of requests by path.
        workers_by_address: the started workers of the process, by address.
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
        self.workers_by_address: dict[str, Worker] = {}
        self._capacity = {"cpus": cpus, "memory_mb": memory_mb, "accelerators": accelerators}
        self._on_crash = on_crash
        self._running_attempts: set[Attempt] = set()
        self._ended_attempts: deque[Attempt] = deque()
        self._attempts_by_job: dict[str, list[Attempt]] = defaultdict(list)
        self._answer_queues: dict[str, AnswerQueue] = defaultdict(AnswerQueue)
        self.routes |= {
            ("POST", "/v1/attempts"): self._start_attempts,
            ("GET", "/v1/answers"): self._get_answers,
            ("POST", "/v1/attempts/find"): self._find_attempts,
            ("POST", "/v1/attempts/stop"): self._stop_attempts,
            ("GET", "/v1/status"): self._get_status,
            ("GET", "/record"): self._get_record,
        }

    def start(self) -> None:
        """Start listening and add the worker to ``workers_by_address``."""
        super().start()
        self.workers_by_address[self.address] = self

    def close(self) -> None:
        """Stop listening and kill every running task without an answer."""
        super().close()
        for attempt in list(self._running_attempts):
            attempt.greenlet.kill()
        self._running_attempts.clear()

    def before_request(self, request: Request) -> None:
        """Count the request and apply the faults to it."""
        self.calls[request.path] += 1
        super().before_request(request)

    def apply_changed_faults(self, request: Request) -> None:
        """Carry out the faults that take effect once, when they are set.

        Raises:
            ConnectionDropped: the worker crashed and the process continues.
        """
        super().apply_changed_faults(request)
        if not self.faults.crash:
            return
        if self._on_crash is None:
            os._exit(CRASH_EXIT_CODE)
        self._on_crash(self)
        raise ConnectionDropped

    def _start_attempts(self, request: Request) -> Reply:
        body = request.json()
        refused = []
        for attempt in [Attempt(body["home"], fields) for fields in body["attempts"]]:
            if self.faults.refuse or len(self._running_attempts) >= self.slots:
                refused.append({"attempt": attempt.attempt, "reason": "no_slot"})
            else:
                self._start_attempt(attempt)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise ConnectionDropped
        return Reply({"refused": refused})

    def _start_attempt(self, attempt: Attempt) -> None:
        start = (attempt.attempt, attempt.job, attempt.index, attempt.service, now_unix_ms())
        self.starts.append(start)
        self._running_attempts.add(attempt)
        self._attempts_by_job[attempt.job].append(attempt)
        attempt.greenlet = gevent.spawn(self._run_attempt, attempt, now_unix_ms())

    def _run_attempt(self, attempt: Attempt, started_unix_ms: float) -> None:
        fails = self.faults.fail_all or attempt.payload.get("fail") == "1"
        run_ms = attempt.run_time_ms * self.speed * self.faults.slow_factor
        gevent.sleep((FAIL_ALL_RUN_MS if self.faults.fail_all else run_ms) / 1000.0)
        answer = "failed" if fails else f"{attempt.job}/{attempt.index}"
        self._end_attempt(attempt, not fails, answer, now_unix_ms() - started_unix_ms)

    def _end_attempt(self, attempt: Attempt, ok: bool, answer: str, run_ms: float) -> None:
        self._running_attempts.discard(attempt)
        attempt.state, attempt.ok, attempt.answer, attempt.run_ms = "ended", ok, answer, run_ms
        attempt.greenlet = None
        self._ended_attempts.append(attempt)
        if len(self._ended_attempts) > MAX_ENDED_ATTEMPTS:
            self._forget_attempt(self._ended_attempts.popleft())
        if self.faults.late_ms:
            gevent.spawn_later(self.faults.late_ms / 1000.0, self._add_answers, attempt)
        else:
            self._add_answers(attempt)

    def _forget_attempt(self, attempt: Attempt) -> None:
        attempts = self._attempts_by_job[attempt.job]
        attempts.remove(attempt)
        if not attempts:
            del self._attempts_by_job[attempt.job]

    def _add_answers(self, attempt: Attempt) -> None:
        answer = attempt.outcome() | {"job": attempt.job}
        for _ in range(2 if self.faults.double_answers else 1):
            self._answer_queues[attempt.scheduler].add(answer)

    def _get_answers(self, request: Request) -> Reply:
        scheduler, after = request.query["home"], int(request.query.get("after", 0))
        if scheduler == "*":
            raise ValueError("home is '*', expected the name of one scheduler")
        queue = self._answer_queues[scheduler]
        answer_added = queue.answer_added
        answers = queue.discard_through(after)
        if not answers and after <= queue.last_number:
            answer_added.wait(float(request.query.get("wait_ms", 0)) / 1000.0)
            answers = queue.discard_through(after)
        return Reply({"last": queue.last_number, "answers": answers})

    def _find_attempts(self, request: Request) -> Reply:
        attempts = self._attempts_by_job.get(request.json()["job"], [])
        return Reply({"attempts": [a.outcome() | {"state": a.state} for a in attempts]})

    def _stop_attempts(self, request: Request) -> Reply:
        attempts = self._attempts_by_job.get(request.json()["job"], [])
        running = [attempt for attempt in attempts if attempt in self._running_attempts]
        for attempt in running:
            attempt.greenlet.kill(block=False)
            self._end_attempt(attempt, False, "stopped", 0.0)
        return Reply({"stopped": [attempt.attempt for attempt in running]})

    def _get_status(self, request: Request) -> Reply:
        slots = self.slots + self.faults.lie_slots
        return Reply({"slots": slots, "running": len(self._running_attempts)} | self._capacity)

    def _get_record(self, request: Request) -> Reply:
        """Return the starts from position ``after`` on and the number of calls by path.

        ``worker=<address>`` selects another worker of the process, which may have crashed.
        """
        names = ("attempt", "job", "index", "service", "unix_ms")
        worker = self.workers_by_address[request.query.get("worker", self.address)]
        starts = worker.starts[int(request.query.get("after", 0)) :]
        rows = [dict(zip(names, row, strict=True)) for row in starts]
        return Reply({"starts": rows, "calls": worker.calls})


def parse_payload_fields(payload: str) -> dict[str, str]:
    """Return the ``name=value`` words of a payload.

    Examples:
        >>> parse_payload_fields("run_ms=40 fail=1 other")
        {'run_ms': '40', 'fail': '1'}
    """
    return dict(word.split("=", 1) for word in payload.split() if "=" in word)

"""A fake back end with injected faults, and a scheduler whose loops a test runs step by step."""

import random
from collections import Counter
from contextlib import contextmanager

from eliot.testing import MemoryLogger, swap_logger

from camphorchute.contracts import ResultCode, TaskSpec
from camphorchute.contracts.messages import (
    DispatchedTask,
    Grant,
    HandOff,
    TasksEnded,
    TasksReturned,
)
from camphorchute.services.definition import ServiceDefinition, Worker
from camphorchute.workers.back_end import (
    RUNNING,
    AnswerPage,
    AttemptAnswer,
    BackEnd,
    BackEndError,
    BackEndStatus,
    FoundAttempt,
    StartReport,
)
from camphorchute.workers.task_scheduler import TaskScheduler
from camphorchute.workers.timing import SchedulerTiming


@contextmanager
def captured_logs():
    logger = MemoryLogger()
    previous = swap_logger(logger)
    try:
        yield logger.messages
    finally:
        swap_logger(previous)


class FakeBackEnd(BackEnd):
    """A worker in memory; ``start_fault`` is one of the names in :meth:`start_attempts`."""

    def __init__(self, address="127.0.0.1:1", slots=8):
        super().__init__("home", address)
        self.slots = slots
        self.start_fault = ""
        self.unresponsive = False
        self.finds_nothing = False
        self.calls = Counter()
        self.batches = []
        self.running = {}
        self.ended = {}
        self.answers = []
        self.busy_by_others = 0
        self.during_start = None

    def start_attempts(self, attempts):
        self.calls["start"] += 1
        ids = [attempt.attempt for attempt in attempts]
        if self.start_fault == "unreachable":
            return StartReport(refused=dict.fromkeys(ids, "unreachable"))
        if self.start_fault == "no_slot":
            return StartReport(refused=dict.fromkeys(ids, "no_slot"))
        if self.start_fault == "request lost":
            return StartReport(unclear=ids)
        self.batches.append(ids)
        self.running.update({attempt.attempt: attempt for attempt in attempts})
        if self.during_start is not None:
            self.during_start()
        if self.start_fault == "raises":
            raise RuntimeError("injected fault of the back end")
        if self.start_fault == "answer lost":
            return StartReport(unclear=ids)
        return StartReport(started=ids)

    def finish(self, *ids, ok=True, answer=None):
        for attempt_id in ids:
            attempt = self.running.pop(attempt_id)
            text = f"answer of {attempt_id}" if answer is None else answer
            entry = AttemptAnswer(attempt_id, attempt.job, attempt.index, ok, text, 10.0)
            self.ended[attempt_id] = entry
            self.answers.append(entry)

    def next_answers(self, after, wait_ms):
        self._handle_query("poll")
        return AnswerPage(len(self.answers), self.answers[after:])

    def find_attempts(self, job):
        self._handle_query("find_attempts")
        if self.finds_nothing:
            return []
        running = [FoundAttempt(a.attempt, a.index, RUNNING) for a in self.running.values()]
        ended = [
            FoundAttempt(a.attempt, a.index, "ended", a.ok, a.answer, a.run_ms)
            for a in self.ended.values()
        ]
        return running + ended

    def stop_job(self, job):
        self._handle_query("stop_job")

    def status(self):
        self._handle_query("status")
        return BackEndStatus(self.slots, len(self.running) + self.busy_by_others)

    def _handle_query(self, name):
        self.calls[name] += 1
        if self.unresponsive:
            raise BackEndError("the fake back end does not answer")


class SchedulerHarness:
    """A scheduler with fake workers, a clock that the test moves and the messages to owners."""

    def __init__(self, workers=1, slots=8, back_ends=None, **timing):
        self.now_s = 1000.0
        self.sent_messages = []
        self.counts = Counter()
        self.back_ends = back_ends or [
            FakeBackEnd(f"127.0.0.1:{n + 1}", slots) for n in range(workers)
        ]
        self.workers = [
            Worker(name=f"w{n}", address=fake.address, zone="north", slots=slots)
            for n, fake in enumerate(self.back_ends)
        ]
        by_address = {fake.address: fake for fake in self.back_ends}
        self.scheduler = TaskScheduler(
            "home",
            self.record_message,
            clock=lambda: self.now_s,
            metrics=lambda name, n=1: self.counts.update({name: n}),
            timing=SchedulerTiming(**timing),
            rng=random.Random(5),
            back_ends=lambda scheduler_id, worker: by_address[worker.address],
        )
        self.definition = ServiceDefinition(name="flags", workers=self.workers)
        self.scheduler.set_workers(self.definition, self.workers)

    @property
    def back_end(self):
        return self.back_ends[0]

    def record_message(self, owner_id, message):
        self.sent_messages.append((owner_id, message))
        return True

    def dispatch(self, key="job", indices=(0,), owner="owner", term=1, granted=0, **fields):
        spec = fields.pop("spec", TaskSpec())
        message = HandOff(
            key=key,
            shard=0,
            term=term,
            owner_id=owner,
            service="flags",
            team=fields.pop("team", "team"),
            remaining_ms=fields.pop("remaining_ms", 60_000.0),
            granted=granted,
            tasks=[DispatchedTask(i, fields.get("attempt", f"{key}-{i}"), spec) for i in indices],
        )
        self.scheduler.dispatch_tasks(message)

    def step(self, ms=0.0):
        """Advance the clock and run the loop of every greenlet once."""
        self.now_s += ms / 1000
        self.scheduler.sweep()
        for link in self.scheduler.links():
            link.send_starts()
            link.poll_once()
            link.checks.run_due_checks()

    def run_steps(self, steps, ms=100.0):
        for _ in range(steps):
            self.step(ms)

    def owner_reports(self, owner="owner"):
        """Return the reports to an owner in order, as (name of the code, task index or attempt)."""
        reports = []
        for receiver, message in self.sent_messages:
            if receiver != owner:
                continue
            if isinstance(message, TasksEnded):
                reports += [(ResultCode(o.code).name, o.index) for o in message.outcomes]
            elif isinstance(message, TasksReturned):
                reports += [(ResultCode(message.code).name, a) for a in message.attempts]
        return reports

    def granted_slots(self, owner="owner"):
        return sum(m.slots for o, m in self.sent_messages if o == owner and isinstance(m, Grant))

    @property
    def free_slots(self):
        return self.scheduler.slot_counts()[0].free

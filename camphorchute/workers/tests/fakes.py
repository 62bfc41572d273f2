"""A back end with explicit faults, and a home whose greenlets are stepped by hand."""

import random
from collections import Counter
from contextlib import contextmanager

from eliot.testing import MemoryLogger, swap_logger

from camphorchute.contracts import ResultCode, TaskSpec
from camphorchute.contracts.messages import Grant, HandedTask, HandOff, TasksEnded, TasksReturned
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
from camphorchute.workers.home import Home
from camphorchute.workers.timing import HomeTiming


@contextmanager
def captured_logs():
    logger = MemoryLogger()
    before = swap_logger(logger)
    try:
        yield logger.messages
    finally:
        swap_logger(before)


class FakeBackEnd(BackEnd):
    """A worker; ``start_fault`` is one of the names in :meth:`start_attempts`."""

    def __init__(self, address="127.0.0.1:1", slots=8):
        super().__init__("home", address)
        self.slots = slots
        self.start_fault = ""
        self.silent = False
        self.finds_nothing = False
        self.calls = Counter()
        self.batches = []
        self.running = {}
        self.ended = {}
        self.answers = []
        self.foreign = 0
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
            raise RuntimeError("a fault of the back end")
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
        self._ask("poll")
        return AnswerPage(len(self.answers), self.answers[after:])

    def find(self, job):
        self._ask("find")
        if self.finds_nothing:
            return []
        running = [FoundAttempt(a.attempt, a.index, RUNNING) for a in self.running.values()]
        ended = [
            FoundAttempt(a.attempt, a.index, "ended", a.ok, a.answer, a.run_ms)
            for a in self.ended.values()
        ]
        return running + ended

    def stop(self, job):
        self._ask("stop")

    def status(self):
        self._ask("status")
        return BackEndStatus(self.slots, len(self.running) + self.foreign)

    def _ask(self, name):
        self.calls[name] += 1
        if self.silent:
            raise BackEndError("silent")


class Stand:
    """A home with fake workers, a clock that the test moves, and what owners were told."""

    def __init__(self, workers=1, slots=8, back_ends=None, **timing):
        self.now_s = 1000.0
        self.sent = []
        self.counts = Counter()
        self.fakes = back_ends or [FakeBackEnd(f"127.0.0.1:{n + 1}", slots) for n in range(workers)]
        self.workers = [
            Worker(name=f"w{n}", address=fake.address, zone="north", slots=slots)
            for n, fake in enumerate(self.fakes)
        ]
        by_address = {fake.address: fake for fake in self.fakes}
        self.home = Home(
            "home",
            self.deliver,
            clock=lambda: self.now_s,
            metrics=lambda name, n=1: self.counts.update({name: n}),
            timing=HomeTiming(**timing),
            rng=random.Random(5),
            back_ends=lambda home_id, worker: by_address[worker.address],
        )
        self.definition = ServiceDefinition(name="flags", workers=self.workers)
        self.home.set_workers(self.definition, self.workers)

    @property
    def fake(self):
        return self.fakes[0]

    def deliver(self, owner_id, message):
        self.sent.append((owner_id, message))
        return True

    def hand(self, key="job", indices=(0,), owner="owner", term=1, granted=0, **fields):
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
            tasks=[HandedTask(i, fields.get("attempt", f"{key}-{i}"), spec) for i in indices],
        )
        self.home.hand_off(message)

    def step(self, ms=0.0):
        """Move the clock and let every greenlet's loop run once."""
        self.now_s += ms / 1000
        self.home.sweep()
        for link in self.home.links():
            link.send_starts()
            link.poll_once()
            link.checks.check_once()

    def run(self, steps, ms=100.0):
        for _ in range(steps):
            self.step(ms)

    def told(self, owner="owner"):
        """Return what an owner was told as (code name, index or attempt) in order."""
        lines = []
        for receiver, message in self.sent:
            if receiver != owner:
                continue
            if isinstance(message, TasksEnded):
                lines += [(ResultCode(o.code).name, o.index) for o in message.outcomes]
            elif isinstance(message, TasksReturned):
                lines += [(ResultCode(message.code).name, a) for a in message.attempts]
        return lines

    def granted(self, owner="owner"):
        return sum(m.slots for o, m in self.sent if o == owner and isinstance(m, Grant))

    @property
    def free(self):
        return self.home.slot_counts()[0].free

"""Random faults at fake workers, with what must always hold checked at the end."""

import random
from collections import Counter

import pytest

from camphorchute.contracts import ResultCode
from camphorchute.contracts.messages import CancelTasks, Demand, FindTasks, Grant, TasksReturned
from camphorchute.workers.tests.fakes import Stand

FAULTS = ["", "", "", "", "unreachable", "no_slot", "request lost", "answer lost", "raises"]
NOT_STARTED = {"NO_SLOT", "DEADLINE_PASSED", "CANCELLED_BEFORE_START", "NO_WORKER", "STALE_TERM"}


class RandomRun:
    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.stand = Stand(workers=3, slots=3)
        self.jobs = []
        self.handed = Counter()
        self.stale = {}
        self.waiting = []
        self.direct = seed % 2 == 1
        self.deliver = self.stand.deliver
        self.stand.home._context.send = self.receive
        self.read = 0
        self.numbers = 0

    def receive(self, owner_id, message):
        """Answer a message of the home at once, as an owner in the same process may."""
        self.deliver(owner_id, message)
        if self.direct:
            self.use_grants()
        return True

    def use_grants(self):
        """Hand the tasks over again that came back for want of a slot."""
        while self.read < len(self.stand.sent):
            owner_id, message = self.stand.sent[self.read]
            self.read += 1
            if isinstance(message, TasksReturned) and message.code == ResultCode.NO_SLOT:
                self.waiting += message.attempts
            if isinstance(message, Grant) and owner_id == "owner":
                granted, self.waiting = self.waiting[: message.slots], self.waiting[message.slots :]
                for attempt in granted:
                    self.hand_again(attempt)

    def hand_again(self, attempt):
        self.numbers += 1
        task = task_of(attempt)
        key, _, index = task.partition("-")
        again = f"{task}/{self.numbers}"
        self.handed[again] += 1
        self.stand.hand(key, [int(index)], granted=1, term=3, attempt=again)

    def hand(self):
        key = f"job{len(self.jobs)}"
        indices = range(self.rng.randint(1, 6))
        self.jobs.append(key)
        self.handed.update(f"{key}-{i}" for i in indices)
        remaining_ms = self.rng.choice([300.0, 3000.0, 30_000.0])
        self.stand.hand(key, indices, remaining_ms=remaining_ms)

    def take_over(self):
        key = self.rng.choice(self.jobs)
        message = FindTasks(key, shard=0, term=3, owner_id="owner", service="flags")
        self.stand.home.find_tasks(message)
        self.stale[key] = f"{key}-90"
        self.stand.hand(key, [90], term=1)

    def change_worker(self):
        fake = self.rng.choice(self.stand.fakes)
        fake.start_fault = self.rng.choice(FAULTS)
        fake.silent = self.rng.random() < 0.2
        if self.rng.random() < 0.1:
            fake.running.clear()
            fake.ended.clear()
            fake.answers.clear()
        if fake.answers and self.rng.random() < 0.2:
            fake.answers.append(self.rng.choice(fake.answers))

    def change_workers(self):
        kept = [worker for worker in self.stand.workers if self.rng.random() < 0.7]
        self.stand.home.set_workers(self.stand.definition, kept)

    def finish(self):
        for fake in self.stand.fakes:
            for attempt_id in list(fake.running):
                if self.rng.random() < 0.5:
                    fake.finish(attempt_id, ok=self.rng.random() < 0.9)

    def cancel(self):
        self.stand.home.cancel_tasks(CancelTasks(self.rng.choice(self.jobs)))

    def demand(self):
        self.stand.home.demand("other", Demand("flags", "others", self.rng.randint(0, 3)))

    def step(self):
        self.hand()
        for act in (self.take_over, self.cancel, self.demand, self.change_workers):
            if self.rng.random() < 0.1:
                act()
        if self.rng.random() < 0.5:
            self.change_worker()
        self.finish()
        self.use_grants()
        self.stand.step(self.rng.choice([1.0, 20.0, 100.0, 400.0]))

    def settle(self):
        for fake in self.stand.fakes:
            fake.start_fault, fake.silent = "", False
        self.stand.home.set_workers(self.stand.definition, self.stand.workers)
        for _ in range(100):
            self.finish()
            self.stand.step(1000.0)
            self.use_grants()
        self.stand.home.owner_lost("owner")
        self.stand.home.owner_lost("other")


def task_of(attempt):
    return attempt.partition("/")[0]


def check(run):
    told = run.stand.told()
    returned = Counter(entry for code, entry in told if isinstance(entry, str))
    ended = Counter()
    for _, message in run.stand.sent:
        for outcome in getattr(message, "outcomes", []):
            attempt = f"{message.key}-{outcome.index}"
            ended[attempt] += 1
            if outcome.code == ResultCode.COMPLETE:
                assert task_of(outcome.answer) == f"answer of {attempt}"
    started = Counter(a for fake in run.stand.fakes for batch in fake.batches for a in batch)
    assert {code for code, entry in told if isinstance(entry, str)} <= NOT_STARTED
    assert set(Counter(task_of(attempt) for attempt in started.elements()).values()) <= {1}
    assert not started.keys() & returned.keys()
    assert not started.keys() & set(run.stale.values())
    fates = Counter(task_of(attempt) for attempt in returned.elements()) + ended
    handed = Counter(task_of(attempt) for attempt in run.handed.elements())
    for task in run.stale.values():
        del fates[task], handed[task]
    assert fates == handed
    assert run.stand.free == 9
    assert run.stand.home.links()[0].pool.reserved == 0


@pytest.mark.parametrize("seed", range(8))
def test_each_task_has_one_start_and_one_fate(seed):
    run = RandomRun(seed)
    for _ in range(60):
        run.step()
    run.settle()
    check(run)

"""Random faults at fake workers, with the invariants of the scheduler checked at the end."""

import random
from collections import Counter

import pytest

from camphorchute.contracts import ResultCode
from camphorchute.contracts.messages import CancelTasks, Demand, FindTasks, Grant, TasksReturned
from camphorchute.workers.tests.fakes import SchedulerHarness

FAULTS = ["", "", "", "", "unreachable", "no_slot", "request lost", "answer lost", "raises"]
NOT_STARTED = {"NO_SLOT", "DEADLINE_PASSED", "CANCELLED_BEFORE_START", "NO_WORKER", "STALE_TERM"}


class RandomRun:
    """A scheduler with random jobs, grants, takeovers and faults of its workers."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.harness = SchedulerHarness(workers=3, slots=3)
        self.jobs = []
        self.dispatched = Counter()
        self.stale_attempts = {}
        self.pending = []
        self.replies_within_call = seed % 2 == 1
        self.deliver = self.harness.record_message
        self.harness.scheduler._context.send = self.receive
        self.messages_read = 0
        self.repeats = 0

    def receive(self, owner_id, message):
        """Reply to a message within the call, as an owner in the same process may."""
        self.deliver(owner_id, message)
        if self.replies_within_call:
            self.use_grants()
        return True

    def use_grants(self):
        """Dispatch again the tasks that were returned for want of a slot, one for each grant."""
        while self.messages_read < len(self.harness.sent_messages):
            owner_id, message = self.harness.sent_messages[self.messages_read]
            self.messages_read += 1
            if isinstance(message, TasksReturned) and message.code == ResultCode.NO_SLOT:
                self.pending += message.attempts
            if isinstance(message, Grant) and owner_id == "owner":
                granted, self.pending = self.pending[: message.slots], self.pending[message.slots :]
                for attempt in granted:
                    self.dispatch_again(attempt)

    def dispatch_again(self, attempt):
        self.repeats += 1
        task = task_of(attempt)
        key, _, index = task.partition("-")
        attempt_again = f"{task}/{self.repeats}"
        self.dispatched[attempt_again] += 1
        self.harness.dispatch(key, [int(index)], granted=1, term=3, attempt=attempt_again)

    def dispatch(self):
        key = f"job{len(self.jobs)}"
        indices = range(self.rng.randint(1, 6))
        self.jobs.append(key)
        self.dispatched.update(f"{key}-{i}" for i in indices)
        remaining_ms = self.rng.choice([300.0, 3000.0, 30_000.0])
        self.harness.dispatch(key, indices, remaining_ms=remaining_ms)

    def take_over_job(self):
        key = self.rng.choice(self.jobs)
        message = FindTasks(key, shard=0, term=3, owner_id="owner", service="flags")
        self.harness.scheduler.find_tasks(message)
        self.stale_attempts[key] = f"{key}-90"
        self.harness.dispatch(key, [90], term=1)

    def change_faults(self):
        fake = self.rng.choice(self.harness.back_ends)
        fake.start_fault = self.rng.choice(FAULTS)
        fake.unresponsive = self.rng.random() < 0.2
        if self.rng.random() < 0.1:
            fake.running.clear()
            fake.ended.clear()
            fake.answers.clear()
        if fake.answers and self.rng.random() < 0.2:
            fake.answers.append(self.rng.choice(fake.answers))

    def change_worker_list(self):
        listed = [worker for worker in self.harness.workers if self.rng.random() < 0.7]
        self.harness.scheduler.set_workers(self.harness.definition, listed)

    def finish_some_tasks(self):
        for fake in self.harness.back_ends:
            for attempt_id in list(fake.running):
                if self.rng.random() < 0.5:
                    fake.finish(attempt_id, ok=self.rng.random() < 0.9)

    def cancel_job(self):
        self.harness.scheduler.cancel_tasks(CancelTasks(self.rng.choice(self.jobs)))

    def set_demand(self):
        self.harness.scheduler.set_demand(
            "other", Demand("flags", "others", self.rng.randint(0, 3))
        )

    def step(self):
        self.dispatch()
        for action in (
            self.take_over_job,
            self.cancel_job,
            self.set_demand,
            self.change_worker_list,
        ):
            if self.rng.random() < 0.1:
                action()
        if self.rng.random() < 0.5:
            self.change_faults()
        self.finish_some_tasks()
        self.use_grants()
        self.harness.step(self.rng.choice([1.0, 20.0, 100.0, 400.0]))

    def finish_all_tasks(self):
        for fake in self.harness.back_ends:
            fake.start_fault, fake.unresponsive = "", False
        self.harness.scheduler.set_workers(self.harness.definition, self.harness.workers)
        for _ in range(100):
            self.finish_some_tasks()
            self.harness.step(1000.0)
            self.use_grants()
        self.harness.scheduler.drop_owner("owner")
        self.harness.scheduler.drop_owner("other")


def task_of(attempt):
    return attempt.partition("/")[0]


def check_invariants(run):
    reports = run.harness.owner_reports()
    returned = Counter(entry for code, entry in reports if isinstance(entry, str))
    ended = Counter()
    for _, message in run.harness.sent_messages:
        for outcome in getattr(message, "outcomes", []):
            attempt = f"{message.key}-{outcome.index}"
            ended[attempt] += 1
            if outcome.code == ResultCode.COMPLETE:
                assert task_of(outcome.answer) == f"answer of {attempt}"
    started = Counter(a for fake in run.harness.back_ends for batch in fake.batches for a in batch)
    assert {code for code, entry in reports if isinstance(entry, str)} <= NOT_STARTED
    assert set(Counter(task_of(attempt) for attempt in started.elements()).values()) <= {1}
    assert not started.keys() & returned.keys()
    assert not started.keys() & set(run.stale_attempts.values())
    reported = Counter(task_of(attempt) for attempt in returned.elements()) + ended
    dispatched = Counter(task_of(attempt) for attempt in run.dispatched.elements())
    for task in run.stale_attempts.values():
        del reported[task], dispatched[task]
    assert reported == dispatched
    assert run.harness.free_slots == 9
    assert run.harness.scheduler.links()[0].pool.reserved_slots == 0


@pytest.mark.parametrize("seed", range(8))
def test_each_task_is_started_at_most_once_and_reported_exactly_once(seed):
    run = RandomRun(seed)
    for _ in range(60):
        run.step()
    run.finish_all_tasks()
    check_invariants(run)

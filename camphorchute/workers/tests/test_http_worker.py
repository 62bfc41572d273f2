"""The scheduler with worker stand-ins, to which it is connected by HTTP only."""

import json
from collections import Counter

import gevent
import pytest

from bench.standins.worker import Worker as WorkerStandin
from camphorchute.contracts import TaskSpec
from camphorchute.contracts.messages import DispatchedTask, HandOff, TasksEnded
from camphorchute.services.definition import ServiceDefinition, Worker
from camphorchute.workers.back_end import BackEndError
from camphorchute.workers.http_channel import HttpChannel
from camphorchute.workers.http_worker import HttpWorker
from camphorchute.workers.task_scheduler import TaskScheduler

TASKS = 8


class Standins:
    """Worker stand-ins and a scheduler of their tasks."""

    def __init__(self, workers):
        self.workers = [WorkerStandin("127.0.0.1:0", slots=TASKS) for _ in range(workers)]
        for worker in self.workers:
            worker.start()
        self.outcomes = []
        self.counts = Counter()
        listed = [
            Worker(name=f"w{n}", address=worker.address, zone="north")
            for n, worker in enumerate(self.workers)
        ]
        count = lambda name, n=1: self.counts.update({name: n})  # noqa: E731
        self.scheduler = TaskScheduler("home", self.record_outcomes, metrics=count)
        self.scheduler.set_workers(ServiceDefinition(name="flags"), listed)
        self.scheduler.start()
        gevent.sleep(0.05)

    def close(self):
        self.scheduler.close(0.0)
        for worker in self.workers:
            worker.close()

    def record_outcomes(self, owner_id, message):
        if isinstance(message, TasksEnded):
            self.outcomes += message.outcomes
        return True

    def dispatch(self, key="job", run_ms=50, remaining_ms=20_000.0):
        spec = TaskSpec(payload=f"run_ms={run_ms}", run_time_ms=float(run_ms))
        tasks = [DispatchedTask(i, f"{key}-{i}", spec) for i in range(TASKS)]
        fields = ("owner", "flags", "team", remaining_ms, 0, tasks)
        self.scheduler.dispatch_tasks(HandOff(key, 0, 1, *fields))

    def set_faults(self, **faults):
        for worker in self.workers:
            channel = HttpChannel(worker.address)
            channel.exchange("POST", "/faults", json.dumps(faults).encode(), 1000)

    def recorded_starts(self):
        starts = []
        for worker in self.workers:
            answer = HttpChannel(worker.address).exchange("GET", "/record", b"", 1000)
            starts += [row["attempt"] for row in json.loads(answer.body)["starts"]]
        return starts

    def wait_for_outcomes(self, seconds=6.0):
        with gevent.Timeout(seconds, False):
            while len(self.outcomes) < TASKS:
                gevent.sleep(0.01)
        gevent.sleep(0.1)


@pytest.fixture
def standins():
    created = Standins(workers=1)
    yield created
    created.close()


FAULTS_WITHOUT_LOSS = {
    "no fault": {},
    "start answer lost": {"lose_answers": 1},
    "repeated answers": {"double_answers": True},
    "late answers": {"late_ms": 100.0},
    "slow": {"slow_ms": 20.0},
    "unresponsive connections": {"silent": True},
}


@pytest.mark.parametrize("faults", FAULTS_WITHOUT_LOSS.values(), ids=FAULTS_WITHOUT_LOSS)
def test_every_task_starts_once_and_is_answered_once(standins, faults):
    standins.set_faults(**faults)
    standins.dispatch()
    standins.wait_for_outcomes()
    answers = sorted((o.index, o.code, o.answer) for o in standins.outcomes)
    assert answers == [(i, 0, f"job/{i}") for i in range(TASKS)]
    assert sorted(standins.recorded_starts()) == [f"job-{i}" for i in range(TASKS)]


def test_the_tasks_of_a_crashed_worker_are_reported_as_lost(standins):
    standins.dispatch(run_ms=60_000)
    gevent.sleep(0.1)
    standins.workers[0].close()
    standins.wait_for_outcomes(10.0)
    assert [o.code for o in standins.outcomes] == [403] * TASKS


def test_expired_tasks_are_stopped_and_free_their_slots(standins):
    standins.dispatch(run_ms=60_000, remaining_ms=200.0)
    standins.wait_for_outcomes()
    assert [o.code for o in standins.outcomes] == [402] * TASKS
    gevent.sleep(1.0)
    assert standins.scheduler.slot_counts()[0].free == TASKS


def test_polling_for_the_answers_of_all_schedulers_raises_an_error(standins):
    with pytest.raises(BackEndError, match="status 400"):
        HttpWorker("*", standins.workers[0].address).next_answers(0, 10.0)

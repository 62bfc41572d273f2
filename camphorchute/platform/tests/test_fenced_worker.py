import json

import pytest

from bench.standins.server import Reply, Standin
from camphorchute.contracts.resources import Resources
from camphorchute.hosting import (
    EndKind,
    OrderLost,
    OrderRefused,
    RefusedReason,
    RunOrder,
    WorkerEntry,
)
from camphorchute.platform.fenced_worker import FencedWorker

BORN = 1_700_000_000_123


class Scripted(Standin):
    """Answers every order with the reply that the test has set."""

    def __init__(self):
        super().__init__("127.0.0.1:0")
        self.reply = Reply({"clock-ms": 5})
        self.requests = []

    def unrouted(self, request):
        self.requests.append((request.path, json.loads(request.body), request))
        return self.reply


@pytest.fixture
def worker():
    scripted = Scripted()
    scripted.start()
    yield scripted
    scripted.close()


@pytest.fixture
def port(worker):
    entry = WorkerEntry("w1", BORN, worker.address, "flags", "north", Resources(32_000))
    opened = FencedWorker(entry)
    yield opened
    opened.close()


def order():
    return RunOrder("j.0.0.1", 2, "text", Resources(14_000, 64))


def test_start_names_task_run_lease_and_fence(port, worker):
    assert port.start_run(order(), 7, 486_000.7) == 5
    path, body, request = worker.requests[0]
    assert path == "/run-start"
    assert body == {
        "task": "j.0.0.1",
        "run": 2,
        "spec": "text",
        "deadline-ms": 486_000,
        "fence": 7,
    }
    assert request.header("Camphorchute-Expect-Instance") == "w1"


@pytest.mark.parametrize(
    ("status", "body", "reason"),
    [
        (409, {"reason": "fence"}, RefusedReason.FENCED),
        (409, {"reason": "old"}, RefusedReason.OLD_RUN),
        (409, {"reason": "late"}, RefusedReason.TOO_LATE),
        (409, {"reason": "room"}, RefusedReason.NO_ROOM),
        (400, {}, RefusedReason.MALFORMED),
        (404, {}, RefusedReason.MALFORMED),
        (421, {}, RefusedReason.OTHER_INCARNATION),
        (429, {}, RefusedReason.UNHEALTHY),
        (503, {}, RefusedReason.UNHEALTHY),
    ],
)
def test_refusals_say_that_nothing_was_done(port, worker, status, body, reason):
    worker.reply = Reply(body, status)
    for call in (
        lambda: port.start_run(order(), 7, 1.0),
        lambda: port.stop_run("j.0.0.1", 2, 7),
        lambda: port.renew(7, 0, None, 0.0),
    ):
        with pytest.raises(OrderRefused) as refused:
            call()
        assert refused.value.reason is reason


@pytest.mark.parametrize(
    ("status", "body"),
    [(409, {"reason": "moon"}), (409, []), (500, {}), (200, []), (200, {"clock-ms": "x"})],
)
def test_answers_that_prove_nothing_are_lost(port, worker, status, body):
    worker.reply = Reply(body, status)
    with pytest.raises(OrderLost) as lost:
        port.start_run(order(), 7, 1.0)
    assert lost.value.sent


def test_worker_that_does_not_listen_was_not_sent_to(port, worker):
    worker.close()
    with pytest.raises(OrderLost) as lost:
        port.start_run(order(), 7, 1.0)
    assert not lost.value.sent


def test_listing_is_translated(port, worker):
    worker.reply = Reply(
        {
            "clock-ms": 9,
            "born": BORN,
            "running": [["j.0.0.1", 2, "", 41, 14_000]],
            "ended": [
                [58, "j.0.0.9", 1, "done", ""],
                [59, "j.0.0.8", 3, "lapsed", ""],
                [60, "j.0.0.7", 1, "alone", ""],
            ],
        }
    )
    listing = port.renew(7, 57, 1500.0, 100.0)
    assert listing.clock_ms == 9
    assert [(seen.task, seen.run) for seen in listing.running] == [("j.0.0.1", 2)]
    assert [(end.number, end.run, end.kind) for end in listing.ended] == [
        (58, 1, EndKind.DONE),
        (59, 3, EndKind.LEASE_EXPIRED),
        (60, 1, EndKind.GANG_INCOMPLETE),
    ]
    assert worker.requests[0][1] == {
        "fence": 7,
        "seen-upto": 57,
        "wait-ms": 100,
        "deadline-ms": 1500,
    }
    port.renew(7, 57, None, 0.0)
    assert "deadline-ms" not in worker.requests[1][1]


@pytest.mark.parametrize("ended", [[[58, "j", 1, "melted", ""]], [[58, "j"]]])
def test_listing_that_cannot_be_read_is_lost(port, worker, ended):
    worker.reply = Reply({"clock-ms": 9, "running": [], "ended": ended})
    with pytest.raises(OrderLost):
        port.renew(7, 0, None, 0.0)


def test_listing_of_another_life_is_refused(port, worker):
    worker.reply = Reply({"clock-ms": 9, "born": BORN + 1, "running": [], "ended": []})
    with pytest.raises(OrderRefused) as refused:
        port.renew(7, 0, None, 0.0)
    assert refused.value.reason is RefusedReason.OTHER_INCARNATION

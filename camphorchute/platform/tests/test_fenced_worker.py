import json
import time

import gevent
import pytest

from bench.standins.server import Reply, Standin
from camphorchute.contracts.resources import Resources
from camphorchute.hosting import (
    CommandRefused,
    CommandUnanswered,
    RefusalReason,
    RunOutcome,
    StartCommand,
    WorkerEntry,
)
from camphorchute.platform.fenced_worker import FencedWorker

INCARNATION = 1_700_000_000_123


class WorkerStandin(Standin):
    """Stand-in of a worker that answers every command with the reply that the test has set."""

    def __init__(self):
        super().__init__("127.0.0.1:0")
        self.reply = Reply({"clock-ms": 5})
        self.delay_ms = 0.0
        self.requests = []

    def handle_unrouted_request(self, request):
        gevent.sleep(self.delay_ms / 1000)
        self.requests.append((request.path, json.loads(request.body), request))
        return self.reply


@pytest.fixture
def worker():
    standin = WorkerStandin()
    standin.start()
    yield standin
    standin.close()


@pytest.fixture
def client(worker):
    entry = WorkerEntry("w1", INCARNATION, worker.address, "flags", "north", Resources(32_000))
    fenced_worker = FencedWorker(entry)
    yield fenced_worker
    fenced_worker.close()


def make_start_command():
    return StartCommand("j.0.0.1", 2, "text", Resources(14_000, 64))


def test_start_command_has_task_run_lease_and_fence(client, worker):
    assert client.start_run(make_start_command(), 7, 486_000.7) == 5
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
        (409, {"reason": "fence"}, RefusalReason.FENCED),
        (409, {"reason": "old"}, RefusalReason.OLD_RUN),
        (409, {"reason": "late"}, RefusalReason.TOO_LATE),
        (409, {"reason": "room"}, RefusalReason.NO_ROOM),
        (400, {}, RefusalReason.MALFORMED),
        (404, {}, RefusalReason.MALFORMED),
        (421, {}, RefusalReason.OTHER_INCARNATION),
        (429, {}, RefusalReason.UNHEALTHY),
        (503, {}, RefusalReason.UNHEALTHY),
    ],
)
def test_known_refusals_raise_order_refused(client, worker, status, body, reason):
    worker.reply = Reply(body, status)
    for call in (
        lambda: client.start_run(make_start_command(), 7, 1.0),
        lambda: client.stop_run("j.0.0.1", 2, 7),
        lambda: client.renew_and_list(7, 0, None, 0.0),
    ):
        with pytest.raises(CommandRefused) as refused:
            call()
        assert refused.value.reason is reason


@pytest.mark.parametrize(
    ("status", "body"),
    [(409, {"reason": "moon"}), (409, []), (500, {}), (200, []), (200, {"clock-ms": "x"})],
)
def test_other_answers_raise_command_unanswered(client, worker, status, body):
    worker.reply = Reply(body, status)
    with pytest.raises(CommandUnanswered) as unanswered:
        client.start_run(make_start_command(), 7, 1.0)
    assert unanswered.value.sent


def test_command_to_a_worker_that_does_not_listen_is_not_sent(client, worker):
    worker.close()
    with pytest.raises(CommandUnanswered) as unanswered:
        client.start_run(make_start_command(), 7, 1.0)
    assert not unanswered.value.sent


def test_listing_is_decoded(client, worker):
    worker.reply = Reply(
        {
            "clock-ms": 9,
            "born": INCARNATION,
            "running": [["j.0.0.1", 2, "", 41, 14_000]],
            "ended": [
                [58, "j.0.0.9", 1, "done", ""],
                [59, "j.0.0.8", 3, "lapsed", ""],
                [60, "j.0.0.7", 1, "alone", ""],
            ],
        }
    )
    listing = client.renew_and_list(7, 57, 1500.0, 100.0)
    assert listing.clock_ms == 9
    assert [(active_run.task, active_run.run) for active_run in listing.running] == [("j.0.0.1", 2)]
    assert [
        (completion.sequence_number, completion.run, completion.outcome)
        for completion in listing.completions
    ] == [
        (58, 1, RunOutcome.DONE),
        (59, 3, RunOutcome.LEASE_EXPIRED),
        (60, 1, RunOutcome.GANG_INCOMPLETE),
    ]
    assert worker.requests[0][1] == {
        "fence": 7,
        "seen-upto": 57,
        "wait-ms": 100,
        "deadline-ms": 1500,
    }
    client.renew_and_list(7, 57, None, 0.0)
    assert "deadline-ms" not in worker.requests[1][1]


@pytest.mark.parametrize("ended", [[[58, "j", 1, "melted", ""]], [[58, "j"]]])
def test_malformed_listing_raises_command_unanswered(client, worker, ended):
    worker.reply = Reply({"clock-ms": 9, "running": [], "ended": ended})
    with pytest.raises(CommandUnanswered):
        client.renew_and_list(7, 0, None, 0.0)


def test_listing_of_another_incarnation_is_refused(client, worker):
    worker.reply = Reply({"clock-ms": 9, "born": INCARNATION + 1, "running": [], "ended": []})
    with pytest.raises(CommandRefused) as refused:
        client.renew_and_list(7, 0, None, 0.0)
    assert refused.value.reason is RefusalReason.OTHER_INCARNATION


@pytest.mark.parametrize("command", ["start", "stop"])
def test_answer_of_another_incarnation_tells_nothing_about_this_one(worker, client, command):
    """A worker that restarted under its id started a run; the old incarnation was thought to."""
    worker.reply = Reply({"clock-ms": 5, "born": INCARNATION + 1})
    with pytest.raises(CommandUnanswered):
        if command == "start":
            client.start_run(make_start_command(), 7, 486_000.0)
        else:
            client.stop_run("j.0.0.1", 2, 7)


def test_lost_answer_is_noticed_soon_where_answers_are_fast(worker, client):
    """Each lost start command had cost 120 ms, twice the run time of its task."""
    for _ in range(30):
        client.start_run(make_start_command(), 3, 5000.0)
    worker.faults.hang = True
    started_s = time.monotonic()
    with pytest.raises(CommandUnanswered):
        client.start_run(make_start_command(), 3, 5000.0)
    assert (time.monotonic() - started_s) * 1000 < 90.0


def test_answers_that_were_always_slow_are_waited_for(worker, client):
    worker.delay_ms = 70.0
    for _ in range(10):
        client.start_run(make_start_command(), 3, 5000.0)
    worker.delay_ms = 100.0
    assert client.start_run(make_start_command(), 3, 5000.0) == 5

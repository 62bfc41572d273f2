import json

import gevent
import pytest

from bench.standins.upstream import Upstream
from camphorchute.services.definition import Limits, ServiceDefinition
from camphorchute.workers.back_end import Attempt
from camphorchute.workers.http_channel import HttpChannel
from camphorchute.workers.http_upstream import HttpUpstream, UpstreamAnswer


@pytest.fixture
def upstream():
    standin = Upstream("127.0.0.1:0", slots=2)
    standin.start()
    yield standin
    standin.close()


def make_back_end(standin, ratio=1.0):
    back_end = HttpUpstream("home", standin.address)
    back_end.apply_definition(
        ServiceDefinition(name="walks", limits=Limits(retry_budget_ratio=ratio))
    )
    return back_end


def make_attempt(number=0, **fields):
    request = {"method": "POST", "path": "/reserve?run_ms=5", "body": "guide"} | fields
    return Attempt(f"attempt{number}", "job", number, "walks", "request", json.dumps(request), 5.0)


def set_faults(standin, **faults):
    HttpChannel(standin.address).exchange("POST", "/faults", json.dumps(faults).encode(), 1000)


def recorded_requests(standin):
    answer = HttpChannel(standin.address).exchange("GET", "/record", b"", 1000)
    return json.loads(answer.body)["requests"]


def run_attempts(back_end, *attempts):
    back_end.start_attempts(list(attempts))
    gevent.sleep(0.1)
    return back_end.next_answers(0, 1000.0)


def test_a_request_is_sent_with_the_key_and_the_attempt_id_of_its_task(upstream):
    headers = {"Idempotency-Key": "forged", "Connection": "close", "X-Other": "kept"}
    page = run_attempts(make_back_end(upstream), make_attempt(headers=headers))
    (entry,) = page.answers
    answer = json.loads(entry.answer)
    assert (entry.ok, answer["status"]) == (True, 200)
    body = json.loads(answer["body"])
    assert body == {"path": "/reserve", "key": "job", "attempt": "attempt0"}


OUTCOMES = {
    "refused": ({"refuse": True}, {}, 0, {"attempt0": "no_slot"}, [], 0),
    "answer lost": ({"lose_answers": 1}, {}, 0, {}, ["attempt0"], 1),
    "answer lost, repeatable": ({"lose_answers": 1}, {"repeatable": True}, 1, {}, [], 2),
    "all answers lost": ({"lose_answers": 9}, {"repeatable": True}, 0, {}, ["attempt0"], 2),
    "failed": ({"fail_all": True}, {"repeatable": True}, 1, {}, [], 1),
}


@pytest.mark.parametrize(
    "faults, fields, answers, refused, lost, ran", OUTCOMES.values(), ids=OUTCOMES
)
def test_the_outcome_of_a_request_under_each_fault(
    upstream, faults, fields, answers, refused, lost, ran
):
    set_faults(upstream, **faults)
    page = run_attempts(make_back_end(upstream), make_attempt(**fields))
    assert (len(page.answers), page.refused, page.lost) == (answers, refused, lost)
    rows = recorded_requests(upstream)
    assert [row["attempt"] for row in rows] == ["attempt0"] * ran


def test_a_get_request_is_not_repeated_unless_the_task_is_repeatable(upstream):
    set_faults(upstream, lose_answers=1)
    page = run_attempts(make_back_end(upstream), make_attempt(method="GET", body=""))
    assert page.lost == ["attempt0"]
    assert len(recorded_requests(upstream)) == 1


def test_a_refusal_after_a_lost_answer_does_not_prove_that_the_request_was_not_run(upstream):
    set_faults(upstream, lose_answers=1)
    back_end = make_back_end(upstream)
    send = back_end._channel.exchange

    def refuse_after_first(*args):
        try:
            return send(*args)
        finally:
            upstream.faults.refuse = True

    back_end._channel = type("Channel", (), {"exchange": staticmethod(refuse_after_first)})
    page = run_attempts(back_end, make_attempt(repeatable=True))
    assert (page.refused, page.lost) == ({}, ["attempt0"])


def test_retries_stay_within_the_budget(upstream):
    set_faults(upstream, lose_answers=100)
    back_end = make_back_end(upstream, ratio=0.1)
    for number in range(20):
        batch = [make_attempt(number, repeatable=True, path="/?run_ms=0")]
        back_end.start_attempts(batch)
        gevent.sleep(0.01)
    gevent.sleep(0.1)
    assert len(recorded_requests(upstream)) == 22


def test_a_refused_connection_reports_the_attempt_as_unreachable(upstream):
    back_end = make_back_end(upstream)
    upstream.close()
    page = run_attempts(back_end, make_attempt())
    assert page.refused == {"attempt0": "unreachable"}


def test_stop_aborts_a_running_request_without_an_answer(upstream):
    back_end = make_back_end(upstream)
    back_end.start_attempts([make_attempt(path="/?run_ms=60000")])
    gevent.sleep(0.05)
    assert [found.state for found in back_end.find_attempts("job")] == ["running"]
    back_end.stop_job("job")
    gevent.sleep(0.01)
    assert back_end.find_attempts("job") == []
    assert back_end.next_answers(0, 0.0).answers == []


# Guards against a slot that stays occupied by a request that was never sent.
def test_a_request_that_is_stopped_before_it_is_sent_is_not_listed_as_running(upstream):
    back_end = make_back_end(upstream)
    back_end.start_attempts([make_attempt()])
    back_end.stop_job("job")
    gevent.sleep(0.05)
    assert back_end.find_attempts("job") == []
    assert back_end.status().running == 0
    assert recorded_requests(upstream) == []


@pytest.mark.parametrize(
    "payload", ["no json", '{"method": "GET"}', '{"method":"A\\r","path":"/"}']
)
def test_a_malformed_request_fails_and_is_not_sent(upstream, payload):
    attempt = make_attempt()
    attempt.payload = payload
    page = run_attempts(make_back_end(upstream), attempt)
    assert [entry.ok for entry in page.answers] == [False]
    assert recorded_requests(upstream) == []


def test_a_binary_body_is_decoded_from_base64_unchanged():
    assert UpstreamAnswer(200, body_base64="//8=").content() == b"\xff\xff"

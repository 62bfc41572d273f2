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


def back_end_of(standin, ratio=1.0):
    back_end = HttpUpstream("home", standin.address)
    back_end.define(ServiceDefinition(name="walks", limits=Limits(retry_budget_ratio=ratio)))
    return back_end


def attempt_of(number=0, **fields):
    request = {"method": "POST", "path": "/reserve?run_ms=5", "body": "guide"} | fields
    return Attempt(f"attempt{number}", "job", number, "walks", "request", json.dumps(request), 5.0)


def set_faults(standin, **faults):
    HttpChannel(standin.address).exchange("POST", "/faults", json.dumps(faults).encode(), 1000)


def requests_of(standin):
    answer = HttpChannel(standin.address).exchange("GET", "/record", b"", 1000)
    return json.loads(answer.body)["requests"]


def run(back_end, *attempts):
    back_end.start_attempts(list(attempts))
    gevent.sleep(0.1)
    return back_end.next_answers(0, 1000.0)


def test_a_request_is_handed_on_with_its_key_and_attempt(upstream):
    headers = {"Idempotency-Key": "forged", "Connection": "close", "X-Other": "kept"}
    page = run(back_end_of(upstream), attempt_of(headers=headers))
    (entry,) = page.answers
    answer = json.loads(entry.answer)
    assert (entry.ok, answer["status"]) == (True, 200)
    body = json.loads(answer["body"])
    assert body == {"path": "/reserve", "key": "job", "attempt": "attempt0"}


FATES = {
    "refused": ({"refuse": True}, {}, 0, {"attempt0": "no_slot"}, [], 0),
    "answer lost": ({"lose_answers": 1}, {}, 0, {}, ["attempt0"], 1),
    "answer lost, repeatable": ({"lose_answers": 1}, {"repeatable": True}, 1, {}, [], 2),
    "all answers lost": ({"lose_answers": 9}, {"repeatable": True}, 0, {}, ["attempt0"], 2),
    "failed": ({"fail_all": True}, {"repeatable": True}, 1, {}, [], 1),
}


@pytest.mark.parametrize("faults, fields, answers, refused, lost, ran", FATES.values(), ids=FATES)
def test_what_became_of_a_request(upstream, faults, fields, answers, refused, lost, ran):
    set_faults(upstream, **faults)
    page = run(back_end_of(upstream), attempt_of(**fields))
    assert (len(page.answers), page.refused, page.lost) == (answers, refused, lost)
    rows = requests_of(upstream)
    assert [row["attempt"] for row in rows] == ["attempt0"] * ran


def test_a_get_is_not_repeated_unless_the_task_says_so(upstream):
    set_faults(upstream, lose_answers=1)
    page = run(back_end_of(upstream), attempt_of(method="GET", body=""))
    assert page.lost == ["attempt0"]
    assert len(requests_of(upstream)) == 1


def test_a_refusal_after_an_unclear_send_proves_nothing(upstream):
    set_faults(upstream, lose_answers=1)
    back_end = back_end_of(upstream)
    send = back_end._channel.exchange

    def refuse_after_first(*args):
        try:
            return send(*args)
        finally:
            upstream.faults.refuse = True

    back_end._channel = type("Channel", (), {"exchange": staticmethod(refuse_after_first)})
    page = run(back_end, attempt_of(repeatable=True))
    assert (page.refused, page.lost) == ({}, ["attempt0"])


def test_retries_stay_within_the_budget(upstream):
    set_faults(upstream, lose_answers=100)
    back_end = back_end_of(upstream, ratio=0.1)
    for number in range(20):
        run_one = [attempt_of(number, repeatable=True, path="/?run_ms=0")]
        back_end.start_attempts(run_one)
        gevent.sleep(0.01)
    gevent.sleep(0.1)
    assert len(requests_of(upstream)) == 22


def test_an_upstream_that_refuses_connections_was_not_reached(upstream):
    back_end = back_end_of(upstream)
    upstream.close()
    page = run(back_end, attempt_of())
    assert page.refused == {"attempt0": "unreachable"}


def test_stop_gives_up_the_connection_without_an_answer(upstream):
    back_end = back_end_of(upstream)
    back_end.start_attempts([attempt_of(path="/?run_ms=60000")])
    gevent.sleep(0.05)
    assert [found.state for found in back_end.find("job")] == ["running"]
    back_end.stop("job")
    gevent.sleep(0.01)
    assert back_end.find("job") == []
    assert back_end.next_answers(0, 0.0).answers == []


@pytest.mark.parametrize(
    "payload", ["no json", '{"method": "GET"}', '{"method":"A\\r","path":"/"}']
)
def test_a_malformed_request_fails_and_is_not_sent(upstream, payload):
    attempt = attempt_of()
    attempt.payload = payload
    page = run(back_end_of(upstream), attempt)
    assert [entry.ok for entry in page.answers] == [False]
    assert requests_of(upstream) == []


def test_a_body_that_is_no_text_is_kept_whole():
    assert UpstreamAnswer(200, body_base64="//8=").content() == b"\xff\xff"

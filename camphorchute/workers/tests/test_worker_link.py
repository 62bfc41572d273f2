import pytest

from camphorchute.workers.back_end import AttemptAnswer
from camphorchute.workers.tests.fakes import Stand

UNCLEAR = {
    "it runs": ("answer lost", "COMPLETE", 1),
    "the back end raised": ("raises", "COMPLETE", 1),
    "never heard of": ("request lost", "WORKER_LOST", 1),
}


@pytest.mark.parametrize("fault, code, starts", UNCLEAR.values(), ids=UNCLEAR)
def test_an_unclear_start_is_asked_about_and_never_sent_again(fault, code, starts):
    stand = Stand()
    stand.step()
    stand.fake.start_fault = fault
    stand.hand()
    stand.step()
    assert stand.told() == []
    stand.run(30, ms=200)
    if code == "COMPLETE":
        assert stand.counts["home.find.adopted"] == 1
        stand.fake.finish("job-0")
        stand.step()
    assert stand.told() == [(code, 0)]
    assert stand.fake.calls["start"] == starts
    stand.run(10, ms=1000)
    assert stand.free == 8


def test_an_unclear_start_whose_end_is_found():
    stand = Stand()
    stand.fake.start_fault = "answer lost"
    stand.hand()
    stand.home.links()[0].send_starts()
    stand.fake.finish("job-0")
    stand.fake.answers.clear()
    stand.step(101)
    assert stand.told() == [("COMPLETE", 0)]


def test_an_unclear_start_at_a_silent_worker_is_lost_by_the_deadline_at_the_latest():
    stand = Stand()
    stand.fake.start_fault = "request lost"
    stand.fake.silent = True
    stand.hand(remaining_ms=1000.0)
    stand.run(20, ms=100)
    assert stand.told() == [("DEADLINE_PASSED", 0)]


def test_a_worker_that_stays_silent_loses_its_tasks_and_gets_no_work_until_it_answers():
    stand = Stand()
    stand.hand("a")
    stand.step()
    stand.fake.silent = True
    stand.step(100)
    stand.hand("b")
    assert stand.told() == [("NO_SLOT", "b-0")]
    stand.run(50, ms=100)
    assert stand.told()[-1] == ("WORKER_LOST", 0)
    assert stand.counts["home.poll.silent"] >= 3
    stand.fake.silent = False
    stand.fake.finish("a-0")
    stand.step(100)
    assert stand.told()[-1] == ("WORKER_LOST", 0)
    assert stand.counts["home.answers.late"] == 1
    stand.home.owner_lost("owner")
    assert stand.free == 8


def test_one_silent_poll_loses_nothing():
    stand = Stand()
    stand.hand()
    stand.step()
    stand.fake.finish("job-0")
    stand.fake.silent = True
    stand.step()
    stand.fake.silent = False
    stand.step()
    assert stand.told() == [("COMPLETE", 0)]


BAD_ANSWERS = {
    "unknown attempt": ({"attempt": "other-0"}, "unmatched"),
    "other job": ({"job": "other"}, "unmatched"),
    "other index": ({"index": 1}, "unmatched"),
    "not sent yet": ({"attempt": "waiting-0", "job": "waiting"}, "unmatched"),
}


@pytest.mark.parametrize("fields, counted", BAD_ANSWERS.values(), ids=BAD_ANSWERS)
def test_an_answer_that_matches_no_attempt_is_dropped(fields, counted):
    stand = Stand(slots=2)
    stand.hand()
    stand.step()
    stand.hand("waiting")
    answer = {"attempt": "job-0", "job": "job", "index": 0, "answer": "crossed"} | fields
    stand.fake.answers.append(AttemptAnswer(**answer))
    stand.home.links()[0].poll_once()
    assert stand.told() == []
    assert stand.counts[f"home.answers.{counted}"] == 1
    assert stand.free == 0


def test_an_answer_from_another_worker_is_dropped():
    stand = Stand(workers=2, slots=1)
    stand.hand(indices=[0, 1])
    stand.step()
    first, second = stand.fakes
    (attempt,) = first.running.values()
    second.answers.append(AttemptAnswer(attempt.attempt, attempt.job, attempt.index))
    stand.step()
    assert stand.told() == []


def test_a_doubled_answer_is_reported_once():
    stand = Stand()
    stand.hand()
    stand.step()
    stand.fake.finish("job-0")
    stand.fake.answers += stand.fake.answers * 2
    stand.step()
    assert stand.told() == [("COMPLETE", 0)]
    assert stand.counts["home.answers.doubled"] == 2
    assert stand.free == 8


@pytest.mark.parametrize("fault", ["", "answer lost", "raises"])
def test_an_answer_that_comes_before_its_start_is_confirmed(fault):
    stand = Stand()
    link = stand.home.links()[0]
    stand.fake.start_fault = fault

    def answer():
        stand.fake.finish("job-0")
        link.poll_once()

    stand.fake.during_start = answer
    stand.hand()
    stand.run(10)
    assert stand.told() == [("COMPLETE", 0)]
    assert stand.free == 8


def test_a_failed_task_is_reported_as_failed():
    stand = Stand()
    stand.hand()
    stand.step()
    stand.fake.finish("job-0", ok=False, answer="out of ink")
    stand.step()
    assert stand.told() == [("TASK_FAILED", 0)]
    assert stand.sent[-1][1].outcomes[0].detail == "out of ink"


@pytest.mark.parametrize("restarted", [True, False])
def test_tasks_that_a_worker_forgot_are_lost(restarted):
    stand = Stand()
    stand.hand("a")
    stand.step()
    stand.fake.finish("a-0")
    stand.step()
    stand.hand("b")
    stand.step()
    stand.fake.running.clear()
    stand.fake.ended.clear()
    if restarted:
        stand.fake.answers.clear()
        stand.step(100)
    else:
        stand.run(60, ms=100)
    assert stand.told()[-1] == ("WORKER_LOST", 0)
    assert stand.counts["home.worker.restarted"] == restarted


def test_an_overdue_task_whose_answer_was_lost_is_found():
    stand = Stand()
    stand.hand()
    stand.step()
    stand.fake.finish("job-0")
    stand.fake.answers.clear()
    stand.run(29, ms=100)
    assert stand.told() == []
    stand.run(3, ms=100)
    assert stand.told() == [("COMPLETE", 0)]


def test_a_worker_that_fails_everything_is_ejected_and_probed_back():
    stand = Stand(workers=4, slots=1)
    failing = stand.fakes[0]
    for number in range(40):
        stand.hand(f"job{number}", indices=range(4))
        stand.step(10)
        for fake in stand.fakes:
            fake.finish(*list(fake.running), ok=fake is not failing)
        stand.step(10)
        stand.home.owner_lost("owner")
    assert stand.counts["home.worker.ejected"] == 1
    starts = len(failing.batches)
    assert starts < 10
    stand.now_s += 2
    stand.hand("probe", indices=range(4))
    stand.step()
    assert len(failing.batches) == starts + 1
    failing.finish(*list(failing.running))
    stand.step()
    assert stand.counts["home.worker.restored"] == 1


def test_no_worker_is_ejected_when_the_tasks_fail_everywhere():
    stand = Stand(workers=4, slots=1)
    for number in range(20):
        stand.hand(f"job{number}", indices=range(4))
        stand.step(10)
        for fake in stand.fakes:
            fake.finish(*list(fake.running), ok=False)
        stand.step(10)
        stand.home.owner_lost("owner")
    assert stand.counts["home.worker.ejected"] == 0


def test_a_late_answer_frees_no_slot_of_a_worker_that_was_removed_and_came_back():
    stand = Stand()
    stand.hand(remaining_ms=100.0)
    stand.step()
    stand.step(200)
    stand.fake.silent = True
    stand.home.set_workers(stand.definition, [])
    stand.run(2)
    assert stand.home.links() == []
    stand.fake.silent = False
    stand.home.set_workers(stand.definition, stand.workers)
    stand.fake.finish("job-0")
    stand.step()
    assert stand.counts["home.answers.late"] == 1
    assert stand.free == 8

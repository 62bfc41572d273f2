import pytest

from camphorchute.workers.back_end import AttemptAnswer, StartReport
from camphorchute.workers.tests.fakes import SchedulerHarness

UNCLEAR = {
    "it runs": ("answer lost", "COMPLETE", 1),
    "the back end raised": ("raises", "COMPLETE", 1),
    "the worker does not know it": ("request lost", "WORKER_LOST", 1),
}


@pytest.mark.parametrize("fault, code, starts", UNCLEAR.values(), ids=UNCLEAR)
def test_an_unclear_start_is_queried_and_not_sent_again(fault, code, starts):
    harness = SchedulerHarness()
    harness.step()
    harness.back_end.start_fault = fault
    harness.dispatch()
    harness.step()
    assert harness.owner_reports() == []
    harness.run_steps(30, ms=200)
    if code == "COMPLETE":
        assert harness.counts["home.find.adopted"] == 1
        harness.back_end.finish("job-0")
        harness.step()
    assert harness.owner_reports() == [(code, 0)]
    assert harness.back_end.calls["start"] == starts
    harness.run_steps(10, ms=1000)
    assert harness.free_slots == 8


# Guards against a task that runs and is returned to its owner, which starts it again.
@pytest.mark.parametrize("state", ["running", "unclear"])
def test_a_start_answer_that_refuses_an_attempt_of_an_earlier_command_changes_nothing(state):
    harness = SchedulerHarness()
    harness.back_end.start_fault = "answer lost" if state == "unclear" else ""
    harness.dispatch(indices=[0])
    harness.scheduler.links()[0].send_starts()
    harness.back_end.start_fault = ""
    harness.now_s += 1.0
    start_attempts = harness.back_end.start_attempts

    def refuse_earlier_attempt(attempts):
        report = start_attempts(attempts)
        return StartReport(report.started, {"job-0": "no_slot"})

    harness.back_end.start_attempts = refuse_earlier_attempt
    harness.dispatch(indices=[1])
    harness.step(101)
    assert harness.owner_reports() == []
    assert harness.counts["home.answers.unmatched"] == 1
    harness.back_end.finish("job-0", "job-1")
    harness.step()
    assert sorted(harness.owner_reports()) == [("COMPLETE", 0), ("COMPLETE", 1)]


def test_an_unclear_start_whose_task_ended_is_reported_with_its_answer():
    harness = SchedulerHarness()
    harness.back_end.start_fault = "answer lost"
    harness.dispatch()
    harness.scheduler.links()[0].send_starts()
    harness.back_end.finish("job-0")
    harness.back_end.answers.clear()
    harness.step(101)
    assert harness.owner_reports() == [("COMPLETE", 0)]


def test_an_unclear_start_at_an_unresponsive_worker_ends_with_its_deadline():
    harness = SchedulerHarness()
    harness.back_end.start_fault = "request lost"
    harness.back_end.unresponsive = True
    harness.dispatch(remaining_ms=1000.0)
    harness.run_steps(20, ms=100)
    assert harness.owner_reports() == [("DEADLINE_PASSED", 0)]


def test_tasks_of_an_unresponsive_worker_are_lost_and_it_gets_none_until_it_answers():
    harness = SchedulerHarness()
    harness.dispatch("a")
    harness.step()
    harness.back_end.unresponsive = True
    harness.step(100)
    harness.dispatch("b")
    assert harness.owner_reports() == [("NO_SLOT", "b-0")]
    harness.run_steps(50, ms=100)
    assert harness.owner_reports()[-1] == ("WORKER_LOST", 0)
    assert harness.counts["home.poll.silent"] >= 3
    harness.back_end.unresponsive = False
    harness.back_end.finish("a-0")
    harness.step(100)
    assert harness.owner_reports()[-1] == ("WORKER_LOST", 0)
    assert harness.counts["home.answers.late"] == 1
    harness.scheduler.drop_owner("owner")
    assert harness.free_slots == 8


def test_one_unanswered_poll_loses_no_task():
    harness = SchedulerHarness()
    harness.dispatch()
    harness.step()
    harness.back_end.finish("job-0")
    harness.back_end.unresponsive = True
    harness.step()
    harness.back_end.unresponsive = False
    harness.step()
    assert harness.owner_reports() == [("COMPLETE", 0)]


BAD_ANSWERS = {
    "unknown attempt": ({"attempt": "other-0"}, "unmatched"),
    "other job": ({"job": "other"}, "unmatched"),
    "other index": ({"index": 1}, "unmatched"),
    "not sent yet": ({"attempt": "waiting-0", "job": "waiting"}, "unmatched"),
}


@pytest.mark.parametrize("fields, counted", BAD_ANSWERS.values(), ids=BAD_ANSWERS)
def test_an_answer_that_matches_no_attempt_is_dropped(fields, counted):
    harness = SchedulerHarness(slots=2)
    harness.dispatch()
    harness.step()
    harness.dispatch("waiting")
    answer = {"attempt": "job-0", "job": "job", "index": 0, "answer": "crossed"} | fields
    harness.back_end.answers.append(AttemptAnswer(**answer))
    harness.scheduler.links()[0].poll_once()
    assert harness.owner_reports() == []
    assert harness.counts[f"home.answers.{counted}"] == 1
    assert harness.free_slots == 0


def test_an_answer_from_another_worker_is_dropped():
    harness = SchedulerHarness(workers=2, slots=1)
    harness.dispatch(indices=[0, 1])
    harness.step()
    first, second = harness.back_ends
    (attempt,) = first.running.values()
    second.answers.append(AttemptAnswer(attempt.attempt, attempt.job, attempt.index))
    harness.step()
    assert harness.owner_reports() == []


def test_a_repeated_answer_is_reported_once():
    harness = SchedulerHarness()
    harness.dispatch()
    harness.step()
    harness.back_end.finish("job-0")
    harness.back_end.answers += harness.back_end.answers * 2
    harness.step()
    assert harness.owner_reports() == [("COMPLETE", 0)]
    assert harness.counts["home.answers.doubled"] == 2
    assert harness.free_slots == 8


@pytest.mark.parametrize("fault", ["", "answer lost", "raises"])
def test_an_answer_that_arrives_before_its_start_is_confirmed_is_reported_once(fault):
    harness = SchedulerHarness()
    link = harness.scheduler.links()[0]
    harness.back_end.start_fault = fault

    def answer():
        harness.back_end.finish("job-0")
        link.poll_once()

    harness.back_end.during_start = answer
    harness.dispatch()
    harness.run_steps(10)
    assert harness.owner_reports() == [("COMPLETE", 0)]
    assert harness.free_slots == 8


def test_a_failed_task_is_reported_as_failed():
    harness = SchedulerHarness()
    harness.dispatch()
    harness.step()
    harness.back_end.finish("job-0", ok=False, answer="out of ink")
    harness.step()
    assert harness.owner_reports() == [("TASK_FAILED", 0)]
    assert harness.sent_messages[-1][1].outcomes[0].detail == "out of ink"


@pytest.mark.parametrize("restarted", [True, False])
def test_tasks_that_their_worker_no_longer_knows_are_lost(restarted):
    harness = SchedulerHarness()
    harness.dispatch("a")
    harness.step()
    harness.back_end.finish("a-0")
    harness.step()
    harness.dispatch("b")
    harness.step()
    harness.back_end.running.clear()
    harness.back_end.ended.clear()
    if restarted:
        harness.back_end.answers.clear()
        harness.step(100)
    else:
        harness.run_steps(60, ms=100)
    assert harness.owner_reports()[-1] == ("WORKER_LOST", 0)
    assert harness.counts["home.worker.restarted"] == restarted


def test_an_overdue_task_whose_answer_was_lost_is_queried_and_reported():
    harness = SchedulerHarness()
    harness.dispatch()
    harness.step()
    harness.back_end.finish("job-0")
    harness.back_end.answers.clear()
    harness.run_steps(29, ms=100)
    assert harness.owner_reports() == []
    harness.run_steps(3, ms=100)
    assert harness.owner_reports() == [("COMPLETE", 0)]


def test_a_worker_that_fails_every_task_is_ejected_and_restored_by_a_successful_probe():
    harness = SchedulerHarness(workers=4, slots=1)
    failing = harness.back_ends[0]
    for number in range(40):
        harness.dispatch(f"job{number}", indices=range(4))
        harness.step(10)
        for fake in harness.back_ends:
            fake.finish(*list(fake.running), ok=fake is not failing)
        harness.step(10)
        harness.scheduler.drop_owner("owner")
    assert harness.counts["home.worker.ejected"] == 1
    starts = len(failing.batches)
    assert starts < 10
    harness.now_s += 2
    harness.dispatch("probe", indices=range(4))
    harness.step()
    assert len(failing.batches) == starts + 1
    failing.finish(*list(failing.running))
    harness.step()
    assert harness.counts["home.worker.restored"] == 1


def test_no_worker_is_ejected_when_the_tasks_fail_everywhere():
    harness = SchedulerHarness(workers=4, slots=1)
    for number in range(20):
        harness.dispatch(f"job{number}", indices=range(4))
        harness.step(10)
        for fake in harness.back_ends:
            fake.finish(*list(fake.running), ok=False)
        harness.step(10)
        harness.scheduler.drop_owner("owner")
    assert harness.counts["home.worker.ejected"] == 0


def test_a_late_answer_does_not_free_a_slot_of_a_worker_that_was_removed_and_added_again():
    harness = SchedulerHarness()
    harness.dispatch(remaining_ms=100.0)
    harness.step()
    harness.step(200)
    harness.back_end.unresponsive = True
    harness.scheduler.set_workers(harness.definition, [])
    harness.run_steps(2)
    assert harness.scheduler.links() == []
    harness.back_end.unresponsive = False
    harness.scheduler.set_workers(harness.definition, harness.workers)
    harness.back_end.finish("job-0")
    harness.step()
    assert harness.counts["home.answers.late"] == 1
    assert harness.free_slots == 8

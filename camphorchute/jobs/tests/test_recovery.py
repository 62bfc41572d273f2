import gevent
import pytest

from camphorchute.contracts import JobKey, Refusal, ResultCode, TaskOutcome
from camphorchute.contracts.messages import FindTasks, FoundTasks
from camphorchute.jobs import recovery
from camphorchute.jobs.job import Job, TaskState
from camphorchute.jobs.tests.fakes import B, OwnerPart, spec
from camphorchute.workers.back_end import BackEndError, FoundAttempt


@pytest.fixture
def part(monkeypatch):
    for name, value_ms in [("SEARCH_PATIENCE_MS", 60.0), ("SEARCH_MS", 10.0), ("RETRY_MS", 10.0)]:
        monkeypatch.setattr(recovery, name, value_ms)
    part = OwnerPart()
    yield part
    part.owner.close()


@pytest.fixture
def job():
    """Tasks 0 and 1 are handed to home b, task 2 waits."""
    job = Job(JobKey("k", ["north"]), spec(3), b"d", 2000.0)
    job.hand(0, "a-0", "b")
    job.hand(1, "a-1", "b")
    return job


def find_at_b(part, ended=(), running=(), meanwhile=lambda: None):
    def find(home, message):
        meanwhile()
        outcomes = [TaskOutcome(i, code, f"answer {i}") for i, code in ended]
        return FoundTasks("k", outcomes, list(running))

    part.peers.answer[FindTasks] = find


def test_what_the_home_holds_is_kept_and_only_the_rest_placed_again(part, job):
    find_at_b(part, ended=[(0, 0)])
    assert part.recovery.from_home(job, B) == [1]
    assert part.peers.asked_of(FindTasks)[0][1].attempts == ["a-0", "a-1"]
    assert [task.state for task in job.tasks] == [
        TaskState.ENDED,
        TaskState.WAITING,
        TaskState.WAITING,
    ]


def test_running_tasks_stay_with_their_home(part, job):
    find_at_b(part, running=[0, 1])
    assert part.recovery.from_home(job, B) == []
    assert job.handed_to("b") == [0, 1]


def test_a_task_handed_on_while_the_home_is_asked_is_not_taken_back(part, job):
    find_at_b(part, running=[0, 1], meanwhile=lambda: job.hand(2, "a-2", "b"))
    assert part.recovery.from_home(job, B) == []
    assert job.handed_to("b") == [0, 1, 2]


def test_two_recoveries_at_once_place_a_task_once(part, job):
    def find(home, message):
        gevent.sleep(0.02)
        return FoundTasks("k", [], [])

    part.peers.answer[FindTasks] = find
    placed = []

    def recover():
        indices = part.recovery.from_home(job, B)
        placed.extend(indices)
        for index in indices:
            job.hand(index, f"again-{index}", "b")

    gevent.joinall([gevent.spawn(recover), gevent.spawn(recover)])
    assert sorted(placed) == [0, 1]


def test_a_failed_task_found_at_the_home_ends_the_job(part, job):
    find_at_b(part, ended=[(0, int(ResultCode.TASK_FAILED))])
    with pytest.raises(Refusal) as raised:
        part.recovery.from_home(job, B)
    assert raised.value.code is ResultCode.TASK_FAILED


def test_a_silent_home_is_asked_until_the_job_ends(part, job):
    part.peers.down = {"b"}
    gevent.spawn_later(0.05, job.fail, ResultCode.DEADLINE_PASSED, "")
    try:
        assert part.recovery.from_home(job, B) == []
    except Refusal as refusal:
        assert refusal.code is ResultCode.DEADLINE_PASSED
    assert len(part.peers.asked) > 1


def attempt(index, state="ended", ok=True, name=None):
    return FoundAttempt(name or f"a-{index}", index, state, ok, f"answer {index}")


@pytest.mark.parametrize(
    "found, code",
    [
        ([attempt(0), attempt(1)], None),
        ([attempt(0)], ResultCode.WORKER_LOST),
        ([], ResultCode.WORKER_LOST),
        ([attempt(0), attempt(1, name="other")], ResultCode.WORKER_LOST),
        ([attempt(0), attempt(1, ok=False)], ResultCode.TASK_FAILED),
    ],
)
def test_tasks_of_a_dead_home_are_completed_from_the_workers_only(part, job, found, code):
    part.peers.down = {"b"}
    part.deaths.prove(B)
    part.found_attempts = found
    if code is None:
        assert part.recovery.from_home(job, B) == []
        assert job.tasks[1].answer == "answer 1" and job.waiting() == [2]
        return
    with pytest.raises(Refusal) as raised:
        part.recovery.from_home(job, B)
    assert raised.value.code is code
    assert job.waiting() == [2]


def test_a_running_task_of_a_dead_home_is_waited_for(part, job):
    part.peers.down = {"b"}
    part.deaths.prove(B)
    part.found_attempts = [attempt(0, "running"), attempt(1, "running")]
    search = gevent.spawn(part.recovery.from_home, job, B)
    gevent.sleep(0.1)
    assert not search.ready()
    part.found_attempts = [attempt(0), attempt(1)]
    assert search.get(timeout=2) == [] and job.handed_to("b") == []


def test_a_search_that_fails_is_repeated(part, job):
    part.peers.down = {"b"}
    part.deaths.prove(B)
    answers = iter([BackEndError("down"), [attempt(0), attempt(1)]])

    def find(service, key):
        answer = next(answers)
        if isinstance(answer, Exception):
            raise answer
        return answer

    part.recovery._find = find
    assert part.recovery.from_home(job, B) == []
    assert part.counts["jobs.retry.find_attempts"] == 1

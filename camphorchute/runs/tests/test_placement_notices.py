import pytest

from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import (
    RunPlace,
    ShardTerm,
    TaskPlace,
    TasksPlaced,
    TaskToStart,
)
from camphorchute.hosting import CommandRefused, RefusalReason
from camphorchute.links.codec import Frame, FrameKind, decode_frame, encode_frame
from camphorchute.runs.tests.model_workers import Held, ModelSite
from camphorchute.runs.tests.scheduler_site import JOB_ID, OWNER, start_message, wait_until

OTHER_JOB_ID = "5c0e7a21d94b36f9"
OTHER_OWNER = Member("owner2", "north", "vm1", "", "127.0.0.1:1", "127.0.0.1:2")


@pytest.fixture
def site():
    """A site of one scheduler, with the messages that it has sent to owners."""
    site = ModelSite(workers=2, run_s=0.2)
    scheduler = site.add_scheduler(fence=1)
    assert wait_until(lambda: all(w.synced for w in workers_of(scheduler).values()))
    site.notices, site.unreachable = [], set()
    scheduler.placement_notices.notify = lambda owner_id, message: (
        site.notices.append((owner_id, message)) or owner_id not in site.unreachable
    )
    yield site
    site.close()


def workers_of(scheduler):
    return scheduler._groups[scheduler.groups()[0]].workers


def dispatch(site, owner, job_id, tasks, dispatch=7):
    message = start_message(tasks)
    message.job_id = job_id
    message.tasks = [TaskToStart(index, 1, dispatch=dispatch) for index in range(tasks)]
    site.schedulers[0].start_tasks(owner, message)


def places(message):
    return {task.index: (task.place.worker_id, task.place.run) for task in message.tasks}


def runs_by_worker(site):
    return [
        (worker.worker_id, run.number) for worker in site.workers.values() for run in worker.runs
    ]


# The next owner did not know where a task that had lost a worker had started again, and an owner of
# durable tasks not whether they had started.
@pytest.mark.parametrize(
    ("own_id", "lost_runs", "term", "expected"),
    [
        ("", 0, None, 1),
        ("other", 0, None, 1),
        (OWNER.member_id, 0, None, 0),
        (OWNER.member_id, 1, None, 1),
        (OWNER.member_id, 0, ShardTerm(3, 7), 1),
    ],
)
def test_owner_in_the_same_process_is_told_of_durable_tasks_and_of_those_that_lost_a_worker(
    site, own_id, lost_runs, term, expected
):
    site.schedulers[0].placement_notices.own_id = own_id
    message = start_message(1, term=term)
    message.tasks = [TaskToStart(0, 1, lost_runs=lost_runs)]
    site.schedulers[0].start_tasks(OWNER, message)
    assert len(site.notices) == expected


# The place of a task was known to its scheduler alone, which was killed.
def test_notice_is_sent_before_the_start_command(site):
    holds = {worker.worker_id: Held() for worker in site.workers.values()}
    for worker in site.workers.values():
        worker.held["start"].append(holds[worker.worker_id])
    dispatch(site, OWNER, JOB_ID, 1)
    assert not any(hold.sent.is_set() for hold in holds.values())
    ((owner_id, message),) = site.notices
    ((task,),) = (message.tasks,)
    assert (owner_id, message.job_id) == (OWNER.member_id, JOB_ID)
    assert (task.step, task.index, task.dispatch) == (0, 0, 7)
    assert (task.place.run, task.place.was_acknowledged) == (1, False)
    assert wait_until(lambda: holds[task.place.worker_id].sent.is_set())
    for hold in holds.values():
        hold.release()
    assert wait_until(lambda: runs_by_worker(site) == [(task.place.worker_id, 1)])


def test_one_notice_is_sent_for_each_owner_and_job(site):
    scheduler = site.schedulers[0]
    scheduler.are_workers_current = lambda: False
    for owner, job_id, tasks in ((OWNER, JOB_ID, 2), (OTHER_OWNER, OTHER_JOB_ID, 1)):
        dispatch(site, owner, job_id, tasks)
    assert site.notices == []
    scheduler.are_workers_current = lambda: True
    (group,) = (scheduler.group(name) for name in scheduler.groups())
    scheduler.place_pending(group)
    notices = {(owner_id, m.job_id): sorted(places(m)) for owner_id, m in site.notices}
    assert len(site.notices) == 2
    assert notices == {
        (OWNER.member_id, JOB_ID): [0, 1],
        (OTHER_OWNER.member_id, OTHER_JOB_ID): [0],
    }
    assert wait_until(lambda: len(runs_by_worker(site)) == 3)


def test_each_later_run_has_a_notice_of_its_own(site):
    refusal = CommandRefused(RefusalReason.NO_ROOM)
    for worker in site.workers.values():
        worker.held["start"].append(Held(refusal))
        worker.held["start"][0].release()
    dispatch(site, OWNER, JOB_ID, 1)
    assert wait_until(lambda: runs_by_worker(site))
    placed = [places(message)[0] for _, message in site.notices]
    assert [number for _, number in placed] == list(range(1, len(placed) + 1))
    assert len(placed) > 1
    assert [placed[-1]] == runs_by_worker(site)


def test_notice_that_cannot_be_sent_is_counted_and_the_task_starts(site):
    site.unreachable.add(OWNER.member_id)
    dispatch(site, OWNER, JOB_ID, 2)
    assert site.counts["runs.placement_unsent"] == 1
    assert wait_until(lambda: len(runs_by_worker(site)) == 2)


def test_adopted_run_has_no_notice(site):
    site.workers["w0"].start(f"{JOB_ID}.0.0.0", 1)
    heir = site.add_scheduler(fence=2)
    heir.placement_notices.notify = lambda owner_id, message: site.notices.append(message)
    worker = workers_of(heir)["w0"]
    assert wait_until(lambda: worker.orphans)
    heir.start_tasks(OWNER, start_message(1))
    assert [run.was_adopted for run in worker.runs.values()] == [True]
    assert site.notices == []


def test_notice_survives_encoding():
    place = RunPlace("w1", 100, "10.0.0.1:80", 1)
    message = TasksPlaced("job1", [TaskPlace(0, 3, 7, place), TaskPlace(1, 0, 8, place)])
    frame = Frame(FrameKind.ONE_WAY, 0, message)
    assert decode_frame(encode_frame(frame)).message == message

import gevent
import pytest
from eliot.testing import MemoryLogger, swap_logger

from camphorchute.contracts.run_messages import StopTasks, TaskResultKind, TaskToStart
from camphorchute.hosting import CommandUnanswered
from camphorchute.runs.tests.model_workers import Held, ModelSite
from camphorchute.runs.tests.scheduler_site import GROUP, OWNER, start_message, wait_until


@pytest.fixture
def site():
    site = ModelSite(workers=1, run_s=3.0)
    yield site
    site.close()


# Guards against a stopped run of which the log does not say whose dispatch it was for.
def test_run_that_is_not_done_is_logged_with_its_dispatch_and_owner(site):
    scheduler = site.add_scheduler(1)
    message = start_message()
    message.group, message.tasks = GROUP, [TaskToStart(0, 1, 0, dispatch=17)]
    scheduler.start_tasks(OWNER, message)
    assert wait_until(site.all_runs)
    logger = MemoryLogger()
    previous_logger = swap_logger(logger)
    try:
        scheduler.stop_tasks(OWNER, StopTasks(message.job_id, None))
        assert wait_until(lambda: not site.all_runs()[0].is_active())
        assert wait_until(lambda: logger.messages)
    finally:
        swap_logger(previous_logger)
    (line,) = [line for line in logger.messages if line["text"] == "runs: run not done"]
    assert (line["how"], line["ordered_stop"]) == ("stopped", True)
    assert (line["dispatch"], line["owner"]) == (17, OWNER.member_id)
    assert 0 <= line["owner_seen_ms"] < 1000


# Guards against a start command that is sent after a stop was requested: the job had ended, and its
# caller had sent it again. The stop command was lost.
@pytest.mark.parametrize("is_stop_lost", [False, True])
def test_task_that_is_stopped_before_its_start_command_is_sent_is_not_started(site, is_stop_lost):
    scheduler = site.add_scheduler(1)
    if is_stop_lost:
        lost = Held(CommandUnanswered("lost"))
        lost.release()
        site.workers["w0"].held["stop"].append(lost)
    message = start_message()
    message.group, message.tasks = GROUP, [TaskToStart(0, 1, 0, dispatch=17)]
    scheduler.start_tasks(OWNER, message)
    scheduler.stop_tasks(OWNER, StopTasks(message.job_id, None))
    assert wait_until(lambda: site.results)
    gevent.sleep(0.2)
    assert site.all_runs() == []
    assert [result.end for result in site.results] == [TaskResultKind.NOT_STARTED]

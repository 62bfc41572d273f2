"""What witnesses know of runs that go on, and of runs that are never started."""

import time

import gevent
import pytest

from camphorchute.contracts.member import Member
from camphorchute.contracts.start_messages import AnnouncedStart, AnnounceStarts
from camphorchute.runs.start_witness import StartWitness
from camphorchute.runs.tests.model_workers import ModelSite
from camphorchute.runs.tests.scheduler_site import GROUP, JOB_ID, wait_until
from camphorchute.runs.witness_choice import WitnessChoice

TASK = f"{JOB_ID}.0.0.0"
OTHER_GROUP = GROUP.replace("north", "south")
OTHER_OWNER = Member("other_owner", "south", "vm2", "", "127.0.0.1:3", "127.0.0.1:4")
MEMBERS = [Member(name, name, name, "", "", "") for name in ("a", "b", "c", "d")]
ELSEWHERE = AnnouncedStart(TASK, "elsewhere", OTHER_GROUP, 1, 5000.0)


class Witnesses:
    """Witnesses that all schedulers share, which answer after a delay unless they are silent."""

    def __init__(self, answer_after_s=0.0):
        self.answer_after_s = answer_after_s
        self.is_silent = False
        self.tables = {member.member_id: StartWitness(lambda name, n=1: None) for member in MEMBERS}

    def connect(self, scheduler, scheduler_id="scheduler"):
        """Let a scheduler announce its starts to the witnesses."""
        announcements, sender = scheduler.start_announcements, Member(scheduler_id, *[""] * 5)

        def send(member, message):
            gevent.spawn_later(self.answer_after_s, receive, member, message)
            return True

        def receive(member, message):
            table = self.tables[member.member_id]
            if not isinstance(message, AnnounceStarts):
                table.forget_starts(sender, message)
                return
            table.send = lambda _, answer: self.is_silent or announcements.handle_witnessed(
                member, answer
            )
            table.witness_starts(sender, message)

        announcements.own_id = scheduler_id
        announcements.choice = WitnessChoice(scheduler_id, lambda: MEMBERS)
        announcements.send = send

    def informed(self):
        """Return the ids of the members that know of a start of the task."""
        return {
            member_id
            for member_id, table in self.tables.items()
            if any(row.worker_id != "elsewhere" for row in table.announce("other", [ELSEWHERE]))
        }


@pytest.fixture
def witnesses():
    return Witnesses()


@pytest.fixture
def site():
    site = ModelSite(workers=2, run_s=0.6)
    yield site
    site.close()


def dispatch_once_more(site, scheduler):
    """Another owner asks for the run while a lease outlasts what it allows for."""
    heard_s = time.monotonic() - 1.0
    scheduler.owner_contacts.running_at_s = lambda owner_id: (
        heard_s if owner_id == OTHER_OWNER.member_id else time.monotonic()
    )
    site.dispatch(scheduler, owner=OTHER_OWNER)


def dispatch_to_a_group_that_moved(site, scheduler):
    site.dispatch(scheduler, group=OTHER_GROUP, owner=OTHER_OWNER)


def dispatch_that_is_read_too_late(site, scheduler):
    site.dispatch(scheduler, owner=OTHER_OWNER, start_within_ms=0.0)


def release_group(site, scheduler):
    scheduler.release_group(GROUP)


def continue_run(site, scheduler):
    pass


# Guards against two runs of a task: the first goes on when its witnesses have forgotten it.
@pytest.mark.parametrize(
    "event",
    [
        continue_run,
        dispatch_once_more,
        dispatch_to_a_group_that_moved,
        dispatch_that_is_read_too_late,
        release_group,
    ],
)
def test_witnesses_remember_a_run_that_goes_on(site, witnesses, event):
    scheduler = site.add_scheduler(1)
    witnesses.connect(scheduler)
    site.dispatch(scheduler)
    assert wait_until(site.all_runs)
    gevent.sleep(0.05)
    event(site, scheduler)
    gevent.sleep(0.1)
    assert site.busy().active()
    assert witnesses.informed()


# Guards against two runs of a task, whose owner and second scheduler are lost.
@pytest.mark.parametrize("is_first_killed", [True, False])
def test_witnesses_know_of_an_adopted_run(site, witnesses, is_first_killed):
    first = site.add_scheduler(1)
    witnesses.connect(first, "first")
    site.dispatch(first)
    assert wait_until(site.all_runs)
    gevent.sleep(0.05)
    if is_first_killed:
        site.kill(first)
    else:
        first.release_group(GROUP)
    second = site.add_scheduler(2)
    witnesses.connect(second, "second")
    site.dispatch_again(second, site.notices[-1], bound_ms=0.0)
    assert wait_until(lambda: site.counts.get("runs.adopted"), 1.0)
    gevent.sleep(0.05)
    assert site.busy().active()
    assert witnesses.informed()


# Guards against a task that is kept from starting by a run that was never started.
@pytest.mark.parametrize("is_known_elsewhere", [False, True])
def test_witnesses_forget_a_start_that_is_given_up_while_they_are_asked(
    site, witnesses, is_known_elsewhere
):
    witnesses.answer_after_s, witnesses.is_silent = 0.002, not is_known_elsewhere
    if is_known_elsewhere:
        for table in witnesses.tables.values():
            table.announce("lost", [ELSEWHERE])
    scheduler = site.add_scheduler(1)
    witnesses.connect(scheduler)
    site.dispatch(scheduler)
    gevent.sleep(0.01)
    scheduler.release_group(GROUP)
    for table in witnesses.tables.values():
        table.forget("lost", [TASK])
    gevent.sleep(0.3)
    assert site.all_runs() == []
    assert witnesses.informed() == set()

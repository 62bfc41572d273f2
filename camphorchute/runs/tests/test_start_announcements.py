from types import SimpleNamespace

import gevent
import pytest

from camphorchute.contracts.member import Member
from camphorchute.contracts.start_messages import AnnounceStarts
from camphorchute.runs import start_announcements
from camphorchute.runs.start_announcements import StartAnnouncements
from camphorchute.runs.start_witness import StartWitness
from camphorchute.runs.tests.scheduler_site import wait_until
from camphorchute.runs.witness_choice import WitnessChoice

JOB_ID = "5c0e7a21d94b36f8"
TASK = f"{JOB_ID}.0.0.0"
IDS = ["owner", "other_owner", "a", "b", "c", "d", "e", "f"]
MEMBERS = [Member(name, name[0], name, "", "", "") for name in IDS]


class Fleet:
    """Members that witness each other's starts by local calls.

    Attributes:
        lost: ids of members that do not answer.
        are_links_closed: whether messages to them cannot be sent.
        counts: the counters of all, by name.
    """

    def __init__(self, members=MEMBERS):
        self.lost = set()
        self.are_links_closed = False
        self.counts = {}
        self.witnesses = {member.member_id: StartWitness(self.count) for member in members}
        self.announcements = {}
        self._members = {member.member_id: member for member in members}
        for member_id, witness in self.witnesses.items():
            announcements = StartAnnouncements(witness, self.count)
            announcements.own_id = member_id
            announcements.choice = WitnessChoice(member_id, lambda: members)
            announcements.send = self._make_send(member_id)
            witness.send = self._make_answer(member_id)
            self.announcements[member_id] = announcements

    def count(self, name, n=1):
        self.counts[name] = self.counts.get(name, 0) + n

    def announce(self, scheduler_id, worker_id="w1", run=1, owner_id="owner"):
        """Announce a run and return what it is in conflict with, None if nothing."""
        message = SimpleNamespace(job_id=JOB_ID)
        run = SimpleNamespace(worker_id=worker_id, number=run, announcement=None)
        task = SimpleNamespace(
            name=TASK, message=message, owner_id=owner_id, run=run, group="g", finish_by_s=0.0
        )
        self.announcements[scheduler_id].announce([task], "flags")
        return run.announcement.wait_until_decided(TASK)

    def informed(self):
        """Return the ids of the members that know of a start of the task."""
        return {member_id for member_id, witness in self.witnesses.items() if len(witness)}

    def _make_send(self, sender_id):
        def send(member, message):
            if member.member_id in self.lost:
                return not self.are_links_closed
            witness, sender = self.witnesses[member.member_id], self._members[sender_id]
            is_start = isinstance(message, AnnounceStarts)
            handler = witness.witness_starts if is_start else witness.forget_starts
            gevent.spawn(handler, sender, message)
            return True

        return send

    def _make_answer(self, sender_id):
        def send(member_id, message):
            announcements = self.announcements[member_id]
            gevent.spawn(announcements.handle_witnessed, self._members[sender_id], message)
            return True

        return send


def test_a_start_is_known_to_two_others_before_it_is_allowed():
    fleet = Fleet()
    assert fleet.announce("a") is None
    assert len(fleet.informed() - {"owner", "a"}) == 2


# Guards against two runs of a task after the loss of any two processes that knew of the first.
# While owner and scheduler live, the loss of both witnesses leaves the run to them.
@pytest.mark.parametrize(
    "lost",
    [
        ("owner", "scheduler"),
        ("owner", "first witness"),
        ("owner", "second witness"),
        ("scheduler", "first witness"),
        ("scheduler", "second witness"),
    ],
)
def test_a_later_owner_meets_the_start_that_lost_processes_have_sent(lost):
    fleet = Fleet()
    fleet.announce("a", "w1")
    first, second = sorted(fleet.informed() - {"a"})
    names = {"owner": "owner", "scheduler": "a", "first witness": first, "second witness": second}
    fleet.lost |= {names[role] for role in lost}
    for scheduler_id in sorted(set(IDS[2:]) - fleet.lost - {"a"}):
        known = fleet.announce(scheduler_id, "w2", owner_id="other_owner")
        assert known is not None and known.worker_id == "w1", scheduler_id


@pytest.mark.parametrize("is_done", [True, False])
def test_a_run_that_is_over_is_forgotten(is_done):
    fleet = Fleet()
    fleet.announce("a", "w1")
    fleet.announcements["a"].forget(TASK, is_done)
    assert wait_until(lambda: not fleet.informed(), 2.0)
    assert fleet.announce("b", "w2", owner_id="other_owner") is None


def test_a_run_that_may_go_on_is_kept():
    fleet = Fleet()
    fleet.announce("a", "w1")
    fleet.announcements["a"].keep(TASK)
    fleet.announcements["a"].forget(TASK, is_done=False)
    gevent.sleep(0.01)
    assert fleet.announce("b", "w2", owner_id="other_owner").worker_id == "w1"


def test_a_start_in_conflict_leaves_no_trace():
    fleet = Fleet()
    fleet.announce("a", "w1")
    fleet.announce("b", "w2", owner_id="other_owner")
    fleet.announcements["a"].forget(TASK, is_done=False)
    assert wait_until(lambda: not fleet.informed(), 2.0)
    assert fleet.counts["runs.announce.conflict"] == 1


def test_a_conflict_with_a_run_that_ends_meanwhile_is_none():
    fleet = Fleet()
    fleet.announce("a", "w1")
    gevent.spawn_later(0.01, fleet.announcements["a"].forget, TASK, False)
    assert fleet.announce("b", "w2", owner_id="other_owner") is None
    assert fleet.counts["runs.announce.asked_again"] == 1


@pytest.mark.parametrize("are_links_closed", [False, True])
@pytest.mark.parametrize(
    ("lost", "counter"),
    [
        (0, None),
        (2, None),
        (5, "runs.announce.one_witness"),
        (6, "runs.announce.unwitnessed"),
    ],
)
def test_a_start_waits_for_silent_witnesses_for_a_short_time(lost, counter, are_links_closed):
    fleet = Fleet()
    fleet.are_links_closed = are_links_closed
    choice, excluded = fleet.announcements["a"].choice, {"owner"}
    while lost:
        for member in choice.first(start_announcements.witness_key("flags", JOB_ID), excluded):
            excluded.add(member.member_id)
            if lost:
                fleet.lost.add(member.member_id)
                lost -= 1
    with gevent.Timeout(1.0):
        assert fleet.announce("a") is None
    known = {name for name in fleet.counts if name.endswith("witness") or "unwitn" in name}
    assert known == ({counter} if counter else set())


def test_nothing_is_announced_without_other_members():
    fleet = Fleet(MEMBERS[2:3])
    assert fleet.announce("a") is None


def test_two_schedulers_at_once_do_not_both_start():
    fleet = Fleet()
    both = [
        gevent.spawn(fleet.announce, scheduler_id, worker_id, owner_id=owner_id)
        for scheduler_id, worker_id, owner_id in (("a", "w1", "owner"), ("b", "w2", "other_owner"))
    ]
    gevent.joinall(both)
    assert sum(greenlet.value is None for greenlet in both) <= 1


# Guards against a start that only lost processes and witnesses that were shutting down knew of.
def test_a_witness_that_shuts_down_is_not_counted():
    fleet = Fleet()
    fleet.announce("a", "w1")
    leaving, _ = sorted(fleet.informed() - {"a"})
    fleet.announcements["a"].forget(TASK, is_done=False)
    assert wait_until(lambda: not fleet.informed(), 2.0)
    fleet.witnesses[leaving].is_leaving = lambda: True
    for _ in range(2):
        assert fleet.announce("a", "w1") is None
        assert len(fleet.informed() - {"a", leaving}) == 2


def test_a_witness_that_shuts_down_still_tells_what_it_knows():
    fleet = Fleet()
    fleet.announce("a", "w1")
    first, second = sorted(fleet.informed() - {"a"})
    fleet.witnesses[first].is_leaving = lambda: True
    fleet.lost |= {"owner", "a", second}
    for scheduler_id in sorted(set(IDS[2:]) - fleet.lost - {first}):
        known = fleet.announce(scheduler_id, "w2", owner_id="other_owner")
        assert known is not None and known.worker_id == "w1", scheduler_id

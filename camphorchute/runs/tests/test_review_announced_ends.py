"""What scheduler and witnesses say to each other about the ends of starts."""

from types import SimpleNamespace

import gevent
import pytest

from camphorchute.contracts.start_messages import AnnounceStarts, KnownStart
from camphorchute.runs.start_announcements import FORGET_DELAY_MS, Announcement, witness_key
from camphorchute.runs.tests.test_start_announcements import JOB_ID, MEMBERS, TASK, Fleet
from camphorchute.runs.tests.virtual_time import VirtualTime

OTHER_TASK = f"{JOB_ID}.0.0.1"


class RecordingFleet(Fleet):
    """Members whose messages about starts are recorded.

    Attributes:
        sent: receiver and message, in the order of sending.
    """

    def __init__(self):
        self.sent = []
        super().__init__()

    def announce_task(self, name):
        """Announce a run of a task by scheduler "a"."""
        run = SimpleNamespace(worker_id="w1", number=1, announcement=None)
        message = SimpleNamespace(job_id=JOB_ID)
        task = SimpleNamespace(
            name=name, message=message, owner_id="owner", run=run, group="g", finish_by_s=0.0
        )
        self.announcements["a"].announce([task], "flags")
        return run.announcement.wait_until_decided(name)

    def _make_send(self, sender_id):
        send = super()._make_send(sender_id)

        def record(member, message):
            self.sent.append((member.member_id, message))
            return send(member, message)

        return record


@pytest.fixture(autouse=True)
def virtual_time():
    with VirtualTime():
        yield


def test_end_of_a_start_is_told_once_with_the_next_announcement():
    fleet = RecordingFleet()
    fleet.announce_task(TASK)
    fleet.announcements["a"].forget(TASK, is_done=True)
    fleet.announce_task(OTHER_TASK)
    for member_id in fleet.informed() - {"a"}:
        assert len(fleet.witnesses[member_id]) == 1
    gevent.sleep(FORGET_DELAY_MS / 1000 + 0.1)
    told = [
        member_id
        for member_id, message in fleet.sent
        if TASK in getattr(message, "forgotten", []) or TASK in getattr(message, "tasks", [])
    ]
    assert sorted(told) == sorted({member_id for member_id, _ in fleet.sent})


@pytest.mark.parametrize("is_done", [True, False])
def test_end_of_a_start_is_told_to_the_witnesses_of_earlier_runs(is_done):
    fleet = RecordingFleet()
    fleet.announce_task(TASK)
    first = fleet.informed() - {"a"}
    choice = fleet.announcements["a"].choice
    for member in choice.first(witness_key("flags", JOB_ID), {"owner"}):
        choice.mark_silent(member.member_id)
    fleet.announce_task(TASK)
    assert len(fleet.informed() - first - {"a"}) == 2
    fleet.announcements["a"].forget(TASK, is_done)
    gevent.sleep(FORGET_DELAY_MS / 1000 + 0.1)
    assert fleet.informed() == set()


def test_members_are_asked_once_each():
    fleet = RecordingFleet()
    fleet.announce_task(TASK)
    asked = [member_id for member_id, message in fleet.sent if isinstance(message, AnnounceStarts)]
    assert len(asked) == len(set(asked)) == 2
    assert set(asked) < {member.member_id for member in MEMBERS}


@pytest.mark.parametrize("remaining_ms", [(10.0, 900.0), (900.0, 10.0)])
def test_the_longest_of_several_conflicts_counts(remaining_ms):
    announcement = Announcement("flags/0", "owner", {})
    for witness_id, duration_ms in zip("bc", remaining_ms, strict=True):
        row = KnownStart(TASK, f"worker of {witness_id}", "g", 1, duration_ms, True)
        announcement.record_known(witness_id, [row])
    assert announcement.conflict(TASK).remaining_ms == 900.0
    announcement.record_known("bc"[remaining_ms.index(900.0)], [])
    assert announcement.conflict(TASK).remaining_ms == 10.0

import time

import pytest

from camphorchute.contracts.messages import Heartbeat
from camphorchute.zones import DeathRegistry, Membership, ZoneView
from camphorchute.zones.record import empty_record, with_members
from camphorchute.zones.tests.fakes import Counts, member

SUSPECT_MS = 1000.0


class UnlinkedPeers:
    """Peers without any open link."""

    def links(self):
        return []

    def is_linked(self, member_id):
        return False


class FakeRecordStore:
    """Record store in which every change succeeds.

    Attributes:
        concurrent_record: record that another process stores just before the next change.
    """

    def __init__(self, view):
        self.view = view
        self.concurrent_record = None

    def change(self, change):
        if self.concurrent_record:
            self.view.adopt(self.concurrent_record)
        next_record = change(self.view.record)
        return next_record is not None and self.view.adopt(next_record)


def make_membership(names="abc"):
    members = [member(name, f"vm-{name}") for name in names]
    view = ZoneView(members[0])
    view.adopt(with_members(empty_record("north"), members, 0, 1000))
    records = FakeRecordStore(view)
    membership = Membership(
        view,
        UnlinkedPeers(),
        records,
        DeathRegistry(),
        lambda: Heartbeat(view.record.version, 0),
        100.0,
        SUSPECT_MS,
        1000.0,
        Counts(),
    )
    return membership, records, view, members


@pytest.mark.parametrize("unlinked_ms, members_left", [(SUSPECT_MS / 2, 3), (SUSPECT_MS * 2, 2)])
def test_an_unlinked_member_is_removed_after_the_suspect_time(unlinked_ms, members_left):
    membership, _, view, members = make_membership()
    membership._remove_unresponsive()
    for member_id in ("b", "c"):
        membership._unlinked_since_s[member_id] = time.monotonic() - unlinked_ms / 1000
    membership._remove_unresponsive()
    assert len(view.record.members) == members_left


def test_a_process_removed_from_the_record_while_removing_a_member_stays_removed():
    membership, records, view, members = make_membership()
    membership._unlinked_since_s = dict.fromkeys("bc", time.monotonic() - 10)
    records.concurrent_record = with_members(view.record, members[1:], 0, 1000)
    membership._remove_unresponsive()
    membership._remove_unresponsive()
    assert not view.record.is_member("a")

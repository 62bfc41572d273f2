import time

import pytest

from camphorchute.contracts.messages import Heartbeat
from camphorchute.zones import Deaths, Membership, ZoneView
from camphorchute.zones.record import empty_record, with_members
from camphorchute.zones.tests.fakes import Counts, member

SUSPECT_MS = 1000.0


class Links:
    """Peers of which none is linked."""

    def links(self):
        return []

    def is_linked(self, member_id):
        return False


class Records:
    """A store that every change reaches; ``meanwhile`` is what another process did first."""

    def __init__(self, view):
        self.view = view
        self.meanwhile = None

    def change(self, change):
        if self.meanwhile:
            self.view.adopt(self.meanwhile)
        following = change(self.view.record)
        return following is not None and self.view.adopt(following)


def part(names="abc"):
    members = [member(name, f"vm-{name}") for name in names]
    view = ZoneView(members[0])
    view.adopt(with_members(empty_record("north"), members, 0, 1000))
    records = Records(view)
    membership = Membership(
        view,
        Links(),
        records,
        Deaths(),
        lambda: Heartbeat(view.record.version, 0),
        100.0,
        SUSPECT_MS,
        1000.0,
        Counts(),
    )
    return membership, records, view, members


@pytest.mark.parametrize("silent_ms, left", [(SUSPECT_MS / 2, 3), (SUSPECT_MS * 2, 2)])
def test_a_silent_member_is_removed_after_its_time(silent_ms, left):
    membership, _, view, members = part()
    membership._remove_silent()
    for silent in ("b", "c"):
        membership._silent_since_s[silent] = time.monotonic() - silent_ms / 1000
    membership._remove_silent()
    assert len(view.record.members) == left


def test_a_member_that_is_removed_itself_while_it_removes_another():
    membership, records, view, members = part()
    membership._silent_since_s = dict.fromkeys("bc", time.monotonic() - 10)
    records.meanwhile = with_members(view.record, members[1:], 0, 1000)
    membership._remove_silent()
    membership._remove_silent()
    assert not view.record.is_member("a")

import time
from types import SimpleNamespace

import pytest

from camphorchute.cluster import Connectivity
from camphorchute.cluster import connectivity as connectivity_module
from camphorchute.contracts.member import Member

UNLINKED = float("-inf")
TOLERANCE_S = 0.05


def make_member(name, zone):
    return Member(name, zone, "", "", "", "")


class Site:
    """A process in zone north, with the members of other zones that a test gives it.

    Args:
        ages_s: time since each member was heard, by its name, which begins with its zone; a name
            without a number stands for a zone without a member.
    """

    def __init__(self, ages_s, renewal_age_s, is_lease_valid):
        self.ages_s = ages_s
        names = [name for name in ages_s if "-" in name]
        members = {name: make_member(name, name.partition("-")[0]) for name in names}
        members["own"] = make_member("own", "north")
        peers = SimpleNamespace(member=members["own"], running_at_s=self._running_at_s)
        lease = SimpleNamespace(
            lease_id=5,
            is_valid=lambda lease_id: is_lease_valid,
            since_renewal_s=lambda: renewal_age_s,
        )
        self.opened = []
        heartbeats = SimpleNamespace(open_link=lambda member: self.opened.append(member.zone))
        zones = {"north", *(name.partition("-")[0] for name in ages_s)}
        view = SimpleNamespace(members=members, expected_zones=zones)
        self.connectivity = Connectivity(peers, view, lease, heartbeats)
        self.connectivity._connected_s = UNLINKED

    def _running_at_s(self, member_id):
        return time.monotonic() - self.ages_s[member_id]

    def age_s(self):
        return time.monotonic() - self.connectivity.connected_at_s()


NEVER = float("inf")


# A scheduler that was cut off with its workers renewed the leases of durable runs without a limit,
# while their tasks were started again in another zone.
@pytest.mark.parametrize(
    ("ages_s", "renewal_age_s", "is_lease_valid", "expected_s", "opened"),
    [
        ({"south-1": NEVER, "west-1": NEVER}, 0.5, True, 0.5, []),
        ({"south-1": NEVER, "west-1": NEVER}, 7.0, False, 7.0, ["south", "west"]),
        ({"south-1": 0.2, "west-1": 0.4}, NEVER, False, 0.4, []),
        ({"south-1": 9.0, "south-2": 0.3, "west-1": 0.4}, 30.0, False, 0.4, []),
        ({"south-1": 0.2, "west-1": 5.0}, 30.0, False, 5.0, []),
        ({"south-1": 0.2, "west-1": NEVER, "west-2": NEVER}, 6.0, False, 6.0, ["west"]),
        ({"south-1": 0.2, "west": NEVER}, 6.0, False, 6.0, []),
        ({"north-2": NEVER}, NEVER, False, 0.0, []),
        ({}, NEVER, False, 0.0, []),
    ],
)
def test_process_counts_as_connected_by_the_store_or_by_all_zones(
    ages_s, renewal_age_s, is_lease_valid, expected_s, opened
):
    site = Site(ages_s, renewal_age_s, is_lease_valid)
    assert site.age_s() == pytest.approx(expected_s, abs=TOLERANCE_S)
    assert sorted(site.opened) == opened


def test_proof_of_being_connected_is_never_lost(monkeypatch):
    monkeypatch.setattr(connectivity_module, "REFRESH_INTERVAL_MS", 0.0)
    site = Site({"south-1": 0.2}, NEVER, False)
    first_s = site.connectivity.connected_at_s()
    site.ages_s["south-1"] = 30.0
    assert site.connectivity.connected_at_s() == first_s

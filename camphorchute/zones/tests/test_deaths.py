import pytest

from camphorchute.zones import DeathRegistry
from camphorchute.zones.tests.fakes import Counts, member


# Guards against a member that is up counting as dead for ever, since one VM list lacked its VM.
@pytest.mark.parametrize(
    ("steps", "is_dead", "proofs"),
    [
        ([("gone", "unlinked")], True, 1),
        ([("gone", "linked")], False, 0),
        ([("gone", "unlinked"), ("gone", "linked")], False, 1),
        ([("gone", "unlinked"), ("listed", "linked")], False, 1),
        ([("gone", "unlinked"), ("listed", "unlinked")], True, 1),
        ([("gone", "linked"), ("gone", "unlinked")], True, 1),
        ([("gone", "unlinked"), ("gone", "linked"), ("gone", "unlinked")], True, 1),
        ([("listed", "unlinked")], False, 0),
    ],
)
def test_vm_that_is_not_listed_proves_nothing_against_a_member_with_a_link(steps, is_dead, proofs):
    state, counts = {}, Counts()
    deaths = DeathRegistry(
        lambda host: state["vm"] == "gone", counts, lambda member_id: state["link"] == "linked"
    )
    for state["vm"], state["link"] in steps:
        result = deaths.is_dead(member("b"))
    assert (result, counts["zones.proved_dead.vm_gone"]) == (is_dead, proofs)


def test_replaced_member_stays_dead():
    deaths = DeathRegistry(is_linked=lambda member_id: True)
    deaths.record_death(member("b"))
    assert deaths.is_dead(member("b"))

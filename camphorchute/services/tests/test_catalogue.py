import pytest
from hypothesis import given
from hypothesis import strategies as st

from camphorchute.contracts import InvariantBroken
from camphorchute.services import Catalogue, ServiceDefinition, ServiceRecord

NAMES = ("flags", "stamps", "walks")


def make_record(name, revision):
    return ServiceRecord(name, revision, ServiceDefinition(name) if revision % 3 else None)


@given(st.lists(st.tuples(st.sampled_from(NAMES), st.integers(1, 40)), max_size=60))
def test_reordered_and_duplicate_records_never_lower_a_revision(deliveries):
    catalogue, seen, highest = Catalogue(), [], {}
    catalogue.add_listener(seen.append)
    for name, revision in deliveries:
        before = catalogue.revision
        applied = catalogue.apply_record(make_record(name, revision))
        assert applied == (revision > highest.get(name, 0))
        highest[name] = max(highest.get(name, 0), revision)
        assert catalogue.get_record(name).revision == highest[name]
        assert catalogue.revision == max(before, revision)
    for name in NAMES:
        revisions = [entry.revision for entry in seen if entry.name == name]
        assert revisions == sorted(set(revisions))


@given(
    st.lists(st.tuples(st.sampled_from(NAMES), st.integers(1, 99)), unique_by=lambda d: d[1]),
    st.integers(0, 99),
)
def test_applying_the_records_after_its_revision_makes_a_peer_complete(writes, known):
    source, peer = Catalogue(), Catalogue()
    writes.sort(key=lambda write: write[1])
    source.apply_records(make_record(*write) for write in writes)
    peer.apply_records(make_record(*write) for write in writes if write[1] <= known)
    peer.apply_records(reversed(source.records_after(peer.revision)))
    assert peer.list_records() == source.list_records()
    assert peer.revision == source.revision


def test_lowering_a_revision_breaks_the_named_invariant():
    catalogue = Catalogue()
    catalogue.apply_record(make_record("flags", 5))
    with pytest.raises(InvariantBroken, match="services.revision_rises: flags from 5 to 4"):
        catalogue._replace_record(catalogue.get_record("flags"), make_record("flags", 4))


def test_a_current_state_makes_ready_and_an_older_one_does_not_raise_the_age():
    now_s = [100.0]
    catalogue = Catalogue(lambda: now_s[0])
    assert (catalogue.ready, catalogue.age_ms) == (False, None)
    catalogue.apply_record(make_record("flags", 5))
    assert not catalogue.ready
    catalogue.mark_current(age_ms=200.0)
    now_s[0] += 1.0
    assert catalogue.ready
    assert catalogue.age_ms == pytest.approx(1200.0)
    catalogue.mark_current(age_ms=5000.0)
    assert catalogue.age_ms == pytest.approx(1200.0)


def test_a_failing_listener_does_not_prevent_the_calls_of_the_others():
    catalogue, seen = Catalogue(), []
    catalogue.add_listener(lambda record: 1 / 0)
    catalogue.add_listener(seen.append)
    assert catalogue.apply_record(make_record("flags", 1))
    assert [entry.revision for entry in seen] == [1]


def test_names_and_definitions_omit_removed_services():
    catalogue = Catalogue()
    catalogue.apply_records([make_record("flags", 3), make_record("walks", 4)])
    assert catalogue.list_names() == ["walks"]
    assert catalogue.get_definition("flags") is None
    assert catalogue.get_definition("stamps") is None

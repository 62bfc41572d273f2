import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from camphorchute.contracts import SHARDS_PER_ZONE
from camphorchute.zones.record import (
    ShardRecord,
    Term,
    assign_shard,
    decode_record,
    encode_record,
    with_recovered_shards,
)
from camphorchute.zones.tests.fakes import WINDOW_MS, member, record_of

member_names = st.lists(st.sampled_from("abcdefgh"), min_size=1, max_size=6, unique=True)
member_lists = st.lists(member_names, min_size=1, max_size=5)


def members_named(names):
    return [member(name, f"vm{ord(name) % 3}", f"rack{ord(name) % 2}") for name in names]


def record_after(steps):
    """Return the record of a zone that had each list of members in turn, one a millisecond."""
    record = None
    for now_unix_ms, names in enumerate(steps):
        record = record_of(members_named(names), record, now_unix_ms)
    return record


@settings(derandomize=True, max_examples=50, deadline=None)
@given(member_lists)
def test_a_record_is_unchanged_by_encoding_and_decoding(steps):
    record = record_after(steps)
    assert decode_record(encode_record(record)) == record


@settings(derandomize=True, max_examples=50, deadline=None)
@given(member_names, st.sampled_from("xyz"))
def test_a_join_moves_shards_only_to_the_new_member(names, new_name):
    members = members_named(names)
    before = record_of(members)
    after = record_of([*members, member(new_name)], before)
    moved = [s for s in range(SHARDS_PER_ZONE) if before.owner_of(s) != after.owner_of(s)]
    assert {after.owner_of(shard).member_id for shard in moved} <= {new_name}


@settings(derandomize=True, max_examples=50, deadline=None)
@given(member_names)
def test_a_removal_moves_only_the_shards_of_the_removed_member(names):
    members = members_named(names)
    before = record_of([member("z"), *members])
    after = record_of(members, before)
    for shard in range(SHARDS_PER_ZONE):
        if before.owner_of(shard).member_id != "z":
            assert after.owner_of(shard) == before.owner_of(shard)


@settings(derandomize=True, max_examples=50, deadline=None)
@given(member_names, st.integers(0, SHARDS_PER_ZONE - 1))
def test_witnesses_are_on_other_hosts_if_there_are_any(names, shard):
    members = {m.member_id: m for m in members_named(names)}
    owner, witnesses = assign_shard(list(members.values()), shard)
    hosts = {m.host for m in members.values()}
    assert owner not in witnesses
    assert bool(witnesses) == (len(members) > 1)
    if len(hosts) > 1:
        assert all(members[w].host != members[owner].host for w in witnesses)


def test_a_witness_in_another_rack_is_preferred():
    members = [member(name, rack=rack) for name, rack in zip("abcd", "1122", strict=True)]
    racks = {m.member_id: m.rack for m in members}
    for shard in range(SHARDS_PER_ZONE):
        owner, witnesses = assign_shard(members, shard)
        assert racks[witnesses[0]] != racks[owner]


@settings(derandomize=True, max_examples=50, deadline=None)
@given(member_lists)
def test_only_a_term_that_could_be_served_becomes_pending(steps):
    record = None
    for names in steps:
        next_record = record_of(members_named(names), record)
        for shard, new in enumerate(next_record.shards):
            old = record.shards[shard] if record else None
            if old is None or new == old:
                continue
            added = [old.current] if old.is_servable() else []
            assert new.pending == [*old.pending, *added]
            assert new.current.number == next_record.version
        record = next_record


def test_departed_members_are_listed_for_the_window():
    record = record_of(members_named("ab"))
    record = record_of(members_named("a"), record, now_unix_ms=1000)
    assert record.member("b") is not None and not record.is_member("b")
    recovered = with_recovered_shards(record, "a", dict.fromkeys(range(SHARDS_PER_ZONE), 0))
    later = record_of(members_named("ac"), recovered, now_unix_ms=1000 + WINDOW_MS)
    assert later.member("b") is None


def test_departed_members_are_listed_while_a_shard_has_to_recover_their_keys():
    record = record_of(members_named("b"))
    record = record_of(members_named("a"), record, now_unix_ms=0)
    later = record_of(members_named("ac"), record, now_unix_ms=10 * WINDOW_MS)
    pending_owners = {t.owner for shard in later.shards for t in shard.pending}
    assert "b" in pending_owners
    assert later.member("b") is not None


@pytest.mark.parametrize(
    "pending, servable",
    [((), True), (("me",), True), (("me", "other"), False), (("other",), False)],
)
def test_a_shard_is_servable_if_all_pending_terms_have_its_owner(pending, servable):
    terms = [Term(i, owner, ()) for i, owner in enumerate(pending)]
    assert ShardRecord(Term(9, "me", ()), terms).is_servable() is servable


def test_recovery_changes_only_the_shards_of_the_owner_and_keeps_the_latest_loss():
    record = record_of(members_named("ab"))
    own, other = record.shards_of("a")[0], record.shards_of("b")[0]
    record.shards[own].lost_unix_ms = 50
    record.shards[own].pending = record.shards[other].pending = [Term(0, "x", ())]
    recovered = with_recovered_shards(record, "a", {own: 7, other: 9})
    assert recovered.version == record.version + 1
    assert (recovered.shards[own].pending, recovered.shards[own].lost_unix_ms) == ([], 50)
    assert recovered.shards[other] == record.shards[other]

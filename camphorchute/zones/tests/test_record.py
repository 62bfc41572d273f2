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
    with_settled,
)
from camphorchute.zones.tests.fakes import WINDOW_MS, member, record_of

names = st.lists(st.sampled_from("abcdefgh"), min_size=1, max_size=6, unique=True)
groups = st.lists(names, min_size=1, max_size=5)


def members_of(group):
    return [member(name, f"vm{ord(name) % 3}", f"rack{ord(name) % 2}") for name in group]


def history(steps):
    record = None
    for now_unix_ms, group in enumerate(steps):
        record = record_of(members_of(group), record, now_unix_ms)
    return record


@settings(derandomize=True, max_examples=50, deadline=None)
@given(groups)
def test_record_survives_the_store(steps):
    record = history(steps)
    assert decode_record(encode_record(record)) == record


@settings(derandomize=True, max_examples=50, deadline=None)
@given(names, st.sampled_from("xyz"))
def test_a_join_moves_shards_only_to_the_joiner(group, joiner):
    members = members_of(group)
    before = record_of(members)
    after = record_of([*members, member(joiner)], before)
    moved = [s for s in range(SHARDS_PER_ZONE) if before.owner_of(s) != after.owner_of(s)]
    assert {after.owner_of(shard).member_id for shard in moved} <= {joiner}


@settings(derandomize=True, max_examples=50, deadline=None)
@given(names)
def test_a_removal_moves_only_the_shards_of_the_removed(group):
    members = members_of(group)
    before = record_of([member("z"), *members])
    after = record_of(members, before)
    for shard in range(SHARDS_PER_ZONE):
        if before.owner_of(shard).member_id != "z":
            assert after.owner_of(shard) == before.owner_of(shard)


@settings(derandomize=True, max_examples=50, deadline=None)
@given(names, st.integers(0, SHARDS_PER_ZONE - 1))
def test_witnesses_stand_on_other_hosts_where_there_are_any(group, shard):
    members = {m.member_id: m for m in members_of(group)}
    owner, witnesses = assign_shard(list(members.values()), shard)
    hosts = {m.host for m in members.values()}
    assert owner not in witnesses
    assert bool(witnesses) == (len(members) > 1)
    if len(hosts) > 1:
        assert all(members[w].host != members[owner].host for w in witnesses)


def test_witnesses_stand_in_another_rack_first():
    members = [member(name, rack=rack) for name, rack in zip("abcd", "1122", strict=True)]
    racks = {m.member_id: m.rack for m in members}
    for shard in range(SHARDS_PER_ZONE):
        owner, witnesses = assign_shard(members, shard)
        assert racks[witnesses[0]] != racks[owner]


@settings(derandomize=True, max_examples=50, deadline=None)
@given(groups)
def test_a_pending_term_is_one_that_was_servable_and_no_other(steps):
    record = None
    for group in steps:
        following = record_of(members_of(group), record)
        for shard, new in enumerate(following.shards):
            old = record.shards[shard] if record else None
            if old is None or new == old:
                continue
            added = [old.current] if old.servable() else []
            assert new.pending == [*old.pending, *added]
            assert new.current.number == following.version
        record = following


def test_departed_members_are_kept_for_the_window():
    record = record_of(members_of("ab"))
    record = record_of(members_of("a"), record, now_unix_ms=1000)
    assert record.member("b") is not None and not record.is_member("b")
    settled = with_settled(record, "a", dict.fromkeys(range(SHARDS_PER_ZONE), 0))
    later = record_of(members_of("ac"), settled, now_unix_ms=1000 + WINDOW_MS)
    assert later.member("b") is None


def test_departed_members_are_kept_while_a_shard_waits_for_their_records():
    record = record_of(members_of("b"))
    record = record_of(members_of("a"), record, now_unix_ms=0)
    later = record_of(members_of("ac"), record, now_unix_ms=10 * WINDOW_MS)
    waits_for = {t.owner for shard in later.shards for t in shard.pending}
    assert "b" in waits_for
    assert later.member("b") is not None


@pytest.mark.parametrize(
    "pending, servable",
    [((), True), (("me",), True), (("me", "other"), False), (("other",), False)],
)
def test_servable(pending, servable):
    terms = [Term(i, owner, ()) for i, owner in enumerate(pending)]
    assert ShardRecord(Term(9, "me", ()), terms).servable() is servable


def test_settling_changes_only_own_shards_and_keeps_the_latest_loss():
    record = record_of(members_of("ab"))
    mine, other = record.shards_of("a")[0], record.shards_of("b")[0]
    record.shards[mine].lost_unix_ms = 50
    record.shards[mine].pending = record.shards[other].pending = [Term(0, "x", ())]
    settled = with_settled(record, "a", {mine: 7, other: 9})
    assert settled.version == record.version + 1
    assert (settled.shards[mine].pending, settled.shards[mine].lost_unix_ms) == ([], 50)
    assert settled.shards[other] == record.shards[other]

import time

import pytest

from camphorchute.contracts.messages import Entries, Fence, KeyEntry, Witness
from camphorchute.zones import DeathRegistry, Ledger
from camphorchute.zones.record import ShardRecord, Term, decode_record
from camphorchute.zones.record_store import RecordStore
from camphorchute.zones.shard_recovery import ShardRecovery
from camphorchute.zones.tests.fakes import (
    Counts,
    FakePeers,
    FakeStore,
    member,
    record_of,
    refuse_stale_term,
)
from camphorchute.zones.view import ZoneView
from camphorchute.zones.witnessing import Witnessing

A, B, C, D = (member(name) for name in "abcd")
ENTRY = KeyEntry("k", 0, b"d", 2**60)
OLD_TERM = Term(1, "b", ("c", "d"))


class RecoverySetup:
    """Process a owns shard 0 since version 5; ``pending`` are the earlier terms to recover."""

    def __init__(self, pending=(OLD_TERM,), witnesses=("c", "d")):
        record = record_of([A, B, C, D])
        record.version = 5
        record.shards = [ShardRecord(Term(1, "b", ("c",))) for _ in record.shards]
        record.shards[0] = ShardRecord(Term(5, "a", witnesses), list(pending))
        self.peers, self.counts, self.ledger = FakePeers(), Counts(), Ledger(99)
        self.peers.replies[Fence] = lambda member, message: Entries([])
        self.view = ZoneView(A)
        self.view.adopt(record)
        self.store = FakeStore(record)
        self.deaths = DeathRegistry()
        records = RecordStore(self.store, self.view, self.counts)
        witnessing = Witnessing(self.peers, self.view, self.ledger, self.counts)
        self.recovery = ShardRecovery(
            self.view, self.peers, self.ledger, witnessing, records, self.deaths, self.counts
        )

    def recover(self):
        self.recovery._recover(self.recovery._unrecovered_shards())

    @property
    def stored_shard(self):
        return decode_record(self.store.stored.value).shards[0]


@pytest.mark.parametrize(
    "unreachable, dead, recovered, lost",
    [
        ("", "", True, False),
        ("cd", "", True, False),
        ("b", "", True, False),
        ("bc", "", False, False),
        ("bcd", "", False, False),
        ("bc", "b", False, False),
        ("bc", "bc", True, True),
        ("bcd", "cd", True, True),
    ],
)
def test_a_shard_is_served_once_its_keys_are_recovered_or_known_to_be_lost(
    unreachable, dead, recovered, lost
):
    setup = RecoverySetup(witnesses=())
    setup.peers.unreachable = set(unreachable)
    for name in dead:
        setup.deaths.record_death(member(name))
    before_unix_ms = round(time.time() * 1000)
    setup.recover()
    assert (setup.stored_shard.pending == []) is recovered
    assert (setup.view.owned_term(0) is not None) is recovered
    assert (setup.stored_shard.lost_unix_ms >= before_unix_ms) is lost


# Guards against a witness that is up, but missing in the VM list, being passed over: it could go on
# to acknowledge keys to the earlier owner, and the keys that it holds counted as lost.
@pytest.mark.parametrize("linked", ["c", "cd"])
def test_a_linked_member_is_fenced_though_it_counts_as_dead(linked):
    setup = RecoverySetup()
    setup.peers.unreachable, setup.peers.linked = {"b"}, set(linked)
    setup.peers.replies[Fence] = lambda member, message: Entries([ENTRY])
    for name in linked:
        setup.deaths.record_death(member(name), "vm_gone")
    setup.recover()
    assert {to for to, _ in setup.peers.requests_of(Fence)} == {"b", "c", "d"}
    assert (setup.stored_shard.pending, setup.stored_shard.lost_unix_ms) == ([], 0)
    assert setup.ledger.get(0, "k") is not None


def test_recovered_keys_are_acknowledged_by_a_witness_before_the_shard_is_served():
    setup = RecoverySetup()
    setup.peers.replies[Fence] = lambda member, message: Entries([ENTRY])

    def check_not_stored_yet(member, message):
        assert message.entries == [ENTRY] and message.term == 5
        assert setup.stored_shard.pending == [OLD_TERM]

    setup.peers.replies[Witness] = check_not_stored_yet
    setup.recover()
    assert setup.peers.requests_of(Witness) and setup.stored_shard.pending == []
    assert setup.ledger.get(0, "k") is not None


@pytest.mark.parametrize("reply", [refuse_stale_term, None])
def test_a_shard_whose_keys_no_witness_acknowledges_stays_unserved(reply):
    setup = RecoverySetup()
    setup.ledger.hold(ENTRY)
    if reply:
        setup.peers.replies[Witness] = reply
    else:
        setup.peers.unreachable = {"c", "d"}
    setup.recover()
    assert setup.peers.requests_of(Witness)
    assert setup.stored_shard.pending == [OLD_TERM]
    assert setup.view.owned_term(0) is None


def change_record(setup):
    """Store and adopt the next record: same owner, other witnesses, one more pending term."""
    newer = decode_record(setup.store.stored.value)
    newer.version = 6
    added = Term(5, "a", ("c", "d"))
    newer.shards[0] = ShardRecord(Term(6, "a", ("b",)), [*newer.shards[0].pending, added])
    setup.store.put(newer, setup.store.stored.mod_revision)
    setup.view.adopt(newer)
    return newer


@pytest.mark.parametrize("message_type", [Fence, Witness])
def test_a_shard_whose_record_changes_during_recovery_stays_pending(message_type):
    setup = RecoverySetup()
    setup.ledger.hold(ENTRY)

    def change_then_reply(member, message):
        if setup.view.record.version == 5:
            change_record(setup)
        return Entries([])

    setup.peers.replies[message_type] = change_then_reply
    setup.recover()
    assert len(setup.stored_shard.pending) == 2


def test_a_shard_refused_by_its_witnesses_does_not_block_the_recovery_of_others():
    setup = RecoverySetup()
    setup.view.record.shards[1] = ShardRecord(Term(5, "a", ()), [OLD_TERM])
    setup.store.put(setup.view.record, setup.store.stored.mod_revision)
    setup.ledger.hold(ENTRY)
    setup.peers.replies[Witness] = refuse_stale_term
    try:
        setup.recover()
    finally:
        assert decode_record(setup.store.stored.value).shards[1].pending == []


def test_a_key_with_two_bodies_does_not_block_the_recovery_of_its_shard():
    setup = RecoverySetup()
    other = KeyEntry("k", 0, b"other", 2**60)
    setup.ledger.hold(ENTRY)
    setup.peers.replies[Fence] = lambda member, message: Entries(
        [other] if member.member_id == "c" else []
    )
    setup.peers.unreachable = {"b"}
    setup.recover()
    assert setup.stored_shard.pending == []

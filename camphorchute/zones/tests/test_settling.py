import time

import pytest

from camphorchute.contracts.messages import Entries, Fence, KeyEntry, Witness
from camphorchute.zones import Deaths, Ledger
from camphorchute.zones.record import ShardRecord, Term, decode_record
from camphorchute.zones.record_store import RecordStore
from camphorchute.zones.settling import Settling
from camphorchute.zones.tests.fakes import Counts, FakePeers, FakeStore, member, record_of, stale
from camphorchute.zones.view import ZoneView
from camphorchute.zones.witnessing import Witnessing

A, B, C, D = (member(name) for name in "abcd")
ENTRY = KeyEntry("k", 0, b"d", 2**60)
OLD = Term(1, "b", ("c", "d"))


class Part:
    """Process a owns shard 0; the terms in ``pending`` came before."""

    def __init__(self, pending=(OLD,), witnesses=("c", "d")):
        record = record_of([A, B, C, D])
        record.version = 5
        record.shards = [ShardRecord(Term(1, "b", ("c",))) for _ in record.shards]
        record.shards[0] = ShardRecord(Term(5, "a", witnesses), list(pending))
        self.peers, self.counts, self.ledger = FakePeers(), Counts(), Ledger(99)
        self.peers.answer[Fence] = lambda member, message: Entries([])
        self.view = ZoneView(A)
        self.view.adopt(record)
        self.store = FakeStore(record)
        self.deaths = Deaths()
        records = RecordStore(self.store, self.view, self.counts)
        witnessing = Witnessing(self.peers, self.view, self.ledger, self.counts)
        self.settling = Settling(
            self.view, self.peers, self.ledger, witnessing, records, self.deaths, self.counts
        )

    def settle(self):
        self.settling._settle(self.settling._unsettled())

    @property
    def stored(self):
        return decode_record(self.store.stored.value).shards[0]


@pytest.mark.parametrize(
    "silent, dead, settled, lost",
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
def test_a_shard_is_served_once_its_records_are_gathered_or_proved_lost(
    silent, dead, settled, lost
):
    part = Part(witnesses=())
    part.peers.down = set(silent)
    for name in dead:
        part.deaths.prove(member(name))
    before_unix_ms = round(time.time() * 1000)
    part.settle()
    assert (part.stored.pending == []) is settled
    assert (part.view.owned_term(0) is not None) is settled
    assert (part.stored.lost_unix_ms >= before_unix_ms) is lost


def test_what_was_gathered_is_acknowledged_anew_before_the_shard_is_served():
    part = Part()
    part.peers.answer[Fence] = lambda member, message: Entries([ENTRY])

    def hold(member, message):
        assert message.entries == [ENTRY] and message.term == 5
        assert part.stored.pending == [OLD]

    part.peers.answer[Witness] = hold
    part.settle()
    assert part.peers.asked_of(Witness) and part.stored.pending == []
    assert part.ledger.get(0, "k") is not None


@pytest.mark.parametrize("answer", [stale, None])
def test_without_a_new_acknowledgement_the_shard_stays_unserved(answer):
    part = Part()
    part.ledger.hold(ENTRY)
    if answer:
        part.peers.answer[Witness] = answer
    else:
        part.peers.down = {"c", "d"}
    part.settle()
    assert part.peers.asked_of(Witness)
    assert part.stored.pending == [OLD]
    assert part.view.owned_term(0) is None


def change_record(part):
    """The next record: same owner, other witnesses, one more term to gather."""
    newer = decode_record(part.store.stored.value)
    newer.version = 6
    added = Term(5, "a", ("c", "d"))
    newer.shards[0] = ShardRecord(Term(6, "a", ("b",)), [*newer.shards[0].pending, added])
    part.store.put(newer, part.store.stored.mod_revision)
    part.view.adopt(newer)
    return newer


@pytest.mark.parametrize("moment", [Fence, Witness])
def test_a_record_that_changes_while_a_shard_is_settled_is_not_settled(moment):
    part = Part()
    part.ledger.hold(ENTRY)

    def answer(member, message):
        if part.view.record.version == 5:
            change_record(part)
        return Entries([])

    part.peers.answer[moment] = answer
    part.settle()
    assert len(part.stored.pending) == 2


def test_one_shard_without_witness_does_not_hold_up_the_others():
    part = Part()
    part.view.record.shards[1] = ShardRecord(Term(5, "a", ()), [OLD])
    part.store.put(part.view.record, part.store.stored.mod_revision)
    part.ledger.hold(ENTRY)
    part.peers.answer[Witness] = stale
    try:
        part.settle()
    finally:
        assert decode_record(part.store.stored.value).shards[1].pending == []


def test_another_body_of_a_key_does_not_leave_the_shard_unserved():
    part = Part()
    other = KeyEntry("k", 0, b"other", 2**60)
    part.ledger.hold(ENTRY)
    part.peers.answer[Fence] = lambda member, message: Entries(
        [other] if member.member_id == "c" else []
    )
    part.peers.down = {"b"}
    part.settle()
    assert part.stored.pending == []

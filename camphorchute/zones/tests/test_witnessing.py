import pytest

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.messages import Fence, KeyEntry, Witness
from camphorchute.zones import Ledger
from camphorchute.zones.record import Term, encode_record
from camphorchute.zones.tests.fakes import Counts, FakePeers, member, record_of, refuse
from camphorchute.zones.view import ZoneView
from camphorchute.zones.witnessing import Witnessing

A, B, C = member("a"), member("b"), member("c")
TERM = Term(1, "a", ("b", "c"))
ENTRY = KeyEntry("k", 0, b"d", 2**60)


class WitnessingSetup:
    """Witnessing at one member of a zone with members a, b and c."""

    def __init__(self, me=A, max_keys=9):
        self.peers, self.ledger, self.counts = FakePeers(), Ledger(max_keys), Counts()
        self.view = ZoneView(me)
        self.view.adopt(record_of([A, B, C]))
        self.witnessing = Witnessing(self.peers, self.view, self.ledger, self.counts)

    def acknowledge(self, term=TERM):
        """Have the entry acknowledged; return the ids of the members that were asked."""
        self.witnessing.acknowledge(term, 0, [ENTRY])
        return [member_id for member_id, _ in self.peers.requests]


@pytest.mark.parametrize(
    "linked, unreachable, asked",
    [("", "", "b"), ("c", "", "c"), ("", "b", "bc"), ("c", "c", "cb")],
)
def test_one_acknowledgement_suffices_and_linked_witnesses_are_asked_first(
    linked, unreachable, asked
):
    setup = WitnessingSetup()
    setup.peers.linked, setup.peers.unreachable = set(linked), set(unreachable)
    assert setup.acknowledge() == list(asked)


def test_a_sole_owner_needs_no_witness():
    assert WitnessingSetup().acknowledge(Term(1, "a", ())) == []


@pytest.mark.parametrize(
    "unreachable, refusal, code, asked",
    [
        ("bc", None, ResultCode.NO_WITNESS, "bc"),
        ("", ResultCode.LEDGER_FULL, ResultCode.NO_WITNESS, "bc"),
        ("", ResultCode.STALE_TERM, ResultCode.STALE_TERM, "b"),
        ("", ResultCode.KEY_CONFLICT, ResultCode.KEY_CONFLICT, "b"),
    ],
)
def test_acknowledge_raises_no_witness_or_the_refusal_of_a_witness(
    unreachable, refusal, code, asked
):
    setup = WitnessingSetup()
    setup.peers.unreachable = set(unreachable)
    if refusal:
        setup.peers.replies[Witness] = refuse(refusal)
    with pytest.raises(Refusal) as raised:
        setup.acknowledge()
    assert raised.value.code is code
    assert [member_id for member_id, _ in setup.peers.requests] == list(asked)


def test_a_superseded_owner_adopts_the_record_sent_by_its_witness():
    setup, newer = WitnessingSetup(), record_of([B, C], record_of([A, B, C]))

    def refuse_with_record(member, message):
        refusal = Refusal(ResultCode.STALE_TERM)
        refusal.record = encode_record(newer)
        raise refusal

    setup.peers.replies[Witness] = refuse_with_record
    with pytest.raises(Refusal):
        setup.acknowledge()
    assert setup.view.record == newer


def test_a_fence_returns_the_held_entries_and_refuses_the_older_term_afterwards():
    setup = WitnessingSetup(me=B)
    message = Witness("north", 0, 1, "a", [ENTRY])
    setup.witnessing.hold_entries(A, message)
    newer = record_of([B, C], setup.view.record)
    newer.shards[0].current = Term(newer.version, "c", ("b",))
    reply = setup.witnessing.fence_shards(C, Fence("north", encode_record(newer), [0, 1]))
    assert reply.entries == [ENTRY]
    with pytest.raises(Refusal) as raised:
        setup.witnessing.hold_entries(A, message)
    assert raised.value.code is ResultCode.STALE_TERM


def test_a_witness_with_a_full_ledger_refuses_new_keys():
    setup = WitnessingSetup(me=B, max_keys=0)
    with pytest.raises(Refusal) as raised:
        setup.witnessing.hold_entries(A, Witness("north", 0, 1, "a", [ENTRY]))
    assert raised.value.code is ResultCode.LEDGER_FULL

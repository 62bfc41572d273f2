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


class Part:
    def __init__(self, me=A, max_keys=9):
        self.peers, self.ledger, self.counts = FakePeers(), Ledger(max_keys), Counts()
        self.view = ZoneView(me)
        self.view.adopt(record_of([A, B, C]))
        self.witnessing = Witnessing(self.peers, self.view, self.ledger, self.counts)

    def acknowledge(self, term=TERM):
        self.witnessing.acknowledge(term, 0, [ENTRY])
        return [to for to, _ in self.peers.asked]


@pytest.mark.parametrize(
    "linked, down, asked",
    [("", "", "b"), ("c", "", "c"), ("", "b", "bc"), ("c", "c", "cb")],
)
def test_one_witness_is_enough_and_linked_ones_go_first(linked, down, asked):
    part = Part()
    part.peers.linked, part.peers.down = set(linked), set(down)
    assert part.acknowledge() == list(asked)


def test_a_sole_owner_needs_no_witness():
    assert Part().acknowledge(Term(1, "a", ())) == []


@pytest.mark.parametrize(
    "down, refusal, code, asked",
    [
        ("bc", None, ResultCode.NO_WITNESS, "bc"),
        ("", ResultCode.LEDGER_FULL, ResultCode.NO_WITNESS, "bc"),
        ("", ResultCode.STALE_TERM, ResultCode.STALE_TERM, "b"),
        ("", ResultCode.KEY_CONFLICT, ResultCode.KEY_CONFLICT, "b"),
    ],
)
def test_refusals(down, refusal, code, asked):
    part = Part()
    part.peers.down = set(down)
    if refusal:
        part.peers.answer[Witness] = refuse(refusal)
    with pytest.raises(Refusal) as raised:
        part.acknowledge()
    assert raised.value.code is code
    assert [to for to, _ in part.peers.asked] == list(asked)


def test_a_stale_owner_learns_the_record_from_its_witness():
    part, newer = Part(), record_of([B, C], record_of([A, B, C]))

    def answer(member, message):
        refusal = Refusal(ResultCode.STALE_TERM)
        refusal.record = encode_record(newer)
        raise refusal

    part.peers.answer[Witness] = answer
    with pytest.raises(Refusal):
        part.acknowledge()
    assert part.view.record == newer


def test_after_a_fence_the_older_term_is_refused_and_what_was_held_is_told():
    part = Part(me=B)
    message = Witness("north", 0, 1, "a", [ENTRY])
    part.witnessing.hold(A, message)
    newer = record_of([B, C], part.view.record)
    newer.shards[0].current = Term(newer.version, "c", ("b",))
    reply = part.witnessing.fence(C, Fence("north", encode_record(newer), [0, 1]))
    assert reply.entries == [ENTRY]
    with pytest.raises(Refusal) as raised:
        part.witnessing.hold(A, message)
    assert raised.value.code is ResultCode.STALE_TERM


def test_a_witness_that_is_full_refuses():
    part = Part(me=B, max_keys=0)
    with pytest.raises(Refusal) as raised:
        part.witnessing.hold(A, Witness("north", 0, 1, "a", [ENTRY]))
    assert raised.value.code is ResultCode.LEDGER_FULL

"""Have accepted keys acknowledged by a witness, and be one for others."""

from collections.abc import Callable

from camphorchute.contracts.codes import ResultCode
from camphorchute.contracts.errors import Refusal
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import Done, Entries, Fence, KeyEntry, Witness
from camphorchute.links import LinkLost, Peers, handles
from camphorchute.zones.ledger import Ledger
from camphorchute.zones.record import Term, decode_record
from camphorchute.zones.view import ZoneView

__all__ = ["Witnessing", "WITNESS_TIMEOUT_MS"]

WITNESS_TIMEOUT_MS = 400.0
REPLY_ENTRIES = 4000


class Witnessing:
    """Both sides of witnessing at one process.

    Args:
        peers: links to the other members.
        view: the ownership records.
        ledger: the keys that this process holds.
        count: adds to a named counter.
    """

    __slots__ = ("_peers", "_view", "_ledger", "_count")

    def __init__(
        self, peers: Peers, view: ZoneView, ledger: Ledger, count: Callable[..., None]
    ) -> None:
        self._peers = peers
        self._view = view
        self._ledger = ledger
        self._count = count

    def acknowledge(
        self, term: Term, shard: int, entries: list[KeyEntry], gathered: bool = False
    ) -> None:
        """Return once a witness of the term holds the entries.

        Args:
            term: the term in force.
            shard: the shard of the entries.
            entries: what to hold.
            gathered: whether the keys were accepted before and none may be refused.

        Raises:
            Refusal: ``STALE_TERM`` where the term is over, ``NO_WITNESS`` where none answered,
                ``KEY_CONFLICT`` where a witness holds a key with another digest.
        """
        if not term.witnesses:
            return
        message = Witness(
            self._view.member.zone,
            shard,
            term.number,
            self._view.member.member_id,
            entries,
            gathered,
        )
        for member in self._linked_first(term):
            try:
                self._peers.request(member, message, WITNESS_TIMEOUT_MS)
                return
            except LinkLost:
                self._count("zones.retry.witness_silent")
            except Refusal as refusal:
                self._view.learn(refusal)
                if refusal.code is not ResultCode.LEDGER_FULL:
                    raise
        raise Refusal(ResultCode.NO_WITNESS, f"none of {len(term.witnesses)} answered", 1000)

    @handles(Witness, prompt=True)
    def hold(self, peer: Member, message: Witness) -> Done:
        """Hold entries that an owner accepts."""
        self._view.check_term(message.zone, message.shard, message.term)
        if message.gathered:
            self._ledger.merge(message.entries)
            return Done()
        for entry in message.entries:
            self._ledger.hold(entry)
        return Done()

    @handles(Fence, prompt=True)
    def fence(self, peer: Member, message: Fence) -> Entries:
        """Refuse older terms of the shards from now on and tell what is held."""
        self._view.adopt(decode_record(message.record))
        self._ledger.expire()
        entries: list[KeyEntry] = []
        for place, shard in enumerate(message.shards):
            if len(entries) > REPLY_ENTRIES:
                return Entries(entries, message.shards[place:])
            entries += self._ledger.of_shard(shard)
        return Entries(entries)

    def _linked_first(self, term: Term) -> list[Member]:
        members = [self._view.record.member(witness) for witness in term.witnesses]
        known = [member for member in members if member is not None]
        return sorted(known, key=lambda member: not self._peers.is_linked(member.member_id))

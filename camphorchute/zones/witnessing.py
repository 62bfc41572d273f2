"""Replicate accepted keys to a witness before the owner confirms them.

An owner sends each accepted key to a witness of its term, which holds it in its own ledger. Every
process does both: it sends its own keys to witnesses and holds keys for other owners.
"""

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
REPLY_ENTRIES_SOFT_MAX = 4000


class Witnessing:
    """Sends accepted keys to witnesses, and holds keys as a witness for other owners.

    Args:
        peers: links to the other members.
        view: the ownership records known to this process.
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
        self, term: Term, shard: int, entries: list[KeyEntry], recovered: bool = False
    ) -> None:
        """Send entries to the witnesses of a term in turn until one holds them.

        Witnesses with an open link are tried first. A term without witnesses needs no
        acknowledgement.

        Args:
            term: the current term of the shard.
            shard: the shard of the entries.
            entries: the accepted keys to hold.
            recovered: whether the keys were accepted in earlier terms, so that the witness must
                hold them even if its ledger is full or a digest differs.

        Raises:
            Refusal: ``STALE_TERM`` if the term is superseded, ``KEY_CONFLICT`` if a witness holds
                a key with another digest, ``NO_WITNESS`` if no witness acknowledged the entries;
                any other refusal of a witness but ``LEDGER_FULL`` is raised as it is.
        """
        if not term.witnesses:
            return
        message = Witness(
            self._view.member.zone,
            shard,
            term.number,
            self._view.member.member_id,
            entries,
            recovered,
        )
        for member in self._witnesses_linked_first(term):
            try:
                self._peers.request(member, message, WITNESS_TIMEOUT_MS)
                return
            except LinkLost:
                self._count("zones.retry.witness_silent")
            except Refusal as refusal:
                self._view.adopt_from_refusal(refusal)
                if refusal.code is not ResultCode.LEDGER_FULL:
                    raise
        raise Refusal(
            ResultCode.NO_WITNESS,
            f"none of the {len(term.witnesses)} witnesses of shard {shard} acknowledged the keys",
            1000,
        )

    @handles(Witness, nonblocking=True)
    def hold_entries(self, peer: Member, message: Witness) -> Done:
        """Hold entries as a witness for their owner.

        Args:
            peer: the sender.
            message: the entries, with the shard and the term under which they are sent.

        Raises:
            Refusal: ``NOT_OWNER`` if the shard is not one of this zone, ``STALE_TERM`` if the
                term is superseded, ``KEY_CONFLICT`` or ``LEDGER_FULL`` from the ledger.
        """
        self._view.check_term(message.zone, message.shard, message.term)
        if message.gathered:
            self._ledger.merge(message.entries)
            return Done()
        for entry in message.entries:
            self._ledger.hold(entry)
        return Done()

    @handles(Fence, nonblocking=True)
    def fence_shards(self, peer: Member, message: Fence) -> Entries:
        """Refuse older terms of the shards from now on and return the entries held for them.

        Args:
            peer: the sender.
            message: the shards, and the ownership record that gives their new terms.

        Returns:
            The entries of the shards. Once a reply has more than ``REPLY_ENTRIES_SOFT_MAX``
            entries, the remaining shards are returned in ``left``, to be requested again.
        """
        self._view.adopt(decode_record(message.record))
        self._ledger.expire()
        entries: list[KeyEntry] = []
        for index, shard in enumerate(message.shards):
            if len(entries) > REPLY_ENTRIES_SOFT_MAX:
                return Entries(entries, message.shards[index:])
            entries += self._ledger.entries_of_shard(shard)
        return Entries(entries)

    def _witnesses_linked_first(self, term: Term) -> list[Member]:
        members = [self._view.record.member(witness) for witness in term.witnesses]
        known = [member for member in members if member is not None]
        return sorted(known, key=lambda member: not self._peers.is_linked(member.member_id))

"""Model of the members of a fleet, which witness each other's starts by local calls."""

import gevent

from camphorchute.contracts.member import Member
from camphorchute.contracts.start_messages import AnnounceStarts
from camphorchute.runs.witness_choice import WitnessChoice

__all__ = ["ModelMembers"]

ZONES = ("north", "south")
LATENCY_S = 0.001
UNLISTED_AFTER_S = 1.0


class ModelMembers:
    """Members with a witness each, of which some announce starts.

    A lost member handles and sends nothing; the others notice that at once, by its links, and it is
    listed for some time yet. A silent one handles nothing and nobody notices.

    Attributes:
        lost: ids of the members that were lost.
        silent: ids of the members that handle no messages on starts.
    """

    def __init__(self):
        self.lost, self.silent = set(), set()
        self._listed, self._witnesses, self._announcements = [], {}, {}

    def add(self, member_id, witness, announcements=None):
        """Add a member with its witness and what it announces starts by, if it has any."""
        address = f"127.0.0.1:{member_id}"
        zone = ZONES[len(self._witnesses) % len(ZONES)]
        member = Member(member_id, zone, member_id, "", address, address)
        self._witnesses[member_id] = witness
        self._listed = [*self._listed, member]
        witness.send = lambda receiver_id, message: self._send(
            member, receiver_id, self._handle_answer, message
        )
        if announcements is not None:
            self._announcements[member_id] = announcements
            announcements.own_id = member_id
            announcements.choice = WitnessChoice(member_id, lambda: self._listed)
            announcements.choice.first("", ())
            announcements.send = lambda receiver, message: self._send(
                member, receiver.member_id, self._handle_start, message
            )
        return member

    def lose(self, member_id):
        """Let a member be lost."""
        self.lost.add(member_id)
        gevent.spawn_later(UNLISTED_AFTER_S, self._unlist, member_id)

    def _unlist(self, member_id):
        self._listed = [member for member in self._listed if member.member_id != member_id]

    def _send(self, sender, receiver_id, handle, message):
        if self.lost & {sender.member_id, receiver_id}:
            return False
        gevent.spawn_later(LATENCY_S, self._deliver, sender, receiver_id, handle, message)
        return True

    def _deliver(self, sender, receiver_id, handle, message):
        if receiver_id not in self.lost | self.silent:
            handle(sender, receiver_id, message)

    def _handle_start(self, sender, receiver_id, message):
        witness = self._witnesses[receiver_id]
        if isinstance(message, AnnounceStarts):
            witness.witness_starts(sender, message)
        else:
            witness.forget_starts(sender, message)

    def _handle_answer(self, sender, receiver_id, message):
        self._announcements[receiver_id].handle_witnessed(sender, message)

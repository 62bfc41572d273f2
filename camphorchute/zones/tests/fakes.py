"""Members, and a fake store and fake peers whose replies the test chooses."""

from collections import Counter

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import Done
from camphorchute.hosting import SwapConflict
from camphorchute.links import LinkLost
from camphorchute.zones.record import empty_record, encode_record, with_members

WINDOW_MS = 600_000


def member(name, host=None, rack=""):
    host = host or f"vm-{name}"
    return Member(name, "north", host, rack, f"{name}:1", f"{name}:2")


def record_of(members, after=None, now_unix_ms=0):
    return with_members(after or empty_record("north"), members, now_unix_ms, WINDOW_MS)


class FakePeers:
    """Peers that reply to a request with ``replies[type(message)](member, message)``.

    Attributes:
        replies: the function that returns a reply or raises, by message type; :class:`Done` is the
            reply for other types.
        sent: member id and message of each one-way message that was sent.
        requests: member id and message of each request.
        unreachable: ids of the members that cannot be reached.
        linked: ids of the members with an open link.
    """

    def __init__(self):
        self.replies = {}
        self.sent = []
        self.requests = []
        self.unreachable = set()
        self.linked = set()

    def request(self, member, message, timeout_ms):
        self.requests.append((member.member_id, message))
        if member.member_id in self.unreachable:
            raise LinkLost(member.member_id)
        reply_to = self.replies.get(type(message), lambda member, message: Done())
        return reply_to(member, message)

    def send_if_linked(self, member_id, message):
        if member_id in self.unreachable:
            return False
        self.sent.append((member_id, message))
        return True

    def is_linked(self, member_id):
        return member_id in self.linked

    def sent_of(self, message_type):
        return [
            (to_id, message) for to_id, message in self.sent if isinstance(message, message_type)
        ]

    def requests_of(self, message_type):
        return [
            (to_id, message)
            for to_id, message in self.requests
            if isinstance(message, message_type)
        ]


class Stored:
    """A stored value and its revision."""

    def __init__(self, value, mod_revision):
        self.value = value
        self.mod_revision = mod_revision


class FakeStore:
    """Store of one ownership record that is changed by compare-and-swap."""

    def __init__(self, record):
        self.put(record, 0)

    def put(self, record, revision):
        self.stored = Stored(encode_record(record), revision + 1)

    def get(self, key):
        return self.stored

    def swap(self, key, value, mod_revision):
        if mod_revision != self.stored.mod_revision:
            raise SwapConflict(key)
        self.stored = Stored(value, mod_revision + 1)


class Counts(Counter):
    """Counters by name, called with the name to add to."""

    def __call__(self, name, n=1):
        self[name] += n


def refuse(code):
    """Return a reply function that refuses every request with a result code."""

    def raise_refusal(member, message):
        raise Refusal(code)

    return raise_refusal


refuse_stale_term = refuse(ResultCode.STALE_TERM)

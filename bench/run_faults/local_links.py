"""Links between the processes of a run, which deliver in order and can be cut."""

import copy
import time
from collections.abc import Callable
from typing import Protocol

import gevent

from camphorchute.contracts.member import Member

__all__ = ["LinkedProcess", "LocalLinks"]

OPEN_DELAY_S = 0.005
PEER_SILENT_MS = 750.0
MS_PER_S = 1000.0


class LinkedProcess(Protocol):
    """What the links need of a process.

    Attributes:
        member: its identity.
        last_active_s: monotonic time at which its event loop was last seen to run, in seconds.
    """

    member: Member
    last_active_s: float

    def call(self, function: Callable, *arguments: object) -> None:
        """Run a function in the event loop of the process; calls start in their order."""

    def receive(self, sender: Member, message: object) -> None:
        """Handle a message."""

    def handle_link_closed(self, peer: Member) -> None:
        """Handle the end of the link to a peer."""


class LocalLinks:
    """Links between every two processes.

    A message is lost if its link closes before the receiver handles it. A process closes the link
    to a peer that was not active for :data:`PEER_SILENT_MS`.

    Attributes:
        delay_ms: time that a message takes, in milliseconds.
    """

    __slots__ = ("delay_ms", "_processes", "_open", "_cut_until_s")

    def __init__(self) -> None:
        self.delay_ms = 0.0
        self._processes: dict[str, LinkedProcess] = {}
        self._open: dict[frozenset, int] = {}
        self._cut_until_s: dict[frozenset, float] = {}

    def add(self, process: LinkedProcess) -> None:
        """Connect a process with all others."""
        for other_id in self._processes:
            self._open[frozenset((process.member.member_id, other_id))] = 1
        self._processes[process.member.member_id] = process

    def members(self) -> list[Member]:
        """Return the processes."""
        return [process.member for process in self._processes.values()]

    def member(self, member_id: str) -> Member:
        """Return the process with a member id."""
        return self._processes[member_id].member

    def cut(self, first: str, second: str, duration_ms: float) -> None:
        """Close the link between two processes, which cannot open another for a while."""
        pair = frozenset((first, second))
        self._cut_until_s[pair] = time.monotonic() + duration_ms / MS_PER_S
        self._close(pair)

    def close_silent(self, member_id: str) -> None:
        """Close the links of a process to the peers that have been silent for too long."""
        for other_id, other in self._processes.items():
            pair = frozenset((member_id, other_id))
            if other_id != member_id and self._is_silent(other):
                self._close(pair)

    def send_or_open(self, sender_id: str, receiver_id: str, message: object) -> bool:
        """Send over an open link, else open one; return whether the message was sent."""
        if self.send_if_linked(sender_id, receiver_id, message):
            return True
        gevent.spawn_later(OPEN_DELAY_S, self._reopen, frozenset((sender_id, receiver_id)))
        return False

    def send_if_linked(self, sender_id: str, receiver_id: str, message: object) -> bool:
        """Send a copy of a message if a link is open; return whether it was sent."""
        receiver = self._processes[receiver_id]
        sender = self._processes[sender_id].member
        pair = frozenset((sender_id, receiver_id))
        link = 0 if sender_id == receiver_id else self._open.get(pair)
        if link is None:
            return False
        receiver.call(self._deliver, receiver, sender, copy.deepcopy(message), pair, link)
        return True

    def _deliver(
        self, receiver: LinkedProcess, sender: Member, message: object, pair: frozenset, link: int
    ) -> None:
        if self.delay_ms and link:
            gevent.sleep(self.delay_ms / MS_PER_S)
        if not link or self._open.get(pair) == link:
            receiver.receive(sender, message)

    def _is_silent(self, process: LinkedProcess) -> bool:
        return time.monotonic() - process.last_active_s > PEER_SILENT_MS / MS_PER_S

    def _close(self, pair: frozenset) -> None:
        if self._open.pop(pair, None) is None:
            return
        first, second = (self._processes[member_id] for member_id in pair)
        first.call(first.handle_link_closed, second.member)
        second.call(second.handle_link_closed, first.member)

    def _reopen(self, pair: frozenset) -> None:
        is_cut = time.monotonic() < self._cut_until_s.get(pair, 0.0)
        is_silent = any(self._is_silent(self._processes[member_id]) for member_id in pair)
        if pair not in self._open and not is_cut and not is_silent:
            self._open[pair] = time.monotonic_ns()

"""Client for the platform's list of entry VMs, which shows changes with a delay."""

from collections import Counter
from collections.abc import Sequence
from enum import Enum

import msgspec
from gevent.lock import RLock

from camphorchute.platform.json_client import (
    CALL_TIMEOUT_MS,
    AnswerLost,
    JsonClient,
    NotSent,
    StatusError,
)

__all__ = ["VmList", "VmState"]


class VmState(Enum):
    """State of a VM according to the platform's list.

    ``LIVE`` and ``LEAVING`` are states that the list reports; ``GONE`` is a VM that a former
    listing had and a later one has not.
    """

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"
    NEVER_LISTED = "never listed"


class ListedVm(msgspec.Struct):
    """One VM in the answer of the platform."""

    address: str
    zone: str
    state: str


class VmListing(msgspec.Struct):
    """Body of the platform's answer."""

    vms: list[ListedVm]


class VmList:
    """The states of the VMs as of the last successful refresh.

    A failed refresh leaves the states unchanged. A VM counts as gone only if one listing had it
    and a later one has not.

    Args:
        address: ``ip:port`` of the platform.
        timeout_ms: timeout of one refresh after connecting, in milliseconds.

    Attributes:
        failures: number of failed refreshes, by reason.
    """

    def __init__(self, address: str, timeout_ms: float = CALL_TIMEOUT_MS) -> None:
        self.failures: dict[str, int] = Counter()
        self._client = JsonClient(address, timeout_ms, connections=1)
        self._states: dict[str, VmState] = {}
        self._refresh_lock = RLock()

    def close(self) -> None:
        """Close the connection to the platform."""
        self._client.close()

    def refresh(self) -> bool:
        """Fetch the list once and return whether that succeeded."""
        with self._refresh_lock:
            try:
                listed_states = self._fetch_states()
            except (NotSent, AnswerLost, StatusError) as error:
                self.failures[error.reason] += 1
                return False
            self._apply_listing(listed_states)
        return True

    def state(self, address: str) -> VmState:
        """Return the state of the VM with an IP address, as of the last successful refresh."""
        return self._states.get(address, VmState.NEVER_LISTED)

    def addresses(self, state: VmState) -> Sequence[str]:
        """Return the sorted IP addresses of the VMs in a state."""
        return sorted(
            address for address, known_state in self._states.items() if known_state is state
        )

    def _fetch_states(self) -> dict[str, VmState]:
        body = self._client.send_request("GET", "/vms")
        try:
            listing = msgspec.json.decode(body, type=VmListing)
            return {vm.address: VmState(vm.state) for vm in listing.vms}
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise AnswerLost("malformed", str(error)) from error

    def _apply_listing(self, listed_states: dict[str, VmState]) -> None:
        for address in self._states:
            if address not in listed_states:
                self._states[address] = VmState.GONE
        self._states.update(listed_states)

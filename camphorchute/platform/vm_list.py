"""The platform's list of VMs, which lags behind the VMs themselves."""

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
    """What the list says about a VM."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"
    NEVER_LISTED = "never listed"


class ListedVm(msgspec.Struct):
    """One row of the list."""

    address: str
    zone: str
    state: str


class VmListing(msgspec.Struct):
    """The body of an answer."""

    vms: list[ListedVm]


class VmList:
    """The VMs as last listed.

    A failed refresh changes nothing. A VM is gone only where one listing had it and a later one
    has not.

    Args:
        address: ``ip:port`` of the platform.
        timeout_ms: time for one refresh, milliseconds.

    Attributes:
        failures: number of refreshes that failed, by reason.
    """

    def __init__(self, address: str, timeout_ms: float = CALL_TIMEOUT_MS) -> None:
        self.failures: dict[str, int] = Counter()
        self._client = JsonClient(address, timeout_ms, connections=1)
        self._states: dict[str, VmState] = {}
        self._refreshing = RLock()

    def close(self) -> None:
        """Close the connection."""
        self._client.close()

    def refresh(self) -> bool:
        """Read the list once and say whether that worked."""
        with self._refreshing:
            try:
                listing = self._read()
            except (NotSent, AnswerLost, StatusError) as error:
                self.failures[error.reason] += 1
                return False
            self._apply(listing)
        return True

    def state(self, address: str) -> VmState:
        """Return the state of the VM with an IP address, as last listed."""
        return self._states.get(address, VmState.NEVER_LISTED)

    def addresses(self, state: VmState) -> Sequence[str]:
        """Return the addresses of the VMs in a state, sorted."""
        return sorted(address for address, known in self._states.items() if known is state)

    def _read(self) -> dict[str, VmState]:
        body = self._client.call("GET", "/vms")
        try:
            listing = msgspec.json.decode(body, type=VmListing)
            return {vm.address: VmState(vm.state) for vm in listing.vms}
        except (msgspec.MsgspecError, ValueError) as error:
            raise AnswerLost("malformed", str(error)) from error

    def _apply(self, listed: dict[str, VmState]) -> None:
        for address in self._states:
            if address not in listed:
                self._states[address] = VmState.GONE
        self._states.update(listed)

"""Zones that operators have evacuated: the last known state of each, from the store and peers."""

import time
from collections.abc import Callable, Collection

from eliot import log_message

from camphorchute.contracts.run_messages import ZoneEvacuation
from camphorchute.hosting import StoredValue
from camphorchute.runs.zone_availability import ZoneAvailability

__all__ = ["DEFAULT_RETURN_MS", "ZoneEvacuations"]

DEFAULT_RETURN_MS = 3000.0
MS_PER_S = 1000.0


class ZoneEvacuations(ZoneAvailability):
    """Which zones are evacuated, as the store and the heartbeats of peers say.

    Each zone has the store revision of its last known change. The higher revision wins, so the
    order in which changes arrive does not matter. A complete state, from a listing or from a peer
    that knows one, also says which zones are not evacuated: those that it lacks were taken back at
    its revision or before. Without that, a process that has listed the keys after a removal could
    not correct a peer that has missed the removal.

    A zone that is taken back returns gradually, since its workers may be cold. A process that did
    not know of the evacuation offers the zone at once.

    Args:
        decode_zone: returns the zone of an evacuation's store key, None for any other key.
        count: adds to a named counter.
        configured_zones: the zones of this deployment; an evacuation of any other is logged as
            unknown. None if they are not known.
        return_ms: time in which a zone that is taken back returns to service, in milliseconds.

    Attributes:
        version: number that rises whenever :meth:`states` or :attr:`complete_revision` changes.
        complete_revision: store revision up to which all evacuations are known, 0 before the
            operators' keys were read.

    Examples:
        >>> evacuations = ZoneEvacuations(lambda key: key.removeprefix("z/"), lambda name: None)
        >>> evacuations.is_known()
        False
        >>> evacuations.apply_listing([StoredValue("z/north", b"{}", 7)], 9)
        >>> evacuations.is_evacuated("north"), evacuations.is_evacuated("south")
        (True, False)
        >>> evacuations.apply_change(StoredValue("z/north", None, 12))
        >>> evacuations.is_evacuated("north")
        False
    """

    __slots__ = (
        "version",
        "complete_revision",
        "_decode_zone",
        "_count",
        "_configured_zones",
        "_return_ms",
        "_is_known",
        "_states",
        "_evacuated",
        "_ended_s",
    )

    def __init__(
        self,
        decode_zone: Callable[[str], str | None],
        count: Callable[..., None],
        configured_zones: Collection[str] | None = None,
        return_ms: float = DEFAULT_RETURN_MS,
    ) -> None:
        self.version = 0
        self.complete_revision = 0
        self._decode_zone = decode_zone
        self._count = count
        self._configured_zones = configured_zones
        self._return_ms = return_ms
        self._is_known = False
        self._states: dict[str, ZoneEvacuation] = {}
        self._evacuated: set[str] = set()
        self._ended_s: dict[str, float] = {}

    def apply_change(self, change: StoredValue) -> None:
        """Apply one write of an operators' key, or one removal if the value is None.

        Args:
            change: the change; one of any other key is ignored.
        """
        zone = self._decode_zone(change.key)
        if zone is not None:
            self._apply(ZoneEvacuation(zone, change.mod_revision, change.value is not None))

    def apply_listing(self, values: list[StoredValue], revision: int) -> None:
        """Apply a complete listing of the operators' keys.

        Args:
            values: every operators' key with its value.
            revision: store revision of the listing.
        """
        zones = [(value, self._decode_zone(value.key)) for value in values]
        states = [
            ZoneEvacuation(zone, value.mod_revision, True)
            for value, zone in zones
            if zone is not None
        ]
        self._apply_complete(states, revision)

    def apply_heartbeat(self, states: list[ZoneEvacuation], complete_revision: int) -> None:
        """Apply what a peer knows.

        Args:
            states: the states of the peer's zones.
            complete_revision: the peer's :attr:`complete_revision`.
        """
        if complete_revision:
            self._apply_complete(states, complete_revision)
        else:
            for state in states:
                self._apply(state)

    def states(self) -> list[ZoneEvacuation]:
        """Return the last known state of each zone, without those that a complete state implies."""
        return list(self._states.values())

    def is_known(self) -> bool:
        """Return whether the operators' keys were read, from the store or from a peer."""
        return self._is_known

    def is_evacuated(self, zone: str) -> bool:
        """Return whether a zone is evacuated."""
        return zone in self._evacuated

    def offered_share(self, zone: str, now_s: float) -> float:
        """Return the share of a zone's workers that may be offered, 0 while it is not known."""
        if not self._is_known or zone in self._evacuated:
            return 0.0
        ended_s = self._ended_s.get(zone)
        if ended_s is None:
            return 1.0
        elapsed_ms = (now_s - ended_s) * MS_PER_S
        if elapsed_ms >= self._return_ms:
            del self._ended_s[zone]
            return 1.0
        return max(0.0, elapsed_ms / self._return_ms)

    def _apply_complete(self, states: list[ZoneEvacuation], revision: int) -> None:
        """Apply a state that names every zone that was evacuated at a revision.

        Removals up to that revision need not be remembered any more.
        """
        for state in states:
            self._apply(state)
        named_zones = {state.zone for state in states}
        for zone in self._evacuated - named_zones:
            self._apply(ZoneEvacuation(zone, revision, False))
        self._is_known = True
        if revision > self.complete_revision:
            self.complete_revision = revision
            self.version += 1
        for zone, state in list(self._states.items()):
            if not state.is_evacuated and state.revision <= self.complete_revision:
                del self._states[zone]

    def _apply(self, state: ZoneEvacuation) -> None:
        """Apply the state of a zone if it is newer than the one known."""
        known = self._states.get(state.zone)
        known_revision = self.complete_revision if known is None else known.revision
        if state.revision <= known_revision:
            return
        self._states[state.zone] = state
        self.version += 1
        if state.is_evacuated and state.zone not in self._evacuated:
            self._begin(state)
        elif not state.is_evacuated and state.zone in self._evacuated:
            self._end(state)

    def _begin(self, state: ZoneEvacuation) -> None:
        self._evacuated.add(state.zone)
        self._ended_s.pop(state.zone, None)
        if not self._is_configured(state.zone):
            self._count("roster.evacuation_of_unknown_zone")
            self._log("evacuated zone is unknown", state)
            return
        self._count("roster.evacuation_begun")
        self._log("zone is evacuated", state)

    def _end(self, state: ZoneEvacuation) -> None:
        self._evacuated.discard(state.zone)
        if not self._is_configured(state.zone):
            return
        self._ended_s[state.zone] = time.monotonic()
        self._count("roster.evacuation_ended")
        self._log("zone is taken back", state)

    def _is_configured(self, zone: str) -> bool:
        return self._configured_zones is None or zone in self._configured_zones

    def _log(self, text: str, state: ZoneEvacuation) -> None:
        log_message(
            message_type="roster",
            text=f"roster: {text}",
            zone=state.zone,
            revision=state.revision,
        )

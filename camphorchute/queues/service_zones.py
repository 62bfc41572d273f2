"""Zones that the workers of a service are in, and whether one is left to start tasks in."""

import time
from collections.abc import Callable, Collection

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.retry_after import spread_retry_after_ms
from camphorchute.runs.zone_availability import ZoneAvailability

__all__ = ["ServiceZones", "make_evacuated_refusal"]

RETRY_AFTER_MS = 2000.0  # evacuations last for minutes, and zones return over seconds


class ServiceZones:
    """Where the workers of each service are, by zones that are in service or evacuated.

    Args:
        zones_of: returns the zones in which a worker of a service is listed.
        availability: which zones are evacuated.

    Examples:
        >>> ServiceZones().is_evacuated("flags")
        False
    """

    __slots__ = ("_zones_of", "_availability")

    def __init__(
        self,
        zones_of: Callable[[str], Collection[str]] = lambda service: (),
        availability: ZoneAvailability | None = None,
    ) -> None:
        self._zones_of = zones_of
        self._availability = availability or ZoneAvailability()

    def is_zone_evacuated(self, zone: str) -> bool:
        """Return whether no task may be planned in a zone.

        Args:
            zone: the availability zone.
        """
        return self._availability.is_evacuated(zone)

    def is_evacuated(self, service: str) -> bool:
        """Return whether a service has workers, and all of them are in evacuated zones.

        Args:
            service: name of the service.
        """
        zones = self._zones_of(service)
        return bool(zones) and all(map(self._availability.is_evacuated, zones))

    def is_reduced(self, service: str) -> bool:
        """Return whether a zone with workers of a service is evacuated or returns to service.

        Args:
            service: name of the service.
        """
        now_s = time.monotonic()
        return self._availability.is_known() and any(
            self._availability.offered_share(zone, now_s) < 1.0 for zone in self._zones_of(service)
        )


def make_evacuated_refusal(service: str) -> Refusal:
    """Return the refusal of a job for which evacuations have left no worker.

    Args:
        service: name of the service.
    """
    retry_after_ms = spread_retry_after_ms(RETRY_AFTER_MS)
    return Refusal(ResultCode.EVACUATED, f"service {service}", retry_after_ms)

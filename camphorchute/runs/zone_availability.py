"""How much of each availability zone's workers a scheduler may offer and start tasks on."""

__all__ = ["ZoneAvailability"]


class ZoneAvailability:
    """Availability of the zones where nothing restricts it: every worker is offered.

    Examples:
        >>> ZoneAvailability().offered_share("north", 0.0)
        1.0
    """

    __slots__ = ()

    def is_known(self) -> bool:
        """Return whether it is known which zones are evacuated."""
        return True

    def is_evacuated(self, zone: str) -> bool:
        """Return whether nothing more may be started on the workers of a zone.

        Args:
            zone: the availability zone.
        """
        return False

    def offered_share(self, zone: str, now_s: float) -> float:
        """Return the share of a zone's workers that may be offered, from 0 to 1.

        Args:
            zone: the availability zone.
            now_s: time of the monotonic clock in seconds.
        """
        return 1.0

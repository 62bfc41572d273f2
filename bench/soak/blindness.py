"""Spans of time in which a zone can learn of no change of the configuration."""

from bench.soak.schedule import PlannedFault

__all__ = ["AppliedFault", "blind_spans"]

PLATFORM_KINDS = ("store_outage", "store_hangs", "store_slow")


class AppliedFault:
    """A fault that was brought about.

    Attributes:
        planned: the fault.
        zone: the zone that it was aimed at, where it is aimed at a zone.
        began_unix_ms: when it began.
        ended_unix_ms: when it ended; infinite while it lasts.
    """

    __slots__ = ("planned", "zone", "began_unix_ms", "ended_unix_ms")

    def __init__(self, planned: PlannedFault, zone: str, began_unix_ms: float) -> None:
        self.planned = planned
        self.zone = zone
        self.began_unix_ms = began_unix_ms
        self.ended_unix_ms = float("inf")


def blind_spans(applied: list[AppliedFault], zone: str, zones: int) -> list[tuple[float, float]]:
    """Return when a zone was cut off from the platform and from every other zone.

    Args:
        applied: the faults of the run.
        zone: the zone.
        zones: number of zones; of two, a cut of one cuts off the other as well.
    """
    whole = [f for f in applied if f.planned.kind == "zone_isolated" and f.zone == zone]
    cut = [f for f in applied if f.planned.kind == "zone_cut" and (f.zone == zone or zones == 2)]
    if zones == 2:
        cut += [f for f in applied if f.planned.kind == "zone_isolated" and f.zone != zone]
    unreachable = [
        f
        for f in applied
        if f.planned.kind in PLATFORM_KINDS or (f.planned.kind == "platform_cut" and f.zone == zone)
    ]
    spans = [(f.began_unix_ms, f.ended_unix_ms) for f in whole]
    for one in cut + whole:
        for other in unreachable:
            begin = max(one.began_unix_ms, other.began_unix_ms)
            end = min(one.ended_unix_ms, other.ended_unix_ms)
            if begin < end:
                spans.append((begin, end))
    return spans

"""Time spans in which faults keep every configuration change from reaching a zone."""

from bench.soak.schedule import PlannedFault

__all__ = ["AppliedFault", "config_outage_spans"]

PLATFORM_FAULT_KINDS = ("store_outage", "store_hangs", "store_slow")


class AppliedFault:
    """A fault that was injected.

    Attributes:
        planned: the fault as scheduled.
        zone: the zone that the target number selects; only some kinds act on it.
        began_unix_ms: start in Unix milliseconds.
        ended_unix_ms: end in Unix milliseconds; infinite while it lasts.
    """

    __slots__ = ("planned", "zone", "began_unix_ms", "ended_unix_ms")

    def __init__(self, planned: PlannedFault, zone: str, began_unix_ms: float) -> None:
        self.planned = planned
        self.zone = zone
        self.began_unix_ms = began_unix_ms
        self.ended_unix_ms = float("inf")


def config_outage_spans(
    applied: list[AppliedFault], zone: str, zones: int
) -> list[tuple[float, float]]:
    """Return the spans in which a zone was cut off from the platform and every other zone.

    Args:
        applied: the injected faults of the run.
        zone: name of the zone.
        zones: number of zones; with two, a cut of one also cuts off the other.

    Returns:
        Pairs of start and end in Unix milliseconds, possibly overlapping.
    """
    isolated = [f for f in applied if f.planned.kind == "zone_isolated" and f.zone == zone]
    cut_off = [
        f for f in applied if f.planned.kind == "zone_cut" and (f.zone == zone or zones == 2)
    ]
    if zones == 2:
        cut_off += [f for f in applied if f.planned.kind == "zone_isolated" and f.zone != zone]
    unreachable = [
        f
        for f in applied
        if f.planned.kind in PLATFORM_FAULT_KINDS
        or (f.planned.kind == "platform_cut" and f.zone == zone)
    ]
    spans = [(f.began_unix_ms, f.ended_unix_ms) for f in isolated]
    for one in cut_off + isolated:
        for other in unreachable:
            begin = max(one.began_unix_ms, other.began_unix_ms)
            end = min(one.ended_unix_ms, other.ended_unix_ms)
            if begin < end:
                spans.append((begin, end))
    return spans

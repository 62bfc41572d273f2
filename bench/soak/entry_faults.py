"""Fault kinds of entry processes and of the network between them."""

import gevent

from bench.soak.schedule import PlannedFault, register_fault
from bench.soak.soak_fleet import PLATFORM_HOST, SoakFleet

__all__ = ["stop_and_remove_vm"]

VM_LIST_LAG_S = 1.5
STOP_TIMEOUT_S = 35.0


@register_fault(weight=3, min_duration_s=0.2, max_duration_s=3.0)
def kill_and_restart(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Kill an entry process and start another incarnation at its address."""
    entry = fleet.pick_entry(planned)
    if entry is not None:
        fleet.kill(entry)
        gevent.sleep(planned.duration_s)
        fleet.start_entry(entry)


@register_fault(weight=2, min_duration_s=0.2, max_duration_s=2.0)
def kill_and_replace(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Kill an entry process and start one on another VM; the old VM stays listed for a while."""
    entry = fleet.pick_entry(planned)
    if entry is not None:
        fleet.kill(entry)
        gevent.sleep(planned.duration_s)
        fleet.add_next_entry(entry.zone)
        gevent.sleep(VM_LIST_LAG_S)
        fleet.remove_vm(entry)


@register_fault(weight=1, min_duration_s=0.5, max_duration_s=2.0)
def kill_two(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Kill two entry processes of one zone at the same time and restart them."""
    killed = fleet.live_entries(fleet.pick_zone(planned))[:2]
    for entry in killed:
        fleet.kill(entry)
    gevent.sleep(planned.duration_s)
    for entry in killed:
        fleet.start_entry(entry)


@register_fault(weight=3, min_duration_s=4.0, max_duration_s=8.0)
def pause_long(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Pause an entry process for longer than every lease and timeout."""
    entry = fleet.pick_entry(planned)
    if entry is not None:
        fleet.pause(entry, planned.duration_s)


@register_fault(weight=2, min_duration_s=0.1, max_duration_s=2.0)
def pause_short(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Pause an entry process for a short time."""
    entry = fleet.pick_entry(planned)
    if entry is not None:
        fleet.pause(entry, planned.duration_s)


@register_fault(weight=3, min_duration_s=0.0, max_duration_s=2.0)
def stop_and_replace(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Stop an entry process gracefully after its replacement was started."""
    entry = fleet.pick_entry(planned)
    if entry is not None:
        fleet.add_next_entry(entry.zone)
        gevent.sleep(planned.duration_s)
        stop_and_remove_vm(fleet, entry)


def stop_and_remove_vm(fleet: SoakFleet, entry: object) -> None:
    """Stop a live entry process gracefully and remove its VM from the platform's list.

    A process that does not stop in time is recorded as an unexpected exit.
    """
    if entry.process.poll() is not None or entry not in fleet.live_entries():
        return
    fleet.list_vm(entry, "leaving")
    if fleet.stop(entry, STOP_TIMEOUT_S):
        fleet.remove_vm(entry)
    else:
        fleet.unexpected_exits.append(
            f"{fleet.current_incarnation(entry).name} did not stop in {STOP_TIMEOUT_S} s"
        )


@register_fault(weight=2, min_duration_s=1.0, max_duration_s=7.0)
def zone_cut(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Cut a zone off from the others."""
    zone = fleet.pick_zone(planned)
    inside = fleet.zone_hosts(zone)
    outside = [host for other in fleet.zones if other != zone for host in fleet.zone_hosts(other)]
    _cut_for_duration(fleet, planned, [(inside, outside), (outside, inside)])


@register_fault(weight=2, min_duration_s=1.0, max_duration_s=8.0)
def platform_cut(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Cut a zone off from the platform."""
    inside = fleet.zone_hosts(fleet.pick_zone(planned))
    _cut_for_duration(fleet, planned, [(inside, [PLATFORM_HOST]), ([PLATFORM_HOST], inside)])


@register_fault(weight=2, min_duration_s=1.0, max_duration_s=7.0)
def zone_isolated(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Cut a zone off from the platform and the other zones."""
    zone = fleet.pick_zone(planned)
    inside = fleet.zone_hosts(zone)
    outside = [host for other in fleet.zones if other != zone for host in fleet.zone_hosts(other)]
    outside.append(PLATFORM_HOST)
    _cut_for_duration(fleet, planned, [(inside, outside), (outside, inside)])


@register_fault(weight=2, min_duration_s=1.0, max_duration_s=7.0)
def entry_cut(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Cut one entry off from its peers, but not from the platform and the workers."""
    entry = fleet.pick_entry(planned)
    if entry is not None:
        others = [e.host for e in fleet.entries if e.host != entry.host]
        _cut_for_duration(fleet, planned, [([entry.host], others), (others, [entry.host])])


@register_fault(weight=2, min_duration_s=1.0, max_duration_s=7.0)
def one_way_cut(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Lose what one entry sends to its peers; it still receives what they send."""
    entry = fleet.pick_entry(planned)
    if entry is not None:
        others = [e.host for e in fleet.entries if e.host != entry.host]
        _cut_for_duration(fleet, planned, [([entry.host], others)])


@register_fault(weight=2, min_duration_s=0.0, max_duration_s=0.1)
def silent_links(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Make the open links of an entry permanently unresponsive; new links work."""
    entry = fleet.pick_entry(planned)
    if entry is not None:
        fleet.silence_connections([entry.host], [e.host for e in fleet.entries])


@register_fault(weight=1, min_duration_s=0.0, max_duration_s=0.1)
def silent_store(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Make a zone's open connections to the store permanently unresponsive; new ones work."""
    fleet.silence_connections(fleet.zone_hosts(fleet.pick_zone(planned)), [PLATFORM_HOST])


def _cut_for_duration(
    fleet: SoakFleet, planned: PlannedFault, pairs: list[tuple[list[str], list[str]]]
) -> None:
    name = str(planned)
    fleet.start_cut(name, pairs)
    try:
        gevent.sleep(planned.duration_s)
    finally:
        fleet.end_cut(name)

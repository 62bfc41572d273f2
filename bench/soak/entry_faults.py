"""Faults of entry processes and of the network between them."""

import gevent

from bench.soak.schedule import PlannedFault, fault
from bench.soak.site import PLATFORM, Site

__all__ = ["replace_stopped"]

LIST_LAG_S = 1.5
STOP_TIMEOUT_S = 35.0


@fault(weight=3, shortest_s=0.2, longest_s=3.0)
def kill_and_restart(site: Site, planned: PlannedFault) -> None:
    """Kill an entry process and start another incarnation at its address."""
    entry = site.pick_entry(planned)
    if entry is not None:
        site.kill(entry)
        gevent.sleep(planned.duration_s)
        site.start_entry(entry)


@fault(weight=2, shortest_s=0.2, longest_s=2.0)
def kill_and_replace(site: Site, planned: PlannedFault) -> None:
    """Kill an entry process and start one on another VM; the list of VMs lags."""
    entry = site.pick_entry(planned)
    if entry is not None:
        site.kill(entry)
        gevent.sleep(planned.duration_s)
        site.add_next_entry(entry.zone)
        gevent.sleep(LIST_LAG_S)
        site.remove_vm(entry)


@fault(weight=1, shortest_s=0.5, longest_s=2.0)
def kill_two(site: Site, planned: PlannedFault) -> None:
    """Kill two entry processes of one zone together and restart them."""
    killed = site.live_entries(site.pick_zone(planned))[:2]
    for entry in killed:
        site.kill(entry)
    gevent.sleep(planned.duration_s)
    for entry in killed:
        site.start_entry(entry)


@fault(weight=3, shortest_s=4.0, longest_s=8.0)
def pause_long(site: Site, planned: PlannedFault) -> None:
    """Pause an entry process for longer than every lease and timeout."""
    entry = site.pick_entry(planned)
    if entry is not None:
        site.pause(entry, planned.duration_s)


@fault(weight=2, shortest_s=0.1, longest_s=2.0)
def pause_short(site: Site, planned: PlannedFault) -> None:
    """Pause an entry process for a moment."""
    entry = site.pick_entry(planned)
    if entry is not None:
        site.pause(entry, planned.duration_s)


@fault(weight=3, shortest_s=0.0, longest_s=2.0)
def stop_and_replace(site: Site, planned: PlannedFault) -> None:
    """Stop an entry process in order after its replacement was started."""
    entry = site.pick_entry(planned)
    if entry is not None:
        site.add_next_entry(entry.zone)
        gevent.sleep(planned.duration_s)
        replace_stopped(site, entry)


def replace_stopped(site: Site, entry: object) -> None:
    """Stop an entry process and take its VM off the list."""
    if entry.process.poll() is not None or entry not in site.live_entries():
        return
    site.list_vm(entry, "leaving")
    if site.stop(entry, STOP_TIMEOUT_S):
        site.remove_vm(entry)
    else:
        site.exits.append(f"{site.life_of(entry).name} did not stop in {STOP_TIMEOUT_S} s")


@fault(weight=2, shortest_s=1.0, longest_s=7.0)
def zone_cut(site: Site, planned: PlannedFault) -> None:
    """Cut a zone off from the others."""
    zone = site.pick_zone(planned)
    inside = site.zone_hosts(zone)
    outside = [host for other in site.zones if other != zone for host in site.zone_hosts(other)]
    _cut(site, planned, [(inside, outside), (outside, inside)])


@fault(weight=2, shortest_s=1.0, longest_s=8.0)
def platform_cut(site: Site, planned: PlannedFault) -> None:
    """Cut a zone off from the platform."""
    inside = site.zone_hosts(site.pick_zone(planned))
    _cut(site, planned, [(inside, [PLATFORM]), ([PLATFORM], inside)])


@fault(weight=2, shortest_s=1.0, longest_s=7.0)
def zone_isolated(site: Site, planned: PlannedFault) -> None:
    """Cut a zone off from the platform and the other zones."""
    zone = site.pick_zone(planned)
    inside = site.zone_hosts(zone)
    outside = [host for other in site.zones if other != zone for host in site.zone_hosts(other)]
    outside.append(PLATFORM)
    _cut(site, planned, [(inside, outside), (outside, inside)])


@fault(weight=2, shortest_s=1.0, longest_s=7.0)
def entry_cut(site: Site, planned: PlannedFault) -> None:
    """Cut one entry off from its peers, but not from the platform and the workers."""
    entry = site.pick_entry(planned)
    if entry is not None:
        others = [e.host for e in site.entries if e.host != entry.host]
        _cut(site, planned, [([entry.host], others), (others, [entry.host])])


@fault(weight=2, shortest_s=1.0, longest_s=7.0)
def one_way_cut(site: Site, planned: PlannedFault) -> None:
    """Lose what one entry sends to its peers; it still hears them."""
    entry = site.pick_entry(planned)
    if entry is not None:
        others = [e.host for e in site.entries if e.host != entry.host]
        _cut(site, planned, [([entry.host], others)])


@fault(weight=2, shortest_s=0.0, longest_s=0.1)
def silent_links(site: Site, planned: PlannedFault) -> None:
    """Make the open links of an entry silent for good; new ones work."""
    entry = site.pick_entry(planned)
    if entry is not None:
        site.silence([entry.host], [e.host for e in site.entries])


@fault(weight=1, shortest_s=0.0, longest_s=0.1)
def silent_store(site: Site, planned: PlannedFault) -> None:
    """Make the connections of a zone to the store silent for good; new ones work."""
    site.silence(site.zone_hosts(site.pick_zone(planned)), [PLATFORM])


def _cut(site: Site, planned: PlannedFault, pairs: list[tuple[list[str], list[str]]]) -> None:
    name = str(planned)
    site.set_cut(name, pairs)
    try:
        gevent.sleep(planned.duration_s)
    finally:
        site.end_cut(name)

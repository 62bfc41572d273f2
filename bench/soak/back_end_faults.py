"""Faults of workers, upstreams and the platform."""

import gevent

from bench.soak.schedule import PlannedFault, fault
from bench.soak.site import Site

__all__: list[str] = []

STRAGGLING_FACTOR = 8.0


def _during(site: Site, address: str, planned: PlannedFault, on: dict, off: dict) -> None:
    site.set_faults(address, on)
    try:
        gevent.sleep(planned.duration_s)
    finally:
        site.set_faults(address, off)


@fault(weight=2, shortest_s=1.0, longest_s=8.0)
def store_outage(site: Site, planned: PlannedFault) -> None:
    """Close every connection to the store unanswered."""
    _during(site, site.platform_address, planned, {"outage": True}, {"outage": False})


@fault(weight=2, shortest_s=1.0, longest_s=6.0)
def store_slow(site: Site, planned: PlannedFault) -> None:
    """Make the platform slow."""
    slow_ms = 50.0 + planned.target % 1500
    _during(site, site.platform_address, planned, {"slow_ms": slow_ms}, {"slow_ms": 0.0})


@fault(weight=1, shortest_s=1.0, longest_s=5.0)
def store_hangs(site: Site, planned: PlannedFault) -> None:
    """Let the platform accept requests and never answer them."""
    _during(site, site.platform_address, planned, {"hang": True}, {"hang": False})


@fault(weight=3, shortest_s=1.0, longest_s=4.0)
def store_loses_answers(site: Site, planned: PlannedFault) -> None:
    """Lose the answers of writes that took effect."""
    lost = 1 + planned.target % 4
    _during(site, site.platform_address, planned, {"lose_answers": lost}, {"lose_answers": 0})


@fault(weight=1, shortest_s=0.0, longest_s=0.1)
def leases_lapse(site: Site, planned: PlannedFault) -> None:
    """End every lease of the store."""
    site.set_faults(site.platform_address, {"lapse_leases": True})


@fault(weight=1, shortest_s=1.0, longest_s=8.0)
def vm_list_lags(site: Site, planned: PlannedFault) -> None:
    """Let the list of VMs lag behind."""
    lag_ms = 1000.0 + planned.target % 5000
    _during(site, site.platform_address, planned, {"vms_lag_ms": lag_ms}, {"vms_lag_ms": 0.0})


@fault(weight=2, shortest_s=1.0, longest_s=6.0)
def worker_straggles(site: Site, planned: PlannedFault) -> None:
    """Make a worker slow."""
    on, off = {"slow_factor": STRAGGLING_FACTOR}, {"slow_factor": 1.0}
    _during(site, site.pick_worker(planned), planned, on, off)


@fault(weight=1, shortest_s=0.5, longest_s=5.0)
def worker_refuses(site: Site, planned: PlannedFault) -> None:
    """Let a worker refuse every attempt."""
    _during(site, site.pick_worker(planned), planned, {"refuse": True}, {"refuse": False})


@fault(weight=1, shortest_s=0.5, longest_s=5.0)
def worker_lies(site: Site, planned: PlannedFault) -> None:
    """Let a worker report slots that it has not."""
    _during(site, site.pick_worker(planned), planned, {"lie_slots": 16}, {"lie_slots": 0})


@fault(weight=1, shortest_s=0.5, longest_s=4.0)
def worker_fails_all(site: Site, planned: PlannedFault) -> None:
    """Let a worker fail everything that it starts."""
    _during(site, site.pick_worker(planned), planned, {"fail_all": True}, {"fail_all": False})


@fault(weight=1, shortest_s=0.0, longest_s=0.1)
def worker_crashes(site: Site, planned: PlannedFault) -> None:
    """Crash a worker; the other of its process keeps the record."""
    zone = site.pick_zone(planned)
    seconds = site.workers[zone][1::2]
    address = seconds[planned.target % len(seconds)]
    if address not in site.crashed:
        site.crashed.add(address)
        site.set_faults(address, {"crash": True})


@fault(weight=1, shortest_s=0.0, longest_s=0.1)
def worker_silent(site: Site, planned: PlannedFault) -> None:
    """Make the open connections of a worker silent for good; new ones work."""
    site.set_faults(site.pick_worker(planned), {"silent": True})


@fault(weight=1, shortest_s=0.5, longest_s=5.0)
def worker_hangs(site: Site, planned: PlannedFault) -> None:
    """Let a worker accept requests and never answer them."""
    _during(site, site.pick_worker(planned), planned, {"hang": True}, {"hang": False})


@fault(weight=1, shortest_s=0.5, longest_s=4.0)
def worker_down(site: Site, planned: PlannedFault) -> None:
    """Close the listener and the connections of a worker for some time."""
    site.set_faults(site.pick_worker(planned), {"down_ms": planned.duration_s * 1000.0})


@fault(weight=2, shortest_s=1.0, longest_s=6.0)
def worker_doubles_answers(site: Site, planned: PlannedFault) -> None:
    """Let a worker give every answer twice."""
    on, off = {"double_answers": True}, {"double_answers": False}
    _during(site, site.pick_worker(planned), planned, on, off)


@fault(weight=1, shortest_s=1.0, longest_s=6.0)
def worker_answers_late(site: Site, planned: PlannedFault) -> None:
    """Let the answers of a worker come late."""
    late_ms = 100.0 + planned.target % 3000
    _during(site, site.pick_worker(planned), planned, {"late_ms": late_ms}, {"late_ms": 0.0})


@fault(weight=2, shortest_s=0.5, longest_s=4.0)
def worker_loses_answers(site: Site, planned: PlannedFault) -> None:
    """Close the connections of deliveries that a worker started."""
    lost = 1 + planned.target % 5
    _during(site, site.pick_worker(planned), planned, {"lose_answers": lost}, {"lose_answers": 0})


@fault(weight=2, shortest_s=0.5, longest_s=4.0)
def upstream_loses_answers(site: Site, planned: PlannedFault) -> None:
    """Close the connections of requests that an upstream ran."""
    lost = 1 + planned.target % 5
    address = site.pick_upstream(planned)
    _during(site, address, planned, {"lose_answers": lost}, {"lose_answers": 0})


@fault(weight=1, shortest_s=0.5, longest_s=4.0)
def upstream_refuses(site: Site, planned: PlannedFault) -> None:
    """Let an upstream refuse with the proof that it did not run the request."""
    _during(site, site.pick_upstream(planned), planned, {"refuse": True}, {"refuse": False})


@fault(weight=1, shortest_s=1.0, longest_s=5.0)
def upstream_straggles(site: Site, planned: PlannedFault) -> None:
    """Make an upstream slow."""
    on, off = {"slow_factor": STRAGGLING_FACTOR * 2}, {"slow_factor": 1.0}
    _during(site, site.pick_upstream(planned), planned, on, off)


@fault(weight=1, shortest_s=0.0, longest_s=0.1)
def upstream_silent(site: Site, planned: PlannedFault) -> None:
    """Make the open connections of an upstream silent for good; new ones work."""
    site.set_faults(site.pick_upstream(planned), {"silent": True})

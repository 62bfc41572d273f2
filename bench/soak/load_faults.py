"""Faults that callers and operators bring: bursts, cancellations, drains and races."""

from bench.soak.schedule import PlannedFault, fault
from bench.soak.site import Site

__all__: list[str] = []


@fault(weight=2, shortest_s=0.0, longest_s=0.1)
def burst(site: Site, planned: PlannedFault) -> None:
    """Submit many jobs at once."""
    site.callers.burst()


@fault(weight=2, shortest_s=0.0, longest_s=0.1)
def cancel_wave(site: Site, planned: PlannedFault) -> None:
    """Cancel most jobs under way."""
    site.callers.cancel_wave()


@fault(weight=2, shortest_s=0.0, longest_s=0.1)
def operators_race(site: Site, planned: PlannedFault) -> None:
    """Let two operators change one service at once."""
    site.operators.race()


@fault(weight=2, shortest_s=4.0, longest_s=8.0)
def worker_leaves(site: Site, planned: PlannedFault) -> None:
    """Drain a worker by a confirmed plan and put it back."""
    _drain(site, site.pick_worker(planned), planned)


@fault(weight=2, shortest_s=4.0, longest_s=8.0)
def upstream_leaves(site: Site, planned: PlannedFault) -> None:
    """Drain an upstream by a confirmed plan and put it back."""
    _drain(site, site.pick_upstream(planned), planned)


def _drain(site: Site, address: str, planned: PlannedFault) -> None:
    if address not in site.drained:
        site.drained.add(address)
        try:
            site.operators.drain(address, planned.duration_s)
        finally:
            site.drained.discard(address)

"""Fault kinds caused by callers and operators: bursts, cancellations, drains and races."""

from bench.soak.schedule import PlannedFault, register_fault
from bench.soak.soak_fleet import SoakFleet

__all__: list[str] = []


@register_fault(weight=2, min_duration_s=0.0, max_duration_s=0.1)
def burst(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Submit many jobs and requests at the same time."""
    fleet.callers.submit_burst()


@register_fault(weight=2, min_duration_s=0.0, max_duration_s=0.1)
def cancel_wave(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Cancel most jobs and requests that have no answer yet."""
    fleet.callers.cancel_pending_work()


@register_fault(weight=2, min_duration_s=0.0, max_duration_s=0.1)
def operators_race(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Let two operators change one service at the same time."""
    fleet.operators.race_changes()


@register_fault(weight=2, min_duration_s=4.0, max_duration_s=8.0)
def worker_leaves(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Drain a worker by a confirmed plan, then end the drain."""
    _drain_for_duration(fleet, fleet.pick_worker(planned), planned)


@register_fault(weight=2, min_duration_s=4.0, max_duration_s=8.0)
def upstream_leaves(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Drain an upstream by a confirmed plan, then end the drain."""
    _drain_for_duration(fleet, fleet.pick_upstream(planned), planned)


def _drain_for_duration(fleet: SoakFleet, address: str, planned: PlannedFault) -> None:
    if address not in fleet.drained_back_ends:
        fleet.drained_back_ends.add(address)
        try:
            fleet.operators.drain_back_end(address, planned.duration_s)
        finally:
            fleet.drained_back_ends.discard(address)

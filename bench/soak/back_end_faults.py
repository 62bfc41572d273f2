"""Fault kinds of workers, upstreams and the platform."""

import gevent

from bench.soak.schedule import PlannedFault, register_fault
from bench.soak.soak_fleet import SoakFleet

__all__: list[str] = []

STRAGGLING_FACTOR = 8.0


def _apply_for_duration(
    fleet: SoakFleet, address: str, planned: PlannedFault, active: dict, inactive: dict
) -> None:
    fleet.set_faults(address, active)
    try:
        gevent.sleep(planned.duration_s)
    finally:
        fleet.set_faults(address, inactive)


@register_fault(weight=2, min_duration_s=1.0, max_duration_s=8.0)
def store_outage(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Close every connection to the store without an answer."""
    _apply_for_duration(fleet, fleet.platform_address, planned, {"outage": True}, {"outage": False})


@register_fault(weight=2, min_duration_s=1.0, max_duration_s=6.0)
def store_slow(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Delay the answers of the platform."""
    slow_ms = 50.0 + planned.target % 1500
    _apply_for_duration(
        fleet, fleet.platform_address, planned, {"slow_ms": slow_ms}, {"slow_ms": 0.0}
    )


@register_fault(weight=1, min_duration_s=1.0, max_duration_s=5.0)
def store_hangs(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Let the platform accept requests without answering them."""
    _apply_for_duration(fleet, fleet.platform_address, planned, {"hang": True}, {"hang": False})


@register_fault(weight=3, min_duration_s=1.0, max_duration_s=4.0)
def store_loses_answers(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Lose the answers of writes that took effect."""
    lost_answers = 1 + planned.target % 4
    _apply_for_duration(
        fleet, fleet.platform_address, planned, {"lose_answers": lost_answers}, {"lose_answers": 0}
    )


@register_fault(weight=1, min_duration_s=0.0, max_duration_s=0.1)
def leases_lapse(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Let every lease in the store lapse."""
    fleet.set_faults(fleet.platform_address, {"lapse_leases": True})


@register_fault(weight=1, min_duration_s=1.0, max_duration_s=8.0)
def vm_list_lags(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Let the platform's list of VMs lag behind."""
    lag_ms = 1000.0 + planned.target % 5000
    _apply_for_duration(
        fleet, fleet.platform_address, planned, {"vms_lag_ms": lag_ms}, {"vms_lag_ms": 0.0}
    )


@register_fault(weight=2, min_duration_s=1.0, max_duration_s=6.0)
def worker_straggles(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Slow a worker down."""
    active, inactive = {"slow_factor": STRAGGLING_FACTOR}, {"slow_factor": 1.0}
    _apply_for_duration(fleet, fleet.pick_worker(planned), planned, active, inactive)


@register_fault(weight=1, min_duration_s=0.5, max_duration_s=5.0)
def worker_refuses(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Let a worker refuse every attempt."""
    _apply_for_duration(
        fleet, fleet.pick_worker(planned), planned, {"refuse": True}, {"refuse": False}
    )


@register_fault(weight=1, min_duration_s=0.5, max_duration_s=5.0)
def worker_lies(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Let a worker report slots that it does not have."""
    _apply_for_duration(
        fleet, fleet.pick_worker(planned), planned, {"lie_slots": 16}, {"lie_slots": 0}
    )


@register_fault(weight=1, min_duration_s=0.5, max_duration_s=4.0)
def worker_fails_all(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Let a worker fail every task that it starts."""
    _apply_for_duration(
        fleet, fleet.pick_worker(planned), planned, {"fail_all": True}, {"fail_all": False}
    )


@register_fault(weight=1, min_duration_s=0.0, max_duration_s=0.1)
def worker_crashes(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Crash the second worker of a process; the first one still serves the process's record."""
    zone = fleet.pick_zone(planned)
    second_workers = fleet.workers[zone][1::2]
    address = second_workers[planned.target % len(second_workers)]
    if address not in fleet.crashed_workers:
        fleet.crashed_workers.add(address)
        fleet.set_faults(address, {"crash": True})


@register_fault(weight=1, min_duration_s=0.0, max_duration_s=0.1)
def worker_silent(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Make the open connections of a worker permanently unresponsive; new ones work."""
    fleet.set_faults(fleet.pick_worker(planned), {"silent": True})


@register_fault(weight=1, min_duration_s=0.5, max_duration_s=5.0)
def worker_hangs(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Let a worker accept requests without answering them."""
    _apply_for_duration(fleet, fleet.pick_worker(planned), planned, {"hang": True}, {"hang": False})


@register_fault(weight=1, min_duration_s=0.5, max_duration_s=4.0)
def worker_down(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Close the listener and the connections of a worker for some time."""
    fleet.set_faults(fleet.pick_worker(planned), {"down_ms": planned.duration_s * 1000.0})


@register_fault(weight=2, min_duration_s=1.0, max_duration_s=6.0)
def worker_doubles_answers(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Let a worker send every answer twice."""
    active, inactive = {"double_answers": True}, {"double_answers": False}
    _apply_for_duration(fleet, fleet.pick_worker(planned), planned, active, inactive)


@register_fault(weight=1, min_duration_s=1.0, max_duration_s=6.0)
def worker_answers_late(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Delay the answers of a worker."""
    late_ms = 100.0 + planned.target % 3000
    _apply_for_duration(
        fleet, fleet.pick_worker(planned), planned, {"late_ms": late_ms}, {"late_ms": 0.0}
    )


@register_fault(weight=2, min_duration_s=0.5, max_duration_s=4.0)
def worker_loses_answers(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Close the connections of tasks that a worker started, without an answer."""
    lost_answers = 1 + planned.target % 5
    _apply_for_duration(
        fleet,
        fleet.pick_worker(planned),
        planned,
        {"lose_answers": lost_answers},
        {"lose_answers": 0},
    )


@register_fault(weight=2, min_duration_s=0.5, max_duration_s=4.0)
def upstream_loses_answers(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Close the connections of requests that an upstream ran, without an answer."""
    lost_answers = 1 + planned.target % 5
    address = fleet.pick_upstream(planned)
    _apply_for_duration(
        fleet, address, planned, {"lose_answers": lost_answers}, {"lose_answers": 0}
    )


@register_fault(weight=1, min_duration_s=0.5, max_duration_s=4.0)
def upstream_refuses(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Let an upstream refuse requests, with proof that it did not run them."""
    _apply_for_duration(
        fleet, fleet.pick_upstream(planned), planned, {"refuse": True}, {"refuse": False}
    )


@register_fault(weight=1, min_duration_s=1.0, max_duration_s=5.0)
def upstream_straggles(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Slow an upstream down."""
    active, inactive = {"slow_factor": STRAGGLING_FACTOR * 2}, {"slow_factor": 1.0}
    _apply_for_duration(fleet, fleet.pick_upstream(planned), planned, active, inactive)


@register_fault(weight=1, min_duration_s=0.0, max_duration_s=0.1)
def upstream_silent(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Make the open connections of an upstream permanently unresponsive; new ones work."""
    fleet.set_faults(fleet.pick_upstream(planned), {"silent": True})

"""What a plan would do to back ends, capacity and present work."""

import msgspec

from camphorchute.services.definition import ServiceDefinition, Upstream, Worker

__all__ = ["Effects", "Usage", "find_effects"]


class Usage(msgspec.Struct, omit_defaults=True):
    """The present use of a service, as far as the entry processes could tell.

    Attributes:
        running_by_worker: tasks that run, for each worker's name.
        running_by_upstream: requests in flight, for each upstream's name.
        waiting_by_zone: tasks that wait, for each availability zone.
        team_tasks_by_zone: queued and running tasks, for each zone and team.
        not_asked: entry processes that could not be asked.
    """

    running_by_worker: dict[str, int] = {}
    running_by_upstream: dict[str, int] = {}
    waiting_by_zone: dict[str, int] = {}
    team_tasks_by_zone: dict[str, dict[str, int]] = {}
    not_asked: list[str] = []


class Effects(msgspec.Struct, omit_defaults=True):
    """What a plan would do.

    Attributes:
        workers_joining: workers that the service gains.
        workers_leaving: workers that it loses or that begin to drain.
        upstreams_joining: upstreams that it gains.
        upstreams_leaving: upstreams that it loses or that begin to drain.
        slots_before: slots of workers that take work, before the change.
        slots_after: the same after it.
        slots_in_use: tasks that run at present.
        tasks_waiting: tasks that wait at present.
        tasks_stranded: tasks that wait while no slot would be left to run them.
        tasks_on_leaving: tasks and requests that run on back ends that leave; they get
            ``drain_ms`` to end.
        warnings: what the operator should weigh, one sentence each.
    """

    workers_joining: list[str] = []
    workers_leaving: list[str] = []
    upstreams_joining: list[str] = []
    upstreams_leaving: list[str] = []
    slots_before: int = 0
    slots_after: int = 0
    slots_in_use: int = 0
    tasks_waiting: int = 0
    tasks_stranded: int = 0
    tasks_on_leaving: int = 0
    warnings: list[str] = []


def find_effects(
    before: ServiceDefinition | None, after: ServiceDefinition | None, usage: Usage
) -> Effects:
    """Return what a change would do, with warnings against the present use.

    Examples:
        >>> worker = Worker("w1", "127.0.2.1:9000", "north")
        >>> old = ServiceDefinition("flags", workers=[worker])
        >>> effects = find_effects(old, None, Usage(running_by_worker={"w1": 3}))
        >>> effects.workers_leaving, effects.slots_after, effects.tasks_on_leaving
        (['w1'], 0, 3)
    """
    workers = _working(before, "workers"), _working(after, "workers")
    upstreams = _working(before, "upstreams"), _working(after, "upstreams")
    effects = Effects(
        workers_joining=_missing(workers[1], workers[0]),
        workers_leaving=_missing(workers[0], workers[1]),
        upstreams_joining=_missing(upstreams[1], upstreams[0]),
        upstreams_leaving=_missing(upstreams[0], upstreams[1]),
        slots_before=sum(worker.slots for worker in workers[0].values()),
        slots_after=sum(worker.slots for worker in workers[1].values()),
        slots_in_use=sum(usage.running_by_worker.values()),
        tasks_waiting=sum(usage.waiting_by_zone.values()),
    )
    effects.tasks_stranded = effects.tasks_waiting if not effects.slots_after else 0
    effects.tasks_on_leaving = _count(usage.running_by_worker, effects.workers_leaving)
    effects.tasks_on_leaving += _count(usage.running_by_upstream, effects.upstreams_leaving)
    effects.warnings = [
        *_work_warnings(effects, after),
        *_capacity_warnings(effects),
        *_zone_warnings(workers[0], workers[1]),
        *_quota_warnings(after, usage),
        *_usage_warnings(usage),
    ]
    return effects


def _working(definition: ServiceDefinition | None, field: str) -> dict[str, Worker | Upstream]:
    """Return the back ends that take work, by name."""
    back_ends = getattr(definition, field) if definition else []
    return {back_end.name: back_end for back_end in back_ends if not back_end.draining}


def _missing(here: dict[str, Worker | Upstream], there: dict[str, Worker | Upstream]) -> list[str]:
    """Return the names of back ends that the other side lacks or has at another address."""
    return sorted(
        name
        for name, back_end in here.items()
        if name not in there or there[name].address != back_end.address
    )


def _count(tasks: dict[str, int], names: list[str]) -> int:
    return sum(tasks.get(name, 0) for name in names)


def _work_warnings(effects: Effects, after: ServiceDefinition | None) -> list[str]:
    warnings = []
    if after is None:
        warnings.append("the service is removed: new jobs for it are refused")
    if effects.tasks_on_leaving:
        drain = f" get {after.drain_ms:g} ms to end" if after else " get the drain time to end"
        warnings.append(f"{effects.tasks_on_leaving} running on back ends that leave{drain}")
    if effects.tasks_stranded:
        warnings.append(
            f"{effects.tasks_stranded} waiting tasks would be stranded: no slot is left"
        )
    return warnings


def _capacity_warnings(effects: Effects) -> list[str]:
    before, after, used = effects.slots_before, effects.slots_after, effects.slots_in_use
    if after < used:
        return [f"{after} slots would be left, {used} are in use"]
    if after < before and effects.tasks_waiting:
        return [f"slots fall from {before} to {after} while {effects.tasks_waiting} tasks wait"]
    return []


def _zone_warnings(before: dict[str, Worker], after: dict[str, Worker]) -> list[str]:
    zones_before = {worker.zone for worker in before.values()}
    zones_after = {worker.zone for worker in after.values()}
    return [
        f"zone {zone} would have no worker that takes work"
        for zone in sorted(zones_before - zones_after)
    ]


def _quota_warnings(after: ServiceDefinition | None, usage: Usage) -> list[str]:
    quotas = after.quotas if after else {}
    return [
        f"team {team} has {tasks} tasks in zone {zone}, over its quota of {quotas[team]}"
        for zone, teams in sorted(usage.team_tasks_by_zone.items())
        for team, tasks in sorted(teams.items())
        if team in quotas and tasks > quotas[team]
    ]


def _usage_warnings(usage: Usage) -> list[str]:
    if not usage.not_asked:
        return []
    return [f"the present use leaves out {', '.join(sorted(usage.not_asked))}: not reached"]

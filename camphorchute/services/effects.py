"""Effects of a plan on back ends, capacity and present work."""

import msgspec

from camphorchute.services.definition import ServiceDefinition, Upstream, Worker

__all__ = ["Effects", "Usage", "find_effects"]


class Usage(msgspec.Struct, omit_defaults=True):
    """The present use of a service, summed over the entry processes that answered.

    Attributes:
        running_by_worker: number of running tasks by name of the worker.
        running_by_upstream: number of requests in flight by name of the upstream.
        waiting_by_zone: number of waiting tasks by availability zone.
        team_tasks_by_zone: number of queued and running tasks by zone and team.
        not_asked: entry processes that could not be reached.
    """

    running_by_worker: dict[str, int] = {}
    running_by_upstream: dict[str, int] = {}
    waiting_by_zone: dict[str, int] = {}
    team_tasks_by_zone: dict[str, dict[str, int]] = {}
    not_asked: list[str] = []


class Effects(msgspec.Struct, omit_defaults=True):
    """Effects of a plan.

    A back end that moves to another address both joins and leaves.

    Attributes:
        workers_joining: names of workers that are added or stop draining.
        workers_leaving: names of workers that are removed or start to drain.
        upstreams_joining: names of upstreams that are added or stop draining.
        upstreams_leaving: names of upstreams that are removed or start to drain.
        slots_before: number of slots of workers that accept work, before the change.
        slots_after: number of slots of workers that accept work, after the change.
        slots_in_use: number of tasks running at present.
        tasks_waiting: number of tasks waiting at present.
        tasks_stranded: number of waiting tasks if no slot would be left to run them, else 0.
        tasks_on_leaving: number of tasks and requests running on leaving back ends; they get
            ``drain_ms`` to finish.
        warnings: warnings for the operator, one sentence each.
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
    """Return the effects of a change, with warnings that follow from the present use.

    Args:
        before: the definition in force; None if there is none.
        after: the intended definition; None removes the service.
        usage: the present use of the service.

    Examples:
        >>> worker = Worker("w1", "127.0.2.1:9000", "north")
        >>> old = ServiceDefinition("flags", workers=[worker])
        >>> effects = find_effects(old, None, Usage(running_by_worker={"w1": 3}))
        >>> effects.workers_leaving, effects.slots_after, effects.tasks_on_leaving
        (['w1'], 0, 3)
    """
    workers = _accepting_back_ends(before, "workers"), _accepting_back_ends(after, "workers")
    upstreams = _accepting_back_ends(before, "upstreams"), _accepting_back_ends(after, "upstreams")
    effects = Effects(
        workers_joining=_find_unmatched_names(workers[1], workers[0]),
        workers_leaving=_find_unmatched_names(workers[0], workers[1]),
        upstreams_joining=_find_unmatched_names(upstreams[1], upstreams[0]),
        upstreams_leaving=_find_unmatched_names(upstreams[0], upstreams[1]),
        slots_before=sum(worker.slots for worker in workers[0].values()),
        slots_after=sum(worker.slots for worker in workers[1].values()),
        slots_in_use=sum(usage.running_by_worker.values()),
        tasks_waiting=sum(usage.waiting_by_zone.values()),
    )
    effects.tasks_stranded = effects.tasks_waiting if not effects.slots_after else 0
    effects.tasks_on_leaving = _sum_tasks(usage.running_by_worker, effects.workers_leaving)
    effects.tasks_on_leaving += _sum_tasks(usage.running_by_upstream, effects.upstreams_leaving)
    effects.warnings = [
        *_task_warnings(effects, after),
        *_capacity_warnings(effects),
        *_zone_warnings(workers[0], workers[1]),
        *_quota_warnings(after, usage),
        *_incomplete_usage_warnings(usage),
    ]
    return effects


def _accepting_back_ends(
    definition: ServiceDefinition | None, field: str
) -> dict[str, Worker | Upstream]:
    """Return the back ends that accept work, by name."""
    back_ends = getattr(definition, field) if definition else []
    return {back_end.name: back_end for back_end in back_ends if not back_end.draining}


def _find_unmatched_names(
    back_ends: dict[str, Worker | Upstream], others: dict[str, Worker | Upstream]
) -> list[str]:
    """Return the names of back ends that the other mapping lacks or has at another address."""
    return sorted(
        name
        for name, back_end in back_ends.items()
        if name not in others or others[name].address != back_end.address
    )


def _sum_tasks(tasks: dict[str, int], names: list[str]) -> int:
    return sum(tasks.get(name, 0) for name in names)


def _task_warnings(effects: Effects, after: ServiceDefinition | None) -> list[str]:
    warnings = []
    if after is None:
        warnings.append("the service is removed: new jobs for it are refused")
    if effects.tasks_on_leaving:
        drain = (
            f" get {after.drain_ms:g} ms to finish" if after else " get the drain time to finish"
        )
        warnings.append(
            f"{effects.tasks_on_leaving} tasks or requests running on leaving back ends{drain}"
        )
    if effects.tasks_stranded:
        warnings.append(
            f"{effects.tasks_stranded} waiting tasks could not run: no slot would be left"
        )
    return warnings


def _capacity_warnings(effects: Effects) -> list[str]:
    before, after, used = effects.slots_before, effects.slots_after, effects.slots_in_use
    if after < used:
        return [f"{after} slots would be left, {used} are in use"]
    if after < before and effects.tasks_waiting:
        return [
            f"slots would fall from {before} to {after} while {effects.tasks_waiting} tasks wait"
        ]
    return []


def _zone_warnings(before: dict[str, Worker], after: dict[str, Worker]) -> list[str]:
    zones_before = {worker.zone for worker in before.values()}
    zones_after = {worker.zone for worker in after.values()}
    return [
        f"zone {zone} would have no worker that accepts work"
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


def _incomplete_usage_warnings(usage: Usage) -> list[str]:
    if not usage.not_asked:
        return []
    return [f"the present use does not include {', '.join(sorted(usage.not_asked))}: not reached"]

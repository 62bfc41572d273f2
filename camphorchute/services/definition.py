"""The definition of a service: its back ends, limits, quotas and weights."""

from typing import Annotated, Literal

import msgspec

__all__ = ["Worker", "Upstream", "Limits", "ServiceDefinition", "VALUE_MAX_BYTES"]

VALUE_MAX_BYTES = 512 * 1024

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[a-z0-9][a-z0-9_.-]*$")]
_Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f.:\[\]]+:[0-9]{1,5}$")]
_Positive = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
_Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class Worker(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True, frozen=True):
    """A worker of a service.

    Attributes:
        name: name of the worker, unique in the service.
        address: ``IP:port`` of its interface.
        zone: the availability zone that it is in.
        slots: number of tasks that it runs at a time.
        connections: number of connections that it accepts.
        cpus: number of processors.
        memory_mb: memory in megabytes.
        accelerators: number of accelerators.
        rack: rack that it is in; empty if not given.
        draining: whether it accepts no new work.
    """

    name: _Name
    address: _Address
    zone: _Name
    slots: _Count = 8
    connections: _Count = 64
    cpus: _Positive = 32.0
    memory_mb: _Positive = 65536.0
    accelerators: Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 0.0
    rack: str = ""
    draining: bool = False


class Upstream(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True, frozen=True):
    """An upstream of a service: an HTTP server that single requests are dispatched to.

    Attributes:
        name: name of the upstream, unique in the service.
        address: ``IP:port`` of the HTTP server.
        zone: the availability zone that it is in.
        connections: number of requests that it accepts at a time.
        draining: whether it accepts no new work.
    """

    name: _Name
    address: _Address
    zone: _Name
    connections: _Count = 64
    draining: bool = False


class Limits(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True, frozen=True):
    """Limits of a service; each applies per availability zone.

    Attributes:
        queue_max_ms: maximum time that a task may wait for a slot, in milliseconds.
        queue_max_tasks: maximum number of waiting tasks.
        start_rate_per_s: maximum number of task starts per second; 0 for no limit.
        concurrent_tasks: maximum number of tasks running at a time; 0 for no limit.
        retry_budget_ratio: number of retries allowed per first start.
    """

    queue_max_ms: _Positive = 30_000.0
    queue_max_tasks: _Count = 20_000
    start_rate_per_s: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 0.0
    concurrent_tasks: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0
    retry_budget_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1


class ServiceDefinition(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """The complete definition of a service.

    Attributes:
        name: name of the service.
        workers: back ends that run tasks.
        upstreams: back ends that single requests are dispatched to.
        limits: limits of the service.
        quotas: maximum number of queued or running tasks per zone, by team.
        team_weights: share under contention, by team; 1 for a team that is not listed.
        waste_weight: 0 weighs only response time, 1 weighs only wasted messages. The
            benchmark weighs policies by it; placement itself does not use it yet.
        policy: name of the placement policy.
        repeatable_kinds: kinds whose requests may be sent again if it is unknown whether an
            earlier one started.
        drain_ms: maximum time in milliseconds that running work gets to finish on a leaving
            back end.

    Examples:
        >>> ServiceDefinition(name="flags").limits.queue_max_tasks
        20000
    """

    name: _Name
    workers: list[Worker] = []
    upstreams: list[Upstream] = []
    limits: Limits = Limits()
    quotas: dict[_Name, _Count] = {}
    team_weights: dict[_Name, _Positive] = {}
    waste_weight: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.2
    policy: Literal["home", "random", "two_choices"] = "home"
    repeatable_kinds: list[_Name] = []
    drain_ms: _Positive = 30_000.0

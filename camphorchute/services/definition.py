"""What operators define: a service with its back ends, limits and weights."""

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
        name: its name, unique in the service.
        address: ``IP:port`` of its interface.
        zone: the availability zone that it stands in.
        slots: tasks that it runs at a time.
        connections: connections that it takes.
        cpus: processors.
        memory_mb: memory, megabytes.
        accelerators: accelerators.
        rack: rack that it stands in.
        draining: whether it takes no new work.
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
    """An upstream of a service: an HTTP server that single requests are handed to.

    Attributes:
        name: its name, unique in the service.
        address: ``IP:port``.
        zone: the availability zone that it stands in.
        connections: requests that it takes at a time.
        draining: whether it takes no new work.
    """

    name: _Name
    address: _Address
    zone: _Name
    connections: _Count = 64
    draining: bool = False


class Limits(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True, frozen=True):
    """Limits of a service, in each availability zone.

    Attributes:
        queue_max_ms: longest time that a task may wait for a slot, milliseconds.
        queue_max_tasks: most tasks that may wait.
        start_rate_per_s: most task starts a second; 0 for no limit.
        concurrent_tasks: most tasks that run at a time; 0 for no limit.
        retry_budget_ratio: retries allowed for each first start.
    """

    queue_max_ms: _Positive = 30_000.0
    queue_max_tasks: _Count = 20_000
    start_rate_per_s: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 0.0
    concurrent_tasks: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0
    retry_budget_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1


class ServiceDefinition(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """The whole definition of a service.

    Attributes:
        name: its name.
        workers: back ends that run tasks.
        upstreams: back ends that single requests are handed to.
        limits: its limits.
        quotas: for each team, the most tasks of it that may be queued or running in a zone.
        team_weights: for each team, its share under contention; 1 where none is given.
        waste_weight: 0 weighs only response time, 1 weighs only wasted messages. The
            benchmark weighs policies by it; placement itself does not use it yet.
        policy: name of the placement policy.
        repeatable_kinds: kinds whose requests may be sent again after an unclear start.
        drain_ms: longest time that running work is given when a back end leaves.

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

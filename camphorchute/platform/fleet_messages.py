"""Messages of the fleet platform: its configuration, jobs, worker commands and store calls.

Field names have hyphens on the wire. The adapters of this package translate the messages to and
from the types of :mod:`camphorchute.hosting`, so that no other package uses the platform's names.
"""

from typing import Annotated

import msgspec

from camphorchute.contracts.stored_values import Amount, Count, ServiceName

__all__ = [
    "Capacity",
    "Clock",
    "Configuration",
    "Granted",
    "Hold",
    "Item",
    "Items",
    "JobBody",
    "JobState",
    "Pending",
    "Rejected",
    "Route",
    "RunStart",
    "RunStop",
    "Runs",
    "ServerEntry",
    "Service",
    "Step",
    "Txn",
    "TxnDone",
    "TxnLost",
    "WatchEvents",
]


DurationMs = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Factor = Annotated[float, msgspec.Meta(ge=0, le=1e6)]
Priority = Annotated[int, msgspec.Meta(ge=-(2**31), le=2**31)]
ZoneName = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9-]{1,32}\Z")]  # as in the settings


class Wire(msgspec.Struct, rename=lambda name: name.replace("_", "-"), omit_defaults=True):
    """Base class of the messages: wire names have hyphens, unknown fields are ignored."""


class Capacity(Wire):
    """Total resources of a worker; ``cpu`` is in thousandths of a core."""

    cpu: Amount
    mem_mb: Amount = 0
    gpu: Amount = 0


class ServerEntry(Wire):
    """Entry of a worker in service discovery."""

    service: ServiceName
    address: str
    zone: ZoneName
    state: str
    capacity: Capacity
    labels: list[str] = []
    born: Amount = 0  # time when the worker started, which distinguishes its incarnations


class Route(Wire):
    """A queue in the operators' configuration."""

    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: DurationMs = 30_000.0
    target_latency_ms: DurationMs = 0.0
    priority: Priority = 0
    max_attempts: Count = 1
    stretch: Factor = 1.0  # factor of the work of a job in its target time


class Service(Wire):
    """A service, that is a pool of workers, in the operators' configuration."""

    name: str


class Configuration(Wire):
    """The complete configuration that the operators wrote."""

    version: Amount
    routes: list[Route]
    services: list[Service] = []


class Step(Wire):
    """A step of a job; the dispatcher does not support the fields from ``gang`` on yet."""

    count: int  # number of tasks
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0.0
    after: list[int] = []  # numbers of the earlier steps that this step waits for
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    max_per_server: int = 0
    speculative: bool = False
    long_running: bool = False
    fills: bool = False


class JobBody(Wire):
    """A job that a caller submits; ``best_effort`` jobs need not be stored."""

    spec: str  # payload that each task is started with
    steps: list[Step]
    best_effort: bool = False
    repeat_count: int = 0


class JobState(Wire):
    """Answer to a caller's request for the state of a job."""

    state: str


class Pending(Wire, omit_defaults=False):
    """Answer to a caller's request for the number of pending jobs of a queue."""

    pending: int


class RunStart(Wire):
    """Command to start a run."""

    task: str
    run: int
    spec: str  # payload that the task is started with
    deadline_ms: int  # when the lease of the run expires, on the worker's clock
    fence: int


class RunStop(Wire):
    """Command to stop a run."""

    task: str
    run: int
    fence: int


class Hold(Wire, omit_defaults=False):
    """Command to renew the leases of all runs and to list the runs and completions."""

    fence: int
    seen_upto: int  # completions up to this number are acknowledged
    wait_ms: int
    deadline_ms: int | msgspec.UnsetType = msgspec.UNSET  # as in RunStart; unset to list only


class Clock(Wire):
    """Answer to a command, with the reading of the worker's monotonic clock."""

    clock_ms: float = 0.0
    born: int = 0  # as in ServerEntry, 0 if the answer does not say


class Rejected(Wire):
    """Answer to a refused command, with the reason."""

    reason: str = ""


class Runs(Wire):
    """Answer to :class:`Hold`.

    A row of ``running`` has task, run, checkpoint and percentage; a row of ``ended`` has number of
    the completion, task, run, outcome and checkpoint.
    """

    clock_ms: float
    running: list[list] = []
    ended: list[list] = []
    born: int = 0  # as in ServerEntry


class Item(Wire):
    """A key with its value in base64, or the removal of a key."""

    key: str
    revision: int  # mod revision of the key
    value: str = ""
    lease: int = 0
    removed: bool = False


class Items(Wire):
    """One page of the keys that start with a prefix; ``truncated`` if more pages follow."""

    items: list[Item]
    store_revision: int
    truncated: bool = False


class WatchEvents(Wire):
    """Changes that a watch returns, up to ``store_revision``."""

    events: list[Item]
    store_revision: int


class Condition(Wire, omit_defaults=False):
    """Condition that a key has a mod revision; 0 if the key must not exist."""

    key: str
    revision: int


class Put(Wire, omit_defaults=False):
    """Write of one key; ``lease`` is the id of the lease that it is bound to, 0 for none."""

    key: str
    value: str
    lease: int


class Txn(Wire, omit_defaults=False):
    """Transaction that writes and removes keys if all conditions hold."""

    if_revision: list[Condition]
    puts: list[Put]
    remove: list[str]


class TxnDone(Wire):
    """Answer to a transaction that was made, with its revision."""

    revision: int


class TxnLost(Wire):
    """Answer to a transaction that was not made, with the keys that failed a condition.

    The store may list keys that met their condition too.
    """

    items: list[Item] = []


class Granted(Wire):
    """Request for a lease, and the answer to a grant or a renewal; ``lease`` is its id."""

    ttl_ms: int
    lease: int = 0


def make_condition(key: str, revision: int) -> Condition:
    """Return a condition of a transaction: the mod revision that a key must have."""
    return Condition(key, revision)


def make_put(key: str, value: str, lease: int) -> Put:
    """Return a write of a transaction; the value is in base64."""
    return Put(key, value, lease)

"""The bodies that the platform, its workers and its callers send, as msgspec types.

Names on the wire are written with hyphens; the types here are decoded once and translated at
once into the types of :mod:`camphorchute.hosting`.
"""

import msgspec

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


class Wire(msgspec.Struct, rename=lambda name: name.replace("_", "-"), omit_defaults=True):
    """A body with hyphenated names; unknown names are passed over."""


class Capacity(Wire):
    """``cpu`` counts thousandths of a core."""

    cpu: int
    mem_mb: int = 0
    gpu: int = 0


class ServerEntry(Wire):
    """A worker's entry in service discovery.

    ``born`` is the time of its start and tells its incarnations apart.
    """

    service: str
    address: str
    zone: str
    state: str
    capacity: Capacity
    labels: list[str] = []
    born: int = 0


class Route(Wire):
    """A queue."""

    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: float = 30_000.0
    target_latency_ms: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0


class Service(Wire):
    """A pool of workers."""

    name: str


class Configuration(Wire):
    """The operators' configuration in full."""

    version: int
    routes: list[Route]
    services: list[Service] = []


class Step(Wire):
    """A step of a job; the fields from ``gang`` on ask for what the product does not offer yet."""

    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0.0
    after: list[int] = []
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    max_per_server: int = 0
    speculative: bool = False
    long_running: bool = False
    fills: bool = False


class JobBody(Wire):
    """A job; ``best_effort`` jobs need not be stored."""

    spec: str
    steps: list[Step]
    best_effort: bool = False
    repeat_count: int = 0


class JobState(Wire):
    """The state of a job."""

    state: str


class Pending(Wire, omit_defaults=False):
    """The number of jobs of a queue that wait."""

    pending: int


class RunStart(Wire):
    """Start a run; ``deadline_ms`` is the end of its lease on the worker's clock."""

    task: str
    run: int
    spec: str
    deadline_ms: int
    fence: int


class RunStop(Wire):
    """Stop a run."""

    task: str
    run: int
    fence: int


class Hold(Wire, omit_defaults=False):
    """Renew leases and list; ``seen_upto`` acknowledges ends."""

    fence: int
    seen_upto: int
    wait_ms: int
    deadline_ms: int | msgspec.UnsetType = msgspec.UNSET


class Clock(Wire):
    """The worker's steady clock."""

    clock_ms: float = 0.0


class Rejected(Wire):
    """Why an order was refused."""

    reason: str = ""


class Runs(Wire):
    """Rows of runs: task, run, checkpoint, percent; and number, task, run, how, checkpoint."""

    clock_ms: float
    running: list[list] = []
    ended: list[list] = []
    born: int = 0


class Item(Wire):
    """A stored key, or the removal of one."""

    key: str
    revision: int
    value: str = ""
    lease: int = 0
    removed: bool = False


class Items(Wire):
    """A page of a listing."""

    items: list[Item]
    store_revision: int
    truncated: bool = False


class WatchEvents(Wire):
    """What has changed."""

    events: list[Item]
    store_revision: int


class Condition(Wire, omit_defaults=False):
    """A key with the revision that it must have."""

    key: str
    revision: int


class Put(Wire, omit_defaults=False):
    """A value to write."""

    key: str
    value: str
    lease: int


class Txn(Wire, omit_defaults=False):
    """A change under conditions."""

    if_revision: list[Condition]
    puts: list[Put]
    remove: list[str]


class TxnDone(Wire):
    """The revision of a change."""

    revision: int


class TxnLost(Wire):
    """The items that were not as the condition asked."""

    items: list[Item] = []


class Granted(Wire):
    """A lease."""

    ttl_ms: int
    lease: int = 0


def condition(key: str, revision: int) -> Condition:
    """Return a condition of a change."""
    return Condition(key, revision)


def put(key: str, value: str, lease: int) -> Put:
    """Return a write of a change."""
    return Put(key, value, lease)

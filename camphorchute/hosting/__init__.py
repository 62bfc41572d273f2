"""Interfaces between the dispatcher and the platform that it runs on.

They cover the key-value store, service discovery, commands to workers and callers' queues.
"""

from camphorchute.hosting.platform import (
    HostingPlatform,
    NotOffered,
    make_platform,
    register_platform,
)
from camphorchute.hosting.queue_table import Queue, QueueTable
from camphorchute.hosting.run_port import (
    EndKind,
    OrderLost,
    OrderRefused,
    RefusedReason,
    RunEnd,
    RunListing,
    RunOrder,
    RunPort,
    RunSeen,
)
from camphorchute.hosting.store import (
    SILENT_MS,
    Change,
    Store,
    StoredListing,
    StoredValue,
    StoreRefused,
    StoreUnavailable,
    SwapAllLost,
    SwapLost,
    SwapUnknown,
    make_store,
    register_store,
)
from camphorchute.hosting.worker_entry import WorkerEntry

__all__ = [
    "SILENT_MS",
    "Change",
    "EndKind",
    "HostingPlatform",
    "NotOffered",
    "OrderLost",
    "OrderRefused",
    "Queue",
    "QueueTable",
    "RefusedReason",
    "RunEnd",
    "RunListing",
    "RunOrder",
    "RunPort",
    "RunSeen",
    "Store",
    "StoreRefused",
    "StoreUnavailable",
    "StoredListing",
    "StoredValue",
    "SwapAllLost",
    "SwapLost",
    "SwapUnknown",
    "WorkerEntry",
    "make_platform",
    "make_store",
    "register_platform",
    "register_store",
]

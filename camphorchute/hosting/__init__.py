"""Interfaces between the dispatcher and the platform that it runs on.

They cover the key-value store, service discovery, commands to workers and callers' queues.
"""

from camphorchute.hosting.platform import (
    HostingPlatform,
    UnsupportedFeature,
    make_platform,
    register_platform,
)
from camphorchute.hosting.queue_table import Queue, QueueTable
from camphorchute.hosting.store import (
    WATCH_RESPONSE_TIMEOUT_MS,
    ConditionalWrite,
    Store,
    StoredListing,
    StoredValue,
    StoreRefused,
    StoreUnavailable,
    SwapAllConflict,
    SwapConflict,
    SwapUnknown,
    make_store,
    register_store,
)
from camphorchute.hosting.worker_client import (
    CommandRefused,
    CommandUnanswered,
    ListedRun,
    RefusalReason,
    RunCompletion,
    RunListing,
    RunOutcome,
    StartCommand,
    WorkerClient,
)
from camphorchute.hosting.worker_entry import WorkerEntry

__all__ = [
    "WATCH_RESPONSE_TIMEOUT_MS",
    "CommandRefused",
    "CommandUnanswered",
    "ConditionalWrite",
    "HostingPlatform",
    "ListedRun",
    "Queue",
    "QueueTable",
    "RefusalReason",
    "RunCompletion",
    "RunListing",
    "RunOutcome",
    "StartCommand",
    "Store",
    "StoreRefused",
    "StoreUnavailable",
    "StoredListing",
    "StoredValue",
    "SwapAllConflict",
    "SwapConflict",
    "SwapUnknown",
    "UnsupportedFeature",
    "WorkerClient",
    "WorkerEntry",
    "make_platform",
    "make_store",
    "register_platform",
    "register_store",
]

"""The platform that the program runs on: its key-value store and its list of VMs."""

from camphorchute.platform.etcd_store import EtcdStore
from camphorchute.platform.store import (
    Store,
    StoredListing,
    StoredValue,
    StoreRefused,
    StoreUnavailable,
    SwapLost,
    SwapUnknown,
    make_store,
    register_store,
)
from camphorchute.platform.vm_list import VmList, VmState

__all__ = [
    "EtcdStore",
    "Store",
    "StoreRefused",
    "StoreUnavailable",
    "StoredListing",
    "StoredValue",
    "SwapLost",
    "SwapUnknown",
    "VmList",
    "VmState",
    "make_store",
    "register_store",
]

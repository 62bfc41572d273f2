"""Adapters: classes that translate between a platform and the interfaces of the product."""

from camphorchute.platform.etcd_store import EtcdStore
from camphorchute.platform.fleet import FleetPlatform
from camphorchute.platform.vm_list import VmList, VmState

__all__ = ["EtcdStore", "FleetPlatform", "VmList", "VmState"]

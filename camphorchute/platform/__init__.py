"""Adapters that implement the interfaces of :mod:`camphorchute.hosting` for actual platforms."""

from camphorchute.platform.etcd_store import EtcdStore
from camphorchute.platform.fleet_platform import FleetPlatform
from camphorchute.platform.vm_list import VmList, VmState

__all__ = ["EtcdStore", "FleetPlatform", "VmList", "VmState"]

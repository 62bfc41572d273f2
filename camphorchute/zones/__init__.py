"""Shard ownership of idempotency keys within an availability zone, and its failover."""

from camphorchute.zones.deaths import DeathRegistry
from camphorchute.zones.ledger import Ledger
from camphorchute.zones.local_tasks import add_local_tasks, remove_local_tasks
from camphorchute.zones.membership import Membership
from camphorchute.zones.record import OwnershipRecord, ShardRecord, Term, assign_shard
from camphorchute.zones.record_store import RecordStore
from camphorchute.zones.shard_recovery import ShardRecovery
from camphorchute.zones.takeover import TermRecovery, term_recovery
from camphorchute.zones.view import ZoneView
from camphorchute.zones.witnessing import Witnessing

__all__ = [
    "DeathRegistry",
    "Ledger",
    "Membership",
    "OwnershipRecord",
    "RecordStore",
    "ShardRecovery",
    "ShardRecord",
    "Term",
    "TermRecovery",
    "Witnessing",
    "ZoneView",
    "add_local_tasks",
    "assign_shard",
    "remove_local_tasks",
    "term_recovery",
]

"""Who decides on which keys in an availability zone, and how that changes hands."""

from camphorchute.zones.deaths import Deaths
from camphorchute.zones.ledger import Ledger
from camphorchute.zones.membership import Membership
from camphorchute.zones.record import OwnershipRecord, ShardRecord, Term, assign_shard
from camphorchute.zones.record_store import RecordStore
from camphorchute.zones.settling import Settling
from camphorchute.zones.takeover import Gathered, term_gathered
from camphorchute.zones.view import ZoneView
from camphorchute.zones.witnessing import Witnessing

__all__ = [
    "Deaths",
    "Gathered",
    "Ledger",
    "Membership",
    "OwnershipRecord",
    "RecordStore",
    "Settling",
    "ShardRecord",
    "Term",
    "Witnessing",
    "ZoneView",
    "assign_shard",
    "term_gathered",
]

"""The cluster view: members, workers, claims and queues as the platform's store shows them."""

from camphorchute.cluster.claims import GroupClaims
from camphorchute.cluster.cluster_view import OWN_PREFIX, Claim, ClusterView
from camphorchute.cluster.configuration_fetch import ConfigurationFetch
from camphorchute.cluster.connectivity import Connectivity
from camphorchute.cluster.group_followers import GroupFollowers
from camphorchute.cluster.heartbeats import Heartbeats
from camphorchute.cluster.membership_lease import MembershipLease
from camphorchute.cluster.store_follower import StoreFollower
from camphorchute.cluster.worker_capacities import WorkerCapacities
from camphorchute.cluster.worker_fates import WorkerFate, WorkerFates
from camphorchute.cluster.zone_evacuations import ZoneEvacuations

__all__ = [
    "OWN_PREFIX",
    "Claim",
    "ClusterView",
    "ConfigurationFetch",
    "Connectivity",
    "GroupClaims",
    "GroupFollowers",
    "Heartbeats",
    "MembershipLease",
    "StoreFollower",
    "WorkerCapacities",
    "WorkerFate",
    "WorkerFates",
    "ZoneEvacuations",
]

"""The cluster view: members, workers, claims and queues as the platform's store shows them."""

from camphorchute.roster.claims import Claims
from camphorchute.roster.group_followers import followed_groups, followers_of
from camphorchute.roster.heartbeats import Beats
from camphorchute.roster.membership_lease import MembershipLease
from camphorchute.roster.shared_view import OWN_PREFIX, Claim, SharedView
from camphorchute.roster.store_follower import StoreFollower

__all__ = [
    "OWN_PREFIX",
    "Beats",
    "Claim",
    "Claims",
    "MembershipLease",
    "SharedView",
    "StoreFollower",
    "followed_groups",
    "followers_of",
]

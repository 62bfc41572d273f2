"""What the shards of a process share."""

from collections.abc import Callable

from camphorchute.cluster import ClusterView, MembershipLease
from camphorchute.durable_jobs.job_writer import JobWriter
from camphorchute.hosting import Store
from camphorchute.links import Peers
from camphorchute.queues import QueueOwner

__all__ = ["ShardContext"]


class ShardContext:
    """The collaborators that all shards of a process share.

    Attributes:
        store: the platform's store.
        writer: writes job records in batches.
        view: cluster view with the worker groups and their schedulers.
        lease: lease of this process; it must be valid to act as a shard owner.
        queue_owner: dispatches the tasks of jobs.
        peers: links to the other members, the schedulers among them.
        count: adds to a named counter.
    """

    __slots__ = ("store", "writer", "view", "lease", "queue_owner", "peers", "count")

    def __init__(
        self,
        store: Store,
        writer: JobWriter,
        view: ClusterView,
        lease: MembershipLease,
        queue_owner: QueueOwner,
        peers: Peers,
        count: Callable[..., None],
    ) -> None:
        self.store = store
        self.writer = writer
        self.view = view
        self.lease = lease
        self.queue_owner = queue_owner
        self.peers = peers
        self.count = count

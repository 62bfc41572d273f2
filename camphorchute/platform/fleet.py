"""The platform as a whole: where its keys lie and how its values read."""

from collections.abc import Callable

import msgspec

from camphorchute.contracts.batch_job import MAX_TASKS, BatchJob, BatchStep, QueueLimits
from camphorchute.contracts.resources import Resources
from camphorchute.hosting.platform import HostingPlatform, NotOffered, register_platform
from camphorchute.hosting.queue_table import Queue, QueueTable
from camphorchute.hosting.run_port import RunPort
from camphorchute.hosting.worker_entry import WorkerEntry
from camphorchute.platform import wire
from camphorchute.platform.fenced_worker import FencedWorker
from camphorchute.platform.kv_store import KvStore

__all__ = ["FleetPlatform"]

STATES = ("ready", "draining")
NOT_OFFERED = (
    "gang",
    "same_rack",
    "requires",
    "max_per_server",
    "speculative",
    "long_running",
    "fills",
)


@register_platform("fleet")
class FleetPlatform(HostingPlatform):
    """The users' platform.

    Args:
        store_address: ``IP:port`` of its store.
        count: adds to a named counter.
    """

    worker_prefix = "servers/"
    operator_prefix = "op/"
    queues_key = "op/config"
    deadline_header = "Camphorchute-Deadline-Ms"

    def __init__(self, store_address: str, count: Callable[..., None]) -> None:
        self.store = KvStore(store_address)
        self._count = count

    def decode_worker(self, key: str, value: bytes) -> WorkerEntry | None:
        """Return the worker of an entry, None where it is not one to use."""
        try:
            entry = msgspec.json.decode(value, type=wire.ServerEntry)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            self._count("platform.worker_entry_malformed")
            return None
        if entry.state not in STATES:
            self._count("platform.worker_entry_unknown_state")
            return None
        return WorkerEntry(
            key.removeprefix(self.worker_prefix),
            entry.born,
            entry.address,
            entry.service,
            entry.zone,
            Resources(entry.capacity.cpu, entry.capacity.mem_mb, entry.capacity.gpu),
            tuple(entry.labels),
            entry.state == "draining",
        )

    def decode_queues(self, value: bytes) -> QueueTable:
        """Return the queues of a configuration."""
        try:
            configuration = msgspec.json.decode(value, type=wire.Configuration)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise ValueError(f"configuration: {error}") from error
        queues = [_queue(route) for route in configuration.routes]
        services = [service.name for service in configuration.services]
        return QueueTable(configuration.version, queues, services, value)

    def open_worker(self, entry: WorkerEntry) -> RunPort:
        """Return a port to a worker."""
        return FencedWorker(entry)

    def decode_job(self, job_id: str, body: bytes) -> BatchJob:
        """Return the job in a request."""
        try:
            job = msgspec.json.decode(body, type=wire.JobBody)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise ValueError(str(error)) from error
        _check_job(job)
        steps = tuple(_step(step) for step in job.steps)
        return BatchJob(job_id, job.spec, steps, not job.best_effort)

    def encode_job_state(self, state: str) -> bytes:
        """Return the body with a job's state."""
        return msgspec.json.encode(wire.JobState(state))

    def encode_waiting(self, waiting: int) -> bytes:
        """Return the body with the number of jobs that wait."""
        return msgspec.json.encode(wire.Pending(waiting))


def _queue(route: wire.Route) -> Queue:
    limits = QueueLimits(route.priority, route.max_attempts, route.stretch, route.target_latency_ms)
    return Queue(route.name, route.host, route.prefix, route.service, route.timeout_ms, limits)


def _step(step: wire.Step) -> BatchStep:
    demand = Resources(step.cpu, step.mem_mb, step.gpu)
    return BatchStep(step.count, demand, step.estimate_ms, tuple(step.after))


def _check_job(job: wire.JobBody) -> None:
    if not job.steps:
        raise ValueError("a job without steps")
    for number, step in enumerate(job.steps):
        if not 1 <= step.count <= MAX_TASKS:
            raise ValueError(f"step {number}: count {step.count}, 1 to {MAX_TASKS} allowed")
        if min(step.cpu, step.mem_mb, step.gpu) < 0:
            raise ValueError(f"step {number}: a negative demand")
        if any(not 0 <= earlier < number for earlier in step.after):
            raise ValueError(f"step {number}: after {step.after} names no earlier step")
        asked = [name for name in NOT_OFFERED if getattr(step, name)]
        if asked:
            raise NotOffered(f"step {number}: {', '.join(asked)}")
    if job.repeat_count:
        raise NotOffered("scheduled jobs")

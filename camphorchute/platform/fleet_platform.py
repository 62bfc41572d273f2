"""Adapter for the fleet platform: its store keys, the decoding of its values and its requests."""

import re
from collections.abc import Callable

import msgspec

from camphorchute.contracts.batch_job import BatchJob, BatchStep, QueueLimits, check_job_size
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.stored_values import decode_json, is_address
from camphorchute.hosting.platform import HostingPlatform, UnsupportedFeature, register_platform
from camphorchute.hosting.queue_table import Queue, QueueTable
from camphorchute.hosting.worker_client import WorkerClient
from camphorchute.hosting.worker_entry import WorkerEntry
from camphorchute.platform import fleet_messages as messages
from camphorchute.platform.fenced_worker import COMMAND_TIMEOUT_MS, FencedWorker
from camphorchute.platform.kv_store import KvStore
from camphorchute.workers.answer_times import AnswerTimes

__all__ = ["FleetPlatform"]

EVACUATION_PREFIX = "op/evacuate/"
WORKER_ID_PATTERN = re.compile(r"[!-~]{1,200}")  # it is sent in a header
ZONE_NAME_PATTERN = re.compile(r"[a-z0-9-]{1,32}")  # as the settings zone and zones
USABLE_WORKER_STATES = ("ready", "draining")
UNSUPPORTED_STEP_FIELDS = (
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
    """The platform that the users run.

    Args:
        store_address: ``IP:port`` of the platform's store.
        count: adds to a named counter.
    """

    worker_prefix = "servers/"
    operator_prefix = "op/"
    configuration_key = "op/config"
    deadline_header = "Camphorchute-Deadline-Ms"

    def __init__(self, store_address: str, count: Callable[..., None]) -> None:
        self.store = KvStore(store_address)
        self._count = count
        self._answer_times = AnswerTimes(COMMAND_TIMEOUT_MS)

    def decode_worker_entry(self, key: str, value: bytes) -> WorkerEntry | None:
        """Return the worker of a service discovery entry, None if the entry is not usable."""
        worker_id = key.removeprefix(self.worker_prefix)
        try:
            entry = decode_json(value, messages.ServerEntry)
        except ValueError:
            self._count("platform.worker_entry_malformed")
            return None
        if not (WORKER_ID_PATTERN.fullmatch(worker_id) and is_address(entry.address)):
            self._count("platform.worker_entry_malformed")
            return None
        if entry.state not in USABLE_WORKER_STATES:
            self._count("platform.worker_entry_unknown_state")
            return None
        return WorkerEntry(
            worker_id,
            entry.born,
            entry.address,
            entry.service,
            entry.zone,
            Resources(entry.capacity.cpu, entry.capacity.mem_mb, entry.capacity.gpu),
            tuple(entry.labels),
            entry.state == "draining",
        )

    def decode_queues(self, value: bytes) -> QueueTable:
        """Return the queues that a configuration defines.

        Raises:
            ValueError: the configuration is malformed.
        """
        try:
            configuration = decode_json(value, messages.Configuration)
        except ValueError as error:
            raise ValueError(f"malformed configuration: {error}") from error
        queues = [_to_queue(route) for route in configuration.routes]
        services = [service.name for service in configuration.services]
        return QueueTable(configuration.version, queues, services, value)

    def decode_evacuated_zone(self, key: str) -> str | None:
        """Return the zone that a store key evacuates, None for any other or a malformed key."""
        if not key.startswith(EVACUATION_PREFIX):
            return None
        zone = key.removeprefix(EVACUATION_PREFIX)
        if not ZONE_NAME_PATTERN.fullmatch(zone):
            self._count("platform.evacuation_malformed")
            return None
        return zone

    def open_worker_client(self, entry: WorkerEntry) -> WorkerClient:
        """Return a client for a worker, without connecting to the worker yet."""
        return FencedWorker(entry, self._answer_times)

    def decode_job(self, job_id: str, body: bytes) -> BatchJob:
        """Return the job in the body of a caller's request.

        Raises:
            ValueError: the body is malformed.
            UnsupportedFeature: the job uses a feature that the dispatcher does not support.
        """
        try:
            job = msgspec.json.decode(body, type=messages.JobBody)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise ValueError(str(error)) from error
        _check_job(job)
        steps = tuple(_to_step(step) for step in job.steps)
        return BatchJob(job_id, job.spec, steps, not job.best_effort)

    def encode_job_state(self, state: str) -> bytes:
        """Return the response body with the state of a job."""
        return msgspec.json.encode(messages.JobState(state))

    def encode_pending_count(self, pending: int) -> bytes:
        """Return the response body with the number of pending jobs of a queue."""
        return msgspec.json.encode(messages.Pending(pending))


def _to_queue(route: messages.Route) -> Queue:
    limits = QueueLimits(route.priority, route.max_attempts, route.stretch, route.target_latency_ms)
    return Queue(route.name, route.host, route.prefix, route.service, route.timeout_ms, limits)


def _to_step(step: messages.Step) -> BatchStep:
    demand = Resources(step.cpu, step.mem_mb, step.gpu)
    return BatchStep(step.count, demand, step.estimate_ms, tuple(step.after))


def _check_job(job: messages.JobBody) -> None:
    """Check the fields of a job and that it uses supported features only.

    Raises:
        ValueError: a field has an invalid value.
        UnsupportedFeature: the job uses a feature that the dispatcher does not support.
    """
    if not job.steps:
        raise ValueError("the job has no steps, expected at least one")
    check_job_size(job.spec, [step.count for step in job.steps])
    for number, step in enumerate(job.steps):
        if min(step.cpu, step.mem_mb, step.gpu) < 0:
            raise ValueError(
                f"step {number}: negative demand: cpu {step.cpu}, mem-mb {step.mem_mb}, "
                f"gpu {step.gpu}, expected at least 0"
            )
        if any(not 0 <= earlier < number for earlier in step.after):
            raise ValueError(
                f"step {number}: after is {step.after}, expected numbers of earlier steps"
            )
        unsupported = [name for name in UNSUPPORTED_STEP_FIELDS if getattr(step, name)]
        if unsupported:
            raise UnsupportedFeature(f"step {number}: unsupported fields {', '.join(unsupported)}")
    if job.repeat_count:
        raise UnsupportedFeature("scheduled jobs (repeat-count) are not supported")

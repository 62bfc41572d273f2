"""HTTP endpoints of the queues, and the readiness endpoints for the load balancer."""

from collections.abc import Callable

from camphorchute.cluster import ClusterView
from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.batch_job import BatchJob
from camphorchute.durable_jobs import DurableJobState, ShardOwner
from camphorchute.entry.http_server import Request, route
from camphorchute.entry.problem import JSON_TYPE, Response, json_response
from camphorchute.hosting import HostingPlatform, Queue, UnsupportedFeature
from camphorchute.queues import JobOutcome, QueueOwner
from camphorchute.retry_after import spread_retry_after_ms

__all__ = ["QueueEndpoints", "ReadinessEndpoints"]

DEADLINE_DEFAULT_MS = 5000.0
DEADLINE_MAX_MS = 60_000.0
JOB_ID_MAX_CHARS = 64
ACCEPTED_JOB_STATE = "queued"


class QueueEndpoints:
    """Submits, queries and cancels the jobs of queues.

    Args:
        platform: decodes and encodes the bodies of requests and responses.
        view: cluster view with the configured queues.
        owner: runs the jobs whose response is sent at their completion.
        shard_owner: accepts the durable jobs.
        refuse_not_serving: raises a Refusal while this process accepts no jobs.
        count: adds to a named counter.
    """

    def __init__(
        self,
        platform: HostingPlatform,
        view: ClusterView,
        owner: QueueOwner,
        shard_owner: ShardOwner,
        refuse_not_serving: Callable[[], None],
        count: Callable[..., None],
    ) -> None:
        self._platform = platform
        self._view = view
        self._owner = owner
        self._shard_owner = shard_owner
        self._refuse_not_serving = refuse_not_serving
        self._count = count

    @route("POST", "/<rest:path>")
    def submit_job(self, request: Request) -> Response:
        """Accept a durable job, or run any other job and respond at its completion."""
        queue = self._find_queue(request)
        self._refuse_not_serving()
        job_id = _parse_job_id(request, queue)
        self._owner.refuse_over_limit(queue, job_id)
        try:
            job = self._platform.decode_job(job_id, request.body)
        except ValueError as error:
            raise Refusal(ResultCode.MALFORMED_BODY, str(error)) from error
        except UnsupportedFeature as error:
            raise Refusal(ResultCode.NOT_OFFERED, str(error)) from error
        if job.kept:
            self._owner.admission.open_tasks.exempt(queue.name, queue.limits.priority)
            self._shard_owner.submit(job, queue)
            return self._state_response(ACCEPTED_JOB_STATE)
        return self._run_attached(request, job, queue)

    def _run_attached(self, request: Request, job: BatchJob, queue: Queue) -> Response:
        caller_watch = request.watch_caller()
        caller_watch.start()
        try:
            outcome = self._owner.run(
                job, queue, self._parse_deadline_ms(request), caller_watch.disconnected
            )
        finally:
            caller_watch.close()
        if outcome is JobOutcome.LOST:
            raise Refusal(ResultCode.DEADLINE_PASSED, f"job {job.job_id}")
        return self._state_response(outcome.value)

    @route("GET", "/<rest:path>")
    def get_state(self, request: Request) -> Response:
        """Return the state of a durable job, or the number of unstarted jobs of a queue."""
        queue = self._find_queue(request)
        if request.path != queue.prefix:
            state = self._shard_owner.job_state(_parse_job_id(request, queue))
            if not state:
                raise Refusal(ResultCode.ANSWER_EXPIRED, request.path[:100])
            return self._state_response(state)
        unstarted = self._owner.count_unstarted_jobs(
            queue.name
        ) + self._shard_owner.count_unstarted_jobs(queue.name)
        body = self._platform.encode_pending_count(unstarted)
        return Response(200, body, [("Content-Type", JSON_TYPE)])

    @route("DELETE", "/<rest:path>")
    def cancel_job(self, request: Request) -> Response:
        """Cancel a durable job."""
        queue = self._find_queue(request)
        if not self._shard_owner.cancel(_parse_job_id(request, queue)):
            raise Refusal(ResultCode.ANSWER_EXPIRED, request.path[:100])
        return self._state_response(DurableJobState.CANCELLED.value)

    def _state_response(self, state: str) -> Response:
        body = self._platform.encode_job_state(state)
        return Response(200, body, [("Content-Type", JSON_TYPE)])

    def _find_queue(self, request: Request) -> Queue:
        if self._view.queues is None:
            raise Refusal(
                ResultCode.NOT_READY, "no configuration is known yet", spread_retry_after_ms()
            )
        host = request.header("Host").partition(":")[0]
        queue = self._view.queues.find_queue(host, request.path)
        if queue is None:
            raise Refusal(ResultCode.NO_SUCH_PAGE, f"{host} {request.path[:100]}")
        return queue

    def _parse_deadline_ms(self, request: Request) -> float:
        text = request.header(self._platform.deadline_header)
        if not text:
            return DEADLINE_DEFAULT_MS
        try:
            deadline_ms = float(text)
        except ValueError:
            deadline_ms = -1.0
        if not 0 <= deadline_ms <= DEADLINE_MAX_MS:
            raise Refusal(ResultCode.DEADLINE_INVALID, f"{text[:40]!r}")
        return deadline_ms


class ReadinessEndpoints:
    """Reports the readiness and the counters of this process.

    Args:
        is_ready: returns whether this process accepts requests.
        counters: returns the value of every counter by name.
    """

    def __init__(
        self, is_ready: Callable[[], bool], counters: Callable[[], dict[str, int]]
    ) -> None:
        self._is_ready = is_ready
        self._counters = counters

    @route("GET", "/metrics")
    def report_counters(self, request: Request) -> Response:
        """Return the counters as plain text, one per line."""
        lines = [f"{name} {value}\n" for name, value in self._counters().items()]
        return Response(200, "".join(lines).encode(), [("Content-Type", "text/plain")])

    @route("GET", "/ready")
    def report_readiness(self, request: Request) -> Response:
        """Return status 200 if this process is ready, otherwise 503."""
        ready = self._is_ready()
        return json_response({"ready": ready}, 200 if ready else 503)


def _parse_job_id(request: Request, queue: Queue) -> str:
    job_id = request.path[len(queue.prefix) :]
    if not job_id or len(job_id) > JOB_ID_MAX_CHARS or "/" in job_id or "." in job_id:
        raise Refusal(ResultCode.KEY_INVALID, f"job {job_id[:80]!r}")
    return job_id

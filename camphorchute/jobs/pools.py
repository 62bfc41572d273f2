"""Names of the pools of back ends that a service has: its workers and its upstreams."""

from camphorchute.contracts import JobSpec, Refusal, ResultCode

__all__ = ["REQUEST_KIND", "pool_of", "upstream_pool"]

REQUEST_KIND = "request"


def upstream_pool(service: str) -> str:
    """Return the name of the pool of a service's upstreams.

    Examples:
        >>> upstream_pool("flags")
        'flags/requests'
    """
    return f"{service}/requests"


def pool_of(spec: JobSpec) -> str:
    """Return the pool that runs the tasks of a job.

    Raises:
        Refusal: ``MALFORMED_BODY`` where tasks and single requests are mixed.
    """
    requests = sum(1 for task in spec.tasks if task.kind == REQUEST_KIND)
    if requests == 0:
        return spec.service
    if requests < len(spec.tasks):
        raise Refusal(ResultCode.MALFORMED_BODY, f"kind {REQUEST_KIND!r} is for single requests")
    return upstream_pool(spec.service)

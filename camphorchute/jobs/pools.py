"""Names of the pools of back ends of a service: its workers and its upstreams."""

from camphorchute.contracts import JobSpec, Refusal, ResultCode

__all__ = ["REQUEST_KIND", "pool_for_job", "upstream_pool"]

REQUEST_KIND = "request"


def upstream_pool(service: str) -> str:
    """Return the name of the pool of a service's upstreams.

    Args:
        service: name of the service.

    Examples:
        >>> upstream_pool("flags")
        'flags/requests'
    """
    return f"{service}/requests"


def pool_for_job(spec: JobSpec) -> str:
    """Return the name of the pool that runs the tasks of a job.

    Args:
        spec: the body of the job.

    Raises:
        Refusal: ``MALFORMED_BODY`` if the job mixes tasks and single requests.
    """
    requests = sum(1 for task in spec.tasks if task.kind == REQUEST_KIND)
    if requests == 0:
        return spec.service
    if requests < len(spec.tasks):
        raise Refusal(
            ResultCode.MALFORMED_BODY,
            f"{requests} of {len(spec.tasks)} tasks have kind {REQUEST_KIND!r}, which is for "
            "single requests; expected all or none",
        )
    return upstream_pool(spec.service)

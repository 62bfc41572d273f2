import pytest

from camphorchute.contracts import JobSpec, Refusal, ResultCode, TaskSpec
from camphorchute.jobs.admission import Admission
from camphorchute.services.definition import Limits, ServiceDefinition, Upstream, Worker

SMALL = Worker("w", "127.0.2.1:9000", "north", slots=2, cpus=4.0, memory_mb=1000.0)
OTHER_ZONE = Worker("w", "127.0.2.1:9000", "south")
DRAINING = Worker("w", "127.0.2.1:9000", "north", draining=True)
UPSTREAM = Upstream("u", "127.0.2.1:9000", "north")
DRAINING_UPSTREAM = Upstream("u", "127.0.2.1:9000", "north", draining=True)
LIMITS = Limits(queue_max_ms=1000.0, queue_max_tasks=10)
REQUEST = [TaskSpec(kind="request")]


def define(*back_ends):
    return ServiceDefinition(
        name="flags",
        workers=[b for b in back_ends if isinstance(b, Worker)],
        upstreams=[b for b in back_ends if isinstance(b, Upstream)],
        limits=LIMITS,
        quotas={"clubs": 5},
    )


TASK = [TaskSpec(run_time_ms=100.0)]


@pytest.mark.parametrize(
    "definition, tasks, pending, open_tasks, remaining_ms, code",
    [
        (define(SMALL), TASK, 0, 0, 1000.0, None),
        (None, TASK, 0, 0, 1000.0, ResultCode.UNKNOWN_SERVICE),
        (define(), TASK, 0, 0, 1000.0, ResultCode.NO_WORKER),
        (define(OTHER_ZONE, DRAINING), TASK, 0, 0, 1000.0, ResultCode.NO_WORKER),
        (define(SMALL), [TaskSpec(cpus=5.0)], 0, 0, 1000.0, ResultCode.FITS_NO_WORKER),
        (define(SMALL), [TaskSpec(memory_mb=1001.0)], 0, 0, 1000.0, ResultCode.FITS_NO_WORKER),
        (define(SMALL), [TaskSpec(accelerators=1.0)], 0, 0, 1000.0, ResultCode.FITS_NO_WORKER),
        (define(SMALL), TASK, 0, 4, 1000.0, None),
        (define(SMALL), TASK, 0, 5, 1000.0, ResultCode.TEAM_OVER_QUOTA),
        (define(SMALL), TASK, 9, 0, 1000.0, None),
        (define(SMALL), TASK, 10, 0, 1000.0, ResultCode.OVERLOADED),
        (define(SMALL), [TaskSpec(run_time_ms=400.0)], 6, 0, 9000.0, ResultCode.OVERLOADED),
        (define(SMALL), TASK, 0, 0, 99.0, ResultCode.DEADLINE_UNREACHABLE),
        (define(SMALL), TASK, 8, 0, 450.0, ResultCode.DEADLINE_UNREACHABLE),
        (define(UPSTREAM), REQUEST, 0, 0, 1000.0, None),
        (define(SMALL, DRAINING_UPSTREAM), REQUEST, 0, 0, 1000.0, ResultCode.NO_WORKER),
        (define(SMALL, UPSTREAM), REQUEST + TASK, 0, 0, 1000.0, ResultCode.MALFORMED_BODY),
    ],
)
def test_admission_refuses_jobs_that_cannot_be_done(
    definition, tasks, pending, open_tasks, remaining_ms, code
):
    admission = Admission(
        lambda name: definition, lambda name: pending, lambda name, team: open_tasks, "north"
    )
    spec = JobSpec(service="flags", tasks=tasks, team="clubs")
    if code is None:
        admission.check_job(spec, remaining_ms)
        return
    with pytest.raises(Refusal) as raised:
        admission.check_job(spec, remaining_ms)
    assert raised.value.code is code
    assert (raised.value.retry_after_ms > 0) is (200 < code < 300)


def test_admission_without_configuration_is_not_ready():
    admission = Admission(
        lambda name: None, lambda name: 0, lambda *args: 0, "north", lambda: False
    )
    with pytest.raises(Refusal) as raised:
        admission.check_job(JobSpec(service="flags", tasks=TASK), 1000.0)
    assert raised.value.code is ResultCode.NOT_READY

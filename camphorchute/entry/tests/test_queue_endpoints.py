"""Submission to a queue while the open tasks of the process are at their limit."""

import pytest

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.batch_job import QueueLimits
from camphorchute.entry.http_server import Request
from camphorchute.entry.queue_endpoints import QueueEndpoints
from camphorchute.hosting import Queue
from camphorchute.hosting.queue_table import QueueTable
from camphorchute.policies.concurrency_limit import adapt_to_delay
from camphorchute.queues import FreeCapacityView, QueueOwner

QUEUE = Queue("urgent", "a.example", "/urgent/", "s", 1550.0, QueueLimits(0, 3, 1.6, 62.0))


class FakeView:
    queues = QueueTable(1, [QUEUE], ("s",))


class FakePlatform:
    deadline_header = "Deadline"
    decoded = 0

    def decode_job(self, job_id, body):
        self.decoded += 1
        raise ValueError("not JSON")


@pytest.mark.parametrize(
    ("limit", "code", "decoded"),
    [(10.0, ResultCode.OVERLOADED, 0), (1000.0, ResultCode.MALFORMED_BODY, 1)],
)
def test_job_above_the_limit_is_refused_before_its_body_is_decoded(limit, code, decoded):
    """A refusal that costs as much as a job leaves no time for the jobs that are accepted."""
    counted = []
    owner = QueueOwner(
        FreeCapacityView(),
        lambda group: None,
        None,
        counted.append,
        concurrency_limit=adapt_to_delay,
    )
    open_tasks = owner.admission.open_tasks
    open_tasks.add_job("urgent", 0, 50, 0.0)
    open_tasks.limit = limit
    platform = FakePlatform()
    endpoints = QueueEndpoints(platform, FakeView(), owner, None, lambda: None, counted.append)
    environ = {"REQUEST_METHOD": "POST", "PATH_INFO": "/urgent/job1", "HTTP_HOST": "a.example"}
    with pytest.raises(Refusal) as raised:
        endpoints.submit_job(Request(environ, b"{"))
    assert raised.value.code is code
    assert platform.decoded == decoded

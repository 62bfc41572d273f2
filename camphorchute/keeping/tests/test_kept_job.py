import pytest
from hypothesis import given
from hypothesis import strategies as st

from camphorchute.contracts.batch_job import BatchJob, BatchStep, QueueLimits
from camphorchute.contracts.resources import Resources
from camphorchute.hosting import Queue
from camphorchute.keeping import JOB_PREFIX, KeptJob, KeptState, job_key

JOB = BatchJob("j1", "text", (BatchStep(3, Resources(100), 5.0),), True)
QUEUE = Queue("checks", "a.example", "/", "flags", 5000.0, QueueLimits(1, 3, 2.0, 60.0))


def test_record_comes_back_as_it_was_stored():
    record = KeptJob.of(JOB, QUEUE)
    record.done[0].append(2)
    record.failed_runs["0.1"] = ["w1:1"]
    again = KeptJob.decode(record.encode())
    assert again == record
    assert again.job.steps[0].demand == Resources(100)
    assert again.as_queue().limits == QUEUE.limits


@pytest.mark.parametrize("state", [KeptState.DONE, KeptState.FAILED, KeptState.CANCELLED])
def test_record_of_an_ended_job_is_small(state):
    ended = KeptJob.decode(KeptJob.of(JOB, QUEUE).ended(state).encode())
    assert ended.state is state
    assert ended.job is None


def test_keys_of_a_shard_lie_together():
    keys = [job_key(f"{number:016x}") for number in range(200)]
    assert all(key.startswith(JOB_PREFIX) for key in keys)
    assert len({key.split("/")[1] for key in keys}) == 32


@given(value=st.binary(max_size=100))
def test_bytes_that_are_no_record_are_refused(value):
    with pytest.raises(ValueError, match="kept job"):
        KeptJob.decode(value)

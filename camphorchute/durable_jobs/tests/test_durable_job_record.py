import pytest
from hypothesis import given
from hypothesis import strategies as st

from camphorchute.contracts.batch_job import BatchJob, BatchStep, QueueLimits
from camphorchute.contracts.resources import Resources
from camphorchute.durable_jobs import JOB_KEY_PREFIX, DurableJobRecord, DurableJobState, job_key
from camphorchute.hosting import Queue

JOB = BatchJob("j1", "text", (BatchStep(3, Resources(100), 5.0),), True)
QUEUE = Queue("checks", "a.example", "/", "flags", 5000.0, QueueLimits(1, 3, 2.0, 60.0))


def test_decoded_record_equals_the_encoded_one():
    record = DurableJobRecord.for_new_job(JOB, QUEUE)
    record.done[0].append(2)
    record.failed_runs["0.1"] = ["w1:1"]
    decoded = DurableJobRecord.decode(record.encode())
    assert decoded == record
    assert decoded.job.steps[0].demand == Resources(100)
    assert decoded.as_queue().limits == QUEUE.limits


@pytest.mark.parametrize(
    "state", [DurableJobState.DONE, DurableJobState.FAILED, DurableJobState.CANCELLED]
)
def test_record_of_an_ended_job_omits_the_job(state):
    ended = DurableJobRecord.decode(
        DurableJobRecord.for_new_job(JOB, QUEUE).ended_record(state).encode()
    )
    assert ended.state is state
    assert ended.job is None


def test_job_keys_are_grouped_by_shard():
    keys = [job_key(f"{number:016x}") for number in range(200)]
    assert all(key.startswith(JOB_KEY_PREFIX) for key in keys)
    assert len({key.split("/")[1] for key in keys}) == 32


@given(value=st.binary(max_size=100))
def test_malformed_bytes_raise_value_error(value):
    with pytest.raises(ValueError, match="malformed durable job record"):
        DurableJobRecord.decode(value)

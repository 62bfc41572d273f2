import gevent
import pytest
from gevent.event import Event

from camphorchute.durable_jobs import job_key
from camphorchute.durable_jobs.durability_checks import CONCURRENT_READS_MAX, DurabilityChecks
from camphorchute.durable_jobs.tests.fakes import FakeStore
from camphorchute.runs.tests.scheduler_site import wait_until


class SlowStore(FakeStore):
    """A store that counts its reads, and how many are made at a time; it answers when it may."""

    def __init__(self):
        super().__init__()
        self.reads, self.present, self.most = 0, 0, 0
        self.may_answer = Event()

    def get(self, key):
        self.reads, self.present = self.reads + 1, self.present + 1
        self.most = max(self.most, self.present)
        self.may_answer.wait()
        gevent.sleep(0.01)
        self.present -= 1
        return super().get(key)


def check_all(store, job_ids):
    counts = {}
    checks = DurabilityChecks(store, lambda name: counts.setdefault(name, 1))
    begun = []

    def check(job_id):
        begun.append(job_id)
        return checks.is_durable(job_id)

    greenlets = [gevent.spawn(check, job_id) for job_id in job_ids]
    assert wait_until(lambda: len(begun) == len(job_ids))
    store.may_answer.set()
    gevent.joinall(greenlets, timeout=3.0)
    return [greenlet.value for greenlet in greenlets], counts


# A takeover of a group made one read of the store for each completion, all at the same time.
def test_completions_of_one_job_need_one_read_and_few_are_made_at_a_time():
    store = SlowStore()
    store.put(job_key("job3"), b"{}")
    job_ids = [f"job{number % 20}" for number in range(400)]
    answers, _ = check_all(store, job_ids)
    assert answers == [job_id == "job3" for job_id in job_ids]
    assert (store.reads, store.most) == (20, CONCURRENT_READS_MAX)


@pytest.mark.parametrize("reads_fail", [True, False])
def test_job_counts_as_durable_while_the_store_is_unavailable(reads_fail):
    store = SlowStore()
    store.reads_fail = reads_fail
    answers, counts = check_all(store, ["job"] * 3)
    assert answers == [reads_fail] * 3
    assert ("keeping.retry.is_kept" in counts) is reads_fail

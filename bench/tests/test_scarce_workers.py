"""Jobs that only one of many workers can run, on real entry processes."""

import time
from base64 import b64decode

import msgspec
import pytest
from xxhash import xxh64_hexdigest

from bench.durable_calls import call_entry, job_state, runs_of_job, wait_until
from bench.hosted_fleet import HostedFleet
from bench.standins.fleet_site import durable_job_body, job_body
from camphorchute.cluster import GroupFollowers
from camphorchute.cluster.cluster_view import CLAIM_PREFIX, MEMBER_PREFIX
from camphorchute.contracts.member import Member
from camphorchute.runs import group_count, group_of

BASE = 51
ZONES = ["north", "east", "south"]
FIRST_PER_ZONE, ADDED_PER_ZONE = 20, 5
WORKERS_PER_ZONE = FIRST_PER_ZONE + ADDED_PER_ZONE
ENTRIES_PER_ZONE = 3
SETTLED_TIMEOUT_S = 10.0
ENTRY_READ_S = 2.0
DONE_TIMEOUT_S = 15.0
STEP = {"count": 1, "cpu": 14_000, "mem-mb": 64, "estimate-ms": 40}
ON_GPU = STEP | {"gpu": 1}
IN_LARGE_MEMORY = STEP | {"mem-mb": 100_000}
DURABLE = durable_job_body(1)
BEST_EFFORT = job_body(1)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """Return a fleet with twelve worker groups, of which each process follows eight.

    Some processes receive no report of the only worker that the jobs can run on.
    """
    fleet = HostedFleet(ZONES, FIRST_PER_ZONE, tmp_path_factory.mktemp("scarce"), BASE)
    try:
        make_worker_scarce(fleet)
        yield fleet
    finally:
        fleet.close()


def make_worker_scarce(fleet):
    """Start the processes, then give one worker that some of them do not know more than others."""
    for zone in ZONES:
        for number in range(ENTRIES_PER_ZONE):
            fleet.add_entry(zone, number + 1)
    fleet.wait_ready()
    for zone in ZONES:  # so that the groups get schedulers one after the other, not all the same
        fleet.site.add_workers(zone, ADDED_PER_ZONE)
    assert wait_until(lambda: partly_unknown_groups(fleet), SETTLED_TIMEOUT_S)
    group = partly_unknown_groups(fleet)[0]
    worker = next(worker for worker in fleet.site.workers if group_of_worker(worker) == group)
    worker.gpus, worker.memory_mb = 2, 200_000
    worker.register("ready")
    time.sleep(ENTRY_READ_S)


def partly_unknown_groups(fleet):
    """Return the groups of whose schedulers some members receive no report, once all have one."""
    values = {key: b64decode(item["value"]) for key, item in fleet.site.store.items.items()}
    members = [
        msgspec.json.decode(value, type=Member)
        for key, value in values.items()
        if key.startswith(MEMBER_PREFIX)
    ]
    groups_by_holder = {}
    for key, value in values.items():
        if key.startswith(CLAIM_PREFIX):
            groups_by_holder.setdefault(value, []).append(key.removeprefix(CLAIM_PREFIX))
    names = [group for groups in groups_by_holder.values() for group in groups]
    if len(names) < len(ZONES) * group_count(WORKERS_PER_ZONE):
        return []
    followers = GroupFollowers(members, names)
    unknown = []
    for groups in groups_by_holder.values():
        receivers = {m.member_id for group in groups for m in followers.followers_of(group)}
        if len(receivers) < len(members):
            unknown += groups
    return unknown


def group_of_worker(worker):
    """Return the name of the group of a worker."""
    return group_of(worker.zone, "flags", worker.worker_id, group_count(WORKERS_PER_ZONE))


# Jobs were refused with no_worker, or accepted and never started, by processes that followed other
# groups than the only one with a worker for them (case 3 of the review).
@pytest.mark.parametrize(
    ("body", "steps"),
    [
        (DURABLE, [ON_GPU]),
        (DURABLE, [IN_LARGE_MEMORY]),
        (DURABLE, [STEP, ON_GPU | {"after": [0]}]),
        (BEST_EFFORT, [ON_GPU]),
        (BEST_EFFORT, [STEP, IN_LARGE_MEMORY | {"after": [0]}]),
    ],
    ids=["gpu", "memory", "later step", "best-effort", "best-effort, later step"],
)
def test_job_reaches_the_only_worker_that_can_run_it(fleet, request, body, steps):
    jobs = {xxh64_hexdigest(f"{request.node.name} {e.host}".encode()): e for e in fleet.entries}
    answers = [
        call_entry(entry, "POST", job, body | {"steps": steps}) for job, entry in jobs.items()
    ]
    assert [status for status, _ in answers] == [200] * len(jobs), answers
    if "best-effort" not in body:
        assert wait_until(
            lambda: all(job_state(entry, job) == "done" for job, entry in jobs.items()),
            DONE_TIMEOUT_S,
        )
    for job in jobs:
        assert [run.outcome for run in runs_of_job(fleet, job)] == ["done"] * len(steps)

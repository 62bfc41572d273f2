"""Calls of entry processes about durable jobs, for tests and seeded runs."""

import time
from collections.abc import Callable, Iterable
from http.client import HTTPException

from bench.fleet import call
from bench.hosted_fleet import HostedEntry, HostedFleet
from bench.standins.fleet_site import QUEUE_HOST, QUEUE_PATH_PREFIX, durable_job_body
from bench.standins.run_record import RunRecord

__all__ = ["all_done", "call_entry", "job_state", "runs_of_job", "submit", "wait_until"]


def wait_until(condition: Callable[[], object], timeout_s: float) -> bool:
    """Return whether a condition became true within a timeout in seconds."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            return False
        time.sleep(0.05)
    return True


def call_entry(
    entry: HostedEntry, method: str, job_id: str, body: dict | None = None
) -> tuple[int, object]:
    """Return status and body of a call, or 0 and the error if there is no answer."""
    try:
        return call(
            entry.http_address, method, QUEUE_PATH_PREFIX + job_id, body, {"Host": QUEUE_HOST}
        )
    except (OSError, HTTPException) as error:
        return 0, repr(error)


def submit(entry: HostedEntry, job_id: str, *tasks: int, **fields: object) -> int:
    """Submit a durable job and return the status."""
    return call_entry(entry, "POST", job_id, durable_job_body(*tasks, **fields))[0]


def job_state(entry: HostedEntry, job_id: str) -> str | int:
    """Return the state of a job, or the HTTP status if that is not 200."""
    status, body = call_entry(entry, "GET", job_id)
    return body["state"] if status == 200 else status


def all_done(
    fleet: HostedFleet, jobs: Iterable[str], entries: list[HostedEntry] | None = None
) -> bool:
    """Whether every one of the entry processes, by default all, reports all jobs as done."""
    queried = entries or fleet.entries
    return all(job_state(entry, job) == "done" for entry in queried for job in jobs)


def runs_of_job(fleet: HostedFleet, job: str) -> list[RunRecord]:
    """Return the runs of the tasks of a job that the workers recorded."""
    return [r for w in fleet.site.workers for r in w.runs if r.task.startswith(f"{job}.")]

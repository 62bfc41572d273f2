"""Submits durable jobs to entry processes and asks for their states, for tests."""

import time
from http.client import HTTPException

from bench.fleet import call
from bench.standins.fleet_site import QUEUE_HOST, QUEUE_PATH_PREFIX, durable_job_body

__all__ = ["all_done", "call_entry", "job_state", "runs_of_job", "submit", "wait_until"]


def wait_until(condition, timeout_s):
    """Return whether the condition became true within the timeout."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            return False
        time.sleep(0.05)
    return True


def call_entry(entry, method, job_id, body=None):
    """Return status and body of a call, or 0 and the error if there is no answer."""
    try:
        return call(
            entry.http_address, method, QUEUE_PATH_PREFIX + job_id, body, {"Host": QUEUE_HOST}
        )
    except (OSError, HTTPException) as error:
        return 0, repr(error)


def submit(entry, job_id, *tasks, **fields):
    """Submit a durable job and return the status."""
    return call_entry(entry, "POST", job_id, durable_job_body(*tasks, **fields))[0]


def job_state(entry, job_id):
    """Return the state of a job, or the HTTP status if that is not 200."""
    status, body = call_entry(entry, "GET", job_id)
    return body["state"] if status == 200 else status


def all_done(fleet, jobs, entries=None):
    """Whether every one of the entry processes, by default all, reports all jobs as done."""
    queried = entries or fleet.entries
    return all(job_state(entry, job) == "done" for entry in queried for job in jobs)


def runs_of_job(fleet, job):
    """Return the runs of the tasks of a job that the workers recorded."""
    return [r for w in fleet.site.workers for r in w.runs if r.task.startswith(f"{job}.")]

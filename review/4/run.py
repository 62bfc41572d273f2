"""A job is cancelled after the process that owned it was killed; its tasks run on."""

import sys
import time
from pathlib import Path

import gevent

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support import PREFIX, CannotRun, Case, run_case, step  # noqa: E402

JOB = "5c0e7a21d94b36f8"
RUN_MS = 60_000
TASKS = 3
RESTART_AFTER_S = 1.0
CANCEL_AFTER_S = 1.5
CONTACT_MS, CANCEL_MS, STOP_MS = 3000, 3000, 50
MARGIN_S = 2.0


def play(case: Case) -> bool:
    """Return whether tasks of the cancelled job run on."""
    for worker in case.workers:
        worker.run_ms_by_payload["long"] = RUN_MS
    first = case.entries[0]
    case.submit(first, JOB, step(TASKS, RUN_MS), spec="long")
    case.wait_until("all tasks run", lambda: len(case.active_runs(JOB)) == TASKS, 15.0)
    gevent.sleep(4.0)
    victim = case.owner_of(JOB)
    client_entry = next(entry for entry in case.entries if entry is not victim)
    calm_from_s = time.monotonic()
    if case.trouble:
        case.kill(victim)
        gevent.sleep(RESTART_AFTER_S)
        case.start_entry(victim)
        calm_from_s = time.monotonic()
        gevent.sleep(CANCEL_AFTER_S - RESTART_AFTER_S)
    cancelled_s = cancel(case, client_entry)
    calm_from_s = max(calm_from_s + CONTACT_MS / 1000, cancelled_s)
    due_s = calm_from_s + (CANCEL_MS + STOP_MS) / 1000 + MARGIN_S
    gevent.sleep(max(0.0, due_s - time.monotonic()))
    case.log("CHECK: contact-ms after the restart, then cancel_ms + stop-ms, then 2 s have passed")
    active = case.active_runs(JOB)
    for run in active:
        case.log(f"BROKEN: {run.task} run {run.run} is active on {run.worker_id}")
    case.state(client_entry, JOB)
    gevent.sleep(10.0)
    for run in case.active_runs(JOB):
        case.log(f"10 s later: {run.task} run {run.run} is still active on {run.worker_id}")
    return bool(active)


def cancel(case: Case, entry: object) -> float:
    """Cancel the job until that is acknowledged; return the time of the answer."""
    for _ in range(10):
        if case.call(entry, "DELETE", PREFIX + JOB)[0] == 200:
            return time.monotonic()
        gevent.sleep(0.5)
    raise CannotRun("the cancelling is not acknowledged")


run_case(FOLDER, play, zones=3, workers=1, slots=2, base=73)

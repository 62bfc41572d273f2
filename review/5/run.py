"""A task that lost one worker waits for room; after restarts of the processes its job is failed."""

import sys
import time
from pathlib import Path

import gevent

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support import Case, run_case, step  # noqa: E402

JOB = "5c0e7a21d94b36f8"
OTHER_JOB = "0b1c2d3e4f506172"
RUN_MS = 100_000
ROUNDS = 2
GAP_S = 1.3
LIMIT_S = 100.0


def play(case: Case) -> bool:
    """Return whether the job is shown as failed though no run of it has failed."""
    for worker in case.workers:
        worker.run_ms_by_payload["long"] = RUN_MS
    first = case.entries[0]
    case.submit(first, JOB, step(1, RUN_MS), spec="long")
    case.wait_until("the task runs", lambda: case.active_runs(JOB), 15.0)
    others = len(case.workers) - 1
    case.submit(first, OTHER_JOB, step(others, RUN_MS), spec="long")
    case.wait_until("the others run", lambda: len(case.active_runs(OTHER_JOB)) == others, 15.0)
    gevent.sleep(2.0)
    if case.trouble:
        run = case.active_runs(JOB)[0]
        worker = next(w for w in case.workers if w.worker_id == run.worker_id)
        case.log(f"CRASH of {worker.worker_id}, which is lost for good")
        worker.close()
        run.ended_s, run.outcome = time.monotonic(), "crashed"
    gevent.sleep(10.0)
    for _ in range(ROUNDS):
        pending = list(case.entries)
        while pending:
            if is_failed(case, first):
                return True
            if time.monotonic() - case.started_s > LIMIT_S - 12.0:
                return False
            entry = case.owner_of(JOB)
            entry = entry if entry in pending else pending[0]
            pending.remove(entry)
            case.stop_gracefully(entry)
            gevent.sleep(0.5)
            case.start_entry(entry)
            case.wait_until("the process is ready", lambda e=entry: case.is_ready(e), 15.0)
            gevent.sleep(GAP_S)
    gevent.sleep(5.0)
    return is_failed(case, first)


def is_failed(case: Case, entry: object) -> bool:
    """Return whether the job is shown as failed without a failed run of it."""
    failed_runs = [run for run in case.runs_of(JOB) if run.outcome == "failed"]
    lost_runs = [run for run in case.runs_of(JOB) if run.outcome == "crashed"]
    state = case.state(entry, JOB)
    case.log(f"job {JOB}: {state}, {len(failed_runs)} runs failed, {len(lost_runs)} crashed")
    is_broken = state == "failed" and not failed_runs and len(lost_runs) < 2
    if is_broken:
        case.log(f"BROKEN: {JOB} is shown as failed without cause")
    return is_broken


run_case(FOLDER, play, zones=3, workers=3, slots=1, base=75)

"""Workers are added; jobs that only one worker can run are accepted and never start."""

import sys
import time
from pathlib import Path

import gevent

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support import PREFIX, CannotRun, Case, run_case, step  # noqa: E402

WORKERS, ADDED = 20, 5  # in each zone
JOBS = 36
RUN_MS = 500
FINISH_S = 14.0
IDLE_S = 3.0


def play(case: Case) -> bool:
    """Return whether an accepted job has nothing running though its turn has come."""
    for worker in case.workers:
        worker.run_ms_by_payload["short"] = RUN_MS
    if case.trouble:
        for zone in case.zones:
            for worker in case.add_workers(zone, ADDED):
                worker.run_ms_by_payload["short"] = RUN_MS
                case.start_worker(worker)
        case.log(f"ADDED {ADDED} workers to each zone")
    gevent.sleep(10.0)
    accepted = []
    for number in range(JOBS):
        entry = case.entries[number % len(case.entries)]
        job = f"{0x5C0E7A2100000000 + 7919 * number:016x}"
        body = {"spec": "short", "steps": [step(1, RUN_MS, gpu=1)]}
        status, _ = case.call(entry, "POST", PREFIX + job, body)
        if status == 200:
            accepted.append(job)
        gevent.sleep(0.4)
    case.log(f"END of the traffic: {len(accepted)} of {JOBS} jobs are accepted")
    if not accepted:
        raise CannotRun("no job is accepted")
    due_s = time.monotonic() + FINISH_S + IDLE_S
    while time.monotonic() < due_s and not all(is_done(case, job) for job in accepted):
        gevent.sleep(0.1)
    stuck = [job for job in accepted if not case.runs_of(job)]
    for job in stuck:
        states = {case.state(entry, job) for entry in case.entries}
        case.log(f"BROKEN: {job} has not been started and is {states}; every worker is idle")
    return bool(stuck)


def is_done(case: Case, job: str) -> bool:
    """Whether the task of a job has ended done."""
    return any(run.outcome == "done" for run in case.runs_of(job))


run_case(FOLDER, play, zones=3, workers=WORKERS, slots=2, entries=3, gpu_workers=1, base=72)

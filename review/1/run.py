"""An entry of a service that no configuration names keeps accepted jobs from ever running."""

import json
import sys
import time
from pathlib import Path

import gevent

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support import Case, run_case, step  # noqa: E402

JOBS = ["5c0e7a21d94b36f8", "0b1c2d3e4f506172", "99aabbccddeeff00"]
RUN_MS = 2_000
FINISH_S = 14.0
IDLE_S = 3.0


def play(case: Case) -> bool:
    """Return whether an accepted job has nothing running though its turn has come."""
    for worker in case.workers:
        worker.run_ms_by_payload["long"] = RUN_MS
    if case.trouble:
        case.greenlets.append(gevent.spawn(keep_foreign_entry, case))
    gevent.sleep(5.0)
    for entry, job in zip(case.entries, JOBS, strict=True):
        case.submit(entry, job, step(2, RUN_MS), spec="long")
    case.log("END of the traffic")
    due_s = time.monotonic() + FINISH_S + IDLE_S
    while time.monotonic() < due_s and not all(is_done(case, job) for job in JOBS):
        gevent.sleep(0.1)
    states = [case.state(entry, job) for entry in case.entries for job in JOBS]
    idle = [job for job in JOBS if not case.runs_of(job)]
    for job in idle:
        case.log(f"BROKEN: no task of {job} has been started; every worker is idle")
    return bool(idle) or any(state != "done" for state in states)


def is_done(case: Case, job: str) -> bool:
    """Whether both tasks of a job have ended done some time ago, so that its state shows it."""
    ends_s = [run.ended_s for run in case.runs_of(job) if run.outcome == "done"]
    return len(ends_s) == 2 and time.monotonic() - max(ends_s) > 2.0


def keep_foreign_entry(case: Case) -> None:
    """Write the entry of another writer, for a service that no configuration names."""
    seq, born = 0, round(time.time() * 1000)
    case.log("ENTRY of another writer: servers/mail-1, service mailer")
    while True:
        seq += 1
        entry = {
            "service": "mailer",
            "address": f"127.{case.base}.9.9:2525",
            "zone": case.zones[0],
            "version": "v1",
            "slots": 2,
            "state": "ready",
            "capacity": {"cpu": 4000, "mem-mb": 4096, "gpu": 0},
            "labels": ["m", "r9-9"],
            "born": born,
            "seq": seq,
        }
        case.store.put("servers/mail-1", json.dumps(entry).encode())
        gevent.sleep(1.5)


run_case(FOLDER, play, zones=3, workers=2, slots=2, base=71)

"""A hand-in is rejected as the answer of the store is lost; the job is stored and runs."""

import random
import sys
import time
from pathlib import Path

import gevent

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support import PREFIX, Case, run_case, step  # noqa: E402

JOBS = 60
RUN_MS = 200
LATE_SHARE, LATE_S = 0.35, 4.5
REJECTIONS = (429, 503)
REPEAT_AFTER_S = 1.3
ATTEMPTS_MAX = 4


def play(case: Case) -> bool:
    """Return whether a task of a job has started of which every hand-in was rejected."""
    for worker in case.workers:
        worker.run_ms_by_payload["short"] = RUN_MS
    gevent.sleep(3.0)
    if case.trouble:
        case.log(f"LOST: {LATE_SHARE:.0%} of the writes get no answer and are done 1 to 6 s later")
        case.store.lose_writes(LATE_SHARE, random.Random(39))
    answers: dict[str, list[int]] = {}
    clients = []
    for number in range(JOBS):
        job = f"{0x5C0E7A2100000000 + 7919 * number:016x}"
        answers[job] = []
        clients.append(gevent.spawn(hand_in, case, number, job, answers[job]))
        gevent.sleep(LATE_S / JOBS)
    case.store.lose_writes(0.0)
    case.log("END of the lost answers")
    gevent.joinall(clients, raise_error=True)
    ended_s = time.monotonic()
    gevent.sleep(max(0.0, ended_s + 15.0 - time.monotonic()))
    rejected = [job for job, row in answers.items() if all(a in REJECTIONS for a in row)]
    case.log(f"CHECK: of {JOBS} jobs, every hand-in of {len(rejected)} was rejected")
    broken = [job for job in rejected if case.runs_of(job)]
    for job in broken:
        case.log(f"BROKEN: {job} was rejected ({answers[job]}) and has run")
        case.state(case.entries[0], job)
    return bool(broken)


def hand_in(case: Case, number: int, job: str, answers: list[int]) -> None:
    """Hand a job in; again with the same id after no answer, 502 or 504, as clients do."""
    for attempt in range(ATTEMPTS_MAX):
        entry = case.entries[(number + attempt) % len(case.entries)]
        body = {"spec": "short", "steps": [step(1, RUN_MS)]}
        status, _ = case.call(entry, "POST", PREFIX + job, body)
        answers.append(status)
        if status == 200 or status in REJECTIONS:
            return
        gevent.sleep(REPEAT_AFTER_S)


run_case(FOLDER, play, zones=3, workers=3, slots=2, base=76)

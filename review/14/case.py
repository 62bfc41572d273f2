"""The number of pending jobs is too low for seconds after one entry process was killed."""

import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from site3 import TROUBLE, Site, gevent, job_body, main  # noqa: E402

from camphorchute.runs import shard_of  # noqa: E402

ZONES = {"east": (1, 1), "north": (1, 1), "west": (1, 1)}
SLOTS = 2
RUN_MS = 40_000.0
WAITING_JOBS = 6
VISIBLE_S = 3.0
CONTACT_S = 3.0
OLD_S = VISIBLE_S + 2.0
DOWN_S = 0.5
WATCH_S = 12.0


def play(site: Site) -> bool:
    for worker in site.workers:
        worker.run_ms_by_payload["long"] = RUN_MS
    workers_slots = SLOTS * len(site.workers)
    for number in range(workers_slots):  # one at a time, until every worker is full
        site.call(site.entries[0], "POST", f"b{number:015x}", job_body([1], RUN_MS, spec="long"))
        gevent.sleep(1.0)
    candidates = [f"c{number:015x}" for number in range(2000)]
    jobs = [job for job in candidates if shard_of(job) == shard_of(candidates[0])][:WAITING_JOBS]
    for number, job in enumerate(jobs):
        entry = site.entries[number % len(site.entries)]
        status, _ = site.call(entry, "POST", job, job_body([1], RUN_MS, spec="long"))
        if status != 200:
            raise RuntimeError(f"job {job} was answered {status}")
        gevent.sleep(0.1)
    gevent.sleep(OLD_S + 1.0)
    owned: dict[str, list[str]] = {}
    for job in jobs:
        owner = site.shard_owner(job)
        owned.setdefault("?" if owner is None else owner.name, []).append(job)
    site.note(f"shard owners of the waiting jobs: {owned}")
    for entry in site.entries:
        site.call(entry, "GET", "")
    begun = [job for job in jobs if site.runs_of(job)]
    site.note(f"waiting jobs that have begun: {begun}")
    victim = max(site.entries, key=lambda entry: len(owned.get(entry.name, [])))
    if TROUBLE:
        victim.signal(signal.SIGKILL)
        victim.process.wait()
        gevent.spawn_later(DOWN_S, victim.start)
    calm = [entry for entry in site.entries if entry is not victim]
    is_broken = False
    for _ in range(int(WATCH_S / 0.25)):
        gevent.sleep(0.25)
        for entry in calm:
            waiting = [job for job in jobs if not site.runs_of(job)]
            status, body = site.call(entry, "GET", "", quiet=True)
            still_waiting = [job for job in jobs if not site.runs_of(job)]
            text = f"GET {entry.name}: {status} {body}, jobs that wait: {len(still_waiting)}"
            if status == 200 and 2 * body["pending"] < min(len(waiting), len(still_waiting)):
                is_broken = True
                text = "BROKEN: " + text
            site.note(text)
    return is_broken


main(str(Path(__file__).resolve().parent), ZONES, play, slots=SLOTS)

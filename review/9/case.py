"""Jobs are cancelled while the store turns away the process that looks after them."""

import gevent
from lab import CANCEL_S, CONTACT_S, Lab, SERVICE, STOP_S, run_case, step

SHORT_S, LONG_S = 4.0, 16.0
REJECT_AFTER_S = 3.5
REJECT_S = 1.6
CANCEL_AFTER_S = 1.1
MARGIN_S = 0.4
JOBS = 12


def play(lab: Lab) -> bool:
    """Return whether a task of a cancelled job still runs after a calm stretch."""
    for zone in lab.zones:
        lab.add_worker(zone, f"{SERVICE}-{zone}", 10)
    lab.set_run_s("pair", SHORT_S, LONG_S)
    lab.start_entries(1)
    jobs = [f"9a0e7a21d94b36{number:02x}" for number in range(JOBS)]
    for number, job in enumerate(jobs):
        entry = lab.entries[number % len(lab.entries)]
        lab.submit(entry, job, [step(SHORT_S), step(LONG_S)], "pair")
    gevent.sleep(REJECT_AFTER_S)
    rejected, other = lab.entries[:2]
    if lab.is_troubled:
        rejected.gate.mode = "busy"
        lab.record(f"the store turns {rejected.name} away")
    gevent.sleep(CANCEL_AFTER_S)
    cancelled = [job for job in jobs if lab.cancel(other, job)]
    gevent.sleep(REJECT_S - CANCEL_AFTER_S)
    rejected.gate.mode = "open"
    lab.record(f"the store serves {rejected.name} again")
    gevent.sleep(CONTACT_S + CANCEL_S + STOP_S + MARGIN_S)
    left = [run for run in lab.active_runs() if run.task.partition(".")[0] in cancelled]
    lab.record(f"runs of cancelled jobs that go on: {[run.task for run in left]}")
    for run in left:
        lab.state(other, run.task.partition(".")[0])
    return bool(left)


run_case(__file__, ["north", "south", "west"], play)

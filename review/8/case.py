"""All entry processes are killed three times while a task runs that has lost one worker."""

import gevent
from lab import Lab, RESTART_DELAY_S, run_case, step

RUN_S = 20.0
CRASH_AFTER_S = 2.0
CRASH_DOWN_S = 3.0
KILLS = 3
RUNS_BEFORE_KILL_S = 1.0
WAIT_MAX_S = 25.0
CHECK_S = 0.1
JOB = "8a0e7a21d94b3600"


def play(lab: Lab) -> bool:
    """Return whether the job is shown as failed, although no run of it has failed."""
    for number in range(3):
        lab.add_worker("north", f"w{number}", 4)
    lab.set_run_s("long", RUN_S)
    lab.start_entries(3)
    lab.submit(lab.entries[0], JOB, [step(RUN_S)], "long")
    gevent.sleep(CRASH_AFTER_S)
    if lab.is_troubled:
        crash_worker(lab)
        for _ in range(KILLS):
            if wait_for_run(lab):
                gevent.sleep(RUNS_BEFORE_KILL_S)
                kill_all(lab)
    state = wait_for_end(lab)
    failed = [run for run in lab.runs() if run.outcome == "failed"]
    crashed = [run for run in lab.runs() if run.outcome == "crashed"]
    lab.record(f"{state}; runs that failed: {len(failed)}, lost in a crash: {len(crashed)}")
    return state == "failed" and not failed and len(crashed) < 2


def crash_worker(lab: Lab) -> None:
    """Crash the worker that runs the task; it is back some seconds later."""
    worker = next(worker for worker in lab.workers if worker.active_count())
    lab.record(f"{worker.worker_id} crashes")
    gevent.spawn(worker.restart, CRASH_DOWN_S * 1000)
    gevent.sleep(CHECK_S)


def wait_for_run(lab: Lab) -> bool:
    """Return whether the task began to run within WAIT_MAX_S."""
    for _ in range(round(WAIT_MAX_S / CHECK_S)):
        if lab.active_runs():
            return True
        gevent.sleep(CHECK_S)
    return False


def kill_all(lab: Lab) -> None:
    """Kill every entry process and start it again; wait until the run has lapsed."""
    for entry in lab.entries:
        entry.kill()
    gevent.sleep(RESTART_DELAY_S)
    for entry in lab.entries:
        entry.start()
    while lab.active_runs():
        gevent.sleep(CHECK_S)


def wait_for_end(lab: Lab) -> str:
    """Return the state of the job once it has ended, or after WAIT_MAX_S."""
    state = ""
    for _ in range(round(WAIT_MAX_S)):
        state = lab.state(lab.entries[0], JOB)
        if state in ("done", "failed"):
            return state
        gevent.sleep(1.0)
    return state


run_case(__file__, ["north"], play)

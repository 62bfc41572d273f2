"""A zone is cut off while the store is down; tasks that run in it are started again elsewhere."""

import time

import gevent
from lab import SERVICE, Lab, run_case, step

RUN_S = 30.0
BEFORE_S = 16.0
OUTAGE_S = 3.4
CUT_AFTER_S = 2.5
CUT_S = 6.2
AFTER_S = 4.0
OVERLAP_MIN_S = 0.1
JOBS = 8


def play(lab: Lab) -> bool:
    """Return whether a task had two runs at the same time."""
    north, south = (lab.add_worker(zone, f"{SERVICE}-{zone}", 10) for zone in lab.zones)
    lab.set_run_s("long", RUN_S)
    lab.start_entries(1, has_link_proxy=True)
    for number in range(JOBS):
        entry = lab.entries[number % len(lab.entries)]
        lab.submit(entry, f"7a0e7a21d94b36{number:02x}", [step(RUN_S)], "long")
    gevent.sleep(BEFORE_S)
    if lab.is_troubled:
        disrupt(lab, north, south)
    else:
        gevent.sleep(CUT_AFTER_S + CUT_S)
    gevent.sleep(AFTER_S)
    return has_overlap(lab)


def disrupt(lab: Lab, north: object, south: object) -> None:
    """Bring the store down for OUTAGE_S, and cut the zone of a worker off during that time."""
    north_entry, south_entry = lab.entries
    for gate in (north_entry.gate, south_entry.gate):
        gate.mode = "busy"
    north.reaches_store = south.reaches_store = False
    lab.record("the store is down")
    gevent.sleep(CUT_AFTER_S)
    lab.cut_links()
    north_entry.gate.mode = "cut"
    north.hears_fences_to = lab.store.put("cut", b"")  # those of south are higher from now on
    lab.record("zone north is cut off")
    gevent.sleep(OUTAGE_S - CUT_AFTER_S)
    south_entry.gate.mode = "open"
    south.reaches_store = True
    south.register("ready")
    lab.record("the store is back")
    gevent.sleep(CUT_S - (OUTAGE_S - CUT_AFTER_S))
    lab.heal_links()
    north_entry.gate.mode = "open"
    north.hears_fences_to = None
    north.reaches_store = True
    lab.record("zone north is back")


def has_overlap(lab: Lab) -> bool:
    """Record the tasks with two runs at the same time, and return whether there are any."""
    now_s = time.monotonic()
    spans: dict[str, list[tuple[float, float, str]]] = {}
    for run in lab.runs():
        span = (run.started_s, run.ended_s or now_s, run.worker_id)
        spans.setdefault(run.task, []).append(span)
    is_broken = False
    for task, task_spans in sorted(spans.items()):
        task_spans.sort()
        for earlier, later in zip(task_spans, task_spans[1:], strict=False):
            overlap_s = min(earlier[1], later[1]) - later[0]
            if overlap_s > OVERLAP_MIN_S:
                is_broken = True
                lab.record(f"{task} ran on {earlier[2]} and {later[2]} at once: {overlap_s:.3f} s")
    return is_broken


run_case(__file__, ["north", "south"], play)

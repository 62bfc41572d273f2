"""Faults that a seeded schedule injects into the workers and processes of a run."""

import random
import time
from collections.abc import Callable

import gevent

from bench.run_faults.process import USUAL_VIEW_LAG_MS, Process
from bench.run_faults.site import GROUPS, RunFaultsSite
from bench.standins.fleet_worker import FleetWorker

__all__ = ["FAULTS", "LONG_TASK_FAULTS", "register_fault"]

MS_PER_S = 1000.0
RECOVERY_MS = 10.0
LATE_SHARES = (0.3, 0.6, 0.9, 1.0)
WORKER_SHARES = (0.2, 0.5, 1.0)
LATE_MIN_MS, LATE_MAX_MS = 2000.0, (3000.0, 6000.0, 12_000.0)

Fault = Callable[[RunFaultsSite, random.Random], str]
FAULTS: dict[str, Fault] = {}
LONG_TASK_FAULTS: set[str] = set()


def register_fault(name: str, needs_long_tasks: bool = False) -> Callable[[Fault], Fault]:
    """Register a function that injects one fault and returns its description.

    Args:
        name: name of the fault.
        needs_long_tasks: whether its effects come seconds later, so that it is played with tasks
            that last as long.
    """

    def register(fault: Fault) -> Fault:
        FAULTS[name] = fault
        if needs_long_tasks:
            LONG_TASK_FAULTS.add(name)
        return fault

    return register


@register_fault("restart")
def restart_worker(site: RunFaultsSite, rng: random.Random) -> str:
    """Restart a worker under its id; the processes see the new entry later."""
    return _restart_under_same_id(site, rng, rng.choice(site.workers), rng.uniform(0, 800))


@register_fault("restart_idle")
def restart_idle_worker(site: RunFaultsSite, rng: random.Random) -> str:
    """Restart a worker without runs under its id; the processes see the new entry later."""
    worker = rng.choice(site.workers)
    if not _is_idle(worker):
        return f"{worker.worker_id} is not idle"
    return _restart_under_same_id(site, rng, worker, rng.uniform(300, 1500))


@register_fault("replace")
def replace_worker(site: RunFaultsSite, rng: random.Random) -> str:
    """Restart a worker under another id at its address; its earlier entry is removed later."""
    worker, down_ms = rng.choice(site.workers), rng.choice([0, 30, 200])
    if not worker.is_up:
        return f"{worker.worker_id} is down"
    listing_ms, removal_ms = rng.uniform(0, 800), rng.uniform(100, 2500)
    earlier_id, new_id = worker.worker_id, f"{worker.worker_id}n"
    site.directory.assign_group(new_id, site.directory.state().groups[earlier_id])
    site.directory.unlist_worker(earlier_id, removal_ms)
    site.worker_thread.call(_restart, site, worker, down_ms, listing_ms, new_id)
    return f"{earlier_id} restarts as {new_id}, listed {listing_ms:.0f} ms later"


@register_fault("unlist")
def unlist_worker(site: RunFaultsSite, rng: random.Random) -> str:
    """Take a worker, a busy one if there is any, out of service discovery for a while."""
    busy = [worker for worker in site.workers if not _is_idle(worker)]
    worker, duration_ms = rng.choice(busy or site.workers), rng.uniform(100, 1500)
    entry = site.directory.state().workers.get(worker.worker_id)
    if entry is None:
        return f"{worker.worker_id} is not listed"
    site.directory.unlist_worker(worker.worker_id)
    site.directory.list_worker(entry, duration_ms)
    return f"{worker.worker_id} is not listed for {duration_ms:.0f} ms"


@register_fault("move")
def move_worker(site: RunFaultsSite, rng: random.Random) -> str:
    """Move a worker to another group."""
    worker = rng.choice(site.workers)
    present = site.directory.state().groups[worker.worker_id]
    group = next(name for name in GROUPS if name != present)
    site.directory.assign_group(worker.worker_id, group)
    return f"{worker.worker_id} moves to {group}"


@register_fault("claim")
def move_claim(site: RunFaultsSite, rng: random.Random) -> str:
    """Give the claim on a group to another process; the earlier one may learn of it late."""
    group = rng.choice(GROUPS)
    holder_id = site.directory.state().claims[group][0]
    process = rng.choice([p for p in site.processes if p.member.member_id != holder_id])
    holder = next(p for p in site.processes if p.member.member_id == holder_id)
    lag_ms = rng.choice([USUAL_VIEW_LAG_MS, 600.0, 3000.0])
    holder.view_lag_ms = lag_ms
    gevent.spawn_later(lag_ms / MS_PER_S, _reset_lag, holder)
    site.directory.claim_group(group, process.member.member_id)
    return f"{group} from {holder_id} to {process.member.member_id}, seen after {lag_ms:.0f} ms"


@register_fault("lag")
def delay_view(site: RunFaultsSite, rng: random.Random) -> str:
    """Let a process see changes of workers, groups and claims late for a while."""
    process, lag_ms = rng.choice(site.processes), rng.uniform(300, 1500)
    process.view_lag_ms = lag_ms
    gevent.spawn_later(2 * lag_ms / MS_PER_S, _reset_lag, process)
    return f"{process.member.member_id} sees changes {lag_ms:.0f} ms late"


@register_fault("stall")
def stall_process(site: RunFaultsSite, rng: random.Random) -> str:
    """Block the event loop of a process."""
    return _block(rng.choice(site.processes), rng.uniform(300, 1500))


@register_fault("pause")
def pause_process(site: RunFaultsSite, rng: random.Random) -> str:
    """Block the event loop of a process for longer than callers wait to send a job again."""
    return _block(rng.choice(site.processes), rng.uniform(1500, 3000))


@register_fault("busy")
def keep_process_busy(site: RunFaultsSite, rng: random.Random) -> str:
    """Block the event loop of a process many times, each time for tens of milliseconds."""
    process, times = rng.choice(site.processes), rng.randint(5, 20)
    durations_ms = [rng.uniform(20, 120) for _ in range(times)]
    gevent.spawn(_block_repeatedly, process, durations_ms)
    return f"{process.member.member_id} is busy for {sum(durations_ms):.0f} ms"


@register_fault("cut")
def cut_link(site: RunFaultsSite, rng: random.Random) -> str:
    """Cut the link between two processes for a while."""
    first, second = (process.member.member_id for process in rng.sample(site.processes, 2))
    duration_ms = rng.uniform(50, 2000)
    site.links.cut(first, second, duration_ms)
    return f"link of {first} and {second} is cut for {duration_ms:.0f} ms"


@register_fault("mute")
def mute_worker(site: RunFaultsSite, rng: random.Random) -> str:
    """Let a worker carry out commands without answers for a while."""
    return _set_for_a_while(site, rng, rng.uniform(150, 2000), mute=True)


@register_fault("late")
def delay_commands(site: RunFaultsSite, rng: random.Random) -> str:
    """Let a share of a worker's commands be carried out late and without an answer."""
    share, late_ms = rng.uniform(0.1, 0.5), rng.uniform(200, 3000)
    faults = {"late_share": share, "late_min_ms": 150.0, "late_max_ms": late_ms}
    return _set_for_a_while(site, rng, rng.uniform(500, 3000), **faults)


@register_fault("slow")
def delay_answers(site: RunFaultsSite, rng: random.Random) -> str:
    """Delay the answers of a worker to one kind of command for a while."""
    name = rng.choice(["start_answer_ms", "stop_answer_ms", "poll_answer_ms"])
    return _set_for_a_while(site, rng, rng.uniform(300, 2000), **{name: rng.uniform(20, 400)})


@register_fault("hang")
def hang_runs(site: RunFaultsSite, rng: random.Random) -> str:
    """Let the runs of a worker make no progress for a while."""
    return _set_for_a_while(site, rng, rng.uniform(500, 2500), stall=True)


@register_fault("fail")
def fail_runs(site: RunFaultsSite, rng: random.Random) -> str:
    """Let the runs of a worker fail for a while."""
    return _set_for_a_while(site, rng, rng.uniform(300, 1000), fail=True)


@register_fault("late_orders", needs_long_tasks=True)
def delay_orders(site: RunFaultsSite, rng: random.Random) -> str:
    """Let a share of the start and stop commands to some workers be carried out seconds late."""
    return _delay_on_some(site, rng, "late_order_share")


@register_fault("late_stops", needs_long_tasks=True)
def delay_stops(site: RunFaultsSite, rng: random.Random) -> str:
    """Let the stop commands to some workers be carried out seconds late.

    All of them are, as a stop command is repeated until one is answered.
    """
    return _delay_on_some(site, rng, "late_stop_share", (1.0,))


@register_fault("late_grants", needs_long_tasks=True)
def delay_grants(site: RunFaultsSite, rng: random.Random) -> str:
    """Let a share of the commands that renew leases on some workers be carried out seconds late."""
    return _delay_on_some(site, rng, "late_grant_share")


@register_fault("lost_path", needs_long_tasks=True)
def lose_paths(site: RunFaultsSite, rng: random.Random) -> str:
    """Let one process lose its path to a share of the workers, at times in one direction only."""
    process, share = rng.choice(site.processes), rng.choice(WORKER_SHARES)
    workers = [worker.worker_id for worker in site.workers if rng.random() < share]
    duration_ms, is_one_way = rng.uniform(500, 6000), rng.random() < 0.4
    for worker_id in workers:
        process.paths.lose(worker_id, duration_ms, is_one_way)
    lost = "the answers of" if is_one_way else "the path to"
    return f"{process.member.member_id} loses {lost} {workers} for {duration_ms:.0f} ms"


@register_fault("reborn", needs_long_tasks=True)
def restart_behind_cut(site: RunFaultsSite, rng: random.Random) -> str:
    """Cut a worker off, let it restart under its id behind the cut, and heal the cut later."""
    worker = rng.choice(site.workers)
    crash_ms, healing_ms = rng.uniform(0, 3000), rng.uniform(200, 3000)
    cut_ms = crash_ms + healing_ms
    processes = site.processes if rng.random() < 0.5 else [rng.choice(site.processes)]
    for process in processes:
        process.paths.lose(worker.worker_id, cut_ms)
    is_unlisted = rng.random() < 0.5
    if is_unlisted:
        site.directory.unlist_worker(worker.worker_id, rng.uniform(0, cut_ms))
    listing_ms = healing_ms + rng.uniform(0, 800)
    gevent.spawn_later(
        crash_ms / MS_PER_S, site.worker_thread.call, _restart, site, worker, 30.0, listing_ms, ""
    )
    cut_off = [process.member.member_id for process in processes]
    return (
        f"{worker.worker_id} is cut off from {cut_off} for {cut_ms:.0f} ms, restarts after "
        f"{crash_ms:.0f} ms{', is unlisted' * is_unlisted}, is listed {listing_ms:.0f} ms later"
    )


def _delay_on_some(
    site: RunFaultsSite,
    rng: random.Random,
    share: str,
    choices: tuple[float, ...] = LATE_SHARES,
) -> str:
    """Let a share of one kind of command to some workers be carried out late for a while."""
    worker_share, duration_ms = rng.choice(WORKER_SHARES), rng.uniform(1000, 6000)
    workers = [worker for worker in site.workers if rng.random() < worker_share]
    faults = {
        share: rng.choice(choices),
        "late_min_ms": LATE_MIN_MS,
        "late_max_ms": rng.choice(LATE_MAX_MS),
        "late_outlives_restart": rng.random() < 0.5,
        "late_moves_deadline": rng.random() < 0.5,
    }
    names = [_set_on_worker(worker, duration_ms, faults) for worker in workers]
    return f"{names} for {duration_ms:.0f} ms: {_shown(faults)}"


def _block(process: Process, duration_ms: float) -> str:
    """Block an event loop, unless it is blocked already."""
    now_s = time.monotonic()
    if now_s < process.blocked_until_s:
        return f"{process.member.member_id} is blocked already"
    process.blocked_until_s = now_s + (duration_ms + RECOVERY_MS) / MS_PER_S
    process.thread.block(duration_ms)
    return f"{process.member.member_id} is blocked for {duration_ms:.0f} ms"


def _block_repeatedly(process: Process, durations_ms: list[float]) -> None:
    for duration_ms in durations_ms:
        _block(process, duration_ms)
        gevent.sleep((duration_ms + RECOVERY_MS) / MS_PER_S)


def _set_for_a_while(
    site: RunFaultsSite, rng: random.Random, duration_ms: float, **faults: object
) -> str:
    worker_id = _set_on_worker(rng.choice(site.workers), duration_ms, faults)
    return f"{worker_id} for {duration_ms:.0f} ms: {_shown(faults)}"


def _set_on_worker(worker: FleetWorker, duration_ms: float, faults: dict[str, object]) -> str:
    """Set faults of a worker for a while and return its id."""
    defaults = {name: getattr(type(worker.faults)(), name) for name in faults}
    _set_faults(worker, faults)
    gevent.spawn_later(duration_ms / MS_PER_S, _set_faults, worker, defaults)
    return worker.worker_id


def _shown(faults: dict[str, object]) -> str:
    return ", ".join(f"{name} {value}" for name, value in faults.items())


def _is_idle(worker: FleetWorker) -> bool:
    return all(run.ended_s for run in worker.runs)


def _set_faults(worker: FleetWorker, faults: dict[str, object]) -> None:
    for name, value in faults.items():
        setattr(worker.faults, name, value)


def _reset_lag(process: Process) -> None:
    process.view_lag_ms = USUAL_VIEW_LAG_MS


def _restart_under_same_id(
    site: RunFaultsSite, rng: random.Random, worker: FleetWorker, listing_ms: float
) -> str:
    down_ms = rng.choice([0, 30, 200])
    site.worker_thread.call(_restart, site, worker, down_ms, listing_ms, "")
    return f"{worker.worker_id} restarts, down {down_ms} ms, listed {listing_ms:.0f} ms later"


def _restart(
    site: RunFaultsSite, worker: FleetWorker, down_ms: float, listing_ms: float, new_id: str
) -> None:
    if worker.is_up:
        site.directory.listing_delay_ms = listing_ms
        worker.restart(down_ms, new_id)

"""Measure how the cost of an entry process grows: ``python -m bench.slopes NAME``.

Each measurement varies one quantity and prints JSON lines, from which `docs/CAPACITY.md` is
calculated.
"""

from gevent import monkey

monkey.patch_all()

import tempfile  # noqa: E402
import time  # noqa: E402
from collections.abc import Callable, Iterator  # noqa: E402
from contextlib import contextmanager  # noqa: E402
from pathlib import Path  # noqa: E402

import click  # noqa: E402
import gevent  # noqa: E402
import msgspec  # noqa: E402

from bench.fleet import Entry, Fleet, call  # noqa: E402
from bench.measure.caller import Caller  # noqa: E402
from bench.measure.registry import MEASUREMENTS, print_json_line, register_measurement  # noqa: E402
from bench.measure.sizes import SERVICE, ZONE  # noqa: E402
from bench.measure.usage import Usage, total_usage  # noqa: E402
from camphorchute.cluster import GroupFollowers, WorkerCapacities  # noqa: E402
from camphorchute.cluster.worker_groups import WorkerGroups  # noqa: E402
from camphorchute.contracts import new_key  # noqa: E402
from camphorchute.contracts.member import Member  # noqa: E402
from camphorchute.contracts.resources import Resources  # noqa: E402
from camphorchute.hosting import WorkerEntry  # noqa: E402

NETWORK_BASE = 61
DELAY_AFTER_START_S = 4.0
IDLE_S = 8.0
LOAD_S = 6.0
RUN_TIME_MS = 10.0
SLOTS_PER_WORKER = 8
CALLERS_PER_ENTRY = 12


@contextmanager
def running_fleet(entries: int, workers: int = 0) -> Iterator[Fleet]:
    """Run entry processes of one zone, each on its own VM, with the workers of one service.

    Args:
        entries: number of entry processes.
        workers: number of workers; without any, no service is defined.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet([ZONE], Path(folder), NETWORK_BASE)
        try:
            fleet.start_platform()
            for first in range(0, workers, 8):
                fleet.start_workers(ZONE, [1.0] * min(8, workers - first), SLOTS_PER_WORKER)
            for number in range(entries):
                fleet.add_entry(ZONE, number + 1)
            fleet.wait_ready()
            if workers:
                revision = fleet.confirm_service(fleet.entries[0], fleet.definition(SERVICE))
                fleet.wait_in_force(revision)
            gevent.sleep(DELAY_AFTER_START_S)
            yield fleet
        finally:
            fleet.close()


def entry_usage(fleet: Fleet) -> Usage:
    """Return the summed usage of all entry processes."""
    return total_usage(entry.process.pid for entry in fleet.entries)


def store_calls(fleet: Fleet) -> dict[str, int]:
    """Return the number of calls that the platform has received, by path."""
    return call(fleet.platform_address, "GET", "/record")[1]["calls"]


def added_calls(before: dict[str, int], after: dict[str, int]) -> dict[str, int]:
    """Return the number of calls by path between two results of `store_calls`."""
    added = {path: count - before.get(path, 0) for path, count in after.items()}
    return {path: count for path, count in sorted(added.items()) if count and path != "/record"}


def print_idle_row(fleet: Fleet, workers: int) -> None:
    """Measure an idle fleet for ``IDLE_S`` and print the result."""
    calls, used, began_s = store_calls(fleet), entry_usage(fleet), time.monotonic()
    gevent.sleep(IDLE_S)
    after, seconds = entry_usage(fleet), time.monotonic() - began_s
    added = added_calls(calls, store_calls(fleet))
    entries = len(fleet.entries)
    print_json_line(
        slope="idle",
        entries=entries,
        workers=workers,
        core_share_per_entry=(after.cpu_s - used.cpu_s) / seconds / entries,
        rss_mb_per_entry=after.rss_mb / entries,
        store_calls_per_s={path: round(count / seconds, 2) for path, count in added.items()},
    )


@register_measurement
def idle() -> None:
    """Measure processor time, memory and store calls of idle processes against the zone size."""
    for entries in (2, 4, 8, 16):
        with running_fleet(entries) as fleet:
            print_idle_row(fleet, 0)


@register_measurement
def polls() -> None:
    """Measure the cost of idle workers, each of which its scheduler polls with a long poll."""
    for workers in (24, 96):
        with running_fleet(4, workers) as fleet:
            print_idle_row(fleet, workers)


@register_measurement
def jobs() -> None:
    """Measure the processor time of a task from submission to answer against the job size."""
    with running_fleet(3, 24) as fleet:
        for tasks in (1, 10, 50, 150):
            _print_jobs_row(fleet, tasks)
            gevent.sleep(1.0)


def _print_jobs_row(fleet: Fleet, tasks: int) -> None:
    """Submit jobs of some tasks from concurrent callers for ``LOAD_S`` and print the result."""
    task = {"kind": "slopes", "run_time_ms": RUN_TIME_MS}
    body = msgspec.json.encode(
        {"service": SERVICE, "deadline_ms": 20_000.0, "tasks": [task] * tasks}
    )
    before, began_s = entry_usage(fleet), time.monotonic()
    until_s = began_s + LOAD_S
    greenlets = [
        gevent.spawn(_submit_until, entry, body, until_s)
        for entry in fleet.entries
        for _ in range(CALLERS_PER_ENTRY)
    ]
    gevent.joinall(greenlets)
    seconds, after = time.monotonic() - began_s, entry_usage(fleet)
    statuses = [status for greenlet in greenlets for status in greenlet.value]
    complete = statuses.count(200)
    cpu_s = after.cpu_s - before.cpu_s
    print_json_line(
        slope="jobs",
        tasks_per_job=tasks,
        entries=len(fleet.entries),
        workers=24,
        jobs_complete=complete,
        jobs_not_complete=len(statuses) - complete,
        starts_per_s=complete * tasks / seconds,
        cpu_ms_per_job=cpu_s * 1000 / max(complete, 1),
        cpu_ms_per_task=cpu_s * 1000 / max(complete * tasks, 1),
        starts_per_core_s=complete * tasks / cpu_s,
        core_share_per_entry=cpu_s / seconds / len(fleet.entries),
        rss_mb_per_entry=after.rss_mb / len(fleet.entries),
    )


def _submit_until(entry: Entry, body: bytes, until_s: float) -> list[int]:
    """Submit one job after the other until a time of the monotonic clock; return the statuses."""
    caller = Caller([entry.http_address])
    statuses = []
    while time.monotonic() < until_s:
        statuses.append(caller.submit(new_key(ZONE), body).status)
    caller.close()
    return statuses


@register_measurement
def fleet() -> None:
    """Measure the parts of an entry process that depend on the fleet, without a network.

    The fleet has five zones and a group of workers for each two and a half members.
    """
    for member_count in (9, 42, 97, 300, 1000, 4000):
        print_json_line(**_fleet_row(member_count))


def _fleet_row(member_count: int) -> dict[str, float]:
    zones = [f"zone{number}" for number in range(5)]
    members = [
        Member(f"{number:05}", zones[number % 5], "", "", "", "") for number in range(member_count)
    ]
    groups = [
        f"{zones[number % 5]}/flags/{number}" for number in range(max(5, member_count * 2 // 5))
    ]
    table = GroupFollowers(members, groups)
    workers = WorkerGroups()
    entries = [
        WorkerEntry(f"w{number}", 1, "", "flags", zones[number % 5], Resources(0))
        for number in range(3 * member_count)
    ]
    for entry in entries:
        workers.set_worker(entry)
    capacities, scarce = WorkerCapacities(workers), Resources(0, 0, 1)

    def find_scarce_after_change() -> None:
        workers.set_worker(entries[0])
        capacities.groups_for("flags", scarce)

    return {
        "members": member_count,
        "groups": len(groups),
        "table_us": _mean_us(lambda: GroupFollowers(members, groups), 10),
        "followers_us": _mean_us(lambda: table.followers_of(groups[0]), 1000),
        "is_follower_us": _mean_us(lambda: table.is_follower(members[0], groups[0]), 1000),
        "worker_change_us": _mean_us(lambda: workers.set_worker(entries[0]), 1000),
        "scarce_us": _mean_us(lambda: capacities.groups_for("flags", scarce), 1000),
        "scarce_after_change_us": _mean_us(find_scarce_after_change, 100),
    }


def _mean_us(action: Callable[[], object], rounds: int) -> float:
    """Return the mean processor time of an action in microseconds."""
    began_s = time.process_time()
    for _ in range(rounds):
        action()
    return round(1e6 * (time.process_time() - began_s) / rounds, 2)


@register_measurement
def members() -> None:
    """Measure the store calls caused by the kill and the restart of one process.

    The calls of the idle zone in the same time are subtracted.
    """
    for entries in (4, 8):
        with running_fleet(entries) as fleet:
            _print_members_row(fleet, "killed", lambda: fleet.kill(fleet.entries[-1]))
            _print_members_row(fleet, "returned", lambda: fleet.start_entry(fleet.entries[-1]))


def _print_members_row(fleet: Fleet, change: str, apply_change: Callable[[], None]) -> None:
    idle_before = store_calls(fleet)
    gevent.sleep(IDLE_S)
    calls = store_calls(fleet)
    apply_change()
    gevent.sleep(IDLE_S)
    idle_calls = added_calls(idle_before, calls)
    changed = added_calls(calls, store_calls(fleet))
    calls_added = {p: n - idle_calls.get(p, 0) for p, n in changed.items() if p.startswith("/v3")}
    print_json_line(
        slope="members", change=change, entries=len(fleet.entries), calls_added=calls_added
    )


@register_measurement
def config() -> None:
    """Measure the cost of a confirmed change against the number of services.

    The cost is store calls, the time until it is in force, and processor time.
    """
    with running_fleet(8) as fleet:
        confirmed_services = 0
        for services in (1, 20, 100, 260):
            _confirm_services(
                fleet, [f"service-{n:04}" for n in range(confirmed_services, services)]
            )
            confirmed_services = services
            _print_config_row(fleet, services)


def _confirm_services(fleet: Fleet, names: list[str], queue_max_tasks: int = 20_000) -> int:
    """Confirm a definition of each service and return the last revision."""
    revision = 0
    quotas = {f"team-{n:03}": 1000 for n in range(260)}
    for name in names:
        definition = {
            "name": name,
            "limits": {"queue_max_tasks": queue_max_tasks},
            "quotas": quotas,
        }
        revision = fleet.confirm_service(fleet.entries[0], definition)
    return revision


def _print_config_row(fleet: Fleet, services: int, changes: int = 12) -> None:
    before = store_calls(fleet)
    gevent.sleep(IDLE_S)
    calls, began_s = store_calls(fleet), time.monotonic()
    waits_s = []
    for number in range(changes):
        revision = _confirm_services(fleet, ["service-0000"], 10_000 + number + services)
        waits_s.append(fleet.wait_in_force(revision))
    idle_periods = (time.monotonic() - began_s) / IDLE_S
    added, idle_added = added_calls(calls, store_calls(fleet)), added_calls(before, calls)
    per_change = {
        path: round((count - idle_added.get(path, 0) * idle_periods) / changes, 2)
        for path, count in added.items()
        if path.startswith("/v3")
    }
    others_cpu_s, first_cpu_s = _change_cpu_s(fleet, services, changes)
    print_json_line(
        slope="config",
        services=services,
        entries=len(fleet.entries),
        in_force_ms_mean=sum(waits_s) * 1000 / changes,
        in_force_ms_max=max(waits_s) * 1000,
        cpu_ms_per_change_learner=others_cpu_s * 1000,
        cpu_ms_per_change_confirmer=first_cpu_s * 1000,
        calls_per_change=per_change,
        rss_mb_per_entry=entry_usage(fleet).rss_mb / len(fleet.entries),
    )


def _change_cpu_s(fleet: Fleet, services: int, changes: int) -> tuple[float, float]:
    """Return the processor seconds of a change at each other process and at the confirming one.

    No status is requested during the measurement, and the processor time of the idle processes in
    the same time is subtracted.
    """
    first, *others = [entry.process.pid for entry in fleet.entries]
    groups = [others, [first]]
    idle = [total_usage(pids).cpu_s for pids in groups]
    gevent.sleep(IDLE_S)
    before = [total_usage(pids).cpu_s for pids in groups]
    began_s = time.monotonic()
    for number in range(changes):
        _confirm_services(fleet, ["service-0000"], 15_000 + number + services)
        gevent.sleep(max(0.0, began_s + (number + 1) * IDLE_S / changes - time.monotonic()))
    after = [total_usage(pids).cpu_s for pids in groups]
    added_s = [c - b - (b - a) for a, b, c in zip(idle, before, after, strict=True)]
    return added_s[0] / changes / len(others), added_s[1] / changes


@click.command()
@click.argument("names", nargs=-1, type=click.Choice(sorted(MEASUREMENTS)))
def main(names: tuple[str, ...]) -> None:
    """Run the named measurements, or all of them if none is named."""
    for name in names or MEASUREMENTS:
        MEASUREMENTS[name]()


if __name__ == "__main__":
    main()

"""Measure and profile the processor time of a job: ``python -m bench.job_profile``.

Entry processes on the stand-ins serve jobs of several tasks from a number of callers. Printed are
the processor time of all entry processes for each job, and where that of one scheduler went.
"""

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import signal  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from collections import Counter  # noqa: E402
from concurrent.futures import ThreadPoolExecutor  # noqa: E402
from pathlib import Path  # noqa: E402

import click  # noqa: E402

from bench.hosted_fleet import HostedFleet  # noqa: E402
from bench.measure.usage import total_usage  # noqa: E402
from bench.profiled_entry import PROFILE_FOLDER  # noqa: E402

ZONES = ["north", "south", "east"]
NETWORK_BASE = 73
SETTLE_S = 3.0
IDLE_S = 5.0


class _ProfiledFleet(HostedFleet):
    """Entry processes of which each writes a profile when it ends."""

    program = ("-m", "bench.profiled_entry")


def _submit_for(fleet: HostedFleet, caller: int, until_s: float, tasks: int) -> int:
    """Submit jobs one after the other; return how many were done."""
    entry = fleet.entries[caller % len(fleet.entries)]
    done = number = 0
    while time.monotonic() < until_s:
        number += 1
        status, _ = fleet.submit(entry, f"{caller:04x}{number:012x}", tasks)
        done += status == 200
    return done


@click.command()
@click.option("--callers", default=12, show_default=True)
@click.option("--tasks", default=4, show_default=True, help="Tasks of each job.")
@click.option("--duration-s", default=10.0, show_default=True)
@click.option("--entries-per-zone", default=2, show_default=True, help="Entry processes.")
@click.option("--workers-per-zone", default=4, show_default=True, help="Stand-in workers.")
@click.option("--profile/--no-profile", default=True, show_default=True)
def main(
    callers: int,
    tasks: int,
    duration_s: float,
    entries_per_zone: int,
    workers_per_zone: int,
    profile: bool,
) -> None:
    """Print the processor time of a job and where it goes."""
    with tempfile.TemporaryDirectory() as folder:
        os.environ[PROFILE_FOLDER] = folder
        fleet_type = _ProfiledFleet if profile else HostedFleet
        fleet = fleet_type(ZONES, workers_per_zone, Path(folder), NETWORK_BASE)
        try:
            for zone in ZONES:
                for number in range(1, entries_per_zone + 1):
                    fleet.add_entry(zone, number)
            fleet.wait_ready()
            time.sleep(SETTLE_S)
            _measure(fleet, callers, tasks, duration_s)
            if profile:
                process = fleet.scheduler_of(ZONES[0]).process
                process.send_signal(signal.SIGTERM)
                process.wait()
                click.echo(Path(folder, str(process.pid)).read_text())
        finally:
            fleet.close()


def _measure(fleet: HostedFleet, callers: int, tasks: int, duration_s: float) -> None:
    pids = [entry.process.pid for entry in fleet.entries]
    before = total_usage(pids)
    time.sleep(IDLE_S)
    idle_s = (total_usage(pids).cpu_s - before.cpu_s) / len(pids)
    click.echo(f"{100 * idle_s / IDLE_S:.2f} % of a core for each idle process")
    before, calls = total_usage(pids), _worker_calls(fleet)
    began_s = time.monotonic()
    with ThreadPoolExecutor(callers) as pool:
        until_s = began_s + duration_s
        futures = [pool.submit(_submit_for, fleet, n, until_s, tasks) for n in range(callers)]
        done = sum(future.result() for future in futures)
    used_s = total_usage(pids).cpu_s - before.cpu_s
    seconds = time.monotonic() - began_s
    click.echo(
        f"{done} jobs in {seconds:.1f} s, {done / seconds:.0f}/s;"
        f" {1000 * used_s / max(1, done):.2f} ms of processor time each"
    )
    calls = _worker_calls(fleet) - calls
    shares = (f"{path} {number / max(1, done * tasks):.2f}" for path, number in calls.items())
    click.echo(f"exchanges with workers for each task: {', '.join(sorted(shares))}")


def _worker_calls(fleet: HostedFleet) -> Counter[str]:
    """Return the number of requests that the workers have received, by path."""
    total: Counter[str] = Counter()
    for worker in fleet.site.workers:
        total.update(worker.calls)
    return total


if __name__ == "__main__":
    main()

"""Command line of the stand-ins: one subcommand for each kind."""

from collections.abc import Sequence
from itertools import cycle

import click

from bench.standins.fleet_site import QUEUE_HOST, QUEUE_PATH_PREFIX, FleetSite
from bench.standins.platform import Platform
from bench.standins.server import Standin, wait_forever
from bench.standins.upstream import Upstream
from bench.standins.worker import Worker

__all__ = ["main"]

_addresses_option = click.option(
    "--address", "addresses", multiple=True, required=True, help="IP:PORT, may be repeated."
)
_speeds_option = click.option(
    "--speed",
    "speeds",
    multiple=True,
    type=float,
    default=(1.0,),
    help="Factor on run times, may be repeated; given to the addresses in turn.",
)
_slots_option = click.option("--slots", default=8, show_default=True, help="Tasks at once.")


@click.group()
def main() -> None:
    """Run stand-ins until the process is killed."""


@main.command()
@click.option("--address", required=True, help="IP:PORT.")
def platform(address: str) -> None:
    """Run a platform: the key-value service and the VM list."""
    serve_until_killed([Platform(address)])


@main.command()
@_addresses_option
@_slots_option
@_speeds_option
@click.option("--cpus", default=32, show_default=True)
@click.option("--memory-mb", default=65536, show_default=True)
@click.option("--accelerators", default=0, show_default=True)
def worker(
    addresses: Sequence[str],
    slots: int,
    speeds: Sequence[float],
    cpus: int,
    memory_mb: int,
    accelerators: int,
) -> None:
    """Run one or more workers.

    If a worker crashes and it is the only one, the process exits. Otherwise only that worker
    closes, permanently.
    """
    on_crash = Worker.close if len(addresses) > 1 else None
    workers = [
        Worker(address, slots, speed, cpus, memory_mb, accelerators, on_crash)
        for address, speed in zip(addresses, cycle(speeds))  # noqa: B905
    ]
    for standin in workers:
        standin.workers_by_address = workers[0].workers_by_address
    serve_until_killed(workers)


@main.command()
@_addresses_option
@_slots_option
@_speeds_option
def upstream(addresses: Sequence[str], slots: int, speeds: Sequence[float]) -> None:
    """Run one or more upstreams."""
    serve_until_killed(
        [
            Upstream(address, slots, speed)
            for address, speed in zip(addresses, cycle(speeds))  # noqa: B905
        ]
    )


@main.command()
@click.option("--address", required=True, help="IP:PORT of the store; workers take free ports.")
@click.option("--zone", "zones", multiple=True, default=("north",), help="May be repeated.")
@click.option("--workers", default=2, show_default=True, help="Workers in each zone.")
@click.option("--run-ms", default=40.0, show_default=True, help="How long every run lasts.")
def fleet(address: str, zones: Sequence[str], workers: int, run_ms: float) -> None:
    """Run a hosted platform: the store, its workers and the configuration of one queue."""
    site = FleetSite(list(zones), workers, address, run_ms)
    site.start()
    click.echo(
        f"listening {site.store.address}; queue at host {QUEUE_HOST}, path {QUEUE_PATH_PREFIX}"
    )
    wait_forever()


def serve_until_killed(standins: Sequence[Standin]) -> None:
    """Start stand-ins, print their addresses and serve until the process is killed."""
    for standin in standins:
        standin.start()
        click.echo(f"listening {standin.address}")
    wait_forever()

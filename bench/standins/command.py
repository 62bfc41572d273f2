"""The command line of the stand-ins."""

from collections.abc import Sequence
from itertools import cycle

import click

from bench.standins.fleet_site import HOST, PREFIX, FleetSite
from bench.standins.platform import Platform
from bench.standins.server import Standin, wait_forever
from bench.standins.upstream import Upstream
from bench.standins.worker import Worker

__all__ = ["main"]

_addresses = click.option(
    "--address", "addresses", multiple=True, required=True, help="IP:PORT, may be repeated."
)
_speeds = click.option(
    "--speed",
    "speeds",
    multiple=True,
    type=float,
    default=(1.0,),
    help="Factor on run times, may be repeated; given to the addresses in turn.",
)
_slots = click.option("--slots", default=8, show_default=True, help="Tasks at once.")


@click.group()
def main() -> None:
    """Run stand-ins until the process is ended."""


@main.command()
@click.option("--address", required=True, help="IP:PORT.")
def platform(address: str) -> None:
    """Run the key-value service and the VM list."""
    run([Platform(address)])


@main.command()
@_addresses
@_slots
@_speeds
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

    A worker that crashes ends the process where it is the only one; else it alone closes for
    good.
    """
    on_crash = Worker.close if len(addresses) > 1 else None
    workers = [
        Worker(address, slots, speed, cpus, memory_mb, accelerators, on_crash)
        for address, speed in zip(addresses, cycle(speeds))  # noqa: B905
    ]
    for each in workers:
        each.group = workers[0].group
    run(workers)


@main.command()
@_addresses
@_slots
@_speeds
def upstream(addresses: Sequence[str], slots: int, speeds: Sequence[float]) -> None:
    """Run one or more upstreams."""
    run(
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
    """Run a hosted platform: the store, its workers and one queue."""
    site = FleetSite(list(zones), workers, address, run_ms)
    site.start()
    click.echo(f"listening {site.store.address}; queue at host {HOST}, path {PREFIX}")
    wait_forever()


def run(standins: Sequence[Standin]) -> None:
    """Serve until the process is ended."""
    for standin in standins:
        standin.start()
        click.echo(f"listening {standin.address}")
    wait_forever()

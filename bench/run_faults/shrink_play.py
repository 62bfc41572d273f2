"""Plays one seeded run in which workers change their capacity while entry processes fail."""

import time
from pathlib import Path

import gevent

from bench.run_faults.hosted_play import ENTRIES, ZONE, HostedPlay
from bench.standins.fleet_worker import FleetWorker
from bench.standins.run_record import RunRecord
from bench.tcp_proxy import Cut, Route, TcpProxy

__all__ = ["ShrinkPlay", "starts_over_capacity"]

CAPACITY_IN_FORCE_S = 4.5  # `contact-ms` and one heartbeat of the worker
STEADY_S = 7.0  # of a capacity, so that starts are seen when only the latest one counts
SLOTS_MAX = 2
STORE = "store"
STORE_NETWORK, STORE_PORT = 200, 2379
CUT_MAX_S = 8.0


def starts_over_capacity(
    runs: list[RunRecord], slots: list[tuple[float, int]], now_s: float
) -> list[RunRecord]:
    """Return the starts that brought a worker over each capacity that still counted.

    Args:
        runs: the runs on one worker, over all its incarnations.
        slots: time in seconds and number of slots of each change of its capacity, the first one
            from its start.
        now_s: the current monotonic time, the end of runs that are active.

    Examples:
        >>> first, second = RunRecord("j.0.0.0", 1, 0.0), RunRecord("j.0.0.1", 1, 0.0)
        >>> first.started_s, second.started_s = 10.0, 10.1
        >>> len(starts_over_capacity([first, second], [(0.0, 2), (5.0, 1)], 11.0))
        1
        >>> starts_over_capacity([first, second], [(0.0, 2), (8.0, 1)], 11.0)
        []
    """
    return [
        run
        for run in runs
        if _active_beside(run, runs, now_s) >= _largest_in_force(slots, run.started_s)
    ]


def _active_beside(run: RunRecord, runs: list[RunRecord], now_s: float) -> int:
    """Return how many earlier runs of the same incarnation were active as a run started."""
    return sum(
        other.started_s < run.started_s < (other.ended_s or now_s)
        for other in runs
        if other.incarnation == run.incarnation
    )


def _largest_in_force(slots: list[tuple[float, int]], at_s: float) -> int:
    """Return the largest number of slots that a scheduler may count on at a time."""
    replaced_s = [later_s for later_s, _ in slots[1:]] + [float("inf")]
    return max(
        number
        for (since_s, number), until_s in zip(slots, replaced_s, strict=True)
        if since_s <= at_s < until_s + CAPACITY_IN_FORCE_S
    )


class ShrinkPlay(HostedPlay):
    """Best-effort jobs on workers without a guard, whose capacity shrinks and grows.

    Each entry process calls the store through a proxy, and is cut off from it at times.

    Args:
        seed: seed of jobs and faults; times differ from play to play.
        log_dir: folder for the logs of the entry processes.
        base: second byte of the loopback addresses.

    Attributes:
        over_capacity: starts that brought a worker over its capacity.
    """

    pause_max_ms = 8000.0

    __slots__ = ("over_capacity", "_slots", "_proxy", "_cuts")

    def __init__(self, seed: int, log_dir: Path, base: int) -> None:
        super().__init__(seed, log_dir, base)
        self._proxy = TcpProxy(f"127.{self._fleet.base}.0.1:0")
        self._cuts: list[Cut] = []
        self.over_capacity: list[RunRecord] = []
        self._slots: dict[FleetWorker, list[tuple[float, int]]] = {}
        self._actions += [self._cut_from_store]
        self._actions += [self._change_capacity] * len(self._actions)

    def start(self) -> None:
        """Start the fleet; its workers run whatever they are told to."""
        super().start()
        for worker in self._fleet.site.workers:
            worker.faults.has_no_guard = True
            self._slots[worker] = [(0.0, worker.slots)]

    def execute(self, duration_s: float) -> None:
        """Inject faults under load for a time in seconds, then check the runs of the workers."""
        super().execute(duration_s)
        now_s = time.monotonic()
        for worker, slots in self._slots.items():
            self.over_capacity += starts_over_capacity(worker.runs, slots, now_s)

    def close(self) -> None:
        """Stop entry processes, stand-ins and the proxy."""
        super().close()
        for entry in self._fleet.entries:
            self._proxy.close_route(entry.store_address)

    def summary(self) -> str:
        """Return the numbers of runs and of findings."""
        return f"{super().summary()}, {len(self.over_capacity)} over the capacity"

    def describe(self) -> str:
        """Return what was found, with the changes of capacity and the faults."""
        changes = [f"{worker.worker_id}: {slots}" for worker, slots in self._slots.items()]
        found = [f"over capacity: {run!r}" for run in self.over_capacity]
        return "\n".join([*found, *changes, super().describe()])

    def has_findings(self) -> bool:
        """Return whether anything must not have happened."""
        return bool(self.over_capacity or self.overlaps)

    def _add_entry(self, number: int) -> None:
        listen = f"127.{self._fleet.base}.{STORE_NETWORK}.{number}:{STORE_PORT}"
        source = f"{number}"
        self._proxy.open_route(Route(listen, self._fleet.site.store.address, STORE, source))
        self._fleet.add_entry(ZONE, number, listen)

    def _cut_from_store(self) -> str:
        """Lose the bytes between a process and the store for a while, in one or both directions."""
        source = f"{self._random.randint(1, ENTRIES)}"
        duration_s = self._random.uniform(0.5, CUT_MAX_S)
        there, back = Cut([source], [STORE]), Cut([STORE], [source])
        cuts = self._random.choice([[there], [back], [there, back]])
        self._set_cuts(self._cuts + cuts)
        gevent.spawn_later(duration_s, self._end_cuts, cuts)
        return f"cut for {duration_s:.1f} s: {cuts}"

    def _end_cuts(self, cuts: list[Cut]) -> None:
        self._set_cuts([cut for cut in self._cuts if not any(cut is ended for ended in cuts)])

    def _set_cuts(self, cuts: list[Cut]) -> None:
        self._cuts = cuts
        self._proxy.set_cuts(cuts)

    def _change_capacity(self) -> str:
        worker = min(self._slots, key=lambda worker: self._slots[worker][-1][0])
        is_steady = time.monotonic() < self._slots[worker][-1][0] + STEADY_S
        if is_steady or not worker.is_up:
            return f"{worker.worker_id} keeps its capacity"
        slots = self._random.randint(0, SLOTS_MAX)
        worker.set_slots(slots)
        self._slots[worker].append((time.monotonic(), slots))
        return f"{worker.worker_id} has {slots} slots"

"""Plays one seeded run of four zones with lost owners, late commands and restarted workers."""

import signal
import time
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path

import gevent

from bench.fleet import LINK_PORT
from bench.hosted_fleet import HostedEntry
from bench.run_faults.run_checker import runs_of
from bench.run_faults.run_gaps import RunGap, StartLog, find_gaps, lines_of_job
from bench.run_faults.zones_play import ATTEMPTS_MAX, LONG, TASKS_MAX, ZonesPlay
from bench.standins.fleet_worker import FleetWorker
from bench.tcp_proxy import Cut, Route, TcpProxy

__all__ = ["LateZonesPlay"]

LATE_SHARES = (0.02, 0.1, 0.3)
LATE_FAULTS = {"late_outlives_restart": True, "late_min_ms": 200.0, "late_max_ms": 6000.0}
LATE_ORDER_SHARE = 0.9
BURST_JOBS = 4
CRASH_LOOP_SHARE = 0.4
CRASH_LOOP_RESTARTS = 6
CRASH_LOOP_PAUSES_S = (0.4, 0.9)
FAULTY_MAX = 3
LOSS_INTERVAL_S = 20.0
RESTART_SHARE = 0.5
RESTARTS_AFTER_S = (0.1, 2.5)
SILENCES_S = (1.0, 2.0)
LOSSES_AFTER_S = (0.02, 0.6)
ADVERTISED_LINK_PORT = LINK_PORT + 1


class LateZonesPlay(ZonesPlay):
    """The play of four zones with late commands, mute workers and restarted workers besides.

    A share of all commands is carried out late, by a later incarnation too. Workers in the zone of
    a lost process restart soon after it, as machines of one rack do.

    Args:
        seed: seed of the zones, jobs and faults; times differ from play to play.
        log_dir: folder for the logs of the entry processes.
        base: second byte of the loopback addresses.
        attempts_max: how often callers send a job; each task has one owner if it is 1.
        has_silent_links: whether links between entry processes are silent in one direction at
            times, also right before the silent process is killed.
        has_spaced_losses: whether at most two processes are lost or stopped within
            ``LOSS_INTERVAL_S``, so that two of those that know of a start remain.

    Attributes:
        gaps: the gaps between successive runs of a task on two workers.
    """

    __slots__ = ("gaps", "_log_dir", "_proxy", "_cuts", "_next_loss_s")

    def __init__(
        self,
        seed: int,
        log_dir: Path,
        base: int,
        attempts_max: int = ATTEMPTS_MAX,
        has_silent_links: bool = False,
        has_spaced_losses: bool = False,
    ) -> None:
        super().__init__(seed, log_dir, base, attempts_max)
        self.gaps: list[RunGap] = []
        self._log_dir = log_dir
        self._proxy = TcpProxy(f"127.{base}.0.1:0") if has_silent_links else None
        self._cuts: list[Cut] = []
        self._next_loss_s = 0.0
        self._actions += [self._restart_worker, self._mute_worker, self._restart_worker]
        if has_silent_links:
            self._actions += [self._silence_link, self._silence_and_lose, self._silence_and_lose]
        if has_spaced_losses:
            losses = (self._lose_owner_and_scheduler, self._stop_entry, self._silence_and_lose)
            self._actions = [self._spaced(a) if a in losses else a for a in self._actions]

    def start(self) -> None:
        """Start the processes, and delay a share of the commands of all workers."""
        super().start()
        share = self._random.choice(LATE_SHARES)
        for worker in self._fleet.site.workers:
            worker.faults.late_share = share
            for name, value in LATE_FAULTS.items():
                setattr(worker.faults, name, value)
        self._note(f"a share {share} of all commands is late")

    def execute(self, duration_s: float) -> None:
        """Play, then measure the gaps between the runs of a task on two workers."""
        super().execute(duration_s)
        log = StartLog(self._log_dir, _epoch_s())
        self.gaps = find_gaps(runs_of(self._fleet.site.workers), log)

    def close(self) -> None:
        """Stop entry processes, stand-ins and the proxy; start no process again."""
        super().close()
        if self._proxy is not None:
            for entry in self._fleet.entries:
                self._proxy.close_route(entry.advertised_link_address)

    def short_gaps(self) -> list[RunGap]:
        """Return the gaps of starts that relied on time and kept less than their margin."""
        return [gap for gap in self.gaps if gap.is_too_short]

    def summary(self) -> str:
        """Return the numbers of runs and findings, and the least gap for each evidence."""
        durations_ms = defaultdict(list)
        for gap in self.gaps:
            if gap.duration_ms >= 0:
                durations_ms[gap.evidence].append(gap.duration_ms)
        rows = [
            f"{evidence}: {len(values)} gaps, least {min(values):.0f} ms"
            for evidence, values in sorted(durations_ms.items())
        ]
        count = len(self.short_gaps())
        return "\n  ".join([f"{super().summary()}, {count} gaps below the margin", *rows])

    def has_findings(self) -> bool:
        """Return whether anything must not have happened."""
        return bool(self.overlaps or self.short_gaps())

    def describe(self) -> str:
        """Return what was found, with the lines of the logs on the jobs concerned."""
        short_gaps = self.short_gaps()
        tasks = [overlap.task for overlap in self.overlaps]
        tasks += [gap.earlier.task for gap in short_gaps]
        jobs = dict.fromkeys(task.partition(".")[0] for task in tasks)
        runs = [run for run in runs_of(self._fleet.site.workers) if run.task in tasks]
        lines = [line for job in jobs for line in lines_of_job(self._log_dir, job, _epoch_s())]
        return "\n".join(
            [*map(repr, short_gaps), *sorted(map(repr, runs)), *lines, super().describe()]
        )

    def _start_entry(self, zone: str, number: int) -> HostedEntry:
        """Start an entry process whose peers reach it through the proxy, if there is one."""
        if self._proxy is None:
            return super()._start_entry(zone, number)
        host = self._fleet.host_of(zone, number)
        advertised = f"{host}:{ADVERTISED_LINK_PORT}"
        self._proxy.open_route(Route(advertised, f"{host}:{LINK_PORT}", host))
        return self._fleet.add_entry(zone, number, link_address=advertised)

    def _spaced(self, action: Callable[[], str]) -> Callable[[], str]:
        """Return an action that loses processes no sooner than some time after the last loss."""
        return lambda: "no loss now" if time.monotonic() < self._next_loss_s else action()

    def _spawn(self, fault: object, entry: HostedEntry, *arguments: object) -> None:
        """Start a fault of a process, and note the time of the next loss after a loss."""
        super()._spawn(fault, entry, *arguments)
        if fault != self._stop_in_slices:
            self._next_loss_s = time.monotonic() + LOSS_INTERVAL_S

    def _lose(self, entry: HostedEntry, by: signal.Signals, after_s: float) -> None:
        """Lose a process; workers of its zone restart some time later."""
        self._fault_greenlets.append(gevent.spawn(self._restart_workers, entry.zone, after_s))
        super()._lose(entry, by, after_s)

    def _restart_workers(self, zone: str, after_s: float) -> None:
        """Restart a share of the workers of a zone after a process of it is lost."""
        workers = [worker for worker in self._fleet.site.workers if worker.zone == zone]
        delays_s = {
            worker: after_s + self._random.uniform(*RESTARTS_AFTER_S)
            for worker in workers
            if self._random.random() < RESTART_SHARE
        }
        began_s = time.monotonic()
        for worker, delay_s in sorted(delays_s.items(), key=lambda item: item[1]):
            gevent.sleep(max(0.0, began_s + delay_s - time.monotonic()))
            if worker.is_up:
                self._note(f"{worker.worker_id} restarts")
                gevent.spawn(worker.restart)

    def _silence_link(self) -> str:
        """Hold back the messages of one process to another for a while."""
        source, destination = self._random.sample(self._fleet.entries, 2)
        duration_s = self._silence(source, destination)
        return f"{source.host} is not heard by {destination.host} for {duration_s:.2f} s"

    def _silence_and_lose(self) -> str:
        """Silence a scheduler towards an owner, and kill it soon after.

        The owner gets several jobs at once meanwhile, commands to the workers of the zone are
        mostly late, and some of these workers crash over and over afterwards.
        """
        free = self._free_entries()
        pairs = [(s, owner) for owner in free for s in self._schedulers_for(owner)]
        if not pairs or len(free) < len(self._fleet.entries) - FAULTY_MAX:
            return "no scheduler to silence"
        scheduler, owner = self._random.choice(pairs)
        after_s = self._random.uniform(*LOSSES_AFTER_S)
        duration_s = self._silence(scheduler, owner)
        self._delay_orders(scheduler.zone, after_s)
        for worker in self._fleet.site.workers:
            if worker.zone == scheduler.zone and self._random.random() < CRASH_LOOP_SHARE:
                greenlet = gevent.spawn(self._restart_repeatedly, worker, after_s)
                self._fault_greenlets.append(greenlet)
        for _ in range(BURST_JOBS):
            job_id = f"{self._random.getrandbits(64):016x}"
            self._fault_greenlets.append(gevent.spawn(self._submit, owner, job_id, TASKS_MAX, LONG))
        self._spawn(self._lose_silent, scheduler, after_s)
        return (
            f"{scheduler.host} is not heard by {owner.host} for {duration_s:.2f} s, "
            f"and killed after {after_s:.2f} s"
        )

    def _lose_silent(self, entry: HostedEntry, after_s: float) -> None:
        """Kill a process; what a cut holds back of it then never arrives."""
        gevent.spawn_later(after_s, self._proxy.lose_host, entry.host)
        self._lose(entry, signal.SIGKILL, after_s)

    def _restart_repeatedly(self, worker: FleetWorker, after_s: float) -> None:
        """Restart a worker several times, so that its incarnations are new to the schedulers."""
        gevent.sleep(after_s)
        for _ in range(CRASH_LOOP_RESTARTS):
            gevent.sleep(self._random.uniform(*CRASH_LOOP_PAUSES_S))
            if worker.is_up:
                self._note(f"{worker.worker_id} restarts")
                worker.restart()

    def _delay_orders(self, zone: str, duration_s: float) -> None:
        """Delay more of the start and stop commands to the workers of a zone for a while."""
        for worker in self._fleet.site.workers:
            if worker.zone == zone:
                worker.faults.late_order_share = LATE_ORDER_SHARE
                gevent.spawn_later(duration_s, setattr, worker.faults, "late_order_share", 0.0)

    def _silence(self, source: HostedEntry, destination: HostedEntry) -> float:
        """Cut one direction between two processes for a while and return its length in seconds."""
        duration_s = self._random.uniform(*SILENCES_S)
        cut = Cut([source.host], [destination.host])
        self._set_cuts([*self._cuts, cut])
        gevent.spawn_later(duration_s, self._end_cut, cut)
        return duration_s

    def _end_cut(self, ended: Cut) -> None:
        self._set_cuts([cut for cut in self._cuts if cut is not ended])

    def _set_cuts(self, cuts: list[Cut]) -> None:
        self._cuts = cuts
        self._proxy.set_cuts(cuts)


def _epoch_s() -> float:
    """Return the time since the Unix epoch at which the monotonic clock was 0, in seconds."""
    return time.time() - time.monotonic()

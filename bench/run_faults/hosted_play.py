"""Plays one seeded run of real entry processes on the stand-ins of a hosted platform."""

import http.client
import json
import random
import signal
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import gevent

from bench.hosted_fleet import HostedEntry, HostedFleet
from bench.run_faults.callers import RESEND_PAUSE_MS
from bench.run_faults.run_checker import Overlap, find_overlaps, runs_of
from bench.standins.fleet_site import QUEUE_HOST, QUEUE_PATH_PREFIX, job_body
from bench.standins.fleet_worker import FleetWorker

__all__ = ["HostedPlay", "submit_best_effort"]

ZONE = "north"
ENTRIES = 3
WORKERS = 6
RUN_MS = 250.0
CALLERS = 12
TASKS_MAX = 3
ATTEMPTS_MAX = 4
GIVE_UP_SHARE = 0.3
DEADLINE_MS = 2500.0
FAULT_PAUSE_MAX_S = 0.6
SETTLE_S = 1.5
EXIT_TIMEOUT_S = 8.0
STOP_MS = 40.0
REPEATED_STATUSES = (0, 502, 504)
MS_PER_S = 1000.0


class HostedPlay:
    """Entry processes under load that are paused, killed and stopped while workers restart.

    Args:
        seed: seed of jobs and faults; times differ from play to play.
        log_dir: folder for the logs of the entry processes.
        base: second byte of the loopback addresses.

    Attributes:
        faults: time in seconds and description of each fault.
        statuses: number of answers by status, 0 for none.
        overlaps: every two runs of a task that were active at the same time.
        pause_max_ms: longest pause of an entry process in milliseconds.
    """

    pause_max_ms = 2500.0

    __slots__ = (
        "faults",
        "statuses",
        "overlaps",
        "_fleet",
        "_random",
        "_seed",
        "_actions",
        "_restarts",
        "_ending_hosts",
        "_is_closed",
    )

    def __init__(self, seed: int, log_dir: Path, base: int) -> None:
        self.faults: list[str] = []
        self.statuses: Counter = Counter()
        self.overlaps: list[Overlap] = []
        self._seed = seed
        self._restarts: list[gevent.Greenlet] = []
        self._ending_hosts: set[str] = set()
        self._is_closed = False
        self._random = random.Random(f"hosted {seed}")
        self._actions: list[Callable[[], str]] = [
            self._pause_entry,
            self._kill_entry,
            self._stop_entry,
            self._restart_worker,
            self._restart_worker,
            self._mute_worker,
            self._delay_commands,
        ]
        self._fleet = self._create_fleet(log_dir, base)

    def start(self) -> None:
        """Start the entry processes and wait until all of them complete jobs."""
        for number in range(ENTRIES):
            self._add_entry(number + 1)
        self._fleet.wait_ready()
        for worker in self._fleet.site.workers:
            worker.faults.stop_ms = STOP_MS

    def close(self) -> None:
        """Stop entry processes and stand-ins; start no process again."""
        self._is_closed = True
        gevent.joinall(self._restarts)
        self._fleet.close()

    def execute(self, duration_s: float) -> None:
        """Inject faults under load for a time in seconds, then check the runs of the workers."""
        until_s = time.monotonic() + duration_s
        callers = [
            gevent.spawn(self._submit_jobs, random.Random(f"{self._seed} {number}"), until_s)
            for number in range(CALLERS)
        ]
        while time.monotonic() < until_s:
            gevent.sleep(self._random.uniform(0.0, FAULT_PAUSE_MAX_S))
            at_s = time.monotonic()
            self.faults.append(f"{at_s:.3f} s {self._random.choice(self._actions)()}")
        gevent.sleep(SETTLE_S)
        gevent.killall(callers)
        self.overlaps = find_overlaps(runs_of(self._fleet.site.workers))

    def started_runs(self) -> int:
        """Return the number of runs that were started."""
        return len(runs_of(self._fleet.site.workers))

    def summary(self) -> str:
        """Return the numbers of runs and of findings."""
        return f"{self.started_runs()} runs, {len(self.overlaps)} at the same time"

    def describe(self) -> str:
        """Return the seed, the runs at the same time and the faults."""
        return "\n".join([f"seed {self._seed}", *map(repr, self.overlaps), *self.faults])

    def _create_fleet(self, log_dir: Path, base: int) -> HostedFleet:
        return HostedFleet([ZONE], WORKERS, log_dir, base, RUN_MS)

    def _add_entry(self, number: int) -> None:
        self._fleet.add_entry(ZONE, number)

    def _submit_jobs(self, rng: random.Random, until_s: float) -> None:
        while time.monotonic() < until_s:
            job_id, tasks = f"{rng.getrandbits(64):016x}", rng.randint(1, TASKS_MAX)
            for _ in range(ATTEMPTS_MAX):
                patience_ms = DEADLINE_MS
                if rng.random() < GIVE_UP_SHARE:
                    patience_ms = rng.uniform(20, 900)
                status = submit_best_effort(
                    rng.choice(self._fleet.entries), job_id, tasks, patience_ms
                )
                self.statuses[status] += 1
                if status not in REPEATED_STATUSES:
                    break
                gevent.sleep(RESEND_PAUSE_MS / MS_PER_S)

    def _pick_entry(self) -> HostedEntry | None:
        """Return an entry process that runs and does not end, None if it would be the last one."""
        running = [entry for entry in self._fleet.entries if entry.host not in self._ending_hosts]
        return self._random.choice(running) if len(running) > 1 else None

    def _pause_entry(self) -> str:
        entry, duration_ms = self._pick_entry(), self._random.uniform(300, self.pause_max_ms)
        if entry is None:
            return "no process to pause"
        process = entry.process
        process.send_signal(signal.SIGSTOP)
        gevent.spawn_later(duration_ms / MS_PER_S, process.send_signal, signal.SIGCONT)
        return f"{entry.host} is paused for {duration_ms:.0f} ms"

    def _kill_entry(self) -> str:
        entry = self._pick_entry()
        if entry is None:
            return "no process to kill"
        entry.process.kill()
        self._restarts.append(gevent.spawn(self._start_again, entry))
        return f"{entry.host} is killed"

    def _stop_entry(self) -> str:
        entry = self._pick_entry()
        if entry is None:
            return "no process to stop"
        entry.process.send_signal(signal.SIGTERM)
        self._restarts.append(gevent.spawn(self._start_again, entry))
        return f"{entry.host} is stopped"

    def _start_again(self, entry: HostedEntry) -> None:
        self._ending_hosts.add(entry.host)
        until_s = time.monotonic() + EXIT_TIMEOUT_S
        process = entry.process
        while process.poll() is None and time.monotonic() < until_s and not self._is_closed:
            gevent.sleep(0.05)
        if process.poll() is not None and not self._is_closed:
            self._fleet.start_entry(entry)
            self._ending_hosts.discard(entry.host)

    def _restart_worker(self) -> str:
        worker = self._random.choice(self._fleet.site.workers)
        down_ms = self._random.choice([0.0, 30.0, 200.0])
        if not worker.is_up:
            return f"{worker.worker_id} is down already"
        gevent.spawn(worker.restart, down_ms)
        return f"{worker.worker_id} restarts, down {down_ms:.0f} ms"

    def _mute_worker(self) -> str:
        return self._set_for_a_while(mute=True)

    def _delay_commands(self) -> str:
        return self._set_for_a_while(late_share=0.3, late_min_ms=200.0)

    def _set_for_a_while(self, **faults: object) -> str:
        worker = self._random.choice(self._fleet.site.workers)
        duration_ms = self._random.uniform(200, 2000)
        defaults = {name: getattr(type(worker.faults)(), name) for name in faults}
        _set_faults(worker, faults)
        gevent.spawn_later(duration_ms / MS_PER_S, _set_faults, worker, defaults)
        return f"{worker.worker_id} for {duration_ms:.0f} ms: {faults}"


def _set_faults(worker: FleetWorker, faults: dict[str, object]) -> None:
    for name, value in faults.items():
        setattr(worker.faults, name, value)


def submit_best_effort(entry: HostedEntry, job_id: str, tasks: int, patience_ms: float) -> int:
    """Submit a job and return the status; 0 without an answer until the caller gives up."""
    host, _, port = entry.http_address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=patience_ms / MS_PER_S)
    headers = {"Host": QUEUE_HOST, "Camphorchute-Deadline-Ms": str(int(DEADLINE_MS))}
    body = json.dumps(job_body(tasks, RUN_MS))
    try:
        with gevent.Timeout(patience_ms / MS_PER_S, False):
            connection.request("POST", QUEUE_PATH_PREFIX + job_id, body, headers)
            return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()
    return 0

"""Plays one seeded run of entry processes in several zones whose owners and schedulers are lost."""

import http.client
import json
import random
import signal
import time
from pathlib import Path

import gevent
from gevent.event import Event

from bench.hosted_fleet import HostedEntry, HostedFleet
from bench.run_faults.callers import RESEND_PAUSE_MS
from bench.run_faults.hosted_play import EXIT_TIMEOUT_S, MS_PER_S, REPEATED_STATUSES, HostedPlay
from bench.run_faults.run_checker import find_overlaps, runs_of
from bench.standins.fleet_site import QUEUE_HOST, QUEUE_PATH_PREFIX, job_body

__all__ = ["ZonesPlay"]

ZONES = ("north", "south", "yard", "east")
ENTRIES = (1, 2, 2, 3)
WORKERS = 5
STOP_MS = 50.0
CALLERS = 16
TASKS_MAX = 3
ATTEMPTS_MAX = 4
LONG, SHORT = "long", "short"
RUN_TIMES_MS = {LONG: 2500.0, SHORT: 250.0}
LONG_SHARE = 0.7
DEADLINE_MS = 4500.0
FAULT_PAUSES_S = (0.1, 0.7)
NEXT_LOSS_S = (0.3, 1.0)
OUTAGES_S = (0.6, 4.0)
FREEZES_S = (0.1, 2.5)
STARVATIONS_S = (2.0, 6.0)
STOPPED_SLICES_S = (0.06, 0.08, 0.12)
RUNNING_SLICE_S = 0.03
REST_S = 1.0
LOST_MAX = 4
SETTLE_S = 3.0
INTERNAL_ERROR = 500


class ZonesPlay(HostedPlay):
    """Entry processes in four zones under load, lost in pairs, frozen, starved and stopped.

    A lost process is stopped (SIGSTOP) or killed, and its callers are cut off at that moment. They
    send an unanswered job again to another process exactly ``RESEND_PAUSE_MS`` later.

    Args:
        seed: seed of the zones, jobs and faults; times differ from play to play.
        log_dir: folder for the logs of the entry processes.
        base: second byte of the loopback addresses.
        attempts_max: how often callers send a job at most.
    """

    __slots__ = (
        "_cut_off",
        "_cut_s",
        "_jobs",
        "_faulty_hosts",
        "_fault_greenlets",
        "_starts",
        "_attempts_max",
    )

    def __init__(
        self, seed: int, log_dir: Path, base: int, attempts_max: int = ATTEMPTS_MAX
    ) -> None:
        super().__init__(seed, log_dir, base)
        self._attempts_max = attempts_max
        self._cut_off: dict[str, Event] = {}
        self._cut_s: dict[str, float] = {}
        self._jobs: dict[str, set[str]] = {}
        self._faulty_hosts: set[str] = set()
        self._fault_greenlets: list[gevent.Greenlet] = []
        self._starts: list[gevent.Greenlet] = []
        self._actions = [
            self._lose_owner_and_scheduler,
            self._lose_owner_and_scheduler,
            self._freeze,
            self._starve,
            self._stop_entry,
        ]

    def start(self) -> None:
        """Start the entry processes of all zones and wait until all of them complete jobs."""
        counts = self._random.sample(ENTRIES, len(ENTRIES))
        for zone, count in zip(ZONES, counts, strict=True):
            for number in range(count):
                entry = self._start_entry(zone, number + 1)
                self._cut_off[entry.host] = Event()
                self._jobs[entry.host] = set()
        self._fleet.wait_ready()
        for worker in self._fleet.site.workers:
            worker.faults.stop_ms = STOP_MS
            worker.run_ms_by_payload = dict(RUN_TIMES_MS)

    def execute(self, duration_s: float) -> None:
        """Inject faults under load for a time in seconds, then check the runs of the workers."""
        until_s = time.monotonic() + duration_s
        callers = [
            gevent.spawn(self._submit_jobs, random.Random(f"{self._seed} {number}"), until_s)
            for number in range(CALLERS)
        ]
        while time.monotonic() < until_s:
            gevent.sleep(self._random.uniform(*FAULT_PAUSES_S))
            self._note(self._random.choice(self._actions)())
        gevent.sleep(SETTLE_S)
        gevent.killall(callers)
        self.overlaps = find_overlaps(runs_of(self._fleet.site.workers))

    def close(self) -> None:
        """Stop entry processes and stand-ins; start no process again."""
        self._is_closed = True
        gevent.killall(self._fault_greenlets)
        gevent.joinall(self._starts)
        super().close()

    def summary(self) -> str:
        """Return the numbers of runs, of findings and of answers by status."""
        return f"{super().summary()}, answers {dict(sorted(self.statuses.items()))}"

    def has_findings(self) -> bool:
        """Return whether anything must not have happened."""
        return bool(self.overlaps)

    def _create_fleet(self, log_dir: Path, base: int) -> HostedFleet:
        return HostedFleet(list(ZONES), WORKERS, log_dir, base, RUN_TIMES_MS[SHORT])

    def _start_entry(self, zone: str, number: int) -> HostedEntry:
        return self._fleet.add_entry(zone, number)

    def _note(self, text: str) -> None:
        self.faults.append(f"{time.monotonic():.3f} s {text}")

    def _submit_jobs(self, rng: random.Random, until_s: float) -> None:
        while time.monotonic() < until_s:
            job_id, tasks = f"{rng.getrandbits(64):016x}", rng.randint(1, TASKS_MAX)
            payload = LONG if rng.random() < LONG_SHARE else SHORT
            last_host = ""
            for _ in range(self._attempts_max):
                entry = rng.choice(self._reachable_entries(last_host))
                last_host = entry.host
                status, ended_s = self._submit(entry, job_id, tasks, payload)
                self.statuses[status] += 1
                if status not in REPEATED_STATUSES:
                    break
                gevent.sleep(max(0.0, ended_s + RESEND_PAUSE_MS / MS_PER_S - time.monotonic()))

    def _reachable_entries(self, except_host: str) -> list[HostedEntry]:
        return [
            entry
            for entry in self._fleet.entries
            if entry.host != except_host and not self._cut_off[entry.host].is_set()
        ]

    def _submit(
        self, entry: HostedEntry, job_id: str, tasks: int, payload: str
    ) -> tuple[int, float]:
        """Submit a job; return the status, 0 without an answer, and the time of the end."""
        self._jobs[entry.host].add(job_id)
        request = gevent.spawn(_request, entry.http_address, job_id, tasks, payload)
        cut_off = self._cut_off[entry.host]
        gevent.wait([request, cut_off], timeout=DEADLINE_MS / MS_PER_S, count=1)
        ended_s = self._cut_s[entry.host] if cut_off.is_set() else time.monotonic()
        status, answer = request.value if request.successful() else (0, "")
        request.kill()
        self._jobs[entry.host].discard(job_id)
        if status == INTERNAL_ERROR:
            self._note(f"{entry.host} answers {status} for job {job_id}: {answer}")
        return status, ended_s

    def _lose_owner_and_scheduler(self) -> str:
        """Lose an owner, and a little later the scheduler that runs tasks of it."""
        owners = [entry for entry in self._free_entries() if self._schedulers_for(entry)]
        if not owners or self._lost_entries() > LOST_MAX - 2:
            return "no owner to lose"
        owner = self._random.choice(owners)
        next_loss_s = self._random.uniform(*NEXT_LOSS_S)
        scheduler = self._random.choice(self._schedulers_for(owner))
        self._spawn(self._lose, owner, signal.SIGSTOP, 0.0)
        by = self._random.choice([signal.SIGSTOP, signal.SIGKILL])
        self._spawn(self._lose, scheduler, by, next_loss_s)
        return f"{owner.host} is lost, {next_loss_s:.2f} s later {scheduler.host} by {by.name}"

    def _schedulers_for(self, owner: HostedEntry) -> list[HostedEntry]:
        """Return the other processes without a fault that run tasks of a process now."""
        zones = {
            worker.zone
            for worker in self._fleet.site.workers
            for run in worker.runs
            if not run.ended_s and run.task.partition(".")[0] in self._jobs[owner.host]
        }
        free = [entry for entry in self._free_entries() if entry is not owner]
        schedulers = map(self._scheduler_of, sorted(zones))
        return [entry for entry in schedulers if entry in free]

    def _scheduler_of(self, zone: str) -> HostedEntry | None:
        """Return the scheduler of a zone's workers, None while no process holds the claim."""
        try:
            return self._fleet.scheduler_of(zone)
        except (KeyError, StopIteration):
            return None

    def _lose(self, entry: HostedEntry, by: signal.Signals, after_s: float) -> None:
        """Stop or kill a process and cut off its callers; wake or start it some time later."""
        outage_s = self._random.uniform(*OUTAGES_S)
        is_killed = by == signal.SIGKILL or self._random.random() < 0.5
        self._faulty_hosts.add(entry.host)
        gevent.sleep(after_s)
        entry.process.send_signal(by)
        self._cut_s[entry.host] = time.monotonic()
        self._cut_off[entry.host].set()
        gevent.sleep(outage_s)
        if is_killed:
            entry.process.kill()
            entry.process.wait()
            self._start_process(entry)
        else:
            entry.process.send_signal(signal.SIGCONT)
        self._note(f"{entry.host} is {'started' if is_killed else 'woken'}")
        self._cut_off[entry.host].clear()
        self._rest(entry)

    def _freeze(self) -> str:
        entry, duration_s = self._pick_entry(), self._random.uniform(*FREEZES_S)
        if entry is None:
            return "no process to freeze"
        self._spawn(self._stop_in_slices, entry, duration_s, 0.0)
        return f"{entry.host} is frozen for {duration_s:.2f} s"

    def _starve(self) -> str:
        entry, duration_s = self._pick_entry(), self._random.uniform(*STARVATIONS_S)
        if entry is None:
            return "no process to starve"
        slice_s = self._random.choice(STOPPED_SLICES_S)
        self._spawn(self._stop_in_slices, entry, slice_s, duration_s)
        return f"{entry.host} is starved for {duration_s:.2f} s, in slices of {slice_s} s"

    def _stop_entry(self) -> str:
        entry = self._pick_entry()
        if entry is None:
            return "no process to stop"
        self._spawn(self._end_and_restart, entry)
        return f"{entry.host} is stopped"

    def _stop_in_slices(self, entry: HostedEntry, slice_s: float, duration_s: float) -> None:
        """Stop a process for one slice, and again until a time in seconds has passed."""
        until_s = time.monotonic() + duration_s
        self._faulty_hosts.add(entry.host)
        while True:
            entry.process.send_signal(signal.SIGSTOP)
            gevent.sleep(slice_s)
            entry.process.send_signal(signal.SIGCONT)
            gevent.sleep(RUNNING_SLICE_S)
            if time.monotonic() >= until_s:
                break
        self._rest(entry)

    def _end_and_restart(self, entry: HostedEntry) -> None:
        self._faulty_hosts.add(entry.host)
        entry.process.send_signal(signal.SIGTERM)
        until_s = time.monotonic() + EXIT_TIMEOUT_S
        while entry.process.poll() is None and time.monotonic() < until_s:
            gevent.sleep(0.05)
        if entry.process.poll() is None:
            self._note(f"{entry.host} has not ended {EXIT_TIMEOUT_S} s after SIGTERM")
            entry.process.kill()
            entry.process.wait()
        self._start_process(entry)
        self._rest(entry)

    def _start_process(self, entry: HostedEntry) -> None:
        """Start a process in a greenlet of its own, which is not killed while it does so."""
        start = gevent.spawn(self._fleet.start_entry, entry)
        self._starts.append(start)
        start.join()

    def _rest(self, entry: HostedEntry) -> None:
        gevent.sleep(REST_S)
        self._faulty_hosts.discard(entry.host)

    def _free_entries(self) -> list[HostedEntry]:
        """Return the entry processes without a fault."""
        return [e for e in self._fleet.entries if e.host not in self._faulty_hosts]

    def _lost_entries(self) -> int:
        return sum(cut_off.is_set() for cut_off in self._cut_off.values())

    def _pick_entry(self) -> HostedEntry | None:
        """Return an entry process without a fault, None if few are left."""
        free = self._free_entries()
        return self._random.choice(free) if len(free) > len(ZONES) - 1 else None

    def _spawn(self, fault: object, entry: HostedEntry, *arguments: object) -> None:
        self._faulty_hosts.add(entry.host)
        self._fault_greenlets.append(gevent.spawn(fault, entry, *arguments))


def _request(address: str, job_id: str, tasks: int, payload: str) -> tuple[int, str]:
    """Submit a job and return status and body; 0 and the error without an answer."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=DEADLINE_MS / MS_PER_S)
    headers = {"Host": QUEUE_HOST, "Camphorchute-Deadline-Ms": str(int(DEADLINE_MS))}
    body = json.dumps(job_body(tasks, RUN_TIMES_MS[payload], spec=payload))
    try:
        connection.request("POST", QUEUE_PATH_PREFIX + job_id, body, headers)
        response = connection.getresponse()
        return response.status, response.read().decode(errors="replace")
    except (OSError, http.client.HTTPException) as error:
        return 0, repr(error)
    finally:
        connection.close()

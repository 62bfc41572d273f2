"""A small deployment for the cases of the third review: stand-ins, entry processes, clients.

The stand-ins (store, workers) are the project's own, with heartbeats of the workers and a rule by
which runs fail. The entry processes are started with the command and the settings of the deploy
file. Everything listens on loopback addresses.
"""

from gevent import monkey

monkey.patch_all()

import base64  # noqa: E402
import http.client  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import shutil  # noqa: E402
import signal  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from collections.abc import Callable  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402

from bench.address_base import reserve_address_base  # noqa: E402
from bench.standins.fleet_store import FleetStore  # noqa: E402
from bench.standins.fleet_worker import FleetWorker  # noqa: E402
from bench.standins.run_record import RunRecord  # noqa: E402
from bench.tcp_proxy import Cut, Route, TcpProxy  # noqa: E402

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "flags.example"
PREFIX = "/checks/"
SERVICE = "flags"
HEARTBEAT_S = 1.5
EXPIRY_S = 3 * HEARTBEAT_S
STORE = "store"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
MAX_RUN_S = 118
STARTED: list[subprocess.Popen] = []


class Worker(FleetWorker):
    """A worker that writes its entry at each heartbeat; `fails` says which runs end `failed`.

    While it is cut off from the store its heartbeats are lost, and its entry is removed after three
    heartbeat intervals.
    """

    fails: Callable[[RunRecord], bool] = staticmethod(lambda run: False)
    seq = 0
    state = "ready"
    remaining_ms = 0
    public_address = ""
    is_cut_off = False
    beat_s = 0.0

    def start(self) -> None:
        super().start()
        self._beat = gevent.spawn(self._send_heartbeats)

    def close(self) -> None:
        self._beat.kill()
        super().close()

    def register(self, state: str) -> None:
        self.state = state
        if self.is_cut_off:
            return
        self.seq += 1
        self.beat_s = time.monotonic()
        entry = {
            "service": self._service,
            "address": self.public_address or self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self._slots,
            "state": state,
            "cold-left-ms": 0,
            "capacity": {"cpu": self._slots * 14_000, "mem-mb": self.memory_mb, "gpu": 0},
            "labels": ["a", "r1-1"],
            "born": self.born,
            "seq": self.seq,
        }
        if state == "draining":
            entry["remaining-ms"] = self.remaining_ms
        self._store.put(f"servers/{self._worker_id}", json.dumps(entry).encode())

    def _send_heartbeats(self) -> None:
        while True:
            gevent.sleep(HEARTBEAT_S)
            self.register(self.state)

    def crash_for_good(self) -> None:
        """Crash, and never come back; the entry is removed after three heartbeat intervals."""
        self._beat.kill()
        self._stop_listening()
        self._end_incarnation()

    def expire_entry(self) -> bool:
        """Remove the entry if the worker has been silent for too long; return whether it was."""
        key = f"servers/{self._worker_id}"
        if time.monotonic() - self.beat_s < EXPIRY_S or key not in self._store.items:
            return False
        self._store.remove(key)
        return True

    def _end_run(self, run: RunRecord, outcome: str) -> None:
        if outcome == "done" and self.fails(run):
            outcome = "failed"
        super()._end_run(run, outcome)


class ZoneProxy(TcpProxy):
    """A proxy that knows which entry process has opened a connection, by its process id."""

    def __init__(self, address: str, site: "Site") -> None:
        super().__init__(address)
        self._site = site

    def _forward(self, route: Route, near_sock: object, address: tuple) -> None:
        route = Route(route.listen, route.to, route.destination, self._source_of(address))
        super()._forward(route, near_sock, address)

    def _source_of(self, address: tuple) -> str:
        """Return the name of the entry process that has a socket with an address."""
        ip_hex = "".join(f"{int(part):02X}" for part in reversed(address[0].split(".")))
        local = f"{ip_hex}:{address[1]:04X}"
        rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
        inodes = {f"socket:[{row[9]}]" for row in rows if row[1] == local}
        for entry in self._site.entries:
            folder = Path(f"/proc/{entry.process.pid}/fd")
            try:
                if any(os.readlink(path) in inodes for path in folder.iterdir()):
                    return entry.name
            except OSError:
                continue
        return "unknown"


class Entry:
    """One entry process on a VM of its own."""

    def __init__(self, site: "Site", zone: str, number: int) -> None:
        self.zone = zone
        self.name = f"front-{zone}-{number}"
        self.ip = f"127.{site.base}.{sorted(site.zones).index(zone) + 1}.{number}"
        self.process: subprocess.Popen | None = None
        self._site = site

    @property
    def front(self) -> tuple[str, int]:
        return self.ip, 9200

    def start(self) -> None:
        site = self._site
        environment = {
            "PLATFORM": "fleet",
            "ZONE": self.zone,
            "ZONES": ",".join(site.zones),
            "HOST": self.name,
            "HTTP_ADDRESS": f"{self.ip}:9200",
            "READY_ADDRESS": f"{self.ip}:9400",
            "LINK_ADDRESS": f"{self.ip}:9300",
            "STORE_URL": f"http://{site.store_address}",
            "DRAIN_MS": "5400",
            "STORE_WRITES_PER_S": "400",
        }
        if site.proxy is not None:
            environment["ADVERTISE_LINK_ADDRESS"] = f"{self.ip}:9301"
        environment = {f"CAMPHORCHUTE_{name}": text for name, text in environment.items()}
        environment["PATH"] = os.environ["PATH"]
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(site.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "camphorchute", "entry"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        STARTED.append(self.process)
        site.note(f"{self.name} ({self.ip}) started")

    def signal(self, number: signal.Signals) -> None:
        self._site.note(f"{self.name}: {number.name}")
        self.process.send_signal(number)

    def kill_and_restart(self, down_s: float) -> None:
        """Kill the process; start it again after a delay, as the platform does."""
        self.signal(signal.SIGKILL)
        self.process.wait()
        gevent.sleep(down_s)
        self.start()

    def stop_and_restart(self, grace_s: float = 6.0) -> None:
        """Stop the process as planned work does, with SIGKILL after the grace; start it again."""
        self.signal(signal.SIGTERM)
        until_s = time.monotonic() + grace_s
        while self.process.poll() is None and time.monotonic() < until_s:
            gevent.sleep(0.02)
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()
        self._site.note(f"{self.name} ended")
        self.start()


class Site:
    """Stand-ins, entry processes and the record of what was sent, answered and run."""

    def __init__(
        self,
        zones: dict[str, tuple[int, int]],
        run_ms: float = 40.0,
        slots: int = 2,
        max_attempts: int = 3,
        is_proxied: bool = False,
    ) -> None:
        self.started_s = time.monotonic()
        self.lines: list[str] = []
        self.folder = Path(tempfile.mkdtemp(prefix="review3-"))
        self.zones = list(zones)
        self._reservation = reserve_address_base(60)
        self.base = self._reservation.number
        self.store = FleetStore(f"127.{self.base}.0.1:0")
        self.workers: list[Worker] = []
        self.entries: list[Entry] = []
        self.store.start()
        for zone, (entries, workers) in zones.items():
            self.entries += [Entry(self, zone, number + 1) for number in range(entries)]
            for number in range(workers):
                worker = Worker(
                    f"127.{self.base}.0.1:0",
                    self.store,
                    f"{zone}-w{number}",
                    zone,
                    SERVICE,
                    run_ms,
                    slots,
                )
                self.workers.append(worker)
        self.store_address = self.store.address
        self.proxy: ZoneProxy | None = None
        if is_proxied:
            self._open_proxy()
        self.configuration = {
            "version": 1,
            "routes": [
                {
                    "name": "checks",
                    "host": HOST,
                    "prefix": PREFIX,
                    "service": SERVICE,
                    "timeout-ms": 1500,
                    "target-latency-ms": 60,
                    "priority": 0,
                    "max-attempts": max_attempts,
                    "stretch": 1.6,
                }
            ],
            "services": [{"name": SERVICE, "rejects-overload": True}],
        }
        self.store.put("op/config", json.dumps(self.configuration).encode())

    def _open_proxy(self) -> None:
        """Put a proxy before the store, the workers and the links of the entry processes."""
        self.proxy = ZoneProxy(f"127.{self.base}.0.2:0", self)
        self.store_address = f"127.{self.base}.0.2:9100"
        self.proxy.open_route(Route(self.store_address, self.store.address, STORE))
        for entry in self.entries:
            link = f"{entry.ip}:9301"
            self.proxy.open_route(Route(link, f"{entry.ip}:9300", entry.name))
        for number, worker in enumerate(self.workers):
            worker.public_address = f"127.{self.base}.0.2:{9101 + number}"

    def cut_zone(self, zone: str) -> None:
        """Cut a zone off from the others and from the platform; its inside goes on."""
        inside = [entry.name for entry in self.entries if entry.zone == zone]
        inside += [worker.worker_id for worker in self.workers if worker.zone == zone]
        outside = [entry.name for entry in self.entries if entry.zone != zone]
        outside += [worker.worker_id for worker in self.workers if worker.zone != zone]
        outside.append(STORE)
        self.note(f"zone {zone} is cut off: no bytes pass between {inside} and {outside}")
        self.proxy.set_cuts([Cut(inside, outside), Cut(outside, inside)])
        for worker in self.workers:
            worker.is_cut_off = worker.zone == zone

    def heal(self) -> None:
        self.note("the cut is healed")
        self.proxy.set_cuts([])
        for worker in self.workers:
            worker.is_cut_off = False

    def _expire_entries(self) -> None:
        while True:
            gevent.sleep(0.02)
            for worker in self.workers:
                if worker.expire_entry():
                    self.note(f"the entry of {worker.worker_id} is removed")

    def now_s(self) -> float:
        return time.monotonic() - self.started_s

    def at(self, monotonic_s: float) -> float:
        return monotonic_s - self.started_s

    def note(self, text: str) -> None:
        self.lines.append(f"{self.now_s():8.3f}  {text}")

    def start(self) -> None:
        """Start workers and entry processes; wait until each process has done a job."""
        for worker in self.workers:
            worker.start()
            if self.proxy is not None:
                route = Route(worker.public_address, worker.address, worker.worker_id)
                self.proxy.open_route(route)
        gevent.spawn(self._expire_entries)
        for entry in self.entries:
            entry.start()
        until_s = time.monotonic() + 30.0
        for number, entry in enumerate(self.entries):
            while True:
                status, _ = self.call(entry, "POST", f"{number:016x}", best_effort_body(1), 5.0)
                if status == 200:
                    break
                if time.monotonic() > until_s:
                    raise RuntimeError(f"{entry.name} does not serve: {status}")
                gevent.sleep(0.1)
        self.note("every process has done a job")

    def call(
        self,
        entry: Entry,
        method: str,
        job_id: str,
        body: dict | None = None,
        timeout_s: float = 3.0,
        quiet: bool = False,
    ) -> tuple[int, dict]:
        """Send one request to an entry process; status 0 without an answer."""
        connection = http.client.HTTPConnection(*entry.front, timeout=timeout_s)
        text = "" if body is None else json.dumps(body)
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            "Camphorchute-Deadline-Ms": str(int(timeout_s * 1000)),
        }
        sent_s = self.now_s()
        try:
            connection.request(method, PREFIX + job_id, text, headers)
            response = connection.getresponse()
            content = response.read()
            answer = response.status, (json.loads(content) if content else {})
        except (OSError, http.client.HTTPException, ValueError) as error:
            answer = 0, {"error": repr(error)}
        finally:
            connection.close()
        if not quiet:
            self.note(f"{method} {PREFIX}{job_id} at {entry.name}, sent {sent_s:.3f}: {answer}")
        return answer

    def stored(self, key: str) -> bytes | None:
        item = self.store.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def entry_of_member(self, member_id: bytes | None) -> Entry | None:
        """Return the entry process that is registered as a member in the store."""
        if not member_id:
            return None
        value = self.stored(f"camphorchute/members/{member_id.decode()}")
        if value is None:
            return None
        ip = json.loads(value)["link_address"].partition(":")[0]
        return next((entry for entry in self.entries if entry.ip == ip), None)

    def shard_owner(self, job_id: str) -> Entry | None:
        """Return the process that holds the claim on the shard of a stored job."""
        keys = [k for k in self.store.items if k.startswith("camphorchute-jobs/")]
        shard = next((k.split("/")[1] for k in keys if k.endswith("/" + job_id)), None)
        if shard is None:
            return None
        return self.entry_of_member(self.stored(f"camphorchute/keepers/{shard}"))

    def scheduler(self, zone: str) -> Entry | None:
        """Return the process that holds the claim on a worker group of a zone."""
        for key in list(self.store.items):
            if key.startswith(f"camphorchute/homes/{zone}"):
                return self.entry_of_member(self.stored(key))
        return None

    def runs(self) -> list[RunRecord]:
        return [run for worker in self.workers for run in worker.runs]

    def runs_of(self, job_id: str) -> list[RunRecord]:
        return [run for run in self.runs() if run.task.startswith(job_id + ".")]

    def is_active(self, job_id: str) -> bool:
        return any(not run.ended_s for run in self.runs_of(job_id))

    def describe(self, run: RunRecord) -> str:
        end = f"{self.at(run.ended_s):.3f} {run.outcome}" if run.ended_s else "active"
        noted = ", end taken note of" if run.acknowledged else ""
        return (
            f"{run.task} run {run.run} on {run.worker_id}: {self.at(run.started_s):.3f} to "
            f"{end}{noted}"
        )

    def close(self) -> None:
        for entry in self.entries:
            process = entry.process
            if process is not None:
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                process.wait()
        for worker in self.workers:
            worker.close()
        self.store.close()
        self._reservation.close()


def job_body(
    counts: list[int], estimate_ms: float, best_effort: bool = False, spec: str = "check"
) -> dict:
    steps = [
        {"count": count, "cpu": 14_000, "mem-mb": 64, "estimate-ms": estimate_ms}
        | ({"after": [number - 1]} if number else {})
        for number, count in enumerate(counts)
    ]
    body = {"spec": spec, "steps": steps}
    return body | ({"best-effort": True} if best_effort else {})


def best_effort_body(tasks: int, estimate_ms: float = 40.0) -> dict:
    return job_body([tasks], estimate_ms, best_effort=True)


def restarted_after_done(site: Site) -> list[tuple[RunRecord, RunRecord]]:
    """Return the runs that were started after a run of the task had ended done and was noted."""
    found = []
    by_task: dict[str, list[RunRecord]] = {}
    for run in site.runs():
        by_task.setdefault(run.task, []).append(run)
    for runs in by_task.values():
        done = [r for r in runs if r.outcome == "done" and r.acknowledged]
        for first in done:
            found += [(first, r) for r in runs if r.started_s > first.ended_s]
    return found


def overlapping(site: Site) -> list[tuple[RunRecord, RunRecord]]:
    """Return the pairs of runs of one task that were active at the same time."""
    found = []
    by_task: dict[str, list[RunRecord]] = {}
    for run in site.runs():
        by_task.setdefault(run.task, []).append(run)
    for runs in by_task.values():
        runs.sort(key=lambda run: run.started_s)
        for number, first in enumerate(runs):
            end_s = first.ended_s or float("inf")
            found += [(first, later) for later in runs[number + 1 :] if later.started_s < end_s]
    return found


def kill_entries_and_exit() -> None:
    """End a case that hangs, with all processes that it has started."""
    for process in STARTED:
        process.kill()
    os._exit(COULD_NOT_RUN)


def main(folder: str, zones: dict, play: Callable[[Site], bool], **options) -> None:
    """Play a case, write its record and exit with 1 if the rule was broken, 0 if it held."""
    site = None
    code = COULD_NOT_RUN
    signal.signal(signal.SIGALRM, lambda *_: kill_entries_and_exit())
    signal.alarm(MAX_RUN_S)
    try:
        site = Site(zones, **options)
        site.start()
        code = BROKEN if play(site) else HELD
    except Exception as error:  # noqa: BLE001 - whatever it is, the case could not run
        if site is not None:
            site.note(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
    finally:
        if site is not None:
            site.note(f"exit {code}")
            site.close()
            record = Path(folder) / ("record.txt" if TROUBLE else "record-calm.txt")
            runs = sorted(site.runs(), key=lambda run: run.started_s)
            lines = [*site.lines, "", "runs on the workers:", *map(site.describe, runs)]
            record.write_text("\n".join(lines) + "\n")
            if os.environ.get("KEEP"):
                print(site.folder)
            else:
                shutil.rmtree(site.folder, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)

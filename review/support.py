"""What the scripts of the review share: stand-ins, entry processes, and a record of the run.

The stand-ins are those of the project, with the heartbeats of the workers and the removal of silent
entries added, as the platform's page on service discovery has them. The entry processes are started
with the command and the settings of the deploy file.
"""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable
from http.client import HTTPException
from pathlib import Path

import gevent

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from bench.fleet import call
from bench.standins.fleet_store import FleetStore
from bench.standins.fleet_worker import FleetWorker
from bench.standins.server import Reply, Request

HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 115.0
HEARTBEAT_S = 1.5
SILENT_HEARTBEATS = 3
START_TIMEOUT_S = 30.0
CPU_PER_SLOT = 14_000
QUEUE_HOST = "flags.example"
PREFIX = "/checks/"
SERVICE = "flags"


class CannotRun(Exception):  # noqa: N818
    """The case could not be brought about, so that it shows nothing."""


class Worker(FleetWorker):
    """A stand-in worker that writes its entry at every heartbeat.

    Attributes:
        is_busy: whether it answers each start command with 503 and has then done nothing.
        gpus: number of its GPUs.
    """

    def __init__(self, *arguments: object, **options: object) -> None:
        self.seq = 0
        self.state = "ready"
        self.is_busy = False
        self.gpus = 0
        self.written_s = 0.0
        super().__init__(*arguments, **options)
        start_run = self.routes["POST", "/run-start"]
        self.routes["POST", "/run-start"] = lambda request: (
            Reply({"error": "busy"}, 503) if self.is_busy else start_run(request)
        )

    def register(self, state: str) -> None:
        """Write its entry in service discovery."""
        self.seq += 1
        self.state = state
        self.written_s = time.monotonic()
        entry = {
            "service": self._service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "capacity": {"cpu": self.slots * CPU_PER_SLOT, "mem-mb": 65_536, "gpu": self.gpus},
            "labels": ["a", "r1-1"],
            "born": self.born,
            "seq": self.seq,
        }
        self._store.put(f"servers/{self.worker_id}", json.dumps(entry).encode())

    def keep_registered(self) -> None:
        """Write its entry while it is up; remove the entry after three silent heartbeats."""
        while True:
            gevent.sleep(HEARTBEAT_S / 3)
            silent_s = time.monotonic() - self.written_s
            if self.is_up and silent_s >= HEARTBEAT_S:
                self.register(self.state)
            elif not self.is_up and silent_s >= SILENT_HEARTBEATS * HEARTBEAT_S:
                self._store.remove(f"servers/{self.worker_id}")


class Store(FleetStore):
    """A stand-in store that can leave writes unanswered and carry them out seconds later."""

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self._late_share = 0.0
        self._random = random.Random()
        self.routes["POST", "/kv-txn"] = self._write

    def lose_writes(self, share: float, source: random.Random | None = None) -> None:
        """Give a share of the writes no answer from now on; do them 1 to 6 s later."""
        self._late_share = share
        self._random = source or self._random

    def _write(self, request: Request) -> Reply:
        if self._random.random() >= self._late_share:
            return self._apply_transaction(request)
        gevent.spawn_later(self._random.uniform(1.0, 6.0), self._apply_transaction, request)
        request.connection.is_unresponsive = True
        return Reply(None, 500)


class Entry:
    """An entry process on a machine of its own, which is a loopback address.

    Attributes:
        advertised: ``IP:port`` at which the others open links to it.
        settings: further settings, as environment variables.
    """

    def __init__(self, zone: str, ip: str, front: str, ready: str, link_port: int) -> None:
        self.zone = zone
        self.ip = ip
        self.name = f"front-{zone}-{ip.rpartition('.')[2]}"
        self.front = front
        self.ready = ready
        self.link_port = link_port
        self.advertised = f"{ip}:{link_port}"
        self.settings: dict[str, str] = {}
        self.process: subprocess.Popen | None = None

    def is_running(self) -> bool:
        """Whether its process is running."""
        return self.process is not None and self.process.poll() is None


class Case:
    """One run of a case.

    Args:
        folder: folder of the case, which gets the record.
        zones: number of zones.
        workers: number of workers in each zone.
        slots: number of tasks of 14 cores that a worker has room for.
        entries: number of entry processes in each zone.
        gpu_workers: number of workers with GPUs, in the first zone.
        base: second byte of the loopback addresses.

    Attributes:
        trouble: whether the disruption is to be brought about.
    """

    def __init__(
        self,
        folder: Path,
        zones: int,
        workers: int,
        slots: int = 2,
        entries: int = 1,
        gpu_workers: int = 0,
        base: int = 77,
    ) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = folder
        self.started_s = time.monotonic()
        self.events: list[tuple[float, str]] = []
        self.zones = [f"zone-{number}" for number in range(1, zones + 1)]
        self.base = base
        self.store = Store(f"127.{base}.0.1:0")
        self.slots = slots
        self.workers: list[Worker] = []
        for zone in self.zones:
            self.add_workers(zone, workers)
        for worker in self.workers[:gpu_workers]:
            worker.gpus = 2
        self.entries = [
            self._make_entry(zone, number + 1) for zone in self.zones for number in range(entries)
        ]
        self.logs = Path(tempfile.mkdtemp(prefix="review-"))
        self.greenlets: list[gevent.Greenlet] = []

    def log(self, text: str, at_s: float | None = None) -> None:
        """Add a line to the record."""
        self.events.append((time.monotonic() if at_s is None else at_s, text))

    def add_workers(self, zone: str, number: int) -> list[Worker]:
        """Add workers to a zone, which are not started yet, and return them."""
        zone_number = self.zones.index(zone) + 1
        first = sum(worker.zone == zone for worker in self.workers)
        added = [
            Worker(
                f"127.{self.base}.{100 + zone_number}.{index + 1}:0",
                self.store,
                f"w-{zone_number}-{index}",
                zone,
                SERVICE,
                400.0,
                self.slots,
            )
            for index in range(first, first + number)
        ]
        self.workers += added
        return added

    def start_worker(self, worker: Worker) -> None:
        """Start a worker, which registers itself and keeps its entry."""
        worker.start()
        self.greenlets.append(gevent.spawn(worker.keep_registered))

    def start(self) -> None:
        """Start the stand-ins and the entry processes, and wait until all are ready.

        Raises:
            CannotRun: an entry process is not ready in time.
        """
        self.store.start()
        self.write_configuration(1)
        for worker in self.workers:
            self.start_worker(worker)
        for entry in self.entries:
            self.start_entry(entry)
        self.wait_ready()

    def write_configuration(self, version: int) -> None:
        """Write the configuration as the operator does."""
        route = {
            "name": "checks",
            "host": QUEUE_HOST,
            "prefix": PREFIX,
            "service": SERVICE,
            "timeout-ms": 1500,
            "target-latency-ms": 60,
            "priority": 0,
            "max-attempts": 4,
            "stretch": 1.6,
        }
        services = [{"name": SERVICE, "rejects-overload": True}]
        value = {"version": version, "routes": [route], "services": services}
        self.store.put("op/config", json.dumps(value).encode())

    def wait_ready(self) -> None:
        """Wait until every entry process is ready and has completed a best-effort job."""
        until_s = time.monotonic() + START_TIMEOUT_S
        for number, entry in enumerate(self.entries):
            while not self._completes_job(entry, f"{0xABCD0000 + number:016x}"):
                if time.monotonic() > until_s:
                    raise CannotRun(f"entry process at {entry.ip} completes no job")
                gevent.sleep(0.1)

    def start_entry(self, entry: Entry) -> None:
        """Start an entry process with the command and the settings of the deploy file."""
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["entry"]
        fields = {
            "node": entry.name,
            "zone": entry.zone,
            "zones": dict.fromkeys(self.zones, "region-1"),
            "ip": entry.ip,
            "listen": {"front": entry.front, "ready": entry.ready},
            "port-range": [entry.link_port],
            "platform": {"address": self.store.address, "writes-per-s": 400},
        }
        settings = {name: _render(text, fields) for name, text in role["env"].items()}
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        path = os.pathsep.join((str(ROOT / "target" / "deps"), str(ROOT)))
        with (self.logs / f"{entry.ip}.log").open("ab") as log:
            entry.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env={**kept, **settings, **entry.settings, "PYTHONPATH": path},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.log(f"STARTED entry process {entry.name}")

    def kill(self, entry: Entry) -> None:
        """Kill an entry process."""
        self.log(f"SIGKILL to entry process {entry.name}")
        entry.process.kill()
        entry.process.wait()

    def stop_gracefully(self, entry: Entry, grace_s: float = 6.0) -> None:
        """Stop an entry process as the platform does: SIGTERM, SIGKILL after the grace time."""
        self.log(f"SIGTERM to entry process {entry.name}")
        entry.process.send_signal(signal.SIGTERM)
        try:
            entry.process.wait(grace_s)
        except subprocess.TimeoutExpired:
            self.kill(entry)
        self.log(f"ENDED entry process {entry.name}")

    def call(
        self, entry: Entry, method: str, path: str, body: dict | None = None
    ) -> tuple[int, object]:
        """Make a call of a client; return status and body, 0 and the error without an answer."""
        self.log(f"SENT to {entry.name}: {method} {path} {json.dumps(body) if body else ''}")
        headers = {"Host": QUEUE_HOST, "Camphorchute-Deadline-Ms": "5000"}
        try:
            answer = call(entry.front, method, path, body, headers, timeout_s=6.0)
        except (OSError, HTTPException, gevent.Timeout) as error:
            answer = 0, repr(error)
        self.log(f"ANSWERED by {entry.name}: {method} {path}: {answer[0]} {answer[1]}")
        return answer

    def submit(self, entry: Entry, job_id: str, *steps: dict, spec: str = "work") -> float:
        """Submit a durable job until it is accepted; return the time of the answer."""
        for _ in range(20):
            status, _ = self.call(entry, "POST", PREFIX + job_id, {"spec": spec, "steps": steps})
            if status == 200:
                return time.monotonic()
            gevent.sleep(1.3)
        raise CannotRun(f"job {job_id} is not accepted")

    def state(self, entry: Entry, job_id: str) -> str:
        """Return the state of a job, the status if it is not 200."""
        status, body = self.call(entry, "GET", PREFIX + job_id)
        return body["state"] if status == 200 else str(status)

    def is_ready(self, entry: Entry) -> bool:
        """Return whether an entry process reports that it is ready."""
        try:
            return call(entry.ready, "GET", "/ready", timeout_s=2.0)[0] == 200
        except (OSError, HTTPException):
            return False

    def runs_of(self, job_id: str) -> list:
        """Return the runs of a job's tasks that the workers have started."""
        return [r for w in self.workers for r in w.runs if r.task.startswith(f"{job_id}.")]

    def active_runs(self, job_id: str) -> list:
        """Return the runs of a job's tasks that are active."""
        return [run for run in self.runs_of(job_id) if not run.ended_s]

    def wait_until(self, what: str, condition: Callable[[], object], timeout_s: float) -> None:
        """Wait until a condition holds.

        Raises:
            CannotRun: it does not hold in time.
        """
        until_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > until_s:
                raise CannotRun(f"{what}: not within {timeout_s} s")
            gevent.sleep(0.02)

    def owner_of(self, job_id: str) -> Entry:
        """Return the entry process that holds the claim on the shard of a durable job."""
        record = next(key for key in self.store.items if key.endswith(f"/{job_id}"))
        claim_key = f"camphorchute/keepers/{record.split('/')[1]}"
        self.wait_until("the job's shard has an owner", lambda: self._holder_of(claim_key), 15.0)
        return self._holder_of(claim_key)

    def _holder_of(self, claim_key: str) -> Entry | None:
        holder = self._stored(claim_key)
        member = self._stored(f"camphorchute/members/{holder}") if holder else ""
        return next((e for e in self.entries if e.advertised in member), None)

    def _stored(self, key: str) -> str:
        item = self.store.items.get(key)
        return base64.b64decode(item["value"]).decode() if item else ""

    def end(self) -> None:
        """End every process that was started, and write the record."""
        for entry in self.entries:
            if entry.is_running():
                entry.process.kill()
                entry.process.wait()
        gevent.killall(self.greenlets, block=False)
        for worker in self.workers:
            for run in worker.runs:
                name = f"{run.task} run {run.run} on {run.worker_id}"
                self.log(f"WORKER started {name}", run.started_s)
                if run.ended_s:
                    self.log(f"WORKER ended {name}: {run.outcome}", run.ended_s)
                else:
                    self.log(f"WORKER has {name} active at the end of the case")
        lines = [f"{at_s - self.started_s:8.3f} {text}\n" for at_s, text in sorted(self.events)]
        (self.folder / "record.txt").write_text("".join(lines))

    def _make_entry(self, zone: str, number: int) -> Entry:
        ip = f"127.{self.base}.{self.zones.index(zone) + 1}.{number}"
        ports = [_free_port(ip) for _ in range(3)]
        return Entry(zone, ip, f"{ip}:{ports[0]}", f"{ip}:{ports[1]}", ports[2])

    def _completes_job(self, entry: Entry, job_id: str) -> bool:
        step = {"count": 1, "cpu": CPU_PER_SLOT, "mem-mb": 64, "estimate-ms": 400}
        body = {"spec": "ready", "steps": [step], "best-effort": True}
        return self.call(entry, "POST", PREFIX + job_id, body)[0] == 200


def run_case(folder: Path, play: Callable[[Case], bool], **options: int) -> None:
    """Play a case and exit with 0 if the rule held, 1 if it was broken, 2 if it could not run."""
    case = Case(folder, **options)
    status = NOT_RUN
    try:
        with gevent.Timeout(TIME_LIMIT_S):
            case.start()
            is_broken = play(case)
            status = BROKEN if is_broken else HELD
    except CannotRun as error:
        case.log(f"CANNOT RUN: {error}")
    except gevent.Timeout:
        case.log("CANNOT RUN: over the time limit")
    except Exception:  # noqa: BLE001 - an error of the script itself shows nothing
        case.log(f"CANNOT RUN: {traceback.format_exc()}")
    finally:
        case.log(f"EXIT {status}")
        case.end()
    sys.exit(status)


def step(count: int, estimate_ms: int, cpu: int = CPU_PER_SLOT, **fields: object) -> dict:
    """Return a step of a job."""
    return {"count": count, "cpu": cpu, "mem-mb": 64, "estimate-ms": estimate_ms, **fields}


def _free_port(ip: str) -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def _render(text: str, fields: dict) -> str:
    """Fill in a template of the deploy file: values, and sections over the keys of a table."""

    def section(match: re.Match) -> str:
        parts = [match[2].replace("{{@}}", key) for key in fields[match[1]]]
        return "".join(
            part.replace("{{,}}", "," if number < len(parts) else "")
            for number, part in enumerate(parts, 1)
        )

    def value(match: re.Match) -> str:
        found = fields
        for name in match[1].split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return str(found)

    text = re.sub(r"\{\{#(\S+?)\}\}(.*?)\{\{/\1\}\}", section, text)
    return re.sub(r"\{\{([^#/^,@}]+)\}\}", value, text)

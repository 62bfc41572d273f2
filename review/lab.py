"""Stand-ins and entry processes of a small deployment, for the scripts of this review.

The entry processes are started with the command and the settings of the deploy file. Clients,
workers and the platform's store are stand-ins in the process of the script. Every address is a
loopback address with a free port.
"""

from gevent import monkey

monkey.patch_all()

import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Callable
from http.client import HTTPConnection, HTTPException
from pathlib import Path

import gevent

from bench.standins.fleet_store import FleetStore
from bench.standins.fleet_worker import FleetWorker
from bench.standins.run_record import RunRecord
from bench.standins.server import ConnectionDropped, Reply, Request, Standin
from bench.tcp_proxy import Cut, Route, TcpProxy

__all__ = ["Entry", "Gate", "Lab", "Worker", "run_case", "step"]

ROOT = Path(__file__).resolve().parents[1]
QUEUE_HOST = "jobs.example"
QUEUE_PREFIX = "/jobs/"
SERVICE = "flagreg"
TASK_CPU = 14_000
FIRST_PORT = 8161
HEARTBEAT_S = 1.5  # heartbeat-ms of the settings file in DEPLOY.md
ENTRY_EXPIRY_S = 3 * HEARTBEAT_S
CONTACT_S = 3.0  # bounds of qpsfa-sched
CANCEL_S = 3.0
STOP_S = 0.05
FINISH_S = 14.0
TRANSACTION_ENTRIES_MAX = 32  # PROTOCOL.md, POST /kv-txn
RESTART_DELAY_S = 0.5
READY_TIMEOUT_S = 25.0
SETTLE_S = 3.0
SUBMIT_TRIES = 10
CHECK_S = 0.05
MS_PER_S = 1000
HELD, BROKEN, NOT_RUN = 0, 1, 2
EXIT_STATUSES = (0, 10, 2)  # run-case.sh returns 1 for 10, as Python exits with 1 by itself
VERDICTS = ("the rule held", "the rule was broken", "the case could not run")


_network = f"127.{random.randrange(64, 250)}.{random.randrange(250)}"
_numbers = itertools.count()


def free_address() -> str:
    """Return a loopback address with a free port, below those of outgoing connections."""
    while True:
        number = next(_numbers)
        host, port = f"{_network}.{1 + number % 250}", FIRST_PORT + number // 250
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        return f"{host}:{port}"


def step(run_s: float, cpu: int = TASK_CPU) -> dict:
    """Return a step of one task that takes about as long as it says."""
    return {"count": 1, "cpu": cpu, "mem-mb": 64, "estimate-ms": run_s * MS_PER_S}


class Store(FleetStore):
    """The store, which refuses a transaction of too many entries, as the platform's does."""

    def _apply_transaction(self, request: Request) -> Reply:
        body = request.json()
        entries = sum(len(body.get(name, [])) for name in ("if-revision", "puts", "remove"))
        if entries > TRANSACTION_ENTRIES_MAX:
            return Reply({"error": f"over {TRANSACTION_ENTRIES_MAX} entries"}, 400)
        return super()._apply_transaction(request)


class Gate(Standin):
    """The address at which one entry process reaches the store.

    Attributes:
        mode: ``open``; ``busy``, where each call is answered with 503 and nothing is done; or
            ``cut``, where nothing is done or answered.
    """

    def __init__(self, store: FleetStore) -> None:
        super().__init__(free_address())
        self.mode = "open"
        self._store = store

    def _handle_request(self, request: Request) -> Reply:
        if self.mode == "open":
            reply = self._store.serve(request)
            if self.mode == "open" or request.method != "GET":
                return reply
        if self.mode == "busy":
            return Reply({"error": "busy"}, 503)
        while self.mode == "cut":
            gevent.sleep(CHECK_S)
        raise ConnectionDropped


class Worker(FleetWorker):
    """A worker with heartbeats, whose runs last as long as the payload and the step say.

    Attributes:
        run_s: duration of the runs in seconds, by payload and number of the step.
        failing_payload: payload of the tasks whose runs fail at their end.
        reaches_store: whether its heartbeats arrive.
        hears_fences_to: commands with a higher fencing token do not arrive; None if all do.
    """

    def __init__(self, *arguments: object, task_cpu: int = TASK_CPU) -> None:
        super().__init__(*arguments)
        self._task_cpu = task_cpu
        self.run_s: dict[str, list[float]] = {}
        self.failing_payload = ""
        self.reaches_store = True
        self.hears_fences_to: int | None = None
        self._payloads: dict[str, str] = {}
        self._heard_s = 0.0
        self._beats = 0
        self._state = "ready"

    def register(self, state: str) -> None:
        """Send a heartbeat; it is lost if the store cannot be reached."""
        self._state = state
        if not self.reaches_store:
            return
        self._heard_s = time.monotonic()
        self._beats += 1
        capacity = {"cpu": self.slots * self._task_cpu, "mem-mb": self.memory_mb, "gpu": 0}
        entry = {
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "capacity": capacity,
            "labels": ["a", "r1-1"],
            "born": self.born,
            "seq": self._beats,
        }
        self._store.put(f"servers/{self.worker_id}", json.dumps(entry).encode())

    def send_heartbeats(self) -> None:
        """Send a heartbeat at each interval while the worker is up."""
        while True:
            gevent.sleep(HEARTBEAT_S)
            if self.is_up:
                self.register(self._state)

    def expire_entry(self) -> None:
        """Remove the entry after three intervals of silence, as the platform does."""
        while True:
            gevent.sleep(CHECK_S)
            if time.monotonic() - self._heard_s > ENTRY_EXPIRY_S:
                self._store.remove(f"servers/{self.worker_id}")

    def _handle_request(self, request: Request) -> Reply:
        is_command = request.path.startswith(("/run-", "/hold"))
        if is_command and self.hears_fences_to is not None:
            if request.json().get("fence", 0) > self.hears_fences_to:
                while self.hears_fences_to is not None:
                    gevent.sleep(CHECK_S)
                raise ConnectionDropped
        return super()._handle_request(request)

    def _start_run(self, request: Request) -> Reply:
        known = len(self.runs)
        reply = super()._start_run(request)
        for run in self.runs[known:]:
            payload = self._payloads[run.task] = request.json()["spec"]
            if payload in self.run_s:
                run.run_ms = self.run_s[payload][int(run.task.split(".")[2])] * MS_PER_S
        return reply

    def _end_run(self, run: RunRecord, outcome: str) -> None:
        fails = outcome == "done" and self._payloads[run.task] == self.failing_payload
        super()._end_run(run, "failed" if fails else outcome)


class Entry:
    """An entry process on a VM of its own.

    Attributes:
        gate: the address at which it reaches the store.
        link: the address at which it listens for links.
        advertised_link: the address at which other processes reach that.
    """

    def __init__(self, lab: "Lab", zone: str, number: int) -> None:
        self.lab, self.zone, self.name = lab, zone, f"front-{zone}-{number}"
        self.http, self.ready, self.link = free_address(), free_address(), free_address()
        self.advertised_link = self.link
        self.gate = Gate(lab.store)
        self.gate.start()
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        settings = {
            "PLATFORM": role["env"]["CAMPHORCHUTE_PLATFORM"],
            "ZONE": self.zone,
            "ZONES": ",".join(self.lab.zones),
            "HOST": self.name,
            "HTTP_ADDRESS": self.http,
            "READY_ADDRESS": self.ready,
            "LINK_ADDRESS": self.link,
            "ADVERTISE_LINK_ADDRESS": self.advertised_link,
            "STORE_URL": f"http://{self.gate.address}",
            "DRAIN_MS": role["env"]["CAMPHORCHUTE_DRAIN_MS"],
            "STORE_WRITES_PER_S": "400",
        }
        environment = {f"CAMPHORCHUTE_{name}": text for name, text in settings.items()}
        command = [sys.executable, *role["run"].split()[1:]]
        with (self.lab.logs / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=os.environ | environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.lab.record(f"{self.name} is started")

    def kill(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()
        self.lab.record(f"{self.name} is killed")

    def call(self, method: str, path: str, body: dict | None = None) -> tuple[int, object]:
        """Return status and body of a client's call, status 0 if it has no answer."""
        headers = {"Host": QUEUE_HOST, "Camphorchute-Deadline-Ms": "6000"}
        if body is not None:
            headers["Content-Type"] = "application/json"
        return _call(self.http, method, path, body, headers)

    def is_ready(self) -> bool:
        """Whether it reports itself ready."""
        return _call(self.ready, "GET", "/ready", None, {})[0] == 200


class Lab:
    """The stand-ins, the entry processes and the record of one script.

    Attributes:
        is_troubled: whether the disruption takes place; not with ``TROUBLE=0``.
    """

    def __init__(self, folder: Path, zones: list[str]) -> None:
        self.zones = zones
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"
        self.logs = Path(os.environ["CASE_LOGS"])
        self.workers: list[Worker] = []
        self.entries: list[Entry] = []
        self._begin_s = time.monotonic()
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        self._proxy: TcpProxy | None = None
        self.store = Store(free_address())
        self.store.start()
        self.record(f"the disruption is {'on' if self.is_troubled else 'off'}")

    def record(self, text: str) -> None:
        """Write a line with the time since the begin."""
        self._record.write(f"{time.monotonic() - self._begin_s:8.3f} s  {text}\n")
        self._record.flush()

    def add_worker(self, zone: str, name: str, slots: int, task_cpu: int = TASK_CPU) -> Worker:
        """Start a worker that has room for a number of tasks of a size."""
        address = free_address()
        worker = Worker(address, self.store, name, zone, SERVICE, 1000.0, slots, task_cpu=task_cpu)
        self.workers.append(worker)
        worker.start()
        gevent.spawn(worker.send_heartbeats)
        gevent.spawn(worker.expire_entry)
        return worker

    def set_run_s(self, payload: str, *run_s: float) -> None:
        """Set how long the tasks of each step of the jobs with a payload run."""
        for worker in self.workers:
            worker.run_s[payload] = list(run_s)

    def start_entries(
        self, per_zone: int, has_link_proxy: bool = False, max_attempts: int = 3
    ) -> None:
        """Write the configuration, start the entry processes and wait until all are ready."""
        route = {
            "name": "work",
            "host": QUEUE_HOST,
            "prefix": QUEUE_PREFIX,
            "service": SERVICE,
            "timeout-ms": 6000,
            "target-latency-ms": 60,
            "priority": 0,
            "max-attempts": max_attempts,
            "stretch": 1.6,
        }
        configuration = {"version": 1, "routes": [route], "services": [{"name": SERVICE}]}
        self.store.put("op/config", json.dumps(configuration).encode())
        self.entries = [
            Entry(self, zone, number + 1) for zone in self.zones for number in range(per_zone)
        ]
        if has_link_proxy:
            self._open_link_proxy()
        for entry in self.entries:
            entry.start()
        self.wait_ready()

    def wait_ready(self) -> None:
        """Wait until every entry process is ready, and a moment longer."""
        until_s = time.monotonic() + READY_TIMEOUT_S
        while not all(entry.is_ready() for entry in self.entries):
            if time.monotonic() > until_s:
                raise RuntimeError("the entry processes did not become ready")
            gevent.sleep(0.1)
        gevent.sleep(SETTLE_S)
        self.record("all entry processes are ready")

    def _open_link_proxy(self) -> None:
        self._proxy = TcpProxy(free_address())
        self._proxy.start()
        for entry in self.entries:
            entry.advertised_link = free_address()
            self._proxy.open_route(Route(entry.advertised_link, entry.link, entry.name, "any"))

    def cut_links(self) -> None:
        """Let no bytes pass on the links, which are all between two zones of one process each."""
        names = [entry.name for entry in self.entries]
        self._proxy.set_cuts([Cut(["any"], names), Cut(names, ["any"])])

    def heal_links(self) -> None:
        """Let the bytes on the links pass again."""
        self._proxy.set_cuts([])

    def submit(self, entry: Entry, job: str, steps: list[dict], payload: str) -> None:
        """Submit a durable job, again while it is not accepted."""
        for _ in range(SUBMIT_TRIES):
            body = {"spec": payload, "steps": steps}
            status, answer = entry.call("POST", QUEUE_PREFIX + job, body)
            self.record(f"POST {job} at {entry.name}: {status} {answer}")
            if status == 200:
                return
            gevent.sleep(0.5)
        raise RuntimeError(f"job {job} was not accepted")

    def cancel(self, entry: Entry, job: str) -> bool:
        """Cancel a job; return whether that was acknowledged."""
        status, answer = entry.call("DELETE", QUEUE_PREFIX + job)
        self.record(f"DELETE {job} at {entry.name}: {status} {answer}")
        return status in (200, 410)

    def state(self, entry: Entry, job: str) -> str:
        """Return the state of a job as a client is told it, empty if there is no answer."""
        status, answer = entry.call("GET", QUEUE_PREFIX + job)
        self.record(f"GET {job} at {entry.name}: {status} {answer}")
        return answer["state"] if status == 200 else ""

    def runs(self) -> list[RunRecord]:
        """Return every run that a worker has begun."""
        return [run for worker in self.workers for run in worker.runs]

    def active_runs(self) -> list[RunRecord]:
        """Return the runs that are at work on workers that are up."""
        workers = [worker for worker in self.workers if worker.is_up]
        return [run for worker in workers for run in worker.runs if not run.ended_s]

    def close(self, verdict: int) -> None:
        """Record the runs, end every process that was started, and exit with the verdict."""
        for run in self.runs():
            end = f"{run.ended_s - self._begin_s:.3f} s, {run.outcome}" if run.ended_s else "now"
            self.record(
                f"run {run.task}, number {run.run}, on {run.worker_id} (born {run.incarnation}): "
                f"{run.started_s - self._begin_s:.3f} s to {end}"
            )
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.process.send_signal(signal.SIGCONT)
                entry.process.kill()
                entry.process.wait()
        self.record(f"exit {verdict}: {VERDICTS[verdict]}")
        self._record.close()
        print(f"exit {verdict}: {VERDICTS[verdict]}", flush=True)
        os._exit(EXIT_STATUSES[verdict])


def _call(
    address: str, method: str, path: str, body: dict | None, headers: dict
) -> tuple[int, object]:
    host, _, port = address.rpartition(":")
    connection = HTTPConnection(host, int(port), timeout=8.0)
    try:
        connection.request(method, path, None if body is None else json.dumps(body), headers)
        answer = connection.getresponse()
        text = answer.read()
        return answer.status, json.loads(text) if text else None
    except (OSError, HTTPException, ValueError) as error:
        return 0, repr(error)
    finally:
        connection.close()


def run_case(script: str, zones: list[str], play: Callable[[Lab], bool]) -> None:
    """Play a case and exit: 1 if it returns that the rule was broken, 2 if it could not run.

    Args:
        script: path of the script; the record is written into its folder.
        zones: names of the availability zones.
        play: plays the case.
    """
    lab = Lab(Path(script).resolve().parent, zones)
    gevent.signal_handler(signal.SIGTERM, lambda: gevent.spawn(lab.close, NOT_RUN))
    try:
        verdict = BROKEN if play(lab) else HELD
    except Exception as error:  # noqa: BLE001 - whatever failed, the processes are ended
        lab.record(f"failed: {error!r}")
        verdict = NOT_RUN
    lab.close(verdict)

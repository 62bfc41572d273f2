"""Stand-in for a fenced worker: commands carry fencing tokens and runs end with their leases."""

import json
import time

import gevent
from gevent.event import Event

from bench.standins.fleet_store import FleetStore
from bench.standins.server import ConnectionDropped, Faults, Reply, Request, Standin

__all__ = ["FleetWorker", "FleetWorkerFaults", "RunRecord"]

MAX_LEASE_MS = 1000.0
MS_PER_S = 1000
TICK_INTERVAL_MS = 2.0
SLOT_CPU_MILLICORES = 14_000


class FleetWorkerFaults(Faults):
    """Faults of a worker.

    Attributes:
        lose_answers: number of commands that are carried out and whose connection is then
            closed without an answer.
        skip_orders: number of start commands that are neither carried out nor answered.
        fail: whether every run fails.
        stall: whether runs make no progress.
    """

    lose_answers: int = 0
    skip_orders: int = 0
    fail: bool = False
    stall: bool = False


class RunRecord:
    """One run of a task, for the assertions of tests.

    Attributes:
        task: name of the task.
        run: number of the run.
        started_s: monotonic time of its start, in seconds.
        ended_s: monotonic time of its completion in seconds, 0 while it is active.
        outcome: ``done``, ``failed``, ``stopped`` or ``lapsed``; empty while it is active.
        completion_number: number of its completion, 0 while it is active.
        acknowledged: whether its completion was acknowledged.
        lease_expires_s: monotonic time at which its lease expires, in seconds.
    """

    __slots__ = (
        "task",
        "run",
        "started_s",
        "ended_s",
        "outcome",
        "completion_number",
        "acknowledged",
        "lease_expires_s",
    )

    def __init__(self, task: str, run: int, lease_expires_s: float) -> None:
        self.task = task
        self.run = run
        self.started_s = time.monotonic()
        self.ended_s = 0.0
        self.outcome = ""
        self.completion_number = 0
        self.acknowledged = False
        self.lease_expires_s = lease_expires_s


class FleetWorker(Standin):
    """Stand-in for a fenced worker that registers itself in the store.

    Every run lasts the same time and needs the same share of the worker.

    Args:
        address: ``ip:port`` to listen on.
        store: the store where it registers.
        worker_id: its id in service discovery.
        zone: its availability zone.
        service: its service.
        run_ms: duration of every run, in milliseconds.
        slots: number of runs that it can execute at once.

    Attributes:
        runs: every run that was started, in order.
        fence: the highest fencing token received.
        calls: number of requests by path.
        born: time of its creation in milliseconds since the Unix epoch; identifies its
            incarnation.
        zone: its availability zone.
    """

    faults_type = FleetWorkerFaults

    def __init__(
        self,
        address: str,
        store: FleetStore,
        worker_id: str,
        zone: str,
        service: str,
        run_ms: float = 40.0,
        slots: int = 2,
    ) -> None:
        super().__init__(address)
        self.runs: list[RunRecord] = []
        self.fence = 0
        self.calls: dict[str, int] = {}
        self.born = round(time.time() * MS_PER_S)
        self._store = store
        self._worker_id = worker_id
        self.zone = zone
        self._service = service
        self._run_ms = run_ms
        self._slots = slots
        self._started_s = time.monotonic()
        self._active_runs: dict[str, RunRecord] = {}
        self._highest_run_numbers: dict[str, int] = {}
        self._completions: list[list] = []
        self._last_completion_number = 0
        self._run_ended = Event()
        self._tick_greenlet = None
        self.routes |= {
            ("POST", "/run-start"): self._start_run,
            ("POST", "/run-stop"): self._stop_run,
            ("POST", "/hold"): self._renew_leases,
        }

    def start(self) -> None:
        """Start listening and register as ready."""
        super().start()
        self._tick_greenlet = gevent.spawn(self._end_due_runs)
        self.register("ready")

    def close(self) -> None:
        """Stop as in a crash: without deregistering or ending the active runs."""
        if self._tick_greenlet is not None:
            self._tick_greenlet.kill()
        super().close()

    def before_request(self, request: Request) -> None:
        """Count the request and apply the faults to it."""
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        super().before_request(request)

    def register(self, state: str) -> None:
        """Write its entry in service discovery.

        Args:
            state: state of the worker in the entry.
        """
        entry = {
            "service": self._service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self._slots,
            "state": state,
            "capacity": {"cpu": self._slots * SLOT_CPU_MILLICORES, "mem-mb": 65_536, "gpu": 0},
            "labels": ["a", "r1-1"],
            "born": self.born,
            "seq": 1,
        }
        self._store.put(f"servers/{self._worker_id}", json.dumps(entry).encode())

    def _worker_clock_ms(self) -> int:
        return round((time.monotonic() - self._started_s) * MS_PER_S) + 5000

    def _end_due_runs(self) -> None:
        while True:
            gevent.sleep(TICK_INTERVAL_MS / MS_PER_S)
            now_s = time.monotonic()
            for run in list(self._active_runs.values()):
                if now_s > run.lease_expires_s:
                    self._end_run(run, "lapsed")
                elif (now_s - run.started_s) * MS_PER_S > self._run_ms and not self.faults.stall:
                    self._end_run(run, "failed" if self.faults.fail else "done")

    def _end_run(self, run: RunRecord, outcome: str) -> None:
        run.ended_s, run.outcome = time.monotonic(), outcome
        del self._active_runs[run.task]
        self._highest_run_numbers[run.task] = max(
            run.run, self._highest_run_numbers.get(run.task, 0)
        )
        self._last_completion_number += 1
        run.completion_number = self._last_completion_number
        self._completions.append([self._last_completion_number, run.task, run.run, outcome, ""])
        self._run_ended.set()
        self._run_ended = Event()

    def _lease_expiry_s(self, deadline_ms: float) -> float:
        lease_ms = min(MAX_LEASE_MS, deadline_ms - self._worker_clock_ms())
        return time.monotonic() + lease_ms / MS_PER_S

    def _refuse_command(self, reason: str) -> Reply:
        return Reply({"clock-ms": self._worker_clock_ms(), "reason": reason}, 409)

    def _is_fence_outdated(self, body: dict) -> bool:
        """Return whether a command has a lower fencing token than the highest; record it if not."""
        if body.get("fence", 0) < self.fence:
            return True
        self.fence = body.get("fence", 0)
        return False

    def _reply_unless_lost(self, body: dict) -> Reply:
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            raise ConnectionDropped
        return Reply({"clock-ms": self._worker_clock_ms(), "born": self.born} | body)

    def _start_run(self, request: Request) -> Reply:
        if self.faults.skip_orders:
            self.faults.skip_orders -= 1
            raise ConnectionDropped
        body = request.json()
        task, run = body["task"], body["run"]
        if self._is_fence_outdated(body):
            return self._refuse_command("fence")
        active_run = self._active_runs.get(task)
        if active_run is not None and active_run.run == run:
            return self._reply_unless_lost({})
        if active_run is not None or run <= self._highest_run_numbers.get(task, 0):
            return self._refuse_command("old")
        if body["deadline-ms"] <= self._worker_clock_ms():
            return self._refuse_command("late")
        if len(self._active_runs) >= self._slots:
            return self._refuse_command("room")
        new_run = RunRecord(task, run, self._lease_expiry_s(body["deadline-ms"]))
        self._active_runs[task] = new_run
        self.runs.append(new_run)
        return self._reply_unless_lost({})

    def _stop_run(self, request: Request) -> Reply:
        body = request.json()
        if self._is_fence_outdated(body):
            return self._refuse_command("fence")
        run = self._active_runs.get(body["task"])
        if run is not None and run.run <= body["run"]:
            self._end_run(run, "stopped")
        highest_run_number = self._highest_run_numbers.get(body["task"], 0)
        self._highest_run_numbers[body["task"]] = max(highest_run_number, body["run"])
        return self._reply_unless_lost({})

    def _renew_leases(self, request: Request) -> Reply:
        body = request.json()
        if self._is_fence_outdated(body):
            return self._refuse_command("fence")
        if "deadline-ms" in body:
            expires_s = self._lease_expiry_s(body["deadline-ms"])
            for run in self._active_runs.values():
                run.lease_expires_s = max(run.lease_expires_s, expires_s)
        self._completions = [
            completion for completion in self._completions if completion[0] > body["seen-upto"]
        ]
        for run in self.runs:
            run.acknowledged |= 0 < run.completion_number <= body["seen-upto"]
        if not self._completions and body["wait-ms"]:
            self._run_ended.wait(body["wait-ms"] / MS_PER_S)
        running = [[run.task, run.run, "", 50] for run in self._active_runs.values()]
        return self._reply_unless_lost({"running": running, "ended": self._completions})

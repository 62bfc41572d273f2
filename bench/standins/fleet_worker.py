"""A stand-in for a worker whose runs are fenced and held by leases."""

import json
import time

import gevent
from gevent.event import Event

from bench.standins.fleet_store import FleetStore
from bench.standins.server import ConnectionDropped, Faults, Reply, Request, Standin

__all__ = ["FleetWorker", "FleetWorkerFaults", "RunRecord"]

HOLD_MAX_MS = 1000.0
MS_PER_S = 1000
TICK_MS = 2.0
DEMAND_CPU_MILLICORES = 14_000


class FleetWorkerFaults(Faults):
    """Faults of a worker.

    Attributes:
        lose_answers: this many orders are carried out and not answered.
        skip_orders: this many starts are neither carried out nor answered.
        fail: every run fails.
        stall: runs make no progress.
    """

    lose_answers: int = 0
    skip_orders: int = 0
    fail: bool = False
    stall: bool = False


class RunRecord:
    """One run, for tests to look at.

    Attributes:
        task: name of the task.
        run: number of the run.
        started_s: when it started.
        ended_s: when it ended, 0 while it is under way.
        how: how it ended.
        end_number: number of its end.
        acknowledged: whether its end was acknowledged.
    """

    __slots__ = (
        "task",
        "run",
        "started_s",
        "ended_s",
        "how",
        "end_number",
        "acknowledged",
        "lease_ends_s",
    )

    def __init__(self, task: str, run: int, lease_ends_s: float) -> None:
        self.task = task
        self.run = run
        self.started_s = time.monotonic()
        self.ended_s = 0.0
        self.how = ""
        self.end_number = 0
        self.acknowledged = False
        self.lease_ends_s = lease_ends_s


class FleetWorker(Standin):
    """A worker that registers itself in the store.

    Every run lasts the same time and needs the same share of the worker.

    Args:
        address: ``ip:port``.
        store: where it registers.
        worker_id: its name.
        zone: its availability zone.
        service: its service.
        run_ms: how long a run lasts.
        slots: how many runs it has room for.

    Attributes:
        record: every run that was started.
        fence: the highest fencing token seen.
        calls: number of calls by path.
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
        self.record: list[RunRecord] = []
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
        self._running: dict[str, RunRecord] = {}
        self._highest: dict[str, int] = {}
        self._ends: list[list] = []
        self._end_number = 0
        self._ended = Event()
        self._ticker = None
        self.routes |= {
            ("POST", "/run-start"): self._start,
            ("POST", "/run-stop"): self._stop,
            ("POST", "/hold"): self._hold,
        }

    def start(self) -> None:
        """Listen and register."""
        super().start()
        self._ticker = gevent.spawn(self._tick)
        self.register("ready")

    def close(self) -> None:
        """Crash."""
        if self._ticker is not None:
            self._ticker.kill()
        super().close()

    def before_request(self, request: Request) -> None:
        """Count the call and let the faults act."""
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        super().before_request(request)

    def register(self, state: str) -> None:
        """Write the entry in service discovery."""
        entry = {
            "service": self._service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self._slots,
            "state": state,
            "capacity": {"cpu": self._slots * DEMAND_CPU_MILLICORES, "mem-mb": 65_536, "gpu": 0},
            "labels": ["a", "r1-1"],
            "born": self.born,
            "seq": 1,
        }
        self._store.put(f"servers/{self._worker_id}", json.dumps(entry).encode())

    def _clock_ms(self) -> int:
        return round((time.monotonic() - self._started_s) * MS_PER_S) + 5000

    def _tick(self) -> None:
        while True:
            gevent.sleep(TICK_MS / MS_PER_S)
            now_s = time.monotonic()
            for run in list(self._running.values()):
                if now_s > run.lease_ends_s:
                    self._end(run, "lapsed")
                elif (now_s - run.started_s) * MS_PER_S > self._run_ms and not self.faults.stall:
                    self._end(run, "failed" if self.faults.fail else "done")

    def _end(self, run: RunRecord, how: str) -> None:
        run.ended_s, run.how = time.monotonic(), how
        del self._running[run.task]
        self._highest[run.task] = max(run.run, self._highest.get(run.task, 0))
        self._end_number += 1
        run.end_number = self._end_number
        self._ends.append([self._end_number, run.task, run.run, how, ""])
        self._ended.set()
        self._ended = Event()

    def _lease_ends_s(self, deadline_ms: float) -> float:
        lease_ms = min(HOLD_MAX_MS, deadline_ms - self._clock_ms())
        return time.monotonic() + lease_ms / MS_PER_S

    def _refuse(self, reason: str) -> Reply:
        return Reply({"clock-ms": self._clock_ms(), "reason": reason}, 409)

    def _is_fenced(self, body: dict) -> bool:
        if body.get("fence", 0) < self.fence:
            return True
        self.fence = body.get("fence", 0)
        return False

    def _answer(self, body: dict) -> Reply:
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            raise ConnectionDropped
        return Reply({"clock-ms": self._clock_ms(), "born": self.born} | body)

    def _start(self, request: Request) -> Reply:
        if self.faults.skip_orders:
            self.faults.skip_orders -= 1
            raise ConnectionDropped
        body = request.json()
        task, run = body["task"], body["run"]
        if self._is_fenced(body):
            return self._refuse("fence")
        known = self._running.get(task)
        if known is not None and known.run == run:
            return self._answer({})
        if known is not None or run <= self._highest.get(task, 0):
            return self._refuse("old")
        if body["deadline-ms"] <= self._clock_ms():
            return self._refuse("late")
        if len(self._running) >= self._slots:
            return self._refuse("room")
        started = RunRecord(task, run, self._lease_ends_s(body["deadline-ms"]))
        self._running[task] = started
        self.record.append(started)
        return self._answer({})

    def _stop(self, request: Request) -> Reply:
        body = request.json()
        if self._is_fenced(body):
            return self._refuse("fence")
        run = self._running.get(body["task"])
        if run is not None and run.run <= body["run"]:
            self._end(run, "stopped")
        highest = self._highest.get(body["task"], 0)
        self._highest[body["task"]] = max(highest, body["run"])
        return self._answer({})

    def _hold(self, request: Request) -> Reply:
        body = request.json()
        if self._is_fenced(body):
            return self._refuse("fence")
        if "deadline-ms" in body:
            ends_s = self._lease_ends_s(body["deadline-ms"])
            for run in self._running.values():
                run.lease_ends_s = max(run.lease_ends_s, ends_s)
        self._ends = [end for end in self._ends if end[0] > body["seen-upto"]]
        for run in self.record:
            run.acknowledged |= 0 < run.end_number <= body["seen-upto"]
        if not self._ends and body["wait-ms"]:
            self._ended.wait(body["wait-ms"] / MS_PER_S)
        running = [[run.task, run.run, "", 50] for run in self._running.values()]
        return self._answer({"running": running, "ended": self._ends})

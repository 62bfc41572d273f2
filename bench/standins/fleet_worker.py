"""Stand-in for a fenced worker: commands carry fencing tokens and runs end with their leases."""

import json
import time
from collections.abc import Callable

import gevent
from gevent.event import Event

from bench.standins.command_record import CommandRecord
from bench.standins.fleet_store import FleetStore
from bench.standins.fleet_worker_faults import CommandFaults, FleetWorkerFaults
from bench.standins.run_record import CRASHED, RunRecord
from bench.standins.server import ConnectionDropped, Reply, Request, Standin

__all__ = ["FleetWorker", "FleetWorkerFaults", "RunRecord"]

MAX_LEASE_MS = 1000.0
MS_PER_S = 1000
TICK_INTERVAL_MS = 2.0
ENTRY_EXPIRY_MS = 1000.0
SLOT_CPU_MILLICORES = 14_000
MEMORY_MB = 65_536
EXPECTED_WORKER_HEADER = "Camphorchute-Expect-Instance"


class FleetWorker(Standin):
    """Stand-in for a fenced worker that registers itself in the store.

    Every run needs the same share of the worker, and lasts the same time unless its payload says
    otherwise. The worker can restart as another incarnation, which knows nothing of the earlier
    one.

    Args:
        address: ``ip:port`` to listen on.
        store: the store where it registers.
        worker_id: its id in service discovery.
        zone: its availability zone.
        service: its service.
        run_ms: duration of every run, in milliseconds.
        slots: number of runs that it can execute at once.

    Attributes:
        runs: every run that was started by any incarnation, in order.
        fence: the highest fencing token received by this incarnation.
        calls: number of requests by path.
        born: time of its creation in milliseconds since the Unix epoch; identifies its
            incarnation.
        zone: its availability zone.
        clock_rate: rate of its clock, below 1.0 if it is slow.
        run_ms_by_payload: duration of the runs of some payloads, in milliseconds.
        commands: every start and stop command that was carried out, in order.
        gpus: number of its GPUs, written in its entry when it registers.
        memory_mb: its memory in MB, written likewise.
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
        self.calls: dict[str, int] = {}
        self.run_ms_by_payload: dict[str, float] = {}
        self.commands: list[CommandRecord] = []
        self._worker_id = worker_id
        self.zone = zone
        self.clock_rate = 1.0
        self.born = 0
        self._store = store
        self._service = service
        self._run_ms = run_ms
        self._slots = slots
        self.gpus = 0
        self.memory_mb = MEMORY_MB
        self._tick_greenlet = None
        self._begin_incarnation()
        commands = CommandFaults(
            lambda: self.faults, self._listening_incarnation, self._worker_clock_ms, worker_id
        )
        start_run, stop_run = self._recorded(self._start_run), self._recorded(self._stop_run)
        self.routes |= {
            ("POST", path): commands.handler(carry_out, answer_delay, *late_shares)
            for path, carry_out, answer_delay, *late_shares in (
                ("/run-start", start_run, "start_answer_ms", "late_order_share"),
                ("/run-stop", stop_run, "stop_answer_ms", "late_order_share", "late_stop_share"),
                ("/hold", self._renew_leases, "poll_answer_ms", "late_grant_share"),
            )
        }

    def _end_incarnation(self) -> None:
        """End the active runs as in a crash, and begin another incarnation."""
        for run in self._active_runs.values():
            run.ended_s, run.outcome = time.monotonic(), CRASHED
        self._begin_incarnation()

    def _begin_incarnation(self) -> None:
        """Forget everything but the record of runs, as a worker that has just started."""
        self.born = max(self.born + 1, round(time.time() * MS_PER_S))
        self.fence = 0
        self._started_s = time.monotonic()
        self._active_runs: dict[str, RunRecord] = {}
        self._highest_run_numbers: dict[str, int] = {}
        self._completions: list[list] = []
        self._last_completion_number = 0
        self._run_ended = Event()

    @property
    def is_up(self) -> bool:
        """Whether it listens."""
        return self._server.started

    @property
    def worker_id(self) -> str:
        """Its id in service discovery, that of the latest incarnation."""
        return self._worker_id

    def start(self) -> None:
        """Start listening and register as ready."""
        super().start()
        self._tick_greenlet = gevent.spawn(self._tick)
        self.register("ready")

    def close(self) -> None:
        """Stop as in a crash: without deregistering or ending the active runs."""
        if self._tick_greenlet is not None:
            self._tick_greenlet.kill()
        super().close()

    def restart(self, down_ms: float = 0.0, worker_id: str = "") -> None:
        """Crash and start again at the same address as another incarnation.

        Its active runs end with the crash. The earlier entry in service discovery stays until this
        incarnation registers itself, and longer if the id changes.

        Args:
            down_ms: time between crash and start, in milliseconds.
            worker_id: the id of the new incarnation, empty for the same one.
        """
        self._stop_listening()
        self._end_incarnation()
        gevent.sleep(down_ms / MS_PER_S)
        self._worker_id = worker_id or self._worker_id
        self._end_incarnation()
        self._server.start()
        self.register("ready")

    def _crash_under(self, run: RunRecord) -> None:
        """Crash if a run is still active; an earlier id leaves service discovery some time later.

        Args:
            run: the run.
        """
        if run.ended_s or not self.is_up:
            return
        earlier_id = self._worker_id
        new_id = f"{earlier_id}n" if self.faults.crash_renames else ""
        self.restart(self.faults.crash_down_ms, new_id)
        if new_id:
            gevent.sleep(ENTRY_EXPIRY_MS / MS_PER_S)
            self._store.remove(f"servers/{earlier_id}")

    def before_request(self, request: Request) -> None:
        """Count the request and apply the faults to it."""
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        incarnation = self.born
        super().before_request(request)
        if self.born != incarnation:
            raise ConnectionDropped

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
            "capacity": {
                "cpu": self._slots * SLOT_CPU_MILLICORES,
                "mem-mb": self.memory_mb,
                "gpu": self.gpus,
            },
            "labels": ["a", "r1-1"],
            "born": self.born,
            "seq": 1,
        }
        self._store.put(f"servers/{self._worker_id}", json.dumps(entry).encode())

    @property
    def slots(self) -> int:
        """Number of runs that it can execute at once."""
        return self._slots

    def set_slots(self, slots: int) -> None:
        """Change the number of runs that it can execute at once, and register that.

        Args:
            slots: the number.
        """
        self._slots = slots
        self.register("ready")

    def active_count(self) -> int:
        """Return the number of active runs."""
        return len(self._active_runs)

    def _worker_clock_ms(self) -> int:
        return round((time.monotonic() - self._started_s) * MS_PER_S * self.clock_rate) + 5000

    def _listening_incarnation(self) -> int:
        return self.born if self.is_up else 0

    def _tick(self) -> None:
        while True:
            gevent.sleep(TICK_INTERVAL_MS / MS_PER_S)
            self._end_due_runs()

    def _end_due_runs(self) -> None:
        now_s = time.monotonic()
        for run in list(self._active_runs.values()):
            if now_s > run.lease_expires_s:
                self._end_run(run, "lapsed")
                run.ended_s = run.lease_expires_s
            elif now_s >= run.stop_due_s:
                self._end_run(run, "stopped")
            elif (now_s - run.started_s) * MS_PER_S > run.run_ms and not self.faults.stall:
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
        return time.monotonic() + lease_ms / MS_PER_S / self.clock_rate

    def _extend_leases(self, body: dict, request: Request) -> None:
        """Extend the leases of all active runs, and shorten none."""
        expires_s = self._lease_expiry_s(body["deadline-ms"])
        for run in self._active_runs.values():
            if expires_s > run.lease_expires_s:
                run.renew(expires_s, body.get("fence", 0), request.delayed_ms)

    def _refuse_command(self, reason: str) -> Reply:
        return Reply({"clock-ms": self._worker_clock_ms(), "reason": reason}, 409)

    def _is_fence_outdated(self, body: dict) -> bool:
        """Return whether a command has a lower fencing token than the highest; record it if not."""
        if body.get("fence", 0) < self.fence:
            return True
        self.fence = body.get("fence", 0)
        return False

    def _reply(self, body: dict) -> Reply:
        return Reply({"clock-ms": self._worker_clock_ms(), "born": self.born} | body)

    def _refuse_other_incarnation(self, request: Request) -> Reply | None:
        """Return the refusal of a command that names another worker, None if it names this one.

        Runs that are due are ended first, also after the event loop was blocked.
        """
        self._end_due_runs()
        if request.header(EXPECTED_WORKER_HEADER) in ("", self._worker_id):
            return None
        return Reply({"error": f"this is {self._worker_id}"}, 421)

    def _recorded(self, carry_out: Callable[[Request], Reply]) -> Callable[[Request], Reply]:
        """Return a handler that also enters its command into the record."""

        def handle(request: Request) -> Reply:
            reply = carry_out(request)
            self.commands.append(CommandRecord(request, reply, self._worker_id, self.born))
            return reply

        return handle

    def _start_run(self, request: Request) -> Reply:
        if self.faults.skip_orders:
            self.faults.skip_orders -= 1
            raise ConnectionDropped
        body = request.json()
        task, run = body["task"], body["run"]
        refusal = self._refuse_other_incarnation(request)
        if refusal is not None:
            return refusal
        if self._is_fence_outdated(body):
            return self._refuse_command("fence")
        active_run = self._active_runs.get(task)
        if body["deadline-ms"] > self._worker_clock_ms():
            self._extend_leases(body, request)
        if active_run is not None and active_run.run == run:
            return self._reply({})
        if active_run is not None or run <= self._highest_run_numbers.get(task, 0):
            return self._refuse_command("old")
        if body["deadline-ms"] <= self._worker_clock_ms():
            return self._refuse_command("late")
        if len(self._active_runs) >= self._slots and not self.faults.has_no_guard:
            return self._refuse_command("room")
        expires_s = self._lease_expiry_s(body["deadline-ms"])
        new_run = RunRecord(task, run, expires_s, self._worker_id, self.born)
        new_run.fence = body.get("fence", 0)
        new_run.run_ms = self.run_ms_by_payload.get(body["spec"], self._run_ms)
        self._active_runs[task] = new_run
        self.runs.append(new_run)
        if self.faults.crash_payload and body["spec"] == self.faults.crash_payload:
            gevent.spawn_later(self.faults.crash_after_ms / MS_PER_S, self._crash_under, new_run)
        return self._reply({})

    def _stop_run(self, request: Request) -> Reply:
        refusal = self._refuse_other_incarnation(request)
        if refusal is not None:
            return refusal
        body = request.json()
        if self._is_fence_outdated(body):
            return self._refuse_command("fence")
        run = self._active_runs.get(body["task"])
        if run is not None and run.run <= body["run"]:
            self._stop_active_run(run)
        highest_run_number = self._highest_run_numbers.get(body["task"], 0)
        self._highest_run_numbers[body["task"]] = max(highest_run_number, body["run"])
        return self._reply({})

    def _stop_active_run(self, run: RunRecord) -> None:
        if not self.faults.stop_ms:
            self._end_run(run, "stopped")
            return
        stop_due_s = time.monotonic() + self.faults.stop_ms / MS_PER_S
        run.stop_due_s = min(run.stop_due_s, stop_due_s)

    def _renew_leases(self, request: Request) -> Reply:
        refusal = self._refuse_other_incarnation(request)
        if refusal is not None:
            return refusal
        body = request.json()
        if self._is_fence_outdated(body):
            return self._refuse_command("fence")
        if "deadline-ms" in body:
            self._extend_leases(body, request)
        self._completions = [
            completion for completion in self._completions if completion[0] > body["seen-upto"]
        ]
        for run in self.runs:
            if run.incarnation == self.born:
                run.acknowledged |= 0 < run.completion_number <= body["seen-upto"]
        if not self._completions and body["wait-ms"]:
            self._run_ended.wait(body["wait-ms"] / MS_PER_S)
        running = [[run.task, run.run, "", 50] for run in self._active_runs.values()]
        return self._reply({"running": running, "ended": self._completions})

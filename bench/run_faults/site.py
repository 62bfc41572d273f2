"""The stand-in workers and the processes of one run."""

import time

from bench.run_faults.directory import Directory
from bench.run_faults.local_links import LocalLinks
from bench.run_faults.loop_thread import LoopThread
from bench.run_faults.process import Process
from bench.standins.fleet_worker import FleetWorker

__all__ = ["GROUPS", "LONG_RUN_TIMES_MS", "SERVICE", "RunFaultsSite"]

ZONE = "north"
SERVICE = "flags"
GROUPS = [f"{ZONE}/{SERVICE}/0", f"{ZONE}/{SERVICE}/1"]
CLOCK_RATES = (1.0, 0.98)
LONG_RUN_TIMES_MS = {"long": 2500.0, "longer": 4000.0, "longest": 6000.0}


class RunFaultsSite:
    """Workers on one event loop, and processes with one each, which share two worker groups.

    Args:
        process_count: number of processes.
        run_times_ms: run time of the tasks on each worker, in milliseconds.
        has_long_tasks: whether there are tasks that last for seconds besides.

    Attributes:
        directory: lists workers, groups and claims.
        links: the links between the processes.
        processes: the processes.
        has_long_tasks: whether callers submit jobs with the payloads in :data:`LONG_RUN_TIMES_MS`.
        workers: the workers.
        worker_thread: the thread that the workers run in.
        started_s: monotonic time of the start, in seconds.
    """

    __slots__ = (
        "directory",
        "links",
        "processes",
        "has_long_tasks",
        "workers",
        "worker_thread",
        "started_s",
    )

    def __init__(
        self, process_count: int, run_times_ms: list[float], has_long_tasks: bool = False
    ) -> None:
        self.directory = Directory()
        self.has_long_tasks = has_long_tasks
        self.links = LocalLinks()
        self.processes = [
            Process(f"p{number}", ZONE, self.directory, self.links)
            for number in range(process_count)
        ]
        self.worker_thread = LoopThread()
        self.started_s = time.monotonic()
        self.worker_thread.start()
        self.workers = [
            self.worker_thread.ask(self._open_worker, number, run_ms)
            for number, run_ms in enumerate(run_times_ms)
        ]

    def start(self) -> None:
        """Start workers and processes, and give the groups to the first two processes."""
        for number, worker in enumerate(self.workers):
            self.directory.assign_group(worker.worker_id, GROUPS[number % len(GROUPS)])
            self.worker_thread.ask(worker.start)
        for number, group in enumerate(GROUPS):
            process = self.processes[number % len(self.processes)]
            self.directory.claim_group(group, process.member.member_id)
        for process in self.processes:
            process.thread.start()
            process.start()
        for process in self.processes:
            self.links.add(process)

    def close(self) -> None:
        """Stop processes and workers."""
        for process in self.processes:
            process.close()
        for worker in self.workers:
            self.worker_thread.ask(worker.close)
        for process in self.processes:
            process.thread.close()
        self.worker_thread.close()

    def elapsed_s(self) -> float:
        """Return the time since the start in seconds."""
        return time.monotonic() - self.started_s

    def _open_worker(self, number: int, run_ms: float) -> FleetWorker:
        worker = FleetWorker("127.0.0.1:0", self.directory, f"w{number}", ZONE, SERVICE, run_ms)
        worker.clock_rate = CLOCK_RATES[number % len(CLOCK_RATES)]
        worker.faults.stop_ms = 40.0
        worker.run_ms_by_payload = LONG_RUN_TIMES_MS
        return worker

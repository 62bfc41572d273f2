"""Stand-ins of a complete hosted platform in one process: store, workers and configuration."""

import json
import math

from bench.standins.fleet_store import FleetStore
from bench.standins.fleet_worker import FleetWorker, RunRecord

__all__ = [
    "QUEUE_HOST",
    "QUEUE_PATH_PREFIX",
    "SERVICE_NAME",
    "FleetSite",
    "job_body",
    "durable_job_body",
]

QUEUE_HOST = "flags.example"
QUEUE_PATH_PREFIX = "/checks/"
SERVICE_NAME = "flags"
TIMEOUT_MS = 1500
EVACUATION_PREFIX = "op/evacuate/"


class FleetSite:
    """Stand-ins of one hosted platform.

    The store starts listening when the object is created.

    Args:
        zones: names of the availability zones.
        workers: number of workers in each zone.
        store_address: ``ip:port`` of the store; port 0 chooses a free one. The workers listen
            on free ports of the same IP.
        run_ms: duration of every run, in milliseconds.

    Attributes:
        store: the store.
        workers: the workers of all zones.
    """

    def __init__(
        self,
        zones: list[str],
        workers: int,
        store_address: str = "127.0.0.1:0",
        run_ms: float = 40.0,
    ) -> None:
        self._host = store_address.rpartition(":")[0]
        self._run_ms = run_ms
        self.store = FleetStore(store_address)
        self.store.start()
        self.workers = [
            self._make_worker(zone, number) for zone in zones for number in range(workers)
        ]

    def start(self, version: int = 1) -> None:
        """Start the workers and write a configuration of this version with one queue."""
        for worker in self.workers:
            worker.start()
        self.configure(version, [QUEUE_PATH_PREFIX])

    def add_workers(self, zone: str, workers: int) -> None:
        """Start further workers in a zone.

        Args:
            zone: the availability zone.
            workers: number of workers to add.
        """
        known = sum(worker.zone == zone for worker in self.workers)
        added = [self._make_worker(zone, known + number) for number in range(workers)]
        self.workers += added
        for worker in added:
            worker.start()

    def _make_worker(self, zone: str, number: int) -> FleetWorker:
        worker_id = f"{zone}-w{number}"
        address = f"{self._host}:0"
        return FleetWorker(address, self.store, worker_id, zone, SERVICE_NAME, self._run_ms)

    def close(self) -> None:
        """Stop the workers and the store."""
        for worker in self.workers:
            worker.close()
        self.store.close()

    def configure(self, version: int, prefixes: list[str]) -> None:
        """Write a configuration with one queue for each path prefix.

        Args:
            version: version of the configuration.
            prefixes: path prefixes of the queues.
        """
        routes = [
            {
                "name": f"r{number}",
                "host": QUEUE_HOST,
                "prefix": prefix,
                "service": SERVICE_NAME,
                "timeout-ms": TIMEOUT_MS,
                "target-latency-ms": 60,
                "priority": 0,
                "max-attempts": 3,
                "stretch": 1.6,
            }
            for number, prefix in enumerate(prefixes)
        ]
        value = {"version": version, "routes": routes, "services": [{"name": SERVICE_NAME}]}
        self.store.put("op/config", json.dumps(value).encode())

    def evacuate(self, zone: str) -> None:
        """Evacuate a zone as an operator does.

        Args:
            zone: the availability zone.
        """
        self.store.put(EVACUATION_PREFIX + zone, b"{}")

    def take_back(self, zone: str) -> None:
        """End the evacuation of a zone as an operator does.

        Args:
            zone: the availability zone.
        """
        self.store.remove(EVACUATION_PREFIX + zone)

    def started_in(self, zone: str, after_s: float, until_s: float = math.inf) -> list[RunRecord]:
        """Return the runs that workers of a zone started within a time, by their own record.

        Args:
            zone: the availability zone.
            after_s: monotonic time from which on runs are listed, in seconds.
            until_s: monotonic time until which runs are listed, in seconds.
        """
        runs = [run for worker in self.workers if worker.zone == zone for run in worker.runs]
        return [run for run in runs if after_s < run.started_s < until_s]

    def started_tasks(self) -> list[str]:
        """Return the task of every run that was started, with repetitions."""
        return [run.task for worker in self.workers for run in worker.runs]

    def restarted_tasks(self) -> list[str]:
        """Return the tasks that were started again after a successful run was acknowledged."""
        runs = [run for worker in self.workers for run in worker.runs]
        done_times_s = {
            run.task: run.ended_s for run in runs if run.outcome == "done" and run.acknowledged
        }
        return [
            run.task for run in runs if run.started_s > done_times_s.get(run.task, float("inf"))
        ]

    def overlapping_tasks(self) -> list[str]:
        """Return the tasks that had two runs active at the same time."""
        spans: dict[str, list[tuple[float, float]]] = {}
        for worker in self.workers:
            for run in worker.runs:
                end_s = run.ended_s or float("inf")
                spans.setdefault(run.task, []).append((run.started_s, end_s))
        return [task for task, task_spans in spans.items() if _has_overlap(sorted(task_spans))]


def durable_job_body(*task_counts: int, estimate_ms: float = 40.0, payload: str = "check") -> dict:
    """Return the request body of a durable job whose steps run one after the other.

    Args:
        task_counts: number of tasks of each step.
        estimate_ms: estimated run time of every task, in milliseconds.
        payload: text that each task is started with.
    """
    steps = [
        {"count": count, "cpu": 14_000, "mem-mb": 64, "estimate-ms": estimate_ms}
        | ({"after": [number - 1]} if number else {})
        for number, count in enumerate(task_counts)
    ]
    return {"spec": payload, "steps": steps}


def job_body(tasks: int = 1, estimate_ms: float = 40.0, **fields: object) -> dict:
    """Return the request body of a best-effort job with one step.

    Args:
        tasks: number of tasks.
        estimate_ms: estimated run time of every task, in milliseconds.
        fields: further fields of the body; they replace those with the same name.
    """
    step = {"count": tasks, "cpu": 14_000, "mem-mb": 64, "estimate-ms": estimate_ms}
    return {"spec": "check", "steps": [step], "best-effort": True} | fields


def _has_overlap(spans: list[tuple[float, float]]) -> bool:
    return any(later[0] < earlier[1] for earlier, later in zip(spans, spans[1:], strict=False))

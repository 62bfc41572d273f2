"""Demonstration on real processes in two zones: ``python -m bench.demo``.

It submits a job of 150 tasks and a stamp of one task, resubmits both through a process of the
other zone, sends a stamp request to an upstream twice under one key, and kills an entry process
while jobs run. The last line is JSON.
"""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from collections import Counter  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
import msgspec  # noqa: E402

from bench.fleet import Entry, Fleet, call  # noqa: E402
from camphorchute.contracts import new_key  # noqa: E402

SERVICE = "flag-registry"
JOB_TASKS = 150
NETWORK_BASE = 31
DEADLINE_MS = 20_000.0
SPEEDS = [1.0, 0.7, 1.4, 1.0]


class Caller:
    """Submits jobs and records every answer.

    Attributes:
        answers: key, HTTP status and body of each answer; status 0 if the connection was lost.
        tasks: number of tasks of the job under each key.
    """

    def __init__(self) -> None:
        self.answers: list[tuple[str, int, dict]] = []
        self.tasks: dict[str, int] = {}

    def submit(self, entry: Entry, key: str, tasks: int, run_time_ms: float) -> None:
        """Submit a job, wait for its answer, record and print it.

        Args:
            entry: entry process that receives the job.
            key: idempotency key.
            tasks: number of tasks.
            run_time_ms: declared run time of each task in milliseconds.
        """
        self.tasks[key] = tasks
        body = {
            "service": SERVICE,
            "deadline_ms": DEADLINE_MS,
            "tasks": [{"kind": "check", "run_time_ms": run_time_ms}] * tasks,
        }
        try:
            status, answer = call(
                entry.http_address, "POST", "/v1/jobs", body, {"Idempotency-Key": key}
            )
        except OSError as error:
            status, answer = 0, {"code": -1, "detail": f"connection lost: {error!r}"}
        self.answers.append((key, status, answer))
        print(f"caller: {key[:24]} via {entry.http_address}: {status} {_summarize(answer)}")

    def is_partial(self, key: str, answer: dict) -> bool:
        """Whether an answer claims success without the expected answer of every task."""
        expected = [f"{key}/{index}" for index in range(self.tasks[key])]
        return answer.get("code") in (None, 0) and answer.get("answers") != expected

    def is_complete(self, key: str) -> bool:
        """Whether the job under a key was answered with success."""
        return any(k == key and status == 200 for k, status, _ in self.answers)


def _summarize(answer: dict) -> str:
    if answer.get("answers"):
        return f"complete, {len(answer['answers'])} answers"
    return f"{answer.get('title', '')} {answer.get('detail', '')}"


def main() -> int:
    """Run the demonstration and return the exit status.

    The logs of the entry processes are printed if it raises an exception.
    """
    began_s = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(["north", "south"], Path(folder), NETWORK_BASE)
        try:
            caller = _run(fleet)
            starts = fleet.starts()
            upstream_starts = _upstream_starts(fleet)
        except Exception:
            for log in sorted(Path(folder).glob("entry*.log")):
                print(log.name, log.read_text()[-3000:], sep="\n")
            raise
        finally:
            fleet.close()
    return _report(caller, starts, upstream_starts, time.monotonic() - began_s)


def _run(fleet: Fleet) -> Caller:
    fleet.start_platform()
    for zone in fleet.zones:
        fleet.start_workers(zone, SPEEDS)
        fleet.start_upstream(zone)
        fleet.add_entry(zone, 1)
        fleet.add_entry(zone, 2)
    fleet.wait_ready()
    first, second, third, _ = fleet.entries
    revision = fleet.confirm_service(first, fleet.definition(SERVICE))
    print(f"operator: revision {revision} in force after {fleet.wait_in_force(revision):.2f} s")
    time.sleep(1.0)
    caller = Caller()
    job, stamp = new_key("north"), new_key("north")
    caller.submit(first, job, JOB_TASKS, 200.0)
    caller.submit(first, stamp, 1, 100.0)
    caller.submit(third, job, JOB_TASKS, 200.0)
    caller.submit(third, stamp, 1, 100.0)
    _send_stamp_requests(fleet, first, third)
    _kill_entry_during_jobs(fleet, caller, second, third)
    return caller


def _send_stamp_requests(fleet: Fleet, first: Entry, third: Entry) -> None:
    """Send the same request for an upstream under one key through two entry processes."""
    key = new_key("north")
    for entry in (first, third):
        status, body = call(
            entry.http_address,
            "POST",
            f"/v1/requests/{SERVICE}/stamps",
            {"flag": "QLD-17"},
            {"Idempotency-Key": key},
        )
        print(f"caller: stamp request via {entry.http_address}: {status} {str(body)[:60]}")


def _kill_entry_during_jobs(
    fleet: Fleet, caller: Caller, victim: Entry, submitted_to: Entry
) -> None:
    """Kill an entry process while jobs that were submitted to another one run."""
    keys = [new_key("north") for _ in range(6)]
    greenlets = [gevent.spawn(caller.submit, submitted_to, key, 40, 300.0) for key in keys]
    gevent.sleep(0.8)
    print(f"fault: kill of entry process {victim.link_address}")
    fleet.kill(victim)
    gevent.joinall(greenlets)


def _upstream_starts(fleet: Fleet) -> Counter:
    """Return the number of requests that the upstreams received under each key."""
    addresses = [a for group in fleet.upstreams.values() for a in group]
    records = [r for a in addresses for r in call(a, "GET", "/record")[1]["requests"]]
    return Counter(record["key"] for record in records)


def _report(caller: Caller, starts: list[dict], upstream_starts: Counter, seconds: float) -> int:
    """Print the results and return the exit status: 1 if a guarantee was violated."""
    starts_by_task = Counter((start["job"], start["index"]) for start in starts)
    double_starts = sum(1 for count in starts_by_task.values() if count > 1)
    double_starts += sum(1 for count in upstream_starts.values() if count > 1)
    for key, tasks in caller.tasks.items():
        counts = Counter(starts_by_task[(key, index)] for index in range(tasks))
        print(f"starts: {key[:24]}: " + ", ".join(f"{n} tasks {c}x" for c, n in counts.items()))
    print(f"starts: stamp requests at upstreams: {sorted(upstream_starts.values())}")
    complete = sum(1 for key in caller.tasks if caller.is_complete(key))
    partial = sum(1 for key, _, answer in caller.answers if caller.is_partial(key, answer))
    summary = {
        "tasks": sum(caller.tasks.values()),
        "starts": sum(starts_by_task.values()),
        "double_starts": double_starts,
        "jobs_complete": complete,
        "jobs_failed": len(caller.tasks) - complete,
        "partial_answers": partial,
        "seconds": round(seconds, 2),
    }
    print(msgspec.json.encode(summary).decode())
    is_stamped_once = list(upstream_starts.values()) == [1]
    has_failed = double_starts or partial or not is_stamped_once or not complete
    return 1 if has_failed else 0


if __name__ == "__main__":
    sys.exit(main())

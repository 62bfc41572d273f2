"""The demonstration: two zones, a job of 150 tasks, a stamp, a resubmission and a kill."""

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
    """Submits jobs and notes each answer.

    Attributes:
        answers: key, status and body of each answer.
        tasks: number of tasks of each key.
    """

    def __init__(self) -> None:
        self.answers: list[tuple[str, int, dict]] = []
        self.tasks: dict[str, int] = {}

    def submit(self, entry: Entry, key: str, tasks: int, run_time_ms: float) -> None:
        """Submit a job and note its answer."""
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
        print(f"caller: {key[:24]} via {entry.http_address}: {status} {_brief(answer)}")

    def is_partial(self, key: str, answer: dict) -> bool:
        """Whether an answer is neither whole nor a failure."""
        expected = [f"{key}/{index}" for index in range(self.tasks[key])]
        return answer.get("code") in (None, 0) and answer.get("answers") != expected

    def is_complete(self, key: str) -> bool:
        """Whether a key has had its whole answer."""
        return any(k == key and status == 200 for k, status, _ in self.answers)


def _brief(answer: dict) -> str:
    if answer.get("answers"):
        return f"complete, {len(answer['answers'])} answers"
    return f"{answer.get('title', '')} {answer.get('detail', '')}"


def main() -> int:
    """Run the demonstration and return the exit status."""
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
    _stamp_by_request(fleet, first, third)
    _kill_in_the_middle(fleet, caller, second, third)
    return caller


def _stamp_by_request(fleet: Fleet, first: Entry, third: Entry) -> None:
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


def _kill_in_the_middle(fleet: Fleet, caller: Caller, victim: Entry, through: Entry) -> None:
    keys = [new_key("north") for _ in range(6)]
    greenlets = [gevent.spawn(caller.submit, through, key, 40, 300.0) for key in keys]
    gevent.sleep(0.8)
    print(f"fault: kill of entry process {victim.link_address}")
    fleet.kill(victim)
    gevent.joinall(greenlets)


def _upstream_starts(fleet: Fleet) -> Counter:
    addresses = [a for group in fleet.upstreams.values() for a in group]
    records = [r for a in addresses for r in call(a, "GET", "/record")[1]["requests"]]
    return Counter(record["key"] for record in records)


def _report(caller: Caller, starts: list[dict], upstream: Counter, seconds: float) -> int:
    per_task = Counter((start["job"], start["index"]) for start in starts)
    doubled = sum(1 for count in per_task.values() if count > 1)
    doubled += sum(1 for count in upstream.values() if count > 1)
    for key, tasks in caller.tasks.items():
        counts = Counter(per_task[(key, index)] for index in range(tasks))
        print(f"starts: {key[:24]}: " + ", ".join(f"{n} tasks {c}x" for c, n in counts.items()))
    print(f"starts: stamp requests at upstreams: {sorted(upstream.values())}")
    complete = sum(1 for key in caller.tasks if caller.is_complete(key))
    partial = sum(1 for key, _, answer in caller.answers if caller.is_partial(key, answer))
    summary = {
        "tasks": sum(caller.tasks.values()),
        "starts": sum(per_task.values()),
        "double_starts": doubled,
        "jobs_complete": complete,
        "jobs_failed": len(caller.tasks) - complete,
        "partial_answers": partial,
        "seconds": round(seconds, 2),
    }
    print(msgspec.json.encode(summary).decode())
    stamped_once = list(upstream.values()) == [1]
    broken = doubled or partial or not stamped_once or not complete
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())

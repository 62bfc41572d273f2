"""Record of one run on a stand-in worker, for the assertions of tests."""

import time

__all__ = ["CRASHED", "RunRecord"]

CRASHED = "crashed"


class RunRecord:
    """One run of a task, for the assertions of tests.

    Attributes:
        task: name of the task.
        run: number of the run.
        worker_id: id of the worker at the time of the start.
        incarnation: the incarnation of the worker, as its creation time ``born``.
        started_s: monotonic time of its start, in seconds.
        ended_s: monotonic time of its completion in seconds, 0 while it is active.
        outcome: ``done``, ``failed``, ``stopped`` or ``lapsed``, ``crashed`` if the worker
            crashed before; empty while it is active.
        completion_number: number of its completion, 0 while it is active.
        acknowledged: whether its completion was acknowledged.
        lease_expires_s: monotonic time at which its lease expires, in seconds.
        stop_due_s: monotonic time at which it ends after a stop command, in seconds; infinite
            without one.
        run_ms: its duration unless it is stopped, in milliseconds.
        fence: fencing token of its start command.
        renewals: number of commands that extended its lease.
        renewed_s: monotonic time at which its lease was last extended, in seconds; 0 before.
        renewed_fence: fencing token of the command that last extended its lease.
        renewed_late_ms: time for which that command was delayed, in milliseconds.
    """

    __slots__ = (
        "task",
        "run",
        "worker_id",
        "incarnation",
        "started_s",
        "ended_s",
        "outcome",
        "completion_number",
        "acknowledged",
        "lease_expires_s",
        "stop_due_s",
        "run_ms",
        "fence",
        "renewals",
        "renewed_s",
        "renewed_fence",
        "renewed_late_ms",
    )

    def __init__(
        self, task: str, run: int, lease_expires_s: float, worker_id: str = "", incarnation: int = 0
    ) -> None:
        self.task = task
        self.run = run
        self.worker_id = worker_id
        self.incarnation = incarnation
        self.started_s = time.monotonic()
        self.ended_s = 0.0
        self.outcome = ""
        self.completion_number = 0
        self.acknowledged = False
        self.lease_expires_s = lease_expires_s
        self.stop_due_s = float("inf")
        self.run_ms = 0.0
        self.fence = 0
        self.renewals = 0
        self.renewed_s = 0.0
        self.renewed_fence = 0
        self.renewed_late_ms = 0.0

    def renew(self, expires_s: float, fence: int, late_ms: float = 0.0) -> None:
        """Extend its lease.

        Args:
            expires_s: monotonic time at which the lease expires now, in seconds.
            fence: fencing token of the command that extends it.
            late_ms: time for which that command was delayed, in milliseconds.
        """
        self.lease_expires_s = expires_s
        self.renewals += 1
        self.renewed_s, self.renewed_fence = time.monotonic(), fence
        self.renewed_late_ms = late_ms

    def __repr__(self) -> str:
        end = f"{self.ended_s:.3f} s {self.outcome}" if self.ended_s else "active"
        lease = ""
        if self.renewals:
            late = f", {self.renewed_late_ms:.0f} ms late" if self.renewed_late_ms else ""
            lease = (
                f", lease extended {self.renewals} times, last at {self.renewed_s:.3f} s "
                f"under fence {self.renewed_fence}{late}"
            )
        return (
            f"{self.task} run {self.run} on {self.worker_id}/{self.incarnation}: "
            f"{self.started_s:.3f} s to {end}, started under fence {self.fence}{lease}"
        )

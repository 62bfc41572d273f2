"""Record of one command that a stand-in worker carried out, for the assertions of tests."""

import time

from bench.standins.server import Reply, Request

__all__ = ["CommandRecord"]


class CommandRecord:
    """One start or stop command as the worker carried it out.

    Args:
        request: the command.
        reply: the answer of the worker, which it may not have sent.
        worker_id: id of the worker.
        incarnation: the incarnation of the worker that carried it out.

    Attributes:
        at_s: monotonic time at which it was carried out, in seconds.
        path: path of the command.
        task: name of the task.
        run: number of the run.
        fence: its fencing token.
        delayed_ms: time between its arrival and its execution, in milliseconds.
        status: HTTP status of the answer.
        reason: reason of a refusal, empty if there is none.
    """

    __slots__ = (
        "at_s",
        "path",
        "task",
        "run",
        "fence",
        "delayed_ms",
        "status",
        "reason",
        "_worker",
    )

    def __init__(self, request: Request, reply: Reply, worker_id: str, incarnation: int) -> None:
        body = request.json()
        self.at_s = time.monotonic()
        self.path = request.path
        self.task, self.run, self.fence = body["task"], body["run"], body.get("fence", 0)
        self.delayed_ms = request.delayed_ms
        self.status = reply.status
        self.reason = reply.body.get("reason", "")
        self._worker = f"{worker_id}/{incarnation}"

    def __repr__(self) -> str:
        delay = f", {self.delayed_ms:.0f} ms late" if self.delayed_ms else ""
        return (
            f"{self._worker} carries out {self.path} of run {self.run} under fence {self.fence}"
            f"{delay}: {self.status} {self.reason}".rstrip()
        )

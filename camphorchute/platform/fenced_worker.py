"""Orders to the platform's workers behind :class:`camphorchute.hosting.RunPort`."""

import msgspec

from camphorchute.hosting.run_port import (
    EndKind,
    OrderLost,
    OrderRefused,
    RefusedReason,
    RunEnd,
    RunListing,
    RunOrder,
    RunPort,
    RunSeen,
)
from camphorchute.hosting.worker_entry import WorkerEntry
from camphorchute.platform import wire
from camphorchute.workers.http_channel import AnswerLost, HttpAnswer, HttpChannel, NotSent

__all__ = ["FencedWorker"]

ORDER_TIMEOUT_MS = 120.0
CONNECT_TIMEOUT_MS = 150.0
IDLE_CONNECTIONS = 4
OK = 200
EXPECT_HEADER = "Camphorchute-Expect-Instance"

_REASONS = {
    "fence": RefusedReason.FENCED,
    "old": RefusedReason.OLD_RUN,
    "late": RefusedReason.TOO_LATE,
    "room": RefusedReason.NO_ROOM,
}
_STATUSES = {
    400: RefusedReason.MALFORMED,
    404: RefusedReason.MALFORMED,
    421: RefusedReason.OTHER_INCARNATION,
    429: RefusedReason.UNHEALTHY,
    503: RefusedReason.UNHEALTHY,
}
_ENDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LEASE_EXPIRED,
    "broken": EndKind.GANG_ENDED,
    "alone": EndKind.GANG_INCOMPLETE,
}


class FencedWorker(RunPort):
    """One incarnation of a worker.

    Args:
        entry: its entry in service discovery.
    """

    def __init__(self, entry: WorkerEntry) -> None:
        self._born = entry.incarnation
        self._headers = {"Content-Type": "application/json", EXPECT_HEADER: entry.worker_id}
        self._channel = HttpChannel(entry.address, IDLE_CONNECTIONS, CONNECT_TIMEOUT_MS)

    def start_run(self, order: RunOrder, fence: int, lease_until_ms: float) -> float:
        """Start a run; return the worker's clock."""
        body = wire.RunStart(order.task, order.run, order.payload, int(lease_until_ms), fence)
        return self._call("/run-start", body, wire.Clock).clock_ms

    def stop_run(self, task: str, run: int, fence: int) -> float:
        """Stop a run; return the worker's clock."""
        return self._call("/run-stop", wire.RunStop(task, run, fence), wire.Clock).clock_ms

    def renew(
        self, fence: int, acknowledged: int, lease_until_ms: float | None, wait_ms: float
    ) -> RunListing:
        """Renew the leases of all runs and list runs and ends."""
        body = wire.Hold(fence, acknowledged, int(wait_ms))
        if lease_until_ms is not None:
            body.deadline_ms = int(lease_until_ms)
        runs = self._call("/hold", body, wire.Runs, wait_ms)
        if self._born and runs.born and runs.born != self._born:
            raise OrderRefused(RefusedReason.OTHER_INCARNATION, f"born {runs.born}")
        try:
            running = [RunSeen(row[0], row[1]) for row in runs.running]
            ended = [RunEnd(row[0], row[1], row[2], _ENDS[row[3]]) for row in runs.ended]
        except (IndexError, KeyError) as error:
            raise OrderLost(f"malformed listing: {error!r}") from error
        return RunListing(runs.clock_ms, running, ended)

    def close(self) -> None:
        """Close the idle connections."""
        self._channel.close()

    def _call(self, path: str, body: object, kind: type, wait_ms: float = 0.0) -> object:
        timeout_ms = ORDER_TIMEOUT_MS + wait_ms
        try:
            answer = self._channel.exchange(
                "POST", path, msgspec.json.encode(body), timeout_ms, self._headers
            )
        except NotSent as error:
            raise OrderLost(str(error), sent=False) from error
        except AnswerLost as error:
            raise OrderLost(str(error)) from error
        if answer.status != OK:
            raise _refused(answer)
        try:
            return msgspec.json.decode(answer.body, type=kind)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise OrderLost(f"malformed answer: {error}") from error


def _refused(answer: HttpAnswer) -> Exception:
    """Return the error for a status other than 200; only known refusals did nothing."""
    if answer.status in _STATUSES:
        return OrderRefused(_STATUSES[answer.status], str(answer.status))
    try:
        reason = msgspec.json.decode(answer.body, type=wire.Rejected).reason
    except (msgspec.MsgspecError, UnicodeDecodeError):
        reason = ""
    if reason in _REASONS:
        return OrderRefused(_REASONS[reason], reason)
    return OrderLost(f"status {answer.status}: {answer.body[:100]!r}")

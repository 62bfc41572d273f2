"""Stand-in for an upstream, with a record of every request that it ran."""

import os

import gevent

from bench.standins.server import ConnectionDropped, Faults, Reply, Request, Standin, now_unix_ms

__all__ = ["Upstream", "UpstreamFaults"]

DEFAULT_RUN_TIME_MS = 50.0
CRASH_EXIT_CODE = 70
NOT_RUN_HEADERS = (("X-Not-Run", "1"),)


class UpstreamFaults(Faults):
    """Faults of an upstream.

    Attributes:
        refuse: whether every request is refused with the header that proves it was not run.
        fail_all: whether every request runs for no time and is answered with status 500.
        crash: exits the process immediately.
        slow_factor: factor that multiplies every run time.
        lose_answers: number of requests that run and whose connection is then closed
            without an answer.
        late_ms: delay between the completion of a request and its answer, in milliseconds.
    """

    refuse: bool = False
    fail_all: bool = False
    crash: bool = False
    slow_factor: float = 1.0
    lose_answers: int = 0
    late_ms: float = 0.0


class Upstream(Standin):
    """Stand-in for an upstream.

    It answers every path. The query parameter ``run_ms=<n>`` sets the run time in
    milliseconds. The answer repeats the key and the attempt id of its request, so that a caller
    detects an answer to another request.

    Args:
        address: ``ip:port`` to listen on.
        slots: number of requests that run at once; any more are refused as not run.
        speed: factor that multiplies every run time.

    Attributes:
        requests: every request that was run, in order, with the fields of ``GET /record``.
    """

    faults_type = UpstreamFaults

    def __init__(self, address: str, slots: int = 8, speed: float = 1.0) -> None:
        super().__init__(address)
        self.slots = slots
        self.speed = speed
        self.requests: list[dict] = []
        self._running_count = 0
        self.routes["GET", "/record"] = lambda request: Reply({"requests": self.requests})

    def apply_changed_faults(self, request: Request) -> None:
        """Carry out the faults that take effect once, when they are set."""
        super().apply_changed_faults(request)
        if self.faults.crash:
            os._exit(CRASH_EXIT_CODE)

    def handle_unrouted_request(self, request: Request) -> Reply:
        """Run a request of any path and answer it."""
        if self.faults.refuse or self._running_count >= self.slots:
            return Reply({"error": "not run"}, 503, NOT_RUN_HEADERS)
        record = {
            "method": request.method,
            "path": request.path,
            "key": request.header("Idempotency-Key"),
            "attempt": request.header("X-Attempt-Id"),
            "unix_ms": now_unix_ms(),
        }
        self.requests.append(record)
        self._run_request(request)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise ConnectionDropped
        if self.faults.fail_all:
            return Reply({"error": "failed"}, 500)
        return Reply({name: record[name] for name in ("path", "key", "attempt")})

    def _run_request(self, request: Request) -> None:
        run_ms = float(request.query.get("run_ms", DEFAULT_RUN_TIME_MS))
        run_ms *= self.speed * self.faults.slow_factor
        self._running_count += 1
        try:
            gevent.sleep(0.0 if self.faults.fail_all else run_ms / 1000.0)
        finally:
            self._running_count -= 1
        gevent.sleep(self.faults.late_ms / 1000.0)

"""An upstream: it records every request that it ran."""

import os

import gevent

from bench.standins.server import ConnectionDropped, Faults, Reply, Request, Standin, now_unix_ms

__all__ = ["Upstream", "UpstreamFaults"]

RUN_TIME_MS = 50.0
EXIT_CRASHED = 70
NOT_RUN = (("X-Not-Run", "1"),)


class UpstreamFaults(Faults):
    """Faults of an upstream.

    Attributes:
        refuse: every request is refused with the proof that it was not run.
        fail_all: every request runs and is answered with status 500.
        crash: the process ends now.
        slow_factor: factor on every run time.
        lose_answers: number of requests that run and whose connection then closes.
        late_ms: time between the end of a request and its answer, milliseconds.
    """

    refuse: bool = False
    fail_all: bool = False
    crash: bool = False
    slow_factor: float = 1.0
    lose_answers: int = 0
    late_ms: float = 0.0


class Upstream(Standin):
    """The stand-in for an upstream.

    It answers every path. The query ``run_ms=<n>`` sets the run time. The answer repeats the
    key and the attempt id, so that crossed answers are seen.

    Args:
        address: ``ip:port``.
        slots: requests that run at once; one more is refused as not run.
        speed: factor on every run time.
    """

    faults_type = UpstreamFaults

    def __init__(self, address: str, slots: int = 8, speed: float = 1.0) -> None:
        super().__init__(address)
        self.slots = slots
        self.speed = speed
        self.requests: list[dict] = []
        self._running = 0
        self.routes["GET", "/record"] = lambda request: Reply({"requests": self.requests})

    def faults_changed(self, request: Request) -> None:
        """Act on faults that were just set."""
        super().faults_changed(request)
        if self.faults.crash:
            os._exit(EXIT_CRASHED)

    def unrouted(self, request: Request) -> Reply:
        """Run a request."""
        if self.faults.refuse or self._running >= self.slots:
            return Reply({"error": "not run"}, 503, NOT_RUN)
        row = {
            "method": request.method,
            "path": request.path,
            "key": request.header("Idempotency-Key"),
            "attempt": request.header("X-Attempt-Id"),
            "unix_ms": now_unix_ms(),
        }
        self.requests.append(row)
        self._run(request)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise ConnectionDropped
        if self.faults.fail_all:
            return Reply({"error": "failed"}, 500)
        return Reply({name: row[name] for name in ("path", "key", "attempt")})

    def _run(self, request: Request) -> None:
        run_ms = float(request.query.get("run_ms", RUN_TIME_MS))
        run_ms *= self.speed * self.faults.slow_factor
        self._running += 1
        try:
            gevent.sleep(0.0 if self.faults.fail_all else run_ms / 1000.0)
        finally:
            self._running -= 1
        gevent.sleep(self.faults.late_ms / 1000.0)

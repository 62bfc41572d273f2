"""Benchmark of the HTTP overhead of an entry process: ``python -m bench.echo``.

It sends one-task jobs without run time through an entry process, and requests of the same size
to a pywsgi server that echoes them. Both servers set TCP_NODELAY and have the same client.
"""

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import socket  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from collections.abc import Callable  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
import msgspec  # noqa: E402
from gevent.pywsgi import WSGIHandler, WSGIServer  # noqa: E402
from geventhttpclient import HTTPClient  # noqa: E402

from bench.fleet import Fleet  # noqa: E402
from bench.measure.registry import print_json_line  # noqa: E402
from bench.measure.row import percentile  # noqa: E402
from bench.measure.usage import total_usage  # noqa: E402
from camphorchute.contracts import new_key  # noqa: E402

ZONE = "north"
SERVICE = "echo"
NETWORK_BASE = 63
ECHO_HOST = f"127.{NETWORK_BASE}.0.9"
ECHO_PORT = 9400
CALLER_COUNTS = (1, 8, 32)
MEASURED_S = 5.0
WARM_UP_S = 1.0


class NoDelayHandler(WSGIHandler):
    """Request handler that sends small answers without the delay of Nagle's algorithm."""

    def handle(self) -> None:
        """Serve a connection with TCP_NODELAY set."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()


def echo(environ: dict, start_response: Callable) -> list[bytes]:
    """WSGI application that answers with the body of the request."""
    body = environ["wsgi.input"].read()
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start_response("200 OK", headers)
    return [body]


def serve_echo() -> None:
    """Run the echo server until the process is terminated."""
    address = (ECHO_HOST, ECHO_PORT)
    WSGIServer(address, echo, log=None, handler_class=NoDelayHandler).serve_forever()


def measure(path: str, address: str, callers: int, pids: list[int]) -> None:
    """Send requests from concurrent callers and print the latency, throughput and processor time.

    Args:
        path: path of the requests.
        address: ``IP:port`` of the server.
        callers: number of concurrent callers.
        pids: ids of the processes whose processor time is measured.
    """
    _send_load(address, path, callers, WARM_UP_S)
    used, began_s = total_usage(pids), time.monotonic()
    times_ms, failed = _send_load(address, path, callers, MEASURED_S)
    seconds = time.monotonic() - began_s
    cpu_s = total_usage(pids).cpu_s - used.cpu_s
    print_json_line(
        path=path,
        callers=callers,
        servers=len(pids),
        requests=len(times_ms),
        failed=failed,
        requests_per_s=len(times_ms) / seconds,
        p50_ms=percentile(times_ms, 0.5),
        p99_ms=percentile(times_ms, 0.99),
        server_cpu_ms_per_request=cpu_s * 1000 / max(len(times_ms), 1),
    )


def _send_load(address: str, path: str, callers: int, seconds: float) -> tuple[list[float], int]:
    """Return all response times in milliseconds and the number of failed requests."""
    until_s = time.monotonic() + seconds
    greenlets = [gevent.spawn(_call_until, address, path, until_s) for _ in range(callers)]
    gevent.joinall(greenlets)
    times_ms = [time_ms for greenlet in greenlets for time_ms in greenlet.value[0]]
    return times_ms, sum(greenlet.value[1] for greenlet in greenlets)


def _call_until(address: str, path: str, until_s: float) -> tuple[list[float], int]:
    """Send one request after the other until a time of the monotonic clock."""
    host, _, port = address.rpartition(":")
    client = HTTPClient(host, int(port), network_timeout=10.0)
    task = {"kind": "echo", "payload": "run_ms=0", "run_time_ms": 1.0}
    body = msgspec.json.encode({"service": SERVICE, "deadline_ms": 5000.0, "tasks": [task]})
    times_ms, failed = [], 0
    while time.monotonic() < until_s:
        headers = {"Content-Type": "application/json", "Idempotency-Key": new_key(ZONE)}
        began_s = time.monotonic()
        response = client.request("POST", path, body=body, headers=headers)
        response.read()
        times_ms.append((time.monotonic() - began_s) * 1000.0)
        failed += response.status_code != 200
    client.close()
    return times_ms, failed


def _measure_echo() -> None:
    process = subprocess.Popen([sys.executable, "-m", "bench.echo", "serve"], env=os.environ)
    try:
        gevent.sleep(1.0)
        for callers in CALLER_COUNTS:
            measure("/echo", f"{ECHO_HOST}:{ECHO_PORT}", callers, [process.pid])
    finally:
        process.kill()
        process.wait()


def _measure_entry() -> None:
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet([ZONE], Path(folder), NETWORK_BASE)
        try:
            fleet.start_platform()
            fleet.start_workers(ZONE, [1.0] * 4)
            for number in (1, 2):
                fleet.add_entry(ZONE, number)
            fleet.wait_ready()
            first = fleet.entries[0]
            fleet.wait_in_force(fleet.confirm_service(first, fleet.definition(SERVICE)))
            gevent.sleep(3.0)
            pids = [entry.process.pid for entry in fleet.entries]
            for callers in CALLER_COUNTS:
                measure("/v1/jobs", first.http_address, callers, pids)
        finally:
            fleet.close()


def main() -> None:
    """Measure the echo server, then an entry process; with ``serve``, run the echo server."""
    if sys.argv[1:] == ["serve"]:
        serve_echo()
    _measure_echo()
    _measure_entry()


if __name__ == "__main__":
    main()

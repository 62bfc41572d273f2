"""Measure the processor time of one exchange with a worker: ``python -m bench.exchange_cost``.

The stand-in of the worker is a thread outside of gevent that answers each request with the same
bytes; only the processor time of the thread that sends the commands counts.
"""

from gevent import monkey

monkey.patch_all()

import time  # noqa: E402
from collections.abc import Callable  # noqa: E402

import click  # noqa: E402
import gevent  # noqa: E402

from bench.measure.registry import print_json_line  # noqa: E402
from camphorchute.contracts.resources import Resources  # noqa: E402
from camphorchute.hosting import StartCommand, WorkerEntry  # noqa: E402
from camphorchute.platform.fenced_worker import FencedWorker  # noqa: E402

native_socket = monkey.get_original("socket", "socket")
start_native_thread = monkey.get_original("_thread", "start_new_thread")

START_ANSWER = b'{"clock-ms": 5123, "born": 1700000000123}'
POLL_ANSWER = (
    b'{"clock-ms": 5123, "born": 1700000000123, "running":'
    b' [["5c0e7a21d94b36f8.0.1.17", 1, "", 50]], "ended":'
    b' [[12, "5c0e7a21d94b36f8.0.1.16", 1, "done", ""]]}'
)
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: %b\r\nContent-Length: %d\r\n\r\n"
)
DATE = b"Fri, 04 Dec 2026 11:52:23 GMT"
MAX_REQUEST_BYTES = 65_536
BATCHES = 20


class _AnsweringThread:
    """Answers each request on each connection with the same bytes."""

    def __init__(self, body: bytes) -> None:
        self._answer = HEAD % (DATE, len(body)) + body
        self._server = native_socket()
        self._server.bind(("127.0.0.1", 0))
        self._server.listen()
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        start_native_thread(self._serve, ())

    def _serve(self) -> None:
        connection, _ = self._server.accept()
        while connection.recv(MAX_REQUEST_BYTES):
            connection.sendall(self._answer)
        connection.close()
        self._server.close()


def _least_us(action: Callable[[], object], rounds: int) -> float:
    """Return the processor time of an action in this thread in microseconds.

    It is the mean of the fastest of some batches, as other processes only lengthen it.
    """
    batch = max(1, rounds // BATCHES)
    times_s = []
    for _ in range(BATCHES):
        began_s = time.thread_time()
        for _ in range(batch):
            action()
        times_s.append(time.thread_time() - began_s)
    return round(1e6 * min(times_s) / batch, 1)


def _open_worker(body: bytes) -> FencedWorker:
    address = _AnsweringThread(body).address
    return FencedWorker(WorkerEntry("w1", 1_700_000_000_123, address, "flags", "", Resources(0)))


@click.command()
@click.option("--rounds", default=10_000, show_default=True)
def main(rounds: int) -> None:
    """Print the processor time of a start command, of a poll and of an empty turn of the loop."""
    command = StartCommand("5c0e7a21d94b36f8.0.1.17", 1, "check", Resources(14_000, 64))
    starts, polls = _open_worker(START_ANSWER), _open_worker(POLL_ANSWER)
    print_json_line(
        start_us=_least_us(lambda: starts.start_run(command, 7, 486_000.0), rounds),
        poll_us=_least_us(lambda: polls.renew_and_list(7, 11, 486_000.0, 0.0), rounds),
        turn_us=_least_us(lambda: gevent.sleep(0), rounds),
    )
    starts.close()
    polls.close()


if __name__ == "__main__":
    main()

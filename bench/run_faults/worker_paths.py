"""Paths of one process to the workers, which can be lost for a while, also in one direction."""

import random
import time
from collections.abc import Callable

import gevent

from camphorchute.hosting import (
    CommandRefused,
    CommandUnanswered,
    RunListing,
    StartCommand,
    WorkerClient,
    WorkerEntry,
)

__all__ = ["PathClient", "WorkerPaths"]

TIMEOUT_MS = 120.0
UNSENT_SHARE = 0.5
MS_PER_S = 1000.0

RecordCommand = Callable[[str, str], None]


class WorkerPaths:
    """The paths of one process to the workers.

    Examples:
        >>> paths = WorkerPaths("p0")
        >>> paths.lose("w0", 1000.0)
        >>> paths.is_lost("w0"), paths.is_lost("w1"), paths.are_answers_lost("w0")
        (True, False, False)
        >>> paths.lose("w1", 1000.0, is_one_way=True)
        >>> paths.is_lost("w1"), paths.are_answers_lost("w1")
        (False, True)
    """

    __slots__ = ("_lost_until_s", "_answers_lost_until_s", "_random")

    def __init__(self, name: str) -> None:
        self._lost_until_s: dict[str, float] = {}
        self._answers_lost_until_s: dict[str, float] = {}
        self._random = random.Random(f"paths {name}")

    def lose(self, worker_id: str, duration_ms: float, is_one_way: bool = False) -> None:
        """Lose the path to a worker for a while.

        Args:
            worker_id: the worker.
            duration_ms: time in milliseconds.
            is_one_way: whether commands still arrive and only their answers are lost.
        """
        table = self._answers_lost_until_s if is_one_way else self._lost_until_s
        until_s = time.monotonic() + duration_ms / MS_PER_S
        table[worker_id] = max(until_s, table.get(worker_id, 0.0))

    def is_lost(self, worker_id: str) -> bool:
        """Return whether no command reaches a worker now."""
        return time.monotonic() < self._lost_until_s.get(worker_id, 0.0)

    def are_answers_lost(self, worker_id: str) -> bool:
        """Return whether commands reach a worker now and its answers are lost."""
        return time.monotonic() < self._answers_lost_until_s.get(worker_id, 0.0)

    def pass_command(self, worker_id: str, send: Callable[[], object], wait_ms: float) -> object:
        """Send a command over the path to a worker, and return the answer.

        Args:
            worker_id: the worker.
            send: sends the command and returns the answer.
            wait_ms: longest time that the worker waits before it answers, in milliseconds.

        Raises:
            CommandUnanswered: the command or its answer was lost.
        """
        if self.is_lost(worker_id):
            is_sent = self._random.random() >= UNSENT_SHARE
            gevent.sleep((TIMEOUT_MS + wait_ms * is_sent) / MS_PER_S)
            raise CommandUnanswered("path lost", sent=is_sent)
        answer = send()
        if self.is_lost(worker_id) or self.are_answers_lost(worker_id):
            gevent.sleep(TIMEOUT_MS / MS_PER_S)
            raise CommandUnanswered("answer lost")
        return answer


class PathClient(WorkerClient):
    """Client of a worker whose commands take a path that can be lost.

    Args:
        client: sends the commands.
        entry: the worker's entry in service discovery.
        paths: the paths of the process.
        record: receives the task and the description of each start and stop command that was sent.
    """

    __slots__ = ("_client", "_worker_id", "_paths", "_record")

    def __init__(
        self, client: WorkerClient, entry: WorkerEntry, paths: WorkerPaths, record: RecordCommand
    ) -> None:
        self._client = client
        self._worker_id = entry.worker_id
        self._paths = paths
        self._record = record

    def start_run(self, command: StartCommand, fencing_token: int, lease_until_ms: float) -> float:
        """Start a run and return the reading of the worker's clock in milliseconds."""
        text = f"start of run {command.run} under fence {fencing_token}"
        return self._pass_recorded(
            command.task,
            text,
            lambda: self._client.start_run(command, fencing_token, lease_until_ms),
        )

    def stop_run(self, task: str, run: int, fencing_token: int) -> float:
        """Stop a run and return the reading of the worker's clock in milliseconds."""
        text = f"stop of run {run} under fence {fencing_token}"
        return self._pass_recorded(
            task, text, lambda: self._client.stop_run(task, run, fencing_token)
        )

    def renew_and_list(
        self, fencing_token: int, acknowledged: int, lease_until_ms: float | None, wait_ms: float
    ) -> RunListing:
        """Renew the leases of all runs of the worker and list its runs and completions."""
        return self._paths.pass_command(
            self._worker_id,
            lambda: self._client.renew_and_list(
                fencing_token, acknowledged, lease_until_ms, wait_ms
            ),
            wait_ms,
        )

    def close(self) -> None:
        """Close the idle connections to the worker."""
        self._client.close()

    def _pass_recorded(self, task: str, text: str, send: Callable[[], float]) -> float:
        sent_s = time.monotonic()
        outcome = "acknowledged"
        try:
            return self._paths.pass_command(self._worker_id, send, 0.0)
        except CommandRefused as refused:
            outcome = f"refused, {refused.reason.name}"
            raise
        except CommandUnanswered as unanswered:
            outcome = f"no answer, {unanswered}" if unanswered.sent else f"not sent, {unanswered}"
            raise
        finally:
            took_ms = (time.monotonic() - sent_s) * MS_PER_S
            self._record(task, f"{text} to {self._worker_id}, {took_ms:.0f} ms: {outcome}")

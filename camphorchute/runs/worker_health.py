"""Whether a worker answers, and until when no task is started on it."""

import time
from collections.abc import Callable

from eliot import log_message

from camphorchute.observation_clock import observation_clock

__all__ = ["WorkerHealth"]

UNRESPONSIVE_AFTER_FAILURES = 3
RETRY_PAUSE_STEP_MS = 5.0
RETRY_PAUSE_MS = 60.0
MS_PER_S = 1000.0


class WorkerHealth:
    """The answers of one worker to commands and polls.

    A worker counts as unresponsive until its first answer.

    Args:
        worker_id: id of the worker, for the log.
        count: adds to a named counter.

    Attributes:
        is_responsive: whether the worker answers.
        heard_s: time of its last answer in seconds of the observation clock; before that, the
            time since when it is polled.
    """

    __slots__ = (
        "is_responsive",
        "heard_s",
        "_worker_id",
        "_count",
        "_failures_in_row",
        "_paused_until_s",
    )

    def __init__(self, worker_id: str, count: Callable[..., None]) -> None:
        self.is_responsive = False
        self.heard_s = observation_clock.now_s()
        self._worker_id = worker_id
        self._count = count
        self._failures_in_row = 0
        self._paused_until_s = 0.0

    def record_command_answer(self) -> None:
        """Record that a command was answered."""
        self.heard_s = observation_clock.now_s()
        self._failures_in_row = 0

    def record_poll_answer(self) -> None:
        """Record that a poll was answered."""
        self.is_responsive = True
        self.heard_s = observation_clock.now_s()
        self._failures_in_row = 0

    def record_failure(self, detail: str) -> None:
        """Record a command without an answer; several in a row mark the worker unresponsive."""
        self._failures_in_row += 1
        if self._failures_in_row >= UNRESPONSIVE_AFTER_FAILURES:
            self.mark_unresponsive(detail)

    def mark_unresponsive(self, detail: str) -> None:
        """Let nothing more be placed on the worker until it answers a poll.

        Args:
            detail: what was seen, for the log.
        """
        if self.is_responsive:
            self._count("runs.worker_suspected")
            log_message(
                message_type="runs",
                text="runs: worker does not answer",
                worker=self._worker_id,
                detail=detail,
            )
        self.is_responsive = False
        self._failures_in_row += 1

    def pause(self, duration_ms: float) -> None:
        """Start no task on the worker for a while."""
        self._paused_until_s = time.monotonic() + duration_ms / MS_PER_S

    def is_paused(self, now_s: float) -> bool:
        """Return whether no task may be started on the worker now.

        Args:
            now_s: time of the monotonic clock in seconds.
        """
        return now_s < self._paused_until_s

    def retry_pause_ms(self) -> float:
        """Return the pause before an unanswered poll is repeated, longer with each failure."""
        return min(RETRY_PAUSE_MS, RETRY_PAUSE_STEP_MS * self._failures_in_row)

"""Histogram of the waits that jobs were admitted with against those that they had."""

import time
from collections.abc import Callable

from camphorchute.contracts.run_messages import TaskResult, TaskResultKind
from camphorchute.histogram import bucket_name

__all__ = ["WaitErrors"]

FIRST_STEP = 0
MS_PER_S = 1000.0


class _AdmittedWait:
    """The expected wait of a job that was admitted.

    Attributes:
        expected_ms: the wait that the job was admitted with, in milliseconds.
        estimate_ms: declared run time of a task of its first step, in milliseconds.
        predicted_ms: predicted time of the job from its submission to its answer.
        admitted_s: monotonic time of its admission.
        has_waited: whether its wait was counted.
    """

    __slots__ = ("expected_ms", "estimate_ms", "predicted_ms", "admitted_s", "has_waited")

    def __init__(self, expected_ms: float, estimate_ms: float, predicted_ms: float) -> None:
        self.expected_ms = expected_ms
        self.estimate_ms = estimate_ms
        self.predicted_ms = predicted_ms
        self.has_waited = False
        self.admitted_s = time.monotonic()


class WaitErrors:
    """Counts by how much the wait until the first task of a job differs from the expected one.

    The wait is the time from the admission to the first end of a task of the first step, less the
    declared run time of such a task, so the error contains that of the declared run time. Of a job
    whose first task is returned without a start, the time until then is counted instead.

    Args:
        count: adds to a named counter.

    Examples:
        >>> counters = []
        >>> errors = WaitErrors(counters.append)
        >>> errors.record_admitted("job", 40.0, 100.0, report_age_ms=12)
        >>> errors.record_results("job", [TaskResult(0, 0, 1, TaskResultKind.NO_ROOM)])
        >>> counters
        ['queues.report_age_ms.under_16', 'queues.wait_returned_ms.queued.under_16']
    """

    __slots__ = ("_count", "_admitted")

    def __init__(self, count: Callable[..., None]) -> None:
        self._count = count
        self._admitted: dict[str, _AdmittedWait] = {}

    def record_admitted(
        self,
        job_id: str,
        expected_ms: float,
        estimate_ms: float,
        report_age_ms: float,
        predicted_ms: float = 0.0,
    ) -> None:
        """Record the expected wait of a job that was admitted.

        Args:
            job_id: id of the job.
            expected_ms: the wait that it was admitted with, in milliseconds.
            estimate_ms: declared run time of a task of its first step, in milliseconds.
            report_age_ms: age of the oldest free-capacity report in use, negative without one.
            predicted_ms: predicted time of the job from its submission to its answer.
        """
        age_bucket = bucket_name(report_age_ms) if report_age_ms >= 0 else "none"
        self._count(f"queues.report_age_ms.{age_bucket}")
        self._admitted.setdefault(job_id, _AdmittedWait(expected_ms, estimate_ms, predicted_ms))

    def record_results(self, job_id: str, results: list[TaskResult]) -> None:
        """Count the wait of a job at the first results of tasks of its first step.

        Args:
            job_id: id of the job.
            results: the results.
        """
        admitted = self._admitted.get(job_id)
        ends = {result.end for result in results if result.step == FIRST_STEP}
        if admitted is None or admitted.has_waited or not ends:
            return
        admitted.has_waited = True
        elapsed_ms = (time.monotonic() - admitted.admitted_s) * MS_PER_S
        kind = "queued" if admitted.expected_ms else "free"
        if ends & {TaskResultKind.DONE, TaskResultKind.FAILED}:
            wait_ms = max(0.0, elapsed_ms - admitted.estimate_ms)
            self._count_error(kind, wait_ms - admitted.expected_ms)
        elif ends & {TaskResultKind.NO_ROOM, TaskResultKind.NOT_STARTED}:
            self._count(f"queues.wait_returned_ms.{kind}.{bucket_name(elapsed_ms)}")

    def record_end(self, job_id: str, queue: str, is_done: bool) -> None:
        """Count the predicted and the actual time of a job that has ended, and forget it.

        Of a job that was given up, the time that it had is counted as its actual time.

        Args:
            job_id: id of the job.
            queue: name of its queue.
            is_done: whether the job was done.
        """
        admitted = self._admitted.pop(job_id, None)
        if admitted is None or not admitted.predicted_ms:
            return
        actual_ms = (time.monotonic() - admitted.admitted_s) * MS_PER_S
        error_ms = actual_ms - admitted.predicted_ms
        self._count(f"queues.predicted_ms.{queue}.{bucket_name(admitted.predicted_ms)}")
        outcome = "actual" if is_done else "given_up"
        self._count(f"queues.{outcome}_ms.{queue}.{bucket_name(actual_ms)}")
        direction = "longer" if error_ms >= 0 else "shorter"
        self._count(f"queues.time_error_ms.{queue}.{direction}_{bucket_name(abs(error_ms))}")

    def _count_error(self, kind: str, error_ms: float) -> None:
        direction = "longer" if error_ms >= 0 else "shorter"
        self._count(f"queues.wait_error_ms.{kind}.{direction}_{bucket_name(abs(error_ms))}")

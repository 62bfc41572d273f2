"""Outcome of a load pattern: how many jobs were served, and at what cost."""

import statistics

__all__ = ["PatternOutcome"]

LATE_FACTOR = 3.0


class PatternOutcome:
    """Counts of the jobs of one pattern.

    Attributes:
        in_time: jobs that were done within their target time.
        late: jobs that were done later, within three target times.
        refused: jobs that were refused without a start.
        failed: all other jobs.
        stretches: time of each job that was done, divided by its work.
        starts: number of runs that were started.
        core_s: core-seconds that the runs took.

    Examples:
        >>> outcome = PatternOutcome()
        >>> outcome.record_done(took_ms=100.0, work_ms=60.0, target_ms=156.0)
        >>> outcome.refused += 1
        >>> outcome.served_share()
        0.5
    """

    __slots__ = ("in_time", "late", "refused", "failed", "stretches", "starts", "core_s")

    def __init__(self) -> None:
        self.in_time = self.late = self.refused = self.failed = 0
        self.stretches: list[float] = []
        self.starts = 0
        self.core_s = 0.0

    def record_done(self, took_ms: float, work_ms: float, target_ms: float) -> None:
        """Record a job that was done; one that took too long to be of use counts as failed."""
        if took_ms > LATE_FACTOR * target_ms:
            self.failed += 1
            return
        self.in_time += took_ms <= target_ms
        self.late += took_ms > target_ms
        self.stretches.append(took_ms / work_ms)

    def jobs(self) -> int:
        """Return the number of jobs."""
        return self.in_time + self.late + self.refused + self.failed

    def served_share(self) -> float:
        """Return the share of jobs that were served at all."""
        return (self.in_time + self.late) / max(1, self.jobs())

    def in_time_share(self) -> float:
        """Return the share of jobs that were served within their target time."""
        return self.in_time / max(1, self.jobs())

    def stretch_percentile(self, percent: int) -> float:
        """Return a percentile of the time of done jobs against their work."""
        if len(self.stretches) < 2:
            return 0.0
        return statistics.quantiles(self.stretches, n=100)[percent - 1]

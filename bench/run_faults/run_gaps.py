"""Gaps between the runs of a task on two workers, by the evidence that the earlier one ended."""

import json
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path

from bench.standins.run_record import RunRecord

__all__ = ["MARGIN_MS", "RunGap", "StartLog", "find_gaps", "lines_of_job"]

MARGIN_MS = 60.0
MS_PER_S = 1000.0
CLOCK_ERROR_S = 0.01
FIRST_RUN = 1
STARTS_AGAIN = "runs: task starts again"
RUN_NOT_DONE = "runs: run not done"
SEEN_TO_END = "its scheduler saw it end"
RULED_OUT = "its worker ruled it out"
NO_EARLIER_RUN_KNOWN = "none"
NOT_LOGGED = "not logged"
OTHER_RUN = "of another run"
EXPIRED_LEASES = (
    "the worker did not answer until its leases expired",
    "the worker was removed and its leases expired",
)


class RunGap:
    """Time between two successive runs of a task on different workers.

    Attributes:
        earlier: the run that started first.
        later: the next run.
        evidence: why the scheduler of the later run took the earlier one as ended.
    """

    __slots__ = ("earlier", "later", "evidence")

    def __init__(self, earlier: RunRecord, later: RunRecord, evidence: str) -> None:
        self.earlier = earlier
        self.later = later
        self.evidence = evidence

    def __repr__(self) -> str:
        return (
            f"{self.duration_ms:.0f} ms between two runs ({self.evidence}): "
            f"{self.earlier!r}; {self.later!r}"
        )

    @property
    def duration_ms(self) -> float:
        """Time from the end of the earlier run to the start of the later one, in milliseconds."""
        return (self.later.started_s - self.earlier.ended_s) * MS_PER_S

    @property
    def is_too_short(self) -> bool:
        """Whether a start that relied on time alone kept less than its margin.

        Runs at the same time are not counted.
        """
        return self.evidence not in (SEEN_TO_END, RULED_OUT) and 0 <= self.duration_ms < MARGIN_MS


class _LoggedStart:
    """A logged start of a task that had an earlier run."""

    __slots__ = ("logged_s", "evidence", "earlier_worker", "process")

    def __init__(self, logged_s: float, line: dict, process: str) -> None:
        self.logged_s = logged_s
        self.evidence: str = line["evidence"]
        self.earlier_worker: str = line.get("earlier_worker") or ""
        self.process = process


class StartLog:
    """What the logs of the entry processes say on the starts of tasks that had an earlier run.

    Args:
        log_dir: folder with the logs.
        epoch_s: time since the Unix epoch at which the monotonic clock was 0, in seconds.
    """

    __slots__ = ("_starts", "_lost_ends")

    def __init__(self, log_dir: Path, epoch_s: float) -> None:
        self._starts: dict[tuple, list[_LoggedStart]] = defaultdict(list)
        self._lost_ends: dict[tuple, str] = {}
        for path in sorted(log_dir.glob("entry-*.log")):
            for line in _decision_lines(path):
                run = (line["task"], line["run"], line["worker"])
                if line["text"] == STARTS_AGAIN:
                    logged_s = line["timestamp"] - epoch_s
                    self._starts[run].append(_LoggedStart(logged_s, line, path.name))
                elif line["evidence"] in EXPIRED_LEASES:
                    self._lost_ends[path.name, *run] = line["evidence"]

    def evidence_of(self, earlier: RunRecord, later: RunRecord) -> str:
        """Return the evidence for the end of a run that the start of the next was logged with.

        Args:
            earlier: the run that had ended.
            later: the next run of its task.
        """
        starts = self._starts[later.task, later.run, later.worker_id]
        until_s = later.started_s + CLOCK_ERROR_S
        before = [start for start in starts if start.logged_s <= until_s]
        if not before:
            return NO_EARLIER_RUN_KNOWN if later.run == FIRST_RUN else NOT_LOGGED
        start = max(before, key=lambda start: start.logged_s)
        if start.evidence not in (SEEN_TO_END, RULED_OUT):
            return start.evidence
        if start.earlier_worker not in ("", earlier.worker_id):
            return OTHER_RUN
        end = (start.process, earlier.task, earlier.run, earlier.worker_id)
        return self._lost_ends.get(end, start.evidence)


def find_gaps(runs: Iterable[RunRecord], log: StartLog) -> list[RunGap]:
    """Return the gaps between successive runs of a task on different workers.

    Args:
        runs: runs on all workers and their incarnations.
        log: the logged starts.
    """
    by_task: dict[str, list[RunRecord]] = defaultdict(list)
    for run in sorted(runs, key=lambda run: run.started_s):
        by_task[run.task].append(run)
    return [
        RunGap(earlier, later, log.evidence_of(earlier, later))
        for task_runs in by_task.values()
        for earlier, later in zip(task_runs, task_runs[1:], strict=False)
        if earlier.ended_s and earlier.worker_id != later.worker_id
    ]


def lines_of_job(log_dir: Path, job_id: str, epoch_s: float) -> list[str]:
    """Return the lines of all logs that name a job, by time.

    Args:
        log_dir: folder with the logs.
        job_id: the job.
        epoch_s: time since the Unix epoch at which the monotonic clock was 0, in seconds.
    """
    found = []
    for path in log_dir.glob("entry-*.log"):
        for text in path.read_text(errors="replace").splitlines():
            if job_id in text and (line := _decoded(text)):
                logged_s = line.pop("timestamp", 0.0) - epoch_s
                fields = {k: v for k, v in line.items() if k not in ("task_uuid", "task_level")}
                found.append((logged_s, f"{logged_s:.3f} s {path.stem}: {json.dumps(fields)}"))
    return [text for _, text in sorted(found)]


def _decision_lines(path: Path) -> Iterable[dict]:
    """Return the lines on starts that had an earlier run, and on runs that were not done."""
    for text in path.read_text(errors="replace").splitlines():
        if STARTS_AGAIN in text or RUN_NOT_DONE in text:
            line = _decoded(text)
            if line.get("text") in (STARTS_AGAIN, RUN_NOT_DONE) and "evidence" in line:
                yield line


def _decoded(text: str) -> dict:
    """Return a line of a log, empty if it is cut short or no message."""
    try:
        line = json.loads(text)
    except json.JSONDecodeError:
        return {}
    return line if isinstance(line, dict) else {}

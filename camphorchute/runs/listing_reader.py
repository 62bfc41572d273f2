"""Listing reader: applies a worker's lists of runs to what its scheduler knows of them."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent

from camphorchute.decision_log import log_decision
from camphorchute.hosting import RunCompletion, RunListing, RunOutcome
from camphorchute.runs.run import EndEvidence, Run, RunState, job_of

if TYPE_CHECKING:
    from camphorchute.runs.leased_worker import LeasedWorker

__all__ = ["ListingReader"]


class ListingReader:
    """Ends, adopts or notes the runs of one worker by the lists that it returns.

    Args:
        worker: the worker.
        count: adds to a named counter.
    """

    __slots__ = ("_worker", "_count")

    def __init__(self, worker: LeasedWorker, count: Callable[..., None]) -> None:
        self._worker = worker
        self._count = count

    def apply(self, listing: RunListing, sent_s: float) -> None:
        """Apply a list of runs.

        Args:
            listing: the list.
            sent_s: monotonic time in seconds at which it was requested.
        """
        listed = {listed_run.task: listed_run.run for listed_run in listing.running}
        if listed:
            self._worker.leases.record_active()
        for completion in listing.completions:
            if self._worker.completions.mark_listed(completion):
                self._apply_completion(completion, listed)
        self._worker.lists_all_completions = listing.is_complete
        if not listing.is_complete:
            self._count("runs.completion_list_full")
        self._note_active_runs(listed)
        self._end_unlisted_runs(listed, sent_s)

    def _note_active_runs(self, listed: dict[str, int]) -> None:
        """Note which known runs are listed, and the runs that an earlier scheduler started."""
        worker, now_s = self._worker, time.monotonic()
        for name, run in worker.runs.items():
            is_listed = listed.get(name) == run.number
            run.was_listed |= is_listed
            if is_listed and run.state is RunState.UNKNOWN:
                run.state, run.start_acknowledged_s = RunState.RUNNING, now_s
                self._log_late_start(name, run.number)
        for name in listed.keys() - worker.runs.keys() - worker.orphans.keys():
            if worker.start_bindings.of_task(name) is not None:
                self._log_late_start(name, listed[name])
        worker.orphans = {
            name: (number, worker.orphans[name][1] if name in worker.orphans else now_s)
            for name, number in listed.items()
            if name not in worker.runs
        }

    def _log_late_start(self, name: str, number: int) -> None:
        """Log that a start command without an answer was carried out, and by which incarnation."""
        entry = self._worker.entry
        self._count("runs.start_found_running")
        log_decision(
            "runs",
            "run of a start without an answer is active",
            task=name,
            run=number,
            worker=entry.worker_id,
            incarnation=entry.incarnation,
        )

    def _end_unlisted_runs(self, listed: dict[str, int], sent_s: float) -> None:
        """End the runs that a list lacks; a full list may hide the completion of a durable one."""
        for name, run in list(self._worker.runs.items()):
            if run.task.is_durable and not self._worker.lists_all_completions:
                continue
            is_acknowledged = run.state is RunState.RUNNING and run.start_acknowledged_s < sent_s
            if is_acknowledged and listed.get(name) != run.number:
                self._count("runs.vanished")
                self._end_unless_superseded(
                    run, RunOutcome.LEASE_EXPIRED, EndEvidence.NOT_LISTED, listed
                )

    def _apply_completion(self, completion: RunCompletion, listed: dict[str, int]) -> None:
        """Apply a completion that was not listed before.

        Args:
            completion: the completion.
            listed: numbers of the active runs by task, from the same list.
        """
        worker = self._worker
        run = worker.runs.get(completion.task)
        is_known_run = run is not None and run.number == completion.run
        if run is None or run.task.is_durable:
            worker.completions.retain(completion)
        if run is None:
            gevent.spawn(self._acknowledge_unless_durable, completion)
        if is_known_run:
            self._end_unless_superseded(run, completion.outcome, EndEvidence.LISTED, listed)

    def _acknowledge_unless_durable(self, completion: RunCompletion) -> None:
        """Acknowledge the completion of a task unknown here, unless its job may be durable.

        A worker that lists a completion answers each poll immediately, which costs calls.
        """
        if not self._worker.is_durable_job(
            job_of(completion.task)
        ) and self._worker.completions.acknowledge(completion.task, completion.run):
            self._worker.request_poll()

    def _end_unless_superseded(
        self, run: Run, outcome: RunOutcome, evidence: EndEvidence, listed: dict[str, int]
    ) -> None:
        """End a run; if the worker lists another run of its task, adopt that one instead."""
        number = listed.get(run.task.name, run.number)
        if number == run.number or outcome is RunOutcome.DONE or run.task.cancelled:
            self._worker.end_run(run, outcome, evidence)
        elif self._worker.take_run(run):
            self._count("runs.superseded")
            self._worker.adopt_run(run.task, number)

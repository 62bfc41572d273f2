"""Callbacks for events on the runs of a worker."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from camphorchute.hosting import RunOutcome

if TYPE_CHECKING:
    from camphorchute.contracts.start_messages import KnownStart
    from camphorchute.runs.leased_worker import LeasedWorker
    from camphorchute.runs.run import Run

__all__ = ["RunListener"]


class RunListener(Protocol):
    """Callbacks for events on the runs of a worker."""

    def run_ended(self, worker: LeasedWorker, run: Run, outcome: RunOutcome) -> None:
        """Handle the end of a run, which is no longer in ``worker.runs``."""

    def start_refused(self, worker: LeasedWorker, run: Run, reason: str) -> None:
        """Handle a start that did not happen.

        Args:
            worker: the worker.
            run: the run, which is no longer in ``worker.runs``.
            reason: name of the refusal in lower case, or ``not_sent``.
        """

    def run_unresolved(self, worker: LeasedWorker, run: Run) -> None:
        """Handle a run that may be active on the worker, or on its next incarnation.

        Args:
            worker: the worker.
            run: the run, which is no longer in ``worker.runs``.
        """

    def run_adopted(self, worker: LeasedWorker, run: Run) -> None:
        """Handle an active run that an earlier scheduler started and this one goes on with.

        Args:
            worker: the worker.
            run: the run, which is in ``worker.runs``.
        """

    def start_unanswered(self, worker: LeasedWorker, run: Run) -> None:
        """Handle a start command without an answer, which is sent again.

        Args:
            worker: the worker.
            run: the run.
        """

    def run_found_elsewhere(self, worker: LeasedWorker, run: Run, known: KnownStart) -> None:
        """Handle a run that was not started, as its task may run where another process started it.

        Args:
            worker: the worker.
            run: the run, which is no longer in ``worker.runs``.
            known: the run that may be active or start.
        """

    def end_unproved(self, worker: LeasedWorker, run: Run) -> None:
        """Handle a stopped or left run whose lease commands without an answer may still extend.

        Args:
            worker: the worker.
            run: the run, which is in ``worker.runs``.
        """

    def worker_changed(self, worker: LeasedWorker, is_usable_now: bool = False) -> None:
        """Handle a poll that may have changed the free capacity or the known runs.

        Args:
            worker: the worker.
            is_usable_now: whether this was its first list under the fencing token in force.
        """

    def fence_superseded(self, worker: LeasedWorker) -> None:
        """Handle a refusal because the worker has seen a higher fencing token."""

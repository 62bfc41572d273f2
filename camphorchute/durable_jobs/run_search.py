"""Run search: asks the schedulers which unknown tasks of a shard may be running."""

import time
from collections.abc import Callable, Iterable

import gevent
from eliot import log_message

from camphorchute.contracts import Refusal
from camphorchute.contracts.durable_job_messages import AskKeptTasks, ReportedTask
from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import ShardTerm
from camphorchute.durable_jobs.durable_job_run import DurableJobRun
from camphorchute.durable_jobs.shard_context import ShardContext
from camphorchute.links import LinkLost
from camphorchute.loops import spawn_loop
from camphorchute.queues import TaskProgress, TaskState
from camphorchute.runs.owner_contacts import ISOLATED_RUN_MAX_MS

__all__ = ["RunSearch"]

QUERY_TIMEOUT_MS = 500.0
RETRY_MS = 100.0
LOGGED_WORKERS_MAX = 5
HIDDEN_RUNS_END_MS = ISOLATED_RUN_MAX_MS + 500.0
MS_PER_S = 1000.0


class RunSearch:
    """Asks all schedulers, in rounds, for the runs of the unknown tasks of a shard.

    A run of a task can only be on a worker of the task's service. A task that no scheduler reports
    becomes pending as soon as the runs of every listed worker of its service have been reported in
    a round that began after the task had become unknown. Tasks of other services do not wait for
    these workers.

    A worker that is not listed is no proof that its runs have ended: it may be cut off together
    with its scheduler, which goes on with them for ISOLATED_RUN_MAX_MS. A task that this scheduler
    may have waits for that long.

    Args:
        term: term of the shard owner.
        context: the collaborators that all shards share.
        open_runs: returns the open jobs of the shard.
        apply_report: applies what a scheduler reports of one run.
        after_round: called after each round.
    """

    __slots__ = (
        "_term",
        "_context",
        "_open_runs",
        "_apply_report",
        "_after_round",
        "_is_running",
        "_is_closed",
        "_round",
        "_last_report_round",
        "_first_round",
        "_missing_workers",
    )

    def __init__(
        self,
        term: ShardTerm,
        context: ShardContext,
        open_runs: Callable[[], Iterable[DurableJobRun]],
        apply_report: Callable[[Member, ReportedTask], None],
        after_round: Callable[[], None],
    ) -> None:
        self._term = term
        self._context = context
        self._open_runs = open_runs
        self._apply_report = apply_report
        self._after_round = after_round
        self._is_running = False
        self._is_closed = False
        self._round = 0
        self._last_report_round: dict[str, int] = {}
        self._first_round: dict[TaskProgress, int] = {}
        self._missing_workers: set[str] = set()

    def close(self) -> None:
        """Ask no more; tasks that are unknown stay so."""
        self._is_closed = True

    def restart_for(self, task: TaskProgress) -> None:
        """Search the run of a task that has become unknown now.

        Args:
            task: the task; what was reported before does not count.
        """
        self._first_round.pop(task, None)
        self.start()

    def start(self) -> None:
        """Start asking, unless that is under way, until no task of the shard is unknown."""
        if not self._is_running:
            self._is_running = True
            spawn_loop("keeping", self._search_until_known, self._context.count)

    def _search_until_known(self) -> None:
        while not self._is_closed and self.run_round():
            self._context.count("keeping.retry.find_tasks")
            gevent.sleep(RETRY_MS / MS_PER_S)
        self._is_running = False

    def run_round(self) -> bool:
        """Ask all schedulers once; return whether tasks are still unknown after that."""
        unknown = self._unknown_tasks()
        if not unknown:
            return False
        self._round += 1
        number = self._round
        self._first_round = {task: self._first_round.get(task, number) for _, task in unknown}
        self._query_all_schedulers(number)
        reported_since = {
            service: self._all_reported_since(service)
            for service in {run.queue.service for run, _ in unknown}
        }
        waiting_services = set()
        for run, task in unknown:
            service = run.queue.service
            first_round = self._first_round.get(task)  # missing if it became unknown again just now
            if task.state is not TaskState.UNKNOWN:
                self._first_round.pop(task, None)
            elif (
                first_round is not None
                and reported_since[service] >= first_round
                and not self._may_have_hidden_run(service, task)
            ):
                self._first_round.pop(task)
                run.mark_unreported(task)
            else:
                waiting_services.add(service)
            run.changed.set()
        self._log_missing(waiting_services, number)
        self._after_round()
        return bool(self._unknown_tasks())

    def _unknown_tasks(self) -> list[tuple[DurableJobRun, TaskProgress]]:
        return [(run, task) for run in self._open_runs() for task in run.unknown_tasks()]

    def _may_have_hidden_run(self, service: str, task: TaskProgress) -> bool:
        """Whether a scheduler that is cut off with its workers may still have a run of a task."""
        hidden_s = self._context.view.hidden_workers_since_s(service)
        if hidden_s is None or task.unaccounted_since_s is None:
            return False
        since_s = max(hidden_s, task.unaccounted_since_s)
        if (time.monotonic() - since_s) * MS_PER_S >= HIDDEN_RUNS_END_MS:
            return False
        self._context.count("keeping.wait.hidden_worker")
        return True

    def _all_reported_since(self, service: str) -> int:
        """Return the round in or after which the runs of all workers of a service were reported.

        It is 0 if a worker was never reported, or if this process has read no worker yet.
        """
        view = self._context.view
        if self._is_closed or not view.workers:
            return 0
        rounds = [self._last_report_round.get(name, 0) for name in view.worker_ids_of(service)]
        return min(rounds, default=self._round)

    def _log_missing(self, services: set[str], number: int) -> None:
        """Count the rounds in which tasks wait for workers, and log which ones if they change.

        Args:
            services: services of the tasks that wait.
            number: number of the round.
        """
        missing = {
            worker_id
            for service in services
            for worker_id in self._context.view.worker_ids_of(service)
            if self._last_report_round.get(worker_id, 0) < number
        }
        if missing:
            self._context.count("keeping.wait.worker_unreported")
        if missing and missing != self._missing_workers:
            log_message(
                message_type="keeping",
                text="keeping: tasks wait for the runs of workers to be reported",
                shard=self._term.shard,
                number=len(missing),
                workers=sorted(missing)[:LOGGED_WORKERS_MAX],
            )
        self._missing_workers = missing

    def _query_all_schedulers(self, number: int) -> None:
        """Query all schedulers, and note of which workers they report every run.

        Args:
            number: number of the round.
        """
        view = self._context.view
        schedulers = [view.scheduler_of(group) for group in view.group_names()]
        members = {member.member_id: member for member in schedulers if member is not None}
        queries = [gevent.spawn(self._query_scheduler, member) for member in members.values()]
        for query in gevent.joinall(queries):
            for worker_id in query.value or ():
                self._last_report_round[worker_id] = number

    def _query_scheduler(self, scheduler: Member) -> list[str]:
        """Apply the tasks a scheduler reports; return the workers of which it knows every run."""
        message = AskKeptTasks(self._term.shard, self._term.number)
        try:
            reply = self._context.peers.request(scheduler, message, QUERY_TIMEOUT_MS)
        except (LinkLost, Refusal):
            self._context.count("keeping.retry.ask_home")
            return []
        for reported in reply.tasks:
            self._apply_report(scheduler, reported)
        return reply.workers

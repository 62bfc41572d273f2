"""Messages of shard owners about the tasks of durable jobs, as a scheduler handles them."""

from collections.abc import Callable, Iterable

from camphorchute.contracts.durable_job_messages import (
    AskKeptTasks,
    EndsSaved,
    KeptTasksAre,
    ReportedTask,
)
from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import RunPlace, ShardTerm, TaskResultKind
from camphorchute.links import handles
from camphorchute.runs.leased_worker import LeasedWorker
from camphorchute.runs.retained_ends import end_report
from camphorchute.runs.run import job_of, shard_of
from camphorchute.runs.start_bindings import StartBindings
from camphorchute.runs.worker_group import WorkerGroup

__all__ = ["DurableTasks"]

LOST_RUNS_KEPT = 1000


class DurableTasks:
    """Reports tasks to shard owners and accepts commands of the latest owner of each shard only.

    Args:
        groups: returns the groups of the scheduler.
        count: adds to a named counter.
        start_bindings: the workers that the tasks of the scheduler are bound to.

    Attributes:
        on_shard_released: called with the term of a shard owner that owns the shard no more.
    """

    __slots__ = (
        "on_shard_released",
        "_groups",
        "_count",
        "_latest_terms",
        "_lost_runs",
        "_start_bindings",
    )

    def __init__(
        self,
        groups: Callable[[], Iterable[WorkerGroup]],
        count: Callable[..., None],
        start_bindings: StartBindings | None = None,
    ) -> None:
        self.on_shard_released: Callable[[ShardTerm], None] = lambda term: None
        self._groups = groups
        self._count = count
        self._start_bindings = start_bindings or StartBindings()
        self._latest_terms: dict[int, int] = {}
        self._lost_runs: dict[str, tuple[str, RunPlace]] = {}

    def is_superseded(self, term: ShardTerm | None) -> bool:
        """Whether a command is from a shard owner that a later one has superseded.

        Args:
            term: term of the sender, None for a job that is not durable.
        """
        if term is None or term.number >= self._latest_terms.get(term.shard, 0):
            return False
        self._count("runs.refused.outdated_keeper")
        return True

    def record_lost_run(self, task: str, group: str, place: RunPlace) -> None:
        """Remember that a run was lost with its worker, in case its owner is lost as well.

        Args:
            task: name of the task.
            group: the worker group.
            place: where the run was.
        """
        self._lost_runs.pop(task, None)
        self._lost_runs[task] = group, place
        if len(self._lost_runs) > LOST_RUNS_KEPT:
            del self._lost_runs[next(iter(self._lost_runs))]

    @handles(AskKeptTasks, nonblocking=True)
    def report_tasks(self, peer: Member, message: AskKeptTasks) -> KeptTasksAre:
        """Report the tasks of a shard to its new owner, and refuse earlier owners from now on."""
        latest_term = self._latest_terms.get(message.shard, 0)
        self._latest_terms[message.shard] = max(latest_term, message.term)
        report = KeptTasksAre([], [])
        for group in self._groups():
            pending = [task for task in group.backlog if task.is_durable]
            report.tasks += [
                ReportedTask(task.name, group.name, task.next_run, "")
                for task in pending
                if not group.is_bound(task)
            ]
            for worker in group.workers.values():
                report.tasks += _tasks_of_worker(worker, group.name)
                if _are_all_runs_known(worker):
                    report.workers.append(worker.entry.worker_id)
        report.tasks += self._bound_tasks()
        report.tasks += [
            ReportedTask(task, group, place.run, place.worker_id, TaskResultKind.WORKER_LOST, place)
            for task, (group, place) in self._lost_runs.items()
        ]
        report.tasks = [row for row in report.tasks if shard_of(job_of(row.task)) == message.shard]
        return report

    def _bound_tasks(self) -> list[ReportedTask]:
        """Return the tasks for which a start command may still arrive, in the worker's group."""
        groups = {worker_id: group.name for group in self._groups() for worker_id in group.workers}
        held_group = next((group.name for group in self._groups()), "")
        return [
            ReportedTask(
                task,
                groups.get(binding.worker_id, held_group),
                binding.number,
                binding.worker_id,
            )
            for task, binding in self._start_bindings.unanswered()
            if held_group and not binding.is_over
        ]

    @handles(EndsSaved, nonblocking=True)
    def acknowledge_saved(self, peer: Member, message: EndsSaved) -> None:
        """Acknowledge to the workers the completions that the shard owner has saved.

        A shard owner that has released its shard says so in the same message.
        """
        if message.released is not None:
            self.on_shard_released(message.released)
        for group in self._groups():
            for worker in group.workers.values():
                acknowledged = [
                    worker.completions.acknowledge(saved.task, saved.run) for saved in message.ends
                ]
                if any(acknowledged):
                    worker.request_poll()


def _are_all_runs_known(worker: LeasedWorker) -> bool:
    """Return whether the present incarnation of a worker has listed all that it has to list.

    A worker that has been silent for long enough has no run left, so that it has nothing to list.
    """
    if worker.is_silent_beyond_leases():
        return True
    return worker.synced and not worker.has_ended and worker.lists_all_completions


def _tasks_of_worker(worker: LeasedWorker, group: str) -> list[ReportedTask]:
    """Return the tasks with an active run or an unacknowledged completion on a worker."""
    worker_id = worker.entry.worker_id
    places = {name: run.place() for name, run in worker.runs.items()}
    places |= {
        name: worker.place_of(number, was_alone=False, was_acknowledged=True)
        for name, (number, _) in worker.orphans.items()
    }
    tasks = [
        ReportedTask(name, group, place.run, worker_id, place=place)
        for name, place in places.items()
    ]
    ends = worker.completions.retained()
    return tasks + [end_report(completion, group, worker_id) for completion in ends]

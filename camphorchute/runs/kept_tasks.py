"""What a home does for the keepers of jobs that are kept."""

from collections.abc import Callable, Iterable

from camphorchute.contracts.kept_messages import AskKeptTasks, EndsSaved, FoundTask, KeptTasksAre
from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import KeeperTerm, TaskEnd
from camphorchute.hosting import EndKind
from camphorchute.links import handles
from camphorchute.runs.leased_worker import LeasedWorker
from camphorchute.runs.run import WaitingTask, job_of, shard_of

__all__ = ["KeptTasks"]


class KeptTasks:
    """Tells keepers of their tasks, and obeys the latest keeper of each shard only.

    Args:
        workers: returns the workers of each group of the home.
        waiting: returns the tasks that wait in a group.
        count: adds to a named counter.
    """

    __slots__ = ("_workers", "_waiting", "_count", "_terms")

    def __init__(
        self,
        workers: Callable[[], dict[str, Iterable[LeasedWorker]]],
        waiting: Callable[[str], list[WaitingTask]],
        count: Callable[..., None],
    ) -> None:
        self._workers = workers
        self._waiting = waiting
        self._count = count
        self._terms: dict[int, int] = {}

    def is_outdated(self, term: KeeperTerm | None) -> bool:
        """Whether an order is of a keeper that another has followed."""
        if term is None or term.number >= self._terms.get(term.shard, 0):
            return False
        self._count("runs.refused.outdated_keeper")
        return True

    @handles(AskKeptTasks, prompt=True)
    def tell(self, peer: Member, message: AskKeptTasks) -> KeptTasksAre:
        """Tell a new keeper what is known of its shard, and obey no earlier one from now on."""
        known = self._terms.get(message.shard, 0)
        self._terms[message.shard] = max(known, message.term)
        answer = KeptTasksAre([], [])
        for group, workers in self._workers().items():
            waiting = [task for task in self._waiting(group) if task.is_kept]
            answer.tasks += [FoundTask(task.name, group, task.next_run, "") for task in waiting]
            for worker in workers:
                answer.tasks += _tasks_at(worker, group)
                if worker.synced or worker.is_gone():
                    answer.workers.append(worker.entry.worker_id)
        answer.tasks = [row for row in answer.tasks if shard_of(job_of(row.task)) == message.shard]
        return answer

    @handles(EndsSaved, prompt=True)
    def ends_saved(self, peer: Member, message: EndsSaved) -> None:
        """Let the workers forget ends that the store has."""
        for workers in self._workers().values():
            for worker in workers:
                settled = [worker.ends.settle(end.task, end.run) for end in message.ends]
                if any(settled):
                    worker.look_soon()


def _tasks_at(worker: LeasedWorker, group: str) -> list[FoundTask]:
    """Return the tasks that may run on a worker or have ends there that are not settled."""
    worker_id = worker.entry.worker_id
    numbers = {name: run.number for name, run in worker.runs.items()}
    numbers |= {name: number for name, (number, _) in worker.orphans.items()}
    found = [FoundTask(name, group, number, worker_id) for name, number in numbers.items()]
    for end in worker.ends.older_than(0.0):
        how = TaskEnd.DONE if end.kind is EndKind.DONE else TaskEnd.FAILED
        found.append(FoundTask(end.task, group, end.run, worker_id, how))
    return found

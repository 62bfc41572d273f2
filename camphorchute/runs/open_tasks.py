"""Open tasks of a scheduler: those whose results it has not reported yet."""

from collections import defaultdict

from camphorchute.runs.job_tasks import JobTasks
from camphorchute.runs.run import PendingTask

__all__ = ["OpenTasks"]


class OpenTasks:
    """The tasks that were dispatched to a scheduler and have not ended, by job and name."""

    __slots__ = ("_jobs",)

    def __init__(self) -> None:
        self._jobs: dict[str, JobTasks] = defaultdict(JobTasks)

    def __bool__(self) -> bool:
        """Whether a task is open."""
        return bool(self._jobs)

    def __contains__(self, task: PendingTask) -> bool:
        job = self._jobs.get(task.message.job_id)
        return job is not None and job.by_name.get(task.name) is task

    def find_same(self, task: PendingTask) -> PendingTask | None:
        """Return the open task with the name of a task, None if there is none."""
        job = self._jobs.get(task.message.job_id)
        return None if job is None else job.by_name.get(task.name)

    def add(self, task: PendingTask) -> None:
        """Add a task and connect it with the other tasks of its job."""
        job = self._jobs[task.message.job_id]
        job.by_name[task.name] = task
        job.has_started |= task.message.has_job_started
        task.job_tasks = job

    def discard(self, task: PendingTask) -> None:
        """Remove a task if it is open."""
        job_id = task.message.job_id
        if task in self:
            del self._jobs[job_id].by_name[task.name]
            if not self._jobs[job_id].by_name:
                del self._jobs[job_id]

    def of_job(self, job_id: str) -> list[PendingTask]:
        """Return the open tasks of a job."""
        return list(self._jobs[job_id].by_name.values()) if job_id in self._jobs else []

    def all(self) -> list[PendingTask]:
        """Return every open task."""
        return [task for job in self._jobs.values() for task in job.by_name.values()]

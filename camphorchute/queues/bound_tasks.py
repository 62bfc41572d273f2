"""Bound tasks: tasks that may start on one worker only, as a start command may still reach it."""

from collections.abc import Callable, Iterator

from camphorchute.queues.job_run import JobRun, TaskProgress, TaskState

__all__ = ["has_bound_task", "has_unreachable_task"]


def has_bound_task(run: JobRun, now_s: float) -> bool:
    """Return whether a task of a job may start on one worker only.

    Args:
        run: the job.
        now_s: the current monotonic time.
    """
    return any(_tasks_bound_until(run, now_s))


def has_unreachable_task(run: JobRun, is_listed: Callable[[str], bool]) -> bool:
    """Return whether a task cannot start before its job is worth nothing any more.

    That is so if the only worker that it may start on until then has left.

    Args:
        run: the job.
        is_listed: returns whether the worker with an id is listed.
    """
    bound_tasks = _tasks_bound_until(run, run.worth_finishing_by_s)
    return any(not is_listed(task.worker_id) for task in bound_tasks)


def _tasks_bound_until(run: JobRun, until_s: float) -> Iterator[TaskProgress]:
    for step in run.steps:
        for task in step:
            is_open = task.worker_id and task.state is not TaskState.DONE
            if is_open and task.bound_until_s > until_s:
                yield task

"""Log lines on tasks that their owner dispatches a second time or more often."""

from camphorchute.contracts.run_messages import TaskResult
from camphorchute.decision_log import DecisionLog
from camphorchute.queues.job_run import JobRun, TaskProgress
from camphorchute.runs.run import task_name

__all__ = ["log_repeated_dispatch", "log_repeated_return"]

# Full groups return many tasks; their lines must not displace those on other decisions.
_write = DecisionLog().write


def log_repeated_dispatch(
    run: JobRun, step: int, index: int, earlier_scheduler_id: str, earlier_dispatch: int
) -> None:
    """Log the dispatch of a task that was dispatched before, and how it came back.

    Args:
        run: the job.
        step: number of the step.
        index: number of the task within the step; it has its new dispatch already.
        earlier_scheduler_id: member id of the scheduler that it was dispatched to before.
        earlier_dispatch: number of that dispatch.
    """
    task = run.steps[step][index]
    _write(
        "queues",
        "task dispatched again",
        **_fields(run, step, index, task),
        came_back=task.came_back,
        earlier_home=earlier_scheduler_id,
        earlier_dispatch=earlier_dispatch,
    )


def log_repeated_return(run: JobRun, task: TaskProgress, result: TaskResult) -> None:
    """Log that a scheduler returns a task that was dispatched more than once.

    Args:
        run: the job.
        task: the task, with the dispatch that the result is for.
        result: what the scheduler says of it.
    """
    _write(
        "queues",
        "task dispatched again came back",
        **_fields(run, result.step, result.index, task),
        came_back=task.came_back,
        result_run=result.run,
        bound_ms=round(result.bound_ms),
    )


def _fields(run: JobRun, step: int, index: int, task: TaskProgress) -> dict[str, object]:
    return {
        "job": run.job.job_id,
        "task": task_name(run.job.job_id, step, index),
        "group": task.group,
        "home": task.scheduler_id,
        "worker": task.worker_id,
        "dispatch": task.dispatch,
        "run": task.run,
    }

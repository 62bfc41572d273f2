"""Jobs of several steps, which callers submit to queues, and the limits of a queue."""

from collections.abc import Collection

import msgspec

from camphorchute.contracts.resources import Resources

__all__ = ["BatchJob", "BatchStep", "QueueLimits", "check_job_size"]

STEP_MAX_TASKS = 1000
JOB_MAX_STEPS = 1000
JOB_MAX_TASKS = 10_000
PAYLOAD_MAX_BYTES = 4000


class BatchStep(msgspec.Struct, frozen=True):
    """Tasks with the same demand that may run at the same time.

    Attributes:
        tasks: number of tasks.
        demand: resources that each task needs.
        estimate_ms: approximate run time of a task that the caller declared, in milliseconds.
        after: numbers of the earlier steps whose tasks must all be done before this step starts.
    """

    tasks: int
    demand: Resources
    estimate_ms: float
    after: tuple[int, ...] = ()


class BatchJob(msgspec.Struct, frozen=True):
    """A job as its caller submitted it.

    Attributes:
        job_id: name that the caller gave the job.
        payload: opaque text that each task of the job is started with.
        steps: the steps; a step depends on earlier ones only.
        kept: whether the job is durable: it is stored before it is accepted, and continues after
            the failure of the process that accepted it.
    """

    job_id: str
    payload: str
    steps: tuple[BatchStep, ...]
    kept: bool = False

    def longest_chain_ms(self) -> float:
        """Return the declared run time of the longest chain of dependent steps, in milliseconds.

        Examples:
            >>> one, two = BatchStep(1, Resources(1), 50.0), BatchStep(1, Resources(1), 20.0, (0,))
            >>> BatchJob("j", "", (one, one, two)).longest_chain_ms()
            70.0
        """
        return self._longest_chain([step.estimate_ms for step in self.steps])

    def longest_chain_steps(self) -> int:
        """Return the largest number of steps in a chain of dependent steps."""
        return round(self._longest_chain([1.0] * len(self.steps)))

    def _longest_chain(self, step_lengths: list[float]) -> float:
        chain_lengths: list[float] = []
        for step, length in zip(self.steps, step_lengths, strict=True):
            chain_lengths.append(
                length + max((chain_lengths[earlier] for earlier in step.after), default=0.0)
            )
        return max(chain_lengths)


def check_job_size(payload: str, task_counts: Collection[int]) -> None:
    """Check that a job is not too large to be held.

    Args:
        payload: text that each task is started with.
        task_counts: number of tasks of each step.

    Raises:
        ValueError: a step, the job or its payload is too large.

    Examples:
        >>> check_job_size("check", [1000] * 11)
        Traceback (most recent call last):
            ...
        ValueError: the job has 11000 tasks, at most 10000
    """
    if len(task_counts) > JOB_MAX_STEPS:
        raise ValueError(f"the job has {len(task_counts)} steps, at most {JOB_MAX_STEPS}")
    for number, count in enumerate(task_counts):
        if not 1 <= count <= STEP_MAX_TASKS:
            raise ValueError(f"step {number}: count is {count}, expected 1 to {STEP_MAX_TASKS}")
    tasks = sum(task_counts)
    if tasks > JOB_MAX_TASKS:
        raise ValueError(f"the job has {tasks} tasks, at most {JOB_MAX_TASKS}")
    payload_bytes = len(payload.encode())
    if payload_bytes > PAYLOAD_MAX_BYTES:
        raise ValueError(f"the payload has {payload_bytes} bytes, at most {PAYLOAD_MAX_BYTES}")


class QueueLimits(msgspec.Struct, frozen=True):
    """Priority, attempts and target times of the jobs of a queue.

    The target time of a job is ``stretch * work + target_latency_ms``, where the work is the
    declared run time of its longest chain of steps.

    Attributes:
        priority: priority of the queue; 0 is the highest.
        max_attempts: number of failed runs of one task after which the job has failed.
        stretch: factor of the work in the target time.
        target_latency_ms: time added to that, in milliseconds.
    """

    priority: int
    max_attempts: int
    stretch: float
    target_latency_ms: float

    def target_time_ms(self, work_ms: float) -> float:
        """Return the target time of a job from submission to completion, in milliseconds.

        Args:
            work_ms: declared run time of the longest chain of steps.
        """
        return self.stretch * work_ms + self.target_latency_ms

    def limits_for_step(self, job: BatchJob) -> "QueueLimits":
        """Return the limits for one step of a job, with the step's share of the added time.

        Examples:
            >>> one, two = BatchStep(1, Resources(1), 50.0), BatchStep(1, Resources(1), 20.0, (0,))
            >>> limits = QueueLimits(0, 4, 1.5, 60.0)
            >>> limits.limits_for_step(BatchJob("j", "", (one, two))).target_latency_ms
            30.0
        """
        share_ms = self.target_latency_ms / job.longest_chain_steps()
        return QueueLimits(self.priority, self.max_attempts, self.stretch, share_ms)

    def slack_ms(self, work_ms: float) -> float:
        """Return how much longer than its work a job may take.

        Examples:
            >>> QueueLimits(0, 4, 1.5, 60.0).slack_ms(100.0)
            110.0
        """
        return (self.stretch - 1) * work_ms + self.target_latency_ms

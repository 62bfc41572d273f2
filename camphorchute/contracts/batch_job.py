"""Jobs of several steps that run on the workers of a queue's service."""

import msgspec

from camphorchute.contracts.resources import Resources

__all__ = ["BatchJob", "BatchStep", "QueueLimits"]

MAX_TASKS = 1000


class BatchStep(msgspec.Struct, frozen=True):
    """Tasks of one kind that may run at the same time.

    Attributes:
        tasks: number of tasks.
        demand: what each of them needs of its worker.
        estimate_ms: rough run time of a task, as declared.
        after: numbers of the steps whose tasks must be done before.
    """

    tasks: int
    demand: Resources
    estimate_ms: float
    after: tuple[int, ...] = ()


class BatchJob(msgspec.Struct, frozen=True):
    """A job as its caller submitted it.

    Attributes:
        job_id: the caller's name of it.
        payload: opaque text that each of its tasks is started with.
        steps: its steps, each after those that it waits for.
        kept: whether it is stored before it is accepted, and outlives the process that took it.
    """

    job_id: str
    payload: str
    steps: tuple[BatchStep, ...]
    kept: bool = False

    def chain_ms(self) -> float:
        """Return the declared time of the longest chain of steps.

        Examples:
            >>> one, two = BatchStep(1, Resources(1), 50.0), BatchStep(1, Resources(1), 20.0, (0,))
            >>> BatchJob("j", "", (one, one, two)).chain_ms()
            70.0
        """
        return self._longest_chain([step.estimate_ms for step in self.steps])

    def chain_steps(self) -> int:
        """Return the number of steps of the chain that has most of them."""
        return round(self._longest_chain([1.0] * len(self.steps)))

    def _longest_chain(self, lengths: list[float]) -> float:
        ends: list[float] = []
        for step, length in zip(self.steps, lengths, strict=True):
            ends.append(length + max((ends[earlier] for earlier in step.after), default=0.0))
        return max(ends)


class QueueLimits(msgspec.Struct, frozen=True):
    """What a queue promises of its jobs.

    Attributes:
        priority: 0 goes first.
        max_attempts: failed runs of a task after which its job has failed.
        stretch: aimed time of a job as a multiple of its work.
        target_latency_ms: time added to that.
    """

    priority: int
    max_attempts: int
    stretch: float
    target_latency_ms: float

    def aim_ms(self, work_ms: float) -> float:
        """Return the aimed time of a job from its submission to its end."""
        return self.stretch * work_ms + self.target_latency_ms

    def for_step_of(self, job: BatchJob) -> "QueueLimits":
        """Return the limits for one step of a job, with its share of the added time.

        Examples:
            >>> one, two = BatchStep(1, Resources(1), 50.0), BatchStep(1, Resources(1), 20.0, (0,))
            >>> limits = QueueLimits(0, 4, 1.5, 60.0)
            >>> limits.for_step_of(BatchJob("j", "", (one, two))).target_latency_ms
            30.0
        """
        share_ms = self.target_latency_ms / job.chain_steps()
        return QueueLimits(self.priority, self.max_attempts, self.stretch, share_ms)

    def slack_ms(self, work_ms: float) -> float:
        """Return how much longer than its work a job may take.

        Examples:
            >>> QueueLimits(0, 4, 1.5, 60.0).slack_ms(100.0)
            110.0
        """
        return (self.stretch - 1) * work_ms + self.target_latency_ms

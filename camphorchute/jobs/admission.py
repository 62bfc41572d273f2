"""Admission control: refuses jobs that cannot be done, before their keys are accepted."""

import random
from collections.abc import Callable

from camphorchute.contracts import JobSpec, Refusal, ResultCode
from camphorchute.jobs.pools import pool_for_job
from camphorchute.policies.run_times import RunTimes
from camphorchute.services.definition import ServiceDefinition, Worker

__all__ = ["Admission"]

RETRY_AFTER_MIN_MS = 100.0
RETRY_AFTER_JITTER_FRACTION = 0.5


class Admission:
    """Checks a submitted job against the back ends, limits and quotas of its service.

    Args:
        definition_of: returns the current definition of a service, or None.
        pending_tasks: returns the number of pending tasks of a service.
        open_tasks_of_team: returns the number of tasks of a service and team that have not ended.
        zone: name of this process's availability zone.
        is_ready: returns whether the configuration is known to this process.

    Attributes:
        run_times: estimates of run times, learned from ended tasks; the run time that a caller
            declares is used only as the initial estimate.
    """

    __slots__ = (
        "run_times",
        "_definition_of",
        "_pending_tasks",
        "_open_tasks_of_team",
        "_zone",
        "_is_ready",
    )

    def __init__(
        self,
        definition_of: Callable[[str], ServiceDefinition | None],
        pending_tasks: Callable[[str], int],
        open_tasks_of_team: Callable[[str, str], int],
        zone: str,
        is_ready: Callable[[], bool] = lambda: True,
    ) -> None:
        self.run_times = RunTimes()
        self._definition_of = definition_of
        self._pending_tasks = pending_tasks
        self._open_tasks_of_team = open_tasks_of_team
        self._zone = zone
        self._is_ready = is_ready

    def check_job(self, spec: JobSpec, remaining_ms: float) -> None:
        """Refuse a job that cannot be done.

        Args:
            spec: the body of the job.
            remaining_ms: time to the deadline in milliseconds.

        Raises:
            Refusal: ``NOT_READY``, ``UNKNOWN_SERVICE``, ``FITS_NO_WORKER``, ``NO_WORKER``,
                ``TEAM_OVER_QUOTA``, ``OVERLOADED`` or ``DEADLINE_UNREACHABLE``.
        """
        if not self._is_ready():
            raise Refusal(ResultCode.NOT_READY, "the configuration is not known yet", 300)
        definition = self._definition_of(spec.service)
        if definition is None:
            raise Refusal(ResultCode.UNKNOWN_SERVICE, f"service {spec.service!r} does not exist")
        if pool_for_job(spec) != spec.service:
            self._check_has_upstream(definition)
            return
        workers = self._check_fits_worker(spec, definition)
        self._check_quota(spec, definition)
        self._check_queue(spec, definition, workers, remaining_ms)

    def _check_has_upstream(self, definition: ServiceDefinition) -> None:
        if not any(u.zone == self._zone and not u.draining for u in definition.upstreams):
            raise Refusal(
                ResultCode.NO_WORKER,
                f"service {definition.name!r} has no upstream in zone {self._zone!r}",
                1000,
            )

    def _check_fits_worker(self, spec: JobSpec, definition: ServiceDefinition) -> list[Worker]:
        workers = [w for w in definition.workers if w.zone == self._zone and not w.draining]
        if not workers:
            raise Refusal(
                ResultCode.NO_WORKER,
                f"service {definition.name!r} has no worker in zone {self._zone!r}",
                1000,
            )
        for index, task in enumerate(spec.tasks):
            if not any(_fits_worker(task, worker) for worker in workers):
                raise Refusal(
                    ResultCode.FITS_NO_WORKER,
                    f"task {index} needs cpus {task.cpus}, memory_mb {task.memory_mb}, "
                    f"accelerators {task.accelerators}; no worker in zone "
                    f"{self._zone!r} has them all",
                )
        return workers

    def _check_quota(self, spec: JobSpec, definition: ServiceDefinition) -> None:
        quota = definition.quotas.get(spec.team)
        if quota is None:
            return
        open_tasks = self._open_tasks_of_team(spec.service, spec.team)
        if open_tasks + len(spec.tasks) > quota:
            raise Refusal(
                ResultCode.TEAM_OVER_QUOTA,
                f"team {spec.team!r} has {open_tasks} open tasks and submits "
                f"{len(spec.tasks)} more, expected at most {quota}",
                _add_jitter_ms(RETRY_AFTER_MIN_MS * 5),
            )

    def _check_queue(
        self,
        spec: JobSpec,
        definition: ServiceDefinition,
        workers: list[Worker],
        remaining_ms: float,
    ) -> None:
        pending = self._pending_tasks(spec.service)
        slots = sum(worker.slots for worker in workers)
        run_times_ms = [
            self.run_times.estimate_ms(spec.service, task.kind, task.run_time_ms)
            for task in spec.tasks
        ]
        mean_run_time_ms = sum(run_times_ms) / len(run_times_ms)
        wait_ms = pending * mean_run_time_ms / slots
        limits = definition.limits
        if pending + len(spec.tasks) > limits.queue_max_tasks or wait_ms > limits.queue_max_ms:
            raise Refusal(
                ResultCode.OVERLOADED,
                f"{pending} tasks of service {spec.service!r} are pending",
                _add_jitter_ms(max(wait_ms / 2, 1.0)),
            )
        longest_run_time_ms = max(run_times_ms)
        if wait_ms + longest_run_time_ms > remaining_ms:
            raise Refusal(
                ResultCode.DEADLINE_UNREACHABLE,
                f"the job needs about {wait_ms + longest_run_time_ms:.0f} ms, "
                f"but {remaining_ms:.0f} ms remain to the deadline",
                _add_jitter_ms(max(wait_ms, 1.0)),
            )


def _fits_worker(task: object, worker: Worker) -> bool:
    return (
        task.cpus <= worker.cpus
        and task.memory_mb <= worker.memory_mb
        and task.accelerators <= worker.accelerators
    )


def _add_jitter_ms(wait_ms: float) -> int:
    base_ms = max(wait_ms, RETRY_AFTER_MIN_MS)
    return round(base_ms * random.uniform(1.0, 1.0 + RETRY_AFTER_JITTER_FRACTION))

"""Refuse at the door what cannot be done, before the key is accepted."""

import random
from collections.abc import Callable

from camphorchute.contracts import JobSpec, Refusal, ResultCode
from camphorchute.jobs.pools import pool_of
from camphorchute.services.definition import ServiceDefinition, Worker
from camphorchute.workers.run_times import RunTimes

__all__ = ["Admission"]

RETRY_AFTER_MIN_MS = 100.0
RETRY_AFTER_SPREAD = 0.5


class Admission:
    """Checks a submission against its service's back ends, limits and quotas.

    Args:
        definition_of: the definition in force of a service, or None.
        waiting: how many tasks of a service wait.
        open_of_team: how many tasks of a team have not ended.
        zone: the own availability zone.
        is_ready: whether the configuration is known here.

    Attributes:
        run_times: run times learned from tasks that ended; what callers declare is only the
            first guess.
    """

    __slots__ = ("run_times", "_definition_of", "_waiting", "_open_of_team", "_zone", "_is_ready")

    def __init__(
        self,
        definition_of: Callable[[str], ServiceDefinition | None],
        waiting: Callable[[str], int],
        open_of_team: Callable[[str, str], int],
        zone: str,
        is_ready: Callable[[], bool] = lambda: True,
    ) -> None:
        self.run_times = RunTimes()
        self._definition_of = definition_of
        self._waiting = waiting
        self._open_of_team = open_of_team
        self._zone = zone
        self._is_ready = is_ready

    def check(self, spec: JobSpec, remaining_ms: float) -> None:
        """Raise a refusal where the job cannot be done.

        Raises:
            Refusal: ``NOT_READY``, ``UNKNOWN_SERVICE``, ``FITS_NO_WORKER``, ``NO_WORKER``,
                ``TEAM_OVER_QUOTA``, ``OVERLOADED`` or ``DEADLINE_UNREACHABLE``.
        """
        if not self._is_ready():
            raise Refusal(ResultCode.NOT_READY, "the configuration is not known yet", 300)
        definition = self._definition_of(spec.service)
        if definition is None:
            raise Refusal(ResultCode.UNKNOWN_SERVICE, f"no service {spec.service!r}")
        if pool_of(spec) != spec.service:
            self._check_upstreams(definition)
            return
        workers = self._check_size(spec, definition)
        self._check_quota(spec, definition)
        self._check_queue(spec, definition, workers, remaining_ms)

    def _check_upstreams(self, definition: ServiceDefinition) -> None:
        if not any(u.zone == self._zone and not u.draining for u in definition.upstreams):
            raise Refusal(ResultCode.NO_WORKER, f"no upstream in {self._zone}", 1000)

    def _check_size(self, spec: JobSpec, definition: ServiceDefinition) -> list[Worker]:
        workers = [w for w in definition.workers if w.zone == self._zone and not w.draining]
        if not workers:
            raise Refusal(ResultCode.NO_WORKER, f"no worker in {self._zone}", 1000)
        for index, task in enumerate(spec.tasks):
            if not any(_fits(task, worker) for worker in workers):
                raise Refusal(
                    ResultCode.FITS_NO_WORKER,
                    f"task {index}: cpus {task.cpus}, memory_mb {task.memory_mb}, "
                    f"accelerators {task.accelerators}",
                )
        return workers

    def _check_quota(self, spec: JobSpec, definition: ServiceDefinition) -> None:
        quota = definition.quotas.get(spec.team)
        if quota is None:
            return
        used = self._open_of_team(spec.service, spec.team)
        if used + len(spec.tasks) > quota:
            raise Refusal(
                ResultCode.TEAM_OVER_QUOTA,
                f"team {spec.team!r} has {used} of {quota} tasks",
                _spread(RETRY_AFTER_MIN_MS * 5),
            )

    def _check_queue(
        self,
        spec: JobSpec,
        definition: ServiceDefinition,
        workers: list[Worker],
        remaining_ms: float,
    ) -> None:
        waiting = self._waiting(spec.service)
        slots = sum(worker.slots for worker in workers)
        run_times_ms = [
            self.run_times.estimate_ms(spec.service, task.kind, task.run_time_ms)
            for task in spec.tasks
        ]
        run_time_ms = sum(run_times_ms) / len(run_times_ms)
        wait_ms = waiting * run_time_ms / slots
        limits = definition.limits
        if waiting + len(spec.tasks) > limits.queue_max_tasks or wait_ms > limits.queue_max_ms:
            raise Refusal(
                ResultCode.OVERLOADED, f"{waiting} tasks wait", _spread(max(wait_ms / 2, 1.0))
            )
        longest_ms = max(run_times_ms)
        if wait_ms + longest_ms > remaining_ms:
            raise Refusal(
                ResultCode.DEADLINE_UNREACHABLE,
                f"needs about {wait_ms + longest_ms:.0f} ms, has {remaining_ms:.0f} ms",
                _spread(max(wait_ms, 1.0)),
            )


def _fits(task: object, worker: Worker) -> bool:
    return (
        task.cpus <= worker.cpus
        and task.memory_mb <= worker.memory_mb
        and task.accelerators <= worker.accelerators
    )


def _spread(wait_ms: float) -> int:
    base_ms = max(wait_ms, RETRY_AFTER_MIN_MS)
    return round(base_ms * random.uniform(1.0, 1.0 + RETRY_AFTER_SPREAD))

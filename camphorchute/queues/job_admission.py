"""Job admission: accepts a job or refuses it at once, with the time after which to retry."""

import time
from collections.abc import Callable

from gevent.event import Event

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.batch_job import BatchJob
from camphorchute.decision_log import log_decision
from camphorchute.hosting import Queue
from camphorchute.loops import wait_for_event
from camphorchute.policies.admission import AdmissionPolicy, JobTimes, is_admitted
from camphorchute.policies.concurrency_limit import ConcurrencyLimitPolicy, set_no_limit
from camphorchute.queues.free_capacity_view import FreeCapacityView, PlacementPlan
from camphorchute.queues.job_run import JobRun
from camphorchute.queues.open_task_limit import OpenTaskLimit
from camphorchute.queues.process_delay import ProcessDelay
from camphorchute.queues.return_times import ReturnTimes
from camphorchute.queues.service_zones import make_evacuated_refusal
from camphorchute.queues.wait_errors import WaitErrors
from camphorchute.retry_after import spread_retry_after_ms

__all__ = ["JobAdmission", "finish_by_s"]

ANSWER_MARGIN_MS = 60.0
GROUP_HANDOVER_MS = 60.0
NO_SCHEDULER_WAIT_MAX_MS = 1000.0
REQUESTED_REPORT_WAIT_MS = 300.0
REPORT_CHECK_INTERVAL_MS = 50.0
MS_PER_S = 1000.0


class JobAdmission:
    """Decides on jobs that callers submit.

    Args:
        capacity_view: the free capacity of the groups that this process follows.
        start_limit_ms: returns the time within which a job must start.
        count: adds to a named counter.
        concurrency_limit: returns how many tasks may be open.

    Attributes:
        has_workers: returns whether service discovery lists workers of a service.
        own_delay_ms: returns the delay that a job has in this process itself, in milliseconds.
        open_tasks: limits the open tasks of the jobs of this process.
        process_delay: the delay that jobs had beyond their waits and runs.
        return_times: the times after which refused callers are asked to return.
        wait_errors: counts how far the expected waits were from those that jobs had.
    """

    __slots__ = (
        "has_workers",
        "own_delay_ms",
        "open_tasks",
        "process_delay",
        "return_times",
        "wait_errors",
        "_capacity_view",
        "_start_limit_ms",
        "_count",
    )

    def __init__(
        self,
        capacity_view: FreeCapacityView,
        start_limit_ms: AdmissionPolicy,
        count: Callable[..., None],
        concurrency_limit: ConcurrencyLimitPolicy = set_no_limit,
    ) -> None:
        self.has_workers: Callable[[str], bool] = lambda service: False
        self.own_delay_ms: Callable[[], float] = lambda: 0.0
        self.open_tasks = OpenTaskLimit(concurrency_limit)
        self.process_delay = ProcessDelay(count)
        self.return_times = ReturnTimes()
        self.process_delay.on_sample = self._record_delay
        self.wait_errors = WaitErrors(count)
        self._capacity_view = capacity_view
        capacity_view.scheduler_delay_ms = self.process_delay.scheduler_ms
        self._start_limit_ms = start_limit_ms
        self._count = count

    def admit(self, job: BatchJob, queue: Queue, deadline_ms: float, caller_gone: Event) -> JobRun:
        """Accept a job, after a wait if no scheduler is known yet.

        Args:
            job: the job.
            queue: the queue that it was submitted to.
            deadline_ms: how long its caller waits.
            caller_gone: event that is set when the caller has closed its connection.

        Raises:
            Refusal: every zone of the service is evacuated, no worker group can ever run the job,
                its first tasks would wait too long, or the caller has gone.
        """
        zones = self._capacity_view.service_zones
        if zones.is_evacuated(queue.service):
            raise self._refuse_evacuated(job, queue.service)
        work_ms = job.longest_chain_ms()
        limits = queue.limits
        start_limit_ms = self._start_limit_ms(
            JobTimes(work_ms, limits.target_time_ms(work_ms), deadline_ms)
        )
        run = JobRun(job, queue, finish_by_s(deadline_ms), start_limit_ms)
        self._wait_for_group(job, queue.service, start_limit_ms)
        if not self._can_plan(job, queue.service):
            if zones.is_reduced(queue.service):
                raise self._refuse_evacuated(job, queue.service)
            raise self._refuse_without_worker(job, queue.service)
        if caller_gone.is_set():
            raise self.make_overload_refusal("caller has gone", 0.0)
        first = job.steps[0]
        plan = self._capacity_view.plan(queue.service, first, first.tasks, run.step_limits)
        own_delay_ms = self.own_delay_ms()
        process_delay_ms = self._process_delay_ms(plan, own_delay_ms, job)
        wait_ms = plan.wait_ms + process_delay_ms
        if not is_admitted(wait_ms, start_limit_ms):
            is_saturated = is_admitted(plan.wait_ms, start_limit_ms)
            if is_saturated:
                self._count("queues.refused.process_saturated")
            log_decision(
                "queues",
                "refused, too long a wait",
                job=job.job_id,
                queue=queue.name,
                wait_ms=round(plan.wait_ms),
                own_delay_ms=round(own_delay_ms),
                process_delay_ms=round(process_delay_ms),
                limit_ms=round(start_limit_ms),
                tasks=first.tasks,
                without_room=plan.pending_count,
                room_age_ms=self._capacity_view.report_age_ms(queue.service),
            )
            return_ms = max(wait_ms, self._drain_ms()) if is_saturated else wait_ms
            raise self.make_overload_refusal(f"{wait_ms:.0f} ms to wait", return_ms)
        report_age_ms = self._capacity_view.report_age_ms(queue.service)
        run.expected_wait_ms = plan.wait_ms
        self.wait_errors.record_admitted(
            job.job_id, plan.wait_ms, first.estimate_ms, report_age_ms, wait_ms + work_ms
        )
        return run

    def _process_delay_ms(self, plan: PlacementPlan, own_delay_ms: float, job: BatchJob) -> float:
        """Return the delay that a job is expected to have beyond its wait and its run.

        It is the larger of what earlier jobs had at the same schedulers, for each step, and what
        the event loop of this process shows.
        """
        schedulers = map(self._capacity_view.scheduler_of, {**plan.placed, **plan.pending})
        scheduler_ids = {scheduler.member_id for scheduler in schedulers if scheduler}
        step_delay_ms = self.process_delay.expected_ms(scheduler_ids)
        return max(own_delay_ms, job.longest_chain_steps() * step_delay_ms)

    def refuse_over_limit(self, queue: Queue, job_id: str) -> None:
        """Refuse a job whose body is not decoded yet if the open tasks are at their limit.

        Args:
            queue: the queue that it is submitted to.
            job_id: id of the job.

        Raises:
            Refusal: there are too many open tasks.
        """
        limit = self.open_tasks
        if limit.is_open_to(queue.name, queue.limits.priority, time.monotonic()):
            return
        self._count("queues.refused.concurrency_limit")
        log_decision(
            "queues",
            "refused, too many open tasks",
            job=job_id,
            queue=queue.name,
            limit=round(limit.limit),
            open_tasks=limit.open_tasks,
            open_tasks_of_queue=limit.open_tasks_of(queue.name),
            late_share=round(limit.late_share, 2),
        )
        raise self.make_overload_refusal("too many open tasks", self._drain_ms())

    def record_opened(self, run: JobRun) -> None:
        """Record that an admitted job is open."""
        tasks, now_s = _task_count(run), time.monotonic()
        self.open_tasks.add_job(run.queue.name, run.queue.limits.priority, tasks, now_s)

    def record_ended(self, run: JobRun, took_ms: float, is_in_time: bool) -> None:
        """Record that a job that was opened has ended.

        Args:
            run: the job.
            took_ms: its time since the submission, in milliseconds.
            is_in_time: whether it was done within its target time.
        """
        tasks = _task_count(run)
        self.return_times.record_ended(tasks, time.monotonic())
        self.open_tasks.remove_job(run.queue.name, tasks, took_ms / MS_PER_S, is_in_time)

    def _record_delay(self, run: JobRun, delay_ms: float, tasks: int) -> None:
        """Record whether the delay of a step, in each of them, makes a job late by itself."""
        job_delay_ms = run.job.longest_chain_steps() * delay_ms
        is_late = job_delay_ms > run.queue.limits.slack_ms(run.job.longest_chain_ms())
        self.open_tasks.record_delay(tasks, is_late, time.monotonic())

    def make_overload_refusal(self, detail: str, wait_ms: float) -> Refusal:
        """Return the refusal of a job for which there is no capacity in time.

        Args:
            detail: what exactly was missing.
            wait_ms: how long the job is expected to wait for capacity, in milliseconds.
        """
        self._count("queues.refused.overloaded")
        return Refusal(
            ResultCode.OVERLOADED, detail, self.return_times.next_ms(wait_ms, time.monotonic())
        )

    def _drain_ms(self) -> float:
        """Return the expected time until the open tasks are worked off, in milliseconds."""
        return self.return_times.drain_ms(self.open_tasks.open_tasks, time.monotonic())

    def make_late_start_refusal(self, run: JobRun) -> Refusal:
        """Return the refusal of an admitted job of which no task was started in time.

        Args:
            run: the job.
        """
        if self._capacity_view.service_zones.is_evacuated(run.queue.service):
            return self._refuse_evacuated(run.job, run.queue.service)
        first = run.job.steps[0]
        plan = self._capacity_view.plan(run.queue.service, first, first.tasks, run.step_limits)
        return self.make_overload_refusal("no room in time", plan.wait_ms)

    def _refuse_without_worker(self, job: BatchJob, service: str) -> Refusal:
        """Count and return the refusal of a job for which no worker can be used at present."""
        reason = "no_report" if self._can_ever_run(job, service) else "no_worker"
        self._count(f"queues.refused.{reason}")
        log_decision("queues", f"refused, {reason}", job=job.job_id, service=service)
        return Refusal(ResultCode.NO_WORKER, f"service {service}", spread_retry_after_ms())

    def _refuse_evacuated(self, job: BatchJob, service: str) -> Refusal:
        """Count and return the refusal of a job for which evacuations have left no worker."""
        self._count("queues.refused.evacuated")
        log_decision("queues", "refused, zones are evacuated", job=job.job_id, service=service)
        return make_evacuated_refusal(service)

    def _wait_for_group(self, job: BatchJob, service: str, start_limit_ms: float) -> None:
        """Wait until groups that can run a job have reported, while they may do so soon.

        That is the case between two schedulers of a group, and where its report was requested for
        this job. Where workers are listed and no scheduler is known, as after the start of all
        processes, a scheduler will report soon, and the job waits as long as it may.

        Args:
            job: the job.
            service: service of its queue.
            start_limit_ms: time within which the job must start.
        """
        is_start = not self._capacity_view.has_scheduler(service) and self.has_workers(service)
        if is_start:
            wait_ms = min(NO_SCHEDULER_WAIT_MAX_MS, start_limit_ms)
        elif self._can_ever_run(job, service):
            wait_ms = min(REQUESTED_REPORT_WAIT_MS, start_limit_ms)
        else:
            wait_ms = GROUP_HANDOVER_MS
        wait_until_s = time.monotonic() + wait_ms / MS_PER_S
        while not self._can_plan(job, service):
            remaining_s = wait_until_s - time.monotonic()
            if remaining_s <= 0:
                return
            self._capacity_view.report_received.clear()
            pause_s = min(remaining_s, REPORT_CHECK_INTERVAL_MS / MS_PER_S)
            wait_for_event(self._capacity_view.report_received, pause_s)

    def _can_ever_run(self, job: BatchJob, service: str) -> bool:
        """Return whether some listed worker has capacity for each step's tasks, free or not."""
        return all(self._capacity_view.can_ever_run(service, step.demand) for step in job.steps)

    def _can_plan(self, job: BatchJob, service: str) -> bool:
        """Return whether groups with capacity for each step's tasks, free or not, have reported."""
        are_reported = [self._capacity_view.can_plan(service, step.demand) for step in job.steps]
        return all(are_reported)  # each call requests what is missing


def _task_count(run: JobRun) -> int:
    return sum(map(len, run.steps))


def finish_by_s(deadline_ms: float) -> float:
    """Return the monotonic time by which a job must end for its caller to be answered in time."""
    return time.monotonic() + max(0.0, deadline_ms - ANSWER_MARGIN_MS) / MS_PER_S

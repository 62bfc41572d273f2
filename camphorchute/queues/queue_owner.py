"""Answers for the jobs that came in at this process."""

import time
from collections.abc import Callable

import gevent

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.batch_job import BatchJob
from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import (
    StartTasks,
    StopTasks,
    TaskEnd,
    TaskOrder,
    TaskResult,
    TasksFinished,
)
from camphorchute.decision_log import log_decision
from camphorchute.hosting import Queue
from camphorchute.links import Peers, handles
from camphorchute.queues.free_capacity_view import RoomView
from camphorchute.queues.job_run import JobOutcome, JobRun, TaskProgress, TaskState

__all__ = ["QueueOwner"]

ANSWER_MARGIN_MS = 60.0
RETRY_MS = 50.0
REFUSED_AGAIN_MS = 1000.0
WAIT_SHARE = 0.8
USEFUL_FACTOR = 4.0
HANDOVER_MS = 60.0
HAND_BACKS_MAX = 3
LOOK_AGAIN_S = 60.0
MS_PER_S = 1000.0


class QueueOwner:
    """Runs jobs that need not outlive this process.

    It hands their tasks to homes and waits for the ends.

    Args:
        rooms: the free room of the homes that this process follows.
        claimed_home: returns the member that has claimed a group, None where none is known.
        peers: the links to the homes.
        count: adds to a named counter.
    """

    __slots__ = ("_rooms", "_claimed_home", "_peers", "_count", "_jobs")

    def __init__(
        self,
        rooms: RoomView,
        claimed_home: Callable[[str], Member | None],
        peers: Peers,
        count: Callable[..., None],
    ) -> None:
        self._rooms = rooms
        self._claimed_home = claimed_home
        self._peers = peers
        self._count = count
        self._jobs: dict[str, JobRun] = {}

    def open_jobs(self) -> int:
        """Return the number of jobs under way."""
        return len(self._jobs)

    def waiting_jobs(self, queue: str) -> int:
        """Return the number of a queue's jobs that end here and of which nothing was started."""
        return sum(
            1
            for run in self._jobs.values()
            if run.queue.name == queue and run.term is None and not run.touched
        )

    def run(
        self, job: BatchJob, queue: Queue, deadline_ms: float, client_gone: gevent.event.Event
    ) -> JobOutcome:
        """Run a job to its end, or join the same job if it is under way here.

        Args:
            job: the job.
            queue: the queue that it came in by.
            deadline_ms: how long its caller waits.
            client_gone: set when the caller has closed its connection.

        Raises:
            Refusal: no task of it was started.
        """
        run = self._jobs.get(job.job_id)
        if run is None:
            run = self._admit(job, queue, deadline_ms)
            gevent.spawn(self._drive, run)
        else:
            self._count("queues.joined")
            run.finish_by_s = max(run.finish_by_s, _finish_by_s(deadline_ms))
        run.waiters += 1
        try:
            gevent.wait([run.ended, client_gone], count=1)
        finally:
            run.waiters -= 1
        if run.outcome is None and not run.waiters:
            self._count("queues.caller_left")
            self.end(run, JobOutcome.LOST)
        if run.outcome is JobOutcome.NOT_RUN:
            raise self._overloaded("no room in time", REFUSED_AGAIN_MS)
        return run.outcome or JobOutcome.LOST

    def adopt(self, run: JobRun) -> None:
        """Answer for a job that no caller waits for here."""
        self._jobs[run.job.job_id] = run
        gevent.spawn(self._drive, run)

    def drop(self, run: JobRun) -> None:
        """Stop answering for a job that another process answers for now; its tasks go on."""
        run.outcome = JobOutcome.DEPOSED
        if self._jobs.get(run.job.job_id) is run:
            del self._jobs[run.job.job_id]
        run.ended.set()
        run.changed.set()

    def home_lost(self, member_id: str) -> None:
        """Take note that a home cannot be reached; its tasks may go on."""
        self._rooms.forget(member_id)
        for run in list(self._jobs.values()):
            for step in run.steps:
                for task in step:
                    if task.state is TaskState.HANDED and task.home_id == member_id:
                        self._count("queues.home_lost")
                        log_decision(
                            "queues",
                            "task held by a lost home",
                            job=run.job.job_id,
                            group=task.group,
                            home=member_id,
                        )
                        task.state = TaskState.MAY_RUN
                        task.worker_id = ""
                        run.changed.set()

    @handles(TasksFinished, prompt=True)
    def tasks_finished(self, peer: Member, message: TasksFinished) -> None:
        """Take note of ends at a home."""
        run = self._jobs.get(message.job_id)
        if run is None:
            return
        has_news = [self._take_result(run, peer, result) for result in message.results]
        run.handed_back += any(result.end is TaskEnd.NO_ROOM for result in message.results)
        if any(has_news):
            run.changed.set()
        else:
            gevent.spawn_later(RETRY_MS / MS_PER_S, run.changed.set)

    def _take_result(self, run: JobRun, peer: Member, result: TaskResult) -> bool:
        """Take a result in; return whether it says anything that was not known before."""
        task = run.find_task(result.step, result.index)
        if task is None:
            self._count("queues.unknown_task")
            return False
        if task.state is TaskState.DONE or task.home_id != peer.member_id:
            return False
        task.run = max(task.run, result.run + 1)
        if result.end is TaskEnd.MAY_RUN:
            return _take_may_run(task, result)
        if result.end is TaskEnd.DONE:
            run.note_done(task, result)
        elif result.end is TaskEnd.FAILED:
            outcome = run.note_failed(task, result)
            if outcome is not None:
                self.end(run, outcome)
        elif result.end is TaskEnd.NOT_FOUND:
            self._count("queues.retry.not_found")
            run.note_not_found(task)
        else:
            self._take_not_started(run, task, result)
        return True

    def _take_not_started(self, run: JobRun, task: TaskProgress, result: TaskResult) -> None:
        task.state = TaskState.WAITING
        task.worker_id = ""
        if result.end is TaskEnd.NO_ROOM:
            self._count("queues.retry.no_room")
            self._rooms.mark_full(task.group, run.job.steps[result.step].demand)
        else:
            run.refused = True

    def _admit(self, job: BatchJob, queue: Queue, deadline_ms: float) -> JobRun:
        """Return the job with its first tasks handed out, or refuse it."""
        useful_ms = USEFUL_FACTOR * queue.limits.aim_ms(job.chain_ms())
        run = JobRun(job, queue, _finish_by_s(min(deadline_ms, useful_ms)))
        if not self._can_ever_run(job, queue.service):
            gevent.sleep(HANDOVER_MS / MS_PER_S)
        if not self._can_ever_run(job, queue.service):
            self._count("queues.refused.no_worker")
            log_decision("queues", "refused, no worker", job=job.job_id, service=queue.service)
            raise Refusal(ResultCode.NO_WORKER, f"service {queue.service}", REFUSED_AGAIN_MS)
        first = job.steps[0]
        plan = self._rooms.plan(queue.service, first, first.tasks, run.step_limits)
        slack_ms = queue.limits.slack_ms(first.estimate_ms)
        if plan.wait_ms > WAIT_SHARE * slack_ms:
            log_decision(
                "queues",
                "refused, too long a wait",
                job=job.job_id,
                queue=queue.name,
                wait_ms=round(plan.wait_ms),
                slack_ms=round(slack_ms),
                tasks=first.tasks,
                without_room=plan.without_room,
                room_age_ms=self._rooms.age_ms(queue.service),
            )
            raise self._overloaded(f"{plan.wait_ms:.0f} ms to wait", plan.wait_ms)
        self._jobs[job.job_id] = run
        self._hand_out(run, first_round=True)
        return run

    def _can_ever_run(self, job: BatchJob, service: str) -> bool:
        return all(self._rooms.can_ever_run(service, step.demand) for step in job.steps)

    def _drive(self, run: JobRun) -> None:
        """Hand out tasks as they become ready, until the job has ended."""
        while run.outcome is None:
            now_s = time.monotonic()
            outcome = run.verdict(now_s)
            if outcome is not None:
                self.end(run, outcome)
                continue
            held = not run.may_hand_out() or self._hand_out(run)
            left_s = min(LOOK_AGAIN_S, max(0.0, run.finish_by_s - now_s))
            run.changed.wait(min(left_s, RETRY_MS / MS_PER_S) if held else left_s)
            run.changed.clear()

    def _hand_out(self, run: JobRun, first_round: bool = False) -> bool:
        """Hand out every task that is ready; return whether some could not be handed out."""
        held = False
        for number in range(len(run.steps)):
            if run.is_step_ready(number):
                held |= self._hand_step(run, number, first_round)
                held |= self._hand_again(run, number)
        return held

    def _hand_step(self, run: JobRun, number: int, first_round: bool) -> bool:
        step = run.job.steps[number]
        indices = [
            index for index, task in enumerate(run.steps[number]) if task.state is TaskState.WAITING
        ]
        if not indices:
            return False
        limits = run.step_limits
        plan = self._rooms.plan(run.queue.service, step, len(indices), limits)
        self._rooms.take(plan, step, limits)
        in_time = (first_round or run.handed_back > 0) and not step.after
        hand_back = run.handed_back < HAND_BACKS_MAX
        for full, tasks_by_group in ((False, plan.placed), (True, plan.waiting)):
            for group, tasks in tasks_by_group.items():
                taken, indices = indices[:tasks], indices[tasks:]
                terms = _HandOver(in_time, hand_back and not full, not full)
                home = self._rooms.home_of(group)
                if home is None or not self._send(run, number, group, home, taken, terms):
                    indices += taken
        return bool(indices)

    def _hand_again(self, run: JobRun, number: int) -> bool:
        """Hand tasks of lost homes to the next home of their group, which knows their runs."""
        held = False
        lost: dict[str, list[int]] = {}
        for index, task in enumerate(run.steps[number]):
            if task.state is TaskState.MAY_RUN:
                lost.setdefault(task.group, []).append(index)
        for group, indices in lost.items():
            home = self._rooms.home_of(group) or self._claimed_home(group)
            if home is None or not self._send(run, number, group, home, indices, _HandOver()):
                held = True
        return held

    def _send(
        self,
        run: JobRun,
        number: int,
        group: str,
        home: Member,
        indices: list[int],
        terms: "_HandOver",
    ) -> bool:
        step = run.job.steps[number]
        tasks = [run.steps[number][index] for index in indices]
        now_s = time.monotonic()
        message = StartTasks(
            group,
            run.job.job_id,
            number,
            run.job.payload,
            step.demand,
            step.estimate_ms,
            run.queue.name,
            run.step_limits,
            run.start_within_ms(step, now_s, terms.in_time),
            (run.finish_by_s - now_s) * MS_PER_S,
            [self._order(run, number, index) for index in indices],
            terms.hand_back_full,
            run.term,
        )
        before = [(task.state, task.group, task.home_id) for task in tasks]
        for task in tasks:
            task.state, task.group, task.home_id = TaskState.HANDED, group, home.member_id
        if self._peers.send_now(home, message):
            run.touched = run.touched or terms.has_room
            return True
        for task, kept in zip(tasks, before, strict=True):
            task.state, task.group, task.home_id = kept
        self._count("queues.retry.hand_out")
        return False

    def _order(self, run: JobRun, number: int, index: int) -> TaskOrder:
        task = run.steps[number][index]
        may_run = task.state is TaskState.MAY_RUN
        return TaskOrder(index, task.run, run.failures(number, index), may_run, task.worker_id)

    def end(self, run: JobRun, outcome: JobOutcome) -> None:
        """End a job; what still runs of it is stopped."""
        if run.outcome is not None:
            return
        run.outcome = outcome
        self._count(f"queues.ended.{outcome.name.lower()}")
        took_ms = (time.monotonic() - run.started_s) * MS_PER_S
        self._count(f"queues.job_ms.under_{1 << max(0, int(took_ms)).bit_length()}")
        if outcome is not JobOutcome.DONE:
            log_decision(
                "queues",
                "job not done",
                job=run.job.job_id,
                queue=run.queue.name,
                outcome=outcome.value,
                took_ms=round(took_ms),
                tasks=run.states(),
                waiters=run.waiters,
            )
        if self._jobs.get(run.job.job_id) is run:
            del self._jobs[run.job.job_id]
        if outcome is not JobOutcome.DONE:
            for home_id in run.open_homes():
                self._peers.send_linked(home_id, StopTasks(run.job.job_id, run.term))
        run.ended.set()
        run.changed.set()

    def _overloaded(self, detail: str, retry_after_ms: float) -> Refusal:
        self._count("queues.refused.overloaded")
        return Refusal(ResultCode.OVERLOADED, detail, max(REFUSED_AGAIN_MS, retry_after_ms))


class _HandOver:
    """How tasks are handed to a home.

    Attributes:
        in_time: whether they are to come back if they cannot start within the job's aim.
        hand_back_full: whether they are to come back at once if there is no room for them.
        has_room: whether there seems to be room for them.
    """

    __slots__ = ("in_time", "hand_back_full", "has_room")

    def __init__(
        self, in_time: bool = False, hand_back_full: bool = False, has_room: bool = True
    ) -> None:
        self.in_time = in_time
        self.hand_back_full = hand_back_full
        self.has_room = has_room


def _take_may_run(task: TaskProgress, result: TaskResult) -> bool:
    """Take note where a task may run; return whether that is news."""
    task.state = TaskState.MAY_RUN
    task.worker_id = result.worker_id or task.worker_id
    task.group = result.group or task.group
    return bool(result.worker_id or result.group)


def _finish_by_s(deadline_ms: float) -> float:
    return time.monotonic() + max(0.0, deadline_ms - ANSWER_MARGIN_MS) / MS_PER_S

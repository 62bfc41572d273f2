"""The free room of all worker groups, as their homes have told it."""

import time

from camphorchute.contracts.batch_job import BatchStep, QueueLimits
from camphorchute.contracts.member import Member
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import GroupRoom, RoomReport, WorkerRoom
from camphorchute.links import handles
from camphorchute.runs import rank_worker

__all__ = ["RoomPlan", "RoomView"]

STALE_MS = 2000.0
MS_PER_S = 1000.0


class _Heard:
    """The last report of a group."""

    __slots__ = ("member", "room", "heard_s")

    def __init__(self, member: Member, room: GroupRoom, heard_s: float) -> None:
        self.member = member
        self.room = room
        self.heard_s = heard_s


class RoomPlan:
    """Where the tasks of a step are to go.

    Attributes:
        placed: number of tasks with room for each group.
        waiting: number of tasks that have to wait for each group.
        wait_ms: how long the last of these is expected to wait.
    """

    __slots__ = ("placed", "waiting", "wait_ms")

    def __init__(
        self, placed: dict[str, int], waiting: dict[str, int], wait_ms: float = 0.0
    ) -> None:
        self.placed = placed
        self.waiting = waiting
        self.wait_ms = wait_ms

    @property
    def without_room(self) -> int:
        """How many tasks have to wait."""
        return sum(self.waiting.values())


class RoomView:
    """Plans placement from the reports; what it hands out is taken off until the next report."""

    __slots__ = ("_groups",)

    def __init__(self) -> None:
        self._groups: dict[str, _Heard] = {}

    @handles(RoomReport, prompt=True)
    def hear(self, peer: Member, report: RoomReport) -> None:
        """Take in a report; groups that its sender no longer names have no home there."""
        now_s = time.monotonic()
        named = {room.group for room in report.groups}
        for group, heard in list(self._groups.items()):
            if heard.member.member_id == peer.member_id and group not in named:
                del self._groups[group]
        for room in report.groups:
            self._groups[room.group] = _Heard(peer, room, now_s)

    def forget(self, member_id: str) -> None:
        """Forget the reports of a member."""
        for group, heard in list(self._groups.items()):
            if heard.member.member_id == member_id:
                del self._groups[group]

    def home_of(self, group: str) -> Member | None:
        """Return the home of a group, None where none was heard of lately."""
        heard = self._groups.get(group)
        if heard is None or heard.heard_s < _oldest_s():
            return None
        return heard.member

    def age_ms(self, service: str) -> int:
        """Return the age of the oldest report that placement goes by, -1 without any."""
        now_s = time.monotonic()
        ages_ms = [(now_s - heard.heard_s) * MS_PER_S for heard in self._of(service)]
        return round(max(ages_ms, default=-1))

    def can_ever_run(self, service: str, demand: Resources) -> bool:
        """Whether the service has a group whose workers together hold a task."""
        return any(heard.room.capacity.holds(demand) for heard in self._of(service))

    def plan(self, service: str, step: BatchStep, tasks: int, limits: QueueLimits) -> RoomPlan:
        """Return where to place a number of tasks of a step; the room is not taken yet."""
        groups = self._of(service)
        chosen: dict[str, int] = {}
        left = tasks
        for group, _, copies in self._by_rank(groups, step, limits):
            if not left:
                break
            taken = min(copies, left)
            chosen[group] = chosen.get(group, 0) + taken
            left -= taken
        if not left or not groups:
            return RoomPlan(chosen, {})
        waiting, wait_ms = self._spread(groups, step, left, limits.priority)
        return RoomPlan(chosen, waiting, wait_ms)

    def take(self, plan: RoomPlan, step: BatchStep, limits: QueueLimits) -> None:
        """Take the planned room off until the homes report again."""
        for group in {**plan.placed, **plan.waiting}:
            heard = self._groups.get(group)
            if heard is not None:
                tasks = plan.placed.get(group, 0) + plan.waiting.get(group, 0)
                self._take_from(heard.room, step, tasks, limits)

    def mark_full(self, group: str, demand: Resources) -> None:
        """Take note that a group has no room for a demand until it reports again."""
        heard = self._groups.get(group)
        if heard is None:
            return
        heard.room.workers[:] = [
            WorkerRoom(Resources(0), worker.speed) if worker.free.holds(demand) else worker
            for worker in heard.room.workers
        ]

    def _of(self, service: str) -> list[_Heard]:
        oldest_s = _oldest_s()
        return [
            heard
            for heard in self._groups.values()
            if heard.room.service == service and heard.heard_s >= oldest_s
        ]

    def _by_rank(
        self, groups: list[_Heard], step: BatchStep, limits: QueueLimits
    ) -> list[tuple[str, WorkerRoom, int]]:
        able = [
            (heard.room.group, worker, worker.free.copies_of(step.demand))
            for heard in groups
            for worker in heard.room.workers
            if worker.free.holds(step.demand)
        ]
        able.sort(key=lambda row: rank_worker(row[1].speed, step.estimate_ms, limits))
        return able

    def _spread(
        self,
        groups: list[_Heard],
        step: BatchStep,
        tasks: int,
        priority: int,
    ) -> tuple[dict[str, int], float]:
        """Spread tasks that have to wait over the groups with the least backlog.

        Returns:
            The number for each group, and how long the last of them is expected to wait in ms.
        """
        able = [heard for heard in groups if heard.room.capacity.holds(step.demand)]
        chosen: dict[str, int] = {}
        if not able:
            return chosen, 0.0
        task_core_ms = step.demand.cpu_millicores / 1000 * max(1.0, step.estimate_ms)
        backlog = {heard.room.group: _backlog_core_ms(heard.room, priority) for heard in able}
        cores = {heard.room.group: _cores(heard.room) for heard in able}
        wait_ms = 0.0
        for _ in range(tasks):
            group = min(backlog, key=lambda name: backlog[name] / cores[name])
            backlog[group] += task_core_ms
            chosen[group] = chosen.get(group, 0) + 1
            wait_ms = max(wait_ms, backlog[group] / cores[group])
        return chosen, wait_ms

    def _take_from(self, room: GroupRoom, step: BatchStep, tasks: int, limits: QueueLimits) -> None:
        order = sorted(
            range(len(room.workers)),
            key=lambda n: rank_worker(room.workers[n].speed, step.estimate_ms, limits),
        )
        for number in order:
            worker = room.workers[number]
            while tasks and worker.free.holds(step.demand):
                worker = WorkerRoom(worker.free.minus(step.demand), worker.speed)
                tasks -= 1
            room.workers[number] = worker
        if tasks:
            core_ms = step.demand.cpu_millicores / 1000 * step.estimate_ms * tasks
            waiting = room.waiting_core_ms
            waiting[limits.priority] = waiting.get(limits.priority, 0.0) + core_ms


def _oldest_s() -> float:
    """Return the time before which a report is too old to go by."""
    return time.monotonic() - STALE_MS / MS_PER_S


def _backlog_core_ms(room: GroupRoom, priority: int) -> float:
    return sum(ms for other, ms in room.waiting_core_ms.items() if other <= priority)


def _cores(room: GroupRoom) -> float:
    return max(1.0, room.capacity.cpu_millicores / 1000)

"""Start announcements: no start command is sent before other processes know of it."""

from __future__ import annotations

import itertools
import random
import time
from collections.abc import Callable, Iterable

import gevent

from camphorchute.contracts.member import Member
from camphorchute.contracts.start_messages import (
    AnnouncedStart,
    AnnounceStarts,
    ForgetStarts,
    StartsWitnessed,
)
from camphorchute.decision_log import log_decision
from camphorchute.links import handles
from camphorchute.runs.announcement import Announcement
from camphorchute.runs.late_commands import LATE_ARRIVAL_MAX_S
from camphorchute.runs.run import PendingTask
from camphorchute.runs.start_witness import StartWitness
from camphorchute.runs.witness_choice import WITNESSES, WitnessChoice, witness_key
from camphorchute.runs.worker_leases import LONGEST_LEASE_MS

__all__ = ["StartAnnouncements"]

ASK_NEXT_MS = 30.0
LINK_WAIT_MS = 5.0
WAVES_MAX = 4
CONFLICT_PAUSE_MS = (25.0, 40.0)  # the scheduler of the other start may have seen its end just now
YIELD_MS = 40.0
FORGET_DELAY_MS = 500.0
LEAVING_S = 20.0  # longer than a graceful shutdown takes
RENEWAL_MS = 2000.0
# A start command may be sent until the next announcement, and arrive later with a lease of its own.
DURATION_MS = RENEWAL_MS + LATE_ARRIVAL_MAX_S * 1000.0 + LONGEST_LEASE_MS
MS_PER_S = 1000.0


class StartAnnouncements:
    """Announces runs to two members that any process finds, before their start commands are sent.

    The owner and the scheduler of a task are the only processes of its job. If both are lost, a
    start command without an answer may still be carried out, while another process that has got
    the job starts its tasks elsewhere. The witnesses then tell its schedulers, whose starts are
    announced to the same members.

    Args:
        witness: the witness in this process, which answers for its starts as well.
        count: adds to a named counter.

    Attributes:
        own_id: member id of this process.
        choice: chooses the witnesses; nothing is announced while it is None.
        send: sends a one-way message to a member; returns whether it could be sent. A link that
            is missing is opened for the next one.
    """

    __slots__ = (
        "own_id",
        "choice",
        "send",
        "_witness",
        "_count",
        "_numbers",
        "_undecided",
        "_by_task",
        "_forgotten",
        "_is_sent_next",
    )

    def __init__(self, witness: StartWitness, count: Callable[..., None]) -> None:
        self.own_id = ""
        self.choice: WitnessChoice | None = None
        self.send: Callable[[Member, AnnounceStarts | ForgetStarts], bool] | None = None
        self._witness = witness
        self._count = count
        self._numbers = itertools.count(1)
        self._undecided: dict[int, Announcement] = {}
        self._by_task: dict[str, Announcement] = {}
        self._forgotten: dict[str, list[str]] = {}
        self._is_sent_next = False

    def announce(
        self, tasks: Iterable[PendingTask], service: str, are_started: bool = False
    ) -> None:
        """Announce the runs of tasks; each run then has the announcement to wait for.

        Args:
            tasks: tasks that have a run.
            service: the service that they run on.
            are_started: whether the runs may be active, so that nothing waits for the witnesses.
        """
        if self.choice is None:
            return
        by_job: dict[tuple[str, str], list[PendingTask]] = {}
        for task in tasks:
            by_job.setdefault((task.message.job_id, task.owner_id), []).append(task)
        for (job_id, owner_id), job_tasks in by_job.items():
            starts = {task.name: _start_of(task) for task in job_tasks}
            announcement = Announcement(witness_key(service, job_id), owner_id, starts)
            for task in job_tasks:
                task.run.announcement = announcement
                if task.name in self._by_task:
                    announcement.asked_ids |= self._by_task[task.name].asked_ids
                self._by_task[task.name] = announcement
            if are_started:
                announcement.is_decided.set()
            self._ask_first(announcement)

    def renew(self, task: PendingTask, service: str) -> None:
        """Announce a run once more whose start command has no answer and is sent again.

        Args:
            task: the task.
            service: the service that it runs on.
        """
        announcement = self._by_task.get(task.name)
        if announcement is not None:
            age_ms = (time.monotonic() - announcement.announced_s) * MS_PER_S
            if age_ms >= RENEWAL_MS / 2:
                self.announce([task], service, are_started=True)

    def is_decided(self, task: str) -> bool:
        """Return whether the start command of the last announced run of a task may have been sent.

        Args:
            task: name of the task.
        """
        announcement = self._by_task.get(task)
        return announcement is not None and announcement.is_decided.is_set()

    def forget_later(self, task: str) -> None:
        """Have the witnesses forget a run that is left to its lease, once that has expired.

        Args:
            task: name of the task.
        """
        announcement = self._by_task.get(task)
        if announcement is not None:
            delay_s = LONGEST_LEASE_MS / MS_PER_S
            gevent.spawn_later(delay_s, self._forget_announced, task, announcement)

    def _forget_announced(self, task: str, announcement: Announcement) -> None:
        if self._by_task.get(task) is announcement:
            self.forget(task, is_done=False)

    def forget(self, task: str, is_done: bool) -> None:
        """Tell the witnesses of a task that its run is over, or was not started.

        Args:
            task: name of the task.
            is_done: whether it is done, so that the witnesses need not know at once.
        """
        announcement = self._by_task.pop(task, None)
        if announcement is None:
            return
        announcement.starts.pop(task, None)
        self._witness.forget(self.own_id, [task])
        if is_done and not self._forgotten:
            gevent.spawn_later(FORGET_DELAY_MS / MS_PER_S, self.send_forgotten)
        elif not is_done and not self._is_sent_next:
            self._is_sent_next = True
            gevent.spawn(self.send_forgotten)
        for member_id in announcement.asked_ids:
            self._forgotten.setdefault(member_id, []).append(task)

    def keep(self, task: str) -> None:
        """Leave the announcement of a task to expire, as its run may still start or go on.

        Args:
            task: name of the task.
        """
        self._by_task.pop(task, None)

    def send_forgotten(self) -> None:
        """Send what the witnesses need not know any more."""
        forgotten, self._forgotten, self._is_sent_next = self._forgotten, {}, False
        for member_id, tasks in forgotten.items():
            member = self.choice.member(member_id)
            if member is None or not self.send(member, ForgetStarts(tasks)):
                self._count("runs.announce.forget_unsent")

    @handles(StartsWitnessed, nonblocking=True)
    def handle_witnessed(self, peer: Member, message: StartsWitnessed) -> None:
        """Record the answer of a witness."""
        announcement = self._undecided.get(message.number)
        if announcement is None or peer.member_id not in announcement.waiting_ids:
            self._count("runs.announce.late_answer")
            return
        announcement.waiting_ids.discard(peer.member_id)
        announcement.record_known(peer.member_id, message.known)
        if message.is_leaving:
            self.choice.mark_silent(peer.member_id, LEAVING_S)
            return
        announcement.answered += 1
        announcement.zones.add(peer.zone)
        if announcement.answered >= WITNESSES:
            self._decide(message.number)

    def _ask_first(self, announcement: Announcement) -> None:
        """Ask the first members in rank, or decide at once if there are none."""
        number = next(self._numbers)
        self._undecided[number] = announcement
        announcement.answered = 0
        announcement.zones.clear()
        announcement.waiting_ids.clear()
        known = self._witness.announce(self.own_id, [*announcement.starts.values()])
        announcement.record_known(self.own_id, known)
        self._ask(number, {announcement.owner_id}, 1)

    def _ask(self, number: int, excluded_ids: set[str], wave: int) -> None:
        """Ask as many members as answers are missing; ask the next ones if they are silent.

        Args:
            number: number of the announcement.
            excluded_ids: ids of members that are not asked; those that are asked are added.
            wave: how often members were asked with this time.
        """
        announcement = self._undecided.get(number)
        if announcement is None:
            return
        if wave > 1:
            self._count("runs.announce.asked_further")
            for member_id in announcement.waiting_ids:
                self.choice.mark_silent(member_id)
        missing = WITNESSES - announcement.answered if announcement.starts else 0
        while missing and wave <= WAVES_MAX:
            chosen = self._next_witnesses(announcement, excluded_ids)[:missing]
            if not chosen:
                break
            announcement.first_id = announcement.first_id or chosen[0].member_id
            for member in chosen:
                excluded_ids.add(member.member_id)
                announcement.waiting_ids.add(member.member_id)
                missing -= 1
                self._send_starts(number, member)
        if not announcement.starts:
            self._decide(number)
        elif not announcement.waiting_ids or wave > WAVES_MAX:
            name = "one_witness" if announcement.answered else "unwitnessed"
            self._count(f"runs.announce.{name}")
            log_decision(
                "runs",
                "starts without enough witnesses",
                tasks=list(announcement.starts),
                witnesses=announcement.witness_ids(),
                silent=sorted(announcement.waiting_ids),
            )
            self._decide(number)
        else:
            gevent.spawn_later(ASK_NEXT_MS / MS_PER_S, self._ask, number, excluded_ids, wave + 1)

    def _send_starts(self, number: int, member: Member) -> None:
        """Send an announcement to a member, once more as soon as the link to it may be open."""
        announcement = self._undecided.get(number)
        if announcement is None or member.member_id not in announcement.waiting_ids:
            return
        starts = list(announcement.starts.values())
        forgotten = self._forgotten.get(member.member_id, [])
        if self.send(member, AnnounceStarts(number, starts, forgotten)):
            self._forgotten.pop(member.member_id, None)
            announcement.asked_ids.add(member.member_id)
        else:
            self._count("runs.announce.unlinked")
            gevent.spawn_later(LINK_WAIT_MS / MS_PER_S, self._send_starts, number, member)

    def _next_witnesses(self, announcement: Announcement, excluded_ids: set[str]) -> list[Member]:
        """Return the next members to ask, first those that have reported a conflict."""
        reporters = [self.choice.member(member_id) for member_id in announcement.conflicts]
        reporters = [
            member for member in reporters if member and member.member_id not in excluded_ids
        ]
        ids = {*excluded_ids, self.own_id, *(member.member_id for member in reporters)}
        return reporters + self.choice.first(announcement.key, ids, announcement.zones)

    def _decide(self, number: int) -> None:
        """Let the start commands be sent that are in no conflict.

        About a conflict the members are asked once more, a little later. It stands unless its
        witness takes it back.
        """
        announcement = self._undecided.pop(number)
        if announcement.is_decided.is_set():
            return
        if announcement.starts and announcement.conflicts and not announcement.is_last:
            self._count("runs.announce.asked_again")
            announcement.is_last = True
            pause_ms = random.uniform(*CONFLICT_PAUSE_MS)
            if announcement.first_id in announcement.conflicts:
                self._yield_to_others(announcement)
                pause_ms += YIELD_MS
            gevent.spawn_later(pause_ms / MS_PER_S, self._ask_first, announcement)
            return
        for task in list(announcement.starts):
            if announcement.conflict(task) and self._by_task.get(task) is announcement:
                self._count("runs.announce.conflict")
                self.forget(task, is_done=False)
        announcement.is_decided.set()

    def _yield_to_others(self, announcement: Announcement) -> None:
        """Withdraw starts from the witnesses that were asked later than that of another scheduler.

        That one is in conflict with them, and asks again before this one does.
        """
        tasks = [task for task in announcement.starts if announcement.conflict(task)]
        self._witness.forget(self.own_id, tasks)
        for member_id in announcement.asked_ids:
            self._forgotten.setdefault(member_id, []).extend(tasks)
        self.send_forgotten()


def _start_of(task: PendingTask) -> AnnouncedStart:
    """Return what to announce of the run of a task."""
    return AnnouncedStart(task.name, task.run.worker_id, task.group, task.run.number, DURATION_MS)

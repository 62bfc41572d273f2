"""Start announcements: no start command is sent before other processes know of it."""

from __future__ import annotations

import itertools
import random
import time
from collections.abc import Callable, Iterable

import gevent
from gevent.event import Event

from camphorchute.contracts.member import Member
from camphorchute.contracts.start_messages import (
    AnnouncedStart,
    AnnounceStarts,
    ForgetStarts,
    KnownStart,
    StartsWitnessed,
)
from camphorchute.links import handles
from camphorchute.loops import wait_for_event
from camphorchute.runs.late_commands import LATE_ARRIVAL_MAX_S
from camphorchute.runs.run import PendingTask
from camphorchute.runs.start_witness import StartWitness
from camphorchute.runs.witness_choice import WITNESSES, WitnessChoice, witness_key
from camphorchute.runs.worker_leases import LONGEST_LEASE_MS

__all__ = ["Announcement", "StartAnnouncements"]

ASK_NEXT_MS = 30.0
WAVES_MAX = 4
CONFLICT_PAUSE_MS = (25.0, 50.0)  # the scheduler of the other start may have seen its end just now
FORGET_DELAY_MS = 500.0
OPEN_TASK_MAX_MS = 60_000.0
MS_PER_S = 1000.0


class Announcement:
    """Runs of one job that are announced together.

    Attributes:
        key: the key by which the witnesses are chosen.
        owner_id: member id of the owner of the job, which is no witness, as it is lost with it.
        starts: what is announced, by name of the task.
        conflicts: runs beside which a start must not take place, by name of the task.
        shared: runs at the same workers that other schedulers may have started.
        asked_ids: ids of the members that were asked, which have to be told of the ends.
        waiting_ids: those that have not answered, since the starts were last announced.
        answered: number of those that have.
        is_last: whether a conflict is not asked about once more.
        is_decided: event that is set when the start commands may be sent or are in conflict.
    """

    __slots__ = (
        "key",
        "owner_id",
        "starts",
        "conflicts",
        "shared",
        "asked_ids",
        "waiting_ids",
        "answered",
        "is_last",
        "is_decided",
    )

    def __init__(self, key: str, owner_id: str, starts: dict[str, AnnouncedStart]) -> None:
        self.key = key
        self.owner_id = owner_id
        self.starts = starts
        self.conflicts: dict[str, KnownStart] = {}
        self.shared: list[KnownStart] = []
        self.asked_ids: set[str] = set()
        self.waiting_ids: set[str] = set()
        self.answered = 0
        self.is_last = False
        self.is_decided = Event()

    def wait(self, task: str) -> KnownStart | None:
        """Wait until the start of a task is decided; return the run that it is in conflict with.

        Args:
            task: name of the task.
        """
        wait_for_event(self.is_decided)
        return self.conflicts.get(task)

    def record_known(self, known: Iterable[KnownStart]) -> None:
        """Record runs that a witness knows of."""
        for row in known:
            if not row.is_conflict:
                self.shared.append(row)
                continue
            earlier = self.conflicts.get(row.task)
            if earlier is None or earlier.remaining_ms < row.remaining_ms:
                self.conflicts[row.task] = row


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

    def announce(self, tasks: Iterable[PendingTask], service: str) -> None:
        """Announce the runs of tasks; each run then has the announcement to wait for.

        Args:
            tasks: tasks that have just been given a run whose start command is not sent yet.
            service: the service that they run on.
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
            self._ask_first(announcement)

    def forget(self, task: str, is_done: bool) -> None:
        """Tell the witnesses of a task that its run is over, or that its owner knows of it.

        Args:
            task: name of the task.
            is_done: whether it is done, so that the witnesses need not know at once.
        """
        announcement = self._by_task.pop(task, None)
        if announcement is None:
            return
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
        announcement.answered += 1
        announcement.record_known(message.known)
        if announcement.answered >= WITNESSES:
            self._decide(message.number)

    def _ask_first(self, announcement: Announcement) -> None:
        """Ask the first members in rank, or decide at once if there are none."""
        number = next(self._numbers)
        self._undecided[number] = announcement
        announcement.answered = 0
        announcement.waiting_ids.clear()
        announcement.record_known(
            self._witness.announce(self.own_id, [*announcement.starts.values()])
        )
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
        missing = WITNESSES - announcement.answered
        starts = list(announcement.starts.values())
        while missing and wave <= WAVES_MAX:
            chosen = self.choice.first(announcement.key, excluded_ids)[:missing]
            if not chosen:
                break
            for member in chosen:
                excluded_ids.add(member.member_id)
                forgotten = self._forgotten.get(member.member_id, [])
                if self.send(member, AnnounceStarts(number, starts, forgotten)):
                    self._forgotten.pop(member.member_id, None)
                    announcement.waiting_ids.add(member.member_id)
                    announcement.asked_ids.add(member.member_id)
                    missing -= 1
                else:
                    self._count("runs.announce.unlinked")
                    self.choice.mark_silent(member.member_id)
        if not announcement.waiting_ids or wave > WAVES_MAX:
            name = "one_witness" if announcement.answered else "unwitnessed"
            self._count(f"runs.announce.{name}")
            self._decide(number)
        else:
            gevent.spawn_later(ASK_NEXT_MS / MS_PER_S, self._ask, number, excluded_ids, wave + 1)

    def _decide(self, number: int) -> None:
        """Let the start commands be sent that are in no conflict.

        About a conflict the same members are asked once more, a little later.
        """
        announcement = self._undecided.pop(number)
        if announcement.conflicts and not announcement.is_last:
            self._count("runs.announce.asked_again")
            announcement.is_last = True
            announcement.conflicts.clear()
            pause_s = random.uniform(*CONFLICT_PAUSE_MS) / MS_PER_S
            gevent.spawn_later(pause_s, self._ask_first, announcement)
            return
        for task in announcement.conflicts:
            self._count("runs.announce.conflict")
            self.forget(task, is_done=False)
        announcement.is_decided.set()


def _start_of(task: PendingTask) -> AnnouncedStart:
    """Return what to announce of the run of a task."""
    open_ms = min(OPEN_TASK_MAX_MS, (task.finish_by_s - time.monotonic()) * MS_PER_S)
    duration_ms = max(0.0, open_ms) + LATE_ARRIVAL_MAX_S * MS_PER_S + LONGEST_LEASE_MS
    run = task.run
    return AnnouncedStart(task.name, run.worker_id, task.group, run.number, duration_ms)

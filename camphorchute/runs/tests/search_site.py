"""Schedulers, workers and owners under a sequence of faults, each a step of one call."""

import time

import gevent

from camphorchute.hosting import CommandRefused, RefusalReason
from camphorchute.runs import GroupScheduler
from camphorchute.runs.binding_exchange import BindingExchange
from camphorchute.runs.late_commands import LATE_ARRIVAL_MAX_S, LATE_ARRIVAL_MIN_S
from camphorchute.runs.start_bindings import StartBindings
from camphorchute.runs.start_witness import StartWitness
from camphorchute.runs.tests.model_members import ModelMembers
from camphorchute.runs.tests.model_owner import ModelOwner
from camphorchute.runs.tests.model_workers import SERVICE, Late, ModelSite, ModelWorker
from camphorchute.runs.tests.scheduler_site import GROUP
from camphorchute.runs.tests.virtual_time import VirtualTime

__all__ = ["GROUPS", "SearchSite", "play", "shrink"]

GROUPS = (GROUP, "north/flags/1")
OWNERS = ("owner1", "owner2")
RUN_S = 4.0
FINISH_S = 30.0
RESEND_S = 1.3
CLAIM_CHECK_S = 0.1
FIRST_FENCE = 7
WITNESSES = ("witness1", "witness2")
OLD_MEMBERS_S = 20.0


class SearchWorker(ModelWorker):
    """A worker that refuses a run beyond its capacity."""

    list_step_s = 0.02

    def start(self, task, number, lease_s):
        """Start a run if there is room for it."""
        if len(self.active()) >= self.slots:
            raise CommandRefused(RefusalReason.NO_ROOM)
        super().start(task, number, lease_s)


class SearchSite(ModelSite):
    """Two groups of workers, processes that schedule them, and owners.

    Every step is a method with plain arguments. Processes are named by their number in the order of
    their start, workers and groups by their index. A step that is not possible now does nothing.

    Args:
        workers: number of workers; the last one belongs to the second group, the others to the
            first.
        first_group: which of the groups was claimed first, so that its fencing token is lower.
        are_starts_announced: whether other members are told of the starts.

    Attributes:
        claims: the process that holds each group, and its fencing token.
        members: the processes, the owners and members that only witness starts.
        late: the commands that are held back, in the order of their arming.
    """

    def __init__(self, workers=3, first_group=0, are_starts_announced=True):
        super().__init__(0)
        self.workers = {f"w{n}": SearchWorker(f"w{n}", RUN_S) for n in range(workers)}
        self.group_by_worker = dict.fromkeys(self.workers, GROUPS[0])
        self.group_by_worker[f"w{workers - 1}"] = GROUPS[1]
        self.claims, self.late, self._sent_s = {}, [], {}
        self._unlisted = set()
        self._fence, self._stopped_jobs, self._job_count = FIRST_FENCE - 1, [], 0
        self.members, self._are_starts_announced = ModelMembers(), are_starts_announced
        self._lost_owners_s = {}
        for member_id in OWNERS + WITNESSES:
            self.members.add(member_id, StartWitness(self._count))
        self.owners = [
            ModelOwner(
                owner_id, self._holder, self._has_room, GROUPS, self._open_exchange().add_tasks
            )
            for owner_id in OWNERS
        ]
        for _ in range(2):
            self._open_scheduler()
        gevent.sleep(OLD_MEMBERS_S)
        for index in (first_group, 1 - first_group):
            self.claim(index, index)
        self._claim_checks = gevent.spawn(self._claim_again)
        gevent.sleep(0.1)

    def close(self):
        """Stop the owners and the schedulers."""
        self._claim_checks.kill()
        for owner in self.owners:
            owner.tasks.clear()
        super().close()

    def submit(self, group, owner=0):
        """Submit a job of one task to an owner that was not lost."""
        self._job_count += 1
        if self._is_lost(self.owners[owner]):
            owner = 1 - owner
        self.owners[owner].submit(f"job{self._job_count}", GROUPS[group], FINISH_S)
        gevent.sleep(0.05)

    def stop_job(self, job):
        """End the job with an index among the open ones at its owner."""
        for owner in self.owners:
            if job < len(owner.tasks):
                job_id = list(owner.tasks)[job]
                group = owner.tasks[job_id].group
                owner.stop_job(job_id)
                self._stopped_jobs.append((time.monotonic(), job_id, group, owner))
                return

    def resend_job(self, group):
        """Send the job that was stopped first again, to the other owner if that was not lost."""
        if self._stopped_jobs:
            stopped_s, job_id, _, owner = self._stopped_jobs.pop(0)
            gevent.sleep(max(0.0, stopped_s + RESEND_S - time.monotonic()))
            other = next(other for other in self.owners if other is not owner)
            other = owner if self._is_lost(other) else other
            other.submit(job_id, GROUPS[group], FINISH_S)
            gevent.sleep(0.05)

    def delay_next(self, worker, kind):
        """Let the next command of a kind to a worker be carried out late, without an answer."""
        late = Late()
        self._worker(worker).held[kind].append(late)
        self.late.append(late)
        gevent.spawn(self._note_sent, late)

    def lose_answer(self, worker, kind):
        """Let the next command of a kind to a worker be carried out at once, without an answer."""
        late = Late()
        late.executes.set()
        self._worker(worker).held[kind].append(late)

    def delay_stops(self, worker, delay_s):
        """Let all stop commands to a worker be carried out late; 0 for none from now on."""
        late_s = self._worker(worker).late_s
        late_s.pop("stop", None)
        if delay_s:
            late_s["stop"] = delay_s

    def deliver(self, number):
        """Let one of the late commands under way be carried out, at its earliest time."""
        sent = [late for late in self.late if late in self._sent_s]
        if not sent:
            return
        late = sent[number % len(sent)]
        self.late.remove(late)
        gevent.sleep(max(0.0, self._sent_s[late] + LATE_ARRIVAL_MIN_S - time.monotonic()))
        if time.monotonic() - self._sent_s[late] < LATE_ARRIVAL_MAX_S:
            late.executes.set()
            gevent.sleep(0.001)

    def restart(self, worker, listing_s):
        """Restart a worker under its id; the processes see its new entry later."""
        self._worker(worker).restart()
        gevent.spawn_later(listing_s, self.list_workers)

    def move(self, worker, listing_s):
        """Let a worker belong to the other group; the processes see that later."""
        worker_id = self._worker(worker).worker_id
        (other,) = (group for group in GROUPS if group != self.group_by_worker[worker_id])
        self.group_by_worker[worker_id] = other
        gevent.spawn_later(listing_s, self.list_workers)

    def unlist(self, worker, duration_s):
        """Let service discovery lack a worker for a while."""
        worker_id = self._worker(worker).worker_id
        self._unlisted.add(worker_id)
        self.list_workers()
        gevent.spawn_later(duration_s, self._list_again, worker_id)

    def _list_again(self, worker_id):
        self._unlisted.discard(worker_id)
        self.list_workers()

    def list_workers(self, process=None):
        """Let a process, or all of them, see the workers as they are now."""
        chosen = self.schedulers if process is None else [self._process(process)]
        for scheduler in chosen:
            for group in scheduler.groups() if scheduler is not None else ():
                self._set_workers(scheduler, group)

    def kill(self, process):
        """Kill a process; its owners see that at once."""
        scheduler = self._process(process)
        if scheduler is None:
            return
        super().kill(scheduler)
        self.members.lose(f"process{process}")
        scheduler.close()
        for group in [name for name, (holder, _) in self.claims.items() if holder is scheduler]:
            del self.claims[group]
        for owner in self.owners:
            owner.mark_scheduler_lost(scheduler)

    def kill_together(self, owner, process, witness):
        """Kill an owner, a process and a member that only witnesses starts, once.

        Callers notice the loss of the owner, and all processes do.

        Args:
            owner: the owner.
            process: the process; none if it was killed.
            witness: the member; none if there is no such one.
        """
        if self._lost_owners_s:
            return
        lost = self.owners[owner]
        owner_id = lost.member.member_id
        self._lost_owners_s[owner_id] = time.monotonic()
        self.members.lose(owner_id)
        if witness < len(WITNESSES):
            self.members.lose(WITNESSES[witness])
        for job_id, task in lost.tasks.items():
            self._stopped_jobs.append((time.monotonic(), job_id, task.group, lost))
        lost.tasks.clear()
        self.kill(process)
        for scheduler in self.schedulers:
            if scheduler not in self._killed:
                scheduler.drop_owner(owner_id)

    def claim(self, group, process):
        """Let a process claim a group, whether or not another one holds it and knows of that."""
        while process >= len(self.schedulers):
            self._open_scheduler()
        scheduler = self._process(process)
        holder, _ = self.claims.get(GROUPS[group], (None, 0))
        if scheduler is None or holder is scheduler:
            return
        self._acquire(scheduler, GROUPS[group])
        gevent.sleep(0.02)

    def take_over(self, group, process, owner):
        """Let a process claim a group whose holder does not know of it, but one of the owners."""
        holder, _ = self.claims.get(GROUPS[group], (None, 0))
        self.claim(group, process)
        if holder is not None and holder is not self._holder(GROUPS[group]):
            self.cut_owner(owner, self.schedulers.index(holder))

    def hand_over(self, group, process):
        """Let the holder of a group release it, and another process claim it."""
        holder, _ = self.claims.pop(GROUPS[group], (None, 0))
        if holder is not None:
            holder.release_group(GROUPS[group])
        self.claim(group, process)

    def learn_claims(self, process):
        """Let a process release the groups that another one has claimed."""
        scheduler = self._process(process)
        for group in scheduler.groups() if scheduler is not None else ():
            if self.claims.get(group, (None, 0))[0] is not scheduler:
                scheduler.release_group(group)

    def cut_path(self, worker, process):
        """Let a process lose its path to a worker."""
        self.silence(self._worker(worker).worker_id, process)

    def heal_path(self, worker, process):
        """Let a process that was not killed reach a worker again."""
        if self._process(process) is not None:
            self._silenced.discard((self._worker(worker).worker_id, process))

    def set_silent(self, worker, is_silent):
        """Let a worker answer nobody, or everybody again."""
        self._worker(worker).is_silent = is_silent

    def cut_owner(self, owner, process):
        """Let the link between an owner and a process break, which both see."""
        scheduler = self._process(process)
        if scheduler is not None:
            self.owners[owner].mark_scheduler_lost(scheduler)
            scheduler.drop_owner(self.owners[owner].member.member_id)

    def wait(self, duration_s):
        """Let time pass."""
        gevent.sleep(duration_s)

    def finish(self):
        """Let the late commands that are left arrive."""
        while any(late in self._sent_s for late in self.late):
            self.deliver(0)
        gevent.sleep(0.5)

    def _claim_again(self):
        """Let holders claim again whose workers have seen a higher fencing token."""
        while True:
            gevent.sleep(CLAIM_CHECK_S)
            for scheduler in self.schedulers:
                for group in list(scheduler.superseded_groups):
                    if self._holder(group) is scheduler:
                        self._acquire(scheduler, group)

    def _acquire(self, scheduler, group):
        self._fence += 1
        self.claims[group] = (scheduler, self._fence)
        scheduler.acquire_group(group, SERVICE, self._fence)
        self._set_workers(scheduler, group)

    def _is_lost(self, owner):
        return owner.member.member_id in self._lost_owners_s

    def _worker(self, index):
        return self.workers[f"w{index % len(self.workers)}"]

    def _process(self, number):
        if number >= len(self.schedulers) or self.schedulers[number] in self._killed:
            return None
        return self.schedulers[number]

    def _holder(self, group):
        return self.claims.get(group, (None, 0))[0]

    def _has_room(self, scheduler, group):
        if scheduler is None:
            return False
        reports = [report for report in scheduler.free_capacity_report() if report.group == group]
        return any(row.free.cpu_millicores for report in reports for row in report.workers)

    def _open_scheduler(self):
        number = len(self.schedulers)
        scheduler = GroupScheduler(
            lambda entry: self._open_client(entry, number),
            lambda owner_id, message: self._notify_owner(scheduler, owner_id, message),
            self._count,
        )
        scheduler.is_durable_job = lambda job_id: False
        scheduler.owner_contacts.running_at_s = lambda owner_id: self._lost_owners_s.get(
            owner_id, time.monotonic()
        )
        if self._are_starts_announced:
            announcements = scheduler.start_announcements
            self.members.add(f"process{number}", scheduler.start_witness, announcements)
        scheduler.placement_notices.notify = lambda owner_id, message: self._notify_owner(
            scheduler, owner_id, message
        )
        scheduler.binding_exchange.send_to_all = lambda message: self._send_to_others(
            scheduler, message
        )
        scheduler.start()
        self.schedulers.append(scheduler)

    def _open_exchange(self):
        """Return the binding exchange in the process of an owner, which schedules nothing."""
        exchange = BindingExchange(StartBindings(), self._count)
        exchange.send_to_all = self._tell_bindings
        return exchange

    def _tell_bindings(self, message):
        for number in range(len(self.schedulers)):
            if self._process(number) is not None:
                self.schedulers[number].binding_exchange.bind_tasks(None, message)

    def _set_workers(self, scheduler, group):
        listed = {
            worker_id: its_group
            for worker_id, its_group in self.group_by_worker.items()
            if worker_id not in self._unlisted
        }
        ids = [worker_id for worker_id, its_group in listed.items() if its_group == group]
        scheduler.set_workers(group, self.entries(ids), listed)

    def _notify_owner(self, scheduler, owner_id, message):
        if owner_id in self._lost_owners_s:
            return False
        if scheduler not in self._killed:
            self.owners[OWNERS.index(owner_id)].handle(scheduler, message)
        return True

    def _note_sent(self, late):
        late.sent.wait()
        self._sent_s[late] = time.monotonic()


def play(steps, **fields):
    """Return the tasks that had two runs at the same time in a sequence of steps.

    Args:
        steps: the steps, each a tuple of the name of a method of :class:`SearchSite` and arguments.
        fields: the arguments of the site.
    """
    with VirtualTime():
        site = SearchSite(**fields)
        for name, *args in steps:
            getattr(site, name)(*args)
        site.finish()
        overlaps = site.overlaps()
        site.close()
        gevent.sleep(2.0)
    return overlaps


def shrink(steps, **fields):
    """Return the shortest sequence that is left when steps without which runs overlap are removed.

    Args:
        steps: a sequence under which a task has two runs at the same time.
        fields: the arguments of the site.
    """
    steps = list(steps)
    size = max(1, len(steps) // 2)
    while size:
        shorter = _without_some(steps, size, fields)
        if shorter is None:
            size //= 2
        else:
            steps = shorter
    return steps


def _without_some(steps, size, fields):
    for start in range(len(steps) - 1, -1, -1):
        rest = steps[:start] + steps[start + size :]
        if len(rest) < len(steps) and play(rest, **fields):
            return rest
    return None

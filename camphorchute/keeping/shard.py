"""One shard of kept jobs at its keeper."""

import time
from collections.abc import Callable

import gevent
from eliot import log_message

from camphorchute.contracts import Refusal
from camphorchute.contracts.kept_messages import AskKeptTasks, EndsSaved, FoundTask, SavedEnd
from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import KeeperTerm, StopTasks, TaskEnd, TaskResult
from camphorchute.decision_log import log_decision
from camphorchute.hosting import Store, StoredValue, StoreUnavailable, SwapLost, SwapUnknown
from camphorchute.keeping.job_writer import JobWriter
from camphorchute.keeping.kept_job import KeptJob, KeptState, job_key, shard_prefix
from camphorchute.keeping.kept_run import KeptRun, UnsavedEnd
from camphorchute.links import LinkLost, Peers
from camphorchute.loops import spawn_loop
from camphorchute.queues import QueueOwner, TaskState
from camphorchute.roster import MembershipLease, SharedView, StoreFollower
from camphorchute.runs import job_of

__all__ = ["JobShard", "ShardTools"]

EARLIER_KEEPER_MS = 2500.0
FIND_TIMEOUT_MS = 500.0
FIND_AGAIN_MS = 100.0
SAVE_AGAIN_MS = 200.0
SAVE_GATHER_MS = 150.0
RETAIN_MS = 150_000.0
GATHER_MS = 1000.0
SILENT_MS = 10_000.0
SWEEP_MS = 2000.0
MS_PER_S = 1000.0


class ShardTools:
    """What every shard of a process uses.

    Attributes:
        store: the platform's store.
        writer: writes records.
        view: knows the groups and their homes.
        lease: tells whether this process may act as a keeper.
        owner: hands out tasks.
        peers: the links to the homes.
        count: adds to a named counter.
    """

    __slots__ = ("store", "writer", "view", "lease", "owner", "peers", "count")

    def __init__(
        self,
        store: Store,
        writer: JobWriter,
        view: SharedView,
        lease: MembershipLease,
        owner: QueueOwner,
        peers: Peers,
        count: Callable[..., None],
    ) -> None:
        self.store = store
        self.writer = writer
        self.view = view
        self.lease = lease
        self.owner = owner
        self.peers = peers
        self.count = count


class _Ended:
    """A job that has ended and can still be asked for."""

    __slots__ = ("state", "revision", "since_s")

    def __init__(self, state: KeptState, revision: int) -> None:
        self.state = state
        self.revision = revision
        self.since_s = time.monotonic()


class JobShard:
    """Finishes the jobs of a shard for as long as this process keeps it.

    A new keeper first waits until the one before it cannot act any more, then reads the jobs and
    asks every home which of their tasks run. Only then it hands tasks out.

    Args:
        number: the shard.
        term: revision of the claim.
        lease_id: lease that the claim is bound to.
        clean: whether the last keeper has stopped of its own accord.
        tools: what every shard uses.
    """

    def __init__(
        self, number: int, term: int, lease_id: int, clean: bool, tools: ShardTools
    ) -> None:
        self._number = number
        self._term = KeeperTerm(number, term)
        self._lease_id = lease_id
        self._clean = clean
        self._tools = tools
        self._runs: dict[str, KeptRun] = {}
        self._ended: dict[str, _Ended] = {}
        self._loaded = False
        self._closed = False
        self._is_finding = False
        self._follower = StoreFollower(
            tools.store, shard_prefix(number), self, tools.count, GATHER_MS, SILENT_MS
        )
        self._greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Take the jobs over."""
        self._greenlets = [
            spawn_loop("keeping", self._take_over, self._tools.count),
            spawn_loop("keeping", self._remove_old, self._tools.count),
        ]

    def close(self) -> None:
        """Hand nothing out any more; what runs goes on for the next keeper."""
        self._closed = True
        self._follower.close()
        gevent.killall(self._greenlets, block=False)
        for run in self._runs.values():
            self._tools.owner.drop(run)

    def state_of(self, job_id: str) -> str:
        """Return the state of a job as callers know it, empty where it is not known here."""
        if job_id in self._ended:
            return self._ended[job_id].state.value
        run = self._runs.get(job_id)
        if run is None:
            return ""
        return "active" if run.touched else "queued"

    def waiting(self) -> dict[str, int]:
        """Return the number of jobs that nothing was started of, by queue."""
        waiting: dict[str, int] = {}
        for run in self._runs.values():
            if not run.touched:
                waiting[run.queue.name] = waiting.get(run.queue.name, 0) + 1
        return waiting

    def replace(self, prefix: str, values: list[StoredValue]) -> None:
        """Take in a full listing of the shard's jobs.

        A job under way that it does not show was accepted after the listing was read.
        """
        shown = {value.key for value in values}
        for job_id in [job_id for job_id in self._ended if job_key(job_id) not in shown]:
            del self._ended[job_id]
        for value in values:
            self.apply(value)
        self._loaded = True

    def apply(self, change: StoredValue) -> None:
        """Take in one write or removal of a job."""
        job_id = change.key.removeprefix(shard_prefix(self._number))
        if change.value is None:
            self._ended.pop(job_id, None)
            return
        try:
            record = KeptJob.decode(change.value)
        except ValueError as error:
            self._tools.count("keeping.record_malformed")
            log_message(message_type="keeping", text=f"keeping: {job_id}: {error}")
            return
        run = self._runs.get(job_id)
        if run is not None:
            self._see_record(run, record, change.mod_revision)
        elif job_id in self._ended and record.state is KeptState.OPEN:
            return
        elif record.state is not KeptState.OPEN:
            self._ended.setdefault(job_id, _Ended(record.state, change.mod_revision))
        else:
            self._add(job_id, record, change.mod_revision)

    def _add(self, job_id: str, record: KeptJob, revision: int) -> None:
        run = KeptRun(record, revision, self._term, self._may_act, self._save, self._find)
        self._runs[job_id] = run
        if self._loaded:
            run.settle()
        else:
            run.mark_unknown()
        self._tools.owner.adopt(run)

    def _may_act(self) -> bool:
        return not self._closed and self._tools.lease.is_valid(self._lease_id)

    def _see_record(self, run: KeptRun, record: KeptJob, revision: int) -> None:
        """Take in a write of a job under way: our own, one of the last keeper, a cancellation."""
        if revision <= run.revision:
            return
        if record.term > self._term.number:
            self._tools.count("keeping.deposed")
            self._forget(run.job.job_id)
            return
        run.revision = revision
        if record.state is KeptState.OPEN:
            run.take_progress(record)
        elif record.state is not run.record.state:
            run.record.state = record.state
            run.unsaved.clear()
            self._close_run(run, record.state)

    def _forget(self, job_id: str) -> None:
        """Drop a job whose record another process has removed."""
        run = self._runs.pop(job_id, None)
        if run is not None:
            self._tools.count("keeping.record_vanished")
            self._tools.owner.drop(run)

    def _close_run(self, run: KeptRun, state: KeptState) -> None:
        """Take note that the end of a job is stored."""
        job_id = run.job.job_id
        self._ended[job_id] = _Ended(state, run.revision)
        self._runs.pop(job_id, None)
        run.changed.set()

    def _take_over(self) -> None:
        if not self._clean:
            gevent.sleep(EARLIER_KEEPER_MS / MS_PER_S)
        self._follower.start()
        while not self._loaded:
            gevent.sleep(FIND_AGAIN_MS / MS_PER_S)
        self._mark_records()
        self._find_unknown()
        for run in list(self._runs.values()):
            if not run.settled:
                run.settle()
        open_jobs = len(self._runs)
        log_message(
            message_type="keeping",
            text="keeping: keeper of shard",
            shard=self._number,
            term=self._term.number,
            open_jobs=open_jobs,
        )

    def _mark_records(self) -> None:
        """Write the term into every open record, so that no late write of an earlier keeper counts.

        What such a write would have added is not acknowledged to its worker and is found there.
        """
        marks = [gevent.spawn(self._mark_record, run) for run in self._runs.values()]
        gevent.joinall(marks, raise_error=True)

    def _mark_record(self, run: KeptRun) -> None:
        run.record.term = self._term.number
        while run.job.job_id in self._runs and not self._closed:
            if run.record.state is not KeptState.OPEN or self._store_record(run):
                return

    def _find(self) -> None:
        """Ask the homes soon for tasks that one of them did not know."""
        if not self._is_finding:
            self._is_finding = True
            gevent.spawn(self._find_all)

    def _find_all(self) -> None:
        try:
            while not self._closed and self._find_unknown():
                continue
        finally:
            self._is_finding = False

    def _find_unknown(self) -> bool:
        """Ask every home for the tasks that may run somewhere; return whether there were any."""
        asked = [(run, task) for run in self._runs.values() for task in run.unknown_tasks()]
        if asked:
            self._ask_every_home()
        for run, task in asked:
            if task.state is TaskState.UNKNOWN and not self._closed:
                task.state = TaskState.WAITING
            run.changed.set()
        return bool(asked)

    def _ask_every_home(self) -> None:
        """Ask until the runs of every worker are known."""
        view = self._tools.view
        missing = set(view.workers)
        while missing and not self._closed:
            homes = [view.home_of(group) for group in view.groups()]
            members = {home.member_id: home for home in homes if home is not None}
            asked = [gevent.spawn(self._ask_home, home) for home in members.values()]
            for answer in gevent.joinall(asked):
                missing -= set(answer.value or ())
            missing &= set(view.workers)
            if missing:
                self._tools.count("keeping.retry.find_tasks")
                gevent.sleep(FIND_AGAIN_MS / MS_PER_S)

    def _ask_home(self, home: Member) -> list[str]:
        """Take in what a home tells; return the workers of which it knows every run."""
        message = AskKeptTasks(self._term.shard, self._term.number)
        try:
            found = self._tools.peers.request(home, message, FIND_TIMEOUT_MS)
        except (LinkLost, Refusal):
            self._tools.count("keeping.retry.ask_home")
            return []
        for row in found.tasks:
            self._take_found(home, row)
        return found.workers

    def _take_found(self, home: Member, row: FoundTask) -> None:
        """Take note of a task that an earlier keeper has started."""
        job_id, _, step, index = row.task.split(".")
        run = self._runs.get(job_id)
        if run is None:
            self._stop_leftover(home, row, job_id)
            return
        task = run.find_task(int(step), int(index))
        if task is None:
            self._tools.count("keeping.unknown_task")
            return
        task.run = max(task.run, row.run + 1)
        result = TaskResult(int(step), int(index), row.run, row.end, row.worker_id)
        if task.state is TaskState.DONE:
            if row.end is not None and run.is_stored():
                self._tell_saved([UnsavedEnd(home.member_id, row.task, row.run)])
            return
        if row.end is TaskEnd.DONE:
            task.home_id = home.member_id
            run.note_done(task, result)
        elif task.state is not TaskState.UNKNOWN:
            return
        elif row.end is TaskEnd.FAILED:
            task.home_id = home.member_id
            run.note_failed(task, result)
        else:
            task.group, task.home_id = row.group, home.member_id
            task.state, task.worker_id = TaskState.MAY_RUN, row.worker_id
            run.touched = True

    def _stop_leftover(self, home: Member, row: FoundTask, job_id: str) -> None:
        """Stop a run of a job that has ended, and let its worker forget an end."""
        self._tools.count("keeping.leftover_run")
        if row.end is None:
            self._tools.peers.send(home, StopTasks(job_of(row.task), self._term))
        elif job_id in self._ended:
            self._tell_saved([UnsavedEnd(home.member_id, row.task, row.run)])

    def _save(self, run: KeptRun) -> None:
        """Store a record soon; changes until then are stored together."""
        if not run.is_saving:
            run.is_saving = True
            gevent.spawn(self._save_all, run)

    def _save_all(self, run: KeptRun) -> None:
        """Store a record until nothing of it is unsaved; the end of the job does not wait."""
        try:
            while run.unsaved and not self._closed and run.job.job_id in self._runs:
                run.has_ended.wait(SAVE_GATHER_MS / MS_PER_S)
                ends, run.unsaved = run.unsaved, []
                if self._store_record(run):
                    self._tell_saved(ends)
                else:
                    run.unsaved = ends + run.unsaved
        finally:
            run.is_saving = False
        state = run.record.state
        if state is not KeptState.OPEN and run.job.job_id in self._runs and not self._closed:
            self._close_run(run, state)

    def _store_record(self, run: KeptRun) -> bool:
        """Write a record once; return whether the store has it now."""
        key = job_key(run.job.job_id)
        try:
            revision = self._tools.writer.write(key, run.stored_form().encode(), run.revision)
        except SwapLost as lost:
            return self._take_other_write(run, lost.current)
        except (StoreUnavailable, SwapUnknown):
            gevent.sleep(SAVE_AGAIN_MS / MS_PER_S)
            return False
        run.revision = max(run.revision, revision)
        return True

    def _take_other_write(self, run: KeptRun, current: StoredValue | None) -> bool:
        """Take in the write that came first; return whether there is nothing more to store."""
        if current is None:
            self._forget(run.job.job_id)
            return True
        record = KeptJob.decode(current.value)
        run.revision = current.mod_revision
        if record.term > self._term.number:
            self._tools.count("keeping.deposed")
            self._forget(run.job.job_id)
            return False
        if record.state is KeptState.OPEN:
            run.take_progress(record)
            return False
        log_decision("keeping", "job ended elsewhere", job=run.job.job_id, state=record.state.value)
        run.record.state = record.state
        return True

    def _tell_saved(self, ends: list[UnsavedEnd]) -> None:
        """Let the homes acknowledge ends to their workers."""
        by_home: dict[str, list[SavedEnd]] = {}
        for end in ends:
            by_home.setdefault(end.home_id, []).append(SavedEnd(end.task, end.run))
        for home_id, saved in by_home.items():
            if not self._tools.peers.send_linked(home_id, EndsSaved(saved)):
                self._tools.count("keeping.saved_end_untold")

    def _remove_old(self) -> None:
        """Remove the records of jobs that ended long enough ago."""
        while True:
            gevent.sleep(SWEEP_MS / MS_PER_S)
            now_s = time.monotonic()
            for job_id, ended in list(self._ended.items()):
                if (now_s - ended.since_s) * MS_PER_S > RETAIN_MS:
                    gevent.spawn(self._remove, job_id, ended)

    def _remove(self, job_id: str, ended: _Ended) -> None:
        if self._ended.pop(job_id, None) is None:
            return
        try:
            self._tools.writer.write(job_key(job_id), None, ended.revision)
        except SwapLost as lost:
            self._tools.count("keeping.remove_lost")
            if lost.current is not None:
                self._ended[job_id] = _Ended(ended.state, lost.current.mod_revision)
        except (StoreUnavailable, SwapUnknown):
            self._tools.count("keeping.retry.remove")
            self._ended[job_id] = _Ended(ended.state, ended.revision)

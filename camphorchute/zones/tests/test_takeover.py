"""Model checking of the ownership record and term recovery; only the network is a model."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from camphorchute.contracts import Refusal
from camphorchute.zones.record import Term, empty_record, with_members, with_recovered_shards
from camphorchute.zones.takeover import TermRecovery, term_recovery
from camphorchute.zones.tests.fakes import member
from camphorchute.zones.view import ZoneView

SHARDS = 2
MEMBERS_MAX = 6

unreached_ids = st.sets(st.integers(0, 6).map("m{}".format), max_size=2)

TERM = Term(4, "a", ("b", "c"))
TERM_WITHOUT_WITNESSES = Term(4, "a", ())


@pytest.mark.parametrize(
    "term, fenced, dead, state",
    [
        (TERM, "a", "", "WHOLE"),
        (TERM, "a", "bc", "WHOLE"),
        (TERM, "bc", "", "WHOLE"),
        (TERM, "bc", "a", "WHOLE"),
        (TERM, "b", "", "OPEN"),
        (TERM, "b", "a", "OPEN"),
        (TERM, "", "a", "OPEN"),
        (TERM, "b", "c", "LOST"),
        (TERM, "", "bc", "LOST"),
        (TERM, "", "abc", "LOST"),
        (TERM_WITHOUT_WITNESSES, "a", "", "WHOLE"),
        (TERM_WITHOUT_WITNESSES, "b", "", "OPEN"),
        (TERM_WITHOUT_WITNESSES, "b", "a", "LOST"),
    ],
)
def test_recovery_state_of_a_term(term, fenced, dead, state):
    assert term_recovery(term, set(fenced), set(dead)) is TermRecovery[state]


class Process:
    """One member: its view, the keys that it holds, and its unfinished operations.

    Attributes:
        running: False while it is paused.
        accepting: shard and name of the keys that a witness acknowledged to it, not confirmed yet.
        recovery: the record, shards and fenced members of a recovery that has begun, or None.
    """

    def __init__(self, member):
        self.member = member
        self.view = ZoneView(member)
        self.ledger = {shard: set() for shard in range(SHARDS)}
        self.running = True
        self.dead = False
        self.accepting = []
        self.recovery = None


class TakeoverMachine(RuleBasedStateMachine):
    """No key is accepted as new twice while members join, leave, pause and die."""

    def __init__(self):
        super().__init__()
        self.processes = {}
        self.record = empty_record("north")
        self.now = 1
        self.created = {}
        self.accepted = set()

    @initialize(hosts=st.lists(st.integers(0, 3), min_size=3, max_size=5))
    def join_first_members(self, hosts):
        for host in hosts:
            self.join(host, set())
        for _ in hosts:
            self.distribute_record(set())

    def running_processes(self):
        return [p for p in self.processes.values() if p.running and not p.dead]

    def pick_running(self, number):
        candidates = self.running_processes()
        return candidates[number % len(candidates)] if candidates else None

    def reachable_process(self, member_id):
        process = self.processes[member_id]
        return process if process.running and not process.dead else None

    def change_members(self, process, members):
        process.view.adopt(self.record)
        self.record = with_members(self.record, members, self.now, 10**9)
        process.view.adopt(self.record)

    @rule(host=st.integers(0, 3), unreached=unreached_ids)
    def join(self, host, unreached):
        alive = [p for p in self.processes.values() if not p.dead]
        if len(alive) >= MEMBERS_MAX:
            return
        process = Process(member(f"m{len(self.processes)}", f"vm{host}"))
        self.processes[process.member.member_id] = process
        self.change_members(process, [*self.record.members, process.member])
        self.distribute_record(unreached)

    @rule(
        number=st.integers(0, 9),
        fault=st.sampled_from(["kill", "pause", "cut"]),
        unreached=unreached_ids,
    )
    def replace(self, number, fault, unreached):
        """A member fails; the others remove it and recover the shards that they can."""
        for witness in range(3):
            self.submit(False, False, witness, True)
        victim, others = self.pick_running(number), self.running_processes()
        if victim is None or len(others) < 2:
            return
        others.remove(victim)
        victim.dead = fault == "kill"
        victim.running = fault != "pause"
        if self.record.is_member(victim.member.member_id):
            remaining = [m for m in self.record.members if m != victim.member]
            if remaining:
                self.change_members(others[0], remaining)
        self.distribute_record(unreached | {victim.member.member_id})
        for resubmit in (True, False, True):
            self.submit(resubmit, False, number % 3, True)

    def distribute_record(self, unreached):
        """Processes that are reached adopt the record and recover the shards that they own."""
        for process in self.running_processes():
            if process.member.member_id not in unreached:
                process.view.adopt(self.record)
                self.recover(process, unreached, True)

    @rule(number=st.integers(0, 9))
    def rejoin(self, number):
        process = self.pick_running(number)
        if process and not self.record.is_member(process.member.member_id):
            self.change_members(process, [*self.record.members, process.member])

    @rule(number=st.integers(0, 9))
    def resume(self, number):
        paused = [p for p in self.processes.values() if not p.running and not p.dead]
        if paused:
            paused[number % len(paused)].running = True

    @rule(unreached=unreached_ids)
    def adopt_record(self, unreached):
        self.distribute_record(unreached)

    @rule(
        resubmit=st.booleans(),
        is_ack_lost=st.booleans(),
        witness=st.integers(0, 2),
        confirms=st.booleans(),
    )
    def submit(self, resubmit, is_ack_lost, witness, confirms):
        """Submit a new key, or all known ones, to every process that believes it is the owner."""
        self.now += 1
        if not resubmit:
            self.created[len(self.created)] = self.now
        for name in list(self.created) if resubmit else [len(self.created) - 1]:
            for owner in self.running_processes():
                if owner.view.owned_term(name % SHARDS):
                    self.accept(owner, name, is_ack_lost, witness)
                    if confirms:
                        self.confirm_accepted(owner)

    def accept(self, owner, name, is_ack_lost, witness):
        shard = name % SHARDS
        lost_until = owner.view.record.shards[shard].lost_unix_ms
        if name in owner.ledger[shard] or (lost_until and self.created[name] <= lost_until):
            return
        owner.ledger[shard].add(name)
        term = owner.view.owned_term(shard)
        if self.acknowledge(term, shard, {name}, witness) and not is_ack_lost:
            owner.accepting.append((shard, name))

    def acknowledge(self, term, shard, names, first):
        if not term.witnesses:
            return True
        order = term.witnesses[first % len(term.witnesses) :] + term.witnesses
        for witness in filter(None, map(self.reachable_process, order)):
            try:
                witness.view.check_term("north", shard, term.number)
            except Refusal:
                return False
            witness.ledger[shard] |= names
            return True
        return False

    @rule(number=st.integers(0, 9))
    def confirm_picked(self, number):
        process = self.pick_running(number)
        if process:
            self.confirm_accepted(process)

    def confirm_accepted(self, owner):
        while owner.accepting:
            shard, name = owner.accepting.pop()
            if owner.view.owned_term(shard) is not None:
                assert name not in self.accepted, "a key was accepted as new twice"
                self.accepted.add(name)

    @rule(number=st.integers(0, 9), unreached=unreached_ids)
    def begin_recovery(self, number, unreached):
        process = self.pick_running(number)
        if process:
            self.recover(process, unreached, False)

    def recover(self, process, unreached, finishes):
        record = process.view.record
        owned = record.shards_of(process.member.member_id) if record.shards else []
        shards = [s for s in owned if s < SHARDS and record.shards[s].pending]
        pending_members = {
            m for s in shards for t in record.shards[s].pending for m in (t.owner, *t.witnesses)
        }
        fenced = set()
        for member_id in pending_members - unreached:
            other = self.reachable_process(member_id)
            if other is not None:
                other.view.adopt(record)
                fenced.add(member_id)
                for shard in shards:
                    process.ledger[shard] |= other.ledger[shard]
        process.recovery = (record, shards, fenced)
        if finishes:
            self.finish_recovery(process, 0)

    @precondition(lambda self: any(p.recovery for p in self.running_processes()))
    @rule(number=st.integers(0, 9), witness=st.integers(0, 2))
    def end_recovery(self, number, witness):
        self.now += 1
        recovering = [p for p in self.running_processes() if p.recovery]
        self.finish_recovery(recovering[number % len(recovering)], witness)

    def finish_recovery(self, process, witness):
        record, shards, fenced = process.recovery
        process.recovery = None
        dead = {name for name, p in self.processes.items() if p.dead}
        lost_at = {}
        for shard in shards:
            old = record.shards[shard]
            states = {term_recovery(t, fenced, dead) for t in old.pending}
            if TermRecovery.OPEN in states:
                continue
            if self.acknowledge(old.current, shard, process.ledger[shard], witness):
                lost_at[shard] = self.now if TermRecovery.LOST in states else 0
        unchanged = {
            s: at for s, at in lost_at.items() if self.record.shards[s] == record.shards[s]
        }
        if unchanged:
            self.record = with_recovered_shards(self.record, process.member.member_id, unchanged)
            process.view.adopt(self.record)


TakeoverMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=25, deadline=None
)
TestTakeover = TakeoverMachine.TestCase

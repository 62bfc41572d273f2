"""Search for sequences of faults under which a task has two runs at the same time.

CI plays the same sequences of each set of faults each time. A longer search is started
by hand, with the number of sequences of each set and the seed of the first one::

    OVERLAP_SEARCH_EXAMPLES=20000 OVERLAP_SEARCH_SEED=7 pytest -s -k SET test_overlap_search.py

The steps of a sequence that is found are printed in the form of ``test_found_sequences.py``. Time
is virtual (:class:`VirtualTime`), so that a sequence of some 20 seconds takes some 50 milliseconds.
"""

import os

import gevent
import pytest
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from camphorchute.runs.tests.search_site import SearchSite, shrink
from camphorchute.runs.tests.virtual_time import VirtualTime

EXAMPLES = int(os.environ.get("OVERLAP_SEARCH_EXAMPLES", "0"))
SEED = int(os.environ.get("OVERLAP_SEARCH_SEED", "1"))
CI_EXAMPLES = 60
STEPS = 20

FAULTS_BY_SET = {
    "restarts": {"submit", "late_start", "restart"},
    "kills": {"submit", "late_start", "restart", "move", "kill"},
    "take_overs": {"take_over"},
    "late_take_overs": {"submit", "late_stops", "late_list", "cut_path", "take_over"},
    "renewals": {"submit", "late_list", "late_stops", "cut_path", "restart", "set_silent"},
    "killed_renewals": {"submit", "late_list", "late_stops", "cut_path", "move", "kill"},
    "lost_owners": {"late_start", "restart", "kill_together"},
    "lost_owners_and_moves": {"late_start", "restart", "move", "kill_together"},
    "lost_owners_and_renewals": {"late_list", "move", "stop_job", "kill_together"},
    "repeated_jobs": {
        "submit",
        "late_start",
        "late_list",
        "late_stops",
        "stop_job",
        "cut_path",
        "restart",
    },
    "claims": {"submit", "late_start", "late_stops", "claim", "hand_over", "cut_path", "cut_owner"},
    "moves": {
        "submit",
        "late_start",
        "late_stops",
        "late_list",
        "move",
        "list",
        "cut_path",
        "cut_owner",
    },
    "unlists": {"submit", "late_start", "late_list", "unlist", "restart", "kill", "lose_answer"},
    "all": {
        "submit",
        "claim",
        "cut_owner",
        "cut_path",
        "hand_over",
        "kill",
        "late_list",
        "late_start",
        "late_stops",
        "list",
        "lose_answer",
        "move",
        "restart",
        "set_silent",
        "stop_job",
        "take_over",
        "unlist",
    },
}

# The first steps of the sequences of a set, and the arguments of its site; others are drawn.
LATE_START = [("delay_next", 0, "start"), ("submit", 0, 0)]
LATE_RENEWAL = [
    ("submit", 0),
    ("submit", 0, 1),
    ("wait", 0.3),
    ("delay_next", 0, "list"),
    ("wait", 1.4),
    ("delay_stops", 0, 6.0),
]
FIRST_STEPS_BY_SET = {
    "lost_owners": LATE_START,
    "lost_owners_and_moves": LATE_START,
    "lost_owners_and_renewals": LATE_RENEWAL,
    "take_overs": [("submit", 0, 0), ("submit", 0, 1), ("delay_stops", 0, 2.5), ("cut_path", 0, 0)],
}
ARGUMENTS_BY_SET = {"take_overs": {"workers": 2, "first_group": 0}}

workers = st.integers(0, 2)
processes = st.integers(0, 3)
groups = owners = st.integers(0, 1)
listing_times_s = st.sampled_from([0.0, 0.2, 0.8, 1.6])
pauses_s = st.integers(1, 30).map(lambda number: round(number * 0.05, 2))


def needs(fault):
    """Return a decorator that limits a rule to the sets with a fault."""
    return precondition(lambda machine: fault in machine.faults)


class OverlapMachine(RuleBasedStateMachine):
    """Sequences of steps of a :class:`SearchSite`.

    Attributes:
        faults: the faults that it may use.
        first_steps: the first steps of each sequence.
        arguments: the arguments of the site, None to draw them.
        site_fields: further arguments of the site.
        played: the number of sequences that were played.
        found: the arguments and steps of the first sequence with two runs of a task, None if there
            was none.
        found_at: the number of that sequence.
    """

    faults = frozenset()
    first_steps = ()
    arguments = None
    site_fields = {}
    played = 0
    found = None
    found_at = None

    def __init__(self):
        super().__init__()
        type(self).played += 1
        self._time = VirtualTime()
        self._time.__enter__()
        self._site, self._arguments, self._steps = None, {}, []

    def _step(self, name, *args):
        self._steps.append((name, *args))
        getattr(self._site, name)(*args)

    @initialize(workers=st.integers(2, 3), first_group=groups)
    def open_site(self, workers, first_group):
        drawn = {"workers": workers, "first_group": first_group}
        self._arguments = (self.arguments or drawn) | self.site_fields
        self._site = SearchSite(**self._arguments)
        for step in self.first_steps:
            self._step(*step)

    @needs("submit")
    @rule(group=groups, owner=owners)
    def submit(self, group, owner):
        self._step("submit", group, owner)

    @rule(duration_s=pauses_s)
    def wait(self, duration_s):
        self._step("wait", duration_s)

    @rule(number=st.integers(0, 2))
    @precondition(lambda machine: machine.faults & {"late_start", "late_list"})
    def deliver(self, number):
        self._step("deliver", number)

    @needs("late_start")
    @rule(worker=workers)
    def delay_start(self, worker):
        self._step("delay_next", worker, "start")

    @needs("late_list")
    @rule(worker=workers)
    def delay_list(self, worker):
        self._step("delay_next", worker, "list")

    @needs("lose_answer")
    @rule(worker=workers, kind=st.sampled_from(["start", "stop", "list"]))
    def lose_answer(self, worker, kind):
        self._step("lose_answer", worker, kind)

    @needs("unlist")
    @rule(worker=workers, duration_s=st.sampled_from([0.3, 1.0, 3.0]))
    def unlist(self, worker, duration_s):
        self._step("unlist", worker, duration_s)

    @needs("late_stops")
    @rule(worker=workers, delay_s=st.sampled_from([0.0, 2.5, 6.0]))
    def delay_stops(self, worker, delay_s):
        self._step("delay_stops", worker, delay_s)

    @needs("restart")
    @rule(worker=workers, listing_s=listing_times_s)
    def restart(self, worker, listing_s):
        self._step("restart", worker, listing_s)

    @needs("move")
    @rule(worker=workers, listing_s=listing_times_s)
    def move(self, worker, listing_s):
        self._step("move", worker, listing_s)

    @needs("list")
    @rule(process=processes)
    def list_workers(self, process):
        self._step("list_workers", process)

    @needs("kill")
    @rule(process=processes)
    def kill(self, process):
        self._step("kill", process)

    @needs("kill_together")
    @rule(owner=owners, process=processes, witness=st.integers(0, 2))
    def kill_together(self, owner, process, witness):
        self._step("kill_together", owner, process, witness)

    @precondition(lambda machine: machine.faults & {"kill", "kill_together", "claim"})
    @rule(group=groups, process=processes)
    def claim(self, group, process):
        self._step("claim", group, process)

    @needs("claim")
    @rule(process=processes)
    def learn_claims(self, process):
        self._step("learn_claims", process)

    @needs("take_over")
    @rule(group=groups, process=processes, owner=owners)
    def take_over(self, group, process, owner):
        self._step("take_over", group, process, owner)

    @needs("hand_over")
    @rule(group=groups, process=processes)
    def hand_over(self, group, process):
        self._step("hand_over", group, process)

    @needs("cut_path")
    @rule(worker=workers, process=processes)
    def cut_path(self, worker, process):
        self._step("cut_path", worker, process)

    @needs("cut_path")
    @rule(worker=workers, process=processes)
    def heal_path(self, worker, process):
        self._step("heal_path", worker, process)

    @needs("set_silent")
    @rule(worker=workers, is_silent=st.booleans())
    def set_silent(self, worker, is_silent):
        self._step("set_silent", worker, is_silent)

    @needs("cut_owner")
    @rule(owner=owners, process=processes)
    def cut_owner(self, owner, process):
        self._step("cut_owner", owner, process)

    @needs("stop_job")
    @rule(job=st.integers(0, 1))
    def stop_job(self, job):
        self._step("stop_job", job)

    @precondition(lambda machine: machine.faults & {"stop_job", "kill_together"})
    @rule(group=groups)
    def resend_job(self, group):
        self._step("resend_job", group)

    @invariant()
    def no_task_has_two_runs(self):
        self._check()

    def teardown(self):
        try:
            if self._site is not None:
                self._site.finish()
                self._check()
                self._site.close()
                gevent.sleep(2.0)
        finally:
            self._time.__exit__()

    def _check(self):
        overlaps = self._site.overlaps() if self._site is not None else []
        if overlaps:
            cls = type(self)
            if cls.found is None:
                cls.found_at, cls.found = cls.played, (self._arguments, list(self._steps))
        assert overlaps == [], (self._arguments, self._steps)


def search(name, examples, number, **site_fields):
    """Search with a set of faults and a seed; return the class of the machines.

    Its attributes say what was found.
    """

    class Machine(OverlapMachine):
        pass

    Machine.faults = frozenset(FAULTS_BY_SET[name])
    Machine.first_steps = FIRST_STEPS_BY_SET.get(name, ())
    Machine.arguments = ARGUMENTS_BY_SET.get(name)
    Machine.site_fields = site_fields
    machine_settings = settings(
        max_examples=examples,
        stateful_step_count=STEPS,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
        print_blob=False,
    )

    def make_machine():
        return Machine()

    seeded = seed(number)(make_machine)
    try:
        run_state_machine_as_test(seeded, settings=machine_settings)
    except Exception:  # noqa: BLE001 - a failure that does not repeat has another type
        if Machine.found is None:
            raise
    return Machine


@pytest.mark.parametrize("name", FAULTS_BY_SET)
def test_no_sequence_of_faults_gives_a_task_two_runs(name):
    machine = search(name, EXAMPLES or CI_EXAMPLES, SEED)
    if machine.found is not None:
        arguments, steps = machine.found
        pytest.fail(f"{machine.found_at} sequences: {arguments}, {shrink(steps, **arguments)}")

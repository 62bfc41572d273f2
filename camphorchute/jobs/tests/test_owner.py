import time

import pytest

from camphorchute.contracts import (
    SHARDS_PER_ZONE,
    Fate,
    Refusal,
    ResultCode,
    TaskOutcome,
    code_info,
)
from camphorchute.contracts.messages import (
    CancelJob,
    CancelTasks,
    FetchJob,
    FindTasks,
    FoundTasks,
    KeyOwner,
    Reach,
    Witness,
)
from camphorchute.jobs.tests.fakes import (
    DEFINITION,
    A,
    B,
    C,
    OwnerHarness,
    make_key,
    make_spec,
    run_greenlets,
    wait_for_answer,
)
from camphorchute.links import LinkLost
from camphorchute.zones.record import ShardRecord, Term
from camphorchute.zones.tests.fakes import WINDOW_MS, member, record_of, refuse_stale_term

KEY = "k"


@pytest.fixture
def harness():
    harness = OwnerHarness()
    yield harness
    harness.owner.close()


def refusal_code(greenlet):
    with pytest.raises(Refusal) as raised:
        greenlet.get(timeout=5)
    return raised.value.code


def test_a_job_runs_on_other_hosts_and_returns_a_complete_answer(harness):
    harness.report_free_slots(B, free_slots=2)
    submitted = harness.submit(KEY, make_spec(3))
    harness.report_free_slots(C)
    assert harness.dispatched_tasks() == [("b", 0), ("b", 1), ("c", 2)]
    harness.complete_tasks(C, KEY, 2)
    harness.complete_tasks(B, KEY, 1, 0)
    answer = wait_for_answer(submitted)
    assert answer.code == 0 and answer.answers == ["answer 0", "answer 1", "answer 2"]


def test_a_witness_acknowledges_the_key_before_a_task_is_dispatched(harness):
    harness.report_free_slots(B)

    def reply_to_witness(member, message):
        assert [entry.key for entry in message.entries] == [KEY]
        assert not harness.dispatch_messages()

    harness.peers.replies[Witness] = reply_to_witness
    harness.submit(KEY)
    assert harness.peers.requests_of(Witness) and harness.dispatch_messages()


def test_a_resubmission_joins_the_job_and_gets_the_same_answer(harness):
    harness.report_free_slots(B)
    first, second = harness.submit(KEY), harness.submit(KEY)
    harness.complete_tasks(B, KEY, 0, 1)
    third = harness.submit(KEY)
    assert wait_for_answer(first) == wait_for_answer(second) == wait_for_answer(third)
    assert sorted(harness.dispatched_tasks()) == [("b", 0), ("b", 1)]


def test_a_resubmission_joins_a_job_that_awaits_its_witness(harness):
    harness.report_free_slots(B)
    joined = []

    def reply_to_witness(member, message):
        if not joined:
            joined.append(harness.submit(KEY))

    harness.peers.replies[Witness] = reply_to_witness
    first = harness.submit(KEY)
    run_greenlets()
    harness.complete_tasks(B, KEY, 0, 1)
    assert wait_for_answer(first) == wait_for_answer(joined[0])
    assert len(harness.dispatched_tasks()) == 2


@pytest.mark.parametrize("known_from", ["open job", "ledger"])
def test_another_body_under_the_same_key_is_a_conflict(harness, known_from):
    harness.report_free_slots(B)
    harness.submit(KEY) if known_from == "open job" else harness.add_accepted_key(KEY)
    assert refusal_code(harness.submit(KEY, make_spec(1))) is ResultCode.KEY_CONFLICT
    assert all(len(message.tasks) == 2 for _, message in harness.dispatch_messages())


@pytest.mark.parametrize(
    "age_ms, lost_ms_ago, code",
    [
        (WINDOW_MS + 1000, None, ResultCode.KEY_EXPIRED),
        (-60_000, None, ResultCode.KEY_INVALID),
        (0, None, None),
        (30_000, 20_000, ResultCode.RECORDS_LOST),
        (18_000, 20_000, ResultCode.RECORDS_LOST),
        (10_000, 20_000, None),
        (None, 20_000, ResultCode.RECORDS_LOST),
        (None, WINDOW_MS + 1000, ResultCode.RECORDS_LOST),
        (None, WINDOW_MS + 30_000, None),
    ],
)
def test_keys_that_are_too_old_or_whose_records_were_lost_are_refused(age_ms, lost_ms_ago, code):
    lost_unix_ms = round(time.time() * 1000) - lost_ms_ago if lost_ms_ago else 0
    harness = OwnerHarness(lost_unix_ms=lost_unix_ms)
    harness.report_free_slots(B)
    submitted = harness.submit(KEY if age_ms is None else make_key(age_ms))
    if code is None:
        assert harness.dispatch_messages()
    else:
        assert refusal_code(submitted) is code
        assert not harness.dispatch_messages()
        assert not any(message.entries for _, message in harness.peers.requests_of(Witness))
    harness.owner.close()


@pytest.mark.parametrize(
    "unreachable, answer, code",
    [("bc", None, ResultCode.NO_WITNESS), ("", refuse_stale_term, ResultCode.STALE_TERM)],
)
def test_nothing_is_dispatched_without_an_acknowledgement(harness, unreachable, answer, code):
    harness.report_free_slots(B)
    harness.peers.unreachable = set(unreachable)
    if answer:
        harness.peers.replies[Witness] = answer
    assert refusal_code(harness.submit(KEY)) is code
    harness.peers.unreachable = set()
    harness.report_free_slots(C)
    assert not harness.dispatch_messages()


def test_a_job_without_an_acknowledgement_can_be_resubmitted(harness):
    harness.report_free_slots(B)
    harness.peers.unreachable = {"b", "c"}
    assert refusal_code(harness.submit(KEY)) is ResultCode.NO_WITNESS
    harness.peers.unreachable = set()
    resubmitted = harness.submit(KEY)
    harness.complete_tasks(B, KEY, 0, 1)
    assert wait_for_answer(resubmitted).code == 0 and len(harness.dispatched_tasks()) == 2


def test_nothing_is_dispatched_when_the_shard_moves_during_the_acknowledgement(harness):
    harness.report_free_slots(B)
    harness.peers.replies[Witness] = lambda member, message: harness.move_shards_away()
    assert refusal_code(harness.submit(KEY)) is ResultCode.NOT_OWNER
    assert not harness.dispatch_messages()


def test_callers_of_a_moved_job_are_redirected_to_the_new_owner(harness):
    submitted = harness.submit(KEY)
    harness.move_shards_away()
    harness.report_free_slots(B)
    assert refusal_code(submitted) is ResultCode.NOT_OWNER
    assert refusal_code(harness.submit(KEY)) is ResultCode.NOT_OWNER
    assert not harness.dispatch_messages()


@pytest.mark.parametrize(
    "outcome", ["another scheduler", "duplicate", "after the end", "wrong index"]
)
def test_mismatched_duplicate_and_late_outcomes_change_nothing(harness, outcome):
    harness.report_free_slots(B)
    submitted = harness.submit(KEY)
    harness.complete_tasks(B, KEY, 0)
    if outcome == "another scheduler":
        harness.complete_tasks(C, KEY, 1)
    elif outcome == "duplicate":
        harness.complete_tasks(B, KEY, 0)
    elif outcome == "wrong index":
        harness.complete_tasks(B, KEY, 7, -1)
    else:
        harness.complete_tasks(B, KEY, 1)
        harness.complete_tasks(B, KEY, 1)
    assert submitted.ready() is (outcome == "after the end")
    harness.complete_tasks(B, KEY, 1)
    assert wait_for_answer(submitted).answers == ["answer 0", "answer 1"]


def test_a_failed_task_fails_the_job_and_cancels_the_other_tasks(harness):
    harness.report_free_slots(B)
    submitted = harness.submit(KEY)
    harness.complete_tasks(B, KEY, 1, code=ResultCode.TASK_FAILED)
    answer = wait_for_answer(submitted)
    assert answer.code == ResultCode.TASK_FAILED and answer.answers == []
    assert answer.tasks_maybe_run == [0, 1]
    assert [to for to, _ in harness.peers.sent_of(CancelTasks)] == ["b"]


@pytest.mark.parametrize(
    "code",
    [
        ResultCode.NO_SLOT,
        ResultCode.STALE_TERM,
        ResultCode.LEAVING,
        ResultCode.NO_WORKER,
        ResultCode.LEDGER_FULL,
        ResultCode.FITS_NO_WORKER,
        ResultCode.CANCELLED_BEFORE_START,
    ],
)
def test_returned_tasks_are_dispatched_to_another_scheduler(harness, code):
    harness.report_free_slots(B)
    submitted = harness.submit(KEY)
    harness.return_tasks(B, KEY, code)
    harness.report_free_slots(B, free_slots=0)
    harness.report_free_slots(C)
    harness.return_tasks(B, KEY, code)
    harness.complete_tasks(C, KEY, 0, 1)
    assert wait_for_answer(submitted).code == 0
    assert harness.dispatched_tasks()[2:] == [("c", 0), ("c", 1)]


FOUND_CASES = {
    "running": ([], [0, 1]),
    "ended": ([0, 1], []),
    "never started": ([], []),
    "some": ([0], []),
}


@pytest.mark.parametrize("found", FOUND_CASES)
def test_a_known_key_is_resumed_from_the_tasks_that_schedulers_hold(harness, found):
    ended, running = FOUND_CASES[found]
    harness.add_accepted_key(KEY)

    def reply_found_tasks(scheduler, message):
        if scheduler != B:
            return FoundTasks(KEY, [], [])
        return FoundTasks(KEY, [TaskOutcome(i, 0, f"answer {i}") for i in ended], running)

    harness.peers.replies[FindTasks] = reply_found_tasks
    harness.report_free_slots(C)
    submitted = harness.submit(KEY)
    assert {to for to, _ in harness.peers.requests_of(FindTasks)} == {"a", "b", "c"}
    assert [i for _, i in harness.dispatched_tasks()] == [
        i for i in (0, 1) if i not in ended + running
    ]
    harness.complete_tasks(B, KEY, *running)
    harness.complete_tasks(C, KEY, *[i for _, i in harness.dispatched_tasks()])
    assert wait_for_answer(submitted).answers == ["answer 0", "answer 1"]


def test_a_resumed_job_dispatches_nothing_before_every_scheduler_has_replied(harness):
    harness.add_accepted_key(KEY)
    harness.peers.unreachable = {"c"}
    harness.report_free_slots(B)
    submitted = harness.submit(KEY, remaining_ms=400)
    assert not harness.dispatch_messages()
    answer = wait_for_answer(submitted)
    assert answer.fate is Fate.MAY_HAVE_RUN and answer.tasks_maybe_run == [0, 1]


def test_a_task_of_a_dead_scheduler_that_no_worker_reports_fails_the_job(harness, monkeypatch):
    monkeypatch.setattr("camphorchute.jobs.recovery.SEARCH_TIMEOUT_MS", 100.0)
    monkeypatch.setattr("camphorchute.jobs.recovery.SEARCH_INTERVAL_MS", 20.0)
    harness.add_accepted_key(KEY)
    harness.peers.unreachable = {"c"}
    harness.deaths.record_death(C)
    answer = wait_for_answer(harness.submit(KEY))
    assert answer.fate is Fate.MAY_HAVE_RUN and answer.tasks_maybe_run == [0, 1]
    assert not harness.dispatch_messages()


OWN_KEY_OWNER = KeyOwner("a", "vm-a", Reach.OTHER_HOSTS)


def cancel_job(harness):
    harness.owner.cancel(B, CancelJob(KEY))


def submit_without_witnesses(harness):
    harness.peers.replies[FindTasks] = lambda scheduler, message: FoundTasks(
        KEY, [], [0] if scheduler == B else []
    )
    harness.peers.replies[Witness] = lose_link
    harness.submit(KEY)


def lose_link(member, message):
    raise LinkLost(member.member_id)


@pytest.mark.parametrize("owners", [[OWN_KEY_OWNER], [KeyOwner("gone", "vm-gone", Reach.ANY)]])
@pytest.mark.parametrize("cause", ["deadline", "cancel", "no witness"])
def test_a_resumed_job_is_never_reported_as_not_run(harness, owners, cause):
    harness.add_accepted_key(KEY, owners)
    harness.report_free_slots(B)
    if cause == "no witness":
        submit_without_witnesses(harness)
    else:
        harness.peers.unreachable = {"b", "c"}
    submitted = harness.submit(KEY, remaining_ms=100.0 if cause == "deadline" else 30_000.0)
    if cause == "cancel":
        cancel_job(harness)
    answer = wait_for_answer(submitted)
    assert answer.fate not in (Fate.NOT_RUN, Fate.RAN), answer


def test_a_job_whose_answer_was_dropped_is_not_reported_as_not_run(harness):
    harness.report_free_slots(B)
    first = harness.submit(KEY)
    harness.complete_tasks(B, KEY, 0, 1)
    assert wait_for_answer(first).code == 0
    harness.owner._jobs.retention_ms = 0
    harness.owner._jobs.clear()
    harness.peers.unreachable = {"b", "c"}
    assert wait_for_answer(harness.submit(KEY, remaining_ms=100.0)).fate is not Fate.NOT_RUN


@pytest.mark.parametrize("cause", ["deadline", "cancel"])
def test_a_new_job_that_was_not_dispatched_is_reported_as_not_run(harness, cause):
    submitted = harness.submit(KEY, remaining_ms=100.0 if cause == "deadline" else 30_000.0)
    if cause == "cancel":
        cancel_job(harness)
    assert wait_for_answer(submitted).fate is Fate.NOT_RUN
    harness.report_free_slots(B)
    assert not harness.dispatch_messages()


@pytest.mark.parametrize("refusal", ["deadline", "cancel", "unknown service", "full", "conflict"])
def test_a_superseded_owner_does_not_report_a_job_as_not_run(refusal):
    """The new owner may have run the job; the witnesses refuse the term of the old owner."""
    harness = OwnerHarness(definition=None if refusal == "unknown service" else DEFINITION)
    if refusal in ("deadline", "cancel"):
        submitted = harness.submit(KEY, remaining_ms=150.0)
    harness.peers.replies[Witness] = refuse_stale_term
    if refusal == "cancel":
        with pytest.raises(Refusal, match="not_owner"):
            cancel_job(harness)
    if refusal == "full":
        harness.ledger.max_keys = 0
    if refusal == "conflict":
        harness.add_accepted_key(KEY, job_spec=make_spec(7))
    if refusal not in ("deadline", "cancel"):
        submitted = harness.submit(KEY)
    try:
        code = ResultCode(wait_for_answer(submitted).code)
    except Refusal as raised:
        code = raised.code
    harness.owner.close()
    redirected = code in (ResultCode.NOT_OWNER, ResultCode.STALE_TERM)
    assert redirected or code_info(code).fate is not Fate.NOT_RUN


def test_a_dispatched_task_is_listed_as_maybe_run_when_the_deadline_passes(harness):
    harness.report_free_slots(B, free_slots=1)
    answer = wait_for_answer(harness.submit(KEY, remaining_ms=100.0))
    assert answer.code == ResultCode.DEADLINE_PASSED and answer.tasks_maybe_run == [0]


def test_a_job_that_was_reported_as_not_run_can_be_resubmitted(harness):
    assert wait_for_answer(harness.submit(KEY, remaining_ms=100.0)).fate is Fate.NOT_RUN
    resubmitted = harness.submit(KEY)
    harness.report_free_slots(B)
    harness.complete_tasks(B, KEY, 0, 1)
    assert wait_for_answer(resubmitted).code == 0


def test_a_joined_submission_is_redirected_when_the_term_is_stale(harness):
    joined = []

    def reply_to_witness(member, message):
        joined.append(harness.submit(KEY))
        refuse_stale_term(member, message)

    harness.peers.replies[Witness] = reply_to_witness
    assert refusal_code(harness.submit(KEY)) is ResultCode.STALE_TERM
    with pytest.raises(Refusal) as raised:
        joined[0].get(timeout=5)
    assert raised.value.code in (ResultCode.NOT_OWNER, ResultCode.STALE_TERM)


@pytest.mark.parametrize("scheduler_id", ["a", "a2"])
def test_tasks_are_dispatched_on_the_own_host_only_after_a_witness_recorded_them(scheduler_id):
    scheduler = A if scheduler_id == "a" else member("a2", "vm-a")
    harness = OwnerHarness(members=(A, B, C) if scheduler == A else (A, scheduler, B, C))
    harness.submit(KEY)
    requests_before = len(harness.peers.requests_of(Witness))

    def reply_to_witness(member, message):
        assert not harness.dispatch_messages()

    harness.peers.replies[Witness] = reply_to_witness
    harness.report_free_slots(scheduler, free_slots=1)
    requests = harness.peers.requests_of(Witness)[requests_before:]
    assert bool(harness.dispatch_messages()) is bool(requests)
    assert all(0 in message.entries[0].local for _, message in requests)
    harness.peers.replies[Witness] = lose_link
    dispatched_count = len(harness.dispatch_messages())
    harness.report_free_slots(scheduler, free_slots=1)
    assert len(harness.dispatch_messages()) == dispatched_count
    harness.owner.close()


def test_fetch_returns_the_answer_and_refuses_an_unknown_key(harness):
    harness.report_free_slots(B)
    harness.submit(KEY)
    assert harness.owner.fetch(C, FetchJob(KEY, 1.0)).answer.code == ResultCode.ACCEPTED
    harness.complete_tasks(B, KEY, 0, 1)
    assert harness.owner.fetch(C, FetchJob(KEY, 0.0)).answer.answers == ["answer 0", "answer 1"]
    with pytest.raises(Refusal) as raised:
        harness.owner.fetch(C, FetchJob("other", 0.0))
    assert raised.value.code is ResultCode.JOB_UNKNOWN


def test_nothing_is_dispatched_after_a_higher_term_was_seen(harness):
    harness.submit(KEY)
    for shard in range(SHARDS_PER_ZONE):
        harness.view.check_term("north", shard, 99)
    harness.report_free_slots(B)
    run_greenlets()
    assert not harness.dispatch_messages()


def test_a_failed_acceptance_does_not_remove_a_later_job_of_the_key(harness):
    """The shard moves away and returns while the witnesses of the first term are unresponsive."""
    harness.report_free_slots(B)
    later_submissions = []

    def reply_to_witness(member, message):
        if message.term == 1 and not later_submissions:
            harness.move_shards_away()
            regained_record = record_of([A, B, C], harness.view.record)
            terms = [Term(regained_record.version, "a", ("b", "c")), Term(1, "a", ("b", "c"))]
            regained_record.shards = [
                ShardRecord(terms[0], terms[1:]) for _ in regained_record.shards
            ]
            harness.view.adopt(regained_record)
            later_submissions.append(harness.submit(KEY))
            run_greenlets()
        if message.term == 1:
            raise LinkLost(member.member_id)

    harness.peers.replies[Witness] = reply_to_witness
    first = harness.submit(KEY)
    run_greenlets()
    assert refusal_code(first) in (ResultCode.NO_WITNESS, ResultCode.NOT_OWNER)
    harness.report_free_slots(B)
    harness.complete_tasks(B, KEY, 0, 1)
    assert wait_for_answer(later_submissions[0]).code == 0
    assert sorted(harness.dispatched_tasks()) == [("b", 0), ("b", 1)]


def test_a_job_cancelled_during_its_acknowledgement_leaves_no_pending_tasks(harness):
    requests = []

    def reply_to_witness(member, message):
        requests.append(message)
        if len(requests) == 1:
            cancel_job(harness)

    harness.peers.replies[Witness] = reply_to_witness
    assert wait_for_answer(harness.submit(KEY)).code == ResultCode.CANCELLED_BEFORE_START
    assert harness.dispatcher.pending_task_count("flags") == 0
    harness.report_free_slots(B)
    assert not harness.dispatch_messages()

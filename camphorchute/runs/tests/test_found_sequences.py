"""Sequences of faults under which a task had two runs at the same time, as a search found them."""

import pytest

from camphorchute.runs.tests.search_site import play

# A renewal without an answer, sent while the job is wanted; stop commands are late from then on.
LATE_RENEWAL = [
    ("submit", 0),
    ("submit", 0, 1),
    ("wait", 0.3),
    ("delay_next", 0, "list"),
    ("wait", 1.2),
    ("delay_stops", 0, 6.0),
]

# Owner, scheduler and one witness are lost at once; nobody alive knew of the start, or of the run
# that a late renewal keeps alive, unless the scheduler had announced it to two witnesses.
LOST_TOGETHER = {
    "late_start_of_a_lost_process_for_a_lost_owner": (
        {"workers": 2, "first_group": 1},
        [
            ("delay_next", 0, "start"),
            ("submit", 0),
            ("restart", 0, 0.8),
            ("kill_together", 0, 0, 0),
            ("resend_job", 1),
        ],
    ),
    "late_start_of_a_lost_process_for_a_lost_owner_beside_the_other_witness": (
        {"workers": 2, "first_group": 1},
        [
            ("delay_next", 0, "start"),
            ("submit", 0),
            ("restart", 0, 0.8),
            ("kill_together", 0, 0, 1),
            ("resend_job", 1),
        ],
    ),
    "late_start_of_a_lost_process_on_a_worker_in_the_group_of_another": (
        {"workers": 3, "first_group": 0},
        [
            ("delay_next", 0, "start"),
            ("submit", 0),
            ("restart", 0, 0.2),
            ("move", 2, 1.6),
            ("kill_together", 0, 0, 1),
            ("move", 2, 0.2),
            ("resend_job", 1),
        ],
    ),
    "late_renewal_of_a_lost_process_for_a_lost_owner": (
        {"workers": 3, "first_group": 1},
        [
            *LATE_RENEWAL,
            ("wait", 0.2),
            ("kill_together", 0, 0, 0),
            ("deliver", 0),
            ("resend_job", 1),
        ],
    ),
}

SEQUENCES = {
    # A start without an answer was carried out by the next incarnation of its worker, beside the
    # run on another one. It was found by the set of faults "restarts".
    "late_start_after_a_restart": (
        {"workers": 2, "first_group": 1},
        [
            ("delay_next", 0, "start"),
            ("submit", 0, 0),
            ("wait", 1.95),
            ("restart", 0, 0.8),
            ("deliver", 0),
        ],
    ),
    # Of two late starts of one task, and of the next incarnation on the same worker ("restarts").
    "two_restarts_of_the_worker": (
        {"workers": 2, "first_group": 0},
        [
            ("delay_next", 1, "start"),
            ("submit", 1, 1),
            ("delay_next", 0, "start"),
            ("wait", 1.3),
            ("restart", 1, 1.6),
            ("wait", 0.45),
            ("deliver", 1),
            ("restart", 1, 0.2),
        ],
    ),
    # The process that had sent the start was killed; nobody alive knew of the start ("kills").
    "late_start_of_a_killed_process_on_a_moved_worker": (
        {"workers": 2, "first_group": 0},
        [
            ("delay_next", 0, "start"),
            ("submit", 0, 1),
            ("restart", 0, 0.8),
            ("move", 0, 0.8),
            ("kill", 0),
            ("move", 1, 1.6),
            ("kill", 1),
            ("claim", 0, 2),
        ],
    ),
    "late_start_of_a_killed_process_where_no_higher_token_was_seen": (
        {"workers": 3, "first_group": 1},
        [
            ("delay_next", 0, "start"),
            ("submit", 0),
            ("kill", 0),
            ("restart", 0, 0.3),
            ("move", 0, 0.0),
            ("claim", 0, 2),
            ("wait", 2.0),
        ],
    ),
    # Each of two later processes renewed the leases during its grace for orphans ("take_overs").
    "two_take_overs": (
        {"workers": 2, "first_group": 0},
        [
            ("submit", 0),
            ("submit", 0, 1),
            ("delay_stops", 0, 2.5),
            ("cut_path", 0, 0),
            ("wait", 0.85),
            ("take_over", 0, 1, 1),
            ("wait", 0.55),
            ("take_over", 0, 2, 1),
            ("wait", 3.0),
        ],
    ),
    "take_over_and_return": (
        {"workers": 2, "first_group": 0},
        [
            ("submit", 0, 1),
            ("delay_stops", 0, 2.5),
            ("cut_path", 0, 0),
            ("wait", 0.5),
            ("take_over", 0, 1, 1),
            ("take_over", 1, 0, 0),
            ("wait", 0.35),
            ("wait", 0.7),
            ("take_over", 0, 0, 1),
        ],
    ),
    # Renewals of a killed process were carried out late; nobody alive knew that it had sent them.
    "late_renewals_of_a_killed_process": (
        {"workers": 3, "first_group": 0},
        [
            ("submit", 0),
            ("wait", 0.3),
            ("delay_next", 0, "list"),
            ("wait", 0.9),
            ("delay_next", 0, "list"),
            ("wait", 0.6),
            ("cut_path", 0, 1),
            ("move", 0, 0.0),
            ("kill", 0),
            ("claim", 0, 2),
            ("deliver", 0),
            ("deliver", 0),
        ],
    ),
    # The start of a run was repeated at the next incarnation and answered there while the first
    # command was still awaited; that one counted no longer as under way ("kills", seed 101).
    "late_start_whose_repetition_was_answered_first": (
        {"workers": 2, "first_group": 0},
        [
            ("delay_next", 0, "start"),
            ("restart", 0, 0.0),
            ("submit", 0),
            ("wait", 1.0),
            ("restart", 0, 0.8),
        ],
    ),
    "late_start_whose_repetition_was_answered_first_on_a_moved_worker": (
        {"workers": 3, "first_group": 0},
        [
            ("delay_next", 0, "start"),
            ("restart", 0, 0.0),
            ("submit", 0, 1),
            ("move", 0, 0.0),
            ("submit", 0, 1),
            ("restart", 0, 0.8),
            ("move", 0, 0.8),
        ],
    ),
    # A renewal that was sent while the job was wanted was carried out after its end, and its stop
    # commands were late; the job was sent again beside its run.
    "late_renewal_of_a_run_whose_job_was_sent_again": (
        {"workers": 3, "first_group": 0},
        [
            *LATE_RENEWAL,
            ("stop_job", 0),
            ("deliver", 0),
            ("resend_job", 1),
        ],
    ),
    # The same, sent again to the same process, which has another worker in its group.
    "late_renewal_of_a_run_whose_job_was_sent_again_to_its_scheduler": (
        {"workers": 2, "first_group": 0},
        [*LATE_RENEWAL, ("stop_job", 0), ("deliver", 0), ("resend_job", 0), ("wait", 1.0)],
    ),
    # Two renewals: the second one is carried out while the first one keeps the run alive.
    "two_late_renewals_of_a_run_whose_job_was_sent_again": (
        {"workers": 3, "first_group": 0},
        [
            ("submit", 0),
            ("submit", 0, 1),
            ("wait", 0.3),
            ("delay_next", 0, "list"),
            ("wait", 0.6),
            ("delay_next", 0, "list"),
            ("wait", 0.6),
            ("delay_stops", 0, 6.0),
            ("stop_job", 0),
            ("deliver", 0),
            ("deliver", 0),
            ("resend_job", 1),
        ],
    ),
    # A start without an answer extends the lease of the other runs of its worker as well.
    "late_start_of_another_task_beside_a_run_whose_job_was_sent_again": (
        {"workers": 3, "first_group": 0},
        [
            ("submit", 0),
            ("wait", 0.3),
            ("delay_next", 0, "start"),
            ("submit", 0, 1),
            ("wait", 1.2),
            ("delay_stops", 0, 6.0),
            ("stop_job", 0),
            ("deliver", 0),
            ("resend_job", 1),
        ],
    ),
    # What ends the proof by lists: the link, the listing, the group, the incarnation, the process.
    "late_renewal_at_a_worker_that_is_not_reached": (
        {"workers": 3, "first_group": 0},
        [*LATE_RENEWAL, ("stop_job", 0), ("cut_path", 0, 0), ("deliver", 0), ("resend_job", 1)],
    ),
    "late_renewal_at_a_worker_that_is_not_listed": (
        {"workers": 3, "first_group": 0},
        [*LATE_RENEWAL, ("stop_job", 0), ("unlist", 0, 3.0), ("deliver", 0), ("resend_job", 1)],
    ),
    "late_renewal_at_a_worker_that_was_not_listed_at_the_stop": (
        {"workers": 2, "first_group": 0},
        [*LATE_RENEWAL, ("unlist", 0, 1.0), ("stop_job", 0), ("deliver", 0), ("resend_job", 0)],
    ),
    "late_renewal_at_a_worker_that_moved": (
        {"workers": 3, "first_group": 0},
        [*LATE_RENEWAL, ("stop_job", 0), ("move", 0, 0.3), ("deliver", 0), ("resend_job", 1)],
    ),
    # The scheduler left the run before the stop; the next one had granted its worker nothing.
    "late_renewal_at_a_worker_that_moved_twice_before_the_stop": (
        {"workers": 3, "first_group": 1},
        [
            *LATE_RENEWAL,
            ("move", 0, 0.0),
            ("wait", 0.1),
            ("move", 0, 0.0),
            ("stop_job", 0),
            ("deliver", 0),
            ("resend_job", 1),
            ("wait", 1.0),
        ],
    ),
    "late_renewal_at_a_restarted_worker": (
        {"workers": 3, "first_group": 0},
        [*LATE_RENEWAL, ("stop_job", 0), ("restart", 0, 0.8), ("deliver", 0), ("resend_job", 1)],
    ),
    "late_renewal_of_a_process_that_was_killed_after_the_stop": (
        {"workers": 3, "first_group": 0},
        [
            *LATE_RENEWAL,
            ("stop_job", 0),
            ("wait", 0.3),
            ("kill", 0),
            ("deliver", 0),
            ("resend_job", 1),
        ],
    ),
    "late_renewal_of_a_process_that_was_killed_at_the_stop": (
        {"workers": 3, "first_group": 0},
        [*LATE_RENEWAL, ("stop_job", 0), ("kill", 0), ("deliver", 0), ("resend_job", 1)],
    ),
    # The same a little later, so that a lease of 850 ms lasts until the renewal arrives.
    "late_renewal_of_a_process_that_was_killed_at_a_later_stop": (
        {"workers": 3, "first_group": 0},
        [
            *LATE_RENEWAL,
            ("wait", 0.2),
            ("stop_job", 0),
            ("kill", 0),
            ("deliver", 0),
            ("resend_job", 1),
        ],
    ),
    "late_renewal_of_a_process_that_was_killed_before_the_stop": (
        {"workers": 3, "first_group": 0},
        [*LATE_RENEWAL, ("kill", 0), ("stop_job", 0), ("deliver", 0), ("resend_job", 1)],
    ),
    **LOST_TOGETHER,
    # Others had heard that the task was bound to a worker, and took that for the place of its later
    # run, which was active on another worker that had moved ("lost_owners_and_renewals", seed 7).
    "later_run_on_another_worker_than_the_one_that_others_take_for_bound": (
        {"workers": 3, "first_group": 0},
        [
            *LATE_RENEWAL,
            ("wait", 0.2),
            ("deliver", 0),
            ("kill_together", 0, 2, 0),
            ("resend_job", 0),
            ("claim", 0, 3),
            ("move", 1, 0.2),
        ],
    ),
    "late_renewal_after_the_second_start": (
        {"workers": 3, "first_group": 0},
        [*LATE_RENEWAL, ("stop_job", 0), ("resend_job", 1), ("deliver", 0), ("wait", 1.0)],
    ),
}


@pytest.mark.parametrize("name", SEQUENCES)
def test_found_sequence_gives_no_task_two_runs(name):
    arguments, steps = SEQUENCES[name]
    assert play(steps, **arguments) == []


# Without announcements the sequences do give a task two runs, so that they still test what they are
# to test.
@pytest.mark.parametrize(
    "name", [*LOST_TOGETHER, "late_renewal_of_a_process_that_was_killed_at_a_later_stop"]
)
def test_sequence_gives_a_task_two_runs_unless_starts_are_announced(name):
    arguments, steps = SEQUENCES[name]
    assert play(steps, **arguments, are_starts_announced=False) != []

import json

import pytest

from bench.run_faults.run_gaps import StartLog, find_gaps, lines_of_job
from bench.standins.run_record import RunRecord

EPOCH_S = 1000.0
EXPIRED = "its leases must have expired"
SEEN, RULED_OUT = "its scheduler saw it end", "its worker ruled it out"
SILENT = "the worker did not answer until its leases expired"
LISTED = "the worker listed its completion"


def make_run(task, number, started_s, ended_s, worker_id):
    run = RunRecord(task, number, 0.0, worker_id, 1)
    run.started_s, run.ended_s = started_s, ended_s
    return run


def write_log(folder, name, *lines):
    (folder / f"entry-{name}.log").write_text("".join(json.dumps(line) + "\n" for line in lines))


def starts_again(logged_s, run, worker, evidence, earlier_worker="w1", task="j.0.0.0"):
    return {
        "text": "runs: task starts again",
        "timestamp": EPOCH_S + logged_s,
        "task": task,
        "run": run,
        "worker": worker,
        "evidence": evidence,
        "earlier_worker": earlier_worker,
    }


def run_not_done(run, worker, evidence):
    return {
        "text": "runs: run not done",
        "timestamp": EPOCH_S,
        "task": "j.0.0.0",
        "run": run,
        "worker": worker,
        "evidence": evidence,
    }


@pytest.mark.parametrize(
    ("later_run", "lines", "expected"),
    [
        (1, [], "none"),
        (2, [], "not logged"),
        (2, [starts_again(2.0, 2, "w2", EXPIRED)], EXPIRED),
        (2, [starts_again(2.0, 2, "w3", EXPIRED)], "not logged"),
        (2, [starts_again(2.0, 2, "w2", RULED_OUT)], RULED_OUT),
        (2, [starts_again(2.0, 2, "w2", SEEN)], SEEN),
        (2, [starts_again(2.0, 2, "w2", SEEN, "")], SEEN),
        (2, [starts_again(2.0, 2, "w2", SEEN, "w3")], "of another run"),
        (2, [starts_again(2.0, 2, "w2", RULED_OUT, "w3")], "of another run"),
        (2, [run_not_done(1, "w1", SILENT), starts_again(2.0, 2, "w2", SEEN)], SILENT),
        (2, [run_not_done(1, "w1", LISTED), starts_again(2.0, 2, "w2", SEEN)], SEEN),
        (2, [run_not_done(1, "w3", SILENT), starts_again(2.0, 2, "w2", SEEN)], SEEN),
        (2, [starts_again(1.0, 2, "w2", SEEN), starts_again(2.0, 2, "w2", EXPIRED)], EXPIRED),
        (2, [starts_again(2.0, 2, "w2", SEEN), starts_again(2.6, 2, "w2", EXPIRED)], SEEN),
        (2, [starts_again(2.6, 2, "w2", EXPIRED)], "not logged"),
    ],
)
def test_evidence_of_a_start_is_the_one_it_was_logged_with(tmp_path, later_run, lines, expected):
    write_log(tmp_path, "a", *lines)
    runs = [make_run("j.0.0.0", 1, 1.0, 2.0, "w1"), make_run("j.0.0.0", later_run, 2.5, 3.0, "w2")]
    assert [gap.evidence for gap in find_gaps(runs, StartLog(tmp_path, EPOCH_S))] == [expected]


@pytest.mark.parametrize(
    ("evidence", "start_s", "expected"),
    [
        (EXPIRED, 2.059, [True]),
        (EXPIRED, 2.061, [False]),
        (EXPIRED, 1.9, [False]),
        (SILENT, 2.01, [True]),
        (SEEN, 2.001, [False]),
        (RULED_OUT, 2.001, [False]),
        (None, 2.059, [True]),
    ],
)
def test_start_that_relies_on_time_keeps_a_margin(tmp_path, evidence, start_s, expected):
    write_log(tmp_path, "a", *([starts_again(1.5, 2, "w2", evidence)] if evidence else []))
    runs = [make_run("j.0.0.0", 1, 1.0, 2.0, "w1"), make_run("j.0.0.0", 2, start_s, 3.0, "w2")]
    gaps = find_gaps(runs, StartLog(tmp_path, EPOCH_S))
    assert [gap.is_too_short for gap in gaps] == expected


@pytest.mark.parametrize(
    ("rows", "expected_ms"),
    [
        ([("j", 1, 1.0, 2.0, "w1"), ("j", 2, 2.5, 3.0, "w2")], [500]),
        ([("j", 1, 1.0, 2.0, "w1"), ("j", 2, 2.5, 3.0, "w1")], []),
        ([("j", 1, 1.0, 0.0, "w1"), ("j", 2, 2.5, 3.0, "w2")], []),
        ([("j", 1, 1.0, 2.0, "w1"), ("k", 2, 2.5, 3.0, "w2")], []),
        ([("j", 2, 2.5, 3.0, "w2"), ("j", 1, 1.0, 2.0, "w1")], [500]),
        ([("j", 1, 1, 2, "w1"), ("j", 2, 3, 4, "w2"), ("j", 3, 6, 7, "w1")], [1000, 2000]),
    ],
)
def test_gaps_are_between_successive_runs_on_two_workers(tmp_path, rows, expected_ms):
    gaps = find_gaps([make_run(*row) for row in rows], StartLog(tmp_path, EPOCH_S))
    assert [round(gap.duration_ms) for gap in gaps] == expected_ms


def test_lines_of_a_job_are_listed_by_time_and_broken_ones_are_left_out(tmp_path):
    write_log(tmp_path, "a", starts_again(3.0, 2, "w2", SEEN), {"text": "other", "job": "k"})
    write_log(tmp_path, "b", starts_again(2.0, 1, "w1", SEEN))
    with (tmp_path / "entry-b.log").open("a") as log:
        log.write('{"task": "j.0.0.0", "tex')
    lines = lines_of_job(tmp_path, "j.0.0.0", EPOCH_S)
    assert [line[:16] for line in lines] == ["2.000 s entry-b:", "3.000 s entry-a:"]

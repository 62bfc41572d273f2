import pytest

from bench.run_faults.worker_paths import PathClient, WorkerPaths
from camphorchute.hosting import CommandUnanswered
from camphorchute.runs.tests.model_workers import ModelClient, ModelWorker


@pytest.mark.parametrize(
    ("lost", "is_one_way", "is_answered", "barred"),
    [
        ([], False, True, {"task": 1}),
        (["w1"], False, True, {"task": 1}),
        (["w0"], False, False, {}),
        (["w0"], True, False, {"task": 1}),
    ],
)
def test_commands_over_a_lost_path_have_no_answer(lost, is_one_way, is_answered, barred):
    worker, paths, rows = ModelWorker("w0", 1.0), WorkerPaths("p0"), []
    for worker_id in lost:
        paths.lose(worker_id, 500.0, is_one_way)
    client = PathClient(
        ModelClient(worker, worker.entry(), lambda: False),
        worker.entry(),
        paths,
        lambda task, text: rows.append(task),
    )
    try:
        client.stop_run("task", 1, 7)
        was_answered = True
    except CommandUnanswered:
        was_answered = False
    assert (was_answered, worker.barred, rows) == (is_answered, barred, ["task"])

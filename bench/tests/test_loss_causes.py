import pytest

from bench.loss_causes import count_causes, read_lines

NOT_DONE = '"text": "queues: job not done", "outcome": '


@pytest.mark.parametrize(
    ("text", "cause"),
    [
        ('  4.1 vm-1 {"text": "queues: refused, no worker", "job": "j"}', "no scheduler known"),
        ('{"text": "queues: refused, too long a wait", "job": "j"}', "refused on arrival"),
        ("{" + NOT_DONE + '"not run", "waiters": 1}', "returned after waiting"),
        ("{" + NOT_DONE + '"some tasks may have run", "waiters": 0}', "caller gone"),
        (
            "{" + NOT_DONE + '"some tasks may have run", "waiters": 1, "tasks": {"may_run": 1}}',
            "lost with its scheduler",
        ),
        (
            "{" + NOT_DONE + '"some tasks may have run", "waiters": 1, "tasks": {"handed": 1}}',
            "overdue run",
        ),
        ('{"text": "queues: job done late", "had_to_wait": true}', "late: waited for capacity"),
        ('{"text": "queues: job done late", "restarted": true}', "late: a task ran again"),
    ],
)
def test_line_is_counted_under_its_cause(text, cause):
    assert count_causes(read_lines([text])) == ({cause: 1}, 0)


def test_other_lines_are_skipped_and_left_out_lines_are_counted():
    texts = ["not JSON", "{broken}", "[1]", '{"text": "entry: started", "left_out": 3}']
    assert count_causes(read_lines(texts)) == ({}, 3)

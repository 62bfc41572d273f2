import pytest

from bench.measure.ideal import ideal_responses_ms
from bench.measure.workload import WORKLOADS, TraceJob, make_trace


def make_jobs(*rows: tuple[float, list[float]]) -> list[TraceJob]:
    return [TraceJob(arrival_s, times_ms, times_ms) for arrival_s, times_ms in rows]


@pytest.mark.parametrize(
    "rows, slowness, slots, deadline_ms, expected",
    [
        ([(0.0, [100.0, 200.0])], [1.0], 2, 1e4, [200.0]),
        ([(0.0, [100.0, 200.0])], [1.0], 1, 1e4, [300.0]),
        ([(0.0, [200.0])], [2.0, 1.0], 1, 1e4, [200.0]),
        ([(0.0, [200.0, 200.0])], [3.0, 1.0], 1, 1e4, [400.0]),
        ([(0.0, [100.0]), (0.05, [100.0])], [1.0], 1, 1e4, [100.0, 150.0]),
        ([(0.0, [100.0]), (0.05, [100.0]), (0.1, [20.0])], [1.0], 1, 120.0, [100.0, None, 20.0]),
    ],
    ids=[
        "tasks run in parallel",
        "tasks run in sequence",
        "idle fast worker first",
        "busy fast worker ends earlier than idle slow one",
        "jobs run in order of arrival",
        "job that would miss its deadline is refused",
    ],
)
def test_response_times_of_the_ideal_scheduler(rows, slowness, slots, deadline_ms, expected):
    responses = ideal_responses_ms(make_jobs(*rows), slowness, slots, deadline_ms)
    assert responses == [pytest.approx(value) if value else None for value in expected]


@pytest.mark.parametrize("name", sorted(WORKLOADS))
@pytest.mark.parametrize("load", [0.5, 2.0])
def test_trace_offers_the_load_and_keeps_to_the_bounds_of_the_workload(name, load):
    trace = make_trace(WORKLOADS[name], 100.0, load, 10.0, 1.0, seed=4)
    offered_ms = sum(sum(job.run_times_ms) for job in trace)
    assert offered_ms / (100.0 * 10_000.0) == pytest.approx(load, rel=0.1)
    assert all(1 <= len(job.run_times_ms) <= 60 for job in trace)
    assert all(50.0 <= time <= 5000.0 for job in trace for time in job.run_times_ms)
    assert [job.arrival_s for job in trace] == sorted(job.arrival_s for job in trace)

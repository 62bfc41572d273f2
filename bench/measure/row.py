"""The figures of one row, beside those of the ideal."""

from collections import Counter

import msgspec

from bench.measure.caller import Answer
from bench.measure.workload import TraceJob

__all__ = ["Row", "make_row", "percentile"]

WARM_UP_SHARE = 0.25


class Row(msgspec.Struct):
    """One result.

    Response times are compared after the warm-up, goodput over the whole trace.

    Attributes:
        p50_ratio: median response time over that of the ideal.
        p99_ratio: the same of the 99th percentile.
        wasted_per_task: wasted messages for each task that started.
        goodput_ratio: tasks of jobs answered whole and in time, over those of the ideal.
        starts_per_core_s: tasks started for each second of the entry processes' processor time.
        codes: number of jobs by result code, -1 where the connection was lost.
        waste: the counters that the waste is the sum of.
    """

    workload: str
    load: float
    fault: str
    policy: str
    p50_ratio: float
    p99_ratio: float
    wasted_per_task: float
    goodput_ratio: float
    starts_per_core_s: float
    jobs: int
    double_starts: int
    unanswered: int
    partial: int
    p50_ms: float
    p99_ms: float
    codes: dict[str, int]
    waste: dict[str, int]


def percentile(values: list[float], share: float) -> float:
    """Return the value that a share of the values is at most.

    Examples:
        >>> percentile([4.0, 1.0, 3.0, 2.0], 0.5)
        2.0
    """
    ordered = sorted(values)
    return ordered[max(0, round(share * len(ordered)) - 1)] if ordered else float("nan")


def make_row(
    trace: list[TraceJob],
    answers: list[Answer],
    ideal: list[float | None],
    started: Counter,
    waste: Counter,
    cpu_s: float,
    limit_ms: float,
) -> Row:
    """Compare the answers to a trace with those of the ideal."""
    first = next(i for i, job in enumerate(trace) if job.at_s >= WARM_UP_SHARE * trace[-1].at_s)
    counted = range(first, len(trace))
    sizes = [len(job.run_times_ms) for job in trace]
    actual_ms = [answers[i].response_ms for i in counted if answers[i].code == 0]
    ideal_ms = [ideal[i] for i in counted if ideal[i] is not None]
    good = sum(sizes[i] for i in range(len(trace)) if _is_good(answers[i], limit_ms))
    ideal_good = sum(sizes[i] for i in range(len(trace)) if ideal[i] is not None)
    tasks = sum(started.values())
    codes = Counter(str(int(answer.code)) for answer in answers)
    p50_ms, p99_ms = percentile(actual_ms, 0.5), percentile(actual_ms, 0.99)
    return Row(
        "",
        0.0,
        "",
        "",
        p50_ratio=round(p50_ms / percentile(ideal_ms, 0.5), 3),
        p99_ratio=round(p99_ms / percentile(ideal_ms, 0.99), 3),
        wasted_per_task=round(sum(waste.values()) / max(tasks, 1), 4),
        goodput_ratio=round(good / max(ideal_good, 1), 3),
        starts_per_core_s=round(tasks / max(cpu_s, 0.01), 1),
        jobs=len(trace),
        double_starts=sum(1 for count in started.values() if count > 1),
        unanswered=codes.get("-1", 0),
        partial=sum(_is_partial(a, n) for a, n in zip(answers, sizes, strict=True)),
        p50_ms=round(p50_ms, 1),
        p99_ms=round(p99_ms, 1),
        codes=dict(codes),
        waste=dict(waste),
    )


def _is_good(answer: Answer, limit_ms: float) -> bool:
    return answer.code == 0 and answer.response_ms <= limit_ms


def _is_partial(answer: Answer, tasks: int) -> bool:
    return answer.code == 0 and answer.answers != tasks

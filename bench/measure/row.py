"""One row of the benchmark: measured values relative to those of the ideal scheduler."""

from collections import Counter

import msgspec

from bench.measure.caller import Answer
from bench.measure.workload import TraceJob

__all__ = ["Row", "make_row", "percentile"]

WARM_UP_SHARE = 0.25


class Row(msgspec.Struct):
    """Result of one workload, load, fault and policy.

    Response times are compared after the warm-up, goodput over the complete trace.

    Attributes:
        workload: name of the workload.
        load: offered work as a share of the capacity.
        fault: name of the injected fault.
        policy: name of the placement policy.
        p50_ratio: median response time divided by that of the ideal scheduler.
        p99_ratio: 99th percentile of the response time divided by that of the ideal scheduler.
        wasted_per_task: wasted messages per started task.
        goodput_ratio: tasks of jobs answered completely before their deadline, divided by those
            of the ideal scheduler.
        starts_per_core_s: started tasks per second of processor time of the entry processes.
        jobs: number of jobs of the trace.
        double_starts: number of tasks that were started more than once.
        unanswered: number of jobs without an answer.
        partial: number of successful answers that do not have an answer for every task.
        p50_ms: median response time in milliseconds.
        p99_ms: 99th percentile of the response time in milliseconds.
        codes: number of jobs by result code; -1 stands for no answer.
        waste: counters whose sum is the number of wasted messages.
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
    """Return the given percentile of the values; NaN if there are none.

    Args:
        values: the values, in any order.
        share: the percentile as a share from 0 to 1.

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
    """Compare the measured answers to a trace with those of the ideal scheduler.

    The fields ``workload``, ``load``, ``fault`` and ``policy`` are left for the caller to set.

    Args:
        trace: the submitted jobs.
        answers: the answer to each job.
        ideal: response time of each job under the ideal scheduler, None if refused.
        started: number of starts of each task.
        waste: counters of wasted messages.
        cpu_s: processor time of the entry processes in seconds.
        limit_ms: deadline of every job in milliseconds.
    """
    first = next(
        i for i, job in enumerate(trace) if job.arrival_s >= WARM_UP_SHARE * trace[-1].arrival_s
    )
    counted = range(first, len(trace))
    sizes = [len(job.run_times_ms) for job in trace]
    actual_ms = [answers[i].response_ms for i in counted if answers[i].code == 0]
    ideal_ms = [ideal[i] for i in counted if ideal[i] is not None]
    good = sum(sizes[i] for i in range(len(trace)) if _is_in_time(answers[i], limit_ms))
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


def _is_in_time(answer: Answer, limit_ms: float) -> bool:
    return answer.code == 0 and answer.response_ms <= limit_ms


def _is_partial(answer: Answer, tasks: int) -> bool:
    return answer.code == 0 and answer.answer_count != tasks

"""Admission policies: within which time a job must start to be accepted."""

from collections.abc import Callable

from camphorchute.policies.registry import PolicyRegistry

__all__ = [
    "ADMISSION_POLICIES",
    "AdmissionPolicy",
    "JobTimes",
    "is_admitted",
    "start_while_useful",
    "useful_time_ms",
]

USEFUL_TIME_FACTOR = 3.0  # callers still use an answer after up to this many target times
LIMIT_SHARE = 0.8  # expected waits are too short as often as too long


class JobTimes:
    """Times of a job, from its submission.

    Attributes:
        work_ms: declared run time of its longest chain of steps.
        target_ms: target time of the job.
        deadline_ms: how long its caller waits.
    """

    __slots__ = ("work_ms", "target_ms", "deadline_ms")

    def __init__(self, work_ms: float, target_ms: float, deadline_ms: float) -> None:
        self.work_ms = work_ms
        self.target_ms = target_ms
        self.deadline_ms = deadline_ms


AdmissionPolicy = Callable[[JobTimes], float]
ADMISSION_POLICIES: PolicyRegistry[AdmissionPolicy] = PolicyRegistry("admission")


def useful_time_ms(target_ms: float, deadline_ms: float) -> float:
    """Return the time from submission for which an answer is of use to the caller.

    Args:
        target_ms: target time of the job.
        deadline_ms: how long its caller waits.

    Examples:
        >>> useful_time_ms(100.0, 5000.0), useful_time_ms(100.0, 250.0)
        (300.0, 250.0)
    """
    return min(USEFUL_TIME_FACTOR * target_ms, deadline_ms)


@ADMISSION_POLICIES.register("useful")
def start_while_useful(times: JobTimes) -> float:
    """Return the time within which a job must start for its answer to be of use, if also late.

    Examples:
        >>> start_while_useful(JobTimes(60.0, 156.0, 2000.0))
        408.0
    """
    return max(0.0, useful_time_ms(times.target_ms, times.deadline_ms) - times.work_ms)


@ADMISSION_POLICIES.register("in-time")
def start_in_time(times: JobTimes) -> float:
    """Return the time within which a job must start to meet its target time.

    Examples:
        >>> start_in_time(JobTimes(60.0, 156.0, 2000.0))
        96.0
    """
    return max(0.0, min(times.target_ms, times.deadline_ms) - times.work_ms)


def is_admitted(wait_ms: float, start_limit_ms: float) -> bool:
    """Return whether a job that has to wait is accepted.

    Args:
        wait_ms: expected time until the last of its first tasks starts.
        start_limit_ms: time within which it must start.

    Examples:
        >>> is_admitted(50.0, 96.0), is_admitted(90.0, 96.0)
        (True, False)
    """
    return wait_ms <= LIMIT_SHARE * start_limit_ms

"""Crash limit policies: whether a task is started again after its workers were lost."""

from collections.abc import Callable
from enum import Enum

from camphorchute.policies.registry import PolicyRegistry

__all__ = [
    "CRASH_LIMIT_POLICIES",
    "CrashDecision",
    "CrashEvidence",
    "CrashLimitPolicy",
    "always_start_again",
    "give_up_after_two",
]

CRASHES_MAX = 2
CRASHES_BESIDE_OTHERS_MAX = 3
CRASHED_RUNS_MAX = 4
UNDECIDED_MAX = 1


class CrashDecision(Enum):
    """What becomes of a task that lost its worker; the values are written to logs."""

    START = "starts again"
    WAIT = "waits until it is known whether its workers crashed"
    GIVE_UP = "is given up"


class CrashEvidence:
    """The lost runs of a task, without those whose worker was only silent for a while.

    Attributes:
        crashed_machines: number of machines on which a worker crashed under the task.
        crashed_alone: number of these on which no other run was active.
        crashed_runs: number of lost runs whose workers are known to have crashed, on any machine,
            whether they had acknowledged the run or not.
        lost_runs: number of lost runs, whether their workers are known to have crashed or not.
        undecided: number of lost runs of which that may still become known.
    """

    __slots__ = ("crashed_machines", "crashed_alone", "crashed_runs", "lost_runs", "undecided")

    def __init__(
        self,
        crashed_machines: int,
        crashed_alone: int,
        crashed_runs: int,
        lost_runs: int,
        undecided: int,
    ) -> None:
        self.crashed_machines = crashed_machines
        self.crashed_alone = crashed_alone
        self.crashed_runs = crashed_runs
        self.lost_runs = lost_runs
        self.undecided = undecided


CrashLimitPolicy = Callable[[CrashEvidence], CrashDecision]
CRASH_LIMIT_POLICIES: PolicyRegistry[CrashLimitPolicy] = PolicyRegistry("crash limit")


@CRASH_LIMIT_POLICIES.register("two-machines")
def give_up_after_two(evidence: CrashEvidence) -> CrashDecision:
    """Give a task up once two machines have crashed under it, on one of them without other tasks.

    A task that always ran beside others may have been their victim, so it takes a third crash. One
    machine that crashes again and again counts once, up to CRASHED_RUNS_MAX crashes. A run that was
    lost for a reason that never becomes known delays the task and is no evidence against it.

    Args:
        evidence: the lost runs of the task.

    Examples:
        >>> give_up_after_two(CrashEvidence(1, 0, crashed_runs=1, lost_runs=1, undecided=0)).name
        'START'
        >>> give_up_after_two(CrashEvidence(1, 0, crashed_runs=1, lost_runs=2, undecided=1)).name
        'WAIT'
        >>> give_up_after_two(CrashEvidence(2, 1, crashed_runs=2, lost_runs=2, undecided=0)).name
        'GIVE_UP'
        >>> give_up_after_two(CrashEvidence(2, 0, crashed_runs=2, lost_runs=2, undecided=0)).name
        'START'
        >>> give_up_after_two(CrashEvidence(1, 1, crashed_runs=1, lost_runs=9, undecided=0)).name
        'START'
    """
    limit = CRASHES_MAX if evidence.crashed_alone else CRASHES_BESIDE_OTHERS_MAX
    if evidence.crashed_machines >= limit or evidence.crashed_runs >= CRASHED_RUNS_MAX:
        return CrashDecision.GIVE_UP
    if evidence.undecided and evidence.lost_runs > UNDECIDED_MAX:
        return CrashDecision.WAIT
    return CrashDecision.START


@CRASH_LIMIT_POLICIES.register("never")
def always_start_again(evidence: CrashEvidence) -> CrashDecision:
    """Start every task again, however many workers crash under it."""
    return CrashDecision.START

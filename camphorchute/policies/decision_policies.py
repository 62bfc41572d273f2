"""The policies that a process decides by."""

from camphorchute.policies.admission import ADMISSION_POLICIES
from camphorchute.policies.concurrency_limit import CONCURRENCY_LIMIT_POLICIES
from camphorchute.policies.crash_limit import CRASH_LIMIT_POLICIES
from camphorchute.policies.ejection import EJECTION_POLICIES
from camphorchute.policies.interference import INTERFERENCE_POLICIES
from camphorchute.policies.overdue import OVERDUE_POLICIES
from camphorchute.policies.readiness import READINESS_POLICIES
from camphorchute.policies.task_order import TASK_ORDER_POLICIES
from camphorchute.policies.worker_choice import WORKER_CHOICE_POLICIES

__all__ = ["POLICY_REGISTRIES", "DecisionPolicies"]

POLICY_REGISTRIES = {
    "admission": ADMISSION_POLICIES,
    "task_order": TASK_ORDER_POLICIES,
    "worker_choice": WORKER_CHOICE_POLICIES,
    "overdue": OVERDUE_POLICIES,
    "ejection": EJECTION_POLICIES,
    "readiness": READINESS_POLICIES,
    "interference": INTERFERENCE_POLICIES,
    "concurrency_limit": CONCURRENCY_LIMIT_POLICIES,
    "crash_limit": CRASH_LIMIT_POLICIES,
}


class DecisionPolicies:
    """One policy for each kind of decision.

    Args:
        admission: name of the admission policy.
        task_order: name of the task order policy.
        worker_choice: name of the worker choice policy.
        overdue: name of the overdue policy.
        ejection: name of the ejection policy.
        readiness: name of the readiness policy.
        interference: name of the interference policy.
        concurrency_limit: name of the concurrency limit policy.
        crash_limit: name of the crash limit policy.

    Raises:
        ValueError: a name is not known; the message lists those that are.

    Attributes:
        admission: returns the time within which a job must start.
        task_order: returns the sort key of a pending task.
        worker_choice: returns the rank of a worker for a task.
        overdue: returns whether a run is overdue.
        ejection: returns whether a worker is ejected.
        readiness: returns whether this process is ready.
        interference: returns new estimates of which kinds of tasks slow each other down, None if
            nothing is learned.
        concurrency_limit: returns how many tasks the jobs of this process may have open.
        crash_limit: returns whether a task starts again after its workers were lost.

    Examples:
        >>> DecisionPolicies().admission.__name__
        'start_while_useful'
        >>> DecisionPolicies(overdue="sometimes")
        Traceback (most recent call last):
            ...
        ValueError: 'sometimes' is not known as overdue run policy; known are never, spread
    """

    __slots__ = tuple(POLICY_REGISTRIES)

    def __init__(
        self,
        admission: str = "useful",
        task_order: str = "started-first",
        worker_choice: str = "own-zone-first",
        overdue: str = "spread",
        ejection: str = "outlier",
        readiness: str = "can-place",
        interference: str = "off",
        concurrency_limit: str = "adaptive",
        crash_limit: str = "two-machines",
    ) -> None:
        self.admission = ADMISSION_POLICIES.find(admission)
        self.task_order = TASK_ORDER_POLICIES.find(task_order)
        self.worker_choice = WORKER_CHOICE_POLICIES.find(worker_choice)
        self.overdue = OVERDUE_POLICIES.find(overdue)
        self.ejection = EJECTION_POLICIES.find(ejection)
        self.readiness = READINESS_POLICIES.find(readiness)
        self.interference = INTERFERENCE_POLICIES.find(interference)
        self.concurrency_limit = CONCURRENCY_LIMIT_POLICIES.find(concurrency_limit)
        self.crash_limit = CRASH_LIMIT_POLICIES.find(crash_limit)

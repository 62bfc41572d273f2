"""Policies: decisions on jobs, tasks and workers, without network or clock of their own."""

from camphorchute.policies.decision_policies import POLICY_REGISTRIES, DecisionPolicies
from camphorchute.policies.failures import FailureTracker
from camphorchute.policies.registry import PolicyRegistry
from camphorchute.policies.worker_speed import WorkerSpeed

__all__ = [
    "POLICY_REGISTRIES",
    "DecisionPolicies",
    "FailureTracker",
    "PolicyRegistry",
    "WorkerSpeed",
]

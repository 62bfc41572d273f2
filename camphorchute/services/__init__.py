"""Service definitions, operators' plans to change them, and their distribution to processes."""

from camphorchute.services.answers import Confirmation, ServiceHistory
from camphorchute.services.catalogue import Catalogue
from camphorchute.services.definition import Limits, ServiceDefinition, Upstream, Worker
from camphorchute.services.distribution import Distribution
from camphorchute.services.effects import Usage
from camphorchute.services.plan import Plan
from camphorchute.services.planner import Planner
from camphorchute.services.record import ServiceRecord

__all__ = [
    "Catalogue",
    "Confirmation",
    "Distribution",
    "Limits",
    "Plan",
    "Planner",
    "ServiceDefinition",
    "ServiceHistory",
    "ServiceRecord",
    "Upstream",
    "Usage",
    "Worker",
]

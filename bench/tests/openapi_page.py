"""The page ``docs/openapi.yaml`` and the parts of it that follow from the code.

``python -m bench.tests.openapi_page`` writes the schemas of the page anew after a type changed.
"""

import re
from pathlib import Path

import msgspec
import yaml

from bench.fleet import ROOT
from camphorchute.contracts import JobAnswer, JobSpec
from camphorchute.entry.caller_pages import CallerPages, HealthPages
from camphorchute.entry.operator_pages import DrainBody, OperatorPages, PlanBody
from camphorchute.entry.problem import Problem
from camphorchute.entry.status import FleetStatus
from camphorchute.services.answers import Confirmation, ServiceHistory
from camphorchute.services.plan import Plan
from camphorchute.services.record import ServiceRecord

__all__ = ["PAGE", "read_page", "routes", "schemas"]

PAGE = Path(ROOT, "docs", "openapi.yaml")
TYPES = [
    JobSpec,
    JobAnswer,
    Problem,
    PlanBody,
    DrainBody,
    Plan,
    Confirmation,
    ServiceRecord,
    ServiceHistory,
    FleetStatus,
]
WIDTH_CHARS = 100


def read_page() -> dict:
    """Return the page."""
    return yaml.safe_load(PAGE.read_text())


def routes() -> set[tuple[str, str]]:
    """Return method and path of every marked page of the entry process."""
    parts = (CallerPages, HealthPages, OperatorPages)
    marked = [getattr(getattr(part, name), "route", None) for part in parts for name in dir(part)]
    return {(route[0].lower(), _template(route[1])) for route in marked if route is not None}


def _template(pattern: re.Pattern) -> str:
    return re.sub(r"\(\?P<(\w+)>[^)]*\)", r"{\1}", pattern.pattern)


def schemas() -> dict:
    """Return the schemas of the bodies, by name."""
    _, found = msgspec.json.schema_components(TYPES, ref_template="#/components/schemas/{name}")
    for schema in found.values():
        if "description" in schema:
            schema["description"] = schema["description"].partition("\n")[0]
    return msgspec.json.decode(msgspec.json.encode(found))


def main() -> None:
    """Write the schemas of the page anew."""
    page = read_page()
    page["components"]["schemas"] = schemas()
    text = yaml.safe_dump(page, sort_keys=False, width=WIDTH_CHARS, allow_unicode=True)
    PAGE.write_text(text)


if __name__ == "__main__":
    main()

"""The OpenAPI document ``docs/openapi.yaml`` and its parts that are derived from the code.

``python -m bench.tests.openapi_page`` updates its schemas after a body type has changed.
"""

import re
from pathlib import Path

import msgspec
import yaml

from bench.fleet import ROOT
from camphorchute.contracts import JobAnswer, JobSpec
from camphorchute.entry.caller_endpoints import CallerEndpoints, HealthEndpoints
from camphorchute.entry.operator_endpoints import DrainBody, OperatorEndpoints, PlanBody
from camphorchute.entry.problem import Problem
from camphorchute.entry.status import FleetStatus
from camphorchute.services.answers import Confirmation, ServiceHistory
from camphorchute.services.plan import Plan
from camphorchute.services.record import ServiceRecord

__all__ = ["OPENAPI_PATH", "body_schemas", "declared_routes", "read_openapi"]

OPENAPI_PATH = Path(ROOT, "docs", "openapi.yaml")
BODY_TYPES = [
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
LINE_WIDTH_CHARS = 100


def read_openapi() -> dict:
    """Return the decoded OpenAPI document."""
    return yaml.safe_load(OPENAPI_PATH.read_text())


def declared_routes() -> set[tuple[str, str]]:
    """Return the method and path template of every endpoint of the entry process."""
    endpoint_classes = (CallerEndpoints, HealthEndpoints, OperatorEndpoints)
    routes = [
        getattr(getattr(owner, name), "route", None)
        for owner in endpoint_classes
        for name in dir(owner)
    ]
    return {(route[0].lower(), _path_template(route[1])) for route in routes if route is not None}


def _path_template(pattern: re.Pattern) -> str:
    """Return the path of a route with each named group as ``{name}``."""
    return re.sub(r"\(\?P<(\w+)>[^)]*\)", r"{\1}", pattern.pattern)


def body_schemas() -> dict:
    """Return the JSON schemas of the body types by name, with one-line descriptions."""
    _, components = msgspec.json.schema_components(
        BODY_TYPES, ref_template="#/components/schemas/{name}"
    )
    for schema in components.values():
        if "description" in schema:
            schema["description"] = schema["description"].partition("\n")[0]
    return msgspec.json.decode(msgspec.json.encode(components))


def main() -> None:
    """Replace the schemas of the OpenAPI document by those of the code."""
    document = read_openapi()
    document["components"]["schemas"] = body_schemas()
    text = yaml.safe_dump(document, sort_keys=False, width=LINE_WIDTH_CHARS, allow_unicode=True)
    OPENAPI_PATH.write_text(text)


if __name__ == "__main__":
    main()

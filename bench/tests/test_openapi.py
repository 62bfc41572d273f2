"""``docs/openapi.yaml`` agrees with the code and with a running entry process."""

import re

import msgspec
import pytest

from bench.fleet import TOKEN
from bench.tests.openapi_page import body_schemas, declared_routes, read_openapi
from bench.tests.raw_http import exchange, request_bytes
from bench.tests.small_fleet import SERVICE, job_body, small_fleet
from camphorchute.contracts import ResultCode, code_info

BASE = 15
OPENAPI = read_openapi()
METHODS = ("get", "post", "put", "delete", "patch")
OPERATOR = {"Authorization": f"Bearer {TOKEN}", "X-Operator": "tests"}
KEY = {"Idempotency-Key": "north:openapi"}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with small_fleet(tmp_path_factory.mktemp("openapi"), BASE) as running:
        yield running


def documented_routes():
    """Return the method and path of every documented endpoint."""
    return {(method, path) for path, methods in OPENAPI["paths"].items() for method in methods}


def resolve_references(node):
    """Return a node of the document with its references resolved."""
    while "$ref" in node:
        target = OPENAPI
        for step in node["$ref"].removeprefix("#/").split("/"):
            target = target[step]
        node = target
    return node


def fill_template(path):
    """Return a path with every parameter replaced by a key that does not exist."""
    return re.sub(r"\{\w+\}", "north:none", path)


def test_documented_routes_are_those_of_the_code():
    assert documented_routes() == declared_routes()


def test_documented_schemas_are_those_of_the_code():
    assert OPENAPI["components"]["schemas"] == body_schemas()


@pytest.mark.parametrize("path", OPENAPI["paths"])
def test_running_entry_process_serves_only_the_documented_methods(fleet, path):
    for method in METHODS:
        data = request_bytes(method.upper(), fill_template(path), {})
        reply = exchange(fleet.entries[0].http_address, data)
        code = reply.json().get("code")
        is_documented = (method, path) in documented_routes()
        assert (code == ResultCode.METHOD_NOT_ALLOWED) is not is_documented, (method, path)
        assert code != ResultCode.NO_SUCH_PAGE


def test_http_status_of_every_caller_code_is_documented():
    caller_statuses = {code_info(code).http_status for code in ResultCode if code < 600}
    documented_statuses = {int(s) for path in OPENAPI["paths"].values() for op in path.values()
             for s in op["responses"] if s.isdigit()}  # fmt: skip
    assert caller_statuses - documented_statuses == {405}


OTHER_SERVICE = {"service": "other", "definition": {"name": "other"}}
SAMPLE_CALLS = [
    ("post", "/v1/jobs", "/v1/jobs", KEY, job_body(2)),
    ("post", "/v1/jobs", "/v1/jobs", KEY, job_body(3)),
    ("post", "/v1/jobs", "/v1/jobs", {}, job_body(2)),
    ("post", "/v1/jobs", "/v1/jobs?wait_ms=0", {"Idempotency-Key": "north:later"}, job_body(2)),
    ("get", "/v1/jobs/{key}", "/v1/jobs/north%3Aopenapi?wait_ms=5000", {}, None),
    ("get", "/v1/jobs/{key}", "/v1/jobs/north:none", {}, None),
    ("delete", "/v1/jobs/{key}", "/v1/jobs/north%3Aopenapi", {}, None),
    ("delete", "/v1/jobs/{key}", "/v1/jobs/west%3Ano", {}, None),
    ("post", "/v1/requests/{service}/{rest}", "/v1/requests/flags/a/b", KEY | {"X-Team": "b"}, 1),
    ("get", "/v1/requests/{service}/{rest}", "/v1/requests/flags/a", {"X-Repeatable": "1"}, None),
    ("get", "/v1/requests/{service}/{rest}", "/v1/requests/flags/a", {}, None),
    ("get", "/healthz", "/healthz", {}, None),
    ("get", "/readyz", "/readyz", {}, None),
    ("post", "/v1/plans", "/v1/plans", OPERATOR, OTHER_SERVICE),
    ("post", "/v1/plans", "/v1/plans", OPERATOR, {"service": "other", "definition": {"name": 1}}),
    ("post", "/v1/plans", "/v1/plans", {}, None),
    ("get", "/v1/plans/{plan}", "/v1/plans/none", OPERATOR, None),
    ("delete", "/v1/plans/{plan}", "/v1/plans/none", OPERATOR, None),
    ("post", "/v1/plans/{plan}/confirm", "/v1/plans/none/confirm", OPERATOR, None),
    ("get", "/v1/services/{service}", f"/v1/services/{SERVICE}", OPERATOR, None),
    ("get", "/v1/services/{service}", "/v1/services/none", OPERATOR, None),
    ("get", "/v1/services/{service}/history", f"/v1/services/{SERVICE}/history", OPERATOR, None),
    ("get", "/v1/status", "/v1/status", OPERATOR, None),
    ("get", "/v1/status", "/v1/status", {}, None),
    ("get", "/v1/counters", "/v1/counters", OPERATOR, None),
    ("post", "/v1/drain", "/v1/drain", OPERATOR, {"service": "flags", "worker": "none"}),
    ("post", "/v1/drain", "/v1/drain", OPERATOR, {"service": "flags", "worker": "w-north-1"}),
]  # fmt: skip


@pytest.mark.parametrize(("method", "documented_path", "path", "headers", "body"), SAMPLE_CALLS)
def test_sample_calls_are_answered_as_documented(
    fleet, method, documented_path, path, headers, body
):
    content = b"" if body is None else msgspec.json.encode(body)
    data = request_bytes(method.upper(), path, headers, content)
    reply = exchange(fleet.entries[0].http_address, data)
    responses = OPENAPI["paths"][documented_path][method]["responses"]
    response = responses.get(str(reply.status), responses.get("default"))
    assert response is not None, (reply.status, reply.body[:300])
    documented_content = resolve_references(response).get("content")
    if documented_content is None:
        return
    assert reply.content_type in documented_content
    assert_fields_match(documented_content[reply.content_type]["schema"], reply.json())


def assert_fields_match(schema, value):
    """Assert that an object has all required fields of a schema and no unknown ones."""
    choices = [resolve_references(choice) for choice in schema.get("anyOf", [schema])]
    matches = [
        set(choice.get("required", [])) <= set(value)
        and ("additionalProperties" in choice or set(value) <= set(choice["properties"]))
        for choice in choices
    ]
    assert any(matches), (schema, value)


def test_answer_of_an_upstream_is_passed_on_unchanged(fleet):
    headers = {"Idempotency-Key": "north:own-answer"}
    data = request_bytes("POST", "/v1/requests/flags/own", headers, b"{}")
    reply = exchange(fleet.entries[0].http_address, data)
    assert (reply.status, reply.content_type) == (200, "application/json")
    assert reply.json()["path"] == "/own"

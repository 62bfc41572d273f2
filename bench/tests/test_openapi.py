"""``docs/openapi.yaml`` against the code and against a running entry process."""

import re

import msgspec
import pytest

from bench.fleet import TOKEN
from bench.tests.openapi_page import read_page, routes, schemas
from bench.tests.raw_http import exchange, request_bytes
from bench.tests.small_fleet import SERVICE, job_body, small_fleet
from camphorchute.contracts import ResultCode, code_info

BASE = 15
PAGE = read_page()
METHODS = ("get", "post", "put", "delete", "patch")
OPERATOR = {"Authorization": f"Bearer {TOKEN}", "X-Operator": "tests"}
KEY = {"Idempotency-Key": "north:openapi"}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with small_fleet(tmp_path_factory.mktemp("openapi"), BASE) as running:
        yield running


def documented():
    return {(method, path) for path, methods in PAGE["paths"].items() for method in methods}


def resolved(node):
    """Return a part of the page with its reference followed."""
    while "$ref" in node:
        place = PAGE
        for step in node["$ref"].removeprefix("#/").split("/"):
            place = place[step]
        node = place
    return node


def filled(path):
    return re.sub(r"\{\w+\}", "north:none", path)


def test_every_route_is_documented_and_the_reverse():
    assert documented() == routes()


def test_schemas_are_those_of_the_code():
    assert PAGE["components"]["schemas"] == schemas()


@pytest.mark.parametrize("path", PAGE["paths"])
def test_running_server_has_these_methods_and_no_others(fleet, path):
    for method in METHODS:
        data = request_bytes(method.upper(), filled(path), {})
        reply = exchange(fleet.entries[0].http_address, data)
        code = reply.json().get("code")
        known = (method, path) in documented()
        assert (code == ResultCode.METHOD_NOT_ALLOWED) is not known, (method, path)
        assert code != ResultCode.NO_SUCH_PAGE


def test_statuses_of_all_codes_have_a_response():
    callers = {code_info(code).http_status for code in ResultCode if code < 600}
    named = {int(s) for path in PAGE["paths"].values() for op in path.values()
             for s in op["responses"] if s.isdigit()}  # fmt: skip
    assert callers - named == {405}


OTHER_SERVICE = {"service": "other", "definition": {"name": "other"}}
SAMPLES = [
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


@pytest.mark.parametrize(("method", "page", "path", "headers", "body"), SAMPLES)
def test_sample_calls_are_answered_as_documented(fleet, method, page, path, headers, body):
    content = b"" if body is None else msgspec.json.encode(body)
    data = request_bytes(method.upper(), path, headers, content)
    reply = exchange(fleet.entries[0].http_address, data)
    responses = PAGE["paths"][page][method]["responses"]
    response = responses.get(str(reply.status), responses.get("default"))
    assert response is not None, (reply.status, reply.body[:300])
    documented_content = resolved(response).get("content")
    if documented_content is None:
        return
    assert reply.content_type in documented_content
    check_fields(documented_content[reply.content_type]["schema"], reply.json())


def check_fields(schema, value):
    """Assert that an object has the required fields of a schema and no unknown ones."""
    choices = [resolved(choice) for choice in schema.get("anyOf", [schema])]
    fits = [
        set(choice.get("required", [])) <= set(value)
        and ("additionalProperties" in choice or set(value) <= set(choice["properties"]))
        for choice in choices
    ]
    assert any(fits), (schema, value)


def test_an_upstreams_own_answer_is_passed_on_as_it_is(fleet):
    headers = {"Idempotency-Key": "north:own-answer"}
    data = request_bytes("POST", "/v1/requests/flags/own", headers, b"{}")
    reply = exchange(fleet.entries[0].http_address, data)
    assert (reply.status, reply.content_type) == (200, "application/json")
    assert reply.json()["path"] == "/own"

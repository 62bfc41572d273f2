import base64

import pytest

from bench.standins.platform import Platform
from bench.standins.tests.client import call, connect, send


def encode_base64(text):
    return base64.b64encode(text.encode()).decode()


ENCODED_KEY = encode_base64("/a/1")
PUT = {"request_put": {"key": ENCODED_KEY, "value": encode_base64("new")}}
DELETE = {"request_delete_range": {"key": encode_base64("/a/"), "range_end": encode_base64("/a0")}}
RANGE = {"request_range": {"key": encode_base64("/a/"), "range_end": encode_base64("/a0")}}


@pytest.fixture
def platform():
    standin = Platform("127.0.0.1:0")
    standin.start()
    call(standin, "POST", "/v3/kv/txn", {"success": [PUT]})
    yield standin
    standin.close()


@pytest.mark.parametrize(
    ("target", "field", "value", "holds"),
    [
        ("MOD", "mod_revision", "2", True),
        ("MOD", "mod_revision", 2, True),
        ("MOD", "mod_revision", "1", False),
        ("CREATE", "create_revision", "2", True),
        ("CREATE", "create_revision", "0", False),
        ("VERSION", "version", "1", True),
        ("VALUE", "value", encode_base64("new"), True),
        ("VALUE", "value", encode_base64("old"), False),
    ],
)
def test_compare_selects_the_branch_of_a_transaction(platform, target, field, value, holds):
    compare = {"key": ENCODED_KEY, "target": target, field: value}
    body = {"compare": [compare], "success": [PUT], "failure": [RANGE]}
    answer = call(platform, "POST", "/v3/kv/txn", body)
    assert answer.get("succeeded", False) is holds
    assert answer["header"]["revision"] == ("3" if holds else "2")


@pytest.mark.parametrize(
    ("operations", "revision", "versions"),
    [
        ([PUT, PUT], "3", ["3"]),
        ([DELETE], "3", []),
        ([DELETE, PUT], "3", ["1"]),
        ([RANGE], "2", ["1"]),
    ],
)
def test_transaction_writes_at_one_revision(platform, operations, revision, versions):
    answer = call(platform, "POST", "/v3/kv/txn", {"success": operations})
    assert answer["header"]["revision"] == revision
    kvs = call(platform, "POST", "/v3/kv/range", RANGE["request_range"])["kvs"]
    assert [kv["version"] for kv in kvs] == versions


@pytest.mark.parametrize(
    ("path", "body"),
    [
        (
            "/v3/kv/txn",
            {"success": [{"request_put": {"key": ENCODED_KEY, "value": "", "lease": 5}}]},
        ),
        ("/v3/kv/txn", {"compare": [{"key": ENCODED_KEY, "target": "MOD", "result": "LESS"}]}),
        ("/v3/lease/revoke", {"ID": 5}),
        ("/v3/lease/grant", {"TTL": 0}),
        ("/v3/kv/range", []),
        ("/faults", {"unknown": 1}),
        ("/vms", {"address": "127.0.1.1", "zone": "north", "state": "gone"}),
    ],
)
def test_invalid_request_is_refused_and_writes_nothing(platform, path, body):
    status, _ = send(connect(platform.address), "POST", path, body)
    assert (status, platform.keys.revision) == (400, 2)


def test_record_counts_requests_by_path(platform):
    call(platform, "GET", "/vms")
    assert call(platform, "GET", "/record") == {"calls": {"/v3/kv/txn": 1, "/vms": 1}}

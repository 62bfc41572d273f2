"""HTTP client functions for the tests of the stand-ins."""

import json

from geventhttpclient import HTTPClient

from bench.standins.server import Standin

__all__ = ["call", "connect", "send"]


def connect(address: str, timeout_ms: float = 10_000.0) -> HTTPClient:
    """Return a client with one connection to an ``ip:port`` and a timeout in milliseconds."""
    host, port = address.split(":")
    return HTTPClient(host, int(port), network_timeout=timeout_ms / 1000.0)


def send(client: HTTPClient, method: str, path: str, body: object = None) -> tuple[int, dict]:
    """Send a request, with a JSON body if one is given; return the status and the JSON answer."""
    response = client.request(method, path, json.dumps(body) if body is not None else b"")
    return response.status_code, json.loads(response.read())


def call(standin: Standin, method: str, path: str, body: object = None) -> dict:
    """Send a request on a new connection; return its JSON answer, whose status must be 200."""
    client = connect(standin.address)
    status, answer = send(client, method, path, body)
    client.close()
    assert status == 200, answer
    return answer

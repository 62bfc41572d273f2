"""HTTP client of an entry process.

Its errors say whether a request may have taken effect.
"""

from typing import Any

import gevent
import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError

__all__ = ["AnswerLost", "EntryClient", "NotReachable", "Reply"]

CONNECT_TIMEOUT_S = 3.0
SAFE_METHODS = ("GET",)


class NotReachable(Exception):  # noqa: N818
    """The entry process could not be reached or did not answer a read; nothing was changed."""


class AnswerLost(Exception):  # noqa: N818
    """No complete answer arrived to a request that may have taken effect."""


class Reply:
    """The answer of an entry process to one request.

    Attributes:
        status: the HTTP status.
        body: the decoded JSON body, an empty dictionary where there is none.
    """

    __slots__ = ("body", "status")

    def __init__(self, status: int, body: Any) -> None:
        self.status = status
        self.body = body

    @property
    def code(self) -> int:
        """The result code in the body; without one, 0 for a status below 300 and -1 otherwise."""
        code = self.body.get("code") if isinstance(self.body, dict) else None
        if isinstance(code, int):
            return code
        return 0 if self.status < 300 else -1


class _EntryConnectionPool(ConnectionPool):
    """Connection pool that raises `NotReachable` where no connection can be made."""

    def get_socket(self):
        try:
            return super().get_socket()
        except OSError as error:
            address = f"{self._connection_host}:{self._connection_port}"
            raise NotReachable(f"{address}: {error}") from error


class EntryClient:
    """Sends requests to one entry process, each on a new connection.

    Args:
        address: ``IP:port`` of the entry process.
        token: the operators' token; empty for requests of callers.
        operator: the operator's name; empty for requests of callers.
        timeout_ms: how long to wait for an answer once connected, milliseconds.
    """

    __slots__ = ("_headers", "_host", "_port", "_timeout_s")

    def __init__(self, address: str, token: str, operator: str, timeout_ms: float) -> None:
        host, _, port = address.rpartition(":")
        self._host = host.removeprefix("[").removesuffix("]")
        self._port = int(port)
        self._timeout_s = timeout_ms / 1000.0
        self._headers = {"Content-Type": "application/json"}
        if token:
            self._headers["Authorization"] = f"Bearer {token}"
        if operator:
            self._headers["X-Operator"] = operator

    def call(
        self, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> Reply:
        """Send a request once, without retries, and return its answer.

        Args:
            method: the HTTP method.
            path: path and query of the URL.
            body: plain data that is sent as JSON; None for an empty body.
            headers: headers to add to those of the client.

        Raises:
            NotReachable: no connection could be made, or a read was not answered.
            AnswerLost: a request other than a read was sent and no valid answer arrived.
        """
        payload = b"" if body is None else msgspec.json.encode(body)
        http_client = HTTPClient(self._host, self._port, connection_timeout=CONNECT_TIMEOUT_S)
        http_client._connection_pool = _EntryConnectionPool(
            self._host,
            self._port,
            self._host,
            self._port,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=self._timeout_s,
        )
        try:
            with gevent.Timeout(CONNECT_TIMEOUT_S + self._timeout_s, TimeoutError("no answer")):
                response = http_client.request(
                    method, path, payload, {**self._headers, **(headers or {})}
                )
                return Reply(response.status_code, _decode(response.read()))
        except (OSError, HTTPParseError, msgspec.DecodeError) as error:
            error_type = NotReachable if method in SAFE_METHODS else AnswerLost
            raise error_type(f"{self._host}:{self._port}: {error}") from error
        finally:
            http_client.close()


def _decode(body: bytes) -> Any:
    return msgspec.json.decode(body) if body.strip() else {}

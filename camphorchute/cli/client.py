"""One call to an entry process, with errors that say whether it may have taken effect."""

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
    """The entry process cannot be reached, and nothing was changed."""


class AnswerLost(Exception):  # noqa: N818
    """The call may have taken effect; its answer did not arrive."""


class Reply:
    """An answer of an entry process.

    Attributes:
        status: the HTTP status.
        body: the decoded JSON body.
    """

    __slots__ = ("body", "status")

    def __init__(self, status: int, body: Any) -> None:
        self.status = status
        self.body = body

    @property
    def code(self) -> int:
        """The result code: that of the body, or 0 where a good status comes without one."""
        code = self.body.get("code") if isinstance(self.body, dict) else None
        if isinstance(code, int):
            return code
        return 0 if self.status < 300 else -1


class _Pool(ConnectionPool):
    def get_socket(self):
        try:
            return super().get_socket()
        except OSError as error:
            where = f"{self._connection_host}:{self._connection_port}"
            raise NotReachable(f"{where}: {error}") from error


class EntryClient:
    """Calls to one entry process, each on its own connection.

    Args:
        address: ``IP:port``.
        token: the operators' token; empty for callers' requests.
        operator: the operator's name; empty for callers' requests.
        timeout_ms: time to wait for an answer, milliseconds.
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
        """Send a request once and return its answer.

        Raises:
            NotReachable: no connection could be made, or a read was not answered.
            AnswerLost: a request that may change something was sent and not answered.
        """
        payload = b"" if body is None else msgspec.json.encode(body)
        http = HTTPClient(self._host, self._port, connection_timeout=CONNECT_TIMEOUT_S)
        http._connection_pool = _Pool(
            self._host,
            self._port,
            self._host,
            self._port,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=self._timeout_s,
        )
        try:
            with gevent.Timeout(CONNECT_TIMEOUT_S + self._timeout_s, TimeoutError("no answer")):
                response = http.request(method, path, payload, {**self._headers, **(headers or {})})
                return Reply(response.status_code, _decode(response.read()))
        except (OSError, HTTPParseError, msgspec.DecodeError) as error:
            lost = NotReachable if method in SAFE_METHODS else AnswerLost
            raise lost(f"{self._host}:{self._port}: {error}") from error
        finally:
            http.close()


def _decode(body: bytes) -> Any:
    return msgspec.json.decode(body) if body.strip() else {}

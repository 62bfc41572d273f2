"""A caller that submits a job again where that is allowed and fetches what is under way."""

import time
from http.client import HTTPException

import gevent
import msgspec
from geventhttpclient import HTTPClient

from camphorchute.contracts import ResultCode

__all__ = ["Answer", "Caller"]

NETWORK_TIMEOUT_S = 40.0
RETRY_MAX_MS = 300.0
FETCH_WAIT_MS = 3000
RETRIED_CODES = {
    -1,
    ResultCode.OWNER_UNREACHABLE,
    ResultCode.SHARD_NOT_SETTLED,
    ResultCode.NOT_READY,
    ResultCode.LEAVING,
    ResultCode.NO_WITNESS,
}


class Answer:
    """The answer to one submission.

    Attributes:
        key: the idempotency key.
        status: HTTP status; 0 where the connection was lost.
        code: number of the result code; -1 where there was no answer.
        answers: number of answers in the body.
        response_ms: time to the answer, resubmissions included.
        submissions: how often the job was sent.
        retry_after_ms: when to come again.
    """

    __slots__ = (
        "key",
        "status",
        "code",
        "answers",
        "response_ms",
        "submissions",
        "retry_after_ms",
    )

    def __init__(self, key: str) -> None:
        self.key = key
        self.status = 0
        self.code = -1
        self.answers = 0
        self.response_ms = 0.0
        self.submissions = 0
        self.retry_after_ms = 0.0


class Caller:
    """Submits jobs to entry processes.

    Args:
        addresses: ``ip:port`` of the entry processes, tried in turn.
        concurrency: most connections to each.
    """

    __slots__ = ("_clients",)

    def __init__(self, addresses: list[str], concurrency: int = 1) -> None:
        pairs = [address.rpartition(":") for address in addresses]
        self._clients = [
            HTTPClient(host, int(port), concurrency=concurrency, network_timeout=NETWORK_TIMEOUT_S)
            for host, _, port in pairs
        ]

    def submit(self, key: str, body: bytes, first: int = 0, retry_ms: float = 0.0) -> Answer:
        """Submit a job and wait for its answer.

        Args:
            key: the idempotency key.
            body: the job.
            first: place of the entry process to begin with.
            retry_ms: how long the job is submitted again, under its key.
        """
        answer = Answer(key)
        began_s = time.monotonic()
        while True:
            client = self._clients[(first + answer.submissions) % len(self._clients)]
            self._submit_once(client, answer, body)
            answer.response_ms = (time.monotonic() - began_s) * 1000.0
            if answer.code not in RETRIED_CODES or answer.response_ms >= retry_ms:
                return answer
            gevent.sleep(min(max(answer.retry_after_ms, 50.0), RETRY_MAX_MS) / 1000.0)

    def close(self) -> None:
        """End the connections."""
        for client in self._clients:
            client.close()

    def _submit_once(self, client: HTTPClient, answer: Answer, body: bytes) -> None:
        answer.submissions += 1
        answer.status, answer.code, answer.answers = 0, -1, 0
        headers = {"Content-Type": "application/json", "Idempotency-Key": answer.key}
        try:
            response = client.request("POST", "/v1/jobs", body=body, headers=headers)
            content = msgspec.json.decode(bytes(response.read()))
            if content.get("code", 0) == ResultCode.ACCEPTED:
                response = client.request("GET", f"/v1/jobs/{answer.key}?wait_ms={FETCH_WAIT_MS}")
                content = msgspec.json.decode(bytes(response.read()))
        except (OSError, HTTPException, msgspec.DecodeError):
            return
        answer.status = response.status_code
        answer.code = content.get("code", 0)
        answer.answers = len(content.get("answers", ()))
        answer.retry_after_ms = content.get("retry_after_ms", 0.0)

"""HTTP client of the job API that resubmits refused jobs and fetches unfinished ones."""

import time
from http.client import HTTPException

import gevent
import msgspec
from geventhttpclient import HTTPClient

from camphorchute.contracts import ResultCode

__all__ = ["Answer", "Caller"]

NETWORK_TIMEOUT_S = 40.0
RETRY_DELAY_MAX_MS = 300.0
FETCH_WAIT_MS = 3000
RETRYABLE_CODES = {
    -1,
    ResultCode.OWNER_UNREACHABLE,
    ResultCode.SHARD_NOT_SETTLED,
    ResultCode.NOT_READY,
    ResultCode.LEAVING,
    ResultCode.NO_WITNESS,
}


class Answer:
    """The outcome of submitting one job.

    Attributes:
        key: idempotency key of the job.
        status: HTTP status; 0 if the connection was lost.
        code: number of the result code; -1 if no answer was received.
        answer_count: number of task answers in the body.
        response_ms: milliseconds from the first submission to the answer.
        submissions: how many times the job was sent.
        retry_after_ms: delay in milliseconds that the answer asks for before a retry.
    """

    __slots__ = (
        "key",
        "status",
        "code",
        "answer_count",
        "response_ms",
        "submissions",
        "retry_after_ms",
    )

    def __init__(self, key: str) -> None:
        self.key = key
        self.status = 0
        self.code = -1
        self.answer_count = 0
        self.response_ms = 0.0
        self.submissions = 0
        self.retry_after_ms = 0.0


class Caller:
    """HTTP client that submits jobs to entry processes.

    Args:
        addresses: ``IP:port`` of the entry processes; resubmissions rotate through them.
        concurrency: maximum number of connections to each entry process.
    """

    __slots__ = ("_clients",)

    def __init__(self, addresses: list[str], concurrency: int = 1) -> None:
        pairs = [address.rpartition(":") for address in addresses]
        self._clients = [
            HTTPClient(host, int(port), concurrency=concurrency, network_timeout=NETWORK_TIMEOUT_S)
            for host, _, port in pairs
        ]

    def submit(self, key: str, body: bytes, first_entry: int = 0, retry_ms: float = 0.0) -> Answer:
        """Submit a job, wait for its answer and resubmit it after a retryable refusal.

        Args:
            key: idempotency key, the same for every resubmission.
            body: the job as JSON.
            first_entry: index of the first entry process; taken modulo their number.
            retry_ms: milliseconds after the first submission during which the job is resubmitted.

        Returns:
            The last answer received; ``status`` is 0 and ``code`` is -1 if there was none.
        """
        answer = Answer(key)
        began_s = time.monotonic()
        while True:
            client = self._clients[(first_entry + answer.submissions) % len(self._clients)]
            self._submit_once(client, answer, body)
            answer.response_ms = (time.monotonic() - began_s) * 1000.0
            if answer.code not in RETRYABLE_CODES or answer.response_ms >= retry_ms:
                return answer
            gevent.sleep(min(max(answer.retry_after_ms, 50.0), RETRY_DELAY_MAX_MS) / 1000.0)

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients:
            client.close()

    def _submit_once(self, client: HTTPClient, answer: Answer, body: bytes) -> None:
        answer.submissions += 1
        answer.status, answer.code, answer.answer_count = 0, -1, 0
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
        answer.answer_count = len(content.get("answers", ()))
        answer.retry_after_ms = content.get("retry_after_ms", 0.0)

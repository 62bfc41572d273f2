"""A store client for the key-value store of the fleet platform."""

import base64
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from urllib.parse import urlencode

import gevent
import msgspec

from camphorchute.hosting.store import (
    WATCH_RESPONSE_TIMEOUT_MS,
    ConditionalWrite,
    Store,
    StoredListing,
    StoredValue,
    StoreRefused,
    StoreUnavailable,
    SwapAllConflict,
    SwapConflict,
    SwapUnknown,
    register_store,
)
from camphorchute.platform import fleet_messages as messages
from camphorchute.workers.http_channel import AnswerLost, HttpAnswer, HttpChannel, NotSent

__all__ = ["KvStore"]

CALL_TIMEOUT_MS = 1000.0
CONNECT_TIMEOUT_MS = 700.0
WATCH_ANSWER_MARGIN_MS = 500.0
ANSWER_PROGRESS_MS = 1000.0
MS_PER_S = 1000
MAX_IDLE_WATCH_CONNECTIONS = 4
ENTRIES_MAX = 32
HTTP_OK, HTTP_NOT_FOUND, HTTP_GONE, HTTP_CONDITION_FAILED = 200, 404, 410, 412
HTTP_UNAVAILABLE = 503
CLIENT_ERRORS = range(400, 500)


@register_store("kv")
class KvStore(Store):
    """A client for the key-value store at one address.

    Args:
        address: ``IP:port`` of the store.
    """

    max_changes = ENTRIES_MAX // 2  # a change is a condition and a write

    def __init__(self, address: str) -> None:
        super().__init__()
        self.calls = Counter()
        self.failures = Counter()
        self._channel = HttpChannel(address, 2, CONNECT_TIMEOUT_MS)
        self._watch_channel = HttpChannel(address, MAX_IDLE_WATCH_CONNECTIONS, CONNECT_TIMEOUT_MS)

    def start(self) -> None:
        """Do nothing; connections are opened when they are needed."""

    def close(self) -> None:
        """Close all idle connections."""
        self._channel.close()
        self._watch_channel.close()

    def get(self, key: str) -> StoredValue | None:
        """Return the current value of a key, ``None`` if the key does not exist."""
        answer = self._send_idempotent("get", "GET", "/kv-key?" + urlencode({"key": key}))
        if answer.status == HTTP_NOT_FOUND:
            return None
        return _to_stored_value(self._decode_answer(answer, messages.Item))

    def list(self, prefix: str) -> StoredListing:
        """Return all keys that start with a prefix, with their values.

        The pages are read one after the other and are no snapshot. The revision is that of the
        first page, so that a watch from there misses no write.
        """
        values: list[StoredValue] = []
        revision, after = 0, ""
        while True:
            query = {"prefix": prefix, **({"after": after} if after else {})}
            answer = self._send_idempotent("list", "GET", "/kv-range?" + urlencode(query))
            page = self._decode_answer(answer, messages.Items)
            revision = revision or page.store_revision
            values.extend(_to_stored_value(item) for item in page.items)
            if not page.truncated or not page.items:
                return StoredListing(values, revision)
            after = page.items[-1].key

    def swap(self, key: str, value: bytes | None, expected_revision: int, lease_id: int = 0) -> int:
        """Write a key if it was last written at the expected revision."""
        puts = [] if value is None else [messages.make_put(key, _encode_value(value), lease_id)]
        removed_keys = [key] if value is None else []
        txn = messages.Txn([messages.make_condition(key, expected_revision)], puts, removed_keys)
        self.calls["swap"] += 1
        try:
            answer = self._exchange("POST", "/kv-txn", msgspec.json.encode(txn))
        except NotSent as error:
            raise self._counted_error("swap", "not_sent", error) from error
        except AnswerLost as error:
            self.failures["swap.answer_lost"] += 1
            return self._check_lost_swap(key, value, error)
        if answer.status == HTTP_OK:
            return self._decode_revision("swap", answer)
        if answer.status == HTTP_CONDITION_FAILED:
            self.failures["swap.lost"] += 1
            raise SwapConflict(key, self._current_value(answer, key))
        if answer.status == HTTP_NOT_FOUND:
            raise StoreRefused(f"swap: lease {lease_id} has expired or was revoked")
        raise self._write_error("swap", answer)

    def swap_all(self, changes: Sequence[ConditionalWrite]) -> int:
        """Write several keys if each was last written at its expected revision."""
        conditions = [
            messages.make_condition(change.key, change.expected_revision) for change in changes
        ]
        puts = [
            messages.make_put(c.key, _encode_value(c.value), 0)
            for c in changes
            if c.value is not None
        ]
        removed_keys = [change.key for change in changes if change.value is None]
        txn = messages.Txn(conditions, puts, removed_keys)
        self.calls["swap_all"] += 1
        try:
            answer = self._exchange("POST", "/kv-txn", msgspec.json.encode(txn))
        except NotSent as error:
            raise self._counted_error("swap_all", "not_sent", error) from error
        except AnswerLost as error:
            self.failures["swap_all.answer_lost"] += 1
            raise SwapUnknown(f"{len(changes)} keys: {error}") from error
        if answer.status == HTTP_OK:
            return self._decode_revision("swap_all", answer)
        if answer.status == HTTP_CONDITION_FAILED:
            self.failures["swap_all.lost"] += 1
            raise SwapAllConflict(self._conflicting_values(answer, changes))
        raise self._write_error("swap_all", answer)

    def _conflicting_values(
        self, answer: HttpAnswer, changes: Sequence[ConditionalWrite]
    ) -> dict[str, StoredValue | None]:
        """Return the current values of the keys that failed a condition, by key.

        The store lists the keys that failed and may list the others. If no listed key failed,
        the keys that are not listed are returned as removed.
        """
        items = self._decode_answer(answer, messages.TxnLost, HTTP_CONDITION_FAILED).items
        listed = {item.key: item for item in items}
        failed = {
            change.key: (
                _to_stored_value(listed[change.key]) if listed[change.key].revision else None
            )
            for change in changes
            if change.key in listed and listed[change.key].revision != change.expected_revision
        }
        if failed:
            return failed
        return {change.key: None for change in changes if change.key not in listed}

    def grant_lease(self, ttl_s: int) -> int:
        """Return the id of a new lease."""
        body = msgspec.json.encode(messages.Granted(ttl_ms=ttl_s * MS_PER_S))
        answer = self._send_idempotent("grant_lease", "POST", "/kv-lease", body)
        return self._decode_answer(answer, messages.Granted).lease

    def renew_lease(self, lease_id: int) -> int:
        """Renew a lease and return its time to live in seconds, 0 if it has expired."""
        answer = self._send_idempotent("renew_lease", "POST", f"/kv-keep/{lease_id}")
        if answer.status == HTTP_NOT_FOUND:
            return 0
        return max(1, self._decode_answer(answer, messages.Granted).ttl_ms // MS_PER_S)

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease; the keys bound to it are deleted."""
        self._send_idempotent("revoke_lease", "DELETE", f"/kv-lease-end/{lease_id}")

    def watch(
        self,
        prefix: str,
        from_revision: int,
        timeout_s: float,
        batching_ms: float = 0.0,
        response_timeout_ms: float = WATCH_RESPONSE_TIMEOUT_MS,
    ) -> Iterator[StoredValue]:
        """Yield every write under a prefix from a revision on, in order, by long polling."""
        deadline_s = time.monotonic() + timeout_s
        after = from_revision - 1
        while time.monotonic() < deadline_s:
            query = urlencode(
                {"prefix": prefix, "after": after, "wait-ms": int(response_timeout_ms)}
            )
            changes = self._decode_answer(
                self._poll_changes(query, response_timeout_ms), messages.WatchEvents
            )
            for item in changes.events:
                yield _to_stored_value(item)
            after = changes.store_revision
            gevent.sleep(batching_ms / MS_PER_S)

    def _poll_changes(self, query: str, response_timeout_ms: float) -> HttpAnswer:
        """Send one watch request and return its answer.

        The store waits up to ``response_timeout_ms`` before it answers.

        Raises:
            StoreUnavailable: the request failed.
            StoreRefused: the store no longer has the writes since the requested revision.
        """
        self.calls["watch"] += 1
        try:
            answer = self._watch_channel.exchange(
                "GET",
                "/kv-watch?" + query,
                b"",
                response_timeout_ms + WATCH_ANSWER_MARGIN_MS,
                progress_ms=ANSWER_PROGRESS_MS,
            )
        except (NotSent, AnswerLost) as error:
            raise self._counted_error("watch", "lost", error) from error
        if answer.status == HTTP_GONE:
            raise StoreRefused(f"watch: the store no longer has the requested writes: {query}")
        return answer

    def _check_lost_swap(self, key: str, value: bytes | None, error: Exception) -> int:
        """Read the key of a write whose answer was lost; return its revision if it has the value.

        Raises:
            SwapUnknown: the read failed, or the key does not have the value that was written.
        """
        try:
            current = self.get(key)
        except StoreUnavailable:
            raise SwapUnknown(f"{key}: {error}") from error
        if current is not None and current.value == value:
            return current.mod_revision
        raise SwapUnknown(f"{key}: {error}") from error

    def _current_value(self, answer: HttpAnswer, key: str) -> StoredValue | None:
        """Return the value of a key in the answer to a transaction that was not made."""
        found = self._decode_answer(answer, messages.TxnLost, HTTP_CONDITION_FAILED).items
        return next(
            (_to_stored_value(item) for item in found if item.key == key and item.revision), None
        )

    def _send_idempotent(
        self, call_name: str, method: str, target: str, body: bytes = b""
    ) -> HttpAnswer:
        """Send a call that can be repeated without harm if its answer is lost."""
        self.calls[call_name] += 1
        try:
            answer = self._exchange(method, target, body)
        except (NotSent, AnswerLost) as error:
            raise self._counted_error(call_name, "lost", error) from error
        if answer.status not in (HTTP_OK, HTTP_NOT_FOUND):
            raise self._counted_error(call_name, f"status_{answer.status}", answer.body[:100])
        return answer

    def _exchange(self, method: str, target: str, body: bytes) -> HttpAnswer:
        """Send a request once and return its answer of any status."""
        headers = {"Content-Type": "application/json"} if body else None
        return self._channel.exchange(
            method, target, body, CALL_TIMEOUT_MS, headers, progress_ms=ANSWER_PROGRESS_MS
        )

    def _decode_revision(self, call_name: str, answer: HttpAnswer) -> int:
        """Return the revision of a write that was made.

        Raises:
            SwapUnknown: the answer says nothing of it, but the write was made.
        """
        try:
            return self._decode_answer(answer, messages.TxnDone).revision
        except StoreUnavailable as error:
            raise SwapUnknown(f"{call_name}: {error}") from error

    def _write_error(self, call_name: str, answer: HttpAnswer) -> Exception:
        """Return the error for the status of a write; only a refusal proves that nothing was done.

        Args:
            call_name: name of the call, for the counter.
            answer: the answer of the store.
        """
        error = self._counted_error(call_name, f"status_{answer.status}", answer.body[:100])
        is_refusal = answer.status == HTTP_UNAVAILABLE or answer.status in CLIENT_ERRORS
        return error if is_refusal else SwapUnknown(str(error))

    def _decode_answer(
        self, answer: HttpAnswer, answer_type: type, status: int = HTTP_OK
    ) -> object:
        if answer.status != status:
            raise self._counted_error(
                answer_type.__name__, f"status_{answer.status}", answer.body[:100]
            )
        try:
            return msgspec.json.decode(answer.body, type=answer_type)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise self._counted_error(answer_type.__name__, "malformed", error) from error

    def _counted_error(self, call_name: str, reason: str, detail: object) -> StoreUnavailable:
        """Count a failed call and return the error to raise for it."""
        self.failures[f"{call_name}.{reason}"] += 1
        return StoreUnavailable(f"{call_name}: {reason}: {detail}")


def _to_stored_value(item: messages.Item) -> StoredValue:
    value = None if item.removed else _decode_value(item.value)
    return StoredValue(item.key, value, item.revision, item.lease)


def _encode_value(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _decode_value(text: str) -> bytes:
    """Return the bytes of a value in base64; empty for invalid text, which no decoder accepts."""
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return b""

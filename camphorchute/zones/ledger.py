"""In-memory store of the idempotency keys that a process holds, as owner or as witness."""

import heapq
import time

from camphorchute.contracts.codes import ResultCode
from camphorchute.contracts.errors import Refusal
from camphorchute.contracts.messages import DispatchRecord, KeyEntry
from camphorchute.zones.local_tasks import merge_local_tasks

__all__ = ["Ledger"]


class Ledger:
    """Accepted keys, each held until its resubmission window has passed.

    Args:
        max_keys: number of keys held at which :meth:`hold` refuses a further one.

    Examples:
        >>> ledger = Ledger(max_keys=1)
        >>> ledger.hold(KeyEntry("k", 3, b"d", 2**60))
        True
        >>> ledger.hold(KeyEntry("k", 3, b"d", 2**60))
        False
        >>> [entry.key for entry in ledger.entries_of_shard(3)]
        ['k']
    """

    __slots__ = ("max_keys", "_shards", "_expiry_heap", "_count")

    def __init__(self, max_keys: int) -> None:
        self.max_keys = max_keys
        self._shards: dict[int, dict[str, KeyEntry]] = {}
        self._expiry_heap: list[tuple[int, int, str]] = []
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def get(self, shard: int, key: str) -> KeyEntry | None:
        """Return the entry of a key, or None."""
        return self._shards.get(shard, {}).get(key)

    def entries_of_shard(self, shard: int) -> list[KeyEntry]:
        """Return all entries held of a shard."""
        return list(self._shards.get(shard, {}).values())

    def hold(self, entry: KeyEntry) -> bool:
        """Hold an entry, or merge it into the one already held for its key.

        Args:
            entry: the accepted key.

        Returns:
            Whether the key is new.

        Raises:
            Refusal: ``KEY_CONFLICT`` if the key is held with another digest, ``LEDGER_FULL`` if
                the key is new and ``max_keys`` are held.
        """
        self.expire()
        held = self.get(entry.shard, entry.key)
        if held is not None:
            if held.digest != entry.digest:
                raise Refusal(ResultCode.KEY_CONFLICT, f"key {entry.key!r} has another body")
            self._merge_entry(held, entry)
            return False
        if self._count >= self.max_keys:
            raise Refusal(
                ResultCode.LEDGER_FULL, f"{self._count} keys held, at most {self.max_keys}", 1000
            )
        self._add(entry)
        return True

    def _drop(self, shard: int, key: str) -> None:
        if self._shards.get(shard, {}).pop(key, None) is not None:
            self._count -= 1

    def expire(self) -> None:
        """Drop the keys whose resubmission window has passed."""
        now_unix_ms = time.time() * 1000
        while self._expiry_heap and self._expiry_heap[0][0] <= now_unix_ms:
            _, shard, key = heapq.heappop(self._expiry_heap)
            held = self.get(shard, key)
            if held is not None and held.expires_unix_ms <= now_unix_ms:
                self._drop(shard, key)

    def extend(self, entry: KeyEntry, expires_unix_ms: int) -> None:
        """Retain an entry that is held at least until a time.

        Args:
            entry: the entry that is held.
            expires_unix_ms: Unix time in milliseconds; an earlier one than before changes nothing.
        """
        if expires_unix_ms > entry.expires_unix_ms:
            entry.expires_unix_ms = expires_unix_ms
            heapq.heappush(self._expiry_heap, (expires_unix_ms, entry.shard, entry.key))

    def merge(self, entries: list[KeyEntry]) -> None:
        """Hold entries that another process accepted, even beyond ``max_keys``.

        A key that is already held with another digest gets an empty digest, so that a submission
        with either body is refused from then on.

        Args:
            entries: the accepted keys.
        """
        for entry in entries:
            held = self.get(entry.shard, entry.key)
            if held is None:
                self._add(entry)
                continue
            if held.digest != entry.digest:
                held.digest = b""
            self._merge_entry(held, entry)

    def mark_uncertain(self, shard: int) -> None:
        """Mark all entries of a shard: later acknowledgements of them may have been lost.

        Args:
            shard: number of the shard.
        """
        for entry in self._shards.get(shard, {}).values():
            entry.uncertain = True

    def _add(self, entry: KeyEntry) -> None:
        self._shards.setdefault(entry.shard, {})[entry.key] = entry
        heapq.heappush(self._expiry_heap, (entry.expires_unix_ms, entry.shard, entry.key))
        self._count += 1

    def _merge_entry(self, held: KeyEntry, entry: KeyEntry) -> None:
        if held is entry:
            return
        merge_local_tasks(held, entry)
        held.uncertain = held.uncertain or entry.uncertain
        held.owners += [owner for owner in entry.owners if owner not in held.owners]
        held.record = _more_complete_record(held.record, entry.record)
        self.extend(held, entry.expires_unix_ms)


def _more_complete_record(
    held: DispatchRecord | None, other: DispatchRecord | None
) -> DispatchRecord | None:
    """Return the record that comprises more owners; each holds for its own owners."""
    if held is None or (other is not None and len(other.owners) > len(held.owners)):
        return other
    return held

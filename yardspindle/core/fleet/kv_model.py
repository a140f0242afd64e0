"""An in-memory key-value store that follows etcd's published interface for keys, history, leases and watches.

Served over HTTP by the test bench's stand-in for etcd, and used directly by simulations, in which a virtual World (the
interface to clock, sockets, files and randomness) replaces the real one. It does no I/O: the time is passed to each
call, and expired leases are ended by `expire`, which the caller must call before any other method.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from dataclasses import dataclass, field

from yardspindle.core.fleet.kv import (
    FAILED_PRECONDITION,
    FIRST_REVISION,
    NOT_FOUND,
    OUT_OF_RANGE,
    BadRequest,
    Change,
    Changes,
    Compacted,
    Delete,
    KeyValue,
    RangeResult,
    Txn,
    TxnResult,
    evaluate,
    range_contains,
)

MIN_TTL_S = 1


@dataclass(slots=True)
class Lease:
    """A lease: its time to live, when it expires unless kept alive, and the keys attached to it."""

    ttl_us: int
    expires_us: int
    keys: set[bytes] = field(default_factory=set)


class StoreModel:
    """The in-memory store: rows, their history and leases."""

    def __init__(self) -> None:
        """Creates an empty store."""
        self.revision = FIRST_REVISION
        self.compacted = 0
        self.leases: dict[int, Lease] = {}
        self._rows: dict[bytes, KeyValue] = {}
        self._keys: list[bytes] = []  # the keys of `_rows`, sorted
        self._history: list[Changes] = []  # one entry per revision since the last compaction
        self._base: dict[bytes, KeyValue] = {}  # the rows as of the last compaction
        self._next_lease = 1

    # --- keys

    def rows(self, key: bytes, end: bytes) -> list[KeyValue]:
        """The current rows of a range, ordered by key (`kv.RowReader`)."""
        if not end:
            row = self._rows.get(key)
            return [] if row is None else [row]
        last = len(self._keys) if end == b"\0" else bisect_left(self._keys, end)
        return [self._rows[found] for found in self._keys[bisect_left(self._keys, key) : last]]

    def has_lease(self, lease: int) -> bool:
        """Whether a lease exists and has not ended (`kv.RowReader`)."""
        return lease in self.leases

    def range(self, key: bytes, end: bytes = b"", revision: int = 0) -> RangeResult:
        """The rows of a range, now or at an earlier revision. Raises Compacted, BadRequest."""
        if not revision or revision == self.revision:
            return RangeResult(self.revision, tuple(self.rows(key, end)))
        if revision > self.revision:
            raise BadRequest(OUT_OF_RANGE, "etcdserver: mvcc: required revision is a future revision")
        if revision < self.compacted:
            raise Compacted(self.compacted)
        past = dict(self._base)
        for changes in self._history:
            if changes.revision > revision:
                break
            for change in changes.changes:
                if change.removed:
                    past.pop(change.row.key, None)
                else:
                    past[change.row.key] = change.row
        return RangeResult(
            self.revision,
            tuple(past[found] for found in sorted(past) if (range_contains(key, end, found) if end else found == key)),
        )

    def txn(self, txn: Txn) -> TxnResult:
        """Executes a transaction. Raises BadRequest without having changed anything."""
        answer, changes = evaluate(txn, self, self.revision)
        self._commit(changes)
        return answer

    def _commit(self, changes: tuple[Change, ...]) -> None:
        if not changes:
            return
        self.revision += 1
        for change in changes:
            old = self._rows.pop(change.row.key, None)
            if old is not None and old.lease in self.leases:
                self.leases[old.lease].keys.discard(old.key)
            if change.removed:
                del self._keys[bisect_left(self._keys, change.row.key)]
            else:
                if old is None:
                    insort(self._keys, change.row.key)
                self._rows[change.row.key] = change.row
                if change.row.lease:
                    self.leases[change.row.lease].keys.add(change.row.key)
        self._history.append(Changes(self.revision, changes))

    def changes_since(self, key: bytes, end: bytes, revision: int) -> Changes:
        """The changes in a range from a revision on, as a watch would deliver them. Raises Compacted.

        Revision 0: from the oldest change that is kept, even if earlier ones were compacted.
        """
        if revision <= self.compacted and revision:
            raise Compacted(self.compacted)
        found = [
            change
            for changes in self._history
            if changes.revision >= revision
            for change in changes.changes
            if (range_contains(key, end, change.row.key) if end else change.row.key == key)
        ]
        return Changes(self.revision, tuple(found))

    def compact(self, revision: int) -> None:
        """Discards the history before a revision. Raises BadRequest, Compacted."""
        if revision > self.revision:
            raise BadRequest(OUT_OF_RANGE, "etcdserver: mvcc: required revision is a future revision")
        if revision <= self.compacted:
            raise Compacted(self.compacted)
        self._base = {row.key: row for row in self.range(b"\0", b"\0", revision).rows}
        self._history = [changes for changes in self._history if changes.revision > revision]
        self.compacted = revision

    # --- leases

    def grant(self, now_us: int, ttl_s: int, lease: int = 0) -> int:
        """Creates a lease, with the given id or else one that the store chooses. Raises BadRequest."""
        if lease and lease in self.leases:
            raise BadRequest(FAILED_PRECONDITION, "etcdserver: lease already exists")
        while not lease or lease in self.leases:
            lease, self._next_lease = self._next_lease, self._next_lease + 1
        ttl_us = max(ttl_s, MIN_TTL_S) * 1_000_000
        self.leases[lease] = Lease(ttl_us, now_us + ttl_us)
        return lease

    def keep_alive(self, now_us: int, lease: int) -> int:
        """Renews a lease; gives its time to live in seconds, or 0 if it has ended."""
        known = self.leases.get(lease)
        if known is None:
            return 0
        known.expires_us = now_us + known.ttl_us
        return known.ttl_us // 1_000_000

    def revoke(self, lease: int) -> None:
        """Ends a lease and deletes its keys. Raises BadRequest."""
        if lease not in self.leases:
            raise BadRequest(NOT_FOUND, "etcdserver: requested lease not found")
        keys = sorted(self.leases[lease].keys)
        if keys:
            self._commit(evaluate(Txn(then=tuple(Delete(key) for key in keys)), self, self.revision)[1])
        del self.leases[lease]

    def remaining_ttl_s(self, now_us: int, lease: int) -> int:
        """The seconds left, rounded down; -1 if the lease has ended."""
        known = self.leases.get(lease)
        return -1 if known is None else max(known.expires_us - now_us, 0) // 1_000_000

    def expire(self, now_us: int) -> None:
        """Ends all leases that have expired."""
        for lease in [number for number, known in self.leases.items() if known.expires_us <= now_us]:
            self.revoke(lease)

    def next_expiry_us(self) -> int | None:
        """When the next lease expires; None if there is none."""
        return min((known.expires_us for known in self.leases.values()), default=None)

    def copy(self) -> StoreModel:
        """An independent copy, for use as a backup."""
        other = StoreModel()
        other.revision, other.compacted, other._next_lease = self.revision, self.compacted, self._next_lease
        other.leases = {n: Lease(k.ttl_us, k.expires_us, set(k.keys)) for n, k in self.leases.items()}
        other._rows, other._base, other._history = dict(self._rows), dict(self._base), list(self._history)
        other._keys = list(self._keys)
        return other

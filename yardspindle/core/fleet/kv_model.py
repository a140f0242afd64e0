"""A whole store in memory: what etcd's published interface promises of keys, history, leases and watches.

The stand-in serves it over HTTP and the virtual World plays it. Free of I/O: the time comes with each call, and a
lease that has run out is ended by `expire`, which whoever owns the model calls before anything else.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from dataclasses import dataclass, field

from yardspindle.core.fleet.kv import (
    FIRST_REVISION,
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

LEAST_TTL_S = 1


@dataclass(slots=True)
class Lease:
    """A lease: its time to live, and when it ends unless it is kept alive."""

    ttl_us: int
    expires_us: int
    keys: set[bytes] = field(default_factory=set)


class StoreModel:
    """A store."""

    def __init__(self) -> None:
        """Empty."""
        self.revision = FIRST_REVISION
        self.compacted = 0
        self.leases: dict[int, Lease] = {}
        self._rows: dict[bytes, KeyValue] = {}
        self._keys: list[bytes] = []  # of the rows, sorted
        self._history: list[Changes] = []  # since the last compaction, one for each revision that wrote
        self._base: dict[bytes, KeyValue] = {}  # the rows as they stood at the last compaction
        self._next_lease = 1

    # --- keys

    def rows(self, key: bytes, end: bytes) -> list[KeyValue]:
        """See kv.Reader."""
        if not end:
            row = self._rows.get(key)
            return [] if row is None else [row]
        last = len(self._keys) if end == b"\0" else bisect_left(self._keys, end)
        return [self._rows[one] for one in self._keys[bisect_left(self._keys, key) : last]]

    def has_lease(self, lease: int) -> bool:
        """See kv.Reader."""
        return lease in self.leases

    def range(self, key: bytes, end: bytes = b"", revision: int = 0) -> RangeResult:
        """The rows as they stand, or as they stood at a revision. Raises Compacted, BadRequest."""
        if not revision or revision == self.revision:
            return RangeResult(self.revision, tuple(self.rows(key, end)))
        if revision > self.revision:
            raise BadRequest(11, "etcdserver: mvcc: required revision is a future revision")
        if revision < self.compacted:
            raise Compacted(self.compacted)
        then = dict(self._base)
        for changes in self._history:
            if changes.revision > revision:
                break
            for change in changes.changes:
                if change.removed:
                    then.pop(change.row.key, None)
                else:
                    then[change.row.key] = change.row
        return RangeResult(
            self.revision,
            tuple(then[one] for one in sorted(then) if (range_contains(key, end, one) if end else one == key)),
        )

    def txn(self, txn: Txn) -> TxnResult:
        """Carry out a transaction. Raises BadRequest, with nothing done."""
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
        """What a watch from a revision on has missed by now. Raises Compacted."""
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
        """Forget history before a revision. Raises BadRequest, Compacted."""
        if revision > self.revision:
            raise BadRequest(11, "etcdserver: mvcc: required revision is a future revision")
        if revision <= self.compacted:
            raise Compacted(self.compacted)
        self._base = {row.key: row for row in self.range(b"\0", b"\0", revision).rows}
        self._history = [changes for changes in self._history if changes.revision > revision]
        self.compacted = revision

    # --- leases

    def grant(self, now_us: int, ttl_s: int, lease: int = 0) -> int:
        """A new lease, with a number of the store's choice unless one is asked for. Raises BadRequest."""
        if lease and lease in self.leases:
            raise BadRequest(9, "etcdserver: lease already exists")
        while not lease or lease in self.leases:
            lease, self._next_lease = self._next_lease, self._next_lease + 1
        ttl_us = max(ttl_s, LEAST_TTL_S) * 1_000_000
        self.leases[lease] = Lease(ttl_us, now_us + ttl_us)
        return lease

    def keep_alive(self, now_us: int, lease: int) -> int:
        """Its time to live in seconds, counted anew from now; 0 when it has ended."""
        known = self.leases.get(lease)
        if known is None:
            return 0
        known.expires_us = now_us + known.ttl_us
        return known.ttl_us // 1_000_000

    def revoke(self, lease: int) -> None:
        """End a lease and its keys. Raises BadRequest."""
        if lease not in self.leases:
            raise BadRequest(5, "etcdserver: requested lease not found")
        keys = sorted(self.leases[lease].keys)
        if keys:
            self._commit(evaluate(Txn(then=tuple(Delete(key) for key in keys)), self, self.revision)[1])
        del self.leases[lease]

    def remaining_ttl_s(self, now_us: int, lease: int) -> int:
        """Whole seconds; -1 when it has ended."""
        known = self.leases.get(lease)
        return -1 if known is None else max(known.expires_us - now_us, 0) // 1_000_000

    def expire(self, now_us: int) -> None:
        """End the leases whose time is over."""
        for lease in [number for number, known in self.leases.items() if known.expires_us <= now_us]:
            self.revoke(lease)

    def next_end_us(self) -> int | None:
        """When the next lease runs out, or None."""
        return min((known.expires_us for known in self.leases.values()), default=None)

    def copy(self) -> StoreModel:
        """A copy as it stands: a backup, to be restored later."""
        other = StoreModel()
        other.revision, other.compacted, other._next_lease = self.revision, self.compacted, self._next_lease
        other.leases = {n: Lease(k.ttl_us, k.expires_us, set(k.keys)) for n, k in self.leases.items()}
        other._rows, other._base, other._history = dict(self._rows), dict(self._base), list(self._history)
        other._keys = list(self._keys)
        return other

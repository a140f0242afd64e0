"""Keys and values that processes share, with etcd v3's meaning: revisions, transactions, what a watch is told.

One evaluator serves every store that is ours: the model behind the stand-in, and the embedded one. A store has one
revision that grows by one with each transaction that writes; a key's `create` is the revision that made it, its
`mod` the one that last wrote it, its `version` counts writes since it was made.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, Protocol

FIRST_REVISION = 1  # of an empty store, as etcd has it

Target = Literal["version", "create", "mod", "value", "lease"]
Relation = Literal["equal", "greater", "less", "not_equal"]


class Compacted(Exception):
    """History before `revision` is gone."""

    def __init__(self, revision: int) -> None:
        """`revision`: the oldest that can still be read."""
        super().__init__(f"compacted up to revision {revision}")
        self.revision = revision


class BadRequest(Exception):
    """The store refuses the request as such; nothing of it was done. `code`: gRPC's number."""

    def __init__(self, code: int, text: str) -> None:
        """`text` as etcd words it."""
        super().__init__(text)
        self.code = code


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key as it stands. `lease`: 0 for none."""

    key: bytes
    value: bytes
    create: int
    mod: int
    version: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Compare:
    """A condition on one key; a key that is not there has zeros and an empty value."""

    key: bytes
    target: Target
    relation: Relation
    expected: int | bytes


@dataclass(frozen=True, slots=True)
class Get:
    """Read a key, or the keys from it up to `end` (not included)."""

    key: bytes
    end: bytes = b""


@dataclass(frozen=True, slots=True)
class Put:
    """Write a key; with a lease it is gone when the lease ends."""

    key: bytes
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Remove a key, or the keys from it up to `end` (not included)."""

    key: bytes
    end: bytes = b""


Op = Get | Put | Delete


@dataclass(frozen=True, slots=True)
class Txn:
    """If every condition holds, `then`, else `otherwise`: at one revision, or not at all."""

    compare: tuple[Compare, ...] = ()
    then: tuple[Op, ...] = ()
    otherwise: tuple[Op, ...] = ()


@dataclass(frozen=True, slots=True)
class RangeResult:
    """What a read found, with the store's revision when it was made."""

    revision: int
    rows: tuple[KeyValue, ...]


@dataclass(frozen=True, slots=True)
class TxnResult:
    """Which branch was taken, and what each of its operations found (a Get's rows; none for the others)."""

    revision: int
    succeeded: bool
    results: tuple[tuple[KeyValue, ...], ...] = ()


@dataclass(frozen=True, slots=True)
class Change:
    """A key was written, or removed (then only `key` and `mod` of `row` count)."""

    row: KeyValue
    removed: bool = False


@dataclass(frozen=True, slots=True)
class Changes:
    """What a watch is told at once: all changes up to a revision."""

    revision: int
    changes: tuple[Change, ...] = ()


def prefix_end(prefix: bytes) -> bytes:
    """The end of the range that holds every key with the prefix."""
    for at in range(len(prefix) - 1, -1, -1):
        if prefix[at] < 0xFF:
            return prefix[:at] + bytes([prefix[at] + 1])
    return b"\0"  # etcd's way to say: to the last key


def range_contains(key: bytes, end: bytes, one: bytes) -> bool:
    """Whether a range holds a key."""
    if not end:
        return one == key
    return one >= key and (end == b"\0" or one < end)


class Reader(Protocol):
    """The rows of a store as they stand."""

    def rows(self, key: bytes, end: bytes) -> list[KeyValue]:
        """In the order of their keys."""

    def has_lease(self, lease: int) -> bool:
        """Whether a lease lives."""


def holds(compare: Compare, row: KeyValue | None) -> bool:
    """Whether a condition holds of a row, or of its absence."""
    if compare.target == "value":
        if row is None:
            return False  # as etcd: a value cannot be compared where there is none
        have: int | bytes = row.value
    else:
        have = 0 if row is None else getattr(row, compare.target)
    if isinstance(have, bytes) != isinstance(compare.expected, bytes):
        raise BadRequest(3, f"etcdserver: {compare.target} is compared with a value of another kind")
    match compare.relation:
        case "equal":
            return have == compare.expected
        case "not_equal":
            return have != compare.expected
        case "greater":
            return have > compare.expected  # type: ignore[operator]
        case "less":
            return have < compare.expected  # type: ignore[operator]


def evaluate(txn: Txn, reader: Reader, revision: int) -> tuple[TxnResult, tuple[Change, ...]]:
    """What a transaction answers and changes, on a store that stands at `revision`. Raises BadRequest."""
    succeeded = all(holds(c, next(iter(reader.rows(c.key, b"")), None)) for c in txn.compare)
    ops = txn.then if succeeded else txn.otherwise
    next_revision = revision + 1
    written: dict[bytes, Change] = {}
    found: list[tuple[KeyValue, ...]] = []
    for op in ops:
        match op:
            case Get(key, end):
                rows = {row.key: row for row in reader.rows(key, end)}
                for one, change in written.items():  # a transaction sees what it wrote
                    if range_contains(key, end, one):
                        rows.pop(one, None)
                        if not change.removed:
                            rows[one] = change.row
                found.append(tuple(rows[one] for one in sorted(rows)))
            case Put(key, value, lease):
                if key in written:
                    raise BadRequest(3, "etcdserver: duplicate key given in txn request")
                if not key:
                    raise BadRequest(3, "etcdserver: key is not provided")
                if lease and not reader.has_lease(lease):
                    raise BadRequest(5, "etcdserver: requested lease not found")
                old = next(iter(reader.rows(key, b"")), None)
                row = KeyValue(
                    key,
                    value,
                    old.create if old else next_revision,
                    next_revision,
                    (old.version if old else 0) + 1,
                    lease,
                )
                written[key] = Change(row)
                found.append(())
            case Delete(key, end):
                for old in reader.rows(key, end):
                    if old.key in written:
                        raise BadRequest(3, "etcdserver: duplicate key given in txn request")
                    written[old.key] = Change(KeyValue(old.key, b"", 0, next_revision, 0), removed=True)
                found.append(())
    return TxnResult(next_revision if written else revision, succeeded, tuple(found)), tuple(written.values())

"""A key-value store with the semantics of etcd v3: revisions, transactions and watch events.

The fleet's processes share a store: etcd, or a file where no etcd runs. One evaluator of transactions serves every
store implemented here: the in-memory model (`kv_model.py`) and the embedded store, which keeps its rows in that file. A
store has a single revision that grows by one with each transaction that writes; a key's `create` is the revision that
created it, its `mod` the revision that last wrote it, and its `version` counts writes since its creation.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, Protocol

FIRST_REVISION = 1  # of an empty store, as in etcd

# gRPC status codes.
INVALID_ARGUMENT, NOT_FOUND, FAILED_PRECONDITION, OUT_OF_RANGE = 3, 5, 9, 11

Target = Literal["version", "create", "mod", "value", "lease"]
Relation = Literal["equal", "greater", "less", "not_equal"]


class Compacted(Exception):
    """A revision was requested whose history has been compacted."""

    def __init__(self, revision: int) -> None:
        """`revision`: of the last compaction. Reads at it still work; a watch has to start after it."""
        super().__init__(f"the history before revision {revision} is compacted")
        self.revision = revision


class BadRequest(Exception):
    """The store rejected the request and applied none of it. `code`: the gRPC status code, as etcd gives it."""

    def __init__(self, code: int, text: str) -> None:
        """`text`: the error message, in etcd's form."""
        super().__init__(text)
        self.code = code


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key's current value and metadata. `lease`: 0 for none."""

    key: bytes
    value: bytes
    create: int
    mod: int
    version: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Compare:
    """A condition on one key; an absent key has zeros and no value."""

    key: bytes
    target: Target
    relation: Relation
    expected: int | bytes


@dataclass(frozen=True, slots=True)
class Get:
    """Reads a key, or the keys from it up to `end` (exclusive)."""

    key: bytes
    end: bytes = b""


@dataclass(frozen=True, slots=True)
class Put:
    """Writes a key; if a lease is given, the key is deleted when the lease ends."""

    key: bytes
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Deletes a key, or the keys from it up to `end` (exclusive)."""

    key: bytes
    end: bytes = b""


Op = Get | Put | Delete


@dataclass(frozen=True, slots=True)
class Txn:
    """Applies `then` if every condition holds, else `otherwise`; atomically, at a single revision."""

    compare: tuple[Compare, ...] = ()
    then: tuple[Op, ...] = ()
    otherwise: tuple[Op, ...] = ()


@dataclass(frozen=True, slots=True)
class RangeResult:
    """The rows that a read found, and the store's revision at that time."""

    revision: int
    rows: tuple[KeyValue, ...]


@dataclass(frozen=True, slots=True)
class TxnResult:
    """Which branch was applied, and the rows returned by each of its operations (empty unless it is a Get)."""

    revision: int
    succeeded: bool
    results: tuple[tuple[KeyValue, ...], ...] = ()


@dataclass(frozen=True, slots=True)
class Change:
    """A key was written or removed; if removed, only `key` and `mod` of `row` are meaningful."""

    row: KeyValue
    removed: bool = False


@dataclass(frozen=True, slots=True)
class Changes:
    """One batch of watch events: all changes up to a revision."""

    revision: int
    changes: tuple[Change, ...] = ()


def prefix_end(prefix: bytes) -> bytes:
    """The exclusive end of the range of all keys with the prefix."""
    for index in range(len(prefix) - 1, -1, -1):
        if prefix[index] < 0xFF:
            return prefix[:index] + bytes([prefix[index] + 1])
    return b"\0"  # etcd's notation for "up to the last key"


def range_contains(key: bytes, end: bytes, candidate: bytes) -> bool:
    """Whether `candidate` lies in the range from `key` to `end`; without an end the range is `key` alone."""
    if not end:
        return candidate == key
    return candidate >= key and (end == b"\0" or candidate < end)


class RowReader(Protocol):
    """Read access to a store's current rows (each a key with its value and metadata)."""

    def rows(self, key: bytes, end: bytes) -> list[KeyValue]:
        """The rows of a range, ordered by key."""

    def has_lease(self, lease: int) -> bool:
        """Whether a lease exists and has not ended."""


def condition_holds(compare: Compare, row: KeyValue | None) -> bool:
    """Whether a row, or its absence (None), satisfies a condition."""
    if compare.target == "value":
        if row is None:
            return False  # as in etcd, a comparison with an absent value is false
        actual: int | bytes = row.value
    else:
        actual = 0 if row is None else getattr(row, compare.target)
    if isinstance(actual, bytes) != isinstance(compare.expected, bytes):
        raise BadRequest(INVALID_ARGUMENT, f"etcdserver: {compare.target} is compared with a value of another kind")
    match compare.relation:
        case "equal":
            return actual == compare.expected
        case "not_equal":
            return actual != compare.expected
        case "greater":
            return actual > compare.expected  # type: ignore[operator]
        case "less":
            return actual < compare.expected  # type: ignore[operator]


def evaluate(txn: Txn, reader: RowReader, revision: int) -> tuple[TxnResult, tuple[Change, ...]]:
    """A transaction's result and changes, given a store at `revision`; applies nothing. Raises BadRequest."""
    succeeded = all(condition_holds(c, next(iter(reader.rows(c.key, b"")), None)) for c in txn.compare)
    ops = txn.then if succeeded else txn.otherwise
    next_revision = revision + 1
    written: dict[bytes, Change] = {}
    results: list[tuple[KeyValue, ...]] = []
    for op in ops:
        match op:
            case Get(key, end):
                rows = {row.key: row for row in reader.rows(key, end)}
                for written_key, change in written.items():  # a transaction sees its own writes
                    if range_contains(key, end, written_key):
                        rows.pop(written_key, None)
                        if not change.removed:
                            rows[written_key] = change.row
                results.append(tuple(rows[row_key] for row_key in sorted(rows)))
            case Put(key, value, lease):
                if key in written:
                    raise BadRequest(INVALID_ARGUMENT, "etcdserver: duplicate key given in txn request")
                if not key:
                    raise BadRequest(INVALID_ARGUMENT, "etcdserver: key is not provided")
                if lease and not reader.has_lease(lease):
                    raise BadRequest(NOT_FOUND, "etcdserver: requested lease not found")
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
                results.append(())
            case Delete(key, end):
                for old in reader.rows(key, end):
                    if old.key in written:
                        raise BadRequest(INVALID_ARGUMENT, "etcdserver: duplicate key given in txn request")
                    written[old.key] = Change(KeyValue(old.key, b"", 0, next_revision, 0), removed=True)
                results.append(())
    return TxnResult(next_revision if written else revision, succeeded, tuple(results)), tuple(written.values())

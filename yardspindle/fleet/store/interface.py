"""The interface that all stores implement. A store is the key-value store that a fleet's processes share.

Every call may block; callers can bound it with `World.deadline` (the World is a program's interface to clock, sockets
and files).

A call ends in one of three ways: with an answer; with `NotApplied`, which proves that nothing was changed; or with
`OutcomeUnknown`, after which a change may or may not have been made and must be read back before it is relied on.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from yardspindle.core.fleet.kv import Changes, RangeResult, Txn, TxnResult


class StoreError(Exception):
    """A call to the store failed, or the store cannot be opened."""


class NotApplied(StoreError):
    """The call changed nothing: the client reached no endpoint of the store, or the store rejected the call."""


class OutcomeUnknown(StoreError):
    """The client lost the store's answer to a write: the store may have made the change."""


class InconsistentStore(StoreError):
    """The store contradicts its earlier answers (an old backup was restored, another cluster) and must not be used."""


class WatchBroken(StoreError):
    """The store or the connection ended the watch; the caller must read the range again."""


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """A new lease. `ttl_us` is what the store granted; it may differ from the requested time."""

    lease: int
    ttl_us: int


@dataclass(frozen=True, slots=True)
class KeepAliveResult:
    """The answer to a keep-alive: the lease's remaining time, 0 if it had ended, and the store's revision."""

    ttl_us: int
    revision: int


class Watch(Protocol):
    """The changes of a range from a revision on, in order and without gaps."""

    def next(self) -> Changes:
        """Wait for the next changes; an empty result means that nothing changed up to its revision.

        Raises WatchBroken, Compacted, InconsistentStore."""

    def close(self) -> None:
        """End the watch."""


class Store(Protocol):
    """A key-value store with etcd's semantics.

    All calls may raise NotApplied, OutcomeUnknown or InconsistentStore; reads never raise OutcomeUnknown."""

    def range(self, key: bytes, end: bytes = b"", revision: int = 0) -> RangeResult:
        """The rows of a range, at the current or a given revision. Raises Compacted."""

    def txn(self, txn: Txn) -> TxnResult:
        """Execute a transaction atomically."""

    def grant(self, ttl_us: int) -> LeaseGrant:
        """Create a lease of at least the given time, rounded up to whole seconds."""

    def keep_alive(self, lease: int) -> KeepAliveResult:
        """Restart a lease's time to live."""

    def revoke(self, lease: int) -> None:
        """End a lease and delete its keys. No error if it has already ended."""

    def remaining_ttl_us(self, lease: int) -> int:
        """The remaining time of a lease; -1 if it has ended."""

    def watch(self, key: bytes, end: bytes, revision: int) -> Watch:
        """Watch a range from a revision on."""

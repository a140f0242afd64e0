"""The one interface of a store. Every call may wait; the caller bounds it with a deadline of its World.

A call ends in one of three ways: with an answer; with `NotDone`, which proves that nothing was changed; or with
`Unknown`, after which a change may or may not have been made, and must be read back before anything rests on it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from yardspindle.core.fleet.kv import Changes, RangeResult, Txn, TxnResult


class StoreError(Exception):
    """The store could not be used."""


class NotApplied(StoreError):
    """Nothing was changed: nobody was reached, or the store refused."""


class OutcomeUnknown(StoreError):
    """The answer was lost: a change may have been made."""


class InconsistentStore(StoreError):
    """The store is behind what it has told before, as after an old backup was restored: it is not to be used."""


class WatchBroken(StoreError):
    """The watch ended; what it missed is to be read anew."""


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """A lease. `ttl_us`: what the store gave, which may differ from what was asked for."""

    lease: int
    ttl_us: int


@dataclass(frozen=True, slots=True)
class KeepAliveResult:
    """A lease was kept alive: the time it lives on, 0 when it had ended; and the store's revision."""

    ttl_us: int
    revision: int


class Watch(Protocol):
    """Changes of a range from a revision on, in order, none left out."""

    def next(self) -> Changes:
        """The next changes, waiting for them; now and then empty ones, to say that nothing changed up to a revision.

        Raises WatchBroken, Compacted, WentBack."""

    def close(self) -> None:
        """Let go of it."""


class Store(Protocol):
    """A store. All raise NotDone, Unknown or WentBack; reads never raise Unknown."""

    def range(self, key: bytes, end: bytes = b"", revision: int = 0) -> RangeResult:
        """The rows of a range, now or at a revision. Raises Compacted."""

    def txn(self, txn: Txn) -> TxnResult:
        """A transaction."""

    def grant(self, ttl_us: int) -> LeaseGrant:
        """A new lease of at least that time (whole seconds, rounded up)."""

    def keep_alive(self, lease: int) -> KeepAliveResult:
        """Count a lease's time anew."""

    def revoke(self, lease: int) -> None:
        """End a lease, and with it its keys. One that has ended is no error."""

    def remaining_ttl_us(self, lease: int) -> int:
        """How long a lease lives on; -1 when it has ended."""

    def watch(self, key: bytes, end: bytes, revision: int) -> Watch:
        """Follow a range from a revision on."""

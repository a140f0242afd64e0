"""The fleet's key-value store on one machine: a SQLite file that its processes share, with etcd's semantics.

Table `versions` holds the history of each key until it is compacted, table `now` the current rows; transactions follow
`evaluate` in core/fleet/kv.py. Leases use the machine's monotonic clock, which all processes share and which cannot be
stepped; after a reboot every lease has ended. A write ends expired leases in its own transaction and a read in one
before it, so no process has to watch over them.

A file with other tables or another schema version is rejected and never written to.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

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
)
from yardspindle.fleet.store.interface import (
    InconsistentStore,
    KeepAliveResult,
    LeaseGrant,
    NotApplied,
    OutcomeUnknown,
    StoreError,
)
from yardspindle.runtime.world import DatabaseBusy, DatabaseError, World

T = TypeVar("T")
SCHEMA_VERSION = 1
MIN_LOCK_RETRY_US = 1_000  # first pause while another process holds the lock, about one transaction; then doubled
MAX_LOCK_RETRY_US = 20_000
WATCH_POLL_US = 20_000  # poll interval of a watch: delays a change as a network might; a poll costs some microseconds
HISTORY_REVISIONS = 10_000  # revisions of history to keep; compacted when twice as many exist
BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"
# made and mod: the revisions at which a key was created and last changed (etcd's create_revision and mod_revision).
COLUMNS = "key, value, made, mod, version, lease"
# `about` holds the store's metadata: schema version (`form`), revision, compacted revision and last lease.
TABLES = (
    "CREATE TABLE versions (key BLOB, mod INTEGER, made INTEGER, version INTEGER, value BLOB, lease INTEGER,"
    " removed INTEGER, PRIMARY KEY (key, mod)) WITHOUT ROWID",
    "CREATE INDEX versions_mod ON versions (mod)",
    "CREATE TABLE now (key BLOB PRIMARY KEY, value BLOB, made INTEGER, mod INTEGER, version INTEGER, lease INTEGER)"
    " WITHOUT ROWID",
    "CREATE INDEX now_lease ON now (lease) WHERE lease > 0",
    "CREATE TABLE leases (lease INTEGER PRIMARY KEY, ttl_us INTEGER, ends_us INTEGER, boot TEXT)",
    "CREATE TABLE about (name TEXT PRIMARY KEY, value)",
)


class EmbeddedStore:
    """Implements Store with a SQLite file."""

    def __init__(self, world: World, path: str, call_us: int) -> None:
        """Open or create the file; `call_us` bounds each call. `world`: the interface to clock, sockets and files.

        Raises StoreError if the file cannot be read or is not a store of this schema version."""
        self._world, self._path, self._call_us = world, path, call_us
        try:
            self._boot_id = world.read_file(BOOT_ID_PATH).decode().strip()
        except FileNotFoundError:
            self._boot_id = ""  # none on this system: leases then outlast a reboot until the uptime reaches their end
        except OSError as error:  # with another id than the other processes this one would end their leases
            raise StoreError(f"{BOOT_ID_PATH}: {error.strerror}") from None
        self.last_revision = 0
        self.call_count = 0
        self._refusal_reason = ""  # why this store must no longer be used; empty while it may
        self._db = self._retry_while_locked(lambda: world.database(path))
        self._retry_while_locked(self._prepare_schema)

    # --- calls

    def range(self, key: bytes, end: bytes = b"", revision: int = 0) -> RangeResult:
        """The rows of a range of keys, at the current or a given revision (Store)."""
        return self._retry_while_locked(lambda: self._range(key, end, revision), is_read=True)

    def txn(self, txn: Txn) -> TxnResult:
        """Execute a transaction atomically (Store)."""
        return self._write(lambda: self._txn(txn))

    def grant(self, ttl_us: int) -> LeaseGrant:
        """Create a lease of at least the given time (Store)."""
        ttl_us = -(-ttl_us // 1_000_000) * 1_000_000

        def grant() -> LeaseGrant:
            lease = int(self._metadata("last lease")) + 1
            self._db.run("UPDATE about SET value = ? WHERE name = 'last lease'", (lease,))
            self._db.run(
                "INSERT INTO leases VALUES (?, ?, ?, ?)",
                (lease, ttl_us, self._world.uptime_us() + ttl_us, self._boot_id),
            )
            return LeaseGrant(lease, ttl_us)

        return self._write(grant)

    def keep_alive(self, lease: int) -> KeepAliveResult:
        """Restart a lease's time to live (Store)."""

        def renew() -> KeepAliveResult:
            rows = self._db.run("SELECT ttl_us FROM leases WHERE lease = ?", (lease,))
            if rows:
                self._db.run(
                    "UPDATE leases SET ends_us = ? WHERE lease = ?", (self._world.uptime_us() + rows[0][0], lease)
                )
            return KeepAliveResult(rows[0][0] if rows else 0, self._revision())

        return self._write(renew)

    def revoke(self, lease: int) -> None:
        """End a lease and delete its keys (Store)."""
        self._write(lambda: self._revoke(lease))

    def remaining_ttl_us(self, lease: int) -> int:
        """The remaining time of a lease; -1 if it has ended (Store)."""

        def remaining() -> int:
            rows = self._db.run("SELECT ends_us FROM leases WHERE lease = ? AND boot = ?", (lease, self._boot_id))
            remaining_us = int(rows[0][0]) - self._world.uptime_us() if rows else -1
            return remaining_us if remaining_us > 0 else -1

        return self._retry_while_locked(remaining, is_read=True)

    def watch(self, key: bytes, end: bytes, revision: int) -> EmbeddedWatch:
        """Watch a range of keys from a revision on (Store)."""
        return EmbeddedWatch(self, key, end, revision)

    def close(self) -> None:
        """Close the file."""
        self._db.close()

    # --- waiting for the lock

    def _retry_while_locked(self, operation: Callable[[], T], is_read: bool = False) -> T:
        """Retry until the lock is free, yielding to other tasks; raises NotApplied after `call_us`."""
        self.call_count += 1
        until_us, pause_us = self._world.now_us() + self._call_us, MIN_LOCK_RETRY_US
        while True:
            try:
                return self._run_read(operation) if is_read else operation()
            except DatabaseBusy:
                if self._world.now_us() >= until_us:
                    raise NotApplied(f"{self._path}: another process holds the lock") from None
                self._world.sleep_until(self._world.now_us() + pause_us)
                pause_us = min(2 * pause_us, MAX_LOCK_RETRY_US)
            except DatabaseError as error:
                raise StoreError(f"{self._path}: {error}") from None

    def _run_read(self, operation: Callable[[], T]) -> T:
        """End expired leases, then read within one transaction, so that all of a read sees one state of the store."""
        if self._has_expired_leases():
            self._run_write(lambda: None)
        self._db.roll_back()  # one that could not be rolled back when it failed
        self._db.run("BEGIN")
        try:
            return operation()
        finally:
            self._db.roll_back()

    def _write(self, operation: Callable[[], T]) -> T:
        return self._retry_while_locked(lambda: self._run_write(operation))

    def _run_write(self, operation: Callable[[], T]) -> T:
        """Run one transaction that first ends expired leases."""
        self._db.begin()
        try:
            self._expire_leases()
            result = operation()
        except BadRequest as error:
            self._db.roll_back()
            raise NotApplied(f"{error.code}: {error}") from None
        except BaseException:
            self._db.roll_back()
            raise
        try:
            self._db.commit()
        except DatabaseBusy:
            self._db.roll_back()
            raise
        except DatabaseError as error:
            self._db.roll_back()
            raise OutcomeUnknown(f"{self._path}: {error}") from None
        return result

    # --- inside a transaction

    def _prepare_schema(self) -> None:
        self._db.begin()
        try:
            tables = {row[0] for row in self._db.run("SELECT name FROM sqlite_master WHERE type = 'table'")}
            if tables and "about" not in tables:
                raise StoreError(f"{self._path}: not a store of this program (it has no table `about`); left unchanged")
            if tables and int(self._metadata("form")) != SCHEMA_VERSION:
                raise StoreError(
                    f"{self._path}: schema version {self._metadata('form')}, this program reads {SCHEMA_VERSION}"
                )
            if not tables:
                for statement in TABLES:
                    self._db.run(statement)
                self._db.run(
                    "INSERT INTO about VALUES ('form', ?), ('revision', ?), ('compacted', 0), ('last lease', 0)",
                    (SCHEMA_VERSION, FIRST_REVISION),
                )
        except BaseException:
            self._db.roll_back()
            raise
        self._db.commit()

    def _metadata(self, name: str) -> Any:
        return self._db.run("SELECT value FROM about WHERE name = ?", (name,))[0][0]

    def _revision(self) -> int:
        revision = int(self._metadata("revision"))
        if revision < self.last_revision:  # permanent: a loss cannot be detected later, when the store has caught up
            self._refusal_reason = (
                f"{self._path} is at revision {revision}, but an earlier answer had revision {self.last_revision}"
            )
        if self._refusal_reason:
            raise InconsistentStore(self._refusal_reason)
        self.last_revision = revision
        return revision

    def rows(self, key: bytes, end: bytes) -> list[KeyValue]:
        """The current rows of a range, ordered by key (`RowReader`, the read access that `evaluate` needs)."""
        where, arguments = _range_condition(key, end)
        return [
            _to_key_value(row)
            for row in self._db.run(f"SELECT {COLUMNS} FROM now WHERE {where} ORDER BY key", arguments)
        ]

    def has_lease(self, lease: int) -> bool:
        """Whether a lease exists and has not ended (`RowReader`)."""
        return bool(self._db.run("SELECT 1 FROM leases WHERE lease = ?", (lease,)))

    def _range(self, key: bytes, end: bytes, revision: int) -> RangeResult:
        current_revision = self._revision()
        if not revision or revision == current_revision:
            return RangeResult(current_revision, tuple(self.rows(key, end)))
        if revision > current_revision:
            raise NotApplied("11: etcdserver: mvcc: required revision is a future revision")
        if revision < int(self._metadata("compacted")):
            raise Compacted(int(self._metadata("compacted")))
        where, arguments = _range_condition(key, end)
        return RangeResult(
            current_revision,
            tuple(
                _to_key_value(row)
                for row in self._db.run(
                    f"SELECT {COLUMNS} FROM versions AS v WHERE {where} AND removed = 0 AND mod ="
                    " (SELECT max(mod) FROM versions WHERE key = v.key AND mod <= ?) ORDER BY key",
                    (*arguments, revision),
                )
            ),
        )

    def _txn(self, txn: Txn) -> TxnResult:
        result, changes = evaluate(txn, self, self._revision())
        self._store_changes(changes)
        return result

    def _store_changes(self, changes: tuple[Change, ...]) -> None:
        if not changes:
            return
        for change in changes:
            row = change.row
            self._db.run(
                "INSERT INTO versions VALUES (?, ?, ?, ?, ?, ?, ?)",
                (row.key, row.mod, row.create, row.version, row.value, row.lease, int(change.removed)),
            )
            if change.removed:
                self._db.run("DELETE FROM now WHERE key = ?", (row.key,))
            else:
                self._db.run(
                    f"INSERT OR REPLACE INTO now ({COLUMNS}) VALUES (?, ?, ?, ?, ?, ?)",
                    (row.key, row.value, row.create, row.mod, row.version, row.lease),
                )
        revision = changes[0].row.mod
        self._db.run("UPDATE about SET value = ? WHERE name = 'revision'", (revision,))
        if revision - int(self._metadata("compacted")) > 2 * HISTORY_REVISIONS:
            self._compact(revision - HISTORY_REVISIONS)

    def _compact(self, revision: int) -> None:
        """Delete the versions that no read at or after the given revision needs."""
        self._db.run(
            "DELETE FROM versions WHERE mod < ? AND (removed OR mod <"
            " (SELECT max(mod) FROM versions AS v WHERE v.key = versions.key AND v.mod <= ?))",
            (revision, revision),
        )
        self._db.run("UPDATE about SET value = ? WHERE name = 'compacted'", (revision,))

    def compact(self, revision: int) -> None:
        """Delete the history before a revision."""
        self._write(lambda: self._compact(revision))

    def _has_expired_leases(self) -> bool:
        return bool(
            self._db.run(
                "SELECT 1 FROM leases WHERE ends_us <= ? OR boot <> ? LIMIT 1", (self._world.uptime_us(), self._boot_id)
            )
        )

    def _expire_leases(self) -> None:
        for (lease,) in self._db.run(
            "SELECT lease FROM leases WHERE ends_us <= ? OR boot <> ? ORDER BY lease",
            (self._world.uptime_us(), self._boot_id),
        ):
            self._revoke(lease)

    def _revoke(self, lease: int) -> None:
        keys = [row[0] for row in self._db.run("SELECT key FROM now WHERE lease = ? ORDER BY key", (lease,))]
        if keys:
            self._store_changes(evaluate(Txn(then=tuple(Delete(key) for key in keys)), self, self._revision())[1])
        self._db.run("DELETE FROM leases WHERE lease = ?", (lease,))

    def changes_since(self, key: bytes, end: bytes, revision: int) -> Changes:
        """The changes of a range since a revision, inclusive. Raises Compacted."""

        def read() -> Changes:
            current_revision = self._revision()
            if current_revision < revision:
                return Changes(current_revision)
            if revision <= int(self._metadata("compacted")):
                raise Compacted(int(self._metadata("compacted")))
            where, arguments = _range_condition(key, end)
            rows = self._db.run(
                f"SELECT {COLUMNS}, removed FROM versions WHERE {where} AND mod >= ? AND mod <= ? ORDER BY mod, key",
                (*arguments, revision, current_revision),
            )
            return Changes(current_revision, tuple(Change(_to_key_value(row[:6]), bool(row[6])) for row in rows))

        return self._retry_while_locked(read, is_read=True)


class EmbeddedWatch:
    """Implements Watch by polling, which is cheap: reading the revision costs some microseconds."""

    def __init__(self, store: EmbeddedStore, key: bytes, end: bytes, revision: int) -> None:
        """Opens nothing; `next` reads from the store."""
        self._store, self._key, self._end = store, key, end
        self._next_revision = revision

    def next(self) -> Changes:
        """Wait for the next changes of the watched range (Watch)."""
        world = self._store._world
        while True:
            changes = self._store.changes_since(self._key, self._end, self._next_revision)
            if changes.revision >= self._next_revision:
                self._next_revision = changes.revision + 1
                return changes
            world.sleep_until(world.now_us() + WATCH_POLL_US)

    def close(self) -> None:
        """End the watch (Watch)."""


def _range_condition(key: bytes, end: bytes) -> tuple[str, tuple[bytes, ...]]:
    if not end:
        return "key = ?", (key,)
    return ("key >= ?", (key,)) if end == b"\0" else ("key >= ? AND key < ?", (key, end))


def _to_key_value(row: tuple[Any, ...]) -> KeyValue:
    key, value, create, mod, version, lease = row
    return KeyValue(key, value, create, mod, version, lease)

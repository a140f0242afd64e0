"""Embedded database for `RealWorld` (the interface to the real machine): SQLite, shared by the machine's processes.

No call blocks on another process, which may be stopped while it holds the write lock: `DatabaseBusy` is raised
immediately, and the caller waits on the scheduler before it retries. WAL mode lets readers proceed while another
process writes. With `synchronous=NORMAL` a killed process loses nothing; a power failure can lose the last
transactions but does not corrupt the file.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Sequence
from typing import Any

from yardspindle.runtime.world import DatabaseBusy, DatabaseError


class SqliteDatabase:
    """Implements Database with one SQLite connection."""

    def __init__(self, path: str) -> None:
        """Open the file, creating it if it does not exist. Raises DatabaseBusy, DatabaseError."""
        try:
            self._connection = sqlite3.connect(path, timeout=0, isolation_level=None)
            self._connection.execute("PRAGMA journal_mode=WAL")
            self._connection.execute("PRAGMA synchronous=NORMAL")
        except sqlite3.Error as error:
            if "locked" in str(error):
                raise DatabaseBusy from None
            raise DatabaseError(f"{path}: {error}") from None

    def run(self, statement: str, parameters: Sequence[Any] = ()) -> list[tuple[Any, ...]]:
        """Execute a statement and return its rows. Raises DatabaseBusy, DatabaseError."""
        try:
            return self._connection.execute(statement, parameters).fetchall()
        except sqlite3.OperationalError as error:
            if "locked" in str(error) or "busy" in str(error):
                raise DatabaseBusy from None
            raise DatabaseError(str(error)) from None
        except sqlite3.Error as error:
            raise DatabaseError(str(error)) from None

    def begin(self) -> None:
        """Start a write transaction. Raises DatabaseBusy, DatabaseError."""
        self.roll_back()  # one that could not be rolled back when it failed
        self.run("BEGIN IMMEDIATE")

    def commit(self) -> None:
        """Commit the transaction; it stays open after DatabaseBusy. Raises DatabaseBusy, DatabaseError."""
        self.run("COMMIT")

    def roll_back(self) -> None:
        """Roll back the open transaction, if any. Raises DatabaseBusy, DatabaseError."""
        if self._connection.in_transaction:
            self.run("ROLLBACK")

    def close(self) -> None:
        """Close the file."""
        self._connection.close()

"""An embedded database on the real World: SQLite of the standard library, shared by the processes of one machine.

No call waits for another process: where one holds the write lock (it may be stopped), `DatabaseBusy` is raised at
once, and the caller waits on the scheduler. WAL, so that readers never wait for a writer; `synchronous=NORMAL`, so
that a killed process loses nothing, and a machine without power at most the last transactions, never the file.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Sequence
from typing import Any

from yardspindle.runtime.world import DatabaseBusy, DatabaseError


class SqliteDatabase:
    """See Database."""

    def __init__(self, path: str) -> None:
        """Open the file, or make it. Raises DatabaseError."""
        try:
            self._connection = sqlite3.connect(path, timeout=0, isolation_level=None)
            self._connection.execute("PRAGMA journal_mode=WAL")
            self._connection.execute("PRAGMA synchronous=NORMAL")
        except sqlite3.Error as error:
            if "locked" in str(error):
                raise DatabaseBusy from None
            raise DatabaseError(f"{path}: {error}") from None

    def run(self, statement: str, arguments: Sequence[Any] = ()) -> list[tuple[Any, ...]]:
        """Carry out a statement; its rows. Raises DatabaseBusy, DatabaseError."""
        try:
            return self._connection.execute(statement, arguments).fetchall()
        except sqlite3.OperationalError as error:
            if "locked" in str(error) or "busy" in str(error):
                raise DatabaseBusy from None
            raise DatabaseError(str(error)) from None
        except sqlite3.Error as error:
            raise DatabaseError(str(error)) from None

    def begin(self) -> None:
        """Start a transaction that writes. Raises DatabaseBusy, DatabaseError."""
        self.run("BEGIN IMMEDIATE")

    def commit(self) -> None:
        """End it; after DatabaseBusy it is still open. Raises DatabaseBusy, DatabaseError."""
        self.run("COMMIT")

    def roll_back(self) -> None:
        """Undo it, if one is open."""
        if self._connection.in_transaction:
            self._connection.execute("ROLLBACK")

    def close(self) -> None:
        """Close the file."""
        self._connection.close()

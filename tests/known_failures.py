"""Reads KNOWN-RED.txt, the list of tests that are known to fail because of a fault in the program.

Each line has the form `test | cause | issue`; the file may list at most three tests.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

MAX_KNOWN_FAILURES = 3


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """A test that is known to fail."""

    test: str  # node id; without parameters it covers all cases
    cause: str
    issue: str

    def matches(self, node_id: str) -> bool:
        """Whether this entry covers the test with this node id."""
        return node_id == self.test or node_id.startswith(self.test + "[")


def read_known_failures(path: Path) -> list[KnownFailure]:
    """Return the listed tests, none if the file is missing.

    Raises ValueError for a malformed line or more than MAX_KNOWN_FAILURES lines.
    """
    if not path.exists():
        return []
    rows = [line.split(" | ") for line in path.read_text().splitlines() if line.strip()]
    wrong = [row for row in rows if len(row) != 3]
    if wrong or len(rows) > MAX_KNOWN_FAILURES:
        raise ValueError(f"{path.name}: {' | '.join(wrong[0]) if wrong else f'over {MAX_KNOWN_FAILURES} tests'}")
    return [KnownFailure(*(part.strip() for part in row)) for row in rows]

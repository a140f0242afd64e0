"""The list of tests that are known to fail for a fault of the program: KNOWN-RED.txt, a line each.

A line names the test, the cause and the issue, with ` | ` between them. At most three may stand there.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

MOST = 3


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """A test that is known to fail."""

    test: str  # its node id, without parameters for all of its cases
    cause: str
    issue: str

    def names(self, node_id: str) -> bool:
        """Whether a test's node id is meant."""
        return node_id == self.test or node_id.startswith(self.test + "[")


def read_known_failures(path: Path) -> list[KnownFailure]:
    """The listed tests; none where there is no file. Raises ValueError for a line of another form, or a fourth."""
    if not path.exists():
        return []
    rows = [line.split(" | ") for line in path.read_text().splitlines() if line.strip()]
    wrong = [row for row in rows if len(row) != 3]
    if wrong or len(rows) > MOST:
        raise ValueError(f"{path.name}: {' | '.join(wrong[0]) if wrong else f'over {MOST} tests'}")
    return [KnownFailure(*(part.strip() for part in row)) for row in rows]

"""Why a server closed connections of clients, or refused their requests, counted for the log and the metrics."""

from __future__ import annotations

from collections import Counter
from enum import Enum


class CloseReason(Enum):
    """Why a connection was closed, or a request refused, by the server rather than by a handler."""

    NO_ROOM = "no_room"  # a new connection, closed unread: every other one is busy
    IDLE_FOR_ROOM = "idle_for_room"  # idle longest, closed for a new connection or a call to a host
    INCOMPLETE_FOR_ROOM = "incomplete_for_room"  # its request has been incomplete for long; closed for a new connection
    IDLE = "idle"  # brought no byte of a request within the idle time
    INCOMPLETE = "incomplete"  # its request was not complete in time
    MALFORMED = "malformed"  # not valid HTTP, or beyond a limit on its size
    NO_MEMORY = "no_memory"  # a body was dropped, or no memory was left for the request
    STALLED = "stalled"  # accepted no byte of its response for too long
    CLIENT_LEFT = "client_left"  # closed by the client before its request was complete


class ServingCounts:
    """Counts of each reason since the start, and since the last report."""

    def __init__(self) -> None:
        """Nothing has been closed."""
        self.accepted = 0  # connections
        self.closed: Counter[CloseReason] = Counter()
        self._unreported: Counter[CloseReason] = Counter()

    def add(self, reason: CloseReason) -> None:
        """Count a connection or request."""
        self.closed[reason] += 1
        self._unreported[reason] += 1

    def take_unreported(self) -> dict[str, int]:
        """The counts since the last call, by name; empty if there was nothing to report."""
        counts = {reason.value: count for reason, count in self._unreported.items()}
        self._unreported.clear()
        return counts

    def as_dict(self) -> dict[str, int]:
        """All counts since the start, by name, for a log line."""
        return {"accepted": self.accepted} | {f"closed_{r.value}": n for r, n in sorted(self.closed.items(), key=_name)}


def _name(item: tuple[CloseReason, int]) -> str:
    return item[0].value

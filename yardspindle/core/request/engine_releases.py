"""What engines are still to let go of: owed until said, said again until heard, given up when it lapsed by itself.

A release that is lost leaves memory pinned at an engine until the engine's own time-out. So each one is tried again
with growing pauses while the engine may still hold the thing, and no longer. An engine that is down must not draw
a task for everything it ever held: a few releases go to each server at a time, the others wait their turn.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from yardspindle.core.hosts.directory import Server

MAX_IN_FLIGHT_PER_SERVER = (
    4  # releases out to one server: they are small, and a dead server holds each up for its time-out
)
PAUSE_FIRST_US = 25_000  # before a second try; a lost connection is usually back at once
PAUSE_MOST_US = 1_000_000
EXPIRY_US = 30_000_000  # an engine lets go by itself before this; later tries would be about nothing
MAX_PENDING = 20_000  # in all; past it the oldest of the fullest server is dropped, as it lapses first


class ResourceKind(Enum):
    """What is let go of."""

    STATE = "state"
    PLACE = "place"


@dataclass(slots=True)
class PendingRelease:
    """A release that an engine has not confirmed. `part` numbers the attempt or the place."""

    server: Server
    kind: ResourceKind
    request: int
    number: int
    since_us: int
    tries: int = 0
    due_us: int = 0


@dataclass(slots=True)
class _Line:
    waiting: deque[PendingRelease] = field(default_factory=deque)
    out: int = 0


class ReleaseQueues:
    """All that is owed, by server."""

    def __init__(self) -> None:
        """Nothing is owed."""
        self._lines: dict[tuple[str, int], _Line] = {}
        self.pending = 0
        self.expired = 0
        self.dropped = 0

    def add(self, now_us: int, server: Server, thing: ResourceKind, request: int, part: int) -> None:
        """Something is to be let go of; a server without the extension is never told."""
        if not server.places:
            return
        line = self._lines.setdefault((server.host, server.port), _Line())
        line.waiting.append(PendingRelease(server, thing, request, part, now_us, due_us=now_us))
        self.pending += 1
        if self.pending > MAX_PENDING:
            fullest = max(self._lines.values(), key=lambda known: len(known.waiting))
            fullest.waiting.popleft()
            self.pending -= 1
            self.dropped += 1

    def take_due(self, now_us: int) -> list[PendingRelease]:
        """What to say now; each is then answered for with `settled`."""
        due: list[PendingRelease] = []
        for key, line in list(self._lines.items()):
            for _ in range(len(line.waiting)):
                if line.out >= MAX_IN_FLIGHT_PER_SERVER:
                    break
                owed = line.waiting.popleft()
                if now_us - owed.since_us >= EXPIRY_US:
                    self.expired += 1
                    self.pending -= 1
                elif owed.due_us > now_us:
                    line.waiting.append(owed)
                else:
                    line.out += 1
                    due.append(owed)
            if not line.waiting and not line.out:
                del self._lines[key]
        return due

    def settled(self, now_us: int, owed: PendingRelease, confirmed: bool) -> None:
        """The engine confirmed, or was not heard: then it is said again later."""
        line = self._lines[(owed.server.host, owed.server.port)]
        line.out -= 1
        if confirmed:
            self.pending -= 1
            return
        owed.tries += 1
        owed.due_us = now_us + min(PAUSE_FIRST_US << min(owed.tries - 1, 10), PAUSE_MOST_US)
        line.waiting.append(owed)

    def next_due_us(self) -> int | None:
        """When the next one is to be said, or None; servers with enough out wait for those."""
        due = [
            owed.due_us for line in self._lines.values() if line.out < MAX_IN_FLIGHT_PER_SERVER for owed in line.waiting
        ]
        return min(due, default=None)

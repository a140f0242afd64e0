"""Pending releases of single states and places, queued by engine and retried until confirmed or expired.

A state is the KV cache that a read (prefill) leaves at its engine; a place is memory reserved for a write (decode). A
lost release leaves memory pinned at an engine until the engine's own time-out. So each one is retried with growing
pauses for as long as the engine may still hold the resource, and no longer. A few go to each server at a time and the
others wait in its queue, so that an engine that is down does not keep one task waiting for each state and place.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from yardspindle.core.hosts.directory import Server

MAX_IN_FLIGHT_PER_SERVER = 4  # releases are small, and each call to a dead server lasts until its time-out
INITIAL_PAUSE_US = 25_000  # before the second try; a lost connection is usually back at once
MAX_PAUSE_US = 1_000_000
EXPIRY_US = 30_000_000  # by then an engine frees a state or place by its own time-out: later tries are useless
MAX_PENDING = 20_000  # in all; beyond it the oldest of the longest queue is dropped, as it expires first


class ResourceKind(Enum):
    """What is released."""

    STATE = "state"
    PLACE = "place"


@dataclass(slots=True)
class PendingRelease:
    """A release that an engine has not confirmed; `number` is that of the attempt or place."""

    server: Server
    kind: ResourceKind
    request: int
    number: int
    since_us: int
    tries: int = 0
    due_us: int = 0


@dataclass(slots=True)
class _Queue:
    """Releases for one server: those waiting, and the number in flight."""

    waiting: deque[PendingRelease] = field(default_factory=deque)
    in_flight: int = 0


class ReleaseQueues:
    """All pending releases, by server."""

    def __init__(self) -> None:
        """Nothing is pending."""
        self._queues: dict[tuple[str, int], _Queue] = {}
        self.pending = 0
        self.expired = 0
        self.dropped = 0

    def add(self, now_us: int, server: Server, kind: ResourceKind, request: int, number: int) -> None:
        """Queue a release, unless the server lacks this router's protocol extension, which has the call for it."""
        if not server.places:
            return
        queue = self._queues.setdefault((server.host, server.port), _Queue())
        queue.waiting.append(PendingRelease(server, kind, request, number, now_us, due_us=now_us))
        self.pending += 1
        if self.pending > MAX_PENDING:
            fullest = max(self._queues.values(), key=lambda queue: len(queue.waiting))
            fullest.waiting.popleft()
            self.pending -= 1
            self.dropped += 1

    def take_due(self, now_us: int) -> list[PendingRelease]:
        """The releases to send now; `settled` has to be called for each."""
        due: list[PendingRelease] = []
        for key, queue in list(self._queues.items()):
            for _ in range(len(queue.waiting)):
                if queue.in_flight >= MAX_IN_FLIGHT_PER_SERVER:
                    break
                release = queue.waiting.popleft()
                if now_us - release.since_us >= EXPIRY_US:
                    self.expired += 1
                    self.pending -= 1
                elif release.due_us > now_us:
                    queue.waiting.append(release)
                else:
                    queue.in_flight += 1
                    due.append(release)
            if not queue.waiting and not queue.in_flight:
                del self._queues[key]
        return due

    def settled(self, now_us: int, release: PendingRelease, confirmed: bool) -> None:
        """The engine confirmed a release; otherwise it is retried later."""
        queue = self._queues[(release.server.host, release.server.port)]
        queue.in_flight -= 1
        if confirmed:
            self.pending -= 1
            return
        release.tries += 1
        release.due_us = now_us + min(INITIAL_PAUSE_US << min(release.tries - 1, 10), MAX_PAUSE_US)
        queue.waiting.append(release)

    def next_due_us(self) -> int | None:
        """When the next release is due, or None; servers with enough in flight are left out."""
        due = [
            release.due_us
            for queue in self._queues.values()
            if queue.in_flight < MAX_IN_FLIGHT_PER_SERVER
            for release in queue.waiting
        ]
        return min(due, default=None)

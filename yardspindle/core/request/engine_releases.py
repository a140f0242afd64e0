"""Pending releases of single states and places, queued by engine and retried until confirmed.

A state is the KV cache that a read (prefill) leaves at its engine; a place is memory reserved for a write (decode). A
lost release leaves memory pinned at an engine until the engine's own time-out, which begins only when the engine has
taken the call: one that hangs may take it at any time. So each release is retried with growing pauses until the engine
confirms it or has left the server list; once an engine confirms one, all that wait for it are sent. A few go to each
server at a time and the others wait in its queue, so that an engine that is down does not keep one task waiting for
each state and place.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import Enum
from heapq import heapify, heappop, heappush

from yardspindle.core.hosts.directory import Server

MAX_IN_FLIGHT_PER_SERVER = 4  # releases are small, and each call to a dead server lasts until its time-out
INITIAL_PAUSE_US = 25_000  # before the second try; a lost connection is usually back at once
MAX_PAUSE_US = 1_000_000  # for each release, and at least MIN_RETRY_INTERVAL_US for each that waits for the same server
MIN_RETRY_INTERVAL_US = 50_000
MAX_PENDING = 20_000  # in all; beyond it one of the longest queue is evicted and counted


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
    """Releases for one server: those waiting, as a heap by due time and order of arrival, and the number in flight."""

    waiting: list[tuple[int, int, PendingRelease]] = field(default_factory=list)
    in_flight: int = 0
    failed: bool = False  # a release failed since one was confirmed
    gone: bool = False  # the server has left the list


class ReleaseQueues:
    """All pending releases, by server."""

    def __init__(self) -> None:
        """Nothing is pending."""
        self._queues: dict[tuple[str, int], _Queue] = {}
        self._added = 0
        self.pending = 0
        self.evicted = 0

    def add(self, now_us: int, server: Server, kind: ResourceKind, request: int, number: int) -> None:
        """Queue a release, unless the server lacks this router's protocol extension, which has the call for it."""
        if not server.places:
            return
        queue = self._queues.setdefault((server.host, server.port), _Queue())
        queue.gone = False
        self._push(queue, PendingRelease(server, kind, request, number, now_us, due_us=now_us))
        self.pending += 1
        if self.pending > MAX_PENDING:
            heappop(max(self._queues.values(), key=lambda queue: len(queue.waiting)).waiting)
            self.pending -= 1
            self.evicted += 1

    def _push(self, queue: _Queue, release: PendingRelease) -> None:
        self._added += 1
        heappush(queue.waiting, (release.due_us, self._added, release))

    def retain_servers(self, servers: Collection[Server]) -> None:
        """Drop the releases for engines that are no longer known: they are gone, with all that they held."""
        addresses = {(server.host, server.port) for server in servers}
        for key, queue in self._queues.items():
            if key not in addresses:
                queue.gone = True
                self.pending -= len(queue.waiting)
                queue.waiting.clear()

    def take_due(self, now_us: int) -> list[PendingRelease]:
        """The releases to send now; `settled` has to be called for each."""
        due: list[PendingRelease] = []
        for key, queue in list(self._queues.items()):
            while queue.waiting and queue.waiting[0][0] <= now_us and queue.in_flight < MAX_IN_FLIGHT_PER_SERVER:
                queue.in_flight += 1
                due.append(heappop(queue.waiting)[2])
            if not queue.waiting and not queue.in_flight:
                del self._queues[key]
        return due

    def settled(self, now_us: int, release: PendingRelease, confirmed: bool) -> None:
        """The engine confirmed a release; otherwise it is retried later."""
        queue = self._queues[(release.server.host, release.server.port)]
        queue.in_flight -= 1
        if confirmed or queue.gone:
            self.pending -= 1
            self._send_waiting(now_us, queue)
            return
        queue.failed = True
        release.tries += 1
        max_pause_us = max(MAX_PAUSE_US, MIN_RETRY_INTERVAL_US * len(queue.waiting))
        release.due_us = now_us + min(INITIAL_PAUSE_US << min(release.tries - 1, 20), max_pause_us)
        self._push(queue, release)

    def _send_waiting(self, now_us: int, queue: _Queue) -> None:
        """The engine answers: what waits for another try is due now."""
        if queue.failed:
            queue.failed = False
            queue.waiting = [(min(due_us, now_us), order, release) for due_us, order, release in queue.waiting]
            heapify(queue.waiting)

    def next_due_us(self) -> int | None:
        """When the next release is due, or None; servers with enough in flight are left out."""
        due = [
            queue.waiting[0][0]
            for queue in self._queues.values()
            if queue.waiting and queue.in_flight < MAX_IN_FLIGHT_PER_SERVER
        ]
        return min(due, default=None)

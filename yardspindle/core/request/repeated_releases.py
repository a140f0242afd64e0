"""When to repeat the releases of requests for which servers may come to hold something after the first release.

A release is the message that frees what servers hold for a request. A request has one entry, however many of its calls
are the reason for it. Only entries that are due cost time (a heap), as a tick comes every few milliseconds.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from heapq import heappop, heappush

FIRST_PAUSES_US = (120_000, 240_000)  # between the first repeats at a server that reads its connections now
PAUSE_MARGIN_US = 50_000  # other pauses exceed the release time by this, as the platform's limits do on sockets
EVEN_PAUSES_US = 6_000_000  # for so long after a server's answer the pauses stay the same; then they grow
SILENT_EVEN_PAUSES_US = 60_000_000  # the same while a server is silent: twice the longest hang that is expected
GROWTH = 0.25  # of the time since the entry was scheduled, as the least pause then
MIN_INTERVAL_US = 1_000_000 // 60  # from one repeat to the next, over all requests whose servers are silent


@dataclass(slots=True)
class RepeatedRelease:
    """The repeats of one request's release."""

    since_us: int
    due_us: int
    until_us: int  # no repeat later than this, unless a server is still silent
    first_pauses: list[int]  # still to be used, the last one first


class RepeatedReleases:
    """The repeats of all requests."""

    def __init__(self, release_us: int) -> None:
        """Nothing is scheduled; `release_us`: the time limit for releasing what is held."""
        self._pause_us = release_us + PAUSE_MARGIN_US
        self.entries: dict[int, RepeatedRelease] = {}
        self._heap: list[tuple[int, int]] = []  # due time and request; outdated if the entry has another due time

    def schedule(self, now_us: int, request: int, due_us: int, until_us: int, quick: bool = False) -> None:
        """Repeat a request's release next at `due_us` and on until `until_us`, or until the time scheduled earlier.

        `quick`: with `FIRST_PAUSES_US`.
        """
        before = self.entries.get(request)
        self.entries[request] = RepeatedRelease(
            now_us,
            due_us,
            until_us if before is None else max(until_us, before.until_us),
            list(reversed(FIRST_PAUSES_US)) if quick else [],
        )
        heappush(self._heap, (due_us, request))

    def take_due(self, now_us: int, running: Collection[int], unproven: Collection[int]) -> list[int]:
        """The requests whose release is to be repeated now; those in `unproven` are repeated without an end.

        One that still runs waits: a release could free what an attempt of it needs. It is repeated after its end.
        """
        due = []
        while self._heap and self._heap[0][0] <= now_us:
            due_us, request = heappop(self._heap)
            entry = self.entries.get(request)
            if entry is None or entry.due_us != due_us:
                continue
            if request in running:
                entry.due_us = now_us + self._pause_us
                entry.until_us = max(entry.until_us, entry.due_us)
                heappush(self._heap, (entry.due_us, request))
                continue
            due.append(request)
            is_unproven = request in unproven
            entry.due_us = now_us + self._next_pause_us(now_us, entry, len(unproven) if is_unproven else 0)
            if entry.due_us > entry.until_us and not is_unproven:
                del self.entries[request]
            else:
                heappush(self._heap, (entry.due_us, request))
        return due

    def _next_pause_us(self, now_us: int, entry: RepeatedRelease, unproven_count: int) -> int:
        """The pause after a repeat; `unproven_count`: the requests with silent servers, 0 if this is none of them."""
        if entry.first_pauses:
            return entry.first_pauses.pop()
        age_us = now_us - entry.since_us
        even_us = SILENT_EVEN_PAUSES_US if unproven_count else EVEN_PAUSES_US
        pause_us = self._pause_us if age_us < even_us else max(self._pause_us, round(GROWTH * age_us))
        return max(pause_us, MIN_INTERVAL_US * unproven_count)

    def forget(self, request: int) -> None:
        """Repeat a request's release no more."""
        self.entries.pop(request, None)

    def forget_unproven(self, now_us: int, request: int) -> None:
        """Repeat a request's release only as long as servers that answered are the reason for it."""
        if self.entries[request].until_us <= now_us:
            del self.entries[request]

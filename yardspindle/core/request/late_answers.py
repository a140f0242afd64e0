"""Calls for places that were given up unanswered and whose connections stay open for the writer's last word on them.

A place is memory that a writer (decode server) reserves for a request. A writer that was paused, or one connection that
was silent while the writer answered on others, may deliver such a call at any later time, and the place is held from
then on. Neither a time nor an answer on another connection tells when. So the sending on the connection ends, which
gives the call up, and the connection is closed only when the writer has answered or closed it, or is gone: that is the
moment to release the place.

Each call takes a connection, so their number is bounded, and connections can be given back when descriptors run out. A
call whose connection was closed early is tracked as one that may lie unread (`unread_calls.py`).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass

MAX_AWAITED = 64  # calls, each with a connection


@dataclass(frozen=True, slots=True)
class LateCall:
    """A call for a place whose late answer is awaited; `place` is the number of the call within the request."""

    request: int
    place: int
    server: int


class LateAnswers:
    """All calls whose late answers are awaited, oldest first."""

    def __init__(self) -> None:
        """Nothing is awaited."""
        self._calls: dict[tuple[int, int], LateCall] = {}  # by request and place
        self._requests: Counter[int] = Counter()

    def __len__(self) -> int:
        """The number of calls."""
        return len(self._calls)

    def awaits(self, request: int) -> bool:
        """Whether an answer to a call of the request is awaited."""
        return request in self._requests

    def add(self, call: LateCall) -> LateCall | None:
        """Await an answer; returns the oldest call if its connection has to be closed instead."""
        self._calls[call.request, call.place] = call
        self._requests[call.request] += 1
        return self.remove_oldest() if len(self._calls) > MAX_AWAITED else None

    def remove(self, request: int, place: int) -> LateCall | None:
        """Await an answer no more; returns the call, or None if it was removed before."""
        call = self._calls.pop((request, place), None)
        if call is not None:
            self._requests[request] -= 1
            if not self._requests[request]:
                del self._requests[request]
        return call

    def remove_oldest(self) -> LateCall | None:
        """Await the oldest call's answer no more; returns the call, or None if there is none."""
        oldest = next(iter(self._calls.values()), None)
        return self.remove(oldest.request, oldest.place) if oldest is not None else None

    def remove_unlisted(self, listed: Collection[int]) -> list[LateCall]:
        """Await no more from servers that are not listed, which are gone; returns their calls."""
        gone = [call for call in self._calls.values() if call.server not in listed]
        for call in gone:
            self.remove(call.request, call.place)
        return gone

"""Remembers the ids of requests that were sent to an engine, so that none is run again under the same id.

A client that left may come again with its id while its first request still runs: closing a connection does not stop
work that an engine has begun.
"""

from __future__ import annotations

MAX_IDS = 8_192  # beyond it the oldest is forgotten; at 20 requests a second it was sent seven minutes ago


class RecentIds:
    """The ids sent last, in the order in which they were sent."""

    def __init__(self, max_ids: int = MAX_IDS) -> None:
        """Start empty."""
        self._max_ids = max_ids
        self._ids: dict[bytes, None] = {}

    def __contains__(self, request_id: object) -> bool:
        """Whether a request with this id was sent."""
        return request_id in self._ids

    def __len__(self) -> int:
        """The number of ids remembered."""
        return len(self._ids)

    def add(self, request_id: bytes) -> None:
        """Remember an id that is sent."""
        self._ids.pop(request_id, None)
        self._ids[request_id] = None
        if len(self._ids) > self._max_ids:
            del self._ids[next(iter(self._ids))]

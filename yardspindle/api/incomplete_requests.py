"""Connections whose request is being received: the one that has taken longest can be dropped to make room.

Hundreds of clients that stop half way would otherwise shut out all others. Nothing of such a request is taken on, since
its last byte has not arrived.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from dataclasses import dataclass

from yardspindle.runtime.scheduler import Task
from yardspindle.runtime.world import Stream, World

GRACE_US = 300_000  # a request that is incomplete for longer may be dropped


@dataclass(slots=True)
class _IncompleteRequest:
    stream: Stream
    since_us: int


class IncompleteRequests:
    """The incomplete requests of a server, oldest first."""

    def __init__(self, world: World) -> None:
        """None yet."""
        self._world = world
        self._requests: dict[Task, _IncompleteRequest] = {}

    @contextlib.contextmanager
    def receiving(self, stream: Stream, limit_us: int) -> Iterator[None]:
        """Limit the time in which the current task receives a part of its request; it may be dropped meanwhile."""
        task, now = self._world.current(), self._world.now_us()
        self._requests[task] = _IncompleteRequest(stream, now)
        try:
            with self._world.deadline(now + limit_us):
                yield
        finally:
            self._requests.pop(task, None)

    def drop_oldest(self) -> Task | None:
        """Reset the connection that has been here longest, and return its task; None if none has been for long.

        One of which bytes lie unread is left: they may be the last of its request.
        """
        for task, request in self._requests.items():
            if self._world.now_us() - request.since_us < GRACE_US:
                return None
            if task.parked and request.stream.is_idle():
                del self._requests[task]
                request.stream.abort()
                return task
        return None

"""Cuts off a client that accepts no byte of its response for too long: its request would stay open for good."""

from __future__ import annotations

from collections.abc import Callable

from yardspindle.api.exchange import Exchange
from yardspindle.api.serving_counts import CloseReason, ServingCounts
from yardspindle.runtime.world import World

CHECKS_PER_LIMIT = 4  # checks in the time after which a client counts as stalled


class StallGuard:
    """Watches the writes of one exchange, without a timer for each write; a client that reads slowly is not stalled."""

    def __init__(self, world: World, exchange: Exchange, limit_us: int, counts: ServingCounts) -> None:
        """Begin to watch; `limit_us`: for how long a write may make no progress."""
        self._world = world
        self._exchange = exchange
        self._limit_us = limit_us
        self._counts = counts
        self._sent_bytes = exchange.stream.sent_bytes
        self._progress_us = world.now_us()
        self._cancel: Callable[[], None] = _do_nothing
        self._schedule()

    def stop(self) -> None:
        """Watch no longer."""
        self._cancel()
        self._cancel = _do_nothing  # the timer and the guard would keep each other in memory

    def _schedule(self) -> None:
        self._cancel = self._world.call_at(self._world.now_us() + self._limit_us // CHECKS_PER_LIMIT, self._check)

    def _check(self) -> None:
        now, exchange = self._world.now_us(), self._exchange
        if exchange.stream.sent_bytes != self._sent_bytes:
            self._sent_bytes, self._progress_us = exchange.stream.sent_bytes, now
        blocked_since_us = max(exchange.writing_since_us, self._progress_us)
        if not exchange.writing_since_us or now - blocked_since_us < self._limit_us:
            self._schedule()
            return
        self._counts.add(CloseReason.STALLED)
        try:
            exchange.client_disconnected()
        finally:
            exchange.stream.abort()


def _do_nothing() -> None:
    pass

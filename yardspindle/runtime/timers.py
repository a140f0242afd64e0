"""Timers for thousands of deadlines, most of which are cancelled before they are due.

Timers that are due at the same tick share a bucket (a dict, so that they fire in the order in which they were set),
and a heap contains each tick once. Cancelling removes the timer from its bucket immediately and leaves behind at most
the tick in the heap, so the heap has at most one entry per tick of the time span covered. A plain heap would keep
every cancelled timer until its due time; `benchmarks/timers.py` compares the two.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

TICK_US = 1_000  # timer resolution, far finer than any time on which the router bases a decision


def _do_nothing() -> None:
    pass


class TimerHandle:
    """Handle to cancel a timer; cancelling is safe even after the timer fired."""

    __slots__ = ("_bucket", "callback")

    def __init__(self, callback: Callable[[], None], bucket: dict[TimerHandle, None]) -> None:
        """Made by `Timers.set`."""
        self.callback = callback
        self._bucket = bucket

    def cancel(self) -> None:
        """Remove the timer; no effect if it already fired or was cancelled.

        The callback is dropped: it usually belongs to the timer's owner, and the two would keep each other in memory.
        """
        self._bucket.pop(self, None)
        self.callback = _do_nothing


class Timers:
    """A set of timers. The caller reads the clock, in microseconds, and asks for the callbacks that are due."""

    def __init__(self) -> None:
        """Start empty."""
        self._buckets: dict[int, dict[TimerHandle, None]] = {}
        self._ticks: list[int] = []

    def __len__(self) -> int:
        """Number of pending timers."""
        return sum(len(bucket) for bucket in self._buckets.values())

    @property
    def heap_size(self) -> int:
        """Number of ticks in the heap, including those whose timers were all cancelled."""
        return len(self._ticks)

    def set(self, due_us: int, callback: Callable[[], None]) -> TimerHandle:
        """Schedule a callback for the first tick at or after `due_us`."""
        tick = -(-due_us // TICK_US)
        bucket = self._buckets.get(tick)
        if bucket is None:
            bucket = self._buckets[tick] = {}
            heapq.heappush(self._ticks, tick)
        handle = TimerHandle(callback, bucket)
        bucket[handle] = None
        return handle

    def next_due_us(self) -> int | None:
        """Return when the next timer is due, or None if there is none."""
        while self._ticks:
            if self._buckets[self._ticks[0]]:
                return self._ticks[0] * TICK_US
            del self._buckets[heapq.heappop(self._ticks)]
        return None

    def pop_due(self, now_us: int) -> list[Callable[[], None]]:
        """Remove and return the callbacks that are due, ordered by tick, then by the order in which they were set."""
        due: list[Callable[[], None]] = []
        while self._ticks and self._ticks[0] * TICK_US <= now_us:
            bucket = self._buckets.pop(heapq.heappop(self._ticks))
            due += [handle.callback for handle in bucket]
            bucket.clear()
        return due


def run_callbacks(callbacks: list[Callable[[], None]], on_error: Callable[[Exception], None]) -> None:
    """Call each callback; the error of one is passed on and keeps no other one from being called."""
    for callback in callbacks:
        try:
            callback()
        except Exception as error:
            on_error(error)


def raise_error(error: Exception) -> None:
    """Raise an error of a callback: the event loop then ends."""
    raise error

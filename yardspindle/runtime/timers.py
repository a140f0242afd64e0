"""Timers for thousands of deadlines, most of which are cancelled before they are due.

Timers of one tick share a bucket (a dict, so they fire in the order they were set), and a heap holds each tick
once. Cancelling deletes the timer from its bucket at once: nothing of it stays behind but, at most, the tick's
number, and there are never more of those than ticks in the span ahead. A plain heap keeps every cancelled timer
until it would have been due; `benchmarks/timers.py` compares the two.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

TICK_US = 1_000  # a timer is due at the first tick at or after its time; far under any time the router judges


class TimerHandle:
    """A timer that can be cancelled, also after it fired."""

    __slots__ = ("_bucket", "callback")

    def __init__(self, callback: Callable[[], None], bucket: dict[TimerHandle, None]) -> None:
        """Made by `Timers.set`."""
        self.callback = callback
        self._bucket = bucket

    def cancel(self) -> None:
        """Forget the timer; no effect if it fired or was cancelled."""
        self._bucket.pop(self, None)


class Timers:
    """A set of timers on a clock in microseconds that the caller reads."""

    def __init__(self) -> None:
        """Start empty."""
        self._buckets: dict[int, dict[TimerHandle, None]] = {}
        self._ticks: list[int] = []

    def __len__(self) -> int:
        """Timers that are set."""
        return sum(len(bucket) for bucket in self._buckets.values())

    @property
    def heap_size(self) -> int:
        """Ticks in the heap, those of cancelled timers among them."""
        return len(self._ticks)

    def set(self, due_us: int, callback: Callable[[], None]) -> TimerHandle:
        """Call back at the first tick at or after `due_us`."""
        tick = -(-due_us // TICK_US)
        bucket = self._buckets.get(tick)
        if bucket is None:
            bucket = self._buckets[tick] = {}
            heapq.heappush(self._ticks, tick)
        handle = TimerHandle(callback, bucket)
        bucket[handle] = None
        return handle

    def next_due_us(self) -> int | None:
        """When the next timer is due, or None."""
        while self._ticks:
            if self._buckets[self._ticks[0]]:
                return self._ticks[0] * TICK_US
            del self._buckets[heapq.heappop(self._ticks)]
        return None

    def pop_due(self, now_us: int) -> list[Callable[[], None]]:
        """Take out the callbacks that are due, in the order of their ticks and then of their setting."""
        due: list[Callable[[], None]] = []
        while self._ticks and self._ticks[0] * TICK_US <= now_us:
            bucket = self._buckets.pop(heapq.heappop(self._ticks))
            due += [handle.callback for handle in bucket]
            bucket.clear()
        return due

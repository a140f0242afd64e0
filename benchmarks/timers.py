"""Timers that are mostly cancelled: bucketed timers compared with a heap that marks cancelled entries.

Run: python benchmarks/timers.py. Each request sets a deadline some seconds away and cancels it soon after. Prints the
entries still held at the end, and the time of the bucketed timers over that of the heap in the same run.
"""

from __future__ import annotations

import heapq
import itertools
import time
from collections.abc import Callable

from yardspindle.runtime.timers import Timers

REQUESTS = 200_000
DEADLINE_US = 7_500_000
OPEN_REQUESTS = 200  # concurrent requests
GAP_US = 100


class PlainHeap:
    """Baseline as in most event loops: cancelled entries stay in the heap until they would have been due."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, list[Callable[[], None] | None]]] = []
        self.count = itertools.count()

    def set(self, due_us: int, callback: Callable[[], None]) -> Callable[[], None]:
        cell: list[Callable[[], None] | None] = [callback]
        heapq.heappush(self.heap, (due_us, next(self.count), cell))
        return cell.clear

    def pop_due(self, now_us: int) -> None:
        while self.heap and self.heap[0][0] <= now_us:
            heapq.heappop(self.heap)


def no_op() -> None:
    pass


def run(set_timer: Callable[[int, Callable[[], None]], Callable[[], None]], pop_due: Callable[[int], object]) -> float:
    started = time.perf_counter()
    open_timers: list[Callable[[], None]] = []
    for number in range(REQUESTS):
        now_us = number * GAP_US
        open_timers.append(set_timer(now_us + DEADLINE_US, no_op))
        if len(open_timers) > OPEN_REQUESTS:
            open_timers.pop(0)()
        if number % 10 == 0:
            pop_due(now_us)
    return time.perf_counter() - started


def main() -> None:
    bucketed, plain = Timers(), PlainHeap()
    ratios = []
    for _ in range(5):
        bucketed, plain = Timers(), PlainHeap()
        ratios.append(
            run(lambda due, call, t=bucketed: t.set(due, call).cancel, bucketed.pop_due)  # type: ignore[misc]
            / run(plain.set, plain.pop_due)
        )
    print(
        f"held for {OPEN_REQUESTS} open timers: ours {len(bucketed)} timers and {bucketed.heap_size} heap entries, "
        f"plain heap {len(plain.heap)} entries"
    )
    print(f"time, ours / plain: median {sorted(ratios)[2]:.2f} of {', '.join(f'{r:.2f}' for r in ratios)}")


if __name__ == "__main__":
    main()

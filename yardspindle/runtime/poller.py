"""Waits with `select.poll` for the descriptors of all of a process's tasks at once, and provides their clock.

The scheduler (runtime/scheduler.py) calls the poller; `RealWorld` (runtime/real.py) parks tasks in it. Simulations use
`VirtualClock` instead.
"""

from __future__ import annotations

import errno
import select
import time
from collections.abc import Callable

from yardspindle.runtime.scheduler import Scheduler, Task

READ_MASK = select.POLLIN
WRITE_MASK = select.POLLOUT
POLL_RETRY_S = 0.001


class PollPoller:
    """Waits for descriptors with `select.poll`; per descriptor one task may wait to read and one to write."""

    def __init__(self) -> None:
        """Set the offset from the monotonic clock to the wall clock; it does not change afterwards."""
        self._clock_offset_ns = time.time_ns() - time.monotonic_ns()
        self._poll = select.poll()
        self._waiting: dict[int, dict[int, Task]] = {}
        self._wake: Callable[[Task], None] = lambda task: None
        self.polls = 0
        self._returned_us = 0  # end of the last wait; 0 before the first
        self._longest_turn_us = 0

    def now_us(self) -> int:
        """Return the time in microseconds since the epoch."""
        return (self._clock_offset_ns + time.monotonic_ns()) // 1_000

    def idle(self) -> bool:
        """Return whether no task waits for a descriptor."""
        return not self._waiting

    def wait(self, until_us: int | None) -> None:
        """Wait until a descriptor is ready or the time is reached; wake the tasks whose descriptors are ready."""
        now_us = self.now_us()
        if self._returned_us:
            self._longest_turn_us = max(self._longest_turn_us, now_us - self._returned_us)
        timeout_ms = None if until_us is None else max(0, -(-(until_us - now_us) // 1_000))
        self.polls += 1
        ready = self._poll_events(timeout_ms)
        self._returned_us = self.now_us()
        for descriptor, events in ready:
            waiting = self._waiting.get(descriptor)
            if waiting is None:
                continue
            for mask, task in list(waiting.items()):
                if events & (mask | select.POLLERR | select.POLLHUP | select.POLLNVAL):
                    self._wake(task)

    def take_longest_turn_us(self) -> int:
        """The longest time that the tasks ran between two waits since the last call."""
        longest_us, self._longest_turn_us = self._longest_turn_us, 0
        return longest_us

    def _poll_events(self, timeout_ms: int | None) -> list[tuple[int, int]]:
        """Poll; without memory for it the kernel reports nothing, so wait a moment and let the caller poll again."""
        try:
            return self._poll.poll(timeout_ms)
        except OSError as error:
            if error.errno not in (errno.ENOMEM, errno.EAGAIN):
                raise
            time.sleep(POLL_RETRY_S)
            return []

    def block(self, scheduler: Scheduler, descriptor: int, mask: int) -> None:
        """Park the running task until the descriptor is ready for reading or writing, as given by `mask`."""
        self._wake = scheduler.wake
        waiting = self._waiting.setdefault(descriptor, {})
        assert mask not in waiting, "two tasks wait for the same direction of one descriptor"
        waiting[mask] = scheduler.current
        self._poll.register(descriptor, sum(waiting))  # the masks are different bits: their sum is their union
        try:
            scheduler.park()
        finally:
            del waiting[mask]
            if self._waiting.get(descriptor) is waiting:  # otherwise the descriptor was closed and may be in use again
                if waiting:
                    self._poll.register(descriptor, sum(waiting))
                else:
                    del self._waiting[descriptor]
                    self._poll.unregister(descriptor)

    def unregister(self, descriptor: int) -> None:
        """Stop polling a descriptor that is about to be closed, and wake the tasks that wait for it."""
        waiting = self._waiting.pop(descriptor, None)
        if waiting is not None:
            self._poll.unregister(descriptor)
            for task in list(waiting.values()):
                self._wake(task)

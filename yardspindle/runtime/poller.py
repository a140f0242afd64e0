"""The machine's clock and sockets as the scheduler's poller: `select.poll`, one wait for all tasks."""

from __future__ import annotations

import select
import time
from collections.abc import Callable

from yardspindle.runtime.scheduler import Scheduler, Task

READ_MASK = select.POLLIN
WRITE_MASK = select.POLLOUT


class PollPoller:
    """Waits for sockets with `select.poll`; one task may wait for reading and one for writing of each."""

    def __init__(self) -> None:
        """Take the clock's start."""
        self._epoch_ns = time.time_ns() - time.monotonic_ns()
        self._poll = select.poll()
        self._waiting: dict[int, dict[int, Task]] = {}
        self._wake: Callable[[Task], None] = lambda task: None
        self.polls = 0

    def now_us(self) -> int:
        """Microseconds since the epoch."""
        return (self._epoch_ns + time.monotonic_ns()) // 1_000

    def idle(self) -> bool:
        """Whether no task waits for a socket."""
        return not self._waiting

    def wait(self, until_us: int | None) -> None:
        """Wait for sockets, at most until then."""
        timeout_ms = None if until_us is None else max(0, -(-(until_us - self.now_us()) // 1_000))
        self.polls += 1
        for descriptor, events in self._poll.poll(timeout_ms):
            waiting = self._waiting.get(descriptor)
            if waiting is None:
                continue
            for mask, task in list(waiting.items()):
                if events & (mask | select.POLLERR | select.POLLHUP | select.POLLNVAL):
                    self._wake(task)

    def block(self, scheduler: Scheduler, descriptor: int, mask: int) -> None:
        """Park the running task until the descriptor is ready."""
        self._wake = scheduler.wake
        waiting = self._waiting.setdefault(descriptor, {})
        assert mask not in waiting, "two tasks wait for the same end of one socket"
        waiting[mask] = scheduler.current
        self._poll.register(descriptor, sum(waiting))
        try:
            scheduler.park()
        finally:
            del waiting[mask]
            if self._waiting.get(descriptor) is waiting:  # else the descriptor was closed, and may be reused
                if waiting:
                    self._poll.register(descriptor, sum(waiting))
                else:
                    del self._waiting[descriptor]
                    self._poll.unregister(descriptor)

    def forget(self, descriptor: int) -> None:
        """Wake the tasks that wait for a descriptor about to be closed."""
        waiting = self._waiting.pop(descriptor, None)
        if waiting is not None:
            self._poll.unregister(descriptor)
            for task in list(waiting.values()):
                self._wake(task)

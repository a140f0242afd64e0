"""Aborts a stream whose host brings nothing for too long, without a timer for each event."""

from __future__ import annotations

from collections.abc import Callable

from yardspindle.core.request import timeouts
from yardspindle.node.host_client import ResponseStream
from yardspindle.node.running_request import RunningRequest
from yardspindle.runtime.world import World


class StreamGuard:
    """Watches the stream of one request for silence; `ResponseStream.read` raises if what comes is no answer."""

    def __init__(self, world: World, running: RunningRequest, stream: ResponseStream) -> None:
        """Begin to watch."""
        self._world = world
        self._running = running
        self._stream = stream
        self._cancel: Callable[[], None] = _do_nothing
        self.expired = False  # the stream was aborted
        self._check()

    def stop(self) -> None:
        """Watch no longer."""
        self._cancel()
        self._cancel = _do_nothing  # the timer and the guard would keep each other in memory

    def _check(self) -> None:
        now = self._world.now_us()
        silent_since_us = max(self._running.awaiting_host_since_us or now, self._stream.last_input_us)
        due_us = silent_since_us + timeouts.STREAM_IDLE_US
        if now >= due_us and self._stream.is_idle():
            self.expired = True
            self._stream.abort()
        else:  # not due, or bytes have arrived, which the relaying task reads in this turn of the event loop
            self._cancel = self._world.call_at(max(due_us, now + timeouts.FINAL_POLL_US), self._check)


def _do_nothing() -> None:
    pass

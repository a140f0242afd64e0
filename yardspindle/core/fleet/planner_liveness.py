"""Detects an unresponsive planner: it must answer every batch of events within a time limit.

The planner (the process that decides which server does what) is connected by a link to each edge (a process that holds
client connections). A planner that dies closes its link. One that hangs, or a link cut in one direction only, closes
nothing: without this check every request would wait for its own deadline, and new ones would be accepted meanwhile. No
extra messages are sent: an edge with no events to send needs no answer. Only time during which this edge was running
counts, because after a stall of its own the answers may lie unread in its socket.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

MAX_COUNTED_GAP_US = 100_000  # several edge ticks; a longer gap between two calls was the edge's own stall: not counted


@dataclass(slots=True)
class PlannerLiveness:
    """Tracks the unanswered batches of one link. `timeout_us`: how long the planner may take to answer a batch."""

    timeout_us: int
    _sent: deque[tuple[int, int]] = field(default_factory=deque)  # batch number, and `_running_us` when it was sent
    _running_us: int = 0  # time for which the edge was observed to run
    _last_call_us: int | None = None

    def record_sent(self, now_us: int, number: int) -> None:
        """Records that a batch is sent. Numbers increase."""
        self._advance(now_us)
        self._sent.append((number, self._running_us))

    def record_answered(self, now_us: int, number: int) -> None:
        """Records that the planner has answered this batch and all earlier ones."""
        self._advance(now_us)
        while self._sent and self._sent[0][0] <= number:
            self._sent.popleft()

    def timed_out(self, now_us: int) -> bool:
        """Whether the oldest unanswered batch has waited longer than the limit; called at every tick."""
        self._advance(now_us)
        return bool(self._sent) and self._running_us - self._sent[0][1] > self.timeout_us

    def reset(self, now_us: int) -> None:
        """Starts over for a new link, with no batches in flight."""
        self._sent.clear()
        self._last_call_us = now_us

    def _advance(self, now_us: int) -> None:
        if self._last_call_us is not None:
            elapsed_us = now_us - self._last_call_us
            self._running_us += elapsed_us if elapsed_us <= MAX_COUNTED_GAP_US else 0
        self._last_call_us = now_us

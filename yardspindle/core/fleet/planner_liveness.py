"""Whether a planner still decides: every batch of events is answered, so one that is not answered in time is silence.

A planner that dies closes its link. One that hangs, or a link cut in one direction, closes nothing: without a pulse
every request would wait for its own deadline, and new ones would be taken meanwhile. Nothing is sent for it: an edge
with nothing to tell asks nothing and cannot be let down. Time counts only while this edge ran, because after a stall
of its own the answers may lie unread in its socket.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

MAX_COUNTED_GAP_US = (
    100_000  # a longer pause between two looks was the edge's own, several of its ticks, and is not counted
)


@dataclass(slots=True)
class PlannerLiveness:
    """The batches of one link that are not answered. `silent_us`: how long a planner may take for one."""

    silent_us: int
    _sent: deque[tuple[int, int]] = field(default_factory=deque)  # number, and the time run when it was sent
    _ran_us: int = 0  # time that the edge was seen to run
    _looked_us: int | None = None

    def record_sent(self, now_us: int, number: int) -> None:
        """A batch goes out. Numbers grow."""
        self._run(now_us)
        self._sent.append((number, self._ran_us))

    def record_answered(self, now_us: int, number: int) -> None:
        """The planner has decided on this batch and all before it."""
        self._run(now_us)
        while self._sent and self._sent[0][0] <= number:
            self._sent.popleft()

    def timed_out(self, now_us: int) -> bool:
        """Whether the oldest batch waits for too long; asked at every tick."""
        self._run(now_us)
        return bool(self._sent) and self._ran_us - self._sent[0][1] > self.silent_us

    def reset(self, now_us: int) -> None:
        """A new link: nothing is out."""
        self._sent.clear()
        self._looked_us = now_us

    def _run(self, now_us: int) -> None:
        if self._looked_us is not None:
            passed = now_us - self._looked_us
            self._ran_us += passed if passed <= MAX_COUNTED_GAP_US else 0
        self._looked_us = now_us

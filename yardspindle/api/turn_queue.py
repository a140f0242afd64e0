"""Lets a few tasks go on in each turn of the event loop, in the order in which they came.

What clients have sent ahead of the answers they wait for is worked off through it: hundreds of clients that do so at
once would otherwise make each turn so long that the requests of all others are read late.
"""

from __future__ import annotations

from collections import deque

from yardspindle.runtime.scheduler import Signal
from yardspindle.runtime.world import World


class TurnQueue:
    """The tasks that wait for their turn."""

    def __init__(self, world: World, per_turn: int) -> None:
        """`per_turn`: how many go on in one turn."""
        self._world = world
        self._per_turn = per_turn
        self._waiting: deque[Signal] = deque()
        self._running = False

    def wait(self) -> None:
        """Wait for a later turn of the event loop, and behind the tasks that wait already."""
        signal = self._world.signal()
        self._waiting.append(signal)
        if not self._running:
            self._running = True
            self._world.spawn("turns", self._run)
        signal.wait()

    def _run(self) -> None:
        try:
            while self._waiting:
                self._world.sleep_until(self._world.now_us())
                for _ in range(min(self._per_turn, len(self._waiting))):
                    self._waiting.popleft().set()
        finally:
            self._running = False

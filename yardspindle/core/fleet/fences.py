"""Fencing on the receiving side: for each duty, orders with a fence lower than the highest one seen are rejected.

A duty is a background task of the fleet with one owner at a time; its fence is a number that grows with each new owner.

A receiver that restarts must load the current fences (from the fleet's store, or from its own saved copy) before it
accepts its first order; otherwise it would obey an owner that was replaced long ago.
"""

from __future__ import annotations


class FenceRegistry:
    """The highest fence that a receiver of orders has seen for each duty."""

    def __init__(self, known: dict[str, int] | None = None) -> None:
        """`known`: the fences in force at the start, by duty."""
        self.highest = dict(known or {})

    def admits(self, duty: str, fence: int) -> bool:
        """Whether an order may be obeyed; if so, its fence becomes the minimum for later orders."""
        if fence < self.highest.get(duty, 0) or fence <= 0:
            return False
        self.highest[duty] = fence
        return True

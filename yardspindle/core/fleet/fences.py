"""Whose orders are obeyed: for each duty the highest fence met, and none lower ever after.

A receiver that starts anew is told the fences in force (from the store, or from what it wrote down) before it takes its
first order, else an owner that was replaced long ago would be obeyed once more.
"""

from __future__ import annotations


class FenceRegistry:
    """The fences that a receiver of orders has met."""

    def __init__(self, known: dict[str, int] | None = None) -> None:
        """`known`: those in force at the start, by duty."""
        self.highest = dict(known or {})

    def admits(self, duty: str, fence: int) -> bool:
        """Whether an order is to be obeyed; it raises what later ones must have."""
        if fence < self.highest.get(duty, 0) or fence <= 0:
            return False
        self.highest[duty] = fence
        return True

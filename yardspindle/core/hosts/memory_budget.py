"""Counts what a process holds in memory for its clients against one bound.

Whatever a client can make the process hold is reserved here before it is kept: bytes of requests that are being
received, requests that wait or are at work, and what an answer needs on its way. What finds no room is not kept, and
its request is refused.
"""

from __future__ import annotations


class MemoryBudget:
    """The bytes reserved by all clients together, and their bound."""

    __slots__ = ("limit_bytes", "reserved_bytes", "peak_bytes")

    def __init__(self, limit_bytes: int = 0) -> None:
        """Nothing is reserved. `limit_bytes`: 0 for no bound."""
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0
        self.peak_bytes = 0

    def has_room(self, size: int) -> bool:
        """Whether so many bytes more may be reserved."""
        return not self.limit_bytes or self.reserved_bytes + size <= self.limit_bytes


class Reservation:
    """One holder's part of a budget. It has to be released, by `resize(0)`, when what it stands for is dropped."""

    __slots__ = ("_budget", "size")

    def __init__(self, budget: MemoryBudget) -> None:
        """Nothing is reserved."""
        self._budget = budget
        self.size = 0

    def resize(self, size: int) -> bool:
        """Reserve `size` bytes in place of what is reserved now; False, and no change, if there is no room for more."""
        more = size - self.size
        if more > 0 and not self._budget.has_room(more):
            return False
        self.size = size
        self._budget.reserved_bytes += more
        self._budget.peak_bytes = max(self._budget.peak_bytes, self._budget.reserved_bytes)
        return True

    def shrink(self, size: int) -> None:
        """Give back `size` bytes, at most all that is reserved."""
        self.resize(max(self.size - size, 0))

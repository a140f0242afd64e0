"""Detects members with a skewed clock: offsets measured by polling each member's HTTP page, relative to the median.

A member is a process of the fleet (edge, planner, steward or unit supervisor) that is registered in the shared store.
Its page tells its epoch (one start of the process) and its clock. An answer received between two readings of the local
clock bounds the remote clock's offset from both sides. A member counts as skewed only if its whole interval lies beyond
the bound: a slow answer widens the interval and proves nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median_low

from yardspindle.core.fleet.members import ClockReport


@dataclass(frozen=True, slots=True)
class ClockOffset:
    """Bounds in microseconds on how far a member's clock is ahead of the local clock."""

    min_us: int
    max_us: int

    @property
    def midpoint_us(self) -> int:
        """The point estimate of the offset."""
        return (self.min_us + self.max_us) // 2


def estimate_offset(sent_us: int, remote_us: int, received_us: int) -> ClockOffset:
    """Bounds a remote clock's offset from one exchange; `sent_us` and `received_us` are local clock readings."""
    return ClockOffset(remote_us - received_us, remote_us - sent_us)


def find_skewed_clocks(offsets: dict[str, ClockOffset], epochs: dict[str, str], bound_us: int) -> ClockReport:
    """Reports every member's offset from the median, and the epochs of those that are beyond the bound.

    `offsets`: by member, the polling one included; `epochs`: by member, the start of its process that answered.
    """
    if not offsets:
        return ClockReport()
    median_us = median_low(offset.midpoint_us for offset in offsets.values())
    skewed = [
        name
        for name, offset in offsets.items()
        if offset.min_us - median_us > bound_us or offset.max_us - median_us < -bound_us
    ]
    relative = {name: offset.midpoint_us - median_us for name, offset in sorted(offsets.items())}
    return ClockReport(relative, tuple(sorted(epochs[name] for name in skewed)))

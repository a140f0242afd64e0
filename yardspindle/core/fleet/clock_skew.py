"""Whose clock is out: offsets from asking each member's page, against the middle of all.

An answer read between two looks at the own clock bounds the other's offset from both sides. A member is out only when
its whole interval lies past the bound: a slow answer makes the interval wide, and proves nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median_low

from yardspindle.core.fleet.members import ClockReport


@dataclass(frozen=True, slots=True)
class ClockOffset:
    """A member's clock against ours, microseconds: it lies between the two."""

    least_us: int
    most_us: int

    @property
    def middle_us(self) -> int:
        """The best guess."""
        return (self.least_us + self.most_us) // 2


def estimate_offset(before_us: int, theirs_us: int, after_us: int) -> ClockOffset:
    """What an answer tells that was asked for at one time of ours and came at another."""
    return ClockOffset(theirs_us - after_us, theirs_us - before_us)


def find_skewed_clocks(samples: dict[str, ClockOffset], epochs: dict[str, str], bound_us: int) -> ClockReport:
    """Offsets against the middle, and who is out by more than the bound. By member; our own sample among them."""
    if not samples:
        return ClockReport()
    middle = median_low(row.middle_us for row in samples.values())
    out = [
        name for name, row in samples.items() if row.least_us - middle > bound_us or row.most_us - middle < -bound_us
    ]
    offsets = {name: row.middle_us - middle for name, row in sorted(samples.items())}
    return ClockReport(offsets, tuple(sorted(epochs[name] for name in out)))

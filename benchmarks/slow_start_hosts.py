"""The hosts of `slow_start_fleet.py`: a simple model of readers and writers, and what a cold one may be sent."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from yardspindle import interface as i

MS = 1_000
S = 1_000 * MS
START, COLD_US, MULTIPLE, FALL_US = 0.26, 5 * S, 2.5, 2 * S
A_SECOND = 8.0  # requests of mean work that a warm host does in a second, reader or writer
TOKENS, QUEUE, SLOTS, HOP_US = 2_000.0, 16, 8, 500
AIM_US, LIFE_US = 1_500 * MS, 4 * S
START_AT = 2 * S  # when the hosts of a case come back


@dataclass(eq=False)
class Host:
    """A reader that reads one prompt after the other, or a writer of some slots; slower by what it lacks in warmth."""

    entry: i.Entry
    reads: bool
    rate: float = A_SECOND
    by_work: bool = False  # once back it warms by what it does, not by time
    done: int = 0  # pieces of work since it came back
    up: int = -(1 << 50)  # since when it serves
    down: int = 1 << 60  # from when on, until `up`, it refuses connections; never
    again_down: int = 1 << 60  # from when on it refuses them for good
    full: bool = False  # turns all away
    free_at: float = 0.0  # reader: when its queue is done
    waiting: int = 0
    busy: int = 0  # writer: streams and places
    sent: list[tuple[int, float, bool]] = field(default_factory=list)  # when, how warm, its sender was told
    work: list[tuple[float, float]] = field(default_factory=list)  # at which it was, from, to; a writer's in slots
    life: int = 0  # which: what it was at when it died is lost

    def warmth(self, now: int) -> float:
        if now >= self.up + COLD_US:
            return 1.0
        part = self.done / (self.rate * COLD_US / S) if self.by_work else max(now - self.up, 0) / COLD_US
        return START + (1 - START) * min(part, 1.0)

    def dead(self, now: int) -> bool:
        return self.down <= now < self.up or now >= self.again_down


def allowance(n: float, roots: int) -> float:
    """Beyond it a cold host falls."""
    return n + roots * math.sqrt(n) + roots


def budget(host: Host, warmth: float) -> float:
    """N of a host that is so warm, by the settings."""
    return MULTIPLE * warmth * host.rate * FALL_US / S


# --- which hosts of a fleet, by place in the list


def first(at: int, host: Host) -> bool:
    """A reader and a writer of one cell."""
    return at in (0, 3)


def others(at: int, host: Host) -> bool:
    """All but these."""
    return at not in (0, 3)


def half(at: int, host: Host) -> bool:
    """Every second."""
    return at % 2 == 0


def other_writers(at: int, host: Host) -> bool:
    """All but one of them."""
    return not host.reads and at != 3

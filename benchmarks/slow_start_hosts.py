"""Simple model of readers and writers for `slow_start_fleet.py`, and how many requests a cold one can take."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from yardspindle import interface as i

MS = 1_000
S = 1_000 * MS
START_CAPACITY, COLD_US, FALL_MULTIPLE, FALL_US = 0.26, 5 * S, 2.5, 2 * S
WARM_RATE = 8.0  # requests of mean work that a warm reader or writer completes per second
PROMPT_TOKENS, MAX_QUEUED_READS, WRITER_SLOTS, HOP_US = 2_000.0, 16, 8, 500
AIM_US, DEADLINE_US = 1_500 * MS, 4 * S
RETURN_AT_US = 2 * S  # when the cold hosts of a case return


class Arrival(NamedTuple):
    """An attempt that reached a host after its return."""

    at: int
    warmth: float  # of the host
    informed: bool  # whether the sender knew of the host's start


@dataclass(eq=False)
class Host:
    """A reader with a queue of prompts or a writer with parallel slots; slower while it is cold."""

    entry: i.Entry
    is_reader: bool
    rate: float = WARM_RATE
    by_work: bool = False  # after its return it warms up by completed work instead of time
    done: int = 0  # attempts accepted since its return
    up_at: int = -(1 << 50)  # when it begins to serve
    down_at: int = 1 << 60  # from then until `up_at` it refuses connections; default: never
    final_down_at: int = 1 << 60  # from then on it refuses connections for good
    full: bool = False  # answers every attempt with "full"
    idle_at: float = 0.0  # reader: when its queue is empty
    queued: int = 0
    used_slots: int = 0  # writer: streams and reserved places
    arrivals: list[Arrival] = field(default_factory=list)
    busy_intervals: list[tuple[float, float]] = field(
        default_factory=list
    )  # begin and end of each piece of work; of a writer per slot
    incarnation: int = 0  # incremented at its death, which loses all work

    def warmth(self, now: int) -> float:
        if now >= self.up_at + COLD_US:
            return 1.0
        part = self.done / (self.rate * COLD_US / S) if self.by_work else max(now - self.up_at, 0) / COLD_US
        return START_CAPACITY + (1 - START_CAPACITY) * min(part, 1.0)

    def is_down(self, now: int) -> bool:
        return self.down_at <= now < self.up_at or now >= self.final_down_at


def allowance(n: float, roots: int) -> float:
    """Return how many requests a cold host with a budget of `n` can take in a window of FALL_US; with more it fails.

    The margin beyond the budget, `roots` * (sqrt(n) + 1), is for chance: a Poisson count deviates by about sqrt(n).
    """
    return n + roots * math.sqrt(n) + roots


def budget(host: Host, warmth: float) -> float:
    """Return the budget N of a host at this warmth: FALL_MULTIPLE times the work that it can do in FALL_US."""
    return FALL_MULTIPLE * warmth * host.rate * FALL_US / S


# --- selections of hosts by their index in the list


def one_pair(at: int, host: Host) -> bool:
    """One reader and one writer of the same cell."""
    return at in (0, 3)


def all_but_one_pair(at: int, host: Host) -> bool:
    """All hosts except those of `one_pair`."""
    return at not in (0, 3)


def every_second(at: int, host: Host) -> bool:
    """Every second host."""
    return at % 2 == 0


def all_but_one_writer(at: int, host: Host) -> bool:
    """All writers except one."""
    return not host.is_reader and at != 3

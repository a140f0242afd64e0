"""Slow start in the soak test: what each host that came back cold was sent, by all dispatchers together."""

from __future__ import annotations

import math
from bisect import bisect_left
from dataclasses import dataclass
from typing import Any

COLD_S, START_CAPACITY, FALL_MULTIPLE, FALL_S = 5.0, 0.26, 2.5, 2.0
WARM_RATE = {"read": 20.0, "write": 6.0}  # requests a second that a warm host of a role does
SMALL_BUDGET = 30  # under so many requests the pages allow three times the root
OBLIGATIONS = {
    "cold-us": COLD_S * 1e6,
    "start-capacity": START_CAPACITY,
    "fall-multiple": FALL_MULTIPLE,
    "fall-us": FALL_S * 1e6,
}


@dataclass(frozen=True)
class ColdStart:
    """A host's start, by the machine's monotonic clock, and whether it warms by its work or by time alone."""

    host: str
    role: str
    at: float
    by_work: bool = False


@dataclass(frozen=True)
class Load:
    """The fullest window of a cold host: what it was sent, and what it may be sent."""

    start: ColdStart
    age: float
    sent: int
    allowed: float

    @property
    def ratio(self) -> float:
        return self.sent / self.allowed


def warmth(role: str, age: float, done: int | None = None) -> float:
    """What part of its capacity a host has regained.

    The ramp is told nowhere, only that it is over after COLD_S: a line in time, or (`done`: requests since the start)
    in the work that a warm host does in that time.
    """
    if age >= COLD_S:
        return 1.0
    part = max(age, 0.0) / COLD_S if done is None else done / (WARM_RATE[role] * COLD_S)
    return START_CAPACITY + (1 - START_CAPACITY) * min(part, 1.0)


def allowance(budget: float) -> float:
    """What a host may be sent in a window of which the settings allow so much."""
    times, more = (3, 3) if budget < SMALL_BUDGET else (2, 2)
    return budget + times * math.sqrt(budget) + more


def loads(rows: list[dict[str, Any]], starts: list[ColdStart]) -> list[Load]:
    """The fullest window of each cold start that was sent anything; every call that reached the host counts."""
    found = []
    for start in starts:
        until = min(
            [later.at for later in starts if later.host == start.host and later.at > start.at], default=math.inf
        )
        times = sorted(
            row["arrived"]
            for row in rows
            if row["what"] == "taken"
            and row["host"] == start.host
            and start.at <= row["arrived"] < min(until, start.at + COLD_S)
        )
        windows = []
        for before, at in enumerate(times):
            capacity = WARM_RATE[start.role] * warmth(start.role, at - start.at, before if start.by_work else None)
            windows.append(
                Load(
                    start,
                    at - start.at,
                    bisect_left(times, at + FALL_S) - before,
                    allowance(FALL_MULTIPLE * capacity * FALL_S),
                )
            )
        if windows:
            found.append(max(windows, key=lambda load: load.ratio))
    return found


def pushed_over(found: list[Load]) -> list[str]:
    """Each cold host that was sent more than it may be."""
    return [
        f"slow start: {load.start.host}, {load.age:.2f} s after its start, was sent {load.sent} calls in "
        f"{FALL_S:g} s, {load.allowed:.1f} allowed"
        for load in found
        if load.ratio > 1
    ]

"""Slow-start check of the soak test: calls that all dispatchers together sent to each host that restarted cold."""

from __future__ import annotations

import math
from bisect import bisect_left
from dataclasses import dataclass
from typing import Any

COLD_S = 5.0  # after this a restarted host is warm
START_CAPACITY = 0.26  # of a host at its cold start, as a share of its capacity when warm
# By the settings a cold host fails if the calls within FALL_S seconds exceed FALL_MULTIPLE times what it can complete
# meanwhile; this product is the budget of the window.
FALL_MULTIPLE, FALL_S = 2.5, 2.0
WARM_RATE_PER_S = {"read": 20.0, "write": 6.0}  # requests per second that a warm host of a role completes
# The platform's rules allow budget + 3 * sqrt(budget) + 3 calls below this budget, else budget + 2 * sqrt(budget) + 2.
SMALL_BUDGET = 30
OBLIGATIONS = {
    "cold-us": COLD_S * 1e6,
    "start-capacity": START_CAPACITY,
    "fall-multiple": FALL_MULTIPLE,
    "fall-us": FALL_S * 1e6,
}


@dataclass(frozen=True)
class ColdStart:
    """A host's cold start (monotonic clock) and whether it warms up by completed work or by time."""

    host: str
    role: str
    at: float
    by_work: bool = False


@dataclass(frozen=True)
class WindowLoad:
    """The fullest window of a cold host: calls sent and calls allowed."""

    start: ColdStart
    age: float
    sent: int
    allowed: float

    @property
    def ratio(self) -> float:
        return self.sent / self.allowed


def warmth(role: str, age: float, done: int | None = None) -> float:
    """Return the share of its capacity that a host has regained.

    The platform states only that a host is warm after COLD_S. The model is linear in time or, with `done` (requests
    since the start), linear in the work that a warm host completes in that time.
    """
    if age >= COLD_S:
        return 1.0
    part = max(age, 0.0) / COLD_S if done is None else done / (WARM_RATE_PER_S[role] * COLD_S)
    return START_CAPACITY + (1 - START_CAPACITY) * min(part, 1.0)


def allowance(budget: float) -> float:
    """Return the number of calls that a host may be sent in a window of this budget."""
    root_factor, constant = (3, 3) if budget < SMALL_BUDGET else (2, 2)
    return budget + root_factor * math.sqrt(budget) + constant


def fullest_windows(rows: list[dict[str, Any]], starts: list[ColdStart]) -> list[WindowLoad]:
    """Return the fullest window of each cold start that received calls; every call that reached the host counts."""
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
            capacity = WARM_RATE_PER_S[start.role] * warmth(
                start.role, at - start.at, before if start.by_work else None
            )
            windows.append(
                WindowLoad(
                    start,
                    at - start.at,
                    bisect_left(times, at + FALL_S) - before,
                    allowance(FALL_MULTIPLE * capacity * FALL_S),
                )
            )
        if windows:
            found.append(max(windows, key=lambda load: load.ratio))
    return found


def overloaded_hosts(found: list[WindowLoad]) -> list[str]:
    """Return a line for each cold host that was sent more than allowed."""
    return [
        f"slow start: {load.start.host}, {load.age:.2f} s after its start, was sent {load.sent} calls in "
        f"{FALL_S:g} s, {load.allowed:.1f} allowed"
        for load in found
        if load.ratio > 1
    ]

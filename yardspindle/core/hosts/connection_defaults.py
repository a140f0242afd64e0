"""Defaults for connections to engines where the settings leave them out, derived from the classes' time limits.

A fixed default would be wrong in a deployment whose clients wait a tenth or ten times as long.
"""

from __future__ import annotations

from yardspindle.interface import Settings

CONNECT_FRACTION = 0.05  # of the shortest time that clients wait: leaves time to try several engines


def connect_us(settings: Settings, configured: float | None) -> int:
    """The connect timeout; 0 counts as not configured."""
    return round(configured or CONNECT_FRACTION * _shortest_give_up_us(settings)) or 1


def idle_us(settings: Settings, configured: float | None) -> int:
    """The time after which an engine may close an idle connection.

    If it is not configured it is unknown, so no connection is kept longer than the clients of the class with the
    shortest limit wait. 0 is a valid time: no connection is kept.
    """
    return round(_shortest_give_up_us(settings) if configured is None else configured)


def max_open(configured: float | None) -> int:
    """The maximum number of open requests; 0 and None set no practical limit."""
    return int(configured or 1 << 20)


def _shortest_give_up_us(settings: Settings) -> float:
    return min(row.give_up_us for row in settings.classes)

"""What holds for connections to model hosts where the settings say nothing of it: derived from the classes' own times.

A figure of one deployment would be wrong in another whose clients wait a tenth or ten times as long.
"""

from __future__ import annotations

from yardspindle.interface import Settings

CONNECT_PART = 0.05  # of the shortest time that clients give: several hosts can be tried in it


def connect_us(settings: Settings, stated: float | None) -> int:
    """How long a connection may take to come up; 0 states nothing."""
    return round(stated or CONNECT_PART * _shortest_us(settings)) or 1


def idle_us(settings: Settings, stated: float | None) -> int:
    """After which time a host may close an idle connection. Unstated, it may be any: none is kept for longer than the
    clients of the most hurried class wait. 0 is a time like others: none is kept.
    """
    return round(_shortest_us(settings) if stated is None else stated)


def max_open(stated: float | None) -> int:
    """How many requests may be open; 0 and nothing state no bound."""
    return int(stated or 1 << 20)


def _shortest_us(settings: Settings) -> float:
    return min(row.give_up_us for row in settings.classes)

"""Who is to take which duty: evenly, the same by everybody's reckoning, and with few moves when one comes or goes.

Nobody assigns. A free duty is taken by the candidate that holds fewest, equal ones by a hash of duty and name, so that
all agree without a word. The next in turn waits a pause for each place it is behind: if the first is dead or slow,
somebody else takes it. What is held stays where it is, but for the excess of one that holds over its even part.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b


def _draw(duty: str, name: str) -> bytes:
    return blake2b(f"{duty} {name}".encode(), digest_size=8).digest()


def counts(holders: Mapping[str, str], candidates: Iterable[str]) -> dict[str, int]:
    """How many duties each candidate holds. `holders`: duty to name."""
    held = dict.fromkeys(candidates, 0)
    for name in holders.values():
        if name in held:
            held[name] += 1
    return held


def turn(duty: str, holders: Mapping[str, str], candidates: Iterable[str]) -> list[str]:
    """The candidates for a free duty, the first in turn first."""
    held = counts(holders, candidates)
    return sorted(held, key=lambda name: (held[name], _draw(duty, name), name))


def candidate_orders(
    free: Iterable[str], holders: Mapping[str, str], candidates: Iterable[str]
) -> dict[str, list[str]]:
    """The turns of all free duties at once: each is reckoned as if the ones before it had been taken in turn."""
    known, names = dict(holders), list(candidates)
    turns: dict[str, list[str]] = {}
    for duty in sorted(free):
        turns[duty] = turn(duty, known, names)
        if turns[duty]:
            known[duty] = turns[duty][0]
    return turns


def duty_to_hand_over(name: str, holders: Mapping[str, str], candidates: Iterable[str]) -> str | None:
    """The duty that this one should hand over, or None: only when another then holds no more than it keeps."""
    held = counts(holders, candidates)
    if name not in held or held[name] - min(held.values()) < 2:
        return None
    mine = [duty for duty, owner in holders.items() if owner == name]
    return max(mine, key=lambda duty: (_draw(duty, name), duty))

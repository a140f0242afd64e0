"""Assigns duties to candidates: evenly, deterministically, and with few moves when a candidate joins or leaves.

A duty is a background task of the fleet with one owner at a time; the candidates are the stewards (the processes that
run duties) that can take one now.

There is no coordinator. The candidate with the fewest duties takes a free one; ties are broken by a hash of duty and
name, so that all candidates compute the same order without exchanging messages. Each candidate delays its attempt in
proportion to its rank, so that another takes the duty if the first is dead or slow. Held duties stay where they are,
except that a holder of more than its even share hands over the excess.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b


def _tie_break_hash(duty: str, name: str) -> bytes:
    return blake2b(f"{duty} {name}".encode(), digest_size=8).digest()


def duty_counts(holders: Mapping[str, str], candidates: Iterable[str]) -> dict[str, int]:
    """The number of duties that each candidate holds. `holders` maps duty to name."""
    held = dict.fromkeys(candidates, 0)
    for name in holders.values():
        if name in held:
            held[name] += 1
    return held


def candidate_order(duty: str, holders: Mapping[str, str], candidates: Iterable[str]) -> list[str]:
    """The candidates for a free duty, the preferred one first."""
    held = duty_counts(holders, candidates)
    return sorted(held, key=lambda name: (held[name], _tie_break_hash(duty, name), name))


def candidate_orders(
    free: Iterable[str], holders: Mapping[str, str], candidates: Iterable[str]
) -> dict[str, list[str]]:
    """The candidate order of every free duty, each computed as if its predecessors went to their first candidate."""
    assumed, names = dict(holders), list(candidates)
    orders: dict[str, list[str]] = {}
    for duty in sorted(free):
        orders[duty] = candidate_order(duty, assumed, names)
        if orders[duty]:
            assumed[duty] = orders[duty][0]
    return orders


def duty_to_hand_over(name: str, holders: Mapping[str, str], candidates: Iterable[str]) -> str | None:
    """The duty that a candidate should hand over; None unless it holds at least two more than another candidate."""
    held = duty_counts(holders, candidates)
    if name not in held or held[name] - min(held.values()) < 2:
        return None
    own_duties = [duty for duty, owner in holders.items() if owner == name]
    return max(own_duties, key=lambda duty: (_tie_break_hash(duty, name), duty))

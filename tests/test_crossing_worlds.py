"""Crossings of two to four events on the simulated World, checked by an independent ledger, and faults it must find."""

from __future__ import annotations

from functools import cache

import pytest

from tests.crossing_draw import EVENTS, NETWORK_EVENTS
from tests.crossing_planted import PLANTED, find_break
from tests.crossing_worlds import run_seed

SEEDS = range(20, 60)
REPEATED_SEEDS = range(20, 24)
PLANTED_SEEDS = 3  # tried for each fault, from the seed that found it on


@cache
def run_cached(seed: int) -> tuple[set[str], list[str]]:
    """The events that struck, and the violations."""
    world, breaks, _ = run_seed(seed)
    return set(world.fired), breaks


@pytest.mark.parametrize("first", SEEDS[::10])
def test_no_rule_is_broken_where_events_cross(first: int) -> None:
    assert {seed: breaks for seed in range(first, first + 10) if (breaks := run_cached(seed)[1])} == {}


def test_the_seeds_draw_every_event() -> None:
    assert {name for seed in SEEDS for name in run_cached(seed)[0]} == {*EVENTS, *NETWORK_EVENTS}


def test_the_same_seed_plays_the_same_world() -> None:
    for seed in REPEATED_SEEDS:
        (first, breaks, log), (second, breaks_again, log_again) = run_seed(seed), run_seed(seed)
        assert first.ledger.rows() == second.ledger.rows() and breaks == breaks_again and log == log_again


@pytest.mark.parametrize("name", PLANTED)
def test_a_planted_fault_is_found(name: str) -> None:
    planted = PLANTED[name]
    assert find_break(planted, planted.first_seed, PLANTED_SEEDS) is not None

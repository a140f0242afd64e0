"""The ownership protocol in small worlds with events in every order, and the violation once a guard is removed."""

from __future__ import annotations

import pytest

from tests.ownership_model import Explorer, ModelOptions

WORLDS = {
    "stopped owners and orders in sockets": ModelOptions(stops=True, orders=2, until=6),
    "late and lost answers": ModelOptions(late=True, lost=True, until=8),
    "leases that end early": ModelOptions(early=True, orders=1, until=5),
    "no margin": ModelOptions(late=True, ttl=4, margin=0, until=9),
}


@pytest.mark.parametrize("name", WORLDS)
def test_no_order_of_events_breaks_the_protocol(name: str) -> None:
    states, problem, path = Explorer(WORLDS[name]).explore()
    assert not problem, " > ".join([*path, problem])
    assert states > 1_000, "too few states were explored"


@pytest.mark.parametrize(
    ("rules", "found"),
    [
        (ModelOptions(stops=True, orders=2, receiver_compares=False), "obeyed after"),
        (ModelOptions(stops=True, orders=2, store_compares=False), "written after"),
        (
            ModelOptions(late=True, stops=True, ttl=4, margin=0, until=9, lease_counts_from_send=False),
            "two owners at once",
        ),
    ],
)
def test_without_a_guard_there_is_a_way_to_break_it(rules: ModelOptions, found: str) -> None:
    _, problem, path = Explorer(rules).explore()
    assert found in problem and path

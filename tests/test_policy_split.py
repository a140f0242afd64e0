"""The policy in several files decides as the one file did, event by event."""

from __future__ import annotations

import pytest

from tests import old_policy
from tests.test_rules import FLEETS, played
from yardspindle import Policy


@pytest.mark.parametrize("fleet", FLEETS)
@pytest.mark.parametrize("instances", [1, 2, 100])
def test_same_actions(fleet: str, instances: int) -> None:
    for seed in range(40):
        other = {"instances": instances, "cross_zone_price": float(seed % 2), "writers_read": seed % 3 == 0}
        one = played(Policy, seed, fleet, **other)
        two = played(old_policy.Policy, seed, fleet, **other)  # type: ignore[arg-type]
        assert one.actions == two.actions
        assert one.actions or not fleet

"""A short run of the soak test: overlapping faults at real processes break no rule."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.soak import play
from tests.soak_parties import Plan

SMALL_PLAN = Plan(dispatchers=2, readers=3, writers=4, clients=3, seconds=5.0, faults=8)


@pytest.mark.parametrize("seed", [2, 6])
def test_no_rule_is_broken_while_faults_overlap(seed: int, tmp_path: Path) -> None:
    violations, soak = play(seed, SMALL_PLAN, tmp_path)
    assert violations == [], "\n".join(soak.event_log)
    assert soak.counts().get("200", 0) > 0

"""Several real programs, relays between them, and faults: one owner per duty, and a live edge's holds are kept."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from tests.fleet_scenarios import SCENARIOS
from tests.processes import Processes, play


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_with_the_real_programs(tmp_path: Path, scenario: Callable[[Processes], None]) -> None:
    play(tmp_path, scenario)

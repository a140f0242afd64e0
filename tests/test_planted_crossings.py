"""Faults injected into the real program: the ledger of the crossing test named for each has to report it."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests import crossing_parties
from tests.crossings import Stage
from tests.planted_crossings import PLANTS, patched


@pytest.mark.parametrize("name", PLANTS)
def test_a_planted_fault_is_found(tmp_path: Path, name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(crossing_parties, "MAX_WAIT_S", 3.0)
    plant = PLANTS[name]
    with Stage(tmp_path, package=patched(tmp_path, plant)) as stage:
        try:
            plant.crossing(stage)
        except AssertionError as error:
            found = [str(error)] if stage.judged else stage.judge()  # not judged: a step was not seen in time
        else:
            found = [f"no violation found\n{stage.transcript()}"]
    assert any(plant.expected_break in row for row in found), "\n".join(found)

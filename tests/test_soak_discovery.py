"""The soak tests the rule on drains at slow agents of discovery, and finds a dispatcher that never hears them."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random

import pytest

from tests.planted_crossings import Plant, patched
from tests.soak import Soak
from tests.soak_discovery import LATE_S, TOLD_S, SlowDiscovery, SlowSpan, draw_spans, told_at_latest
from tests.soak_parties import ROOT, Plan

PLAN = Plan(2, 3, 4, clients=3, seconds=9.0, faults=0, cold_returns=0, crowds=0, streams=0, slow_discovery=0)
LATE, IN_PIECES = (
    SlowSpan(0.3, 8.5, late_s, over_s, as_written=False, drain_delay_s=0.5, choice=1)
    for late_s, over_s in ((1.0, 0.0), (0.0, 2.4))
)
LATE_CALLS_ARE_CUT_OFF = Plant(
    "core/hosts/discovery_schedule.py",
    "self._late.append(self._current)",
    "step.cut_off.append(self._current)",
    lambda stage: None,
    "after it was told to drain",
)


def play(span: SlowSpan, folder: Path, package: Path = ROOT) -> tuple[list[str], Soak]:
    soak = Soak(3, PLAN, folder, package)
    soak.slow_discovery = SlowDiscovery([span])
    try:
        return asyncio.run(soak.run()), soak
    finally:
        soak.close()


@pytest.mark.parametrize("span", [LATE, IN_PIECES], ids=["late", "in pieces"])
def test_drains_are_kept_at_slow_agents(span: SlowSpan, tmp_path: Path) -> None:
    violations, soak = play(span, tmp_path)
    assert violations == [], "\n".join(soak.event_log)
    assert soak.coverage["drains told"] and soak.coverage["answers of slow agents"]
    assert not soak.coverage["drains that count though unreported"]


def test_a_dispatcher_that_cuts_off_late_calls_is_found(tmp_path: Path) -> None:
    soak_folder, package_folder = tmp_path / "soak", tmp_path / "package"
    soak_folder.mkdir()
    package_folder.mkdir()
    violations, soak = play(LATE, soak_folder, patched(package_folder, LATE_CALLS_ARE_CUT_OFF))
    assert any(LATE_CALLS_ARE_CUT_OFF.expected_break in row for row in violations), "\n".join(soak.event_log)
    assert soak.coverage["drains that count though unreported"]


def test_a_change_counts_as_told_six_seconds_after_discovery_had_it_and_could_be_reached() -> None:
    assert told_at_latest(10.0, []) == 10.0 + TOLD_S
    assert told_at_latest(10.0, [(3.0, 9.0)]) == 10.0 + TOLD_S  # over before
    assert told_at_latest(10.0, [(17.0, 19.0)]) == 10.0 + TOLD_S  # began after
    assert told_at_latest(10.0, [(9.0, 11.0)]) == 11.0 + TOLD_S
    assert told_at_latest(10.0, [(16.5, 20.0), (15.0, 16.0)]) == 20.0 + TOLD_S  # one after the other


def test_slow_spans_are_drawn_in_all_forms_and_leave_the_platforms_time_to_a_drain() -> None:
    spans = draw_spans(Random(1), 20.0, 300)
    totals = {round(span.late_s + span.over_s, 3) for span in spans}
    assert totals == set(LATE_S) and max(LATE_S) < TOLD_S
    assert all(span.duration_s >= TOLD_S and span.begin_s <= 10.0 for span in spans)
    assert {bool(span.late_s) + 2 * bool(span.over_s) for span in spans} == {1, 2, 3}

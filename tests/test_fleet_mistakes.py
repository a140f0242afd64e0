"""Faults planted in the real programs: the journals must show each, in a scenario where it takes effect."""

from __future__ import annotations

import contextlib
import signal
from pathlib import Path

import pytest

from tests import fleet_scenarios as s
from tests.fleet_check import check
from tests.processes import Processes, play

PLANTED_FAULTS = {
    "a_duty_is_taken_without_looking": (s.all_but_the_owner_race, "taken over while"),
    "a_duty_is_handed_over_without_the_fence": (
        s.handing_over_on_purpose_takes_less_than_a_tenth_of_a_second,
        "removed by somebody",
    ),
    "the_fleet_is_written_to_without_the_fence": (s.clocks_are_told, "did not prove to hold"),
    "an_engine_obeys_any_fence": (s.an_owner_that_was_stopped_wakes_up_late_and_does_no_harm, "obeyed after"),
    "an_engine_forgets_its_fences": (s.an_engine_that_was_restarted_refuses_an_old_order, "obeyed after"),
    "an_ended_lease_is_taken_for_a_death": (s.an_edge_cut_off_from_the_store_keeps_what_it_holds, "still sends"),
    "silence_is_taken_for_a_death": (s.a_stopped_edge_is_not_taken_for_a_dead_one, "still sends"),
    "everybodys_holds_are_released": (s.an_edge_lives_while_another_dies, "is registered"),
    "a_fence_is_guessed": (s.an_edge_that_is_killed_leaves_nothing_behind, "was never given"),
    "a_store_that_went_back_is_used": (s.a_store_that_is_away_and_comes_back_older_is_refused, "went back"),
}


@pytest.mark.parametrize("name", PLANTED_FAULTS)
def test_a_planted_mistake_is_found_in_the_journals(tmp_path: Path, name: str) -> None:
    scenario, expected = PLANTED_FAULTS[name]
    folders: list[Processes] = []

    def run_scenario(p: Processes) -> None:
        folders.append(p)
        with contextlib.suppress(AssertionError):  # the scenario itself may fail on the fault too
            scenario(p)
        p.send("edge0", signal.SIGCONT)
        p.call(p.ports["w0"], "POST", "/v1/lab/control", {"do": "wake"})
        p.chat()  # a live edge makes the fault visible

    play(tmp_path, run_scenario, plant=name)
    found = check(tmp_path, folders[0].engines)
    assert any(expected in row for row in found), found

"""Seeded worlds: a fixed set breaks no rule, the same seed is the same run, and found failures stay mended."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from yardspindle.lab.script import BOXES, EDGE_NAMES, FAULTS, KINDS, REQUESTS, Script, draw_script, overlapping
from yardspindle.lab.worlds import play

ROOT = Path(__file__).parent.parent
FOUND = ROOT / "tests" / "found_worlds.json"
SEEDS = range(24)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_breaks_and_nothing_is_left(seed: int) -> None:
    outcome = play(draw_script(seed))
    assert outcome.breaks == ()
    assert outcome.tally["served"] > 0


def test_every_world_is_of_the_stated_size() -> None:
    for seed in range(200):
        script = draw_script(seed)
        assert len(script.requests) >= REQUESTS[0] == 50 and len(script.faults) >= FAULTS[0] == 3
    assert len(BOXES) == 8 and len(EDGE_NAMES) == 2


def test_all_kinds_of_fault_and_many_pairs_are_drawn() -> None:
    scripts = [draw_script(seed) for seed in range(2_000)]
    assert {fault.kind for script in scripts for fault in script.faults} == set(KINDS)
    pairs = {pair for script in scripts for pair in overlapping(script)}
    possible = len(KINDS) * (len(KINDS) + 1) // 2
    assert len(pairs) > 0.95 * possible


def test_the_same_seed_is_the_same_run_traced_counted_alone_or_after_others() -> None:
    alone = play(draw_script(7))
    lines: list[str] = []
    play(draw_script(8))
    traced = play(draw_script(7), lines.append, count=True)
    assert traced.trace == alone.trace != play(draw_script(9)).trace
    assert lines and traced.transitions and not alone.transitions


def test_the_same_seed_is_the_same_run_under_another_hash_seed() -> None:
    code = ("from yardspindle.lab.script import draw_script; from yardspindle.lab.worlds import play; "
            "print(play(draw_script(3)).trace)")
    traces = {subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True,
                             env={"PYTHONHASHSEED": seed, "PATH": ""}).stdout.splitlines()[-1] for seed in ("1", "77")}
    assert len(traces) == 1


@pytest.mark.parametrize("script", msgspec.json.decode(FOUND.read_bytes(), type=list[Script]),
                         ids=lambda script: f"seed {script.seed}")
def test_what_was_found_stays_mended(script: Script) -> None:
    assert play(script).breaks == ()

"""The load tool: drawn traffic, histograms, and the comparison of paired runs."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from yardspindle.core.config import ConfigError
from yardspindle.lab.load import LoadReport, Traffic, compare_runs, load_traffic, plan_traffic

ROOT = Path(__file__).parent.parent


def test_the_same_seed_draws_the_same_traffic_and_bursts_keep_the_rate() -> None:
    traffic = Traffic(seed=3, seconds=200, rate_per_s=30, arrivals="bursts")
    drawn = plan_traffic(traffic)
    assert (
        drawn == plan_traffic(traffic) != plan_traffic(Traffic(seed=4, seconds=200, rate_per_s=30, arrivals="bursts"))
    )
    assert len(drawn) == pytest.approx(6_000, rel=0.1)
    in_bursts = sum(1 for planned in drawn if planned.at_us % 5_000_000 < 1_000_000)
    assert in_bursts / len(drawn) == pytest.approx(0.5, abs=0.05)
    openings = [planned.messages[0][1].split(":")[0] for planned in drawn]
    assert openings.count("0") > 5 * openings.count("40")
    assert any(len(planned.messages) > 5 for planned in drawn) and any(len(planned.messages) == 2 for planned in drawn)


def test_pairs_are_compared_request_by_request() -> None:
    a, b = LoadReport(), LoadReport()
    a.first_token_us = {n: 10_000 + 100 * n for n in range(100)}
    b.first_token_us = {n: 12_000 + 100 * n for n in range(90)}
    text = compare_runs(a, b, 1)
    assert "median +2.00 ms (95 % of resamples +2.00 to +2.00), 90 pairs; answered only by A 10" in text
    assert compare_runs(LoadReport(), b, 1) == "no request was answered in both"


def test_a_traffic_file_is_checked(tmp_path: Path) -> None:
    file = tmp_path / "t.toml"
    file.write_text("seed = 1\nseconds = 1\nrate_per_s = 1\narrivals = 'bursts'\nburst_s = 9")
    with pytest.raises(ConfigError, match="burst_s: not under burst_every_s"):
        load_traffic(str(file))


def test_two_settings_are_compared_on_the_same_traffic(tmp_path: Path) -> None:
    traffic = tmp_path / "t.toml"
    traffic.write_text("seed = 1\nseconds = 1.5\nrate_per_s = 30\n")
    for name, mode in (("a", "off"), ("b", "events")):
        (tmp_path / f"{name}.toml").write_text(f'[index]\nmode = "{mode}"\nblock_size = 64\n')
    files = [str(traffic), str(tmp_path / "a.toml"), str(tmp_path / "b.toml")]
    result = subprocess.run(
        [sys.executable, "-m", "yardspindle", "lab", "compare", *files],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=90,
        check=False,
    )
    assert result.returncode == 0, result.stderr
    assert result.stdout.count("first token, ms: p50") == 2 and "pairs" in result.stdout.splitlines()[-1]
    rejected = subprocess.run(
        [sys.executable, "-m", "yardspindle", "lab", "load", str(traffic), "--at", "10.0.0.1:80"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert rejected.returncode == 2 and "not an address of this machine's loopback" in rejected.stderr

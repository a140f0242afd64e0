"""The bench adapter as a subprocess: golden frames, malformed input, end of input."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SETUP = {
    "me": 0,
    "instances": 1,
    "zone": "a",
    "shapes": ["reads", "writes"],
    "membership-mode": "push",
    "services": [{"name": "chat", "goal-time-us": 1_000_000, "give-up-us": 5_000_000, "idempotency": "free"}],
    "family-info": {"duty-by-kind": ["read", "write"], "holds-allowed": True, "let-go-by-us": 300_000},
    "allowed": {"most-tries": 5, "cancel": True, "key-added-later": 3},
    "unknown": {"x": 1},
}
START_FRAMES = [
    "frame 1000",
    "page 0 2",
    "entry 11 a reads 0 SERVING 1 -",
    "entry 12 a writes 0 SERVING 1 -",
    "spawn 0 7 " + json.dumps(SETUP),
    "view 0 C 1 0",
    "eob",
]
SAMPLE_INPUT = [
    *START_FRAMES,
    "frame 2000",
    "submit 0 5 100 0 0 900 chat - 4000000 - - s1",
    "eob",
    "frame 3000",
    "reserved 0 5 0 12 1 0",
    "resolved 0 5 0 11 prefilled 900 0 0 rif:1,new:2",
    "eob",
    "frame 4000",
    "flowing 0 5 1 12 900",
    "eob",
    "frame 5000",
    "resolved 0 5 1 12 S 1900 1 0 -",
    "eob",
]
GOLDEN_OUTPUT = [
    "yield",
    "attempt 0 5 11 0",
    "claim_writer 0 5 12",
    "wake_me 0 22000 1099511627776",
    "yield",
    "attempt 0 5 12 0",
    "yield",
    "yield",
    "discard 0 5",
    "yield",
]


def run_adapter(lines: list[str], hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    env = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONDONTWRITEBYTECODE": "1"}
    return subprocess.run(
        [sys.executable, "-m", "yardspindle.drill"],
        input="\n".join([*lines, ""]),
        cwd=ROOT,
        env=env,
        capture_output=True,
        text=True,
        check=False,
    )


@pytest.mark.parametrize("hash_seed", ["0", "1", "4242"])
def test_golden_frames(hash_seed: str) -> None:
    result = run_adapter(SAMPLE_INPUT, hash_seed)
    assert (result.returncode, result.stderr) == (0, "")
    assert result.stdout.splitlines() == GOLDEN_OUTPUT


@pytest.mark.parametrize(
    ("lines", "at", "fault"),
    [
        ([*START_FRAMES, "frame 2", "dance 0 1", "eob"], 9, "unknown message 'dance'"),
        ([*START_FRAMES, "frame 2", "hangup 0", "eob"], 9, "hangup has 1 fields, 2 expected"),
        ([*START_FRAMES, "frame 2", "hangup 0 x", "eob"], 9, "invalid literal"),
        ([*START_FRAMES, "frame 2", "hangup 3 1", "eob"], 9, "instance 3, which was not spawned"),
        ([*START_FRAMES, "frame 2", "hangup 0 1"], 9, "the input ends inside a frame"),
        (["frame 1", "spawn 0 1 {}", "eob"], 2, "no such value: 'services'"),
        (["hello"], 1, "frame expected"),
    ],
)
def test_malformed_input_ends_with_one_plain_line(lines: list[str], at: int, fault: str) -> None:
    result = run_adapter(lines)
    assert result.returncode == 2
    assert result.stderr.startswith(f"line {at}: ") and fault in result.stderr
    assert result.stderr.count("\n") == 1


def test_a_fault_in_the_policy_is_reported_as_fatal() -> None:
    result = run_adapter([*START_FRAMES, "frame 2000", "submit 0 5 100 0 0 900 nosuchclass - 4000000 - - s1", "eob"])
    assert result.returncode == 0
    assert "fatal 0 KeyError" in result.stdout


def test_a_stopped_instance_starts_anew() -> None:
    result = run_adapter([*SAMPLE_INPUT[:-3], "frame 5000", "crash_now 0", *START_FRAMES[1:4], *START_FRAMES[4:]])
    assert result.returncode == 0

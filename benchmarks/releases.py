"""Release decisions in isolation: requests until a halt, false halts, and duration and steps by fleet size.

Simulated counts and virtual seconds, without processes. Units take a random time to drain, stop, start and warm up.
    python -m benchmarks.releases [RUNS]
"""

from __future__ import annotations

import random
import sys
from dataclasses import replace

from yardspindle.core.config import Limit
from yardspindle.core.fleet import permits as p
from yardspindle.core.fleet import release_plan as r
from yardspindle.core.fleet.canary_analysis import OutcomeCounts, SequentialTest, add_window

S = 1_000_000
MIXES = ((100, 400), (400, 100), (30, 30))  # requests of released and other units in a window
# Between two evaluations. The steward's interval is a tenth; here it would change the result little and take longer.
POLL_US = 1_000_000


def until_halt(seed: int, base: float, added_rate: float, mix: tuple[int, int], windows: int) -> int | None:
    """Return the requests of released units until the halt; None without a halt.

    In a quarter of the windows the failure rate of both groups is five times as high, as in an outage that affects all
    units.
    """
    rng, test = random.Random(seed), SequentialTest()
    for number in range(windows):
        rate = base * (5 if number % 20 > 14 else 1)
        bad = sum(rng.random() < min(rate + added_rate, 1) for _ in range(mix[0]))
        others = sum(rng.random() < rate for _ in range(mix[1]))
        test = add_window(test, OutcomeCounts(mix[0], bad), OutcomeCounts(mix[1], others))
        if test.shows_harm:
            return test.seen
    return None


def run_release(size: int, max_out_share: float, seed: int) -> tuple[float, int]:
    """Return the virtual seconds and store transactions of a complete release."""
    rng = random.Random(seed)
    names = [f"u{n:04}" for n in range(size)]
    placements = {
        n: p.UnitPlacement(n, "dispatcher", {"zone": "abc"[at % 3], "cell": str(at % 20)}) for at, n in enumerate(names)
    }
    fleet = p.FleetSnapshot(
        placements,
        {n: p.UnitStatus(n, "0", "well", "v1") for n in names},
        {},
        (Limit("all", most_out_share=max_out_share), Limit("zone", most_out_share=4 * max_out_share)),
    )
    release = r.create_release("r", r.PlanFile("v2", "v1", tuple(names), settle_s=10, start_s=120), placements)
    orders: dict[str, r.Order] = {}
    due: dict[str, int] = {}
    now = began = S
    steps = 0
    while release.phase == "running":
        now += POLL_US
        for name in [name for name, at in due.items() if at <= now]:
            del due[name]
            fleet = replace(fleet, statuses={**fleet.statuses, name: p.UnitStatus(name, "1", "well", "v2")})
        for step in r.next_steps(release, fleet, orders, now, 1, "s"):
            steps += 1
            match step:
                case r.UpdateRelease(kept):
                    release = kept
                case r.ClosePermit(name):
                    fleet = replace(fleet, permits={n: row for n, row in fleet.permits.items() if n != name})
                case r.GrantPermit(name, order, permit):
                    orders[name], due[name] = order, now + rng.randint(8 * S, 25 * S)
                    fleet = replace(
                        fleet,
                        permits={**fleet.permits, name: permit},
                        statuses={**fleet.statuses, name: p.UnitStatus(name, "0", "draining", "v1")},
                    )
                    assert not p.violated_limits(fleet)
    return (now - began) / S, steps


def main() -> None:
    runs = int(sys.argv[1]) if len(sys.argv) > 1 else 1_000
    for base in (0.002, 0.01, 0.05):
        for mix in MIXES:
            false = sum(until_halt(seed, base, 0.0, mix, 60) is not None for seed in range(runs))
            found = []
            for more in (0.01, 0.05, 0.2):
                took = sorted(until_halt(seed, base, more, mix, 200) or 1 << 30 for seed in range(20))[10]
                found.append(f"{more:.0%} more: {took if took < 1 << 30 else 'not in 200 windows'}")
            print(
                f"failure rate {base:.1%}, {mix[0]} released and {mix[1]} other requests per window: false halts "
                f"{false} of {runs}; requests until the halt, median: {'; '.join(found)}",
                flush=True,
            )
    for size in (20, 60, 300):
        for share in (0.05, 0.1):
            seconds, steps = run_release(size, share, size)
            print(
                f"{size} units, {share:.0%} out at most: {seconds / 60:.1f} minutes, {steps / size:.1f} transactions "
                "a unit",
                flush=True,
            )


if __name__ == "__main__":
    main()

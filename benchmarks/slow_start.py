"""Slow start as one sum: what a cold host is sent by a fleet, against what it bears (docs/design.md).

    python benchmarks/slow_start.py

N is fall_multiple x warmth x (work of its kind that a warm host does in fall_us), with a line for the ramp. What
arrives is SLOW_START_PART x warmth x g x that work, g being the load of the warm fleet times what comes on top: the
burst, the host's part of the requests over its even one, repeats. Each request is drawn for itself, so arrivals are
Poisson
whatever part of the traffic each dispatcher has. A window beyond the allowance can be taken to begin with one of its
arrivals: the chance of any is at most the sum over arrivals of the chance that so many follow in fall_us.
"""

from __future__ import annotations

import math
import random
from itertools import accumulate

from yardspindle.policy.slow_start import SLOW_START_PART

STEPS = 200
CHANCE = 1e-3  # of one fall among all hosts that are cold at once
SITES = ((0.26, 14.0, 2.5, 2.0), (0.27, 13.0, 3.0, 1.0), (0.32, 14.0, 3.0, 1.0))
WORK = (1, 4, 16, 64, 256)  # requests of mean work that a warm host does in fall_us


def beyond(mean: float, least: int) -> float:
    """The chance that a Poisson count comes to that at least."""
    term = math.exp(-mean + least * math.log(mean) - math.lgamma(least + 1))
    total, n = 0.0, least
    while term > total * 1e-12:
        total, n = total + term, n + 1
        term *= mean / n
    return min(total, 1.0)


def chance(part: float, work: float, site: tuple[float, float, float, float], line: bool = True) -> float:
    """Of windows beyond the allowance while one host is cold, at most; `part`: sent over what it can do."""
    start, cold_s, multiple, fall_s = site
    total = 0.0
    for at in (cold_s * (step + 0.5) / STEPS for step in range(STEPS)):
        warmth, later = (start + (1 - start) * min(t / cold_s, 1.0) for t in (at, at + fall_s / 2))
        n = multiple * (warmth if line else start) * work
        mean = part * later * work
        total += part * warmth * work / fall_s * cold_s / STEPS * beyond(mean, math.floor(n + 2 * math.sqrt(n) + 2))
    return total


def most(hosts: int, work: float, site: tuple[float, float, float, float], line: bool = True) -> float:
    """The largest part for which it stays under CHANCE among so many cold hosts."""
    low, high = 0.0, 10.0
    for _ in range(20):
        middle = (low + high) / 2
        fits = chance(middle, work, site, line) * hosts <= CHANCE
        low, high = (middle, high) if fits else (low, middle)
    return low


def spread(dispatchers: int, uneven: float, mean: float, even_part: bool, rounds: int = 400) -> float:
    """Variance over mean of what one host gets in a window: independent draws, or each dispatcher's even part."""
    draw = random.Random(dispatchers)
    ranks = list(accumulate((n + 1) ** -uneven for n in range(dispatchers)))
    part, counts = 0.05, []
    for _ in range(rounds):
        asked = int(draw.gauss(mean / part, math.sqrt(mean / part)) + 0.5)
        senders = draw.choices(range(dispatchers), cum_weights=ranks, k=asked)
        if even_part:
            turned = [draw.random() for _ in range(dispatchers)]
            for sender in senders:
                turned[sender] += part
            counts.append(sum(int(turn) for turn in turned))
        else:
            counts.append(sum(draw.random() < part for _ in senders))
    average = sum(counts) / rounds
    return sum((n - average) ** 2 for n in counts) / (rounds - 1) / average


def main() -> None:
    """Print the sum for the settings that were seen, and the spread of both ways to share."""
    print(f"sent over what the host can do, for a chance of {CHANCE:g} of one fall; over SLOW_START_PART: g")
    for site in SITES:
        print("start {}, cold {:g} s, multiple {} in {:g} s".format(*site))
        for hosts in (1, 2, 32, 512):
            print(
                f"  {hosts} cold: "
                + ", ".join(
                    f"work {work}: {(part := most(hosts, work, site)):.2f} (g {part / SLOW_START_PART:.2f}; "
                    f"without a ramp {most(hosts, work, site, line=False):.2f})"
                    for work in WORK
                )
            )
    for dispatchers in (2, 32, 1_024):
        for uneven in (0.0, 1.5):
            print(
                f"{dispatchers} dispatchers, exponent {uneven}: variance over mean "
                + ", ".join(
                    f"{name} {spread(dispatchers, uneven, 10.0, even):.2f}"
                    for name, even in (("drawn", False), ("even parts", True))
                )
            )


if __name__ == "__main__":
    main()

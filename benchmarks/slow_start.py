"""Analytic bound for slow start: requests that a fleet sends a cold host, against what the host can take.

    python benchmarks/slow_start.py

The derivation is in docs/design.md. A cold host can do `warmth` times the work of a warm one; warmth grows linearly
from start_capacity to 1. The host fails if it is sent more requests within fall_us than the allowance, which exceeds
the budget N by a margin for chance: N + 2 sqrt(N) + 2. N is fall_multiple x warmth x (work that a warm host completes
in fall_us). The arrivals are SLOW_START_PART x warmth x g x that work, where g is the load of the warm fleet times
three factors: that of a burst, that of a host's share of requests relative to an even share, and that of retries. Each
request is drawn independently, so arrivals are Poisson whatever the dispatchers' traffic shares. A window above the
allowance can be assumed to begin with an arrival, so its probability is at most the sum over arrivals of the
probability that enough others follow within fall_us (union bound).
"""

from __future__ import annotations

import math
import random
from itertools import accumulate

from yardspindle.policy.slow_start import SLOW_START_PART

RAMP_STEPS = 200
MAX_OVERLOAD_PROBABILITY = 1e-3  # of any overload among all hosts that are cold at once
# start_capacity, time for which a host is cold in s, fall_multiple, fall_us in s
SETTINGS = ((0.26, 14.0, 2.5, 2.0), (0.27, 13.0, 3.0, 1.0), (0.32, 14.0, 3.0, 1.0))
WORK = (1, 4, 16, 64, 256)  # requests of mean work that a warm host completes in fall_us


def poisson_tail(mean: float, minimum: int) -> float:
    """Return the probability that a Poisson count is at least `minimum`."""
    term = math.exp(-mean + minimum * math.log(mean) - math.lgamma(minimum + 1))
    total, n = 0.0, minimum
    while term > total * 1e-12:
        total, n = total + term, n + 1
        term *= mean / n
    return min(total, 1.0)


def overload_probability(
    share: float, work: float, settings: tuple[float, float, float, float], ramp: bool = True
) -> float:
    """Bound the probability of a window above the allowance while one host is cold.

    `share` is the work sent over the work that the host can do; without `ramp` the budget stays that of the start.
    """
    start, cold_s, multiple, fall_s = settings
    total = 0.0
    for at in (cold_s * (step + 0.5) / RAMP_STEPS for step in range(RAMP_STEPS)):
        warmth, later = (start + (1 - start) * min(t / cold_s, 1.0) for t in (at, at + fall_s / 2))
        n = multiple * (warmth if ramp else start) * work
        allowance = n + 2 * math.sqrt(n) + 2
        mean = share * later * work
        total += share * warmth * work / fall_s * cold_s / RAMP_STEPS * poisson_tail(mean, math.floor(allowance))
    return total


def max_share(hosts: int, work: float, settings: tuple[float, float, float, float], ramp: bool = True) -> float:
    """Return the largest share that keeps the bound under MAX_OVERLOAD_PROBABILITY for this many cold hosts."""
    low, high = 0.0, 10.0
    for _ in range(20):
        middle = (low + high) / 2
        fits = overload_probability(middle, work, settings, ramp) * hosts <= MAX_OVERLOAD_PROBABILITY
        low, high = (middle, high) if fits else (low, middle)
    return low


def dispersion(dispatchers: int, exponent: float, mean: float, even_part: bool, rounds: int = 400) -> float:
    """Return variance over mean of a host's arrivals in a window.

    Requests are drawn independently or, with `even_part`, each dispatcher sends an even share in turn.
    """
    draw = random.Random(dispatchers)
    ranks = list(accumulate((n + 1) ** -exponent for n in range(dispatchers)))
    host_share, counts = 0.05, []
    for _ in range(rounds):
        requests = int(draw.gauss(mean / host_share, math.sqrt(mean / host_share)) + 0.5)
        senders = draw.choices(range(dispatchers), cum_weights=ranks, k=requests)
        if even_part:
            accumulated = [draw.random() for _ in range(dispatchers)]
            for sender in senders:
                accumulated[sender] += host_share
            counts.append(sum(int(turn) for turn in accumulated))
        else:
            counts.append(sum(draw.random() < host_share for _ in senders))
    average = sum(counts) / rounds
    return sum((n - average) ** 2 for n in counts) / (rounds - 1) / average


def main() -> None:
    """Print the bound for typical settings, and the dispersion of both ways to share requests."""
    print(
        f"largest work sent / work that a cold host can do, with a probability of at most {MAX_OVERLOAD_PROBABILITY:g} "
        "that any host is overloaded; g: that ratio / SLOW_START_PART"
    )
    for settings in SETTINGS:
        print("start {}, cold {:g} s, multiple {} in {:g} s".format(*settings))
        for hosts in (1, 2, 32, 512):
            print(
                f"  {hosts} cold: "
                + ", ".join(
                    f"work {work}: {(share := max_share(hosts, work, settings)):.2f} (g {share / SLOW_START_PART:.2f}; "
                    f"without a ramp {max_share(hosts, work, settings, ramp=False):.2f})"
                    for work in WORK
                )
            )
    for dispatchers in (2, 32, 1_024):
        for exponent in (0.0, 1.5):
            print(
                f"{dispatchers} dispatchers, exponent {exponent}: variance over mean "
                + ", ".join(
                    f"{name} {dispersion(dispatchers, exponent, 10.0, even):.2f}"
                    for name, even in (("drawn", False), ("even parts", True))
                )
            )


if __name__ == "__main__":
    main()

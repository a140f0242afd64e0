"""Decides whether a released version does harm: compares released with unreleased units over the same time windows.

A unit is a dispatcher or a model host, which a release restarts with the new version. Each unit counts its requests and
those that ended badly. The counts are compared by the steward that carries out the release. (Stewards are processes
that do background work for the whole fleet. A duty is a task of which one of them is the owner; here it is `release`.)

While both groups are equally bad, a failed request falls on a released unit with a probability given by the request
counts alone, so an incident that hits both groups is no evidence and no failure rate has to be estimated. This is a
sequential test by betting: wealth starts at 1 and is multiplied by the likelihood ratio of each window under the
hypothesis that released units are worse by a given factor. If they are not, its expectation does not grow, so by
Ville's inequality it ever reaches 1 / ALPHA with probability at most ALPHA, however often it is checked. (Failed
requests are drawn without replacement, so the binomial likelihoods used here are conservative.)
"""

from __future__ import annotations

import math

from msgspec import Struct

ALPHA = 0.001  # probability of halting a harmless release, over its whole duration
TOLERATED_RATIO = 1.1  # a version may fail this many times as often: placement and traffic differ between the groups
HARM_FACTORS = (1.5, 2.5, 6.0, 20.0, 80.0)  # alternatives that are tested; averaged, as the true one is unknown
# Bounds that keep math.exp and the product within a float. MIN_WEALTH also limits how far a long time without harm can
# lower the wealth, and so how much evidence is needed to halt a release that does harm later.
MAX_LOG_RATIO = 60.0  # of one window's likelihood ratio, in both directions
MAX_WEALTH, MIN_WEALTH = 1e12, 1e-9


class OutcomeCounts(Struct, frozen=True):
    """Requests of a group of units, and how many of them were bad (refused, failed, late, broken)."""

    all: int = 0
    bad: int = 0


class SequentialTest(Struct, frozen=True):
    """State of the test so far.

    It is kept in the store that the fleet shares, so that a steward that takes over the release continues the test.
    """

    wealth: tuple[float, ...] = (1.0,) * len(HARM_FACTORS)
    seen: int = 0  # requests of released units

    @property
    def evidence(self) -> float:
        """The mean wealth: evidence that the release does harm."""
        return sum(self.wealth) / len(self.wealth)

    @property
    def shows_harm(self) -> bool:
        """Whether the evidence is sufficient to halt the release."""
        return self.evidence >= 1 / ALPHA


def add_window(test: SequentialTest, released: OutcomeCounts, others: OutcomeCounts) -> SequentialTest:
    """Updates the test with one window's counts of both groups."""
    if not released.all or not others.all:
        return SequentialTest(test.wealth, test.seen + released.all)
    tolerated_share = _expected_share(TOLERATED_RATIO, released, others)
    updated = []
    for factor, wealth in zip(HARM_FACTORS, test.wealth, strict=True):
        harmful_share = _expected_share(factor, released, others)
        log_ratio = released.bad * math.log(harmful_share / tolerated_share) + others.bad * math.log(
            (1 - harmful_share) / (1 - tolerated_share)
        )
        updated.append(
            min(max(wealth * math.exp(max(min(log_ratio, MAX_LOG_RATIO), -MAX_LOG_RATIO)), MIN_WEALTH), MAX_WEALTH)
        )
    return SequentialTest(tuple(updated), test.seen + released.all)


def _expected_share(factor: float, released: OutcomeCounts, others: OutcomeCounts) -> float:
    """The probability that a bad request is a released unit's, if those fail `factor` times as often."""
    return factor * released.all / (factor * released.all + others.all)

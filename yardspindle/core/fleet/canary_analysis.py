"""Whether a released version does harm: released and unreleased units compared in the same windows.

Of the requests that ended badly in a window, each falls among the released units' with a chance that the numbers of
requests alone give, as long as both groups are equally bad; so a bad hour that hits both says nothing, and no rate has
to be estimated. The test bets on that: wealth starts at 1 and is multiplied by how much likelier the window is if the
released are worse by a factor. While they are not, its expectation does not grow, so by Ville's inequality it ever
reaches 1 / ALPHA with probability ALPHA at most, however often it is looked at. (Bad requests are drawn without
replacement, so the binomial odds used here are on the careful side.)
"""

from __future__ import annotations

import math

from msgspec import Struct

ALPHA = 0.001  # false halts of a good release, over its whole length
TOLERATED = 1.1  # times as bad as the others a version may be: chance differences of place and traffic
FACTORS = (1.5, 2.5, 6.0, 20.0, 80.0)  # alternatives bet on; averaged, as the true one is not known beforehand
WEALTH_MOST, WEALTH_LEAST = 1e12, 1e-9  # kept in a float; the lower bound only forgets how good it was


class OutcomeCounts(Struct, frozen=True):
    """Requests of a group of units, and those of them that ended badly (refused, failed, late, broken)."""

    all: int = 0
    bad: int = 0


class SequentialTest(Struct, frozen=True):
    """What has been bet so far; kept in the store between owners."""

    wealth: tuple[float, ...] = (1.0,) * len(FACTORS)
    seen: int = 0  # requests of released units

    @property
    def evidence(self) -> float:
        """The mean wealth: evidence against the release."""
        return sum(self.wealth) / len(self.wealth)

    @property
    def shows_harm(self) -> bool:
        """Whether the release does harm."""
        return self.evidence >= 1 / ALPHA


def add_window(trial: SequentialTest, released: OutcomeCounts, others: OutcomeCounts) -> SequentialTest:
    """One more window of both groups at the same time."""
    if not released.all or not others.all:
        return SequentialTest(trial.wealth, trial.seen + released.all)
    fair = _share(TOLERATED, released, others)
    wealth = []
    for factor, have in zip(FACTORS, trial.wealth, strict=True):
        worse = _share(factor, released, others)
        odds = released.bad * math.log(worse / fair) + others.bad * math.log((1 - worse) / (1 - fair))
        wealth.append(min(max(have * math.exp(max(min(odds, 60.0), -60.0)), WEALTH_LEAST), WEALTH_MOST))
    return SequentialTest(tuple(wealth), trial.seen + released.all)


def _share(factor: float, released: OutcomeCounts, others: OutcomeCounts) -> float:
    """The chance that a bad request is a released unit's, if those are so many times as bad."""
    return factor * released.all / (factor * released.all + others.all)

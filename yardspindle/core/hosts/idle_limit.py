"""The connection pool: how long an idle connection is fit for use, by what became of those that were kept.

The stated time after which servers close idle connections is an upper bound: machines on the way may forget them much
sooner, and some without a word, so that the next request on them is reset and nobody can tell whether it ran. One
found dead at some age makes all younger ones that are not yet half so old the only ones used, at any server, for a
while: a new connection costs little beside a request that may have run.
"""

from __future__ import annotations

REDUCED_US = 20_000_000  # for how long; whatever closes them sooner than stated seldom does so once


class IdleLimit:
    """One dispatcher's view of its kept connections."""

    def __init__(self, stated_us: int) -> None:
        """`stated_us`: the longest that any is kept."""
        self._stated_us = stated_us
        self._doubted_us = stated_us
        self._until_us = 0

    def limit_us(self, now_us: int) -> int:
        """How long a connection may have been idle and still be used."""
        return self._doubted_us if now_us < self._until_us else self._stated_us

    def found_closed(self, now_us: int, age_us: int) -> None:
        """One that had been idle for so long was found closed, or broke under its next request."""
        self._doubted_us = min(self.limit_us(now_us), age_us // 2)
        self._until_us = now_us + REDUCED_US

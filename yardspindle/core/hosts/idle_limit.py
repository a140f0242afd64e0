"""How long a pooled connection may be idle and still be reused, adapted to connections that were found closed.

The configured time after which servers close idle connections is an upper bound. Middleboxes may drop them much
sooner, some without notice; the next request on such a connection is then reset, and whether it ran is unknown. When
a connection is found closed, half of its idle time becomes the new limit if that is lower, for all servers and
for a limited time: a new connection costs little next to a request that may have run.
"""

from __future__ import annotations

REDUCED_US = 20_000_000  # how long a reduced limit holds; a middlebox that drops one connection early drops more


class IdleLimit:
    """The idle limit of one dispatcher's (router process's) pool of connections to engines."""

    def __init__(self, configured_us: int) -> None:
        """`configured_us` is the limit while no connection was found closed early."""
        self._configured_us = configured_us
        self._reduced_us = configured_us
        self._reduced_until_us = 0

    def limit_us(self, now_us: int) -> int:
        """How long a connection may have been idle and still be reused."""
        return self._reduced_us if now_us < self._reduced_until_us else self._configured_us

    def found_closed(self, now_us: int, idle_us: int) -> None:
        """A connection idle for `idle_us` was found closed, or broke under its next request."""
        self._reduced_us = min(self.limit_us(now_us), idle_us // 2)
        self._reduced_until_us = now_us + REDUCED_US

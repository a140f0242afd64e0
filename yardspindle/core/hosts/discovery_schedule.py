"""What to ask discovery next, and after which pause: the whole list or a watch. Pure: facts in, pauses out.

A fault is followed by a call at once, for the whole list, unless there was another within a second: an agent that
spoils every second answer must not make a dispatcher spin.
"""

from __future__ import annotations

from yardspindle.core.request import timeouts

LONG_AGO_US = -(1 << 60)  # before any time of the clock


class DiscoverySchedule:
    """The calls to one agent."""

    def __init__(self) -> None:
        """Nothing asked yet."""
        self.full_list = (
            True  # what the next call asks for: on a connection of its own, so that no late answer meets it
        )
        self._faults = 0  # since the last answer that was taken in
        self._fault_us = LONG_AGO_US

    def failed(self, now_us: int) -> tuple[int, bool]:
        """A call brought nothing that can be read: the pause before the next, and whether to log it."""
        return self._fault(now_us, timeouts.AGENT_RETRY_PAUSE_US)

    def rejected(self, now_us: int) -> tuple[int, bool]:
        """An answer that could be read was not taken: the same."""
        return self._fault(now_us, timeouts.LIST_RECHECK_PAUSE_US)

    def applied(self, began_us: int, now_us: int, changed: bool) -> int:
        """An answer was taken in: the pause before the next call. None, unless a watch that brought nothing is over
        before it could have waited.
        """
        idle = not self.full_list and not changed and now_us - began_us < timeouts.AGENT_RETRY_PAUSE_US
        self.full_list, self._faults = False, 0
        return timeouts.AGENT_RETRY_PAUSE_US if idle else 0

    def _fault(self, now_us: int, pause_us: int) -> tuple[int, bool]:
        first = not self._faults and now_us - self._fault_us >= timeouts.WATCH_WAIT_US
        self.full_list, self._fault_us = True, now_us
        self._faults += 1
        return 0 if first else pause_us, first

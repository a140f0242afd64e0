"""Decides what the next call to discovery requests, the full list or a watch, and the pause before it. No I/O.

Discovery is an agent of the operators' platform that reports the list of model hosts; a watch waits for changes. After
a fault the full list is requested at once, unless there was another fault in the last WATCH_WAIT_US (the wait of one
watch): an agent that corrupts every second answer must not make a dispatcher call it in a tight loop.
"""

from __future__ import annotations

from yardspindle.core.request import timeouts

NEVER_US = -(1 << 60)  # before any time of the clock


class DiscoverySchedule:
    """The schedule of calls to one discovery agent. Each method returns the pause before the next call.

    After a fault it also returns whether to log it.
    """

    def __init__(self) -> None:
        """Starts with a request for the full list."""
        # Whether the next call requests the full list, on a new connection so that no answer to an earlier call
        # can be taken for its own.
        self.full_list = True
        self._faults = 0  # since the last applied answer
        self._fault_us = NEVER_US

    def failed(self, now_us: int) -> tuple[int, bool]:
        """A call failed or its answer was malformed. Returns the pause and whether to log the fault."""
        return self._fault(now_us, timeouts.AGENT_RETRY_PAUSE_US)

    def rejected(self, now_us: int) -> tuple[int, bool]:
        """A well-formed answer was rejected. Returns the pause and whether to log the fault."""
        return self._fault(now_us, timeouts.LIST_RECHECK_PAUSE_US)

    def applied(self, began_us: int, now_us: int, changed: bool) -> int:
        """An answer was applied. Returns the pause.

        It is 0, unless a watch returned without a change and without waiting: an agent that never waits must not be
        called in a tight loop.
        """
        idle = not self.full_list and not changed and now_us - began_us < timeouts.AGENT_RETRY_PAUSE_US
        self.full_list, self._faults = False, 0
        return timeouts.AGENT_RETRY_PAUSE_US if idle else 0

    def _fault(self, now_us: int, pause_us: int) -> tuple[int, bool]:
        first = not self._faults and now_us - self._fault_us >= timeouts.WATCH_WAIT_US
        self.full_list, self._fault_us = True, now_us
        self._faults += 1
        return (0 if first else pause_us), first

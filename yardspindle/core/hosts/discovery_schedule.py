"""Decides the calls to discovery: what each requests, when it begins, and how long its answer is waited for. No I/O.

Discovery is an agent of the operators' platform that reports the list of model hosts. A watch waits for its next
change. Two questions are decided apart:

- When to ask again: as soon as the newest call is late, on another connection. The agent may be down, and what it has
  on its return has to be learned at once.
- How long to go on waiting for the answer of a late call: as long as it could still be in time (ANSWER_LIMIT_US). The
  agent may only be slow, and then it needs as long for the next call.

So one call is the current one, and some older ones are late. Late calls whose answers would tell nearly the same are
cut off, so a few connections are enough.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from yardspindle.core.request import timeouts

NEVER_US = -(1 << 60)  # before any time of the clock


class Query(Enum):
    """What a call requests."""

    FULL_LIST = "full list"
    WATCH = "watch"  # the changes since a revision, as soon as there are any, within WATCH_WAIT_US
    CHANGES = "changes"  # the changes since a revision, at once


@dataclass(slots=True, eq=False)
class DiscoveryCall:
    """A call to discovery. Times in microseconds."""

    number: int  # calls are numbered in the order in which they begin
    query: Query
    began_us: int
    revision: int  # of the list in force when it began
    agent_is_slow: bool  # the last answer before it was late
    head_us: int | None = None  # when the head of its answer arrived

    @property
    def wait_us(self) -> int:
        """How long the agent may wait for a change before it answers."""
        match self.query:
            case Query.FULL_LIST:
                return 0
            case Query.CHANGES:
                return timeouts.POLL_WAIT_US
            case Query.WATCH:
                return timeouts.SLOW_WATCH_WAIT_US if self.agent_is_slow else timeouts.WATCH_WAIT_US

    @property
    def covered_us(self) -> int:
        """The answer tells every change up to this time.

        A slow agent has changes that are not known here yet. It answers a watch at once, with those alone.
        """
        return self.began_us + (self.wait_us if self.query is Query.WATCH and not self.agent_is_slow else 0)

    def late_us(self) -> int:
        """When the call is late, unless its answer is complete by then."""
        head_limit_us = self.began_us + self.wait_us + timeouts.AGENT_RESPONSE_US
        if self.head_us is None:
            return head_limit_us
        body_limit_us = self.head_us + timeouts.LIST_BODY_US
        return min(head_limit_us, body_limit_us) if self.query is Query.WATCH and self.agent_is_slow else body_limit_us

    def is_outdated(self, answered: int, in_force: int) -> bool:
        """Whether the answer is to be passed over: the list in force has changed since the call began, and is newer.

        `answered`, `in_force`: their revisions. Without that change, a lower revision means that discovery restarted.
        """
        return answered < in_force and self.revision != in_force

    @property
    def limit_us(self) -> int:
        """When the call is given up: what its answer has would come too late."""
        return self.began_us + self.wait_us + timeouts.ANSWER_LIMIT_US


@dataclass(slots=True)
class Step:
    """What follows from an event: calls to cut off, a call to begin, and whether to log the event."""

    cut_off: list[DiscoveryCall] = field(default_factory=list)
    begin: DiscoveryCall | None = None
    log: bool = False


class DiscoverySchedule:
    """The schedule of calls to one discovery agent."""

    def __init__(self) -> None:
        """Starts with a request for the full list, at once."""
        self._current: DiscoveryCall | None = None
        self._late: list[DiscoveryCall] = []  # in the order in which they began
        self._begun = 0
        self._next = Query.FULL_LIST
        self._next_us = NEVER_US  # not before this time
        self._full_list_needed = True
        self._faults = 0  # since the last applied answer
        self._fault_us = NEVER_US
        self._changes_rejected_us = NEVER_US  # when changes, in place of a full list, were last rejected
        self._slow = False  # the last applied answer was late

    @property
    def open_calls(self) -> int:
        """The number of calls whose answers are awaited."""
        return len(self._late) + (self._current is not None)

    def next_event_us(self) -> int:
        """When to call `advance` next, unless another event comes before."""
        next_us = self._current.late_us() if self._current is not None else self._next_us
        return min([next_us, *(call.limit_us for call in self._late)])

    def advance(self, now_us: int, revision: int) -> Step:
        """Time has passed. `Step.log`: the current call is late, as the first for a while.

        `revision`: of the list in force.
        """
        step = Step()
        self._cut_off(step, [call for call in self._late if now_us >= call.limit_us])
        if self._current is not None and now_us >= self._current.late_us():
            step.log = self._fault(now_us, timeouts.AGENT_RETRY_PAUSE_US)
            self._next = Query.CHANGES
            self._set_aside(step, NEVER_US)
        if self._current is None and now_us >= self._next_us:
            query = Query.FULL_LIST if self._full_list_needed else self._next
            self._begun += 1
            self._current = step.begin = DiscoveryCall(self._begun, query, now_us, revision, self._slow)
        return step

    def applied(self, call: DiscoveryCall, now_us: int, changed: bool, went_back: bool = False) -> Step:
        """An answer was applied, or passed over as outdated. `Step.log`: answers have begun to be late.

        Older calls have nothing to add, since a watch follows that tells what came later: they are cut off, and no
        answer is applied after that to a newer call. `went_back`: the list in force has a lower revision than before.
        Then all other calls are cut off, since their answers may be those of discovery before its restart.
        """
        step = Step()
        was_late = call in self._late
        step.log = was_late and not self._slow
        self._slow, self._faults, self._full_list_needed = was_late, 0, False
        self._end(call)
        # A watch that follows a short answer tells in time what the full lists requested after it would tell.
        is_short = call.query is Query.FULL_LIST and now_us - call.began_us <= timeouts.SHORT_ANSWER_US

        def is_obsolete(other: DiscoveryCall) -> bool:
            return went_back or other.number < call.number or (is_short and other.query is Query.FULL_LIST)

        self._cut_off(step, [late for late in self._late if is_obsolete(late)])
        if self._current is not None and is_obsolete(self._current):
            step.cut_off.append(self._current)
            self._current = None
        if self._current is None or self._current.query is not Query.WATCH:
            # An agent that answers watches without waiting must not be called in a tight loop.
            idle = call.query is Query.WATCH and not changed and now_us - call.began_us < timeouts.AGENT_RETRY_PAUSE_US
            self._next, self._next_us = Query.WATCH, now_us + (timeouts.AGENT_RETRY_PAUSE_US if idle else 0)
            self._set_aside(step, call.covered_us)
        return step

    def failed(self, call: DiscoveryCall, now_us: int) -> Step:
        """A call failed or its answer was malformed. That of a late call has no consequence."""
        if not self._end(call):
            return Step()
        self._full_list_needed = True
        return Step(log=self._fault(now_us, timeouts.AGENT_RETRY_PAUSE_US))

    def rejected(self, call: DiscoveryCall, now_us: int) -> Step:
        """A well-formed answer was rejected."""
        only_changes, self._full_list_needed = not self._full_list_needed, True
        if not self._end(call):
            return Step()
        log = self._fault(now_us, timeouts.LIST_RECHECK_PAUSE_US)
        if only_changes:
            # Discovery may have restarted: its full list is requested at once, also at the end of an outage.
            if now_us - self._changes_rejected_us >= timeouts.WATCH_WAIT_US:
                self._next_us = now_us
            self._changes_rejected_us = now_us
        return Step(log=log)

    def spare(self) -> DiscoveryCall | None:
        """Remove and return a late call to cut off, for want of file descriptors; the oldest one stays."""
        return self._late.pop() if len(self._late) > 1 else None

    def _end(self, call: DiscoveryCall) -> bool:
        """Remove a call that has ended; returns whether it was the current one."""
        if call is self._current:
            self._current = None
            return True
        self._late.remove(call)
        return False

    def _set_aside(self, step: Step, covered_us: int) -> None:
        """Count the current call, if there is one, as late, and cut off late calls that tell little on their own.

        Those are the ones without which the calls beside them leave no more than CALL_SPACING_US uncovered.
        `covered_us`: what was told before all late calls.
        """
        if self._current is not None:
            self._late.append(self._current)
            self._current = None
        redundant = []
        for at, call in enumerate(self._late):
            next_us = self._late[at + 1].began_us if at + 1 < len(self._late) else self._next_us
            if next_us - covered_us <= timeouts.CALL_SPACING_US:
                redundant.append(call)
            else:
                covered_us = call.covered_us
        self._cut_off(step, redundant)
        self._cut_off(step, self._late[: -timeouts.MAX_LATE_CALLS])

    def _cut_off(self, step: Step, calls: list[DiscoveryCall]) -> None:
        step.cut_off += calls
        self._late = [call for call in self._late if call not in calls]

    def _fault(self, now_us: int, pause_us: int) -> bool:
        """Set the time of the next call; returns whether this is the first fault for a while.

        Then the next call begins at once. An agent that corrupts every second answer must not be called in a tight
        loop.
        """
        first = not self._faults and now_us - self._fault_us >= timeouts.WATCH_WAIT_US
        self._fault_us = now_us
        self._faults += 1
        self._next_us = now_us + (0 if first else pause_us)
        return first

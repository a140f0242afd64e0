"""One edge's policy in the planner: its clock, its timers, and what happens when the policy itself breaks.

The policy lives on the edge's clock: events carry the edge's time, and what happens here (timers, list news) is
put on that clock by the difference seen at the greeting. The difference is fixed for the session, since start
times of servers are put on the edge's clock by it and must not seem to move.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from yardspindle import interface as i
from yardspindle.core.hosts.server_list import ServerList


@dataclass(slots=True)
class Decisions:
    """What an edge is to do, what people are to read, what broke."""

    actions: list[i.Action] = field(default_factory=list)
    logs: list[str] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)


class PlanningSession:
    """Hosts the policy of one edge."""

    def __init__(self, policy: Callable[[i.Event, int], list[i.Action]], edge_now_us: int, now_us: int) -> None:
        """`policy` is called with an event and the edge's time; the clocks are those at the greeting."""
        self._policy = policy
        self.offset_us = edge_now_us - now_us
        self._last_us = edge_now_us
        self._timers: list[tuple[int, int, int]] = []
        self._set = 0
        self.events = 0

    def update_members(self, now_us: int, roster: ServerList) -> Decisions:
        """News of the server list."""
        reply = Decisions()
        self._handle(now_us + self.offset_us, roster.members(self.offset_us), reply)
        return reply

    def handle_events(self, edge_now_us: int, events: list[i.Event]) -> Decisions:
        """Events of one frame, in order; the timers due before them come first."""
        reply = Decisions()
        self._due(edge_now_us, reply)
        for event in events:
            self._handle(edge_now_us, event, reply)
        return reply

    def next_due_us(self) -> int | None:
        """When the next timer is due, on the planner's clock."""
        return self._timers[0][0] - self.offset_us if self._timers else None

    def tick(self, now_us: int) -> Decisions:
        """Let the timers that are due fire."""
        reply = Decisions()
        self._due(now_us + self.offset_us, reply)
        return reply

    def _due(self, edge_now_us: int, reply: Decisions) -> None:
        while self._timers and self._timers[0][0] <= edge_now_us:
            due_us, _, token = heapq.heappop(self._timers)
            self._handle(max(edge_now_us, due_us), i.Timer(token), reply)

    def _handle(self, edge_now_us: int, event: i.Event, reply: Decisions) -> None:
        self._last_us = max(self._last_us, edge_now_us)  # frames and timers meet here: time never goes back
        self.events += 1
        try:
            actions = self._policy(event, self._last_us)
        except Exception as fault:  # the one request fails, the others go on
            reply.errors.append(f"{type(event).__name__}: {type(fault).__name__}: {fault}")
            request = getattr(event, "request", None)
            if isinstance(request, int):
                reply.actions.append(i.Fail(request))
            elif isinstance(event, i.Timer):
                self._later(self._last_us + 20_000, event.token)  # the sweep must go on
            return
        for action in actions:
            match action:
                case i.SetTimer(due_us, token):
                    self._later(due_us, token)
                case i.Log(text):
                    reply.logs.append(text)
                case i.Watch() | i.FetchList() | i.Tell() | i.Probe():
                    pass  # the list is pushed, and there are neither peers nor probes
                case _:
                    reply.actions.append(action)

    def _later(self, due_us: int, token: int) -> None:
        self._set += 1
        heapq.heappush(self._timers, (due_us, self._set, token))

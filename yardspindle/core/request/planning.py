"""Hosts one edge's policy in the planner: its clock, its timers and the handling of exceptions that it raises.

The planner is the process that decides which server does what, by one policy object for each edge (a process that holds
client connections). The policy runs on the edge's clock: events carry the edge's time, and what happens in the planner
(timers, list updates) is converted with the clock offset measured at the handshake. The offset is fixed for the
session, since start times of servers are converted with it and must not appear to move.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from yardspindle import interface as i
from yardspindle.core.hosts.server_list import ServerList

RETRY_US = 20_000  # until a timer whose event raised an exception fires again


@dataclass(slots=True)
class Decisions:
    """What the policy returned: actions for the edge, lines for the log, and errors that it raised."""

    actions: list[i.Action] = field(default_factory=list)
    logs: list[str] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)


class PlanningSession:
    """Runs one edge's policy for one connection of the edge."""

    def __init__(self, policy: Callable[[i.Event, int], list[i.Action]], edge_now_us: int, now_us: int) -> None:
        """`policy` takes an event and the edge's time; the two times are those of both clocks at the handshake."""
        self._policy = policy
        self.offset_us = edge_now_us - now_us
        self._last_us = edge_now_us
        self._timers: list[tuple[int, int, int]] = []
        self._timer_count = 0
        self.events = 0

    def update_members(self, now_us: int, server_list: ServerList) -> Decisions:
        """Pass a change of the server list to the policy (as `interface.Members`, the list of model servers)."""
        decisions = Decisions()
        self._handle(now_us + self.offset_us, server_list.members(self.offset_us), decisions)
        return decisions

    def handle_events(self, edge_now_us: int, events: list[i.Event]) -> Decisions:
        """Fire the timers due by `edge_now_us`, then pass the events of one edge message to the policy in order."""
        decisions = Decisions()
        self._fire_due(edge_now_us, decisions)
        for event in events:
            self._handle(edge_now_us, event, decisions)
        return decisions

    def next_due_us(self) -> int | None:
        """When the next timer is due, on the planner's clock."""
        return self._timers[0][0] - self.offset_us if self._timers else None

    def tick(self, now_us: int) -> Decisions:
        """Fire the timers that are due."""
        decisions = Decisions()
        self._fire_due(now_us + self.offset_us, decisions)
        return decisions

    def _fire_due(self, edge_now_us: int, decisions: Decisions) -> None:
        while self._timers and self._timers[0][0] <= edge_now_us:
            due_us, _, token = heapq.heappop(self._timers)
            self._handle(max(edge_now_us, due_us), i.Timer(token), decisions)

    def _handle(self, edge_now_us: int, event: i.Event, decisions: Decisions) -> None:
        # Messages of the edge and timers are merged here, and the policy's time must not go back.
        self._last_us = max(self._last_us, edge_now_us)
        self.events += 1
        try:
            actions = self._policy(event, self._last_us)
        except Exception as error:  # it must not end the session: only the event's request fails, if it has one
            decisions.errors.append(f"{type(event).__name__}: {type(error).__name__}: {error}")
            request = getattr(event, "request", None)
            if isinstance(request, int):
                decisions.actions.append(i.Fail(request))
            elif isinstance(event, i.Timer):
                self._set_timer(self._last_us + RETRY_US, event.token)  # a periodic timer must go on
            return
        for action in actions:
            match action:
                case i.SetTimer(due_us, token):
                    self._set_timer(due_us, token)
                case i.Log(text):
                    decisions.logs.append(text)
                case i.Watch() | i.FetchList() | i.Tell() | i.Probe():
                    pass  # not used in the planner: the list is pushed, and there are no peers or probes
                case _:
                    decisions.actions.append(action)

    def _set_timer(self, due_us: int, token: int) -> None:
        self._timer_count += 1
        heapq.heappush(self._timers, (due_us, self._timer_count, token))

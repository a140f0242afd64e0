"""Entry point of the routing policy: dispatches each event and returns the resulting actions.

Events and actions are the types of yardspindle/interface.py. The sweep is the periodic check of waiting
requests and unanswered attempts.
"""

from __future__ import annotations

from yardspindle import interface as i
from yardspindle.policy.request_lifecycle import RequestLifecycle
from yardspindle.policy.state import SWEEP_INTERVAL_US

# Token of the sweep's timer, the only one that the policy sets; above all request ids, which are under 2^32.
SWEEP_TOKEN = 1 << 40


class Policy(RequestLifecycle):
    """The routing policy of one router. It does no I/O: `handle` maps an event to a list of actions."""

    def handle(self, now_us: int, event: i.Event) -> list[i.Action]:
        """Process one event at time `now_us` and return the actions to carry out, in order."""
        self.now_us, self.actions = now_us, []
        match event:
            case i.Members():
                self._update_servers(event)
            case i.Request():
                self._accept(event)
            case i.Outcome():
                self._handle_outcome(event)
            case i.First() | i.Note() | i.Hangup() if event.request in self.open_requests:
                self._handle_progress(self.open_requests[event.request], event)
            case i.Timer():
                self._sweep()
        if not self.sweep_pending and self.open_requests:
            self.sweep_pending = True
            self.actions.append(i.SetTimer(now_us + SWEEP_INTERVAL_US, SWEEP_TOKEN))
        return self.actions

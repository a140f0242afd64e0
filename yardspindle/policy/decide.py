"""The decisions of one router: an event comes in, actions go out."""

from __future__ import annotations

from yardspindle import interface as i
from yardspindle.policy.request_lifecycle import Life
from yardspindle.policy.state import SWEEP_US

SWEEP_TOKEN = 1 << 40  # timer token of the sweep; request ids are under 2^32


class Policy(Life):
    """Decides for one router: `handle` takes an event and gives back actions."""

    def handle(self, now_us: int, event: i.Event) -> list[i.Action]:
        """Decide on one event."""
        self.now_us, self.acts = now_us, []
        match event:
            case i.Members():
                self._members(event)
            case i.Request():
                self._arrive(event)
            case i.Outcome():
                self._outcome(event)
            case i.First() | i.Note() | i.Hangup() if event.request in self.open_requests:
                self._heard(self.open_requests[event.request], event)
            case i.Timer():
                self._sweep()
        if not self.sweep_set and self.open_requests:
            self.sweep_set = True
            self.acts.append(i.SetTimer(now_us + SWEEP_US, SWEEP_TOKEN))
        return self.acts

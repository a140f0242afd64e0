"""Slow start: which requests a cold server may get, as one sum over routers that know only themselves.

A server that has just started bears, from all routers together, `fall_multiple` times what it can do then.
Each router therefore bounds its own part by what it knows from its first moment, and by nothing that it sees
fail:

- A request may go to its home, the one cold server of a stage that it would have if all that are listed
  served. So the requests that can reach a server are its even part, however many others are full, dead or
  cold.
- Beyond that a router sends a cold server half as much again at most, counted one by one over `fall_us`, of
  what usually comes. Where that is less than one, a part of the routers may send one, by a draw that holds
  while the server is listed.
- A request goes there once: what was turned away, or failed, has been sent all the same.
- Of those requests a part is let through: what the server has surely regained (a line: the ramp is not told).
- When requests come faster than usual (clients that come again, routers that died), the part shrinks as much.
"""

from __future__ import annotations

import math

from yardspindle import interface as i
from yardspindle.policy.state import Open, Server, State

OTHERS = 0.5  # even parts of what usually comes that a cold server may be sent beyond its home requests
SLOW_START_PART = 0.8  # requests let through for each that a cold server can do: room for chance, uneven keys
USUAL_SPAN_US = 30_000_000  # over how long the usual rate of requests is taken: storms are shorter
FIRST_SPAN_US = 4_000_000  # so much of it counts as seen before the start, at the rate that the quotas give


class SlowStart(State):
    """The bound on what goes to cold servers."""

    def _count_arrival(self, ask: i.Request) -> None:
        """Note a request's arrival for the usual rate and for the rate of the moment."""
        if self.settings.cold_us <= 0 or self.settings.fall_us <= 0:
            return
        self.arrivals.append(self.now_us)
        while self.now_us - self.arrivals[0] > self.settings.fall_us:
            self.arrivals.popleft()
        if self.usual_at_us is None:
            self.usual_at_us = self.now_us
        faded = math.exp((self.usual_at_us - self.now_us) / USUAL_SPAN_US)
        self.usual_at_us = self.now_us
        self.usual_seen = self.usual_seen * faded + (not ask.repeat)
        self.usual_span_us = self.usual_span_us * faded + USUAL_SPAN_US * (1 - faded)

    def _surge(self) -> float:
        """How many times what servers bear of their home requests came in the last `fall_us`; 1 at least.

        They bear what is left of `fall_multiple` beside the requests of others. One request is never too
        many: where hundreds of routers see little each, most come alone.
        """
        bears = max(self.settings.fall_multiple / SLOW_START_PART - OTHERS, 1.0)
        return max(len(self.arrivals) / max(bears * self._usual(), 1.0), 1.0)

    def _usual(self) -> float:
        """How many requests usually come in `fall_us`."""
        quotas = sum(tenant.quota_per_s for tenant in self.settings.tenants) / self.settings.instances / 1e6
        rate = (self.usual_seen + quotas * FIRST_SPAN_US) / (self.usual_span_us + FIRST_SPAN_US)
        return rate * self.settings.fall_us

    def _warmth(self, server: Server) -> float:
        """What part of its capacity a server has surely regained; its ramp is not told: take a line."""
        age = (
            0 if server.refused else self.now_us - server.started_us
        )  # refused: it may be back, freshly started
        start = self.settings.start_capacity
        return start + (1 - start) * min(max(age, 0) / max(self.settings.cold_us, 1), 1.0)

    def _admits(self, r: Open, server: Server, home: Server | None) -> bool:
        """Whether a request may go to a server: to any warm one, its home, now and then another cold one."""
        warmth = self._warmth(server)
        if warmth >= 1:
            return True
        part = SLOW_START_PART * warmth
        admitted = (
            r.draw < part
            and server.entry.server not in r.cold_tried
            and (server is home or self._bears_another(server, part))
        )
        self.slow_start_withheld += not admitted
        return admitted

    def _bears_another(self, server: Server, part: float) -> bool:
        """Whether a cold server may be sent one more request whose home it is not."""
        while server.other_sends and self.now_us - server.other_sends[0] > self.settings.fall_us:
            server.other_sends.popleft()
        others = OTHERS * part * self._usual() / max(self.listed[server.role], 1)
        return len(server.other_sends) < math.floor(others + server.lot)

    def _note_send(self, r: Open, server: Server, home: Server | None) -> None:
        """An attempt goes out; one to a cold server is its only one there, and is told in the log."""
        warmth = self._warmth(server)
        if warmth >= 1:
            return
        r.cold_tried.add(server.entry.server)
        if server is not home:
            server.other_sends.append(self.now_us)
        self.slow_start_sent += 1
        age = "unknown" if server.refused else f"{(self.now_us - server.started_us) // 1_000} ms"
        self.acts.append(
            i.Log(
                f"slow start: request {r.ask.request}, attempt {r.attempts}, to "
                f"{server.entry.server}, age {age}, warmth {warmth:.2f}"
            )
        )

    def counts(self) -> dict[str, int]:
        """Counts since the start, by name, for a line of a log."""
        return {"slow_start_sent": self.slow_start_sent, "slow_start_withheld": self.slow_start_withheld}

"""Slow start: limits what all routers together send to a cold server; each knows its own traffic only.

A cold server is one that has just started. It fails if all routers together send it more than `fall_multiple`
times its current capacity within `fall_us`. Each router therefore limits its own share from its own start on,
by its settings, the server list and its arrivals, without waiting for a cold server to fail:

- A request may go to its home: the one server of each stage that it would get if every listed server could
  serve. The home requests of a server are thus its even share, however many others are full, dead or cold.
- Beyond those, a router sends a cold server at most half of its even share of the usual arrivals, counted
  request by request over `fall_us`. Where that is less than one request, only a fraction of the routers may
  send one, by a random draw that holds while the server is listed.
- A request goes to each cold server at most once, as attempts that are refused or fail load it too.
- Of the remaining requests a fraction is admitted, in proportion to the capacity that the server has
  regained. As the real ramp is unknown, a linear one is assumed; after failed connects the server counts as
  just started.
- When arrivals surge (client retries, routers that died), the fraction shrinks in proportion.
"""

from __future__ import annotations

import math

from yardspindle import interface as i
from yardspindle.policy.state import OpenRequest, PolicyState, Server

# Requests that a cold server may be sent beyond its home requests, in even shares of the usual arrivals.
NON_HOME_SHARE = 0.5
# Fraction of a cold server's current capacity that is used; the rest allows for chance and uneven keys.
SLOW_START_PART = 0.8
ARRIVAL_WINDOW_US = 30_000_000  # averaging time of the usual arrival rate; surges are shorter
# Time before the start that is assumed to have had the arrival rate of all tenants' (customers') quotas.
PRIOR_WINDOW_US = 4_000_000


class SlowStart(PolicyState):
    """Limits the requests that go to cold servers."""

    def _count_arrival(self, arrival: i.Request) -> None:
        """Count a request for the recent arrival rate and, unless it is a client's retry, the usual one."""
        if self.settings.cold_us <= 0 or self.settings.fall_us <= 0:
            return
        self.recent_arrivals.append(self.now_us)
        while self.now_us - self.recent_arrivals[0] > self.settings.fall_us:
            self.recent_arrivals.popleft()
        if self.decayed_at_us is None:
            self.decayed_at_us = self.now_us
        decay = math.exp((self.decayed_at_us - self.now_us) / ARRIVAL_WINDOW_US)
        self.decayed_at_us = self.now_us
        self.decayed_arrivals = self.decayed_arrivals * decay + (not arrival.repeat)
        self.decayed_span_us = self.decayed_span_us * decay + ARRIVAL_WINDOW_US * (1 - decay)

    def _surge(self) -> float:
        """Return the arrivals in the last `fall_us` relative to what cold servers tolerate; at least 1.

        Relative to its even share of the usual arrivals and to its warmth, a cold server is sent
        SLOW_START_PART as home requests, times the surge, and SLOW_START_PART * NON_HOME_SHARE as others. The
        surge that it tolerates is the one at which the sum of both is `fall_multiple`. A single request is
        always tolerated: among hundreds of routers, most see no more than one in `fall_us`.
        """
        tolerated = max(self.settings.fall_multiple / SLOW_START_PART - NON_HOME_SHARE, 1.0)
        return max(len(self.recent_arrivals) / max(tolerated * self._expected_arrivals(), 1.0), 1.0)

    def _expected_arrivals(self) -> float:
        """Return how many requests usually arrive in `fall_us`."""
        quotas = sum(tenant.quota_per_s for tenant in self.settings.tenants) / self.settings.instances / 1e6
        rate = (self.decayed_arrivals + quotas * PRIOR_WINDOW_US) / (self.decayed_span_us + PRIOR_WINDOW_US)
        return rate * self.settings.fall_us

    def _warmth(self, server: Server) -> float:
        """Return a server's warmth: the fraction of its capacity regained, by a linear ramp since start."""
        # After failed connects the server may be up again at any moment, freshly started.
        age = 0 if server.connect_failures else self.now_us - server.started_us
        start = self.settings.start_capacity
        return start + (1 - start) * min(max(age, 0) / max(self.settings.cold_us, 1), 1.0)

    def _admits(self, request: OpenRequest, server: Server, home: Server | None) -> bool:
        """Return whether slow start lets a request go to a server.

        A warm server takes any request, a cold one its home requests and few others.
        """
        warmth = self._warmth(server)
        if warmth >= 1:
            return True
        fraction = SLOW_START_PART * warmth
        admitted = (
            request.admission_draw < fraction
            and server.entry.server not in request.cold_servers_tried
            and (server is home or self._allows_non_home(server, fraction))
        )
        self.slow_start_withheld += not admitted
        return admitted

    def _allows_non_home(self, server: Server, fraction: float) -> bool:
        """Return whether a cold server may be sent one more request that has another home."""
        while server.non_home_sends and self.now_us - server.non_home_sends[0] > self.settings.fall_us:
            server.non_home_sends.popleft()
        allowance = (
            NON_HOME_SHARE * fraction * self._expected_arrivals() / max(self.serving_by_role[server.role], 1)
        )
        return len(server.non_home_sends) < math.floor(allowance + server.share_draw)

    def _record_send(self, request: OpenRequest, server: Server, home: Server | None) -> None:
        """Count and log an attempt that is sent to a cold server.

        docs/operate/node.md quotes the log line; its warmth is the fraction of the capacity regained.
        """
        warmth = self._warmth(server)
        if warmth >= 1:
            return
        request.cold_servers_tried.add(server.entry.server)
        if server is not home:
            server.non_home_sends.append(self.now_us)
        self.slow_start_sent += 1
        age = "unknown" if server.connect_failures else f"{(self.now_us - server.started_us) // 1_000} ms"
        self.actions.append(
            i.Log(
                f"slow start: request {request.arrival.request}, attempt {request.attempts}, to "
                f"{server.entry.server}, age {age}, warmth {warmth:.2f}"
            )
        )

    def counts(self) -> dict[str, int]:
        """Return the counters of slow start since the policy was created, by name, for a log line."""
        return {"slow_start_sent": self.slow_start_sent, "slow_start_withheld": self.slow_start_withheld}

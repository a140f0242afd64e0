"""Tracks calls that may lie unread at a server after their connection was closed; their releases are repeated.

A release is the message that frees what servers hold for a request: a place (memory reserved for a decode) or the KV
state that a prefill leaves.

A server that was paused or partitioned reads, on its return, what had been written to it and may act on it: it holds a
place, or reads a prompt, for a request that ended long ago. The release sent at that end arrived too early. So it is
repeated, at intervals shorter than the release time limit, until the server answers again, and once more after that. A
call on a connection that was unresponsive while its server may have answered on others can be read at any time: its
release is repeated until the call expires.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

AFTER_ANSWER_US = 120_000  # after an answer: by then the server has read what lay in its other connections
EXPIRY_US = 6_000_000  # a machine that is unresponsive for longer is taken to be gone
MAX_TRACKED = 5_000  # requests; beyond it the oldest is evicted
PERIOD_FRACTION = 0.75  # of the release time limit, from one release to the next


@dataclass(slots=True)
class RequestUnreadCalls:
    """A request's calls that may lie unread at servers."""

    since_us: int
    due_us: int
    servers: dict[int, bool] = field(default_factory=dict)  # by server: `silent` of its `TrackUnreadCall`


class UnreadCalls:
    """The requests with calls that may lie unread, and when to repeat their releases."""

    def __init__(self, release_us: int) -> None:
        """No calls yet; `release_us`: the time limit for releasing what is held."""
        self._period_us = round(PERIOD_FRACTION * release_us)
        self.requests: dict[int, RequestUnreadCalls] = {}

    def add(self, now_us: int, request: int, server: int, silent: bool) -> None:
        """A call was written to a server, and its connection was closed without an answer."""
        calls = self.requests.setdefault(request, RequestUnreadCalls(now_us, now_us + self._period_us))
        calls.servers[server] = silent or calls.servers.get(server, False)
        if len(self.requests) > MAX_TRACKED:
            del self.requests[next(iter(self.requests))]

    def server_answered(self, now_us: int, server: int) -> None:
        """A server answers, so it runs again and reads what lay unread in its sockets."""
        for calls in self.requests.values():
            if calls.servers.get(server) is False:
                del calls.servers[server]
                if not calls.servers:
                    calls.due_us = now_us + AFTER_ANSWER_US

    def retain_servers(self, listed: Collection[int]) -> None:
        """Forget requests whose servers are all no longer listed: they are gone, with all that they held."""
        for request, calls in list(self.requests.items()):
            if calls.servers and not any(server in listed for server in calls.servers):
                del self.requests[request]

    def take_due(self, now_us: int, running: Collection[int]) -> list[int]:
        """The requests whose release is to be repeated now; for those that still run, their end releases everything."""
        due = []
        for request, calls in list(self.requests.items()):
            if calls.due_us > now_us:
                continue
            calls.due_us = now_us + self._period_us
            if request in running:
                continue
            due.append(request)
            if not calls.servers or now_us - calls.since_us >= EXPIRY_US:
                del self.requests[request]
        return due

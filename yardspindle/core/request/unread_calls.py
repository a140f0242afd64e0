"""Calls that may lie unread at a server, though their connection was closed: what they leave there is let go of again.

A server that was stopped or cut off reads on its return what had been written to it, and may act on it: it holds a
place, or reads a prompt, for a request that ended long ago. The release that was said then came too early. So it is
said again, often enough for the rule's time, until the server was heard once more, and one more time after that. A
connection that was silent while its server may have answered on others can be read at any time: there the release is
said on until it lapses.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

AFTER_HEARD_US = 120_000  # what lies in other connections of a server that answers again is read by then
EXPIRY_US = 6_000_000  # a machine that is silent for longer is taken for one that is gone
MAX_TRACKED = 5_000  # requests that are remembered; past it the oldest goes
PERIOD_PART = 0.75  # of the release time, from one release to the next


@dataclass(slots=True)
class UnreadCall:
    """What may lie unread for one request."""

    since_us: int
    due_us: int
    servers: dict[int, bool] = field(default_factory=dict)  # is the connection silent, whatever others bring


class UnreadCalls:
    """The requests whose calls may lie unread somewhere."""

    def __init__(self, release_us: int) -> None:
        """None does; `release_us`: in what time that which is held has to be let go of."""
        self._period_us = round(PERIOD_PART * release_us)
        self.requests: dict[int, UnreadCall] = {}

    def add(self, now_us: int, request: int, server: int, silent: bool) -> None:
        """A call was written to a server, which gave no word of it, and its connection is closed."""
        call = self.requests.setdefault(request, UnreadCall(now_us, now_us + self._period_us))
        call.servers[server] = silent or call.servers.get(server, False)
        if len(self.requests) > MAX_TRACKED:
            del self.requests[next(iter(self.requests))]

    def server_answered(self, now_us: int, server: int) -> None:
        """A server answers: what lay unread there is read in these moments."""
        for call in self.requests.values():
            if call.servers.get(server) is False:
                del call.servers[server]
                if not call.servers:
                    call.due_us = now_us + AFTER_HEARD_US

    def retain_servers(self, listed: Collection[int]) -> None:
        """Forget what lies at servers that are listed no more: they are gone, with all that they held."""
        for request, call in list(self.requests.items()):
            if call.servers and not any(server in listed for server in call.servers):
                del self.requests[request]

    def take_due(self, now_us: int, running: Collection[int]) -> list[int]:
        """The requests whose release is to be said again now; those that run are let go of as a whole at their end."""
        due = []
        for request, call in list(self.requests.items()):
            if call.due_us > now_us:
                continue
            call.due_us = now_us + self._period_us
            if request in running:
                continue
            due.append(request)
            if not call.servers or now_us - call.since_us >= EXPIRY_US:
                del self.requests[request]
        return due

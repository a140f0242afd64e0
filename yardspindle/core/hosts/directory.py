"""The servers known to an edge: their addresses, roles and states, and since when each accepts no new work.

The edge is the process that holds the client connections; the planner, which decides what each server does, sends it
the list. An attempt is one send of a request's stage to one server; a cell is a group of servers within which KV caches
move fast.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from yardspindle.interface import Role, State

# Since the edge learned that a server drains or left the list. It is sent nothing new after the grace period, so by
# then no attempt there is normally in flight and no policy names it.
FORGET_US = 60_000_000


@dataclass(slots=True)
class Server:
    """An engine as the edge knows it. `number` is assigned by one run of a planner and is not valid in another."""

    number: int
    name: str
    host: str
    port: int
    role: Role
    state: State
    places: bool  # it supports this router's extension: reserving memory for a write (places), and releases
    events: str | None = None  # address at which it publishes cache events
    replay: str | None = None  # address at which it replays missed ones
    up_since_ms: float = 0.0  # Unix time of its last start, as listed
    zone: str = ""  # as listed; like the cell, used only for the log
    cell: int = 0
    closed_us: int | None = None  # when the edge learned that it drains or was removed; None while it serves


@dataclass(slots=True)
class Directory:
    """The servers of one run of a planner.

    A server that left the list stays known, in state GONE, until FORGET_US after its `closed_us`.
    """

    servers: dict[int, Server] = field(default_factory=dict)

    def replace(self, now_us: int, listed: list[Server]) -> None:
        """Applies a complete list. `closed_us` keeps the time of the first report that a server is closed."""
        servers = {server.number: server for server in listed}
        for number, known in self.servers.items():
            if number not in servers and (known.closed_us is None or now_us - known.closed_us < FORGET_US):
                known.state = State.GONE
                servers[number] = known
        for server in servers.values():
            before = self.servers.get(server.number)
            if server.state is State.SERVING:
                server.closed_us = None
            else:
                known_us = before.closed_us if before is not None else None
                server.closed_us = now_us if known_us is None else known_us
        self.servers = servers

    def accepting(self, number: int, now_us: int, grace_us: int) -> Server | None:
        """The server, if it may get new work. A drain's grace period is enforced here, whatever the planner decided."""
        server = self.servers.get(number)
        if server is None or (server.closed_us is not None and now_us > server.closed_us + grace_us):
            return None
        return server

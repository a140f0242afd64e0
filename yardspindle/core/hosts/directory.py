"""Which server is where, as the edge was told: addresses, roles, and since when one takes no new work."""

from __future__ import annotations

from dataclasses import dataclass, field

from yardspindle.interface import Role, State

FORGET_US = 60_000_000  # after it left the list; by then no attempt is out there and no policy names it


@dataclass(slots=True)
class Server:
    """An engine as the edge knows it. `number` is the planner's and means nothing to another planner's start."""

    number: int
    name: str
    host: str
    port: int
    role: Role
    state: State
    places: bool  # it has our extension: places ahead and releases
    events: str | None = None  # where it publishes cache events, and answers for missed ones
    replay: str | None = None
    up_since_ms: float = 0.0  # Unix time of its last start, as listed
    zone: str = ""  # as listed: for the log alone, like the cell
    cell: int = 0
    closed_us: int | None = None  # since when the edge knows that it drains or is gone; None while it serves


@dataclass(slots=True)
class Directory:
    """The servers of one planner's start. A server that leaves the list stays known for a while, as gone."""

    servers: dict[int, Server] = field(default_factory=dict)

    def replace(self, now_us: int, listed: list[Server]) -> None:
        """Take a complete list; the time since when one is closed is kept from its first news."""
        fresh = {server.number: server for server in listed}
        for number, known in self.servers.items():
            if number not in fresh and (known.closed_us is None or now_us - known.closed_us < FORGET_US):
                known.state = State.GONE
                fresh[number] = known
        for server in fresh.values():
            before = self.servers.get(server.number)
            if server.state is State.SERVING:
                server.closed_us = None
            else:
                known_us = before.closed_us if before is not None else None
                server.closed_us = now_us if known_us is None else known_us
        self.servers = fresh

    def accepting(self, number: int, now_us: int, grace_us: int) -> Server | None:
        """The server, if new work may still go there; the rule on drains is kept here whatever a planner says."""
        server = self.servers.get(number)
        if server is None or (server.closed_us is not None and now_us > server.closed_us + grace_us):
            return None
        return server

"""The planner's server list: a document is applied as a whole or not at all, and becomes a list event for each policy.

The planner is the process that decides which server does what, by one policy for each edge (a process that holds client
connections). The `units` of a server are its capacity relative to other servers.

A list that was truncated while being written can still parse, so it states how many servers it has. A list that names
a server or an address twice, gives every server zero units, or names a kind that is not configured is refused: the
list in force stays, and the reason is logged. Each name gets a number that stays the same as long as this planner
runs, because the policy and the edges identify servers by number.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

from yardspindle import interface as i
from yardspindle.core.config import Address, Config, ConfigError, Name, decode_toml, split_address
from yardspindle.core.hosts.directory import Server

FIRST_NUMBER = 1


class ListedServer(Struct, forbid_unknown_fields=True, frozen=True):
    """An entry of the list. `up_since_ms` is the Unix time of the server's last start, 0 for long ago.

    `places`: it can reserve memory for a write in advance. `events` and `replay`: where it publishes and replays cache
    events. A cell is a group of servers within which KV caches move fast.
    """

    name: Name
    address: Address
    kind: Name
    zone: str = "local"
    cell: Annotated[int, Meta(ge=0)] = 0
    state: Literal["serving", "draining", "gone"] = "serving"
    units: Annotated[float, Meta(ge=0, le=1e9)] = 1.0
    up_since_ms: Annotated[float, Meta(ge=0)] = 0.0
    places: bool = False
    events: Address | None = None
    replay: Address | None = None


class ListDocument(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole document; `count` is the number of servers that follow."""

    count: Annotated[int, Meta(ge=0)]
    servers: tuple[ListedServer, ...] = ()


def parse_server_list(file: str, data: bytes, config: Config) -> ListDocument:
    """Parses and validates a server list. Raises ConfigError."""
    document = decode_toml(file, data, ListDocument)
    servers = document.servers
    if document.count != len(servers):
        raise ConfigError(f"{file}: count: says {document.count}, the list holds {len(servers)}")
    kinds = {kind.name for kind in config.kinds}
    for key, values in (("name", [s.name for s in servers]), ("address", [s.address for s in servers])):
        seen: set[str] = set()
        for value in values:
            if value in seen:
                raise ConfigError(f"{file}: servers.{key}: {value} comes twice")
            seen.add(value)
    for server in servers:
        if server.kind not in kinds:
            raise ConfigError(f"{file}: servers.{server.name}.kind: not configured: {server.kind}")
        host, port = split_address(server.address)
        if not 0 < port <= 65_535:
            raise ConfigError(f"{file}: servers.{server.name}.address: no such port: {port}")
    if servers and not any(server.units > 0 for server in servers):
        raise ConfigError(f"{file}: servers.units: every one is zero")
    return document


class ServerList:
    """The server list in force."""

    def __init__(self, config: Config) -> None:
        """Starts with no list: version 0."""
        self._kinds = {kind.name: i.Role(kind.role) for kind in config.kinds}
        self._numbers: dict[str, int] = {}
        self._names: dict[int, str] = {}
        self.version = 0
        self.servers: tuple[ListedServer, ...] = ()

    def apply(self, document: ListDocument) -> bool:
        """Puts a validated list in force. Returns False if nothing changed."""
        if self.version and document.servers == self.servers:
            return False
        self.servers = document.servers
        self.version += 1
        for server in self.servers:
            if server.name not in self._numbers:
                number = FIRST_NUMBER + len(self._numbers)
                self._numbers[server.name], self._names[number] = number, server.name
        return True

    def name(self, number: int) -> str:
        """A server's name, for logs and metrics."""
        return self._names.get(number, f"#{number}")

    def members(self, offset_us: int) -> i.Members:
        """The list as a policy event. `offset_us`, the edge's clock minus the planner's, is added to start times."""
        entries = tuple(
            i.Entry(
                self._numbers[s.name],
                s.zone,
                s.kind,
                s.cell,
                i.State(s.state),
                s.units,
                round(s.up_since_ms * 1_000) + offset_us if s.up_since_ms else 0,
            )
            for s in self.servers
        )
        return i.Members(i.ListKind.COMPLETE, self.version, entries)

    def addresses(self) -> list[Server]:
        """The list as `Server` records, with addresses and roles, as an edge needs it (cf. `HostList.servers`)."""
        return [
            Server(
                self._numbers[s.name],
                s.name,
                *split_address(s.address),
                self._kinds[s.kind],
                i.State(s.state),
                s.places,
                s.events,
                s.replay,
                s.up_since_ms,
            )
            for s in self.servers
        ]

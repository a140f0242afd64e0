"""How a dispatcher divides its file descriptors among clients, engines and idle connections, and its memory.

A dispatcher is a router process: it forwards clients' requests to engines.
"""

from __future__ import annotations

from dataclasses import dataclass

CLIENT_FRACTION = 0.55  # requests take a third at most; the rest is for idle clients and for refusals
IDLE_FRACTION = 1 / 64  # for each engine: a dozen engines take a fifth at most
MIN_IDLE_PER_HOST = 2
MEBIBYTE = 1 << 20
BODY_FRACTION = 1 / 8  # of the memory: a body exists twice when it is complete, and again as it is forwarded
MIN_SOCKETS = 16  # a dispatcher uses 7 itself; the rest is for a few clients, their engines and a release call


@dataclass(frozen=True, slots=True)
class ResourceBudget:
    """Each use's part of `sockets` descriptors and `memory_mb` of memory."""

    sockets: int
    memory_mb: int

    @property
    def client_connections(self) -> int:
        """Maximum client connections, idle ones included."""
        return max(int(self.sockets * CLIENT_FRACTION), 1)

    @property
    def body_bytes(self) -> int:
        """Maximum bytes of request bodies being received or queued: enough for a few hundred clients at once."""
        return int(self.memory_mb * MEBIBYTE * BODY_FRACTION)

    @property
    def idle_per_host(self) -> int:
        """Maximum idle connections to each engine."""
        return max(int(self.sockets * IDLE_FRACTION), MIN_IDLE_PER_HOST)

"""How a dispatcher divides its descriptors among clients, hosts and kept connections, and its memory."""

from __future__ import annotations

from dataclasses import dataclass

CLIENTS_PART = 0.55  # for requests clients hold at most a third; the rest is room to refuse in, and for the idle
KEPT_PART = 1 / 64  # to each host: a dozen hosts keep a fifth at most
KEPT_LEAST = 2
MEBIBYTE = 1 << 20
BODIES_PART = 1 / 8  # of the memory, for bodies that come: each is there twice at its end, and again as it is sent on
MIN_SOCKETS = 16  # a dispatcher has 7 of its own; the rest is for a few clients, their hosts and a release


@dataclass(frozen=True, slots=True)
class ResourceBudget:
    """What each may hold of `sockets` descriptors and `memory_mb` of memory."""

    sockets: int
    memory_mb: int

    @property
    def client_connections(self) -> int:
        """Client connections, those that say nothing among them."""
        return max(int(self.sockets * CLIENTS_PART), 1)

    @property
    def body_bytes(self) -> int:
        """Bytes of clients' bodies that are coming or wait for their turn: a few hundred clients may begin one each."""
        return int(self.memory_mb * MEBIBYTE * BODIES_PART)

    @property
    def idle_per_host(self) -> int:
        """Idle connections to each host."""
        return max(int(self.sockets * KEPT_PART), KEPT_LEAST)

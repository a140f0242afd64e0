"""How a dispatcher divides its file descriptors among clients, engines and idle connections, and its memory.

A dispatcher is a router process: it forwards clients' requests to engines.
"""

from __future__ import annotations

from dataclasses import dataclass

# Of the descriptors, for client connections. At most a third of the descriptors is meant for clients with a request in
# progress, as each also needs a connection to an engine; the rest of these is for idle clients and for refusals.
CLIENT_FRACTION = 0.55
IDLE_FRACTION = 1 / 64  # of the descriptors, for idle connections to each engine: a dozen engines take a fifth at most
MIN_IDLE_PER_HOST = 2
MEBIBYTE = 1 << 20
BODY_FRACTION = 1 / 8  # of the memory: a body exists twice when it is complete, and again as it is forwarded
# The least `limits.sockets` that is accepted: a dispatcher uses 7 descriptors itself; the rest is for a few clients,
# connections to their engines and a call that releases what an engine holds for a request.
MIN_SOCKETS = 16


@dataclass(frozen=True, slots=True)
class ResourceBudget:
    """Each use's part of the file descriptors and of the memory.

    They are the settings `limits.sockets`, or the machine's limit if that is lower, and `limits.memory_mb`.
    """

    descriptors: int
    memory_mib: int

    @property
    def client_connections(self) -> int:
        """Maximum client connections, idle ones included."""
        return max(int(self.descriptors * CLIENT_FRACTION), 1)

    @property
    def body_bytes(self) -> int:
        """Maximum bytes of request bodies being received or queued, of all clients together.

        The default `limits.memory_mb`, 2,048, leaves room for 1,024 bodies of 256 KiB, the largest that are accepted.
        """
        return int(self.memory_mib * MEBIBYTE * BODY_FRACTION)

    @property
    def idle_per_host(self) -> int:
        """Maximum idle connections to each engine."""
        return max(int(self.descriptors * IDLE_FRACTION), MIN_IDLE_PER_HOST)

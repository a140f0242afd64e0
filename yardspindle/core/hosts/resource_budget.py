"""What parts of its file descriptors and memory a dispatcher may use for connections and for request bodies.

A dispatcher is a router process: it forwards clients' requests to engines.
"""

from __future__ import annotations

from dataclasses import dataclass

# Of the descriptors, for client connections. It is assumed that clients with a request in progress use a third of the
# descriptors at most, as each also needs a connection to an engine; the rest of the fraction is for idle clients and
# for refusals. Nothing enforces the third: if descriptors run out, a connect to an engine waits for one.
CLIENT_FRACTION = 0.55
IDLE_FRACTION = 1 / 64  # of the descriptors, for idle connections to each engine: a dozen engines take a fifth at most
MIN_IDLE_PER_HOST = 2
MEBIBYTE = 1 << 20
# Of the memory, for request bodies. A body exists twice when it is complete, and again as it is forwarded, so each may
# take three times its size.
BODY_FRACTION = 1 / 8
# The least `limits.sockets` that is accepted: a dispatcher uses 7 descriptors itself; the rest is for a few clients,
# connections to their engines and a call that releases what an engine holds for a request.
MIN_SOCKETS = 16


@dataclass(frozen=True, slots=True)
class ResourceBudget:
    """The limits on connections and request bodies that follow from a dispatcher's descriptors and memory.

    `descriptors` is the setting `limits.sockets`, or the machine's limit if that is lower; `memory_mib` is
    `limits.memory_mb`.
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

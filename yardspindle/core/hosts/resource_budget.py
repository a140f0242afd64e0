"""What parts of its file descriptors and memory a dispatcher may use for its clients.

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
PROGRAM_BYTES = 25 * MEBIBYTE  # the interpreter, the code and what does not depend on clients
# Of the rest of the memory, for clients. The remainder is for the server list, the policy, connections to engines and
# what the allocator cannot use.
CLIENT_MEMORY_FRACTION = 0.6
MIN_CLIENT_BYTES = 2 * MEBIBYTE  # also where the memory is less than the program needs
CONNECTION_BYTES = 14_336  # of an open connection without a request: its task, parser and queue
CONNECTION_MEMORY_FRACTION = 0.5  # of the clients' memory, for open connections; the rest is for their requests
# Of a request at work, beside its head and body: its tasks, a connection to an engine and a part of its answer.
REQUEST_BYTES = 49_152
BODY_FRACTION = 0.75  # of the memory for requests, for bodies that are being received or wait
# The least `limits.sockets` that is accepted: a dispatcher uses 7 descriptors itself; the rest is for a few clients,
# connections to their engines and a call that releases what an engine holds for a request.
MIN_SOCKETS = 16


@dataclass(frozen=True, slots=True)
class ResourceBudget:
    """The limits on clients' connections and requests that follow from a dispatcher's descriptors and memory.

    `descriptors` is the setting `limits.sockets`, or the machine's limit if that is lower; `memory_mib` is
    `limits.memory_mb`.
    """

    descriptors: int
    memory_mib: int

    @property
    def client_bytes(self) -> int:
        """Maximum memory for clients: their connections and requests."""
        return max(int((self.memory_mib * MEBIBYTE - PROGRAM_BYTES) * CLIENT_MEMORY_FRACTION), MIN_CLIENT_BYTES)

    @property
    def client_connections(self) -> int:
        """Maximum client connections, idle ones included."""
        by_memory = int(self.client_bytes * CONNECTION_MEMORY_FRACTION) // CONNECTION_BYTES
        return max(min(int(self.descriptors * CLIENT_FRACTION), by_memory), 1)

    @property
    def request_bytes(self) -> int:
        """Maximum memory for clients' requests, from their first byte to the end of their answers."""
        return self.client_bytes - self.client_connections * CONNECTION_BYTES

    @property
    def body_bytes(self) -> int:
        """Maximum bytes of request bodies being received or queued, of all clients together."""
        return int(self.request_bytes * BODY_FRACTION)

    @property
    def idle_per_host(self) -> int:
        """Maximum idle connections to each engine."""
        return max(int(self.descriptors * IDLE_FRACTION), MIN_IDLE_PER_HOST)

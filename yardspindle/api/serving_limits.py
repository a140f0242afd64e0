"""The time-outs and bounds of an HTTP server towards its clients."""

from __future__ import annotations

from dataclasses import dataclass, field

from yardspindle.protocol import http1


@dataclass(frozen=True, slots=True)
class ServingLimits:
    """Time-outs in microseconds, and bounds."""

    http: http1.Limits = field(default_factory=http1.Limits)
    idle_us: int = 75_000_000
    header_us: int = 10_000_000
    write_stall_us: int = 15_000_000
    first_byte_us: int = 0  # until the first byte of a new connection; 0: `idle_us`
    body_us: int = 15_000_000
    max_connections: int = 0  # 0: no bound. Beyond it the connection that has been idle longest is closed
    # Bytes of all bodies held at once, over all connections; 0: no bound. A request whose body exceeds it is refused
    # once it has been received in full.
    max_body_bytes: int = 0
    # Memory for all requests, from their first byte to the end of their answers; 0: no bound. Others are refused.
    max_memory_bytes: int = 0
    request_bytes: int = 0  # of it for each request that is handled, in addition to its head and body

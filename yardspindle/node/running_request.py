"""A request in progress: its client's exchange, its attempts (calls to model hosts) and its stream."""

from __future__ import annotations

from dataclasses import dataclass, field

from yardspindle import interface as i
from yardspindle.api.exchange import Exchange
from yardspindle.core.request import commands as c
from yardspindle.node.host_client import ResponseStream
from yardspindle.node.trace import RequestTrace
from yardspindle.runtime.scheduler import Signal, Task


@dataclass(slots=True)
class RunningRequest:
    """I/O state of a request in progress; `answer` is set when the core has decided how the request ends."""

    request: i.Request
    request_id: bytes
    exchange: Exchange
    done: Signal  # set when `answer` is, or when the client has disconnected
    answer: c.Answer | None = None
    attempts: dict[int, Task] = field(default_factory=dict)
    stream: ResponseStream | None = None  # that is relayed to the client
    read_written: dict[int, Signal] = field(default_factory=dict)  # by read (prefill) attempt: set once written in full
    written_attempts: set[int] = field(default_factory=set)  # attempts whose last byte is written
    awaiting_host_since_us: int = 0  # since when the stream has brought nothing; 0: it waits for its client
    trace: RequestTrace = field(default_factory=lambda: RequestTrace(0))

    def stream_log_fields(self, now_us: int) -> dict[str, int]:
        """Log fields on the end of an attempt whose stream has begun; in milliseconds.

        `passed_on`: since the client got all that it could get, 0 while it is still being written; `received`: since
        the host's last byte.
        """
        if self.stream is None:
            return {}
        return {
            "passed_on": (now_us - (self.awaiting_host_since_us or now_us)) // 1_000,
            "received": (now_us - self.stream.last_input_us) // 1_000,
        }

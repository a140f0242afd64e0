"""A request that runs here: its client's exchange, its attempts and its stream."""

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
    """A request's I/O."""

    request: i.Request
    request_id: bytes
    exchange: Exchange
    done: Signal
    answer: c.Answer | None = None
    attempts: dict[int, Task] = field(default_factory=dict)
    places: dict[int, Task] = field(default_factory=dict)  # asked, not answered
    stream: ResponseStream | None = None  # that goes to its client
    read_written: dict[int, Signal] = field(default_factory=dict)  # reads: set once the last byte is written
    written_attempts: set[int] = field(default_factory=set)  # attempts whose last byte is written
    awaiting_host_since_us: int = (
        0  # since when the running stream brings nothing; 0: its client is waited for, not its host
    )
    trace: RequestTrace = field(default_factory=lambda: RequestTrace(0))

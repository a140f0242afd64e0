"""A request that runs here: its client's exchange, its attempts and its stream."""

from __future__ import annotations

from dataclasses import dataclass, field

from yardspindle import interface as i
from yardspindle.api.exchange import Exchange
from yardspindle.core.request import commands as c
from yardspindle.node.hosts import Stream
from yardspindle.node.trace import Trace
from yardspindle.runtime.scheduler import Signal, Task


@dataclass(slots=True)
class Running:
    """A request's I/O."""

    ask: i.Request
    id: bytes
    exchange: Exchange
    done: Signal
    answer: c.Answer | None = None
    attempts: dict[int, Task] = field(default_factory=dict)
    places: dict[int, Task] = field(default_factory=dict)  # asked, not answered
    stream: Stream | None = None  # that goes to its client
    sent: dict[int, Signal] = field(default_factory=dict)  # reads: set once the last byte is written
    written: set[int] = field(default_factory=set)  # attempts whose last byte is written
    heard_us: int = 0  # since when the running stream brings nothing; 0: its client is waited for, not its host
    trace: Trace = field(default_factory=lambda: Trace(0))

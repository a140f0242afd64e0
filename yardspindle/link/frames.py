"""Frames of the link between an edge and its planner: a four-byte length, then msgpack; versioned, limited in size.

An edge is the process that holds the client connections; its planner is the process that decides which server does
what. The edge connects and sends `Hello`; the planner answers with `Welcome`, then with the server list. From then on
the edge sends `Events` and the planner sends `Actions`, independently of each other. `Events.number` numbers the edge's
frames, and `Actions.answers` is the number of the last one that the planner has processed, from which the edge detects
that its planner is lagging. Events and actions are encoded as arrays tagged with the names of their types in
yardspindle/interface.py. A frame that cannot be decoded closes the link, because the two sides might otherwise disagree
on which attempts (a request's calls to servers) are in flight.
"""

from __future__ import annotations

import dataclasses
import typing
from functools import reduce
from operator import or_
from typing import Any

import msgspec
from msgspec import Struct

from yardspindle import interface as i
from yardspindle.core.hosts.directory import Server

VERSION = 1
MAX_FRAME_BYTES = 8_388_608
LENGTH_BYTES = 4


class LinkError(Exception):
    """The peer uses another protocol version, sent an invalid frame or closed the link."""


def _wire_type(kind: type[Any]) -> type[Struct]:
    """Create a tagged msgspec type with the fields of an interface type."""
    hints = typing.get_type_hints(kind)
    fields: list[Any] = []
    for field in dataclasses.fields(kind):
        if field.default is dataclasses.MISSING:
            fields.append((field.name, hints[field.name]))
        else:
            fields.append((field.name, hints[field.name], field.default))
    return msgspec.defstruct(kind.__name__, fields, tag=True, array_like=True, frozen=True)


# In events, `Note` is a writer's answer to the request for a place (memory reserved for a decode), `Hangup` a client's
# disconnect. In actions, `Ahead` requests a place, `Discard` releases all that is held for a request, and `Move` ends a
# stream so that its client reconnects.
EVENTS = (i.Request, i.First, i.Note, i.Outcome, i.Hangup)
ACTIONS = (i.Send, i.Ahead, i.Discard, i.Refuse, i.Fail, i.Cancel, i.CloseIdle, i.Move)
_WIRE_TYPES: dict[type[Any], type[Struct]] = {kind: _wire_type(kind) for kind in (*EVENTS, *ACTIONS)}
_INTERFACE_TYPES: dict[type[Struct], type[Any]] = {wire_type: kind for kind, wire_type in _WIRE_TYPES.items()}
_FIELDS: dict[type[Any], tuple[str, ...]] = {
    kind: tuple(field.name for field in dataclasses.fields(kind)) for kind in _WIRE_TYPES
}
AnyEvent: Any = reduce(or_, (_WIRE_TYPES[kind] for kind in EVENTS))
AnyAction: Any = reduce(or_, (_WIRE_TYPES[kind] for kind in ACTIONS))


class Hello(Struct, tag=True, array_like=True):
    """First frame from edge to planner."""

    version: int  # of the protocol
    number: int  # of this edge, from 0
    dispatchers: int  # how many edges the fleet has
    zone: str
    now_us: int
    settings_hash: str  # both sides must have the same settings


class Welcome(Struct, tag=True, array_like=True):
    """First frame from planner to edge."""

    version: int  # of the protocol
    epoch: int  # identifies the planner's run; a later start has a higher one


class Servers(Struct, tag=True, array_like=True):
    """The complete server list."""

    version: int  # of the list: one more with each change
    servers: list[Server]


class Events(Struct, tag=True, array_like=True):
    """Events of the edge, in order, that all occurred at time `now_us` of its clock."""

    number: int
    now_us: int
    events: list[AnyEvent]


class Actions(Struct, tag=True, array_like=True):
    """Actions for the edge to perform, in order."""

    answers: int  # `Events.number` of the last frame that the planner has processed
    actions: list[AnyAction]


class Bye(Struct, tag=True, array_like=True):
    """The sender closes the link, with the reason for the peer's log."""

    reason: str


Frame = Hello | Welcome | Servers | Events | Actions | Bye
_decoder: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)
_encoder = msgspec.msgpack.Encoder()


def to_wire(value: Any) -> Any:
    """Convert an event or action to its wire type."""
    kind = type(value)
    return _WIRE_TYPES[kind](*[getattr(value, name) for name in _FIELDS[kind]])


def from_wire(value: Any) -> Any:
    """Convert an event or action from its wire type back to its interface type."""
    kind = _INTERFACE_TYPES[type(value)]
    return kind(*[getattr(value, name) for name in _FIELDS[kind]])


def encode(frame: Frame) -> bytes:
    """Encode a frame with its length prefix. Raises LinkError."""
    body = _encoder.encode(frame)
    if len(body) > MAX_FRAME_BYTES:
        raise LinkError(f"frame of {len(body)} bytes exceeds the limit of {MAX_FRAME_BYTES}")
    return len(body).to_bytes(LENGTH_BYTES) + body


class FrameReader:
    """Parses a byte stream, split at arbitrary positions, into frames."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Add received bytes and return the frames that they complete. Raises LinkError."""
        self._buffer += data
        frames: list[Frame] = []
        while len(self._buffer) >= LENGTH_BYTES:
            length = int.from_bytes(self._buffer[:LENGTH_BYTES])
            if length > MAX_FRAME_BYTES:
                raise LinkError(f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}")
            end = LENGTH_BYTES + length
            if len(self._buffer) < end:
                break
            try:
                frames.append(_decoder.decode(bytes(self._buffer[LENGTH_BYTES:end])))
            except (msgspec.DecodeError, ValueError) as error:
                raise LinkError(f"not a frame of version {VERSION}: {error}") from None
            del self._buffer[:end]
        return frames

"""The link's frames: a length of four bytes, then msgpack. Versioned, bounded, and checked on arrival.

The edge opens the link and greets; the planner answers with its epoch and then with the server list. After that
the edge sends `Events` and the planner `Actions`, each side as it has something to say. `Events.number` counts the
edge's frames and `Actions.answers` names the last one that the planner had handled, which is how an edge sees that
its planner is behind. Interface types travel as arrays tagged by their name; a frame that does not decode ends the
link, since after it the two sides would no longer agree on what is out.
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
FRAME_BYTES_MOST = 8_388_608
LENGTH_BYTES = 4


class LinkError(Exception):
    """The peer speaks another version, or what came is no frame."""


def _mirror(kind: type[Any]) -> type[Struct]:
    """A tagged msgspec type with the fields of an interface type."""
    hints = typing.get_type_hints(kind)
    fields: list[Any] = []
    for known in dataclasses.fields(kind):
        if known.default is dataclasses.MISSING:
            fields.append((known.name, hints[known.name]))
        else:
            fields.append((known.name, hints[known.name], known.default))
    return msgspec.defstruct(kind.__name__, fields, tag=True, array_like=True, frozen=True)


EVENTS = (i.Request, i.First, i.Note, i.Outcome, i.Hangup)
ACTIONS = (i.Send, i.Ahead, i.Discard, i.Refuse, i.Fail, i.Cancel, i.CloseIdle, i.Move)
_MIRRORS: dict[type[Any], type[Struct]] = {kind: _mirror(kind) for kind in (*EVENTS, *ACTIONS)}
_ORIGINALS: dict[type[Struct], type[Any]] = {mirror: kind for kind, mirror in _MIRRORS.items()}
_FIELDS: dict[type[Any], tuple[str, ...]] = {
    kind: tuple(known.name for known in dataclasses.fields(kind)) for kind in _MIRRORS
}
AnyEvent: Any = reduce(or_, (_MIRRORS[kind] for kind in EVENTS))
AnyAction: Any = reduce(or_, (_MIRRORS[kind] for kind in ACTIONS))


class Hello(Struct, tag=True, array_like=True):
    """Edge to planner, first."""

    version: int
    number: int
    dispatchers: int
    zone: str
    now_us: int
    settings_hash: str


class Welcome(Struct, tag=True, array_like=True):
    """Planner to edge, first."""

    version: int
    epoch: int


class Servers(Struct, tag=True, array_like=True):
    """The whole server list."""

    version: int
    servers: list[Server]


class Events(Struct, tag=True, array_like=True):
    """What happened at the edge, in order, at one time of its clock."""

    number: int
    now_us: int
    events: list[AnyEvent]


class Actions(Struct, tag=True, array_like=True):
    """What the edge is to do, in order."""

    answers: int
    actions: list[AnyAction]


class Bye(Struct, tag=True, array_like=True):
    """The sender closes the link, for a reason that it can name."""

    reason: str


Frame = Hello | Welcome | Servers | Events | Actions | Bye
_decoder: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)
_encoder = msgspec.msgpack.Encoder()


def to_wire(value: Any) -> Any:
    """An event or action as it travels."""
    kind = type(value)
    return _MIRRORS[kind](*[getattr(value, name) for name in _FIELDS[kind]])


def from_wire(value: Any) -> Any:
    """An event or action as it was."""
    kind = _ORIGINALS[type(value)]
    return kind(*[getattr(value, name) for name in _FIELDS[kind]])


def encode(frame: Frame) -> bytes:
    """A frame's bytes."""
    body = _encoder.encode(frame)
    if len(body) > FRAME_BYTES_MOST:
        raise LinkError(f"a frame of {len(body)} bytes is too long to send")
    return len(body).to_bytes(LENGTH_BYTES) + body


class FrameReader:
    """Turns bytes, cut anywhere, into frames."""

    def __init__(self) -> None:
        """Start with nothing."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Take bytes, give the frames that they complete. Raises LinkError."""
        self._buffer += data
        frames: list[Frame] = []
        while len(self._buffer) >= LENGTH_BYTES:
            length = int.from_bytes(self._buffer[:LENGTH_BYTES])
            if length > FRAME_BYTES_MOST:
                raise LinkError(f"a frame of {length} bytes is over the bound")
            end = LENGTH_BYTES + length
            if len(self._buffer) < end:
                break
            try:
                frames.append(_decoder.decode(bytes(self._buffer[LENGTH_BYTES:end])))
            except (msgspec.DecodeError, ValueError) as error:
                raise LinkError(f"not a frame of version {VERSION}: {error}") from None
            del self._buffer[:end]
        return frames

"""The World: the one seam through which a program meets time, sockets, files and chance.

A program takes a `World` and nothing else from outside, so that the same code runs on the real machine
(`RealWorld`) and, later, on a seeded virtual one. Times are whole microseconds since the Unix epoch, read from a
monotonic clock that was set to the wall clock once, at the start: they never step.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Any, Literal, Protocol

from yardspindle.runtime.scheduler import Channel, Deadline, Signal, Task


class StreamError(Exception):
    """The connection broke (reset, or nothing can be written any more)."""


class ConnectError(Exception):
    """No connection was made: nothing was sent."""


class ConnectReset(ConnectError):
    """It was reset while it was made: that says little of the far side."""


class DescriptorsExhausted(ConnectReset):
    """This program has none left: that says nothing of the far side."""


class Stream(Protocol):
    """A connected byte stream."""

    peer: str

    def read(self, limit: int = 65_536) -> bytes:
        """At least one byte, waiting for it; empty at the end. Raises StreamError."""

    def write(self, data: bytes) -> None:
        """Write all, waiting while the peer takes none. Raises StreamError."""

    def is_idle(self) -> bool:
        """Whether the peer has neither sent anything nor closed: an idle connection fit for use."""

    def wait_input(self) -> None:
        """Wait until the peer sends or closes, and take nothing."""

    def send_eof(self) -> None:
        """Send no more (FIN), and still read: the first half of a graceful close."""

    def close(self) -> None:
        """Close; safe to call again. Over bytes that were not read this is a reset, which undoes what was sent."""

    def abort(self) -> None:
        """Close with a reset, dropping what was not sent."""


class Listener(Protocol):
    """A listening socket."""

    host: str
    port: int

    def accept(self) -> Stream:
        """Wait for a client."""

    def stop(self, admit: Callable[[Stream], None]) -> None:
        """Stop listening; each client that had connected and was not accepted is given to `admit` at once.

        A task in `accept` gets Closed.
        """

    def close(self) -> None:
        """Stop listening at once: whoever had connected and was not accepted is reset."""


class MessageSocket(Protocol):
    """A ZeroMQ socket: whole messages of several parts."""

    port: int  # where it is bound; 0 when it connects

    def receive(self) -> list[bytes]:
        """The next message, waiting for it. Raises Closed."""

    def send(self, parts: list[bytes]) -> bool:
        """Send without waiting; False when the message was dropped."""

    def close(self) -> None:
        """Close, dropping what was not sent."""


class Database(Protocol):
    """Tables in a file. See runtime/database.py for what is raised."""

    def run(self, statement: str, arguments: Sequence[Any] = ()) -> list[tuple[Any, ...]]:
        """Carry out a statement; its rows."""

    def begin(self) -> None:
        """Start a transaction that writes."""

    def commit(self) -> None:
        """End it."""

    def roll_back(self) -> None:
        """Undo it, if one is open."""

    def close(self) -> None:
        """Close the file."""


class DatabaseBusy(Exception):
    """Another process holds the lock: try again later."""


class DatabaseError(Exception):
    """The file cannot be read or written."""


class World(Protocol):
    """What a program may use of its surroundings."""

    stop: Signal
    free_descriptor: Callable[
        [], bool
    ]  # asked where descriptors have run out: whether it closed something that can be spared

    def now_us(self) -> int:
        """Microseconds since the epoch; never goes back."""

    def sleep_until(self, at_us: int) -> None:
        """Wait until then."""

    def deadline(self, at_us: int) -> Deadline:
        """Bound a `with` block."""

    def spawn(self, name: str, function: Callable[..., Any], *args: Any) -> Task:
        """Start a task."""

    def current(self) -> Task:
        """The task that runs."""

    def call_at(self, at_us: int, callback: Callable[[], None]) -> Callable[[], None]:
        """Call back at a time; gives the function that takes it back."""

    def channel(self, capacity: int) -> Channel[Any]:
        """A bounded queue between tasks."""

    def signal(self) -> Signal:
        """A flag that tasks wait for."""

    def listen(self, host: str, port: int, backlog: int = 512) -> Listener:
        """Listen; port 0 lets the system choose. Raises OSError."""

    def connect(self, host: str, port: int, deadline_us: int) -> Stream:
        """Connect. Raises ConnectError, also at the deadline, and NoDescriptor at once."""

    def message_socket(
        self, kind: Literal["sub", "pub", "dealer", "router"], host: str, port: int, topic: bytes = b""
    ) -> MessageSocket:
        """A ZeroMQ socket: `sub` (of a topic) and `dealer` connect, `pub` and `router` bind. Raises OSError."""

    def random(self, name: str) -> random.Random:
        """A random stream of its own for each name."""

    def read_file(self, path: str, max_bytes: int = -1) -> bytes:
        """A file's bytes, up to `most` of them (-1: all), with no wait for a writer of a pipe. Raises OSError."""

    def append_file(self, path: str, data: bytes) -> None:
        """Append to a file at once, in one write. Raises OSError."""

    def replace_file(self, path: str, data: bytes) -> None:
        """Put a file's whole content in its place, on the disk before it returns: old or new, never a part."""

    def max_descriptors(self) -> int:
        """How many descriptors this program may have open."""

    def uptime_us(self) -> int:
        """Microseconds since the machine started: one clock for all processes on it, which no step moves."""

    def database(self, path: str) -> Database:
        """An embedded database that processes of one machine share. Raises OSError where there is none."""

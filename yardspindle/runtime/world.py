"""The World: the interface through which a program accesses time, sockets, files and random numbers.

Programs have no other access to their environment, so the same code runs on the real machine (`RealWorld`) and in a
seeded simulation (`VirtualWorld`). Times are integer microseconds since the Unix epoch, read from a monotonic clock
that is set to the wall clock once, at the start, so later changes of the wall clock do not move them.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Any, Literal, Protocol

from yardspindle.runtime.descriptors import DescriptorPriority
from yardspindle.runtime.scheduler import Channel, Deadline, Signal, Task


class StreamError(Exception):
    """The connection is broken: it was reset or closed and cannot be read or written."""


class ConnectError(Exception):
    """No connection was established, so nothing was sent."""


class ConnectReset(ConnectError):
    """The connection was reset while it was being established, which is weak evidence of a fault of the server."""


class DescriptorsExhausted(ConnectReset):
    """This program has no free file descriptor, which is no evidence of a fault of the server."""


class Stream(Protocol):
    """A connected byte stream."""

    peer: str  # the peer's address, "?" if unknown
    sent_bytes: int  # of all that was written, what has been accepted for sending

    def read(self, limit: int = 16_384) -> bytes:
        """Wait for data and return at least one byte, or empty bytes at the end of the stream. Raises StreamError."""

    def write(self, data: bytes) -> None:
        """Write all data, waiting while the peer does not read. Raises StreamError."""

    def is_idle(self) -> bool:
        """Return whether there is no unread input and the peer has not closed: an idle connection can be reused."""

    def wait_input(self) -> None:
        """Wait until the peer sends data or closes, without consuming input."""

    def send_eof(self) -> None:
        """Close the sending side (FIN) while reading remains possible: the first half of a graceful close."""

    def close(self) -> None:
        """Close the connection; safe to call again.

        If received bytes were not read, the peer gets a reset, which may discard data already sent to it.
        """

    def abort(self) -> None:
        """Close with a reset (RST), discarding unsent data."""


class Listener(Protocol):
    """A listening socket."""

    host: str
    port: int

    def accept(self) -> Stream:
        """Wait for a connection and return it. Raises Closed."""

    def stop(self, admit: Callable[[Stream], None]) -> bool:
        """Stop listening; each connection that was established but not yet accepted is passed to `admit`.

        A task that waits in `accept` gets Closed. False: no descriptor was free for the rest of these connections; they
        still wait, and the call is to be repeated.
        """

    def close(self) -> None:
        """Stop listening; connections that were established but not yet accepted are reset."""


class MessageSocket(Protocol):
    """A ZeroMQ socket for multipart messages."""

    port: int  # port that the socket is bound to; 0 for a socket that connects

    def receive(self) -> list[bytes]:
        """Wait for the next message and return its parts. Raises Closed."""

    def send(self, parts: list[bytes]) -> bool:
        """Send without waiting; return False if the message was dropped."""

    def close(self) -> None:
        """Close, discarding unsent messages."""


class Database(Protocol):
    """An SQL database in a file. runtime/database.py documents the exceptions raised."""

    def run(self, statement: str, parameters: Sequence[Any] = ()) -> list[tuple[Any, ...]]:
        """Execute a statement and return its rows."""

    def begin(self) -> None:
        """Start a write transaction."""

    def commit(self) -> None:
        """Commit the transaction."""

    def roll_back(self) -> None:
        """Roll back the open transaction, if any."""

    def close(self) -> None:
        """Close the file."""


class DatabaseBusy(Exception):
    """Another process holds the database lock; the caller should retry later."""


class DatabaseError(Exception):
    """The database cannot be opened, read or written, or a statement failed."""


class World(Protocol):
    """The environment of one program: everything it may use outside its own code."""

    stop: Signal  # set when the program should shut down
    # Called when no file descriptor is free: closes a connection that can be spared; returns whether it closed one.
    # The argument: whether an essential operation needs it, for which more can be spared.
    free_descriptor: Callable[[bool], bool]
    descriptor_priority: DescriptorPriority

    def now_us(self) -> int:
        """Return the time in microseconds since the epoch; it never goes backwards."""

    def sleep_until(self, at_us: int) -> None:
        """Park the current task until the given time."""

    def deadline(self, at_us: int) -> Deadline:
        """Return a context manager that raises DeadlineExceeded in its block at the given time."""

    def spawn(self, name: str, function: Callable[..., Any], *args: Any) -> Task:
        """Start a task that runs `function(*args)`."""

    def spawn_service(self, name: str, function: Callable[..., Any], *args: Any) -> Task:
        """Start a task that has to go on: after an error, which is reported, `function(*args)` runs again."""

    def current(self) -> Task:
        """Return the running task."""

    def call_at(self, at_us: int, callback: Callable[[], None]) -> Callable[[], None]:
        """Schedule a callback and return a function that cancels it."""

    def channel(self, capacity: int) -> Channel[Any]:
        """Create a bounded queue between tasks."""

    def signal(self) -> Signal:
        """Create a flag that tasks can wait for."""

    def listen(self, host: str, port: int, backlog: int = 512) -> Listener:
        """Listen on an address; port 0 lets the system choose a free port. Raises OSError."""

    def connect(self, host: str, port: int, deadline_us: int, essential: bool = False) -> Stream:
        """Connect to an address. Raises ConnectError, also at the deadline, or DescriptorsExhausted without waiting.

        One that is not essential gets no descriptor while an essential operation waits for one.
        """

    def message_socket(
        self, kind: Literal["sub", "pub", "dealer", "router"], host: str, port: int, topic: bytes = b""
    ) -> MessageSocket:
        """Create a ZeroMQ socket: `sub` (to a topic) and `dealer` connect, `pub` and `router` bind. Raises OSError."""

    def random(self, name: str) -> random.Random:
        """Return a seeded random generator; each name has an independent sequence."""

    def read_file(self, path: str, max_bytes: int = -1) -> bytes:
        """Read up to `max_bytes` of a file (-1: all); on a pipe, do not wait for a writer. Raises OSError."""

    def append_file(self, path: str, data: bytes) -> None:
        """Append to a file, with a single write unless that one is short. Raises OSError."""

    def replace_file(self, path: str, data: bytes) -> None:
        """Replace a file atomically, synced to disk on return: readers see the old or the new content, never a part."""

    def max_descriptors(self) -> int:
        """Return the number of file descriptors that this program may have open."""

    def uptime_us(self) -> int:
        """Return microseconds since the machine booted: a monotonic clock shared by all processes on the machine."""

    def peak_memory_bytes(self) -> int:
        """Return the most resident memory that this process has had; 0 if it is not known."""

    def take_longest_turn_us(self) -> int:
        """Return the longest turn of the event loop since the last call; meanwhile no task met new input or a timer."""

    def database(self, path: str) -> Database:
        """Open an embedded database that processes of one machine share. Raises OSError where it is not supported."""

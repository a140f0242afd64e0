"""One request of a client and its response, as the HTTP server passes it to a handler.

All I/O goes through a World (the interface to clock, sockets, files and randomness; tests use a simulated one).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from yardspindle.api.request_queue import body_size
from yardspindle.core.hosts.memory_budget import Reservation
from yardspindle.protocol import http1
from yardspindle.runtime.world import Stream, StreamError, World

UNREAD_POLL_US = 1_000


@dataclass(slots=True)
class Reply:
    """A complete response."""

    status: int
    headers: http1.Headers
    body: bytes
    close: bool = False


class Exchange:
    """One request and its response, which is sent complete (`reply`) or in chunks (`start`, `send`, `finish`)."""

    def __init__(
        self,
        world: World,
        stream: Stream,
        head: http1.RequestHead,
        keep_alive: Callable[[], bool],
        memory: Reservation,
    ) -> None:
        """`keep_alive` tells whether the connection stays open; it is called when the response head is written.

        `memory`: the request's part of the memory for clients, which the server releases at its end.
        """
        self._world = world
        self.stream = stream
        self.head = head
        self.body = b""
        self.received_us = 0  # when the last byte of the request arrived
        self.peer = stream.peer
        self.disconnected = False
        self.on_disconnect: Callable[[], None] | None = None
        self.started = False
        self.ended = False
        self.keep_alive = keep_alive
        self._memory = memory
        self.writing_since_us = 0  # start of the write in progress; 0: none. Read by the server's stall check

    @property
    def closes_connection(self) -> bool:
        """Whether the connection closes after this response, or (after `abort`) before its end.

        False until the response head is written.
        """
        return self.keep_alive is _no_keep_alive

    def drop_body(self) -> None:
        """Free the request's body: it is not needed any more."""
        self._memory.shrink(body_size(len(self.body)))
        self.body = b""

    def await_unread_input(self, until_us: int | None = None) -> None:
        """Wait until the server has read all that the client has sent: its close may lie behind it.

        Call this before a step that is for the client's sake only. The client's own input delays nothing but its own
        request; the time is limited by `until_us`, or by the caller.
        """
        while not (self.disconnected or self.ended or self.stream.is_idle()):
            if until_us is not None and self._world.now_us() >= until_us:
                return
            self._world.sleep_until(self._world.now_us() + UNREAD_POLL_US)

    def client_disconnected(self) -> None:
        """Note that the client disconnected; calls `on_disconnect` once, unless the response has ended."""
        if not self.disconnected:
            self.disconnected = True
            if self.on_disconnect is not None and not self.ended:
                self.on_disconnect()

    def reply(self, reply: Reply) -> None:
        """Send a complete response. Raises StreamError."""
        self.started = self.ended = True
        closing = reply.close or not self.keep_alive()
        headers = [*reply.headers, (b"connection", b"close")] if closing else reply.headers
        body = b"" if self.head.method == b"HEAD" else reply.body
        self._write(http1.write_response(reply.status, headers, body))
        if closing:
            self.keep_alive = _no_keep_alive

    def start(self, status: int, headers: http1.Headers) -> bytes:
        """Return the head of a chunked response, for `send` to write together with the first chunk."""
        self.started = True
        if not self.keep_alive():
            headers, self.keep_alive = [*headers, (b"connection", b"close")], _no_keep_alive
        if self.head.minor == 0:  # HTTP/1.0 has no chunks: the close ends the body
            self.keep_alive = _no_keep_alive
            return http1.write_head(
                b"HTTP/1.1 %d %s" % (status, http1.REASONS[status]), [*headers, (b"connection", b"close")]
            )
        return http1.write_response(status, headers, None)

    def send(self, data: bytes, head: bytes = b"") -> None:
        """Send a chunk of the body, after `head` as returned by `start`. Raises StreamError."""
        self._write(head + (http1.write_chunk(data) if self.head.minor else data))

    def finish(self, data: bytes = b"") -> None:
        """Send the last chunk. Raises StreamError."""
        self.ended = True
        self._write(http1.write_chunk(data) + http1.LAST_CHUNK if self.head.minor else data)

    def abort(self) -> None:
        """Give up the response: the server closes the connection once the handler returns.

        No last chunk is sent, so that the client cannot take the response for complete.
        """
        self.ended = True
        self.keep_alive = _no_keep_alive

    def _write(self, data: bytes) -> None:
        if self.disconnected:
            raise StreamError("client disconnected")
        self.writing_since_us = self._world.now_us()
        try:
            self.stream.write(data)
        except StreamError:
            self.client_disconnected()
            raise
        self.writing_since_us = 0


def _no_keep_alive() -> bool:
    return False


class Handler(Protocol):
    """Answers the requests that a `Server` (see serving.py) receives."""

    def early_reply(self, head: http1.RequestHead) -> Reply | None:
        """A reply that needs no request body (not found, method not allowed, too large), or None."""

    def handle(self, exchange: Exchange) -> None:
        """Answer a request. A StreamError that it raises closes the connection and is not reported."""

    def malformed(self, error: http1.ProtocolError) -> Reply:
        """The reply to input that is not a valid request."""

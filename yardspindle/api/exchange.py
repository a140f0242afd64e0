"""One request of a client and the answering of it, as the server gives it to whoever answers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from yardspindle.protocol import http1
from yardspindle.runtime.world import Stream, StreamError, World


@dataclass(slots=True)
class Reply:
    """A whole answer."""

    status: int
    headers: http1.Headers
    body: bytes
    close: bool = False


class Exchange:
    """One request and the answering of it."""

    def __init__(self, world: World, stream: Stream, head: http1.RequestHead, keep: Callable[[], bool]) -> None:
        """Made by the server."""
        self._world = world
        self.stream = stream
        self.head = head
        self.body = b""
        self.received_us = 0  # its last byte
        self.peer = stream.peer
        self.disconnected = False
        self.on_disconnect: Callable[[], None] | None = None
        self.started = False
        self.ended = False
        self.keep_alive = keep
        self.writing_since_us = 0

    @property
    def closes_connection(self) -> bool:
        """Whether the answer said that its connection closes, or breaks off with it."""
        return self.keep_alive is _never

    def client_disconnected(self) -> None:
        """The client is gone."""
        if not self.disconnected:
            self.disconnected = True
            if self.on_disconnect is not None and not self.ended:
                self.on_disconnect()

    def reply(self, reply: Reply) -> None:
        """Answer whole."""
        self.started = self.ended = True
        closing = reply.close or not self.keep_alive()
        headers = [*reply.headers, (b"connection", b"close")] if closing else reply.headers
        body = b"" if self.head.method == b"HEAD" else reply.body
        self._write(http1.write_response(reply.status, headers, body))
        if closing:
            self.keep_alive = _never

    def start(self, status: int, headers: http1.Headers) -> bytes:
        """The head of an answer in pieces, to be sent with the first of them by `send_raw`."""
        self.started = True
        if not self.keep_alive():
            headers, self.keep_alive = [*headers, (b"connection", b"close")], _never
        if self.head.minor == 0:  # no chunks in HTTP/1.0: the body ends with the connection
            self.keep_alive = _never
            return http1.write_head(
                b"HTTP/1.1 %d %s" % (status, http1.REASONS[status]), [*headers, (b"connection", b"close")]
            )
        return http1.write_response(status, headers, None)

    def send(self, data: bytes, head: bytes = b"") -> None:
        """A piece of the body, after `before` (a head) as it is. Raises StreamError."""
        self._write(head + (http1.write_chunk(data) if self.head.minor else data))

    def finish(self, data: bytes = b"") -> None:
        """The last piece. Raises StreamError."""
        self.ended = True
        self._write(http1.write_chunk(data) + http1.LAST_CHUNK if self.head.minor else data)

    def abort(self) -> None:
        """Close without an end: the client must not take the answer for whole."""
        self.ended = True
        self.keep_alive = _never

    def _write(self, data: bytes) -> None:
        if self.disconnected:
            raise StreamError("the client left")
        self.writing_since_us = self._world.now_us()
        try:
            self.stream.write(data)
        except StreamError:
            self.client_disconnected()
            raise
        self.writing_since_us = 0


def _never() -> bool:
    return False


class Handler(Protocol):
    """What answers requests."""

    def early_reply(self, head: http1.RequestHead) -> Reply | None:
        """An answer that needs no body (not found, not allowed, too large), or None."""

    def handle(self, exchange: Exchange) -> None:
        """Answer; StreamError may pass out of it."""

    def malformed(self, error: http1.ProtocolError) -> Reply:
        """The answer to bytes that are no request."""

"""One connection of the HTTP client, and how a request whose response is awaited on it is given up."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from yardspindle.protocol import http1
from yardspindle.runtime.world import Stream


@dataclass(slots=True, eq=False)
class Connection:
    """A connection to a server."""

    stream: Stream
    parser: http1.ResponseParser
    idle_since_us: int = 0  # when it was last returned to the pool; 0 until then
    on_first_byte: Callable[[], None] | None = None  # called once, when the first bytes of a response arrive
    sending_ended: bool = False  # no further request can be sent


@dataclass(slots=True, eq=False)
class PendingResponse:
    """The response that a sent request waits for; lets another task give the request up."""

    _connection: Connection | None = None

    @property
    def is_sent(self) -> bool:
        """Whether the request's last byte is written."""
        return self._connection is not None

    def response_awaited(self, connection: Connection) -> None:
        """The request is written, and its response will come on this connection."""
        self._connection = connection

    def end_sending(self) -> None:
        """Tell the server that the request is given up, and go on waiting for its response or for its close."""
        if self._connection is not None:
            self._connection.sending_ended = True
            self._connection.stream.send_eof()

    def abort(self) -> None:
        """Reset the connection, which frees its descriptor; the task that waits gets an ExchangeBroken."""
        if self._connection is not None:
            self._connection.stream.abort()

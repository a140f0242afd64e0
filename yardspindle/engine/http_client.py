"""An HTTP/1.1 client with pooled connections, whose errors tell whether the server may have the whole request.

By that the caller decides whether a request may be sent again without running twice.

A pooled connection is reused only if `Stream.is_idle`, that is, open with no data to read. A connection that its server
closed while it was pooled must be detected before a request is written to it, since afterwards it is unknown whether
the request arrived. A connection with data beyond the last response is not reused either: that data would be taken
for the answer to the next request. For the same reason a caller may require a minimum idle time before reuse.
"""

from __future__ import annotations

import contextlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from yardspindle.core.hosts.idle_limit import IdleLimit
from yardspindle.core.request import timeouts
from yardspindle.engine.connection import Connection, PendingResponse
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.world import ConnectError, DescriptorsExhausted, StreamError, World

MAX_POOLED = 64  # default number of pooled connections for each server; others are closed after use
MAX_JOINED_BODY_BYTES = 4_096  # up to this size a request's head and body are written together
MAX_INTERIM = 16  # 1xx responses before the final one


class ExchangeBroken(Exception):
    """The exchange failed. Unless it is a `NotSent`, the server may have received the whole request.

    `malformed`: the response was invalid. `stale`: a pooled connection broke in use, with no data received, which is
    evidence about the connection, not the server.
    """

    malformed = False
    stale = False


class NotSent(ExchangeBroken):
    """The connection broke before the request's last byte was written, so the server cannot have run the request."""


@dataclass(slots=True)
class Response:
    """A response whose body is still being received. `close` must be called, also after a failure."""

    client: HttpClient
    key: tuple[str, int]
    connection: Connection
    head: http1.ResponseHead
    ended: bool = False

    def read(self) -> bytes | None:
        """The next chunk of the body, or None at its end. Raises ExchangeBroken."""
        while not self.ended:
            event = self.client.next_event(self.connection)
            if isinstance(event, http1.Data):
                return event.data
            if isinstance(event, http1.End):
                self.ended = True
        return None

    def read_all(self) -> bytes:
        """The whole body. Raises ExchangeBroken."""
        pieces = []
        while (piece := self.read()) is not None:
            pieces.append(piece)
        return b"".join(pieces)

    def close(self) -> None:
        """Returns the connection to the pool, or closes it if it cannot be reused.

        If the response is incomplete the connection is reset, so that the server notices.
        """
        if self.ended and http1.keeps_alive(self.head) and not self.connection.parser.buffered:
            self.client.put_idle(self.key, self.connection)
        elif self.ended:
            self.connection.stream.close()
        else:
            self.connection.stream.abort()


@dataclass(slots=True)
class Counts:
    """Counts of connections."""

    opened: int = 0
    reused: int = 0
    # Pooled ones discarded before use, as they were idle for too long, closed, or had data to read. (The exception's
    # `stale` is about one that broke in use.)
    stale: int = 0


@dataclass(slots=True)
class HttpClient:
    """A client for any number of servers, with a connection pool for each.

    `world` is the interface to clock, sockets, files and randomness.
    """

    world: World
    connect_us: int  # limit on opening a connection
    idle_us: int  # a pooled connection that was idle for longer is not reused
    max_pooled: int = MAX_POOLED  # connections to one server
    limits: http1.Limits = field(default_factory=http1.Limits)
    idle_limit: IdleLimit | None = None  # in place of `idle_us`: lowered when connections are found closed
    head_us: int = 0  # limit from the first byte of a response head to its last; 0: none
    essential: bool = False  # its connections get a file descriptor ahead of others when none is free
    counts: Counts = field(default_factory=Counts)
    _idle: dict[tuple[str, int], deque[Connection]] = field(default_factory=dict)

    def request(
        self,
        host: str,
        port: int,
        method: bytes,
        target: bytes,
        headers: http1.Headers,
        body: bytes = b"",
        on_written: Callable[[], None] | None = None,
        late_headers: Callable[[], http1.Headers] | None = None,
        connect_us: int | None = None,
        min_idle_us: int = 0,
        descriptor_us: int | None = None,
        on_first_byte: Callable[[], None] | None = None,
        pending: PendingResponse | None = None,
    ) -> Response:
        """Sends a request and waits for the response's head.

        `late_headers` is called, and may block, once the connection is open and nothing is written. It returns the
        headers that are known only then, or raises so that nothing is sent; it may be called again for another
        connection. `on_written` is called after the request's last byte, `on_first_byte` when the first bytes of the
        response arrive: the server is alive and has the request. `pending` lets another task give it up from then on.

        `connect_us` limits the time to open a connection. A pooled one is used only if its last response ended at
        least `min_idle_us` ago. `descriptor_us` limits the wait for a file descriptor when none is available; the
        connect time begins after it. By default it is the connect limit if `connect_us` is given, else
        DESCRIPTOR_WAIT_US.

        Raises ConnectError or NotSent if the request was not sent completely, else ExchangeBroken: it may have arrived.
        """
        key = (host, port)
        name = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        while True:
            connection = self._take_idle(key, min_idle_us) or self._open(key, connect_us, descriptor_us)
            late = self._call_late_headers(connection, late_headers)
            if connection.stream.is_idle():
                break
            if not connection.idle_since_us:
                connection.stream.close()
                raise NotSent("connection closed, or data received on it, before the request was written")
            self._discard_idle(connection)  # it was idle until `late_headers` blocked
        succeeded = False
        try:
            head = http1.write_request_head(method, target, [(b"host", name.encode()), *headers, *late], len(body))
            connection.parser.expect_response(method)
            self._write(connection, head, body)
            if on_written is not None:
                on_written()
            if pending is not None:
                pending.response_awaited(connection)
            connection.on_first_byte = on_first_byte
            for _ in range(MAX_INTERIM + 1):
                event = self._head(connection)
                if isinstance(event, http1.ResponseHead) and event.status >= 200:
                    succeeded = True
                    return Response(self, key, connection, event)
            raise _malformed("too many interim responses")
        except ExchangeBroken as error:
            error.stale = self._is_stale(connection, error)
            if error.stale:
                self._report_closed(connection)
            raise
        finally:
            if not succeeded:
                connection.stream.abort()

    def _is_stale(self, connection: Connection, error: ExchangeBroken) -> bool:
        """Whether a pooled connection broke in use, with no data received and not at this end's request."""
        if error.malformed or connection.parser.buffered or connection.sending_ended:
            return False
        return bool(connection.idle_since_us)

    def _call_late_headers(
        self, connection: Connection, late_headers: Callable[[], http1.Headers] | None
    ) -> http1.Headers:
        try:
            return late_headers() if late_headers is not None else []
        except BaseException:
            connection.stream.abort()
            raise

    def _write(self, connection: Connection, head: bytes, body: bytes) -> None:
        """Write a request; a large body is not copied, as it may take long to be written."""
        try:
            if len(body) > MAX_JOINED_BODY_BYTES:
                connection.stream.write(head)
                connection.stream.write(body)
            else:
                connection.stream.write(head + body)
        except StreamError as error:
            raise NotSent(f"write: {error}") from None

    def _report_closed(self, connection: Connection) -> None:
        if self.idle_limit is not None:
            now = self.world.now_us()
            self.idle_limit.found_closed(now, now - connection.idle_since_us)

    def _reuse_limit_us(self) -> int:
        return self.idle_us if self.idle_limit is None else self.idle_limit.limit_us(self.world.now_us())

    def _head(self, connection: Connection) -> http1.Event:
        """The next response head. One that is not complete within `head_us` of its first byte counts as malformed."""
        if not self.head_us:
            return self.next_event(connection)
        if not connection.parser.buffered:
            connection.stream.wait_input()
        limit = self.world.deadline(self.world.now_us() + self.head_us)
        try:
            with limit:
                return self.next_event(connection)
        except DeadlineExceeded:
            if limit.passed:
                raise _malformed("response head not complete in time") from None
            raise

    def next_event(self, connection: Connection) -> http1.Event:
        """The next event of a response. Raises ExchangeBroken."""
        empty_bytes = 0  # bytes of empty lines, which the parser skips before a head
        try:
            while (event := connection.parser.next_event()) is None:
                if empty_bytes >= self.limits.line:
                    raise _malformed("too many empty lines before the response")
                data = connection.stream.read()
                if data:
                    if connection.on_first_byte is not None:
                        connection.on_first_byte()
                        connection.on_first_byte = None
                    connection.parser.feed(data)
                    empty_bytes += (
                        0 if connection.parser.stage is not http1.BETWEEN_MESSAGES or data.strip(b"\r\n") else len(data)
                    )
                elif connection.parser.closed:
                    raise ExchangeBroken("closed before the response")
                else:
                    connection.parser.feed_eof()
            return event
        except StreamError as error:
            raise ExchangeBroken(str(error)) from None
        except http1.ProtocolError as error:
            raise _malformed(error.reason) from None

    def put_idle(self, key: tuple[str, int], connection: Connection) -> None:
        """Adds a connection to the pool, unless no further request can be sent on it.

        One that the server closed right after its response is not pooled: found closed later, it would be taken for
        the sign of a short idle timeout and lower the idle limit for all.
        """
        if connection.sending_ended or not connection.stream.is_idle():
            return connection.stream.close()
        idle = self._idle.setdefault(key, deque())
        connection.idle_since_us = self.world.now_us()
        idle.append(connection)
        if len(idle) > self.max_pooled:
            idle.popleft().stream.close()

    def close_idle(self, host: str, port: int) -> None:
        """Closes all pooled connections to a server."""
        for connection in self._idle.pop((host, port), ()):
            connection.stream.close()

    def close_expired(self) -> None:
        """Closes connections that were idle longer than allowed; called periodically."""
        oldest = self.world.now_us() - self._reuse_limit_us()
        for key, idle in list(self._idle.items()):
            while idle and idle[0].idle_since_us < oldest:
                idle.popleft().stream.close()
            if not idle:
                del self._idle[key]

    def close_all(self) -> None:
        """Closes all pooled connections."""
        for host, port in list(self._idle):
            self.close_idle(host, port)

    def _take_idle(self, key: tuple[str, int], min_idle_us: int) -> Connection | None:
        while (connection := self._pop_idle(key, min_idle_us)) is not None:
            if self.world.now_us() - connection.idle_since_us >= self._reuse_limit_us():
                self.counts.stale += 1
                connection.stream.close()
            elif connection.stream.is_idle():
                self.counts.reused += 1
                return connection
            else:
                self._discard_idle(connection)
        return None

    def _pop_idle(self, key: tuple[str, int], min_idle_us: int) -> Connection | None:
        """Takes the connection used last that was idle for `min_idle_us`: it is the most likely to be open."""
        idle = self._idle.get(key, deque())
        for connection in reversed(idle):
            if connection.idle_since_us + min_idle_us <= self.world.now_us():
                idle.remove(connection)
                return connection
        return None

    def _discard_idle(self, connection: Connection) -> None:
        """Closes a pooled connection that was closed or has data to read; if it was closed, lowers the idle limit."""
        self.counts.stale += 1
        try:
            received_data = bool(connection.stream.read())
        except StreamError:
            received_data = False
        finally:
            connection.stream.close()
        if not received_data:
            self._report_closed(connection)

    def _open(self, key: tuple[str, int], connect_us: int | None, descriptor_us: int | None) -> Connection:
        limit_us = self.connect_us if connect_us is None else min(connect_us, self.connect_us)
        if descriptor_us is None:
            descriptor_us = timeouts.DESCRIPTOR_WAIT_US if connect_us is None else limit_us
        until_us = self.world.now_us() + descriptor_us
        while True:
            try:  # a wait for a descriptor is not connect time, which tells whether the server is responsive
                stream = self.world.connect(*key, self.world.now_us() + limit_us, self.essential)
            except DescriptorsExhausted:
                if self.world.now_us() >= until_us:
                    raise
                self._await_descriptor()
                continue
            self.counts.opened += 1
            return Connection(stream, http1.ResponseParser(limits=self.limits))

    def _await_descriptor(self) -> None:
        """Pauses before the next try to get a descriptor; an essential client claims the next one that is free."""
        retry_us = self.world.now_us() + timeouts.DESCRIPTOR_RETRY_PAUSE_US
        with self.world.descriptor_priority.claim() if self.essential else contextlib.nullcontext():
            self.world.sleep_until(retry_us)

    def close_oldest(self) -> bool:
        """Closes the pooled connection that was idle longest, to any server. Returns whether there was one."""
        idle = min((idle for idle in self._idle.values() if idle), key=lambda idle: idle[0].idle_since_us, default=None)
        if idle is not None:
            idle.popleft().stream.close()
        return idle is not None


def _malformed(reason: str) -> ExchangeBroken:
    broken = ExchangeBroken(reason)
    broken.malformed = True
    return broken


__all__ = ["ConnectError", "ExchangeBroken", "HttpClient", "NotSent", "Response"]

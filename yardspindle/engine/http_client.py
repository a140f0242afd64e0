"""An HTTP/1.1 client that keeps connections, and says of each failure whether anything was sent.

A kept connection is used only if it is quiet: a server that closed it while it was idle is found out before a
request is put on it, since after that nobody could tell whether the request arrived. One that has brought more than
was asked for is not used either, and where it matters one may rest before its next request: whatever comes after that
is written would be taken for its answer.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from yardspindle.core.hosts.idle_limit import IdleLimit
from yardspindle.core.request import timeouts
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.world import ConnectError, NoDescriptor, Stream, StreamError, World

MAX_IDLE = 64  # connections kept for each server unless told otherwise; others are closed after their use
MAX_INTERIM = 16  # answers 1xx before the final one


class ExchangeBroken(Exception):
    """The connection broke, or spoke no HTTP (`spoilt`), after the request or a part of it was sent.

    `stale`: it was a kept connection and brought nothing, so this says less of the server than of the connection.
    """

    malformed = False
    stale = False


class NotSent(ExchangeBroken):
    """The connection broke before the request's last byte was written."""


@dataclass(slots=True, eq=False)
class Connection:
    """A connection to a server."""

    stream: Stream
    parser: http1.ResponseParser
    idle_since_us: int = 0  # when it was last kept; 0 until then
    on_first_byte: Callable[[], None] | None = None  # called once, when the first bytes of an answer come


@dataclass(slots=True)
class Response:
    """A response whose body is still coming. Ends with `close`, in good order or not."""

    client: HttpClient
    key: tuple[str, int]
    connection: Connection
    head: http1.ResponseHead
    ended: bool = False

    def read(self) -> bytes | None:
        """The next piece of the body, or None at its end. Raises ExchangeBroken."""
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
        """Keep the connection if the response is complete and allows it, else reset it: the server must notice."""
        if self.ended and http1.keeps_alive(self.head) and not self.connection.parser.buffered:
            self.client.put_idle(self.key, self.connection)
        elif self.ended:
            self.connection.stream.close()
        else:
            self.connection.stream.abort()


@dataclass(slots=True)
class Counts:
    """What the client did."""

    opened: int = 0
    reused: int = 0
    stale: int = 0


@dataclass(slots=True)
class HttpClient:
    """Connections to any number of servers."""

    world: World
    connect_us: int
    idle_us: int
    max_idle: int = MAX_IDLE
    limits: http1.Limits = field(default_factory=http1.Limits)
    idle_limit: IdleLimit | None = None  # how long connections are kept by what became of them; else `idle_us` alone
    head_us: int = 0  # how long a head may take from its first byte to its last; 0: no bound
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
    ) -> Response:
        """Send a request and wait for the response's head.

        `ready` is called, and may wait, when the connection is there and nothing is written: it gives the headers
        that only then are known, or raises to have nothing sent. `written` is called after the request's last byte.
        `ready` may be called again for another connection. `connect_us` bounds the making of this one connection;
        a kept one is used only if its last answer ended `rest_us` ago. `descriptor_us` bounds the wait for a descriptor
        where none is left; the time for the connection begins after it. `heard` is called when the first bytes of the
        answer come: the server runs and has the request.

        Raises ConnectError or NotSent when nothing was sent whole, and else ExchangeBroken: it may have arrived.
        """
        key = (host, port)
        name = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        while True:
            connection = self._take(key, min_idle_us) or self._open(key, connect_us, descriptor_us)
            late = self._ready(connection, late_headers)
            if connection.stream.quiet():
                break
            if not connection.idle_since_us:
                connection.stream.close()
                raise NotSent("closed before the request's first byte")
            self._not_used(connection)  # it was while `ready` waited
        done = False
        try:
            data = http1.write_request(method, target, [(b"host", name.encode()), *headers, *late], body)
            connection.parser.expects(method)
            self._write(connection, data)
            if on_written is not None:
                on_written()
            connection.on_first_byte = on_first_byte
            for _ in range(MAX_INTERIM + 1):
                event = self._head(connection)
                if isinstance(event, http1.ResponseHead) and event.status >= 200:
                    done = True
                    return Response(self, key, connection, event)
            raise _spoilt("interim answers without end")
        except ExchangeBroken as error:
            error.stale = bool(connection.idle_since_us) and not error.malformed and not connection.parser.buffered
            if error.stale:
                self._found_dead(connection)
            raise
        finally:
            if not done:
                connection.stream.abort()

    def _ready(self, connection: Connection, ready: Callable[[], http1.Headers] | None) -> http1.Headers:
        try:
            return ready() if ready is not None else []
        except BaseException:
            connection.stream.abort()
            raise

    def _write(self, connection: Connection, data: bytes) -> None:
        try:
            connection.stream.write(data)
        except StreamError as error:
            raise NotSent(f"write: {error}") from None

    def _found_dead(self, connection: Connection) -> None:
        if self.idle_limit is not None:
            now = self.world.now_us()
            self.idle_limit.found_closed(now, now - connection.idle_since_us)

    def _limit_us(self) -> int:
        return self.idle_us if self.idle_limit is None else self.idle_limit.limit_us(self.world.now_us())

    def _head(self, connection: Connection) -> http1.Event:
        """The next head: one that has begun and does not end is as broken as one that cannot be read."""
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
                raise _spoilt("the head does not end") from None
            raise

    def next_event(self, connection: Connection) -> http1.Event:
        """The next event of a response. Raises ExchangeBroken."""
        empty = 0  # bytes of empty lines, which the parser passes over before a head
        try:
            while (event := connection.parser.next_event()) is None:
                if empty >= self.limits.line:
                    raise _spoilt("empty lines without end")
                data = connection.stream.read()
                if data:
                    if connection.on_first_byte is not None:
                        connection.on_first_byte()
                        connection.on_first_byte = None
                    connection.parser.feed(data)
                    empty += 0 if connection.parser.stage is not http1.RESTING or data.strip(b"\r\n") else len(data)
                elif connection.parser.closed:
                    raise ExchangeBroken("closed before the response")
                else:
                    connection.parser.feed_eof()
            return event
        except StreamError as error:
            raise ExchangeBroken(str(error)) from None
        except http1.ProtocolError as error:
            raise _spoilt(error.reason) from None

    def put_idle(self, key: tuple[str, int], connection: Connection) -> None:
        """Put a connection aside for the next request.

        One that its server closed with the last byte was never idle: kept, it would cast doubt on those that are.
        """
        if not connection.stream.quiet():
            return connection.stream.close()
        idle = self._idle.setdefault(key, deque())
        connection.idle_since_us = self.world.now_us()
        idle.append(connection)
        if len(idle) > self.max_idle:
            idle.popleft().stream.close()

    def close_idle(self, host: str, port: int) -> None:
        """Close what is kept to a server."""
        for connection in self._idle.pop((host, port), ()):
            connection.stream.close()

    def close_expired(self) -> None:
        """Close what was idle for longer than it may be; called now and then."""
        oldest = self.world.now_us() - self._limit_us()
        for key, idle in list(self._idle.items()):
            while idle and idle[0].idle_since_us < oldest:
                idle.popleft().stream.close()
            if not idle:
                del self._idle[key]

    def close_all(self) -> None:
        """Close every kept connection."""
        for host, port in list(self._idle):
            self.close_idle(host, port)

    def _take(self, key: tuple[str, int], rest_us: int) -> Connection | None:
        while (connection := self._rested(key, rest_us)) is not None:
            if self.world.now_us() - connection.idle_since_us >= self._limit_us():
                self.counts.stale += 1
                connection.stream.close()
            elif connection.stream.quiet():
                self.counts.reused += 1
                return connection
            else:
                self._not_used(connection)
        return None

    def _rested(self, key: tuple[str, int], rest_us: int) -> Connection | None:
        """The one used last is the likeliest to be alive; old ones can time out."""
        idle = self._idle.get(key, deque())
        for connection in reversed(idle):
            if connection.idle_since_us + rest_us <= self.world.now_us():
                idle.remove(connection)
                return connection
        return None

    def _not_used(self, connection: Connection) -> None:
        """A kept connection is not quiet: one that was closed says something of the others, one that spoke does not."""
        self.counts.stale += 1
        try:
            spoke = bool(connection.stream.read())
        except StreamError:
            spoke = False
        finally:
            connection.stream.close()
        if not spoke:
            self._found_dead(connection)

    def _open(self, key: tuple[str, int], connect_us: int | None, descriptor_us: int | None) -> Connection:
        limit_us = self.connect_us if connect_us is None else min(connect_us, self.connect_us)
        if descriptor_us is None:
            descriptor_us = timeouts.DESCRIPTOR_WAIT_US if connect_us is None else limit_us
        until_us = self.world.now_us() + descriptor_us
        while True:
            try:  # the time of the connection itself begins once there is a descriptor: its server is judged by it
                stream = self.world.connect(*key, self.world.now_us() + limit_us)
            except NoDescriptor:
                if self.world.now_us() >= until_us:
                    raise
                self.world.sleep_until(self.world.now_us() + timeouts.DESCRIPTOR_RETRY_PAUSE_US)
                continue
            self.counts.opened += 1
            return Connection(stream, http1.ResponseParser(limits=self.limits))

    def close_oldest(self) -> bool:
        """Close the kept connection that has been idle longest, to any server; whether there was one."""
        idle = min((idle for idle in self._idle.values() if idle), key=lambda idle: idle[0].idle_since_us, default=None)
        if idle is not None:
            idle.popleft().stream.close()
        return idle is not None


def _spoilt(reason: str) -> ExchangeBroken:
    broken = ExchangeBroken(reason)
    broken.malformed = True
    return broken


__all__ = ["ConnectError", "ExchangeBroken", "HttpClient", "NotSent", "Response"]

"""Serves HTTP/1.1 on a World: connections, keep-alive, pipelining, clients that leave or stall, draining.

A handler answers one request at a time for each connection, so pipelined requests are answered in order. While it
works, the connection is watched: a client that closes is reported at once, bytes of the next request wait in the
parser up to a bound. A client that takes no byte for `stalled_us` is cut off.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import Closed, DeadlineExceeded, Task
from yardspindle.runtime.world import Listener, Stream, StreamError, World

AHEAD_BYTES_MOST = 65_536  # of pipelined requests read while one is being answered
LINGER_US = 1_000_000  # how long what a refused client still sends is read, so that it gets to see the answer


@dataclass(frozen=True, slots=True)
class ServingLimits:
    """Times in microseconds."""

    http: http1.Limits = field(default_factory=http1.Limits)
    idle_us: int = 75_000_000
    header_us: int = 10_000_000
    stalled_us: int = 15_000_000
    fresh_us: int = 0  # how long a connection may bring nothing at all; 0: as long as it may be idle
    body_us: int = 15_000_000
    most: int = 0  # connections at a time; 0: no bound. Past it the one that has been idle longest is closed


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
        self.peer = stream.peer
        self.gone = False
        self.on_gone: Callable[[], None] | None = None
        self.started = False
        self.ended = False
        self.keep = keep
        self.writing_since_us = 0

    def left(self) -> None:
        """The client is gone."""
        if not self.gone:
            self.gone = True
            if self.on_gone is not None and not self.ended:
                self.on_gone()

    def reply(self, reply: Reply) -> None:
        """Answer whole."""
        self.started = self.ended = True
        closing = reply.close or not self.keep()
        headers = [*reply.headers, (b"connection", b"close")] if closing else reply.headers
        body = b"" if self.head.method == b"HEAD" else reply.body
        self._write(http1.write_response(reply.status, headers, body))
        if closing:
            self.keep = _never

    def start(self, status: int, headers: http1.Headers) -> bytes:
        """The head of an answer in pieces, to be sent with the first of them by `send_raw`."""
        self.started = True
        if not self.keep():
            headers, self.keep = [*headers, (b"connection", b"close")], _never
        if self.head.minor == 0:  # no chunks in HTTP/1.0: the body ends with the connection
            self.keep = _never
            return http1.write_head(b"HTTP/1.1 %d %s" % (status, http1.REASONS[status]),
                                    [*headers, (b"connection", b"close")])
        return http1.write_response(status, headers, None)

    def send(self, data: bytes, before: bytes = b"") -> None:
        """A piece of the body, after `before` (a head) as it is. Raises StreamError."""
        self._write(before + (http1.write_chunk(data) if self.head.minor else data))

    def finish(self, data: bytes = b"") -> None:
        """The last piece. Raises StreamError."""
        self.ended = True
        self._write(http1.write_chunk(data) + http1.LAST_CHUNK if self.head.minor else data)

    def break_off(self) -> None:
        """Close without an end: the client must not take the answer for whole."""
        self.ended = True
        self.keep = _never

    def _write(self, data: bytes) -> None:
        if self.gone:
            raise StreamError("the client left")
        self.writing_since_us = self._world.now_us()
        try:
            self.stream.write(data)
        except StreamError:
            self.left()
            raise
        self.writing_since_us = 0


def _close_quiet(task: Task) -> bool:
    """Close a connection between requests, unless bytes of its next one have woken its task: that one is taken."""
    quiet = task.parked
    if quiet:
        task.cancel()
    return quiet


def _never() -> bool:
    return False


class Handler(Protocol):
    """What answers requests."""

    def early(self, head: http1.RequestHead) -> Reply | None:
        """An answer that needs no body (not found, not allowed, too large), or None."""

    def handle(self, exchange: Exchange) -> None:
        """Answer; StreamError may pass out of it."""

    def malformed(self, error: http1.ProtocolError) -> Reply:
        """The answer to bytes that are no request."""


class Server:
    """Accepts and serves until `close`."""

    def __init__(self, world: World, listener: Listener, handler: Handler, limits: ServingLimits,
                 on_fault: Callable[[BaseException], None]) -> None:
        """`on_fault` is told of errors in the handler: its one request is cut off, the server goes on."""
        self._world = world
        self.listener = listener
        self._handler = handler
        self._limits = limits
        self._on_fault = on_fault
        self._connections: dict[Task, None] = {}
        self._idle: dict[Task, None] = {}  # those that are between requests, the longest idle first
        self.draining = False
        self.closing = False  # answers say that their connection closes

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._connections)

    def serve(self) -> None:
        """Accept until the listener is closed."""
        while True:
            try:
                stream = self.listener.accept()
            except Closed:
                return
            if self._limits.most and len(self._connections) >= self._limits.most and not self._make_room():
                stream.abort()
                continue
            task = self._world.spawn("connection", self._connection, stream)
            self._connections[task] = None

    def _make_room(self) -> bool:
        """Close the connection that has been idle longest; False when every one is at work."""
        for task in list(self._idle):
            if _close_quiet(task):
                del self._idle[task], self._connections[task]
                return True
        return False

    def close_idle(self) -> None:
        """Close what is between requests; what is not closes after its answer."""
        self.closing = True
        for task in list(self._idle):
            _close_quiet(task)

    def drain(self, until_us: int) -> None:
        """Accept nothing more, close idle connections, wait for answers under way, then cut off."""
        self.draining = True
        self.listener.close()
        for task in list(self._idle):
            _close_quiet(task)
        try:
            with self._world.deadline(until_us):
                for task in list(self._connections):
                    task.join()
        except DeadlineExceeded:
            for task in list(self._connections):
                task.cancel()

    def _connection(self, stream: Stream) -> None:
        task = self._world.current()
        parser = http1.RequestParser(limits=self._limits.http)
        first = True
        try:
            while self._one(stream, parser, task, first):
                first = False
        except (StreamError, DeadlineExceeded):
            pass
        except Exception as fault:
            self._on_fault(fault)
            stream.abort()
        finally:
            stream.close()
            self._connections.pop(task, None)
            self._idle.pop(task, None)

    def _one(self, stream: Stream, parser: http1.RequestParser, task: Task, first: bool) -> bool:
        """Serve one request; whether another may follow."""
        try:
            head = self._read_head(stream, parser, task, first)
            if head is None:
                return False
            exchange = Exchange(self._world, stream, head,
                                lambda: not (self.draining or self.closing) and http1.keeps_alive(head))
            reply = self._handler.early(head)
            if reply is None:
                if http1.has_token(head.headers, b"expect", b"100-continue") and head.minor:
                    stream.write(http1.CONTINUE)
                exchange.body = self._read_body(stream, parser)
        except http1.ProtocolError as error:
            reply = self._handler.malformed(error)
            stream.write(http1.write_response(
                reply.status, [*reply.headers, (b"connection", b"close")], reply.body))
            self._linger(stream)
            return False
        if reply is not None:
            body_waits = not parser.skip_empty_body()
            reply.close = reply.close or body_waits  # what follows would be read as a request
            exchange.reply(reply)
            if body_waits:
                self._linger(stream)
            return exchange.keep()
        watch = self._world.spawn("watch", self._watch, stream, parser, exchange)
        stop_stall = self._guard_stall(exchange)
        try:
            self._handler.handle(exchange)
        finally:
            stop_stall()
            watch.cancel()
            watch.join()
        if not exchange.ended:
            raise StreamError("the handler left its request unanswered")
        return exchange.keep() and not exchange.gone

    def _read_head(self, stream: Stream, parser: http1.RequestParser, task: Task,
                   first: bool) -> http1.RequestHead | None:
        event = parser.next_event()
        if event is None and not parser.buffered:
            if self.draining:
                return None
            self._idle[task] = None
            patience_us = (self._limits.fresh_us if first else 0) or self._limits.idle_us
            with self._world.deadline(self._world.now_us() + patience_us):
                data = stream.read()
            self._idle.pop(task, None)
            if not data:
                return None
            parser.feed(data)
            event = parser.next_event()
        if event is None:
            with self._world.deadline(self._world.now_us() + self._limits.header_us):
                while (event := parser.next_event()) is None:
                    self._fill(stream, parser)
        assert isinstance(event, http1.RequestHead)
        return event

    def _read_body(self, stream: Stream, parser: http1.RequestParser) -> bytes:
        pieces: list[bytes] = []
        with self._world.deadline(self._world.now_us() + self._limits.body_us):
            while True:
                event = parser.next_event()
                if isinstance(event, http1.Data):
                    pieces.append(event.data)
                elif isinstance(event, http1.End):
                    return b"".join(pieces)
                else:
                    self._fill(stream, parser)

    def _fill(self, stream: Stream, parser: http1.RequestParser) -> None:
        data = stream.read()
        if data:
            parser.feed(data)
        elif parser.closed:
            raise StreamError("closed")
        else:
            parser.feed_eof()

    def _watch(self, stream: Stream, parser: http1.RequestParser, exchange: Exchange) -> None:
        try:
            while parser.buffered < AHEAD_BYTES_MOST:
                data = stream.read()
                if not data:
                    break
                parser.feed(data)
            else:
                return
        except StreamError:
            pass
        exchange.left()

    def _guard_stall(self, exchange: Exchange) -> Callable[[], None]:
        stalled_us = self._limits.stalled_us
        cancel: list[Callable[[], None]] = []

        def check() -> None:
            now = self._world.now_us()
            if exchange.writing_since_us and now - exchange.writing_since_us >= stalled_us:
                exchange.left()
                exchange.stream.abort()
                return
            cancel[0] = self._world.call_at(now + stalled_us // 4, check)

        cancel.append(self._world.call_at(self._world.now_us() + stalled_us // 4, check))
        return lambda: cancel[0]()

    def _linger(self, stream: Stream) -> None:
        """Read on for a little: closing at once would reset the connection and destroy the answer on its way."""
        try:
            with self._world.deadline(self._world.now_us() + LINGER_US):
                left = 1 << 22
                while left > 0 and (data := stream.read()):
                    left -= len(data)
        except (StreamError, DeadlineExceeded):
            pass

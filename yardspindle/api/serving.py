"""Serves HTTP/1.1 on a World: connections, keep-alive, pipelining, clients that leave or stall, draining.

A handler answers one request at a time for each connection, so pipelined requests are answered in order. While it
works, the connection is read on (see inbox.py): a client that closes is reported at once, whatever it had sent. A
client that takes no byte for `stalled_us` is cut off.

A connection is closed gracefully: what has come is served first, then our side ends (FIN), and what the client still
sends is read and dropped until it closes too, within bounds. To close over bytes that were not read would reset the
connection, and with it an answer that is still on its way.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from yardspindle.api.exchange import Exchange, Handler, Reply
from yardspindle.api.request_queue import QueueBudget, QueuedRequest, RequestQueue
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import Cancelled, Closed, DeadlineExceeded, Task
from yardspindle.runtime.world import Listener, Stream, StreamError, World

LINGER_US = 1_000_000  # how long what a client sends after our FIN is read, so that it gets to see the answer
LINGER_BYTES = 4_194_304
MAX_ACCEPTS_PER_TURN = (
    16  # in one turn: each takes 0.1 ms of processor time, and a dispatcher may have a tenth of a core
)
LINGERING_FRACTION = 1 / 8  # of the connections: those that only wait for the client's own end
NEW_CONNECTION_GRACE_US = (
    300_000  # a connection that was just made has its first request on the way: it is not closed sooner
)


@dataclass(frozen=True, slots=True)
class ServingLimits:
    """Times in microseconds."""

    http: http1.Limits = field(default_factory=http1.Limits)
    idle_us: int = 75_000_000
    header_us: int = 10_000_000
    write_stall_us: int = 15_000_000
    first_byte_us: int = 0  # how long a connection may bring nothing at all; 0: as long as it may be idle
    body_us: int = 15_000_000
    max_connections: int = 0  # connections at a time; 0: no bound. Past it the one that has been idle longest is closed
    max_body_bytes: int = (
        0  # bytes of requests' bodies that are coming or wait; 0: no bound. One past it is refused at its end
    )


OVERLOADED_REPLY = Reply(503, [(b"content-type", b"text/plain")], b"more at once than may wait\n")


@dataclass(slots=True)
class _Resting:
    """A connection between requests."""

    stream: Stream
    not_before_us: int  # it is not closed before, unless to make room
    closing: bool = False  # it was told to close


class Server:
    """Accepts and serves until `drain`."""

    def __init__(
        self,
        world: World,
        listener: Listener,
        handler: Handler,
        limits: ServingLimits,
        on_error: Callable[[BaseException], None],
    ) -> None:
        """`on_fault` is told of errors in the handler: its one request is cut off, the server goes on."""
        self._world = world
        self.listener = listener
        self._handler = handler
        self._limits = limits
        self._on_fault = on_error
        self._connections: dict[Task, None] = {}
        self._idle: dict[Task, _Resting] = {}  # those that are between requests, the longest idle first
        self._lingering: dict[Task, Stream] = {}  # those that we have ended, the oldest first
        self._budget = QueueBudget(max_body_bytes=limits.max_body_bytes)
        self.draining = False
        self.closing = False  # answers say that their connection closes
        self._over = False

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._connections)

    @property
    def _linger_most(self) -> int:
        return int(self._limits.max_connections * LINGERING_FRACTION)

    def serve(self) -> None:
        """Accept until the listener is closed; of a burst, a few in each turn of the loop."""
        accepted = 0
        while True:
            try:
                stream = self.listener.accept()
            except Closed:
                return
            self._admit(stream)
            accepted += 1
            if accepted % MAX_ACCEPTS_PER_TURN == 0:
                self._world.sleep_until(self._world.now_us())

    def _admit(self, stream: Stream) -> None:
        """Take a connection, or reset it where there is no room: the last descriptors are for hosts and releases."""
        if not self._has_room() and not self._make_room():
            self._world.sleep_until(self._world.now_us())  # those that were just made come to rest in their first turn
            if not self._has_room() and not self._make_room():
                stream.abort()
                return
        task = self._world.spawn("connection", self._connection, stream)
        self._connections[task] = None

    def _has_room(self) -> bool:
        at_work = len(self._connections) - len(self._lingering)
        return not self._limits.max_connections or at_work < self._limits.max_connections - self._linger_most

    def _make_room(self) -> bool:
        """Close the connection that has been idle longest; False when every one is at work.

        At once: idle clients may come by the hundred a second, no answer is on its way to one, and nothing unread was
        there when we looked, so that it sees our FIN.
        """
        for task, resting in self._idle.items():
            if self._close_quiet(task, now=True):
                resting.stream.close()
                del self._connections[task]
                return True
        return False

    def _close_quiet(self, task: Task, now: bool = False) -> bool:
        """Close a connection between requests, unless bytes of its next one have come: that one is taken.

        `now`: what its client still sends is not read on.
        """
        resting = self._idle.get(task)
        if resting is None or not task.parked or not resting.stream.quiet():
            return False
        del self._idle[task]
        resting.closing = True
        if not now:
            self._finish(resting.stream, task)  # here, not in its task: nothing that comes from now on is taken
        task.cancel()
        return True

    def _finish(self, stream: Stream, task: Task) -> None:
        """Send our FIN. Of those that wait for their client's own end the oldest is closed where they are too many."""
        stream.finish()
        self._lingering[task] = stream
        while self._limits.max_connections and len(self._lingering) > self._linger_most:
            oldest = next(iter(self._lingering))
            self._lingering.pop(oldest).close()
            self._connections.pop(oldest, None)

    def close_idle(self) -> None:
        """Close what is between requests; what is not closes after its answer."""
        self.closing = True
        now = self._world.now_us()
        for task, resting in list(self._idle.items()):
            if resting.not_before_us > now:
                self._close_later(task, resting.not_before_us)
            else:
                self._close_quiet(task)

    def _close_later(self, task: Task, at_us: int) -> None:
        def due() -> None:
            self._close_quiet(task)

        self._world.call_at(at_us, due)

    def drain(self, until_us: int) -> None:
        """Accept nothing more, close idle connections, wait for answers under way, then cut off."""
        self.draining = True
        self.listener.stop(self._admit)  # they have connected: their requests are owed an answer
        self.close_idle()
        try:
            with self._world.deadline(until_us):
                while self._connections:  # one more may have been accepted just before the listener's end
                    next(iter(self._connections)).join()
        except DeadlineExceeded:
            self._over = True
            for task in list(self._connections):
                task.cancel()

    def _connection(self, stream: Stream) -> None:
        task = self._world.current()
        inbox = RequestQueue(self._limits.http, self._budget)
        first = True
        try:
            while self._one(stream, inbox, task, first):
                first = False
        except (StreamError, DeadlineExceeded):
            pass
        except Cancelled:  # nobody waits for us any more
            stream.close()
            raise
        except Exception as fault:
            self._on_fault(fault)
            stream.abort()
        finally:
            inbox.clear()
            try:
                self._end(stream, task)
            finally:
                stream.close()
                self._connections.pop(task, None)

    def _end(self, stream: Stream, task: Task) -> None:
        """Read on for a little after our FIN."""
        if task not in self._connections:
            return  # it was closed to make room
        if task not in self._lingering:
            self._finish(stream, task)
        try:
            with self._world.deadline(self._world.now_us() + LINGER_US):
                left = LINGER_BYTES
                while left > 0 and (data := stream.read()):
                    left -= len(data)
        except (StreamError, DeadlineExceeded):
            pass
        finally:
            self._lingering.pop(task, None)

    def _one(self, stream: Stream, inbox: RequestQueue, task: Task, first: bool) -> bool:
        """Serve one request; whether another may follow."""
        try:
            head = self._await_head(stream, inbox, task, first)
            if head is None:
                return False
            exchange = Exchange(
                self._world,
                stream,
                head,
                lambda: http1.keeps_alive(head) and (inbox.pending or not (self.draining or self.closing)),
            )
            reply = self._handler.early_reply(head)
            if reply is None:
                if http1.has_token(head.headers, b"expect", b"100-continue") and head.minor and not inbox.queued:
                    stream.write(http1.CONTINUE)
                incoming = self._await_whole(stream, inbox)
                exchange.body, exchange.received_us = incoming.body, incoming.received_us
                reply = None if incoming.body_kept else OVERLOADED_REPLY
            elif inbox.pop() is None:
                reply.close = True  # its body is still to come, and would be read as a request
        except http1.ProtocolError as error:
            reply = self._handler.malformed(error)
            stream.write(http1.write_response(reply.status, [*reply.headers, (b"connection", b"close")], reply.body))
            return False
        if reply is not None:
            exchange.reply(reply)
            return not exchange.closes_connection
        inbox.answering = True
        watch = self._world.spawn("watch", self._watch, stream, inbox, exchange)
        stop_stall = self._guard_stall(exchange)
        try:
            self._handler.handle(exchange)
        finally:
            stop_stall()
            watch.cancel()
            watch.join()
            inbox.answering = False
        if not exchange.ended:
            raise StreamError("the handler left its request unanswered")
        return not (
            exchange.closes_connection or exchange.disconnected
        )  # where the process ends meanwhile, it is looked for bytes first

    def _await_head(self, stream: Stream, inbox: RequestQueue, task: Task, first: bool) -> http1.RequestHead | None:
        """The next request's head; None when none comes and the connection is to end. Raises ProtocolError."""
        if not inbox.pending and not self._await_bytes(stream, inbox, task, first):
            return None
        if inbox.next_head() is None:
            with self._world.deadline(self._world.now_us() + self._limits.header_us):
                while inbox.next_head() is None:
                    self._fill(stream, inbox)
        return inbox.next_head()

    def _await_bytes(self, stream: Stream, inbox: RequestQueue, task: Task, first: bool) -> bool:
        """Rest between requests; whether anything came, also in the moment in which we wanted to close."""
        now, leaving = self._world.now_us(), self.draining or self.closing
        if leaving and not first and stream.quiet():
            return False
        timeout_us = (self._limits.first_byte_us if first else 0) or self._limits.idle_us
        resting = self._idle[task] = _Resting(stream, now + NEW_CONNECTION_GRACE_US if first else 0)
        try:
            with self._world.deadline(now + (min(timeout_us, NEW_CONNECTION_GRACE_US) if leaving else timeout_us)):
                data = stream.read()
        except Cancelled:
            if not resting.closing or self._over:
                raise
            return False
        except DeadlineExceeded:
            if stream.quiet():
                return False
            data = stream.read()
        finally:
            self._idle.pop(task, None)
        if data:
            inbox.feed(self._world.now_us(), data)
        return bool(data)

    def _await_whole(self, stream: Stream, inbox: RequestQueue) -> QueuedRequest:
        with self._world.deadline(self._world.now_us() + self._limits.body_us):
            while (incoming := inbox.pop()) is None:
                self._fill(stream, inbox)
        return incoming

    def _fill(self, stream: Stream, inbox: RequestQueue) -> None:
        data = stream.read()
        if not data and inbox.client_closed:
            raise StreamError("closed")
        inbox.feed(self._world.now_us(), data)

    def _watch(self, stream: Stream, inbox: RequestQueue, exchange: Exchange) -> None:
        try:
            while True:
                stream.wait_input()
                if exchange.ended:
                    return  # what comes now waits for its turn, or for our FIN
                data = stream.read()
                if not data:
                    break
                inbox.feed(self._world.now_us(), data)
        except StreamError:
            pass
        exchange.client_disconnected()

    def _guard_stall(self, exchange: Exchange) -> Callable[[], None]:
        stalled_us = self._limits.write_stall_us
        cancel: list[Callable[[], None]] = []

        def check() -> None:
            now = self._world.now_us()
            if exchange.writing_since_us and now - exchange.writing_since_us >= stalled_us:
                exchange.client_disconnected()
                exchange.stream.abort()
                return
            cancel[0] = self._world.call_at(now + stalled_us // 4, check)

        cancel.append(self._world.call_at(self._world.now_us() + stalled_us // 4, check))
        return lambda: cancel[0]()

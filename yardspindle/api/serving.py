"""HTTP/1.1 server on a World (the interface to clock, sockets, files and randomness).

It handles keep-alive, pipelining, disconnected and stalled clients, and draining (closing without lost responses).
A handler answers one request at a time for each connection, so pipelined requests are answered in order. Meanwhile
the connection is still read (see request_queue.py): a client that closes is reported at once, whatever it sent before.
A client that accepts no byte for `write_stall_us` is cut off.

A connection is closed gracefully: what has arrived is served first, then the server sends its FIN, and what the client
still sends is read and discarded, within bounds, until it closes too. A close with unread bytes would reset the
connection and lose a response that is still in transit.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from yardspindle.api.exchange import Exchange, Handler, Reply
from yardspindle.api.incomplete_requests import IncompleteRequests
from yardspindle.api.request_queue import QueueBudget, QueuedRequest, RequestQueue
from yardspindle.api.serving_counts import CloseReason, ServingCounts
from yardspindle.api.serving_limits import ServingLimits as ServingLimits
from yardspindle.api.stall_guard import StallGuard
from yardspindle.api.turn_queue import TurnQueue
from yardspindle.core.hosts.memory_budget import MemoryBudget, Reservation
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import Cancelled, Closed, DeadlineExceeded, Task
from yardspindle.runtime.world import Listener, Stream, StreamError, World

LINGER_US = 1_000_000  # how long a client is read after our FIN, so that it receives the response
LINGER_BYTES = 4_194_304  # how much of what it still sends is discarded meanwhile
# Connections accepted in one turn of the event loop, so that a burst does not delay the other tasks for long: each
# takes 0.1 ms of processor time, and a router process may have a tenth of a core.
MAX_ACCEPTS_PER_TURN = 16
# Clients whose input is gone on with in one turn, of those that have sent more than the request being answered.
MAX_SENT_AHEAD_PER_TURN = 16
# Read at most from a client in one turn of the event loop. The time to parse it keeps all other clients waiting.
READ_BYTES = 8_192
DISCARD_BYTES = 65_536  # the same for input that is not parsed any more
LINGERING_FRACTION = 1 / 8  # share of `max_connections` set aside for those that linger: FIN sent, client's awaited
CLOSE_WAIT_US = 5_000  # for a close that has come with a request to be read, before the request is handled
STOP_RETRY_US = 5_000  # before connections that wait are accepted again, if no descriptor was free at the stop
NEW_CONNECTION_GRACE_US = 300_000  # a new connection is not closed sooner: its first request is in transit


# Sent for a request whose body was dropped, as it exceeded a bound on the bytes of bodies held in memory.
OVERLOADED_REPLY = Reply(503, [(b"content-type", b"text/plain")], b"more at once than may wait\n")


@dataclass(slots=True)
class _IdleConnection:
    """An idle connection: between two requests."""

    stream: Stream
    not_before_us: int  # not closed before this time, except to make room
    closing: bool = False  # its task was cancelled to close it


class Server:
    """Accepts connections and serves their requests until `drain`."""

    def __init__(
        self,
        world: World,
        listener: Listener,
        handler: Handler,
        limits: ServingLimits,
        on_error: Callable[[BaseException], None],
    ) -> None:
        """`on_error` is called with an error of the handler: its connection is reset, the server goes on."""
        self._world = world
        self.listener = listener
        self._handler = handler
        self._limits = limits
        self._on_error = on_error
        self._connections: dict[Task, None] = {}
        self._idle: dict[Task, _IdleConnection] = {}  # longest idle first
        self._lingering: dict[Task, Stream] = {}  # FIN sent; oldest first
        self._incomplete = IncompleteRequests(world)
        self._budget = QueueBudget(MemoryBudget(limits.max_memory_bytes), max_body_bytes=limits.max_body_bytes)
        self._sent_ahead = TurnQueue(world, MAX_SENT_AHEAD_PER_TURN)
        self.counts = ServingCounts()
        self.draining = False
        self.closing = False  # responses say that their connection closes
        self._aborting = False  # the deadline of `drain` has passed

    @property
    def connections(self) -> int:
        """The number of open connections, including those that linger."""
        return len(self._connections)

    @property
    def _max_lingering(self) -> int:
        return int(self._limits.max_connections * LINGERING_FRACTION)

    def serve(self) -> None:
        """Accept until the listener is closed; of a burst, MAX_ACCEPTS_PER_TURN in each turn of the loop."""
        accepted = 0
        while True:
            try:
                stream = self.listener.accept()
            except Closed:
                return
            self.counts.accepted += 1
            self._admit(stream)
            accepted += 1
            if accepted % MAX_ACCEPTS_PER_TURN == 0:
                self._world.sleep_until(self._world.now_us())

    def _admit(self, stream: Stream) -> None:
        """Serve a connection, or reset it if there is no room: the last descriptors are for calls to engines."""
        if not self._has_room() and not self._make_room():
            # Lets the connections just accepted run once: only then are they listed as idle and can be closed.
            self._world.sleep_until(self._world.now_us())
            if not self._has_room() and not self._make_room():
                self.counts.add(CloseReason.NO_ROOM)
                stream.abort()
                return
        task = self._world.spawn("connection", self._serve_connection, stream)
        self._connections[task] = None

    def _has_room(self) -> bool:
        busy = len(self._connections) - len(self._lingering)
        return not self._limits.max_connections or busy < self._limits.max_connections - self._max_lingering

    def _make_room(self) -> bool:
        if self.close_longest_idle():
            return True
        task = self._incomplete.drop_oldest()
        if task is not None:
            self.counts.add(CloseReason.INCOMPLETE_FOR_ROOM)
            del self._connections[task]
        return task is not None

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest, to make room; False if every one is busy.

        It does not linger: hundreds of idle clients may connect each second, and they would displace the connections
        that linger for a response in transit (`_half_close`). That is safe: no response of this one is in transit and
        no unread bytes were there when checked, so that the client receives our FIN, not a reset.
        """
        for task, idle in self._idle.items():
            if self._close_if_idle(task, now=True):
                self.counts.add(CloseReason.IDLE_FOR_ROOM)
                idle.stream.close()
                del self._connections[task]
                return True
        return False

    def _close_if_idle(self, task: Task, now: bool = False) -> bool:
        """Close an idle connection, unless bytes of its next request have arrived: that one is served.

        `now`: without lingering; what the client still sends is not read.
        """
        idle = self._idle.get(task)
        if idle is None or not task.parked or not idle.stream.is_idle():
            return False
        del self._idle[task]
        idle.closing = True
        if not now:
            self._half_close(idle.stream, task)  # here, not in its task: what arrives from now on is not served
        task.cancel()
        return True

    def _half_close(self, stream: Stream, task: Task) -> None:
        """Send our FIN and let the connection linger; the oldest ones are closed if too many linger."""
        stream.send_eof()
        self._lingering[task] = stream
        while self._limits.max_connections and len(self._lingering) > self._max_lingering:
            oldest = next(iter(self._lingering))
            self._lingering.pop(oldest).close()
            self._connections.pop(oldest, None)

    def close_idle(self) -> None:
        """Close idle connections; busy ones close after their response."""
        self.closing = True
        now = self._world.now_us()
        for task, idle in list(self._idle.items()):
            if idle.not_before_us > now:
                self._close_later(task, idle.not_before_us)
            else:
                self._close_if_idle(task)

    def _close_later(self, task: Task, at_us: int) -> None:
        def close() -> None:
            self._close_if_idle(task)

        self._world.call_at(at_us, close)

    def drain(self, until_us: int) -> None:
        """Stop accepting, close idle connections, wait for responses in progress until `until_us`, then abort."""
        self.draining = True
        try:
            with self._world.deadline(until_us):
                while not self.listener.stop(self._admit):  # connections not yet accepted are admitted, not reset
                    self.close_idle()
                    self._world.sleep_until(self._world.now_us() + STOP_RETRY_US)
                self.close_idle()
                while self._connections:  # one more may have been accepted just before the listener closed
                    next(iter(self._connections)).join()
        except DeadlineExceeded:
            self._aborting = True
            self.listener.close()
            for task in list(self._connections):
                task.cancel()

    def _serve_connection(self, stream: Stream) -> None:
        task = self._world.current()
        queue = RequestQueue(self._limits.http, self._budget)
        first = True
        try:
            while self._serve_one(stream, queue, task, first):
                first = False
                if queue.pending:
                    self._sent_ahead.wait()  # other clients' requests have their turn first
        except StreamError:
            self.counts.add(CloseReason.CLIENT_LEFT)
        except DeadlineExceeded:
            self.counts.add(CloseReason.INCOMPLETE)
        except Cancelled:  # by `drain`, at the end of its time
            stream.close()
            raise
        except Exception as fault:
            self._on_error(fault)
            stream.abort()
        finally:
            queue.clear()
            try:
                self._linger(stream, task)
            finally:
                stream.close()
                self._connections.pop(task, None)

    def _linger(self, stream: Stream, task: Task) -> None:
        """Linger: read and discard what the client still sends after our FIN."""
        if task not in self._connections:
            return  # already closed to make room
        if task not in self._lingering:
            self._half_close(stream, task)
        try:
            with self._world.deadline(self._world.now_us() + LINGER_US):
                remaining = LINGER_BYTES
                while remaining > 0 and (data := stream.read(DISCARD_BYTES)):
                    remaining -= len(data)
        except (StreamError, DeadlineExceeded):
            pass
        finally:
            self._lingering.pop(task, None)

    def _serve_one(self, stream: Stream, queue: RequestQueue, task: Task, first: bool) -> bool:
        """Serve one request; returns whether another may follow on this connection."""
        memory = Reservation(self._budget.memory)
        try:
            head = self._await_head(stream, queue, task, first)
            if head is None:
                return False
            exchange = Exchange(
                self._world,
                stream,
                head,
                lambda: http1.keeps_alive(head) and (queue.pending or not (self.draining or self.closing)),
                memory,
            )
            reply = self._receive(stream, queue, exchange, memory)
        except http1.ProtocolError as error:
            self.counts.add(CloseReason.MALFORMED if error.status != 503 else CloseReason.NO_MEMORY)
            reply = self._handler.malformed(error)
            stream.write(http1.write_response(reply.status, [*reply.headers, (b"connection", b"close")], reply.body))
            return False
        if reply is not None:
            exchange.reply(reply)
            return not exchange.closes_connection
        try:
            self._handle(stream, queue, exchange)
        finally:
            memory.resize(0)
        # In a drain the connection closes later: `_await_bytes` first checks whether bytes have arrived.
        return not (exchange.closes_connection or exchange.disconnected)

    def _receive(self, stream: Stream, queue: RequestQueue, exchange: Exchange, memory: Reservation) -> Reply | None:
        """Receive the rest of a request; returns the reply to one that is not handled. Raises ProtocolError."""
        head = exchange.head
        reply = self._handler.early_reply(head)
        if reply is not None:
            if queue.pop() is None:
                reply.close = True  # its body has not arrived, and would be parsed as a request
            return reply
        if http1.has_token(head.headers, b"expect", b"100-continue") and head.minor and not queue.queued:
            stream.write(http1.CONTINUE)
        request = self._await_request(stream, queue)
        exchange.body, exchange.received_us = request.body, request.received_us
        if request.body_kept and memory.resize(self._limits.request_bytes + request.size):
            return None
        self.counts.add(CloseReason.NO_MEMORY)
        return OVERLOADED_REPLY

    def _handle(self, stream: Stream, queue: RequestQueue, exchange: Exchange) -> None:
        """Let the handler answer a request, while the connection is still read."""
        queue.answering = True
        watch = self._world.spawn("watch", self._watch, stream, queue, exchange)
        guard = StallGuard(self._world, exchange, self._limits.write_stall_us, self.counts)
        try:
            exchange.await_unread_input(self._world.now_us() + CLOSE_WAIT_US)
            if exchange.disconnected:
                raise StreamError("the client closed as its request was complete")
            self._handler.handle(exchange)
        finally:
            guard.stop()
            watch.cancel()
            watch.join()
            exchange.on_disconnect = None  # refers to the exchange: together they would stay in memory
            queue.answering = False
        if not exchange.ended:
            raise StreamError("the handler returned without ending its response")

    def _await_head(self, stream: Stream, queue: RequestQueue, task: Task, first: bool) -> http1.RequestHead | None:
        """The head of the next request; None if none arrives and the connection is to end. Raises ProtocolError."""
        if not queue.pending and not self._await_bytes(stream, queue, task, first):
            return None
        if queue.next_head() is None:
            with self._incomplete.receiving(stream, self._limits.header_us):
                while queue.next_head() is None:
                    self._read_more(stream, queue)
        return queue.next_head()

    def _await_bytes(self, stream: Stream, queue: RequestQueue, task: Task, first: bool) -> bool:
        """Wait for bytes of the next request; returns whether any arrived, even just before the close."""
        now, closing = self._world.now_us(), self.draining or self.closing
        if closing and not first and stream.is_idle():
            return False
        timeout_us = (self._limits.first_byte_us if first else 0) or self._limits.idle_us
        idle = self._idle[task] = _IdleConnection(stream, now + NEW_CONNECTION_GRACE_US if first else 0)
        try:
            with self._world.deadline(now + (min(timeout_us, NEW_CONNECTION_GRACE_US) if closing else timeout_us)):
                data = stream.read(READ_BYTES)
        except Cancelled:
            if not idle.closing or self._aborting:
                raise
            return False
        except DeadlineExceeded:
            if stream.is_idle():
                self.counts.add(CloseReason.IDLE)
                return False
            data = stream.read(READ_BYTES)
        finally:
            self._idle.pop(task, None)
        if data:
            queue.feed(self._world.now_us(), data)
        return bool(data)

    def _await_request(self, stream: Stream, queue: RequestQueue) -> QueuedRequest:
        with self._incomplete.receiving(stream, self._limits.body_us):
            while (request := queue.pop()) is None:
                self._read_more(stream, queue)
        return request

    def _read_more(self, stream: Stream, queue: RequestQueue) -> None:
        if queue.unparsed:
            self._parse_more(queue)
            return
        data = stream.read(READ_BYTES)
        if not data and queue.client_closed:  # the first end of input is left to the parser: it may be an error
            raise StreamError("the client closed before its request was complete")
        queue.feed(self._world.now_us(), data)

    def _parse_more(self, queue: RequestQueue) -> None:
        """Parse more of what was received, after other clients have had their turn."""
        self._sent_ahead.wait()
        queue.parse_more()

    def _watch(self, stream: Stream, queue: RequestQueue, exchange: Exchange) -> None:
        """Read the connection while its request is answered, so that a disconnect is noticed."""
        try:
            while True:
                while queue.unparsed and not exchange.ended:
                    self._parse_more(queue)
                stream.wait_input()
                if exchange.ended:
                    return  # what arrives now is read for the next request, or after our FIN
                data = stream.read(READ_BYTES if queue.error is None else DISCARD_BYTES)
                if not data:
                    break
                queue.feed(self._world.now_us(), data)
        except StreamError:
            pass
        exchange.client_disconnected()

"""Requests of a connection that were received but not yet answered, parsed as their bytes arrive.

A connection is still read while one of its requests is answered; otherwise a client's close would go unnoticed behind
the requests that it had pipelined. Complete requests are queued, each with its time of arrival. The queued bytes are
bounded per connection and in total: a body beyond a bound is dropped and its request is refused when its turn comes,
so that every request that was read gets a response. Where the memory for clients has no room for a head, an error takes
the place of all that follows.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from yardspindle.api.body_buffer import BodyBuffer
from yardspindle.core.hosts.memory_budget import MemoryBudget, Reservation
from yardspindle.protocol import http1

MAX_QUEUED_BODY_BYTES = 524_288  # of one connection: two bodies of the dispatcher's limit (node/app.py: CLIENT_LIMITS)
MAX_TOTAL_QUEUED_BODY_BYTES = 8_388_608  # of all connections of a server
MAX_QUEUED_HEAD_BYTES = 262_144  # of one connection: sixteen heads of the same CLIENT_LIMITS
MAX_TOTAL_QUEUED_HEAD_BYTES = 4_194_304  # of all connections of a server
MAX_QUEUED_REQUESTS = 64  # of one connection; all that follows them gets a single error reply
BODY_MEMORY_FACTOR = 1.5  # memory of a body that grows piece by piece, per byte: what the allocator cannot use included
MAX_STEP_REQUESTS = 4  # parsed in one turn of the event loop
HEADER_OVERHEAD_BYTES = 160  # memory of a header's objects, in addition to its bytes


@dataclass(slots=True)
class QueuedRequest:
    """A complete request."""

    head: http1.RequestHead
    body: bytes
    received_us: int  # when its last byte arrived
    body_kept: bool  # False: its body exceeded a bound and was dropped

    @property
    def size(self) -> int:
        """Approximate memory of the request in bytes."""
        return head_size(self.head) + body_size(len(self.body))


@dataclass(slots=True)
class QueueBudget:
    """Bytes of requests held in memory for all connections of a server, and their bounds."""

    memory: MemoryBudget = field(default_factory=MemoryBudget)  # for all that is held, also partial heads
    max_queued_body_bytes: int = MAX_TOTAL_QUEUED_BODY_BYTES  # applied to bodies that are queued behind a request
    max_body_bytes: int = 0  # applied to every body; 0: no bound
    body_bytes: int = 0  # of all bodies, including those being received; compared with both bounds
    head_bytes: int = 0


@dataclass(slots=True)
class RequestQueue:
    """The requests of one connection: parses its bytes and queues the complete requests."""

    limits: http1.Limits
    budget: QueueBudget
    answering: bool = False  # a request is being answered: what arrives now is queued behind it
    queued: deque[QueuedRequest] = field(default_factory=deque)
    error: http1.ProtocolError | None = None  # nothing after the queued requests can be parsed
    unparsed: bool = False  # more requests have been received: `parse_more` goes on with them
    _fed_us: int = 0  # when the bytes received last arrived
    _head: http1.RequestHead | None = None  # of the request being received
    _body: BodyBuffer = field(default_factory=BodyBuffer)
    _keep_body: bool = True
    _held_body_bytes: int = 0  # of the queued bodies and the one being received
    _head_bytes: int = 0  # of the queued heads
    _reservation: Reservation = field(init=False)  # of all that this queue holds
    _parser: http1.RequestParser = field(init=False)

    def __post_init__(self) -> None:
        """Create the parser."""
        self._parser = http1.RequestParser(limits=self.limits)
        self._reservation = Reservation(self.budget.memory)

    @property
    def pending(self) -> bool:
        """Whether anything received is unanswered, including a partial request."""
        return bool(self.queued) or self._head is not None or self.error is not None or bool(self._parser.buffered)

    def next_head(self) -> http1.RequestHead | None:
        """The head of the next request, or None if it has not arrived. Raises ProtocolError."""
        if self.queued:
            return self.queued[0].head
        if self._head is None and self.error is not None:
            raise self.error
        return self._head

    def pop(self) -> QueuedRequest | None:
        """Remove and return the next request; None if it is not complete. Raises ProtocolError."""
        if self.queued:
            request = self.queued.popleft()
            self._release_body_bytes(len(request.body))
            self._add_head_bytes(-head_size(request.head))
            self._reserve()
            return request
        if self.error is not None:
            raise self.error
        return None

    def feed(self, now_us: int, data: bytes) -> None:
        """Parse bytes received from the client, or the first requests in them; empty data: it closed its side."""
        if self.error is not None:
            return
        limit = MAX_STEP_REQUESTS if not self.unparsed else MAX_QUEUED_REQUESTS
        if data:
            self._parser.feed(data)
        else:
            self._parser.feed_eof()
        self._fed_us = now_us
        self._parse(limit)

    def parse_more(self) -> None:
        """Go on with what was received, if `unparsed`."""
        if self.error is None:
            self._parse(MAX_STEP_REQUESTS)

    def _parse(self, limit: int) -> None:
        """Parse what was received, up to `limit` requests: many small ones take long, and other clients wait."""
        self.unparsed, count = False, 0
        try:
            while not self.unparsed and (event := self._parser.next_event()) is not None:
                self._handle_event(self._fed_us, event)
                count += isinstance(event, http1.End)
                self.unparsed = count >= limit and bool(self._parser.buffered)
            self._require_memory()
        except http1.ProtocolError as error:
            self.error = error.with_traceback(None)  # a traceback would keep what its frames hold
            self._drop_unparsed()

    @property
    def client_closed(self) -> bool:
        """Whether the client closed its side of the connection."""
        return self._parser.closed

    def clear(self) -> None:
        """Free everything that is held for the connection, at its end."""
        self.queued.clear()
        self._head = self.error = None
        self._drop_unparsed()
        self._release_body_bytes(self._held_body_bytes)
        self._add_head_bytes(-self._head_bytes)
        self._reservation.resize(0)

    def _drop_unparsed(self) -> None:
        """Free what follows the complete requests: nothing of it can be served."""
        self._parser.buffer.clear()
        self.unparsed = False
        self._release_body_bytes(len(self._body))
        self._body.clear()
        self._reserve()

    def _reserve(self) -> bool:
        """Reserve what is held now; returns whether there was room for it. There always is for less than before."""
        receiving = head_size(self._head) if self._head is not None else 0
        return self._reservation.resize(self._parser.buffered + self._head_bytes + receiving + self._held_body_bytes)

    def _require_memory(self) -> None:
        if not self._reserve():
            raise http1.ProtocolError("no memory for more requests", 503)

    def _release_body_bytes(self, size: int) -> None:
        size = min(size, self._held_body_bytes)
        self._held_body_bytes -= size
        self.budget.body_bytes -= size

    def _add_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        self.budget.head_bytes += size

    def _handle_event(self, now_us: int, event: http1.Event) -> None:
        """Add a parsed head, piece of a body or end of a request; raises ProtocolError beyond the queue's bounds."""
        if isinstance(event, http1.RequestHead):
            self._head, self._keep_body = event, True
            self._require_memory()
        elif isinstance(event, http1.Data):
            is_queued, total_bytes = self.answering or bool(self.queued), self.budget.body_bytes + len(event.data)
            if (
                0 < self.budget.max_body_bytes < total_bytes
                or not self.budget.memory.has_room(body_size(len(event.data)))
                or is_queued
                and (
                    self._held_body_bytes + len(event.data) > MAX_QUEUED_BODY_BYTES
                    or total_bytes > self.budget.max_queued_body_bytes
                )
            ):
                self._keep_body = False
            if self._keep_body:
                self._body.append(event.data)
                self._held_body_bytes += len(event.data)
                self.budget.body_bytes += len(event.data)
            else:
                self._release_body_bytes(len(self._body))
                self._body.clear()
            self._reserve()
        else:
            assert self._head is not None
            self.queued.append(QueuedRequest(self._head, self._body.take(), now_us, self._keep_body))
            self._add_head_bytes(head_size(self._head))
            self._head = None
            # The client has pipelined more than the bounds allow. All that follows gets this one error reply.
            if (
                len(self.queued) >= MAX_QUEUED_REQUESTS
                or self._head_bytes > MAX_QUEUED_HEAD_BYTES
                or self.budget.head_bytes > MAX_TOTAL_QUEUED_HEAD_BYTES
                and len(self.queued) > 1
            ):
                raise http1.ProtocolError("more requests at once than may wait", 429)


def head_size(head: http1.RequestHead) -> int:
    """Approximate memory of a head; the objects of a header take more than its bytes."""
    return len(head.target) + sum(len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in head.headers)


def body_size(count: int) -> int:
    """Approximate memory of a body of `count` bytes."""
    return int(count * BODY_MEMORY_FACTOR)

"""What a client has sent and nobody has answered yet, taken apart as it comes.

While one request is answered its connection is read on, or a client that leaves would not be noticed behind what it
sent before. Whole requests wait here for their turn, each with the time at which it came. The bytes that wait are
bounded for each connection and for all: past a bound a body is dropped and its request is refused in its turn, so
that each request that was read gets an answer.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from yardspindle.protocol import http1

MAX_QUEUED_BODY_BYTES = 524_288  # of bodies that wait on one connection: two of the largest
MAX_TOTAL_QUEUED_BODY_BYTES = 8_388_608  # and on all
MAX_QUEUED_HEAD_BYTES = 262_144  # of heads that wait on one connection: sixteen of the largest
MAX_TOTAL_QUEUED_HEAD_BYTES = 4_194_304  # and on all
MAX_QUEUED_REQUESTS = 64  # that wait on one connection; what lies beyond them is refused as one
HEADER_OVERHEAD_BYTES = 160  # of a header's objects beside its bytes


@dataclass(slots=True)
class QueuedRequest:
    """A whole request."""

    head: http1.RequestHead
    body: bytes
    received_us: int  # its last byte
    body_kept: bool  # its body was kept


@dataclass(slots=True)
class QueueBudget:
    """What all connections of a server keep."""

    max_queued_body_bytes: int = MAX_TOTAL_QUEUED_BODY_BYTES  # bytes of bodies, of which one lies ahead
    max_body_bytes: int = 0  # bytes of bodies in all, those among them that are still coming; 0: no bound
    body_bytes: int = 0
    head_bytes: int = 0


@dataclass(slots=True)
class RequestQueue:
    """One connection's."""

    limits: http1.Limits
    budget: QueueBudget
    answering: bool = False  # the request before is being answered: what comes now is ahead of its turn
    queued: deque[QueuedRequest] = field(default_factory=deque)
    error: http1.ProtocolError | None = None  # after what waits nothing can be read
    _head: http1.RequestHead | None = None  # of the request that is coming
    _body: bytearray = field(default_factory=bytearray)  # not its pieces: of two bytes each they take 22 times as much
    _whole: bool = True
    _kept: int = 0
    _heads: int = 0
    _parser: http1.RequestParser = field(init=False)

    def __post_init__(self) -> None:
        """Between requests."""
        self._parser = http1.RequestParser(limits=self.limits)

    @property
    def pending(self) -> bool:
        """Whether anything was read that has no answer."""
        return bool(self.queued) or self._head is not None or self.error is not None or bool(self._parser.buffered)

    def next_head(self) -> http1.RequestHead | None:
        """The head of the next request, if it has come. Raises ProtocolError."""
        if self.queued:
            return self.queued[0].head
        if self._head is None and self.error is not None:
            raise self.error
        return self._head

    def pop(self) -> QueuedRequest | None:
        """The next request, if it has come whole. Raises ProtocolError."""
        if self.queued:
            incoming = self.queued.popleft()
            self._free(len(incoming.body))
            self._count_head(-_size(incoming.head))
            return incoming
        if self.error is not None:
            raise self.error
        return None

    def feed(self, now_us: int, data: bytes) -> None:
        """Bytes from the client; none: it has closed its side."""
        if self.error is not None:
            return
        if data:
            self._parser.feed(data)
        else:
            self._parser.feed_eof()
        try:
            while (event := self._parser.next_event()) is not None:
                self._event(now_us, event)
        except http1.ProtocolError as error:
            self.error = error

    @property
    def client_closed(self) -> bool:
        """Whether the client has closed its side."""
        return self._parser.closed

    def clear(self) -> None:
        """The connection ends: nothing is kept for it."""
        self.queued.clear()
        self._body.clear()
        self._free(self._kept)
        self._count_head(-self._heads)

    def _free(self, size: int) -> None:
        size = min(size, self._kept)
        self._kept -= size
        self.budget.body_bytes -= size

    def _count_head(self, size: int) -> None:
        self._heads += size
        self.budget.head_bytes += size

    def _event(self, now_us: int, event: http1.Event) -> None:
        if isinstance(event, http1.RequestHead):
            self._head, self._whole = event, True
        elif isinstance(event, http1.Data):
            ahead, all_kept = self.answering or bool(self.queued), self.budget.body_bytes + len(event.data)
            if (
                0 < self.budget.max_body_bytes < all_kept
                or ahead
                and (
                    self._kept + len(event.data) > MAX_QUEUED_BODY_BYTES or all_kept > self.budget.max_queued_body_bytes
                )
            ):
                self._whole = False
            if self._whole:
                self._body += event.data
                self._kept += len(event.data)
                self.budget.body_bytes += len(event.data)
            else:
                self._free(len(self._body))
                self._body.clear()
        else:
            assert self._head is not None
            self.queued.append(QueuedRequest(self._head, bytes(self._body), now_us, self._whole))
            self._count_head(_size(self._head))
            self._head = None
            self._body.clear()
            if (
                len(self.queued) >= MAX_QUEUED_REQUESTS
                or self._heads > MAX_QUEUED_HEAD_BYTES
                or self.budget.head_bytes > MAX_TOTAL_QUEUED_HEAD_BYTES
                and len(self.queued) > 1
            ):
                raise http1.ProtocolError("more requests at once than may wait", 429)


def _size(head: http1.RequestHead) -> int:
    """About what a head takes: the objects of a row are more than its bytes."""
    return len(head.target) + sum(len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in head.headers)

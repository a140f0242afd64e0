"""Client of the model hosts: the platform's protocol, and what each answer means for an attempt and its host.

An attempt is one call for a request's prefill at a reader or its decode at a writer. A place is memory reserved at a
writer ahead of the decode; the platform calls it a room.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

from yardspindle.core.hosts.directory import Server
from yardspindle.core.request import timeouts
from yardspindle.core.request.answer_progress import AnswerProgress
from yardspindle.engine.connection import PendingResponse
from yardspindle.engine.http_client import ConnectError, ExchangeBroken, HttpClient, NotSent, Response
from yardspindle.interface import Role, Status
from yardspindle.protocol import http1
from yardspindle.protocol.chunks import ChunkReader
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.world import ConnectReset, DescriptorsExhausted, StreamError

ROOMS_PATH = b"/bootstrap/rooms/"
MAX_BODY_BYTES = 262_144  # of a complete body, and of a chunk of a stream
STREAM_READ_BYTES = 8_192  # held at most for a client that reads slowly, beside a chunk that is incomplete
RESPONSE_LIMITS = http1.Limits(line=8_192, head=16_384, headers=64, body=MAX_BODY_BYTES)
CACHED_TOKENS = re.compile(rb'"cached_tokens"\s*:\s*([0-9]{1,9})')
EVENT_PREFIX, EVENT_ENDS = b"data:", (b"\n\n", b"\n\r\n")  # lines may end in LF or CRLF
LateHeaders = Callable[[], http1.Headers]  # called once connected, before the first byte; may raise CallCancelled


class CallCancelled(Exception):
    """Raised just before a call's first byte is written, as the call is no longer wanted. Nothing was sent."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended.

    `note` is passed to the policy with it: the cached prompt tokens of a success, or 1 with `FULL` (the host declined)
    if the state, the KV cache that the read left, is no longer held.
    """

    status: Status
    note: int = 0
    detail: str = ""
    stale: bool = False  # a pooled connection, or one being opened, was reset: weak evidence of a fault of the host
    no_descriptor: bool = False  # no file descriptor was free, which says nothing about the host


class ResponseStream:
    """A streamed response. Reads raise ExchangeBroken, and ProtocolError if it is malformed."""

    def __init__(self, response: Response) -> None:
        """Take over the body, with the bytes already received, from the response's parser."""
        self._response = response
        self._connection = response.connection
        self._world = response.client.world
        parser = response.connection.parser
        self._chunks = ChunkReader(MAX_BODY_BYTES)
        self._unparsed = bytes(parser.buffer)
        self.last_input_us = self._world.now_us()  # when bytes were last read, of whatever kind
        self._progress = AnswerProgress(self.last_input_us)
        self._chunked = http1.is_chunked(response.head.headers, response.head.minor)
        parser.buffer.clear()

    def read(self, hold_us: int = 0) -> bytes | None:
        """Return the chunks completed since the last call; None at the end. Raises ExchangeBroken and ProtocolError.

        `hold_us`: how long complete events are held back while their chunk is incomplete; 0: until it is complete.
        """
        if not self._chunked:
            raise http1.ProtocolError("stream is not chunked")
        began_us, due_us = self._world.now_us(), 0
        while True:
            if contents := self._parse():
                return contents
            if self._chunks.ended:
                return None
            if self._progress.is_overdue(self._world.now_us(), began_us) and self.is_idle():
                raise http1.ProtocolError("the framing of a chunk does not end")
            if hold_us and (self._chunks.remainder or not self._chunks.plain_framing):
                due_us = due_us or self._world.now_us() + hold_us
                if not self._input_by(due_us):
                    due_us = 0
                    if events := self.complete_events():
                        return events
                    continue
            try:
                data = self._connection.stream.read(STREAM_READ_BYTES)
            except StreamError as error:  # an error of the host, not to be confused with one of the client
                raise ExchangeBroken(str(error)) from None
            if not data:
                raise ExchangeBroken("closed inside the stream")
            self._unparsed, self.last_input_us = data, self._world.now_us()

    def _parse(self) -> bytes:
        """Parse what was received last; returns the contents that it completes. Raises ProtocolError."""
        self.check()
        if not self._unparsed:
            return b""
        data, self._unparsed = self._unparsed, b""
        contents = self._chunks.feed(data)
        self._progress.received(self.last_input_us, self._chunks.content_bytes, self._chunks.plain_framing)
        return contents

    def check(self) -> None:
        """Raise ProtocolError if what was received behind all that `read` has returned is malformed."""
        if self._chunks.error_reason:
            raise http1.ProtocolError(self._chunks.error_reason)

    def complete_events(self) -> bytes:
        """Take the complete events of an incomplete chunk; they are not returned again."""
        return self._chunks.take_partial(EVENT_ENDS)

    def _input_by(self, due_us: int) -> bool:
        """Wait for input; returns whether it arrived before `due_us`."""
        limit = self._world.deadline(due_us)
        try:
            with limit:
                self._connection.stream.wait_input()
        except DeadlineExceeded:
            if not limit.passed:
                raise
        return self._world.now_us() < due_us

    def is_idle(self) -> bool:
        """Whether no unread bytes have arrived."""
        return self._connection.stream.is_idle()

    def close(self) -> None:
        """Pool the connection if the stream ended and no bytes follow it; else reset it."""
        self._response.ended = self._chunks.ended
        self._connection.parser.buffer += self._chunks.remainder
        self._connection.parser.stage = http1.BETWEEN_MESSAGES
        self._response.close()

    def abort(self) -> None:
        """Abort the connection: a pending read raises an error."""
        self._connection.stream.abort()


class HostClient:
    """Makes the calls to model hosts."""

    def __init__(self, http: HttpClient) -> None:
        """`http` holds the connection pool."""
        self.http = http

    def send(
        self,
        server: Server,
        target: bytes,
        headers: http1.Headers,
        body: bytes,
        on_written: Callable[[], None],
        on_first_byte: Callable[[], None],
        late_headers: LateHeaders,
        connect_us: int | None,
        min_idle_us: int,
    ) -> AttemptResult | ResponseStream:
        """Send a request to a reader or writer; returns its result, or its stream once the head has arrived."""
        try:
            response = self.http.request(
                server.host,
                server.port,
                b"POST",
                target,
                headers,
                body,
                on_written,
                late_headers,
                connect_us,
                min_idle_us,
                on_first_byte=on_first_byte,
            )
        except ConnectError as error:
            return AttemptResult(
                Status.CONNECT_FAILED,
                detail=str(error),
                stale=isinstance(error, ConnectReset),
                no_descriptor=isinstance(error, DescriptorsExhausted),
            )
        except NotSent as error:
            return AttemptResult(Status.CONNECT_FAILED, detail=str(error), stale=error.stale)
        except ExchangeBroken as error:
            return AttemptResult(
                Status.ERROR if error.malformed else Status.RESET, detail=str(error), stale=error.stale
            )
        head = response.head
        if head.status == 200 and server.role is not Role.READ:
            return ResponseStream(response)
        limit = self.http.world.deadline(self.http.world.now_us() + timeouts.RESPONSE_BODY_US)
        try:
            with limit:
                content = response.read_all()
        except ExchangeBroken as error:
            return AttemptResult(Status.ERROR if error.malformed else Status.RESET, detail=str(error))
        except DeadlineExceeded:
            if not limit.passed:
                raise
            return AttemptResult(Status.ERROR, detail="response body did not end in time")
        finally:
            response.close()
        declined = head.get(b"srv-declined") == b"1"
        if head.status == 202 and server.role is Role.READ:
            return AttemptResult(Status.READ, cached_tokens(content))
        if head.status == 410 and declined:
            return AttemptResult(Status.FULL, note=1)  # the state is no longer held
        if head.status in (503, 504) and declined:
            return AttemptResult(Status.FULL)
        return AttemptResult(Status.ERROR, detail=f"status {head.status}")

    def reserve_place(
        self, server: Server, request_id: bytes, late_headers: LateHeaders, pending: PendingResponse
    ) -> bool | None:
        """Ask a writer to hold a place; returns whether it does, or None if that is unknown.

        There is no time limit until the head of the answer: another task gives the call up through `pending`.
        """
        try:
            status = self._call(server, b"POST", request_id, late_headers, None, pending=pending)
            return {200: True, 409: False}.get(status)
        except DescriptorsExhausted:
            return False  # nothing was sent

    def release(self, server: Server, request_id: bytes, late_headers: LateHeaders) -> bool | None:
        """Ask a host to release all that any host holds for a request: it passes the release on.

        Returns whether it acknowledged. None: no file descriptor was free and nothing was sent; the core then retries
        without blaming the host.
        """
        try:
            return self._call(server, b"DELETE", request_id, late_headers, timeouts.RELEASE_DESCRIPTOR_US) == 204
        except DescriptorsExhausted:
            return None

    def probe(
        self,
        server: Server,
        request_id: bytes,
        late_headers: LateHeaders,
        on_first_byte: Callable[[], None],
        new_connection: bool,
    ) -> None:
        """Send a release to a host that may be silent; `on_first_byte` is called when it answers.

        `new_connection`: use no pooled one, which may be unresponsive. Raises DescriptorsExhausted.
        """
        min_idle_us = timeouts.NEVER_REUSE_US if new_connection else 0
        wait_us = timeouts.RELEASE_DESCRIPTOR_US
        self._call(server, b"DELETE", request_id, late_headers, wait_us, min_idle_us, on_first_byte)

    def _call(
        self,
        server: Server,
        method: bytes,
        request_id: bytes,
        late_headers: LateHeaders,
        descriptor_us: int | None,
        min_idle_us: int = 0,
        on_first_byte: Callable[[], None] | None = None,
        pending: PendingResponse | None = None,
    ) -> int:
        """Make a call about a place or release; returns the status, or 0 if there was no complete answer."""
        try:
            response = self.http.request(
                server.host,
                server.port,
                method,
                ROOMS_PATH + request_id,
                [],
                late_headers=late_headers,
                min_idle_us=min_idle_us,
                descriptor_us=descriptor_us,
                on_first_byte=on_first_byte,
                pending=pending,
            )
        except DescriptorsExhausted:
            raise
        except (ConnectError, ExchangeBroken):
            return 0
        limit = self.http.world.deadline(self.http.world.now_us() + timeouts.RESPONSE_BODY_US)
        try:
            with limit:
                response.read_all()
        except ExchangeBroken:
            return 0
        except DeadlineExceeded:
            if not limit.passed:
                raise
            return 0
        finally:
            response.close()
        return response.head.status


def cached_tokens(data: bytes) -> int:
    """The prompt tokens that a host reports as found in its cache; 0 if it reports nothing valid."""
    match = CACHED_TOKENS.search(data)
    return int(match[1]) if match else 0

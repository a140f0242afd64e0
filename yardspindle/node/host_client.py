"""The client side of a model host: what the platform's protocol says, and what each answer proves."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

from yardspindle.core.hosts.directory import Server
from yardspindle.core.request import timeouts
from yardspindle.engine.http_client import ConnectError, ExchangeBroken, HttpClient, NotSent, Response
from yardspindle.interface import Role, Status
from yardspindle.protocol import http1
from yardspindle.protocol.chunks import ChunkReader
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.world import ConnectReset, NoDescriptor, StreamError

ROOMS_PATH = b"/bootstrap/rooms/"
MAX_BODY_BYTES = 262_144  # of a whole body, and of a chunk of a stream
RESPONSE_LIMITS = http1.Limits(line=8_192, head=16_384, headers=64, body=MAX_BODY_BYTES)
CACHED_TOKENS = re.compile(rb'"cached_tokens"\s*:\s*([0-9]{1,9})')
EVENT_PREFIX, EVENT_ENDS = b"data:", (b"\n\n", b"\n\r\n")  # a line may end in either way
BeforeWrite = Callable[[], http1.Headers]  # see HttpClient.request; may raise CalledOff


class CallCancelled(Exception):
    """Raised where a call's first byte is about to be written: it must not go out any more. Nothing was sent."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended; `note` is what the policy is told with it."""

    status: Status
    note: int = 0
    detail: str = ""
    stale: bool = False  # the connection was reset in a way that says little of the host
    no_descriptor: bool = False  # for want of a descriptor: that says nothing of it


class ResponseStream:
    """An answer under way. Reads raise ExchangeBroken; ProtocolError says that it is spoilt."""

    def __init__(self, response: Response) -> None:
        """Take over the body from the response's parser."""
        self._response = response
        self._connection = response.connection
        self._world = response.client.world
        parser = response.connection.parser
        self._chunks = ChunkReader(MAX_BODY_BYTES)
        self._left = bytes(parser.buffer)
        self._chunked = http1.is_chunked(response.head.headers, response.head.minor)
        parser.buffer.clear()

    def read(self, hold_us: int = 0) -> bytes | None:
        """The chunks that have come whole since, or None at the end. Raises ExchangeBroken and ProtocolError.

        `hold_us`: how long whole events are held that are part of a chunk which does not get whole; 0: till it does.
        """
        if not self._chunked:
            raise http1.ProtocolError("a stream that is not in chunks")
        due_us = 0
        while True:
            if self._left:
                data, self._left = self._left, b""
                contents = self._chunks.feed(data)
                if contents:
                    return contents
            if self._chunks.ended:
                return None
            if hold_us and self._chunks.rest:
                due_us = due_us or self._world.now_us() + hold_us
                if not self._comes_by(due_us):
                    due_us = 0
                    if events := self.complete_events():
                        return events
                    continue
            try:
                data = self._connection.stream.read()
            except StreamError as error:  # the host's, and not to be taken for the client's
                raise ExchangeBroken(str(error)) from None
            if not data:
                raise ExchangeBroken("closed inside the stream")
            self._left = data

    def complete_events(self) -> bytes:
        """The whole events of a chunk that is not whole; they are not given out again."""
        return self._chunks.early(EVENT_ENDS)

    def _comes_by(self, due_us: int) -> bool:
        limit = self._world.deadline(due_us)
        try:
            with limit:
                self._connection.stream.wait_input()
        except DeadlineExceeded:
            if not limit.passed:
                raise
        return self._world.now_us() < due_us

    def quiet(self) -> bool:
        """Whether nothing has come that was not read."""
        return self._connection.stream.quiet()

    def close(self) -> None:
        """Keep the connection if the stream came to its end and nothing lies behind it, else reset it."""
        self._response.ended = self._chunks.ended
        self._connection.parser.buffer += self._chunks.rest
        self._connection.parser.stage = http1.RESTING
        self._response.close()

    def abort(self) -> None:
        """Break it off: a read that waits ends with an error."""
        self._connection.stream.abort()


class HostClient:
    """Calls to model hosts."""

    def __init__(self, http: HttpClient) -> None:
        """Connections are kept by `http`."""
        self.http = http

    def send(
        self,
        server: Server,
        target: bytes,
        headers: http1.Headers,
        body: bytes,
        written: Callable[[], None],
        acknowledged: Callable[[], None],
        before_write: BeforeWrite,
        connect_us: int | None,
        rest_us: int,
    ) -> AttemptResult | ResponseStream:
        """Send the request to a reader or writer and wait for what it says, or for the head of its stream."""
        try:
            response = self.http.request(
                server.host,
                server.port,
                b"POST",
                target,
                headers,
                body,
                written,
                before_write,
                connect_us,
                rest_us,
                on_first_byte=acknowledged,
            )
        except ConnectError as error:
            return AttemptResult(
                Status.CONNECT_FAILED,
                detail=str(error),
                stale=isinstance(error, ConnectReset),
                no_descriptor=isinstance(error, NoDescriptor),
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
            return AttemptResult(Status.ERROR, detail="the body does not end")
        finally:
            response.close()
        declined = head.get(b"srv-declined") == b"1"
        if head.status == 202 and server.role is Role.READ:
            return AttemptResult(Status.READ, cached_tokens(content))
        if head.status == 410 and declined:
            return AttemptResult(Status.FULL, 1)
        if head.status in (503, 504) and declined:
            return AttemptResult(Status.FULL)
        return AttemptResult(Status.ERROR, detail=f"status {head.status}")

    def ask_place(self, server: Server, request_id: bytes, ready: BeforeWrite) -> bool | None:
        """Whether a writer holds a place now; None when it is not known."""
        try:
            return {200: True, 409: False}.get(self._call(server, b"POST", request_id, ready, None))
        except NoDescriptor:
            return False  # it was never asked

    def release(self, server: Server, request_id: bytes, ready: BeforeWrite) -> bool | None:
        """Let go of all that is held for a request anywhere; whether the host heard. None: see Rooms.settled."""
        try:
            return self._call(server, b"DELETE", request_id, ready, timeouts.RELEASE_DESCRIPTOR_US) == 204
        except NoDescriptor:
            return None

    def _call(
        self, server: Server, method: bytes, request_id: bytes, ready: BeforeWrite, descriptor_us: int | None
    ) -> int:
        try:
            response = self.http.request(
                server.host,
                server.port,
                method,
                ROOMS_PATH + request_id,
                [],
                late_headers=ready,
                descriptor_us=descriptor_us,
            )
        except NoDescriptor:
            raise
        except (ConnectError, ExchangeBroken):
            return 0
        try:
            response.read_all()
        except ExchangeBroken:
            return 0
        finally:
            response.close()
        return response.head.status


def cached_tokens(data: bytes) -> int:
    """The prompt tokens that a host says it found kept; 0 where it says nothing readable."""
    found = CACHED_TOKENS.search(data)
    return int(found[1]) if found else 0

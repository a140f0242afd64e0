"""Sans-I/O HTTP/1.1 parsers for servers and clients (RFC 9110, RFC 9112): bytes in, events out.

Parsing is strict where leniency would permit request smuggling: a message has exactly one length, lines end in CRLF,
and no space precedes the colon of a header. Violations raise ProtocolError with the status that a server answers.
A parser yields `RequestHead` or `ResponseHead`, then `Data`, then `End`, then the next message of the connection
(pipelining).
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum

from yardspindle.protocol.http1_headers import Limits as Limits
from yardspindle.protocol.http1_headers import ProtocolError as ProtocolError
from yardspindle.protocol.http1_headers import content_length, first_value, parse_headers
from yardspindle.protocol.http1_headers import has_token as has_token
from yardspindle.protocol.http1_headers import is_chunked as is_chunked
from yardspindle.protocol.http1_write import CONTINUE as CONTINUE
from yardspindle.protocol.http1_write import LAST_CHUNK as LAST_CHUNK
from yardspindle.protocol.http1_write import REASONS as REASONS
from yardspindle.protocol.http1_write import TARGET, TOKEN
from yardspindle.protocol.http1_write import Headers as Headers
from yardspindle.protocol.http1_write import write_chunk as write_chunk
from yardspindle.protocol.http1_write import write_head as write_head
from yardspindle.protocol.http1_write import write_request as write_request
from yardspindle.protocol.http1_write import write_request_head as write_request_head
from yardspindle.protocol.http1_write import write_response as write_response

VERSION = re.compile(rb"HTTP/1\.([01])")
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})((?:[ \t]*;[\t -~\x80-\xff]*)?)")
PLAIN_CHUNK_LINE = re.compile(rb"\r\n([0-9A-Fa-f]{1,5})\r\n")  # without extensions, for chunks under 1 MiB
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: ([\t -~\x80-\xff]*))?")
BARE_LF = re.compile(rb"(?<!\r)\n")
BODILESS_STATUS = (204, 304)


@dataclass(slots=True)
class RequestHead:
    """Request line and headers; header names are in lower case."""

    method: bytes
    target: bytes
    minor: int  # of the version: HTTP/1.0 or HTTP/1.1
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return first_value(self.headers, name)


@dataclass(slots=True)
class ResponseHead:
    """Status line and headers of a response; header names are in lower case."""

    status: int
    minor: int  # of the version: HTTP/1.0 or HTTP/1.1
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return first_value(self.headers, name)


@dataclass(slots=True)
class Data:
    """A part of the body."""

    data: bytes


@dataclass(slots=True)
class End:
    """The message is complete."""


Event = RequestHead | ResponseHead | Data | End


class _Stage(Enum):
    HEAD = 1
    LENGTH = 2
    CHUNK_LINE = 3
    CHUNK_DATA = 4
    CHUNK_END = 5
    TRAILERS = 6
    UNTIL_CLOSE = 7
    END = 8
    DEAD = 9


def keeps_alive(head: RequestHead | ResponseHead) -> bool:
    """Return whether the connection stays open after this message."""
    if head.minor == 0:
        return has_token(head.headers, b"connection", b"keep-alive")
    return not has_token(head.headers, b"connection", b"close")


# Before the head of a message. `ResponseStream` (node/host_client.py) sets it too, so that a connection can be
# used again: it reads chunked bodies with the faster `ChunkReader`, so the parser does not see the message's end.
BETWEEN_MESSAGES = _Stage.HEAD


@dataclass(slots=True)
class _Parser:
    limits: Limits = field(default_factory=Limits)
    buffer: bytearray = field(default_factory=bytearray)
    stage: _Stage = _Stage.HEAD
    remaining: int = 0  # bytes left of the body or chunk; in stage TRAILERS: the number of trailers so far
    body_bytes: int = 0  # received so far
    head_searched: int = 0  # offset in `buffer` up to which the end of the head was searched for
    closed: bool = False

    def feed(self, data: bytes) -> None:
        """Add bytes received from the peer."""
        self.buffer += data

    def feed_eof(self) -> None:
        """Record that the peer closed its sending side."""
        self.closed = True

    @property
    def buffered(self) -> int:
        """Number of received bytes that are not yet parsed."""
        return len(self.buffer)

    @property
    def mid_message(self) -> bool:
        """Whether a message was started and is not complete."""
        return self.stage is not _Stage.HEAD or bool(self.buffer)

    def next_event(self) -> Event | None:
        """Return the next event, or None if more bytes are needed. Raises ProtocolError, then again at every call."""
        if self.stage is _Stage.DEAD:
            raise ProtocolError("the connection is unusable after an earlier protocol error")
        try:
            return self._next()
        except ProtocolError:
            self.stage = _Stage.DEAD
            raise

    def _next(self) -> Event | None:
        if self.stage is _Stage.HEAD:
            return self._head()
        if self.stage is _Stage.LENGTH:
            return self._sized_body(_Stage.END)
        if self.stage is _Stage.CHUNK_DATA:
            return self._chunk()
        if self.stage in (_Stage.CHUNK_LINE, _Stage.CHUNK_END, _Stage.TRAILERS):
            return self._chunk_lines()
        if self.stage is _Stage.UNTIL_CLOSE:
            if self.buffer:
                return self._take_data(len(self.buffer))
            if not self.closed:
                return None
        self.stage, self.body_bytes = _Stage.HEAD, 0
        return End()

    def _take_data(self, count: int) -> Data:
        self.body_bytes += count
        if self.body_bytes > self.limits.body:
            raise ProtocolError("the body is too large", 413)
        data = bytes(self.buffer[:count])
        del self.buffer[:count]
        return Data(data)

    def _sized_body(self, next_stage: _Stage) -> Event | None:
        if self.remaining and not self.buffer:
            self._check_not_closed("the body")
            return None
        if not self.remaining:
            self.stage = next_stage
            return self._next()
        data = self._take_data(min(self.remaining, len(self.buffer)))
        self.remaining -= len(data.data)
        if not self.remaining:
            self.stage = next_stage
        return data

    def _chunk(self) -> Event | None:
        """Return data of the current chunk and, once it is complete, of the whole chunks buffered behind it.

        An event for each of many small chunks takes so long that a close of the client, which follows them on the
        connection, is detected late.
        """
        event = self._sized_body(_Stage.CHUNK_END)
        if self.stage is not _Stage.CHUNK_END or not isinstance(event, Data):
            return event
        buffer, at, pieces, body_allowance = self.buffer, 0, [event.data], self.limits.body - self.body_bytes
        while (line := PLAIN_CHUNK_LINE.match(buffer, at)) is not None:
            size, start = int(line[1], 16), line.end()
            if not 0 < size <= body_allowance or start + size > len(buffer):
                break
            at, body_allowance = start + size, body_allowance - size
            pieces.append(bytes(buffer[start:at]))
        if at:
            self.body_bytes = self.limits.body - body_allowance
            del buffer[:at]
        return event if not at else Data(b"".join(pieces))

    def _check_not_closed(self, what: str) -> None:
        if self.closed:
            raise ProtocolError(f"the peer closed inside {what}")

    def _take_line(self) -> bytes | None:
        at = self.buffer.find(b"\n", 0, self.limits.line + 2)
        if at < 0:
            if len(self.buffer) > self.limits.line:
                raise ProtocolError("a line is too long")
            self._check_not_closed("a chunk")
            return None
        if at == 0 or self.buffer[at - 1] != 13:
            raise ProtocolError("a line ends without a carriage return")
        line = bytes(self.buffer[: at - 1])
        del self.buffer[: at + 1]
        return line

    def _chunk_lines(self) -> Event | None:
        while True:
            if self.stage is _Stage.CHUNK_END:
                if len(self.buffer) < 2:
                    self._check_not_closed("a chunk")
                    return None
                if self.buffer[:2] != b"\r\n":
                    raise ProtocolError("a chunk does not end where its size says")
                del self.buffer[:2]
                self.stage = _Stage.CHUNK_LINE
            line = self._take_line()
            if line is None:
                return None
            if self.stage is _Stage.TRAILERS:
                if not line:
                    self.stage = _Stage.END
                    return self._next()
                self.remaining += 1  # counts trailers, which are checked and dropped
                if self.remaining > self.limits.headers:
                    raise ProtocolError("too many trailers", 431)
                parse_headers([line], self.limits)
                continue
            size = CHUNK_SIZE.fullmatch(line)
            if size is None:
                raise ProtocolError("a chunk size is malformed")
            self.remaining = int(size[1], 16)
            if self.remaining:
                if self.body_bytes + self.remaining > self.limits.body:
                    raise ProtocolError("the body is too large", 413)
                self.stage = _Stage.CHUNK_DATA
                return self._chunk()
            self.stage = _Stage.TRAILERS

    def _head_lines(self) -> list[bytes] | None:
        while self.buffer[:2] == b"\r\n":  # empty lines before a message are ignored (RFC 9112, 2.2)
            del self.buffer[:2]
        end = self.buffer.find(b"\r\n\r\n", max(self.head_searched - 3, 0), self.limits.head)
        if end < 0:
            if len(self.buffer) >= self.limits.head:
                raise ProtocolError("the head is too large", 431)
            if BARE_LF.search(self.buffer, self.head_searched):
                # Checked before the head is complete: a peer that sends bare LF never sends the CRLF CRLF at its end.
                raise ProtocolError("a line ends without CRLF")
            if self.buffer and self.closed:
                raise ProtocolError("the peer closed inside a head")
            self.head_searched = len(self.buffer)
            return None
        head = bytes(self.buffer[:end])
        del self.buffer[: end + 4]
        self.head_searched = 0
        if head.count(b"\n") != head.count(b"\r\n") or head.count(b"\r") != head.count(b"\r\n"):
            raise ProtocolError("a line ends without CRLF")
        if head.count(b"\n") > self.limits.headers:  # before a list of thousands of lines is made
            raise ProtocolError("too many headers", 431)
        return head.split(b"\r\n")

    def _head(self) -> Event | None:
        raise NotImplementedError


@dataclass(slots=True)
class RequestParser(_Parser):
    """Parses the requests that a server receives."""

    def _head(self) -> Event | None:
        if self.buffer.startswith(b"\r") and bytes(self.buffer[1:2]) not in (b"", b"\n"):
            raise ProtocolError("a line ends without CRLF")
        lines = self._head_lines()
        if lines is None:
            return None
        if len(lines[0]) > self.limits.line:
            raise ProtocolError("the request line is too long", 414)
        parts = lines[0].split(b" ")
        if len(parts) != 3 or TOKEN.fullmatch(parts[0]) is None or TARGET.fullmatch(parts[1]) is None:
            raise ProtocolError("the request line is malformed")
        version = VERSION.fullmatch(parts[2])
        if version is None:
            known = parts[2].startswith(b"HTTP/")
            raise ProtocolError("the protocol version is not HTTP/1.x", 505 if known else 400)
        head = RequestHead(parts[0], parts[1], int(version[1]), parse_headers(lines[1:], self.limits))
        hosts = sum(1 for name, _ in head.headers if name == b"host")
        if hosts > 1 or (head.minor == 1 and not hosts):
            raise ProtocolError("not exactly one Host header")
        self.remaining = 0
        if is_chunked(head.headers, head.minor):
            self.stage = _Stage.CHUNK_LINE
        else:
            self.remaining = content_length(head.headers) or 0
            self.stage = _Stage.LENGTH
            if self.remaining > self.limits.body:
                raise ProtocolError("the body is too large", 413)
        return head


@dataclass(slots=True)
class ResponseParser(_Parser):
    """Parses the responses that a client receives; call `expect_response` for each request sent."""

    methods: list[bytes] = field(default_factory=list)

    def expect_response(self, method: bytes) -> None:
        """Record that a request was sent; the framing of its response depends on the method."""
        self.methods.append(method)

    def _head(self) -> Event | None:
        lines = self._head_lines()
        if lines is None:
            return None
        status_line = STATUS_LINE.fullmatch(lines[0])
        if status_line is None:
            raise ProtocolError("the status line is malformed")
        if not self.methods:
            raise ProtocolError("a response without a request")
        head = ResponseHead(int(status_line[2]), int(status_line[1]), parse_headers(lines[1:], self.limits))
        self.remaining = 0
        if 100 <= head.status < 200:
            if head.status == 101:
                raise ProtocolError("a protocol switch that was not requested")
            return head  # interim response: another head follows
        chunked = is_chunked(head.headers, head.minor)
        length = content_length(head.headers)
        if self.methods.pop(0) == b"HEAD" or head.status in BODILESS_STATUS:
            self.stage = _Stage.END
        elif chunked:
            self.stage = _Stage.CHUNK_LINE
        elif length is not None:
            self.remaining, self.stage = length, _Stage.LENGTH
        else:
            self.stage = _Stage.UNTIL_CLOSE
        return head

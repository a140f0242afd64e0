"""Reader for chunked HTTP bodies that the router relays to a client: returns whole chunks, at little cost per chunk.

`http1.ResponseParser` returns parts of chunks as they arrive. Relayed data must not be part of a chunk that later turns
out to be malformed, so this reader returns only chunks that end where their size says; `take_partial` is the exception,
for a chunk that stays incomplete. Trailers are checked for length and count and dropped. Parsing is strict, as in
`http1`, and a size line is checked as it arrives, not only at its end.
"""

from __future__ import annotations

import re

from yardspindle.protocol.http1 import CHUNK_SIZE, ProtocolError

MAX_LINE_BYTES = 256  # limit of a chunk-size line or a trailer line
MAX_TRAILER_LINES = 32
MAX_HELD_BYTES = 16_384  # of an incomplete chunk; what is more is returned
# Bytes already returned that may begin a delimiter: the longest one that callers of `take_partial` look for, the end of
# an event as b"\n\r\n", has 3 bytes, of which all but the last may have been returned.
TAIL_BYTES = 2
INCOMPLETE_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[\t -~\x80-\xff]*)?\r?")
# What a sender has to write before a chunk or at the body's end: a size without leading zeros or extensions. One with
# more digits, of a chunk of 4 KiB or more, arrives at once or is not from a sender that writes slowly.
PLAIN_SIZE_LINE = re.compile(rb"(?:0|[1-9A-Fa-f][0-9A-Fa-f]{0,2})\r?")


class ChunkReader:
    """Reads one chunked body; bytes that follow it are available in `remainder`."""

    __slots__ = (
        "_buffer",
        "_max_chunk_bytes",
        "_missing_bytes",
        "_returned_bytes",
        "_tail",
        "_trailer_lines",
        "ended",
        "error_reason",
        "plain_framing",
    )

    def __init__(self, max_chunk_bytes: int, initial: bytes = b"") -> None:
        """`initial`: bytes of the body that were received together with the head."""
        self._buffer = initial
        self._max_chunk_bytes = max_chunk_bytes
        self._missing_bytes = -1  # of the current chunk, not yet returned; -1 between two chunks
        self._tail = b""  # last bytes returned: a delimiter may span two chunks
        self._trailer_lines = 0  # lines from the last chunk's size line on
        self._returned_bytes = 0
        self.ended = False
        self.error_reason = ""  # what is wrong behind the chunks that `feed` has returned
        self.plain_framing = True  # since the last content only such framing has arrived as every sender has to write

    @property
    def content_bytes(self) -> int:
        """The number of bytes of chunk data received so far, returned or not."""
        return self._returned_bytes + min(len(self._buffer), max(self._missing_bytes, 0))

    @property
    def remainder(self) -> bytes:
        """Bytes that are not yet returned as chunks; after the end of the body, the bytes that follow it."""
        return self._buffer

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the contents of the chunks that they complete.

        Raises ProtocolError for the first malformed chunk, unless whole ones precede it: then its reason is kept.
        """
        buffer = self._buffer + data if self._buffer else data
        contents: list[bytes] = []
        try:
            at = self._read_chunks(buffer, contents)
        except ProtocolError as error:
            if not any(contents):
                raise
            self.error_reason = error.reason
            at = len(buffer)
        self._buffer = buffer[at:]
        content = contents[0] if len(contents) == 1 else b"".join(contents)
        self._tail = (self._tail + content)[-TAIL_BYTES:]
        self._returned_bytes += len(content)
        return content

    def _read_chunks(self, buffer: bytes, contents: list[bytes]) -> int:
        """Append what can be returned to `contents`; returns where the rest begins. Raises ProtocolError."""
        at = 0
        while not self.ended:
            if self._missing_bytes < 0:
                line_end = self._find_line_end(buffer, at)
                if line_end < 0:
                    self._check_incomplete_line(buffer, at)
                    break
                self._read_line(buffer, at, line_end)
                at = line_end + 2
                continue
            end = at + self._missing_bytes
            self.plain_framing = self.plain_framing or len(buffer) > at
            if buffer[end : end + 2] != b"\r\n":
                if len(buffer) > end + 1 or (len(buffer) == end + 1 and buffer[end] != 13):
                    raise ProtocolError("a chunk does not end where its size says")
                if len(buffer) - at > MAX_HELD_BYTES:
                    contents.append(buffer[at:end])
                    at += len(contents[-1])
                    self._missing_bytes = end - at
                break
            contents.append(buffer[at:end])
            at, self._missing_bytes = end + 2, -1
        return at

    def _find_line_end(self, buffer: bytes, at: int) -> int:
        """Where the line that begins at `at` ends; -1 if its end has not arrived. Raises ProtocolError."""
        line_end = buffer.find(b"\r\n", at, at + MAX_LINE_BYTES)
        if line_end < 0 and (len(buffer) - at >= MAX_LINE_BYTES or b"\n" in buffer[at:]):
            raise ProtocolError("a chunk size is malformed")
        return line_end

    def _check_incomplete_line(self, buffer: bytes, at: int) -> None:
        """Check what has arrived of a line that begins at `at`. Raises ProtocolError."""
        if at == len(buffer):
            return
        if self._trailer_lines:
            self.plain_framing = self.plain_framing and buffer[at:] == b"\r"
            return
        start = INCOMPLETE_SIZE_LINE.fullmatch(buffer, at)
        if start is None:
            raise ProtocolError("a chunk size is malformed")
        self._check_size(start[1])
        self.plain_framing = self.plain_framing and PLAIN_SIZE_LINE.fullmatch(buffer, at) is not None

    def _check_size(self, digits: bytes) -> int:
        """The number that a size line states, so far. Raises ProtocolError."""
        length = int(digits, 16)
        if length > self._max_chunk_bytes:
            raise ProtocolError("a chunk is too large")
        return length

    def _read_line(self, buffer: bytes, at: int, line_end: int) -> None:
        """Interpret a chunk's size line, or a line after the last chunk. Raises ProtocolError."""
        if self._trailer_lines:
            self.ended = line_end == at
            self.plain_framing = self.plain_framing and self.ended
            self._trailer_lines += 1
            if self._trailer_lines > MAX_TRAILER_LINES:
                raise ProtocolError("too many trailers")
            return
        size = CHUNK_SIZE.fullmatch(buffer, at, line_end)
        if size is None:
            raise ProtocolError("a chunk size is malformed")
        length = self._check_size(size[1])
        self.plain_framing = self.plain_framing and PLAIN_SIZE_LINE.fullmatch(buffer, at, line_end) is not None
        if length:
            self._missing_bytes = length
        else:
            self._trailer_lines = 1

    def take_partial(self, delimiters: tuple[bytes, ...]) -> bytes:
        """Return the incomplete chunk's data up to the end of its last delimiter; `feed` does not return it again."""
        if self._missing_bytes < 0:
            return b""
        available = self._tail + self._buffer[: self._missing_bytes]
        ends = [at + len(mark) for mark in delimiters if (at := available.rfind(mark)) >= 0]
        part = available[len(self._tail) : max(ends, default=0)]
        self._tail = (self._tail + part)[-TAIL_BYTES:]
        self._buffer = self._buffer[len(part) :]
        self._missing_bytes -= len(part)
        self._returned_bytes += len(part)
        return part

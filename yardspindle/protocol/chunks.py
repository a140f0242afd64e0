"""A body in chunks, taken a whole chunk at a time and with little work for each: for streams that are passed on.

`http1.ResponseParser` gives out pieces of chunks as they come. What is passed on to somebody else must not be part of
a chunk that later proves to be spoilt, so this gives only chunks whose end is where their size says, unless it is
asked for what has come of one that does not get whole (`early`). Trailers are checked and dropped. Strict, as `http1`
is; a chunk's size is bounded before a byte of it is waited for.
"""

from __future__ import annotations

from yardspindle.protocol.http1 import CHUNK_SIZE, ProtocolError

LINE_MOST = 256  # of a size line or a trailer
TRAILERS_MOST = 32
TAIL = 2  # bytes of the longest mark but one


class ChunkReader:
    """Reads one body; what follows it stays in `rest`."""

    __slots__ = ("_buffer", "_chunk_most", "_given", "_tail", "_trailers", "ended")

    def __init__(self, chunk_most: int, first: bytes = b"") -> None:
        """`first`: what had come with the head."""
        self._buffer = first
        self._chunk_most = chunk_most
        self._given = 0  # bytes of the chunk under way that were given out early
        self._tail = b""  # the last bytes that were given out: an event's end may begin in one chunk and end in another
        self._trailers = 0  # lines after the last chunk, itself among them
        self.ended = False

    @property
    def remainder(self) -> bytes:
        """What was fed and belongs to no chunk yet; after the end: what came behind it."""
        return self._buffer

    def feed(self, data: bytes) -> bytes:
        """The contents of the chunks that are whole now. Raises ProtocolError."""
        buffer = self._buffer + data if self._buffer else data
        at, contents = 0, []
        while not self.ended:
            line_end = buffer.find(b"\r\n", at, at + LINE_MOST)
            if line_end < 0:
                if len(buffer) - at >= LINE_MOST or b"\n" in buffer[at:]:
                    raise ProtocolError("a chunk size is malformed")
                break
            if self._trailers:
                self.ended = line_end == at
                self._trailers += 1
                if self._trailers > TRAILERS_MOST:
                    raise ProtocolError("too many trailers")
                at = line_end + 2
                continue
            size = CHUNK_SIZE.fullmatch(buffer, at, line_end)
            if size is None:
                raise ProtocolError("a chunk size is malformed")
            length = int(size[1], 16)
            if length > self._chunk_most:
                raise ProtocolError("a chunk is too large")
            if not length:
                self._trailers, at = 1, line_end + 2
                continue
            start, end = line_end + 2, line_end + 2 + length
            if buffer[end : end + 2] != b"\r\n":
                if len(buffer) > end + 1 or (len(buffer) == end + 1 and buffer[end] != 13):
                    raise ProtocolError("a chunk does not end where its size says")
                break
            contents.append(buffer[start + self._given : end])
            at, self._given = end + 2, 0
        self._buffer = buffer[at:]
        whole = contents[0] if len(contents) == 1 else b"".join(contents)
        self._tail = (self._tail + whole)[-TAIL:]
        return whole

    def take_partial(self, marks: tuple[bytes, ...]) -> bytes:
        """What has come of the chunk under way, up to the last end of a mark in it; it is not given out again."""
        buffer = self._buffer
        line_end = buffer.find(b"\r\n", 0, LINE_MOST)
        size = CHUNK_SIZE.fullmatch(buffer, 0, max(line_end, 0))
        if size is None or self._trailers or self.ended:
            return b""
        start, end = line_end + 2, line_end + 2 + int(size[1], 16)
        came = self._tail + buffer[start + self._given : end]
        ends = [at + len(mark) for mark in marks if (at := came.rfind(mark)) >= 0]
        part = came[len(self._tail) : max(ends, default=0)]
        self._tail = (self._tail + part)[-TAIL:]
        self._given += len(part)
        return part

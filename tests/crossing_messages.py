"""HTTP messages as the clients and hosts of the crossing tests write and parse them, without the program's parser."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Message:
    """An HTTP message, possibly incomplete."""

    start: bytes
    headers: dict[bytes, bytes]
    body: bytes = b""
    whole: bool = False

    @property
    def status(self) -> int:
        return int(self.start.split()[1])


def read_message(data: bytes, ended: bool = False) -> tuple[Message | None, int]:
    """Parses the message that begins here; returns it with its size, 0 while incomplete.

    `ended`: the connection has ended, which completes a response without a length.
    """
    head, found, rest = data.partition(b"\r\n\r\n")
    if not found:
        return None, 0
    start, *lines = head.split(b"\r\n")
    message = Message(start, {name.lower(): value.strip() for name, _, value in (row.partition(b":") for row in lines)})
    at = len(head) + 4
    if message.headers.get(b"transfer-encoding") == b"chunked":
        while True:
            line, found, _ = data[at:].partition(b"\r\n")
            if not found:
                return message, 0
            begin, size = at + len(line) + 2, int(line, 16)
            message.body += data[begin : begin + size]
            if len(data) < begin + size + 2:
                return message, 0
            at = begin + size + 2
            if not size:
                message.whole = True
                return message, at
    length = message.headers.get(b"content-length")
    if length is None and start.startswith(b"HTTP/") and message.status not in (204, 304):
        message.body, message.whole = rest, ended  # a response without a length ends with the connection
        return message, len(data) if ended else 0
    size = int(length or 0)
    message.body, message.whole = rest[:size], len(rest) >= size
    return message, at + size if message.whole else 0


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"a"}}]}\n\n'
HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
DONE = b"data: [DONE]\n\n"
LAST_CHUNK = b"0\r\n\r\n"


def plain(status: int, body: bytes = b"", *headers: bytes) -> bytes:
    rows = [b"HTTP/1.1 %d x" % status, b"content-length: %d" % len(body), *headers]
    return b"\r\n".join(rows) + b"\r\n\r\n" + body

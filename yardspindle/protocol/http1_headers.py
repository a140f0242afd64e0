"""Header lines of HTTP/1.1 and what they say of a message's length; what is wrong with them, and how much may come."""

from __future__ import annotations

import re
from dataclasses import dataclass

from yardspindle.protocol.http1_write import TOKEN, VALUE, Headers

DIGITS = re.compile(rb"[0-9]{1,18}")


class ProtocolError(Exception):
    """The peer's bytes are no acceptable HTTP/1.1; `status` is what a server answers before it closes."""

    def __init__(self, reason: str, status: int = 400) -> None:
        """Keep the reason, one line without the peer's bytes."""
        super().__init__(reason)
        self.reason = reason
        self.status = status


@dataclass(frozen=True, slots=True)
class Limits:
    """The most that a peer may make us hold, bytes and counts."""

    line: int = 16_384
    head: int = 65_536
    headers: int = 128
    body: int = 33_554_432


def first_value(headers: Headers, name: bytes) -> bytes | None:
    """The first value of a header, or None."""
    for known, value in headers:
        if known == name:
            return value
    return None


def has_token(headers: Headers, name: bytes, token: bytes) -> bool:
    """Whether a comma-separated header lists a token."""
    return any(token == part.strip().lower() for known, value in headers if known == name for part in value.split(b","))


def parse_headers(lines: list[bytes], limits: Limits) -> Headers:
    """Header lines without their line ends. Raises ProtocolError."""
    if len(lines) > limits.headers:
        raise ProtocolError("too many headers", 431)
    headers: Headers = []
    for line in lines:
        if len(line) > limits.line:
            raise ProtocolError("a header line is too long", 431)
        name, colon, value = line.partition(b":")
        if not colon or TOKEN.fullmatch(name) is None:
            raise ProtocolError("a header line is malformed")
        if VALUE.fullmatch(value) is None:
            raise ProtocolError("a header value holds a control character")
        headers.append((name.lower(), value.strip(b" \t")))
    return headers


def content_length(headers: Headers) -> int | None:
    """The one stated length, or None. Raises ProtocolError when it is stated twice or is no number."""
    values = [value for name, value in headers if name == b"content-length"]
    if not values:
        return None
    if len(values) > 1 or DIGITS.fullmatch(values[0]) is None:
        raise ProtocolError("Content-Length is malformed or comes twice")
    return int(values[0])


def is_chunked(headers: Headers, minor: int) -> bool:
    """Whether the body comes in chunks. Raises ProtocolError for any other transfer coding."""
    values = [value for name, value in headers if name == b"transfer-encoding"]
    if not values:
        return False
    if minor == 0:
        raise ProtocolError("Transfer-Encoding in HTTP/1.0")
    if len(values) > 1 or values[0].lower() != b"chunked":
        raise ProtocolError("a transfer coding other than chunked", 501)
    if any(name == b"content-length" for name, _ in headers):
        raise ProtocolError("both Content-Length and Transfer-Encoding")
    return True

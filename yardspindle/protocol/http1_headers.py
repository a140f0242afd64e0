"""HTTP/1.1 header lines: parsing, message length, size limits and the error for protocol violations."""

from __future__ import annotations

import re
from dataclasses import dataclass

from yardspindle.protocol.http1_write import TOKEN, VALUE, Headers

DIGITS = re.compile(rb"[0-9]{1,18}")


class ProtocolError(Exception):
    """The peer violated HTTP/1.1 or exceeded a limit; a server answers with `status` and closes the connection."""

    def __init__(self, reason: str, status: int = 400) -> None:
        """`reason` is one line and contains no bytes received from the peer."""
        super().__init__(reason)
        self.reason = reason
        self.status = status


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on what a peer may send, so that it cannot exhaust memory."""

    line: int = 16_384  # bytes
    head: int = 65_536  # bytes
    headers: int = 128  # count
    body: int = 33_554_432  # bytes


def first_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None."""
    for header, value in headers:
        if header == name:
            return value
    return None


def has_token(headers: Headers, name: bytes, token: bytes) -> bool:
    """Return whether a comma-separated header lists a token."""
    return any(
        token == part.strip().lower() for header, value in headers if header == name for part in value.split(b",")
    )


def parse_headers(lines: list[bytes], limits: Limits) -> Headers:
    """Parse header lines, given without line ends. Raises ProtocolError."""
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
    """Return the Content-Length, or None. Raises ProtocolError if it is repeated or not a number."""
    values = [value for name, value in headers if name == b"content-length"]
    if not values:
        return None
    if len(values) > 1 or DIGITS.fullmatch(values[0]) is None:
        raise ProtocolError("Content-Length is malformed or comes twice")
    return int(values[0])


def is_chunked(headers: Headers, minor: int) -> bool:
    """Return whether the body is chunked. Raises ProtocolError for any other transfer coding."""
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

"""Serializes HTTP/1.1 messages; `http1` parses them and re-exports these functions."""

from __future__ import annotations

import re

TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
TARGET = re.compile(rb"[!-~]+")
VALUE = re.compile(rb"[\t -~\x80-\xff]*")

Headers = list[tuple[bytes, bytes]]

REASONS = {
    100: b"Continue",
    200: b"OK",
    202: b"Accepted",
    204: b"No Content",
    400: b"Bad Request",
    401: b"Unauthorized",
    403: b"Forbidden",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    411: b"Length Required",
    413: b"Content Too Large",
    414: b"URI Too Long",
    415: b"Unsupported Media Type",
    422: b"Unprocessable Content",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    499: b"Client Closed Request",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}


def write_head(first_line: bytes, headers: Headers) -> bytes:
    """Serialize a start line and headers. Raises ValueError for a header name or value that HTTP does not allow."""
    lines = [first_line]
    for name, value in headers:
        if TOKEN.fullmatch(name) is None or VALUE.fullmatch(value) is None:
            raise ValueError(f"header {name!r} cannot be written")
        lines.append(name + b": " + value)
    return b"\r\n".join([*lines, b"", b""])


def write_response(status: int, headers: Headers, body: bytes | None) -> bytes:
    """Serialize a response with its whole body, or, if the body is None, only the head of a chunked response."""
    framing = (b"transfer-encoding", b"chunked") if body is None else (b"content-length", str(len(body)).encode())
    return write_head(b"HTTP/1.1 %d %s" % (status, REASONS.get(status, b"-")), [*headers, framing]) + (body or b"")


def write_request_head(method: bytes, target: bytes, headers: Headers, body_bytes: int) -> bytes:
    """Serialize the head of a request whose body has so many bytes. Raises ValueError."""
    if TOKEN.fullmatch(method) is None or TARGET.fullmatch(target) is None:
        raise ValueError(f"request line {method!r} {target!r} cannot be written")
    if body_bytes or method in (b"POST", b"PUT"):
        headers = [*headers, (b"content-length", str(body_bytes).encode())]
    return write_head(b"%s %s HTTP/1.1" % (method, target), headers)


def write_request(method: bytes, target: bytes, headers: Headers, body: bytes) -> bytes:
    """Serialize a request with its whole body. Raises ValueError."""
    return write_request_head(method, target, headers, len(body)) + body


def write_chunk(data: bytes) -> bytes:
    """Serialize one chunk; returns nothing for empty data, as an empty chunk would end the body."""
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


LAST_CHUNK = b"0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

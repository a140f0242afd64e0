"""Checks a client's request, which the platform states in headers, and maps it to the policy's request.

The policy is the module that decides which model host does what. A malformed request is refused here, before it reaches
the core (the state machine of requests) or a model host.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec
import xxhash

from yardspindle import interface as i
from yardspindle.protocol.http1 import RequestHead

CHAT_PATH = b"/v1/chat/completions"
REQUEST_ID = re.compile(rb"[0-9A-Za-z._-]{1,64}")
MILLISECONDS = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,6})?")
TOKEN_COUNT = re.compile(r"[0-9]{1,9}(\.[0-9]{1,6})?")
JSON_OBJECT_START = re.compile(rb"\s*\{")
MAX_NAME_CHARS = 128  # of a tenant, session or prefix as the policy gets it
BYTES_PER_TOKEN = 4.0  # estimates the prompt's tokens from the body's size if the client states no `prompt_len`


class Refused(Exception):
    """The request is refused, with the status and reason that the client receives."""

    def __init__(self, status: int, reason: str) -> None:
        """`reason` becomes the body of the reply."""
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request as its head states it; the body is not parsed.

    `cls` is its class: a configured class of requests with its own time limits and weight (how much an answer in time
    counts relative to other classes). `extra` holds hints such as the prompt's length (`Req-Extra`). `repeat`: a
    client's retry of an earlier request (`Req-Retry: 1`); `resumed`: it asks for the rest of a broken stream
    (`Req-Retry: again`).
    """

    id: bytes
    cls: str
    time_limit_us: int  # from its arrival
    tenant: str | None
    session: str | None
    extra: dict[str, str]
    repeat: bool
    resumed: bool


def read_head(head: RequestHead, classes: Mapping[str, i.Effect]) -> ClientRequest:
    """Check a request's head. Raises Refused."""
    if head.target.partition(b"?")[0] != CHAT_PATH:
        raise Refused(404, "there is nothing at this path")
    if head.method != b"POST":
        raise Refused(405, "only POST here")
    request_id = _single_header(head, b"req-id")
    if REQUEST_ID.fullmatch(request_id) is None:
        raise Refused(400, "Req-Id: missing or malformed")
    cls = _text_header(head, b"req-kind")
    if cls not in classes:
        raise Refused(400, "Req-Kind: no such class")
    deadline = _single_header(head, b"req-deadline-ms")
    if MILLISECONDS.fullmatch(deadline) is None or float(deadline) <= 0:
        raise Refused(400, "Req-Deadline-Ms: not a time")
    retry = _single_header(head, b"req-retry")
    return ClientRequest(
        request_id,
        cls,
        round(float(deadline) * 1_000),
        _text_header(head, b"req-owner") or None,
        _text_header(head, b"req-key") or None,
        _parse_extra(_single_header(head, b"req-extra")),
        retry == b"1",
        retry == b"again",
    )


def check_body(body: bytes) -> None:
    """Check that the body is one JSON object. Raises Refused."""
    if JSON_OBJECT_START.match(body) is None:
        raise Refused(400, "the body is no JSON object")
    try:
        msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise Refused(400, "the body is no JSON object") from None


def policy_request(client_request: ClientRequest, number: int, received_us: int, body_size: int) -> i.Request:
    """Map a client's request to the form in which the policy gets it."""
    prefix = _short_name(client_request.extra.get("prefix") or None)
    return i.Request(
        request=number,
        cls=client_request.cls,
        expires_us=received_us + client_request.time_limit_us,
        prompt_tokens=float(client_request.extra.get("prompt_len") or body_size // BYTES_PER_TOKEN),
        prefix_tokens=float(client_request.extra.get("prefix_len") or 0.0) if prefix else 0.0,
        max_out=float(client_request.extra.get("max_out") or 0.0),
        tenant=_short_name(client_request.tenant),
        prefix=prefix,
        session=_short_name(client_request.session),
        repeat=client_request.repeat,
        resumed=client_request.resumed,
    )


def _short_name(name: str | None) -> str | None:
    """The name, or a digest of one that is too long: the policy keeps names for longer than their requests."""
    if name is None or len(name) <= MAX_NAME_CHARS:
        return name
    return xxhash.xxh3_128_hexdigest(name.encode())


def _single_header(head: RequestHead, name: bytes) -> bytes:
    values = [value for known, value in head.headers if known == name]
    if len(values) > 1:
        raise Refused(400, f"{name.decode()}: comes twice")
    return values[0] if values else b""


def _text_header(head: RequestHead, name: bytes) -> str:
    """Decode a header as UTF-8, in which the settings hold the names, or else as Latin-1, HTTP's older encoding."""
    value = _single_header(head, name)
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")


def _parse_extra(value: bytes) -> dict[str, str]:
    extra: dict[str, str] = {}
    for part in value.decode("latin-1").split(","):
        name, _, text = part.strip().partition("=")
        if name in ("prompt_len", "prefix_len", "max_out") and TOKEN_COUNT.fullmatch(text) is None:
            raise Refused(400, f"Req-Extra: {name} is no length")
        extra[name] = text
    return extra

"""OpenAI's error objects."""

from __future__ import annotations

import msgspec

from yardspindle.api.exchange import Reply
from yardspindle.core.request.answer import HttpFinal
from yardspindle.protocol import http1

JSON: tuple[bytes, bytes] = (b"content-type", b"application/json")
KINDS = {401: "authentication_error", 403: "permission_error", 429: "rate_limit_error"}


class ApiError(Exception):
    """A request that is not taken, with what the client is told."""

    def __init__(
        self, status: int, code: str, message: str, param: str | None = None, headers: http1.Headers | None = None
    ) -> None:
        """Keep all of it."""
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.param = param
        self.headers = headers or []

    def reply(self) -> Reply:
        """The whole answer."""
        kind = KINDS.get(self.status, "invalid_request_error" if self.status < 500 else "server_error")
        return Reply(self.status, [JSON, *self.headers], error_body(self.code, self.message, kind, self.param))


def error_body(code: str, message: str, kind: str, param: str | None = None) -> bytes:
    """An error object."""
    return msgspec.json.encode({"error": {"message": message, "type": kind, "param": param, "code": code}})


def final_reply(final: HttpFinal, request_id: bytes) -> Reply:
    """A refusal or failure before the first token."""
    return Reply(
        final.status,
        [JSON, (b"x-request-id", request_id), *final.headers],
        error_body(final.code, final.message, final.kind),
    )

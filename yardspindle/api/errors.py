"""OpenAI's error objects."""

from __future__ import annotations

import msgspec

from yardspindle.api.exchange import Reply
from yardspindle.core.request.answer import HttpError
from yardspindle.protocol import http1

JSON_CONTENT_TYPE: tuple[bytes, bytes] = (b"content-type", b"application/json")
ERROR_TYPES = {401: "authentication_error", 403: "permission_error", 429: "rate_limit_error"}


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
        kind = ERROR_TYPES.get(self.status, "invalid_request_error" if self.status < 500 else "server_error")
        return Reply(
            self.status, [JSON_CONTENT_TYPE, *self.headers], error_body(self.code, self.message, kind, self.param)
        )


def error_body(code: str, message: str, error_type: str, param: str | None = None) -> bytes:
    """An error object."""
    return msgspec.json.encode({"error": {"message": message, "type": error_type, "param": param, "code": code}})


def final_reply(final: HttpError, request_id: bytes) -> Reply:
    """A refusal or failure before the first token."""
    return Reply(
        final.status,
        [JSON_CONTENT_TYPE, (b"x-request-id", request_id), *final.headers],
        error_body(final.code, final.message, final.error_type),
    )

"""Error replies in the JSON format of OpenAI's API."""

from __future__ import annotations

import msgspec

from yardspindle.api.exchange import Reply
from yardspindle.core.request.answer import HttpError
from yardspindle.protocol import http1

JSON_CONTENT_TYPE: tuple[bytes, bytes] = (b"content-type", b"application/json")
ERROR_TYPES = {401: "authentication_error", 403: "permission_error", 429: "rate_limit_error"}


class ApiError(Exception):
    """A rejected request, with the status and error object that the client receives."""

    def __init__(
        self, status: int, code: str, message: str, param: str | None = None, headers: http1.Headers | None = None
    ) -> None:
        """`param` names the request field at fault; `headers` are added to the reply."""
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.param = param
        self.headers = headers or []

    def reply(self) -> Reply:
        """The reply that reports this error."""
        error_type = ERROR_TYPES.get(self.status, "invalid_request_error" if self.status < 500 else "server_error")
        return Reply(
            self.status, [JSON_CONTENT_TYPE, *self.headers], error_body(self.code, self.message, error_type, self.param)
        )


def error_body(code: str, message: str, error_type: str, param: str | None = None) -> bytes:
    """An encoded error object."""
    return msgspec.json.encode({"error": {"message": message, "type": error_type, "param": param, "code": code}})


def final_reply(error: HttpError, request_id: bytes) -> Reply:
    """The reply to a valid request that the core (core/request) refused, or that failed before its first token."""
    return Reply(
        error.status,
        [JSON_CONTENT_TYPE, (b"x-request-id", request_id), *error.headers],
        error_body(error.code, error.message, error.error_type),
    )

"""OpenAI-compatible chat API: validates a request and extracts what the router needs to choose servers for it.

Only the fields that the router acts on are decoded. Every other field, known or unknown, is forwarded to the engine
(the model server, vLLM) as the bytes that the client sent.
"""

from __future__ import annotations

import hmac
from dataclasses import dataclass
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from yardspindle.api.errors import ApiError
from yardspindle.core.config import Config
from yardspindle.core.request.intake import RequestFields
from yardspindle.protocol import http1

COMPLETIONS_PATH = b"/v1/chat/completions"
MODELS_PATH = b"/v1/models"
SYSTEM_ROLES = ("system", "developer")
CountField = Annotated[int, Meta(ge=1, le=10_000_000)]


class _Message(Struct):
    role: Literal["system", "developer", "user", "assistant", "tool", "function"]
    content: str | list[dict[str, Any]] | None = None


class _StreamOptions(Struct):
    include_usage: bool | None = None


class _Fields(Struct):
    """The request fields that the router acts on.

    `metadata` may hold `class`: a configured class of requests with its own time limits and weight (how much an answer
    in time counts relative to other classes); `session`; `timeout_ms`; and `shared_opening`: a name for the prompt
    prefix that the request shares with others, used before `prompt_cache_key`.
    """

    model: str
    messages: Annotated[list[_Message], Meta(min_length=1)]
    stream: bool | None = None
    stream_options: _StreamOptions | None = None
    max_tokens: CountField | None = None
    max_completion_tokens: CountField | None = None
    n: Annotated[int, Meta(ge=1, le=128)] | None = None
    prompt_cache_key: str | None = None
    metadata: dict[str, str] | None = None
    tools: list[dict[str, Any]] | None = None


@dataclass(slots=True)
class ChatRequest:
    """A validated request: `fields` holds every top-level field as raw JSON, `request_fields` what routing needs."""

    fields: dict[str, msgspec.Raw]
    stream: bool
    include_usage: bool
    request_fields: RequestFields


_fields_decoder = msgspec.json.Decoder(_Fields)
_raw_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])


class ApiKeys:
    """Maps API keys to tenants: the customers that share the fleet, each with a name and keys in the settings."""

    def __init__(self, config: Config) -> None:
        """With no tenants configured, every request is accepted, with or without a key."""
        self._tenants = {key.encode(): row.name for row in config.tenants for key in row.keys}

    def authenticate(self, head: http1.RequestHead) -> str | None:
        """Return the tenant whose key the request carries; None if no tenants are configured. Raises ApiError."""
        if not self._tenants:
            return None
        scheme, _, credentials = (head.get(b"authorization") or b"").partition(b" ")
        matched: str | None = None
        for key, tenant in self._tenants.items():  # all are compared, so that timing reveals nothing
            if hmac.compare_digest(key, credentials.strip()) and scheme.lower() == b"bearer":
                matched = tenant
        if matched is None:
            raise ApiError(
                401,
                "invalid_api_key",
                "No valid API key was given in the Authorization header.",
                headers=[(b"www-authenticate", b"Bearer")],
            )
        return matched


def check_head(head: http1.RequestHead) -> None:
    """Check method, content type and encoding, before the body is read. Raises ApiError."""
    if head.method != b"POST":
        raise ApiError(405, "method_not_allowed", "Use POST here.", headers=[(b"allow", b"POST")])
    media_type = (head.get(b"content-type") or b"application/json").split(b";")[0].strip().lower()
    if media_type != b"application/json":
        raise ApiError(415, "unsupported_media_type", "The body must be application/json.")
    if head.get(b"content-encoding") not in (None, b"identity"):
        raise ApiError(415, "unsupported_media_type", "The body must not be compressed.")


def parse_request(body: bytes, head: http1.RequestHead, tenant: str | None, model: str) -> ChatRequest:
    """Validate a request body; `model` is the one model that is served. Raises ApiError."""
    try:
        raw = _raw_decoder.decode(body)
        fields = _fields_decoder.decode(body)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at `")
        param = path.rstrip("`").removeprefix("$").lstrip(".") or None
        raise ApiError(400, "invalid_value", f"{param or 'body'}: {reason}", param) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ApiError(400, "invalid_json", f"The body is not JSON: {error}") from None
    if fields.model != model:
        raise ApiError(404, "model_not_found", f"The model `{fields.model[:100]}` does not exist.", "model")
    if fields.stream_options is not None and not fields.stream:
        raise ApiError(400, "invalid_value", "stream_options: only allowed when stream is true", "stream_options")
    if "kv_transfer_params" in raw:
        raise ApiError(400, "invalid_value", "kv_transfer_params: set by the router alone", "kv_transfer_params")
    return ChatRequest(
        raw,
        bool(fields.stream),
        bool(fields.stream_options and fields.stream_options.include_usage),
        _request_fields(fields, raw, head, tenant),
    )


def _request_fields(
    fields: _Fields, raw: dict[str, msgspec.Raw], head: http1.RequestHead, tenant: str | None
) -> RequestFields:
    texts = [_text(message) for message in fields.messages]
    tools = bytes(raw["tools"]) if fields.tools else b""
    leading = 0
    while leading < len(texts) and fields.messages[leading].role in SYSTEM_ROLES:
        leading += 1
    metadata = fields.metadata or {}
    return RequestFields(
        tenant=tenant,
        cls=metadata.get("class") or _header(head, b"x-request-class"),
        session=metadata.get("session") or _header(head, b"x-session-id"),
        shared_prefix=metadata.get("shared_opening") or fields.prompt_cache_key,
        timeout_ms=_milliseconds(
            "timeout_ms", metadata.get("timeout_ms") or _header(head, b"x-request-timeout-ms"), 1.0
        ),
        client_timeout_ms=_milliseconds(
            "x-stainless-read-timeout",
            _header(head, b"x-stainless-read-timeout"),
            1_000.0,  # the header is in seconds
        ),
        prefix_parts=tuple(part for part in (tools, *texts[:leading]) if part),
        first_message=texts[leading] if leading < len(texts) else b"",
        size=len(tools) + sum(len(text) for text in texts),
        max_out=fields.max_completion_tokens or fields.max_tokens,
        buffered=not fields.stream,
        messages=tuple((message.role, text) for message, text in zip(fields.messages, texts, strict=True)),
        tools=tools,
    )


def _text(message: _Message) -> bytes:
    """The text of a message; parts that are not text (images) are left out and do not count towards its size."""
    if isinstance(message.content, str):
        return message.content.encode()
    parts = (part.get("text") for part in message.content or [])
    return "\n".join(part for part in parts if isinstance(part, str)).encode()


def _header(head: http1.RequestHead, name: bytes) -> str | None:
    value = head.get(name)
    return value.decode("latin-1") if value else None


def _milliseconds(param: str, value: str | None, unit_ms: float) -> float | None:
    if value is None:
        return None
    try:
        return float(value) * unit_ms
    except ValueError:
        if param == "x-stainless-read-timeout":  # a header that client libraries add by themselves: ignored if invalid
            return None
        raise ApiError(400, "invalid_value", f"{param}: not a number of milliseconds", param) from None


def model_object(model: str) -> dict[str, Any]:
    """The entry of a model in the list of models."""
    return {"id": model, "object": "model", "created": 0, "owned_by": "yardspindle"}

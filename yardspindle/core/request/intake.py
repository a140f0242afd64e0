"""Derives what the policy needs from a client's request: class, tenant, session, shared prefix, size and deadline.

Every API maps to the same `Intake`, so that a request is treated alike whichever API it uses. A client states these
values in documented fields; what it does not state is derived from the conversation:

- *shared prefix*: what sessions share at the start. `metadata.shared_opening`, else `prompt_cache_key`, else a
  hash of the tools and the leading system and developer messages, if they are long enough to be worth caching;
- *session*: `metadata.session` or the header `X-Session-Id`, else a hash of the prompt up to and including the first
  message after the shared prefix, with which later turns of the conversation begin too;
- *class*: `metadata.class` or `X-Request-Class`, else the configured default, else the first safe class (one whose
  requests may run twice), or the first class if none is safe;
- *deadline*: the least of the time stated in `X-Request-Timeout-Ms` or `metadata.timeout_ms`, the read time-out that
  OpenAI's clients send, and the class's own. It bounds the first token of a streamed answer and the last of a buffered
  one, which gets additional time for its maximum length.

Names that clients give are scoped by tenant; hashes of prompts are not, as the same prompt has the same state.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import xxhash

from yardspindle import interface as i
from yardspindle.core.config import Config, microseconds
from yardspindle.core.request.estimate import TokenEstimate

MIN_PREFIX_TOKENS = 64.0  # a shorter prefix saves less than one step of a reader (prefill server)
MAX_NAME_CHARS = 512
MIN_TIMEOUT_MS = 1.0
BUFFERED_TOKEN_MS = 60.0  # per token of a buffered answer, if the class sets no time per token


class IntakeError(Exception):
    """A field of the request is invalid; `param` names it.

    A value that can be stated in several fields (such as a header and a field of the body) is named by one of them.
    """

    def __init__(self, param: str, reason: str) -> None:
        """`reason` is for the client."""
        super().__init__(f"{param}: {reason}")
        self.param = param
        self.reason = reason


@dataclass(frozen=True, slots=True)
class RequestFields:
    """What an API read from a request; sizes in bytes of UTF-8."""

    tenant: str | None
    cls: str | None = None
    session: str | None = None
    shared_prefix: str | None = None
    timeout_ms: float | None = None
    client_timeout_ms: float | None = None
    prefix_parts: tuple[bytes, ...] = ()  # tools, and leading system and developer messages
    first_message: bytes = b""  # the first message after the prefix
    size: int = 0  # of all messages and tools
    max_out: int | None = None
    buffered: bool = False  # the client wants the answer in one piece
    messages: tuple[tuple[str, bytes], ...] = ()  # role and text of each message
    tools: bytes = b""


@dataclass(frozen=True, slots=True)
class AcceptedRequest:
    """The request as the routing policy sees it, and how its size was estimated."""

    request: i.Request
    text_kind: str  # tenant (customer) and class, for which tokens per byte are learned
    size: int  # bytes of the prompt


class Intake:
    """Turns the fields of clients' requests into requests for the policy."""

    def __init__(self, config: Config) -> None:
        """Classes and limits come from the configuration."""
        self._classes = {row.name: row for row in config.classes}
        safe = [row.name for row in config.classes if row.effect == "safe"]
        self.default_class = config.edge.default_class or (safe or [config.classes[0].name])[0]
        self._margin_us = microseconds(config.rules.answer_margin_ms)
        self._max_out = config.edge.default_max_tokens
        self.estimate = TokenEstimate()

    def accept(self, now_us: int, number: int, fields: RequestFields) -> AcceptedRequest:
        """Build the request numbered `number`. Raises IntakeError."""
        cls = self._classes.get(fields.cls or self.default_class)
        if cls is None:
            raise IntakeError("metadata.class", f"no such class; there are {', '.join(self._classes)}")
        kind = f"{fields.tenant or ''} {cls.name}"
        # Rounded: the policy adds and subtracts tokens, and left-over fractions would make an idle reader look busy.
        tokens = float(round(self.estimate.tokens(kind, fields.size)))
        prefix_size = sum(len(part) for part in fields.prefix_parts)
        prefix_tokens = min(float(round(self.estimate.tokens(kind, prefix_size))), tokens) if prefix_size else 0.0
        prefix = self._prefix_hash(fields, prefix_tokens)
        limit_ms = cls.give_up_ms
        if fields.buffered:  # the class limits the time to the first token; a buffered answer arrives with the last
            limit_ms += (fields.max_out or self._max_out) * (cls.token_aim_ms or BUFFERED_TOKEN_MS)
        give_up_us = microseconds(limit_ms)
        for param, value in (("timeout_ms", fields.timeout_ms), ("x-stainless-read-timeout", fields.client_timeout_ms)):
            if value is None:
                continue
            if not math.isfinite(value) or value < MIN_TIMEOUT_MS:
                raise IntakeError(param, f"not a time of at least {MIN_TIMEOUT_MS:g} ms")
            give_up_us = min(give_up_us, microseconds(min(value, limit_ms)))
        return AcceptedRequest(
            i.Request(
                request=number,
                cls=cls.name,
                expires_us=now_us + max(give_up_us - self._margin_us, 1),
                prompt_tokens=tokens,
                prefix_tokens=prefix_tokens if prefix is not None else 0.0,
                max_out=float(fields.max_out or self._max_out),
                tenant=fields.tenant,
                prefix=prefix,
                session=self._session(fields),
            ),
            kind,
            fields.size,
        )

    def learn(self, accepted: AcceptedRequest, prompt_tokens: int) -> None:
        """Learn from an engine's count of the prompt."""
        self.estimate.learn(accepted.text_kind, accepted.size, prompt_tokens)

    def _prefix_hash(self, fields: RequestFields, tokens: float) -> str | None:
        if fields.shared_prefix is not None:
            return _name_hash(fields.tenant, "metadata.shared_opening", fields.shared_prefix)
        if tokens < MIN_PREFIX_TOKENS:
            return None
        return _content_hash(fields.prefix_parts)

    def _session(self, fields: RequestFields) -> str | None:
        if fields.session is not None:
            return _name_hash(fields.tenant, "metadata.session", fields.session)
        return _content_hash((*fields.prefix_parts, fields.first_message)) if fields.first_message else None


def _name_hash(tenant: str | None, param: str, name: str) -> str:
    if not name or len(name) > MAX_NAME_CHARS:
        raise IntakeError(param, f"not of 1 to {MAX_NAME_CHARS} characters")
    scoped = f"{tenant or ''}\0{name}"
    return f"n{xxhash.xxh3_128_hexdigest(scoped.encode())}"


def _content_hash(parts: tuple[bytes, ...]) -> str:
    digest = xxhash.xxh3_128()
    for part in parts:  # each with its length, so that moving a boundary changes the hash
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return f"t{digest.hexdigest()}"

"""What the router makes of a client's request: its class, tenant, session, shared opening, size and deadline.

Every front maps to the same `Intake`, so that a request moved from one front to another is decided on alike. A
client names these things in documented fields; what it does not name is found in the conversation itself:

- *shared opening*: what sessions share at the start. `metadata.shared_opening`, else `prompt_cache_key`, else a
  hash of the tools and the leading system and developer messages, if they are long enough to be worth keeping;
- *session*: `metadata.session` or the header `X-Session-Id`, else a hash through the first message that is not
  the opening: a later turn of the conversation begins with the same;
- *class*: `metadata.class` or `X-Request-Class`, else the configured default, else the first safe class;
- *deadline*: `X-Request-Timeout-Ms`, `metadata.timeout_ms`, or the read time-out that OpenAI's clients state,
  each only ever earlier than the class's own. It bounds the first token of a streamed answer and the last of a
  whole one, which gets the time of its longest length on top.

Names that clients give are kept apart by tenant; hashes of texts are not, as the same text is the same state.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import xxhash

from yardspindle import interface as i
from yardspindle.core.config import Config, microseconds
from yardspindle.core.request.estimate import TokenEstimate

OPENING_TOKENS_LEAST = 64.0  # a shorter opening saves less than one step of a reader
NAME_CHARS_MOST = 512
TIMEOUT_MS_LEAST = 1.0
WHOLE_TOKEN_MS = 60.0  # for each token of a whole answer, where the class states no pace


class IntakeError(Exception):
    """The client's fields cannot be taken; `param` names the field."""

    def __init__(self, param: str, reason: str) -> None:
        """Keep both."""
        super().__init__(f"{param}: {reason}")
        self.param = param
        self.reason = reason


@dataclass(frozen=True, slots=True)
class RequestFields:
    """What a front found in a request; sizes in bytes of UTF-8."""

    tenant: str | None
    cls: str | None = None
    session: str | None = None
    shared_prefix: str | None = None
    timeout_ms: float | None = None
    client_timeout_ms: float | None = None
    prefix_parts: tuple[bytes, ...] = ()  # tools, and leading system and developer messages
    first_message: bytes = b""  # the first message after the opening
    size: int = 0  # of all messages and tools
    max_out: int | None = None
    buffered: bool = False  # the answer is to come in one piece
    messages: tuple[tuple[str, bytes], ...] = ()  # role and text of each
    tools: bytes = b""


@dataclass(frozen=True, slots=True)
class AcceptedRequest:
    """The request as the policy sees it, and how its size was estimated."""

    request: i.Request
    text_kind: str
    size: int


class Intake:
    """Turns what clients say into requests."""

    def __init__(self, config: Config) -> None:
        """Take classes and limits from the configuration."""
        self._classes = {row.name: row for row in config.classes}
        safe = [row.name for row in config.classes if row.effect == "safe"]
        self.default_class = config.edge.default_class or (safe or [config.classes[0].name])[0]
        self._margin_us = microseconds(config.rules.answer_margin_ms)
        self._max_out = config.edge.default_max_tokens
        self.estimate = TokenEstimate()

    def accept(self, now_us: int, number: int, said: RequestFields) -> AcceptedRequest:
        """The request numbered `number`. Raises IntakeError."""
        cls = self._classes.get(said.cls or self.default_class)
        if cls is None:
            raise IntakeError("metadata.class", f"no such class; there are {', '.join(self._classes)}")
        kind = f"{said.tenant or ''} {cls.name}"
        # Whole tokens: the policy adds and subtracts them, and what fractions leave over makes an idle reader busy.
        tokens = float(round(self.estimate.tokens(kind, said.size)))
        opening_size = sum(len(part) for part in said.prefix_parts)
        opening_tokens = min(float(round(self.estimate.tokens(kind, opening_size))), tokens) if opening_size else 0.0
        prefix = self._opening(said, opening_tokens)
        limit_ms = cls.give_up_ms
        if said.buffered:  # the class's time is to the first token; a whole answer is seen after the last
            limit_ms += (said.max_out or self._max_out) * (cls.token_aim_ms or WHOLE_TOKEN_MS)
        give_up_us = microseconds(limit_ms)
        for param, value in (("timeout_ms", said.timeout_ms), ("x-stainless-read-timeout", said.client_timeout_ms)):
            if value is None:
                continue
            if not math.isfinite(value) or value < TIMEOUT_MS_LEAST:
                raise IntakeError(param, f"not a time of at least {TIMEOUT_MS_LEAST:g} ms")
            give_up_us = min(give_up_us, microseconds(min(value, limit_ms)))
        return AcceptedRequest(
            i.Request(
                request=number,
                cls=cls.name,
                expires_us=now_us + max(give_up_us - self._margin_us, 1),
                prompt_tokens=tokens,
                prefix_tokens=opening_tokens if prefix is not None else 0.0,
                max_out=float(said.max_out or self._max_out),
                tenant=said.tenant,
                prefix=prefix,
                session=self._session(said),
            ),
            kind,
            said.size,
        )

    def learn(self, taken: AcceptedRequest, prompt_tokens: int) -> None:
        """An engine counted the prompt."""
        self.estimate.learn(taken.text_kind, taken.size, prompt_tokens)

    def _opening(self, said: RequestFields, tokens: float) -> str | None:
        if said.shared_prefix is not None:
            return _named(said.tenant, "metadata.shared_opening", said.shared_prefix)
        if tokens < OPENING_TOKENS_LEAST:
            return None
        return _hash(said.prefix_parts)

    def _session(self, said: RequestFields) -> str | None:
        if said.session is not None:
            return _named(said.tenant, "metadata.session", said.session)
        return _hash((*said.prefix_parts, said.first_message)) if said.first_message else None


def _named(tenant: str | None, param: str, name: str) -> str:
    if not name or len(name) > NAME_CHARS_MOST:
        raise IntakeError(param, f"not of 1 to {NAME_CHARS_MOST} characters")
    owned = f"{tenant or ''}\0{name}"
    return f"n{xxhash.xxh3_128_hexdigest(owned.encode())}"


def _hash(parts: tuple[bytes, ...]) -> str:
    digest = xxhash.xxh3_128()
    for part in parts:  # each with its length, so that moving a border changes the hash
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return f"t{digest.hexdigest()}"

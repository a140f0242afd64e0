"""A stand-in engine's settings, the bodies of its calls, and the records of its holds and load.

An engine reads (prefill), writes (decode) or does both. A hold is a state (KV cache that a read leaves until the write
has fetched it) or a place (memory reserved for a write).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any, Literal

import msgspec
from msgspec import Struct

from yardspindle.runtime.scheduler import Signal


class EngineSettings(Struct, forbid_unknown_fields=True, frozen=True):
    """Capacity, speed, cold-start behaviour, extensions and files of one engine."""

    name: str = "engine"
    role: Literal["read", "write", "both"] = "both"
    slots: int = 16
    queue: int = 32
    memory_tokens: int = 640_000  # a token is one byte here; a model's token is about four bytes of text
    cache_tokens: int = 640_000
    block_size: int = 64
    read_tokens_per_s: float = 160_000.0
    step_ms: float = 4.0
    move_tokens_per_s: float = 1_600_000.0  # speed at which a writer fetches a state
    cold_ms: float = 0.0  # time from the start until full speed; the first speed is `start_capacity` times that
    start_capacity: float = 1.0
    fall_multiple: float = 2.5  # a cold engine hangs for good when its work exceeds this multiple of its capacity
    fall_ms: float = 2_000.0  # the period over which that work is summed
    hold_ms: float = 5_000.0  # after which an unused hold expires
    places: bool = True  # supports the calls that reserve places and release holds
    events: bool = False  # publish cache events (blocks stored, removed)
    journal: str = ""
    holds: bool = True  # supports the call that lists its holds
    # The file that keeps the highest fence (number of a duty's owner) seen of each duty (background task) across
    # restarts. Fences are checked in any case.
    fences: str = ""


class EngineControl(Struct, forbid_unknown_fields=True):
    """A fault to inject, or one to end."""

    do: Literal[
        "hang",
        "wake",
        "slow",
        "forget",
        "reset_streams",
        "drain",
        "full",
        "normal",
        "listed_draining",
        "listed_serving",
    ]
    factor: float = 1.0  # for "slow": how many times as long work takes


class Message(Struct):
    """One message of a prompt."""

    role: str
    content: Any = None


class ChatCall(Struct):
    """A completion call of either stage, read or write."""

    messages: list[Message]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    stream_options: dict[str, Any] | None = None
    kv_transfer_params: dict[str, Any] | None = None
    metadata: dict[str, str] | None = None
    tools: msgspec.Raw = msgspec.Raw(b"")


class PlaceCall(Struct):
    """A request to reserve a place."""

    place: str
    tokens: int
    read: dict[str, Any] = {}  # the read's attempt id, and its reader's host and port; not used here


@dataclass(slots=True)
class Hold:
    """A held state or place."""

    tokens: int
    expires_us: int


@dataclass(slots=True)
class Load:
    """Running and queued requests."""

    running: int = 0
    waiting: deque[Signal] = field(default_factory=deque)  # one for each queued request, set when it gets a slot
    memory_tokens: int = 0
    recent_work: deque[tuple[int, float]] = field(default_factory=deque)  # time of arrival, work in microseconds


def message_text(content: Any) -> bytes:
    """A message's text, extracted as the router does."""
    if isinstance(content, str):
        return content.encode()
    parts = (part.get("text") for part in content or [])
    return "\n".join(part for part in parts if isinstance(part, str)).encode()


def token_choice(step: int, steps: int) -> dict[str, Any]:
    """The choice in the chunk of a streamed answer that carries token `step` of `steps`, counted from 0."""
    delta = {"content": f" w{step}"} if step else {"role": "assistant", "content": f"w{step}"}
    last = step == steps - 1
    return {"index": 0, "delta": delta, "logprobs": None, "finish_reason": "stop" if last else None}

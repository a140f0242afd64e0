"""Interprets a writer's stream of events and maps final answers to HTTP.

A writer is a server that runs the decode stage; it sends the answer as server-sent events. The edge is the process that
holds the client connections. It ends each request with one final answer: served, refused (a retry is harmless) or
failed.

`AnswerTracker` inspects each event once and decides what is forwarded to the client and when the answer is complete: a
`finish_reason`, then `[DONE]`. An engine that sends `error`, or whose stream ends before `[DONE]`, has broken its
stream. Events are forwarded unchanged, except the usage event that the edge asked for, which is dropped if the client
did not ask for it. Most events are recognised without being parsed.

`http_error` gives each final answer its status. The official clients retry a 5xx by themselves unless told not to;
`x-should-retry: false` tells them for every failed request of an unsafe class, as it may have run.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

import msgspec

from yardspindle.core.request.commands import Answer, Final

DONE = b"[DONE]"
USAGE = re.compile(rb'"usage"\s*:\s*\{')
FINISH = re.compile(rb'"finish_reason"\s*:\s*"')
ERROR = re.compile(rb'^\s*\{\s*"error"\s*:')


@dataclass(slots=True)
class TokenCounts:
    """Token counts that an engine reports for one answer."""

    prompt: int = 0
    completion: int = 0
    cached: int = 0


class AnswerTracker:
    """Tracks one answer's events: what to forward, whether it is complete, and its token counts."""

    __slots__ = ("_usage_wanted", "_finished", "done", "error", "counts", "events")

    def __init__(self, usage_wanted: bool) -> None:
        """`usage_wanted`: the client asked for the usage event."""
        self._usage_wanted = usage_wanted
        self._finished = False
        self.done = False
        self.error = False
        self.counts: TokenCounts | None = None
        self.events = 0

    @property
    def complete(self) -> bool:
        """Whether the answer ended regularly: with a `finish_reason`, `[DONE]` and no error."""
        return self.done and self._finished and not self.error

    def forward(self, data: bytes) -> bool:
        """Process an event's data; returns whether to forward it. After `done` or `error` nothing is."""
        if self.done or self.error:
            return False
        if data == DONE:
            self.done = True
            return False
        if ERROR.match(data):
            self.error = True
            return False
        self.events += 1
        if not self._finished and FINISH.search(data):
            self._finished = True
        return self._forward_usage(data) if USAGE.search(data) else True

    def _forward_usage(self, data: bytes) -> bool:
        """Read the counts of an event with usage; forward it if it holds choices or the client wants usage."""
        try:
            event: Any = msgspec.json.decode(data)
        except msgspec.DecodeError:
            return True
        usage = event.get("usage") if isinstance(event, dict) else None
        if not isinstance(usage, dict):
            return True
        details = usage.get("prompt_tokens_details")
        self.counts = TokenCounts(
            _count(usage.get("prompt_tokens")),
            _count(usage.get("completion_tokens")),
            _count(details.get("cached_tokens")) if isinstance(details, dict) else 0,
        )
        return self._usage_wanted or bool(event.get("choices"))


def _count(value: object) -> int:
    return value if isinstance(value, int) and not isinstance(value, bool) and value >= 0 else 0


class CollectedAnswer:
    """Assembles the events of an answer into one body, for a client that did not ask for a stream.

    Deltas are merged by the rule that clients use: strings are concatenated, lists merged by `index`, objects field by
    field, and of anything else the last value wins, as it does of `role`, `type`, `id` and `index`. So fields unknown
    to this code pass too.
    """

    def __init__(self) -> None:
        """No events yet."""
        self._top: dict[str, Any] = {}
        self._choices: dict[int, dict[str, Any]] = {}

    def add(self, data: bytes) -> None:
        """Merge an event's data. Raises msgspec.DecodeError or ValueError if it is not a chunk."""
        event: Any = msgspec.json.decode(data)
        if not isinstance(event, dict):
            raise ValueError("event is not an object")
        for name, value in event.items():
            if name != "choices" and value is not None:
                self._top[name] = value
        for row in event.get("choices") or []:
            if not isinstance(row, dict) or not isinstance(row.get("index", 0), int):
                raise ValueError("malformed choice")
            choice = self._choices.setdefault(row.get("index", 0), {"message": {}})
            for name, value in row.items():
                if name == "delta":
                    _merge(choice["message"], value or {})
                elif name == "logprobs" and value:
                    _merge(choice.setdefault(name, {}) or {}, value)
                elif value is not None or name not in choice:
                    choice[name] = value if name != "logprobs" else {}

    def body(self) -> bytes:
        """The complete answer as a `chat.completion` object."""
        choices = [self._choices[index] for index in sorted(self._choices)]
        for choice in choices:
            choice["message"].setdefault("role", "assistant")
            choice["message"].setdefault("content", None)
            for call in choice["message"].get("tool_calls") or []:
                call.pop("index", None)
            if not choice.get("logprobs"):
                choice["logprobs"] = None
        return msgspec.json.encode({**self._top, "object": "chat.completion", "choices": choices})


def _merge(target: dict[str, Any], delta: dict[str, Any]) -> None:
    """Merge a delta into what is assembled so far."""
    for name, value in delta.items():
        known = target.get(name)
        if known is None or name in ("role", "type", "id", "index"):
            if value is not None or name not in target:
                target[name] = value
        elif isinstance(known, str) and isinstance(value, str):
            target[name] = known + value
        elif isinstance(known, dict) and isinstance(value, dict):
            _merge(known, value)
        elif isinstance(known, list) and isinstance(value, list):
            for item in value:
                index = item.get("index") if isinstance(item, dict) else None
                match = next((k for k in known if isinstance(k, dict) and k.get("index") == index), None)
                if index is not None and match is not None:
                    _merge(match, item)
                else:
                    known.append(item)
        elif value is not None:
            target[name] = value


# Messages to clients, by code.
MESSAGES = {
    # Refused by the routing policy, which found no server in time; a retry is harmless. (A request of a safe class is
    # refused with this text even if an attempt of it may have run.)
    "overloaded": "The service is busy; nothing of this request has run.",
    "edge_full": "This router holds as many requests as it may.",
    # The edge has no planner (the process that decides which server does what), or has lost the one of this request.
    "planner_lost": "Nothing can be planned at the moment.",
    # Given up by the routing policy: the request may have run and must not run twice.
    "gave_up": "The request was given up.",
    # The edge itself ended the request: at its deadline no answer, or no complete one, had come.
    "deadline": "No answer came in time.",
    "may_have_run": "The request failed and may have run; it was not repeated.",
    "stream_broken": "The answer broke off.",
    "draining": "This router is shutting down.",
}


@dataclass(frozen=True, slots=True)
class HttpError:
    """A final answer as an HTTP error, for a request of which no token was sent."""

    status: int
    code: str
    message: str
    error_type: str
    headers: tuple[tuple[bytes, bytes], ...]


def http_error(answer: Answer, unsafe: bool) -> HttpError:
    """Status, error and headers of a refusal or failure. Raises ValueError for a served answer.

    `unsafe`: the request's class is unsafe, so its clients must not repeat a request that may have run.
    """
    message = MESSAGES.get(answer.code, answer.code)
    if answer.final is Final.REFUSED:
        wait_ms = max(answer.retry_after_us // 1_000, 1)
        return HttpError(
            503,
            answer.code,
            message,
            "overloaded_error",
            (
                (b"retry-after", str(-(-wait_ms // 1_000)).encode()),
                (b"retry-after-ms", str(wait_ms).encode()),
                (b"x-should-retry", b"true"),
            ),
        )
    if answer.final is Final.SERVED:
        raise ValueError("a served answer is not an error")
    status = 504 if answer.code in ("deadline", "gave_up") else 502
    retry = ((b"x-should-retry", b"false"),) if unsafe else ()
    return HttpError(status, answer.code, message, "server_error", retry)

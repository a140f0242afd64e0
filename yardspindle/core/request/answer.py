"""What a writer's stream of events means, and how an answer ends for the client.

`AnswerState` looks at each event once and says what goes on to the client and when the answer is whole: a
`finish_reason` for every choice begun, then `[DONE]`. An engine that says `error`, or stops before that, has broken
its stream. Events go on unchanged; only the usage that the edge itself asked for is kept from a client that did
not ask. Most events are recognised without being parsed.

`http_of` gives each final answer its status. The official clients repeat a 5xx by themselves unless told not to;
for a request that may have run they are told (`x-should-retry: false`).
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
    """What an engine counted for one answer."""

    prompt: int = 0
    completion: int = 0
    cached: int = 0


class AnswerTracker:
    """Follows one answer's events."""

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
        """Whether the answer ended as answers do."""
        return self.done and self._finished and not self.error

    def forward(self, data: bytes) -> bool:
        """Take an event's data; whether the client gets it. After `done` or `error` nothing is forwarded."""
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
    """An answer in one piece for a client that did not ask for a stream, put together from its events.

    Deltas join by the rule that clients use: texts follow each other, lists join by their `index`, objects
    field by field, and of anything else the last counts. So fields that are new to us pass too.
    """

    def __init__(self) -> None:
        """Start with nothing."""
        self._top: dict[str, Any] = {}
        self._choices: dict[int, dict[str, Any]] = {}

    def add(self, data: bytes) -> None:
        """Take an event's data. Raises msgspec.DecodeError or ValueError when it is no chunk."""
        event: Any = msgspec.json.decode(data)
        if not isinstance(event, dict):
            raise ValueError("an event is no object")
        for name, value in event.items():
            if name != "choices" and value is not None:
                self._top[name] = value
        for row in event.get("choices") or []:
            if not isinstance(row, dict) or not isinstance(row.get("index", 0), int):
                raise ValueError("a choice is malformed")
            choice = self._choices.setdefault(row.get("index", 0), {"message": {}})
            for name, value in row.items():
                if name == "delta":
                    _join(choice["message"], value or {})
                elif name == "logprobs" and value:
                    _join(choice.setdefault(name, {}) or {}, value)
                elif value is not None or name not in choice:
                    choice[name] = value if name != "logprobs" else {}

    def body(self) -> bytes:
        """The whole answer as `chat.completion`."""
        choices = [self._choices[index] for index in sorted(self._choices)]
        for choice in choices:
            choice["message"].setdefault("role", "assistant")
            choice["message"].setdefault("content", None)
            for call in choice["message"].get("tool_calls") or []:
                call.pop("index", None)
            if not choice.get("logprobs"):
                choice["logprobs"] = None
        return msgspec.json.encode({**self._top, "object": "chat.completion", "choices": choices})


def _join(whole: dict[str, Any], delta: dict[str, Any]) -> None:
    for name, value in delta.items():
        known = whole.get(name)
        if known is None or name in ("role", "type", "id", "index"):
            if value is not None or name not in whole:
                whole[name] = value
        elif isinstance(known, str) and isinstance(value, str):
            whole[name] = known + value
        elif isinstance(known, dict) and isinstance(value, dict):
            _join(known, value)
        elif isinstance(known, list) and isinstance(value, list):
            for item in value:
                index = item.get("index") if isinstance(item, dict) else None
                match = next((k for k in known if isinstance(k, dict) and k.get("index") == index), None)
                if index is not None and match is not None:
                    _join(match, item)
                else:
                    known.append(item)
        elif value is not None:
            whole[name] = value


MESSAGES = {
    "overloaded": "The service is busy; nothing of this request has run.",
    "edge_full": "This router holds as many requests as it may.",
    "planner_lost": "Nothing can be planned at the moment.",
    "gave_up": "The request was given up.",
    "deadline": "No answer came in time.",
    "may_have_run": "The request failed and may have run; it was not repeated.",
    "stream_broken": "The answer broke off.",
    "draining": "This router is shutting down.",
}


@dataclass(frozen=True, slots=True)
class HttpError:
    """A final answer before any token, in HTTP."""

    status: int
    code: str
    message: str
    error_type: str
    headers: tuple[tuple[bytes, bytes], ...]


def http_error(answer: Answer, unsafe: bool) -> HttpError:
    """Status, error and headers of a refusal or failure. Raises ValueError for a served one."""
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
        raise ValueError("a served answer is no error")
    status = 504 if answer.code in ("deadline", "gave_up") else 502
    retry = ((b"x-should-retry", b"false"),) if unsafe else ()
    return HttpError(status, answer.code, message, "server_error", retry)

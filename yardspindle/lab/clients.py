"""Scripted chat clients: sessions with shared openings, hang-ups, stalled reading, retries after a refusal.

All is drawn from a seed. Each try of a request is written down as the client saw it on its socket: when it was
sent, its first token, and how it ended. What a client expects of a router is in the audit, not here.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from msgspec import Struct

from yardspindle.engine.http_client import ConnectError, ExchangeBroken, HttpClient, Response
from yardspindle.protocol import http1
from yardspindle.protocol.sse import SseParser
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.world import World

LISTEN_GRACE_US = 1_000_000  # beyond its deadline a client still listens for so long, to see what comes late
WORDS = (
    "price",
    "of",
    "heating",
    "oil",
    "today",
    "please",
    "confirm",
    "my",
    "order",
    "for",
    "the",
    "tank",
    "at",
    "the",
    "depot",
    "and",
    "tell",
    "me",
    "when",
)


class ClientClass(Struct, forbid_unknown_fields=True, frozen=True):
    """A class of requests, as clients send it."""

    name: str
    share: float
    give_up_ms: float
    answer_tokens: int = 40


class ClientHabits(Struct, forbid_unknown_fields=True, frozen=True):
    """How clients behave; parts of all requests."""

    hang_up: float = 0.05
    stop_reading: float = 0.02
    whole: float = 0.2
    retries: int = 2
    openings: int = 4
    opening_words: int = 400
    words: int = 60


@dataclass(frozen=True, slots=True)
class RequestPlan:
    """One request as drawn."""

    number: int
    cls: ClientClass
    opening: int
    words: int
    stream: bool
    hang_up_us: int
    stop_reading: bool
    deadline_us: int
    pause_us: int


def draw_request(
    rng: random.Random, number: int, classes: tuple[ClientClass, ...], habits: ClientHabits
) -> RequestPlan:
    """The request numbered so."""
    cls = rng.choices(classes, [row.share for row in classes])[0]
    hangs_up = rng.random() < habits.hang_up
    return RequestPlan(
        number,
        cls,
        rng.randrange(max(habits.openings, 1)),
        rng.randint(1, 2 * habits.words),
        rng.random() >= habits.whole,
        int(rng.uniform(0, 0.4e6)) if hangs_up else 0,
        rng.random() < habits.stop_reading,
        int(rng.uniform(0.5, 1.0) * cls.give_up_ms * 1_000),
        int(rng.uniform(0.5, 1.5) * 200_000),
    )


@dataclass(slots=True)
class _TryResult:
    """What the client has seen of a try."""

    outcome: str = ""
    code: str = ""
    status: int = 0
    retry_ms: float = 0.0
    events: int = 0
    extra: int = 0
    first_token_us: int = 0


class Clients:
    """Sends drawn requests to the edges, each in a task of its own."""

    def __init__(self, world: World, model: str, note: Callable[[dict[str, Any]], None], habits: ClientHabits) -> None:
        """`note` takes the log's lines."""
        self._world = world
        self._model = model
        self._note = note
        self._habits = habits
        self._http = HttpClient(world, 1_000_000, 4_000_000)

    def request(self, plan: RequestPlan, edges: list[tuple[str, int]]) -> None:
        """One request with its retries, each at the next edge."""
        for attempt in range(1 + self._habits.retries):
            edge = edges[(plan.number + attempt) % len(edges)]
            seen = self.send_once(plan, attempt, edge)
            if seen.outcome not in ("refused", "unreachable") or attempt == self._habits.retries:
                return
            wait_us = int(seen.retry_ms * 1_000) or plan.pause_us
            self._world.sleep_until(self._world.now_us() + wait_us)

    def close(self) -> None:
        """Close the connections that are kept."""
        self._http.close_all()

    def send_once(self, plan: RequestPlan, attempt: int, edge: tuple[str, int]) -> _TryResult:
        """One try, without a retry."""
        name = f"q{plan.number}.{attempt}"
        started = self._world.now_us()
        seen = _TryResult()
        self._note(
            {
                "t": started,
                "ev": "send",
                "try": name,
                "order": f"q{plan.number}",
                "cls": plan.cls.name,
                "edge": edge[1],
                "deadline_us": plan.deadline_us,
            }
        )
        until = started + (plan.hang_up_us or plan.deadline_us + LISTEN_GRACE_US)
        try:
            with self._world.deadline(until) as deadline:
                response = self._send(plan, name, edge)
                seen.status = response.head.status
                if seen.status != 200:
                    self._read_refusal(seen, response)
                elif not plan.stream:
                    response.read_all()
                    response.close()
                    seen.outcome, seen.events = "served", 1
                else:
                    self._stream_started(seen, response)
            if not seen.outcome:
                self._read_stream(plan, seen, response)
        except DeadlineExceeded:
            assert deadline.passed
            seen.outcome, seen.code = ("left", "hung up") if plan.hang_up_us else ("late", "")
        except ConnectError:
            seen.outcome = "unreachable"
        except ExchangeBroken as error:
            seen.outcome, seen.code = "lost", str(error)
        now = self._world.now_us()
        self._note(
            {
                "t": now,
                "ev": "final",
                "try": name,
                "outcome": seen.outcome,
                "code": seen.code,
                "status": seen.status,
                "events": seen.events,
                "extra": seen.extra,
                "first_t": seen.first_token_us or now,
            }
        )
        return seen

    def _send(self, plan: RequestPlan, name: str, edge: tuple[str, int]) -> Response:
        opening = " ".join(WORDS[(plan.opening + at) % len(WORDS)] for at in range(self._habits.opening_words))
        text = " ".join(WORDS[(plan.number + at) % len(WORDS)] for at in range(plan.words))
        body = msgspec.json.encode(
            {
                "model": self._model,
                "stream": plan.stream,
                "max_tokens": plan.cls.answer_tokens,
                "messages": [
                    {"role": "system", "content": f"opening {plan.opening}: {opening}"},
                    {"role": "user", "content": f"{plan.number}: {text}"},
                ],
                "metadata": {"class": plan.cls.name, "lab_id": name, "timeout_ms": f"{plan.deadline_us / 1_000:.1f}"},
            }
        )
        headers: http1.Headers = [(b"content-type", b"application/json")]
        return self._http.request(*edge, b"POST", b"/v1/chat/completions", headers, body)

    def _read_refusal(self, seen: _TryResult, response: Response) -> None:
        body: Any = msgspec.json.decode(response.read_all())
        seen.code = str(body["error"]["code"])
        advised = response.head.get(b"retry-after-ms")
        seen.retry_ms = float(advised or 0)
        seen.outcome = "refused" if seen.status in (429, 503) and advised else "failed"
        response.close()

    def _stream_started(self, seen: _TryResult, response: Response) -> None:
        """Status and first token come together: the stream has begun."""
        seen.first_token_us = self._world.now_us()

    def _read_stream(self, plan: RequestPlan, seen: _TryResult, response: Response) -> None:
        parser = SseParser()
        try:
            if plan.stop_reading:
                self._world.sleep_until(self._world.now_us() + plan.deadline_us)
                seen.outcome = "left"
                return
            while (piece := response.read()) is not None:
                for event in parser.feed(piece):
                    if seen.outcome:
                        seen.extra += 1
                    elif event.data == b"[DONE]":
                        seen.outcome = "served"
                    elif event.kind == b"error":
                        seen.outcome, seen.code = "failed", "stream_broken"
                    else:
                        seen.events += 1
        except ExchangeBroken as error:
            if seen.outcome != "failed":  # a failed stream is closed without an end, on purpose
                seen.outcome, seen.code = "lost", str(error)
        finally:
            if seen.outcome in ("served", "failed") and response.connection.parser.buffered:
                seen.extra += 1
            response.close()
        if not seen.outcome:
            seen.outcome, seen.code = "lost", "the stream ended without [DONE]"

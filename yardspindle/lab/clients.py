"""Generated chat clients: sessions with shared prefixes, hang-ups, stalled reading, retries after a refusal.

All choices come from a seed. Each try of a request is recorded as the client saw it on its socket: when it was sent,
when its first token arrived, and how it ended. Whether the answers follow the router's rules is checked by the audit
(audit.py), not here. Clients connect to edges, the router's processes that hold the client connections.
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

LISTEN_GRACE_US = 1_000_000  # a client reads on after its deadline, to record late answers
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
    """A request class of the router: its share of all requests, the client's deadline, and the answer's length."""

    name: str
    share: float
    give_up_ms: float  # after which the client gives up
    answer_tokens: int = 40


class ClientHabits(Struct, forbid_unknown_fields=True, frozen=True):
    """How clients behave: probabilities per request, number of retries, and prompt sizes."""

    hang_up: float = 0.05
    stop_reading: float = 0.02
    whole: float = 0.2  # probability that the answer is not streamed
    retries: int = 2
    openings: int = 4  # number of shared prefixes
    opening_words: int = 400  # length of a shared prefix
    words: int = 60  # mean length of the part that is not shared


@dataclass(frozen=True, slots=True)
class RequestPlan:
    """One drawn request. `hang_up_us` is 0 for a client that does not hang up."""

    number: int
    cls: ClientClass
    opening: int  # number of the shared prefix
    words: int
    stream: bool
    hang_up_us: int
    stop_reading: bool
    deadline_us: int
    pause_us: int  # before a retry, if the refusal names no time


def draw_request(
    rng: random.Random, number: int, classes: tuple[ClientClass, ...], habits: ClientHabits
) -> RequestPlan:
    """Draw the request with the given number."""
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
    """What the client saw of one try.

    `outcome` is empty until the try ends; then it is one of:

    - "served": the answer was complete;
    - "refused": status 429 or 503 with a `retry-after-ms` header;
    - "failed": any other error response, or an error event in the stream;
    - "left": the client hung up (`code` is "hung up") or stopped reading the stream;
    - "late": no complete answer by `LISTEN_GRACE_US` after the deadline;
    - "lost": the connection broke, or the stream ended without its end mark (`code` says how);
    - "unreachable": no connection to the edge.
    """

    outcome: str = ""
    code: str = ""
    status: int = 0
    retry_ms: float = 0.0
    events: int = 0  # of the answer
    extra: int = 0  # events after the end of the answer
    first_token_us: int = 0


class Clients:
    """Sends drawn requests to the edges and records what comes back. Each request runs in its caller's task."""

    def __init__(
        self, world: World, model: str, record: Callable[[dict[str, Any]], None], habits: ClientHabits
    ) -> None:
        """`world`: the interface to clock, sockets and files. `record` is called with each journal line."""
        self._world = world
        self._model = model
        self._record = record
        self._habits = habits
        self._http = HttpClient(world, 1_000_000, 4_000_000)

    def request(self, plan: RequestPlan, edges: list[tuple[str, int]]) -> None:
        """Send a request and its retries, each to the next edge."""
        for attempt in range(1 + self._habits.retries):
            edge = edges[(plan.number + attempt) % len(edges)]
            result = self.send_once(plan, attempt, edge)
            if result.outcome not in ("refused", "unreachable") or attempt == self._habits.retries:
                return
            wait_us = int(result.retry_ms * 1_000) or plan.pause_us
            self._world.sleep_until(self._world.now_us() + wait_us)

    def close(self) -> None:
        """Close the pooled connections."""
        self._http.close_all()

    def send_once(self, plan: RequestPlan, attempt: int, edge: tuple[str, int]) -> _TryResult:
        """Send a request once and record how it ended.

        One record is written at the start and one at the end; `try` names this send in both. `order`, in the first,
        names the request and is the same for all its tries: by it the audit counts how often the request ran."""
        name = f"q{plan.number}.{attempt}"
        started = self._world.now_us()
        result = _TryResult()
        self._record(
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
                result.status = response.head.status
                if result.status != 200:
                    self._read_refusal(result, response)
                elif not plan.stream:
                    response.read_all()
                    response.close()
                    result.outcome, result.events = "served", 1
                else:
                    self._record_first_token(result)
            if not result.outcome:
                self._read_stream(plan, result, response)
        except DeadlineExceeded:
            assert deadline.passed
            result.outcome, result.code = ("left", "hung up") if plan.hang_up_us else ("late", "")
        except ConnectError:
            result.outcome = "unreachable"
        except ExchangeBroken as error:
            result.outcome, result.code = "lost", str(error)
        now = self._world.now_us()
        self._record(
            {
                "t": now,
                "ev": "final",
                "try": name,
                "outcome": result.outcome,
                "code": result.code,
                "status": result.status,
                "events": result.events,
                "extra": result.extra,
                "first_t": result.first_token_us or now,
            }
        )
        return result

    def _send(self, plan: RequestPlan, name: str, edge: tuple[str, int]) -> Response:
        """Send a try; its name goes along as `lab_id`, by which the audit finds it in the engines' journal."""
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

    def _read_refusal(self, result: _TryResult, response: Response) -> None:
        body: Any = msgspec.json.decode(response.read_all())
        result.code = str(body["error"]["code"])
        retry_after = response.head.get(b"retry-after-ms")
        result.retry_ms = float(retry_after or 0)
        result.outcome = "refused" if result.status in (429, 503) and retry_after else "failed"
        response.close()

    def _record_first_token(self, result: _TryResult) -> None:
        """Record the time of the first token: the edge sends the response's head together with it."""
        result.first_token_us = self._world.now_us()

    def _read_stream(self, plan: RequestPlan, result: _TryResult, response: Response) -> None:
        parser = SseParser()
        try:
            if plan.stop_reading:
                self._world.sleep_until(self._world.now_us() + plan.deadline_us)
                result.outcome = "left"
                return
            while (piece := response.read()) is not None:
                for event in parser.feed(piece):
                    if result.outcome:
                        result.extra += 1
                    elif event.data == b"[DONE]":
                        result.outcome = "served"
                    elif event.kind == b"error":
                        result.outcome, result.code = "failed", "stream_broken"
                    else:
                        result.events += 1
        except ExchangeBroken as error:
            if result.outcome != "failed":  # the edge closes a failed stream without a final chunk, on purpose
                result.outcome, result.code = "lost", str(error)
        finally:
            if result.outcome in ("served", "failed") and response.connection.parser.buffered:
                result.extra += 1
            response.close()
        if not result.outcome:
            result.outcome, result.code = "lost", "the stream ended without [DONE]"

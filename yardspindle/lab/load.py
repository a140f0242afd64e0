"""Open-loop load: random arrivals, sessions with turns, shared prefixes with Zipf popularity.

Open loop: a request is sent at its drawn time, whether or not earlier ones have been answered. Latency is measured from
the intended send time, so that a stalled router cannot hide its stall. The same file and seed give the same traffic, so
that two runs can be compared request by request. Requests go to edges, the router's processes that hold the client
connections. `World` is the interface to clock, sockets and files.
"""

from __future__ import annotations

import random
import statistics
from dataclasses import dataclass, field
from typing import Annotated, Any, Literal

import msgspec
from hdrh.histogram import HdrHistogram
from msgspec import Meta, Struct

from yardspindle.core.config import ConfigError, decode_toml
from yardspindle.engine.http_client import ConnectError, ExchangeBroken, HttpClient
from yardspindle.protocol.sse import SseParser
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.world import World

Positive = Annotated[float, Meta(gt=0)]
MAX_LATENCY_US = 120_000_000
WORDS = (
    "oil",
    "price",
    "tank",
    "order",
    "depot",
    "driver",
    "morning",
    "litre",
    "invoice",
    "street",
    "confirm",
    "today",
)
BOOTSTRAP_SAMPLES = 500  # for the confidence interval of a comparison


class Traffic(Struct, forbid_unknown_fields=True, frozen=True):
    """The traffic, as its file describes it. `cls` is the request class, sent to the router as metadata `class`."""

    seed: int
    seconds: Annotated[float, Meta(gt=0, le=3_600)]
    rate_per_s: Annotated[float, Meta(gt=0, le=2_000)]
    arrivals: Literal["poisson", "bursts"] = "poisson"
    burst_times: Positive = 4.0  # factor of the rate in a burst to the rate between bursts
    burst_s: Positive = 1.0  # length of a burst
    burst_every_s: Positive = 5.0  # from the start of one burst to the next
    openings: Annotated[int, Meta(ge=1)] = 50  # shared prefixes
    zipf: Positive = 1.1  # exponent of their popularity
    opening_words: Annotated[int, Meta(ge=0)] = 300
    turn_words: Annotated[int, Meta(ge=1)] = 40
    turns: Annotated[float, Meta(ge=1)] = 2.5  # mean requests of a session
    answer_tokens: Annotated[int, Meta(ge=1)] = 16
    cls: str = "chat"
    timeout_ms: Positive = 10_000.0


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A drawn request, to be sent `at_us` after the start."""

    at_us: int
    messages: tuple[tuple[str, str], ...]


@dataclass(slots=True)
class LoadReport:
    """Results of a run; times in microseconds from the intended send."""

    outcomes: dict[str, int] = field(default_factory=dict)
    first_token: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3))
    full_answer: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3))
    first_token_us: dict[int, int] = field(default_factory=dict)
    prompt_tokens: int = 0

    def summary(self) -> str:
        """Outcomes and latency percentiles in milliseconds, as text."""
        rows = [
            ", ".join(f"{name} {count}" for name, count in sorted(self.outcomes.items()))
            + f"; prompt tokens {self.prompt_tokens}"
        ]
        for name, histogram in (("first token", self.first_token), ("whole answer", self.full_answer)):
            values = ", ".join(
                f"p{at:g} {histogram.get_value_at_percentile(at) / 1_000:.1f}" for at in (50, 90, 99, 99.9)
            )
            rows.append(f"{name}, ms: {values}")
        return "\n".join(rows)


def load_traffic(path: str) -> Traffic:
    """Read a traffic file. Raises ConfigError and OSError."""
    with open(path, "rb") as file:
        traffic = decode_toml(path, file.read(), Traffic)
    if traffic.arrivals == "bursts" and traffic.burst_s >= traffic.burst_every_s:
        raise ConfigError(f"{path}: burst_s: not under burst_every_s ({traffic.burst_every_s:g})")
    return traffic


def plan_traffic(traffic: Traffic) -> list[PlannedRequest]:
    """Draw all requests of a run, in order of time."""
    rng = random.Random(traffic.seed)
    weights = [1 / (rank + 1) ** traffic.zipf for rank in range(traffic.openings)]
    open_sessions: list[list[tuple[str, str]]] = []
    planned: list[PlannedRequest] = []
    at = 0.0
    while (at := at + rng.expovariate(_rate(traffic, at))) < traffic.seconds:
        if open_sessions and rng.random() < 1 - 1 / traffic.turns:
            session = rng.choice(open_sessions)
            session.append(("assistant", _words(rng, traffic.answer_tokens)))
        else:
            opening = rng.choices(range(traffic.openings), weights)[0]
            text = _words(random.Random(f"{traffic.seed} {opening}"), traffic.opening_words)
            session = [("system", f"{opening}: {text}")] if traffic.opening_words else []
            open_sessions.append(session)
            open_sessions = open_sessions[-200:]
        session.append(("user", _words(rng, traffic.turn_words)))
        planned.append(PlannedRequest(int(at * 1e6), tuple(session)))
    return planned


def _rate(traffic: Traffic, at: float) -> float:
    if traffic.arrivals == "poisson":
        return traffic.rate_per_s
    fraction = traffic.burst_s / traffic.burst_every_s  # the mean rate stays `rate_per_s`
    base = traffic.rate_per_s / (1 - fraction + fraction * traffic.burst_times)
    return base * (traffic.burst_times if at % traffic.burst_every_s < traffic.burst_s else 1.0)


def _words(rng: random.Random, count: int) -> str:
    return " ".join(rng.choices(WORDS, k=max(count, 1)))


def run_load(world: World, traffic: Traffic, edges: list[tuple[str, int]], model: str) -> LoadReport:
    """Send the traffic and wait for all answers; ends at the last request's time-out at the latest."""
    report, http = LoadReport(), HttpClient(world, 1_000_000, 4_000_000)
    start = world.now_us()

    def send(number: int, planned: PlannedRequest) -> None:
        intended = start + planned.at_us
        outcome = "timed out"
        try:
            with world.deadline(intended + int(traffic.timeout_ms * 1_000)):
                edge = edges[number % len(edges)]
                outcome = _send(world, http, traffic, edge, model, planned, number, intended, report)
        except DeadlineExceeded:
            pass
        except ConnectError:
            outcome = "unreachable"
        except ExchangeBroken:
            outcome = "broken"
        report.outcomes[outcome] = report.outcomes.get(outcome, 0) + 1

    tasks = []
    for number, planned in enumerate(plan_traffic(traffic)):
        world.sleep_until(start + planned.at_us)
        tasks.append(world.spawn("request", send, number, planned))
    for task in tasks:
        task.join()
    return report


def _send(
    world: World,
    http: HttpClient,
    traffic: Traffic,
    edge: tuple[str, int],
    model: str,
    planned: PlannedRequest,
    number: int,
    intended: int,
    report: LoadReport,
) -> str:
    body = msgspec.json.encode(
        {
            "model": model,
            "stream": True,
            "stream_options": {"include_usage": True},
            "max_tokens": traffic.answer_tokens,
            "messages": [{"role": role, "content": text} for role, text in planned.messages],
            "metadata": {"class": traffic.cls},
        }
    )
    response = http.request(*edge, b"POST", b"/v1/chat/completions", [(b"content-type", b"application/json")], body)
    parser, outcome = SseParser(), "broken"
    try:
        if response.head.status != 200:
            response.read_all()
            return f"HTTP {response.head.status}"
        while (piece := response.read()) is not None:
            for event in parser.feed(piece):
                if number not in report.first_token_us:
                    report.first_token_us[number] = world.now_us() - intended
                    report.first_token.record_value(report.first_token_us[number])
                if event.data == b"[DONE]":
                    outcome = "served"
                    report.full_answer.record_value(world.now_us() - intended)
                elif b'"usage":{' in event.data:
                    usage: Any = msgspec.json.decode(event.data)["usage"]
                    report.prompt_tokens += usage["prompt_tokens"]
        return outcome
    finally:
        response.close()


def compare_runs(first: LoadReport, second: LoadReport, seed: int) -> str:
    """Compare two runs of the same traffic: median difference of time to first token per request, with its spread.

    In the text, A is the first run and B the second, as in `yardspindle lab compare FILE A B`."""
    both = sorted(first.first_token_us.keys() & second.first_token_us.keys())
    if not both:
        return "no request was answered in both"
    differences = [(second.first_token_us[n] - first.first_token_us[n]) / 1_000 for n in both]
    rng = random.Random(seed)
    medians = sorted(statistics.median(rng.choices(differences, k=len(differences))) for _ in range(BOOTSTRAP_SAMPLES))
    low, high = medians[int(0.025 * BOOTSTRAP_SAMPLES)], medians[int(0.975 * BOOTSTRAP_SAMPLES)]
    return (
        f"first token, B - A: median {statistics.median(differences):+.2f} ms (95 % of resamples {low:+.2f} to "
        f"{high:+.2f}), {len(both)} pairs; answered only by A {len(first.first_token_us) - len(both)}, "
        f"only by B {len(second.first_token_us) - len(both)}"
    )

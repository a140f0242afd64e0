"""What the seed of a world of crossings draws: settings, hosts, requests, and events at steps of requests."""

from __future__ import annotations

import copy
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from tests.platform_standin import SETTINGS

RIGHT_AFTER_US = 1  # in the step's own microsecond, but after it
OFFSETS_US = (-20_000, -3_000, -1_000, 0, RIGHT_AFTER_US, 1_000, 20_000)  # 3 ms: a way there and a way back
MADE_BY_THE_DISPATCHER = ("read_first", "read_last", "place_last", "write_first", "write_last")
STEPS = ("client_sent", *MADE_BY_THE_DISPATCHER, "read_answer", "place_answer", "first_token", "chunk", "last_chunk")
CLIENT = ("client_fin", "client_rst", "client_flood", "client_again")
HOST = (
    "host_rst",
    "host_fin",
    "host_silent",
    "host_503",
    "host_410",
    "host_500",
    "host_cut",
    "host_second",
    "host_late",
    "host_never",
    "host_spoilt",
    "host_fin_last",
    "host_rests",
)
DISCOVERY = ("drain", "gone", "watch_silent", "watch_reset", "agent_down", "list_other", "moved")
WHOLE = ("sigterm", "idle")
EVENTS = (*CLIENT, *HOST, *DISCOVERY, *WHOLE)
WAYS = ("cut_there", "cut_back", "cut_both", "host_again")  # drawn apart: worlds without one are what they were
WAYS_PART = 0.4
WEIGHT = {"sigterm": 3, "idle": 0.5, "drain": 2, "host_second": 3, **dict.fromkeys(CLIENT, 2.0)}
UNHEARD, ENDING = {"watch_silent", "watch_reset", "agent_down", "moved"}, {"drain", "gone"}
STEADY_US = (250_000, 8_500_000)  # asks so often, for so long: what discovery had to tell counts by then
KEPT_REST, FRESH_REST = "kept", "fresh"


@dataclass(frozen=True, slots=True)
class Crossing:
    """An event at a step of a request."""

    event: str
    number: bytes
    step: str
    offset_us: int
    salt: int
    at_us: int | None = None  # known from a play without it

    @property
    def after_sent(self) -> bool:
        """A flood comes behind a whole request."""
        return self.event == "client_flood" and self.step == "client_sent"


@dataclass(frozen=True, slots=True)
class Ask:
    """A request that a client will make."""

    number: bytes
    at_us: int
    cls: str
    effect: str
    deadline_ms: int
    session: bytes
    new: bool  # on a new connection


@dataclass
class Plan:
    """All that is drawn before the world begins."""

    seed: int
    settings: dict[str, Any]
    flavors: list[str]
    conn_idle_us: int
    clients: list[list[Ask]]
    crossings: list[Crossing]
    rest: str = ""  # a client that rests until it is shut out: on a kept connection, or a new one


def draw(seed: int) -> Plan:
    rng = Random(f"crossing {seed}")
    settings = draw_settings(rng)
    flavors = ["reads"] * rng.randrange(2, 5) + ["writes"] * rng.randrange(2, 5)
    world_us = rng.randrange(1_000_000, 6_000_000)
    clients = [draw_client(rng, settings, at, world_us) for at in range(rng.randrange(2, 7))]
    asks = [ask for client in clients for ask in client]
    crossings: list[Crossing] = []
    target, step = rng.choice(asks), rng.choice(STEPS)
    for _ in range(rng.randrange(2, 5)):
        draw_of = rng.random()
        if draw_of < 0.4:  # at another step of the same request
            step = rng.choice(STEPS)
        elif draw_of < 0.6:
            target, step = rng.choice(asks), rng.choice(STEPS)
        event = rng.choices(EVENTS, [WEIGHT.get(name, 1) for name in EVENTS])[0]
        crossings.append(Crossing(event, target.number, step, rng.choice(OFFSETS_US), rng.randrange(1 << 30)))
        if event == "host_second" and rng.random() < 0.3:  # and the connection is wanted again just then
            crossings[-1] = replace(crossings[-1], step="read_last", offset_us=0)
            crossings.append(
                Crossing(
                    "client_again",
                    target.number,
                    "read_answer",
                    rng.choice((RIGHT_AFTER_US, 1_000)),
                    rng.randrange(1 << 30),
                )
            )
    crossings += ways(seed, asks, crossings)
    events = {crossing.event for crossing in crossings}
    if events & UNHEARD and events & ENDING:
        clients.append(steady(rng, settings))
    rest = ""
    if "idle" in events:
        rest = rng.choice((KEPT_REST, FRESH_REST))
    idle_us = int(settings["allowed"]["conn-idle-us"])
    return Plan(seed, settings, flavors, idle_us, clients, crossings, rest)


def ways(seed: int, asks: list[Ask], crossings: list[Crossing]) -> list[Crossing]:
    """The way to a host is cut for a while, or a host dies and comes back cold, at a step of a request that is met."""
    rng = Random(f"ways {seed}")
    if rng.random() >= WAYS_PART:
        return []
    number = rng.choice(crossings).number if rng.random() < 0.7 else rng.choice(asks).number
    return [Crossing(rng.choice(WAYS), number, rng.choice(STEPS), rng.choice(OFFSETS_US), rng.randrange(1 << 30))]


def draw_settings(rng: Random) -> dict[str, Any]:
    settings = copy.deepcopy(SETTINGS)
    for row in settings["services"]:
        give_up_us = rng.choice((400_000, 600_000, 1_000_000, 1_500_000, 2_500_000, 5_000_000))
        row.update(
            {
                "idempotency": rng.choice(("free", "guarded", "single_shot", "single_shot")),
                "give-up-us": give_up_us,
                "goal-time-us": give_up_us // rng.choice((2, 4)),
            }
        )
    settings["family-info"].update(
        {
            "holds-allowed": rng.random() < 0.7,
            "resume": rng.random() < 0.5,
            "let-go-by-us": rng.randrange(300_000, 600_001, 50_000),
        }
    )
    settings["obligations"]["drain-grace-us"] = rng.randrange(250_000, 500_001, 50_000)
    settings["allowed"].update(
        {"most-tries": rng.randrange(2, 7), "conn-idle-us": rng.choice((2_000_000, 5_000_000, 15_000_000))}
    )
    return settings


def steady(rng: Random, settings: dict[str, Any]) -> list[Ask]:
    """A client that asks again and again, also after what was not heard counts as told."""
    row = rng.choice(settings["services"])
    return [
        Ask(b"t.%d" % turn, at_us, row["name"], row["idempotency"], int(row["give-up-us"]) // 1_000, b"t", False)
        for turn, at_us in enumerate(range(20_000, STEADY_US[1], STEADY_US[0]))
    ]


def draw_client(rng: Random, settings: dict[str, Any], at: int, world_us: int) -> list[Ask]:
    session = b"s%d" % rng.randrange(3)
    asks = []
    for turn, at_us in enumerate(sorted(rng.randrange(10_000, world_us) for _ in range(rng.randrange(1, 4)))):
        row = rng.choice(settings["services"])
        longest_ms = int(row["give-up-us"]) // 1_000
        deadline_ms = longest_ms if rng.random() < 0.7 else max(400, rng.randrange(longest_ms // 2, longest_ms + 1))
        asks.append(
            Ask(
                b"c%d.%d" % (at, turn), at_us, row["name"], row["idempotency"], deadline_ms, session, rng.random() < 0.3
            )
        )
    return asks

"""Draws a crossing world from its seed: settings, hosts, requests, and events at steps of requests."""

from __future__ import annotations

import copy
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from tests.platform_standin import SETTINGS

RIGHT_AFTER_US = 1  # a marker, not a delay: the event comes right after the step, at the same time
OFFSETS_US = (-20_000, -3_000, -1_000, 0, RIGHT_AFTER_US, 1_000, 20_000)  # 3 ms: about one round trip
DISPATCHER_STEPS = ("read_first", "read_last", "place_last", "write_first", "write_last")
STEPS = ("client_sent", *DISPATCHER_STEPS, "read_answer", "place_answer", "first_token", "chunk", "last_chunk")
# The client closes its connection with FIN or RST, sends many more requests behind the request, or closes and sends the
# request again under another id.
CLIENT_EVENTS = ("client_fin", "client_rst", "client_flood", "client_again")
HOST_EVENTS = (  # rst, fin: it ends the connection of the request's attempt
    "host_rst",
    "host_fin",
    "host_silent",  # it does not answer, or stops within a stream
    "host_503",  # it answers with this status; likewise 410 and 500
    "host_410",
    "host_500",
    "host_cut",  # it ends the connection inside an answer
    "host_second",  # it answers the request a second time
    "host_late",  # new connections hang for less than 1 s
    "host_never",  # they hang for longer than the program waits for a connection
    "host_spoilt",  # it sends an invalid chunk within a stream
    "host_fin_last",  # it closes the connection right after the last chunk of a stream
    "host_rests",  # it closes its idle connections
)
# A host drains or is gone; the open watches (long polls) become silent or are reset; the agent does not answer; it
# sends an outdated list, or its revision jumps; the configuration names another agent.
DISCOVERY_EVENTS = ("drain", "gone", "watch_silent", "watch_reset", "agent_down", "list_other", "moved")
# The dispatcher gets SIGTERM; an additional client stays idle until its connection is closed, see Plan.idle_client.
PROCESS_EVENTS = ("sigterm", "idle")
EVENTS = (*CLIENT_EVENTS, *HOST_EVENTS, *DISCOVERY_EVENTS, *PROCESS_EVENTS)
# Messages to a host, from it, or both are delayed; a host restarts. Drawn from a random generator of their own, so that
# all other draws of a seed stay the same.
NETWORK_EVENTS = ("cut_there", "cut_back", "cut_both", "host_again")
NETWORK_EVENT_SHARE = 0.4
WEIGHTS = {"sigterm": 3, "idle": 0.5, "drain": 2, "host_second": 3, **dict.fromkeys(CLIENT_EVENTS, 2.0)}
DISCOVERY_OUTAGES, HOST_REMOVALS = {"watch_silent", "watch_reset", "agent_down", "moved"}, {"drain", "gone"}
STEADY_INTERVAL_US = 250_000  # between two requests of the steady client
STEADY_END_US = 8_500_000  # by then the dispatcher must know of all drains that discovery outages delayed
IDLE_USED, IDLE_UNUSED = "kept", "fresh"  # the idle client's connection carried a request before, or did not


@dataclass(frozen=True, slots=True)
class Crossing:
    """An event that strikes at a step of a request, or a little before or after it; `salt` seeds its own choices.

    A host answers steps of the dispatcher (DISPATCHER_STEPS): such a step is seen once its bytes have arrived.
    """

    event: str
    request_id: bytes
    step: str
    offset_us: int
    salt: int
    at_us: int | None = None  # when the event strikes, instead of at a step; see crossing_worlds.run_seed

    @property
    def after_sent(self) -> bool:
        """Whether the event follows its step despite a negative offset: a flood follows a complete request."""
        return self.event == "client_flood" and self.step == "client_sent"


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request that a client is to send."""

    id: bytes
    at_us: int
    service: str  # name of its request class, sent as req-kind
    idempotency: str  # free: may run repeatedly; guarded: only under a key; single_shot: at most once
    deadline_ms: int
    session: bytes
    new_connection: bool  # whether on a new connection


@dataclass
class Plan:
    """All that is drawn before the world starts."""

    seed: int
    settings: dict[str, Any]
    roles: list[str]  # of the hosts, by their outer names: "reads" or "writes"
    conn_idle_us: int  # after this time hosts close an idle connection
    clients: list[list[PlannedRequest]]
    crossings: list[Crossing]
    idle_client: str = ""  # a client that idles until its connection is closed: IDLE_USED, IDLE_UNUSED or none


def draw(seed: int) -> Plan:
    """The plan of a seed's world: two to four events, most of them at steps of one request."""
    rng = Random(f"crossing {seed}")
    settings = draw_settings(rng)
    roles = ["reads"] * rng.randrange(2, 5) + ["writes"] * rng.randrange(2, 5)
    world_us = rng.randrange(1_000_000, 6_000_000)
    clients = [draw_client(rng, settings, at, world_us) for at in range(rng.randrange(2, 7))]
    requests = [request for client in clients for request in client]
    crossings: list[Crossing] = []
    target, step = rng.choice(requests), rng.choice(STEPS)
    for _ in range(rng.randrange(2, 5)):
        choice = rng.random()
        if choice < 0.4:  # at another step of the same request
            step = rng.choice(STEPS)
        elif choice < 0.6:
            target, step = rng.choice(requests), rng.choice(STEPS)
        event = rng.choices(EVENTS, [WEIGHTS.get(name, 1) for name in EVENTS])[0]
        crossings.append(Crossing(event, target.id, step, rng.choice(OFFSETS_US), rng.randrange(1 << 30)))
        if event == "host_second" and rng.random() < 0.3:  # and the connection is reused at that moment
            crossings[-1] = replace(crossings[-1], step="read_last", offset_us=0)
            crossings.append(
                Crossing(
                    "client_again",
                    target.id,
                    "read_answer",
                    rng.choice((RIGHT_AFTER_US, 1_000)),
                    rng.randrange(1 << 30),
                )
            )
    crossings += draw_network_events(seed, requests, crossings)
    events = {crossing.event for crossing in crossings}
    if events & DISCOVERY_OUTAGES and events & HOST_REMOVALS:
        clients.append(draw_steady_client(rng, settings))
    rest = ""
    if "idle" in events:
        rest = rng.choice((IDLE_USED, IDLE_UNUSED))
    idle_us = int(settings["allowed"]["conn-idle-us"])
    return Plan(seed, settings, roles, idle_us, clients, crossings, rest)


def draw_network_events(seed: int, requests: list[PlannedRequest], crossings: list[Crossing]) -> list[Crossing]:
    """For a share of the seeds, draws one cut of the path to a host, or restart of a host, at a step of a request."""
    rng = Random(f"ways {seed}")
    if rng.random() >= NETWORK_EVENT_SHARE:
        return []
    request_id = rng.choice(crossings).request_id if rng.random() < 0.7 else rng.choice(requests).id
    return [
        Crossing(
            rng.choice(NETWORK_EVENTS), request_id, rng.choice(STEPS), rng.choice(OFFSETS_US), rng.randrange(1 << 30)
        )
    ]


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


def draw_steady_client(rng: Random, settings: dict[str, Any]) -> list[PlannedRequest]:
    """A client that sends requests until the dispatcher must know of all drains, to show whether it heeds them."""
    row = rng.choice(settings["services"])
    return [
        PlannedRequest(
            b"t.%d" % turn, at_us, row["name"], row["idempotency"], int(row["give-up-us"]) // 1_000, b"t", False
        )
        for turn, at_us in enumerate(range(20_000, STEADY_END_US, STEADY_INTERVAL_US))
    ]


def draw_client(rng: Random, settings: dict[str, Any], at: int, world_us: int) -> list[PlannedRequest]:
    session = b"s%d" % rng.randrange(3)
    requests = []
    for turn, at_us in enumerate(sorted(rng.randrange(10_000, world_us) for _ in range(rng.randrange(1, 4)))):
        row = rng.choice(settings["services"])
        longest_ms = int(row["give-up-us"]) // 1_000
        deadline_ms = longest_ms if rng.random() < 0.7 else max(400, rng.randrange(longest_ms // 2, longest_ms + 1))
        requests.append(
            PlannedRequest(
                b"c%d.%d" % (at, turn), at_us, row["name"], row["idempotency"], deadline_ms, session, rng.random() < 0.3
            )
        )
    return requests

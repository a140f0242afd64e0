"""The state of one router's decisions: settings, servers, open requests. Types: yardspindle/interface.py."""

from __future__ import annotations

import random
from collections import Counter, deque
from dataclasses import dataclass, field

from yardspindle import interface as i

SWEEP_US = 20_000  # how often waiting requests and silent servers are looked at; far under any release time
TRIAL_US = 250_000  # a suspect's first pause; doubled for each further failure, as its cause may last
LATE_AIM_PART = 0.4  # part of the aim that others' reads may take before ours; past it at all, it waits
KEY_SPAN_US = 30_000_000  # how long a key is counted: a few seconds show a router little
KEYS_MOST = 10_000  # keys counted and ordered: memory has to end somewhere
LONG_AGO_US = -(1 << 60)  # before any time of the clock


@dataclass(slots=True, eq=False)
class Server:
    """What this router knows of a server, from the list and from its own attempts."""

    entry: i.Entry
    role: i.Role
    memory: float
    started_us: int  # when it last started, as listed or as its answer after failed connections shows
    inactive: bool = False
    gone_us: int = 0  # since when
    out: dict[tuple[int, int], int] = field(default_factory=dict)  # attempts without an answer yet: sent when
    pending_tokens: float = 0.0  # own prompt tokens waiting at the reader
    streams: int = 0  # own answers and places at the writer
    failures: int = 0  # failed connections since it last answered
    failed_us: int = 0  # when the first of them was seen
    refused: int = 0  # those of them that were never made
    ejected_until_us: int = 0
    full: dict[str | None, tuple[int, int]] = field(default_factory=dict)  # by tenant: shut until, times full
    kept: dict[str, float] = field(default_factory=dict)  # texts it has read for us: tokens
    late_us: float = 0.0  # how long a read there last took beyond its own reading, seen when
    late_at: int = 0
    answered_us: int = LONG_AGO_US  # when the latest sent attempt that it has answered was sent
    lot: float = 0.0  # from 0 to 1, drawn: over which part of a request this router may send it one
    other_sends: deque[int] = field(default_factory=deque)  # when requests of other homes went there


@dataclass(slots=True)
class Open:
    """The one state of a request."""

    ask: i.Request
    cls: i.RequestClass
    aim_us: float
    key: str  # by which its reader is chosen
    draw: float  # from 0 to 1, over the surge of the moment: which part of the requests it belongs to
    new: float = 1.0  # tokens that its reader must read, by what it has read for us before
    backlog: float = 0.0  # our tokens at the reader when it was sent there
    waits_us: int = 0  # since when it waits
    attempts: int = 0
    out: dict[int, Server] = field(default_factory=dict)
    reader: Server | None = None  # holds the state, or is reading it
    place: Server | None = None  # writer where a place is asked or held
    pinned_us: int = 0  # since when a state or place is held with no attempt out; 0 when none
    ran: bool = False  # an attempt at a writer may have run
    avoid: set[int] = field(default_factory=set)
    unreached: set[str] = field(default_factory=set)  # zones in which a reader could not be connected to
    given_up: set[int] = field(default_factory=set)  # attempts called off; their outcomes are still to come
    home_reader: Server | None = None  # that it would have if all that are listed served
    home_writer: Server | None = None  # as well
    cold_tried: set[int] = field(default_factory=set)  # cold servers that it was sent to
    asked: set[int] = field(default_factory=set)  # writers that had no place for it


class State:
    """What all decisions rest on, and the actions of the event at hand."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        """Start with nothing but the settings."""
        self.settings, self.now_us, self.random = settings, 0, random.Random(seed)
        self.lots = random.Random(f"lots {seed}")  # of servers: apart from what requests draw
        self.kinds = {kind.name: kind for kind in settings.kinds}
        self.classes = {cls.name: cls for cls in settings.classes}
        self.servers: dict[int, Server] = {}
        self.open_requests: dict[int, Open] = {}
        self.orders: dict[str, list[Server]] = {}  # readers in a key's order; void when the list changes
        self.pull: dict[int, float] = {}  # how readily a cell's readers draw keys
        self.spare: list[float] = []  # what part of the writing each cell has to spare
        self.cells: dict[int, tuple[float, float]] = {}  # a cell's part of the reads and of the writing
        self.links: dict[int, tuple[float, int]] = {}  # how long a state last took out of a cell, seen when
        self.key_counts: dict[str, float] = {}  # requests of a key; in all; since when
        self.key_count_total, self.keys_us = 0.0, 0
        self.usual = 0.0  # running mean time of a read
        self.max_read_rate = 0.0  # tokens a microsecond that a reader read when nothing was in its way
        self.mean_service_us = 0.0  # running mean time of a read with nothing in its way
        self.read_tokens = 0.0  # running mean of our tokens ahead of a read and its own
        self.min_aim_us = min(cls.aim_us for cls in settings.classes)
        self.log_us = 0
        self.lossy_us = LONG_AGO_US  # when a break last said nothing of its server, or a request got lost
        self.last_place_refused_us = LONG_AGO_US  # when a writer last had no place for us
        self.held = 0.0  # own tokens that take up writers' memory
        self.arrivals: deque[int] = deque()  # of requests in the last `fall_us`
        self.listed: Counter[i.Role] = Counter()  # how many servers of a role are listed and serve
        self.listed_us = LONG_AGO_US  # when the latest list in force was taken
        self.usual_seen, self.usual_span_us = 0.0, 0.0  # requests that came, and in what time; both fade
        self.usual_at_us: int | None = None  # when they last did
        self.slow_start_sent = 0  # attempts that were sent to cold servers
        self.slow_start_withheld = 0  # times that a request was kept away from a cold server
        self.sweep_set = False
        self.acts: list[i.Action] = []

"""State of one router's policy: settings, servers, open requests. Types: yardspindle/interface.py.

Readers are servers that run the prefill stage (a read), writers those that run the decode stage (a write). A
state of a request is the KV cache that a read leaves until the writer has fetched it; a place is memory
reserved at a writer. An attempt is one send of a request's stage to one server; a cell is a group of servers
within which states move fast.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from dataclasses import dataclass, field

from yardspindle import interface as i

# How often waiting requests and unanswered attempts are checked; far under any release time.
SWEEP_INTERVAL_US = 20_000
# First ejection time of a failed server; doubled for each further failure, as its cause may last.
BASE_EJECTION_US = 250_000
# Fraction of the latency target (aim) for which a request may be delayed by other work at a server. A server
# with a longer expected delay is passed over, and the request waits if all are.
MAX_DELAY_AIM_FRACTION = 0.4
# Window for counting requests by key: one router sees too little traffic in a few seconds.
KEY_WINDOW_US = 30_000_000
LOSS_WINDOW_US = 30_000_000  # how long after a lost attempt late readers are sent trial requests
REMOVED_SERVER_RETENTION_US = 30_000_000  # how long removed servers are remembered
# Bounds on what is kept by names that clients choose, to limit memory.
MAX_KEYS = 10_000  # counted keys, and cached texts at all servers together
MIN_KEYS_PER_SERVER = 100  # cached texts at each server, however many servers there are
MAX_ORDER_ENTRIES = 100_000  # servers in all cached orders of readers
MAX_TENANTS = 256  # tenants for which a server is paused
LONG_AGO_US = -(1 << 60)  # before any clock reading


@dataclass(slots=True, eq=False)
class Server:
    """What this router knows of one server, from the server list and from its own attempts."""

    entry: i.Entry
    role: i.Role
    memory_tokens: float
    started_us: int  # last start: from the list, or inferred from an answer after failed connections
    inactive: bool = False  # draining or removed
    inactive_since_us: int = 0
    # Send times of this router's attempts that have not been answered yet, by (request, attempt).
    in_flight: dict[tuple[int, int], int] = field(default_factory=dict)
    pending_tokens: float = 0.0  # prompt tokens from this router that wait at the reader
    streams: int = 0  # answers and places of this router at the writer
    failures: int = 0  # failed connections since the server last answered
    first_failure_us: int = 0  # when the first of these failures was seen
    connect_failures: int = 0  # those failures where no connection was established
    ejected_until_us: int = 0
    # By tenant (customer): until when the server gets none of its requests, and how many times in a row it
    # was full.
    full_by_tenant: dict[str | None, tuple[int, int]] = field(default_factory=dict)
    # Tokens of each prefix or session that the server has read for this router.
    cached_tokens: dict[str, float] = field(default_factory=dict)
    # Expected delay of a read beyond its own service time, raised for an overloaded reader
    # (`_avoidance_time`); it counts down from `delay_seen_us`, when it was observed.
    delay_us: float = 0.0
    delay_seen_us: int = 0
    last_answered_send_us: int = LONG_AGO_US  # send time of the latest attempt that was answered
    # Random number from 0 to 1 by which this router's fractional allowance of non-home requests (those that
    # would go elsewhere if every listed server could serve, `slow_start.py`) is rounded up or down.
    share_draw: float = 0.0
    non_home_sends: deque[int] = field(default_factory=deque)  # send times of requests with another home


@dataclass(slots=True)
class OpenRequest:
    """State of one request from its arrival to its final answer."""

    arrival: i.Request
    cls: i.RequestClass
    aim_us: float  # latency target
    key: str  # routing key by which the reader is chosen
    # Random number from 0 to 1 times the surge (`_surge`, at least 1) when the request arrived: a cold
    # (recently started) server admits only requests whose number is below a fraction that it has regained.
    admission_draw: float
    uncached_tokens: float = 1.0  # tokens that the reader must read beyond those it has cached
    backlog_tokens: float = 0.0  # the reader's pending_tokens just after it was sent there
    waiting_since_us: int = 0  # 0 while the request has not had to wait
    attempts: int = 0
    in_flight: dict[int, Server] = field(default_factory=dict)  # by attempt
    reader: Server | None = None  # holds the state, or is reading the prompt
    place_writer: Server | None = None  # writer at which a place is requested or held
    held_since_us: int = 0  # since when a state or place is held with no attempt in flight; 0 if none is
    may_have_run: bool = False  # an attempt at a writer may have run
    excluded_servers: set[int] = field(default_factory=set)
    unreachable_zones: set[str] = field(default_factory=set)  # zones where connecting to a reader failed
    cancelled_attempts: set[int] = field(default_factory=set)  # their outcomes have not arrived yet
    # Home servers: those that the request would get if every listed server could serve.
    home_reader: Server | None = None
    home_writer: Server | None = None
    cold_servers_tried: set[int] = field(default_factory=set)
    full_writers: set[int] = field(default_factory=set)  # writers that refused a place for it


class PolicyState:
    """Everything that the policy's decisions depend on, and the actions for the current event."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        """Start without servers and requests; equal seeds and events give equal decisions."""
        self.settings, self.now_us, self.random = settings, 0, random.Random(seed)
        # A separate generator for servers, so that their draws and those of requests don't affect each other.
        # Its seed's text must stay: another one would change every draw, and with it each recorded run.
        self.server_random = random.Random(f"lots {seed}")
        self.kinds = {kind.name: kind for kind in settings.kinds}
        self.classes = {cls.name: cls for cls in settings.classes}
        self.servers: dict[int, Server] = {}
        self.open_requests: dict[int, OpenRequest] = {}
        # Cached order of readers by key; cleared when the list changes.
        self.reader_orders: dict[str, list[Server]] = {}
        self.cell_weights: dict[int, float] = {}  # hash weight of a cell's readers, per unit of capacity
        # Fraction of all writes that each cell has to spare, in the order of `cell_shares`.
        self.spare_write_capacity: list[float] = []
        self.cell_shares: dict[int, tuple[float, float]] = {}  # each cell's share of the reads and the writes
        # Delay of the last state that was moved out of each cell, and when it was observed.
        self.cell_delays: dict[int, tuple[float, int]] = {}
        self.key_counts: dict[str, float] = {}  # requests by key, decayed
        self.key_count_total, self.keys_aged_us = 0.0, 0  # sum of key_counts; when they were last decayed
        self.mean_read_us = 0.0  # running mean duration of a read
        self.max_read_rate = 0.0  # highest read rate seen, in tokens per microsecond: without queueing
        self.mean_service_us = 0.0  # running mean duration of a read without queueing
        self.mean_backlog_tokens = 0.0  # running mean of OpenRequest.backlog_tokens
        self.min_aim_us = min(cls.aim_us for cls in settings.classes)
        self.next_log_us = 0  # earliest time of the next log line on requests that the policy gave up
        # When an attempt was last lost, or a connection last broke in a way that says nothing of its server.
        self.last_loss_us = LONG_AGO_US
        self.last_place_refused_us = LONG_AGO_US  # when a writer last refused a place to this router
        self.held_tokens = 0.0  # tokens of this router's requests in writers' memory
        self.recent_arrivals: deque[int] = deque()  # arrival times in the last `fall_us`
        self.serving_by_role: Counter[i.Role] = Counter()  # number of serving servers by role
        self.last_list_us = LONG_AGO_US  # when the latest server list that is not stale was received
        # Arrivals and the time over which they were counted, with the same exponential decay.
        self.decayed_arrivals, self.decayed_span_us = 0.0, 0.0
        self.decayed_at_us: int | None = None  # when the decay was last applied
        self.slow_start_sent = 0  # attempts sent to cold servers
        self.slow_start_withheld = 0  # times that a cold server was not admitted for a request
        self.sweep_pending = False  # the sweep timer is set
        self.actions: list[i.Action] = []

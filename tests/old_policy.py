"""The decisions of one router. Settings, events and actions: yardspindle/interface.py."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field, replace
from hashlib import blake2b

from yardspindle import interface as i

SWEEP_US = 20_000  # how often waiting requests and silent servers are looked at; far under any release time
TRIAL_US = 250_000  # a suspect's first pause; doubled for each further failure, as its cause may last
BUSY_US = 100_000  # a writer that was full gets none of the tenant's work for about the time of a few tokens
FULL_TIMES = 20  # or so many times what it took to say so, and longer each time: to ask must cost little
AIM_PART_READER = 0.25  # part of the aim our tokens may wait at a reader; past it at all, none
SPILL = 1  # readers past those of its spread that a key may be read at
PLACES_MOST = 4  # writers asked for a place with one read; each asking costs what a probe costs
LATE_AIM_PART = 0.4  # part of the aim that others' reads may take before ours; past it at all, it waits
WAIT_AIM_PART = 0.2  # part of the aim that may be spent waiting before the read; the rest is for the work
COLD_PART = 0.8  # of the requests that a cold server is sent for what it can do: room for chance and repeats
PULL_MOST = 1.1  # a reader in a cell with many writers gets at most so many times its even part of the keys
SPARE_TIMES = 2.0  # our part of the writers' memory that we may use while no place is refused
MEMORY_PART = 0.9  # part of a writer's memory that counts as room; answers grow after they start
SPREAD_TIMES = 1.5  # one key may bring a reader so many times its even part of all requests
OWN_ZONE_TIMES = 4.0  # how many times as readily a reader of our zone draws keys: four in five of two zones
KEY_SPAN_US = 30_000_000  # how long a key is counted: a few seconds show a router little
PULL_ROUNDS = 8  # in which the parts of the cells come to add up to one
KEYS_MOST = 10_000  # keys counted and ordered: memory has to end somewhere
SMOOTH = 0.1  # weight of a new observation in every running mean
LOG_US = 5_000_000  # at most one line on requests given up in so long
SHORT_AIMS = 4.0  # so many aims after a refused place writers count as full: a router hears of few
LONG_AGO_US = -(1 << 60)  # before any time of the clock
SWEEP_TOKEN = 1 << 40  # timer token of the sweep; request ids are under 2^32


@dataclass(slots=True)
class Server:
    """What this router knows of a server, from the list and from its own attempts."""

    entry: i.Entry
    role: i.Role
    memory: float
    since_us: int  # when it last started, as listed or as its answer after failed connections shows
    gone: bool = False
    gone_us: int = 0  # since when
    out: dict[tuple[int, int], int] = field(default_factory=dict)  # attempts without an answer yet: sent when
    tokens: float = 0.0  # own prompt tokens waiting at the reader
    streams: int = 0  # own answers and places at the writer
    strikes: int = 0  # failed connections since it last answered
    struck_us: int = 0  # when the first of them was seen
    refused: int = 0  # those of them that were never made
    shut_until: int = 0
    full: dict[str | None, tuple[int, int]] = field(default_factory=dict)  # by tenant: shut until, times full
    kept: dict[str, float] = field(default_factory=dict)  # texts it has read for us: tokens
    late_us: float = 0.0  # how long a read there last took beyond its own reading, seen when
    late_at: int = 0
    answered_us: int = LONG_AGO_US  # when the latest sent attempt that it has answered was sent


@dataclass(slots=True)
class Open:
    """The one state of a request."""

    ask: i.Request
    cls: i.RequestClass
    aim_us: float
    key: str  # by which its reader is chosen
    draw: float  # from 0 to 1: which part of the requests it belongs to
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
    asked: set[int] = field(default_factory=set)  # writers that had no place for it


class Policy:
    """Decides for one router: `handle` takes an event and gives back actions."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        """Start with nothing but the settings."""
        self.set, self.now, self.random = settings, 0, random.Random(seed)
        self.kinds = {kind.name: kind for kind in settings.kinds}
        self.classes = {cls.name: cls for cls in settings.classes}
        self.servers: dict[int, Server] = {}
        self.open: dict[int, Open] = {}
        self.orders: dict[str, list[Server]] = {}  # readers in a key's order; void when the list changes
        self.pull: dict[int, float] = {}  # how readily a cell's readers draw keys
        self.spare: list[float] = []  # what part of the writing each cell has to spare
        self.cells: dict[int, tuple[float, float]] = {}  # a cell's part of the reads and of the writing
        self.links: dict[int, tuple[float, int]] = {}  # how long a state last took out of a cell, seen when
        self.keys: dict[str, float] = {}  # requests of a key; in all; since when
        self.keys_sum, self.keys_us = 0.0, 0
        self.usual = 0.0  # running mean time of a read
        self.best_rate = 0.0  # tokens a microsecond that a reader read when nothing was in its way
        self.own_us = 0.0  # running mean time of a read with nothing in its way
        self.read_tokens = 0.0  # running mean of our tokens ahead of a read and its own
        self.least_aim = min(cls.aim_us for cls in settings.classes)
        self.log_us = 0
        self.refused_us = LONG_AGO_US  # when a writer last had no place for us
        self.held = 0.0  # own tokens that take up writers' memory
        self.sweep_set = False
        self.acts: list[i.Action] = []

    def handle(self, now_us: int, event: i.Event) -> list[i.Action]:
        """Decide on one event."""
        self.now, self.acts = now_us, []
        match event:
            case i.Members():
                self._members(event)
            case i.Request():
                self._arrive(event)
            case i.Outcome():
                self._outcome(event)
            case i.First() | i.Note() | i.Hangup() if event.request in self.open:
                self._heard(self.open[event.request], event)
            case i.Timer():
                self._sweep()
        if not self.sweep_set and self.open:
            self.sweep_set = True
            self.acts.append(i.SetTimer(now_us + SWEEP_US, SWEEP_TOKEN))
        return self.acts

    # --- membership and health

    def _members(self, event: i.Members) -> None:
        if not self.set.list_pushed and event.list_kind in (i.ListKind.STALE, i.ListKind.FAILED):
            self.acts.append(i.Watch(True))  # at the start, and again when the subscription is lost
        self.orders.clear()
        named = {entry.server for entry in event.entries}
        for entry, kind in ((e, self.kinds[e.kind]) for e in event.entries if e.kind in self.kinds):
            known = self.servers.setdefault(
                entry.server, Server(entry, kind.role, kind.memory_tokens, entry.up_since_us or LONG_AGO_US))
            if entry.up_since_us > known.entry.up_since_us:  # restarted: what we held against it is void
                known.strikes, known.shut_until, known.since_us = 0, 0, entry.up_since_us
                known.refused = 0
                known.full.clear()
                known.kept.clear()
            known.entry = entry if entry.units > 0 else replace(entry, units=1e-9)
            known.gone, known.gone_us = entry.state is not i.State.SERVING, self.now
        if event.list_kind in (i.ListKind.COMPLETE, i.ListKind.STALE):
            for server in [s for n, s in self.servers.items() if n not in named and not s.gone]:
                server.gone, server.gone_us = True, self.now
        # Where servers are replaced by new ones all day, what is known of the old must not pile up.
        self.servers = {n: s for n, s in self.servers.items() if not s.gone or s.out or s.streams
                        or n in named or self.now - s.gone_us < KEY_SPAN_US}
        self._weigh([s for s in self.servers.values() if not s.gone])

    def _weigh(self, serving: list[Server]) -> None:  # a cell's part of the reads follows its writers
        units = {s.entry.cell: [0.0, 0.0] for s in serving}
        for s in serving:
            for at, other in enumerate((i.Role.WRITE, i.Role.READ)):
                units[s.entry.cell][at] += s.entry.units * (s.role is not other)
        total = [max(sum(column), 1e-9) for column in zip(*units.values(), strict=True)]
        parts = {c: (max(r, 1e-9) / total[0], w / total[1]) for c, (r, w) in units.items()}
        scale = 1.0
        for _ in range(PULL_ROUNDS):
            self.pull = {c: min(scale * w / r, PULL_MOST) for c, (r, w) in parts.items()}
            even = sum(r * self.pull[c] for c, (r, _) in parts.items())
            scale /= max(even, 1e-9)
        # Cells with writers may be too few to read for all: the others read the rest, else a few readers
        # jam while the many in cells that have no writers, or have lost them, idle. Costs moves out of cells.
        rest = max(1 - even, 0.0) / max(PULL_MOST - even, 1e-9)
        self.pull = {c: pull + rest * (PULL_MOST - pull) for c, pull in self.pull.items()}
        self.cells = {c: (r * self.pull[c], w) for c, (r, w) in parts.items()}
        self.spare = [max(w - r, 0.0) for r, w in self.cells.values()]

    def _strike(self, server: Server, why: str) -> None:  # pause it, then let single trials through
        server.strikes += 1
        server.refused += why == i.Status.CONNECT_FAILED.value
        if server.strikes == 1:
            server.struck_us = self.now
            self.acts.append(i.Log(f"set aside {server.entry.server}: {why}"))
        server.shut_until = self.now + TRIAL_US * (1 << min(server.strikes - 1, 3))

    def _alive(self, server: Server, r: Open, sent: int | None) -> None:  # lives, and takes the tenant's work
        # It was down, so it restarted, and the list, seconds late, has not told yet. Connections that broke
        # on the way are no restart: taken for one, a few resets had most of a warm fleet count as cold.
        if server.refused and (sent or self.now) >= server.struck_us:
            server.since_us = self.now
        server.strikes = server.refused = 0
        server.answered_us = max(server.answered_us, sent or LONG_AGO_US)
        server.full.pop(r.ask.tenant, None)

    def _warmth(self, server: Server) -> float:
        """What part of its capacity a server has surely regained; its ramp is not told: take a line."""
        age = 0 if server.refused else self.now - server.since_us  # refused: it may be back, freshly started
        start = self.set.start_capacity
        return start + (1 - start) * min(max(age, 0) / max(self.set.cold_us, 1), 1.0)

    def _fit(self, usable: list[Server], known: int, r: Open) -> list[Server]:
        """Leave out what is cold, but for the part of the requests that it can do."""
        part = COLD_PART * len(usable) / max(known, 1)
        return [s for s in usable if (warmth := self._warmth(s)) >= 1 or r.draw < part * warmth]

    def _usable(self, server: Server, r: Open) -> bool:  # not shut (for the tenant), no trial out
        shut = max(server.shut_until, server.full.get(r.ask.tenant, (0, 0))[0])
        return (not server.gone and self.now >= shut
                and not (server.strikes and server.out and self.now - max(server.out.values()) < TRIAL_US)
                and server.entry.server not in r.avoid)

    # --- reader choice

    def _late(self, server: Server) -> float:  # what a read waits there, by what we saw
        # Where many routers fill a reader, reads came late, were repeated, and the jam outlived its cause.
        late = max(server.late_us - (self.now - server.late_at),
                   0.0 if self.cells.get(server.entry.cell, (0.0, 0.0))[1] else self._slow(server.entry.cell))
        out = [(number, sent) for (number, _), sent in server.out.items() if sent >= server.answered_us]
        # The oldest that is out may be later still. One request lost on its way looks like a reader that
        # jams, as long as nothing else is sent there: so trials go, each after twice the time of the last.
        if out and self.now - out[-1][1] < max(TRIAL_US, (self.now - out[0][1]) / 2):
            late = max(late, self.now - out[0][1] - self._own(self.open[out[0][0]]))
        return late

    def _own(self, r: Open) -> float:  # the time that its read takes with nothing in its way
        return r.new / max(self.best_rate, 1e-9)

    def _lost(self, r: Open) -> bool:
        """Whether its attempt got lost on its way: others that were sent after it have been answered."""
        # Machines between a router and its servers swallow requests without a word: waited for to the end,
        # each is lost. A server that hangs or jams answers none that came later, and is not meant here.
        seq, server = next(iter(r.out.items()))
        sent = server.out[(r.ask.request, seq)]
        may = server.role is i.Role.READ or r.cls.effect is i.Effect.SAFE
        return self.set.cancel and may and server.answered_us > sent

    def _overdue(self, r: Open) -> bool:  # its attempt, without an answer yet
        sent = [s.out.get((r.ask.request, seq), self.now) for seq, s in r.out.items()]
        return bool(sent) and self.now - sent[0] > LATE_AIM_PART * r.aim_us + 2 * self._own(r)

    def _longer(self, late_us: float) -> float:  # for how long to keep off what was late, or did not answer
        # When many routers each try a jammed reader or link again once its lateness is worked off, they feed
        # the jam for good: its queue is work whose clients left. A read of each other longer lets it clear.
        over = min(max(late_us / self.least_aim - LATE_AIM_PART, 0.0), 1.0)
        return late_us + over * (self.set.instances - 1) * self.own_us

    def _slow(self, cell: int) -> float:  # what a state waits on its way out of a cell, by what we saw
        # A slowed or crowded link, or full writers elsewhere: what is read there is written too late.
        took, at = self.links.get(cell, (0.0, self.now))
        return took - (self.now - at)

    def _moved(self, r: Open, server: Server, sent: int | None, first: bool) -> None:
        if sent is not None and r.reader is not None and (cell := r.reader.entry.cell) != server.entry.cell:
            took = self._longer(self.now - sent)
            self.links[cell] = (took if first else max(took, self._slow(cell))), self.now

    def _order(self, key: str) -> list[Server]:  # the same at every router; kept, as ranking a fleet is dear
        if key not in self.orders:
            readers = (s for s in self.servers.values() if s.role is not i.Role.WRITE and not s.gone)
            self.orders[key] = sorted(readers, key=lambda s: self._rank(key, s))
        return self.orders[key]

    def _rank(self, key: str, server: Server) -> float:  # weighted rendezvous hash
        digest = blake2b(f"{key} {server.entry.server}".encode(), digest_size=6).digest()
        weight = server.entry.units * max(self.pull[server.entry.cell], 1e-9)
        # Where attempts across zones cost: else in two zones half of all do. No more than a weight, as
        # zones differ in load: with 20 the readers of a busy zone jammed in a burst while others idled.
        if self.set.cross_zone_price and server.entry.zone == self.set.zone:
            weight *= OWN_ZONE_TIMES
        return -math.log((int.from_bytes(digest) + 1) / (1 << 48)) / weight

    def _width(self, key: str) -> int:
        """On how many readers a key is spread: as many as its part of the requests needs."""
        # One reader for a text that most sessions share jams though the others are idle, and a router
        # among many sees too little of it to know: the part of the requests is the same at any number.
        # The request at hand says nothing of the others: counted, it made any key of a router that sees few
        # a tenth of all, and the fleet read each text, and each turn of a session, at another reader.
        part = max(self.keys.get(key, 0.0) - 1, 0.0) / max(self.keys_sum, 1.0)
        return max(1, math.ceil(part * len(self._order(key)) / SPREAD_TIMES))

    def _count_key(self, key: str) -> None:  # its requests, halved as they age
        if self.now - self.keys_us > KEY_SPAN_US / 2 or len(self.keys) > KEYS_MOST:
            self.keys = {k: n / 2 for k, n in self.keys.items() if n > 0.25 and len(self.keys) <= KEYS_MOST}
            self.orders.clear()
            self.keys_sum, self.keys_us = sum(self.keys.values()), self.now
        self.keys[key] = self.keys.get(key, 0.0) + 1
        self.keys_sum += 1

    def _reader(self, r: Open) -> Server | None:
        """The first reader in the key's order that is not late and that our tokens leave under the bound."""
        order, wide = self._order(r.key), self._width(r.key)
        if wide > 1:  # a session keeps to its reader among them, where its earlier turns are kept
            order = sorted(order[:wide], key=lambda s: self._rank(r.ask.session or "", s)) + order[wide:]
        # Zones are lost whole, and each router finds out host by host: six refusals in as many milliseconds
        # used up a request's attempts in a zone that was gone. Its next read is tried in another zone first.
        order = sorted((s for s in order if self._usable(s, r)), key=lambda s: s.entry.zone in r.unreached)
        # Texts read ever farther from home make all forget all, and a session's later turn leaves most behind
        # there, however short its shared text. What shares none may go anywhere, out of the others' way.
        bound = AIM_PART_READER * r.aim_us * self.read_tokens / max(self.usual, 1.0)
        if r.ask.prefix_tokens:
            far = order[wide + SPILL:wide + len(order) // self.set.instances]  # few routers know who idles
            order = order[:wide + SPILL] + [s for s in far if not s.out]
        timely = [s for s in order if self._late(s) <= LATE_AIM_PART * r.aim_us]
        order = self._fit(timely, len(order), r)
        if not order:
            return None
        ahead = [s.tokens + self._new(r, s) for s in order]
        best = 0 if ahead[0] <= bound else ahead.index(min(ahead))
        r.new = self._new(r, order[best])
        return order[best] if not order[best].tokens or ahead[best] <= bound else None

    def _new(self, r: Open, server: Server) -> float:  # what a reader must read, but for what it read for us
        kept = max(server.kept.get(r.ask.prefix or "", 0.0), server.kept.get(r.ask.session or "", 0.0))
        if r.ask.kept is not None:  # an index knows better than our own reads: others read there, texts go
            kept = r.ask.kept.get(server.entry.server, kept)
        return max(r.ask.prompt_tokens - kept, 1.0)

    # --- writer choice

    def _writer(self, r: Open) -> Server | None:
        """The writer with fewest of our streams, of the reader's cell if that has one."""
        known = [s for s in self.servers.values() if s.role is not i.Role.READ and not s.gone]
        # Our even part of all: of each writer it may be under one prompt. Where others died we carry more.
        part = MEMORY_PART * sum(s.memory for s in known) / self.set.instances
        part *= 1 if self.now - self.refused_us < SHORT_AIMS * self.least_aim else SPARE_TIMES
        if self.held and self.held + r.ask.prompt_tokens > part > 0:
            return None
        home = r.reader.entry.cell if r.reader is not None else None
        for cell in () if home is None else (self._cell(r, home), home):
            near = [s for s in known if s.entry.cell == cell]
            if (writer := self._least(near, r)) is not None:
                return writer
        return self._least(known, r)

    def _least(self, known: list[Server], r: Open) -> Server | None:  # for what each can do now
        usable = [s for s in known if self._usable(s, r) and s.entry.server not in r.asked]
        fit = self._fit(usable, len(known), r)
        loads = [(s.streams + 1 + self.random.expovariate(1)) / s.entry.units / self._warmth(s) for s in fit]
        return fit[loads.index(min(loads))] if loads else None

    def _cell(self, r: Open, home: int) -> int:  # where a state read in a cell is written
        # Else a cell's few writers fill while others idle, and no router sees it from its own streams.
        read, write = self.cells.get(home, (0.0, 0.0))
        away = self.random.random() * read > write and any(self.spare)
        away = away and not (write and self._slow(home) > LATE_AIM_PART * r.aim_us)
        return self.random.choices(list(self.cells), self.spare)[0] if away else home

    # --- request life cycle

    def _arrive(self, ask: i.Request) -> None:
        cls = self.classes[ask.cls]
        aim = cls.aim_us + cls.aim_us_per_1000_prompt_tokens * ask.prompt_tokens / 1000
        key = ask.prefix or ask.session or str(ask.request)
        r = self.open[ask.request] = Open(ask, cls, aim, key, self.random.random())
        self._count_key(key)
        self._start(r)

    def _send(self, r: Open, server: Server) -> None:
        server.out[(r.ask.request, r.attempts)] = self.now
        r.out[r.attempts] = server
        r.attempts, r.pinned_us = r.attempts + 1, 0
        self.acts.append(i.Send(r.ask.request, server.entry.server))

    def _start(self, r: Open) -> None:  # begin to read, and ask a place with it
        if r.attempts + 2 > self.set.max_attempts or self.now >= r.ask.expires_us - self.set.tick_us:
            return self._end(r, "time")
        r.reader = reader = self._reader(r)
        if reader is not None and reader.role is i.Role.BOTH:
            return self._write(r, reader)  # a mixed server takes its share whole
        writer = self._writer(r)
        if writer is not None and reader is None and self.set.writers_read and not any(self._order(r.key)):
            return self._write(r, writer)
        if writer is None or reader is None:
            return self._wait(r)
        reader.tokens += r.new
        r.backlog = reader.tokens
        self._send(r, reader)
        if self.set.ahead:
            self._ask(r, writer)
        return None

    def _ask(self, r: Open, writer: Server) -> None:
        r.place = writer
        self._take(r, writer, 1)
        self.acts.append(i.Ahead(r.ask.request, writer.entry.server))

    def _write(self, r: Open, server: Server) -> None:
        self._unplace(r)
        self._take(r, server, 1)
        self._send(r, server)

    def _take(self, r: Open, writer: Server, sign: int) -> None:  # count a stream or place of ours
        writer.streams += sign
        self.held += sign * r.ask.prompt_tokens

    def _unplace(self, r: Open) -> None:
        if r.place is not None:
            self._take(r, r.place, -1)
            r.place = None

    def _uncount(self, r: Open, seq: int) -> bool:  # an attempt is over; was it a read?
        server = r.out.pop(seq)
        sent = server.out.pop((r.ask.request, seq), None)
        if server.role is i.Role.READ:
            server.tokens -= r.new
            return True
        self._moved(r, server, sent, first=False)
        self._take(r, server, -1)
        return False

    def _next(self, r: Open) -> None:  # after a read, or a writer turned it away
        if self.now >= r.ask.expires_us - self.set.tick_us or r.attempts >= self.set.max_attempts:
            return self._end(r, "time")
        if r.place is not None and self._usable(r.place, r):
            return self._write(r, r.place)
        r.asked.clear()
        if (writer := self._writer(r)) is not None:
            return self._write(r, writer)
        r.pinned_us = r.pinned_us or self.now
        return self._wait(r)

    def _wait(self, r: Open) -> None:  # writers are full or readers late: for a bounded time
        r.waits_us = r.waits_us or self.now
        if self.now >= r.ask.expires_us - 2 * SWEEP_US:
            self._end(r, "time")

    def _heard(self, r: Open, event: i.First | i.Note | i.Hangup) -> None:
        if isinstance(event, i.Hangup):
            self._end(r, None)
        elif isinstance(event, i.First) and event.attempt in r.out:
            at = r.out[event.attempt]
            sent = at.out.pop((event.request, event.attempt), None)
            self._moved(r, at, sent, first=True)
            self._alive(at, r, sent)
            r.pinned_us = 0
        elif isinstance(event, i.Note) and not event.held and r.place is not None:
            # The one sure sign of a full writer: ask the next during the read. (The note names the reader.)
            r.asked.add(r.place.entry.server)
            self.refused_us = self.now
            self._unplace(r)
            if len(r.asked) < PLACES_MOST and r.out and (writer := self._writer(r)) is not None:
                self._ask(r, writer)

    def _outcome(self, event: i.Outcome) -> None:
        server, r = self.servers[event.server], self.open.get(event.request)
        status = event.status
        if status is i.Status.FULL and event.note == 0 and r is not None:
            # A server may turn one tenant away though it has room: it is shut for that one alone.
            times = server.full.get(r.ask.tenant, (0, 0))[1]
            pause = max(BUSY_US, FULL_TIMES * event.latency_us) * (times + 1)
            server.full[r.ask.tenant] = self.now + pause, times + 1
        elif status in (i.Status.CONNECT_FAILED, i.Status.RESET) and not event.stale:
            # A kept connection that broke under its next request, or one reset while it was made, says that
            # connections break: not that a server died.
            self._strike(server, status.value)
        sent = self.now - event.latency_us
        if status is i.Status.TIMEOUT and server.role is i.Role.READ and sent >= server.answered_us:
            server.late_us, server.late_at = self._longer(max(event.latency_us, self.least_aim)), self.now
        if r is None:
            if status is i.Status.READ:  # read for a request that has ended: nothing may stay pinned
                self.acts.append(i.Discard(event.request))
            return None
        read = event.attempt in r.out and self._uncount(r, event.attempt)
        if event.closed:
            return self._end(r, None)
        if event.attempt in r.given_up:
            return None  # its state, if it left one, is let go of with what the request holds at its end
        if read:
            if status is i.Status.READ:
                self._alive(server, r, sent)
                self._learn(server, event, r)
                r.pinned_us = self.now
                return self._next(r)
            r.avoid.add(event.server)
            if status is i.Status.CONNECT_FAILED and not event.stale:
                r.unreached.add(server.entry.zone)
            self._drop_held(r)
            return self._start(r)
        if status not in (i.Status.CONNECT_FAILED, i.Status.FULL, i.Status.MOOT):  # it may have run
            r.ran = True
            if r.cls.effect is not i.Effect.SAFE:  # keyed ones neither: not worth the risk
                return self._end(r, "fail")
        if event.note == 1 and status is i.Status.FULL or r.reader is None:  # no state is left: read again
            self._drop_held(r)
            return self._start(r)
        r.pinned_us = self.now
        r.avoid.add(event.server)
        return self._next(r)

    def _learn(self, server: Server, event: i.Outcome, r: Open) -> None:  # from the end of a read
        tokens = max(r.ask.prompt_tokens - event.note, 1.0)
        if len(server.kept) > KEYS_MOST:
            server.kept.clear()
        server.kept |= {r.ask.prefix or "": r.ask.prefix_tokens, r.ask.session or "": r.ask.prompt_tokens}
        self.usual += SMOOTH * (event.latency_us - self.usual)
        self.read_tokens += SMOOTH * (r.backlog - self.read_tokens)
        self.best_rate = max(self.best_rate, tokens / max(event.latency_us, self.set.tick_us))
        self.own_us += SMOOTH * (tokens / self.best_rate - self.own_us)
        server.late_us, server.late_at = self._longer(event.latency_us - tokens / self.best_rate), self.now

    def _drop_held(self, r: Open) -> None:  # nothing stays pinned
        self._unplace(r)
        self.acts.append(i.Discard(r.ask.request))
        r.pinned_us = 0

    def _end(self, r: Open, why: str | None) -> None:
        """The one exit: answers, releases what is held, forgets."""
        for seq in list(r.out):
            r.ran = not self._uncount(r, seq) or r.ran
            if self.set.cancel:
                self.acts.append(i.Cancel(r.ask.request, seq))
        if why is not None:
            if self.now >= self.log_us:
                self.log_us = self.now + LOG_US
                self.acts.append(i.Log(f"giving up requests: {why}"))
            wait = self.set.max_retry_after_us if self.set.retry_after else 0
            harmless = not r.ran or r.cls.effect is i.Effect.SAFE
            self.acts.append(i.Refuse(r.ask.request, wait) if harmless else i.Fail(r.ask.request))
        self._drop_held(r)
        self.open.pop(r.ask.request, None)

    def _again(self, r: Open) -> None:  # its attempt got lost: another instead
        seq, server = next(iter(r.out.items()))
        self.acts.append(i.Cancel(r.ask.request, seq))
        r.given_up.add(seq)
        if self._uncount(r, seq):
            self._drop_held(r)
            return self._start(r)
        r.ran, r.pinned_us = True, self.now
        r.avoid.add(server.entry.server)
        return self._next(r)

    def _sweep(self) -> None:
        self.sweep_set = False
        for r in [r for r in self.open.values() if self._overdue(r)]:
            for server in (s for s in r.out.values() if s.role is i.Role.READ):
                # Its tokens hardly wait there still: counted on, one lost read kept all others away.
                server.tokens, r.new = server.tokens - r.new, 0.0
            if self._lost(r):
                self._again(r)
        waiting = [r for r in self.open.values() if not r.out]
        for r in sorted(waiting, key=lambda r: -r.cls.worth):  # the scarce room to the most worth
            if self.now >= r.ask.expires_us - 2 * SWEEP_US:
                self._end(r, "time")
            elif r.pinned_us and self.now - r.pinned_us < self.set.release_us / 2:
                self._next(r)
            elif self.now - r.waits_us > WAIT_AIM_PART * r.aim_us and not r.ask.resumed:
                # The rest of a broken stream is waited for: refused, the part that was written is lost too,
                # and when a router ends all its streams come to the others at one moment.
                self._end(r, "late")
            else:
                if r.pinned_us:
                    self._drop_held(r)
                self._start(r)

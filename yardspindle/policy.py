"""The decisions of one router. Settings, events and actions: yardspindle/interface.py."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from hashlib import blake2b

from yardspindle import interface as i

SWEEP_US = 20_000  # how often waiting requests and silent servers are looked at; far under any release time
TRIAL_US = 250_000  # a suspect's first pause; doubled for each further failure, as its cause may last
BUSY_US = 100_000  # a writer that was full gets no new work for about the time of a few tokens
AIM_PART_READER = 0.25  # part of the aim that our own tokens may wait at a reader before the next is asked
BOUND_TIMES_MEAN = 1.5  # bounded loads: a reader may carry this many times our mean before the next is asked
SILENT_TIMES = 4.0  # a server is silent once it exceeds what peers need this many times
COLD_MARGIN = 0.6  # part of the cold budget that is used: peers may carry more than their even part
MEMORY_PART = 0.9  # part of a writer's memory that counts as room; answers grow after they start
SMOOTH = 0.1  # weight of a new observation in every running mean
SWEEP_TOKEN = 1 << 40  # timer token of the sweep; request ids are under 2^32


@dataclass(slots=True)
class Server:
    """What this router knows of a server, from the list and from its own attempts."""

    entry: i.Entry
    role: i.Role
    memory: float
    gone: bool = False
    out: dict[tuple[int, int], int] = field(default_factory=dict)  # attempts without an answer yet: sent when
    tokens: float = 0.0  # own prompt tokens waiting at the reader
    held: float = 0.0  # own tokens that take up the writer's memory
    streams: int = 0  # own answers and places at the writer
    strikes: int = 0
    shut_until: int = 0
    sign_us: int = 0  # when it last answered anything of ours
    sends: deque[tuple[int, float]] = field(default_factory=deque)  # sends in the span of the cold rule
    rate: float = 0.0  # own weight sent a span, a running mean
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Open:
    """The one state of a request."""

    ask: i.Request
    cls: i.RequestClass
    came_us: int
    aim_us: float
    attempts: int = 0
    out: dict[int, Server] = field(default_factory=dict)
    reader: Server | None = None  # holds the state, or is reading it
    place: Server | None = None  # writer where a place is asked or held
    has_state: bool = False
    streaming: bool = False
    pinned_us: int = 0  # since when a state or place is held with no attempt out; 0 when none
    ran: bool = False  # an attempt may have run
    ran_us: int = 0
    ran_on: Server | None = None
    avoid: set[int] = field(default_factory=set)
    counted: dict[int, tuple[Server, float]] = field(default_factory=dict)


class Policy:
    """Decides for one router: `handle` takes an event and gives back actions."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        """Start with nothing but the settings."""
        self.set, self.now = settings, 0
        self.random = random.Random(seed)
        self.kinds = {kind.name: kind for kind in settings.kinds}
        self.classes = {cls.name: cls for cls in settings.classes}
        self.servers: dict[int, Server] = {}
        self.open: dict[int, Open] = {}
        self.waiting: dict[int, Open] = {}
        self.orders: dict[str, list[Server]] = {}
        self.read_rate = 0.0  # prompt tokens a second that a reader's answers have shown
        self.first_us = 0.0  # running mean time to the first token at writers
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
            case i.First():
                self._first(event)
            case i.Note():
                self._note(event)
            case i.Outcome():
                self._outcome(event)
            case i.Hangup(request) if request in self.open:
                self._end(self.open[request], None)
            case i.Timer(token) if token == SWEEP_TOKEN:
                self._sweep()
            case _:
                pass
        if not self.sweep_set and self.open:
            self.sweep_set = True
            self.acts.append(i.SetTimer(now_us + SWEEP_US, SWEEP_TOKEN))
        return self.acts

    # --- membership and health

    def _members(self, event: i.Members) -> None:
        if event.list_kind is i.ListKind.FAILED:
            return
        named = set()
        for entry in event.entries:
            named.add(entry.server)
            known, kind = self.servers.get(entry.server), self.kinds.get(entry.kind)
            if kind is None:
                continue
            if known is None:
                known = self.servers[entry.server] = Server(entry, kind.role, kind.memory_tokens)
            elif entry.up_since_us > known.entry.up_since_us:  # restarted: what we held against it is void
                known.strikes, known.shut_until = 0, 0
                known.sends.clear()
            known.entry, known.gone = entry, entry.state is not i.State.SERVING
        if event.list_kind is not i.ListKind.CHANGES:
            for number, server in self.servers.items():
                server.gone = server.gone or number not in named
        self.orders.clear()

    def _strike(self, server: Server) -> None:
        """A failure that speaks against the server: pause it, then let single trials through."""
        server.strikes += 1
        server.shut_until = self.now + TRIAL_US * (1 << min(server.strikes - 1, 3))

    def _sign(self, server: Server) -> None:
        """Any answer shows that the server lives."""
        server.sign_us, server.strikes = self.now, 0

    def _warmth(self, server: Server) -> float:
        """What part of its capacity a server has surely regained; its ramp is not told: take a line."""
        age = self.now - server.entry.up_since_us
        if not server.entry.up_since_us or age >= self.set.cold_us:
            return 1.0
        return self.set.start_capacity + (1 - self.set.start_capacity) * max(age, 0) / self.set.cold_us

    def _budget(self, server: Server) -> bool:
        """Whether a cold server can be sent one more without our part of the fall-over budget being spent."""
        warmth = self._warmth(server)
        if warmth >= 1:
            return True
        like = [s.rate for s in self.servers.values() if s.role is server.role and not s.gone
                and s is not server and self._warmth(s) >= 1]
        carried = sum(like) / len(like) if like else 0.0
        spent = sum(1 for at, _ in server.sends if at > self.now - self.set.fall_us)
        return spent + 1 <= max(1.0, COLD_MARGIN * self.set.fall_multiple * warmth * carried)

    def _usable(self, server: Server, r: Open | None = None) -> bool:
        """Serving, not shut, within the cold budget, and if suspect with no trial out."""
        if server.gone or self.now < server.shut_until or (server.strikes and server.out):
            return False
        fits = r is None or server.entry.server not in r.avoid and self._may_run(r, server)
        return fits and self._budget(server)

    def _pool(self, roles: tuple[i.Role, ...], r: Open) -> list[Server]:
        """Servers of a role that may be sent to; when most look bad the cause is shared and none is shut."""
        known = [s for s in self.servers.values() if s.role in roles and not s.gone]
        good = [s for s in known if self._usable(s, r)]
        bad = [s for s in known if s.strikes]
        if not good and 2 * len(bad) > len(known):
            good = [s for s in known if self._budget(s) and s.entry.server not in r.avoid
                    and self._may_run(r, s)]
        return good

    # --- reader choice

    def _order(self, key: str) -> list[Server]:
        """Rendezvous order of the readers for a key: the same at every router."""
        if key not in self.orders:
            if len(self.orders) > 4096:
                self.orders.clear()
            readers = [s for s in self.servers.values() if s.role is not i.Role.WRITE]
            self.orders[key] = sorted(readers, key=lambda s: blake2b(
                f"{key} {s.entry.server}".encode(), digest_size=8).digest())
        return self.orders[key]

    def _reader(self, r: Open) -> Server | None:
        """The first reader in the key's order that our waiting tokens leave under the bound."""
        good = {s.entry.server for s in self._pool((i.Role.READ, i.Role.BOTH), r)}
        order = [s for s in self._order(r.ask.prefix or r.ask.session or str(r.ask.request))
                 if s.entry.server in good]
        if not order:
            return None
        mean = (sum(s.tokens for s in order) + r.ask.prompt_tokens) / len(order)
        bound = max(BOUND_TIMES_MEAN * mean, AIM_PART_READER * r.aim_us * self.read_rate / 1e6)
        return next((s for s in order if s.tokens <= bound), order[0])

    # --- writer choice

    def _full(self, server: Server, r: Open) -> bool:
        """A writer's known memory bounds what we give it, our part by the number of routers."""
        room = MEMORY_PART * server.memory / self.set.instances
        return server.memory > 0 and server.streams > 0 and server.held + r.ask.prompt_tokens > room

    def _writer(self, r: Open, cell: int | None, but: Server | None = None) -> Server | None:
        """The writer with fewest of our streams for what it can do now; the cell's own if it has one."""
        good = [s for s in self._pool((i.Role.WRITE, i.Role.BOTH), r) if s is not but]
        free = [s for s in good if not self._full(s, r)]
        near = [s for s in free if s.entry.cell == cell] or free
        if not near:
            return None
        return min(near, key=lambda s: ((s.streams + 1) / max(s.entry.units, 1e-9) / self._warmth(s),
                                        self.random.random()))

    def _may_run(self, r: Open, server: Server) -> bool:
        """Whether an attempt that may take effect can go to this server."""
        if not r.ran or r.cls.effect is i.Effect.SAFE or server.role is i.Role.READ:
            return True
        if r.cls.effect is i.Effect.UNSAFE or r.ran_on is None or self.now >= r.ran_us + r.cls.window_us:
            return False
        here, there = server.entry, r.ran_on.entry
        return r.cls.group == "all" or (here.zone == there.zone if r.cls.group == "zone" else
                                        here.cell == there.cell)

    # --- request life cycle

    def _arrive(self, ask: i.Request) -> None:
        cls = self.classes[ask.cls]
        aim = cls.aim_us + cls.aim_us_per_1000_prompt_tokens * ask.prompt_tokens / 1000
        r = self.open[ask.request] = Open(ask, cls, self.now, aim)
        self._start(r)

    def _send(self, r: Open, server: Server, weight: float, timeout_us: int) -> None:
        server.out[(r.ask.request, r.attempts)] = self.now
        r.out[r.attempts] = server
        r.counted[r.attempts] = (server, weight)
        r.attempts += 1
        r.pinned_us = 0
        span = max(self.set.fall_us, 1)
        while server.sends and server.sends[0][0] <= self.now - span:
            server.sends.popleft()
        server.sends.append((self.now, weight))
        server.rate += SMOOTH * (len(server.sends) - server.rate)
        self.acts.append(i.Send(r.ask.request, server.entry.server, timeout_us))

    def _start(self, r: Open) -> None:
        """Begin to read: the reader of the prefix hash, and with the read a place at its cell's writer."""
        self.waiting.pop(r.ask.request, None)
        r.has_state, r.reader = False, None
        if r.attempts + 2 > self.set.max_attempts or self.now >= r.ask.expires_us - self.set.tick_us:
            return self._end(r, "time")
        reader = self._reader(r)
        if reader is not None and reader.role is i.Role.BOTH:
            return self._write(r, reader)  # a mixed server takes its share whole
        writer = self._writer(r, reader.entry.cell if reader else None)
        if writer is None:
            return self._wait(r)
        if reader is None:
            return self._write(r, writer) if self.set.writers_read else self._wait(r)
        r.reader = reader
        reader.tokens += r.ask.prompt_tokens
        self._send(r, reader, r.ask.prompt_tokens, 0)
        if self.set.ahead:
            r.place = writer
            writer.streams += 1
            writer.held += r.ask.prompt_tokens
            self.acts.append(i.Ahead(r.ask.request, writer.entry.server))
        return None

    def _write(self, r: Open, server: Server) -> None:
        """Send to a writer (or a mixed server)."""
        if r.place is not server:
            self._unplace(r)
            server.streams += 1
            server.held += r.ask.prompt_tokens
        r.place = None
        self._send(r, server, 0, 0)

    def _unplace(self, r: Open) -> None:
        if r.place is not None:
            r.place.streams -= 1
            r.place.held -= r.ask.prompt_tokens
            r.place = None

    def _next(self, r: Open) -> None:
        """After a read, or after a writer turned the request away: to the place, else to another writer."""
        if self.now >= r.ask.expires_us - self.set.tick_us or r.attempts >= self.set.max_attempts:
            return self._end(r, "time")
        if r.place is not None and self._usable(r.place, r):
            return self._write(r, r.place)
        writer = self._writer(r, r.reader.entry.cell if r.reader else None)
        if writer is not None:
            return self._write(r, writer)
        r.pinned_us = r.pinned_us or self.now
        return self._wait(r)

    def _wait(self, r: Open) -> None:
        """Every writer is full, or no reader is there: wait before the read, for a bounded time."""
        self.waiting[r.ask.request] = r
        if self.now >= r.ask.expires_us - 2 * SWEEP_US:
            self._end(r, "time")

    def _note(self, event: i.Note) -> None:
        r = self.open.get(event.request)
        if r is None or r.place is None or r.place.entry.server != event.server:
            return
        if not event.held:
            self._unplace(r)

    def _first(self, event: i.First) -> None:
        r = self.open.get(event.request)
        server = self.servers.get(event.server)
        if r is None or server is None or event.attempt not in r.out:
            return
        self._sign(server)
        server.out.pop((event.request, event.attempt), None)
        self.first_us += SMOOTH * (event.latency_us - self.first_us)
        r.streaming, r.has_state, r.pinned_us = True, False, 0

    def _outcome(self, event: i.Outcome) -> None:
        server, r = self.servers[event.server], self.open.get(event.request)
        server.out.pop((event.request, event.attempt), None)
        if event.load:
            server.load = dict(event.load)
        status = event.status
        if status in (i.Status.READ, i.Status.SERVED):
            self._sign(server)
        elif status is i.Status.FULL and event.note == 0:
            server.sign_us, server.shut_until = self.now, max(server.shut_until, self.now + BUSY_US)
        elif status in (i.Status.CONNECT_FAILED, i.Status.RESET, i.Status.TIMEOUT) and not (
                r is not None and self.now >= r.ask.expires_us):
            self._strike(server)
        if r is None:
            if status is i.Status.READ:  # read for a request that has ended: nothing may stay pinned
                self.acts.append(i.Discard(event.request))
            return None
        r.out.pop(event.attempt, None)
        _, tokens = r.counted.pop(event.attempt, (server, 0.0))
        if tokens:
            server.tokens -= tokens
            if status is i.Status.READ:
                rate = max(r.ask.prompt_tokens - event.note, 1) / max(event.latency_us, 1) * 1e6
                self.read_rate += SMOOTH * (rate - self.read_rate)
        else:
            server.streams -= 1
            server.held -= r.ask.prompt_tokens
        if event.closed:
            return self._end(r, None)
        if tokens:
            if status is i.Status.READ:
                r.has_state, r.pinned_us = True, self.now
                return self._next(r)
            r.avoid.add(event.server)
            self._drop_held(r)
            return self._start(r)
        proven = status in (i.Status.CONNECT_FAILED, i.Status.FULL, i.Status.MOOT)
        if not proven:
            if not r.ran:
                r.ran, r.ran_us, r.ran_on = True, self.now - event.latency_us, server
            if r.cls.effect is i.Effect.UNSAFE:
                return self._end(r, "fail")
        r.pinned_us = self.now
        r.avoid.add(event.server)
        if event.note == 1 and status is i.Status.FULL or r.reader is None:
            r.avoid.discard(event.server)
            self._drop_held(r)
            return self._start(r)
        return self._next(r)

    def _drop_held(self, r: Open) -> None:
        """Let go of every state and place: nothing stays pinned, whatever led here."""
        self._unplace(r)
        self.acts.append(i.Discard(r.ask.request))
        r.has_state, r.pinned_us = False, 0

    def _end(self, r: Open, why: str | None) -> None:
        """The one exit: answers, releases what is held, forgets."""
        for seq, server in r.out.items():
            server.out.pop((r.ask.request, seq), None)
            _, tokens = r.counted[seq]
            if tokens:
                server.tokens -= tokens
            else:
                server.streams -= 1
                server.held -= r.ask.prompt_tokens
            if self.set.cancel:
                self.acts.append(i.Cancel(r.ask.request, seq))
        if why is not None:
            harmless = not r.ran and not any(not r.counted[s][1] for s in r.out) or (
                r.cls.effect is i.Effect.SAFE or (r.cls.effect is i.Effect.KEYED and r.cls.group == "all"))
            wait = self.set.max_retry_after_us if self.set.retry_after else 0
            self.acts.append(i.Refuse(r.ask.request, wait) if harmless else i.Fail(r.ask.request))
        self._drop_held(r)
        self.waiting.pop(r.ask.request, None)
        self.open.pop(r.ask.request, None)

    # --- admission

    def _sweep(self) -> None:
        """Look at what waits and at what is overdue."""
        self.sweep_set = False
        for r in list(self.open.values()):
            if r.ask.request not in self.open or r.streaming:
                continue
            if self.now >= r.ask.expires_us - 2 * SWEEP_US and not r.out:
                self._end(r, "time")
            elif r.ask.request in self.waiting:
                if r.has_state and self.now - r.pinned_us < self.set.release_us / 2:
                    del self.waiting[r.ask.request]
                    self._next(r)
                elif self.now - r.came_us > r.aim_us:
                    self._end(r, "late")
                else:
                    if r.has_state:
                        self._drop_held(r)
                    self._start(r)

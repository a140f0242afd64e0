"""A ledger of the five rules: feeds a policy legal events in any order and checks what it does.

There is no model of servers or of time here: outcomes, their order and the gaps between them are drawn.
"""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Protocol

from yardspindle import interface as i

PROVEN = (i.Status.FULL, i.Status.CONNECT_FAILED, i.Status.MOOT, i.Status.READ)
FAILURES = (i.Status.ERROR, i.Status.FULL, i.Status.CONNECT_FAILED, i.Status.RESET)


class Decides(Protocol):
    """What the ledger drives."""

    def handle(self, now_us: int, event: i.Event) -> list[i.Action]: ...


class Broken(AssertionError):
    """A rule was broken."""


def settings(**other: object) -> i.Settings:
    """Settings with every effect and every role."""
    base: dict[str, object] = {
        "me": 0,
        "instances": 2,
        "zone": "a",
        "classes": (
            i.RequestClass("safe", 1_000_000, 5_000_000, i.Effect.SAFE),
            i.RequestClass("once", 1_000_000, 5_000_000, i.Effect.UNSAFE),
            i.RequestClass("keyed", 1_000_000, 5_000_000, i.Effect.KEYED, "cell", 400_000),
        ),
        "kinds": (i.Kind("r", i.Role.READ), i.Kind("w", i.Role.WRITE, 50_000.0), i.Kind("m", i.Role.BOTH)),
        "release_us": 300_000,
        "drain_grace_us": 200_000,
        "cold_us": 5_000_000,
        "start_capacity": 0.3,
        "fall_multiple": 3.0,
        "fall_us": 1_000_000,
        "answer_slack_us": 8_000,
        "max_attempts": 5,
        "cancel": True,
        "retry_after": True,
        "max_retry_after_us": 500_000,
        "tick_us": 2_000,
    }
    return i.Settings(**(base | other))  # type: ignore[arg-type]


@dataclass
class Held:
    """What the ledger knows of a request."""

    ask: i.Request
    cls: i.RequestClass
    attempts: int = 0
    out: dict[int, tuple[int, int, int]] = field(default_factory=dict)  # number: server, sent, expires
    streaming: int | None = None
    finished: bool = False
    state: bool = False
    place: int | None = None
    held_since: int | None = None
    ran: list[tuple[int, int]] = field(default_factory=list)  # server, sent


class Ledger:
    """Feeds events, keeps the books, raises Broken."""

    def __init__(self, policy: Decides, conf: i.Settings, seed: int) -> None:
        self.policy, self.set, self.draw = policy, conf, random.Random(seed)
        self.now = 1_000_000_000
        self.entries: dict[int, i.Entry] = {}
        self.leaving: dict[int, int] = {}
        self.timers: list[tuple[int, int]] = []
        self.held: dict[int, Held] = {}
        self.number = 0
        self.sent_cold: dict[int, list[int]] = defaultdict(list)
        self.version = 0
        self.actions: list[i.Action] = []
        self.called_off: list[tuple[int, int, int, int]] = []  # attempts whose end is still to be told

    # --- events

    def feed(self, event: i.Event) -> None:
        for action in self.policy.handle(self.now, event):
            self.actions.append(action)
            self.act(action)

    def listing(self, entries: list[i.Entry], kind: i.ListKind) -> None:
        if kind is not i.ListKind.CHANGES:
            for number in self.entries.keys() - {e.server for e in entries}:
                self.leaving.setdefault(number, self.now)
        for entry in entries:
            self.entries[entry.server] = entry
            if entry.state is i.State.SERVING:
                self.leaving.pop(entry.server, None)
            else:
                self.leaving.setdefault(entry.server, self.now)
        self.version += 1
        self.feed(i.Members(kind, self.version, tuple(entries)))

    def fleet(self, spec: str) -> None:
        """A letter a server: its kind; cells of four, zones of eight."""
        self.listing(
            [i.Entry(at + 1, "ab"[at // 8 % 2], kind, at // 4, i.State.SERVING, 1.0) for at, kind in enumerate(spec)],
            i.ListKind.STALE,
        )

    def ask(self, cls: str | None = None, life_us: int = 3_000_000, prompt: float = 1000.0) -> int:
        self.number += 1
        row = self.draw.choice(self.set.classes) if cls is None else next(c for c in self.set.classes if c.name == cls)
        ask = i.Request(
            self.number,
            row.name,
            self.now + life_us,
            prompt,
            prefix=self.draw.choice([None, "p", "q"]),
            session=f"s{self.number % 9}",
        )
        self.held[self.number] = Held(ask, row)
        self.feed(ask)
        return ask.request

    def resolve(self, number: int, attempt: int, status: i.Status, note: int = 0) -> None:
        h = self.held[number]
        server, sent, _ = h.out.pop(attempt)
        reading = self.reads(server)
        closed = h.finished or status is i.Status.SERVED or h.streaming == attempt
        if h.streaming == attempt:
            h.streaming = None
        h.finished = closed
        if status is i.Status.READ:
            h.state = True
        elif not reading and status not in PROVEN:
            h.ran.append((server, sent))
        elif status is i.Status.FULL and note == 1:
            h.state = False
        if (h.state or h.place is not None) and not h.out:
            h.held_since = self.now
        self.feed(i.Outcome(number, attempt, server, status, self.now - sent, closed, note))

    def step(self) -> None:
        """One legal event, drawn."""
        self.advance(self.draw.choice([0, 0, 2_000, 10_000, 50_000, 120_000]))
        alive = [(n, a) for n, h in self.held.items() for a in h.out]
        move = self.draw.random()
        if move < 0.25 or not alive:
            self.ask(
                life_us=self.draw.choice([4_000, 300_000, 3_000_000]), prompt=self.draw.choice([10.0, 1000.0, 30_000.0])
            )
        elif move < 0.75:
            number, attempt = self.draw.choice(alive)
            h = self.held[number]
            server = h.out[attempt][0]
            if h.streaming == attempt:
                good = i.Status.SERVED
            elif self.reads(server):
                good = i.Status.READ
            else:
                good = i.Status.SERVED
            status = good if self.draw.random() < 0.6 else self.draw.choice(FAILURES)
            if h.streaming == attempt and status in PROVEN:
                status = i.Status.RESET
            note = int(status is i.Status.FULL and not self.reads(server) and self.draw.random() < 0.5)
            self.resolve(number, attempt, status, note)
        elif move < 0.85:
            number, attempt = self.draw.choice(alive)
            h = self.held[number]
            server, sent, _ = h.out[attempt]
            if self.reads(server):
                if h.place is not None:
                    held = self.draw.random() < 0.5
                    event = i.Note(number, attempt, server, held)  # as the wire does: the reader's number
                    h.place = h.place if held else None
                    self.feed(event)
            elif h.streaming is None and not h.finished:
                h.streaming, h.state, h.place, h.held_since = attempt, False, None, None
                self.feed(i.First(number, attempt, server, self.now - sent))
        elif move < 0.9:
            number, _ = self.draw.choice(alive)
            self.held[number].finished = True
            self.feed(i.Hangup(number))
        else:
            entry = self.draw.choice(list(self.entries.values()))
            state = self.draw.choice(list(i.State))
            since = self.now if state is i.State.SERVING and self.draw.random() < 0.5 else entry.up_since_us
            self.listing(
                [i.Entry(entry.server, entry.zone, entry.kind, entry.cell, state, 1.0, since)], i.ListKind.CHANGES
            )

    def advance(self, by_us: int) -> None:
        """Let time pass; what falls due in between happens in its order."""
        until = self.now + by_us
        while self.called_off:
            number, attempt, server, sent = self.called_off.pop(0)
            took, over = self.now - sent, self.held[number].finished
            self.feed(i.Outcome(number, attempt, server, i.Status.CANCELLED, took, over))
        while True:
            due = [(max(t, self.now), 0, token, 0) for t, token in self.timers]
            due += [
                (max(x[2], self.now), 1, n, a)
                for n, h in self.held.items()
                for a, x in h.out.items()
                if h.streaming != a
            ]
            due = [row for row in due if row[0] <= until]
            if not due:
                break
            at, what, number, attempt = min(due)
            self.now = max(self.now, at)
            if what == 0:
                self.timers.remove(min(t for t in self.timers if t[1] == number))
                self.feed(i.Timer(number))
            else:
                self.resolve(number, attempt, i.Status.TIMEOUT)
            self.check()
        self.now = until
        self.check()

    def settle(self) -> None:
        """Let all that is open run out."""
        for _ in range(40):
            self.advance(200_000)
            for number, h in list(self.held.items()):
                if h.streaming is not None:
                    self.resolve(number, h.streaming, i.Status.SERVED)
        for number, h in self.held.items():
            if not h.finished:
                raise Broken(f"answered: request {number} has no final answer")

    # --- the books

    def reads(self, server: int) -> bool:
        kind = self.entries[server].kind
        return next(k.role for k in self.set.kinds if k.name == kind) is i.Role.READ

    def drained(self, server: int) -> None:
        if self.now > self.leaving.get(server, self.now) + self.set.drain_grace_us:
            raise Broken(f"drains: server {server} was told to be leaving")

    def act(self, action: i.Action) -> None:
        match action:
            case i.Send(number, server, timeout):
                h = self.held[number]
                if h.finished:
                    raise Broken(f"answered: send for {number}, which has ended")
                self.drained(server)
                if h.out and not self.set.second_copies:
                    raise Broken(f"effects: two attempts out for {number}")
                if not self.reads(server):
                    for before, sent in h.ran:
                        cells = self.entries[before].cell, self.entries[server].cell
                        same = h.cls.group == "all" or cells[0] == cells[1]
                        keyed = h.cls.effect is i.Effect.KEYED and same and self.now - sent <= h.cls.window_us
                        if h.cls.effect is not i.Effect.SAFE and not keyed:
                            raise Broken(f"effects: {number} is sent again")
                ends = h.ask.expires_us if timeout == 0 else min(self.now + timeout, h.ask.expires_us)
                h.out[h.attempts] = (server, self.now, ends)
                h.attempts += 1
                h.held_since = None
                if h.attempts > self.set.max_attempts:
                    raise Broken(f"attempts: {number} has too many")
                self.cold(server)
            case i.Ahead(number, server):
                self.drained(server)
                self.held[number].place = server
            case i.Discard(number):
                h = self.held[number]
                h.state, h.place, h.held_since = False, None, None
            case i.Refuse(number) | i.Fail(number):
                h = self.held[number]
                if h.finished:
                    raise Broken(f"answered: {number} is answered twice")
                h.finished = True
                may = h.ran or any(not self.reads(row[0]) for row in h.out.values())
                harmless = h.cls.effect is i.Effect.SAFE or (h.cls.effect is i.Effect.KEYED and h.cls.group == "all")
                if isinstance(action, i.Refuse) and may and not harmless:
                    raise Broken(f"effects: {number} is refused though it may have run")
                if self.now > h.ask.expires_us + self.set.answer_slack_us:
                    raise Broken(f"answered: {number} is answered late")
            case i.Cancel(number, attempt) if attempt in self.held[number].out:
                h = self.held[number]
                server, sent, _ = h.out.pop(attempt)
                h.streaming = None if h.streaming == attempt else h.streaming
                if not self.reads(server):
                    h.ran.append((server, sent))
                elif not h.finished:
                    h.state = True  # it may have ended well just before
                h.held_since = self.now if h.state or h.place is not None else h.held_since
                self.called_off.append((number, attempt, server, sent))
            case i.SetTimer(due, token):
                self.timers.append((due, token))
            case _:
                pass

    def cold(self, server: int) -> None:
        """Alone, an instance may send a cold server what its part of the budget surely allows."""
        since = self.entries[server].up_since_us
        if since and self.now - since < self.set.cold_us:
            times = self.sent_cold[server] = [t for t in self.sent_cold[server] if t > self.now - self.set.fall_us] + [
                self.now
            ]
            busiest = max(1, self.number)
            if len(times) > max(1.0, self.set.fall_multiple * busiest):
                raise Broken(f"cold: server {server} got {len(times)} in a span")

    def check(self) -> None:
        for number, h in self.held.items():
            idle = self.now - h.held_since if h.held_since is not None and not h.out else 0
            if idle > self.set.release_us:
                raise Broken(f"pinned: something is held for {number}")
            late = self.now > h.ask.expires_us + self.set.answer_slack_us
            if late and not h.finished and h.streaming is None:
                raise Broken(f"answered: {number} is overdue")

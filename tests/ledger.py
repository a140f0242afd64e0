"""Property-test harness for policies: feeds legal events in random order and checks six rules on the actions.

The rules, by their names in the violations:
- answered: each request gets exactly one final answer in time, and no attempt is sent after it;
- effects: attempts of a request do not overlap unless second copies are allowed, and one that may have run is neither
  sent again nor refused unless its class allows repetition;
- drains: no work is sent to a server later than the drain grace after it began to leave;
- attempts: no request gets more than `max_attempts`;
- cold: a server that started recently gets at most the calls of `check_slow_start`;
- pinned: nothing is held for longer than `release_us` without an attempt in flight.

Servers and time are not modelled: outcomes, their order and the gaps between them are drawn.
"""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Protocol

from yardspindle import interface as i

# Outcomes after which no write can have run: it did not, or the attempt was a read.
NEVER_RAN = (i.Status.FULL, i.Status.CONNECT_FAILED, i.Status.MOOT, i.Status.READ)
NOTE_NO_STATE = 1  # `Outcome.note` of an attempt other than a successful read: no state is held any more
FAILURES = (i.Status.ERROR, i.Status.FULL, i.Status.CONNECT_FAILED, i.Status.RESET)


class PolicyUnderTest(Protocol):
    """Interface of a policy as the ledger drives it."""

    def handle(self, now_us: int, event: i.Event) -> list[i.Action]: ...


class RuleViolation(AssertionError):
    """A policy violated a rule."""


def settings(**other: object) -> i.Settings:
    """Return settings that cover every effect and every role."""
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
class RequestRecord:
    """The ledger's record of a request: its attempts, its answer and what is held for it."""

    request: i.Request
    cls: i.RequestClass
    attempts: int = 0
    in_flight: dict[int, tuple[int, int, int]] = field(default_factory=dict)  # number: server, sent, expires
    streaming: int | None = None
    finished: bool = False
    has_state: bool = False
    place_server: int | None = None
    held_since: int | None = None
    may_have_run: list[tuple[int, int]] = field(default_factory=list)  # server, sent


class Ledger:
    """Feeds events to a policy, tracks its actions and raises RuleViolation if one breaks a rule."""

    def __init__(self, policy: PolicyUnderTest, conf: i.Settings, seed: int) -> None:
        self.policy, self.settings, self.rng = policy, conf, random.Random(seed)
        self.now = 1_000_000_000
        self.entries: dict[int, i.Entry] = {}
        self.leaving_since: dict[int, int] = {}
        self.timers: list[tuple[int, int]] = []
        self.requests: dict[int, RequestRecord] = {}
        self.number = 0
        self.sent_cold: dict[int, list[int]] = defaultdict(list)
        self.version = 0
        self.actions: list[i.Action] = []
        self.cancelled: list[tuple[int, int, int, int]] = []  # cancelled attempts whose outcome is not yet reported

    # --- events

    def feed(self, event: i.Event) -> None:
        for action in self.policy.handle(self.now, event):
            self.actions.append(action)
            self.apply(action)

    def update_list(self, entries: list[i.Entry], kind: i.ListKind) -> None:
        if kind is not i.ListKind.CHANGES:
            for number in self.entries.keys() - {e.server for e in entries}:
                self.leaving_since.setdefault(number, self.now)
        for entry in entries:
            self.entries[entry.server] = entry
            if entry.state is i.State.SERVING:
                self.leaving_since.pop(entry.server, None)
            else:
                self.leaving_since.setdefault(entry.server, self.now)
        self.version += 1
        self.feed(i.Members(kind, self.version, tuple(entries)))

    def fleet(self, spec: str) -> None:
        """List one server per letter of `spec`, which is its kind; cells have four servers, zones eight."""
        self.update_list(
            [i.Entry(at + 1, "ab"[at // 8 % 2], kind, at // 4, i.State.SERVING, 1.0) for at, kind in enumerate(spec)],
            i.ListKind.STALE,
        )

    def ask(self, cls: str | None = None, life_us: int = 3_000_000, prompt: float = 1000.0) -> int:
        self.number += 1
        cls_settings = (
            self.rng.choice(self.settings.classes)
            if cls is None
            else next(c for c in self.settings.classes if c.name == cls)
        )
        request = i.Request(
            self.number,
            cls_settings.name,
            self.now + life_us,
            prompt,
            prefix=self.rng.choice([None, "p", "q"]),
            session=f"s{self.number % 9}",
        )
        self.requests[self.number] = RequestRecord(request, cls_settings)
        self.feed(request)
        return request.request

    def resolve(self, number: int, attempt: int, status: i.Status, note: int = 0) -> None:
        record = self.requests[number]
        server, sent, _ = record.in_flight.pop(attempt)
        is_read = self.is_reader(server)
        closed = record.finished or status is i.Status.SERVED or record.streaming == attempt
        if record.streaming == attempt:
            record.streaming = None
        record.finished = closed
        if status is i.Status.READ:
            record.has_state = True
        elif not is_read and status not in NEVER_RAN:
            record.may_have_run.append((server, sent))
        elif status is i.Status.FULL and note == NOTE_NO_STATE:
            record.has_state = False
        if (record.has_state or record.place_server is not None) and not record.in_flight:
            record.held_since = self.now
        self.feed(i.Outcome(number, attempt, server, status, self.now - sent, closed, note))

    def step(self) -> None:
        """Feed one random legal event."""
        self.advance(self.rng.choice([0, 0, 2_000, 10_000, 50_000, 120_000]))
        in_flight = [(n, a) for n, h in self.requests.items() for a in h.in_flight]
        choice = self.rng.random()
        if choice < 0.25 or not in_flight:
            self.ask(
                life_us=self.rng.choice([4_000, 300_000, 3_000_000]), prompt=self.rng.choice([10.0, 1000.0, 30_000.0])
            )
        elif choice < 0.75:
            number, attempt = self.rng.choice(in_flight)
            record = self.requests[number]
            server = record.in_flight[attempt][0]
            if record.streaming == attempt:
                good = i.Status.SERVED
            elif self.is_reader(server):
                good = i.Status.READ
            else:
                good = i.Status.SERVED
            status = good if self.rng.random() < 0.6 else self.rng.choice(FAILURES)
            if record.streaming == attempt and status in NEVER_RAN:
                status = i.Status.RESET
            # In half of the cases a writer that declines has found no state: NOTE_NO_STATE.
            note = int(status is i.Status.FULL and not self.is_reader(server) and self.rng.random() < 0.5)
            self.resolve(number, attempt, status, note)
        elif choice < 0.85:
            number, attempt = self.rng.choice(in_flight)
            record = self.requests[number]
            server, sent, _ = record.in_flight[attempt]
            if self.is_reader(server):
                if record.place_server is not None:
                    held = self.rng.random() < 0.5
                    event = i.Note(
                        number, attempt, server, held
                    )  # carries the number of the read attempt, as on the wire
                    record.place_server = record.place_server if held else None
                    self.feed(event)
            elif record.streaming is None and not record.finished:
                record.streaming, record.has_state, record.place_server, record.held_since = attempt, False, None, None
                self.feed(i.First(number, attempt, server, self.now - sent))
        elif choice < 0.9:
            number, _ = self.rng.choice(in_flight)
            self.requests[number].finished = True
            self.feed(i.Hangup(number))
        else:
            entry = self.rng.choice(list(self.entries.values()))
            state = self.rng.choice(list(i.State))
            since = self.now if state is i.State.SERVING and self.rng.random() < 0.5 else entry.up_since_us
            self.update_list(
                [i.Entry(entry.server, entry.zone, entry.kind, entry.cell, state, 1.0, since)], i.ListKind.CHANGES
            )

    def advance(self, by_us: int) -> None:
        """Advance time; timers and time-outs that become due fire in order."""
        until = self.now + by_us
        while self.cancelled:
            number, attempt, server, sent = self.cancelled.pop(0)
            took, over = self.now - sent, self.requests[number].finished
            self.feed(i.Outcome(number, attempt, server, i.Status.CANCELLED, took, over))
        while True:
            due = [(max(t, self.now), 0, token, 0) for t, token in self.timers]
            due += [
                (max(x[2], self.now), 1, n, a)
                for n, record in self.requests.items()
                for a, x in record.in_flight.items()
                if record.streaming != a
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
        """Advance until everything in flight has ended; every request must have a final answer."""
        for _ in range(40):
            self.advance(200_000)
            for number, record in list(self.requests.items()):
                if record.streaming is not None:
                    self.resolve(number, record.streaming, i.Status.SERVED)
        for number, record in self.requests.items():
            if not record.finished:
                raise RuleViolation(f"answered: request {number} has no final answer")

    # --- checks

    def is_reader(self, server: int) -> bool:
        kind = self.entries[server].kind
        return next(k.role for k in self.settings.kinds if k.name == kind) is i.Role.READ

    def check_drain(self, server: int) -> None:
        if self.now > self.leaving_since.get(server, self.now) + self.settings.drain_grace_us:
            raise RuleViolation(f"drains: server {server} was sent work after its drain grace")

    def apply(self, action: i.Action) -> None:
        match action:
            case i.Send(number, server, timeout):
                record = self.requests[number]
                if record.finished:
                    raise RuleViolation(f"answered: send for {number}, which has ended")
                self.check_drain(server)
                if record.in_flight and not self.settings.second_copies:
                    raise RuleViolation(f"effects: two attempts in flight for {number}")
                if not self.is_reader(server):
                    for server_before, sent in record.may_have_run:
                        cells = self.entries[server_before].cell, self.entries[server].cell
                        same = record.cls.group == "all" or cells[0] == cells[1]
                        keyed = record.cls.effect is i.Effect.KEYED and same and self.now - sent <= record.cls.window_us
                        if record.cls.effect is not i.Effect.SAFE and not keyed:
                            raise RuleViolation(f"effects: {number} is sent again")
                expires = (
                    record.request.expires_us if timeout == 0 else min(self.now + timeout, record.request.expires_us)
                )
                record.in_flight[record.attempts] = (server, self.now, expires)
                record.attempts += 1
                record.held_since = None
                if record.attempts > self.settings.max_attempts:
                    raise RuleViolation(f"attempts: {number} has too many")
                self.check_slow_start(server)
            case i.Ahead(number, server):
                self.check_drain(server)
                self.requests[number].place_server = server
            case i.Discard(number):
                record = self.requests[number]
                record.has_state, record.place_server, record.held_since = False, None, None
            case i.Refuse(number) | i.Fail(number):
                record = self.requests[number]
                if record.finished:
                    raise RuleViolation(f"answered: {number} is answered twice")
                record.finished = True
                may_have_run = record.may_have_run or any(
                    not self.is_reader(row[0]) for row in record.in_flight.values()
                )
                harmless = record.cls.effect is i.Effect.SAFE or (
                    record.cls.effect is i.Effect.KEYED and record.cls.group == "all"
                )
                if isinstance(action, i.Refuse) and may_have_run and not harmless:
                    raise RuleViolation(f"effects: {number} is refused though it may have run")
                if self.now > record.request.expires_us + self.settings.answer_slack_us:
                    raise RuleViolation(f"answered: {number} is answered late")
            case i.Cancel(number, attempt) if attempt in self.requests[number].in_flight:
                record = self.requests[number]
                server, sent, _ = record.in_flight.pop(attempt)
                record.streaming = None if record.streaming == attempt else record.streaming
                if not self.is_reader(server):
                    record.may_have_run.append((server, sent))
                elif not record.finished:
                    record.has_state = True  # the read may have succeeded just before
                record.held_since = (
                    self.now if record.has_state or record.place_server is not None else record.held_since
                )
                self.cancelled.append((number, attempt, server, sent))
            case i.SetTimer(due, token):
                self.timers.append((due, token))
            case _:
                pass

    def check_slow_start(self, server: int) -> None:
        """Check a weak bound on the calls to a cold server within `fall_us`.

        At most `fall_multiple` times the number of all requests so far; the server's capacity is not modelled.
        """
        since = self.entries[server].up_since_us
        if since and self.now - since < self.settings.cold_us:
            times = self.sent_cold[server] = [
                t for t in self.sent_cold[server] if t > self.now - self.settings.fall_us
            ] + [self.now]
            request_count = max(1, self.number)
            if len(times) > max(1.0, self.settings.fall_multiple * request_count):
                raise RuleViolation(f"cold: server {server} was sent {len(times)} attempts within fall_us")

    def check(self) -> None:
        for number, record in self.requests.items():
            idle = self.now - record.held_since if record.held_since is not None and not record.in_flight else 0
            if idle > self.settings.release_us:
                raise RuleViolation(f"pinned: something is held for {number}")
            late = self.now > record.request.expires_us + self.settings.answer_slack_us
            if late and not record.finished and record.streaming is None:
                raise RuleViolation(f"answered: {number} is overdue")

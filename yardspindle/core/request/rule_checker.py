"""The five rules, checked on every command that leaves the edge's core. Always on.

`Lifecycle` is written to keep the rules; this watches that it does, with a record of its own that shares no state
with it: what was taken, what is out, what may have run, what is held, what was answered. A break is counted and
logged with the request, and the command that would do harm is withheld where withholding is safe: a second
answer, an attempt that must not be made. The property tests and the virtual clock read the same record.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from yardspindle import interface as i
from yardspindle.core.hosts.directory import Server
from yardspindle.core.request import commands as c
from yardspindle.core.request.evidence import PROVES_ACCEPTED
from yardspindle.core.request.records import EdgeRules
from yardspindle.core.request.retry_safety import PROVES_NOT_RUN

LATE_TICK_US = 40_000  # the core looks at its clock every 20 ms; a busy loop may be one look late
PINNED = "nothing left pinned"
KEPT_ENDED = 2_000  # ended requests that are remembered, to catch what comes after an end


@dataclass(slots=True)
class CheckedRequest:
    """What this record knows of a request."""

    expires_us: int
    effect: i.Effect
    buffered: bool = False
    in_flight: dict[int, tuple[bool, str]] = field(default_factory=dict)  # attempt: is a write, server
    may_have_run: bool = False
    streaming: bool = False
    answered: bool = False
    left: bool = False
    state: tuple[int, str] | None = None  # the read's attempt, server
    places: dict[int, str] = field(default_factory=dict)
    riding: dict[int, tuple[int, str]] = field(default_factory=dict)  # by write: the place it is to take
    asked: dict[int, int] = field(default_factory=dict)  # by place: the read with which it was asked
    held_since_us: int = 0  # since when what is held waits for an attempt that a running server is known to have
    unwritten: set[int] = field(default_factory=set)  # attempts whose last byte is not written: nothing has run
    accepted: set[int] = field(default_factory=set)  # attempts that a running server is known to have

    @property
    def under_way(self) -> bool:
        """The client sees its answer come: no deadline runs."""
        return self.streaming and not self.buffered

    @property
    def over(self) -> bool:
        """Nothing more is owed to the client."""
        return self.answered or self.left


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken, or would have been."""

    rule: str
    request: int
    text: str


class RuleChecker:
    """Checks the commands of one edge."""

    def __init__(self, rules: EdgeRules) -> None:
        """Nothing taken yet."""
        self._rules = rules
        self.requests: dict[int, CheckedRequest] = {}
        self._ended: dict[int, CheckedRequest] = {}
        self.new_violations: list[Violation] = []
        self.violation_counts: Counter[str] = Counter()  # by rule, since the start
        self.last_violation: Violation | None = None

    # --- what comes in

    def request_arrived(self, now_us: int, ask: i.Request, whole: bool) -> None:
        """A request was taken; `whole`: its client sees nothing before the last token."""
        self.requests[ask.request] = CheckedRequest(
            ask.expires_us, self._rules.effects[ask.cls], whole, held_since_us=now_us
        )

    def client_disconnected(self, now_us: int, request: int) -> None:
        """Its client is gone."""
        if (known := self.requests.get(request)) is not None:
            known.left = True
            self._forget(request, known)

    def stream_began(self, request: int) -> None:
        """Its stream has begun."""
        if (known := self.requests.get(request)) is not None:
            known.streaming = True
            known.state = None
            if self._rules.release_by_request:
                known.places.clear()

    def attempt_ended(self, now_us: int, request: int, attempt: int, status: i.Status, note: int) -> None:
        """An attempt ended by itself."""
        known = self._known(request)
        if known is None or attempt not in known.in_flight:
            return
        write, server = known.in_flight.pop(attempt)
        self._over(now_us, known, attempt, status in PROVES_ACCEPTED)
        if status not in (i.Status.SERVED, i.Status.FULL):
            self._untaken(now_us, known, attempt)
        if write and status not in PROVES_NOT_RUN:
            known.may_have_run = True
        if status is i.Status.READ:
            self._holds(now_us, known)
            known.state = attempt, server
        elif write and (note == 1 or status is i.Status.SERVED):
            known.state = None

    def may_reserve_place(self, now_us: int, request: int, place: int, listed: Server | None) -> bool:
        """The call for a place is about to be written: it may be held from now on. Whether it may be asked."""
        known = self.requests.get(request)
        if known is None or known.over or listed is None or not self._takes(now_us, listed):
            return self._broken("drains kept" if known else "one final answer", request, "a call for a place")
        self._holds(now_us, known)
        known.places[place] = listed.name
        return True

    def place_answered(self, now_us: int, request: int, place: int, server: str, held: bool | None) -> None:
        """A writer holds a place for a request, or does not, or (None) nothing is known."""
        known = self._known(request)
        if known is None:
            return
        read = known.asked.pop(place, None)
        if held is not None and read in known.in_flight and read not in known.unwritten:
            known.accepted.add(read)
        if held is False:
            known.places.pop(place, None)
        elif held and not (known.over and not known.in_flight):
            self._holds(now_us, known)
            known.places[place] = server

    def attempt_written(self, request: int, attempt: int) -> None:
        """An attempt's last byte is written."""
        if (known := self._known(request)) is not None:
            known.unwritten.discard(attempt)

    def attempt_answered(self, request: int, attempt: int) -> None:
        """The first bytes of an attempt's answer came."""
        if (known := self._known(request)) is not None and attempt in known.in_flight:
            known.unwritten.discard(attempt)
            known.accepted.add(attempt)

    # --- what goes out

    def check(self, now_us: int, commands: list[c.Command]) -> list[c.Command]:
        """The commands that may be carried out; breaks are noted."""
        return [command for command in commands if self._allowed(now_us, command)]

    def _allowed(self, now_us: int, command: c.Command) -> bool:
        match command:
            case c.Read() | c.Write():
                return self._attempt(now_us, command)
            case c.Abort(request, attempt):
                known = self._known(request)
                if known is not None and attempt in known.in_flight:
                    write, _ = known.in_flight.pop(attempt)
                    self._untaken(now_us, known, attempt)
                    known.may_have_run = known.may_have_run or write and attempt not in known.unwritten
                    self._over(now_us, known, attempt, False)
                    self._forget(request, known)
            case c.ReservePlace():
                if (known := self.requests.get(command.request)) is not None:
                    known.asked[command.place] = command.read_attempt
            case c.ReleaseState(request, attempt):
                known = self._known(request)
                if known is not None and known.state is not None and known.state[0] == attempt:
                    known.state = None
            case c.ReleasePlace(request, place):
                known = self._known(request)
                if known is not None:
                    known.places.pop(place, None)
            case c.ReleaseAll(request):
                known = self._known(request)
                if known is not None:
                    known.state = None
                    known.places.clear()
            case c.Answer():
                return self._answer(now_us, command)
            case _:
                pass
        return True

    def _attempt(self, now_us: int, command: c.Read | c.Write) -> bool:
        known = self.requests.get(command.request)
        write = isinstance(command, c.Write)
        if known is None or known.over:
            return self._broken("one final answer", command.request, "an attempt after the end")
        if known.in_flight:
            return self._broken("no effect twice", command.request, "a second attempt while one is out")
        if known.may_have_run and known.effect is not i.Effect.SAFE:
            return self._broken("no effect twice", command.request, "an attempt though one may have run")
        if not self._takes(now_us, command.server):
            return self._broken("drains kept", command.request, f"an attempt at {command.server.name}")
        known.in_flight[command.attempt] = write, command.server.name
        if self._rules.release_by_request:
            known.unwritten.add(command.attempt)
        else:
            known.accepted.add(command.attempt)  # it is not told there
        if write and self._rules.release_by_request:  # a send to another writer gives a place up
            known.places = {n: at for n, at in known.places.items() if at == command.server.name}
        if isinstance(command, c.Write) and command.place is not None:
            known.places.pop(command.place, None)
            known.riding[command.attempt] = command.place, command.server.name
        return True

    def may_send(
        self, now_us: int, request: int, attempt: int, listed: Server | None, release_pending: bool = False
    ) -> bool:
        """An attempt's first byte is about to be written, to a server as it is listed now; whether that may be.

        `owed`: a release of what an earlier attempt left is not heard yet.
        """
        known = self.requests.get(request)
        if known is None or known.over or attempt not in known.in_flight:
            return self._broken("one final answer", request, "a first byte of an attempt that was called off")
        name = known.in_flight[attempt][1]
        if listed is None or listed.name != name or not self._takes(now_us, listed):
            return self._broken("drains kept", request, f"a first byte to {name}")
        if release_pending:
            return self._broken(PINNED, request, f"a first byte to {name} while a release is owed")
        return True

    def _takes(self, now_us: int, server: Server) -> bool:
        return server.closed_us is None or now_us <= server.closed_us + self._rules.drain_grace_us

    def _answer(self, now_us: int, answer: c.Answer) -> bool:
        known = self.requests.get(answer.request)
        if known is None or known.over:
            return self._broken("one final answer", answer.request, f"a second one: {answer.code}")
        harmless = known.effect is i.Effect.SAFE or not (
            known.may_have_run or any(write for write, _ in known.in_flight.values())
        )
        if answer.final is c.Final.REFUSED and not harmless:
            self._broken("no effect twice", answer.request, "a refusal though it may have run")
        late_us = now_us - known.expires_us - self._rules.answer_slack_us - LATE_TICK_US
        if late_us > 0 and not known.under_way:
            self._broken("one final answer", answer.request, f"{late_us} us late")
        known.answered = True
        self._forget(answer.request, known)
        return True

    def check_time(self, now_us: int) -> None:
        """What only time breaks: an answer overdue, a state or place held with nothing out."""
        for request, known in list(self.requests.items()):
            if not known.under_way and now_us > known.expires_us + self._rules.answer_slack_us + LATE_TICK_US:
                self._broken("one final answer", request, "none in time")
                known.left = True
                self._forget(request, known)
        for request, known in (*self.requests.items(), *self._ended.items()):
            held = known.state is not None or known.places
            taken = known.in_flight.keys() & known.accepted
            if held and not taken and now_us - known.held_since_us > self._rules.release_us:
                self._broken(PINNED, request, f"{_what(known)} held with no attempt known to be at a running server")
                known.state = None
                known.places.clear()

    def may_release(self, request: int) -> bool:
        """A release's first byte is about to be written; whether it takes nothing from an attempt that may run."""
        known = self._known(request)
        written = known.in_flight.keys() - known.unwritten if known is not None else set()
        return not written or self._broken(PINNED, request, f"a release under attempts {sorted(written)}")

    def release_overdue(self, now_us: int, request: int, since_us: int) -> None:
        """A release was asked for and no server is known to have heard it, though the time of what is held is up."""
        self._broken(PINNED, request, f"a release not heard for {(now_us - since_us) // 1_000} ms")

    def _over(self, now_us: int, known: CheckedRequest, attempt: int, answered: bool) -> None:
        """An attempt is out no more: the time of what is held begins anew if a running server surely had it."""
        if answered or attempt in known.accepted:
            known.held_since_us = now_us
        known.accepted.discard(attempt)
        known.unwritten.discard(attempt)

    def _holds(self, now_us: int, known: CheckedRequest) -> None:
        if known.state is None and not known.places:
            known.held_since_us = now_us

    def _untaken(self, now_us: int, known: CheckedRequest, attempt: int) -> None:
        """Without the writer's word a write's place may still be held."""
        if not known.streaming and attempt in known.riding:
            place, server = known.riding.pop(attempt)
            self._holds(now_us, known)
            known.places[place] = server

    def _broken(self, rule: str, request: int, text: str) -> bool:
        self.last_violation = Violation(rule, request, text)
        self.new_violations.append(self.last_violation)
        self.violation_counts[rule] += 1
        return False

    def _known(self, request: int) -> CheckedRequest | None:
        return self.requests.get(request) or self._ended.get(request)

    def _forget(self, request: int, known: CheckedRequest) -> None:
        if known.over and request in self.requests:
            del self.requests[request]
            self._ended[request] = known
            while len(self._ended) > KEPT_ENDED:
                del self._ended[next(iter(self._ended))]

    def take_violations(self) -> list[Violation]:
        """The breaks since the last call."""
        taken, self.new_violations = self.new_violations, []
        return taken


def _what(known: CheckedRequest) -> str:
    """What is held, and the attempts that are out, with how far each is known to have come."""
    held = [f"a state at {known.state[1]}"] if known.state else []
    held += [f"a place at {server}" for server in known.places.values()]
    out = [
        f"{'write' if write else 'read'} {'unwritten' if attempt in known.unwritten else 'written'} at {server}"
        for attempt, (write, server) in known.in_flight.items()
    ]
    return ", ".join(held) + (f" ({', '.join(out)})" if out else "")

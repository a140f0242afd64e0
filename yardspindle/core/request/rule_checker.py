"""Checks the five rules on every command that leaves the edge's core. Always on.

The edge is the process that holds the client connections; its core decides, without I/O, what is sent and answered. The
rules are listed in `lifecycle.py`. `Lifecycle` is written to keep them; this checks that it does, on records of its own
that share nothing with it: what was accepted, is in flight, may have run, is held, was answered. A violation is counted
and logged with its request, and a harmful command is withheld where that is safe: a second answer, a forbidden attempt.
The property tests and the simulations on the virtual clock read the same records.

What is held is a state (the KV cache that a read, or prefill, leaves) or a place (memory reserved at a writer, or
decode server). An attempt is one send of a request's stage to one server.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from yardspindle import interface as i
from yardspindle.core.hosts.directory import Server
from yardspindle.core.request import commands as c
from yardspindle.core.request.evidence import PROVES_ACCEPTED
from yardspindle.core.request.records import EdgeRules
from yardspindle.core.request.retry_safety import NOTE_NO_STATE, PROVES_NOT_RUN

LATE_TICK_US = 40_000  # the core ticks every 20 ms; a busy loop may miss one tick
# Names of the rules, as metrics and logs have them; the full rules are in `lifecycle.py`.
ONE_FINAL_ANSWER = "one final answer"  # for each request, in time, and nothing is done for it afterwards
NO_EFFECT_TWICE = "no effect twice"  # of an unsafe request, nor two attempts of any request in flight
DRAINS_KEPT = "drains kept"  # nothing new goes to a server that drains or is gone
NOTHING_PINNED = "nothing left pinned"  # states and places are released in time
MAX_ENDED = 2_000  # ended requests remembered, to check what follows their end


@dataclass(slots=True)
class CheckedRequest:
    """The checker's own record of a request."""

    expires_us: int
    effect: i.Effect
    buffered: bool = False
    in_flight: dict[int, tuple[bool, str]] = field(default_factory=dict)  # by attempt: is it a write, its server
    may_have_run: bool = False
    streaming: bool = False
    answered: bool = False
    disconnected: bool = False
    state: tuple[int, str] | None = None  # the KV cache that a read left: attempt of the read, its server
    places: dict[int, str] = field(default_factory=dict)
    write_places: dict[int, tuple[int, str]] = field(default_factory=dict)  # by write: the place that it uses
    place_reads: dict[int, int] = field(default_factory=dict)  # by place: the read during which it was requested
    held_since_us: int = 0  # start of the time limit on what is held; reset when an accepted attempt ends
    unwritten: set[int] = field(default_factory=set)  # attempts whose last byte is not written: they have not run
    accepted: set[int] = field(default_factory=set)  # attempts that a running server is known to have

    @property
    def stream_visible(self) -> bool:
        """The client receives its stream: no deadline applies any more."""
        return self.streaming and not self.buffered

    @property
    def finished(self) -> bool:
        """The client has its answer, or has disconnected."""
        return self.answered or self.disconnected


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken, or would have been without the checker."""

    rule: str
    request: int
    text: str


class RuleChecker:
    """Checks one edge's commands and reports violations."""

    def __init__(self, rules: EdgeRules) -> None:
        """No requests yet."""
        self._rules = rules
        self.requests: dict[int, CheckedRequest] = {}
        self._ended: dict[int, CheckedRequest] = {}
        self.new_violations: list[Violation] = []
        self.violation_counts: Counter[str] = Counter()  # by rule, since the start
        self.last_violation: Violation | None = None

    # --- events

    def request_arrived(self, now_us: int, request: i.Request, buffered: bool) -> None:
        """A request was accepted; `buffered`: its client gets the answer in one piece."""
        self.requests[request.request] = CheckedRequest(
            request.expires_us, self._rules.effects[request.cls], buffered, held_since_us=now_us
        )

    def client_disconnected(self, now_us: int, request: int) -> None:
        """The client disconnected."""
        if (record := self.requests.get(request)) is not None:
            record.disconnected = True
            self._forget(request, record)

    def stream_began(self, request: int) -> None:
        """The stream to the client has begun."""
        if (record := self.requests.get(request)) is not None:
            record.streaming = True
            record.state = None
            if self._rules.release_by_request:
                record.places.clear()

    def attempt_ended(self, now_us: int, request: int, attempt: int, status: i.Status, note: int) -> None:
        """An attempt ended or timed out."""
        record = self._find(request)
        if record is None or attempt not in record.in_flight:
            return
        write, server = record.in_flight.pop(attempt)
        self._attempt_over(now_us, record, attempt, status in PROVES_ACCEPTED)
        if status not in (i.Status.SERVED, i.Status.FULL):
            self._unconfirmed_write(now_us, record, attempt)
        if write and status not in PROVES_NOT_RUN:
            record.may_have_run = True
        if status is i.Status.READ:
            self._start_hold_time(now_us, record)
            record.state = attempt, server
        elif write and (note == NOTE_NO_STATE or status is i.Status.SERVED):
            record.state = None

    def may_reserve_place(self, now_us: int, request: int, place: int, listed: Server | None) -> bool:
        """Whether a call for a place may be written now; if so, the place is recorded as held from now on."""
        record = self.requests.get(request)
        if record is None or record.finished or listed is None or not self._accepts_work(now_us, listed):
            return self._violation(DRAINS_KEPT if record else ONE_FINAL_ANSWER, request, "a call for a place")
        self._start_hold_time(now_us, record)
        record.places[place] = listed.name
        return True

    def place_answered(self, now_us: int, request: int, place: int, server: str, held: bool | None) -> None:
        """A writer holds a place (reserved memory) for a request, or does not, or (None) did not answer."""
        record = self._find(request)
        if record is None:
            return
        read = record.place_reads.pop(place, None)
        if held is not None and read in record.in_flight and read not in record.unwritten:
            record.accepted.add(read)
        if held is False:
            record.places.pop(place, None)
        elif held and not (record.finished and not record.in_flight):
            self._start_hold_time(now_us, record)
            record.places[place] = server

    def attempt_written(self, request: int, attempt: int) -> None:
        """An attempt's last byte is written."""
        if (record := self._find(request)) is not None:
            record.unwritten.discard(attempt)

    def attempt_answered(self, request: int, attempt: int) -> None:
        """The first bytes of an attempt's answer arrived."""
        if (record := self._find(request)) is not None and attempt in record.in_flight:
            record.unwritten.discard(attempt)
            record.accepted.add(attempt)

    # --- commands

    def check(self, now_us: int, commands: list[c.Command]) -> list[c.Command]:
        """The commands that may be carried out; violations are recorded."""
        return [command for command in commands if self._allowed(now_us, command)]

    def _allowed(self, now_us: int, command: c.Command) -> bool:
        match command:
            case c.Read() | c.Write():
                return self._check_attempt(now_us, command)
            case c.Abort(request, attempt):
                record = self._find(request)
                if record is not None and attempt in record.in_flight:
                    write, _ = record.in_flight.pop(attempt)
                    self._unconfirmed_write(now_us, record, attempt)
                    record.may_have_run = record.may_have_run or write and attempt not in record.unwritten
                    self._attempt_over(now_us, record, attempt, False)
                    self._forget(request, record)
            case c.ReservePlace():
                if (record := self.requests.get(command.request)) is not None:
                    record.place_reads[command.place] = command.read_attempt
            case c.ReleaseState(request, attempt):
                record = self._find(request)
                if record is not None and record.state is not None and record.state[0] == attempt:
                    record.state = None
            case c.ReleasePlace(request, place):
                record = self._find(request)
                if record is not None:
                    record.places.pop(place, None)
            case c.ReleaseAll(request):
                record = self._find(request)
                if record is not None:
                    record.state = None
                    record.places.clear()
            case c.Answer():
                return self._check_answer(now_us, command)
            case _:
                pass
        return True

    def _check_attempt(self, now_us: int, command: c.Read | c.Write) -> bool:
        record = self.requests.get(command.request)
        write = isinstance(command, c.Write)
        if record is None or record.finished:
            return self._violation(ONE_FINAL_ANSWER, command.request, "an attempt after the end")
        if record.in_flight:
            return self._violation(NO_EFFECT_TWICE, command.request, "a second attempt while one is in flight")
        if record.may_have_run and record.effect is not i.Effect.SAFE:
            return self._violation(NO_EFFECT_TWICE, command.request, "an attempt though one may have run")
        if not self._accepts_work(now_us, command.server):
            return self._violation(DRAINS_KEPT, command.request, f"an attempt at {command.server.name}")
        record.in_flight[command.attempt] = write, command.server.name
        if self._rules.release_by_request:
            record.unwritten.add(command.attempt)
        else:
            # Without `release_by_request` (one release frees all of a request) the I/O reports no progress.
            record.accepted.add(command.attempt)
        if write and self._rules.release_by_request:  # a send to another writer abandons the place
            record.places = {n: at for n, at in record.places.items() if at == command.server.name}
        if isinstance(command, c.Write) and command.place is not None:
            record.places.pop(command.place, None)
            record.write_places[command.attempt] = command.place, command.server.name
        return True

    def may_send(
        self, now_us: int, request: int, attempt: int, listed: Server | None, release_pending: bool = False
    ) -> bool:
        """An attempt's first byte is about to be written to `listed`, the server's present entry; whether it may be.

        `release_pending`: a release of what an earlier attempt left is not confirmed yet.
        """
        record = self.requests.get(request)
        if record is None or record.finished or attempt not in record.in_flight:
            return self._violation(ONE_FINAL_ANSWER, request, "a first byte of an aborted attempt")
        name = record.in_flight[attempt][1]
        if listed is None or listed.name != name or not self._accepts_work(now_us, listed):
            return self._violation(DRAINS_KEPT, request, f"a first byte to {name}")
        if release_pending:
            return self._violation(NOTHING_PINNED, request, f"a first byte to {name} while a release is pending")
        return True

    def _accepts_work(self, now_us: int, server: Server) -> bool:
        """Whether the server serves, or its drain is within the grace period."""
        return server.closed_us is None or now_us <= server.closed_us + self._rules.drain_grace_us

    def _check_answer(self, now_us: int, answer: c.Answer) -> bool:
        record = self.requests.get(answer.request)
        if record is None or record.finished:
            return self._violation(ONE_FINAL_ANSWER, answer.request, f"a second final answer: {answer.code}")
        harmless = record.effect is i.Effect.SAFE or not (
            record.may_have_run or any(write for write, _ in record.in_flight.values())
        )
        if answer.final is c.Final.REFUSED and not harmless:
            self._violation(NO_EFFECT_TWICE, answer.request, "a refusal though it may have run")
        late_us = now_us - record.expires_us - self._rules.answer_slack_us - LATE_TICK_US
        if late_us > 0 and not record.stream_visible:
            self._violation(
                ONE_FINAL_ANSWER,
                answer.request,
                f"the final answer is {late_us} us late, slack and a missed tick not counted",
            )
        record.answered = True
        self._forget(answer.request, record)
        return True

    def check_time(self, now_us: int) -> None:
        """Check time limits: overdue answers, and states or places held without an accepted attempt."""
        for request, record in list(self.requests.items()):
            if not record.stream_visible and now_us > record.expires_us + self._rules.answer_slack_us + LATE_TICK_US:
                self._violation(ONE_FINAL_ANSWER, request, "no final answer in time")
                record.disconnected = True  # ends the record, so that this is reported once
                self._forget(request, record)
        for request, record in (*self.requests.items(), *self._ended.items()):
            held = record.state is not None or record.places
            accepted = record.in_flight.keys() & record.accepted
            if held and not accepted and now_us - record.held_since_us > self._rules.release_us:
                self._violation(
                    NOTHING_PINNED,
                    request,
                    f"{_describe_held(record)} held with no attempt known to be at a running server",
                )
                record.state = None
                record.places.clear()

    def may_release(self, request: int) -> bool:
        """A release is about to be written; whether it takes nothing from an attempt that may run."""
        record = self._find(request)
        written = record.in_flight.keys() - record.unwritten if record is not None else set()
        # "under attempts": while these attempts may be running.
        return not written or self._violation(NOTHING_PINNED, request, f"a release under attempts {sorted(written)}")

    def release_overdue(self, now_us: int, request: int, since_us: int) -> None:
        """No server has confirmed a release within the time limit on what is held."""
        self._violation(NOTHING_PINNED, request, f"a release not confirmed for {(now_us - since_us) // 1_000} ms")

    def _attempt_over(self, now_us: int, record: CheckedRequest, attempt: int, answered: bool) -> None:
        """An attempt is no longer in flight: the time limit restarts if a running server certainly had it."""
        if answered or attempt in record.accepted:
            record.held_since_us = now_us
        record.accepted.discard(attempt)
        record.unwritten.discard(attempt)

    def _start_hold_time(self, now_us: int, record: CheckedRequest) -> None:
        """Start the time limit when the first state or place comes to be held."""
        if record.state is None and not record.places:
            record.held_since_us = now_us

    def _unconfirmed_write(self, now_us: int, record: CheckedRequest, attempt: int) -> None:
        """Without the writer's confirmation, a write's place may still be held."""
        if not record.streaming and attempt in record.write_places:
            place, server = record.write_places.pop(attempt)
            self._start_hold_time(now_us, record)
            record.places[place] = server

    def _violation(self, rule: str, request: int, text: str) -> bool:
        """Record a violation; returns False, with which the caller withholds the command."""
        self.last_violation = Violation(rule, request, text)
        self.new_violations.append(self.last_violation)
        self.violation_counts[rule] += 1
        return False

    def _find(self, request: int) -> CheckedRequest | None:
        return self.requests.get(request) or self._ended.get(request)

    def _forget(self, request: int, record: CheckedRequest) -> None:
        """Move a finished request to those that ended."""
        if record.finished and request in self.requests:
            del self.requests[request]
            self._ended[request] = record
            while len(self._ended) > MAX_ENDED:
                del self._ended[next(iter(self._ended))]

    def take_violations(self) -> list[Violation]:
        """The violations since the last call."""
        violations, self.new_violations = self.new_violations, []
        return violations


def _describe_held(record: CheckedRequest) -> str:
    """Describes what is held and the attempts in flight, and whether each is written."""
    held = [f"a state at {record.state[1]}"] if record.state else []
    held += [f"a place at {server}" for server in record.places.values()]
    in_flight = [
        f"{'write' if write else 'read'} {'unwritten' if attempt in record.unwritten else 'written'} at {server}"
        for attempt, (write, server) in record.in_flight.items()
    ]
    return ", ".join(held) + (f" ({', '.join(in_flight)})" if in_flight else "")

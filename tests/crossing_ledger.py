"""Records what passed on the sockets of one crossing test and checks it against the platform's rules.

Shares no code with the program under test.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic

from tests.crossing_messages import Message

LEAVE_SLACK_S = 0.1  # later than this after its client closed, no attempt of a request may start
HELD_SLACK_S = 0.35  # states and places may be held for this long past the release time
DRAIN_SLACK_S = 0.05  # a draining host may receive attempts for this long past its grace
DEADLINE_SLACK_MS = 5.0  # an attempt's deadline may exceed its client's remaining time by this
ANSWER_SLACK_S = 0.5  # an answer that is not a stream arrives at most this long after the request's deadline
STREAM_END_SLACK_S = 0.3  # later than this after its host ended a stream, the stream must not be cut
DECLINED = (503, 504)
CLIENTS = "clients"  # the process of the clients, where withheld time is known by process


@dataclass
class Request:
    """A client's request and its outcome. Times are of the monotonic clock."""

    id: bytes
    cls: str
    deadline_ms: int
    data: bytes
    written: int = 0  # bytes sent so far
    sent_at: float | None = None  # when its last byte was sent
    sent_after_close: bool = False  # the program had already ended the connection
    stalled_s: float = 0.0  # `Ledger.stalled_s()` at that time
    left_at: float | None = None  # when its client closed
    answers: list[tuple[float, Message]] = field(default_factory=list)


def make_request(
    number: str,
    cls: str = "ask",
    deadline_ms: int = 5_000,
    body: bytes = b'{"stream":true}',
    headers: tuple[bytes, ...] = (),
    key: str = "k",
) -> Request:
    rows = [
        b"POST /v1/chat/completions HTTP/1.1",
        b"Host: api",
        b"Req-Id: " + number.encode(),
        b"Req-Kind: " + cls.encode(),
        b"Req-Key: " + key.encode(),
        b"Req-Deadline-Ms: %d" % deadline_ms,
        b"Req-Extra: prompt_len=1000,max_out=10",
        b"Content-Length: %d" % len(body),
        *headers,
    ]
    return Request(number.encode(), cls, deadline_ms, b"\r\n".join(rows) + b"\r\n\r\n" + body)


@dataclass
class Attempt:
    """An attempt whose last byte reached a host."""

    id: bytes
    host: str
    role: str
    deadline_ms: float
    first_byte_at: float  # when its first byte was read
    received_at: float  # when its last byte was read
    stalled_s: float
    arrived_at: float  # when the kernel received that byte
    ended_at: float | None = None
    status: int = 0  # the status of its answer; 0: the connection ended without one
    events: bytes = b""  # the events of its stream
    finished_at: float | None = None  # when the stream's last byte was written


class Ledger:
    """All that passed in one test, in order, and the checks of the rules.

    A test judges at its end; violations that are certain at once are collected in `violations`.
    """

    def __init__(self, release_s: float, grace_s: float, stalled_s: Callable[[], float]) -> None:
        """`stalled_s` returns for how many seconds the machine has kept the programs from running so far."""
        self.release_s, self.grace_s, self.stalled_s = release_s, grace_s, stalled_s
        self.lock = threading.RLock()
        self.requests: list[Request] = []
        self.attempts: list[Attempt] = []
        # Changes of what is held: time, kind, request id. Kinds:
        #   read, write: an attempt arrived; placed: a place was requested;
        #   left: a read ended and may have left a state;
        #   served, lost, declined: a write was answered with 200, with 410 (it found no state), or with 503 or 504;
        #   ended: an attempt ended otherwise; freed: all that a request holds was released; died: the host died.
        self.hold_changes: list[tuple[float, str, bytes]] = []
        self.recorded_by: dict[tuple[float, bytes], str] = {}  # the hosts that recorded them, where they are processes
        self.draining_since: dict[str, float] = {}  # when discovery reported a host's drain
        self.pauses: list[tuple[float, float]] = []  # from when to when the program was stopped
        self.violations: list[str] = []  # violations found before the end
        self.sigterm_at: float | None = None
        self.transcript: list[tuple[float, str]] = []

    def log(self, text: str) -> None:
        with self.lock:
            self.transcript.append((monotonic(), text))

    def observable_at(self, at: float) -> float:
        """When the program could first observe what happened at a time: after the pause, if it was stopped."""
        return next((to for begun, to in self.pauses if begun <= at < to), at)

    def paused_s(self, begin: float, end: float) -> float:
        """For how many seconds of an interval the program was stopped."""
        return sum(max(min(to, end) - max(begun, begin), 0.0) for begun, to in self.pauses)

    def withheld_s(self, begin: float, end: float, begun_by: str = CLIENTS, ended_by: str = "") -> float:
        """For how long those who had to act were kept from running in a span; known in the soak only."""
        return 0.0

    def excess_s(self, begin: float, end: float, bound: float, *by: str) -> float:
        """By how much a duration, less pauses at its begin and withheld time, exceeds its bound."""
        excess = end - self.observable_at(begin) - bound
        return excess if excess <= 0 else excess - self.withheld_s(self.observable_at(begin), end, *by)

    # --- clients

    def on_answer(self, requests: list[Request], message: Message) -> None:
        """Assigns an answer, complete or cut, to the oldest request without one."""
        with self.lock:
            self.log(f"answer {message.status} {'whole' if message.whole else 'cut'}")
            open_one = next((request for request in requests if request.written and not request.answers), None)
            if open_one is None:
                self.violations.append(f"an answer {message.status} with no request before it")
            else:
                open_one.answers.append((monotonic(), message))

    def on_connection_end(self, requests: list[Request], how: str, stray: bytes) -> None:
        """A client saw the program end its connection; `stray`: bytes left that are no answer."""
        with self.lock:
            self.log(f"the client sees {how}")
            waiting = [
                request
                for request in requests
                if request.left_at is None
                and request.written
                and (not request.answers or request.sent_at is None or request.sent_at > request.answers[0][0])
            ]
            if how == "rst" and waiting:
                self.violations.append(f"{waiting[0].id.decode()}: reset under a request or its answer")
            if stray:
                self.violations.append(f"bytes that are no answer: {stray[:40]!r}")

    # --- hosts

    def on_attempt(self, attempt: Attempt) -> None:
        with self.lock:
            self.log(f"{attempt.role} of {attempt.id.decode()} at {attempt.host}")
            self.attempts.append(attempt)
            self.hold_changes.append((attempt.received_at, attempt.role, attempt.id))

    def on_attempt_end(self, attempt: Attempt, how: int) -> None:
        """An attempt is about to be answered with this status, or its connection ended (0)."""
        with self.lock:
            if attempt.ended_at is not None:
                return
            attempt.ended_at, attempt.status = monotonic(), how
            self.log(f"{attempt.role} of {attempt.id.decode()} over: {how}")
            kind = {202: "left", 200: "served", 410: "lost", 503: "declined", 504: "declined"}.get(how, "ended")
            if attempt.role == "read":  # a read may have succeeded just as its connection ended
                kind = "left" if how in (0, 202) else "ended"
            self.hold_changes.append((attempt.ended_at, kind, attempt.id))

    def on_hold_change(self, kind: str, number: bytes) -> None:
        """A place was requested ("placed"), or all that a request holds was released ("freed")."""
        with self.lock:
            self.log(f"{kind} {number.decode()}")
            self.hold_changes.append((monotonic(), kind, number))

    def on_place_refused(self, number: bytes) -> None:
        """The place requested last was not reserved."""
        with self.lock:
            self.log(f"no place for {number.decode()}")
            asked = [move for move in self.hold_changes if move[1:] == ("placed", number)]
            self.hold_changes.remove(asked[-1])

    def read_in_flight(self, number: bytes) -> bool:
        """Whether a read of this request is in flight."""
        return any(a.id == number and a.role == "read" and a.ended_at is None for a in self.attempts)

    def place_requested(self, number: bytes) -> bool:
        """Whether a place was requested since the latest read of this request."""
        with self.lock:
            last = max((a.received_at for a in self.attempts if a.id == number and a.role == "read"), default=0.0)
            return any(kind == "placed" and known == number and at >= last for at, kind, known in self.hold_changes)

    # --- judging

    def longest_hold(self, number: bytes, now: float) -> tuple[float, bool]:
        """The longest time that something was held for a request with no attempt in flight; whether it still is."""
        # `out`: attempts in flight
        held, out, since, longest, bound = False, 0, now, 0.0, self.release_s + HELD_SLACK_S
        for at, kind, known in sorted(self.hold_changes, key=lambda move: move[0]):
            if known != number:
                continue
            if held and not out:
                by = (self.recorded_by.get((time, number), "") for time in (since, at))
                longest = max(longest, bound + self.excess_s(since, at, bound, *by))
            match kind:
                case "read":
                    out += 1
                case "write":
                    out, held = out + 1, False  # it takes over what is held, and gives it back if it is declined
                case "left" | "declined":
                    out, held = max(out - 1, 0), True
                case "ended" | "served" | "lost":
                    out = max(out - 1, 0)
                case "placed":
                    held = True
                case "freed" | "died":
                    held = False
            since = at
        if held and not out:
            longest = max(longest, bound + self.excess_s(since, now, bound, self.recorded_by.get((since, number), "")))
        return longest, held

    def held_requests(self) -> list[bytes]:
        """The requests for which something is still held."""
        with self.lock:
            return [
                number
                for number in {known for _, _, known in self.hold_changes}
                if self.longest_hold(number, monotonic())[1]
            ]

    def judge(self) -> list[str]:
        """All violations of the rules, one line each."""
        with self.lock:
            found = list(self.violations)
            for request in self.requests:
                own = self._attempts_of(request)
                found += [
                    f"{request.id.decode()}: {text}"
                    for text in (
                        *self._check_answers(request, own),
                        *self._check_order(request, own),
                        *self._check_times(request, own),
                        *self._check_effect(request, own),
                    )
                ]
            for number in {known for _, _, known in self.hold_changes}:
                longest, _ = self.longest_hold(number, monotonic())
                if longest > self.release_s + HELD_SLACK_S:  # "out": in flight
                    found.append(f"{number.decode()}: held for {longest:.2f} s with no attempt out")
            for attempt in self.attempts:
                told = self.draining_since.get(attempt.host)  # when discovery reported the drain to the program
                if told is not None and self.excess_s(told, attempt.first_byte_at, self.grace_s + DRAIN_SLACK_S) > 0:
                    found.append(
                        f"{attempt.id.decode()}: sent to {attempt.host} {attempt.first_byte_at - told:.2f} s"
                        " after it was told to drain"
                    )
            known = {request.id for request in self.requests}
            found += [f"{a.id.decode()}: no client sent this request" for a in self.attempts if a.id not in known]
            return found

    def _attempts_of(self, request: Request) -> list[Attempt]:
        """A request's attempts, up to the next request that uses its id again."""
        again = min(
            (
                other.sent_at
                for other in self.requests
                if other.id == request.id and other.sent_at and other.sent_at > (request.sent_at or 0.0)
            ),
            default=float("inf"),
        )
        return sorted(
            (a for a in self.attempts if a.id == request.id and (request.sent_at or 0.0) <= a.received_at < again),
            key=lambda attempt: attempt.received_at,
        )

    def _check_answers(self, request: Request, own: list[Attempt]) -> list[str]:
        """Each request gets one final answer, and a stream is the one that a host made."""
        if len(request.answers) > 1:
            return ["more than one answer"]
        if (
            request.sent_at is not None
            and not request.answers
            and request.left_at is None
            and not request.sent_after_close
        ):
            return ["no answer"]
        if request.sent_after_close and own:  # forwarded although its connection had been closed before it was sent
            return ["sent on though it came after the program had ended the connection"]
        if not request.answers or request.left_at is not None or request.sent_at is None:
            return []
        at, message = request.answers[0]
        if message.status != 200:
            due = (
                request.sent_at
                + request.deadline_ms / 1_000
                + ANSWER_SLACK_S
                + self.paused_s(request.sent_at, at)
                + self.stalled_s()
                - request.stalled_s
            )
            due += self.withheld_s(request.sent_at, at, CLIENTS, CLIENTS) if at > due else 0.0
            return [f"answered {at - due + ANSWER_SLACK_S:.2f} s after its time"] if at > due else []
        made = next((attempt for attempt in own if attempt.events), None)
        if made is None or not made.events.startswith(message.body):
            return ["a stream that no host made"]
        if message.whole:  # the violation: an incomplete stream was ended as if it were complete
            return [] if made.finished_at is not None and message.body == made.events else ["a part passed on as whole"]
        if (
            made.finished_at is not None
            and self.excess_s(made.finished_at, at, STREAM_END_SLACK_S, made.host, CLIENTS) > 0
            or (made.finished_at is not None and self.sigterm_at is None)
        ):
            return ["a stream cut though its host had ended it"]
        if made.ended_at is None and self.sigterm_at is None:
            return ["a stream cut while its host writes"]
        return []

    def _check_order(self, request: Request, own: list[Attempt]) -> list[str]:
        """Attempts never overlap, a write follows an answered read, and nothing is released during an attempt."""
        found = [
            f"two attempts at once, at {attempt.host} and {other.host}"
            for attempt, other in zip(own, own[1:], strict=False)
            if attempt.ended_at is None or attempt.ended_at > other.received_at
        ]
        found += [  # a write was sent before a read was answered with 202
            "written before it was read"
            for attempt in own
            if attempt.role == "write"
            and not any(
                read.status == 202 and read.ended_at is not None and read.ended_at <= attempt.received_at
                for read in own
            )
        ]
        freed = [at for at, kind, known in self.hold_changes if kind == "freed" and known == request.id]
        return found + [
            f"released during its {attempt.role}"
            for attempt in own
            if any(attempt.received_at < at and (attempt.ended_at is None or at < attempt.ended_at) for at in freed)
        ]

    def _check_times(self, request: Request, own: list[Attempt]) -> list[str]:
        """No attempt starts after its client left, and none gets a deadline later than its client's."""
        found = []
        for attempt in own:
            if request.left_at is not None and self.excess_s(request.left_at, attempt.arrived_at, LEAVE_SLACK_S) > 0:
                found.append(f"{attempt.role} begun {attempt.arrived_at - request.left_at:.2f} s after its client left")
            if request.sent_at is not None:
                left_ms = request.deadline_ms - (attempt.arrived_at - self.observable_at(request.sent_at)) * 1_000
                # The program cannot know for how long the machine kept it from running ("withheld").
                more_ms = DEADLINE_SLACK_MS + (attempt.stalled_s - request.stalled_s) * 1_000
                if attempt.deadline_ms > left_ms + more_ms:
                    more_ms += self.withheld_s(self.observable_at(request.sent_at), attempt.arrived_at) * 1_000
                if attempt.deadline_ms > left_ms + more_ms:
                    found.append(
                        f"{attempt.role} was told {attempt.deadline_ms:.0f} ms with {left_ms:.0f} ms left"
                        f" (the machine withheld {more_ms - DEADLINE_SLACK_MS:.0f} ms)"
                    )
        return found

    def _check_effect(self, request: Request, own: list[Attempt]) -> list[str]:
        """A request that must run at most once is neither resent nor refused once a write may have run."""
        if request.cls != "order":  # the service of the test settings whose requests must run at most once
            return []
        ran = next((a for a in own if a.role == "write" and a.status not in (*DECLINED, 410)), None)
        if ran is None:
            return []
        found = ["sent again though it may have run" for attempt in own if attempt.received_at > ran.received_at]
        return found + [
            f"refused ({message.status}) though it may have run"
            for _, message in request.answers
            if message.status in (429, 503)
        ]

"""Independent checker of the platform's rules, based only on traffic at the sockets of hosts and clients.

The stand-ins record bytes and times here; `judge` returns one line per rule violation. It shares no code with the
program under test: the rules are implemented separately from the platform's documentation.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

NETWORK_US = 15_000  # two network latencies plus clock ticks
SLACK_US = 50_000  # added to every time limit on sockets
MAX_ANSWER_DELAY_US = 500_000  # an answer up to this late is of no use to its client, but violates no rule
AFTER_DISCONNECT_US = 100_000  # an attempt that begins later than this after the client disconnected breaks the rule
HOLD_SLACK_US = 300_000
MAX_EVENT_DELAY_US = 300_000
MAX_STREAM_END_DELAY_US = 5_000_000  # longest time that a client may wait after the last event of a stream
# A stream of a silent host may be cut this long before that limit, so that the limit is kept.
STREAM_CUT_LEAD_US = 10 * SLACK_US
DEADLINE_SLACK_US = 20_000  # two latencies and two ticks between the client's and the host's measurement
EARLY_SHUTDOWN_US = 700_000  # SIGKILL may not lose a request that arrived later than this after SIGTERM
CUT_RECOVERY_US = 50_000  # after a network cut: delayed data has arrived and failed connects have been retried
RESET_OVERTAKES_US = 5_000  # data sent this shortly before a reset may be overtaken by it


@dataclass(slots=True)
class ClientRequest:
    """A client's request and its answer."""

    id: bytes
    effect: str
    deadline_us: int
    sent_us: int  # when its last byte was written
    fresh: bool  # the first request of its connection, written at once
    left_us: int | None = None
    status: int = 0
    body: bytearray = field(default_factory=bytearray)
    pieces: list[tuple[int, int]] = field(default_factory=list)  # time and size of the body at each growth
    whole_us: int | None = None
    closed_us: int | None = None  # when the dispatcher closed the connection, if it did so first
    stray: bytes = b""  # bytes after the end of the answer


@dataclass(slots=True)
class Attempt:
    """A request as it arrived at a host."""

    id: bytes
    host: str
    write: bool
    first_us: int
    last_us: int | None = None
    stated_deadline_ms: int = 0
    over_us: int | None = None  # when it was answered or one side closed
    never_ran: bool = False  # refused by the host
    no_state: bool = False
    body: bytearray = field(default_factory=bytearray)
    pieces: list[tuple[int, int]] = field(default_factory=list)  # time and size written by the host at each growth
    finished_us: int | None = None  # when the last chunk was written
    broken_us: int | None = None  # when the host aborted or corrupted it


@dataclass(slots=True)
class Hold:
    """A state or place that a host holds for a request."""

    id: bytes
    host: str
    place: bool
    since_us: int


class Ledger:
    """Records all traffic of one simulated world and checks it against the rules."""

    def __init__(self, grace_us: int, release_us: int, max_attempts: int, resume: bool) -> None:
        """The limits are those of the settings; `resume`: clients ask for the rest of a broken stream."""
        self.grace_us, self.release_us, self.max_attempts, self.resume = grace_us, release_us, max_attempts, resume
        self.requests: dict[bytes, ClientRequest] = {}
        self.attempts: list[Attempt] = []
        self.places: list[tuple[bytes, str, int]] = []  # calls that reserve places, with the time of their first byte
        self.holds: list[Hold] = []
        self.freed: list[tuple[bytes, int]] = []
        self.drains_known: dict[str, int] = {}  # since when the dispatcher knows that a host accepts nothing new
        self.died: dict[str, int] = {}  # when hosts died, losing all that they held
        self.cuts: dict[str, list[tuple[int, int]]] = {}  # when the network to or from a host was cut
        self.refused_connections: list[str] = []  # refused client connections
        self.term_us: int | None = None
        self.ended_us: int | None = None
        self.killed_us: int | None = None  # time of SIGKILL, if the dispatcher had not exited by then

    def drain_delivered(self, host: str, now_us: int) -> None:
        """Record that a drain reached the dispatcher, possibly before the time assumed so far."""
        self.drains_known[host] = min(now_us, self.drains_known.get(host, now_us))

    def attempts_of(self, number: bytes) -> list[Attempt]:
        """Return a request's attempts that arrived completely, in the order of their last bytes."""
        rows = [(a.last_us, at, a) for at, a in enumerate(self.attempts) if a.id == number and a.last_us is not None]
        return [a for _, _, a in sorted(rows, key=lambda row: row[:2])]

    def rows(self) -> list[str]:
        """Return all records as text, to compare two runs."""
        return [
            *(repr(row) for row in self.requests.values()),
            *map(repr, self.attempts),
            *map(repr, self.places),
            *map(repr, self.holds),
            *map(repr, self.freed),
            repr(self.drains_known),
            repr(self.refused_connections),
        ]

    def _delayed_by_cut(self, host: str, from_us: int, to_us: int) -> bool:
        """Whether a network cut may have delayed a host's traffic in this interval, so that its times prove nothing."""
        return any(
            began_us <= to_us and from_us <= ended_us + CUT_RECOVERY_US
            for began_us, ended_us in self.cuts.get(host, ())
        )

    def judge(self, now_us: int) -> list[str]:
        """Return the rule violations, one line each."""
        breaks = list(self.refused_connections)
        for request in self.requests.values():
            name = request.id.decode()
            for text in (
                *self._answer_violations(request),
                *self._attempt_violations(request),
                *self._stream_violations(request, now_us),
            ):
                breaks.append(f"{name}: {text}")
        breaks += self._disconnect_violations()
        breaks += self._drain_violations()
        breaks += self._hold_violations(now_us)
        return breaks

    # --- answers

    def _answer_violations(self, request: ClientRequest) -> Iterator[str]:
        limit_us = request.sent_us + request.deadline_us + MAX_ANSWER_DELAY_US
        if request.stray:
            yield f"bytes after the end of its answer: {request.stray[:40]!r}"
        if request.left_us is not None and not self._answered_us(request):
            return
        final_us = self._answered_us(request)
        if final_us:
            if final_us > limit_us:
                yield f"answered {final_us - limit_us} us after its deadline plus {MAX_ANSWER_DELAY_US // 1_000} ms"
        elif self._lost_by_kill(request):
            return
        elif request.closed_us is None:
            yield "never answered"
        elif request.fresh:
            yield f"its new connection was closed without an answer (status {request.status})"
        elif request.status or any(a.id == request.id for a in self.attempts):
            yield "its connection closed without an answer though an attempt or the head of an answer had been sent"
        elif request.closed_us > request.sent_us + NETWORK_US:  # otherwise the request crossed with the close
            yield f"its connection closed without an answer {request.closed_us - request.sent_us} us after it was sent"

    def _lost_by_kill(self, request: ClientRequest) -> bool:
        """Whether SIGKILL may have left it unanswered: it arrived before SIGTERM or shortly after.

        EARLY_SHUTDOWN_US bounds that time.
        """
        killed_us, term_us, closed_us = self.killed_us, self.term_us, request.closed_us
        return (
            killed_us is not None
            and term_us is not None
            and closed_us is not None
            and closed_us >= killed_us
            and request.sent_us <= term_us + EARLY_SHUTDOWN_US
        )

    def _answered_us(self, request: ClientRequest) -> int:
        """When its answer counts as given; 0 without an answer."""
        if request.status == 200:
            return request.pieces[0][0] if request.pieces else 0
        return request.whole_us or 0

    # --- attempts

    def _attempt_violations(self, request: ClientRequest) -> Iterator[str]:
        attempts = self.attempts_of(request.id)
        final_us = self._answered_us(request)
        if len(attempts) > self.max_attempts:
            yield f"{len(attempts)} attempts, {self.max_attempts} are allowed"
        for earlier, later in zip(attempts, attempts[1:], strict=False):
            assert later.last_us is not None
            if self._delayed_by_cut(earlier.host, earlier.first_us, later.last_us):
                continue
            if self._delayed_by_cut(
                later.host, later.first_us, later.first_us
            ):  # cancelled long before and delayed by the cut
                continue
            if earlier.over_us is None or earlier.over_us > later.last_us + NETWORK_US:
                yield f"two attempts in flight at once, at {earlier.host} and {later.host}"
        ran = [a for a in attempts if a.write and not a.never_ran]
        if request.effect == "single_shot" and ran:
            if attempts[-1] is not ran[0]:
                yield f"sent again to {attempts[-1].host} though it may have run at {ran[0].host}"
            if request.status in (429, 503) and final_us:
                yield f"refused though it may have run at {ran[0].host}"
        for attempt in attempts:
            if self._delayed_by_cut(attempt.host, attempt.first_us, attempt.first_us):
                continue
            left_us = request.sent_us + request.deadline_us - attempt.first_us
            gone = request.left_us is not None and request.left_us < attempt.first_us
            if attempt.stated_deadline_ms * 1_000 > left_us + DEADLINE_SLACK_US and not gone:
                yield (
                    f"the deadline sent to {attempt.host} was {attempt.stated_deadline_ms} ms, "
                    f"{attempt.stated_deadline_ms * 1_000 - left_us} us more than the request had left"
                )
            if final_us and attempt.first_us > final_us + NETWORK_US:
                yield f"sent to {attempt.host} {attempt.first_us - final_us} us after its answer"

    def _disconnect_violations(self) -> Iterator[str]:
        calls = [(a.id, a.host, a.first_us, "an attempt") for a in self.attempts]
        calls += [(number, host, at, "a call for a place") for number, host, at in self.places]
        for number, host, first_us, what in calls:
            if self._delayed_by_cut(host, first_us, first_us):
                continue
            request = self.requests.get(number)
            if request is None:
                yield f"{number.decode()}: {what} at {host} for a request that its client never sent completely"
            elif request.left_us is not None and first_us > request.left_us + AFTER_DISCONNECT_US + NETWORK_US:
                yield f"{number.decode()}: {what} at {host} {first_us - request.left_us} us after its client left"

    def _drain_violations(self) -> Iterator[str]:
        calls = [(a.id, a.host, a.first_us, "an attempt") for a in self.attempts]
        calls += [(number, host, at, "a call for a place") for number, host, at in self.places]
        for number, host, first_us, what in calls:
            known_us = self.drains_known.get(host)
            if self._delayed_by_cut(host, first_us, first_us):
                continue
            if known_us is not None and first_us > known_us + self.grace_us + SLACK_US + NETWORK_US:
                late = f"{first_us - known_us} us after the dispatcher had to know of its drain"
                yield f"{number.decode()}: {what} at {host} {late}"

    # --- streams

    def _stream_violations(self, request: ClientRequest, now_us: int) -> Iterator[str]:
        if request.status != 200 or not request.body:
            return
        body = bytes(request.body)
        source = next((a for a in self.attempts_of(request.id) if a.body.startswith(body)), None)
        if source is None:
            yield f"its body is not the beginning of any host's stream for it: {body[-80:]!r}"
            return
        over_us = min(at for at in (request.left_us, request.closed_us, now_us) if at is not None)
        if request.whole_us is not None:
            if source.finished_us is None or len(body) < len(source.body):
                yield f"ended as complete after {len(body)} bytes, but the stream of {source.host} was not complete"
            elif request.whole_us > source.finished_us + MAX_EVENT_DELAY_US and not self._delayed_by_cut(
                source.host, source.finished_us, request.whole_us
            ):
                yield f"its end was passed on {request.whole_us - source.finished_us} us late"
            over_us = request.whole_us
        elif request.left_us is None:
            yield from self._broken_stream_violations(request, source, now_us)
        for written_us, size in source.pieces:
            came_us = next((at for at, length in request.pieces if length >= size), None)
            if source.broken_us is not None and written_us > source.broken_us - RESET_OVERTAKES_US:
                continue
            if (came_us or over_us) > written_us + MAX_EVENT_DELAY_US and not self._delayed_by_cut(
                source.host, written_us, came_us or over_us
            ):
                yield f"an event of {source.host} was passed on {(came_us or over_us) - written_us} us late"
                return

    def _broken_stream_violations(self, request: ClientRequest, source: Attempt, now_us: int) -> Iterator[str]:
        broken_us, finished_us, closed_us = source.broken_us, source.finished_us, request.closed_us
        if self._delayed_by_cut(source.host, source.pieces[0][0], closed_us or now_us):
            return
        if closed_us is None:
            last_us = max(at for at in (source.pieces[-1][0], broken_us or 0, finished_us or 0))
            if now_us > last_us + MAX_STREAM_END_DELAY_US:
                yield f"left waiting {now_us - last_us} us after the last event of {source.host}"
            return
        if (
            finished_us is not None
            and finished_us + NETWORK_US < closed_us
            and (broken_us is None or broken_us > finished_us + RESET_OVERTAKES_US)
        ):
            yield f"cut {closed_us - finished_us} us after {source.host} had finished its stream"
        elif broken_us is not None and broken_us <= closed_us:
            if closed_us > broken_us + MAX_STREAM_END_DELAY_US:
                yield f"left waiting {closed_us - broken_us} us after its stream broke"
        elif not self._lost_by_kill(request) and (not self.resume or self.term_us is None or closed_us < self.term_us):
            silent_us = closed_us - source.pieces[-1][0]
            if silent_us < MAX_STREAM_END_DELAY_US - STREAM_CUT_LEAD_US - NETWORK_US:
                yield f"cut while {source.host} was writing"
            elif silent_us > MAX_STREAM_END_DELAY_US:
                yield f"left waiting {silent_us} us after the last event of {source.host}"

    # --- what is held

    def _hold_violations(self, now_us: int) -> Iterator[str]:
        limit_us = self.release_us + HOLD_SLACK_US + NETWORK_US
        horizon_us = now_us if self.ended_us is None else self.ended_us
        for hold in self.holds:
            attempts = self.attempts_of(hold.id)
            end_us = min(
                [at for number, at in self.freed if number == hold.id and at >= hold.since_us]
                + [at for a in attempts for at in _taken_at(hold, a)]
                + [max(self.died.get(hold.host, horizon_us), hold.since_us), horizon_us]
            )
            start_us, longest_us = hold.since_us, 0
            for a in attempts:
                if a.last_us is None or a.last_us >= end_us:
                    break
                longest_us = max(longest_us, a.last_us - start_us)
                start_us = max(start_us, horizon_us if a.over_us is None else a.over_us)
            longest_us = max(longest_us, end_us - start_us)
            if longest_us > limit_us and not self._delayed_by_cut(hold.host, hold.since_us, hold.since_us):
                what = "a place" if hold.place else "a state"
                yield f"{hold.id.decode()}: {what} at {hold.host} was held {longest_us} us with no attempt in flight"


def _taken_at(hold: Hold, attempt: Attempt) -> list[int]:
    """Return when an attempt used up a hold; a write at another host also gives a place up."""
    if not attempt.write:
        return []
    if hold.place:
        taken_us = attempt.last_us
    elif attempt.pieces:
        taken_us = attempt.pieces[0][0]
    else:
        taken_us = attempt.over_us if attempt.no_state else None
    return [taken_us] if taken_us is not None and taken_us >= hold.since_us else []

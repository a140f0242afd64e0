"""An independent ledger of the platform's rules: it knows only what passed on the sockets of hosts and clients.

The stand-ins write down bytes and times here, and `judge` says in one line each which rule was broken. Nothing is
shared with the program that is judged: the rules are written anew from the platform's pages.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

NETWORK_US = 15_000  # two latencies and the ticks of the clock
SLACK_US = 50_000  # every time limit is so much longer on sockets
ANSWER_LATE_US = 500_000  # after a request's time its answer only earns nothing
LEFT_US = 100_000  # an attempt that begins later than this after the close is a break
HELD_MORE_US = 300_000
EVENT_LATE_US = 300_000
BROKEN_LATE_US = 5_000_000  # a client left waiting so long after the last event of a stream
TOLD_MORE_US = 20_000  # two latencies and two ticks between the client's clock and the host's
EARLY_US = 700_000  # after SIGTERM: what came by then is not lost by SIGKILL
CUT_US = 50_000  # after a cut what it held up has come; a connection that was tried meanwhile is tried again
CROSSED_US = 5_000  # what a reset overtakes on its way


@dataclass(slots=True)
class Asked:
    """A client's request and what came back."""

    id: bytes
    effect: str
    deadline_us: int
    sent_us: int  # its last byte was written
    fresh: bool  # the first request of its connection, written at once
    left_us: int | None = None
    status: int = 0
    body: bytearray = field(default_factory=bytearray)
    pieces: list[tuple[int, int]] = field(default_factory=list)  # when the body had grown to how many bytes
    whole_us: int | None = None
    closed_us: int | None = None  # the dispatcher ended the connection first
    stray: bytes = b""  # what came after the answer's end


@dataclass(slots=True)
class Attempt:
    """A request as it came to a host."""

    id: bytes
    host: str
    write: bool
    first_us: int
    last_us: int | None = None
    told_ms: int = 0
    over_us: int | None = None  # answered, or one side closed
    never_ran: bool = False  # turned away
    no_state: bool = False
    body: bytearray = field(default_factory=bytearray)
    pieces: list[tuple[int, int]] = field(default_factory=list)  # when the host had written how many bytes
    finished_us: int | None = None  # the last chunk was written
    broken_us: int | None = None  # the host ended or spoilt it


@dataclass(slots=True)
class Hold:
    """A state or place that a host keeps for a request."""

    id: bytes
    host: str
    place: bool
    since_us: int


class Ledger:
    """One world's book."""

    def __init__(self, grace_us: int, release_us: int, most_tries: int, resume: bool) -> None:
        """The figures are those of the settings; `resume`: clients ask for the rest of a stream that broke."""
        self.grace_us, self.release_us, self.most_tries, self.resume = grace_us, release_us, most_tries, resume
        self.asked: dict[bytes, Asked] = {}
        self.attempts: list[Attempt] = []
        self.places: list[tuple[bytes, str, int]] = []  # first bytes of calls for places
        self.holds: list[Hold] = []
        self.freed: list[tuple[bytes, int]] = []
        self.told: dict[str, int] = {}  # since when the dispatcher knows that a host takes nothing new
        self.died: dict[str, int] = {}  # hosts, with all that they held
        self.cuts: dict[str, list[tuple[int, int]]] = {}  # when the way to or from a host held up what was sent
        self.unserved: list[str] = []  # connections that were refused
        self.term_us: int | None = None
        self.ended_us: int | None = None
        self.killed_us: int | None = None  # by SIGKILL: it had not ended by itself

    def delivered(self, host: str, now_us: int) -> None:
        """The dispatcher was told of a drain before it counts as told."""
        self.told[host] = min(now_us, self.told.get(host, now_us))

    def of(self, number: bytes) -> list[Attempt]:
        """A request's attempts that came whole, in the order of their last bytes."""
        rows = [(a.last_us, at, a) for at, a in enumerate(self.attempts) if a.id == number and a.last_us is not None]
        return [a for _, _, a in sorted(rows, key=lambda row: row[:2])]

    def rows(self) -> list[str]:
        """All of the book, for comparison."""
        return [
            *(repr(row) for row in self.asked.values()),
            *map(repr, self.attempts),
            *map(repr, self.places),
            *map(repr, self.holds),
            *map(repr, self.freed),
            repr(self.told),
            repr(self.unserved),
        ]

    def _off(self, host: str, from_us: int, to_us: int) -> bool:
        """Whether times at a host say nothing of the dispatcher: a cut held up what was sent then."""
        return any(began_us <= to_us and from_us <= ended_us + CUT_US for began_us, ended_us in self.cuts.get(host, ()))

    def judge(self, now_us: int) -> list[str]:
        """The breaks, one line each."""
        breaks = list(self.unserved)
        for request in self.asked.values():
            name = request.id.decode()
            for text in (*self._answered(request), *self._sent(request), *self._streamed(request, now_us)):
                breaks.append(f"{name}: {text}")
        breaks += self._after_leaving()
        breaks += self._drains()
        breaks += self._held(now_us)
        return breaks

    # --- answers

    def _answered(self, request: Asked) -> Iterator[str]:
        limit_us = request.sent_us + request.deadline_us + ANSWER_LATE_US
        if request.stray:
            yield f"bytes after the end of its answer: {request.stray[:40]!r}"
        if request.left_us is not None and not self._final_us(request):
            return
        final_us = self._final_us(request)
        if final_us:
            if final_us > limit_us:
                yield f"answered {final_us - limit_us} us after half a second past its time"
        elif self._killed(request):
            return
        elif request.closed_us is None:
            yield "never answered"
        elif request.fresh:
            yield f"its new connection was closed without an answer (status {request.status})"
        elif request.status or any(a.id == request.id for a in self.attempts):
            yield "read, sent on, and its connection closed without an answer"
        elif request.closed_us > request.sent_us + NETWORK_US:  # else the close crossed with it
            yield f"its connection closed without an answer {request.closed_us - request.sent_us} us after it was sent"

    def _killed(self, request: Asked) -> bool:
        """SIGKILL found it unanswered, which loses only what came late."""
        killed_us, term_us, closed_us = self.killed_us, self.term_us, request.closed_us
        return (
            killed_us is not None
            and term_us is not None
            and closed_us is not None
            and closed_us >= killed_us
            and request.sent_us <= term_us + EARLY_US
        )

    def _final_us(self, request: Asked) -> int:
        """When its answer counts as given; 0: it has none."""
        if request.status == 200:
            return request.pieces[0][0] if request.pieces else 0
        return request.whole_us or 0

    # --- attempts

    def _sent(self, request: Asked) -> Iterator[str]:
        attempts = self.of(request.id)
        final_us = self._final_us(request)
        if len(attempts) > self.most_tries:
            yield f"{len(attempts)} attempts, {self.most_tries} are allowed"
        for earlier, later in zip(attempts, attempts[1:], strict=False):
            assert later.last_us is not None
            if self._off(earlier.host, earlier.first_us, later.last_us):
                continue
            if self._off(later.host, later.first_us, later.first_us):  # called off long before, and held up till then
                continue
            if earlier.over_us is None or earlier.over_us > later.last_us + NETWORK_US:
                yield f"two attempts out at once, at {earlier.host} and {later.host}"
        ran = [a for a in attempts if a.write and not a.never_ran]
        if request.effect == "single_shot" and ran:
            if attempts[-1] is not ran[0]:
                yield f"sent again to {attempts[-1].host} though it may have run at {ran[0].host}"
            if request.status in (429, 503) and final_us:
                yield f"refused though it may have run at {ran[0].host}"
        for attempt in attempts:
            if self._off(attempt.host, attempt.first_us, attempt.first_us):
                continue
            left_us = request.sent_us + request.deadline_us - attempt.first_us
            gone = request.left_us is not None and request.left_us < attempt.first_us
            if attempt.told_ms * 1_000 > left_us + TOLD_MORE_US and not gone:
                yield (
                    f"told {attempt.host} {attempt.told_ms} ms, {attempt.told_ms * 1_000 - left_us} us more than "
                    "is left"
                )
            if final_us and attempt.first_us > final_us + NETWORK_US:
                yield f"sent to {attempt.host} {attempt.first_us - final_us} us after its answer"

    def _after_leaving(self) -> Iterator[str]:
        calls = [(a.id, a.host, a.first_us, "an attempt") for a in self.attempts]
        calls += [(number, host, at, "a call for a place") for number, host, at in self.places]
        for number, host, first_us, what in calls:
            if self._off(host, first_us, first_us):
                continue
            request = self.asked.get(number)
            if request is None:
                yield f"{number.decode()}: {what} at {host} for a request that was never written whole"
            elif request.left_us is not None and first_us > request.left_us + LEFT_US + NETWORK_US:
                yield f"{number.decode()}: {what} at {host} {first_us - request.left_us} us after its client left"

    def _drains(self) -> Iterator[str]:
        calls = [(a.id, a.host, a.first_us, "an attempt") for a in self.attempts]
        calls += [(number, host, at, "a call for a place") for number, host, at in self.places]
        for number, host, first_us, what in calls:
            told_us = self.told.get(host)
            if self._off(host, first_us, first_us):
                continue
            if told_us is not None and first_us > told_us + self.grace_us + SLACK_US + NETWORK_US:
                yield f"{number.decode()}: {what} at {host} {first_us - told_us} us after its drain was told"

    # --- streams

    def _streamed(self, request: Asked, now_us: int) -> Iterator[str]:
        if request.status != 200 or not request.body:
            return
        body = bytes(request.body)
        source = next((a for a in self.of(request.id) if a.body.startswith(body)), None)
        if source is None:
            yield f"served with what no host made for it: {body[-80:]!r}"
            return
        over_us = min(at for at in (request.left_us, request.closed_us, now_us) if at is not None)
        if request.whole_us is not None:
            if source.finished_us is None or len(body) < len(source.body):
                yield f"ended as whole after {len(body)} bytes, which the stream of {source.host} was not"
            elif request.whole_us > source.finished_us + EVENT_LATE_US and not self._off(
                source.host, source.finished_us, request.whole_us
            ):
                yield f"its end was passed on {request.whole_us - source.finished_us} us late"
            over_us = request.whole_us
        elif request.left_us is None:
            yield from self._cut(request, source, now_us)
        for written_us, size in source.pieces:
            came_us = next((at for at, length in request.pieces if length >= size), None)
            if source.broken_us is not None and written_us > source.broken_us - CROSSED_US:
                continue
            if (came_us or over_us) > written_us + EVENT_LATE_US and not self._off(
                source.host, written_us, came_us or over_us
            ):
                yield f"an event of {source.host} was passed on {(came_us or over_us) - written_us} us late"
                return

    def _cut(self, request: Asked, source: Attempt, now_us: int) -> Iterator[str]:
        broken_us, finished_us, closed_us = source.broken_us, source.finished_us, request.closed_us
        if self._off(source.host, source.pieces[0][0], closed_us or now_us):
            return
        if closed_us is None:
            last_us = max(at for at in (source.pieces[-1][0], broken_us or 0, finished_us or 0))
            if now_us > last_us + BROKEN_LATE_US:
                yield f"left waiting {now_us - last_us} us after the last event of {source.host}"
            return
        if (
            finished_us is not None
            and finished_us + NETWORK_US < closed_us
            and (broken_us is None or broken_us > finished_us + CROSSED_US)
        ):
            yield f"cut {closed_us - finished_us} us after {source.host} had finished its stream"
        elif broken_us is not None and broken_us <= closed_us:
            if closed_us > broken_us + BROKEN_LATE_US:
                yield f"left waiting {closed_us - broken_us} us after its stream broke"
        elif not self._killed(request) and (not self.resume or self.term_us is None or closed_us < self.term_us):
            silent_us = closed_us - source.pieces[-1][0]
            if silent_us < BROKEN_LATE_US - 10 * SLACK_US - NETWORK_US:
                yield f"cut while {source.host} was writing"
            elif silent_us > BROKEN_LATE_US:
                yield f"left waiting {silent_us} us after the last event of {source.host}"

    # --- what is held

    def _held(self, now_us: int) -> Iterator[str]:
        limit_us = self.release_us + HELD_MORE_US + NETWORK_US
        horizon_us = now_us if self.ended_us is None else self.ended_us
        for hold in self.holds:
            attempts = self.of(hold.id)
            end_us = min(
                [at for number, at in self.freed if number == hold.id and at >= hold.since_us]
                + [at for a in attempts for at in _uses(hold, a)]
                + [max(self.died.get(hold.host, horizon_us), hold.since_us), horizon_us]
            )
            start_us, longest_us = hold.since_us, 0
            for a in attempts:
                if a.last_us is None or a.last_us >= end_us:
                    break
                longest_us = max(longest_us, a.last_us - start_us)
                start_us = max(start_us, horizon_us if a.over_us is None else a.over_us)
            longest_us = max(longest_us, end_us - start_us)
            if longest_us > limit_us and not self._off(hold.host, hold.since_us, hold.since_us):
                what = "a place" if hold.place else "a state"
                yield f"{hold.id.decode()}: {what} at {hold.host} was held {longest_us} us with nothing out"


def _uses(hold: Hold, attempt: Attempt) -> list[int]:
    """When an attempt took what is held; a write elsewhere gives a place up."""
    if not attempt.write:
        return []
    if hold.place:
        taken_us = attempt.last_us
    elif attempt.pieces:
        taken_us = attempt.pieces[0][0]
    else:
        taken_us = attempt.over_us if attempt.no_state else None
    return [taken_us] if taken_us is not None and taken_us >= hold.since_us else []

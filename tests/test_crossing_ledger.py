"""The ledger of the crossings by itself: each rule is seen to be broken, and a plain course to keep them all."""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic

import pytest

from tests.crossing_ledger import Attempt, Ledger, request
from tests.crossing_messages import Message


def ledger(cls: str = "ask", ago_s: float = 0.0) -> Ledger:
    """With one request, asked so long ago."""
    made = Ledger(0.3, 0.25, lambda: 0.0)
    r = request("a", cls, 400)
    r.written, r.asked = len(r.data), monotonic() - ago_s
    made.requests.append(r)
    return made


def attempt(to: Ledger, role: str, how: int | None, told_ms: float = 100) -> Attempt:
    now = monotonic()
    a = Attempt(b"a", f"{role}er", role, told_ms, now, now, 0.0, now)
    to.came(a)
    if how is not None:
        to.over(a, how)
    return a


def answer(to: Ledger, status: int, body: bytes = b"") -> None:
    to.answered(to.requests, Message(b"HTTP/1.1 %d x" % status, {}, body, whole=True))


def served(to: Ledger) -> None:
    attempt(to, "read", 202)
    write = attempt(to, "write", None)
    write.events, write.finished = b"event", monotonic()
    to.over(write, 200)
    answer(to, 200, b"event")


def twice(to: Ledger) -> None:
    attempt(to, "read", None)
    attempt(to, "read", 202)


def ran(to: Ledger) -> None:
    attempt(to, "read", 202)
    attempt(to, "write", 0)


def drained(to: Ledger) -> None:
    to.drains["reader"] = monotonic() - 0.4
    attempt(to, "read", 503)


def answered_twice(to: Ledger) -> None:
    answer(to, 503)
    answer(to, 503)


def ran_and_refused(to: Ledger) -> None:
    ran(to)
    answer(to, 503)


def ran_and_sent(to: Ledger) -> None:
    ran(to)
    attempt(to, "read", 202)


def left(to: Ledger) -> None:
    to.requests[0].left = monotonic() - 0.2
    attempt(to, "read", 202)


BREAKS: dict[str, tuple[Callable[[Ledger], object], str, float]] = {
    "no answer": (lambda to: attempt(to, "read", 503), "ask", 0.0),
    "more than one answer": (
        lambda to: to.requests[0].answers.extend([(monotonic(), Message(b"HTTP/1.1 503 x", {}))] * 2),
        "ask",
        0.0,
    ),
    "an answer 503 with no request before it": (answered_twice, "ask", 0.0),
    "after its time": (lambda to: answer(to, 503), "ask", 1.0),
    "two attempts at once": (twice, "ask", 0.0),
    "written before it was read": (lambda to: attempt(to, "write", 410), "ask", 0.0),
    "was told": (lambda to: attempt(to, "read", 503, told_ms=450), "ask", 0.0),
    "refused (503) though it may have run": (ran_and_refused, "order", 0.0),
    "sent again though it may have run": (ran_and_sent, "order", 0.0),
    "after it was told to drain": (drained, "ask", 0.0),
    "after its client left": (left, "ask", 0.0),
    "reset under a request": (lambda to: to.ended(to.requests, "rst", b""), "ask", 0.0),
    "bytes that are no answer": (lambda to: to.ended(to.requests, "fin", b"x"), "ask", 0.0),
    "a stream that no host made": (lambda to: answer(to, 200, b"x"), "ask", 0.0),
}


@pytest.mark.parametrize("says", BREAKS)
def test_a_break_is_seen(says: str) -> None:
    do, cls, ago_s = BREAKS[says]
    to = ledger(cls, ago_s)
    do(to)
    assert any(says in row for row in to.judge()), to.judge()


@pytest.mark.parametrize("cls", ["ask", "order"])
def test_a_plain_course_breaks_nothing(cls: str) -> None:
    to = ledger(cls)
    served(to)
    assert to.judge() == []


def test_what_is_held_too_long_is_seen() -> None:
    to = ledger()
    attempt(to, "read", 202)
    to.moves = [(at - 0.8, kind, number) for at, kind, number in to.moves]
    assert any("with no attempt out" in row for row in to.judge())
    to.move("freed", b"a")
    assert any("with no attempt out" in row for row in to.judge())  # also when it was let go of late

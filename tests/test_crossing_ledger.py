"""The ledger of the crossing tests by itself: it reports each broken rule, and nothing for a correct exchange."""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic

import pytest

from tests.crossing_ledger import Attempt, Ledger, request
from tests.crossing_messages import Message


def make_ledger(cls: str = "ask", ago_s: float = 0.0) -> Ledger:
    """A ledger with one request, sent this many seconds ago."""
    made = Ledger(0.3, 0.25, lambda: 0.0)
    r = request("a", cls, 400)
    r.written, r.asked = len(r.data), monotonic() - ago_s
    made.requests.append(r)
    return made


def add_attempt(to: Ledger, role: str, how: int | None, told_ms: float = 100) -> Attempt:
    now = monotonic()
    a = Attempt(b"a", f"{role}er", role, told_ms, now, now, 0.0, now)
    to.on_attempt(a)
    if how is not None:
        to.on_attempt_end(a, how)
    return a


def add_answer(to: Ledger, status: int, body: bytes = b"") -> None:
    to.on_answer(to.requests, Message(b"HTTP/1.1 %d x" % status, {}, body, whole=True))


def serve_request(to: Ledger) -> None:
    add_attempt(to, "read", 202)
    write = add_attempt(to, "write", None)
    write.events, write.finished = b"event", monotonic()
    to.on_attempt_end(write, 200)
    add_answer(to, 200, b"event")


def attempt_twice(to: Ledger) -> None:
    add_attempt(to, "read", None)
    add_attempt(to, "read", 202)


def run_write(to: Ledger) -> None:
    add_attempt(to, "read", 202)
    add_attempt(to, "write", 0)


def send_to_draining(to: Ledger) -> None:
    to.drains["reader"] = monotonic() - 0.4
    add_attempt(to, "read", 503)


def answer_twice(to: Ledger) -> None:
    add_answer(to, 503)
    add_answer(to, 503)


def run_and_refuse(to: Ledger) -> None:
    run_write(to)
    add_answer(to, 503)


def run_and_send_again(to: Ledger) -> None:
    run_write(to)
    add_attempt(to, "read", 202)


def send_after_leave(to: Ledger) -> None:
    to.requests[0].left = monotonic() - 0.2
    add_attempt(to, "read", 202)


BREAKS: dict[str, tuple[Callable[[Ledger], object], str, float]] = {
    "no answer": (lambda to: add_attempt(to, "read", 503), "ask", 0.0),
    "more than one answer": (
        lambda to: to.requests[0].answers.extend([(monotonic(), Message(b"HTTP/1.1 503 x", {}))] * 2),
        "ask",
        0.0,
    ),
    "an answer 503 with no request before it": (answer_twice, "ask", 0.0),
    "after its time": (lambda to: add_answer(to, 503), "ask", 1.0),
    "two attempts at once": (attempt_twice, "ask", 0.0),
    "written before it was read": (lambda to: add_attempt(to, "write", 410), "ask", 0.0),
    "was told": (lambda to: add_attempt(to, "read", 503, told_ms=450), "ask", 0.0),
    "refused (503) though it may have run": (run_and_refuse, "order", 0.0),
    "sent again though it may have run": (run_and_send_again, "order", 0.0),
    "after it was told to drain": (send_to_draining, "ask", 0.0),
    "after its client left": (send_after_leave, "ask", 0.0),
    "reset under a request": (lambda to: to.on_connection_end(to.requests, "rst", b""), "ask", 0.0),
    "bytes that are no answer": (lambda to: to.on_connection_end(to.requests, "fin", b"x"), "ask", 0.0),
    "a stream that no host made": (lambda to: add_answer(to, 200, b"x"), "ask", 0.0),
}


@pytest.mark.parametrize("says", BREAKS)
def test_a_break_is_seen(says: str) -> None:
    do, cls, ago_s = BREAKS[says]
    to = make_ledger(cls, ago_s)
    do(to)
    assert any(says in row for row in to.judge()), to.judge()


@pytest.mark.parametrize("cls", ["ask", "order"])
def test_a_plain_course_breaks_nothing(cls: str) -> None:
    to = make_ledger(cls)
    serve_request(to)
    assert to.judge() == []


def test_what_is_held_too_long_is_seen() -> None:
    to = make_ledger()
    add_attempt(to, "read", 202)
    to.moves = [(at - 0.8, kind, number) for at, kind, number in to.moves]
    assert any("with no attempt out" in row for row in to.judge())
    to.on_hold_change("freed", b"a")
    assert any("with no attempt out" in row for row in to.judge())  # a late release does not hide it

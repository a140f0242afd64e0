"""The ledger of the crossing tests by itself: it reports each broken rule, and nothing for a correct exchange."""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic

import pytest

from tests.crossing_ledger import Attempt, Ledger, make_request
from tests.crossing_messages import Message


def make_ledger(cls: str = "ask", ago_s: float = 0.0) -> Ledger:
    """A ledger with one request, sent this many seconds ago."""
    ledger = Ledger(0.3, 0.25, lambda: 0.0)
    record = make_request("a", cls, 400)
    record.written, record.sent_at = len(record.data), monotonic() - ago_s
    ledger.requests.append(record)
    return ledger


def add_attempt(ledger: Ledger, role: str, how: int | None, deadline_ms: float = 100) -> Attempt:
    now = monotonic()
    record = Attempt(b"a", f"{role}er", role, deadline_ms, now, now, 0.0, now)
    ledger.on_attempt(record)
    if how is not None:
        ledger.on_attempt_end(record, how)
    return record


def add_answer(ledger: Ledger, status: int, body: bytes = b"") -> None:
    ledger.on_answer(ledger.requests, Message(b"HTTP/1.1 %d x" % status, {}, body, whole=True))


def serve_request(ledger: Ledger) -> None:
    add_attempt(ledger, "read", 202)
    write = add_attempt(ledger, "write", None)
    write.events, write.finished_at = b"event", monotonic()
    ledger.on_attempt_end(write, 200)
    add_answer(ledger, 200, b"event")


def attempt_twice(ledger: Ledger) -> None:
    add_attempt(ledger, "read", None)
    add_attempt(ledger, "read", 202)


def run_write(ledger: Ledger) -> None:
    add_attempt(ledger, "read", 202)
    add_attempt(ledger, "write", 0)


def send_to_draining(ledger: Ledger) -> None:
    ledger.draining_since["reader"] = monotonic() - 0.4
    add_attempt(ledger, "read", 503)


def answer_twice(ledger: Ledger) -> None:
    add_answer(ledger, 503)
    add_answer(ledger, 503)


def run_and_refuse(ledger: Ledger) -> None:
    run_write(ledger)
    add_answer(ledger, 503)


def run_and_send_again(ledger: Ledger) -> None:
    run_write(ledger)
    add_attempt(ledger, "read", 202)


def send_after_leave(ledger: Ledger) -> None:
    ledger.requests[0].left_at = monotonic() - 0.2
    add_attempt(ledger, "read", 202)


BREAKS: dict[str, tuple[Callable[[Ledger], object], str, float]] = {
    "no answer": (lambda ledger: add_attempt(ledger, "read", 503), "ask", 0.0),
    "more than one answer": (
        lambda ledger: ledger.requests[0].answers.extend([(monotonic(), Message(b"HTTP/1.1 503 x", {}))] * 2),
        "ask",
        0.0,
    ),
    "an answer 503 with no request before it": (answer_twice, "ask", 0.0),
    "after its time": (lambda ledger: add_answer(ledger, 503), "ask", 1.0),
    "two attempts at once": (attempt_twice, "ask", 0.0),
    "written before it was read": (lambda ledger: add_attempt(ledger, "write", 410), "ask", 0.0),
    "was told": (lambda ledger: add_attempt(ledger, "read", 503, deadline_ms=450), "ask", 0.0),
    "refused (503) though it may have run": (run_and_refuse, "order", 0.0),
    "sent again though it may have run": (run_and_send_again, "order", 0.0),
    "after it was told to drain": (send_to_draining, "ask", 0.0),
    "after its client left": (send_after_leave, "ask", 0.0),
    "reset under a request": (lambda ledger: ledger.on_connection_end(ledger.requests, "rst", b""), "ask", 0.0),
    "bytes that are no answer": (lambda ledger: ledger.on_connection_end(ledger.requests, "fin", b"x"), "ask", 0.0),
    "a stream that no host made": (lambda ledger: add_answer(ledger, 200, b"x"), "ask", 0.0),
}


@pytest.mark.parametrize("expected", BREAKS)
def test_a_break_is_seen(expected: str) -> None:
    violate, cls, ago_s = BREAKS[expected]
    ledger = make_ledger(cls, ago_s)
    violate(ledger)
    assert any(expected in row for row in ledger.judge()), ledger.judge()


@pytest.mark.parametrize("cls", ["ask", "order"])
def test_a_plain_course_breaks_nothing(cls: str) -> None:
    ledger = make_ledger(cls)
    serve_request(ledger)
    assert ledger.judge() == []


def test_what_is_held_too_long_is_seen() -> None:
    ledger = make_ledger()
    add_attempt(ledger, "read", 202)
    ledger.hold_changes = [(at - 0.8, kind, number) for at, kind, number in ledger.hold_changes]
    assert any("with no attempt out" in row for row in ledger.judge())
    ledger.on_hold_change("freed", b"a")
    assert any("with no attempt out" in row for row in ledger.judge())  # a late release does not hide it

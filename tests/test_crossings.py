"""Steps of a client that cross with steps of hosts, at the real dispatcher.

The orders are: the first step before the second, the second before the first, and both in one turn of the program's
loop, in either order.
"""

from __future__ import annotations

import pytest

from tests.crossing_arrangement import connecting, repeat_until_arranged
from tests.crossing_ledger import LEAVE_SLACK_S
from tests.crossings import Stage
from yardspindle.api.request_queue import MAX_QUEUED_REQUESTS

CLOSE_KINDS = ("fin", "close", "rst")
PHASES = ("before the read", "read out", "write out", "streaming")
MAX_FLOOD_GROWTH = 4_000_000  # bytes by which one client's flood may grow the program's memory
ORDERS = ("first", "second", "one turn", "one turn, second")


def serve_two_requests(stage: Stage) -> None:
    client = stage.client()
    for number in ("a", "b"):
        client.ask(number)
        stage.wait_call("read", number).answer(202, b'{"cached_tokens":0}')
        write = stage.wait_call("write", number)
        write.begin_stream()
        client.wait_first_data()
        write.send_event()
        write.end_stream()
        assert client.wait_answer().status == 200
    stage.check()


def test_a_request_is_read_and_written(stage: Stage) -> None:
    serve_two_requests(stage)


# --- a client that leaves


def flood(stage: Stage, how: str, count: int = 5, body: int = 61_000, phase: str = "read out") -> None:
    """A client sends many more requests behind its first one and leaves."""

    def more() -> None:
        client.send(b"".join(client.prepare(f"more-{at}", body=b"{%s}" % (b" " * body)).data for at in range(count)))
        client.disconnect(how)

    client, before = stage.client(), stage.peak_memory()
    if phase == "before the read":
        client.ask("before")
        stage.serve_until_answered(client)
        with stage.paused():
            client.ask("first")
            more()
    else:
        client.ask("first")
        read = stage.wait_call("read", "first")
        if phase == "read out":
            more()
        else:
            read.answer(202)
            write = stage.wait_call("write", "first")
            if phase == "streaming":
                write.begin_stream()
                client.wait_first_data()
            more()
            write.wait_end()
    stage.wait_until(client.requests[-1].left_at + 2 * LEAVE_SLACK_S)  # type: ignore[operator]
    if phase == "read out":
        read.answer(202)  # in case it was not cancelled
    assert stage.peak_memory() - before < MAX_FLOOD_GROWTH
    stage.check()


@pytest.mark.parametrize("how", CLOSE_KINDS)
@pytest.mark.parametrize("phase", PHASES)
@pytest.mark.parametrize("count,body", [(5, 61_000), (3 * MAX_QUEUED_REQUESTS, 10)])
def test_a_client_sends_much_and_goes_while_its_first_request_waits(
    stage: Stage, how: str, phase: str, count: int, body: int
) -> None:
    flood(stage, how, 1 if phase == "before the read" and body > 10 else count, body, phase)


@pytest.mark.parametrize("how", CLOSE_KINDS)
def test_a_client_goes_while_its_read_is_out(stage: Stage, how: str) -> None:
    flood(stage, how, count=0)


@pytest.mark.parametrize("how", CLOSE_KINDS)
def test_a_client_goes_while_the_connection_of_its_write_does_not_come_up(stage: Stage, how: str) -> None:
    repeat_until_arranged(stage, lambda: leaving_while_connecting(stage, how))


def leaving_while_connecting(stage: Stage, how: str) -> None:
    stage.reset(places=None)
    client = stage.client()
    client.ask("a")
    read, writer = stage.wait_call("read"), stage.host("write")
    stage.wait_call("place").answer(200, b"", b"connection: close")
    writer.stop_accepting()
    read.answer(202)
    with connecting(stage, writer):
        client.disconnect(how)
    writer.resume_accepting()
    stage.check()


@pytest.mark.parametrize("status", [200, 204, 409])
@pytest.mark.parametrize("how", CLOSE_KINDS)
def test_a_client_goes_while_its_place_is_asked(stage: Stage, how: str, status: int) -> None:
    stage.reset(places=None)
    client = stage.client()
    client.ask("a")
    read, place = stage.wait_call("read"), stage.wait_call("place")
    client.disconnect(how)
    read.wait_end()
    place.answer(status)
    stage.check()


@pytest.mark.parametrize("how", CLOSE_KINDS)
def test_a_client_goes_between_the_answer_of_its_read_and_the_next_write(stage: Stage, how: str) -> None:
    leaving_between(stage, how)


def leaving_between(stage: Stage, how: str) -> None:
    client = stage.client()
    client.ask("a")
    stage.wait_call("read").answer(202)
    stage.wait_call("write").decline()
    stage.wait_attempt_failed("a")
    client.disconnect(how)
    stage.check()


def read_answer_and_leaving(stage: Stage, how: str, order: str) -> None:
    client = stage.client()
    client.ask("a")
    read = stage.wait_call("read")
    match order:
        case "first":
            read.answer(202)
            stage.wait_call("write")
            client.disconnect(how)
        case "second":
            client.disconnect(how)
            read.wait_end()
            read.answer(202)
        case "one turn":
            with stage.paused():
                read.answer(202)
                client.disconnect(how)
        case _:
            with stage.paused():
                client.disconnect(how)
                read.answer(202)
    stage.check()


@pytest.mark.parametrize("how", CLOSE_KINDS)
@pytest.mark.parametrize("order", ORDERS)
def test_a_read_is_answered_as_its_client_goes(stage: Stage, how: str, order: str) -> None:
    read_answer_and_leaving(stage, how, order)


@pytest.mark.parametrize("how", CLOSE_KINDS)
def test_a_client_goes_as_its_stream_ends(stage: Stage, how: str) -> None:
    client = stage.client()
    client.ask("a")
    stage.wait_call("read").answer(202)
    write = stage.wait_call("write")
    write.begin_stream()
    client.wait_first_data()
    with stage.paused():
        write.end_stream()
        client.disconnect(how)
    stage.check()


def same_id(stage: Stage, order: str) -> None:
    """Another connection sends a request with the same id while what the first one holds is released."""
    for host in stage.hosts:
        host.auto_answers.pop("free")
    client, second = stage.client(), stage.client()
    client.ask("x")
    stage.wait_call("read").answer(202)
    stage.wait_call("write").decline()
    stage.wait_attempt_failed("x")
    if order == "first":
        client.disconnect("close")
        free = stage.wait_call("free", "x")
        second.ask("x")
        free.answer(204)
    elif order == "second":
        second.ask("x")
        second.wait_answer()
        client.disconnect("close")
        stage.wait_call("free", "x").answer(204)
    else:
        with stage.paused():
            client.disconnect("close")
            second.ask("x")
    for host in stage.hosts:
        host.auto_answers["free"] = 204
    stage.serve_until_answered(second)
    assert second.wait_answer()
    stage.check()


@pytest.mark.parametrize("order", ORDERS[:3])
def test_the_same_id_comes_while_the_first_is_let_go_of(stage: Stage, order: str) -> None:
    same_id(stage, order)


# --- a client's deadline


def first_token_and_deadline(stage: Stage, cls: str, order: str) -> None:
    client = stage.client()
    request = client.ask("a", cls, deadline_ms=400)
    stage.wait_call("read").answer(202)
    write = stage.wait_call("write")
    due = (request.sent_at or 0.0) + 0.4
    match order:
        case "first":
            write.begin_stream()
            client.wait_first_data()
            stage.wait_until(due + 0.05)
        case "second":
            write.wait_end()
            write.begin_stream()
        case _:
            stage.wait_until(due - 0.03)
            with stage.paused():
                if order == "one turn":
                    write.begin_stream()
                stage.wait_until(due + 0.01)
                if order != "one turn":
                    write.begin_stream()
    write.end_stream()
    client.wait_answer()
    stage.check()


@pytest.mark.parametrize("cls", ["ask", "order"])
@pytest.mark.parametrize("order", ORDERS)
def test_the_first_token_comes_as_the_deadline_passes(stage: Stage, cls: str, order: str) -> None:
    first_token_and_deadline(stage, cls, order)


# --- a client that is answered early


def early_answer(stage: Stage, order: str, bad: str) -> None:
    client = stage.client()
    size = 300_000 if bad == "large" else 200_000
    body = b"{%s}" % (b" " * size)
    request = client.ask("a", cls="none" if bad == "class" else "ask", upto=500, body=body)
    match order:
        case "first":  # the answer, then the rest
            client.wait_answer()
            client.send_more(request, 100_000)
            client.send_more(request)
        case "second":
            client.send_more(request)
        case _:
            with stage.paused():
                client.send_more(request, len(request.data) - 1)
            client.send_more(request)
    assert client.wait_answer().status == (413 if bad == "large" else 400)
    stage.wait_until((request.sent_at or 0.0) + 0.05)
    stage.check()


@pytest.mark.parametrize("bad", ["class", "large"])
@pytest.mark.parametrize("order", ORDERS[:3])
def test_an_early_error_crosses_with_the_rest_of_the_body(stage: Stage, order: str, bad: str) -> None:
    early_answer(stage, order, bad)

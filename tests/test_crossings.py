"""Crossings of a client's steps with those of hosts at the real dispatcher."""

from __future__ import annotations

import pytest

from tests.crossing_ledger import LEFT_S
from tests.crossings import Stage
from yardspindle.api.request_queue import MAX_QUEUED_REQUESTS

LEAVING = ("fin", "close", "rst")
PHASES = ("before the read", "read out", "write out", "streaming")
FLOOD_MOST = 4_000_000  # bytes by which one client's flood may make the program grow
ORDERS = ("first", "second", "one turn", "one turn, second")


def plainly(stage: Stage) -> None:
    client = stage.client()
    for number in ("a", "b"):
        client.ask(number)
        stage.call("read", number).answer(202, b'{"cached_tokens":0}')
        write = stage.call("write", number)
        write.begin()
        client.begun()
        write.event()
        write.last()
        assert client.answer().status == 200
    stage.check()


def test_a_request_is_read_and_written(stage: Stage) -> None:
    plainly(stage)


# --- a client that leaves


def flood(stage: Stage, how: str, count: int = 5, body: int = 61_000, phase: str = "read out") -> None:
    """Much more comes after the first request, and the end."""

    def more() -> None:
        client.send(b"".join(client.asks(f"more-{at}", body=b"{%s}" % (b" " * body)).data for at in range(count)))
        client.leave(how)

    client, before = stage.client(), stage.memory()
    if phase == "before the read":
        client.ask("before")
        stage.play(client)
        with stage.stopped():
            client.ask("first")
            more()
    else:
        client.ask("first")
        read = stage.call("read", "first")
        if phase == "read out":
            more()
        else:
            read.answer(202)
            write = stage.call("write", "first")
            if phase == "streaming":
                write.begin()
                client.begun()
            more()
            write.ended()
    stage.at(client.requests[-1].left + 2 * LEFT_S)  # type: ignore[operator]
    if phase == "read out":
        read.answer(202)  # unless it was called off
    assert stage.memory() - before < FLOOD_MOST
    stage.check()


@pytest.mark.parametrize("how", LEAVING)
@pytest.mark.parametrize("phase", PHASES)
@pytest.mark.parametrize("count,body", [(5, 61_000), (3 * MAX_QUEUED_REQUESTS, 10)])
def test_a_client_sends_much_and_goes_while_its_first_request_waits(
    stage: Stage, how: str, phase: str, count: int, body: int
) -> None:
    flood(stage, how, 1 if phase == "before the read" and body > 10 else count, body, phase)


@pytest.mark.parametrize("how", LEAVING)
def test_a_client_goes_while_its_read_is_out(stage: Stage, how: str) -> None:
    flood(stage, how, count=0)


@pytest.mark.parametrize("how", LEAVING)
def test_a_client_goes_while_the_connection_of_its_write_does_not_come_up(stage: Stage, how: str) -> None:
    stage.fresh(places=None)
    client = stage.client()
    client.ask("a")
    read, writer = stage.call("read"), stage.host("write")
    stage.call("place").answer(200, b"", b"connection: close")
    writer.shut()
    read.answer(202)
    stage.connecting(writer)
    client.leave(how)
    writer.open()
    stage.check()


@pytest.mark.parametrize("status", [200, 204, 409])
@pytest.mark.parametrize("how", LEAVING)
def test_a_client_goes_while_its_place_is_asked(stage: Stage, how: str, status: int) -> None:
    stage.fresh(places=None)
    client = stage.client()
    client.ask("a")
    read, place = stage.call("read"), stage.call("place")
    client.leave(how)
    read.ended()
    place.answer(status)
    stage.check()


@pytest.mark.parametrize("how", LEAVING)
def test_a_client_goes_between_the_answer_of_its_read_and_the_next_write(stage: Stage, how: str) -> None:
    leaving_between(stage, how)


def leaving_between(stage: Stage, how: str) -> None:
    client = stage.client()
    client.ask("a")
    stage.call("read").answer(202)
    stage.call("write").decline()
    stage.failed("a")
    client.leave(how)
    stage.check()


def read_answer_and_leaving(stage: Stage, how: str, order: str) -> None:
    client = stage.client()
    client.ask("a")
    read = stage.call("read")
    match order:
        case "first":
            read.answer(202)
            stage.call("write")
            client.leave(how)
        case "second":
            client.leave(how)
            read.ended()
            read.answer(202)
        case "one turn":
            with stage.stopped():
                read.answer(202)
                client.leave(how)
        case _:
            with stage.stopped():
                client.leave(how)
                read.answer(202)
    stage.check()


@pytest.mark.parametrize("how", LEAVING)
@pytest.mark.parametrize("order", ORDERS)
def test_a_read_is_answered_as_its_client_goes(stage: Stage, how: str, order: str) -> None:
    read_answer_and_leaving(stage, how, order)


@pytest.mark.parametrize("how", LEAVING)
def test_a_client_goes_as_its_stream_ends(stage: Stage, how: str) -> None:
    client = stage.client()
    client.ask("a")
    stage.call("read").answer(202)
    write = stage.call("write")
    write.begin()
    client.begun()
    with stage.stopped():
        write.last()
        client.leave(how)
    stage.check()


def same_id(stage: Stage, order: str) -> None:
    """Another connection asks by the same id while the first request is let go of."""
    for host in stage.hosts:
        host.auto.pop("free")
    client, second = stage.client(), stage.client()
    client.ask("x")
    stage.call("read").answer(202)
    stage.call("write").decline()
    stage.failed("x")
    if order == "first":
        client.leave("close")
        free = stage.call("free", "x")
        second.ask("x")
        free.answer(204)
    elif order == "second":
        second.ask("x")
        second.answer()
        client.leave("close")
        stage.call("free", "x").answer(204)
    else:
        with stage.stopped():
            client.leave("close")
            second.ask("x")
    for host in stage.hosts:
        host.auto["free"] = 204
    stage.play(second)
    assert second.answer()
    stage.check()


@pytest.mark.parametrize("order", ORDERS[:3])
def test_the_same_id_comes_while_the_first_is_let_go_of(stage: Stage, order: str) -> None:
    same_id(stage, order)


# --- a client's time


def first_token_and_deadline(stage: Stage, cls: str, order: str) -> None:
    client = stage.client()
    r = client.ask("a", cls, deadline_ms=400)
    stage.call("read").answer(202)
    write = stage.call("write")
    due = (r.asked or 0.0) + 0.4
    match order:
        case "first":
            write.begin()
            client.begun()
            stage.at(due + 0.05)
        case "second":
            write.ended()
            write.begin()
        case _:
            stage.at(due - 0.03)
            with stage.stopped():
                if order == "one turn":
                    write.begin()
                stage.at(due + 0.01)
                if order != "one turn":
                    write.begin()
    write.last()
    client.answer()
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
    r = client.ask("a", cls="none" if bad == "class" else "ask", upto=500, body=body)
    match order:
        case "first":  # the answer, then the rest
            client.answer()
            client.more(r, 100_000)
            client.more(r)
        case "second":
            client.more(r)
        case _:
            with stage.stopped():
                client.more(r, len(r.data) - 1)
            client.more(r)
    assert client.answer().status == (413 if bad == "large" else 400)
    stage.at((r.asked or 0.0) + 0.05)
    stage.check()


@pytest.mark.parametrize("bad", ["class", "large"])
@pytest.mark.parametrize("order", ORDERS[:3])
def test_an_early_error_crosses_with_the_rest_of_the_body(stage: Stage, order: str, bad: str) -> None:
    early_answer(stage, order, bad)

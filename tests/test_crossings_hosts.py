"""Crossings of the steps of hosts and of discovery at the real dispatcher."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from time import monotonic

import pytest

from tests.crossing_agent import Agent
from tests.crossing_messages import EVENT, HEAD, LAST, chunk, plain
from tests.crossing_parties import Call, Client
from tests.crossings import GRACE_S, Shared, Stage

ORDERS = ("first", "second", "one turn", "one turn, second")
REST_S = 0.03  # after its last answer a connection is used again
STRAY = b'data: {"choices":[{"index":0,"delta":{"content":"stray"}}]}\n\n'


def served(stage: Stage, client: Client, number: str) -> tuple[Call, Call]:
    """A request that is served: the connections of its read and its write."""
    client.ask(number)
    read = stage.call("read", number)
    read.answer(202)
    write = stage.call("write", number)
    write.serve()
    assert client.answer().status == 200
    return read, write


# --- connections that are kept; these come first, since a program that has seen one break keeps others for less long


def second_answer(stage: Stage, role: str, order: str, rested: bool = False) -> None:
    """A few milliseconds after an answer its host says another: the next request must not take it."""
    client = stage.client()
    read, write = served(stage, client, "a")
    stage.at(monotonic() + (REST_S if rested else 0.0))
    at, stray = (read, plain(202)) if role == "read" else (write, HEAD + chunk(STRAY) + LAST)
    if order == "first":
        at.send(stray)
        client.ask("b")
    elif order == "one turn":
        with stage.stopped():
            at.send(stray)
            client.ask("b")
    else:
        with stage.stopped():
            client.ask("b")
            at.send(stray)
    follow(stage, client)


def follow(stage: Stage, client: Client) -> None:
    """The next request is read and written; another is served meanwhile, so that a wrong step has time to show."""
    read = stage.call("read", "b")
    served(stage, stage.client(), "other")
    read.answer(202)
    stage.call("write", "b").serve()
    assert client.answer().status == 200
    stage.check()


@pytest.mark.parametrize("role", ["read", "write"])
@pytest.mark.parametrize("order", ["first", "one turn", "one turn, second"])
@pytest.mark.parametrize("rested", [False, True])
def test_a_second_answer_comes_on_a_connection_just_kept(stage: Stage, role: str, order: str, rested: bool) -> None:
    second_answer(stage, role, order, rested)


@pytest.mark.parametrize("role", ["read", "write"])
def test_a_second_answer_comes_with_the_first(stage: Stage, role: str) -> None:
    two_answers(stage, role)


def two_answers(stage: Stage, role: str) -> None:
    client = stage.client()
    client.ask("a")
    read = stage.call("read")
    with stage.stopped():
        read.answer(202)
        if role == "read":
            read.send(plain(202))
    write = stage.call("write")
    with stage.stopped():
        write.serve()
        if role == "write":
            write.send(HEAD + chunk(STRAY) + LAST)
    assert client.answer().status == 200
    stage.at(monotonic() + REST_S)
    client.ask("b")
    follow(stage, client)


def end_with_the_answer(stage: Stage, role: str, order: str) -> None:
    """A host ends its connection with its last byte: the answer counts, the connection is used no more."""
    client = stage.client()
    client.ask("a")
    read = stage.call("read")
    if role == "read":
        with stage.stopped():
            read.answer(202)
            read.finish()
            if order == "one turn":
                client.ask("b")
        stage.call("write", "a").serve()
    else:
        read.answer(202)
        write = stage.call("write")
        write.begin()
        client.begun()
        if order == "one turn":
            with stage.stopped():
                write.last(fin=True)
                client.ask("b")
        else:
            write.last(fin=True)
            assert client.answer().status == 200
    if order == "one turn":
        stage.call("read", "b").answer(202)
        stage.call("write", "b").serve()
        client.answer()
    else:
        served(stage, client, "b")
    assert [m.status for m in client.answers] == [200, 200]
    stage.check()


@pytest.mark.parametrize("role", ["read", "write"])
@pytest.mark.parametrize("order", ["first", "one turn"])
def test_a_host_ends_its_connection_with_its_last_byte(stage: Stage, role: str, order: str) -> None:
    end_with_the_answer(stage, role, order)


def test_a_host_ends_a_kept_connection_as_the_next_request_comes(stage: Stage) -> None:
    client = stage.client()
    for number, first in (("b", "host"), ("c", "client")):
        read, write = served(stage, client, "a" + number)
        stage.at(monotonic() + REST_S)
        with stage.stopped():
            if first == "client":
                client.ask(number)
            read.finish()
            write.close(reset=True)
            if first == "host":
                client.ask(number)
        stage.call("read", number).answer(202)
        stage.call("write", number).serve()
        assert client.answer().status == 200
    stage.check()


# --- answers that break


def place_and_reset(stage: Stage, status: int, order: str) -> None:
    """A place is answered as the read that it is meant for fails."""
    stage.fresh(readers=2, writers=2, places=None)
    client = stage.client()
    client.ask("a")
    read, place = stage.call("read"), stage.call("place")
    for host in stage.hosts:
        host.auto["place"] = 200  # to the next read's
    match order:
        case "first":
            place.answer(status)
            read.leave(reset=True)
        case "second":
            read.leave(reset=True)
            stage.failed("a")
            place.answer(status)
        case "one turn":
            with stage.stopped():
                place.answer(status)
                read.leave(reset=True)
        case _:
            with stage.stopped():
                read.leave(reset=True)
                place.answer(status)
    again = stage.call("read")
    again.answer(202)
    stage.play(client)
    assert client.answer().status == 200
    stage.check()


@pytest.mark.parametrize("status", [200, 409, 204])
@pytest.mark.parametrize("order", ORDERS)
def test_a_place_is_answered_as_its_read_fails(stage: Stage, order: str, status: int) -> None:
    place_and_reset(stage, status, order)


def cut_after_head(stage: Stage, role: str, cls: str, reset: bool, data: bytes) -> None:
    """An answer breaks after its head, or within its first event."""
    stage.fresh(readers=2, writers=2)
    client = stage.client()
    client.ask("a", cls, deadline_ms=1_000)
    read = stage.call("read")
    if role == "read":
        read.send(data)
        read.leave(reset)
    else:
        read.answer(202)
        write = stage.call("write")
        write.send(data)
        write.leave(reset)
    stage.play(client)
    assert client.answer()
    stage.check()


CUTS = {
    "nothing": b"",
    "head": HEAD,
    "part of a chunk": HEAD + chunk(EVENT)[:20],
    "word": b"HTTP/1.1 503 x\r\nsrv-declined: 1\r\ncontent-length: 5\r\n\r\nno",
}


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("cls", ["ask", "order"])
@pytest.mark.parametrize("cut", CUTS)
def test_a_writers_answer_is_cut_after_its_head(stage: Stage, cut: str, cls: str, reset: bool) -> None:
    cut_after_head(stage, "write", cls, reset, CUTS[cut])


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("cls", ["ask", "order"])
def test_a_readers_answer_is_cut_after_its_head(stage: Stage, cls: str, reset: bool) -> None:
    cut_after_head(stage, "read", cls, reset, b'HTTP/1.1 202 x\r\ncontent-length: 20\r\n\r\n{"cach')


@pytest.mark.parametrize("reset", [False, True])
def test_a_stream_breaks_in_its_middle(stage: Stage, reset: bool) -> None:
    broken_stream(stage, reset)


def broken_stream(stage: Stage, reset: bool) -> None:
    client = stage.client()
    client.ask("a")
    stage.call("read").answer(202)
    write = stage.call("write")
    write.begin()
    client.begun()
    with stage.stopped():
        write.event()
        write.leave(reset)
    assert client.answer()
    stage.check()


# --- discovery


@pytest.fixture(scope="module")
def moved(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Shared]:
    shared = Shared(tmp_path_factory.mktemp("moved"))
    yield shared
    shared.close()


def discovery_moves(stage: Stage, order: str) -> None:
    """A new configuration names another agent as the old one answers a last time."""
    old, agent = stage.hosts, stage.agent
    watch = stage.until("a watch", agent.waiting)
    late = stage.new_hosts(1, 1)  # that only the old agent names
    new = stage.agent = Agent(stage, stage.new_hosts(1, 1))
    new.revision = agent.revision + 5
    stage.configure(new)
    with stage.news:
        agent.silent, watch.open = True, False
        agent.revision += 9 if order in ("second", "half") else 1  # what comes after the move must not count as news
    word = plain(200, agent.listed(late))
    match order:
        case "first":
            watch.send(word)
            stage.until("a watch of the late list", lambda: any(call.index == agent.revision for call in agent.calls))
            stage.signal(signal.SIGHUP)
        case "second":
            stage.signal(signal.SIGHUP)
            stage.until("a call", lambda: new.asked)
            watch.send(word)
        case "one turn":
            with stage.stopped():
                watch.send(word)
                stage.signal(signal.SIGHUP)
        case "one turn, second":
            with stage.stopped():
                stage.signal(signal.SIGHUP)
                watch.send(word)
        case _:
            watch.send(word[: len(word) // 2])
            stage.signal(signal.SIGHUP)
            stage.until("a call", lambda: new.asked)
            watch.send(word[len(word) // 2 :])
    stage.until("a watch at the new address", new.waiting)
    client = stage.client()
    client.ask("a")
    read = stage.call("read")
    assert read.host is new.hosts[0] and read.host not in (*old, *late)
    read.answer(202)
    stage.call("write").serve()
    assert client.answer().status == 200
    stage.until("the end of the old watch", lambda: watch.end)
    stage.check()


@pytest.mark.parametrize("order", [*ORDERS, "half"])
def test_discovery_moves_as_the_old_agent_answers(moved: Shared, order: str) -> None:
    discovery_moves(moved.fresh(), order)


@pytest.fixture(scope="module")
def patient(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Shared]:
    """Connections may be long in coming up: a SYN is sent again after a second."""
    shared = Shared(tmp_path_factory.mktemp("patient"), connect_timeout_us=1_500_000)
    yield shared
    shared.close()


def drain_and_connection(stage: Stage, order: str, role: str) -> None:
    """A host is told to drain while a connection to it does not come up; it does later than the grace allows."""
    stage.fresh(readers=2, writers=2)
    first, other = stage.host(role), stage.host(role, 1)
    rest = [host for host in stage.hosts if host.role != role]
    stage.agent.tell(first, *rest)
    if order != "second":
        first.shut()
    client = stage.client()
    if order == "one turn":
        with stage.stopped():
            client.ask("a")
            first.phase = "Terminating"
            stage.agent.write(first, other, *rest)
    else:
        if order == "first":
            client.ask("a")
            if role == "write":
                stage.call("read").answer(202)
            stage.connecting(first)
        first.phase = "Terminating"
        stage.agent.tell(first, other, *rest)
        if order == "second":
            client.ask("a")
    if order != "second":
        stage.at(stage.ledger.drains[first.name] + GRACE_S)
        first.open()
    stage.play(client)
    assert client.answer().status == 200
    stage.connected(first)
    stage.check()


@pytest.mark.parametrize("role", ["read", "write"])
@pytest.mark.parametrize("order", ["first", "second", "one turn"])
def test_a_host_is_told_to_drain_as_a_connection_to_it_is_made(patient: Shared, order: str, role: str) -> None:
    drain_and_connection(patient.fresh(), order, role)

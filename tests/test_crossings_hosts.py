"""Steps of hosts and of discovery that cross with other steps, at the real dispatcher."""

from __future__ import annotations

import contextlib
import signal
from collections.abc import Iterator
from time import monotonic

import pytest

from tests.crossing_agent import Agent
from tests.crossing_arrangement import connecting, repeat_until_arranged, wait_connected
from tests.crossing_messages import EVENT, HEAD, LAST_CHUNK, chunk, plain
from tests.crossing_parties import Call, Client
from tests.crossings import GRACE_S, SharedStage, Stage

ORDERS = ("first", "second", "one turn", "one turn, second")
REUSE_DELAY_S = 0.03  # this long after its last answer a connection is reused
STRAY = b'data: {"choices":[{"index":0,"delta":{"content":"stray"}}]}\n\n'


def serve_request(stage: Stage, client: Client, number: str) -> tuple[Call, Call]:
    """Serves a request; returns the connections of its read and its write."""
    client.ask(number)
    read = stage.wait_call("read", number)
    read.answer(202)
    write = stage.wait_call("write", number)
    write.serve_stream()
    assert client.wait_answer().status == 200
    return read, write


# --- idle connections; first in this file, since a program that saw one break keeps others for a shorter time


def second_answer(stage: Stage, role: str, order: str, rested: bool = False) -> None:
    """A host sends a second answer milliseconds after the first; the next request must not take it."""
    client = stage.client()
    read, write = serve_request(stage, client, "a")
    stage.wait_until(monotonic() + (REUSE_DELAY_S if rested else 0.0))
    call, stray = (read, plain(202)) if role == "read" else (write, HEAD + chunk(STRAY) + LAST_CHUNK)
    if order == "first":
        call.send(stray)
        client.ask("b")
    elif order == "one turn":
        with stage.paused():
            call.send(stray)
            client.ask("b")
    else:
        with stage.paused():
            client.ask("b")
            call.send(stray)
    serve_next_request(stage, client)


def serve_next_request(stage: Stage, client: Client) -> None:
    """Serves the next request, and another one meanwhile, so that a wrong step has time to show."""
    read = stage.wait_call("read", "b")
    serve_request(stage, stage.client(), "other")
    read.answer(202)
    stage.wait_call("write", "b").serve_stream()
    assert client.wait_answer().status == 200
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
    read = stage.wait_call("read")
    with stage.paused():
        read.answer(202)
        if role == "read":
            read.send(plain(202))
    write = stage.wait_call("write")
    with stage.paused():
        write.serve_stream()
        if role == "write":
            write.send(HEAD + chunk(STRAY) + LAST_CHUNK)
    assert client.wait_answer().status == 200
    stage.wait_until(monotonic() + REUSE_DELAY_S)
    client.ask("b")
    serve_next_request(stage, client)


def end_with_the_answer(stage: Stage, role: str, order: str) -> None:
    """A host closes its connection with its last byte: the answer counts, the connection is not reused."""
    client = stage.client()
    client.ask("a")
    read = stage.wait_call("read")
    if role == "read":
        with stage.paused():
            read.answer(202)
            read.shutdown_write()
            if order == "one turn":
                client.ask("b")
        stage.wait_call("write", "a").serve_stream()
    else:
        read.answer(202)
        write = stage.wait_call("write")
        write.begin_stream()
        client.wait_first_data()
        if order == "one turn":
            with stage.paused():
                write.end_stream(fin=True)
                client.ask("b")
        else:
            write.end_stream(fin=True)
            assert client.wait_answer().status == 200
    if order == "one turn":
        stage.wait_call("read", "b").answer(202)
        stage.wait_call("write", "b").serve_stream()
        client.wait_answer()
    else:
        serve_request(stage, client, "b")
    assert [m.status for m in client.answers] == [200, 200]
    stage.check()


@pytest.mark.parametrize("role", ["read", "write"])
@pytest.mark.parametrize("order", ["first", "one turn"])
def test_a_host_ends_its_connection_with_its_last_byte(stage: Stage, role: str, order: str) -> None:
    end_with_the_answer(stage, role, order)


def test_a_host_ends_a_kept_connection_as_the_next_request_comes(stage: Stage) -> None:
    client = stage.client()
    for number, first in (("b", "host"), ("c", "client")):
        read, write = serve_request(stage, client, "a" + number)
        stage.wait_until(monotonic() + REUSE_DELAY_S)
        with stage.paused():
            if first == "client":
                client.ask(number)
            read.shutdown_write()
            write.close(reset=True)
            if first == "host":
                client.ask(number)
        stage.wait_call("read", number).answer(202)
        stage.wait_call("write", number).serve_stream()
        assert client.wait_answer().status == 200
    stage.check()


# --- answers that break


def place_and_reset(stage: Stage, status: int, order: str) -> None:
    """A place is answered as its read fails."""
    stage.reset(readers=2, writers=2, places=None)
    client = stage.client()
    client.ask("a")
    read, place = stage.wait_call("read"), stage.wait_call("place")
    for host in stage.hosts:
        host.auto_answers["place"] = 200  # for the next read
    match order:
        case "first":
            place.answer(status)
            read.disconnect(reset=True)
        case "second":
            read.disconnect(reset=True)
            stage.wait_attempt_failed("a")
            place.answer(status)
        case "one turn":
            with stage.paused():
                place.answer(status)
                read.disconnect(reset=True)
        case _:
            with stage.paused():
                read.disconnect(reset=True)
                place.answer(status)
    again = stage.wait_call("read")
    again.answer(202)
    stage.serve_until_answered(client)
    assert client.wait_answer().status == 200
    stage.check()


@pytest.mark.parametrize("status", [200, 409, 204])
@pytest.mark.parametrize("order", ORDERS)
def test_a_place_is_answered_as_its_read_fails(stage: Stage, order: str, status: int) -> None:
    place_and_reset(stage, status, order)


def cut_after_head(stage: Stage, role: str, cls: str, reset: bool, data: bytes) -> None:
    """An answer breaks before, in or after its head, or within its first event."""
    stage.reset(readers=2, writers=2)
    client = stage.client()
    client.ask("a", cls, deadline_ms=1_000)
    read = stage.wait_call("read")
    if role == "read":
        read.send(data)
        read.disconnect(reset)
    else:
        read.answer(202)
        write = stage.wait_call("write")
        write.send(data)
        write.disconnect(reset)
    stage.serve_until_answered(client)
    assert client.wait_answer()
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
    stage.wait_call("read").answer(202)
    write = stage.wait_call("write")
    write.begin_stream()
    client.wait_first_data()
    with stage.paused():
        write.send_event()
        write.disconnect(reset)
    assert client.wait_answer()
    stage.check()


# --- discovery


@pytest.fixture(scope="module")
def moved(tmp_path_factory: pytest.TempPathFactory) -> Iterator[SharedStage]:
    shared = SharedStage(tmp_path_factory.mktemp("moved"))
    yield shared
    shared.close()


def discovery_moves(stage: Stage, order: str) -> None:
    """A new configuration names another agent as the old one answers a last time."""
    old, agent = stage.hosts, stage.agent
    watch = stage.wait_for("a watch", agent.pending_watch)
    late = stage.new_hosts(1, 1)  # listed by the old agent only
    new = stage.agent = Agent(stage, stage.new_hosts(1, 1))
    new.revision = agent.revision + 5
    stage.configure(new)
    with stage.changed:
        agent.silent, watch.pending = True, False
        agent.revision += 9 if order in ("second", "half") else 1  # after the move it must not count as newer
    answer = plain(200, agent.list_body(late))
    match order:
        case "first":
            watch.send(answer)
            stage.wait_for(
                "a watch of the late list", lambda: any(call.index == agent.revision for call in agent.calls)
            )
            stage.send_signal(signal.SIGHUP)
        case "second":
            stage.send_signal(signal.SIGHUP)
            stage.wait_for("a call", lambda: new.call_count)
            watch.send(answer)
        case "one turn":
            with stage.paused():
                watch.send(answer)
                stage.send_signal(signal.SIGHUP)
        case "one turn, second":
            with stage.paused():
                stage.send_signal(signal.SIGHUP)
                watch.send(answer)
        case _:
            watch.send(answer[: len(answer) // 2])
            stage.send_signal(signal.SIGHUP)
            stage.wait_for("a call", lambda: new.call_count)
            watch.send(answer[len(answer) // 2 :])
    stage.wait_for("a watch at the new address", new.pending_watch)
    client = stage.client()
    client.ask("a")
    read = stage.wait_call("read")
    assert read.host is new.hosts[0] and read.host not in (*old, *late)
    read.answer(202)
    stage.wait_call("write").serve_stream()
    assert client.wait_answer().status == 200
    stage.wait_for("the end of the old watch", lambda: watch.end)
    stage.check()


@pytest.mark.parametrize("order", [*ORDERS, "half"])
def test_discovery_moves_as_the_old_agent_answers(moved: SharedStage, order: str) -> None:
    discovery_moves(moved.fresh(), order)


@pytest.fixture(scope="module")
def patient(tmp_path_factory: pytest.TempPathFactory) -> Iterator[SharedStage]:
    """Allows connections time to be established: the kernel repeats a SYN after a second."""
    shared = SharedStage(tmp_path_factory.mktemp("patient"), connect_timeout_us=1_500_000)
    yield shared
    shared.close()


def drain_and_connection(stage: Stage, order: str, role: str) -> None:
    """A host starts to drain while a connection to it is being made, which succeeds only after the grace."""
    stage.reset(readers=2, writers=2)
    first, other = stage.host(role), stage.host(role, 1)
    rest = [host for host in stage.hosts if host.role != role]
    stage.agent.publish_and_wait(first, *rest)
    if order != "second":
        first.stop_accepting()
    client = stage.client()
    if order == "one turn":
        with stage.paused():
            client.ask("a")
            first.phase = "Terminating"
            stage.agent.publish(first, other, *rest)
    else:
        if order == "first":
            client.ask("a")
            if role == "write":
                stage.wait_call("read").answer(202)
        with connecting(stage, first) if order == "first" else contextlib.nullcontext():
            first.phase = "Terminating"
            stage.agent.publish_and_wait(first, other, *rest)
        if order == "second":
            client.ask("a")
    if order != "second":
        stage.wait_until(stage.ledger.draining_since[first.name] + GRACE_S)
        first.resume_accepting()
    stage.serve_until_answered(client)
    assert client.wait_answer().status == 200
    wait_connected(stage, first)
    stage.check()


@pytest.mark.parametrize("role", ["read", "write"])
@pytest.mark.parametrize("order", ["first", "second", "one turn"])
def test_a_host_is_told_to_drain_as_a_connection_to_it_is_made(patient: SharedStage, order: str, role: str) -> None:
    stage = patient.fresh()
    repeat_until_arranged(stage, lambda: drain_and_connection(stage, order, role))

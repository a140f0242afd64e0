"""A client's bytes that cross with closes by the program: SIGTERM, the steps of the drain, idle connections.

The times are those of `core/request/graceful_shutdown.py` for classes with a deadline of 1.3 s. A step falls due while
the program is stopped, so that one turn of its loop finds both the step and what arrived in the meantime.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from pathlib import Path
from time import monotonic

import pytest

from tests.crossing_parties import Call, Client
from tests.crossings import TIMER_MARGIN_S, Stage

GIVE_UP_MS = 1_300
CLOSE_S, CUT_S, EXIT_S = 0.7, 0.9, 1.05  # after SIGTERM, for these classes
AHEAD_S = 0.06  # the program is stopped this long before a step
UNUSED_CONNECTION_S = 2.0  # after this a connection without any bytes is closed
MAX_TRIES = 4  # on a slow machine a step may happen before the stop
IDLE = ("before the signal", "with the signal", "after it", "whole", "half", "late")
NEW = ("new", "new half", "new empty")


def idle_clients(stage: Stage, *names: str) -> dict[str, Client]:
    """Idle connections, each of which has served one request."""
    clients = {}
    for name in names:
        clients[name] = stage.client()
        clients[name].ask(f"{name.replace(' ', '-')}-0")
        stage.serve_until_answered(clients[name])
    return clients


def ask(client: Client, name: str, upto: int | None = None) -> None:
    client.ask(f"{name.replace(' ', '-')}-1", upto=upto, deadline_ms=1_300)


def retry_until_in_time(scenario: Callable[[Path], list[str] | None], folder: Path) -> list[str]:
    """Runs `scenario` until the program was stopped before the intended step; it returns None if not."""
    for at in range(MAX_TRIES):
        (folder / str(at)).mkdir()
        if (found := scenario(folder / str(at))) is not None:
            return found
    raise AssertionError("the machine is too slow for this")


def drain_with_requests(folder: Path) -> list[str] | None:
    """Sends requests on idle and new connections at SIGTERM and as the program closes idle connections."""
    with Stage(folder, GIVE_UP_MS) as stage:
        clients = idle_clients(stage, *IDLE, "silent")
        with stage.paused():
            ask(clients["before the signal"], "before the signal")
            stage.send_signal(signal.SIGTERM)
            ask(clients["with the signal"], "with the signal")
            signalled_at = monotonic()
        draining_at = stage.wait_log_line("draining")
        ask(clients["after it"], "after it")
        stage.serve_until_answered(clients["before the signal"], clients["with the signal"], clients["after it"])
        stage.wait_until(signalled_at + CLOSE_S - AHEAD_S)
        with stage.paused():
            if monotonic() > signalled_at + CLOSE_S:
                return None
            ask(clients["whole"], "whole")
            ask(clients["half"], "half", upto=60)
            clients |= {name: stage.client() for name in NEW}
            ask(clients["new"], "new")
            ask(clients["new half"], "new half", upto=60)
            stage.wait_until(draining_at + CLOSE_S + TIMER_MARGIN_S)
        for name in ("half", "new half"):
            clients[name].send_more(clients[name].requests[-1])
        stage.serve_until_answered(clients["whole"], clients["half"], clients["new"], clients["new half"])
        clients["silent"].wait_end()
        ask(clients["late"], "late")
        for name in ("late", "new empty", *NEW, *IDLE):
            clients[name].wait_end()
        assert stage.wait_exit() == 0
        return stage.judge()


@pytest.fixture(scope="module")
def drain(tmp_path_factory: pytest.TempPathFactory) -> list[str]:
    return retry_until_in_time(drain_with_requests, tmp_path_factory.mktemp("drain"))


@pytest.mark.parametrize("name", [*IDLE, *NEW])
def test_a_request_crosses_with_a_step_of_the_drain(drain: list[str], name: str) -> None:
    assert not [row for row in drain if f".{name.replace(' ', '-')}-" in row]


def test_nothing_else_breaks_in_the_drain(drain: list[str]) -> None:
    names = [f".{name.replace(' ', '-')}-" for name in (*IDLE, *NEW)]
    assert not [row for row in drain if not any(name in row for name in names)]


# --- streams at the drain's last steps

STREAMS = ("before the last step", "in its turn", "in its turn with the end", "after it")


def end_streams_at_last_step(folder: Path, busy: bool) -> list[str] | None:
    """The last chunk of a stream arrives as the program cuts the remaining streams.

    A program that was `busy` at that moment checks its clock before its sockets.
    """
    with Stage(folder, GIVE_UP_MS) as stage:
        clients, writes = {name: stage.client() for name in STREAMS}, dict[str, Call]()
        signalled_at = monotonic()
        stage.send_signal(signal.SIGTERM)
        draining_at = stage.wait_log_line("draining")
        for name, client in clients.items():
            client.ask(name.replace(" ", "-"), deadline_ms=1_300)
            stage.wait_call("read").answer(202)
            writes[name] = stage.wait_call("write")
            writes[name].begin_stream()
            client.wait_first_data()
        stage.wait_until(signalled_at + CUT_S - AHEAD_S * (1 if busy else 2))
        writes["before the last step"].end_stream()
        clients["before the last step"].wait_answer()
        if not busy:
            stage.wait_until(signalled_at + CUT_S - AHEAD_S)
        with stage.paused():
            if monotonic() > signalled_at + CUT_S:
                return None
            writes["in its turn"].end_stream()
            writes["in its turn with the end"].end_stream(fin=True)
            stage.wait_until(draining_at + CUT_S + TIMER_MARGIN_S)
        clients["after it"].wait_end()
        writes["after it"].end_stream()
        assert [clients[name].wait_answer().whole for name in STREAMS[:3]] == [True, True, True]
        assert stage.wait_exit() == 0
        return stage.judge()


@pytest.mark.parametrize("busy", [False, True])
def test_a_streams_last_chunk_crosses_with_the_drains_last_step(tmp_path: Path, busy: bool) -> None:
    assert not retry_until_in_time(lambda folder: end_streams_at_last_step(folder, busy), tmp_path)


@pytest.mark.parametrize("order", ["first", "second"])
def test_a_streams_last_chunk_crosses_with_sigterm(tmp_path: Path, order: str) -> None:
    with Stage(tmp_path, GIVE_UP_MS) as stage:
        client = stage.client()
        client.ask("a", deadline_ms=1_300)
        stage.wait_call("read").answer(202)
        write = stage.wait_call("write")
        write.begin_stream()
        client.wait_first_data()
        with stage.paused():
            if order == "first":
                write.end_stream()
            stage.send_signal(signal.SIGTERM)
            if order == "second":
                write.end_stream()
        assert client.wait_answer().whole
        stage.check()


# --- idle connections that are closed


def evict_idle_connection(folder: Path, order: str) -> list[str]:
    """The longest idle connection is closed to make room as its next request arrives."""
    with Stage(folder, sockets=16) as stage:
        for at in range(16):  # until no more connections fit
            idle_clients(stage, f"rest {at}")
            if any(client.end for client in stage.clients):
                break
        longest = next(client for client in stage.clients if not client.end)
        with stage.paused():
            if order == "bytes first":
                ask(longest, "longest")
            new = stage.client()
            ask(new, "new")
            if order != "bytes first":
                ask(longest, "longest", upto=60 if order == "half" else None)
        if order == "half":
            longest.send_more(longest.requests[-1])
        stage.serve_until_answered(longest, new)
        return stage.judge()


@pytest.mark.parametrize("order", ["bytes first", "connection first", "half"])
def test_an_idle_connection_is_closed_to_make_room_as_its_request_comes(tmp_path: Path, order: str) -> None:
    assert not evict_idle_connection(tmp_path, order)


def close_unused_connection(folder: Path) -> list[str] | None:
    """A connection without any bytes is closed as its first bytes arrive."""
    with Stage(folder) as stage:
        earliest = monotonic()
        clients = {name: stage.client() for name in ("whole", "half", "none")}
        clients["none"].ask("seen")  # all three have been accepted
        stage.serve_until_answered(clients["none"])
        latest = monotonic()
        stage.wait_until(earliest + UNUSED_CONNECTION_S - AHEAD_S)
        with stage.paused():
            if monotonic() > earliest + UNUSED_CONNECTION_S:
                return None
            ask(clients["whole"], "whole")
            ask(clients["half"], "half", upto=60)
            stage.wait_until(latest + UNUSED_CONNECTION_S + TIMER_MARGIN_S)
        clients["half"].send_more(clients["half"].requests[-1])
        stage.serve_until_answered(clients["whole"], clients["half"])
        return stage.judge()


def test_a_silent_connection_is_closed_as_its_first_request_comes(tmp_path: Path) -> None:
    assert not retry_until_in_time(close_unused_connection, tmp_path)

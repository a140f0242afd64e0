"""Crossings of a client's bytes with the program's own ends: SIGTERM, the drain's steps, idle connections.

The drain's times are those of `core/request/graceful_shutdown.py` for classes that give up after 1.3 s; a step is
due while the program is stopped, so that it finds what came meanwhile in the same turn.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from pathlib import Path
from time import monotonic

import pytest

from tests.crossing_parties import Call, Client
from tests.crossings import DUE_S, Stage

GIVE_UP_MS = 1_300
CLOSE_S, LEAVE_S, GONE_S = 0.7, 0.9, 1.05  # after SIGTERM, for these classes
AHEAD_S = 0.06  # before a step's time the program is stopped
SILENT_S = 2.0  # after which a connection that has brought nothing is closed
TRIES = 4  # where the machine was so slow that a step had come before the stop
RESTING = ("before the signal", "with the signal", "after it", "whole", "half", "late")
FRESH = ("new", "new half", "new empty")


def rested(stage: Stage, *names: str) -> dict[str, Client]:
    """Connections that have each brought one request already."""
    clients = {}
    for name in names:
        clients[name] = stage.client()
        clients[name].ask(f"{name.replace(' ', '-')}-0")
        stage.play(clients[name])
    return clients


def ask(client: Client, name: str, upto: int | None = None) -> None:
    client.ask(f"{name.replace(' ', '-')}-1", upto=upto, deadline_ms=1_300)


def in_time(play: Callable[[Path], list[str] | None], folder: Path) -> list[str]:
    """Play until the stop came before the step that it is meant for."""
    for at in range(TRIES):
        (folder / str(at)).mkdir()
        if (found := play(folder / str(at))) is not None:
            return found
    raise AssertionError("the machine is too slow for this")


def drained(folder: Path) -> list[str] | None:
    """Requests on resting and on new connections as the program is told to end and as it closes them."""
    with Stage(folder, GIVE_UP_MS) as stage:
        clients = rested(stage, *RESTING, "silent")
        with stage.stopped():
            ask(clients["before the signal"], "before the signal")
            stage.signal(signal.SIGTERM)
            ask(clients["with the signal"], "with the signal")
            least = monotonic()
        told = stage.line("draining")
        ask(clients["after it"], "after it")
        stage.play(clients["before the signal"], clients["with the signal"], clients["after it"])
        stage.at(least + CLOSE_S - AHEAD_S)
        with stage.stopped():
            if monotonic() > least + CLOSE_S:
                return None
            ask(clients["whole"], "whole")
            ask(clients["half"], "half", upto=60)
            clients |= {name: stage.client() for name in FRESH}
            ask(clients["new"], "new")
            ask(clients["new half"], "new half", upto=60)
            stage.at(told + CLOSE_S + DUE_S)
        for name in ("half", "new half"):
            clients[name].more(clients[name].requests[-1])
        stage.play(clients["whole"], clients["half"], clients["new"], clients["new half"])
        clients["silent"].ended()
        ask(clients["late"], "late")
        for name in ("late", "new empty", *FRESH, *RESTING):
            clients[name].ended()
        assert stage.exited() == 0
        return stage.judge()


@pytest.fixture(scope="module")
def drain(tmp_path_factory: pytest.TempPathFactory) -> list[str]:
    return in_time(drained, tmp_path_factory.mktemp("drain"))


@pytest.mark.parametrize("name", [*RESTING, *FRESH])
def test_a_request_crosses_with_a_step_of_the_drain(drain: list[str], name: str) -> None:
    assert not [row for row in drain if f".{name.replace(' ', '-')}-" in row]


def test_nothing_else_breaks_in_the_drain(drain: list[str]) -> None:
    names = [f".{name.replace(' ', '-')}-" for name in (*RESTING, *FRESH)]
    assert not [row for row in drain if not any(name in row for name in names)]


# --- streams at the drain's last steps

STREAMS = ("before the last step", "in its turn", "in its turn with the end", "after it")


def streams_end(folder: Path, busy: bool) -> list[str] | None:
    """The last chunk of a stream comes as the program breaks off what still streams.

    Where it was `busy` at that moment it looks at its clock before it looks at its sockets.
    """
    with Stage(folder, GIVE_UP_MS) as stage:
        clients, writes = {name: stage.client() for name in STREAMS}, dict[str, Call]()
        least = monotonic()
        stage.signal(signal.SIGTERM)
        told = stage.line("draining")
        for name, client in clients.items():
            client.ask(name.replace(" ", "-"), deadline_ms=1_300)
            stage.call("read").answer(202)
            writes[name] = stage.call("write")
            writes[name].begin()
            client.begun()
        stage.at(least + LEAVE_S - AHEAD_S * (1 if busy else 2))
        writes["before the last step"].last()
        clients["before the last step"].answer()
        if not busy:
            stage.at(least + LEAVE_S - AHEAD_S)
        with stage.stopped():
            if monotonic() > least + LEAVE_S:
                return None
            writes["in its turn"].last()
            writes["in its turn with the end"].last(fin=True)
            stage.at(told + LEAVE_S + DUE_S)
        clients["after it"].ended()
        writes["after it"].last()
        assert [clients[name].answer().whole for name in STREAMS[:3]] == [True, True, True]
        assert stage.exited() == 0
        return stage.judge()


@pytest.mark.parametrize("busy", [False, True])
def test_a_streams_last_chunk_crosses_with_the_drains_last_step(tmp_path: Path, busy: bool) -> None:
    assert not in_time(lambda folder: streams_end(folder, busy), tmp_path)


@pytest.mark.parametrize("order", ["first", "second"])
def test_a_streams_last_chunk_crosses_with_sigterm(tmp_path: Path, order: str) -> None:
    with Stage(tmp_path, GIVE_UP_MS) as stage:
        client = stage.client()
        client.ask("a", deadline_ms=1_300)
        stage.call("read").answer(202)
        write = stage.call("write")
        write.begin()
        client.begun()
        with stage.stopped():
            if order == "first":
                write.last()
            stage.signal(signal.SIGTERM)
            if order == "second":
                write.last()
        assert client.answer().whole
        stage.check()


# --- idle connections that are closed


def room_is_made(folder: Path, order: str) -> list[str]:
    """The connection that has been idle longest is closed to make room as its next request comes."""
    with Stage(folder, sockets=16) as stage:
        for at in range(16):  # until there is room for no more
            rested(stage, f"rest {at}")
            if any(client.end for client in stage.clients):
                break
        longest = next(client for client in stage.clients if not client.end)
        with stage.stopped():
            if order == "bytes first":
                ask(longest, "longest")
            new = stage.client()
            ask(new, "new")
            if order != "bytes first":
                ask(longest, "longest", upto=60 if order == "half" else None)
        if order == "half":
            longest.more(longest.requests[-1])
        stage.play(longest, new)
        return stage.judge()


@pytest.mark.parametrize("order", ["bytes first", "connection first", "half"])
def test_an_idle_connection_is_closed_to_make_room_as_its_request_comes(tmp_path: Path, order: str) -> None:
    assert not room_is_made(tmp_path, order)


def silence_ends(folder: Path) -> list[str] | None:
    """A connection that has brought nothing is closed as its first bytes come."""
    with Stage(folder) as stage:
        least = monotonic()
        clients = {name: stage.client() for name in ("whole", "half", "none")}
        clients["none"].ask("seen")  # the three have been accepted
        stage.play(clients["none"])
        most = monotonic()
        stage.at(least + SILENT_S - AHEAD_S)
        with stage.stopped():
            if monotonic() > least + SILENT_S:
                return None
            ask(clients["whole"], "whole")
            ask(clients["half"], "half", upto=60)
            stage.at(most + SILENT_S + DUE_S)
        clients["half"].more(clients["half"].requests[-1])
        stage.play(clients["whole"], clients["half"])
        return stage.judge()


def test_a_silent_connection_is_closed_as_its_first_request_comes(tmp_path: Path) -> None:
    assert not in_time(silence_ends, tmp_path)

"""The engine client against scripted peers: the status of each outcome, and whether it proves that nothing ran."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Callable
from typing import Any

import pytest

from yardspindle.core.hosts.directory import Server
from yardspindle.core.request.retry_safety import PROVES_NOT_RUN, may_have_run
from yardspindle.edge.executor import RunningRequest
from yardspindle.engine.http_client import ExchangeBroken, HttpClient, NotSent
from yardspindle.engine.vllm import AnswerStream, AttemptResult, EngineClient, read_body, write_body
from yardspindle.interface import Role, State, Status
from yardspindle.protocol import http1
from yardspindle.protocol.sse import write_event
from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.scheduler import Closed, DeadlineExceeded
from yardspindle.runtime.world import Stream, StreamError

# Called with the stream and the number of the request; True keeps the connection open.
Script = Callable[[Stream, int], bool | None]


def read_request(stream: Stream) -> bool:
    parser = http1.RequestParser()
    while True:
        data = stream.read()
        if not data:
            return False
        parser.feed(data)
        while (event := parser.next_event()) is not None:
            if isinstance(event, http1.End):
                return True


class Peer:
    """A server that runs a script for every request."""

    def __init__(self, world: RealWorld, script: Script) -> None:
        self.world, self.script = world, script
        self.listener = world.listen("127.0.0.1", 0)
        self.connections = self.requests = 0
        world.spawn("peer", self.accept)

    def accept(self) -> None:
        while True:
            try:
                stream = self.listener.accept()
            except Closed:
                return
            self.connections += 1
            self.world.spawn("connection", self.serve, stream)

    def serve(self, stream: Stream) -> None:
        try:
            while read_request(stream):
                self.requests += 1
                if not self.script(stream, self.requests):
                    break
        except StreamError:
            pass
        stream.close()

    def server(self, role: Role = Role.WRITE, places: bool = True) -> Server:
        return Server(1, "peer", "127.0.0.1", self.listener.port, role, State.SERVING, places)


def reply(status: int, body: object, *headers: tuple[bytes, bytes]) -> bytes:
    return http1.write_response(status, list(headers), json.dumps(body).encode())


def answers(data: bytes, keep_open: bool = True) -> Script:
    def script(stream: Stream, number: int) -> bool:
        stream.write(data)
        return keep_open

    return script


def resets(stream: Stream, number: int) -> None:
    stream.abort()


def closes(stream: Stream, number: int) -> None:
    return None


def with_peer(script: Script, use: Callable[[RealWorld, Peer, EngineClient], Any]) -> Any:
    world = RealWorld(1)

    def main() -> Any:
        peer = Peer(world, script)
        return use(world, peer, EngineClient(HttpClient(world, 500_000, 4_000_000), "u"))

    return world.run("main", main)


def error(status: int, code: str | None) -> bytes:
    return reply(status, {"error": {"message": "m", "code": code}})


STATE = {
    "kv_transfer_params": {"remote_host": "h", "remote_port": 1},
    "usage": {"prompt_tokens": 7, "prompt_tokens_details": {"cached_tokens": 5}},
}


@pytest.mark.parametrize(
    ("script", "status", "note"),
    [
        (answers(reply(200, STATE)), Status.READ, 5),
        (answers(reply(200, {"usage": {}})), Status.ERROR, 0),
        (answers(http1.write_response(200, [], b"nonsense")), Status.ERROR, 0),
        (answers(error(503, "engine_full")), Status.FULL, 0),
        (answers(error(503, "engine_draining")), Status.FULL, 0),
        (answers(error(503, None)), Status.ERROR, 0),
        (answers(error(500, "engine_full")), Status.ERROR, 0),
        (answers(http1.write_response(502, [], b"<html>")), Status.ERROR, 0),
        (resets, Status.RESET, 0),
        (closes, Status.RESET, 0),
        (answers(b"HTTP/9 nonsense\r\n\r\n", False), Status.RESET, 0),
        (answers(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{", False), Status.RESET, 0),
    ],
)
def test_how_a_read_ends(script: Script, status: Status, note: int) -> None:
    ended = with_peer(script, lambda world, peer, engines: engines.read(peer.server(Role.READ), 1, 0, b"{}"))
    assert (ended.status, ended.note) == (status, note)
    assert not may_have_run(Role.READ, ended.status), "a read has no effect, however it ends"
    if status is Status.READ:
        assert ended.state == {
            "remote_host": "h",
            "remote_port": 1,
            "do_remote_prefill": True,
            "do_remote_decode": False,
        }


@pytest.mark.parametrize(
    ("script", "status", "note", "proves"),
    [
        (answers(error(503, "engine_full")), Status.FULL, 0, True),
        (answers(error(409, "no_state")), Status.FULL, 1, True),
        (answers(error(503, None)), Status.ERROR, 0, False),
        (answers(error(500, None)), Status.ERROR, 0, False),
        (answers(error(400, "bad_request")), Status.ERROR, 0, False),
        (resets, Status.RESET, 0, False),
        (closes, Status.RESET, 0, False),
    ],
)
def test_how_a_write_ends_before_its_stream(script: Script, status: Status, note: int, proves: bool) -> None:
    ended = with_peer(script, lambda world, peer, engines: engines.write(peer.server(), 1, 1, b"{}", None))
    assert isinstance(ended, AttemptResult) and (ended.status, ended.note) == (status, note)
    assert (status in PROVES_NOT_RUN) == proves == (not may_have_run(Role.WRITE, status))
    assert (ended.client_error is not None) == (ended.detail.startswith("HTTP 400"))


def test_a_connection_never_made_proves_that_nothing_ran() -> None:
    def use(world: RealWorld, peer: Peer, engines: EngineClient) -> Any:
        server = peer.server()
        peer.listener.close()
        return engines.write(server, 1, 1, b"{}", None), engines.read(server, 1, 0, b"{}")

    for ended in with_peer(closes, use):
        assert ended.status is Status.CONNECT_FAILED and ended.status in PROVES_NOT_RUN


@pytest.mark.parametrize("role", [Role.READ, Role.WRITE])
def test_a_time_out_before_the_last_byte_proves_that_nothing_ran(role: Role) -> None:
    def use(world: RealWorld, peer: Peer, engines: EngineClient) -> list[Status]:
        full = world.listen("127.0.0.1", 0, backlog=0)
        world.connect("127.0.0.1", full.port, world.now_us() + 600_000_000)  # the backlog is full from now on
        task, ended = world.current(), []
        for port in (full.port, peer.listener.port):
            run: Any = RunningRequest.__new__(RunningRequest)
            run.attempt_written = False

            def written(run: Any = run) -> None:
                run.mark_written()
                world.call_at(world.now_us(), lambda: world.scheduler.interrupt(task, DeadlineExceeded()))

            server = Server(1, "peer", "127.0.0.1", port, role, State.SERVING, False)
            with (
                pytest.raises(DeadlineExceeded),
                world.deadline(world.now_us() + (50_000 if port == full.port else 600_000_000)),
            ):
                if role is Role.READ:
                    engines.read(server, 1, 0, b"{}", written)
                else:
                    engines.write(server, 1, 0, b"{}", None, written)
            ended.append(run.timeout_result().status)
        return ended

    def silent(stream: Stream, number: int) -> None:
        with contextlib.suppress(StreamError):
            stream.read()

    assert with_peer(silent, use) == [Status.MOOT, Status.TIMEOUT]


def test_a_peer_that_says_nothing_is_left_at_the_deadline_and_sees_it() -> None:
    seen: list[str] = []

    def silent(stream: Stream, number: int) -> None:
        try:
            seen.append("closed" if not stream.read() else "more")
        except StreamError:
            seen.append("reset")

    def use(world: RealWorld, peer: Peer, engines: EngineClient) -> None:
        with pytest.raises(DeadlineExceeded), world.deadline(world.now_us() + 30_000):
            engines.write(peer.server(), 1, 1, b"{}", None)
        while not seen:
            world.sleep_until(world.now_us() + 1_000)

    with_peer(silent, use)
    assert seen == ["reset"], "an engine stops work whose connection is closed"


def test_connections_are_kept_and_one_that_the_engine_closed_is_not_used() -> None:
    engine_streams: list[Stream] = []

    def script(stream: Stream, number: int) -> bool:
        engine_streams.append(stream)
        stream.write(reply(200, STATE))
        return True

    def use(world: RealWorld, peer: Peer, engines: EngineClient) -> tuple[int, int, int]:
        server = peer.server(Role.READ)
        for number in range(4):
            assert engines.read(server, number, 0, b"{}").status is Status.READ
            if number == 1:
                idle = next(iter(engines.http._idle.values()))[0]
                engine_streams[-1].send_eof()  # it closes the idle connection
                idle.stream.wait_input()
        return peer.connections, engines.http.counts.reused, engines.http.counts.stale

    assert with_peer(script, use) == (2, 2, 1)


@pytest.mark.parametrize("reset", [False, True])
def test_a_connection_that_its_server_ends_before_the_first_byte_has_had_nothing_sent(reset: bool) -> None:
    """The server may close while a request waits before its first byte: such a request cannot have run."""
    world = RealWorld(1)

    def main() -> None:
        listener = world.listen("127.0.0.1", 0)
        accepted = world.spawn("accept", listener.accept)

        def ready() -> http1.Headers:
            far: Stream = accepted.join()
            far.abort() if reset else far.send_eof()
            world.sleep_until(world.now_us() + 1_000)
            return []

        with pytest.raises(NotSent):
            HttpClient(world, 1_000_000, 1_000_000).request(
                "127.0.0.1", listener.port, b"POST", b"/", [], b"{}", late_headers=ready
            )
        if not reset:
            assert accepted.result.read() == b""

    world.run("main", main)


def test_a_connection_that_the_engine_closed_with_its_answer_is_not_kept() -> None:
    def use(world: RealWorld, peer: Peer, engines: EngineClient) -> tuple[int, int, int]:
        for number in range(3):
            assert engines.read(peer.server(Role.READ), number, 0, b"{}").status is Status.READ
            assert not any(engines.http._idle.values())
        return peer.connections, engines.http.counts.reused, engines.http.counts.stale

    def script(stream: Stream, number: int) -> bool:
        stream.write(reply(200, STATE))
        return False

    assert with_peer(script, use) == (3, 0, 0)


def test_idle_connections_are_closed_when_old_or_asked() -> None:
    def use(world: RealWorld, peer: Peer, engines: EngineClient) -> int:
        engines.http.idle_us = 5_000
        engines.read(peer.server(Role.READ), 1, 0, b"{}")
        world.sleep_until(world.now_us() + 8_000)
        engines.http.close_expired()
        assert not engines.http._idle
        engines.http.idle_us = 5_000_000
        engines.read(peer.server(Role.READ), 2, 0, b"{}")
        engines.http.close_idle("127.0.0.1", peer.listener.port)
        engines.read(peer.server(Role.READ), 3, 0, b"{}")
        return peer.connections

    assert with_peer(answers(reply(200, STATE)), use) == 3


@pytest.mark.parametrize(
    ("tail", "whole"), [(http1.write_chunk(write_event(b"[DONE]")) + http1.LAST_CHUNK, True), (b"", False)]
)
def test_a_stream_that_is_cut_is_told_from_one_that_ended(tail: bytes, whole: bool) -> None:
    start = http1.write_response(200, [], None) + http1.write_chunk(write_event(b'{"a":1}'))

    def use(world: RealWorld, peer: Peer, engines: EngineClient) -> list[bytes]:
        stream = engines.write(peer.server(), 1, 1, b"{}", None)
        assert isinstance(stream, AnswerStream)
        events: list[bytes] = []
        try:
            for batch in stream.event_batches():
                events += batch
            assert whole
        except ExchangeBroken:
            assert not whole
        stream.close()
        return events

    events = with_peer(answers(start + tail, keep_open=False), use)
    assert events == [b'{"a":1}', b"[DONE]"][: 1 + whole]


@pytest.mark.parametrize(
    ("data", "held"),
    [
        (reply(200, {"held": True}), True),
        (reply(409, {"held": False}), False),
        (reply(404, {}), None),
        (reply(500, {}), None),
    ],
)
def test_a_place_is_held_only_on_the_writers_word(data: bytes, held: bool | None) -> None:
    assert (
        with_peer(
            answers(data),
            lambda world, peer, engines: engines.reserve_place(peer.server(), 1, 1, 9.0, peer.server(Role.READ), 0),
        )
        is held
    )


def test_a_release_that_was_not_heard_says_so() -> None:
    assert with_peer(
        answers(http1.write_response(204, [], b"")),
        lambda world, peer, engines: (
            engines.release_state(peer.server(), 1, 0),
            engines.release_place(peer.server(), 1, 1),
        ),
    ) == (True, True)
    assert with_peer(resets, lambda world, peer, engines: engines.release_state(peer.server(), 1, 0)) is False


def test_bodies_of_the_two_stages() -> None:
    import msgspec

    raw = msgspec.json.decode(
        b'{"model":"m","messages":[{"role":"user","content":"x"}],"n":2,"min_tokens":5,'
        b'"stream":false,"stream_options":{"novel":1},"top_k":0.10}',
        type=dict[str, msgspec.Raw],
    )
    read = json.loads(read_body(raw))
    assert (read["max_tokens"], read["stream"]) == (1, False)
    assert read["kv_transfer_params"]["do_remote_decode"] and not {"n", "min_tokens", "stream_options"} & set(read)
    body = write_body(raw, {"remote_host": "h"})
    write = json.loads(body)
    assert write["stream"] and write["stream_options"] == {"novel": 1, "include_usage": True}
    assert write["n"] == 2 and write["kv_transfer_params"] == {"remote_host": "h"} and b"0.10" in body

"""A client that disconnects as its request arrives, at a dispatcher on real sockets: nothing starts after that."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import pytest

from tests.platform_standin import ENVIRONMENT, EVENTS, HEAD, SETTINGS, plain, read_answer, request
from tests.platform_standin import read_request as next_request
from tests.ports import port_of, reserve_port
from tests.test_node_left import CLOSE_KINDS, Leave
from yardspindle.node.app import Node
from yardspindle.node.config import parse_config
from yardspindle.protocol import http1
from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.world import Stream, StreamError


def play_on_sockets(main: Callable[[RealWorld, Callable[[], Any], list[bytes]], None]) -> None:
    """Run a dispatcher with one reader and one writer; `main` gets a connect function and the ids the reader saw."""
    world, seen = RealWorld(1), []

    def serve(answer_to: Callable[[http1.RequestHead], bytes]) -> str:
        listener = world.listen("127.0.0.1", 0)

        def connection(stream: Stream) -> None:
            parser = http1.RequestParser()
            try:
                while (head := next_request(stream, parser)) is not None:
                    if data := answer_to(head):
                        stream.write(data)
            except StreamError:
                pass
            stream.close()

        def accept() -> None:
            while True:
                world.spawn("connection", connection, listener.accept())

        world.spawn("accept", accept)
        return f"127.0.0.1:{listener.port}"

    def reads(head: http1.RequestHead) -> bytes:
        if head.method == b"POST":
            seen.append(head.get(b"req-id") or b"?")
        return plain(202 if head.method == b"POST" else 204)

    def writes(head: http1.RequestHead) -> bytes:
        if head.target.startswith(b"/bootstrap"):
            return plain(200)
        return HEAD + b"".join(http1.write_chunk(event) for event in EVENTS) + http1.LAST_CHUNK

    def run() -> None:
        at = {"reads": serve(reads), "writes": serve(writes)}
        members = [{"id": flavor, "host_port": where, "flavor": flavor} for flavor, where in at.items()]
        listed = json.dumps({"revision": 1, "complete": True, "members": members}).encode()

        def lists(head: http1.RequestHead) -> bytes:
            return b"" if b"wait" in head.target else plain(200, listed)

        reserved = reserve_port()
        port = port_of(reserved)
        variables = {**ENVIRONMENT, "ROUTER_LISTEN": f"127.0.0.1:{port}", "ROUTER_DISCOVERY": serve(lists)}
        node = Node(
            world, parse_config(variables, json.dumps({"limits": {"sockets": 256}, "settings": SETTINGS}).encode())
        )
        node.start()
        reserved.close()
        main(world, lambda: world.connect("127.0.0.1", port, world.now_us() + 1_000_000), seen)

    world.run("main", run)


@CLOSE_KINDS
@pytest.mark.parametrize("ahead", [b"", b"GET /up HTTP/1.1\r\nhost: x\r\n\r\n"])
def test_a_close_that_came_with_the_request_is_found_before_a_kept_connection_is_written_to(
    leave: Leave, ahead: bytes
) -> None:
    """The close lay in the kernel; the task that watches the socket had not had a turn to see it."""

    def main(world: RealWorld, connect: Callable[[], Any], seen: list[bytes]) -> None:
        first = connect()
        first.write(request(b"warm"))
        warm = read_answer(world, first, world.now_us())  # type: ignore[arg-type]
        assert warm.whole and seen == [b"warm"]
        for at in range(10):
            client = connect()
            client.write(request(b"id%d" % at) + ahead)
            leave(client)
            world.sleep_until(world.now_us() + 20_000)
        assert seen == [b"warm"]
        last = connect()
        last.write(request(b"pipelines") + ahead)  # a connected client is served
        assert read_answer(world, last, world.now_us()).whole  # type: ignore[arg-type]

    play_on_sockets(main)

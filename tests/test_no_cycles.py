"""What a client's connection and request held is free at once at their end, not when the garbage collector runs."""

from __future__ import annotations

import gc
from collections.abc import Callable, Iterator

import pytest

from tests.platform_standin import EVENTS, HEAD, Host, Platform, read_answer, request
from tests.test_node import run_node, writers
from yardspindle.node.app import Node
from yardspindle.protocol import http1
from yardspindle.runtime.world import Stream

# Of what the program has for a connection or a request. The stand-ins may have cycles of their own.
OWN_TYPES = (
    "RequestQueue",
    "Exchange",
    "RunningRequest",
    "StallGuard",
    "Reservation",
    "BodyBuffer",
    "Connection",
    "ResponseStream",
    "ChunkReader",
    "StreamGuard",
)
HALF = b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 9000\r\n\r\n" + b"x" * 4_000


def served(to: Stream, platform: Platform, at: int) -> None:
    to.write(request(b"served-%d" % at))
    assert read_answer(platform.clients, to, 0).whole


def left(to: Stream, platform: Platform, at: int) -> None:
    to.write(request(b"left-%d" % at))
    platform.sleep(10_000)


def malformed(to: Stream, platform: Platform, at: int) -> None:
    to.write(b"\x00 %d\r\n\r\n" % at + b"x" * 9_000)
    assert to.read()


def refused(to: Stream, platform: Platform, at: int) -> None:
    to.write(request(b"refused-%d" % at, b"nothing"))
    assert to.read()


def half(to: Stream, platform: Platform, at: int) -> None:
    to.write(HALF)
    platform.sleep(3_000_000)


def write_spoilt(platform: Platform, spoilt: bytes, times: int) -> None:
    """Let writers spoil their streams after an event, by bytes that they write several times."""

    def script(host: Host, to: Stream, number: bytes) -> bool:
        host.platform.states.discard(number)
        to.write(HEAD + http1.write_chunk(EVENTS[0]))
        for _ in range(times):
            host.sleep(1_500_000)
            to.write(spoilt)
        host.sleep(1_000_000)
        return False

    for host in writers(platform):
        host.script = script


def spoilt(to: Stream, platform: Platform, at: int) -> None:
    write_spoilt(platform, http1.write_chunk(EVENTS[1]) + b"40000000\r\n", 1)
    to.write(request(b"spoilt-%d" % at))
    assert read_answer(platform.clients, to, 0).body == EVENTS[0] + EVENTS[1]


def endless(to: Stream, platform: Platform, at: int) -> None:
    write_spoilt(platform, b"0", 4)
    to.write(request(b"endless-%d" % at))
    assert read_answer(platform.clients, to, 0).body == EVENTS[0]


@pytest.fixture
def no_collection() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.set_debug(0)
    gc.garbage.clear()
    gc.enable()


@pytest.mark.parametrize("step", [served, left, malformed, refused, half, spoilt, endless])
def test_a_request_that_is_over_leaves_no_cycle(
    step: Callable[[Stream, Platform, int], None], no_collection: None
) -> None:
    def main(platform: Platform, node: Node) -> set[str]:
        for at in range(5):
            to = platform.connect()
            step(to, platform, at)
            to.close()
            platform.sleep(2_000_000)
        gc.set_debug(gc.DEBUG_SAVEALL)
        gc.collect()
        return {type(item).__name__ for item in gc.garbage}

    found: list[set[str]] = []
    run_node(lambda platform, node: found.append(main(platform, node)))
    assert not found[0].intersection(OWN_TYPES)

"""A client that stops reading its stream for a while, during other events of the stream and the process."""

from __future__ import annotations

from typing import Any

import pytest

from tests.platform_standin import EVENTS, HEAD, Answer, Host, Platform, read_answer, request
from tests.test_node import ID, run_node, writers
from tests.test_node_handover import assert_idle
from yardspindle.core.request import timeouts
from yardspindle.node.app import Node
from yardspindle.protocol import http1
from yardspindle.runtime.virtual import Simulation
from yardspindle.runtime.virtual_network import WINDOW_BYTES
from yardspindle.runtime.world import Stream, StreamError

LARGE = b"data: " + b"x" * (WINDOW_BYTES // 4) + b"\n\n"
FULL_BODY = EVENTS[0] + LARGE * 20 + EVENTS[-1]  # much more than the buffers hold while the client does not read
STALL_US = timeouts.STREAM_IDLE_US + 1_000_000
assert STALL_US < timeouts.STALLED_CLIENT_US


def send_large_streams(platform: Platform, large_events: int = 20, ending: str = "whole") -> list[Any]:
    """Let the writers send large streams; the list gets the time or the error at the end of each."""
    ends: list[Any] = []

    def script(host: Host, to: Stream, number: bytes) -> bool:
        host.platform.states.discard(number)
        to.write(HEAD + http1.write_chunk(EVENTS[0]))
        try:
            for _ in range(large_events):
                to.write(http1.write_chunk(LARGE))
            if ending == "reset":
                to.abort()
                return False
            to.write(http1.write_chunk(EVENTS[-1]) + http1.LAST_CHUNK)
        except StreamError as error:
            ends.append(error)
            return False
        ends.append(host.world.now_us())
        return True

    for host in writers(platform):
        host.script = script
    return ends


def ask_and_stall(platform: Platform, stall_us: int) -> Answer:
    """The answer to a client that does not read for that long after its request."""
    to = platform.connect()
    started_us = platform.clients.now_us()
    to.write(request(ID))
    platform.sleep(stall_us)
    return read_answer(platform.clients, to, started_us)


@pytest.mark.parametrize("large_events", [20, 6])
def test_a_stream_whose_client_stalls_is_not_taken_for_one_whose_host_is_silent(large_events: int) -> None:
    def main(platform: Platform, node: Node) -> None:
        ends = send_large_streams(platform, large_events)
        got = ask_and_stall(platform, STALL_US)
        assert got.whole and got.body == EVENTS[0] + LARGE * large_events + EVENTS[-1]
        assert len(ends) == 1 and isinstance(ends[0], int)
        assert not any(server.failures for server in node.policy.servers.values())
        assert_idle(platform, node)

    run_node(main)


def test_a_host_resets_its_stream_while_its_client_stalls() -> None:
    def main(platform: Platform, node: Node) -> None:
        send_large_streams(platform, 6, "reset")
        got = ask_and_stall(platform, STALL_US)
        assert not got.whole and got.status == 200 and FULL_BODY.startswith(got.body)
        assert_idle(platform, node)

    run_node(main)


def test_a_client_that_stalls_for_good_is_cut_off_and_its_host_let_go() -> None:
    def main(platform: Platform, node: Node) -> None:
        ends = send_large_streams(platform)
        got = ask_and_stall(platform, 2 * timeouts.STALLED_CLIENT_US)
        assert not got.whole and len(ends) == 1 and isinstance(ends[0], StreamError)
        assert_idle(platform, node)

    run_node(main)


@pytest.mark.parametrize("large_events", [20, 6, 1])
@pytest.mark.parametrize("takes_us", [0, 200_000, 60_000_000])
def test_the_process_ends_while_a_client_stalls(large_events: int, takes_us: int) -> None:
    """The process does not wait for the client; a stream that was complete by then is delivered if it is read."""
    sim = Simulation(5)

    def run() -> None:
        platform = Platform(sim)
        world, node = platform.node()
        send_large_streams(platform, large_events)
        client = world.sim.program("stalled").spawn("client", ask_and_stall, platform, 1_000_000 + takes_us)
        platform.sleep(1_000_000)
        started_us = sim.now_us()
        world.spawn("drain", node.drain).join()
        assert sim.now_us() - started_us < 3_700_000 - 900_000  # well before the kill deadline
        assert not node.executor.running and not node.core.lifecycle.requests
        got = client.join()
        if takes_us == 0:
            assert got.whole

    sim.run("main", run)
    assert sim.crashes == []

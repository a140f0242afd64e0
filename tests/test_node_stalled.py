"""A client that takes nothing of its stream for a while, as other things happen to the stream and to the process."""

from __future__ import annotations

from typing import Any

import pytest

from tests.platform_standin import EVENTS, HEAD, Answer, Host, Platform, answer, request
from tests.test_node import ID, play, writers
from tests.test_node_handover import at_ease
from yardspindle.core.request import timeouts
from yardspindle.node.app import Node
from yardspindle.protocol import http1
from yardspindle.runtime.virtual import Simulation
from yardspindle.runtime.virtual_network import WINDOW_BYTES
from yardspindle.runtime.world import Stream, StreamError

LARGE = b"data: " + b"x" * (WINDOW_BYTES // 4) + b"\n\n"
WHOLE = EVENTS[0] + LARGE * 20 + EVENTS[-1]  # much more than lies on the way while nobody takes it
STALL_US = timeouts.STREAM_IDLE_US + 1_000_000
assert STALL_US < timeouts.STALLED_CLIENT_US


def writing(platform: Platform, large: int = 20, last: str = "whole") -> list[Any]:
    """The writers' streams; how their hosts' parts ended."""
    ends: list[Any] = []

    def script(host: Host, to: Stream, number: bytes) -> bool:
        host.platform.states.discard(number)
        to.write(HEAD + http1.write_chunk(EVENTS[0]))
        try:
            for _ in range(large):
                to.write(http1.write_chunk(LARGE))
            if last == "reset":
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


def stalled(platform: Platform, us: int) -> Answer:
    """A client that asks and then takes nothing for so long."""
    to = platform.connect()
    began = platform.clients.now_us()
    to.write(request(ID))
    platform.sleep(us)
    return answer(platform.clients, to, began)


@pytest.mark.parametrize("large", [20, 6])
def test_a_stream_whose_client_stalls_is_not_taken_for_one_whose_host_is_silent(large: int) -> None:
    def main(platform: Platform, node: Node) -> None:
        ends = writing(platform, large)
        got = stalled(platform, STALL_US)
        assert got.whole and got.body == EVENTS[0] + LARGE * large + EVENTS[-1]
        assert len(ends) == 1 and isinstance(ends[0], int)
        assert not any(server.failures for server in node.policy.servers.values())
        at_ease(platform, node)

    play(main)


def test_a_host_resets_its_stream_while_its_client_stalls() -> None:
    def main(platform: Platform, node: Node) -> None:
        writing(platform, 6, "reset")
        got = stalled(platform, STALL_US)
        assert not got.whole and got.status == 200 and WHOLE.startswith(got.body)
        at_ease(platform, node)

    play(main)


def test_a_client_that_stalls_for_good_is_cut_off_and_its_host_let_go() -> None:
    def main(platform: Platform, node: Node) -> None:
        ends = writing(platform)
        got = stalled(platform, 2 * timeouts.STALLED_CLIENT_US)
        assert not got.whole and len(ends) == 1 and isinstance(ends[0], StreamError)
        at_ease(platform, node)

    play(main)


@pytest.mark.parametrize("large", [20, 6, 1])
@pytest.mark.parametrize("takes_us", [0, 200_000, 60_000_000])
def test_the_process_ends_while_a_client_stalls(large: int, takes_us: int) -> None:
    """Nothing waits for the client past the end; what was whole before it is passed on whole if it is taken."""
    sim = Simulation(5)

    def run() -> None:
        platform = Platform(sim)
        world, node = platform.node()
        writing(platform, large)
        client = world.sim.program("stalled").spawn("client", stalled, platform, 1_000_000 + takes_us)
        platform.sleep(1_000_000)
        began = sim.now_us()
        world.spawn("drain", node.drain).join()
        assert sim.now_us() - began < 3_700_000 - 900_000  # well before the kill
        assert not node.executor.running and not node.core.lifecycle.requests
        got = client.join()
        if takes_us == 0:
            assert got.whole

    sim.run("main", run)
    assert sim.crashes == []

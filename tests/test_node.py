"""The platform's dispatcher (the node program) as a whole, against the platform stand-in on the virtual World."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from tests.platform_standin import EVENTS, HEAD, MAX_REPEATS_US, Host, Platform, plain, request, stream, write
from yardspindle.node.app import Node
from yardspindle.protocol import http1
from yardspindle.runtime.virtual import Simulation
from yardspindle.runtime.world import Stream

ID = b"9b1f03aa5c7e2d41"


def run_node(main: Callable[[Platform, Node], Any], sockets: int = 256, seed: int = 3) -> Any:
    sim = Simulation(seed)

    def run() -> Any:
        platform = Platform(sim)
        _, node = platform.node(sockets)
        return main(platform, node)

    result = sim.run("main", run)
    assert sim.crashes == []
    return result


def writers(platform: Platform) -> list[Host]:
    return [host for host in platform.hosts.values() if host.flavor == "writes"]


def readers(platform: Platform) -> list[Host]:
    return [host for host in platform.hosts.values() if host.flavor == "reads"]


def first_only(script: Callable[[Host, Stream, bytes], bool]) -> Callable[[Host, Stream, bytes], bool]:
    """A script for the first call only; later calls get the default behaviour of a writer."""
    calls: list[int] = []

    def respond(host: Host, to: Stream, number: bytes) -> bool:
        calls.append(1)
        return script(host, to, number) if len(calls) == 1 else write(host, to, number)

    return respond


def sends(data: bytes, later: bytes = b"", then_wait: bool = True) -> Callable[[Host, Stream, bytes], bool]:
    def script(host: Host, to: Stream, number: bytes) -> bool:
        to.write(data)
        if later:
            host.sleep(50_000)
            to.write(later)
        if then_wait:
            host.sleep(60_000_000)
        return False

    return script


# --- the normal path


def test_events_pass_unchanged_and_a_place_is_asked_during_the_read() -> None:
    def main(platform: Platform, node: Node) -> None:
        answer = platform.ask(ID)
        assert (answer.status, answer.whole, answer.body) == (200, True, b"".join(EVENTS))
        assert platform.calls_of(ID) == ["read", "place", "write"]
        assert node.core.lifecycle.counts.served == 1 and not node.core.busy and not node.executor.request_ids

    run_node(main)


def test_the_policys_timers_do_not_multiply() -> None:
    """An event in the millisecond of a timer left an extra timer behind for good: 13,000 calls for 350 sweeps."""

    def main(platform: Platform, node: Node) -> None:
        executor, timers = node.executor, platform.sim.scheduler.timers
        before = len(timers)
        for due_us in (90_000, 80_000, 70_000, 60_000):  # each due before the timer that is set
            executor._session._set_timer(node.world.now_us() + due_us, 1)
            executor.perform([])
        assert len(timers) == before + 1

    run_node(main)


def test_two_dispatchers_rank_readers_alike() -> None:
    def main() -> list[list[int]]:
        platform, orders = Platform(sim), []
        for _ in range(2):
            world, node = platform.node()
            orders.append([server.entry.server for server in node.policy._reader_order("some text")])
            world.kill()
            platform.hosts = dict(reversed(platform.hosts.items()))  # the next dispatcher lists them in another order
        return orders

    sim = Simulation(1)
    first, second = sim.run("main", main)
    assert first == second and len(first) == 2


# --- responses, and what they prove about execution

MALFORMED_OPENINGS = [
    b"\x00\x17noise\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nx: y\r\n",
    HEAD + b"zz\r\n",
    HEAD + b"c0000000\r\nabc",
    HEAD + b"5\r\nnoise\r\n",
    HEAD + b"9\r\ndata: {}\n",
]


@pytest.mark.parametrize("opening", MALFORMED_OPENINGS)
def test_a_stream_spoilt_before_its_first_event_may_have_run(opening: bytes) -> None:
    def main(platform: Platform, node: Node) -> None:
        for host in writers(platform):
            host.script = sends(opening)
        order = platform.ask(b"order1", b"order")
        assert order.status in (502, 504) and platform.calls_of(b"order1").count("write") == 1
        script = first_only(sends(opening))
        for host in writers(platform):
            host.script = script
        served = platform.ask(b"ask1")
        assert (served.status, served.whole) == (200, True)
        assert platform.calls_of(b"ask1").count("write") == 2
        assert all(server.failures == 0 for server in node.policy.servers.values())

    run_node(main)


@pytest.mark.parametrize("later", [b"zz\r\n", b"3\r\nabcdef\r\n", b"c0000000\r\n" + b"x" * 1000])
def test_a_stream_spoilt_later_ends_without_the_last_chunk_and_ejects_nobody(later: bytes) -> None:
    def main(platform: Platform, node: Node) -> None:
        for host in writers(platform):
            host.script = sends(HEAD + http1.write_chunk(EVENTS[0]), later)
        answer = platform.ask(ID)
        assert (answer.status, answer.whole, answer.body) == (200, False, EVENTS[0])
        assert answer.took_us < 1_000_000
        assert all(server.failures == 0 for server in node.policy.servers.values())

    run_node(main)


def test_a_silent_stream_is_ended_in_time() -> None:
    def main(platform: Platform, node: Node) -> None:
        for host in writers(platform):
            host.script = sends(HEAD + http1.write_chunk(EVENTS[0]))
        answer = platform.ask(ID)
        assert not answer.whole and 4_000_000 < answer.took_us < 5_000_000

    run_node(main)


def test_good_streams_that_bring_more_than_belongs_to_them() -> None:
    def send_extra(host: Host, to: Stream, number: bytes) -> bool:
        to.write(b"HTTP/1.1 103 Early Hints\r\nsrv-load: ;;=\xff\r\n\r\n")
        host.sleep(900_000)
        stream(host, to)
        to.write(plain(200, b"nobody asked"))
        return True

    def main(platform: Platform, node: Node) -> None:
        for host in writers(platform):
            host.script = send_extra
        for number in (b"a", b"b"):
            answer = platform.ask(number)
            assert (answer.whole, answer.body) == (True, b"".join(EVENTS))

    run_node(main)


def test_a_writer_without_the_state_sends_the_request_back_to_a_reader() -> None:
    def lose_state(host: Host, to: Stream, number: bytes) -> bool:
        host.platform.states.discard(number)
        return write(host, to, number)

    def main(platform: Platform, node: Node) -> None:
        script = first_only(lose_state)
        for host in writers(platform):
            host.script = script
        assert platform.ask(ID, b"order").whole
        assert platform.calls_of(ID).count("read") == 2

    run_node(main)


def test_what_could_not_connect_has_not_run_and_what_broke_later_may_have() -> None:
    def main(platform: Platform, node: Node) -> None:
        closed_host = writers(platform)[0]
        closed_host.listener.close()
        for number in range(6):
            assert platform.ask(b"order%d" % number, b"order").whole
        for host in writers(platform):
            host.script = sends(b"", then_wait=False)
        broken = platform.ask(b"last", b"order")
        assert broken.status in (502, 504) and platform.calls_of(b"last").count("write") == 1

    run_node(main)


@pytest.mark.parametrize("status", [204, 404, 409])
def test_places_that_are_not_held_for_sure(status: int) -> None:
    def main(platform: Platform, node: Node) -> None:
        for host in writers(platform):
            host.place_status = status
        assert platform.ask(ID).whole
        place_and_write_hosts = [host for what, host, _ in platform.calls if what in ("place", "write")]
        if status != 409:  # the place may be held there nevertheless
            assert place_and_write_hosts[0] == place_and_write_hosts[1]
        else:
            assert platform.calls_of(ID).count("place") == 3

    run_node(main)


def test_a_kept_connection_that_its_host_closed_is_not_used_again() -> None:
    def main(platform: Platform, node: Node) -> None:
        for host in platform.hosts.values():
            host.keep_alive = False
        for number in range(5):
            assert platform.ask(b"order%d" % number, b"order").whole

    run_node(main)


# --- release


def test_what_a_client_leaves_behind_is_let_go_of_though_a_host_hangs() -> None:
    def main(platform: Platform, node: Node) -> None:
        platform.ask(b"warm")
        for host in readers(platform):
            host.script = sends(b"")
        client = platform.connect()
        client.write(request(ID))
        platform.sleep(50_000)
        reader = next(name for what, name, number in platform.calls if (what, number) == ("read", ID))
        for name in (reader, *(host.name for host in writers(platform)[:2])):
            platform.sim.network.cut("node", name)
        platform.states.add(ID)
        client.close()
        platform.sleep(290_000)
        assert "free" in platform.calls_of(ID) and ID not in platform.states
        platform.sleep(3_000_000)
        assert not node.core.busy
        platform.sleep(60_000_000)  # what the reader may still read stays owed as long as it is silent
        assert node.core.tracks_release(2) and platform.calls_of(ID).count("free") <= 190  # one each 0.35 s
        platform.sim.network.restore("node", reader)
        platform.sleep(MAX_REPEATS_US)
        assert not node.core.needs_tick and not node.executor.request_ids

    run_node(main)


# --- clients

BAD_REQUESTS = [
    b"\x16\x03\x01garbage\r\n\r\n",
    b"GET / HTTP/1.1\r\n" + b"x: y\r\n" * 10,
    b"POST",
    request(ID).replace(b"req-id: " + ID, b"x: y"),
    request(ID, b"nosuch"),
    request(ID).replace(b"deadline-ms: 5000", b"deadline-ms: soon"),
    request(ID).replace(b"deadline-ms: 5000", b"deadline-ms: -5"),
    request(ID).replace(b"content-length: 15", b"content-length: -1"),
    request(ID).replace(b"content-length: 15", b"content-length: 99999999999999999999"),
    request(ID).replace(b"content-length: 15", b"content-length: 62914560") + b"x" * 100_000,
    request(ID).replace(b"content-length: 15", b"content-length: 150"),
    request(ID).replace(b"content-length: 15", b"content-length: 15\r\ntransfer-encoding: chunked"),
    request(ID).replace(b'{"stream":true}', b'{"stream":tru}}'),
    request(ID).replace(b"prompt_len=1000", b"prompt_len=-1000"),
    request(ID).replace(b"req-id", b"req-id: other\r\nreq-id"),
]

"""The platform's dispatcher as a whole, against the stand-in platform on the virtual World."""

from __future__ import annotations

import json
from collections.abc import Callable, Sized
from typing import Any

import pytest

from tests.platform_standin import EVENTS, HEAD, SETTINGS, TOLD, Host, Platform, plain, request, stream, write
from yardspindle.core.config import ConfigError
from yardspindle.node.app import Node
from yardspindle.node.config import parse, variables
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.virtual import Simulation
from yardspindle.runtime.world import Stream, StreamError

ID = b"9b1f03aa5c7e2d41"


def play(main: Callable[[Platform, Node], Any], sockets: int = 256, seed: int = 3) -> Any:
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
    """A script that the first call of all gets, and the ordinary conduct after it."""
    calls: list[int] = []

    def play_it(host: Host, to: Stream, number: bytes) -> bool:
        calls.append(1)
        return script(host, to, number) if len(calls) == 1 else write(host, to, number)

    return play_it


def says(data: bytes, later: bytes = b"", then_wait: bool = True) -> Callable[[Host, Stream, bytes], bool]:
    def script(host: Host, to: Stream, number: bytes) -> bool:
        to.write(data)
        if later:
            host.sleep(50_000)
            to.write(later)
        if then_wait:
            host.sleep(60_000_000)
        return False

    return script


# --- the ordinary path

def test_events_pass_unchanged_and_a_place_is_asked_during_the_read() -> None:
    def main(platform: Platform, node: Node) -> None:
        answer = platform.ask(ID)
        assert (answer.status, answer.whole, answer.body) == (200, True, b"".join(EVENTS))
        assert platform.kinds(ID) == ["read", "place", "write"]
        assert node.core.life.tally.served == 1 and not node.core.busy and not node.executor.ids

    play(main)


def test_the_policys_timers_do_not_multiply() -> None:
    """A timer overtaken by an event of the same millisecond set another for good: 13,000 calls for 350 sweeps."""
    def main(platform: Platform, node: Node) -> None:
        executor, timers = node.executor, platform.sim.scheduler.timers
        before = len(timers)
        for due_us in (90_000, 80_000, 70_000, 60_000):  # each due before what is set
            executor._session._later(node.world.now_us() + due_us, 1)
            executor.perform([])
        assert len(timers) == before + 1

    play(main)


def test_two_dispatchers_rank_readers_alike() -> None:
    def main() -> list[list[int]]:
        platform, orders = Platform(sim), []
        for _ in range(2):
            world, node = platform.node()
            orders.append([server.entry.server for server in node.policy._order("some text")])
            world.kill()
            platform.hosts = dict(reversed(platform.hosts.items()))  # the next one hears of them in another order
        return orders

    sim = Simulation(1)
    first, second = sim.run("main", main)
    assert first == second and len(first) == 2


# --- what came back, and what it proves

SPOILT = [b"\x00\x17noise\r\n\r\n", b"HTTP/1.1 200 OK\r\nx: y\r\n", HEAD + b"zz\r\n", HEAD + b"c0000000\r\nabc",
          HEAD + b"5\r\nnoise\r\n", HEAD + b"9\r\ndata: {}\n"]


@pytest.mark.parametrize("opening", SPOILT)
def test_a_stream_spoilt_before_its_first_event_may_have_run(opening: bytes) -> None:
    def main(platform: Platform, node: Node) -> None:
        for host in writers(platform):
            host.script = says(opening)
        order = platform.ask(b"order1", b"order")
        assert order.status in (502, 504) and platform.kinds(b"order1").count("write") == 1
        script = first_only(says(opening))
        for host in writers(platform):
            host.script = script
        served = platform.ask(b"ask1")
        assert (served.status, served.whole) == (200, True)
        assert platform.kinds(b"ask1").count("write") == 2
        assert all(server.strikes == 0 for server in node.policy.servers.values())

    play(main)


@pytest.mark.parametrize("later", [b"zz\r\n", b"3\r\nabcdef\r\n", b"c0000000\r\n" + b"x" * 1000])
def test_a_stream_spoilt_later_ends_without_the_last_chunk_and_strikes_nobody(later: bytes) -> None:
    def main(platform: Platform, node: Node) -> None:
        for host in writers(platform):
            host.script = says(HEAD + http1.write_chunk(EVENTS[0]), later)
        answer = platform.ask(ID)
        assert (answer.status, answer.whole, answer.body) == (200, False, EVENTS[0])
        assert answer.took_us < 1_000_000
        assert all(server.strikes == 0 for server in node.policy.servers.values())

    play(main)


def test_a_silent_stream_is_ended_in_time() -> None:
    def main(platform: Platform, node: Node) -> None:
        for host in writers(platform):
            host.script = says(HEAD + http1.write_chunk(EVENTS[0]))
        answer = platform.ask(ID)
        assert not answer.whole and 4_000_000 < answer.took_us < 5_000_000

    play(main)


def test_good_streams_that_bring_more_than_belongs_to_them() -> None:
    def more(host: Host, to: Stream, number: bytes) -> bool:
        to.write(b"HTTP/1.1 103 Early Hints\r\nsrv-load: ;;=\xff\r\n\r\n")
        host.sleep(900_000)
        stream(host, to)
        to.write(plain(200, b"nobody asked"))
        return True

    def main(platform: Platform, node: Node) -> None:
        for host in writers(platform):
            host.script = more
        for number in (b"a", b"b"):
            answer = platform.ask(number)
            assert (answer.whole, answer.body) == (True, b"".join(EVENTS))

    play(main)


def test_a_writer_without_the_state_sends_the_request_back_to_a_reader() -> None:
    def gone(host: Host, to: Stream, number: bytes) -> bool:
        host.platform.states.discard(number)
        return write(host, to, number)

    def main(platform: Platform, node: Node) -> None:
        script = first_only(gone)
        for host in writers(platform):
            host.script = script
        assert platform.ask(ID, b"order").whole
        assert platform.kinds(ID).count("read") == 2

    play(main)


def test_what_could_not_connect_has_not_run_and_what_broke_later_may_have() -> None:
    def main(platform: Platform, node: Node) -> None:
        down = writers(platform)[0]
        down.listener.close()
        for number in range(6):
            assert platform.ask(b"order%d" % number, b"order").whole
        for host in writers(platform):
            host.script = says(b"", then_wait=False)
        broken = platform.ask(b"last", b"order")
        assert broken.status in (502, 504) and platform.kinds(b"last").count("write") == 1

    play(main)


@pytest.mark.parametrize("status", [204, 404, 409])
def test_places_that_are_not_held_for_sure(status: int) -> None:
    def main(platform: Platform, node: Node) -> None:
        for host in writers(platform):
            host.place_status = status
        assert platform.ask(ID).whole
        asked = [host for what, host, _ in platform.seen if what in ("place", "write")]
        if status != 409:  # it may be held there all the same
            assert asked[0] == asked[1]
        else:
            assert platform.kinds(ID).count("place") == 3

    play(main)


def test_a_kept_connection_that_its_host_closed_is_not_used_again() -> None:
    def main(platform: Platform, node: Node) -> None:
        for host in platform.hosts.values():
            host.keeps = False
        for number in range(5):
            assert platform.ask(b"order%d" % number, b"order").whole

    play(main)


# --- letting go

def test_what_a_client_leaves_behind_is_let_go_of_though_a_host_hangs() -> None:
    def main(platform: Platform, node: Node) -> None:
        platform.ask(b"warm")
        for host in readers(platform):
            host.script = says(b"")
        client = platform.connect()
        client.write(request(ID))
        platform.sleep(50_000)
        reader = next(name for what, name, number in platform.seen if (what, number) == ("read", ID))
        for name in (reader, *(host.name for host in writers(platform)[:2])):
            platform.sim.network.cut("node", name)
        platform.states.add(ID)
        client.close()
        platform.sleep(290_000)
        assert "free" in platform.kinds(ID) and ID not in platform.states
        platform.sleep(3_000_000)
        assert not node.core.busy and not node.executor.ids

    play(main)


# --- clients

BAD = [
    b"\x16\x03\x01garbage\r\n\r\n", b"GET / HTTP/1.1\r\n" + b"x: y\r\n" * 10, b"POST",
    request(ID).replace(b"req-id: " + ID, b"x: y"), request(ID, b"nosuch"),
    request(ID).replace(b"deadline-ms: 5000", b"deadline-ms: soon"),
    request(ID).replace(b"deadline-ms: 5000", b"deadline-ms: -5"),
    request(ID).replace(b"content-length: 15", b"content-length: -1"),
    request(ID).replace(b"content-length: 15", b"content-length: 99999999999999999999"),
    request(ID).replace(b"content-length: 15", b"content-length: 62914560") + b"x" * 100_000,
    request(ID).replace(b"content-length: 15", b"content-length: 150"),
    request(ID).replace(b"content-length: 15", b"content-length: 15\r\ntransfer-encoding: chunked"),
    request(ID).replace(b'{"stream":true}', b'{"stream":tru}}'),
    request(ID).replace(b"prompt_len=1000", b"prompt_len=-1000"),
    request(ID).replace(b"req-id", b"req-id: other\r\nreq-id")]


@pytest.mark.parametrize("sent", BAD)
def test_bad_clients_get_an_error_or_a_close_and_touch_nothing(sent: bytes) -> None:
    def main(platform: Platform, node: Node) -> None:
        client = platform.connect()
        with platform.clients.deadline(platform.clients.now_us() + 3_000_000):
            got = b""
            try:
                client.write(sent)
                while data := client.read():
                    got += data
            except StreamError:
                pass
            except DeadlineExceeded:
                assert got  # an error, and the connection stays
        assert not got or got.startswith(b"HTTP/1.1 4") or got.startswith(b"HTTP/1.1 5")
        assert node.core.life.tally.taken == 0 and platform.seen == []
        assert platform.ask(b"good").whole

    play(main)


def test_an_id_that_is_open_is_refused_and_the_open_one_served() -> None:
    def main(platform: Platform, node: Node) -> None:
        answers: list[int] = []
        first = platform.clients.spawn("first", lambda: answers.append(platform.ask(ID).status))
        platform.sleep(10_000)
        assert platform.ask(ID).status == 409
        first.join()
        assert answers == [200] and platform.kinds(ID).count("read") == 1

    play(main)


def test_silent_connections_leave_room_for_clients() -> None:
    def main(platform: Platform, node: Node) -> None:
        silent = [platform.connect() for _ in range(60)]
        assert node._server is not None and node._server.connections < 36
        assert platform.ask(ID).whole
        platform.sleep(3_000_000)
        assert node._server.connections <= 1
        assert all(not stream.quiet() for stream in silent)

    play(main, sockets=64)


# --- discovery

def test_the_list_is_followed_and_a_drain_kept_whatever_discovery_says() -> None:
    def main(platform: Platform, node: Node) -> None:
        drained = writers(platform)[0]
        drained.phase, platform.revision = "Terminating", 2
        platform.sleep(100_000)
        for spoilt in (b"{", b'{"revision":9,"complete":true,"members":[]}', b'{"revision":1,"complete":true}'):
            platform.spoil, platform.revision = spoilt, platform.revision + 1
            platform.sleep(1_000_000)
        assert len(node.hosts) == 5
        for number in range(6):
            assert platform.ask(b"id%d" % number).whole
        assert drained.name not in [name for what, name, _ in platform.seen if what == "write"]

    play(main)


def test_an_agent_that_falls_silent_is_asked_anew_and_another_address_is_followed() -> None:
    def main(platform: Platform, node: Node) -> None:
        platform.sleep(100_000)
        platform.sim.network.cut("node", f"discovery {TOLD['ROUTER_DISCOVERY']}")
        platform.sleep(7_000_000)
        assert len(node.hosts) == 5 and platform.ask(b"meanwhile").whole
        platform.discovery("10.2.0.9:8500")
        platform.hosts.pop(writers(platform)[0].name)
        platform.revision = 7
        config = json.dumps({"discovery": "10.2.0.9:8500", "settings": SETTINGS}).encode()
        node.reload(parse(TOLD, config))
        platform.sleep(200_000)
        assert (len(node.hosts), node.hosts.revision) == (4, 7)

    play(main)


def test_tables_stay_flat_while_hosts_and_clients_keep_changing() -> None:
    def main(platform: Platform, node: Node) -> list[int]:
        counts = []
        for at in range(240):
            old = next(iter(platform.hosts))
            flavor = platform.hosts.pop(old).flavor
            platform.add(f"{flavor}-new-{at}", flavor, f"10.4.{at}.1:9000")
            platform.revision += 1
            platform.sleep(500_000)
            assert platform.ask(b"id%d" % at).status in (200, 502, 504)
            policy, core, tables = node.policy, node.core, node.executor
            held: list[Sized] = [
                policy.servers, policy.open, core.life.directory.servers, core.life.open, core.rooms.owed,
                core.rooms._heard, tables.ids, tables.running, node.hosts._numbers, node.http._idle, node._open_ids]
            counts.append(sum(len(table) for table in held))
        return counts

    counts = play(main)
    assert max(counts[200:]) <= max(counts[140:200])


# --- planned restarts

def test_a_planned_restart_answers_what_it_took_and_ends_streams_before_it_is_killed() -> None:
    def endless(host: Host, to: Stream, number: bytes) -> bool:
        return stream(host, to, [EVENTS[0]] * 10_000)

    def hangs(host: Host, to: Stream, number: bytes) -> bool:
        return write(host, to, number) if number == b"late" else says(b"")(host, to, number)

    def main(platform: Platform, node: Node) -> None:
        answers: dict[bytes, Any] = {}

        def ask(number: bytes, cls: bytes = b"ask") -> None:
            answers[number] = platform.ask(number, cls)

        kept = platform.connect()
        assert platform.ask(b"before", to=kept).whole
        for host in writers(platform):
            host.script = endless
        tasks = [platform.clients.spawn("a", ask, b"streams")]
        platform.sleep(200_000)
        for host in writers(platform):
            host.script = hangs
        tasks += [platform.clients.spawn("b", ask, b"waits"), platform.clients.spawn("c", ask, b"order", b"order")]
        platform.sleep(100_000)
        drain = node.world.spawn("drain", node.drain)
        platform.sleep(300_000)
        up = platform.connect()
        up.write(b"GET /up HTTP/1.1\r\nhost: x\r\n\r\n")
        assert up.read().startswith(b"HTTP/1.1 503")
        assert platform.ask(b"late", to=kept).whole  # a kept connection is served on
        drain.join()
        for task in tasks:
            task.join()
        assert not answers[b"streams"].whole and answers[b"streams"].body.startswith(EVENTS[0])
        assert answers[b"waits"].status == 503 and answers[b"order"].status == 502
        assert max(answer.took_us for answer in answers.values()) < 3_900_000
        assert not node.core.life.open

    play(main)


# --- configuration

@pytest.mark.parametrize(("data", "named"), [
    (b"{", "no JSON"), (b"{}", "settings"), (b'{"settings":{}}', "settings"), (b'{"settings":3}', "settings"),
    (json.dumps({"settings": SETTINGS, "listen": "x"}).encode(), "listen"),
    (json.dumps({"settings": SETTINGS, "limits": {"sockets": "many"}}).encode(), "limits.sockets"),
    (json.dumps({"settings": SETTINGS, "limits": {"sockets": 15}}).encode(), "limits.sockets"),
    (json.dumps({"settings": {**SETTINGS, "me": 5}}).encode(), "me")])
def test_a_bad_configuration_is_one_clear_line(data: bytes, named: str) -> None:
    with pytest.raises(ConfigError) as caught:
        parse(TOLD, data)
    text = str(caught.value)
    assert text.startswith("/config.json: ") and named in text and "\n" not in text


def test_a_missing_variable_is_named() -> None:
    with pytest.raises(ConfigError, match="ROUTER_LISTEN"):
        variables({name: value for name, value in TOLD.items() if name != "ROUTER_LISTEN"})

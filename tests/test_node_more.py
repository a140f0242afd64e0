"""The node program on the virtual World: bad requests, discovery, table sizes, graceful shutdown, configuration."""

from __future__ import annotations

import json
from collections.abc import Callable, Sized
from typing import Any

import pytest

from tests.platform_standin import ENVIRONMENT, EVENTS, SETTINGS, Host, Platform, request, stream, write
from tests.test_node import BAD_REQUESTS, ID, readers, run_node, sends, writers
from yardspindle.core.config import ConfigError
from yardspindle.node.app import Node
from yardspindle.node.config import parse_config, required_variables
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.world import Stream, StreamError


@pytest.mark.parametrize("sent", BAD_REQUESTS)
def test_bad_clients_get_an_error_or_a_close_and_touch_nothing(sent: bytes) -> None:
    def main(platform: Platform, node: Node) -> None:
        client = platform.connect()
        with platform.clients.deadline(platform.clients.now_us() + 3_000_000):
            received = b""
            try:
                client.write(sent)
                while data := client.read():
                    received += data
            except StreamError:
                pass
            except DeadlineExceeded:
                assert received  # an error response, and the connection stays open
        assert not received or received.startswith(b"HTTP/1.1 4") or received.startswith(b"HTTP/1.1 5")
        assert node.core.lifecycle.counts.taken == 0 and platform.calls == []
        assert platform.ask(b"good").whole

    run_node(main)


def test_an_id_that_is_open_is_refused_and_the_open_one_served() -> None:
    def main(platform: Platform, node: Node) -> None:
        answers: list[int] = []
        first = platform.clients.spawn("first", lambda: answers.append(platform.ask(ID).status))
        platform.sleep(10_000)
        assert platform.ask(ID).status == 409
        first.join()
        assert answers == [200] and platform.calls_of(ID).count("read") == 1

    run_node(main)


def test_silent_connections_leave_room_for_clients() -> None:
    def main(platform: Platform, node: Node) -> None:
        idle_clients = [platform.connect() for _ in range(60)]
        assert node._server is not None and node._server.connections < 36
        assert platform.ask(ID).whole
        platform.sleep(3_000_000)
        assert node._server.connections <= 1
        assert all(not stream.is_idle() for stream in idle_clients)

    run_node(main, sockets=64)


# --- discovery


def test_the_list_is_followed_and_a_drain_kept_whatever_discovery_says() -> None:
    def main(platform: Platform, node: Node) -> None:
        drained = writers(platform)[0]
        drained.phase, platform.revision = "Terminating", 2
        platform.sleep(100_000)
        for malformed in (b"{", b'{"revision":9,"complete":true,"members":[]}', b'{"revision":1,"complete":true}'):
            platform.discovery_body, platform.revision = malformed, platform.revision + 1
            platform.sleep(1_000_000)
        assert len(node.host_list) == 5
        for number in range(6):
            assert platform.ask(b"id%d" % number).whole
        assert drained.name not in [name for what, name, _ in platform.calls if what == "write"]

    run_node(main)


def test_an_agent_that_falls_silent_is_asked_anew_and_another_address_is_followed() -> None:
    def main(platform: Platform, node: Node) -> None:
        platform.sleep(100_000)
        platform.sim.network.cut("node", f"discovery {ENVIRONMENT['ROUTER_DISCOVERY']}")
        platform.sleep(7_000_000)
        assert len(node.host_list) == 5 and platform.ask(b"meanwhile").whole
        platform.discovery("10.2.0.9:8500")
        platform.hosts.pop(writers(platform)[0].name)
        platform.revision = 7
        config = json.dumps({"discovery": "10.2.0.9:8500", "settings": SETTINGS}).encode()
        node.reload(parse_config(ENVIRONMENT, config))
        platform.sleep(200_000)
        assert (len(node.host_list), node.host_list.revision) == (4, 7)

    run_node(main)


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
            policy, core, executor = node.policy, node.core, node.executor
            tables: list[Sized] = [
                policy.servers,
                policy.open_requests,
                core.lifecycle.directory.servers,
                core.lifecycle.requests,
                core.request_releases.pending,
                core.request_releases._last_answer_us,
                executor.request_ids,
                executor.running,
                node.host_list._numbers,
                node.http._idle,
                node._open_ids,
            ]
            counts.append(sum(len(table) for table in tables))
        return counts

    counts = run_node(main)
    assert max(counts[180:]) <= max(counts[120:180])


# --- planned restarts


def test_a_planned_restart_answers_what_it_took_and_ends_streams_before_it_is_killed() -> None:
    def endless(host: Host, to: Stream, number: bytes) -> bool:
        return stream(host, to, [EVENTS[0]] * 10_000)

    def hang(host: Host, to: Stream, number: bytes) -> bool:
        return write(host, to, number) if number == b"late" else sends(b"")(host, to, number)

    def main(platform: Platform, node: Node) -> None:
        answers: dict[bytes, Any] = {}

        def ask(number: bytes, cls: bytes = b"ask") -> None:
            answers[number] = platform.ask(number, cls)

        open_client = platform.connect()
        assert platform.ask(b"before", to=open_client).whole
        for host in writers(platform):
            host.script = endless
        tasks = [platform.clients.spawn("a", ask, b"streams")]
        platform.sleep(200_000)
        for host in writers(platform):
            host.script = hang
        tasks += [platform.clients.spawn("b", ask, b"waits"), platform.clients.spawn("c", ask, b"order", b"order")]
        platform.sleep(100_000)
        drain = node.world.spawn("drain", node.drain)
        platform.sleep(300_000)
        health_check = platform.connect()
        health_check.write(b"GET /up HTTP/1.1\r\nhost: x\r\n\r\n")
        assert health_check.read().startswith(b"HTTP/1.1 503")
        assert platform.ask(b"late", to=open_client).whole  # requests on an open connection are still served
        drain.join()
        for task in tasks:
            task.join()
        assert not answers[b"streams"].whole and answers[b"streams"].body.startswith(EVENTS[0])
        assert answers[b"waits"].status == 503 and answers[b"order"].status in (502, 504)
        assert max(answer.took_us for answer in answers.values()) < 3_900_000
        assert not node.core.lifecycle.requests

    run_node(main)


@pytest.mark.parametrize("cut", [0, 2, 4])
@pytest.mark.parametrize("state_us", [0, 60_000, 100_000])
def test_what_is_held_as_a_process_leaves_is_let_go_of_before_it_ends(cut: int, state_us: int) -> None:
    """The process ended after 150 ms: too soon for unresponsive hosts, and for the repeated release after a read."""

    def read_late(host: Host, to: Stream, number: bytes) -> bool:
        to.wait_input()  # until it is aborted
        host.sleep(state_us)
        host.platform.states.add(number)
        return False

    def main(platform: Platform, node: Node) -> None:
        assert platform.ask(b"before").whole
        for host in readers(platform):
            host.script = read_late
        platform.sleep(1_000_000)
        drain = node.world.spawn("drain", node.drain)
        platform.sleep(2_000_000)
        client = platform.connect()
        client.write(request(b"id"))
        platform.sleep(300_000)
        assert sorted(platform.calls_of(b"id")) == ["place", "read"]  # on two connections: either may arrive first
        for name in list(platform.hosts)[:cut]:
            platform.sim.network.cut("node", name)
            if platform.hosts[name].flavor == "reads":
                platform.states.add(b"id")  # it was read, and only its answer was lost
        drain.join()
        assert not platform.states and not node.core.request_releases.pending

    run_node(main)


def answer_place_late(host: Host, status: int) -> Callable[[Stream, http1.RequestHead], bool]:
    def answer(to: Stream, head: http1.RequestHead) -> bool:
        if head.method == b"POST" and head.target.startswith(b"/bootstrap"):
            host.sleep(600_000)
            host.platform.states.add(b"id")
            host.place_status = status
        return Host.answer(host, to, head)

    return answer


@pytest.mark.parametrize("status", [200, 204])
def test_a_place_that_is_answered_as_a_process_leaves_is_let_go_of_before_it_ends(status: int) -> None:
    """The answer arrived after the process had ended, and the place was held until its host released it by itself."""

    def main(platform: Platform, node: Node) -> None:
        for host in writers(platform):
            host.answer = answer_place_late(host, status)  # type: ignore[method-assign,assignment]
        for host in readers(platform):
            host.script = sends(b"")
        drain = node.world.spawn("drain", node.drain)
        platform.sleep(2_150_000)
        client = platform.connect()
        client.write(request(b"id"))
        drain.join()
        kinds = platform.calls_of(b"id")  # with no answer to the place, or a 204, its read is aborted and retried
        assert kinds.count("place") <= kinds.count("read") <= 2 and "place" in kinds and not platform.states

    run_node(main)


# --- configuration


@pytest.mark.parametrize(
    ("data", "named"),
    [
        (b"{", "invalid JSON"),
        (b"{}", "settings"),
        (b'{"settings":{}}', "settings"),
        (b'{"settings":3}', "settings"),
        (json.dumps({"settings": SETTINGS, "listen": "x"}).encode(), "listen"),
        (json.dumps({"settings": SETTINGS, "limits": {"sockets": "many"}}).encode(), "limits.sockets"),
        (json.dumps({"settings": SETTINGS, "limits": {"sockets": 15}}).encode(), "limits.sockets"),
        (json.dumps({"settings": {**SETTINGS, "me": 5}}).encode(), "me"),
        *(
            (json.dumps({"settings": {**SETTINGS, **change}}).encode(), named)
            for change, named in (
                ({"me": "first"}, "settings.me"),
                ({"instances": None}, "settings.instances"),
                ({"shapes": []}, "settings.shapes"),
                ({"services": []}, "settings.services"),
                ({"services": [{"name": "ask"}]}, "goal-time-us"),
                ({"services": [{"name": "a\n", "goal-time-us": 1, "give-up-us": 1}]}, "services[0].name"),
                ({"services": [{"name": "ask", "goal-time-us": "soon", "give-up-us": 9}]}, "services[0].goal-time-us"),
                ({"services": [{"name": "ask", "goal-time-us": 9, "give-up-us": 5}]}, "aim_us of ask"),
                (
                    {"services": [{"name": "ask", "goal-time-us": 1, "give-up-us": 5, "idempotency": "often"}]},
                    "idempotency",
                ),
                ({"services": [{"name": "ask", "goal-time-us": 1, "give-up-us": 5}] * 2}, "classes"),
                ({"family-info": {"duty-by-kind": ["read", "sing"]}}, "settings.family-info.duty-by-kind[1]"),
                ({"family-info": {"let-go-by-us": "late"}}, "settings.family-info.let-go-by-us"),
                ({"family-info": 7}, "settings.family-info"),
                ({"allowed": {"most-tries": 0}}, "settings.allowed.most-tries"),
                ({"obligations": {"start-capacity": 0}}, "settings.obligations.start-capacity"),
            )
        ),
    ],
)
def test_a_bad_configuration_is_one_clear_line(data: bytes, named: str) -> None:
    with pytest.raises(ConfigError) as caught:
        parse_config(ENVIRONMENT, data)
    text = str(caught.value)
    assert text.startswith("/config.json: ") and named in text and "\n" not in text


def test_a_missing_variable_is_named() -> None:
    with pytest.raises(ConfigError, match="ROUTER_LISTEN"):
        required_variables({name: value for name, value in ENVIRONMENT.items() if name != "ROUTER_LISTEN"})

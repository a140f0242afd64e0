"""A client that disconnects while a task of its request waits: nothing starts after that, and all held is released."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from tests.platform_standin import (
    MAX_REPEATS_US,
    SETTINGS,
    Host,
    Platform,
    plain,
    read,
    request,
)
from tests.test_node import readers, run_node, writers
from tests.test_node_sending import HOP_US, slow, wait_for_request
from yardspindle import interface as i
from yardspindle.core.request.records import RequestRecord
from yardspindle.node.app import Node
from yardspindle.protocol import http1
from yardspindle.runtime.world import Stream

ID = b"9b1f03aa5c7e2d41"
RELEASE_US = SETTINGS["family-info"]["let-go-by-us"]
CLOSE_KINDS = pytest.mark.parametrize(
    "leave",
    [pytest.param(lambda client: client.close(), id="FIN"), pytest.param(lambda client: client.abort(), id="RST")],
)
Leave = Callable[[Any], None]


def hang(host: Host, to: Stream, number: bytes) -> bool:
    host.sleep(60_000_000)
    return False


def call_before(owner: Any, name: str, before: Callable[..., None]) -> None:
    original = getattr(owner, name)

    def call(*args: Any, **more: Any) -> Any:
        before(*args)
        return original(*args, **more)

    setattr(owner, name, call)


def forbid_late_writes(platform: Platform, node: Node) -> list[bytes]:
    """Let writes for a request that is over fail from now on; the list gets the ids of the requests written."""
    ids: list[bytes] = []

    def written(number: int, _attempt: int) -> None:
        ids.append(node.executor.request_ids.get(number, b"?"))
        record = node.core.lifecycle.requests.get(number)
        assert record is not None and record.final is None, "written after its client left"

    call_before(node.core, "attempt_written", written)
    return ids


def start_request(platform: Platform, number: bytes = ID, body: int = 0) -> Any:
    """A client that sends its request."""
    client = platform.connect()
    data = request(number)
    if body:
        data = data.replace(b"content-length: 15", b"content-length: %d" % body)
        data = data[:-1] + b" " * (body - 15) + b"}"
    platform.clients.spawn("writes", client.write, data)
    return client


def assert_released(platform: Platform, node: Node, seen: list[str], number: bytes = ID) -> None:
    """Assert that only releases are sent for a request from now on, and that all it holds is released in time."""
    platform.sleep(RELEASE_US + 300_000)
    assert [what for what in platform.calls_of(number) if what != "free"] == [what for what in seen if what != "free"]
    assert number not in platform.states
    platform.sleep(
        MAX_REPEATS_US + 3_000_000
    )  # until then, calls that may lie unread at an unresponsive host are tracked
    assert not node.core.needs_tick and not node.executor.request_ids
    assert not node.executor.releases.running and not node.executor.running
    assert node.core.rule_checker.last_violation is None


def is_connecting(role: i.Role) -> Callable[[RequestRecord], bool]:
    return lambda record: (
        record.attempt is not None and record.attempt.server.role is role and not record.attempt.written
    )


@CLOSE_KINDS
@pytest.mark.parametrize("role", [i.Role.READ, i.Role.WRITE])
def test_it_leaves_while_a_connection_is_made(role: i.Role, leave: Leave) -> None:
    def main(platform: Platform, node: Node) -> None:
        forbid_late_writes(platform, node)
        slow(platform, readers(platform) if role is i.Role.READ else writers(platform))
        client = start_request(platform)
        wait_for_request(platform, node, is_connecting(role))
        leave(client)
        assert_released(platform, node, [] if role is i.Role.READ else ["read"])

    run_node(main)


@CLOSE_KINDS
def test_it_leaves_while_a_place_waits_for_its_read_to_be_written(leave: Leave) -> None:
    def main(platform: Platform, node: Node) -> None:
        slow(platform, readers(platform))
        client = start_request(platform)
        wait_for_request(platform, node, lambda record: record.place is not None and is_connecting(i.Role.READ)(record))
        leave(client)
        assert_released(platform, node, [])

    run_node(main)


@CLOSE_KINDS
def test_it_leaves_while_the_connection_for_a_place_is_made(leave: Leave) -> None:
    """The client was checked before the connection was established, and the place was requested after it had left."""

    def main(platform: Platform, node: Node) -> None:
        slow(platform, writers(platform))
        for host in readers(platform):
            host.script = hang
        client = start_request(platform)
        wait_for_request(
            platform,
            node,
            lambda record: record.place is not None and record.attempt is not None and record.attempt.written,
        )
        leave(client)
        assert_released(platform, node, ["read"])

    run_node(main)


@CLOSE_KINDS
def test_it_leaves_while_a_place_is_asked(leave: Leave) -> None:
    """A place that was requested before the client left may be held: it is released."""

    def main(platform: Platform, node: Node) -> None:
        slow(platform, writers(platform))
        for host in readers(platform):
            host.script = hang
        client = start_request(platform)
        while "place" not in platform.calls_of(ID):
            platform.sleep(1_000)
        leave(client)
        assert_released(platform, node, ["read", "place"])
        assert platform.calls_of(ID)[-1] == "free"

    run_node(main)


@CLOSE_KINDS
def test_it_leaves_while_a_new_read_waits_for_a_release(leave: Leave) -> None:
    def main(platform: Platform, node: Node) -> None:
        forbid_late_writes(platform, node)

        def break_connection(host: Host, to: Stream, number: bytes) -> bool:
            platform.states.add(number)
            to.abort()
            return False

        def release_slowly(host: Host) -> Callable[[Stream, http1.RequestHead], bool]:
            def answer(to: Stream, head: http1.RequestHead) -> bool:
                if head.method == b"DELETE":
                    host.sleep(45_000)
                return Host.answer(host, to, head)

            return answer

        for host in platform.hosts.values():
            host.answer = release_slowly(host)  # type: ignore[method-assign,assignment]
        for host in readers(platform):
            host.script = break_connection
        client = start_request(platform)
        record = wait_for_request(platform, node, lambda record: record.attempt_count == 2)
        platform.sleep(10_000)
        assert node.executor.releases.running and is_connecting(i.Role.READ)(record)
        leave(client)
        assert_released(platform, node, ["read"] + ["place"] * platform.calls_of(ID).count("place"))

    run_node(main)


@CLOSE_KINDS
@pytest.mark.parametrize("role", [i.Role.READ, i.Role.WRITE])
def test_it_leaves_while_the_policy_waits_for_room(role: i.Role, leave: Leave) -> None:
    def respond_full(host: Host, to: Stream, number: bytes) -> bool:
        to.write(plain(503, b"", (b"srv-declined", b"1")))
        return True

    def main(platform: Platform, node: Node) -> None:
        forbid_late_writes(platform, node)
        for host in readers(platform) if role is i.Role.READ else writers(platform):
            host.script, host.place_status = respond_full, 409
        client = start_request(platform)
        wait_for_request(
            platform, node, lambda record: record.attempt is None and record.attempt_count > (role is i.Role.WRITE)
        )
        leave(client)
        platform.sleep(5_000)
        assert_released(platform, node, platform.calls_of(ID))

    run_node(main)


@CLOSE_KINDS
def test_it_leaves_in_the_moment_in_which_a_connection_comes_up(leave: Leave) -> None:
    """In both orders, and within one turn of the event loop: the cancelled task had been woken, and wrote at once."""

    def main(platform: Platform, node: Node) -> None:
        ids = forbid_late_writes(platform, node)
        for source, target in (("clients", "node"), ("node", "clients")):
            platform.sim.network.path(source, target).latency_us = (1_000, 1_000)
        slow(platform, readers(platform))
        unwritten = 0
        for at in range(60):
            node.http.close_all()
            number = b"id%d" % at
            client = start_request(platform, number)
            platform.sim.scheduler.sleep_until(platform.sim.now_us() + 2 * HOP_US - 5_000 + at * 200)
            leave(client)
            platform.sleep(RELEASE_US + 500_000)
            assert number not in platform.states
            unwritten += number not in ids
        assert 5 < unwritten < 55  # some connections were established first, some clients left first
        assert not node.core.busy and node.core.rule_checker.last_violation is None

    run_node(main)


@CLOSE_KINDS
@pytest.mark.parametrize("role", [i.Role.READ, i.Role.WRITE])
def test_it_leaves_in_the_turn_in_which_a_connection_is_there(role: i.Role, leave: Leave) -> None:
    """The writing task had been woken: it dropped the release that was pending by then, and the state stayed held."""

    def main(platform: Platform, node: Node) -> None:
        forbid_late_writes(platform, node)
        original_connect = node.world.connect

        def connect(host: str, port: int, deadline_us: int, essential: bool = False) -> Stream:
            stream = original_connect(host, port, deadline_us, essential)
            for record in list(node.core.lifecycle.requests.values()):
                if (
                    record.attempt is not None
                    and record.attempt.server.host == host
                    and record.attempt.server.role is role
                ):
                    node.executor.running[record.request.request].exchange.client_disconnected()
            return stream

        node.world.connect = connect  # type: ignore[method-assign]

        def read_then_close(host: Host, to: Stream, number: bytes) -> bool:
            host.sleep(20_000)
            node.http.close_all()  # also that of the place request: a new one has to be established
            return read(host, to, number)

        for host in readers(platform):
            host.script = read_then_close
        client = start_request(platform)
        platform.sleep(100_000)
        leave(client)
        assert_released(
            platform,
            node,
            [what for what in platform.calls_of(ID) if what == "place" or (what == "read" and role is i.Role.WRITE)],
        )

    run_node(main)


@CLOSE_KINDS
def test_an_attempt_that_is_half_written_when_it_leaves_never_comes_whole(leave: Leave) -> None:
    def main(platform: Platform, node: Node) -> None:
        ids = forbid_late_writes(platform, node)
        for host in readers(platform):
            for source, target in (("node", host.name), (host.name, "node")):
                platform.sim.network.path(source, target).bytes_per_s = 1_000_000
        client = start_request(platform, body=200_000)
        wait_for_request(platform, node, is_connecting(i.Role.READ))
        platform.sleep(30_000)
        leave(client)
        assert_released(platform, node, [])
        assert not ids

    run_node(main)


@CLOSE_KINDS
def test_what_is_read_as_it_leaves_is_let_go_of_in_time(leave: Leave) -> None:
    """The read ends as its client leaves: in both orders, and within one turn of the event loop."""

    def main(platform: Platform, node: Node) -> None:
        for source in platform.sim.programs:
            for target in platform.sim.programs:
                platform.sim.network.path(source, target).latency_us = (1_000, 1_000)
        for host in readers(platform):
            host.script = read
        platform.ask(b"warm")
        for at in range(40):
            number = b"id%d" % at
            client = start_request(platform, number)
            platform.sim.scheduler.sleep_until(platform.sim.now_us() + 18_000 + at * 200)
            leave(client)
            platform.sleep(RELEASE_US)
            assert number not in platform.states, at
        platform.sleep(1_000_000)
        assert not node.core.busy and node.core.rule_checker.last_violation is None

    run_node(main)

"""A client that leaves while a task of its request waits: nothing begins after that, and what is held is let go of."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import pytest

from tests.platform_standin import EVENTS, HEAD, SETTINGS, TOLD, Host, Platform, answer, plain, read, request
from tests.platform_standin import read_request as next_request
from tests.test_node import play, readers, writers
from tests.test_node_sending import HOP_US, slow, the_one
from yardspindle import interface as i
from yardspindle.core.request.records import RequestRecord
from yardspindle.core.request.unread_calls import EXPIRY_US
from yardspindle.node.app import Node
from yardspindle.node.config import parse_config
from yardspindle.protocol import http1
from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.world import Stream, StreamError

ID = b"9b1f03aa5c7e2d41"
RELEASE_US = SETTINGS["family-info"]["let-go-by-us"]
CLOSES = pytest.mark.parametrize(
    "leave",
    [pytest.param(lambda client: client.close(), id="FIN"), pytest.param(lambda client: client.abort(), id="RST")],
)
Leave = Callable[[Any], None]


def hangs(host: Host, to: Stream, number: bytes) -> bool:
    host.sleep(60_000_000)
    return False


def wrapped(owner: Any, name: str, before: Callable[..., None]) -> None:
    plain_one = getattr(owner, name)

    def call(*args: Any, **more: Any) -> Any:
        before(*args)
        return plain_one(*args, **more)

    setattr(owner, name, call)


def watched(platform: Platform, node: Node) -> list[bytes]:
    """Sees to it that no attempt is written for a request that is over; gives the ids of those written."""
    ids: list[bytes] = []

    def written(number: int, _attempt: int) -> None:
        ids.append(node.executor.request_ids.get(number, b"?"))
        known = node.core.lifecycle.requests.get(number)
        assert known is not None and known.final is None, "written after its client left"

    wrapped(node.core, "attempt_written", written)
    return ids


def begins(platform: Platform, number: bytes = ID, body: int = 0) -> Any:
    """A client that has sent its request."""
    client = platform.connect()
    data = request(number)
    if body:
        data = data.replace(b"content-length: 15", b"content-length: %d" % body)
        data = data[:-1] + b" " * (body - 15) + b"}"
    platform.clients.spawn("writes", client.write, data)
    return client


def is_over(platform: Platform, node: Node, seen: list[str], number: bytes = ID) -> None:
    """From now on nothing more is sent for it, and all that is held is let go of in time."""
    platform.sleep(RELEASE_US + 300_000)
    assert [what for what in platform.kinds(number) if what != "free"] == [what for what in seen if what != "free"]
    assert number not in platform.states
    platform.sleep(EXPIRY_US + 3_000_000)  # until then what lies unread at a silent host is remembered
    assert not node.core.needs_tick and not node.executor.request_ids
    assert not node.executor.releases.running and not node.executor.running
    assert node.core.rule_checker.last_violation is None


def connecting(role: i.Role) -> Callable[[RequestRecord], bool]:
    return lambda r: r.attempt is not None and r.attempt.server.role is role and not r.attempt.written


@CLOSES
@pytest.mark.parametrize("role", [i.Role.READ, i.Role.WRITE])
def test_it_leaves_while_a_connection_is_made(role: i.Role, leave: Leave) -> None:
    def main(platform: Platform, node: Node) -> None:
        watched(platform, node)
        slow(platform, readers(platform) if role is i.Role.READ else writers(platform))
        client = begins(platform)
        the_one(platform, node, connecting(role))
        leave(client)
        is_over(platform, node, [] if role is i.Role.READ else ["read"])

    play(main)


@CLOSES
def test_it_leaves_while_a_place_waits_for_its_read_to_be_written(leave: Leave) -> None:
    def main(platform: Platform, node: Node) -> None:
        slow(platform, readers(platform))
        client = begins(platform)
        the_one(platform, node, lambda r: r.place is not None and connecting(i.Role.READ)(r))
        leave(client)
        is_over(platform, node, [])

    play(main)


@CLOSES
def test_it_leaves_while_the_connection_for_a_place_is_made(leave: Leave) -> None:
    """The client was looked for before the connection was made, and the place was asked after it had left."""

    def main(platform: Platform, node: Node) -> None:
        slow(platform, writers(platform))
        for host in readers(platform):
            host.script = hangs
        client = begins(platform)
        the_one(platform, node, lambda r: r.place is not None and r.attempt is not None and r.attempt.written)
        leave(client)
        is_over(platform, node, ["read"])

    play(main)


@CLOSES
def test_it_leaves_while_a_place_is_asked(leave: Leave) -> None:
    """What was asked before it left may be held: it is let go of."""

    def main(platform: Platform, node: Node) -> None:
        slow(platform, writers(platform))
        for host in readers(platform):
            host.script = hangs
        client = begins(platform)
        while "place" not in platform.kinds(ID):
            platform.sleep(1_000)
        leave(client)
        is_over(platform, node, ["read", "place"])
        assert platform.kinds(ID)[-1] == "free"

    play(main)


@CLOSES
def test_it_leaves_while_a_new_read_waits_for_a_release(leave: Leave) -> None:
    def main(platform: Platform, node: Node) -> None:
        watched(platform, node)

        def breaks(host: Host, to: Stream, number: bytes) -> bool:
            platform.states.add(number)
            to.abort()
            return False

        def slowly(host: Host) -> Callable[[Stream, http1.RequestHead], bool]:
            def answer(to: Stream, head: http1.RequestHead) -> bool:
                if head.method == b"DELETE":
                    host.sleep(45_000)
                return Host.answer(host, to, head)

            return answer

        for host in platform.hosts.values():
            host.answer = slowly(host)  # type: ignore[method-assign,assignment]
        for host in readers(platform):
            host.script = breaks
        client = begins(platform)
        known = the_one(platform, node, lambda r: r.attempt_count == 2)
        platform.sleep(10_000)
        assert node.executor.releases.running and connecting(i.Role.READ)(known)
        leave(client)
        is_over(platform, node, ["read"] + ["place"] * platform.kinds(ID).count("place"))

    play(main)


@CLOSES
@pytest.mark.parametrize("role", [i.Role.READ, i.Role.WRITE])
def test_it_leaves_while_the_policy_waits_for_room(role: i.Role, leave: Leave) -> None:
    def full(host: Host, to: Stream, number: bytes) -> bool:
        to.write(plain(503, b"", (b"srv-declined", b"1")))
        return True

    def main(platform: Platform, node: Node) -> None:
        watched(platform, node)
        for host in readers(platform) if role is i.Role.READ else writers(platform):
            host.script, host.place_status = full, 409
        client = begins(platform)
        the_one(platform, node, lambda r: r.attempt is None and r.attempt_count > (role is i.Role.WRITE))
        leave(client)
        platform.sleep(5_000)
        is_over(platform, node, platform.kinds(ID))

    play(main)


@CLOSES
def test_it_leaves_in_the_moment_in_which_a_connection_comes_up(leave: Leave) -> None:
    """Both orders, and both within one turn of the loop: the cancelled task had been woken, and wrote at once."""

    def main(platform: Platform, node: Node) -> None:
        ids = watched(platform, node)
        for near, far in (("clients", "node"), ("node", "clients")):
            platform.sim.network.path(near, far).latency_us = (1_000, 1_000)
        slow(platform, readers(platform))
        left = 0
        for at in range(60):
            node.http.close_all()
            number = b"id%d" % at
            client = begins(platform, number)
            platform.sim.scheduler.sleep_until(platform.sim.now_us() + 2 * HOP_US - 5_000 + at * 200)
            leave(client)
            platform.sleep(RELEASE_US + 500_000)
            assert number not in platform.states
            left += number not in ids
        assert 5 < left < 55  # some came up first, some were left first
        assert not node.core.busy and node.core.rule_checker.last_violation is None

    play(main)


@CLOSES
@pytest.mark.parametrize("role", [i.Role.READ, i.Role.WRITE])
def test_it_leaves_in_the_turn_in_which_a_connection_is_there(role: i.Role, leave: Leave) -> None:
    """The task that was to write had been woken: it dropped the release that was owed by then, and kept the state."""

    def main(platform: Platform, node: Node) -> None:
        watched(platform, node)
        made = node.world.connect

        def connect(host: str, port: int, deadline_us: int) -> Stream:
            stream = made(host, port, deadline_us)
            for known in list(node.core.lifecycle.requests.values()):
                if (
                    known.attempt is not None
                    and known.attempt.server.host == host
                    and known.attempt.server.role is role
                ):
                    node.executor.running[known.request.request].exchange.client_disconnected()
            return stream

        node.world.connect = connect  # type: ignore[method-assign]

        def read_then_close(host: Host, to: Stream, number: bytes) -> bool:
            host.sleep(20_000)
            node.http.close_all()  # also the one that asked for a place: a new one is to be made
            return read(host, to, number)

        for host in readers(platform):
            host.script = read_then_close
        client = begins(platform)
        platform.sleep(100_000)
        leave(client)
        is_over(
            platform,
            node,
            [what for what in platform.kinds(ID) if what == "place" or (what == "read" and role is i.Role.WRITE)],
        )

    play(main)


@CLOSES
def test_an_attempt_that_is_half_written_when_it_leaves_never_comes_whole(leave: Leave) -> None:
    def main(platform: Platform, node: Node) -> None:
        ids = watched(platform, node)
        for host in readers(platform):
            for near, far in (("node", host.name), (host.name, "node")):
                platform.sim.network.path(near, far).bytes_per_s = 1_000_000
        client = begins(platform, body=200_000)
        the_one(platform, node, connecting(i.Role.READ))
        platform.sleep(30_000)
        leave(client)
        is_over(platform, node, [])
        assert not ids

    play(main)


@CLOSES
def test_what_is_read_as_it_leaves_is_let_go_of_in_time(leave: Leave) -> None:
    """The read ends as its client leaves: both orders, and both within one turn."""

    def main(platform: Platform, node: Node) -> None:
        for near in platform.sim.programs:
            for far in platform.sim.programs:
                platform.sim.network.path(near, far).latency_us = (1_000, 1_000)
        for host in readers(platform):
            host.script = read
        platform.ask(b"warm")
        for at in range(40):
            number = b"id%d" % at
            client = begins(platform, number)
            platform.sim.scheduler.sleep_until(platform.sim.now_us() + 18_000 + at * 200)
            leave(client)
            platform.sleep(RELEASE_US)
            assert number not in platform.states, at
        platform.sleep(1_000_000)
        assert not node.core.busy and node.core.rule_checker.last_violation is None

    play(main)


# --- on sockets


def play_on_sockets(main: Callable[[RealWorld, Callable[[], Any], list[bytes]], None]) -> None:
    """`main` gets what connects to a dispatcher with one reader and one writer, and the ids that the reader saw."""
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

        free = world.listen("127.0.0.1", 0)
        free.close()
        told = {**TOLD, "ROUTER_LISTEN": f"127.0.0.1:{free.port}", "ROUTER_DISCOVERY": serve(lists)}
        node = Node(world, parse_config(told, json.dumps({"limits": {"sockets": 256}, "settings": SETTINGS}).encode()))
        node.start()
        main(world, lambda: world.connect("127.0.0.1", free.port, world.now_us() + 1_000_000), seen)

    world.run("main", run)


@CLOSES
@pytest.mark.parametrize("ahead", [b"", b"GET /up HTTP/1.1\r\nhost: x\r\n\r\n"])
def test_a_close_that_came_with_the_request_is_found_before_a_kept_connection_is_written_to(
    leave: Leave, ahead: bytes
) -> None:
    """The close lay in the kernel, behind a look at the socket that the watching task had still to wait for."""

    def main(world: RealWorld, connect: Callable[[], Any], seen: list[bytes]) -> None:
        first = connect()
        first.write(request(b"warm"))
        warm = answer(world, first, world.now_us())  # type: ignore[arg-type]
        assert warm.whole and seen == [b"warm"]
        for at in range(10):
            client = connect()
            client.write(request(b"id%d" % at) + ahead)
            leave(client)
            world.sleep_until(world.now_us() + 20_000)
        assert seen == [b"warm"]
        last = connect()
        last.write(request(b"pipelines") + ahead)  # one that is there is served
        assert answer(world, last, world.now_us()).whole  # type: ignore[arg-type]

    play_on_sockets(main)

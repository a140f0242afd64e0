"""Closes that cross with client bytes: no accepted request or response is lost; pipelined data is bounded."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable

import pytest

from tests.test_serving import GET, Handler, read_to_end, run_server
from yardspindle.api.exchange import Exchange
from yardspindle.api.serving import MAX_ACCEPTS_PER_TURN, Server
from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.world import Stream

Connect = Callable[[], Stream]
POST = b"POST /%s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"


def idle_clients(world: RealWorld, server: Server, connect: Connect, count: int = 1) -> list[Stream]:
    """Clients whose connections are idle between requests."""
    clients = []
    for _ in range(count):
        clients.append(client := connect())
        client.write(GET % b"first")
        client.read()
        while len(server._idle) < len(clients):
            world.scheduler.yield_now()
    return clients


def wait_for_disconnects(world: RealWorld, server: Server) -> None:
    while server.connections:
        world.sleep_until(world.now_us() + 1_000)


# --- a close, and a request that has reached the kernel since the loop last polled


def test_a_request_that_has_come_is_served_though_its_connection_was_to_be_closed() -> None:
    def scenario(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> bytes:
        (client,) = idle_clients(world, server, connect)
        client.write(GET % b"crossed")  # no turn of the loop passes
        server.close_idle()
        return read_to_end(client)

    answer, faults = run_server(scenario)
    assert answer.endswith(b"/crossed") and b"connection: close" in answer and not faults


def test_a_request_that_comes_with_the_idle_time_out_is_served() -> None:
    def scenario(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> bytes:
        (client,) = idle_clients(world, server, connect)
        client.write(GET % b"crossed")
        due_us = world.now_us() + 60_000
        while world.now_us() < due_us:  # no turn of the loop passes: the timer is checked before the socket
            time.sleep(0.001)
        answer = client.read()
        client.close()
        return answer

    assert run_server(scenario, idle_us=50_000)[0].endswith(b"/crossed")


def test_a_request_that_comes_as_room_is_made_is_served() -> None:
    def scenario(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> tuple[bytes, bytes]:
        oldest, second = idle_clients(world, server, connect, 2)
        oldest.write(GET % b"crossed")
        assert server.close_longest_idle()
        return oldest.read(), read_to_end(second)

    crossed, second = run_server(scenario, max_connections=2)[0]
    assert crossed.endswith(b"/crossed") and second == b""


# --- after the server's FIN


def test_what_comes_after_the_fin_is_dropped_and_resets_nothing() -> None:
    def scenario(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> tuple[bytes, bool, bool]:
        (client,) = idle_clients(world, server, connect)
        server.close_idle()
        ended = client.read()
        handler.started = world.signal()
        client.write(GET % b"waits")
        client.write(GET % b"waits")
        for _ in range(10):
            world.scheduler.yield_now()
        after_fin, served = read_to_end(client), handler.started.is_set
        client.close()
        wait_for_disconnects(world, server)
        return ended, after_fin == b"", served

    assert run_server(scenario) == ((b"", True, False), [])


def test_an_early_answer_reaches_a_client_that_still_sends() -> None:
    def scenario(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> bytes:
        client = connect()
        client.write(POST % (b"none", 1_000_000) + b"x" * 300_000)
        answer = client.read()
        client.write(b"x" * 300_000)
        return answer + read_to_end(client)

    answer, faults = run_server(scenario)
    assert answer.startswith(b"HTTP/1.1 404") and answer.endswith(b"none") and not faults


def test_an_answer_that_closes_is_not_undone_by_what_was_sent_behind_its_request() -> None:
    def scenario(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> bytes:
        client = connect()
        client.write(b"GET /ok HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + b"x" * 200_000)
        return read_to_end(client)

    answer, _ = run_server(scenario)
    assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"/ok")


def test_connections_that_only_wait_for_the_clients_end_are_bounded() -> None:
    def scenario(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> tuple[int, int]:
        clients, max_open, lingering = [], 0, 0
        for _ in range(60):
            clients.append(client := connect())
            client.write(b"GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            while client.read():  # up to the server's FIN; the client stays connected
                pass
            max_open, lingering = max(max_open, server.connections), max(lingering, len(server._lingering))
        return max_open, lingering

    (max_open, lingering), faults = run_server(scenario, max_connections=16)
    assert max_open <= 16 and lingering == 2 and not faults


def test_a_burst_of_clients_is_taken_at_once_and_within_the_bound() -> None:
    """Making room took a turn of the loop per client: the clients behind waited over 0.15 s before they were read."""

    def scenario(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> tuple[int, int, int]:
        idle_clients(world, server, connect, 14)
        accepting = next(task for task in world.scheduler.tasks if task.name == "accept")
        accepting.cancel()
        world.scheduler.yield_now()
        burst = [connect() for _ in range(10)]
        for client in burst:
            client.write(GET % b"x")
        switches_before = world.scheduler.switches
        world.spawn("accept", server.serve)
        world.scheduler.yield_now()
        turns = world.scheduler.switches - switches_before
        open_now = server.connections
        return turns, open_now, sum(client.read().endswith(b"/x") for client in burst)

    (turns, open_now, answered), faults = run_server(scenario, max_connections=16)
    assert turns <= 3 and open_now <= 16 and answered == 10 and not faults


def test_a_request_that_comes_right_behind_a_stream_begun_before_the_close_is_served() -> None:
    """The head of the stream has announced that the connection stays open."""

    def scenario(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> bytes:
        client, original_handle = connect(), handler.handle

        def streams(exchange: Exchange) -> None:
            if exchange.head.target != b"/stream":
                return original_handle(exchange)
            exchange.send(b"x", exchange.start(200, []))
            server.close_idle()
            exchange.finish()
            client.write(GET % b"crossed")  # before the next turn of the loop
            return None

        setattr(handler, "handle", streams)  # noqa: B010
        client.write(GET % b"stream")
        return read_to_end(client)

    answer, faults = run_server(scenario)
    assert answer.endswith(b"/crossed") and b"connection: close" in answer and not faults


def test_of_a_burst_of_connections_the_idle_ones_make_room_not_the_one_that_asks() -> None:
    def scenario(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> bytes:
        accepting = next(task for task in world.scheduler.tasks if task.name == "accept")
        accepting.cancel()
        world.scheduler.yield_now()
        burst = [connect() for _ in range(40)]
        burst[-1].write(GET % b"asks")
        world.spawn("accept", server.serve)
        answer = burst[-1].read()
        for client in burst:
            client.close()
        return answer

    answer, faults = run_server(scenario, max_connections=16)
    assert answer.endswith(b"/asks") and not faults


# --- the close of the listener


def test_who_has_connected_is_served_though_the_listener_closes() -> None:
    def scenario(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> list[bytes]:
        accepting = next(task for task in world.scheduler.tasks if task.name == "accept")
        accepting.cancel()
        world.scheduler.yield_now()
        clients = [connect() for _ in range(5)]
        for client in clients[:4]:
            client.write(GET % b"backlog")
        drained = world.spawn("drain", server.drain, world.now_us() + 5_000_000)
        while not server.listener.closed:  # type: ignore[attr-defined]
            world.scheduler.yield_now()
        clients[4].write(GET % b"backlog")  # its request was still in transit
        answers = [read_to_end(client) for client in clients]
        for client in clients:
            client.close()
        drained.join()
        return answers

    answers, faults = run_server(scenario)
    assert len(answers) == 5 and all(answer.endswith(b"/backlog") for answer in answers) and not faults


@pytest.mark.parametrize("written", [0, 30])
def test_a_request_whose_last_byte_comes_with_the_end_of_the_drain_is_answered(written: int) -> None:
    data = POST % (b"late", 9) + b"x" * 9

    def scenario(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> bytes | None:
        client = connect()
        while not server.connections:
            world.scheduler.yield_now()
        client.write(data[:written])
        until_us = world.now_us() + waits_us.pop(0)
        drained = world.spawn("drain", server.drain, until_us)
        while not server.listener.closed:  # type: ignore[attr-defined]
            world.scheduler.yield_now()
        client.write(data[written:])
        if world.now_us() >= until_us:
            return None  # the machine stalled meanwhile: the last byte was sent after the end
        while world.now_us() < until_us + 5_000:  # no turn of the loop passes: the timer is checked before the socket
            time.sleep(0.001)
        drained.join()
        return read_to_end(client)

    waits_us, answer = [100_000, 1_000_000, 5_000_000], None
    while waits_us and answer is None:
        answer, faults = run_server(scenario)
    assert answer is not None and answer.endswith(b"/late") and not faults


def test_the_backlog_of_a_drain_takes_no_more_than_there_is_room_for() -> None:
    def scenario(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> tuple[int, list[bytes]]:
        accepting = next(task for task in world.scheduler.tasks if task.name == "accept")
        accepting.cancel()
        world.scheduler.yield_now()
        clients = [connect() for _ in range(40)]
        for client in clients:
            client.write(GET % b"backlog")
        drained = world.spawn("drain", server.drain, world.now_us() + 5_000_000)
        max_open = 0
        while not server.listener.closed:  # type: ignore[attr-defined]
            max_open = max(max_open, server.connections)
            world.scheduler.yield_now()
        max_open, answers = max(max_open, server.connections), [read_to_end(client) for client in clients]
        for client in clients:
            client.close()
        drained.join()
        return max_open, answers

    (max_open, answers), faults = run_server(scenario, max_connections=16)
    assert max_open <= 16 and not faults
    assert all(answer.endswith((b"/backlog", b"<reset>")) for answer in answers)
    assert sum(answer.endswith(b"/backlog") for answer in answers) >= 14  # the number there is room for at once


def test_a_burst_of_connections_leaves_the_others_their_turns() -> None:
    """Hundreds of idle clients connect at once: what open requests hold must still be released in time."""

    def scenario(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> int:
        clients = []
        for _ in range(200):  # without a turn of the loop
            clients.append(socket.create_connection(("127.0.0.1", server.listener.port)))
        max_accepted = seen = 0
        while seen < len(clients):
            world.scheduler.yield_now()
            max_accepted, seen = max(max_accepted, server.connections - seen), server.connections
        for client in clients:
            client.close()
        return max_accepted

    max_accepted, faults = run_server(scenario)
    assert max_accepted <= MAX_ACCEPTS_PER_TURN and not faults


# --- requests sent ahead of their turn


def test_a_client_that_floods_and_leaves_is_noticed() -> None:
    def scenario(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> int:
        client = connect()
        client.write(GET % b"waits" + (POST % (b"x", 100_000) + b"x" * 100_000) * 30)
        client.close()
        handler.proceed.wait()
        wait_for_disconnects(world, server)
        return server._budget.body_bytes

    assert run_server(scenario) == (0, [])

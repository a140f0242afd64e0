"""Closes that cross with bytes of the client: nothing taken is lost, no answer is undone by a reset, floods end."""

from __future__ import annotations

import re
import socket
import time
import tracemalloc
from collections.abc import Callable

import pytest

from tests.test_serving import GET, Handler, rest, serve
from yardspindle.api.exchange import Exchange
from yardspindle.api.request_queue import MAX_QUEUED_REQUESTS, MAX_TOTAL_QUEUED_HEAD_BYTES, QueueBudget, RequestQueue
from yardspindle.api.serving import MAX_ACCEPTS_PER_TURN, Server
from yardspindle.protocol import http1
from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.world import Stream

Connect = Callable[[], Stream]
POST = b"POST /%s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"


def rested(world: RealWorld, server: Server, connect: Connect, count: int = 1) -> list[Stream]:
    """Clients whose connections rest between requests."""
    clients = []
    for _ in range(count):
        clients.append(client := connect())
        client.write(GET % b"first")
        client.read()
        while len(server._idle) < len(clients):
            world.scheduler.yield_now()
    return clients


def until_gone(world: RealWorld, server: Server) -> None:
    while server.connections:
        world.sleep_until(world.now_us() + 1_000)


# --- a close, and a request that has come to the kernel since the loop last looked


def test_a_request_that_has_come_is_served_though_its_connection_was_to_be_closed() -> None:
    def use(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> bytes:
        (client,) = rested(world, server, connect)
        client.write(GET % b"crossed")  # no turn of the loop passes
        server.close_idle()
        return rest(client)

    answer, faults = serve(use)
    assert answer.endswith(b"/crossed") and b"connection: close" in answer and not faults


def test_a_request_that_comes_with_the_idle_time_out_is_served() -> None:
    def use(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> bytes:
        (client,) = rested(world, server, connect)
        client.write(GET % b"crossed")
        due_us = world.now_us() + 60_000
        while world.now_us() < due_us:  # no turn of the loop passes: the timer is looked at before the socket
            time.sleep(0.001)
        got = client.read()
        client.close()
        return got

    assert serve(use, idle_us=50_000)[0].endswith(b"/crossed")


def test_a_request_that_comes_as_room_is_made_is_served() -> None:
    def use(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> tuple[bytes, bytes]:
        oldest, second = rested(world, server, connect, 2)
        oldest.write(GET % b"crossed")
        assert server._make_room()
        return oldest.read(), rest(second)

    crossed, second = serve(use, max_connections=2)[0]
    assert crossed.endswith(b"/crossed") and second == b""


# --- after our FIN


def test_what_comes_after_the_fin_is_dropped_and_resets_nothing() -> None:
    def use(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> tuple[bytes, bool, bool]:
        (client,) = rested(world, server, connect)
        server.close_idle()
        ended = client.read()
        handler.begun = world.signal()
        client.write(GET % b"waits")
        client.write(GET % b"waits")
        for _ in range(10):
            world.scheduler.yield_now()
        quiet, served = rest(client), handler.begun.is_set
        client.close()
        until_gone(world, server)
        return ended, quiet == b"", served

    assert serve(use) == ((b"", True, False), [])


def test_an_early_answer_reaches_a_client_that_still_sends() -> None:
    def use(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> bytes:
        client = connect()
        client.write(POST % (b"none", 1_000_000) + b"x" * 300_000)
        answer = client.read()
        client.write(b"x" * 300_000)
        return answer + rest(client)

    answer, faults = serve(use)
    assert answer.startswith(b"HTTP/1.1 404") and answer.endswith(b"none") and not faults


def test_an_answer_that_closes_is_not_undone_by_what_was_sent_behind_its_request() -> None:
    def use(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> bytes:
        client = connect()
        client.write(b"GET /ok HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + b"x" * 200_000)
        return rest(client)

    answer, _ = serve(use)
    assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"/ok")


def test_connections_that_only_wait_for_the_clients_end_are_bounded() -> None:
    def use(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> tuple[int, int]:
        clients, most, lingering = [], 0, 0
        for _ in range(60):
            clients.append(client := connect())
            client.write(b"GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            while client.read():  # to our FIN; it stays
                pass
            most, lingering = max(most, server.connections), max(lingering, len(server._lingering))
        return most, lingering

    (most, lingering), faults = serve(use, max_connections=16)
    assert most <= 16 and lingering == 2 and not faults


def test_a_burst_of_clients_is_taken_at_once_and_within_the_bound() -> None:
    """Room was made by a turn of the loop for each client: those behind it waited over 0.15 s before they were read."""

    def use(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> tuple[int, int, int]:
        rested(world, server, connect, 14)
        accepting = next(task for task in world.scheduler.tasks if task.name == "accept")
        accepting.cancel()
        world.scheduler.yield_now()
        burst = [connect() for _ in range(10)]
        for client in burst:
            client.write(GET % b"x")
        before = world.scheduler.switches
        world.spawn("accept", server.serve)
        world.scheduler.yield_now()
        turns = world.scheduler.switches - before
        open_now = server.connections
        return turns, open_now, sum(client.read().endswith(b"/x") for client in burst)

    (turns, open_now, answered), faults = serve(use, max_connections=16)
    assert turns <= 3 and open_now <= 16 and answered == 10 and not faults


def test_a_request_that_comes_right_behind_a_stream_begun_before_the_close_is_served() -> None:
    """The stream's head has promised that the connection stays open."""

    def use(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> bytes:
        client, usual = connect(), handler.handle

        def streams(exchange: Exchange) -> None:
            if exchange.head.target != b"/stream":
                return usual(exchange)
            exchange.send(b"x", exchange.start(200, []))
            server.close_idle()
            exchange.finish()
            client.write(GET % b"crossed")  # before the next turn of the loop
            return None

        setattr(handler, "handle", streams)  # noqa: B010
        client.write(GET % b"stream")
        return rest(client)

    answer, faults = serve(use)
    assert answer.endswith(b"/crossed") and b"connection: close" in answer and not faults


def test_of_a_burst_of_connections_the_idle_ones_make_room_not_the_one_that_asks() -> None:
    def use(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> bytes:
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

    answer, faults = serve(use, max_connections=16)
    assert answer.endswith(b"/asks") and not faults


# --- the listener's end


def test_who_has_connected_is_served_though_the_listener_closes() -> None:
    def use(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> list[bytes]:
        accepting = next(task for task in world.scheduler.tasks if task.name == "accept")
        accepting.cancel()
        world.scheduler.yield_now()
        clients = [connect() for _ in range(5)]
        for client in clients[:4]:
            client.write(GET % b"backlog")
        drained = world.spawn("drain", server.drain, world.now_us() + 5_000_000)
        while not server.listener.closed:  # type: ignore[attr-defined]
            world.scheduler.yield_now()
        clients[4].write(GET % b"backlog")  # its request was still on the way
        answers = [rest(client) for client in clients]
        for client in clients:
            client.close()
        drained.join()
        return answers

    answers, faults = serve(use)
    assert len(answers) == 5 and all(answer.endswith(b"/backlog") for answer in answers) and not faults


@pytest.mark.parametrize("written", [0, 30])
def test_a_request_whose_last_byte_comes_with_the_end_of_the_drain_is_answered(written: int) -> None:
    whole = POST % (b"late", 9) + b"x" * 9

    def use(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> bytes | None:
        client = connect()
        while not server.connections:
            world.scheduler.yield_now()
        client.write(whole[:written])
        until_us = world.now_us() + waits_us.pop(0)
        drained = world.spawn("drain", server.drain, until_us)
        while not server.listener.closed:  # type: ignore[attr-defined]
            world.scheduler.yield_now()
        client.write(whole[written:])
        if world.now_us() >= until_us:
            return None  # the machine stood still meanwhile: the last byte came after the end
        while world.now_us() < until_us + 5_000:  # no turn of the loop passes: the timer is looked at before the socket
            time.sleep(0.001)
        drained.join()
        return rest(client)

    waits_us, answer = [100_000, 1_000_000, 5_000_000], None
    while waits_us and answer is None:
        answer, faults = serve(use)
    assert answer is not None and answer.endswith(b"/late") and not faults


def test_the_backlog_of_a_drain_takes_no_more_than_there_is_room_for() -> None:
    def use(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> tuple[int, list[bytes]]:
        accepting = next(task for task in world.scheduler.tasks if task.name == "accept")
        accepting.cancel()
        world.scheduler.yield_now()
        clients = [connect() for _ in range(40)]
        for client in clients:
            client.write(GET % b"backlog")
        drained = world.spawn("drain", server.drain, world.now_us() + 5_000_000)
        most = 0
        while not server.listener.closed:  # type: ignore[attr-defined]
            most = max(most, server.connections)
            world.scheduler.yield_now()
        most, answers = max(most, server.connections), [rest(client) for client in clients]
        for client in clients:
            client.close()
        drained.join()
        return most, answers

    (most, answers), faults = serve(use, max_connections=16)
    assert most <= 16 and not faults
    assert all(answer.endswith((b"/backlog", b"<reset>")) for answer in answers)
    assert sum(answer.endswith(b"/backlog") for answer in answers) >= 14  # that many there is room for at once


def test_a_burst_of_connections_leaves_the_others_their_turns() -> None:
    """Hundreds of idle clients come at once: what is held for requests under way must be let go of in time."""

    def use(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> int:
        clients = []
        for _ in range(200):  # without a turn of the loop
            clients.append(socket.create_connection(("127.0.0.1", server.listener.port)))
        most = seen = 0
        while seen < len(clients):
            world.scheduler.yield_now()
            most, seen = max(most, server.connections - seen), server.connections
        for client in clients:
            client.close()
        return most

    most, faults = serve(use)
    assert most <= MAX_ACCEPTS_PER_TURN and not faults


# --- what is sent ahead of its turn


def test_a_client_that_floods_and_leaves_is_noticed() -> None:
    def use(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> int:
        client = connect()
        client.write(GET % b"waits" + (POST % (b"x", 100_000) + b"x" * 100_000) * 30)
        client.close()
        handler.go.wait()
        until_gone(world, server)
        return server._budget.body_bytes

    assert serve(use) == (0, [])


def test_what_waits_is_bounded_and_nothing_that_was_read_is_forgotten() -> None:
    budget = QueueBudget(max_queued_body_bytes=700_000)
    big = POST % (b"big", 200_000) + b"x" * 200_000
    one, other = (
        RequestQueue(http1.Limits(), budget, answering=True),
        RequestQueue(http1.Limits(), budget, answering=True),
    )
    for inbox in (one, other):
        for at in range(0, len(big) * 4, 65_536):
            inbox.feed(at, (big * 4)[at : at + 65_536])
        assert len(inbox.queued) == 4
    assert [w.body_kept for w in one.queued] == [True, True, False, False]  # its own bound
    assert [w.body_kept for w in other.queued] == [True, False, False, False]  # that of all
    assert budget.body_bytes == 600_000 and [w.received_us for w in one.queued] == sorted(
        w.received_us for w in one.queued
    )
    first = one.pop()
    assert first is not None and first.body == b"x" * 200_000 and budget.body_bytes == 400_000
    one.clear()
    other.clear()
    assert budget.body_bytes == 0


def test_bodies_that_come_together_are_bounded_and_each_is_answered_at_its_end() -> None:
    """Of first requests, too: many clients that begin one each must not fill the memory."""

    def use(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> bytes:
        client = connect()
        client.write((POST % (b"big", 200_000) + b"x" * 200_000) + GET % b"last")
        got = b""
        while not got.endswith(b"/last"):
            got += client.read()
        client.close()
        return got

    got, faults = serve(use, max_body_bytes=100_000)
    assert re.findall(rb"HTTP/1.1 (\d+)", got) == [b"503", b"200"] and not faults
    budget = QueueBudget(max_body_bytes=500_000)
    inboxes = [RequestQueue(http1.Limits(), budget) for _ in range(4)]
    for inbox in inboxes:
        inbox.feed(0, POST % (b"big", 200_000) + b"x" * 199_999)
    assert budget.body_bytes == 2 * 199_999
    for inbox in inboxes:
        inbox.feed(1, b"x")
    assert [inbox.queued[0].body_kept for inbox in inboxes] == [True, True, False, False]


HEADS = b"GET / HTTP/1.1\r\nHost: x\r\n" + b"".join(b"h%d: %s\r\n" % (at, b"v" * 200) for at in range(60)) + b"\r\n"
CHUNKS = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + b"2\r\nxy\r\n" * 20_000


@pytest.mark.parametrize(
    "sent,count,most", [(HEADS * MAX_QUEUED_REQUESTS, 20, MAX_TOTAL_QUEUED_HEAD_BYTES * 2), (CHUNKS, 1, 100_000)]
)
def test_what_waits_takes_no_more_memory_than_its_bounds_say(sent: bytes, count: int, most: int) -> None:
    budget = QueueBudget()
    inboxes = [RequestQueue(http1.Limits(), budget, answering=True) for _ in range(count)]
    tracemalloc.start()
    for inbox in inboxes:
        for at in range(0, len(sent), 65_536):
            inbox.feed(at, sent[at : at + 65_536])
    taken = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert taken < most
    while inboxes[0].queued:
        inboxes[0].pop()
    for inbox in inboxes:
        inbox.clear()
    assert budget.body_bytes == budget.head_bytes == 0


def test_a_body_that_was_not_kept_is_refused_in_its_turn() -> None:
    def use(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> bytes:
        server._budget.max_queued_body_bytes = 0
        client = connect()
        client.write(GET % b"waits" + POST % (b"big", 9) + b"x" * 9 + GET % b"last")
        handler.begun.wait()
        handler.go.set()
        got = b""
        while not got.endswith(b"/last"):
            got += client.read()
        client.close()
        return got

    got, faults = serve(use)
    assert re.findall(rb"HTTP/1.1 (\d+)", got) == [b"200", b"503", b"200"] and not faults


def test_more_requests_than_may_wait_are_refused_as_one() -> None:
    def use(world: RealWorld, server: Server, handler: Handler, connect: Connect) -> bytes:
        client = connect()
        client.write(GET % b"waits" + GET % b"x" * (MAX_QUEUED_REQUESTS + 50))
        handler.begun.wait()
        handler.go.set()
        return rest(client)

    got, faults = serve(use)
    assert got.count(b"HTTP/1.1 200") == MAX_QUEUED_REQUESTS and got.count(b"HTTP/1.1 429") == 1 and not faults

"""Hosts whose responses never end: each is abandoned in time, and the buffers kept for them stay bounded."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.platform_standin import EVENTS, HEAD, MAX_REPEATS_US, Host, Platform, request, stream, write
from tests.test_node import readers, run_node, writers
from tests.test_node_handover import assert_idle
from yardspindle.core.request.request_releases import MAX_LATE_CALLS
from yardspindle.engine import http_client
from yardspindle.node.app import Node
from yardspindle.node.host_client import MAX_BODY_BYTES, RESPONSE_LIMITS
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import Task
from yardspindle.runtime.world import Stream

FULL_BODY = b"".join(EVENTS)
CHUNKED = b"content-type: text/plain\r\ntransfer-encoding: chunked\r\n\r\n"
LARGE = b"x" * 4_096
Source = tuple[bytes, bytes]  # the first bytes, and those repeated after them

ENDLESS_HEADS: dict[str, Source] = {
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n"),
    "one header line": (b"HTTP/1.1 200 OK\r\nx: ", LARGE),
    "a status line": (b"HTTP/1.1 200 ", LARGE),
    "empty lines": (b"", b"\r\n" * 50),
    "carriage returns": (b"", b"\r"),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "hints": (b"", b"HTTP/1.1 103 x\r\na: b\r\n\r\n"),
}
ENDLESS_BODIES: dict[str, Source] = {
    f"{status} {kind}": (b"HTTP/1.1 %d x\r\n" % status + head, repeated)
    for status in (202, 500, 503)
    for kind, head, repeated in (
        ("chunks", CHUNKED, http1.write_chunk(b"x" * 100)),
        ("small chunks", CHUNKED, b"1\r\nx\r\n"),
        ("trailers", CHUNKED + b"0\r\n", b"x: y\r\n"),
        ("a chunk's extension", CHUNKED + b"5;", b"x" * 100),
        ("until it closes", b"\r\n", LARGE),
        ("a length", b"content-length: 262144\r\n\r\n", b"x"),
        ("too long a length", b"content-length: 262145\r\n\r\n", LARGE),
        ("nothing", b"content-length: 3\r\n\r\n", b""),
    )
    if status == 202 or kind in ("chunks", "nothing")
}
ENDLESS_OPENINGS: dict[str, Source] = {
    "one event": (HEAD, http1.write_chunk(b"data: " + b"x" * 1_000).replace(b"data: x", b"xxxxxxx")),
    "an event in small pieces": (HEAD + http1.write_chunk(b"data: "), http1.write_chunk(b"x")),
    "a size line": (HEAD + b"0", b"0"),
    "a chunk": (HEAD + b"3ffff\r\ndata: ", LARGE),
    "nothing": (HEAD, b""),
}


def endless(source: Source, pause_us: int, on_sent: Callable[[int], None]) -> Callable[[Host, Stream, bytes], bool]:
    def script(host: Host, to: Stream, number: bytes) -> bool:
        to.write(source[0])
        repeated, sent_bytes = source[1], 0
        if not pause_us and repeated:
            repeated *= 1 + 4_096 // len(repeated)
        while repeated:
            to.write(repeated)
            sent_bytes += len(repeated)
            on_sent(sent_bytes)
            host.sleep(pause_us or 100)
        host.sleep(60_000_000)
        return False

    return script


@pytest.mark.parametrize("pause_us", [0, 20_000])
@pytest.mark.parametrize(
    ("flavor", "source"),
    [
        *(
            pytest.param(flavor, source, id=f"{flavor}: {name}")
            for flavor in ("reads", "writes")
            for name, source in {**ENDLESS_HEADS, **ENDLESS_BODIES}.items()
        ),
        *(pytest.param("writes", source, id=f"opening: {name}") for name, source in ENDLESS_OPENINGS.items()),
    ],
)
def test_an_answer_that_does_not_end_is_left_in_time(flavor: str, source: Source, pause_us: int) -> None:
    """A retryable request is served by another host well before its deadline; the endless connection is reset."""

    def main(platform: Platform, node: Node) -> None:
        calls: list[int] = []
        max_sent_bytes: list[int] = [0]

        def on_sent(total: int) -> None:
            max_sent_bytes[0] = max(max_sent_bytes[0], total)

        bad = endless(source, pause_us, on_sent)

        def bad_once(host: Host, to: Stream, number: bytes) -> bool:
            calls.append(1)
            if len(calls) > 1:
                return write(host, to, number) if flavor == "writes" else read_normally(host, to, number)
            return bad(host, to, number)

        def read_normally(host: Host, to: Stream, number: bytes) -> bool:
            host.platform.states.add(number)
            to.write(http1.write_response(202, [], b"{}"))
            return True

        for host in platform.hosts.values():
            if host.flavor == flavor:
                host.script = bad_once
        answer = platform.ask(b"id", deadline_ms=5_000)
        assert (answer.status, answer.body) == (200, FULL_BODY) and len(calls) == 2
        assert answer.took_us < 1_200_000
        # A one-byte chunk takes six bytes; plus one receive window.
        assert max_sent_bytes[0] <= 6 * MAX_BODY_BYTES + 131_072
        assert_idle(platform, node)
        assert not [task for task in platform.sim.scheduler.tasks if task.name in ("attempt", "free", "place")]

    run_node(main)


def test_as_many_interim_answers_as_are_bounded_are_passed_over() -> None:
    def send_hints(host: Host, to: Stream, number: bytes) -> bool:
        host.platform.states.discard(number)
        to.write(b"HTTP/1.1 103 x\r\n\r\n" * http_client.MAX_INTERIM)
        return stream(host, to)

    def main(platform: Platform, node: Node) -> None:
        for host in writers(platform):
            host.script = send_hints
        assert platform.ask(b"order", b"order").body == FULL_BODY

    run_node(main)


@pytest.mark.parametrize(
    "source",
    [
        ENDLESS_HEADS["header lines"],
        ENDLESS_HEADS["interim answers"],
        ENDLESS_BODIES["202 chunks"],
        ENDLESS_BODIES["500 nothing"],
    ],
)
def test_places_and_releases_that_are_answered_without_end_hold_nothing_up(source: Source) -> None:
    def main(platform: Platform, node: Node) -> None:
        def endless_answer(host: Host) -> Callable[[Stream, http1.RequestHead], bool]:
            def answer(to: Stream, head: http1.RequestHead) -> bool:
                if not head.target.startswith(b"/bootstrap"):
                    return Host.answer(host, to, head)
                platform.record_call("free" if head.method == b"DELETE" else "place", host, b"?")
                return endless(source, 20_000, lambda sent_bytes: None)(host, to, b"")

            return answer

        def break_connection(host: Host, to: Stream, number: bytes) -> bool:
            host.sleep(20_000)
            to.abort()
            return False

        for host in platform.hosts.values():
            host.answer = endless_answer(host)  # type: ignore[method-assign,assignment]
        tasks: list[Task] = []
        max_running = 0
        for at in range(6):
            for host in readers(platform):
                host.script = break_connection if at < 3 else None
            tasks.append(platform.clients.spawn("asks", platform.ask, b"id%d" % at, b"ask", 500))
            platform.sleep(50_000)
            max_running = max(max_running, sum(map(len, node.executor.releases.running.values())))
        for task in tasks:
            task.join()
        assert max_running <= 3 * 6 + MAX_LATE_CALLS
        platform.sleep(1_500_000)
        # Unconfirmed releases are repeated, to a few hosts at a time.
        running = sum(map(len, node.executor.releases.running.values()))
        assert running <= 3 * len(node.core.request_releases.pending) + MAX_LATE_CALLS <= 18 + MAX_LATE_CALLS
        platform.sleep(30_000_000)  # they stay owed, each with a round of three calls in 1.6 s or more
        assert node.core.request_releases.pending
        before = len(platform.calls)
        platform.sleep(16_000_000)
        assert len(platform.calls) - before <= 3 * 10 * len(node.core.request_releases.pending)
        for host in platform.hosts.values():
            del host.answer
        platform.ask(b"after")
        platform.sleep(MAX_REPEATS_US)
        assert not node.core.needs_tick and not node.executor.request_ids and not node.executor.releases.running

    run_node(main)


def test_a_body_is_bounded_by_the_platforms_own() -> None:
    assert RESPONSE_LIMITS.body == MAX_BODY_BYTES == 256 * 1_024


def test_a_stream_without_end_holds_nothing_but_what_has_not_gone_out() -> None:
    """The stream continues for as long as its client reads; the buffered part does not grow."""

    def main(platform: Platform, node: Node) -> None:
        def stream_forever(host: Host, to: Stream, number: bytes) -> bool:
            host.platform.states.discard(number)
            to.write(HEAD)
            while True:
                to.write(http1.write_chunk(EVENTS[0]))
                host.sleep(5_000)

        for host in writers(platform):
            host.script = stream_forever
        client = platform.connect()
        client.write(request(b"id"))
        received_bytes = 0
        end_us = platform.sim.now_us() + 5_000_000
        while platform.sim.now_us() < end_us:
            received_bytes += len(client.read())
        (running,) = node.executor.running.values()
        assert received_bytes > 20_000 and running.exchange.body == b"" and running.stream is not None
        assert len(running.stream._chunks.remainder) + len(running.stream._unparsed) < 1_000
        client.close()
        assert_idle(platform, node)

    run_node(main)

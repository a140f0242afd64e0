"""Two events at the same time: in either order, and both in one turn of the event loop."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from tests.platform_standin import (
    EVENTS,
    HEAD,
    MAX_REPEATS_US,
    SETTINGS,
    Answer,
    Host,
    Platform,
    plain,
    read,
    stream,
    write,
)
from tests.test_node import run_node, writers
from yardspindle.node.app import Node
from yardspindle.protocol import http1
from yardspindle.runtime.world import Stream

RELEASE_US = SETTINGS["family-info"]["let-go-by-us"]
FULL_BODY = b"".join(EVENTS)
UNSOLICITED_STREAM = HEAD + http1.write_chunk(EVENTS[0].replace(b"0", b"strange")) + http1.LAST_CHUNK


def set_fixed_latency(platform: Platform, hop_us: int = 1_000) -> None:
    """Set a fixed latency on every path, so that tests can aim at a point in time."""
    for source in platform.sim.programs:
        for target in platform.sim.programs:
            platform.sim.network.path(source, target).latency_us = (hop_us, hop_us)


def assert_idle(platform: Platform, node: Node) -> None:
    """Check that nothing is left of any request and that no rule was violated."""
    platform.sleep(RELEASE_US + 3_000_000)
    assert not platform.states and not node.core.busy
    platform.sleep(MAX_REPEATS_US)  # until then, calls that may lie unread at an unresponsive host are tracked
    assert not platform.states and not node.core.needs_tick and not node.executor.request_ids
    assert not node.executor.running and not node.executor.releases.running
    assert node.core.rule_checker.last_violation is None


# --- a second response


def named_events(number: bytes) -> list[bytes]:
    """The events of a stream, the first of which names its request."""
    return [EVENTS[0].replace(b'"0"', b'"%s"' % number), *EVENTS[1:]]


@pytest.mark.parametrize("after_us", [0, 1_000, 3_000, 8_000, 12_000, 17_000])
@pytest.mark.parametrize("flavor", ["reads", "writes"])
def test_a_second_answer_is_never_taken_for_the_next_requests(flavor: str, after_us: int) -> None:
    """A second response on a pooled connection, after the next request was written to it, went to that client."""

    def reads(host: Host, to: Stream, number: bytes) -> bool:
        host.sleep(30_000)
        platform = host.platform
        platform.states.add(number)
        to.write(plain(202, b'{"cached_tokens":7}'))
        if flavor == "reads":
            host.sleep(after_us)
            to.write(plain(202, b'{"cached_tokens":7}'))
        return True

    def writes(host: Host, to: Stream, number: bytes) -> bool:
        if number not in host.platform.states:
            to.write(plain(410, b"", (b"srv-declined", b"1")))
            return True
        host.platform.states.discard(number)
        host.sleep(30_000)
        data = HEAD + b"".join(http1.write_chunk(event) for event in named_events(number)) + http1.LAST_CHUNK
        to.write(data)
        if flavor == "writes":
            host.sleep(after_us)
            to.write(data)
        return True

    def main(platform: Platform, node: Node) -> None:
        for name in ("reads-1", "writes-3", "writes-4"):
            del platform.hosts[name]
        platform.revision += 1
        platform.sleep(100_000)
        set_fixed_latency(platform)
        for host in platform.hosts.values():
            host.script = reads if host.flavor == "reads" else writes
        answers: dict[bytes, Answer] = {}

        def ask(number: bytes) -> None:
            answers[number] = platform.ask(number)

        tasks = []
        for at in range(60):
            tasks.append(platform.clients.spawn("asks", ask, b"id%d" % at))
            platform.sleep(7_300)
        for task in tasks:
            task.join()
        for number, answer in answers.items():
            assert (answer.status, answer.body) == (200, b"".join(named_events(number)))
            assert platform.calls_of(number).count("read") == platform.calls_of(number).count("write") == 1
        assert node.http.counts.reused > 30
        assert_idle(platform, node)

    run_node(main)


def respond_twice(first: Callable[[Host, Stream, bytes], bool], second: bytes, after_us: int) -> Any:
    def script(host: Host, to: Stream, number: bytes) -> bool:
        keep_open = first(host, to, number)
        host.sleep(after_us)
        to.write(second)
        return keep_open

    return script


def test_a_connection_that_speaks_while_its_request_waits_is_not_used() -> None:
    """Between the choice of a connection and the first byte written lies the wait for a release."""
    speakers: list[bytes] = []

    def main(platform: Platform, node: Node) -> None:
        platform.ask(b"warm")
        platform.sleep(100_000)
        late_headers = node.executor._late_headers

        def delayed_headers(command: Any, running: Any) -> http1.Headers:
            headers = late_headers(command, running)
            node.world.sleep_until(node.world.now_us() + 20_000)
            return headers

        node.executor._late_headers = delayed_headers  # type: ignore[method-assign]
        for source in list(platform.sim.network.streams):
            if source.world.name in ("reads-0", "reads-1", "writes-2", "writes-3", "writes-4"):
                platform.clients.spawn("speaks", source.write, plain(202, b'{"cached_tokens":999}'))
                speakers.append(b"")
        answer = platform.ask(b"id")
        assert speakers and (answer.whole, answer.body) == (True, FULL_BODY)
        assert b"999" not in answer.body
        assert_idle(platform, node)

    run_node(main)


def test_a_connection_that_spoke_casts_no_doubt_on_the_others() -> None:
    """Such a connection counted as closed early by its host: for 20 s almost no idle connection was used."""

    def main(platform: Platform, node: Node) -> None:
        for host in writers(platform):
            host.script = respond_twice(write, UNSOLICITED_STREAM, 5_000)
        idle_limit = node.http.idle_limit
        assert idle_limit is not None
        for number in range(6):
            assert platform.ask(b"id%d" % number).body == FULL_BODY
            platform.sleep(200_000)
        assert node.http.counts.stale and idle_limit.limit_us(node.world.now_us()) == node.http.idle_us

    run_node(main)


# --- the end of a response


@pytest.mark.parametrize("reset", [False, True])
def test_a_host_that_closes_with_its_last_chunk_has_served(reset: bool) -> None:
    def close_at_end(host: Host, to: Stream, number: bytes) -> bool:
        host.platform.states.discard(number)
        to.write(HEAD + b"".join(http1.write_chunk(event) for event in EVENTS) + http1.LAST_CHUNK)
        if reset:
            host.sleep(2_100)  # otherwise the reset destroys what has not been read yet
            to.abort()
        return False

    def main(platform: Platform, node: Node) -> None:
        for host in writers(platform):
            host.script = close_at_end
        for number in range(8):
            answer = platform.ask(b"order%d" % number, b"order")
            assert (answer.whole, answer.body) == (True, FULL_BODY)
        assert_idle(platform, node)

    run_node(main)


def test_a_host_that_closes_with_its_last_byte_casts_no_doubt_on_other_connections() -> None:
    """The connection was pooled and found closed at once, and for 20 s almost no idle connection was used."""

    def close_at_end(host: Host, to: Stream, number: bytes) -> bool:
        if host.flavor == "reads":
            host.platform.states.add(number)
            to.write(plain(202, b'{"cached_tokens":7}'))
        else:
            host.platform.states.discard(number)
            to.write(HEAD + http1.write_chunk(FULL_BODY) + http1.LAST_CHUNK)
        return False

    def main(platform: Platform, node: Node) -> None:
        set_fixed_latency(platform)
        for host in platform.hosts.values():
            host.script = close_at_end
        for number in range(8):
            assert platform.ask(b"id%d" % number).body == FULL_BODY
            platform.sleep(50_000)
        idle_limit = node.http.idle_limit
        assert idle_limit is not None and idle_limit.limit_us(node.world.now_us()) == node.http.idle_us
        assert_idle(platform, node)

    run_node(main)


TRUNCATED_RESPONSES = [
    HEAD,
    HEAD[:-2],
    HEAD + b"5",
    HEAD + b"40\r\ndata: {",
    HEAD + http1.write_chunk(EVENTS[0][:-2]),
    b"HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\ndata: {}\n\n",
    b"HTTP/1.1 503 x\r\ncontent-length: 9\r\n\r\nab",
    b"HTTP/1.1 202 x\r\ncontent-length: 9\r\n\r\nab",
    b"HTTP/1.1 202 x\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab",
]


@pytest.mark.parametrize("said", TRUNCATED_RESPONSES)
@pytest.mark.parametrize("flavor", ["reads", "writes"])
def test_an_answer_that_is_cut_after_its_head_is_none(flavor: str, said: bytes) -> None:
    def main(platform: Platform, node: Node) -> None:
        calls: list[bytes] = []

        def cut_once(host: Host, to: Stream, number: bytes) -> bool:
            calls.append(number)
            if calls.count(number) > 1:
                return read(host, to, number) if flavor == "reads" else write(host, to, number)
            to.write(said)
            return False

        for host in platform.hosts.values():
            if host.flavor == flavor:
                host.script = cut_once
        assert platform.ask(b"ask1").body == FULL_BODY
        order = platform.ask(b"order1", b"order")
        if flavor == "reads":
            assert order.body == FULL_BODY  # a read has no effect
        else:
            assert order.status in (502, 504) and platform.calls_of(b"order1").count("write") == 1
        assert_idle(platform, node)

    run_node(main)


@pytest.mark.parametrize("flavor", ["reads", "writes"])
@pytest.mark.parametrize("cls", [b"ask", b"order"])
def test_an_answer_that_does_not_fit_what_was_asked_is_none(flavor: str, cls: bytes) -> None:
    """A reader's stream was passed to the client as the answer; a writer's 202 counted as a read."""

    def respond_wrongly(host: Host, to: Stream, number: bytes) -> bool:
        calls.append(number)
        if len(calls) > 1:
            return read(host, to, number) if flavor == "reads" else write(host, to, number)
        to.write(UNSOLICITED_STREAM if flavor == "reads" else plain(202, b'{"cached_tokens":7}'))
        return True

    def main(platform: Platform, node: Node) -> None:
        for host in platform.hosts.values():
            if host.flavor == flavor:
                host.script = respond_wrongly
        answer = platform.ask(b"id", cls)
        if flavor == "writes" and cls == b"order":  # it may have run
            assert answer.status in (502, 504) and platform.calls_of(b"id").count("write") == 1
        else:
            assert (answer.status, answer.body) == (200, FULL_BODY) and len(calls) == 2
        assert_idle(platform, node)

    calls: list[bytes] = []
    run_node(main)


# --- the deadline, and the end of the process


def test_a_first_token_as_the_deadline_passes_gives_one_answer() -> None:
    def main(platform: Platform, node: Node) -> None:
        set_fixed_latency(platform)
        served = late = 0

        def write_near_deadline(host: Host, to: Stream, number: bytes) -> bool:
            host.platform.states.discard(number)
            host.sleep(170_000 + int(number[2:]) * 500)
            return stream(host, to)

        for host in writers(platform):
            host.script = write_near_deadline
        for at in range(60):
            answer = platform.ask(b"id%d" % at, deadline_ms=200)
            assert (answer.status, answer.whole) in ((200, True), (502, True), (503, True), (504, True))
            assert answer.took_us < 200_000 + SETTINGS["obligations"]["answer-slack-us"] + 60_000
            served += answer.status == 200
            late += answer.status != 200
            if answer.status == 200:
                assert answer.body == FULL_BODY
        assert (
            served > 5
            and late > 5
            and sum(
                (
                    node.core.lifecycle.counts.served,
                    node.core.lifecycle.counts.failed,
                    node.core.lifecycle.counts.refused,
                )
            )
            == 60
        )
        assert_idle(platform, node)

    run_node(main)

"""Streams as their process ends: what a host has finished is passed on, and what goes on is broken off."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from tests.edge_core_setup import READER, RULES, WRITER, commands_of, kinds, mark_written, start_reading, started_core
from tests.platform_standin import EVENTS, HEAD, Answer, Host, Platform
from tests.test_node import ID, first_only, readers, run_node, writers
from tests.test_node_handover import set_fixed_latency
from yardspindle import interface as i
from yardspindle.core.request import commands as c
from yardspindle.core.request.graceful_shutdown import shutdown_times
from yardspindle.node.app import Node
from yardspindle.protocol import http1
from yardspindle.runtime.world import Stream

FULL_BODY = b"".join(EVENTS)


def streaming_core() -> Any:
    core = started_core(replace(RULES, resume=True))
    start_reading(core)
    mark_written(core, 0)
    core.attempt_ended(10, 1, 0, i.Status.READ)
    core.apply_action(20, 1, i.Send(1, WRITER))
    mark_written(core, 1)
    core.first_token(30, 1, 1)
    return core


def test_a_stream_that_ends_with_its_last_words_was_served() -> None:
    core = streaming_core()
    assert kinds(core.shut_down(40)) == ["FlushStream"]
    served = core.attempt_ended(41, 1, 1, i.Status.SERVED)
    assert [answer.final for answer in commands_of(c.Answer, served)] == [c.Final.SERVED]
    assert core.stream_flushed(42, 1) == [] and not core.lifecycle.requests and core.rule_checker.last_violation is None


def test_a_stream_that_goes_on_after_its_last_words_is_broken_off() -> None:
    core = streaming_core()
    core.shut_down(40)
    commands = core.stream_flushed(42, 1)
    assert [(answer.final, answer.streamed) for answer in commands_of(c.Answer, commands)] == [(c.Final.FAILED, True)]
    assert commands_of(c.Abort, commands) and not core.lifecycle.requests and core.stream_flushed(43, 1) == []
    assert (
        core.apply_action(43, 1, i.Send(1, READER)) == []
        and core.rule_checker.last_violation is None
        and RULES.release_by_request
    )


@pytest.mark.parametrize("pieces", [1, 2, 6])
def test_a_stream_that_its_host_has_finished_as_the_process_leaves_is_passed_on_whole(pieces: int) -> None:
    """Its end lay unread in the kernel, and the stream was broken off: in both orders, and in one turn of the loop."""

    def main(platform: Platform, node: Node) -> None:
        set_fixed_latency(platform)
        stop_times: list[int] = []
        answers: dict[bytes, Answer] = {}
        finished: dict[bytes, int] = {}

        def end_near_stop(host: Host, to: Stream, number: bytes) -> bool:
            host.platform.states.discard(number)
            to.write(HEAD + http1.write_chunk(EVENTS[0]))
            while not stop_times:
                host.sleep(1_000)
            host.world.sleep_until(stop_times[0] - 8_000 + int(number[2:]) * 250)
            rest = b"".join(http1.write_chunk(event) for event in EVENTS[1:]) + http1.LAST_CHUNK
            size = -(-len(rest) // pieces)
            for at in range(0, len(rest), size):
                to.write(rest[at : at + size])
            finished[number] = host.world.now_us()
            return True

        for host in writers(platform):
            host.script = end_near_stop

        def ask(number: bytes) -> None:
            answers[number] = platform.ask(number)

        tasks = [platform.clients.spawn("asks", ask, b"id%d" % at) for at in range(60)]
        platform.sleep(400_000)
        now = node.world.now_us()
        longest_us = max(round(cls.give_up_us) for cls in node.config.settings.classes)
        stop_times.append(shutdown_times(now, longest_us, True).stop_us)
        drain = node.world.spawn("drain", node.drain)
        for task in [*tasks, drain]:
            task.join()
        complete = [number for number, answer in answers.items() if answer.whole and answer.status == 200]
        assert 10 < len(complete) < 55
        for number, at in finished.items():
            if at + 1_000 <= stop_times[0]:  # it had arrived
                assert number in complete, (number, at - stop_times[0])
        for number in complete:
            assert answers[number].body == FULL_BODY
        assert not node.core.lifecycle.requests and readers(platform)

    run_node(main)


def test_last_words_of_a_request_that_is_over_are_none() -> None:
    def main(platform: Platform, node: Node) -> None:
        node.executor.perform([c.FlushStream(99, 0)])
        platform.sleep(50_000)
        assert platform.ask(b"id").body == FULL_BODY

    run_node(main)


# --- hosts that reset a stream


def reset_after(data: bytes) -> Callable[[Host, Stream, bytes], bool]:
    def script(host: Host, to: Stream, number: bytes) -> bool:
        if data:
            to.write(data)
            host.sleep(20_000)
        to.abort()
        return False

    return script


@pytest.mark.parametrize("cls", [b"ask", b"order"])
def test_a_stream_that_its_host_resets_before_the_first_event_is_settled_at_once(cls: bytes) -> None:
    """The reset ended the attempt's task without a message to the core, and the answer came only at the deadline."""

    def main(platform: Platform, node: Node) -> None:
        script = first_only(reset_after(HEAD))
        for host in writers(platform):
            host.script = script
        answer = platform.ask(b"one", cls)
        assert answer.took_us < 1_000_000 and platform.calls_of(b"one").count("write") == (2 if cls == b"ask" else 1)
        assert answer.whole and answer.status in ((200,) if cls == b"ask" else (502, 504))
        assert node.core.lifecycle.counts.interlocks == {}

    run_node(main)


def test_a_stream_that_its_host_resets_later_is_broken_and_not_taken_for_a_client_that_left() -> None:
    def main(platform: Platform, node: Node) -> None:
        for host in writers(platform):
            host.script = reset_after(HEAD + http1.write_chunk(EVENTS[0]))
        answer = platform.ask(ID)
        assert (answer.status, answer.whole, answer.body) == (200, False, EVENTS[0]) and answer.took_us < 1_000_000
        assert (node.core.lifecycle.counts.failed, node.core.lifecycle.counts.left) == (1, 0)

    run_node(main)

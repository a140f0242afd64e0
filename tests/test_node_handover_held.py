"""Places, releases and reused ids where two events come at the same time: what is held is released, and only that."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.edge_core_setup import READER, WRITER, WRITER2, commands_of, kinds, mark_written, start_reading, started_core
from tests.platform_standin import (
    Answer,
    Host,
    Platform,
    plain,
    read,
    request,
)
from tests.test_node import readers, run_node
from tests.test_node_handover import FULL_BODY, assert_idle, set_fixed_latency
from tests.test_node_sending import slow
from yardspindle import interface as i
from yardspindle.core.request import commands as c
from yardspindle.core.request.request_releases import REPEAT_DELAY_US
from yardspindle.node.app import Node
from yardspindle.runtime.world import Stream


@pytest.mark.parametrize("held", [True, False, None])
@pytest.mark.parametrize("place_first", [False, True])
def test_a_place_that_is_answered_as_its_read_fails_is_let_go_of(place_first: bool, held: bool | None) -> None:
    core = started_core()
    start_reading(core)
    mark_written(core, 0)
    server = core.lifecycle.directory.servers[WRITER]
    assert core.place_requested(0, 1, 1, server)
    steps: list[Callable[[], list[c.Command]]] = [
        lambda: core.place_answered(5_000, 1, 1, server, held),
        lambda: core.attempt_ended(5_000, 1, 0, i.Status.ERROR),
    ]
    commands = [command for step in (steps if place_first else steps[::-1]) for command in step()]
    # The read may have succeeded.
    assert len({id(free.release) for free in commands_of(c.SendRequestRelease, commands)}) == 1
    assert core.request_releases.pending
    assert kinds(core.apply_action(6_000, 1, i.Send(1, READER))) == ["Read"]
    # A release sent later would free the state of this read: it waits for both.
    for at_us in (7_000, 7_000 + REPEAT_DELAY_US):
        assert core.release_pending(1)
        (free, *_) = [
            *commands_of(c.SendRequestRelease, commands),
            *commands_of(c.SendRequestRelease, core.tick(at_us)),
        ]
        commands = core.request_release_settled(at_us, free.release, free.server.number, True)
    assert not core.release_pending(1)
    mark_written(core, 1)
    core.attempt_ended(209_000, 1, 1, i.Status.READ)
    assert kinds(core.apply_action(209_000, 1, i.Send(1, WRITER2))) == ["Write"]
    mark_written(core, 2)
    assert core.first_token(209_500, 1, 2)[0]
    core.attempt_ended(209_900, 1, 2, i.Status.SERVED)
    assert (
        not core.lifecycle.requests and not core.request_releases.pending and core.rule_checker.last_violation is None
    )


def test_a_read_that_fails_as_its_place_is_answered_leaves_nothing() -> None:
    def main(platform: Platform, node: Node) -> None:
        set_fixed_latency(platform)
        calls: list[bytes] = []

        def fail_once(host: Host, to: Stream, number: bytes) -> bool:
            calls.append(number)
            if calls.count(number) > 1:
                return read(host, to, number)
            host.sleep(int(number[2:]) * 250)
            platform.states.add(number)
            to.write(plain(500))
            return True

        for host in readers(platform):
            host.script = fail_once
        for at in range(40):
            number = b"id%d" % at
            assert platform.ask(number).body == FULL_BODY
            assert platform.calls_of(number).count("write") == 1  # no release took the second read's state
        assert_idle(platform, node)

    run_node(main)


def test_a_release_that_is_under_way_as_a_repeat_starts_takes_nothing_from_it() -> None:
    """A release whose connection was still being established was written after the retry was sent."""

    def main(platform: Platform, node: Node) -> None:
        calls: list[bytes] = []

        def break_once(host: Host, to: Stream, number: bytes) -> bool:
            calls.append(number)
            if calls.count(number) > 1:
                return read(host, to, number)
            platform.states.add(number)
            to.abort()
            return False

        for host in readers(platform):
            host.script = break_once
        for hop_us in range(500, 36_000, 1_500):
            number = b"id%d" % hop_us
            node.http.close_all()
            slow(platform, list(platform.hosts.values()), hop_us)
            assert platform.ask(number).body == FULL_BODY
            assert platform.calls_of(number).count("write") == 1
            platform.sleep(2_500_000)  # until its readers are used again
        assert_idle(platform, node)

    run_node(main)


# --- a request id that is used again


@pytest.mark.parametrize("pause_us", [0, 500, 1_000, 2_000, 5_000, 20_000, 100_000])
def test_an_id_that_comes_again_as_its_first_is_let_go_of_runs_once_and_leaves_nothing(pause_us: int) -> None:
    def main(platform: Platform, node: Node) -> None:
        for at in range(10):
            number = b"id%d" % at
            first = platform.connect()
            first.write(request(number))
            platform.sleep(5_000 + at * 4_000)
            first.close()
            platform.sleep(pause_us)
            answer: Answer = platform.ask(number)
            assert answer.status == 409, "it was sent on before"
            assert platform.calls_of(number).count("read") == 1
            assert platform.calls_of(number).count("write") <= 1
        assert_idle(platform, node)
        assert platform.ask(b"new").body == FULL_BODY

    run_node(main)

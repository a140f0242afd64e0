"""Calls for places that were given up: what their connections tell, however late, ends what is owed for them."""

from __future__ import annotations

import pytest

from tests.edge_core_setup import (
    READER,
    RULES,
    WRITER,
    WRITER2,
    commands_of,
    kinds,
    mark_place_requested,
    mark_written,
    server,
    start_reading,
    started_core,
)
from tests.platform_standin import MAX_REPEATS_US, SETTINGS, Host, Platform, plain, read
from tests.test_node import readers, run_node, writers
from yardspindle import interface as i
from yardspindle.core.request import commands as c
from yardspindle.core.request.edge_core import EdgeCore
from yardspindle.core.request.held_resources import RELEASE_FRACTION
from yardspindle.core.request.late_answers import MAX_AWAITED, LateAnswers, LateCall
from yardspindle.core.request.request_releases import REPEAT_DELAY_US
from yardspindle.core.request.timeouts import RESERVE_PLACE_US
from yardspindle.core.request.unread_calls import MAX_PROBE_WAIT_US
from yardspindle.engine.connection import Connection
from yardspindle.node.app import Node
from yardspindle.protocol import http1
from yardspindle.runtime.virtual_network import NetworkPath
from yardspindle.runtime.world import Stream

pytestmark = pytest.mark.usefixtures("read_before_reset")

RELEASE_US = SETTINGS["family-info"]["let-go-by-us"]
HELD_LIMIT_US = RELEASE_US + 300_000 + 50_000  # the rule, what fleets have more, and what sockets have more
SECOND_US = 1_000_000
REQUEST_INTERVAL_US = 200_000
PLACE_UNKNOWN_US = 300_000  # a writer that knows of no read answers so much later
Call = tuple[int, str, str, bytes]  # time, what is called, host, request


class Scene:
    """A dispatcher whose writer is cut off for a while; the connections that it has then stay silent for longer."""

    def __init__(self, platform: Platform, node: Node) -> None:
        self.platform, self.node = platform, node
        self.writer = writers(platform)[0]
        self.calls: list[Call] = []
        self._network, self._route = platform.sim.network, ("node", self.writer.name)
        self._old_path: NetworkPath
        for host in readers(platform):
            host.script = slow_read
        self._record_call = platform.record_call
        platform.record_call = self.record  # type: ignore[method-assign]

    def record(self, what: str, host: Host, number: bytes) -> None:
        """Note a call as its host reads it; the writer answers calls for places as one that knows of no read."""
        self._record_call(what, host, number)
        self.calls.append((self.platform.sim.now_us(), what, host.name, number))
        if what == "place" and host.place_status == 204:
            host.sleep(PLACE_UNKNOWN_US)

    def hang(self, requests: int = 10) -> None:
        """Cut the writer off while requests come, until all have ended; then it is reached by new connections alone."""
        warm_up = [self.platform.clients.spawn("asks", self.platform.ask, b"before%d" % at) for at in range(6)]
        for task in warm_up:
            task.join()
        self._network.cut(*self._route)
        asks = []
        for at in range(requests):
            asks.append(self.platform.clients.spawn("asks", self.platform.ask, b"id%d" % at, b"ask", 2_000))
            self.platform.sleep(REQUEST_INTERVAL_US)
        for task in asks:
            task.join()
        self._old_path = self._network.paths.pop(self._route)
        self.writer.place_status = 204

    def wake_connections(self) -> None:
        """Deliver what lies in the connections that were open when the writer was cut off."""
        self._old_path.cuts = 0
        held, self._old_path.held = self._old_path.held, []
        for arrive in held:
            arrive()

    def late_places(self, since_us: int) -> list[tuple[int, bytes]]:
        """The calls for places that the writer read since then, with their times."""
        return [(at, number) for at, what, name, number in self.calls if what == "place" and at >= since_us]

    def assert_released(self, late: list[tuple[int, bytes]], limit_us: int) -> None:
        """Each place is released in time after its call was read."""
        assert late
        for at, number in late:
            releases = [freed_us - at for freed_us, what, _, freed in self.calls if what == "free" and freed == number]
            assert any(0 <= after_us <= limit_us for after_us in releases), f"{number!r} is held for too long"

    def assert_nothing_owed(self) -> None:
        """Nothing is tracked or kept any more."""
        self.platform.sleep(MAX_REPEATS_US)
        core = self.node.core
        assert not len(core.late_answers) and not core.needs_tick and not self.node.executor.request_ids
        assert core.rule_checker.last_violation is None


def slow_read(host: Host, to: Stream, number: bytes) -> bool:
    host.sleep(300_000)
    return read(host, to, number)


@pytest.mark.parametrize("silent_us", [0, 500_000, 1_000_000, 3_000_000, 8_000_000, 14_000_000, 25_000_000])
def test_a_place_is_released_whenever_its_connection_wakes_after_its_host(silent_us: int) -> None:
    """Review, case 7: 0.4 s after a hung writer's answer the calls on its silent connections were forgotten."""

    def main(platform: Platform, node: Node) -> None:
        scene = Scene(platform, node)
        scene.hang()
        platform.sleep(silent_us)
        assert len(node.core.late_answers)
        woken_us = platform.sim.now_us()
        scene.wake_connections()
        platform.sleep(2_000_000)
        scene.assert_released(scene.late_places(woken_us), HELD_LIMIT_US)
        scene.assert_nothing_owed()

    run_node(main)


def test_waiting_for_a_late_answer_costs_no_releases() -> None:
    """Repeats until the connection would have been closed as idle cost 16 releases a call; an answer needs a few."""

    def main(platform: Platform, node: Node) -> None:
        scene = Scene(platform, node)
        scene.hang()
        platform.sleep(MAX_PROBE_WAIT_US + RELEASE_US)  # until the writer's answer to a probe was followed up
        owed, before = len(node.core.late_answers), len(scene.calls)
        assert owed
        platform.sleep(MAX_REPEATS_US)
        assert not [call for call in scene.calls[before:] if call[1] == "free"]
        scene.wake_connections()
        platform.sleep(2_000_000)
        assert len([call for call in scene.calls[before:] if call[1] == "free"]) <= 3 * owed
        scene.assert_nothing_owed()

    run_node(main)


def test_a_place_is_released_though_the_answer_on_its_late_connection_is_lost() -> None:
    """The host reads the call 3 s after it answers elsewhere, holds the place and never answers on that connection."""

    def main(platform: Platform, node: Node) -> None:
        scene = Scene(platform, node)
        scene.hang()

        def record(what: str, host: Host, number: bytes) -> None:
            scene.record(what, host, number)
            if what == "place" and host is scene.writer:
                host.sleep(60 * SECOND_US)

        platform.record_call = record  # type: ignore[method-assign]
        platform.sleep(3 * SECOND_US)
        woken_us = platform.sim.now_us()
        scene.wake_connections()
        platform.sleep(2 * SECOND_US)
        scene.assert_released(scene.late_places(woken_us), HELD_LIMIT_US)

    run_node(main)


def test_connections_that_wait_for_late_answers_are_given_back_when_descriptors_run_out() -> None:
    """What is owed for their calls stays owed: the release is repeated until the host has closed them as idle."""

    def main(platform: Platform, node: Node) -> None:
        scene = Scene(platform, node)
        scene.hang()
        owed = len(node.core.late_answers)
        open_before = node_connections(platform)
        while node._free_descriptor(essential=False):
            pass
        assert owed and not len(node.core.late_answers)
        assert node_connections(platform) <= open_before - owed
        platform.sleep(3_000_000)
        woken_us = platform.sim.now_us()
        scene.wake_connections()
        platform.sleep(2_000_000)
        scene.assert_released(scene.late_places(woken_us), HELD_LIMIT_US)
        scene.assert_nothing_owed()

    run_node(main)


def node_connections(platform: Platform) -> int:
    """The connections that the dispatcher has open."""
    return sum(stream.world.name == "node" for stream in platform.sim.network.streams)


def test_a_place_that_outlives_its_request_is_released_by_the_request_id() -> None:
    """The read is declined, so the request ends with its call for a place unanswered; that call's time passes later.

    Soak seed 1126: the id was forgotten with the request, and the task of the release failed again and again.
    """

    def main(platform: Platform, node: Node) -> None:
        for host in readers(platform):
            host.script = declines
        for host in writers(platform):
            host.world.stall()
        assert platform.ask(b"id", b"ask", 500).status == 503
        platform.sleep(RESERVE_PLACE_US)
        assert len(node.core.late_answers) and node.executor.request_ids
        calls: list[tuple[int, str, bytes]] = []
        platform.record_call = lambda what, host, number: calls.append((platform.sim.now_us(), what, number))  # type: ignore[method-assign]
        for host in writers(platform):
            host.world.resume()
        platform.sleep(2_000_000)
        placed_us = max(at for at, what, _ in calls if what == "place")
        assert any(what == "free" and placed_us <= at <= placed_us + HELD_LIMIT_US for at, what, _ in calls)
        platform.sleep(MAX_REPEATS_US)
        assert not len(node.core.late_answers) and not node.core.needs_tick and not node.executor.request_ids

    run_node(main)


def declines(host: Host, to: Stream, number: bytes) -> bool:
    host.sleep(20_000)
    to.write(plain(503, b"", (b"srv-declined", b"1")))
    return True


def test_a_place_that_comes_late_starts_the_time_limit_of_its_request() -> None:
    """Soak seed 2004: it was held for 0.8 s while the request's next read lay unread at another host."""
    core = started_core()
    start_reading(core)
    mark_written(core, 0)
    mark_place_requested(core)
    limit_us = round(RELEASE_FRACTION * RULES.release_us) + 1
    commands = core.tick(limit_us)
    assert [type(command) for command in commands if isinstance(command, c.Abort | c.AwaitLateAnswer)] == [
        c.Abort,
        c.AwaitLateAnswer,
    ]
    confirm_releases(core, limit_us, commands)
    confirm_releases(core, limit_us + REPEAT_DELAY_US, core.tick(limit_us + REPEAT_DELAY_US))
    assert not core.release_pending(1)
    second_us = 1_000_000
    core.apply_action(second_us, 1, i.Send(1, READER))
    assert core.start_sending(second_us, 1, 1)
    core.attempt_written(1, 1)
    late_us = second_us + 500_000
    assert not commands_of(c.Abort, core.tick(late_us))
    assert kinds(core.late_answer_ended(late_us, 1, 1, True)) == []  # a release would harm the read
    assert not commands_of(c.Abort, core.tick(late_us + limit_us - 2))
    commands = core.tick(late_us + limit_us)
    assert len(commands_of(c.Abort, commands)) == len(commands_of(c.SendRequestRelease, commands)) == 1


@pytest.mark.parametrize("ask_elsewhere", [True, False])
def test_a_call_that_was_not_sent_does_not_show_that_its_read_runs(ask_elsewhere: bool) -> None:
    """Soak seed 2004: a failed connection counted as a declined place, and a read that lay unread was awaited."""
    core = started_core()
    start_reading(core)
    mark_written(core, 0)
    commands = core.place_not_sent(0, 1, 1, server(WRITER, i.Role.WRITE), ask_elsewhere)
    assert bool(commands_of(c.NotifyPlanner, commands)) is ask_elsewhere
    core.apply_action(0, 1, i.Ahead(1, WRITER2))
    mark_place_requested(core, 2, WRITER2)
    assert commands_of(c.Abort, core.tick(round(RELEASE_FRACTION * RULES.release_us) + 1))


def confirm_releases(core: EdgeCore, now_us: int, commands: list[c.Command]) -> None:
    for command in commands_of(c.SendRequestRelease, commands):
        core.request_release_settled(now_us, command.release, command.server.number, True)


@pytest.mark.parametrize(("held", "releases"), [(True, 1), (None, 2), (False, 0)])
def test_what_a_late_answer_says_decides_on_the_releases_of_an_ended_request(held: bool | None, releases: int) -> None:
    """A place that is held is released once; one that may come to be held, again a little later."""
    core = started_core()
    start_reading(core)
    mark_written(core, 0)
    mark_place_requested(core)
    commands = core.client_disconnected(1_000, 1)
    assert commands_of(c.AwaitLateAnswer, commands) and core.tracks_release(1)
    for number in (READER, WRITER):
        core.server_answered(2_000, number, 2_000)
    for now_us in (3_000, 3_000 + REPEAT_DELAY_US, SECOND_US):
        confirm_releases(core, now_us, commands)
        commands = core.tick(now_us)
    confirm_releases(core, SECOND_US, commands)
    assert core.tracks_release(1) and not core.needs_tick
    sent, commands = 0, core.late_answer_ended(2 * SECOND_US, 1, 1, held)
    for step in range(1, 10):
        sent += len(commands_of(c.SendRequestRelease, commands))
        confirm_releases(core, 2 * SECOND_US, commands)
        commands = core.tick(2 * SECOND_US + step * REPEAT_DELAY_US)
    assert sent == releases and not core.tracks_release(1)
    assert core.late_answer_ended(4 * SECOND_US, 1, 1, True) == []


def test_a_host_that_left_the_list_is_not_waited_for() -> None:
    def main(platform: Platform, node: Node) -> None:
        scene = Scene(platform, node)
        scene.hang()
        assert len(node.core.late_answers)
        del platform.hosts[scene.writer.name]
        platform.revision += 1
        platform.sleep(MAX_REPEATS_US)
        scene.assert_nothing_owed()

    run_node(main)


def test_a_connection_on_which_the_sending_ended_is_not_used_again() -> None:
    """The host answers the call that was given up and keeps the connection: no request can be sent on it."""

    def main(platform: Platform, node: Node) -> None:
        scene = Scene(platform, node)
        scene.hang()
        scene.wake_connections()
        platform.sleep(2_000_000)
        assert not len(node.core.late_answers)
        for at in range(6):
            assert platform.ask(b"after%d" % at).status == 200
        scene.assert_nothing_owed()

    run_node(main)


def test_a_connection_on_which_the_sending_ended_is_not_pooled() -> None:
    def main(platform: Platform, node: Node) -> None:
        for sending_ended in (False, True):
            connection = Connection(platform.connect(), http1.ResponseParser(), sending_ended=sending_ended)
            node.http.put_idle(("host", 1), connection)
            assert connection.stream.is_idle() is not sending_ended  # else it is closed
        assert len(node.http._idle["host", 1]) == 1

    run_node(main)


def test_the_late_answers_awaited_are_bounded_and_the_oldest_is_given_up() -> None:
    answers = LateAnswers()
    calls = [LateCall(request, 1, 7) for request in range(MAX_AWAITED + 3)]
    closed = [answers.add(call) for call in calls]
    assert closed == [None] * MAX_AWAITED + calls[:3] and len(answers) == MAX_AWAITED
    assert not answers.awaits(0) and answers.awaits(3)
    assert answers.remove(3, 1) is calls[3] and answers.remove(3, 1) is None and not answers.awaits(3)
    assert answers.remove_unlisted({8}) == calls[4:] and not len(answers) and answers.remove_oldest() is None

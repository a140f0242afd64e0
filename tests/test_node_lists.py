"""Timing of the host list: an unresponsive agent is detected and asked again well within the time limit for changes."""

from __future__ import annotations

import json

import pytest

from tests.platform_standin import ENVIRONMENT, SETTINGS, Platform, read_answer
from tests.test_node import run_node, writers
from yardspindle.core.hosts.host_list import HostList, ListAnswer, Member
from yardspindle.core.request import timeouts
from yardspindle.node.app import Node
from yardspindle.node.config import parse_config
from yardspindle.protocol import http1
from yardspindle.runtime.virtual import Simulation

MIN_GRACE_US = 250_000  # the shortest drain grace of the known deployments


def drain_one(platform: Platform) -> None:
    writers(platform)[0].phase, platform.revision = "Terminating", platform.revision + 1


def wait_for_newest_list(platform: Platform, node: Node, within_us: int) -> int:
    """Wait for the newest list; the time it took, at most a millisecond too long. Fails after `within_us`."""
    started_us = platform.sim.now_us()
    while node.host_list.revision < platform.revision:
        assert platform.sim.now_us() - started_us < within_us, "newest list not applied in time"
        platform.sleep(1_000)
    return platform.sim.now_us() - started_us


@pytest.mark.parametrize("phase", [0.0, 0.2, 0.5, 0.8, 0.999])
def test_a_watch_that_falls_silent_is_found_out_in_any_phase_of_it(phase: float) -> None:
    def main(platform: Platform, node: Node) -> None:
        platform.sleep(10_000)
        asked = len(platform.discovery_requests)
        while len(platform.discovery_requests) == asked:
            platform.sleep(1_000)
        platform.sleep(round(phase * timeouts.WATCH_WAIT_US))
        platform.silenced_watches += 1
        drain_one(platform)
        wait_for_newest_list(platform, node, max(6_000_000, round((1 - phase) * timeouts.WATCH_WAIT_US) + 2_000_000))

    run_node(main)


def test_a_watch_that_is_reset_is_asked_again_at_once() -> None:
    def main(platform: Platform, node: Node) -> None:
        platform.sleep(100_000)
        drain_one(platform)
        platform.sleep(10_000)
        platform.revision += 1  # another change while no watch is open
        for stream in platform.open_watches:
            stream.abort()
        assert wait_for_newest_list(platform, node, 100_000) < 20_000

    run_node(main)


@pytest.mark.parametrize("down_us", [1_300_000, 3_000_000, 8_123_000])
def test_what_the_agent_got_while_it_was_down_is_heard_within_a_drains_grace(down_us: int) -> None:
    def main(platform: Platform, node: Node) -> None:
        platform.sleep(50_000)
        platform.down_until_us = platform.sim.now_us() + down_us
        platform.sleep(down_us)
        drain_one(platform)
        assert wait_for_newest_list(platform, node, 1_000_000) < MIN_GRACE_US

    run_node(main)


def test_a_dispatcher_that_starts_is_up_only_with_the_agents_list() -> None:
    """The agent's list counts from the start: by the previously known list, a drained host was sent requests."""

    def main() -> None:
        platform = Platform(sim)
        platform.down_until_us = sim.now_us() + 4_000_000
        known = {"revision": 1, "complete": True, "members": platform.members()}
        world = sim.program("node")
        node = Node(world, parse_config(ENVIRONMENT, json.dumps({"known": known, "settings": SETTINGS}).encode()))
        world.spawn("start", node.start)
        drained = writers(platform)[0]
        drain_one(platform)
        up = http1.write_request(b"GET", b"/up", [(b"host", b"x")], b"")
        statuses = []
        while 200 not in statuses:
            platform.sleep(100_000)
            stream = platform.connect()
            stream.write(up)
            statuses.append(read_answer(platform.clients, stream, sim.now_us()).status)
            stream.close()
        assert node.host_list.revision == platform.revision and 503 in statuses
        for number in range(9):
            assert platform.ask(b"id%d" % number).whole
        assert drained.name not in {name for what, name, _ in platform.calls if what in ("write", "place")}

    sim = Simulation(5)
    sim.run("main", main)
    assert sim.crashes == []


@pytest.mark.parametrize("down_us", [4_500_000, 8_123_000, 3_600_000_000])
def test_a_dispatcher_is_ready_by_the_known_list_though_the_agent_is_silent(down_us: int) -> None:
    """Nine in ten restarted dispatchers have 6 s on short days; one second of it passes before `start`."""

    def main() -> None:
        platform = Platform(sim)
        started_us = sim.now_us()
        platform.down_until_us = started_us + down_us
        known = {"revision": 1, "complete": True, "members": platform.members()}
        world = sim.program("node")
        node = Node(world, parse_config(ENVIRONMENT, json.dumps({"known": known, "settings": SETTINGS}).encode()))
        world.spawn("start", node.start).join()
        reply = node.early_reply(http1.RequestHead(b"GET", b"/up", 1, []))
        assert reply is not None and reply.status == 200
        assert 1_000_000 + sim.now_us() - started_us < 5_500_000
        assert platform.ask(b"id").whole and node.host_list.stale
        if down_us < 60_000_000:
            platform.sleep(started_us + down_us - sim.now_us())
            drain_one(platform)
            assert wait_for_newest_list(platform, node, 1_000_000) < MIN_GRACE_US

    sim = Simulation(5)
    sim.run("main", main)
    assert sim.crashes == []


def test_late_calls_to_discovery_are_ended_when_descriptors_run_out() -> None:
    def main(platform: Platform, node: Node) -> None:
        platform.down_until_us = platform.sim.now_us() + 5_000_000
        platform.sleep(4_000_000)
        freed = 0
        while node.world.free_descriptor(False):
            freed += 1
        assert freed > 1
        platform.sleep(1_000_000)
        drain_one(platform)
        assert wait_for_newest_list(platform, node, 1_000_000) < MIN_GRACE_US

    run_node(main)


@pytest.mark.parametrize("below", [False, True])
def test_a_move_while_the_first_list_is_awaited_brings_readiness_with_the_new_agents_list(below: bool) -> None:
    """For 1.7 s after the start, the stale known list won against the agent's list, whose revisions were lower."""

    def main() -> None:
        platform = Platform(sim)
        platform.down_until_us = sim.now_us() + 3_600_000_000
        known = {"revision": 9 if below else 1, "complete": True, "members": platform.members()}
        data = {"known": known, "settings": SETTINGS}
        world = sim.program("node")
        node = Node(world, parse_config(ENVIRONMENT, json.dumps(data).encode()))
        start = world.spawn("start", node.start)
        platform.sleep(1_000_000)
        platform.down_until_us = 0  # the calls in flight stay unanswered
        platform.discovery("10.2.0.9:8500")
        drained, removed = writers(platform)[:2]
        drained.phase, platform.revision = "Terminating", 3
        del platform.hosts[removed.name]
        node.reload(parse_config(ENVIRONMENT, json.dumps(data | {"discovery": "10.2.0.9:8500"}).encode()))
        started_us = sim.now_us()
        start.join()
        assert sim.now_us() - started_us < 50_000 and node.host_list.revision == 3 and not node.host_list.stale
        assert len(node.host_list) == 4

    sim = Simulation(5)
    sim.run("main", main)
    assert sim.crashes == []


def test_an_old_answer_that_comes_late_changes_nothing() -> None:
    hosts = HostList({})
    one, two = Member("one"), Member("two", phase="Terminating")
    assert hosts.apply(ListAnswer(7, True, (one, two)))
    for older in (ListAnswer(6, True, (one,)), ListAnswer(5, False, (Member("two"),)), ListAnswer(6, False)):
        assert not hosts.apply(older)
    assert hosts.revision == 7 and len(hosts) == 2

"""Faults in every phase of a call to discovery: a change of the list is applied within the time limit for changes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from tests import agent_standin as a
from tests.agent_standin import Agent, Fault
from tests.platform_standin import plain
from yardspindle import interface as i
from yardspindle.core.hosts.host_list import HostList, ListAnswer, Member
from yardspindle.core.request import timeouts
from yardspindle.node.discovery import DiscoveryClient
from yardspindle.protocol import http1
from yardspindle.runtime.virtual import Simulation, VirtualWorld
from yardspindle.runtime.world import ConnectReset, Stream

FIRST, SECOND = "10.2.0.1:8500", "10.2.0.2:8500"
CHANGE_LIMIT_US, MOVE_LIMIT_US = 6_000_000, 4_000_000
DEEPLY_NESTED = b'{"revision":9,"complete":true,"more":' + b"[" * 100_000

FAILED_ANSWER_FAULTS: dict[str, Fault] = {
    "the call, silent": a.silent,
    "the call, reset": a.reset,
    "the call, closed": a.closed,
    "the head, silent": a.after(0.02, a.silent),
    "the head, reset": a.after(0.02, a.reset),
    "the head, closed": a.after(0.02, a.closed),
    "the head, garbage": a.instead(b"\x00\xff garbage\r\n\r\n"),
    "the head, endless": a.endless_head,
    "the head, a status": a.status(503),
    "the body, silent": a.after(0.6, a.silent),
    "the body, reset": a.after(0.6, a.reset),
    "the body, closed": a.after(0.6, a.closed),
    "the body, garbage": a.with_body(b"\x00\xff garbage"),
    "the body, half": a.with_body(b'{"revision":9,"complete":true,"members":[{"id":"h'),
    "the body, nested": a.with_body(DEEPLY_NESTED),
    "the body, endless": a.endless_body,
    "the body, a flood": a.flood,
    "the body, empty": a.with_body(b""),
    "the body, no host": a.with_body(b'{"revision":9,"complete":true,"members":[]}'),
}
COMPLETE_ANSWER_FAULTS: dict[str, Fault] = {
    "a byte at a time": a.bytewise(100),
    "a byte every 3 ms": a.bytewise(3_000),
    "the last byte late": a.last_byte_late,
    "then closed": a.after(1, a.closed),
    "then reset": a.after(1, a.reset),
    "then garbage": a.after(1, a.instead(b"\xff garbage\r\n\r\n")),
}
FAULTS = {**FAILED_ANSWER_FAULTS, **COMPLETE_ANSWER_FAULTS}


class Follower:
    """The discovery client and its host list, without a node, on a World of its own."""

    def __init__(self, sim: Simulation) -> None:
        self.sim = sim
        self.world: VirtualWorld = sim.program("node")
        self.hosts = HostList({"reads": i.Role.READ})
        self.applied_lists: list[tuple[int, list[str]]] = []  # the applied lists, in order: revision and serving hosts
        self.discovery = DiscoveryClient(
            self.world, address(FIRST), self.hosts, self.on_list_change, self.world.signal()
        )

    def on_list_change(self) -> None:
        self.applied_lists.append(
            (self.hosts.revision, sorted(s.name for s in self.hosts.servers() if s.state is i.State.SERVING))
        )

    def wait_until(self, condition: Callable[[], bool], within_us: int) -> int:
        """Wait until the condition holds; the time it took, at most a millisecond too long."""
        started_us = self.sim.now_us()
        while not condition():
            assert self.sim.now_us() - started_us < within_us, "condition not met in time"
            self.world.sleep_until(self.world.now_us() + 1_000)
        return self.sim.now_us() - started_us


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def run_with_watch(main: Callable[[Follower, Agent], Any], seed: int = 4) -> Any:
    """Run the test once a watch is open."""
    sim = Simulation(seed)

    def run() -> Any:
        agent = Agent(sim, FIRST)
        follower = Follower(sim)
        follower.discovery.start()
        follower.wait_until(lambda: len(agent.requests) == 2, 100_000)
        return main(follower, agent)

    result = sim.run("main", run)
    assert sim.crashes == []
    return result


def test_a_move_before_the_start_leaves_one_follower() -> None:
    sim = Simulation(4)

    def run() -> None:
        agents, follower = [Agent(sim, FIRST), Agent(sim, SECOND)], Follower(sim)
        follower.discovery.change_address(address(SECOND))
        follower.discovery.start()
        follower.wait_until(lambda: len(agents[1].requests) == 2, 100_000)
        assert [len(agent.streams) for agent in agents] == [0, 1]

    sim.run("main", run)


@pytest.mark.parametrize("times", [1, 2])
@pytest.mark.parametrize("name", FAULTS)
def test_a_change_is_in_force_in_time_whatever_its_call_meets(name: str, times: int) -> None:
    def main(follower: Follower, agent: Agent) -> None:
        agent.fault, agent.faulty_answers = FAULTS[name], times
        agent.drain()
        follower.wait_until(lambda: follower.hosts.revision == agent.revision, CHANGE_LIMIT_US)
        assert follower.applied_lists == [(5, ["h0", "h1"]), (6, ["h1"])]
        follower.wait_until(lambda: agent.faulty_answers == 0, CHANGE_LIMIT_US)
        follower.world.sleep_until(follower.world.now_us() + 3_000_000)
        agent.drain("h1")
        follower.wait_until(lambda: follower.hosts.revision == agent.revision, 50_000)  # and updates continue as before

    run_with_watch(main)


def test_an_agent_whose_every_answer_comes_in_single_bytes_is_heard_in_time() -> None:
    """With half a second for reading a whole answer, none of its answers was ever accepted."""

    def main(follower: Follower, agent: Agent) -> None:
        agent.fault, agent.faulty_answers = a.bytewise(3_000), 1 << 30
        for host in ("h0", "h1"):
            agent.drain(host)
            follower.wait_until(lambda: follower.hosts.revision == agent.revision, CHANGE_LIMIT_US)

    run_with_watch(main)


def test_a_watch_that_falls_silent_then_an_endless_answer_then_a_slow_one_stay_inside_the_clock() -> None:
    def main(follower: Follower, agent: Agent) -> None:
        follower.wait_until(lambda: len(agent.requests) == 3, 1_100_000)  # a watch has just begun
        faults = [a.silent, a.endless_body]
        agent.fault, agent.faulty_answers = lambda *call: faults.pop(0)(*call), 2
        agent.slow = a.bytewise(8_000)  # every answer from then on: a prompt one to a further call would be soon enough
        agent.fault_met.wait()
        agent.drain()
        took_us = follower.wait_until(lambda: follower.hosts.revision == agent.revision, CHANGE_LIMIT_US)
        assert took_us > 4_000_000 and not faults  # the worst case

    run_with_watch(main)


@pytest.mark.parametrize("name", FAULTS)
def test_a_move_while_a_call_meets_its_fault_is_followed_at_once(name: str) -> None:
    def main(follower: Follower, agent: Agent) -> None:
        second = Agent(follower.sim, SECOND, revision=8, hosts=3)
        agent.fault, agent.faulty_answers = FAULTS[name], 1 << 30
        agent.drain()
        agent.fault_met.wait()
        follower.discovery.change_address(address(SECOND))
        follower.wait_until(lambda: follower.hosts.revision == 8, 100_000)
        asked = len(agent.requests)
        agent.faulty_answers = 0
        agent.drain("h1")
        second.drain("h2")
        follower.wait_until(lambda: follower.hosts.revision == 9, 50_000)
        follower.world.sleep_until(follower.world.now_us() + CHANGE_LIMIT_US)
        assert len(agent.requests) == asked  # the old address is not asked again, and its late answers are ignored
        assert follower.hosts.revision == 9 and follower.applied_lists[-1] == (9, ["h0", "h1"])

    run_with_watch(main)


@pytest.mark.parametrize("name", FAULTS)
@pytest.mark.parametrize("back", [True, False])
def test_a_new_address_that_meets_its_faults_is_heard_in_time_and_so_is_the_way_back(name: str, back: bool) -> None:
    def main(follower: Follower, agent: Agent) -> None:
        second = Agent(follower.sim, SECOND, revision=8)
        second.fault, second.faulty_answers = FAULTS[name], 1 << 30 if back else 1
        follower.discovery.change_address(address(SECOND))
        second.fault_met.wait()
        if back:
            agent.revision = 8
            follower.discovery.change_address(address(FIRST))
        follower.wait_until(lambda: follower.hosts.revision == 8, MOVE_LIMIT_US)

    run_with_watch(main)


@pytest.mark.parametrize("path_fault", ["refused", "hanging", "cuts"])
@pytest.mark.parametrize("down_us", [150_000, 3_000_000])
def test_an_agent_that_cannot_be_connected_to_is_heard_within_a_drains_grace_of_its_return(
    path_fault: str, down_us: int
) -> None:
    def main(follower: Follower, agent: Agent) -> None:
        path = follower.sim.network.path("node", agent.world.name)
        setattr(path, path_fault, 1)
        for stream in agent.streams:
            stream.abort()
        follower.world.sleep_until(follower.world.now_us() + down_us)
        agent.drain()
        if path_fault == "cuts":
            follower.sim.network.restore("node", agent.world.name)
        else:
            setattr(path, path_fault, 0)
        assert follower.wait_until(lambda: follower.hosts.revision == 6, 1_000_000) < 250_000

    run_with_watch(main)


@pytest.mark.parametrize("answered", [True, False])
def test_a_connection_for_want_of_descriptors_is_tried_on_and_never_without_pause(
    answered: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    def main(follower: Follower, agent: Agent) -> None:
        connect_times: list[int] = []
        connect = follower.world.connect

        def fail_to_connect(host: str, port: int, deadline_us: int, essential: bool = False) -> Stream:
            connect_times.append(follower.sim.now_us())
            raise ConnectReset("Too many open files")  # as RealWorld raises it: at once, without waiting

        monkeypatch.setattr(follower.world, "connect", fail_to_connect)
        if answered:  # with garbage: the connection is closed before another is opened
            agent.fault, agent.faulty_answers = a.with_body(b"{"), 1
        for stream in [] if answered else agent.streams:
            stream.abort()
        follower.world.sleep_until(follower.world.now_us() + 2_000_000)
        assert 2 <= len(connect_times) <= 102 and follower.hosts.revision == 5 and len(follower.hosts) == 2
        agent.drain()
        monkeypatch.setattr(follower.world, "connect", connect)
        assert follower.wait_until(lambda: follower.hosts.revision == 6, CHANGE_LIMIT_US) < 50_000

    run_with_watch(main)


def test_an_answer_that_comes_once_more_and_late_changes_nothing_and_hides_nothing() -> None:
    def main(follower: Follower, agent: Agent) -> None:
        old_answer = plain(200, agent.body())
        agent.extra_answers = [old_answer, old_answer]
        agent.drain()
        follower.wait_until(lambda: follower.hosts.revision == 6 and not agent.extra_answers, 100_000)
        follower.world.sleep_until(follower.world.now_us() + 20_000)
        agent.drain("h1")
        assert follower.wait_until(lambda: follower.hosts.revision == 7, CHANGE_LIMIT_US) < 250_000
        assert [revision for revision, _ in follower.applied_lists] == [5, 6, 7]  # never an older revision again

    run_with_watch(main)


@pytest.mark.parametrize("lost", [True, False])
def test_a_revision_that_goes_back_after_a_restart_of_discovery_is_taken(lost: bool) -> None:
    """Taken for older than the list, it was ignored for ever."""

    def main(follower: Follower, agent: Agent) -> None:
        agent.revision, agent.phases["h1"] = 2, "Terminating"
        if lost:
            for stream in agent.streams:
                stream.abort()
        assert follower.wait_until(lambda: follower.hosts.revision == 2, CHANGE_LIMIT_US) < (
            100_000 if lost else 1_200_000
        )
        assert follower.applied_lists[-1] == (2, ["h0"])
        agent.drain()
        follower.wait_until(lambda: follower.applied_lists[-1] == (3, []), 50_000)

    run_with_watch(main)


def test_a_list_without_hosts_holds_only_if_it_is_newer_and_told_for_seconds() -> None:
    def main(follower: Follower, agent: Agent) -> None:
        hosts, agent.phases = agent.phases, {}
        agent.revision = 6
        follower.world.sleep_until(follower.world.now_us() + timeouts.EMPTY_LIST_US - 500_000)
        assert len(follower.hosts) == 2  # possibly an answer that lost its entries
        agent.phases, agent.revision = hosts, 7
        follower.wait_until(lambda: follower.hosts.revision == 7, 250_000)
        agent.phases = {}
        follower.world.sleep_until(follower.world.now_us() + 2 * CHANGE_LIMIT_US)
        assert len(follower.hosts) == 2  # the same revision had hosts
        agent.revision = 1
        follower.world.sleep_until(follower.world.now_us() + 2 * CHANGE_LIMIT_US)
        assert len(follower.hosts) == 2  # discovery may have restarted and know no hosts yet
        agent.revision = 8
        follower.wait_until(lambda: not len(follower.hosts), CHANGE_LIMIT_US)
        agent.phases, agent.revision = hosts, 9
        follower.wait_until(lambda: len(follower.hosts) == 2, 250_000)

    run_with_watch(main)


def test_changes_in_place_of_the_whole_list_are_not_taken_for_it() -> None:
    def main(follower: Follower, agent: Agent) -> None:
        agent.complete, agent.revision, agent.phases = False, 6, {"h9": "Ready"}
        for stream in agent.streams:
            stream.abort()
        follower.world.sleep_until(follower.world.now_us() + 500_000)
        assert follower.hosts.revision == 5 and len(follower.hosts) == 2
        agent.complete = True
        follower.wait_until(lambda: follower.applied_lists[-1] == (6, ["h9"]), 250_000)

    run_with_watch(main)


@pytest.mark.parametrize(
    "agent_fault", ["no wait", "garbage by turns", "older by turns", "no host", "refused", "reset"]
)
def test_an_agent_that_answers_at_once_and_brings_nothing_is_not_asked_without_pause(agent_fault: str) -> None:
    def main(follower: Follower, agent: Agent) -> None:
        if agent_fault == "no wait":
            agent.long_polls = False
        elif agent_fault == "no host":
            agent.fixed_body = b'{"revision":9,"complete":true,"members":[]}'
        elif agent_fault == "refused":
            follower.sim.network.path("node", agent.world.name).refused = 1
        else:
            fault = {
                "garbage by turns": a.with_body(b"{"),
                "reset": a.reset,
                "older by turns": a.with_body(b'{"revision":1,"complete":false,"members":[]}'),
            }[agent_fault]

            def alternate(agent: Agent, stream: Stream, answer: bytes) -> None:
                if b"index" in agent.requests[-1][1] or agent_fault == "reset":
                    fault(agent, stream, answer)
                else:
                    stream.write(answer)

            agent.fault, agent.faulty_answers = alternate, 1 << 30
        for stream in agent.streams:
            stream.abort()
        follower.world.sleep_until(follower.world.now_us() + 100_000)
        asked, switches = len(agent.requests), follower.sim.scheduler.switches
        follower.world.sleep_until(follower.world.now_us() + 1_000_000)
        assert len(agent.requests) - asked <= 102
        assert follower.sim.scheduler.switches - switches < 4_000

    run_with_watch(main)


@pytest.mark.parametrize("hosts", [1_024, 4_096, 10_000])
def test_a_long_list_comes_whole_also_in_small_pieces(hosts: int) -> None:
    def main(follower: Follower, agent: Agent) -> None:
        agent.phases = {f"h{number}": "Ready" for number in range(hosts)}
        agent.drain()

        def in_chunks(agent: Agent, stream: Stream, answer: bytes) -> None:
            body = answer.partition(b"\r\n\r\n")[2]
            stream.write(a.ENDLESS)
            for at in range(0, len(body), 1_000):
                stream.write(http1.write_chunk(body[at : at + 1_000]))
            stream.write(http1.LAST_CHUNK)

        agent.fault, agent.faulty_answers = in_chunks, 1
        follower.wait_until(lambda: b"index=6&" in agent.requests[-1][1], CHANGE_LIMIT_US)
        assert len(follower.hosts) == hosts and all(b"index" in target for _, target in agent.requests[1:])

    run_with_watch(main)


def test_an_old_list_is_taken_only_as_the_answer_to_a_call_of_its_own() -> None:
    hosts = HostList({})
    one, two = Member("one"), Member("two")
    assert hosts.apply(ListAnswer(7, True, (one, two)))
    for older in (ListAnswer(6, True, (one,)), ListAnswer(5, False, (Member("one", phase="Gone"),))):
        assert not hosts.apply(older) and hosts.rejection and hosts.revision == 7
    assert not hosts.apply(ListAnswer(6, False), requested_full=True)
    assert not hosts.apply(ListAnswer(6, True, (Member("one", phase="Gone"),)), requested_full=True)
    assert hosts.apply(ListAnswer(6, True, (one,)), requested_full=True) and not hosts.rejection and len(hosts) == 1


def test_the_sums_of_waits_stay_inside_the_clocks_of_the_list() -> None:
    t = timeouts
    call_us = t.AGENT_RESPONSE_US + t.LIST_BODY_US
    assert t.WATCH_WAIT_US + t.AGENT_RESPONSE_US + 2 * call_us + t.AGENT_RETRY_PAUSE_US < CHANGE_LIMIT_US
    detected_us = t.WATCH_WAIT_US + t.AGENT_RESPONSE_US
    # A slow answer sent before the change, an unresponsive watch, a slow answer.
    assert t.LIST_BODY_US + detected_us + call_us < CHANGE_LIMIT_US
    assert detected_us + call_us + t.EMPTY_LIST_US + t.LIST_RECHECK_PAUSE_US + call_us < CHANGE_LIMIT_US
    assert call_us <= t.MOVED_ANSWER_US and t.AGENT_MOVE_WAIT_US > 0
    assert t.AGENT_MOVE_WAIT_US + t.LIST_RECHECK_PAUSE_US + t.MOVED_ANSWER_US <= MOVE_LIMIT_US
    assert t.AGENT_RESPONSE_US + t.AGENT_RETRY_PAUSE_US < 250_000

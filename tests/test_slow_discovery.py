"""An agent of discovery that is slow, but not down: what it has is learned within the time limit for changes."""

from __future__ import annotations

import pytest

from tests import agent_standin as a
from tests.agent_standin import Agent, Fault
from tests.test_node_discovery import CHANGE_LIMIT_US, MOVE_LIMIT_US, SECOND, Follower, address, run_with_watch
from yardspindle.core.request import timeouts
from yardspindle.node.discovery import MAX_UNFINISHED_BYTES, RESPONSE_LIMITS
from yardspindle.protocol import http1
from yardspindle.runtime.world import Stream

MIN_GRACE_US = 250_000  # the shortest drain grace of the known deployments
DELAYS_US = (100_000, 180_000, 300_000, 500_000, 1_000_000, 2_000_000, 2_400_000, 3_000_000, 4_000_000, 5_000_000)
DRAINS = 9
DRAIN_INTERVAL_US = 1_370_000  # so that the drains come in different phases of the agent's calls
SETTLE_US = 7_000_000  # until the calls overlap as they do from then on
POLL_US = 5_000
MAX_CONNECTIONS = timeouts.MAX_LATE_CALLS + 1
MAX_CALLS_A_SECOND = 5  # as of an agent that is down


def connections(follower: Follower) -> int:
    """The number of connections that the follower has open."""
    return sum(stream.world is follower.world for stream in follower.sim.network.streams)


def calls_a_second(agent: Agent, since_us: int, until_us: int) -> float:
    return sum(since_us <= at < until_us for at, _ in agent.requests) / (until_us - since_us) * 1e6


def times_to_learn(follower: Follower, agent: Agent, slow: Fault) -> list[int]:
    """Drain one host after another at a slow agent; how long each drain took to be in force."""
    agent.phases = {f"h{number}": "Ready" for number in range(DRAINS + 1)}
    agent.revision += 1
    agent.changed_at = dict.fromkeys(agent.phases, agent.revision)
    follower.wait_until(lambda: len(follower.hosts) == DRAINS + 1, CHANGE_LIMIT_US)
    agent.slow = slow
    began_us = follower.world.now_us()
    drain_times = {f"h{number}": began_us + SETTLE_US + number * DRAIN_INTERVAL_US for number in range(DRAINS)}
    learned: dict[str, int] = {}
    while follower.world.now_us() < max(drain_times.values()) + CHANGE_LIMIT_US + POLL_US:
        now_us = follower.world.now_us()
        for host, drained_us in drain_times.items():
            if now_us >= drained_us and agent.phases[host] == "Ready":
                agent.drain(host)
        serving = follower.applied_lists[-1][1]
        for host in drain_times.keys() - learned.keys() - set(serving):
            learned[host] = now_us - drain_times[host]
        assert not learned.keys() & set(serving), "a drain was taken back"
        assert connections(follower) <= MAX_CONNECTIONS
        follower.world.sleep_until(now_us + POLL_US)
    assert calls_a_second(agent, began_us, follower.world.now_us()) <= MAX_CALLS_A_SECOND
    return [learned.get(host, 1 << 60) for host in drain_times]


@pytest.mark.parametrize("as_written", [False, True])
@pytest.mark.parametrize("delay_us", DELAYS_US)
def test_a_drain_is_learned_in_time_from_an_agent_whose_answers_come_late(delay_us: int, as_written: bool) -> None:
    """Each call was given up after 0.2 s: an agent that needed longer was never heard again (review/6)."""

    def main(follower: Follower, agent: Agent) -> None:
        assert max(times_to_learn(follower, agent, a.late(delay_us, as_written))) < CHANGE_LIMIT_US

    run_with_watch(main)


@pytest.mark.parametrize("late_us", [0, 300_000])
@pytest.mark.parametrize("tells_changes", [False, True])
@pytest.mark.parametrize("span_us", [300_000, 1_000_000, 2_400_000, 4_000_000, 4_700_000])
def test_a_drain_is_learned_in_time_from_an_agent_whose_answers_come_in_pieces(
    span_us: int, tells_changes: bool, late_us: int
) -> None:
    """Each answer was cut off 2 s after its first piece, for good (review/8)."""

    def main(follower: Follower, agent: Agent) -> None:
        agent.tells_changes = tells_changes
        assert max(times_to_learn(follower, agent, a.in_pieces(span_us, late_us))) < CHANGE_LIMIT_US

    run_with_watch(main)


def test_a_drain_is_learned_in_time_from_an_agent_that_writes_a_list_for_five_seconds() -> None:
    """With nine late calls at most, the oldest ones were cut off before they ended."""

    def main(follower: Follower, agent: Agent) -> None:
        assert max(times_to_learn(follower, agent, a.in_pieces(5_000_000))) < CHANGE_LIMIT_US

    run_with_watch(main)


@pytest.mark.parametrize("slow", [a.late(3_000_000), a.in_pieces(3_000_000), a.in_pieces(1_000_000, 2_000_000)])
def test_a_slow_agent_that_becomes_sound_is_followed_at_once(slow: Fault) -> None:
    """Calls must go on to be made while the answers of late ones are waited for."""

    def main(follower: Follower, agent: Agent) -> None:
        agent.slow = slow
        follower.world.sleep_until(follower.world.now_us() + SETTLE_US)
        agent.slow = None
        agent.drain()
        late_us = timeouts.AGENT_RESPONSE_US + timeouts.LIST_BODY_US + timeouts.AGENT_RETRY_PAUSE_US
        assert follower.wait_until(lambda: follower.hosts.revision == 6, CHANGE_LIMIT_US) < late_us + 50_000
        follower.world.sleep_until(follower.world.now_us() + 100_000)
        assert connections(follower) == 1  # nothing more is expected of older calls
        agent.drain("h1")
        assert follower.wait_until(lambda: follower.hosts.revision == 7, CHANGE_LIMIT_US) < 50_000

    run_with_watch(main)


def test_an_agent_that_answered_late_and_went_down_is_heard_within_a_drains_grace_of_its_return() -> None:
    def main(follower: Follower, agent: Agent) -> None:
        agent.slow = a.late(2_000_000)
        follower.world.sleep_until(follower.world.now_us() + SETTLE_US)
        agent.slow = a.silent
        follower.world.sleep_until(follower.world.now_us() + 2 * CHANGE_LIMIT_US)
        agent.slow = None
        agent.drain()
        assert follower.wait_until(lambda: follower.hosts.revision == 6, CHANGE_LIMIT_US) < MIN_GRACE_US

    run_with_watch(main)


@pytest.mark.parametrize("slow", [a.silent, a.endless_head, a.endless_body, a.flood], ids=lambda slow: slow.__name__)
def test_answers_that_never_end_take_few_connections_and_calls(slow: Fault) -> None:
    def main(follower: Follower, agent: Agent) -> None:
        agent.slow = slow
        began_us = follower.world.now_us()
        for _ in range(100 if slow is not a.flood else 10):
            assert connections(follower) <= MAX_CONNECTIONS
            follower.world.sleep_until(follower.world.now_us() + 150_000)
        if slow is not a.flood:  # it fails at once
            assert calls_a_second(agent, began_us, follower.world.now_us()) <= MAX_CALLS_A_SECOND
        agent.slow = None
        agent.drain()
        follower.wait_until(lambda: follower.hosts.revision == 6, CHANGE_LIMIT_US)

    run_with_watch(main)


def test_long_answers_that_never_end_take_little_memory() -> None:
    """Each may be as long as the longest list; all that are being read may take twice as much together."""

    def endless(agent: Agent, stream: Stream, answer: bytes) -> None:
        stream.write(a.ENDLESS)
        while True:
            stream.write(http1.write_chunk(b" " * 50_000))
            agent.sleep(50_000)

    def main(follower: Follower, agent: Agent) -> None:
        agent.slow = endless
        most = 0
        for _ in range(100):
            follower.world.sleep_until(follower.world.now_us() + 150_000)
            network = follower.sim.network
            most = max(most, sum(s.sent_bytes for s in network.streams if s.world is agent.world))
        assert RESPONSE_LIMITS.body < most < 1.1 * MAX_UNFINISHED_BYTES  # some bytes are on their way
        agent.slow = None
        agent.drain()
        follower.wait_until(lambda: follower.hosts.revision == 6, CHANGE_LIMIT_US)

    run_with_watch(main)


def test_the_first_list_is_learned_from_an_agent_that_is_slow_from_the_start() -> None:
    def main(follower: Follower, agent: Agent) -> None:
        second = Agent(follower.sim, SECOND, revision=9)
        second.slow = a.late(3_500_000)
        moved_us = follower.world.now_us()
        follower.discovery.change_address(address(SECOND))  # begins as at a start, with the full list
        follower.wait_until(lambda: follower.hosts.revision == 9, MOVE_LIMIT_US)
        follower.world.sleep_until(moved_us + 3_600_000)
        second.drain()
        follower.wait_until(lambda: follower.applied_lists[-1] == (10, ["h1"]), CHANGE_LIMIT_US)

    run_with_watch(main)


@pytest.mark.parametrize("delay_us", [300_000, 1_000_000, 2_400_000])
def test_a_start_at_a_slow_agent_takes_one_full_list(delay_us: int) -> None:
    """All full lists that were requested meanwhile came, too; with 3,200 hosts each is half a megabyte."""

    def main(follower: Follower, agent: Agent) -> None:
        second = Agent(follower.sim, SECOND, revision=9, hosts=200)
        second.slow, second.tells_changes = a.late(delay_us), True
        follower.discovery.change_address(address(SECOND))
        follower.wait_until(lambda: follower.hosts.revision == 9, MOVE_LIMIT_US)
        follower.world.sleep_until(follower.world.now_us() + 50_000)
        second.drain()  # while full lists that were requested before would be on their way
        follower.wait_until(lambda: "h0" not in follower.applied_lists[-1][1], CHANGE_LIMIT_US)
        follower.world.sleep_until(follower.world.now_us() + CHANGE_LIMIT_US)
        assert sum(stream.sent_bytes for stream in second.streams) < 1.5 * len(second.body())

    run_with_watch(main)


@pytest.mark.parametrize("delay_us", [300_000, 1_000_000, 2_000_000, 3_000_000])
def test_a_slow_agent_at_a_new_address_that_counts_from_below_is_in_force_in_time(delay_us: int) -> None:
    def main(follower: Follower, agent: Agent) -> None:
        second = Agent(follower.sim, SECOND, revision=2, hosts=3)
        second.slow = a.late(delay_us)
        follower.discovery.change_address(address(SECOND))
        follower.wait_until(lambda: follower.hosts.revision == 2, MOVE_LIMIT_US)
        assert follower.applied_lists[-1] == (2, ["h0", "h1", "h2"])

    run_with_watch(main)


def test_a_move_in_the_moment_in_which_a_call_becomes_late_ends_all_calls() -> None:
    """The task that makes the calls had been woken, and cut off a call that the move had ended: KeyError."""

    def main(follower: Follower, agent: Agent) -> None:
        second = Agent(follower.sim, SECOND, revision=8)
        agent.slow = a.silent
        follower.world.sleep_until(follower.world.now_us() + 2_000_000)
        session = follower.discovery._session
        assert session is not None
        period_us = timeouts.POLL_WAIT_US + timeouts.AGENT_RESPONSE_US + timeouts.AGENT_RETRY_PAUSE_US
        follower.world.sleep_until(session._schedule.next_event_us() + period_us)  # its timer is set before the call's
        follower.discovery.change_address(address(SECOND))
        follower.wait_until(lambda: follower.hosts.revision == 8, 100_000)
        follower.world.sleep_until(follower.world.now_us() + 100_000)
        assert connections(follower) == 1 and second.requests

    run_with_watch(main)  # asserts that no task has failed


def test_an_answer_to_an_older_call_takes_nothing_back() -> None:
    def main(follower: Follower, agent: Agent) -> None:
        delays_us = [3_000_000]  # of the watch alone
        agent.slow = lambda *call: a.late(delays_us.pop() if delays_us else 0)(*call)
        follower.world.sleep_until(follower.world.now_us() + 1_050_000)  # it waits in vain, and its answer is late
        agent.drain()
        follower.wait_until(lambda: follower.hosts.revision == 6, CHANGE_LIMIT_US)
        follower.world.sleep_until(follower.world.now_us() + CHANGE_LIMIT_US)
        assert follower.applied_lists == [(5, ["h0", "h1"]), (6, ["h1"])] and not follower.hosts.rejection

    run_with_watch(main)


def test_an_answer_to_a_newer_call_that_is_older_than_the_list_takes_nothing_back() -> None:
    """The late watch tells the drain, and then answers come of calls that were made before the drain."""

    def main(follower: Follower, agent: Agent) -> None:
        def slow(agent: Agent, stream: Stream, answer: bytes) -> None:
            a.late(2_000_000, as_written=agent.requests[-1][1].endswith(b"wait=1000"))(agent, stream, answer)

        agent.slow = slow
        follower.world.sleep_until(follower.world.now_us() + 2_850_000)
        agent.drain()
        follower.wait_until(lambda: follower.hosts.revision == 6, 250_000)
        late = connections(follower)
        follower.world.sleep_until(follower.world.now_us() + 2_500_000)
        assert late > 2 and follower.applied_lists == [(5, ["h0", "h1"]), (6, ["h1"])]
        assert all(b"index=" in target for _, target in agent.requests[1:])  # no doubt that needs the full list

    run_with_watch(main)


def test_a_restart_of_discovery_ends_the_calls_to_the_one_before() -> None:
    """Its revisions begin again from below: an answer of before, with a higher one, would be taken for newer."""

    def main(follower: Follower, agent: Agent) -> None:
        agent.slow = a.late(1_500_000)
        follower.world.sleep_until(follower.world.now_us() + 2_000_000)
        agent.drain()  # told by calls that are late
        follower.world.sleep_until(follower.world.now_us() + 1_000_000)
        agent.slow, agent.revision, agent.phases = None, 2, {"h7": "Ready"}
        follower.wait_until(lambda: follower.hosts.revision == 2, CHANGE_LIMIT_US)
        follower.world.sleep_until(follower.world.now_us() + CHANGE_LIMIT_US)
        assert follower.applied_lists[-1] == (2, ["h7"])

    run_with_watch(main)


def test_a_late_call_is_spared_for_its_descriptor_and_the_oldest_one_stays() -> None:
    def main(follower: Follower, agent: Agent) -> None:
        assert not follower.discovery.close_spare_call()
        agent.slow = a.late(4_000_000)
        follower.world.sleep_until(follower.world.now_us() + 4_500_000)
        before = connections(follower)
        assert before > 2 and follower.discovery.close_spare_call() and connections(follower) == before - 1
        while follower.discovery.close_spare_call():
            pass
        agent.drain()
        follower.wait_until(lambda: follower.hosts.revision == 6, 2 * CHANGE_LIMIT_US)

    run_with_watch(main)


def test_the_time_limits_leave_five_seconds_to_an_answer() -> None:
    t = timeouts
    late_us = t.AGENT_RESPONSE_US + t.LIST_BODY_US + t.AGENT_RETRY_PAUSE_US
    slow_watch_us = t.SLOW_WATCH_WAIT_US + t.AGENT_RESPONSE_US + t.AGENT_RETRY_PAUSE_US
    assert max(late_us, slow_watch_us) <= t.CALL_SPACING_US and t.CALL_SPACING_US + 5_000_000 < CHANGE_LIMIT_US
    shortest_step_us = t.LIST_BODY_US + t.AGENT_RETRY_PAUSE_US
    assert t.MAX_LATE_CALLS * shortest_step_us >= t.ANSWER_LIMIT_US >= CHANGE_LIMIT_US

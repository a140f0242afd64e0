"""Discovery at a new address whose revisions are lower: it may lag behind, or count from a new start."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from tests.agent_standin import Agent
from tests.test_node_discovery import FAULTS, MOVE_LIMIT_US, SECOND, Follower, address, run_with_watch
from yardspindle.core.hosts.host_list import HostList, ListAnswer, Member
from yardspindle.core.request import timeouts

MIN_GRACE_US = 250_000


def test_a_new_address_that_lags_is_believed_in_time_and_undoes_no_drain_that_was_told() -> None:
    """Once the older list was accepted, a drained host got requests again, though its drain had been announced."""

    def main(follower: Follower, agent: Agent) -> None:
        agent.drain()
        follower.wait_until(lambda: follower.hosts.revision == 6, 50_000)
        second = Agent(follower.sim, SECOND, revision=5)
        follower.discovery.change_address(address(SECOND))
        took_us = follower.wait_until(lambda: follower.hosts.revision == 5, MOVE_LIMIT_US)
        assert took_us > timeouts.AGENT_MOVE_WAIT_US and follower.applied_lists[-1][1] == ["h1"]
        second.drain("h1")
        follower.wait_until(lambda: follower.applied_lists[-1] == (6, ["h0"]), 50_000)  # its next list counts again

    run_with_watch(main)


@pytest.mark.parametrize(
    ("name", "times"),
    [(name, times) for name in FAULTS for times in (1, 2) if times == 1 or name != "the body, endless"],
)  # each endless body takes 2 s
def test_a_new_address_that_counts_from_below_is_in_force_in_time_whatever_its_calls_meet(
    name: str, times: int
) -> None:
    def main(follower: Follower, agent: Agent) -> None:
        second = Agent(follower.sim, SECOND, revision=2, hosts=3)
        second.fault, second.faulty_answers = FAULTS[name], times
        follower.discovery.change_address(address(SECOND))
        follower.wait_until(lambda: follower.hosts.revision == 2, MOVE_LIMIT_US)
        assert follower.applied_lists == [(5, ["h0", "h1"]), (2, ["h0", "h1", "h2"])]
        second.drain("h2")
        follower.wait_until(
            lambda: follower.hosts.revision == 3, 50_000 if not second.faulty_answers else MOVE_LIMIT_US
        )

    run_with_watch(main)


@pytest.mark.parametrize("name", FAULTS)
@pytest.mark.parametrize(
    "at_us", [timeouts.AGENT_MOVE_WAIT_US - 1_000, timeouts.AGENT_MOVE_WAIT_US, timeouts.AGENT_MOVE_WAIT_US + 1_000]
)
def test_a_call_that_meets_a_fault_just_when_a_new_address_is_to_be_believed_is_made_again_in_time(
    at_us: int, name: str
) -> None:
    def main(follower: Follower, agent: Agent) -> None:
        second = Agent(follower.sim, SECOND, revision=2)
        follower.discovery.change_address(address(SECOND))
        follower.world.sleep_until(follower.world.now_us() + at_us)
        second.fault, second.faulty_answers = FAULTS[name], 1
        follower.wait_until(lambda: follower.hosts.revision == 2, MOVE_LIMIT_US - at_us)

    run_with_watch(main)


@pytest.mark.parametrize("gone", [False, True])
@pytest.mark.parametrize("later_us", [0, 1_000, 90_000, 1_000_000, 1_690_000, 1_800_000, 2_500_000])
def test_a_drain_that_a_new_address_writes_holds_at_once_though_its_list_is_older(later_us: int, gone: bool) -> None:
    """The drain counts as announced once written: until the list was accepted 1.7 s later, the host got requests."""

    def main(follower: Follower, agent: Agent) -> None:
        second = Agent(follower.sim, SECOND, revision=2)
        follower.discovery.change_address(address(SECOND))
        follower.world.sleep_until(follower.world.now_us() + later_us)
        second.drain()
        if gone:
            del second.phases["h0"]
        assert follower.wait_until(lambda: follower.applied_lists[-1][1] == ["h1"], MOVE_LIMIT_US) < MIN_GRACE_US
        follower.wait_until(lambda: follower.hosts.revision == second.revision, MOVE_LIMIT_US)
        assert follower.applied_lists[-1][1] == ["h1"]

    run_with_watch(main)


def test_a_list_without_hosts_at_a_new_address_is_not_believed_for_what_the_old_one_said() -> None:
    hosts = HostList({})
    assert hosts.apply(ListAnswer(7, True, (Member("one"),)), 0, requested_full=True)
    assert not hosts.apply(ListAnswer(8, True), 1, requested_full=True)
    hosts.discovery_moved(timeouts.EMPTY_LIST_US)
    assert not hosts.apply(ListAnswer(8, True), timeouts.EMPTY_LIST_US + 1, requested_full=True) and len(hosts) == 1
    assert hosts.apply(ListAnswer(8, True), 2 * timeouts.EMPTY_LIST_US + 1, requested_full=True) and not len(hosts)
    assert (
        timeouts.EMPTY_LIST_US + timeouts.LIST_RECHECK_PAUSE_US + timeouts.AGENT_RESPONSE_US + timeouts.LIST_BODY_US
        < MOVE_LIMIT_US
    )


def test_an_older_list_just_after_a_move_ends_hosts_and_does_nothing_else() -> None:
    hosts = HostList({})
    current = (
        Member("started again", up_since_ms=9.0),
        Member("ready"),
        Member("drains", phase="Terminating"),
        Member("absent", up_since_ms=8.0),
        Member("not there yet", up_since_ms=8.5),
    )
    assert hosts.apply(ListAnswer(7, True, current), 0)
    hosts.discovery_moved(1)
    older = ListAnswer(
        3,
        True,
        (
            Member("started again", phase="Terminating", up_since_ms=8.0),
            Member("drains"),
            Member("ready", phase="Terminating"),
            Member("more"),
        ),
    )
    assert not hosts.apply(older, 2) and hosts.revision == 7
    assert hosts.apply(older, 2, requested_full=True) and hosts.rejection and hosts.revision == 7 and not hosts.started
    assert [entry.state.name for entry in hosts.members().entries] == [
        "SERVING",
        "DRAINING",
        "DRAINING",
        "DRAINING",
        "SERVING",
    ]
    assert not hosts.apply(older, 2, requested_full=True)
    restored = ListAnswer(3, True, tuple(replace(member, phase="Ready") for member in (*current, Member("more"))))
    assert hosts.apply(restored, 2, requested_full=True)  # the previous answer had lost entries: it leaves no trace
    assert [entry.state.name for entry in hosts.members().entries] == [
        "SERVING",
        "SERVING",
        "DRAINING",
        "SERVING",
        "SERVING",
    ]

"""A drain just before, at and just after a fault at every phase of a watch: it is applied within the time limit."""

from __future__ import annotations

import pytest

from tests import agent_standin as a
from tests.agent_standin import Agent, Fault
from tests.test_node_discovery import CHANGE_LIMIT_US, Follower, run_with_watch
from yardspindle.core.request import timeouts
from yardspindle.runtime.world import Stream

STEP_US = 50_000
DRAIN_OFFSETS_US = (-3_000, 0, 3_000)  # the drain relative to the fault; the agent polls once a millisecond
REFUSED_US = 500_000
SLOW_ANSWER_US = 1_950_000
HEAD_FRACTION = 0.15  # of an answer: inside its head


def slow(agent: Agent, stream: Stream, answer: bytes) -> None:
    """The correct answer, in single bytes, over a few seconds."""
    head, _, body = answer.partition(b"\r\n\r\n")
    stream.write(head + b"\r\n\r\n")
    end_us = agent.world.now_us() + SLOW_ANSWER_US
    for at in range(len(body) - 1):
        agent.sleep(5_000)
        stream.write(body[at : at + 1])
    agent.world.sleep_until(end_us)
    stream.write(body[-1:])


def refused(agent: Agent, stream: Stream, answer: bytes) -> None:
    """The connection is reset, and new ones are refused for a while."""
    path = agent.sim.network.path("node", agent.world.name)
    path.refused += 1
    stream.abort()
    agent.sleep(REFUSED_US)
    path.refused -= 1
    agent.unreachable_until_us = agent.world.now_us()


FAULTS: dict[str, tuple[Fault, ...]] = {  # the faults of the open watch and of the calls after it
    "reset": (a.reset,),
    "closed": (a.closed,),
    "silence": (a.silent,),
    "503": (a.status(503),),
    "garbage": (a.instead(b"\x00\xff garbage\r\n\r\n"),),
    "a body of garbage": (a.with_body(b"\x00\xff"),),
    "half a head": (a.after(HEAD_FRACTION, a.silent),),
    "half a body": (a.after(0.6, a.silent),),
    "refused": (refused,),
    "slow": (slow,),
    "no end": (a.endless_body,),
    "a flood": (a.flood,),
    "silence, no end, slow": (a.silent, a.endless_body, slow),
    "silence, half a head, slow": (a.silent, a.after(HEAD_FRACTION, a.silent), slow),
    "slow, silence, slow": (slow, a.silent, slow),
    "reset, 503, garbage, refused, slow": (a.reset, a.status(503), a.with_body(b"{"), refused, slow),
}


def time_to_apply(faults: tuple[Fault, ...], phase_us: int, offset_us: int) -> int:
    """The time from a drain at a reachable discovery until it was applied."""

    def main(follower: Follower, agent: Agent) -> int:
        remaining = list(faults)

        def start_faults() -> None:
            agent.fault, agent.faulty_answers = lambda *call: remaining.pop(0)(*call), len(remaining)

        def wait_until(when_us: int) -> None:
            follower.world.sleep_until(max(when_us, follower.world.now_us()))

        fault_us = follower.world.now_us() + phase_us
        drain_us = fault_us + offset_us
        wait_until(min(fault_us, drain_us))
        for event_us, event in sorted([(fault_us, start_faults), (drain_us, agent.drain)], key=lambda row: row[0]):
            wait_until(event_us)
            event()
        wait_until(drain_us)
        follower.wait_until(lambda: follower.applied_lists[-1][1] == ["h1"], CHANGE_LIMIT_US)
        took_us = follower.sim.now_us() - max(drain_us, agent.unreachable_until_us)
        follower.wait_until(lambda: b"index=6&" in agent.requests[-1][1], CHANGE_LIMIT_US)  # and updates continue
        return took_us

    took: int = run_with_watch(main)
    return took


@pytest.mark.parametrize("name", FAULTS)
def test_a_drain_around_a_fault_in_any_phase_of_a_watch_is_in_force_in_time(name: str) -> None:
    took = {
        (phase_us, offset_us): time_to_apply(FAULTS[name], phase_us, offset_us)
        for phase_us in range(0, timeouts.WATCH_WAIT_US + timeouts.AGENT_RESPONSE_US, STEP_US)
        for offset_us in DRAIN_OFFSETS_US
    }
    worst = max(took, key=lambda moment: took[moment])
    print(
        f"worst case {took[worst]} us, with the fault {worst[0]} us into the watch and the drain {worst[1]} us after it"
    )
    assert took[worst] < CHANGE_LIMIT_US

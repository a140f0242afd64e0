"""A drain told just before, at and just after a fault, which is swept over a whole watch: in force within the clock."""

from __future__ import annotations

import pytest

from tests import agent_standin as a
from tests.agent_standin import Agent, Fault
from tests.test_node_discovery import TOLD_US, Follower, play
from yardspindle.core.request import timeouts
from yardspindle.runtime.world import Stream

STEP_US = 50_000
AROUND_US = (-3_000, 0, 3_000)  # the drain's moment, counted from the fault; the agent looks once a millisecond
REFUSED_US = 500_000
HEAD_PART = 0.15  # of an answer: inside its head


def slow(agent: Agent, stream: Stream, answer: bytes) -> None:
    """The true answer, in single bytes, in nearly all the time that one may take."""
    head, _, body = answer.partition(b"\r\n\r\n")
    stream.write(head + b"\r\n\r\n")
    end_us = agent.world.now_us() + timeouts.LIST_BODY_US - 50_000
    for at in range(len(body) - 1):
        agent.sleep(5_000)
        stream.write(body[at : at + 1])
    agent.world.sleep_until(end_us)
    stream.write(body[-1:])


def refused(agent: Agent, stream: Stream, answer: bytes) -> None:
    """The connection is reset, and new ones are refused for a while."""
    way = agent.sim.network.path("node", agent.world.name)
    way.refused += 1
    stream.abort()
    agent.sleep(REFUSED_US)
    way.refused -= 1
    agent.reached_us = agent.world.now_us()


FAULTS: dict[str, tuple[Fault, ...]] = {  # what the open watch meets, and the calls after it
    "reset": (a.reset,),
    "closed": (a.closed,),
    "silence": (a.silent,),
    "503": (a.status(503),),
    "garbage": (a.instead(b"\x00\xff garbage\r\n\r\n"),),
    "a body of garbage": (a.with_body(b"\x00\xff"),),
    "half a head": (a.after(HEAD_PART, a.silent),),
    "half a body": (a.after(0.6, a.silent),),
    "refused": (refused,),
    "slow": (slow,),
    "no end": (a.endless_body,),
    "a flood": (a.flood,),
    "silence, no end, slow": (a.silent, a.endless_body, slow),
    "silence, half a head, slow": (a.silent, a.after(HEAD_PART, a.silent), slow),
    "slow, silence, slow": (slow, a.silent, slow),
    "reset, 503, garbage, refused, slow": (a.reset, a.status(503), a.with_body(b"{"), refused, slow),
}


def swept(faults: tuple[Fault, ...], phase_us: int, around_us: int) -> int:
    """From when discovery had a drain and could be reached until it was in force."""

    def main(follower: Follower, agent: Agent) -> int:
        left = list(faults)

        def meet() -> None:
            agent.fault, agent.faulty = lambda *call: left.pop(0)(*call), len(left)

        def at(when_us: int) -> None:
            follower.world.sleep_until(max(when_us, follower.world.now_us()))

        fault_us = follower.world.now_us() + phase_us
        drain_us = fault_us + around_us
        at(min(fault_us, drain_us))
        for happens_us, happens in sorted([(fault_us, meet), (drain_us, agent.drain)], key=lambda row: row[0]):
            at(happens_us)
            happens()
        at(drain_us)
        follower.until(lambda: follower.lists[-1][1] == ["h1"], TOLD_US)
        took_us = follower.sim.now_us() - max(drain_us, agent.reached_us)
        follower.until(lambda: b"index=6&" in agent.asked[-1][1], TOLD_US)  # and it goes on
        return took_us

    took: int = play(main)
    return took


@pytest.mark.parametrize("name", FAULTS)
def test_a_drain_around_a_fault_in_any_phase_of_a_watch_is_in_force_in_time(name: str) -> None:
    took = {
        (phase_us, around_us): swept(FAULTS[name], phase_us, around_us)
        for phase_us in range(0, timeouts.WATCH_WAIT_US + timeouts.AGENT_RESPONSE_US, STEP_US)
        for around_us in AROUND_US
    }
    worst = max(took, key=lambda moment: took[moment])
    print(f"at worst {took[worst]} us, the fault {worst[0]} us into the watch and the drain {worst[1]} us from it")
    assert took[worst] < TOLD_US

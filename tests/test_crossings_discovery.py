"""Crossings of discovery's answers with resets, faults and SIGHUP at the real dispatcher."""

from __future__ import annotations

import signal
from time import monotonic

import pytest

from tests.crossing_agent import Agent, AgentCall
from tests.crossing_messages import plain
from tests.crossings import GRACE_S, Stage

MOVE_TOLD_S = 4.0


def served(stage: Stage, count: int = 1) -> None:
    """Requests one after another are read and written, and nothing is broken."""
    for at in range(count):
        client = stage.client()
        client.ask(f"served-{at}")
        stage.play(client)
        assert client.answer().status == 200
    stage.check()


def held(stage: Stage, agent: Agent) -> AgentCall:
    """A watch that the agent answers no more by itself."""
    watch = stage.until("a watch", agent.waiting)
    with stage.news:
        agent.silent, watch.open = True, False
    return watch


def whole(stage: Stage, agent: Agent) -> AgentCall:
    """A call for the whole list, which follows the reset of a watch."""
    held(stage, agent).close(reset=True)
    return stage.until(
        "a call for the whole list", lambda: next((call for call in agent.calls if call.open and call.index < 0), None)
    )


def second(stage: Stage, revision: int) -> Agent:
    """Another agent, with the hosts of the first."""
    agent = Agent(stage, stage.hosts)
    agent.revision = revision
    return agent


@pytest.mark.parametrize("call", ["watch", "whole list"])
def test_an_answer_is_taken_though_its_connection_is_reset_at_its_last_byte(stage: Stage, call: str) -> None:
    agent = stage.agent
    asked = held(stage, agent) if call == "watch" else whole(stage, agent)
    with stage.news:
        asked.open = False
        agent.hosts, agent.revision = stage.new_hosts(1, 1), agent.revision + 1
    with stage.stopped():
        asked.send(plain(200, agent.listed()))
        asked.close(reset=True)
    stage.until("a watch that knows it", agent.waiting)
    with stage.news:
        agent.silent = False
    served(stage)


MOVES = (
    "a watch waits",
    "a whole list is awaited",
    "half an answer has come",
    "the first call is reset",
    "its first answer comes by halves",
    "an answer comes in one turn",
)


@pytest.mark.parametrize("phase", MOVES)
def test_a_new_address_that_counts_from_below_is_followed_in_time(stage: Stage, phase: str) -> None:
    stage.fresh(writers=3)
    old, drained = stage.agent, stage.host("write")
    with stage.news:
        old.revision += 100
    new = second(stage, 2)
    new.silent = True
    asked = whole(stage, old) if phase == "a whole list is awaited" else held(stage, old)
    stage.configure(new)
    with stage.stopped():
        begun = monotonic()
        stage.signal(signal.SIGHUP)
        if phase == "half an answer has come":
            asked.send(plain(200, old.listed())[:40])
        elif phase == "an answer comes in one turn":
            asked.send(plain(200, old.listed()))
    drained.phase = "Terminating"
    first = stage.until("a call", lambda: next((call for call in new.calls if call.open), None))
    with stage.news:
        new.silent, word = False, plain(200, new.listed())
        if phase in ("the first call is reset", "its first answer comes by halves"):
            first.open = False
    if phase == "the first call is reset":
        first.close(reset=True)
    elif phase == "its first answer comes by halves":
        first.send(word[:40])
        first.send(word[40:])
    stage.until("another call for the whole list", lambda: new.asked > 2 and all(c.index < 0 for c in new.calls))
    with stage.news:
        stage.ledger.drains[drained.name] = monotonic()
        stage.agent = new
    stage.at(monotonic() + GRACE_S + 0.1)
    served(stage, 4)
    stage.until("a watch of its list", new.waiting)
    assert monotonic() - begun < MOVE_TOLD_S + stage.ledger.stopped(begun, monotonic())
    assert not old.waiting()


@pytest.mark.parametrize("how", ["one turn", "one after another", "there and back", "bad, then good"])
def test_sighup_twice_leaves_the_last_address(stage: Stage, how: str) -> None:
    old, other, last = stage.agent, second(stage, 50), second(stage, 60)
    if how == "there and back":
        last = old

    def twice() -> None:
        if how == "bad, then good":
            stage.config.write_text('{"settings":')
        else:
            stage.configure(other)
        stage.signal(signal.SIGHUP)
        if how == "bad, then good":
            stage.line("the new configuration is not taken")
        stage.configure(last)
        stage.signal(signal.SIGHUP)

    if how == "one turn":
        with stage.stopped():
            twice()
        assert not other.asked
    else:
        twice()
    with stage.news:
        stage.agent = last
    stage.until("a watch at the last", last.waiting)
    stage.until(
        "the end of the others", lambda: all(call.end for agent in {old, other} - {last} for call in agent.calls)
    )
    last.tell(*stage.new_hosts(1, 1))
    assert sum(call.open and not call.end for call in last.calls) == 1
    served(stage)


def test_sighup_to_the_same_address_while_its_watch_is_silent(stage: Stage) -> None:
    agent = stage.agent
    watch = held(stage, agent)
    with stage.news:
        agent.hosts, agent.revision = stage.new_hosts(1, 1), agent.revision + 1
        agent.silent = False
    begun = monotonic()
    stage.signal(signal.SIGHUP)
    stage.until("a watch of the new list", agent.waiting)
    assert monotonic() - begun < MOVE_TOLD_S + stage.ledger.stopped(begun, monotonic())
    stage.until("the end of the silent one", lambda: watch.end)
    served(stage)

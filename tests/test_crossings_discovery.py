"""Discovery's answers that cross with resets, malformed configurations and SIGHUP, at the real dispatcher."""

from __future__ import annotations

import signal
from time import monotonic

import pytest

from tests.crossing_agent import Agent, AgentCall
from tests.crossing_messages import plain
from tests.crossings import GRACE_S, Stage

MAX_MOVE_S = 4.0


def serve_requests(stage: Stage, count: int = 1) -> None:
    """Serves requests one after another and checks the ledger."""
    for at in range(count):
        client = stage.client()
        client.ask(f"served-{at}")
        stage.serve_until_answered(client)
        assert client.wait_answer().status == 200
    stage.check()


def silence_watch(stage: Stage, agent: Agent) -> AgentCall:
    """Makes the agent silent; returns its pending watch, which the test answers."""
    watch = stage.wait_for("a watch", agent.pending_watch)
    with stage.changed:
        agent.silent, watch.pending = True, False
    return watch


def reset_watch(stage: Stage, agent: Agent) -> AgentCall:
    """Resets the pending watch; returns the call for the whole list that follows."""
    silence_watch(stage, agent).close(reset=True)
    return stage.wait_for(
        "a call for the whole list",
        lambda: next((call for call in agent.calls if call.pending and call.index < 0), None),
    )


def second_agent(stage: Stage, revision: int) -> Agent:
    """Another agent that lists the same hosts."""
    agent = Agent(stage, stage.hosts)
    agent.revision = revision
    return agent


@pytest.mark.parametrize("call", ["watch", "whole list"])
def test_an_answer_is_taken_though_its_connection_is_reset_at_its_last_byte(stage: Stage, call: str) -> None:
    agent = stage.agent
    asked = silence_watch(stage, agent) if call == "watch" else reset_watch(stage, agent)
    with stage.changed:
        asked.pending = False
        agent.hosts, agent.revision = stage.new_hosts(1, 1), agent.revision + 1
    with stage.paused():
        asked.send(plain(200, agent.list_body()))
        asked.close(reset=True)
    stage.wait_for("a watch that knows it", agent.pending_watch)
    with stage.changed:
        agent.silent = False
    serve_requests(stage)


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
    stage.reset(writers=3)
    old, drained = stage.agent, stage.host("write")
    with stage.changed:
        old.revision += 100
    new = second_agent(stage, 2)
    new.silent = True
    asked = reset_watch(stage, old) if phase == "a whole list is awaited" else silence_watch(stage, old)
    stage.configure(new)
    with stage.paused():
        signalled_at = monotonic()
        stage.send_signal(signal.SIGHUP)
        if phase == "half an answer has come":
            asked.send(plain(200, old.list_body())[:40])
        elif phase == "an answer comes in one turn":
            asked.send(plain(200, old.list_body()))
    drained.phase = "Terminating"
    first = stage.wait_for("a call", lambda: next((call for call in new.calls if call.pending), None))
    with stage.changed:
        new.silent, answer = False, plain(200, new.list_body())
        if phase in ("the first call is reset", "its first answer comes by halves"):
            first.pending = False
    if phase == "the first call is reset":
        first.close(reset=True)
    elif phase == "its first answer comes by halves":
        first.send(answer[:40])
        first.send(answer[40:])
    stage.wait_for(
        "another call for the whole list", lambda: new.call_count > 2 and all(c.index < 0 for c in new.calls)
    )
    with stage.changed:
        stage.ledger.draining_since[drained.name] = monotonic()
        stage.agent = new
    stage.wait_until(monotonic() + GRACE_S + 0.1)
    serve_requests(stage, 4)
    stage.wait_for("a watch of its list", new.pending_watch)
    assert monotonic() - signalled_at < MAX_MOVE_S + stage.ledger.paused_s(signalled_at, monotonic())
    assert not old.pending_watch()


@pytest.mark.parametrize("how", ["one turn", "one after another", "there and back", "bad, then good"])
def test_sighup_twice_leaves_the_last_address(stage: Stage, how: str) -> None:
    old, other, last = stage.agent, second_agent(stage, 50), second_agent(stage, 60)
    if how == "there and back":
        last = old

    def twice() -> None:
        if how == "bad, then good":
            stage.config.write_text('{"settings":')
        else:
            stage.configure(other)
        stage.send_signal(signal.SIGHUP)
        if how == "bad, then good":
            stage.wait_log_line("the new configuration is not taken")
        stage.configure(last)
        stage.send_signal(signal.SIGHUP)

    if how == "one turn":
        with stage.paused():
            twice()
        assert not other.call_count
    else:
        twice()
    with stage.changed:
        stage.agent = last
    stage.wait_for("a watch at the last agent", last.pending_watch)
    stage.wait_for(
        "the end of the calls to the other agents",
        lambda: all(call.end for agent in {old, other} - {last} for call in agent.calls),
    )
    last.publish_and_wait(*stage.new_hosts(1, 1))
    assert sum(call.pending and not call.end for call in last.calls) == 1
    serve_requests(stage)


def test_sighup_to_the_same_address_while_its_watch_is_silent(stage: Stage) -> None:
    agent = stage.agent
    watch = silence_watch(stage, agent)
    with stage.changed:
        agent.hosts, agent.revision = stage.new_hosts(1, 1), agent.revision + 1
        agent.silent = False
    signalled_at = monotonic()
    stage.send_signal(signal.SIGHUP)
    stage.wait_for("a watch of the new list", agent.pending_watch)
    assert monotonic() - signalled_at < MAX_MOVE_S + stage.ledger.paused_s(signalled_at, monotonic())
    stage.wait_for("the end of the silent watch", lambda: watch.end)
    serve_requests(stage)

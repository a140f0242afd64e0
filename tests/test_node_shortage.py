"""The real program while it has no file descriptor free: what is done once and has to work all the same."""

from __future__ import annotations

import signal
from pathlib import Path

from tests.crossing_agent import Agent
from tests.crossing_parties import Call
from tests.crossings import Stage
from tests.test_crossings_descriptors import start_streams

DESCRIPTORS = 17  # 7 of the program's own, and two for each of STREAMS
STREAMS = 5
NEW_ADDRESS_S = 4.0  # the platform expects the agent at a new address to be followed from this time after SIGHUP on


def move_discovery(stage: Stage) -> Agent:
    """Writes a configuration with another agent's address and sends SIGHUP."""
    agent = Agent(stage, stage.hosts)
    agent.revision = stage.agent.revision + 1
    stage.configure(agent)
    stage.send_signal(signal.SIGHUP)
    return agent


def wait_until_followed(stage: Stage, agent: Agent) -> None:
    """Waits until the program watches this agent's list."""
    stage.wait_for("a watch at the new address", agent.pending_watch, limit_s=NEW_ADDRESS_S)
    stage.agent = agent


def end_streams(stage: Stage, writes: list[Call]) -> None:
    """Ends the streams and checks that their clients got all of them."""
    for write in writes:
        write.end_stream()
    assert [client.wait_answer().whole for client in stage.clients[: len(writes)]] == [True] * len(writes)
    stage.check()


def test_a_new_configuration_is_read_though_idle_clients_have_the_last_descriptors(tmp_path: Path) -> None:
    """Guards against a SIGHUP whose file cannot be opened being lost: no list was followed from then on."""
    with Stage(tmp_path, sockets=DESCRIPTORS, descriptors=DESCRIPTORS) as stage:
        writes = start_streams(stage, STREAMS - 1)
        idle = [stage.client() for _ in range(2)]
        stage.wait_for("no descriptor left", lambda: stage.open_descriptors() == DESCRIPTORS)
        agent = move_discovery(stage)
        wait_until_followed(stage, agent)
        stage.wait_for("the idle client that made room", lambda: any(client.end for client in idle))
        end_streams(stage, writes)


def test_a_new_configuration_is_read_once_a_descriptor_is_free(tmp_path: Path) -> None:
    """Guards against a SIGHUP being lost while nothing can be spared, and against clients taking what is freed."""
    with Stage(tmp_path, sockets=DESCRIPTORS, descriptors=DESCRIPTORS) as stage:
        writes = start_streams(stage, STREAMS)
        stage.wait_for("no descriptor left", lambda: stage.open_descriptors() == DESCRIPTORS)
        waiting = [stage.client() for _ in range(3)]
        agent = move_discovery(stage)
        stage.wait_log_line("the new configuration cannot be read yet")
        writes.pop(0).end_stream()
        assert stage.clients.pop(0).wait_answer().whole
        wait_until_followed(stage, agent)
        for client in waiting:
            stage.clients.remove(client)
            client.close()
        end_streams(stage, writes)

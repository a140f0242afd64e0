"""The real program when file descriptors run out: at accept, at a connection to a host, at a release."""

from __future__ import annotations

from pathlib import Path
from time import monotonic
from typing import Any

import pytest

from tests.crossing_arrangement import ArrangementMissedError, repeat_until_arranged
from tests.crossing_ledger import Attempt
from tests.crossing_parties import Call
from tests.crossings import Stage
from tests.platform_standin import Platform
from tests.test_node import run_node
from yardspindle.core.hosts.resource_budget import MIN_SOCKETS
from yardspindle.node.app import Node
from yardspindle.runtime.world import DescriptorsExhausted

CPU_SAMPLE_S = 0.5  # the processor time of a program that cannot accept is measured for this long
# A write waits 0.11 s for a descriptor, as its state is held. The calls that hosts leave unanswered occupy all of them.
PROMPT_HOST_S = 0.06  # hosts that take longer for a call may cause a refusal
SHORT_PLACE_S = 0.01  # hosts answer a read after this time if its place cannot be requested
MAX_CPU_SHARE = 0.3  # of that time; a program that spins uses all of it


def start_streams(stage: Stage, count: int) -> list[Call]:
    """Starts this many streams; each holds a descriptor for its client and one for its host."""
    writes = []
    for at in range(count):
        client = stage.client()
        client.ask(f"stream-{at}")
        stage.wait_call("read").answer(202)
        writes.append(stage.wait_call("write"))
        writes[-1].begin_stream()
        client.wait_first_data()
    return writes


def test_idle_clients_do_not_take_the_last_descriptors_where_the_machine_gives_few(tmp_path: Path) -> None:
    with Stage(tmp_path, sockets=256, descriptors=40) as stage:
        for _ in range(60):
            stage.client()
        stage.wait_for(
            "no room for more connections", lambda: sum(bool(client.end) for client in stage.clients) > 60 - 40
        )
        client = stage.client()
        client.ask("a")
        stage.serve_until_answered(client)
        assert client.wait_answer().status == 200
        stage.check()


def test_a_program_that_cannot_accept_waits_and_goes_on(tmp_path: Path) -> None:
    with Stage(tmp_path, sockets=MIN_SOCKETS, descriptors=MIN_SOCKETS) as stage:
        writes = start_streams(stage, 4)
        more = [stage.client() for _ in range(6)]
        stage.wait_for("no descriptor left", lambda: stage.open_descriptors() == MIN_SOCKETS)
        used_s = stage.cpu_seconds()
        stage.wait_until(monotonic() + CPU_SAMPLE_S)
        assert stage.cpu_seconds() - used_s < MAX_CPU_SHARE * CPU_SAMPLE_S
        for write in writes:
            write.end_stream()
        more[0].ask("more")
        stage.serve_until_answered(more[0], *stage.clients[:4])
        assert [client.wait_answer().whole for client in stage.clients[:4]] == [True] * 4
        assert more[0].wait_answer().status == 200
        stage.check()


@pytest.mark.parametrize("hosts", [1, 12])
def test_requests_at_once_are_served_with_the_least_descriptors(tmp_path: Path, hosts: int) -> None:
    with Stage(tmp_path, sockets=MIN_SOCKETS, descriptors=MIN_SOCKETS, readers=hosts, writers=hosts) as stage:
        repeat_until_arranged(stage, lambda: requests_at_once(stage, hosts))


def requests_at_once(stage: Stage, hosts: int) -> None:
    """Serves requests at once. Raises ArrangementMissedError after a refusal or ejection for which a host was too slow.

    A connection that cannot be opened for lack of descriptors ejects nobody, however late the hosts answer.
    """
    stage.reset(readers=hosts, writers=hosts)
    logged = len(stage.log)
    clients = [stage.client() for _ in range(6)]
    for client in clients:
        client.ask("known", cls="none")  # its connection is accepted
        client.wait_answer()
    for turn in range(4):
        earlier = len(stage.ledger.attempts)
        for at, client in enumerate(clients):
            client.ask(f"r{turn}-{at}", key=f"k{at}")
        stage.serve_until_answered(*clients, place_s=SHORT_PLACE_S)
        statuses = [client.wait_answer().status for client in clients]
        ejected = [row for _, row in stage.log[logged:] if "ejected" in row]
        refused_at_most = set(statuses) <= {200, 503} and all(row.endswith(": silent") for row in ejected)
        slowest_s = longest_attempt(stage.ledger.attempts[earlier:])
        if (503 in statuses or ejected) and refused_at_most and slowest_s > PROMPT_HOST_S:
            raise ArrangementMissedError(f"a host took {slowest_s:.2f} s: {statuses} {ejected}")
        assert statuses == [200] * 6, stage.transcript()
    assert not [row for _, row in stage.log[logged:] if "ejected" in row], stage.transcript()
    stage.check()


def longest_attempt(attempts: list[Attempt]) -> float:
    """The longest time from an attempt's arrival at a host to the host's answer or the connection's end."""
    return max(((attempt.ended_at or monotonic()) - attempt.arrived_at for attempt in attempts), default=0.0)


def test_what_is_held_is_let_go_of_though_no_descriptor_is_left(tmp_path: Path) -> None:
    with Stage(tmp_path, sockets=MIN_SOCKETS, descriptors=MIN_SOCKETS) as stage:
        writes, client = start_streams(stage, 3), stage.client()
        client.ask("held")
        read = stage.wait_call("read")
        for _ in range(8):
            stage.client()
        read.answer(202)
        write = stage.wait_call("write", "held")
        write.decline()
        client.disconnect("rst")
        for streaming_write in writes:
            streaming_write.end_stream()
        assert [client.wait_answer().whole for client in stage.clients[:3]] == [True] * 3
        stage.check()


def test_a_connection_for_which_no_descriptor_is_left_ejects_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    def main(platform: Platform, node: Node) -> Any:
        def connect(*_: Any) -> None:
            raise DescriptorsExhausted("Too many open files")

        with monkeypatch.context() as patch:
            patch.setattr(node.world, "connect", connect)
            answer = platform.ask(b"9b1f03aa5c7e2d41", deadline_ms=3_000)
            assert answer.status == 503
            assert not node.core.request_releases._last_failure_us
            assert not any(server.failures for server in node.policy.servers.values())
        return platform.ask(b"9b1f03aa5c7e2d42").status

    assert run_node(main) == 200

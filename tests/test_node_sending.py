"""The checks that are repeated once a connection is established and the first byte is about to be written."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.edge_core_setup import (
    READER,
    WRITER,
    WRITER2,
    commands_of,
    kinds,
    mark_written,
    server,
    start_reading,
    started_core,
)
from tests.platform_standin import SETTINGS, Answer, Host, Platform, read, write
from tests.test_node import readers, run_node, writers
from yardspindle import interface as i
from yardspindle.core.request import commands as c
from yardspindle.core.request.edge_core import EdgeCore
from yardspindle.core.request.records import RequestRecord
from yardspindle.node.app import Node
from yardspindle.runtime.virtual import VirtualWorld
from yardspindle.runtime.world import Stream

ID = b"9b1f03aa5c7e2d41"
HOP_US = 50_000  # one-way latency: a connection takes two


def slow(platform: Platform, hosts: list[Host], hop_us: int = HOP_US) -> None:
    for host in hosts:
        platform.sim.network.path("node", host.name).latency_us = (hop_us, hop_us)
        platform.sim.network.path(host.name, "node").latency_us = (hop_us, hop_us)


def start_asking(platform: Platform, cls: bytes = b"ask", deadline_ms: int = 5_000) -> Callable[[], Answer]:
    """Ask in a task of its own; returns a function that waits for the answer."""
    task = platform.clients.spawn("asks", platform.ask, ID, cls, deadline_ms)
    return task.join


def wait_for_request(platform: Platform, node: Node, condition: Callable[[RequestRecord], bool]) -> RequestRecord:
    """The open request, once the condition holds for it."""
    for _ in range(1_000):
        for record in node.core.lifecycle.requests.values():
            if condition(record):
                return record
        platform.sleep(1_000)
    raise AssertionError("the condition was never met")


def drain(platform: Platform, name: str, gone: bool) -> None:
    platform.hosts[name].phase = "Gone" if gone else "Terminating"
    platform.revision += 1


# --- the deadline that is sent


def test_the_time_told_is_what_is_left_when_the_head_is_written() -> None:
    """It was computed before the connection was established, which takes 100 ms here."""

    def main(platform: Platform, node: Node) -> None:
        slow(platform, list(platform.hosts.values()))
        started_us = platform.sim.now_us()
        assert platform.ask(ID, deadline_ms=1_000).whole
        deadlines = [(at, int(head.get(b"req-deadline-ms") or 0)) for at, head in platform.heads if head.get(b"req-id")]
        assert len(deadlines) == 2
        for received_us, deadline_ms in deadlines:
            left_us = started_us + 1_000_000 - (received_us - HOP_US)  # at the time its bytes were written
            assert left_us - 10_000 < deadline_ms * 1_000 <= left_us + 8_000  # the client connects and sends

    run_node(main)


@pytest.mark.parametrize("flavor", ["reads", "writes"])
@pytest.mark.parametrize("stalls_us", [20_000, 60_000, 90_000, 130_000])
def test_the_time_told_by_a_further_attempt_is_what_is_left_also_after_the_process_stood_still(
    flavor: str, stalls_us: int
) -> None:
    """The process stalls before, at or after connecting, while a release of what the first attempt left is pending."""

    def main(platform: Platform, node: Node) -> None:
        world = node.world
        assert isinstance(world, VirtualWorld)

        def break_once(host: Host, to: Stream, number: bytes) -> bool:
            calls.append(number)
            if len(calls) > 1:
                return read(host, to, number) if flavor == "reads" else write(host, to, number)
            timers, now = platform.sim.scheduler.timers, host.world.now_us()
            timers.set(now + HOP_US + stalls_us, world.stall)
            timers.set(now + HOP_US + stalls_us + 300_000, world.resume)
            to.abort()
            return False

        slow(platform, list(platform.hosts.values()))
        for host in platform.hosts.values():
            if host.flavor == flavor:
                host.script = break_once
        started_us = platform.sim.now_us()
        assert platform.ask(ID, deadline_ms=2_500).whole and len(calls) == 2
        deadlines = [(at, int(head.get(b"req-deadline-ms") or 0)) for at, head in platform.heads if head.get(b"req-id")]
        assert len(deadlines) >= 3  # a state that was released meanwhile is read again
        for received_us, deadline_ms in deadlines:
            assert deadline_ms * 1_000 <= started_us + 2_500_000 - (received_us - HOP_US) + 8_000

    calls: list[bytes] = []
    run_node(main)


def test_the_time_told_is_rounded_down_and_an_attempt_with_none_left_is_not_sent() -> None:
    core = started_core()
    start_reading(core)
    assert core.start_sending(1, 1, 0) == 4_999
    assert core.start_sending(4_998_999, 1, 0) == 1
    assert core.start_sending(4_999_001, 1, 0) == 0
    assert core.start_sending(5_000_000, 1, 0) == core.start_sending(6_000_000, 1, 0) == 0


def test_an_attempts_own_time_bounds_what_it_tells() -> None:
    core = started_core()
    core.request_arrived(0, i.Request(1, "safe", 5_000_000, 100.0))
    core.apply_action(0, 1, i.Send(1, READER, timeout_us=70_000))
    assert core.start_sending(10_500, 1, 0) == 59


@pytest.mark.parametrize("written", [False, True])
def test_a_time_out_before_the_last_byte_is_written_proves_that_nothing_ran(written: bool) -> None:
    core = started_core()
    start_reading(core, "once")
    mark_written(core, 0)
    core.attempt_ended(10_000, 1, 0, i.Status.READ)
    core.apply_action(10_000, 1, i.Send(1, WRITER))
    if written:
        mark_written(core, 1)
    notifications = commands_of(c.NotifyPlanner, core.attempt_ended(60_000, 1, 1, i.Status.TIMEOUT))
    assert [event.event.status for event in notifications] == [i.Status.TIMEOUT if written else i.Status.MOOT]
    assert kinds(core.apply_action(60_000, 1, i.Send(1, WRITER2))) == (["Warn"] if written else ["Write"])
    assert core.rule_checker.last_violation is None


def test_a_host_is_not_blamed_for_a_connection_whose_request_is_out_of_time() -> None:
    """The request's deadline was taken for a connect time-out, and each such request had its host avoided."""

    def main(platform: Platform, node: Node) -> None:
        for host in readers(platform):
            platform.sim.network.path("node", host.name).hanging = 1
        for number in range(3):
            answer = platform.ask(b"in-a-hurry-%d" % number, deadline_ms=100)
            assert answer.status in (429, 503)
        assert not any(server.failures for server in node.policy.servers.values())
        patient = platform.ask(b"patient", deadline_ms=2_000)
        assert patient.status in (429, 503)
        assert any(server.failures for server in node.policy.servers.values())  # the connect time-out itself had passed

    run_node(main)


# --- a list that changes while a connection is established


def apply_list(core: EdgeCore, now_us: int, number: int, state: i.State | None) -> None:
    """Apply a new list in which one server has the given state or, with None, is missing."""
    core.update_servers(
        now_us,
        [
            server(n, role, state if n == number and state else i.State.SERVING)
            for n, role in ((READER, i.Role.READ), (WRITER, i.Role.WRITE), (WRITER2, i.Role.WRITE))
            if n != number or state
        ],
    )


@pytest.mark.parametrize("state", [i.State.DRAINING, i.State.GONE, None])
def test_no_first_byte_goes_to_a_host_past_its_grace(state: i.State | None) -> None:
    core = started_core()
    start_reading(core)
    apply_list(core, 1_000, READER, state)
    assert core.start_sending(501_000, 1, 0)  # until the end of its grace
    assert not core.start_sending(501_001, 1, 0)
    notifications = commands_of(c.NotifyPlanner, core.attempt_ended(501_001, 1, 0, i.Status.MOOT))
    assert [event.event.status for event in notifications] == [i.Status.MOOT]
    apply_list(core, 501_002, READER, i.State.SERVING)
    assert kinds(core.apply_action(501_002, 1, i.Send(1, READER))) == ["Read"]  # none of it has run


def test_no_first_byte_goes_where_a_host_listens_no_more() -> None:
    core = started_core()
    start_reading(core)
    moved = server(READER, i.Role.READ)
    moved.port += 100
    core.update_servers(1_000, [moved])
    assert not core.start_sending(1_001, 1, 0)


@pytest.mark.parametrize("state", [i.State.DRAINING, i.State.GONE, None])
def test_no_place_is_asked_at_a_host_that_drains_by_then(state: i.State | None) -> None:
    core = started_core()
    start_reading(core)
    mark_written(core, 0)
    assert core.may_reserve_place(1, 1, 0)
    apply_list(core, 1_000, WRITER, state)
    assert not core.may_reserve_place(1, 1, 0)


def test_the_watch_finds_a_first_byte_that_the_list_forbids() -> None:
    core = started_core()
    start_reading(core)
    apply_list(core, 0, READER, i.State.DRAINING)
    assert (
        core.rule_checker.may_send(500_000, 1, 0, core.lifecycle.listed_server(1))
        and core.rule_checker.last_violation is None
    )
    assert not core.rule_checker.may_send(500_001, 1, 0, core.lifecycle.listed_server(1))
    assert core.rule_checker.last_violation is not None and core.rule_checker.last_violation.rule == "drains kept"
    assert not core.rule_checker.may_send(0, 1, 7, core.lifecycle.listed_server(1))
    assert core.rule_checker.last_violation.rule == "one final answer"


@pytest.mark.parametrize("cls", [b"ask", b"order"])
@pytest.mark.parametrize("gone", [False, True])
@pytest.mark.parametrize("role", [i.Role.READ, i.Role.WRITE])
def test_a_host_that_drains_while_it_is_connected_to_is_sent_nothing(
    monkeypatch: pytest.MonkeyPatch, role: i.Role, gone: bool, cls: bytes
) -> None:
    """The list was checked before the connection was established: the send came after the drain's grace."""
    monkeypatch.setitem(SETTINGS["obligations"], "drain-grace-us", 20_000)

    def main(platform: Platform, node: Node) -> None:
        slow(platform, readers(platform) if role is i.Role.READ else writers(platform), 25_000)
        answer = start_asking(platform, cls)
        record = wait_for_request(
            platform, node, lambda record: record.attempt is not None and record.attempt.server.role is role
        )
        assert record.attempt is not None
        name = record.attempt.server.name
        drain(platform, name, gone)
        assert answer().whole
        what = "read" if role is i.Role.READ else "write"
        at = [host for seen, host, _ in platform.calls if seen == what]
        assert len(at) == 1 and name not in at
        assert node.core.rule_checker.last_violation is None and node.core.lifecycle.counts.interlocks == {
            "drain while connecting": 1
        }

    run_node(main)


@pytest.mark.parametrize("gone", [False, True])
def test_a_place_is_asked_elsewhere_when_its_host_drains_while_it_is_connected_to(gone: bool) -> None:
    def slow_read(host: Host, to: Stream, number: bytes) -> bool:
        host.sleep(400_000)
        return read(host, to, number)

    def main(platform: Platform, node: Node) -> None:
        slow(platform, writers(platform))
        for host in readers(platform):
            host.script = slow_read
        answer = start_asking(platform)
        record = wait_for_request(platform, node, lambda record: record.place is not None)
        assert record.place is not None
        name = record.place.server.name
        drain(platform, name, gone)
        assert answer().whole
        at = [host for seen, host, _ in platform.calls if seen in ("place", "write")]
        assert len(at) == 2 and name not in at and at[0] == at[1]

    run_node(main)

"""States and places held while connections are not established: an attempt is in flight only once it is written."""

from __future__ import annotations

import pytest

from tests.edge_core_setup import (
    READER,
    RULES,
    WRITER,
    WRITER2,
    commands_of,
    kinds,
    mark_place_requested,
    mark_written,
    server,
    start_reading,
    started_core,
)
from tests.platform_standin import MAX_REPEATS_US, SETTINGS, Host, Platform, read, request
from tests.test_node import readers, run_node, writers
from yardspindle import interface as i
from yardspindle.core.request import commands as c
from yardspindle.core.request.edge_core import EdgeCore
from yardspindle.core.request.held_resources import CONNECTS_WHILE_HELD, RELEASE_FRACTION
from yardspindle.core.request.request_releases import MAX_LATE_CALLS, REPEAT_DELAY_US, RETRY_FANOUT, RequestReleases
from yardspindle.node.app import Node
from yardspindle.runtime.world import Stream

ID = b"9b1f03aa5c7e2d41"
RELEASE_US = SETTINGS["family-info"]["let-go-by-us"]


def release_times(platform: Platform) -> list[int]:
    """The times at which releases arrive at a host, from now on."""
    times: list[int] = []
    note = platform.record_call

    def noting(what: str, host: Host, number: bytes) -> None:
        note(what, host, number)
        if what == "free":
            times.append(platform.sim.now_us())

    platform.record_call = noting  # type: ignore[method-assign]
    return times


def test_a_state_is_let_go_of_in_time_though_no_writer_can_be_connected_to() -> None:
    """Three connection attempts to writers took 250 ms each: the state to be written was held for 0.75 s."""

    def main(platform: Platform, node: Node) -> None:
        read_ends: list[int] = []

        def read_and_cut(host: Host, to: Stream, number: bytes) -> bool:
            for writer in writers(platform):
                platform.sim.network.cut("node", writer.name)
            keep_open = read(host, to, number)
            read_ends.append(platform.sim.now_us())
            return keep_open

        for host in readers(platform):
            host.script = read_and_cut
        times = release_times(platform)
        assert platform.ask(ID, deadline_ms=2_000).status == 503
        platform.sleep(300_000)
        assert len(read_ends) > 1 and not platform.states  # it was read again, and no state is left
        for end in read_ends:
            assert any(end < at < end + RELEASE_US for at in times)

    run_node(main)


def test_what_a_broken_read_left_is_let_go_of_though_no_other_reader_can_be_connected_to() -> None:
    """Each newer read delayed the release: it was sent only after the last connection attempt had failed."""

    def main(platform: Platform, node: Node) -> None:
        break_times: list[int] = []

        def break_connection(host: Host, to: Stream, number: bytes) -> bool:
            platform.states.add(number)
            for other in readers(platform):
                if other is not host:
                    platform.sim.network.cut("node", other.name)
            break_times.append(platform.sim.now_us())
            to.abort()
            return False

        for at in range(4):
            platform.add(f"reads-more-{at}", "reads", f"10.3.1.{at}:9000")
        platform.revision += 1
        platform.sleep(100_000)
        for host in readers(platform):
            host.script = break_connection
        times = release_times(platform)
        assert platform.ask(ID, deadline_ms=2_000).status == 503
        assert len(break_times) == 1 and not platform.states
        assert times[0] - break_times[0] < RELEASE_US

    run_node(main)


def test_an_attempt_that_was_never_written_restarts_no_clock_and_has_not_run() -> None:
    core = started_core()
    start_reading(core, "once")
    mark_written(core, 0)
    core.attempt_ended(10_000, 1, 0, i.Status.READ)
    assert kinds(core.apply_action(10_000, 1, i.Send(1, WRITER))) == ["Write"]
    limit = core.lifecycle.held_connect_timeout_us
    assert limit is not None and CONNECTS_WHILE_HELD * limit <= RELEASE_FRACTION * RULES.release_us
    core.attempt_ended(10_000 + limit, 1, 1, i.Status.CONNECT_FAILED)
    assert kinds(core.apply_action(10_000 + limit, 1, i.Send(1, WRITER2))) == ["Write"]
    commands = core.tick(10_001 + round(RELEASE_FRACTION * RULES.release_us))
    assert kinds(commands) == ["Warn", "Abort", "SendRequestRelease"]
    (notification,) = [command.event for command in commands_of(c.NotifyPlanner, commands)]
    assert (notification.status, notification.note, notification.closed) == (i.Status.CONNECT_FAILED, 1, False)
    assert kinds(core.apply_action(300_000, 1, i.Send(1, READER))) == ["Read"]  # an unsafe request: none of it has run
    assert not core.rule_checker.last_violation


@pytest.mark.parametrize("written", [False, True])
def test_a_write_without_a_word_of_its_server_is_called_off_in_time(written: bool) -> None:
    """A written last byte does not prove that the server runs: its answer was awaited while its state stayed held."""
    core = started_core()
    start_reading(core)
    mark_written(core, 0)
    core.attempt_ended(10_000, 1, 0, i.Status.READ)
    core.apply_action(10_000, 1, i.Send(1, WRITER))
    if written:
        mark_written(core, 1)
    assert kinds(core.tick(10_000 + round(RELEASE_FRACTION * RULES.release_us))) == []
    commands = core.tick(10_001 + round(RELEASE_FRACTION * RULES.release_us))
    assert kinds(commands) == ["Warn", "Abort", *(["CloseIdle"] if written else []), "SendRequestRelease"]
    (notification,) = [command.event for command in commands_of(c.NotifyPlanner, commands)]
    assert notification.status is (i.Status.TIMEOUT if written else i.Status.CONNECT_FAILED) and notification.note == 1
    assert commands_of(c.Abort, commands)[0].reason is (
        c.AbortReason.UNANSWERED if written else c.AbortReason.NOT_CONNECTED
    )


def test_the_watch_finds_what_is_held_behind_connections_that_do_not_come_up() -> None:
    core = started_core()
    start_reading(core)
    mark_written(core, 0)
    core.attempt_ended(10_000, 1, 0, i.Status.READ)
    core.apply_action(10_000, 1, i.Send(1, WRITER))
    core.rule_checker.check_time(10_000 + RULES.release_us)
    assert core.rule_checker.last_violation is None
    core.rule_checker.check_time(10_001 + RULES.release_us)  # as if the life cycle had not checked its clock
    assert (
        core.rule_checker.last_violation is not None and core.rule_checker.last_violation.rule == "nothing left pinned"
    )


def test_a_word_that_is_owed_is_said_while_a_reads_connection_is_made() -> None:
    core: EdgeCore = started_core()
    start_reading(core)
    mark_written(core, 0)
    (lost,) = commands_of(c.SendRequestRelease, core.attempt_ended(1_000, 1, 0, i.Status.RESET))
    core.apply_action(1_000, 1, i.Send(1, READER))
    again = commands_of(
        c.SendRequestRelease, core.request_release_settled(2_000, lost.release, lost.server.number, False)
    )
    # The read is not written before the release is confirmed, which would free the new state.
    assert core.release_pending(1) and again
    assert not core.start_sending(2_000, 1, 1) and core.counts()["violations"] == 1


@pytest.mark.parametrize("again", [False, True])
@pytest.mark.parametrize("accept_us", [60_000, 75_000, 150_000, 230_000])
def test_hosts_that_are_slow_to_accept_are_told_in_time(accept_us: int, again: bool) -> None:
    """Connections for releases were given up after 70 ms: where all remaining hosts take longer, none got a release."""

    def main(platform: Platform, node: Node) -> None:
        platform.ask(b"before")
        connect, read_times = node.world.connect, []

        def connect_slowly(host: str, port: int, deadline_us: int, essential: bool = False) -> Stream:
            node.world.sleep_until(min(node.world.now_us() + accept_us, deadline_us))
            return connect(host, port, deadline_us, essential)

        def hang(host: Host, to: Stream, number: bytes) -> bool:
            read_times.append(platform.sim.now_us())
            to.wait_input()
            if again:
                host.sleep(40_000)
            platform.states.add(number)
            return False

        for host in readers(platform):
            host.script = hang
        node.world.connect = connect_slowly  # type: ignore[method-assign]
        node.http.close_all()
        client = platform.connect()
        client.write(request(ID))
        while not read_times:
            platform.sleep(1_000)
        platform.sleep(accept_us + 20_000)  # its place is requested
        node.http.close_all()
        client.close()
        platform.sleep(RELEASE_US + 300_000)
        assert not platform.states
        platform.sleep(1_000_000)
        assert (
            not node.core.request_releases.pending
            and not node.core.request_releases._in_flight
            and not node.core.request_releases._late_calls
        )
        platform.sleep(MAX_REPEATS_US)  # until then, a read that may continue at a stopped host is tracked
        assert not node.executor.releases.running and not node.executor.request_ids

    run_node(main)


def test_a_host_that_is_slow_to_accept_may_still_take_the_word() -> None:
    releases, servers = RequestReleases(), {n: server(n, i.Role.READ) for n in range(1, 40)}
    releases.add(0, 9, True)
    ((release, slow),) = releases.take_due(0, servers)
    assert releases.call_overdue(70, release, slow.number)
    others = [to for _, to in releases.take_due(70, servers)]
    assert slow not in others and len(others) == RETRY_FANOUT
    releases.late_call_settled(80, release, slow.number, True)
    for to in others:  # of the first round, confirmed or not
        releases.settled(90, release, to.number, to is others[0])
    assert releases.pending and releases.take_due(79 + REPEAT_DELAY_US, servers) == []
    ((_, first),) = releases.take_due(80 + REPEAT_DELAY_US, servers)
    assert releases.call_overdue(90 + REPEAT_DELAY_US, release, first.number)
    releases.pending.pop(9)
    releases.add(91 + REPEAT_DELAY_US, 9, False)
    # The confirmation of an earlier release does not settle the new one.
    releases.late_call_settled(92 + REPEAT_DELAY_US, release, first.number, True)
    assert releases.pending and not releases._late_calls


@pytest.mark.parametrize("confirmed", [False, True])
def test_a_dead_fleet_leaves_few_connections_waited_for(confirmed: bool) -> None:
    releases, servers = RequestReleases(), {n: server(n, i.Role.READ) for n in range(1, 40)}
    for number in range(60):
        releases.add(0, number, False)
    calls = releases.take_due(0, servers)
    awaited = [releases.call_overdue(70, release, to.number) for release, to in calls]
    assert awaited.count(True) == MAX_LATE_CALLS < awaited.count(False)
    for (release, to), is_awaited in zip(calls, awaited, strict=True):
        if is_awaited:
            releases.late_call_settled(80, release, to.number, confirmed)
        else:
            releases.settled(80, release, to.number, False)
    assert (
        not releases._late_calls
        and not releases._in_flight
        and len(releases.pending) == 60 - confirmed * MAX_LATE_CALLS
    )


def test_the_watch_withholds_what_crosses_between_attempts_and_releases() -> None:
    core = started_core()
    start_reading(core)
    mark_written(core, 0)
    assert (
        core.rule_checker.may_release(1) is False
        and core.rule_checker.last_violation is not None
        and "under attempts" in core.rule_checker.last_violation.text
    )
    core.attempt_ended(10_000, 1, 0, i.Status.READ)
    assert core.rule_checker.may_release(1)
    core.apply_action(10_000, 1, i.Send(1, WRITER))
    assert core.rule_checker.may_release(1)  # none of it is written yet
    assert core.counts()["violations"] == core.counts()["broken_nothing_left_pinned"] == 1


def test_a_release_that_no_host_hears_in_time_is_counted_once() -> None:
    core = started_core()
    start_reading(core)
    mark_written(core, 0)
    assert commands_of(c.SendRequestRelease, core.attempt_ended(1_000, 1, 0, i.Status.RESET))
    assert not commands_of(c.ReportViolation, core.tick(1_000 + RULES.release_us))
    assert len(commands_of(c.ReportViolation, core.tick(1_001 + RULES.release_us))) == 1
    assert not commands_of(c.ReportViolation, core.tick(1_002 + RULES.release_us)) and core.counts()["violations"] == 1


@pytest.mark.parametrize("granted", [True, False, None])
def test_only_a_yes_or_no_to_its_place_shows_that_a_read_runs(granted: bool | None) -> None:
    core = started_core()
    start_reading(core)
    mark_written(core, 0)
    mark_place_requested(core)
    core.place_answered(1_000, 1, 1, server(WRITER, i.Role.WRITE), granted)
    commands = kinds(core.tick(1 + round(RELEASE_FRACTION * RULES.release_us)))
    assert ("Abort" in commands) is (granted is None) and core.rule_checker.last_violation is None


def test_the_first_bytes_of_an_answer_stop_the_clock_of_what_is_held() -> None:
    core = started_core()
    start_reading(core)
    mark_written(core, 0)
    core.attempt_ended(10_000, 1, 0, i.Status.READ)
    core.apply_action(10_000, 1, i.Send(1, WRITER))
    mark_written(core, 1)
    core.attempt_answered(1, 1)
    assert kinds(core.tick(400_000)) == [] and core.rule_checker.last_violation is None

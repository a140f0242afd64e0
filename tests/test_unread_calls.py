"""What a silent host may come to hold stays owed until it answers again, however long that takes (review, case 3)."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.platform_standin import MAX_REPEATS_US, SETTINGS, Host, Platform, read
from tests.test_node import readers, run_node, writers
from yardspindle.core.request.repeated_releases import EVEN_PAUSES_US, MIN_INTERVAL_US
from yardspindle.core.request.unread_calls import (
    AFTER_ANSWER_US,
    AFTER_SILENCE_US,
    MAX_PROBE_WAIT_US,
    MAX_PROBES,
    MAX_TRACKED,
    UNFINISHED_READ_US,
    Probe,
    UnreadCalls,
)
from yardspindle.node.app import Node
from yardspindle.runtime.world import Stream

RELEASE_US = SETTINGS["family-info"]["let-go-by-us"]
IDLE_US = SETTINGS["allowed"]["conn-idle-us"]
HELD_LIMIT_US = RELEASE_US + 300_000 + 50_000  # the rule, what fleets have more, and what sockets have more
FORMER_RELEASES = 27  # that a call cost in its 6 s, one each 225 ms
FORMER_RELEASES_A_SECOND = 60  # while one writer of ten hung, at 15 requests a second
TICK_US = 20_000
SECOND_US = 1_000_000
HANGS = pytest.mark.parametrize("hang_us", [1_000_000, 5_000_000, 12_000_000, 25_000_000, 60_000_000])


class Clock:
    """Ticks `UnreadCalls` on a virtual clock, and records what it sends; probes fail as their time is over."""

    def __init__(self) -> None:
        self.now_us = SECOND_US
        self.calls = UnreadCalls(RELEASE_US, IDLE_US)
        self.running: set[int] = set()
        self.released: list[tuple[int, int]] = []  # time and request
        self.probes: list[Probe] = []
        self.in_flight: list[Probe] = []

    def run(self, duration_us: int) -> None:
        """Tick for so long."""
        until_us = self.now_us + duration_us
        while self.now_us < until_us:
            self.now_us += TICK_US
            for probe in list(self.in_flight):
                if self.now_us >= probe.started_us + probe.wait_us:
                    self.settle(probe, False)
            self.released += [(self.now_us, request) for request in self.calls.take_due(self.now_us, self.running)]
            probes = self.calls.take_probes(self.now_us, self.running)
            self.probes += probes
            self.in_flight += probes

    def settle(self, probe: Probe, answered: bool | None) -> None:
        """A probe ends."""
        self.in_flight.remove(probe)
        self.calls.probe_settled(self.now_us, probe, answered, probe.started_us)

    def answer_probes(self) -> None:
        """The servers with a probe answer it now, and at once those that follow."""
        while self.in_flight:
            self.settle(self.in_flight[0], True)
            self.in_flight += self.calls.take_probes(self.now_us, self.running)


@HANGS
def test_a_call_is_owed_until_its_server_answers_and_then_released_at_once(hang_us: int) -> None:
    """Review, case 3: after 6 s the release was forgotten, while the server might still read the call."""
    clock = Clock()
    for request in range(10):
        clock.calls.add(clock.now_us, request, 7, is_place=True, silent=False)
        clock.run(100_000)
    clock.run(hang_us)
    assert len(clock.calls) == 10 and clock.in_flight
    clock.answer_probes()
    clock.released.clear()
    answered_us = clock.now_us
    clock.run(AFTER_SILENCE_US)
    for request in range(10):
        times = [at - answered_us for at, released in clock.released if released == request]
        assert times[0] <= TICK_US and times[-1] > RELEASE_US
        assert all(later - earlier < RELEASE_US for earlier, later in zip(times, times[1:], strict=False))
    assert not clock.calls.active


@pytest.mark.parametrize("owed", [20, 100])
def test_owing_for_longer_costs_no_more_releases_a_second_than_giving_up_did(owed: int) -> None:
    clock = Clock()
    for request in range(owed):
        clock.calls.add(clock.now_us, request, 7, is_place=True, silent=False)
    clock.run(25 * SECOND_US)
    assert len(clock.released) <= 25 * FORMER_RELEASES_A_SECOND + owed  # the first of each comes at once
    clock.answer_probes()
    clock.released.clear()
    clock.run(MAX_REPEATS_US)
    assert len(clock.released) <= 3 * owed and not clock.calls.active
    assert len(clock.probes) <= 25 * SECOND_US / MAX_PROBE_WAIT_US + 10  # one server, whatever number of calls


def test_releases_for_a_server_that_stays_silent_become_rare() -> None:
    clock = Clock()
    clock.calls.add(clock.now_us, 1, 7, is_place=True, silent=True)
    clock.run(3_600 * SECOND_US)
    assert clock.calls.tracks(1)
    assert sum(at > 1_800 * SECOND_US for at, _ in clock.released) <= 4


def test_releases_a_second_are_bounded_however_many_are_owed() -> None:
    clock = Clock()
    for request in range(MAX_TRACKED):
        clock.calls.add(clock.now_us, request, request % 20, is_place=True, silent=True)
    clock.run(SECOND_US)
    clock.released.clear()
    clock.run(100 * SECOND_US)
    assert len(clock.released) <= 100 * SECOND_US / MIN_INTERVAL_US
    assert {request for _, request in clock.released} == set(range(MAX_TRACKED))


def test_an_answer_to_what_was_sent_before_proves_nothing() -> None:
    """The server may have answered it before it hung, and its answer may have come late."""
    clock = Clock()
    clock.calls.add(clock.now_us, 1, 7, is_place=True, silent=False)
    clock.calls.server_answered(clock.now_us + 1, 7, sent_us=clock.now_us - 1)
    assert len(clock.calls) == 1
    clock.calls.server_answered(clock.now_us + 1, 7, sent_us=clock.now_us)
    assert not len(clock.calls)
    clock.run(AFTER_ANSWER_US + TICK_US)
    assert [request for _, request in clock.released] == [1] and not clock.calls.active


@pytest.mark.parametrize("hang_us", [0, SECOND_US, 12 * SECOND_US])
@pytest.mark.parametrize(("is_place", "until_us"), [(True, IDLE_US), (False, UNFINISHED_READ_US)])
def test_a_connection_that_is_silent_by_itself_is_allowed_for(is_place: bool, until_us: int, hang_us: int) -> None:
    """The server answers a probe, but may read the call on the silent connection until it closes that.

    Review, case 7: after a hang of the server as a whole the release was repeated for 0.4 s only.
    """
    clock = Clock()
    clock.calls.add(clock.now_us, 1, 7, is_place, silent=True)
    clock.run(RELEASE_US + hang_us)
    assert clock.probes[0].new_connection
    clock.answer_probes()
    answered_us = clock.now_us
    clock.run(IDLE_US)
    times = [at for at, _ in clock.released if at > answered_us]
    pauses = [later - earlier for earlier, later in zip([answered_us, *times], times, strict=False)]
    even = [pause for pause, at in zip(pauses, times, strict=False) if at - answered_us <= EVEN_PAUSES_US]
    assert max(even) <= HELD_LIMIT_US and len(times) <= FORMER_RELEASES
    assert times[-1] - answered_us > until_us * 3 // 4 and not clock.calls.active


def test_a_request_that_runs_gets_its_release_after_its_end() -> None:
    clock = Clock()
    clock.running = {1}
    clock.calls.add(clock.now_us, 1, 7, is_place=True, silent=False)
    clock.run(SECOND_US)
    assert not clock.probes and not clock.released
    clock.calls.server_answered(clock.now_us, 7, clock.now_us)
    clock.run(10 * SECOND_US)
    assert not clock.released and clock.calls.tracks(1)
    clock.running.clear()
    clock.run(SECOND_US)
    assert [request for _, request in clock.released] == [1] and not clock.calls.active


def test_many_silent_servers_share_the_probes() -> None:
    clock = Clock()
    servers = range(3 * MAX_PROBES)
    for server in servers:
        clock.calls.add(clock.now_us, server, server, is_place=True, silent=True)
    clock.run(10 * SECOND_US)
    assert {probe.server for probe in clock.probes} == set(servers) and len(clock.in_flight) <= MAX_PROBES


def test_calls_at_servers_that_left_the_list_are_forgotten() -> None:
    clock = Clock()
    for server in (7, 8):
        clock.calls.add(clock.now_us, server, server, is_place=True, silent=True)
    clock.run(SECOND_US)
    clock.calls.retain_servers(clock.now_us, {8})
    assert not clock.calls.tracks(7) and clock.calls.tracks(8)
    for probe in list(clock.in_flight):
        clock.settle(probe, None)
    clock.run(SECOND_US)
    assert {probe.server for probe in clock.in_flight} == {8}


def test_the_calls_tracked_are_bounded_and_what_is_evicted_is_counted() -> None:
    clock = Clock()
    for request in range(MAX_TRACKED + 50):
        clock.calls.add(clock.now_us, request, request % 7, is_place=True, silent=True)
    assert len(clock.calls) == MAX_TRACKED and clock.calls.evicted == 50
    clock.run(SECOND_US)
    assert {request for _, request in clock.released} == set(range(50, MAX_TRACKED + 50))


# --- the dispatcher on the virtual World


def stall(platform: Platform, host: Host) -> Callable[[], None]:
    """Stop the host's process; what is written to it lies in its kernel."""
    host.world.stall()
    return host.world.resume


def cut(platform: Platform, host: Host) -> Callable[[], None]:
    """Cut the host off; what is on its way arrives when the network is back."""
    network = platform.sim.network
    network.cut("node", host.name)
    return lambda: network.restore("node", host.name)


@pytest.mark.usefixtures("read_before_reset")
@pytest.mark.parametrize("silence", [stall, cut])
@HANGS
def test_a_place_that_is_read_after_a_hang_of_any_length_is_released(
    silence: Callable[[Platform, Host], Callable[[], None]], hang_us: int
) -> None:
    """Review, case 3: a writer hung for 12 s; what it read then was held until the end."""

    def main(platform: Platform, node: Node) -> None:
        calls: list[tuple[int, str, str, bytes]] = []
        record = platform.record_call

        def record_time(what: str, host: Host, number: bytes) -> None:
            record(what, host, number)
            calls.append((platform.sim.now_us(), what, host.name, number))

        def slow_read(host: Host, to: Stream, number: bytes) -> bool:
            host.sleep(300_000)
            return read(host, to, number)

        for host in readers(platform):
            host.script = slow_read
        warm_up = [platform.clients.spawn("asks", platform.ask, b"before%d" % at) for at in range(6)]
        for task in warm_up:
            task.join()
        platform.record_call = record_time  # type: ignore[method-assign]
        writer = writers(platform)[0]
        end_silence = silence(platform, writer)
        silent_us = platform.sim.now_us()
        asked = 0
        while platform.sim.now_us() < silent_us + hang_us:
            platform.clients.spawn("asks", platform.ask, b"id%d" % asked, b"ask", 2_000)
            platform.sleep(200_000)
            asked += 1
        platform.sleep(RELEASE_US)
        end_silence()
        platform.sleep(MAX_REPEATS_US)
        late = [(at, number) for at, what, name, number in calls if what == "place" and name == writer.name]
        late = [(at, number) for at, number in late if at > silent_us + hang_us]
        assert late
        for at, number in late:
            assert any(
                what == "free" and freed == number and at <= freed_us <= at + HELD_LIMIT_US
                for freed_us, what, _, freed in calls
            ), f"{number!r} is held for too long"
        platform.sleep(MAX_REPEATS_US)
        assert not node.core.needs_tick and not node.executor.request_ids
        assert node.core.rule_checker.last_violation is None

    run_node(main)

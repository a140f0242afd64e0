"""A release is confirmed soon although all hosts of a role or zone, the last to answer, are now unresponsive."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from yardspindle.core.hosts.directory import Server
from yardspindle.core.request.request_releases import (
    IMMEDIATE_TRIES,
    MAX_IN_FLIGHT,
    MAX_PENDING,
    MAX_RETRY_PAUSE_US,
    RETRY_FANOUT,
    RETRY_PAUSE_US,
    RequestRelease,
    RequestReleases,
)
from yardspindle.core.request.timeouts import RELEASE_CALL_US
from yardspindle.interface import Role, State

MS = 1_000
ANSWER_US = 5 * MS
MAX_ROUNDS = 2


def fleet() -> dict[int, Server]:
    """Six readers and ten writers in two zones."""
    roles = [Role.READ] * 6 + [Role.WRITE] * 10
    return {
        n: Server(n, f"s{n}", "127.0.0.1", n, role, State.SERVING, True, zone="ab"[n % 2])
        for n, role in enumerate(roles)
    }


@pytest.mark.parametrize(
    "silent",
    [
        pytest.param(lambda s: s.role is Role.WRITE, id="all writers"),
        pytest.param(lambda s: s.role is Role.READ, id="all readers"),
        pytest.param(lambda s: s.zone == "a", id="a zone"),
    ],
)
def test_a_release_is_heard_in_the_second_round_though_the_hosts_heard_last_are_silent(
    silent: Callable[[Server], bool],
) -> None:
    """World "S brink, split+term": 225 ms after the end of a read, four rounds of 70 ms use up the limit of 600 ms."""
    servers = fleet()
    releases = RequestReleases(seed=1)
    for at, number in enumerate(sorted(servers, key=lambda n: (silent(servers[n]), n))):
        releases.server_answered(at, number)
    now = 1_000 * MS
    releases.add(now, 7, repeat=False)
    for _ in range(MAX_ROUNDS):
        asked = releases.take_due(now, servers)
        assert asked
        for release, host in asked:
            if not silent(host):
                releases.settled(now + ANSWER_US, release, host.number, True)
        if not releases.pending:
            return
        now += RELEASE_CALL_US
        for release, host in asked:
            releases.call_overdue(now, release, host.number)
    raise AssertionError("no host confirmed the release")


OUTAGE_US = 60_000 * MS
TICK_US = 20 * MS


def fail_all(releases: RequestReleases, now: int, asked: list[tuple[RequestRelease, Server]]) -> None:
    """No engine answers the calls."""
    for release, host in asked:
        releases.settled(now + RELEASE_CALL_US, release, host.number, False)


def test_a_release_is_owed_until_an_engine_confirms_and_then_sent_at_once() -> None:
    """After 10 s without an answer it was given up, though nothing says that engines free what they hold themselves."""
    servers, releases = fleet(), RequestReleases(seed=1)
    releases.add(0, 7, repeat=False)
    calls = 0
    for now in range(0, OUTAGE_US, TICK_US):
        asked = releases.take_due(now, servers)
        calls += len(asked)
        fail_all(releases, now, asked)
    assert 7 in releases.pending
    assert calls <= RETRY_FANOUT * (IMMEDIATE_TRIES + OUTAGE_US // MAX_RETRY_PAUSE_US)
    end = OUTAGE_US + RELEASE_CALL_US + RETRY_PAUSE_US
    releases.server_answered(end, 3)  # an answer to some other call: the outage is over
    asked = releases.take_due(end, servers)
    assert asked and asked[0][1].number == 3
    releases.settled(end + ANSWER_US, asked[0][0], 3, True)
    assert not releases.pending


def test_pending_releases_are_bounded_and_what_is_evicted_is_counted() -> None:
    releases = RequestReleases(seed=1)
    for request in range(MAX_PENDING + 50):
        releases.add(0, request, repeat=False)
    assert len(releases.pending) == MAX_PENDING and releases.evicted == 50
    assert {release.request for release, _ in releases.take_due(0, fleet())} == set(range(50, 50 + MAX_IN_FLIGHT))


def test_a_server_list_without_engines_keeps_releases_owed() -> None:
    releases = RequestReleases(seed=1)
    releases.add(0, 7, repeat=False)
    assert releases.take_due(OUTAGE_US, {}) == []
    assert releases.take_due(OUTAGE_US + RETRY_PAUSE_US, fleet())

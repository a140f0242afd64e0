"""Releases of single states and places: owed until their engine confirms them, at a bounded rate."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardspindle import interface as i
from yardspindle.core.hosts.directory import Server
from yardspindle.core.request.engine_releases import (
    MAX_IN_FLIGHT_PER_SERVER,
    MAX_PAUSE_US,
    MAX_PENDING,
    MIN_RETRY_INTERVAL_US,
    PendingRelease,
    ReleaseQueues,
    ResourceKind,
)


def server(number: int = 1, places: bool = True) -> Server:
    return Server(number, f"s{number}", "h", number, i.Role.WRITE, i.State.SERVING, places)


def test_releases_are_said_until_heard_a_few_at_a_time() -> None:
    releases = ReleaseQueues()
    for part in range(10):
        releases.add(0, server(), ResourceKind.STATE, part, 0)
    releases.add(0, server(2, places=False), ResourceKind.STATE, 1, 0)
    first = releases.take_due(0)
    assert len(first) == MAX_IN_FLIGHT_PER_SERVER and not releases.take_due(0)
    for release in first:
        releases.settled(10, release, confirmed=False)
    due = {release.request for release in releases.take_due(20)}
    assert due == {4, 5, 6, 7}, "releases not yet sent come before unconfirmed ones"
    assert releases.pending == 10


def fail_until(releases: ReleaseQueues, until_us: int, step_us: int = 20_000) -> list[PendingRelease]:
    """Let all calls until then fail; returns them."""
    calls = []
    for now in range(0, until_us, step_us):
        due = releases.take_due(now)
        calls += due
        for release in due:
            releases.settled(now, release, False)
    return calls


@pytest.mark.parametrize("count", [1, 50])
def test_a_release_is_owed_until_its_engine_hears_it_or_is_gone(count: int) -> None:
    """An engine that hung for 30 s kept what it took then: its releases had been given up."""
    hang_us = 60_000_000
    releases = ReleaseQueues()
    for number in range(count):
        releases.add(0, server(), ResourceKind.PLACE, number, 1)
    calls = fail_until(releases, hang_us)
    tries_before_max_pause = 12
    assert releases.pending == count
    assert len(calls) <= hang_us / max(MAX_PAUSE_US / count, MIN_RETRY_INTERVAL_US) + tries_before_max_pause * count
    now = hang_us + max(MAX_PAUSE_US, MIN_RETRY_INTERVAL_US * count)
    while releases.pending:  # one is confirmed, and all others follow at once
        for release in releases.take_due(now):
            releases.settled(now, release, True)


def test_releases_for_engines_that_are_gone_are_dropped() -> None:
    releases = ReleaseQueues()
    for number in (1, 2):
        releases.add(0, server(number), ResourceKind.PLACE, number, 1)
    releases.add(0, server(1), ResourceKind.PLACE, 3, 1)
    (first, third, second) = releases.take_due(0)
    releases.settled(1, first, False)
    releases.settled(1, second, False)
    releases.retain_servers([server(2)])
    releases.settled(2, third, False)  # it was in flight as its engine left
    assert releases.pending == 1
    (left,) = releases.take_due(MAX_PAUSE_US)
    assert left.server.number == 2 and not releases.evicted


def test_pending_releases_are_bounded_and_what_is_evicted_is_counted() -> None:
    releases = ReleaseQueues()
    for number in range(MAX_PENDING + 50):
        releases.add(0, server(number % 3), ResourceKind.PLACE, number, 1)
    assert releases.pending == MAX_PENDING and releases.evicted == 50


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(1, 3), st.booleans(), st.integers(0, 400_000)), max_size=60))
def test_every_release_is_in_the_end_heard(drawn: list[tuple[int, bool, int]]) -> None:
    releases, now, confirmed_requests = ReleaseQueues(), 0, set()
    for part, (at, confirmed, wait) in enumerate(drawn):
        releases.add(now, server(at), ResourceKind.STATE, part, 0)
        now += wait
        for release in releases.take_due(now):
            releases.settled(now, release, confirmed)
            if confirmed:
                confirmed_requests.add(release.request)
    while (due := releases.next_due_us()) is not None:
        now = max(now, due)
        for release in releases.take_due(now):
            releases.settled(now, release, True)
            confirmed_requests.add(release.request)
    assert releases.pending == 0
    assert len(confirmed_requests) == len(drawn)

"""A release is confirmed soon although all hosts of a role or zone, the last to answer, are now unresponsive."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from yardspindle.core.hosts.directory import Server
from yardspindle.core.request.request_releases import RequestReleases
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

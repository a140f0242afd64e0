"""How soon a release is heard when all hosts of a role or zone, heard last of all, have just fallen silent."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from yardspindle.core.hosts.directory import Server
from yardspindle.core.request.request_releases import RequestReleases
from yardspindle.core.request.timeouts import RELEASE_CALL_US
from yardspindle.interface import Role, State

MS = 1_000
ANSWER_US = 5 * MS
ROUNDS_MOST = 2


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
    """S brink, split+term: 225 ms after the read's end, four rounds of 70 ms leave nothing of the 600 ms."""
    servers = fleet()
    rooms = RequestReleases(seed=1)
    for at, number in enumerate(sorted(servers, key=lambda n: (silent(servers[n]), n))):
        rooms.server_answered(at, number)
    now = 1_000 * MS
    rooms.add(now, 7, repeat=False)
    for _ in range(ROUNDS_MOST):
        asked = rooms.take_due(now, servers)
        assert asked
        for room, host in asked:
            if not silent(host):
                rooms.settled(now + ANSWER_US, room, host.number, True)
        if not rooms.pending:
            return
        now += RELEASE_CALL_US
        for room, host in asked:
            rooms.call_overdue(now, room, host.number)
    raise AssertionError("not heard")

"""An edge core with a reader and two writers, as the platform's dispatcher has it, for tests of the core alone."""

from __future__ import annotations

from typing import Any

from yardspindle import interface as i
from yardspindle.core.hosts.directory import Server
from yardspindle.core.request import commands as c
from yardspindle.core.request.edge_core import EdgeCore
from yardspindle.core.request.records import EdgeRules

RULES = EdgeRules(
    effects={"safe": i.Effect.SAFE, "once": i.Effect.UNSAFE},
    release_us=300_000,
    drain_grace_us=500_000,
    answer_slack_us=8_000,
    retry_after_us=1_000_000,
    max_attempts=6,
    max_open_requests=100,
    release_by_request=True,
)
READER, WRITER, WRITER2 = 1, 2, 3


def server(number: int, role: i.Role, state: i.State = i.State.SERVING) -> Server:
    return Server(number, f"s{number}", "127.0.0.1", 1000 + number, role, state, places=True)


def started_core(rules: EdgeRules = RULES) -> EdgeCore:
    core = EdgeCore(rules)
    core.planner_up(0, 1)
    core.update_servers(0, [server(READER, i.Role.READ), server(WRITER, i.Role.WRITE), server(WRITER2, i.Role.WRITE)])
    return core


def kinds(commands: list[c.Command]) -> list[str]:
    return [type(command).__name__ for command in commands if not isinstance(command, c.NotifyPlanner)]


def commands_of(kind: type[Any], commands: list[c.Command]) -> list[Any]:
    return [command for command in commands if isinstance(command, kind)]


def mark_written(core: EdgeCore, attempt: int, request: int = 1) -> None:
    """The attempt's connection is up and its last byte has been written."""
    assert core.start_sending(0, request, attempt)
    core.attempt_written(request, attempt)


def mark_place_requested(core: EdgeCore, place: int = 1, writer: int = 2, request: int = 1) -> None:
    """The place request has been written, after its read was."""
    assert core.place_requested(0, request, place, server(writer, i.Role.WRITE))


def start_reading(core: EdgeCore, cls: str = "safe") -> None:
    core.request_arrived(0, i.Request(1, cls, 5_000_000, 100.0))
    core.apply_action(0, 1, i.Send(1, READER))
    core.apply_action(0, 1, i.Ahead(1, WRITER))

"""Tasks that a program needs for as long as it lives go on after an error, such as a lack of memory."""

from __future__ import annotations

import errno
import sys
from collections.abc import Callable
from typing import Any

import pytest
import structlog

from tests.platform_standin import Answer, Platform
from yardspindle.cli.common import configure_logging
from yardspindle.core.config import LogConfig
from yardspindle.core.request.commands import Command
from yardspindle.node.app import Node
from yardspindle.runtime.scheduler import Cancelled, Task
from yardspindle.runtime.service import MAX_RESTART_PAUSE_US, MIN_RESTART_PAUSE_US
from yardspindle.runtime.virtual import Simulation


def failing(
    function: Callable[..., Any], failures: int, error: type[BaseException] = MemoryError
) -> Callable[..., Any]:
    """The function, whose first calls fail."""
    left = failures

    def call(*args: Any, **named: Any) -> Any:
        nonlocal left
        left -= 1
        if left >= 0:
            raise error
        return function(*args, **named)

    return call


def test_a_service_runs_again_after_errors_with_growing_pauses() -> None:
    """Guards against a task that has to go on ending for good at its first error."""
    sim = Simulation(1)
    world = sim.program("node")
    began_us: list[int] = []

    def serve() -> None:
        began_us.append(sim.now_us())
        if len(began_us) < 10:
            raise OSError("out of memory")

    sim.run("main", lambda: world.spawn_service("service", serve).join())
    pauses_us = [after - before for before, after in zip(began_us, began_us[1:], strict=False)]
    assert len(sim.crashes) == 9  # each is reported
    assert pauses_us[:3] == [MIN_RESTART_PAUSE_US, 2 * MIN_RESTART_PAUSE_US, 4 * MIN_RESTART_PAUSE_US]
    assert pauses_us[-1] == MAX_RESTART_PAUSE_US


def test_a_cancelled_service_ends() -> None:
    sim = Simulation(1)
    world = sim.program("node")
    ends: list[str] = []

    def serve() -> None:
        try:
            world.sleep_until(sim.now_us() + 60_000_000)
        except Cancelled:
            ends.append("cancelled")
            raise

    def main() -> None:
        task: Task = world.spawn_service("service", serve)
        world.sleep_until(sim.now_us() + 1_000)
        task.cancel()
        task.join()

    sim.run("main", main)
    assert ends == ["cancelled"] and not sim.crashes


def run_with_failure(main: Callable[[Platform, Node], Any], failing_task: str) -> Any:
    """Runs a dispatcher; its only crash is that of the given task."""
    sim = Simulation(3)

    def run() -> Any:
        platform = Platform(sim)
        _, node = platform.node()
        return main(platform, node)

    result = sim.run("main", run)
    assert sim.crashes == [f"node: task {failing_task}: MemoryError: "]
    return result


def test_the_server_list_is_followed_after_an_answer_that_could_not_be_taken(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the task that follows discovery ending: no later list was heard."""

    def main(platform: Platform, node: Node) -> None:
        monkeypatch.setattr(node.host_list, "apply", failing(node.host_list.apply, 1))
        platform.revision += 1
        platform.sleep(500_000)
        assert node.host_list.revision == platform.revision

    run_with_failure(main, "discovery")


def test_clients_are_accepted_after_one_that_could_not_be(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the task that accepts connections ending: no later client was served."""

    def main(platform: Platform, node: Node) -> int:
        monkeypatch.setattr(node._server, "_admit", failing(node._server._admit, 1))  # type: ignore[union-attr]
        platform.connect()
        platform.sleep(100_000)
        with platform.clients.deadline(platform.clients.now_us() + 5_000_000):
            return platform.ask(b"9b1f03aa5c7e2d41").status

    assert run_with_failure(main, "accept") == 200


def test_deadlines_are_checked_after_a_check_that_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the task that checks the core's deadlines ending."""

    def main(platform: Platform, node: Node) -> int:
        checks_us: list[int] = []
        tick = failing(node.core.tick, 1)

        def count_tick(now_us: int) -> list[Command]:
            checks_us.append(now_us)
            return tick(now_us)  # type: ignore[no-any-return]

        monkeypatch.setattr(node.core, "tick", count_tick)
        platform.ask(b"9b1f03aa5c7e2d41")
        platform.sleep(2 * MAX_RESTART_PAUSE_US)
        platform.ask(b"9b1f03aa5c7e2d42")
        return len(checks_us)

    assert run_with_failure(main, "tick") > 1


def test_a_request_goes_on_after_an_attempt_whose_task_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an attempt whose end is not reported: its request was answered at its deadline only."""
    sim = Simulation(3)

    def main() -> Answer:
        platform = Platform(sim)
        _, node = platform.node()
        hosts = node.executor._hosts
        monkeypatch.setattr(hosts, "send", failing(hosts.send, 1))
        return platform.ask(b"9b1f03aa5c7e2d41", deadline_ms=5_000)

    answer = sim.run("main", main)
    assert answer.status == 200 and answer.took_us < 1_000_000 and not sim.crashes


def test_a_log_that_cannot_be_written_ends_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a task that ends as the disk of its log is full."""

    class FullDisk:
        def write(self, _: str) -> None:
            raise OSError(errno.ENOSPC, "No space left on device")

        def flush(self) -> None:
            self.write("")

    monkeypatch.setattr(sys, "stderr", FullDisk())
    try:
        configure_logging(LogConfig())
        structlog.get_logger("test").error("x")
    finally:
        structlog.reset_defaults()

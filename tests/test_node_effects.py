"""Retries depend only on the effect in the settings of a class, also with short deadlines."""

from __future__ import annotations

import json
from typing import Any

import pytest

from tests.platform_standin import ENVIRONMENT, SETTINGS, Host, Platform, plain, write
from tests.test_node import writers
from yardspindle.node.app import Node
from yardspindle.node.config import parse_config
from yardspindle.runtime.virtual import Simulation
from yardspindle.runtime.world import Stream

SHORT_MS = 600


def with_effect(effect: str) -> dict[str, Any]:
    services = [
        {**row, "idempotency": effect, "goal-time-us": 200_000, "give-up-us": SHORT_MS * 1_000}
        for row in SETTINGS["services"]
    ]
    return {**SETTINGS, "services": services}


def run_requests(effect: str, script: Any) -> tuple[Platform, list[int], list[int]]:
    """Six requests of both classes, whose first write goes to the script: the platform, statuses and durations."""
    sim = Simulation(4)
    statuses: list[int] = []
    durations_us: list[int] = []

    def main() -> Platform:
        platform = Platform(sim)
        node = Node(
            sim.program("node"), parse_config(ENVIRONMENT, json.dumps({"settings": with_effect(effect)}).encode())
        )
        node.world.spawn("start", node.start).join()
        for number in range(6):
            calls: list[int] = []

            def first(host: Host, to: Stream, request_id: bytes, calls: list[int] = calls) -> bool:
                calls.append(1)
                return bool(script(host, to)) if len(calls) == 1 else write(host, to, request_id)

            for host in writers(platform):
                host.script = first
            answer = platform.ask(b"id%d" % number, (b"ask", b"order")[number % 2], SHORT_MS)
            statuses.append(answer.status)
            durations_us.append(answer.took_us)
            platform.sleep(1_000_000)
        assert (
            not node.core.lifecycle.requests
            and not node.core.request_releases.pending
            and not node.core.rule_checker.last_violation
        )
        return platform

    platform = sim.run("main", main)
    assert sim.crashes == []
    return platform, statuses, durations_us


def respond_500(host: Host, to: Stream) -> bool:
    to.write(plain(500))
    return True


def hang(host: Host, to: Stream) -> bool:
    host.sleep(60_000_000)
    return False


@pytest.mark.parametrize("effect", ["free", "guarded", "single_shot"])
def test_what_may_have_run_is_tried_again_only_where_its_effect_allows(effect: str) -> None:
    platform, statuses, _ = run_requests(effect, respond_500)
    for number, status in enumerate(statuses):
        written = platform.calls_of(b"id%d" % number).count("write")
        if effect == "free":
            assert (status, written) == (200, 2)
        else:
            assert (written, status) == (1, 502) or (written, status) == (1, 504)


@pytest.mark.parametrize("effect", ["free", "guarded", "single_shot"])
def test_a_short_deadline_is_kept_whatever_hangs(effect: str) -> None:
    platform, statuses, durations_us = run_requests(effect, hang)
    assert max(durations_us) < SHORT_MS * 1_000 + 50_000
    for number, status in enumerate(statuses):
        written = platform.calls_of(b"id%d" % number).count("write")
        if effect == "free":  # an unanswered write is aborted and retried while there is time
            assert 1 <= written <= 3 and status == (200 if written > 1 else 503)
        else:
            assert written == 1 and status in (502, 504)


@pytest.mark.parametrize(
    ("effect", "written", "status"),
    [
        ("free", True, 503),
        ("free", False, 503),
        ("single_shot", True, 502),
        ("single_shot", False, 503),
        ("guarded", True, 502),
        ("guarded", False, 503),
    ],
)
def test_an_attempt_cut_off_as_the_process_leaves_is_no_ground_for_a_refusal(
    effect: str, written: bool, status: int
) -> None:
    """Whether a written attempt ran is unknown, also at a reader; a refusal would claim that it has not run."""
    sim = Simulation(5)

    def main() -> None:
        platform = Platform(sim)
        node = Node(
            sim.program("node"), parse_config(ENVIRONMENT, json.dumps({"settings": with_effect(effect)}).encode())
        )
        node.world.spawn("start", node.start).join()

        def hang(host: Host, to: Stream, number: bytes) -> bool:
            host.sleep(60_000_000)
            return False

        for host in platform.hosts.values():
            host.script = hang
            if not written:  # no connection is established
                sim.network.cut("node", host.name)
        client_task = platform.clients.spawn("ask", platform.ask, b"id", b"order", SHORT_MS)
        platform.sleep(100_000)
        node.executor.perform(node.core.shut_down(node.world.now_us()))
        assert client_task.join().status == status and not node.core.rule_checker.last_violation

    sim.run("main", main)
    assert sim.crashes == []

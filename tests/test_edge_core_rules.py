"""The edge's core with injected faults: its rule checker must find them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.test_edge_core import BOTH, READER, READER2, WRITER, CoreDriver, steps
from yardspindle import interface as i
from yardspindle.core.request import commands as c
from yardspindle.core.request import lifecycle


def run_steps(script: list[tuple[str, Any, Any]]) -> CoreDriver:
    driver = CoreDriver()
    for step in script:
        driver.step(*step)
    driver.finish()
    return driver


@settings(max_examples=400, deadline=None)
@given(st.lists(steps, max_size=60))
def test_no_rule_breaks_whatever_planner_engines_and_clients_do(script: list[tuple[str, Any, Any]]) -> None:
    driver = run_steps(script)
    assert driver.violations == []
    assert all(count == 1 for count in driver.answers.values())
    assert not driver.core.lifecycle.requests and not driver.in_flight, "every request ended"
    assert driver.core.engine_releases.pending == 0 and not driver.core.rule_checker.requests
    tally = driver.core.lifecycle.counts
    assert tally.taken == len(driver.request_numbers) == tally.served + tally.refused + tally.failed + tally.left


def test_the_watch_finds_each_planted_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    def violated_rules(inject: Callable[[pytest.MonkeyPatch], None], script: list[tuple[str, Any, Any]]) -> set[str]:
        with monkeypatch.context() as patch:
            inject(patch)
            return {found.rule for found in run_steps(script).violations}

    def never_ran(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(lifecycle, "may_have_run", lambda role, status: False)

    written = [("arrive", "once", 400), ("send", 0, READER), ("end", 0, i.Status.READ), ("send", 0, WRITER)]
    assert violated_rules(never_ran, [*written, ("end", 0, i.Status.RESET), ("act", 0, "refuse")]) == {
        "no effect twice"
    }
    retried = [*written, ("end", 0, i.Status.RESET), ("send", 0, READER), ("send", 0, BOTH)]
    assert violated_rules(never_ran, retried) == {"no effect twice"}

    def allow_any_send(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(
            lifecycle.Lifecycle,
            "_reason_not_to_send",
            lambda self, now, record, number: (None, self.directory.servers.get(number)),
        )

    assert violated_rules(allow_any_send, [("arrive", "safe", 400), ("send", 0, READER), ("send", 0, READER2)]) == {
        "no effect twice"
    }
    drained = [("arrive", "safe", 400), ("drain", READER, 0), ("wait", 150, 0), ("send", 0, READER)]
    assert violated_rules(allow_any_send, drained) == {"drains kept"}

    def no_ticks(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(lifecycle.Lifecycle, "tick", lambda self, now: [])

    assert violated_rules(no_ticks, [("arrive", "safe", 100)]) == {"one final answer"}
    held = [("arrive", "safe", 400), ("send", 0, READER), ("end", 0, i.Status.READ), ("wait", 199, 0)] * 1
    assert "nothing left pinned" in violated_rules(no_ticks, [*held, ("wait", 199, 0)])

    def ignore_unconfirmed_write(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(lifecycle.Lifecycle, "_unconfirmed_write", lambda self, now, record, in_flight: None)

    placed = [
        ("arrive", "safe", 400),
        ("send", 0, READER),
        ("ahead", 0, WRITER),
        ("place", 0, True),
        ("end", 0, i.Status.READ),
        ("send", 0, WRITER),
        ("end", 0, i.Status.RESET),
        ("wait", 199, 0),
    ]
    assert violated_rules(ignore_unconfirmed_write, [*placed, ("wait", 199, 0)]) == {"nothing left pinned"}

    def answers_twice(patch: pytest.MonkeyPatch) -> None:
        def answer(self: Any, now: int, record: Any, final: c.Final, code: str, retry: int = 0) -> None:
            record.final = None
            self._final(record, final, code, retry)

        patch.setattr(lifecycle.Lifecycle, "_answer", answer)

    assert violated_rules(answers_twice, [("arrive", "safe", 400), ("act", 0, "fail"), ("act", 0, "fail")]) >= {
        "one final answer"
    }

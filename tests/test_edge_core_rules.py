"""The edge's core with faults planted: its own watch must find them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.test_edge_core import BOTH, READER, READER2, WRITER, Hostile, steps
from yardspindle import interface as i
from yardspindle.core.request import commands as c
from yardspindle.core.request import lifecycle


def play(script: list[tuple[str, Any, Any]]) -> Hostile:
    world = Hostile()
    for step in script:
        world.step(*step)
    world.finish()
    return world


@settings(max_examples=400, deadline=None)
@given(st.lists(steps, max_size=60))
def test_no_rule_breaks_whatever_planner_engines_and_clients_do(script: list[tuple[str, Any, Any]]) -> None:
    world = play(script)
    assert world.broken == []
    assert all(count == 1 for count in world.answers.values())
    assert not world.core.lifecycle.requests and not world.out, "every request ended"
    assert world.core.engine_releases.pending == 0 and not world.core.rule_checker.requests
    tally = world.core.lifecycle.counts
    assert tally.taken == len(world.numbers) == tally.served + tally.refused + tally.failed + tally.left


def test_the_watch_finds_each_planted_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    def fault(change: Callable[[pytest.MonkeyPatch], None], script: list[tuple[str, Any, Any]]) -> set[str]:
        with monkeypatch.context() as patch:
            change(patch)
            return {found.rule for found in play(script).broken}

    def never_ran(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(lifecycle, "may_have_run", lambda role, status: False)

    written = [("arrive", "once", 400), ("send", 0, READER), ("end", 0, i.Status.READ), ("send", 0, WRITER)]
    assert fault(never_ran, [*written, ("end", 0, i.Status.RESET), ("act", 0, "refuse")]) == {"no effect twice"}
    again = [*written, ("end", 0, i.Status.RESET), ("send", 0, READER), ("send", 0, BOTH)]
    assert fault(never_ran, again) == {"no effect twice"}

    def no_hindrance(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(
            lifecycle.Lifecycle,
            "_reason_not_to_send",
            lambda self, now, r, number: (None, self.directory.servers.get(number)),
        )

    assert fault(no_hindrance, [("arrive", "safe", 400), ("send", 0, READER), ("send", 0, READER2)]) == {
        "no effect twice"
    }
    drained = [("arrive", "safe", 400), ("drain", READER, 0), ("wait", 150, 0), ("send", 0, READER)]
    assert fault(no_hindrance, drained) == {"drains kept"}

    def no_ticks(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(lifecycle.Lifecycle, "tick", lambda self, now: [])

    assert fault(no_ticks, [("arrive", "safe", 100)]) == {"one final answer"}
    held = [("arrive", "safe", 400), ("send", 0, READER), ("end", 0, i.Status.READ), ("wait", 199, 0)] * 1
    assert "nothing left pinned" in fault(no_ticks, [*held, ("wait", 199, 0)])

    def never_untaken(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(lifecycle.Lifecycle, "_unconfirmed_write", lambda self, now, r, out: None)

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
    assert fault(never_untaken, [*placed, ("wait", 199, 0)]) == {"nothing left pinned"}

    def answers_twice(patch: pytest.MonkeyPatch) -> None:
        def answer(self: Any, now: int, r: Any, final: c.Final, code: str, retry: int = 0) -> None:
            r.final = None
            self._final(r, final, code, retry)

        patch.setattr(lifecycle.Lifecycle, "_answer", answer)

    assert fault(answers_twice, [("arrive", "safe", 400), ("act", 0, "fail"), ("act", 0, "fail")]) >= {
        "one final answer"
    }

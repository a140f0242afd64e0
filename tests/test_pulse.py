"""A planner that hangs without closing its link: its detection alone, in the router, and on the virtual World."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import openai
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.fleet_thread import FleetThread
from yardspindle.core.fleet.planner_liveness import MAX_COUNTED_GAP_US, PlannerLiveness
from yardspindle.lab.script import Fault, Script
from yardspindle.lab.traffic_simulation import TrafficSimulation

SILENT_US = 1_000_000
STEP = st.tuples(st.integers(1, 2 * MAX_COUNTED_GAP_US), st.sampled_from(["send", "answer", "answer one", "look"]))


@given(st.lists(STEP, max_size=80))
def test_silence_is_the_oldest_batch_waiting_while_the_edge_ran(steps: list[tuple[int, str]]) -> None:
    """Reference: an unanswered batch ages by every step that is short enough not to be the edge's own stall."""
    liveness, now, number = PlannerLiveness(SILENT_US), 0, 0
    liveness.reset(now)
    waited_us: dict[int, int] = {}
    for passed, what in steps:
        now += passed
        for batch in waited_us:
            waited_us[batch] += passed if passed <= MAX_COUNTED_GAP_US else 0
        if what == "send":
            number += 1
            liveness.record_sent(now, number)
            waited_us[number] = 0
        elif what == "answer one" and waited_us:
            liveness.record_answered(now, min(waited_us))
            del waited_us[min(waited_us)]
        elif what == "answer":
            liveness.record_answered(now, number)
            waited_us.clear()
        assert liveness.timed_out(now) == any(us > SILENT_US for us in waited_us.values())


def test_a_new_link_starts_with_nothing_out() -> None:
    liveness = PlannerLiveness(SILENT_US)
    liveness.reset(0)
    liveness.record_sent(0, 1)
    for now in range(0, 2 * SILENT_US, 20_000):
        liveness.timed_out(now)
    assert liveness.timed_out(2 * SILENT_US)
    liveness.reset(2 * SILENT_US)
    assert not liveness.timed_out(2 * SILENT_US)


def test_a_planner_that_takes_events_and_decides_nothing_is_lost_at_once(tmp_path: Path) -> None:
    with FleetThread(tmp_path, {"edge": {"planner_silent_ms": 200.0}}) as fleet:
        client = openai.OpenAI(base_url=fleet.url, api_key="none-needed", max_retries=0)
        ask: Any = {"model": "yardspindle-demo", "messages": [{"role": "user", "content": "x"}], "max_tokens": 1}
        assert client.chat.completions.create(**ask).choices
        epoch = fleet.edge.core.epoch

        def hang() -> None:
            for session in fleet.planner.sessions:
                session.handle_frame = lambda frame: None  # type: ignore[method-assign]

        fleet.call(hang)
        began = time.monotonic()
        with pytest.raises(openai.InternalServerError) as caught:
            client.chat.completions.create(**ask)
        assert (caught.value.status_code, caught.value.code) == (503, "planner_lost")
        assert caught.value.response.headers["retry-after-ms"]
        assert time.monotonic() - began < 2.0, "refused well before its deadline of three seconds"
        fleet.until(lambda: fleet.edge.core.epoch != 0)
        assert client.chat.completions.create(**ask).choices
        assert fleet.edge.core.epoch == epoch, "the same planner, on another link"
        assert fleet.edge.core.rule_checker.last_violation is None


@pytest.mark.parametrize("kind", ["planner stalls", "link cut up", "link cut down"])
def test_while_a_planner_hangs_requests_are_refused_and_not_left_to_their_deadlines(kind: str) -> None:
    faults = tuple(Fault(kind, 500, 6_000, on) for on in (("",) if kind == "planner stalls" else ("edge0", "edge1")))
    script = Script(1, tuple((number, 100 * number) for number in range(50)), faults)
    lines: list[str] = []
    fleet = TrafficSimulation(script, lines.append)
    outcome = fleet.run()
    assert outcome.breaks == () and outcome.tally["refused"] > 20
    assert outcome.tally["served"] > 5
    late = [
        edge.edge.core.lifecycle.counts.interlocks.get("answer overdue", 0)
        for edge in fleet._edges.values()
        if edge.edge is not None
    ]
    assert late == [0, 0], "no request had to wait for its own deadline"


def test_an_edge_that_stalled_itself_does_not_blame_its_planner() -> None:
    script = Script(
        2,
        tuple((number, 15 * number) for number in range(400)),
        tuple(Fault("edge stalls", at_ms, 1_200, "edge0") for at_ms in range(300, 6_000, 1_300)),
    )
    fleet = TrafficSimulation(script)
    down_times: list[int] = []
    start = fleet.start_edge

    def start_watched(name: str) -> None:
        start(name)
        edge = fleet._edges[name].edge
        assert edge is not None
        down = edge.planner_link._on_down
        edge.planner_link._on_down = lambda: (down_times.append(fleet.sim.now_us()), down())[1]  # type: ignore[func-returns-value]

    fleet.start_edge = start_watched  # type: ignore[method-assign]
    assert fleet.run().breaks == ()
    assert all(at == fleet.sim.now_us() for at in down_times), "links went down only when the run ended"

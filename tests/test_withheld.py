"""The clock that does not count withheld processor time: it leaves out pauses and nothing else."""

from __future__ import annotations

import os
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.fleet_thread import FleetThread
from tests.test_prefix_path import HABITS, start_fleet
from tests.withheld import RunningTimePoller, RunningTimeWorld
from yardspindle.lab.audit import AuditLimits, AuditReport, audit_journals
from yardspindle.lab.clients import ClientClass, Clients, RequestPlan
from yardspindle.lab.day import read_journal
from yardspindle.runtime.poller import PollPoller

S = 1_000_000
BUSY = "import os, sys\nos.sched_setaffinity(0, {int(sys.argv[1])})\nprint(flush=True)\nwhile True: pass"


def run_in_thread(work: Callable[[RunningTimeWorld], Any]) -> Any:
    """Runs work in a World in a thread of its own, whose processor can be chosen."""
    result: list[Any] = []
    world = RunningTimeWorld(seed=1)
    thread = threading.Thread(target=lambda: result.append(world.run("test", lambda: work(world))))
    thread.start()
    thread.join()
    return result[0]


def test_waits_for_a_shared_processor_are_left_out_and_time_that_the_thread_ran_is_not() -> None:
    def work(world: RunningTimeWorld) -> tuple[int, int, int, int]:
        processor = min(os.sched_getaffinity(0))
        os.sched_setaffinity(0, {processor})
        with subprocess.Popen([sys.executable, "-c", BUSY, str(processor)], stdout=subprocess.PIPE) as other:
            try:
                assert other.stdout is not None and other.stdout.readline()
                since, before_us = world.now_us(), world.measure.withheld_us
                real_ns, ran_ns = time.monotonic_ns(), time.thread_time_ns()
                while time.thread_time_ns() - ran_ns < 300_000_000:
                    world.now_us()
                ran_us = (time.thread_time_ns() - ran_ns) // 1_000
                real_us = (time.monotonic_ns() - real_ns) // 1_000
                counted_us = world.now_us() - since
                world.sleep_until(world.now_us() + 10_000)
                return world.measure.withheld_us - before_us, counted_us, real_us, ran_us
            finally:
                other.kill()

    withheld, counted, real, ran = run_in_thread(work)
    assert withheld > 0.1 * S, "the other process had a share of the processor"
    assert withheld >= 0.9 * (real - ran) - 20_000
    assert counted <= ran + 0.1 * (real - ran) + 20_000


def test_sleep_is_counted() -> None:
    def work(world: RunningTimeWorld) -> tuple[int, int]:
        before_us, late_us = world.measure.withheld_us, 0
        since = at = PollPoller.now_us(world.measure)
        while at < since + S // 2:
            world.sleep_until(world.now_us() + 2_000)
            woken = PollPoller.now_us(world.measure)
            late_us += woken - at - 2_000
            at = woken
        return world.measure.withheld_us - before_us, late_us

    withheld, late = run_in_thread(work)
    assert withheld <= late + 20_000


def test_the_clock_leaves_out_what_samples_find_and_never_goes_back(monkeypatch: pytest.MonkeyPatch) -> None:
    real_us, waited_us, stolen_us = 0, 0, 0
    monkeypatch.setattr(PollPoller, "now_us", lambda self: real_us)
    monkeypatch.setattr(RunningTimePoller, "_read_counters", lambda self: (waited_us, {"cpu0": stolen_us}, "cpu0"))
    poller = RunningTimePoller()
    poller.thread = threading.get_ident()
    found = []
    for real_us, waited_us, stolen_us in (  # noqa: B007
        (10_000, 0, 0),
        (14_000, 4_000, 0),  # the next sample is not due: the wait is still counted
        (16_000, 4_000, 0),  # a sample: the clock waits for the time that it had counted
        (17_000, 4_000, 0),
        (19_000, 4_000, 0),
        (3_020_000, 3_004_000, 0),
        (3_030_000, 3_004_000, 10_000),
        (3_040_000, 3_004_000, 90_000),  # never more than what has passed
        (4_040_000, 3_004_000, 90_000),
    ):
        found.append(poller.now_us())
    assert found == [10_000, 14_000, 14_001, 14_002, 15_000, 16_000, 16_001, 16_002, 1_016_000]


def audited_request(fleet: FleetThread, pause_us: int) -> AuditReport:
    """Sends a request with a deadline of 0.5 s; the thread computes for `pause_us` when it has been sent.

    It does not sleep: what a hypervisor takes from its processor meanwhile would count as withheld from it.
    """
    lines: list[dict[str, Any]] = []

    def run() -> bool:
        clients = Clients(fleet.world, "yardspindle-demo", lines.append, HABITS)
        plan = RequestPlan(0, ClientClass("chat", 1.0, 500.0, 6), 0, 10, True, 0, False, S // 2, S // 10)
        task = fleet.world.spawn("client", clients.request, plan, [("127.0.0.1", fleet.port)])
        fleet.world.sleep_until(fleet.world.now_us() + 5_000)
        ran_ns = time.thread_time_ns()
        while time.thread_time_ns() - ran_ns < pause_us * 1_000:
            pass
        task.join()
        return True

    assert fleet.call(run)
    return audit_journals([], [*read_journal(str(fleet.journal)), *lines], AuditLimits())


def test_an_answer_that_is_late_although_the_thread_could_run_is_found(tmp_path: Path) -> None:
    for name, pause_us, outcome in (("ok", 0, "served"), ("late", 3 * S, "late")):
        (tmp_path / name).mkdir()
        with start_fleet(tmp_path / name) as fleet:
            report = audited_request(fleet, pause_us)
        assert report.outcomes == {"chat": {outcome: 1}}
        assert [rule for rule, _ in report.violations] == ["one final answer"] * (outcome == "late")

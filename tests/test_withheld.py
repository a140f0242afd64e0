"""The measure of withheld processor time that journals are corrected by: it counts pauses and nothing else."""

from __future__ import annotations

import os
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from typing import Any

from tests.withheld import MeasuredWorld

S = 1_000_000
BUSY = "import os, sys\nos.sched_setaffinity(0, {int(sys.argv[1])})\nprint(flush=True)\nwhile True: pass"


def run_in_thread(work: Callable[[MeasuredWorld], Any]) -> Any:
    """Runs work in a World in a thread of its own, whose processor can be chosen."""
    result: list[Any] = []
    world = MeasuredWorld(seed=1)
    thread = threading.Thread(target=lambda: result.append(world.run("test", lambda: work(world))))
    thread.start()
    thread.join()
    return result[0]


def test_waits_for_a_shared_processor_are_measured_and_time_that_the_thread_ran_is_not() -> None:
    def work(world: MeasuredWorld) -> tuple[int, int, int]:
        processor = min(os.sched_getaffinity(0))
        os.sched_setaffinity(0, {processor})
        with subprocess.Popen([sys.executable, "-c", BUSY, str(processor)], stdout=subprocess.PIPE) as other:
            try:
                assert other.stdout is not None and other.stdout.readline()
                since, ran_ns = world.now_us(), time.thread_time_ns()
                while time.thread_time_ns() - ran_ns < 300_000_000:
                    world.now_us()
                now, ran_us = world.now_us(), (time.thread_time_ns() - ran_ns) // 1_000
                world.sleep_until(now + 10_000)
                measured = world.measure.withheld_us(world.now_us()) - world.measure.withheld_us(since)
                return measured, now - since, ran_us
            finally:
                other.kill()

    measured, elapsed, ran = run_in_thread(work)
    assert measured > 0.1 * S, "the other process had a share of the processor"
    assert measured >= 0.9 * (elapsed - ran) - 20_000


def test_sleep_is_not_measured() -> None:
    def work(world: MeasuredWorld) -> tuple[int, int]:
        since = at = world.now_us()
        late_us = 0
        while at < since + S // 2:
            world.sleep_until(at + 2_000)
            late_us += world.now_us() - at - 2_000
            at = world.now_us()
        return world.measure.withheld_us(at) - world.measure.withheld_us(since), late_us

    measured, late = run_in_thread(work)
    assert measured <= late + 20_000


def test_times_of_lines_lose_the_time_withheld_before_them_and_keep_their_order() -> None:
    world = MeasuredWorld(seed=1)
    world.measure._samples = [(1_000, 0), (6_000, 4_000), (3_006_000, 3_004_000)]
    lines = [{"t": 3_006_500}, {"t": 2_000}, {"t": 5_900}, {"t": 6_000, "first_t": 3_006_000}, {"t": 3_006_000}]
    assert world.running_time(lines) == [
        {"t": 2_000},
        {"t": 5_900},
        {"t": 5_900, "first_t": 2_000},
        {"t": 5_900},
        {"t": 5_900},
    ]

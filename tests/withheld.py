"""A World whose clock does not count the time for which the machine kept its thread from running."""

from __future__ import annotations

import os
import threading
from pathlib import Path
from typing import Any

from yardspindle.runtime.poller import PollPoller
from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.scheduler import Scheduler, Signal

SAMPLE_INTERVAL_US = 5_000
TICK_US = 1_000_000 // os.sysconf("SC_CLK_TCK")


class RunningTimePoller(PollPoller):
    """Samples withheld time when the clock is read, so that the first time read after a pause already includes it.

    Withheld time is what the thread waited in the run queue, and what a hypervisor took from the processor that it runs
    on. The latter also counts while the thread waits for events, when nothing is withheld from it: some task of the
    World must wake up often, so that these waits are short.
    """

    def __init__(self) -> None:
        super().__init__()
        self.thread = 0  # the thread that is measured
        self.withheld_us = 0  # until the last sample
        self._latest_us = 0
        self._sampled_us = self._waited_us = 0
        self._stolen_us: dict[str, int] = {}

    def now_us(self) -> int:
        """The time without the time withheld. It passes while the measured thread computes, sleeps or blocks.

        Each read in that thread is later than the one before, also when a sample has found time withheld that the clock
        had counted: the audit orders journal lines by their times.
        """
        now = super().now_us()
        if threading.get_ident() != self.thread:
            return max(self._latest_us, now - self.withheld_us)
        if now - self._sampled_us >= SAMPLE_INTERVAL_US:
            self._sample(now)
        self._latest_us = max(self._latest_us + 1, now - self.withheld_us)
        return self._latest_us

    def _sample(self, now: int) -> None:
        waited_us, stolen_us, processor = self._read_counters()
        if self._sampled_us:
            more = waited_us - self._waited_us + stolen_us[processor] - self._stolen_us[processor]
            self.withheld_us += min(more, now - self._sampled_us)
        self._sampled_us, self._waited_us, self._stolen_us = now, waited_us, stolen_us

    def _read_counters(self) -> tuple[int, dict[str, int], str]:
        """The thread's time in the run queue, the time taken from each processor, and the thread's processor."""
        waited_us = int(Path("/proc/thread-self/schedstat").read_text().split()[1]) // 1_000
        processor = "cpu" + Path("/proc/thread-self/stat").read_text().rpartition(")")[2].split()[36]
        rows = [row.split() for row in Path("/proc/stat").read_text().splitlines() if row.startswith("cpu")]
        return waited_us, {row[0]: int(row[8]) * TICK_US for row in rows}, processor


class RunningTimeWorld(RealWorld):
    """Measures the thread that runs it. All its timers run by the clock that does not count withheld time."""

    def __init__(self, seed: int | None = None) -> None:
        super().__init__(seed)
        self.measure = self.poller = RunningTimePoller()
        self.scheduler = Scheduler(self.poller)
        self.stop = Signal(self.scheduler)

    def run(self, name: str, function: Any, *args: Any) -> Any:
        self.measure.thread = threading.get_ident()
        return super().run(name, function, *args)

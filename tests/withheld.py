"""A World that measures for how long the machine kept its thread from running, and journals without that time."""

from __future__ import annotations

import os
import threading
from bisect import bisect_right
from pathlib import Path
from typing import Any

from yardspindle.runtime.poller import PollPoller
from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.scheduler import Scheduler, Signal

SAMPLE_INTERVAL_US = 5_000
TICK_US = 1_000_000 // os.sysconf("SC_CLK_TCK")


class MeasuringPoller(PollPoller):
    """Samples withheld time when the clock is read, so that the first time read after a pause already includes it.

    Withheld time is what the thread waited in the run queue, and what a hypervisor took from the processor that it runs
    on. The latter also counts while the thread waits for events, when nothing is withheld from it: some task of the
    World must wake up often, so that these waits are short.
    """

    def __init__(self) -> None:
        super().__init__()
        self.thread = 0  # the thread that is measured
        self._sampled_us = self._waited_us = self._withheld_us = 0
        self._stolen_us: dict[str, int] = {}
        self._samples: list[tuple[int, int]] = []  # time, and time withheld until then

    def now_us(self) -> int:
        now = super().now_us()
        if threading.get_ident() == self.thread and now - self._sampled_us >= SAMPLE_INTERVAL_US:
            self._sample(now)
        return now

    def _sample(self, now: int) -> None:
        waited_us = int(Path("/proc/thread-self/schedstat").read_text().split()[1]) // 1_000
        processor = "cpu" + Path("/proc/thread-self/stat").read_text().rpartition(")")[2].split()[36]
        rows = [row.split() for row in Path("/proc/stat").read_text().splitlines() if row.startswith("cpu")]
        stolen_us = {row[0]: int(row[8]) * TICK_US for row in rows}
        if self._samples:
            more = waited_us - self._waited_us + stolen_us[processor] - self._stolen_us[processor]
            self._withheld_us += min(more, now - self._sampled_us)
        self._sampled_us, self._waited_us, self._stolen_us = now, waited_us, stolen_us
        self._samples.append((now, self._withheld_us))

    def withheld_us(self, at_us: int) -> int:
        """For how long the thread had been kept from running by this time."""
        found = bisect_right(self._samples, at_us, key=lambda sample: sample[0])
        return self._samples[found - 1][1] if found else 0


class MeasuredWorld(RealWorld):
    """Measures the thread that runs it."""

    def __init__(self, seed: int | None = None) -> None:
        super().__init__(seed)
        self.measure = self.poller = MeasuringPoller()
        self.scheduler = Scheduler(self.poller)
        self.stop = Signal(self.scheduler)

    def run(self, name: str, function: Any, *args: Any) -> Any:
        self.measure.thread = threading.get_ident()
        return super().run(name, function, *args)

    def running_time(self, lines: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Journal lines of this World in order, their times without the time withheld."""
        found, latest = [], 0
        for line in sorted(lines, key=lambda line: int(line["t"])):
            latest = max(
                latest, line["t"] - self.measure.withheld_us(line["t"])
            )  # keeps the order of lines although samples are coarse
            times = {"t": latest}
            if "first_t" in line:
                times["first_t"] = line["first_t"] - self.measure.withheld_us(line["first_t"])
            found.append({**line, **times})
        return found

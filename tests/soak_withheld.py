"""Measures, in the soak test, for how long the machine kept each process from running, which its judge takes off.

Withheld time is what a thread waited in the run queue, or what a hypervisor took from its processor. Where it lies is
known to within one sample; a span that covers a sample partly is credited only with what must lie in it.
"""

from __future__ import annotations

import contextlib
import os
import threading
from collections import defaultdict
from pathlib import Path
from time import monotonic

from tests.crossing_ledger import CLIENTS, Ledger

SAMPLE_INTERVAL_S, SHORTEST_S = 0.02, 0.001  # shorter waits in a sample are ordinary and do not count
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
REACTION_S = 0.02  # a process that runs sends what it has recorded, and records what reached it, within this time


class WithheldTime:
    """Withheld time by process name, which stands for all processes that were started under it."""

    def __init__(self) -> None:
        self.pids = {os.getpid(): CLIENTS}
        self.waits: dict[str, list[tuple[float, float, float]]] = defaultdict(list)  # begin, end, seconds in between
        self._sampled_at, self._waited_s, self._stolen_s = monotonic(), dict[int, float](), dict[str, float]()
        self._closed, self._thread = threading.Event(), threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self) -> None:
        self._closed.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._closed.wait(SAMPLE_INTERVAL_S):
            rows = [row.split() for row in Path("/proc/stat").read_text().splitlines() if row.startswith("cpu")]
            stolen_s = {row[0]: int(row[8]) / TICKS_PER_S for row in rows}
            more_s = {cpu: s - self._stolen_s[cpu] for cpu, s in stolen_s.items() if s > self._stolen_s.get(cpu, s)}
            begin, self._sampled_at, self._stolen_s = self._sampled_at, monotonic(), stolen_s
            for pid, process in list(self.pids.items()):
                with contextlib.suppress(OSError):  # the process has ended
                    self._sample_process(pid, process, begin, more_s)

    def _sample_process(self, pid: int, process: str, begin: float, stolen_s: dict[str, float]) -> None:
        for task in Path(f"/proc/{pid}/task").glob("*"):
            with contextlib.suppress(OSError):  # the thread has ended
                self._sample(process, task, begin, stolen_s)

    def _sample(self, process: str, task: Path, begin: float, stolen_s: dict[str, float]) -> None:
        thread, total, end = int(task.name), int((task / "schedstat").read_text().split()[1]) / 1e9, monotonic()
        processor = "cpu" + (task / "stat").read_text().rpartition(")")[2].split()[36] if stolen_s else ""
        taken_s = stolen_s.get(processor, 0.0)
        before = self._waited_s.get(thread, total if process == CLIENTS else 0.0)  # the clients' ran before
        waited_s = max(total - before, min(taken_s, end - begin))
        self._waited_s[thread] = total
        if waited_s >= SHORTEST_S and thread != threading.get_native_id():
            self.waits[process].append((min(begin, end - waited_s), end, waited_s))

    def seconds(self, *spans: tuple[str, float, float]) -> float:
        """For how long at least one of the processes was surely withheld in its span; overlaps count once."""
        pieces = []
        for process, begin, end in spans:
            for since, until, waited_s in self.waits[process]:
                to = min(until, end)
                pieces.append((to, waited_s - (until - since) + to - max(since, begin)))
        total = reached = 0.0
        for to, length in sorted(piece for piece in pieces if piece[1] > 0):
            total, reached = total + to - max(to - length, reached), to
        return total

    def reaction(self, process: str, at: float, sign: int = 1, seconds: float = REACTION_S) -> tuple[str, float, float]:
        """The span from a time on, or until it (sign -1), in which a process had some seconds to run."""
        length, found = 0.0, seconds
        while found > length:
            length, (begin, end) = found, sorted((at, at + sign * found))
            found = seconds + self.seconds((process, begin, end))
        return process, begin, end


class SoakLedger(Ledger):
    """The ledger of one dispatcher process, which takes the time withheld off the durations that it checks."""

    def __init__(self, release_s: float, grace_s: float, process: str, withheld: WithheldTime) -> None:
        super().__init__(release_s, grace_s, lambda: 0.0)
        self.process, self.withheld = process, withheld

    def withheld_s(self, begin: float, end: float, begun_by: str = CLIENTS, ended_by: str = "") -> float:
        """What was withheld from the dispatcher, or from the process that made the begin known or saw the end."""
        others = (self.withheld.reaction(begun_by, begin), self.withheld.reaction(ended_by, end, -1))
        clipped = [(process, max(since, begin), min(to, end)) for process, since, to in others]
        return self.withheld.seconds((self.process, begin, end), *clipped)

"""Runs many seeds on several CPU cores, sums up the results, and shrinks a failing script to what still fails.

A worker process runs one simulation after another. Automatic garbage collection is off, with a collection every few
runs: a simulation is one large object graph that is dropped as a whole. A run never depends on its worker or on
earlier runs.
"""

from __future__ import annotations

import gc
import multiprocessing
import signal
from collections import Counter
from collections.abc import Callable, Generator
from dataclasses import dataclass, field

import msgspec
import structlog

from yardspindle.lab.fleet_simulation import draw_fleet_script, run_fleet_script
from yardspindle.lab.script import FAULT_PAIR_COUNT, Fault, Script, draw_script, overlapping_kinds
from yardspindle.lab.traffic_simulation import Outcome, run_script

GC_INTERVAL = 10  # seeds between garbage collections
ABOVE_ALL_LEVELS = 50  # higher than every level that the programs log at


@dataclass(slots=True)
class SeedSummary:
    """Results of many runs."""

    runs: int = 0
    failed: dict[int, str] = field(default_factory=dict)
    fault_pairs: Counter[tuple[str, str]] = field(default_factory=Counter)
    transitions: Counter[str] = field(default_factory=Counter)
    counts: Counter[str] = field(default_factory=Counter)
    virtual_ms: int = 0

    def add(self, outcome: Outcome) -> None:
        """Add the result of a run."""
        self.runs += 1
        if outcome.breaks:
            self.failed[outcome.seed] = outcome.breaks[0]
        if outcome.trace:  # empty for fleet runs, whose scripts are of another kind, and after an exception
            self.fault_pairs.update(overlapping_kinds(draw_script(outcome.seed)))
        self.transitions.update(outcome.transitions)
        self.counts.update(outcome.tally)
        self.virtual_ms += outcome.virtual_ms

    def summary(self) -> str:
        """The summary as text."""
        states = {name for step in self.transitions for name in step.split(" -> ")}
        # A "world" is a simulation.
        rows = [f"worlds played: {self.runs}, {self.virtual_ms / 3_600_000:.1f} virtual hours"]
        if self.fault_pairs:
            rows.append(f"pairs of faults that overlapped: {len(self.fault_pairs)} of {FAULT_PAIR_COUNT}")
        if self.transitions:
            rows.append(
                f"request life cycle: {len(states)} states, {len(self.transitions)} transitions; the rarest: "
                + "; ".join(f"{step} ({count})" for step, count in self.transitions.most_common()[:-6:-1])
            )
        rows += [f"{name}: {count}" for name, count in sorted(self.counts.items())]
        rows += [f"FAILED seed {seed}: {what}" for seed, what in sorted(self.failed.items())[:50]]
        rows.append(f"seeds that failed: {len(self.failed)}")
        return "\n".join(rows)


def _start_worker(quiet: bool) -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C is handled by the parent, which stops its workers
    gc.disable()
    if quiet:
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(ABOVE_ALL_LEVELS))


def _run_traffic(job: tuple[int, bool]) -> Outcome:
    seed, count = job
    if seed % GC_INTERVAL == 0:
        gc.collect()
    return run_guarded(draw_script(seed), count)


def run_guarded(script: Script, count: bool = False) -> Outcome:
    """Run a script; an exception that ends the run counts as a violation."""
    try:
        return run_script(script, count_transitions=count)
    except Exception as error:
        return Outcome(script.seed, "", (f"run: {type(error).__name__}: {error}",), {}, {}, 0, 0)


def _run_fleet(job: tuple[int, bool]) -> Outcome:
    seed, _ = job
    gc.collect()
    breaks, counts = run_fleet_script(draw_fleet_script(seed))
    return Outcome(seed, "", breaks, dict(counts), {}, 0, 0)


def run_seeds(
    first: int, count: int, jobs: int, transitions: bool, world: str = "traffic"
) -> Generator[Outcome, None, None]:
    """Yield outcomes in the order of completion. Closing the iterator ends the workers.

    `world`: `traffic` (clients, edges, planner, engines) or `fleet` (stewards, store, edges, engines).
    """
    inputs = ((seed, transitions) for seed in range(first, first + count))
    run = _run_fleet if world == "fleet" else _run_traffic
    with multiprocessing.get_context("spawn").Pool(jobs, _start_worker, (True,)) as pool:
        yield from pool.imap_unordered(run, inputs, chunksize=4)


def shrink(script: Script, print_line: Callable[[str], None], fails: Callable[[Script], str] | None = None) -> Script:
    """Reduce a script while it still violates the same rule. Raises ValueError if it violates none."""
    fails = fails or first_violated_rule
    rule = fails(script)
    if not rule:
        raise ValueError("this world breaks nothing")  # the simulation of this script violates no rule

    def still_fails(candidate: Script) -> bool:
        assert fails is not None
        return fails(candidate) == rule

    before: Script | None = None
    while before != script:
        before = script
        script = _fewer_faults(script, still_fails)
        script = _fewer_requests(script, still_fails)
        script = _shorter_faults(script, still_fails)
        print_line(f"{rule}: {len(script.faults)} faults, {len(script.requests)} requests")
    return script


def first_violated_rule(script: Script) -> str:
    """The rule that a script violates first, or an empty string."""
    breaks = run_guarded(script).breaks
    return breaks[0].partition(":")[0] if breaks else ""


def _fewer_faults(script: Script, still_fails: Callable[[Script], bool]) -> Script:
    for fault in script.faults:
        fewer = msgspec.structs.replace(script, faults=tuple(row for row in script.faults if row is not fault))
        if still_fails(fewer):
            script = fewer
    return script


def _fewer_requests(script: Script, still_fails: Callable[[Script], bool]) -> Script:
    """Remove runs of requests: first half of them, then ever smaller runs."""
    size = max(len(script.requests) // 2, 1)
    while True:
        at = 0
        while at < len(script.requests):
            fewer = msgspec.structs.replace(script, requests=script.requests[:at] + script.requests[at + size :])
            if still_fails(fewer):
                script = fewer
            else:
                at += size
        if size == 1:
            return script
        size //= 2


def _shorter_faults(script: Script, still_fails: Callable[[Script], bool]) -> Script:
    for at, fault in enumerate(script.faults):
        while fault.for_ms > 1:
            half: Fault = msgspec.structs.replace(fault, for_ms=fault.for_ms // 2)
            shorter = msgspec.structs.replace(script, faults=script.faults[:at] + (half,) + script.faults[at + 1 :])
            if not still_fails(shorter):
                break
            script, fault = shorter, half
    return script

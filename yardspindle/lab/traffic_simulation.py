"""Runs one seeded script to its end: a whole fleet in simulated time, with faults, checking the rules at each step.

After the last fault, service has to recover: probe requests are served by every edge (the process that holds the client
connections), and afterwards no request is open, no hold, pending release or task is left.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import msgspec
from msgspec import Struct

from yardspindle.lab import fault_injection
from yardspindle.lab.clients import ClientClass, draw_request
from yardspindle.lab.engine_settings import EngineSettings
from yardspindle.lab.fleet import EngineInstance
from yardspindle.lab.script import EDGE_NAMES, ENGINE_NAMES, Script
from yardspindle.lab.simulated_fleet import (
    CHECK_INTERVAL_US,
    CLASSES,
    HABITS,
    HOST,
    PROBE_HABITS,
    ROUTER_RULES,
    RuleViolated,
    SimulatedFleet,
)

PROBE_CLASS = ClientClass("chat", 1.0, 4_000.0, 4)
# Interlocks (rules by which an edge overrides its planner, the process that decides which engine does what) that must
# not act while the planner decides in time: the edge answers a request whose deadline has passed, and releases what was
# held for too long with no attempt running.
FALLBACK_INTERLOCKS = {"answer overdue", "held too long"}
QUIESCE_US = 8_000_000  # after the probes: longer than any hold, time-out and idle connection
RECOVERY_TIMEOUT_US = 6_000_000  # every edge must serve again within this time after the last fault
# Timers of an idle fleet: each engine's check for expired holds, the ticks of each edge and of its policy (the
# planner's decision module), the reader of the server list, the check of the rules, the main task.
MAX_IDLE_TIMERS = len(ENGINE_NAMES) + 2 * len(EDGE_NAMES) + 3
MAX_RUN_US = 90_000_000  # virtual time; a run that has not ended by then is stuck


class Outcome(Struct, frozen=True):
    """The result of a run.

    `trace` is a hash of all that clients and engines saw, `breaks` are rule violations, `tally` counts outcomes of
    requests and what the audit counts."""

    seed: int
    trace: str
    breaks: tuple[str, ...]
    tally: dict[str, int]
    transitions: dict[str, int]
    segments: int  # of the network, delivered
    virtual_ms: int


class TrafficSimulation(SimulatedFleet):
    """Runs a script from start to end."""

    def run(self) -> Outcome:
        """Run to the end, or to the first violation of a rule."""
        started = self.sim.now_us()
        try:
            self.sim.run("world", self._program)
        except RuleViolated:
            pass
        except RuntimeError as error:  # a deadlock: no task can continue
            self._violations.append(f"liveness: {error}")
        report = self.audit.report if self._stopped else self.audit.finish()
        found = [
            *(f"{rule}: {text}" for rule, text in report.violations),
            *self._violations,
            *(f"crash: {text}" for text in self.sim.crashes),
        ]
        tally: Counter[str] = Counter()
        for row in report.outcomes.values():
            tally.update(row)
        tally.update({name: count for name, count in report.counts.items() if count})
        return Outcome(
            self.script.seed,
            self._trace_hash.hexdigest(),
            tuple(dict.fromkeys(found)),
            dict(tally),
            dict(self.transitions),
            self.sim.network.segments,
            (self.sim.now_us() - started) // 1_000,
        )

    def _program(self) -> None:
        sim = self.sim
        self._main_task = sim.scheduler.current
        for name in ENGINE_NAMES:
            role, kind = ("read", "reader") if name[0] == "r" else ("write", "writer")
            settings = msgspec.convert(
                {
                    "name": name,
                    "role": role,
                    "events": role == "read",
                    "slots": 3,
                    "queue": 6,
                    "start_capacity": ROUTER_RULES["start_capacity"],
                    "fall_ms": ROUTER_RULES["fall_ms"],
                    "fall_multiple": ROUTER_RULES["fall_multiple"],
                    "read_tokens_per_s": 20_000.0,
                    "memory_tokens": 40_000,
                    "cache_tokens": 20_000,
                },
                EngineSettings,
            )
            self.instances[name] = EngineInstance(settings, int(name[1]), kind)
        self.start_engines(list(ENGINE_NAMES), 0.0)
        self.start_planner()
        for name, slot in self._edges.items():
            slot.port = sim.next_port()
            self.start_edge(name)
        sim.scheduler.sleep_until(sim.now_us() + 300_000)
        for name, slot in self._edges.items():
            slot.idle_tasks, slot.idle_streams = self._task_names(name), self._stream_count(name)
        self.started_us = sim.now_us()
        watch = sim.scheduler.spawn("rules", self._check_rules)
        tasks = [sim.scheduler.spawn("fault", fault_injection.inject, self, fault) for fault in self.script.faults]
        for number, at_ms in self.script.requests:
            plan = draw_request(sim.random(f"client {number}"), number, CLASSES, HABITS)
            tasks.append(self._clients_world.spawn("client", self._request, plan, self.started_us + at_ms * 1_000))
        for task in tasks:
            task.join()
        for task in self._extra_requests:
            task.join()
        self._check_recovered()
        for clients in (self._clients, self._probe_clients):
            clients.close()
        sim.scheduler.sleep_until(sim.now_us() + QUIESCE_US)
        self._check_nothing_left()
        watch.cancel()

    def _check_rules(self) -> None:
        """Check the rules at regular intervals; stop the run at the first violation."""
        while True:
            self.sim.scheduler.sleep_until(self.sim.now_us() + CHECK_INTERVAL_US)
            self.audit.check_until(self.sim.now_us())
            for name, slot in self._edges.items():
                if slot.edge is not None and slot.edge.core.rule_checker.last_violation is not None:
                    self._violations.append(f"{name}'s rule checker: {slot.edge.core.rule_checker.last_violation}")
                if (
                    slot.edge is not None
                    and not self._decisions_may_be_late
                    and (fired := FALLBACK_INTERLOCKS & slot.edge.core.lifecycle.counts.interlocks.keys())
                ):
                    self._violations.append(
                        f"interlock: {name} fell back on its own time limits: {', '.join(sorted(fired))}"
                    )
            listed = (
                frozenset(server.name for server in self._planner.server_list.servers) if self._planner else frozenset()
            )
            if listed not in self._published_lists:
                self._violations.append(
                    "list: a server list is in force that was never written: " + " ".join(sorted(listed))
                )
            if self.sim.now_us() > self.started_us + MAX_RUN_US:
                self._violations.append(
                    "liveness: still running after the time limit: "
                    + ", ".join(
                        sorted(
                            task.name
                            for task in self.sim.scheduler.tasks
                            if task.gate in (None, self._clients_world.gate)
                        )
                    )
                )
            if self.audit.report.violations or self._violations or self.sim.crashes:
                return self._stop()

    def _check_recovered(self) -> None:
        """Every edge serves a probe request within RECOVERY_TIMEOUT_US."""
        for name, slot in self._edges.items():
            until_us = self.sim.now_us() + RECOVERY_TIMEOUT_US
            while True:
                self._last_number += 1
                plan = draw_request(self.sim.random("probe"), self._last_number, (PROBE_CLASS,), PROBE_HABITS)
                result = self._probe_clients.send_once(plan, 0, (HOST, slot.port))
                if result.outcome == "served":
                    break
                if self.sim.now_us() > until_us:
                    self._violations.append(f"liveness: {name} does not serve again: {result.outcome} {result.code}")
                    return self._stop()
                self.sim.scheduler.sleep_until(self.sim.now_us() + 100_000)

    def _task_names(self, name: str) -> Counter[str]:
        return Counter(task.name for task in self.sim.programs[name].tasks)

    def _stream_count(self, name: str) -> int:
        return sum(stream.world.name == name for stream in self.sim.network.streams)

    def _check_nothing_left(self) -> None:
        """Nothing is open, held, pending release or running, and no task or connection is left."""
        for name, slot in self._edges.items():
            edge = slot.edge
            assert edge is not None
            left = {
                "open requests": len(edge.core.lifecycle.requests),
                "pending releases": edge.core.engine_releases.pending,
                "requests in the executor": len(edge.executor.running),
                "requests in the rule checker": len(edge.core.rule_checker.requests),
                "tasks": len(self._task_names(name) - slot.idle_tasks),
                "connections": max(self._stream_count(name) - slot.idle_streams, 0),
            }
            if any(left.values()):
                self._violations.append(
                    f"liveness: {name} is left with "
                    + ", ".join(f"{count} {what}" for what, count in left.items() if count)
                    + f" {self._task_names(name) - slot.idle_tasks}"
                )
        timers = len(self.sim.scheduler.timers)
        if timers > MAX_IDLE_TIMERS:
            self._violations.append(f"liveness: {timers} timers are left; an idle fleet has at most {MAX_IDLE_TIMERS}")
        for name, engine in self._engines.items():
            held = [*engine.states, *engine.places]
            if held or engine.load.running or engine.load.waiting or engine.load.memory_tokens:
                self._violations.append(f"liveness: {name} is left with {held}, {engine.load.running} running")


def run_script(
    script: Script, print_line: Callable[[str], None] | None = None, count_transitions: bool = False
) -> Outcome:
    """Run a script on a simulated fleet."""
    return TrafficSimulation(script, print_line, count_transitions).run()

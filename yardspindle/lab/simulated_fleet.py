"""A whole fleet on the virtual World: the real edge and planner programs, stand-in engines, clients, and faults.

The World is a program's interface to clock, sockets, files and randomness; an edge is the process that holds the client
connections, the planner the process that decides which engine does what. What clients and engines see goes to the audit
as it happens, and the run stops at the step that violates a rule.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from yardspindle.core.config import Config, parse
from yardspindle.core.request.records import phase
from yardspindle.edge.app import Edge
from yardspindle.engine.http_client import ConnectError
from yardspindle.lab.audit import Audit, AuditLimits
from yardspindle.lab.clients import ClientClass, ClientHabits, Clients, RequestPlan, draw_request
from yardspindle.lab.engine import StandInEngine
from yardspindle.lab.engine_settings import EngineSettings
from yardspindle.lab.fleet import EngineInstance, server_list, to_toml
from yardspindle.lab.script import EDGE_NAMES, LINK_RECOVERY_US, PLANNER, Script
from yardspindle.planner.app import Planner
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import DeadlineExceeded, Task
from yardspindle.runtime.virtual import Simulation, VirtualWorld
from yardspindle.runtime.virtual_network import VirtualStream
from yardspindle.runtime.world import StreamError

HOST = "127.0.0.1"
SERVERS = "servers.toml"
# "order" is the unsafe class: its requests must not run twice.
CLASSES = (ClientClass("chat", 0.5, 4_000.0, 12), ClientClass("order", 0.5, 4_000.0, 12))
HABITS = ClientHabits(hang_up=0.1, stop_reading=0.05, openings=3, opening_words=60, words=30)
PROBE_HABITS = ClientHabits(hang_up=0.0, stop_reading=0.0, retries=0, openings=1, opening_words=4, words=4)
COLD_MS = 2_000.0
ROUTER_RULES = {"cold_ms": COLD_MS, "start_capacity": 0.3, "fall_ms": 500.0, "fall_multiple": 1.2}
# `list_ms` is 0 because `record_draining` journals a changed list only once every edge can know it.
AUDIT_LIMITS = AuditLimits(slack_ms=150.0, abandoned_ms=200.0, list_ms=0.0, unsafe=("order",))
# Faults during which a planner may decide too late, so that the edge applies its own time limits.
PLANNER_DELAY_KINDS = {
    "planner stalls",
    "planner clock",
    "edge stalls",
    "edge clock",
    "link cut up",
    "link cut down",
    "link slow",
}
CHECK_INTERVAL_US = 50_000
LIST_PROPAGATION_US = 250_000  # until a written list has reached every edge
DOCUMENT: dict[str, Any] = {
    "classes": [
        {"name": c.name, "effect": effect, "aim_ms": 1_000, "give_up_ms": c.give_up_ms}
        for c, effect in zip(CLASSES, ("safe", "unsafe"), strict=True)
    ],
    "rules": ROUTER_RULES,
    "index": {"block_size": 64},
    "planner": {"reread_ms": 100.0},
    "edge": {"dispatchers": len(EDGE_NAMES), "stalled_client_ms": 2_000.0, "stalled_stream_ms": 2_000.0},
}


class RuleViolated(Exception):
    """Ends a run at the step that violated a rule."""


class RecordingEngine(StandInEngine):
    """A stand-in engine whose journal lines go to the audit, all with the time of the simulation's one clock."""

    def __init__(self, fleet: SimulatedFleet, world: VirtualWorld, settings: EngineSettings) -> None:
        """An engine of the given fleet, in its own World."""
        self._fleet = fleet
        super().__init__(world, settings)

    def record(self, event: str, request: str = "", **more: object) -> None:
        """Pass an event on to the fleet's journal, unless the engine has been killed (StandInEngine)."""
        world = self.world
        assert isinstance(world, VirtualWorld)
        if world.alive:
            self._fleet.record(box=self.settings.name, ev=event, id=request, **more)


@dataclass(slots=True)
class _EdgeSlot:
    """An edge of the fleet, over all its restarts."""

    edge: Edge | None = None
    port: int = 0
    idle_tasks: Counter[str] = field(default_factory=Counter)  # tasks of an edge that serves no request
    idle_streams: int = 0  # connections of such an edge


class SimulatedFleet:
    """Programs, clients, server list and audit of one run."""

    def __init__(
        self, script: Script, print_line: Callable[[str], None] | None = None, count_transitions: bool = False
    ) -> None:
        """`print_line` gets each journal line; `count_transitions`: count the phase transitions of requests."""
        self.script = script
        self.sim = Simulation(script.seed)
        self.audit = Audit(AUDIT_LIMITS)
        self.instances: dict[str, EngineInstance] = {}
        self.started_us = 0
        self.transitions: Counter[str] = Counter()
        self._engines: dict[str, StandInEngine] = {}
        self._edges = {name: _EdgeSlot() for name in EDGE_NAMES}
        self._planner_port = 0
        self._planner: Planner | None = None
        self._published_lists: set[frozenset[str]] = {frozenset()}  # the names in each list written so far
        self._print_line, self._count_transitions = print_line, count_transitions
        self._trace_hash = hashlib.sha256()
        self._list_fault = ""  # kind of the active fault of the server list file
        self._list_outages, self._list_outage_until_us = 0, 0
        self._clients_world = self.sim.program("clients")
        self._clients = Clients(self._clients_world, "yardspindle-demo", lambda line: self.record(**line), HABITS)
        self._probe_clients = Clients(
            self._clients_world, "yardspindle-demo", lambda line: self.record(**line), PROBE_HABITS
        )
        self._extra_requests: list[Any] = []
        self._last_number = 10_000  # of the latest request that is not in the script; the script's numbers are lower
        self._violations: list[str] = []
        self._main_task: Task | None = None
        self._stopped = False
        self._decisions_may_be_late = any(fault.kind in PLANNER_DELAY_KINDS for fault in script.faults)
        self.sim.files[SERVERS] = b""

    # --- journal

    def record(self, **line: Any) -> None:
        """Stamp a journal line with the current time and pass it to the audit."""
        line["t"] = self.sim.now_us()
        data = msgspec.json.encode(line)
        self._trace_hash.update(data)
        if self._print_line is not None:
            self._print_line(data.decode())
        self.audit.record(line)
        if self.audit.report.violations:
            self._stop()

    def _stop(self) -> None:
        """End the run at this step."""
        if self._main_task is not None and not self._stopped:
            self._stopped = True
            self.sim.scheduler.interrupt(self._main_task, RuleViolated())

    def record_edge(self, event: str, name: str) -> None:
        """Journal what was done to an edge."""
        slot = self._edges[name]
        self.record(ev=event, edge=slot.port, prefix=slot.edge.instance_id if slot.edge is not None else "")

    # --- parts of the fleet

    def running_engine(self, name: str) -> StandInEngine | None:
        """An engine, if its process is alive."""
        return self._engines[name] if self.sim.programs[name].alive else None

    def start_engines(self, names: list[str], cold_ms: float = COLD_MS) -> None:
        """Start engines, cold unless `cold_ms` is 0; restarted ones get their former ports."""
        for name in names:
            instance = self.instances[name]
            instance.settings = msgspec.structs.replace(instance.settings, cold_ms=cold_ms)
            engine = RecordingEngine(self, self.sim.program(name), instance.settings)
            _, instance.port = engine.start(HOST, instance.port, instance.events_port, instance.replay_port)
            instance.events_port, instance.replay_port = engine.events_port, engine.replay_port
            instance.up_since_ms = self.sim.now_us() / 1_000 if cold_ms else 0.0
            self._engines[name] = engine
        self.write_list()

    def kill_engine(self, name: str) -> bool:
        """Kill an engine; False if it is down already."""
        world = self.sim.programs[name]
        if not world.alive:
            return False
        world.kill()
        self.record(ev="killed", box=name, id="")
        return True

    def start_edge(self, name: str) -> None:
        """Start an edge; a restarted one gets its former port."""
        slot, world = self._edges[name], self.sim.program(name, skewed=True)
        edge = slot.edge = Edge(world, self._config(name, slot.port))
        if self._count_transitions:
            self._watch_transitions(edge)
        slot.port = slot.port or self.sim.next_port()
        world.spawn("program", edge.start)
        self.record_edge("edge started", name)

    def kill_edge(self, name: str) -> bool:
        """Kill an edge; False if it is down already."""
        world = self.sim.programs[name]
        if not world.alive:
            return False
        self.record_edge("edge killed", name)
        world.kill()
        return True

    def start_planner(self) -> None:
        """Start the planner; a corrupt server list is repaired first, as an operator would."""
        if self._list_fault:
            self.set_list_fault("")
        self._planner = Planner(self.sim.program(PLANNER, skewed=True), self._config("", 0))
        _, self._planner_port = self._planner.start()

    def _config(self, edge: str, port: int) -> Config:
        document = {**DOCUMENT, "planner": {**DOCUMENT["planner"], "listen": f"{HOST}:{self._planner_port}"}}
        if edge:
            document["edge"] = {
                **DOCUMENT["edge"],
                "planner": f"{HOST}:{self._planner_port}",
                "listen": f"{HOST}:{port}",
                "number": EDGE_NAMES.index(edge),
            }
        return parse("world", to_toml(document))

    def _watch_transitions(self, edge: Edge) -> None:
        """Count the transitions between the phases of each request."""
        core, phases = edge.core, dict[int, str]()
        out = core._out  # called at the end of every event that the core processes

        def count_and_call(now_us: int, commands: Any) -> Any:
            for number, request in core.lifecycle.requests.items():
                now = phase(request)
                before = phases.get(number, "new")
                if now != before:
                    self.transitions[f"{before} -> {now}"] += 1
                    phases[number] = now
            for number in phases.keys() - core.lifecycle.requests.keys():
                self.transitions[f"{phases.pop(number)} -> gone"] += 1
            return out(now_us, commands)

        core._out = count_and_call  # type: ignore[method-assign]

    # --- faults

    def write_list(self) -> None:
        """Write the correct server list, unless a fault on the list is in progress."""
        self._published_lists.add(frozenset(name for name, instance in self.instances.items() if instance.listed))
        if not self._list_fault:
            self.sim.files[SERVERS] = server_list(list(self.instances.values())).encode()

    def set_list_fault(self, kind: str) -> None:
        """Corrupt or remove the server list by the kind of fault; restore it for an empty kind."""
        if kind and self._list_fault:
            return
        self.mark_list_outage(bool(kind)) if bool(kind) != bool(self._list_fault) else None
        self._list_fault = kind
        correct = self.sim.files.get(SERVERS, b"")
        match kind:
            case "list bad":
                self.sim.files[SERVERS] = correct.replace(b"count = ", b"count = 9")  # one digit more: too many
            case "list half":
                self.sim.files[SERVERS] = correct[: len(correct) // 2]
            case "list missing":
                self.sim.files.pop(SERVERS, None)
            case _:
                self.write_list()

    def mark_list_outage(self, begins: bool) -> None:
        """Begin or end a fault of planner, link or file that keeps list changes from the edges."""
        self._list_outages += 1 if begins else -1
        self._list_outage_until_us = self.sim.now_us() + LINK_RECOVERY_US

    def record_draining(self, name: str) -> None:
        """Journal the time from which a draining engine must get nothing new: when every edge can know its state."""

        def record() -> None:
            if self.instances[name].state != "draining":
                return
            if self._list_outages or self.sim.now_us() < self._list_outage_until_us:
                self.sim.scheduler.timers.set(self.sim.now_us() + CHECK_INTERVAL_US, record)
            else:
                self.record(ev="control", box=name, id="", do="listed_draining")

        # A fault that begins within this time may keep the list from edges that have not read it yet.
        self.sim.scheduler.timers.set(self.sim.now_us() + LIST_PROPAGATION_US, record)

    def reset_connections(self, one: str, other: str) -> None:
        """Break both ends of every connection between two programs."""
        for stream in [
            row
            for row in self.sim.network.streams
            if row.world.name == one and row.remote is not None and row.remote.world.name == other
        ]:
            assert stream.remote is not None
            stream.receive_reset()
            stream.remote.receive_reset()

    def add_request(self, after_us: int, hangs_up: bool, half_closes: bool) -> None:
        """Add a request to a flood."""
        self._last_number += 1
        number, rng = self._last_number, self.sim.random(f"client {self._last_number}")
        habits = msgspec.structs.replace(HABITS, hang_up=1.0 if hangs_up else 0.0)
        plan = draw_request(rng, number, CLASSES, habits)
        self._extra_requests.append(
            self._clients_world.spawn(
                "client", self._half_close if half_closes else self._request, plan, self.sim.now_us() + after_us
            )
        )

    # --- clients

    def _edge_addresses(self) -> list[tuple[str, int]]:
        return [(HOST, slot.port) for slot in self._edges.values()]

    def _request(self, plan: RequestPlan, at_us: int) -> None:
        self.sim.scheduler.sleep_until(at_us)
        self._clients.request(plan, self._edge_addresses())

    def _half_close(self, plan: RequestPlan, at_us: int) -> None:
        """A client that sends its request, closes its sending side and keeps reading.

        How its answer ends is not checked: the outcome is always recorded as "left"."""
        self.sim.scheduler.sleep_until(at_us)
        host, port = self._edge_addresses()[plan.number % len(self._edges)]
        name, world = f"q{plan.number}.0", self._clients_world
        body = msgspec.json.encode(
            {
                "model": "yardspindle-demo",
                "stream": plan.stream,
                "max_tokens": 5,
                "messages": [{"role": "user", "content": "half"}],
                "metadata": {"class": plan.cls.name, "lab_id": name, "timeout_ms": f"{plan.deadline_us / 1_000:.1f}"},
            }
        )
        self.record(
            ev="send",
            edge=port,
            deadline_us=plan.deadline_us,
            cls=plan.cls.name,
            order=f"q{plan.number}",
            **{"try": name},
        )
        try:
            stream = world.connect(host, port, world.now_us() + 1_000_000)
            assert isinstance(stream, VirtualStream)
            try:
                with world.deadline(world.now_us() + plan.deadline_us + 1_000_000):
                    stream.write(
                        http1.write_request(
                            b"POST",
                            b"/v1/chat/completions",
                            [(b"host", b"x"), (b"content-type", b"application/json")],
                            body,
                        )
                    )
                    stream.send_eof()
                    while stream.read():
                        pass
            finally:
                stream.close()
        except (ConnectError, StreamError, DeadlineExceeded):
            pass
        self.record(
            ev="final", outcome="left", code="", status=0, events=0, extra=0, first_t=self.sim.now_us(), **{"try": name}
        )

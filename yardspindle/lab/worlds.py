"""One seeded world played to its end: the whole fleet on the virtual World, its troubles, the rules at every step.

Edges, planner, engines and clients are the programs as they run on sockets. What clients and boxes see goes to the
audit as it happens, and the run stops at the step that breaks a rule. After the last fault service has to return:
probes are served, and then nothing is open, held, owed or running.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
from msgspec import Struct

from yardspindle.core.config import Config, parse
from yardspindle.core.lifecycle import phase
from yardspindle.edge.app import Edge
from yardspindle.engine.http_client import ConnectError
from yardspindle.lab import troubles
from yardspindle.lab.audit import Audit, Figures
from yardspindle.lab.clients import ClientClass, Clients, Habits, Plan, draw
from yardspindle.lab.engine import Engine, EngineSettings
from yardspindle.lab.fleet import Box, server_list, to_toml
from yardspindle.lab.script import BOXES, EDGE_NAMES, Script
from yardspindle.planner.app import Planner
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import DeadlineExceeded, Task
from yardspindle.runtime.virtual import Simulation, VirtualWorld
from yardspindle.runtime.virtual_network import VirtualStream
from yardspindle.runtime.world import StreamError

HOST = "127.0.0.1"
SERVERS = "servers.toml"
CLASSES = (ClientClass("chat", 0.5, 4_000.0, 12), ClientClass("order", 0.5, 4_000.0, 12))
PROBES = ClientClass("chat", 1.0, 4_000.0, 4)
HABITS = Habits(hang_up=0.1, stop_reading=0.05, openings=3, opening_words=60, words=30)
STEADY = Habits(hang_up=0.0, stop_reading=0.0, retries=0, openings=1, opening_words=4, words=4)
COLD_MS = 2_000.0
RULES = {"cold_ms": COLD_MS, "start_capacity": 0.3, "fall_ms": 500.0, "fall_multiple": 1.2}
FIGURES = Figures(slack_ms=150.0, left_ms=200.0, list_ms=0.0, unsafe=("order",))
INTERLOCKS = {"answer overdue", "held too long"}  # the edge's last resort: never needed while its planner decides
HUSHED = {"planner stalls", "planner clock", "edge stalls", "edge clock", "link cut up", "link cut down", "link slow"}
QUIET_US = 8_000_000  # after the probes: longer than any hold, time-out and kept connection
RETURNED_US = 6_000_000  # the stated time: by then every edge serves again after the last fault
LOOK_US = 50_000
READ_LIST_US = 250_000  # until every edge has heard of a list that was written
IDLE_TIMERS = len(BOXES) + 2 * len(EDGE_NAMES) + 3  # holds, the edges' ticks and policies, list, rules, this task
LONGEST_US = 90_000_000  # virtual; what has not ended by then never does
DOCUMENT: dict[str, Any] = {
    "classes": [{"name": c.name, "effect": effect, "aim_ms": 1_000, "give_up_ms": c.give_up_ms}
                for c, effect in zip(CLASSES, ("safe", "unsafe"), strict=True)],
    "rules": RULES, "index": {"block_size": 64}, "planner": {"reread_ms": 100.0},
    "edge": {"dispatchers": len(EDGE_NAMES), "stalled_client_ms": 2_000.0, "stalled_stream_ms": 2_000.0}}


class Outcome(Struct, frozen=True):
    """How a run ended. `trace` is a hash of all that clients and boxes saw."""

    seed: int
    trace: str
    breaks: tuple[str, ...]
    tally: dict[str, int]
    transitions: dict[str, int]
    pieces: int  # that went over the network
    virtual_ms: int


class BrokenRule(Exception):
    """A rule was broken at this step."""


class NotingEngine(Engine):
    """A stand-in that tells the run, on the true clock, what it would write down."""

    def __init__(self, fleet: VirtualFleet, world: VirtualWorld, settings: EngineSettings) -> None:
        """See Engine."""
        self._fleet = fleet
        super().__init__(world, settings)

    def note(self, event: str, request: str = "", **more: object) -> None:
        """See Engine."""
        world = self.world
        assert isinstance(world, VirtualWorld)
        if world.alive:
            self._fleet.line(box=self.set.name, ev=event, id=request, **more)


@dataclass(slots=True)
class _EdgeSeat:
    """An edge of the fleet, whichever start of it runs."""

    edge: Edge | None = None
    port: int = 0
    idle: Counter[str] = field(default_factory=Counter)  # tasks of one that has nothing to do
    idle_streams: int = 0


class VirtualFleet:
    """Everything of one run."""

    def __init__(self, script: Script, say: Callable[[str], None] | None = None, count: bool = False) -> None:
        """`say` gets a line for all that is seen; `count`: count transitions of the edges' life cycles."""
        self.script = script
        self.sim = Simulation(script.seed)
        self.audit = Audit(FIGURES)
        self.boxes: dict[str, Box] = {}
        self.started_us = 0
        self.transitions: Counter[str] = Counter()
        self._engines: dict[str, Engine] = {}
        self._edges = {name: _EdgeSeat() for name in EDGE_NAMES}
        self._planner_port = 0
        self._planner: Planner | None = None
        self._lists: set[frozenset[str]] = {frozenset()}  # all that were ever written whole
        self._say, self._count = say, count
        self._hash = hashlib.sha256()
        self._list_fault = ""
        self._deaf, self._deaf_until_us = 0, 0
        self._clients_world = self.sim.program("clients")
        self._clients = Clients(self._clients_world, "yardspindle-demo", lambda line: self.line(**line), HABITS)
        self._probing = Clients(self._clients_world, "yardspindle-demo", lambda line: self.line(**line), STEADY)
        self._extra: list[Any] = []
        self._numbers = 10_000
        self._found: list[str] = []
        self._main: Task | None = None
        self._stopped = False
        self._hushed = any(fault.kind in HUSHED for fault in script.faults)  # a planner may be too late to decide
        self.sim.files[SERVERS] = b""

    # --- what is seen

    def line(self, **line: Any) -> None:
        """Something that a client or box saw, now; the audit hears of it at once."""
        line["t"] = self.sim.now_us()
        data = msgspec.json.encode(line)
        self._hash.update(data)
        if self._say is not None:
            self._say(data.decode())
        self.audit.take(line)
        if self.audit.report.breaks:
            self._stop()

    def _stop(self) -> None:
        """End the run here."""
        if self._main is not None and not self._stopped:
            self._stopped = True
            self.sim.scheduler.interrupt(self._main, BrokenRule())

    def edge_line(self, event: str, name: str) -> None:
        """Something was done to an edge."""
        seat = self._edges[name]
        self.line(ev=event, edge=seat.port, prefix=seat.edge.unique if seat.edge is not None else "")

    # --- parts of the fleet

    def engine(self, name: str) -> Engine | None:
        """A box's engine, if it runs."""
        return self._engines[name] if self.sim.programs[name].alive else None

    def start_boxes(self, names: list[str], cold_ms: float = COLD_MS) -> None:
        """Start engines where they were; they come back cold."""
        for name in names:
            box = self.boxes[name]
            box.settings = msgspec.structs.replace(box.settings, cold_ms=cold_ms)
            engine = NotingEngine(self, self.sim.program(name), box.settings)
            _, box.port = engine.start(HOST, box.port, box.events_port, box.replay_port)
            box.events_port, box.replay_port = engine.events_port, engine.replay_port
            box.up_since_ms = self.sim.now_us() / 1_000 if cold_ms else 0.0
            self._engines[name] = engine
        self.write_list()

    def kill_box(self, name: str) -> bool:
        """End an engine at once; False when it is down already."""
        world = self.sim.programs[name]
        if not world.alive:
            return False
        world.kill()
        self.line(ev="killed", box=name, id="")
        return True

    def start_edge(self, name: str) -> None:
        """Start an edge where it was."""
        seat, world = self._edges[name], self.sim.program(name, skewed=True)
        edge = seat.edge = Edge(world, self._config(name, seat.port))
        if self._count:
            self._watch(edge)
        seat.port = seat.port or self.sim.next_port()
        world.spawn("program", edge.start)
        self.edge_line("edge started", name)

    def kill_edge(self, name: str) -> bool:
        """End an edge at once; False when it is down already."""
        world = self.sim.programs[name]
        if not world.alive:
            return False
        self.edge_line("edge killed", name)
        world.kill()
        return True

    def start_planner(self) -> None:
        """Start the planner where it was; a list that it cannot take is mended first, as a person would."""
        if self._list_fault:
            self.list_fault("")
        self._planner = Planner(self.sim.program(troubles.PLANNER, skewed=True), self._config("", 0))
        _, self._planner_port = self._planner.start()

    def _config(self, edge: str, port: int) -> Config:
        document = {**DOCUMENT, "planner": {**DOCUMENT["planner"], "listen": f"{HOST}:{self._planner_port}"}}
        if edge:
            document["edge"] = {**DOCUMENT["edge"], "planner": f"{HOST}:{self._planner_port}",
                                "listen": f"{HOST}:{port}", "number": EDGE_NAMES.index(edge)}
        return parse("world", to_toml(document))

    def _watch(self, edge: Edge) -> None:
        """Count the steps from phase to phase of each request."""
        core, known = edge.core, dict[int, str]()
        out = core._out

        def counted(now_us: int, commands: Any) -> Any:
            for number, r in core.life.open.items():
                now = phase(r)
                before = known.get(number, "new")
                if now != before:
                    self.transitions[f"{before} -> {now}"] += 1
                    known[number] = now
            for number in known.keys() - core.life.open.keys():
                self.transitions[f"{known.pop(number)} -> gone"] += 1
            return out(now_us, commands)

        core._out = counted  # type: ignore[method-assign]

    # --- what troubles do

    def write_list(self) -> None:
        """The server list as it should be, unless it is spoilt just now."""
        self._lists.add(frozenset(name for name, box in self.boxes.items() if box.listed))
        if not self._list_fault:
            self.sim.files[SERVERS] = server_list(list(self.boxes.values())).encode()

    def list_fault(self, kind: str) -> None:
        """Spoil the list, or put it right."""
        if kind and self._list_fault:
            return
        self.deaf(bool(kind)) if bool(kind) != bool(self._list_fault) else None
        self._list_fault = kind
        whole = self.sim.files.get(SERVERS, b"")
        match kind:
            case "list bad":
                self.sim.files[SERVERS] = whole.replace(b"count = ", b"count = 9")
            case "list half":
                self.sim.files[SERVERS] = whole[:len(whole) // 2]
            case "list missing":
                self.sim.files.pop(SERVERS, None)
            case _:
                self.write_list()

    def deaf(self, begins: bool) -> None:
        """Edges cannot hear of a changed list: the planner, its link or its file is in trouble."""
        self._deaf += 1 if begins else -1
        self._deaf_until_us = self.sim.now_us() + troubles.SEEN_LINK_US

    def told_draining(self, name: str) -> None:
        """From when on a box that drains must get nothing new: once its state can be heard of."""
        def tell() -> None:
            if self.boxes[name].state != "draining":
                return
            if self._deaf or self.sim.now_us() < self._deaf_until_us:
                self.sim.scheduler.timers.set(self.sim.now_us() + LOOK_US, tell)
            else:
                self.line(ev="control", box=name, id="", do="listed_draining")

        # What makes them deaf within this time may come before they have read the list.
        self.sim.scheduler.timers.set(self.sim.now_us() + READ_LIST_US, tell)

    def reset_between(self, one: str, other: str) -> None:
        """Break every connection between two programs, both ends."""
        for stream in [row for row in self.sim.network.streams if row.world.name == one
                       and row.far is not None and row.far.world.name == other]:
            assert stream.far is not None
            stream._break()
            stream.far._break()

    def extra(self, after_us: int, leaves: bool, half: bool) -> None:
        """One more request, of a flood."""
        self._numbers += 1
        number, rng = self._numbers, self.sim.random(f"client {self._numbers}")
        habits = msgspec.structs.replace(HABITS, hang_up=1.0 if leaves else 0.0)
        plan = draw(rng, number, CLASSES, habits)
        self._extra.append(self._clients_world.spawn(
            "client", self._half_close if half else self._request, plan, self.sim.now_us() + after_us))

    # --- clients

    def _ports(self) -> list[tuple[str, int]]:
        return [(HOST, seat.port) for seat in self._edges.values()]

    def _request(self, plan: Plan, at_us: int) -> None:
        self.sim.scheduler.sleep_until(at_us)
        self._clients.request(plan, self._ports())

    def _half_close(self, plan: Plan, at_us: int) -> None:
        """A client that sends its request, closes its sending half and listens on."""
        self.sim.scheduler.sleep_until(at_us)
        host, port = self._ports()[plan.number % len(self._edges)]
        name, world = f"q{plan.number}.0", self._clients_world
        body = msgspec.json.encode({
            "model": "yardspindle-demo", "stream": plan.stream, "max_tokens": 5,
            "messages": [{"role": "user", "content": "half"}],
            "metadata": {"class": plan.cls.name, "lab_id": name, "timeout_ms": f"{plan.deadline_us / 1_000:.1f}"}})
        self.line(ev="send", edge=port, deadline_us=plan.deadline_us, cls=plan.cls.name, order=f"q{plan.number}",
                  **{"try": name})
        try:
            stream = world.connect(host, port, world.now_us() + 1_000_000)
            assert isinstance(stream, VirtualStream)
            try:
                with world.deadline(world.now_us() + plan.deadline_us + 1_000_000):
                    stream.write(http1.write_request(
                        b"POST", b"/v1/chat/completions",
                        [(b"host", b"x"), (b"content-type", b"application/json")], body))
                    stream.finish()
                    while stream.read():
                        pass
            finally:
                stream.close()
        except (ConnectError, StreamError, DeadlineExceeded):
            pass
        self.line(ev="final", outcome="left", code="", status=0, events=0, extra=0, first_t=self.sim.now_us(),
                  **{"try": name})

    # --- the run

    def play(self) -> Outcome:
        """Run it to its end, or to the first break of a rule."""
        started = self.sim.now_us()
        try:
            self.sim.run("world", self._program)
        except BrokenRule:
            pass
        except RuntimeError as error:  # a deadlock: nothing can wake any more
            self._found.append(f"liveness: {error}")
        report = self.audit.report if self._stopped else self.audit.end()
        found = [*(f"{rule}: {text}" for rule, text in report.breaks), *self._found,
                 *(f"crash: {text}" for text in self.sim.crashes)]
        tally: Counter[str] = Counter()
        for row in report.tally.values():
            tally.update(row)
        tally.update({name: count for name, count in report.named.items() if count})
        return Outcome(self.script.seed, self._hash.hexdigest(), tuple(dict.fromkeys(found)), dict(tally),
                       dict(self.transitions), self.sim.network.pieces, (self.sim.now_us() - started) // 1_000)

    def _program(self) -> None:
        sim = self.sim
        self._main = sim.scheduler.current
        for name in BOXES:
            role, kind = ("read", "reader") if name[0] == "r" else ("write", "writer")
            settings = msgspec.convert(
                {"name": name, "role": role, "events": role == "read", "slots": 3, "queue": 6,
                 "start_capacity": RULES["start_capacity"], "fall_ms": RULES["fall_ms"],
                 "fall_multiple": RULES["fall_multiple"], "read_tokens_per_s": 20_000.0,
                 "memory_tokens": 40_000, "cache_tokens": 20_000}, EngineSettings)
            self.boxes[name] = Box(settings, int(name[1]), kind)
        self.start_boxes(list(BOXES), 0.0)
        self.start_planner()
        for name, seat in self._edges.items():
            seat.port = sim.next_port()
            self.start_edge(name)
        sim.scheduler.sleep_until(sim.now_us() + 300_000)
        for name, seat in self._edges.items():
            seat.idle, seat.idle_streams = self._tasks(name), self._streams(name)
        self.started_us = sim.now_us()
        watch = sim.scheduler.spawn("rules", self._rules)
        tasks = [sim.scheduler.spawn("trouble", troubles.run, self, fault) for fault in self.script.faults]
        for number, at_ms in self.script.requests:
            plan = draw(sim.random(f"client {number}"), number, CLASSES, HABITS)
            tasks.append(self._clients_world.spawn("client", self._request, plan,
                                                   self.started_us + at_ms * 1_000))
        for task in tasks:
            task.join()
        for task in self._extra:
            task.join()
        self._returned()
        for clients in (self._clients, self._probing):
            clients.close()
        sim.scheduler.sleep_until(sim.now_us() + QUIET_US)
        self._nothing_left()
        watch.cancel()

    def _rules(self) -> None:
        """Stop at the first break; what is held too long is looked for every so often."""
        while True:
            self.sim.scheduler.sleep_until(self.sim.now_us() + LOOK_US)
            self.audit.until(self.sim.now_us())
            for name, seat in self._edges.items():
                if seat.edge is not None and seat.edge.core.watch.last is not None:
                    self._found.append(f"{name}'s own watch: {seat.edge.core.watch.last}")
                if seat.edge is not None and not self._hushed and (
                        late := INTERLOCKS & seat.edge.core.life.tally.interlocks.keys()):
                    self._found.append(f"at once: {name} had to keep the rule itself: {', '.join(sorted(late))}")
            listed = frozenset(server.name for server in self._planner.roster.servers) if self._planner else frozenset()
            if listed not in self._lists:
                self._found.append("list: one is in force that was never written whole: " + " ".join(sorted(listed)))
            if self.sim.now_us() > self.started_us + LONGEST_US:
                self._found.append("liveness: not ended: " + ", ".join(sorted(
                    task.name for task in self.sim.scheduler.tasks if task.gate in (None, self._clients_world.gate))))
            if self.audit.report.breaks or self._found or self.sim.crashes:
                return self._stop()

    def _returned(self) -> None:
        """Service is back at every edge within the stated time."""
        for name, seat in self._edges.items():
            until_us = self.sim.now_us() + RETURNED_US
            while True:
                self._numbers += 1
                plan = draw(self.sim.random("probe"), self._numbers, (PROBES,), STEADY)
                seen = self._probing.try_once(plan, 0, (HOST, seat.port))
                if seen.outcome == "served":
                    break
                if self.sim.now_us() > until_us:
                    self._found.append(f"liveness: {name} does not serve again: {seen.outcome} {seen.code}")
                    return self._stop()
                self.sim.scheduler.sleep_until(self.sim.now_us() + 100_000)

    def _tasks(self, name: str) -> Counter[str]:
        return Counter(task.name for task in self.sim.programs[name].tasks)

    def _streams(self, name: str) -> int:
        return sum(stream.world.name == name for stream in self.sim.network.streams)

    def _nothing_left(self) -> None:
        """Nothing is open, held, owed or running, and no task or connection is left."""
        for name, seat in self._edges.items():
            edge = seat.edge
            assert edge is not None
            left = {"open": len(edge.core.life.open), "owed": edge.core.releases.owed,
                    "running": len(edge.executor.running), "watched": len(edge.core.watch.open),
                    "tasks": len(self._tasks(name) - seat.idle),
                    "connections": max(self._streams(name) - seat.idle_streams, 0)}
            if any(left.values()):
                self._found.append(f"liveness: {name} is left with " + ", ".join(
                    f"{count} {what}" for what, count in left.items() if count) + f" {self._tasks(name) - seat.idle}")
        timers = len(self.sim.scheduler.timers)
        if timers > IDLE_TIMERS:
            self._found.append(f"liveness: {timers} timers are left; a fleet at rest has at most {IDLE_TIMERS}")
        for name, engine in self._engines.items():
            held = [*engine.states, *engine.places]
            if held or engine.load.running or engine.load.waiting or engine.load.memory:
                self._found.append(f"liveness: {name} is left with {held}, {engine.load.running} running")


def play(script: Script, say: Callable[[str], None] | None = None, count: bool = False) -> Outcome:
    """Play a script."""
    return VirtualFleet(script, say, count).play()

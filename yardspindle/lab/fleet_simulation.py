"""Seeded runs of fleet coordination: store, stewards, dispatchers and engines on the virtual World, with faults.

The store is the key-value store that the programs share; a steward owns duties (background tasks with one owner at a
time; a fence numbers the owners); the dispatchers are edges, which hold the client connections. The programs are those
that run on real sockets; only the World (their interface to clock, sockets, files and randomness) is a simulated one.
Invariants, checked all the time: no engine obeys a lower fence after a higher one of the same duty; nothing is released
for an edge that is alive; no two stewards consider themselves owner of a duty at the same time (not checked if a clock
steps or leases end early).
After the last fault, every duty has exactly one owner again, and nothing is held for an edge that is dead.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any

import msgspec
from msgspec import Struct

from yardspindle.core.config import Config, parse
from yardspindle.core.fleet.sweep import epoch_of
from yardspindle.edge.app import Edge
from yardspindle.fleet.store.factory import open_store
from yardspindle.fleet.store.interface import StoreError
from yardspindle.lab.clients import ClientClass, ClientHabits, Clients, draw_request
from yardspindle.lab.engine import StandInEngine
from yardspindle.lab.engine_settings import EngineSettings
from yardspindle.lab.etcd import EtcdStandIn
from yardspindle.lab.fleet import EngineInstance, server_list, to_toml
from yardspindle.planner.app import Planner
from yardspindle.runtime.virtual import Simulation, VirtualWorld
from yardspindle.steward.app import Steward

HOST, STORE, SERVERS = "127.0.0.1", "store", "servers.toml"
STEWARDS, EDGES, ENGINES = ("s0", "s1", "s2"), ("edge0", "edge1"), ("r0", "w0", "r1", "w1")
TTL_MS = 2_000.0
CHECK_INTERVAL_US = 20_000
HOLD_WAIT_US = 4_000_000  # the longest wait for an edge to hold something before it is killed
FAULT_WINDOW_MS = 12_000  # in which faults and requests begin
# After the last fault: a program's clock that was set back by 1 min stands still until real time has caught up, and a
# steward's back-off doubles with each lost lease.
SETTLE_TIMEOUT_US = 100_000_000
REQUEST_CLASS = ClientClass("chat", 1.0, 4_000.0, 12)
HABITS = ClientHabits(hang_up=0.1, stop_reading=0.0, retries=0, openings=2, opening_words=10, words=10)
# kind: (targets, second targets, shortest duration, longest duration in ms)
FAULT_KINDS: dict[str, tuple[tuple[str, ...], tuple[str, ...], int, int]] = {
    "dies": (STEWARDS + EDGES, (), 50, 5_000),
    "dies holding": (EDGES, (), 50, 6_000),  # while engines hold a state or place for the edge
    "stalls": (STEWARDS + EDGES, (), 50, 7_000),
    "steps": (STEWARDS, (), 0, 0),  # the program's clock, by a minute
    "cut": (STEWARDS + EDGES, (STORE, *ENGINES), 50, 6_000),  # traffic in both directions
    "deaf": (STEWARDS + EDGES, (STORE,), 50, 6_000),  # receives nothing from the store
    "engine dies": (ENGINES, (), 50, 3_000),
    "engine hangs": (ENGINES, (), 500, 6_000),
    "no leader": ((STORE,), (), 50, 6_000),
    "late": ((STORE,), (), 50, 4_000),  # each answer is delayed
    "lost answers": ((STORE,), (), 0, 0),
    "leases end": ((STORE,), (), 0, 0),
    "watches break": ((STORE,), (), 0, 0),
    "compaction": ((STORE,), (), 0, 0),
    "leaves": (STEWARDS, (), 200, 3_000),  # shuts down gracefully, and restarts
}


class FleetFault(Struct, frozen=True):
    """A fault: its kind, targets, time and duration."""

    kind: str
    on: str  # the target
    other: str  # the other end of a cut; empty for other kinds
    at_ms: int
    for_ms: int


class FleetScript(Struct, frozen=True):
    """All that a run depends on."""

    seed: int
    faults: tuple[FleetFault, ...]
    requests: tuple[int, ...]  # time of each, ms


def draw_fleet_script(seed: int) -> FleetScript:
    """Draw the script of a seed."""
    rng = random.Random(f"fleet {seed}")
    faults = []
    for _ in range(rng.randint(2, 7)):
        kind = rng.choice(sorted(FAULT_KINDS))
        on, other, shortest_ms, longest_ms = FAULT_KINDS[kind]
        faults.append(
            FleetFault(
                kind,
                rng.choice(on),
                rng.choice(other) if other else "",
                rng.randrange(FAULT_WINDOW_MS),
                rng.randint(shortest_ms, longest_ms),
            )
        )
    return FleetScript(
        seed,
        tuple(sorted(faults, key=lambda row: row.at_ms)),
        tuple(sorted(rng.randrange(FAULT_WINDOW_MS) for _ in range(rng.randint(8, 24)))),
    )


class OrderReportingEngine(StandInEngine):
    """A stand-in engine without a journal that reports each order, a steward's call with a fence, to the simulation."""

    on_order: Callable[[str, dict[str, Any]], None]

    def record(self, event: str, request: str = "", **more: object) -> None:
        """Report the event if it is an order; the others are not kept (StandInEngine)."""
        if event == "order":
            self.on_order(self.settings.name, {"id": request, **more})


class FleetSimulation:
    """One run of a script: the programs, the faults and the checks."""

    def __init__(self, script: FleetScript) -> None:
        """Starts no program before `run`."""
        self.script = script
        self.sim = Simulation(script.seed)
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        self.stewards: dict[str, Steward] = {}
        self.edges: dict[str, Edge] = {}
        self.engines: dict[str, OrderReportingEngine] = {}
        self.instances: dict[str, EngineInstance] = {}
        self.ports: dict[str, int] = {}
        self._highest_fences: dict[tuple[str, str], int] = defaultdict(int)
        self._registered_epochs: set[str] = set()  # every epoch (one start of an edge or steward) that was registered
        self._owners_may_overlap = any(fault.kind in ("steps", "leases end") for fault in script.faults)

    def run(self) -> tuple[str, ...]:
        """Run the script; returns the violations."""
        try:
            self.sim.run("fleet world", self._program)
        except RuntimeError as error:
            self.violations.append(f"liveness: {error}")
        return tuple(dict.fromkeys([*self.violations, *(f"crash: {text}" for text in self.sim.crashes)]))

    # --- programs

    def _program(self) -> None:
        sim = self.sim
        self.etcd = EtcdStandIn(sim.program(STORE))
        _, self.ports[STORE] = self.etcd.start(HOST, sim.next_port())
        for name in ENGINES:
            role, kind = ("read", "reader") if name[0] == "r" else ("write", "writer")
            settings = msgspec.convert(
                {
                    "name": name,
                    "role": role,
                    "hold_ms": 600_000.0,  # longer than a run: holds end by release only
                    "fences": f"{name}.fences",
                    "read_tokens_per_s": 300.0,  # slow, so that places are held when an edge dies
                },
                EngineSettings,
            )
            self.instances[name] = EngineInstance(settings, int(name[1]), kind)
            self.start(name)
        sim.files[SERVERS] = server_list(list(self.instances.values())).encode()
        planner = Planner(sim.program("planner"), self._config("planner", {}))
        _, self.ports["planner"] = planner.start()
        for name in EDGES + STEWARDS:
            self.start(name)
        sim.scheduler.sleep_until(sim.now_us() + 1_000_000)
        started = sim.now_us()
        watch = sim.scheduler.spawn("rules", self._check_rules)
        clients = Clients(sim.program("clients"), "yardspindle-demo", lambda line: None, HABITS)
        tasks = [sim.scheduler.spawn("fault", self._run_fault, fault, started) for fault in self.script.faults]
        for number, at_ms in enumerate(self.script.requests):
            plan = draw_request(sim.random(f"client {number}"), number, (REQUEST_CLASS,), HABITS)
            tasks.append(sim.scheduler.spawn("client", self._request, clients, plan, started + at_ms * 1_000))
        for task in tasks:
            task.join()
        self._check_settled()
        watch.cancel()
        clients.close()

    def _request(self, clients: Clients, plan: Any, at_us: int) -> None:
        self.sim.scheduler.sleep_until(at_us)
        clients.request(plan, [(HOST, self.ports[name]) for name in EDGES])

    def _config(self, name: str, sections: dict[str, Any]) -> Config:
        fleet = {
            "store": [f"http://{HOST}:{self.ports[STORE]}"],
            "ttl_ms": TTL_MS,
            "margin_ms": 200.0,
            "call_ms": 400.0,
            "member": name,
        }
        return parse(
            "world",
            to_toml(
                {
                    "classes": [{"name": "chat", "aim_ms": 1_000, "give_up_ms": 4_000}],
                    "fleet": fleet,
                    "index": {"mode": "off"},
                    "planner": {"servers": SERVERS, "listen": f"{HOST}:{self.ports.get('planner', 0)}"},
                    **sections,
                }
            ),
        )

    def start(self, name: str) -> None:
        """Start or restart a program; a restarted one gets its former port."""
        world = self.sim.program(name)
        if name in ENGINES:
            engine = self.engines[name] = OrderReportingEngine(world, self.instances[name].settings)
            engine.on_order = self._check_order
            _, self.instances[name].port = engine.start(HOST, self.instances[name].port)
        elif name in EDGES:
            self.ports.setdefault(name, self.sim.next_port())
            edge = {
                "planner": f"{HOST}:{self.ports['planner']}",
                "listen": f"{HOST}:{self.ports[name]}",
                "number": EDGES.index(name),
                "dispatchers": len(EDGES),
            }
            self.edges[name] = Edge(world, self._config(name, {"edge": edge}))
            world.spawn("program", self.edges[name].start)
        else:
            config = self._config(name, {})
            try:
                self.stewards[name] = Steward(world, config, open_store(world, config.fleet), "world")
            except StoreError as error:
                self.violations.append(f"start: {name}: {error}")
                return
            self.stewards[name].start()

    def world(self, name: str) -> VirtualWorld:
        """A program's World, its interface to clock, sockets and files."""
        return self.sim.programs[name]

    # --- faults

    def _run_fault(self, fault: FleetFault, started: int) -> None:
        sim, on = self.sim, fault.on
        sim.scheduler.sleep_until(started + fault.at_ms * 1_000)
        undo = self._apply_fault(fault)
        sim.scheduler.sleep_until(sim.now_us() + fault.for_ms * 1_000)
        if undo is not None:
            undo()
        self.counts[f"{fault.kind} {on[:-1] if on != STORE else on}"] += 1

    def _apply_fault(self, fault: FleetFault) -> Callable[[], None] | None:
        on, network, etcd = fault.on, self.sim.network, self.etcd
        world = self.world(on)
        match fault.kind:
            case "dies" | "engine dies" if world.alive:
                world.kill()
                return lambda: None if self.world(on).alive else self.start(on)
            case "dies holding" if world.alive and not world.gate.shut:
                epoch, until_us = self.edges[on].instance_id, self.sim.now_us() + HOLD_WAIT_US
                while self.sim.now_us() < until_us and not any(epoch_of(hold) == epoch for hold in self.held_ids()):
                    self.sim.scheduler.sleep_until(self.sim.now_us() + 2_000)
                world.kill()
                return lambda: None if self.world(on).alive else self.start(on)
            case "stalls" if world.alive and not world.gate.shut:
                world.stall()
                return world.resume
            case "steps":
                # Half of the steps go back: scripts have no field for the direction.
                world.step(60_000_000 if fault.at_ms % 2 else -60_000_000)
            case "cut" | "deaf":
                directions = [(fault.other, on)] if fault.kind == "deaf" else [(fault.other, on), (on, fault.other)]
                for direction in directions:
                    network.cut(*direction)

                def restore() -> None:
                    for direction in directions:
                        network.restore(*direction)

                return restore
            case "engine hangs" if world.alive and self.engines[on].hang_signal is None:
                engine = self.engines[on]
                engine.hang_signal = hang_signal = world.signal()

                def wake() -> None:
                    if world.alive:
                        engine.hang_signal = None
                        hang_signal.set()

                return wake
            case "no leader":
                etcd.leaderless = True
                return lambda: setattr(etcd, "leaderless", False)
            case "late":
                etcd.late_us = 300_000
                return lambda: setattr(etcd, "late_us", 0)
            case "lost answers":
                etcd.responses_to_lose += 3
            case "leases end" | "watches break" | "compaction":
                do = {"leases end": b"expire", "watches break": b"break_watches", "compaction": b"compact"}[fault.kind]
                etcd.inject_fault(do.decode())
            case "leaves" if world.alive and not world.gate.shut:
                world.spawn("leave", self.stewards[on].shut_down)

                def restart() -> None:
                    if self.world(on) is world:  # else a later fault has restarted it already
                        world.kill()
                        self.start(on)

                return restart
        return None

    # --- rules

    def _check_order(self, engine: str, order: dict[str, Any]) -> None:
        """Check an order that an engine received."""
        key = (engine, order["duty"])
        if not order["admitted"]:
            self.counts["orders refused"] += 1
            return
        if order["fence"] < self._highest_fences[key]:
            self.violations.append(
                f"fence: {engine} obeyed {order['fence']} of {order['duty']} after {self._highest_fences[key]}"
            )
        self._highest_fences[key] = max(self._highest_fences[key], order["fence"])
        if order["id"] == "holds":
            return
        self.counts["holds released"] += 1
        epoch = epoch_of(order["id"])
        if any(edge.instance_id == epoch and self.world(name).alive for name, edge in self.edges.items()):
            self.violations.append(f"sweep: {engine} released {order['id']}, whose edge is alive")

    def held_ids(self) -> list[str]:
        """The ids of all states (KV cache for a decode) and places (memory reserved for one) that engines hold."""
        return [hold for engine in self.engines.values() for hold in (*engine.states, *engine.places)]

    def owners(self) -> dict[str, list[str]]:
        """The stewards that consider themselves owner of each duty now."""
        found: dict[str, list[str]] = {}
        for name, steward in self.stewards.items():
            if self.world(name).alive:
                for duty, _ in steward.state.held:
                    if steward.fence_to_act(duty) is not None:
                        found.setdefault(duty, []).append(name)
        return found

    def _check_rules(self) -> None:
        while True:
            self.sim.scheduler.sleep_until(self.sim.now_us() + CHECK_INTERVAL_US)
            self._registered_epochs.update(
                row.key.rpartition(b"/")[2].decode()
                for row in self.etcd.model.rows(b"/yardspindle/main/epochs/", b"/yardspindle/main/epochs0")
            )
            if not self._owners_may_overlap:
                self.violations += [
                    f"owners: {duty} has {', '.join(names)}" for duty, names in self.owners().items() if len(names) > 1
                ]

    def _check_settled(self) -> None:
        """Wait until every duty has one active owner and nothing is held for a dead edge."""
        sim, until_us = self.sim, self.sim.now_us() + SETTLE_TIMEOUT_US
        duties = {"clock", "sweep/0", "sweep/1"}  # without "release": no release runs here
        while True:
            alive = {edge.instance_id for name, edge in self.edges.items() if self.world(name).alive}
            # Stewards sweep (release at engines what a dead edge left) only for edges that had registered in the store.
            left = [
                hold
                for hold in self.held_ids()
                if epoch_of(hold) not in alive and epoch_of(hold) in self._registered_epochs
            ]
            owners = self.owners()
            idle = [
                duty
                for duty in duties
                if len(owners.get(duty, [])) != 1 or duty not in self.stewards[owners[duty][0]].duty_tasks
            ]
            # A steward whose clock is skewed gives up its duties; if all are, nobody is left to own one.
            all_skewed = all(steward.state.clock_skewed for steward in self.stewards.values())
            if not left and not idle or all_skewed:
                return
            if sim.now_us() > until_us:
                self.violations += [f"liveness: {duty} is owned by {owners.get(duty)}" for duty in idle]
                self.violations += [f"liveness: {len(left)} holds of dead edges" for _ in left[:1]]
                return
            sim.scheduler.sleep_until(sim.now_us() + CHECK_INTERVAL_US)


def run_fleet_script(script: FleetScript) -> tuple[tuple[str, ...], Counter[str]]:
    """Run a script; returns violations, and counts of faults and events."""
    simulation = FleetSimulation(script)
    return simulation.run(), simulation.counts

"""Injects the faults of a script into a simulated fleet, and undoes them.

Each fault begins, lasts and ends in a task of its own. An edge is the process that holds the client connections, its
planner the process that decides which engine does what, and the link the connection between the two. The audit is sent
what clients and engines cannot record themselves: kills, stalls, and the times when an engine cannot be reached.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from yardspindle.lab.engine import StandInEngine
from yardspindle.lab.script import EDGE_NAMES, ENGINE_NAMES, PLANNER, Fault
from yardspindle.lab.simulated_fleet import SimulatedFleet
from yardspindle.runtime.virtual import VirtualWorld

# From the end of a cut until every release lost in it has been sent again: its time-out and the longest back-off.
RELEASE_RETRY_US = 2_300_000
FLOOD_REQUESTS = 60
CLOCK_STEP_US = 150_000  # a clock steps by -0.9 to 1 times this, by the fault's factor (1 to 20)


def inject(fleet: SimulatedFleet, fault: Fault) -> None:
    """Wait for the fault's time, apply it, wait for its duration and undo it."""
    sim = fleet.sim
    sim.scheduler.sleep_until(fleet.started_us + fault.at_ms * 1_000)
    undo = _INJECTORS[fault.kind](fleet, fault)
    sim.scheduler.sleep_until(sim.now_us() + fault.for_ms * 1_000)
    if undo is not None:  # not run if the run was stopped meanwhile: then no program may be started again
        undo()


# Applies a fault; returns what undoes it, or None if there is nothing to undo.
Undo = Callable[[], None] | None
Injector = Callable[[SimulatedFleet, Fault], Undo]


def _engine_names(fleet: SimulatedFleet, fault: Fault) -> list[str]:
    if fault.on in ENGINE_NAMES:
        return [fault.on]
    return [name for name in ENGINE_NAMES if not fault.on or name[1] == fault.on]


def _hang_engines(fleet: SimulatedFleet, fault: Fault) -> Undo:
    hung: list[tuple[VirtualWorld, StandInEngine]] = []
    for name in _engine_names(fleet, fault):
        engine = fleet.running_engine(name)
        if engine is not None and engine.hang_signal is None:
            engine.record("control", "", do="hang")
            engine.hang_signal = fleet.sim.programs[name].signal()
            hung.append((fleet.sim.programs[name], engine))

    def undo() -> None:
        for world, engine in hung:
            if engine.hang_signal is not None and world.alive:
                engine.record("control", "", do="wake")
                engine.hang_signal.set()
                engine.hang_signal = None

    return undo


def _stall_engine(fleet: SimulatedFleet, fault: Fault) -> Undo:
    world = fleet.sim.programs[fault.on]
    if not world.alive or world.gate.shut:
        return None
    world.stall()
    fleet.record(ev="blind", box=fault.on, id="")

    def undo() -> None:
        fleet.record(ev="seen", box=fault.on, id="")
        if world.alive:
            world.resume()

    return undo


def _kill_engines(fleet: SimulatedFleet, fault: Fault) -> Undo:
    killed = [name for name in _engine_names(fleet, fault) if fleet.kill_engine(name)]
    return lambda: fleet.start_engines(killed)


def _slow_engines(fleet: SimulatedFleet, fault: Fault) -> Undo:
    engines = [engine for name in _engine_names(fleet, fault) if (engine := fleet.running_engine(name)) is not None]
    for engine in engines:
        engine.slowdown = fault.factor

    def undo() -> None:
        for engine in engines:
            engine.slowdown = 1.0

    return undo


def _fill_engine(fleet: SimulatedFleet, fault: Fault) -> Undo:
    engine = fleet.running_engine(fault.on)
    if engine is None:
        return None
    engine.full = True
    return lambda: setattr(engine, "full", False)


def _clear_caches(fleet: SimulatedFleet, fault: Fault) -> Undo:
    for name in _engine_names(fleet, fault):
        engine = fleet.running_engine(name)
        if engine is not None:
            engine.cache.clear()
    return None


def _reset_streams(fleet: SimulatedFleet, fault: Fault) -> Undo:
    engine = fleet.running_engine(fault.on)
    if engine is None:
        return None
    engine.reset = True
    return lambda: setattr(engine, "reset", False)


def _drain_engine(fleet: SimulatedFleet, fault: Fault) -> Undo:
    instance = fleet.instances[fault.on]
    if instance.state != "serving" or not instance.listed:
        return None
    # "box gone" removes the engine from the list as well.
    instance.state, instance.listed = "draining", fault.kind == "box draining"
    fleet.write_list()
    fleet.record_draining(fault.on)

    def undo() -> None:
        instance.state, instance.listed = "serving", True
        fleet.record(ev="control", box=fault.on, id="", do="listed_serving")
        fleet.write_list()

    return undo


def _kill_edge(fleet: SimulatedFleet, fault: Fault) -> Undo:
    if not fleet.kill_edge(fault.on):
        return None
    return lambda: fleet.start_edge(fault.on)


def _stall_edge(fleet: SimulatedFleet, fault: Fault) -> Undo:
    world = fleet.sim.programs[fault.on]
    if not world.alive or world.gate.shut:
        return None
    fleet.record_edge("edge stalled", fault.on)
    world.stall()

    def undo() -> None:
        if world.alive:
            fleet.record_edge("edge woke", fault.on)
            world.resume()

    return undo


def _step_edge(fleet: SimulatedFleet, fault: Fault) -> Undo:
    fleet.sim.programs[fault.on].step(int(CLOCK_STEP_US * (fault.factor / 10 - 1)))
    return None


def _step_planner(fleet: SimulatedFleet, fault: Fault) -> Undo:
    fleet.sim.programs[PLANNER].step(int(CLOCK_STEP_US * (fault.factor / 10 - 1)))
    return None


def _kill_planner(fleet: SimulatedFleet, fault: Fault) -> Undo:
    world = fleet.sim.programs[PLANNER]
    if not world.alive:
        return None
    fleet.mark_list_outage(True)
    world.kill()

    def undo() -> None:
        fleet.start_planner()
        fleet.mark_list_outage(False)

    return undo


def _stall_planner(fleet: SimulatedFleet, fault: Fault) -> Undo:
    world = fleet.sim.programs[PLANNER]
    if not world.alive or world.gate.shut:
        return None
    fleet.mark_list_outage(True)
    world.stall()

    def undo() -> None:
        world.resume()
        fleet.mark_list_outage(False)

    return undo


def _reset_link(fleet: SimulatedFleet, fault: Fault) -> Undo:
    fleet.mark_list_outage(True)
    fleet.reset_connections(fault.on, PLANNER)
    fleet.mark_list_outage(False)
    return None


def _cut(near: str, far: str, fleet: SimulatedFleet, unreachable: str) -> Undo:
    """Drop traffic one way. `unreachable`: the engine that the audit excuses; empty if the planner's link is cut."""
    network = fleet.sim.network
    network.cut(near, far)
    if unreachable:
        fleet.record(ev="blind", box=unreachable, id="")
    else:
        fleet.mark_list_outage(True)

    def undo() -> None:
        network.restore(near, far)
        if unreachable:
            fleet.sim.scheduler.timers.set(
                fleet.sim.now_us() + RELEASE_RETRY_US, lambda: fleet.record(ev="seen", box=unreachable, id="")
            )
        else:
            fleet.mark_list_outage(False)

    return undo


def _break_connects(fleet: SimulatedFleet, fault: Fault) -> Undo:
    path = fleet.sim.network.path(fault.other, fault.on)
    name = "refused" if fault.kind.endswith("refused") else "hanging"
    setattr(path, name, getattr(path, name) + 1)
    fleet.record(ev="blind", box=fault.on, id="")

    def undo() -> None:
        setattr(path, name, getattr(path, name) - 1)
        fleet.sim.scheduler.timers.set(
            fleet.sim.now_us() + RELEASE_RETRY_US, lambda: fleet.record(ev="seen", box=fault.on, id="")
        )

    return undo


def _degrade_network(fleet: SimulatedFleet, fault: Fault) -> Undo:
    paths = [fleet.sim.network.path(*pair) for edge in EDGE_NAMES for pair in ((edge, fault.on), (fault.on, edge))]
    previous = [(path.latency_us, path.bytes_per_s) for path in paths]
    for path in paths:
        if fault.kind == "box far":
            path.latency_us = (1_000, int(1_000 + 2_500 * fault.factor))  # up to 3.5 to 51 ms, by the factor
        else:
            path.bytes_per_s = 500_000 / fault.factor  # 25 to 500 kB/s

    def undo() -> None:
        for path, (latency_us, bytes_per_s) in zip(paths, previous, strict=True):
            path.latency_us, path.bytes_per_s = latency_us, bytes_per_s

    return undo


def _slow_link(fleet: SimulatedFleet, fault: Fault) -> Undo:
    paths = [fleet.sim.network.path(*pair) for pair in ((fault.on, PLANNER), (PLANNER, fault.on))]
    for path in paths:
        path.latency_us = (1_000, int(1_000 + 10_000 * fault.factor))  # up to 11 to 201 ms, by the factor

    def undo() -> None:
        for path in paths:
            path.latency_us = type(path)().latency_us

    return undo


def _reset_engine_connections(fleet: SimulatedFleet, fault: Fault) -> Undo:
    for edge in EDGE_NAMES:
        fleet.reset_connections(edge, fault.on)
    return None


def _disturb_events(fleet: SimulatedFleet, fault: Fault) -> Undo:
    paths = [fleet.sim.network.path(fault.on, edge) for edge in EDGE_NAMES]
    for path in paths:
        path.loss_rate, path.duplicate_rate, path.reorder_rate = 0.3, 0.3, 0.3

    def undo() -> None:
        for path in paths:
            path.loss_rate = path.duplicate_rate = path.reorder_rate = 0.0

    return undo


def _corrupt_list(fleet: SimulatedFleet, fault: Fault) -> Undo:
    fleet.set_list_fault(fault.kind)
    return lambda: fleet.set_list_fault("")


def _flood(fleet: SimulatedFleet, fault: Fault) -> Undo:
    rng = random.Random(f"flood {fleet.script.seed} {fault.at_ms}")
    for _ in range(FLOOD_REQUESTS):
        fleet.add_request(
            int(rng.random() * 400_000),
            hangs_up=fault.kind == "flood of hang-ups",
            half_closes=fault.kind == "half-closing clients",
        )
    return None


# Of cuts, "up" is from edge to planner, "there" from edge to engine; "down" and "back" are the other directions.
_INJECTORS: dict[str, Injector] = {
    "box hangs": _hang_engines,
    "box stalls": _stall_engine,
    "box dies": _kill_engines,
    "box slow": _slow_engines,
    "box full": _fill_engine,
    "box forgets": _clear_caches,
    "box resets": _reset_streams,
    "box draining": _drain_engine,
    "box gone": _drain_engine,
    "rack dies": _kill_engines,
    "rack hangs": _hang_engines,
    "all slow": _slow_engines,
    "all forget": _clear_caches,
    "edge dies": _kill_edge,
    "edge stalls": _stall_edge,
    "edge clock": _step_edge,
    "planner dies": _kill_planner,
    "planner stalls": _stall_planner,
    "planner clock": _step_planner,
    "link reset": _reset_link,
    "link cut up": lambda fleet, fault: _cut(fault.on, PLANNER, fleet, ""),
    "link cut down": lambda fleet, fault: _cut(PLANNER, fault.on, fleet, ""),
    "link slow": _slow_link,
    "box cut there": lambda fleet, fault: _cut(fault.other, fault.on, fleet, fault.on),
    "box cut back": lambda fleet, fault: _cut(fault.on, fault.other, fleet, fault.on),
    "move cut": lambda fleet, fault: _cut(fault.on, fault.other, fleet, fault.on),
    "box connects refused": _break_connects,
    "box connects hang": _break_connects,
    "box connections reset": _reset_engine_connections,
    "box far": _degrade_network,
    "box narrow": _degrade_network,
    "events bad": _disturb_events,
    "list bad": _corrupt_list,
    "list half": _corrupt_list,
    "list missing": _corrupt_list,
    "flood": _flood,
    "flood of hang-ups": _flood,
    "half-closing clients": _flood,
}

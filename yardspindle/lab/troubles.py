"""What each fault of a script does to a virtual fleet, and how it is taken back.

A fault starts, lasts and ends in a task of its own. Whoever makes trouble tells the audit what a client or box could
not write down: kills, stalls, and when a box cannot be reached.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from yardspindle.lab.engine import StandInEngine
from yardspindle.lab.script import EDGE_NAMES, ENGINE_NAMES, PLANNER, Fault
from yardspindle.lab.virtual_fleet import VirtualFleet
from yardspindle.runtime.virtual import VirtualWorld

RETOLD_US = 2_300_000  # a release that could not be told goes out again after its time-out and its longest pause
FLOOD = 60
STEP_US = 150_000


def run(fleet: VirtualFleet, fault: Fault) -> None:
    """Let it happen; returns when it is over."""
    sim = fleet.sim
    sim.scheduler.sleep_until(fleet.started_us + fault.at_ms * 1_000)
    undo = _MAKERS[fault.kind](fleet, fault)
    sim.scheduler.sleep_until(sim.now_us() + fault.for_ms * 1_000)
    if undo is not None:  # not when the run is stopped meanwhile: nothing may start anew then
        undo()


Undo = Callable[[], None] | None
Maker = Callable[[VirtualFleet, Fault], Undo]


def _boxes(fleet: VirtualFleet, fault: Fault) -> list[str]:
    if fault.on in ENGINE_NAMES:
        return [fault.on]
    return [name for name in ENGINE_NAMES if not fault.on or name[1] == fault.on]


def _hang(fleet: VirtualFleet, fault: Fault) -> Undo:
    hung: list[tuple[VirtualWorld, StandInEngine]] = []
    for name in _boxes(fleet, fault):
        engine = fleet.engine(name)
        if engine is not None and engine.hung is None:
            engine.record("control", "", do="hang")
            engine.hung = fleet.sim.programs[name].signal()
            hung.append((fleet.sim.programs[name], engine))

    def undo() -> None:
        for world, engine in hung:
            if engine.hung is not None and world.alive:
                engine.record("control", "", do="wake")
                engine.hung.set()
                engine.hung = None

    return undo


def _stall_box(fleet: VirtualFleet, fault: Fault) -> Undo:
    world = fleet.sim.programs[fault.on]
    if not world.alive or world.gate.shut:
        return None
    world.stall()
    fleet.line(ev="blind", box=fault.on, id="")

    def undo() -> None:
        fleet.line(ev="seen", box=fault.on, id="")
        if world.alive:
            world.resume()

    return undo


def _die(fleet: VirtualFleet, fault: Fault) -> Undo:
    killed = [name for name in _boxes(fleet, fault) if fleet.kill_box(name)]
    return lambda: fleet.start_boxes(killed)


def _slow(fleet: VirtualFleet, fault: Fault) -> Undo:
    engines = [engine for name in _boxes(fleet, fault) if (engine := fleet.engine(name)) is not None]
    for engine in engines:
        engine.slow = fault.factor

    def undo() -> None:
        for engine in engines:
            engine.slow = 1.0

    return undo


def _full(fleet: VirtualFleet, fault: Fault) -> Undo:
    engine = fleet.engine(fault.on)
    if engine is None:
        return None
    engine.full = True
    return lambda: setattr(engine, "full", False)


def _forget(fleet: VirtualFleet, fault: Fault) -> Undo:
    for name in _boxes(fleet, fault):
        engine = fleet.engine(name)
        if engine is not None:
            engine.cache.clear()
    return None


def _resets(fleet: VirtualFleet, fault: Fault) -> Undo:
    engine = fleet.engine(fault.on)
    if engine is None:
        return None
    engine.reset = True
    return lambda: setattr(engine, "reset", False)


def _drain(fleet: VirtualFleet, fault: Fault) -> Undo:
    box = fleet.instances[fault.on]
    if box.state != "serving" or not box.listed:
        return None
    box.state, box.listed = "draining", fault.kind == "box draining"
    fleet.write_list()
    fleet.told_draining(fault.on)

    def undo() -> None:
        box.state, box.listed = "serving", True
        fleet.line(ev="control", box=fault.on, id="", do="listed_serving")
        fleet.write_list()

    return undo


def _kill_edge(fleet: VirtualFleet, fault: Fault) -> Undo:
    if not fleet.kill_edge(fault.on):
        return None
    return lambda: fleet.start_edge(fault.on)


def _stall_edge(fleet: VirtualFleet, fault: Fault) -> Undo:
    world = fleet.sim.programs[fault.on]
    if not world.alive or world.gate.shut:
        return None
    fleet.edge_line("edge stalled", fault.on)
    world.stall()

    def undo() -> None:
        if world.alive:
            fleet.edge_line("edge woke", fault.on)
            world.resume()

    return undo


def _step_edge(fleet: VirtualFleet, fault: Fault) -> Undo:
    fleet.sim.programs[fault.on].step(int(STEP_US * (fault.factor / 10 - 1)))
    return None


def _step_planner(fleet: VirtualFleet, fault: Fault) -> Undo:
    fleet.sim.programs[PLANNER].step(int(STEP_US * (fault.factor / 10 - 1)))
    return None


def _kill_planner(fleet: VirtualFleet, fault: Fault) -> Undo:
    world = fleet.sim.programs[PLANNER]
    if not world.alive:
        return None
    fleet.deaf(True)
    world.kill()

    def undo() -> None:
        fleet.start_planner()
        fleet.deaf(False)

    return undo


def _stall_planner(fleet: VirtualFleet, fault: Fault) -> Undo:
    world = fleet.sim.programs[PLANNER]
    if not world.alive or world.gate.shut:
        return None
    fleet.deaf(True)
    world.stall()

    def undo() -> None:
        world.resume()
        fleet.deaf(False)

    return undo


def _reset_link(fleet: VirtualFleet, fault: Fault) -> Undo:
    fleet.deaf(True)
    fleet.reset_between(fault.on, PLANNER)
    fleet.deaf(False)
    return None


def _cut(near: str, far: str, fleet: VirtualFleet, blind: str) -> Undo:
    network = fleet.sim.network
    network.cut(near, far)
    if blind:
        fleet.line(ev="blind", box=blind, id="")
    else:
        fleet.deaf(True)

    def undo() -> None:
        network.restore(near, far)
        if blind:
            fleet.sim.scheduler.timers.set(
                fleet.sim.now_us() + RETOLD_US, lambda: fleet.line(ev="seen", box=blind, id="")
            )
        else:
            fleet.deaf(False)

    return undo


def _connects(fleet: VirtualFleet, fault: Fault) -> Undo:
    way = fleet.sim.network.path(fault.other, fault.on)
    name = "refused" if fault.kind.endswith("refused") else "hanging"
    setattr(way, name, getattr(way, name) + 1)
    fleet.line(ev="blind", box=fault.on, id="")

    def undo() -> None:
        setattr(way, name, getattr(way, name) - 1)
        fleet.sim.scheduler.timers.set(
            fleet.sim.now_us() + RETOLD_US, lambda: fleet.line(ev="seen", box=fault.on, id="")
        )

    return undo


def _far(fleet: VirtualFleet, fault: Fault) -> Undo:
    ways = [fleet.sim.network.path(*pair) for edge in EDGE_NAMES for pair in ((edge, fault.on), (fault.on, edge))]
    kept = [(way.latency_us, way.bytes_per_s) for way in ways]
    for way in ways:
        if fault.kind == "box far":
            way.latency_us = (1_000, int(1_000 + 2_500 * fault.factor))
        else:
            way.bytes_per_s = 500_000 / fault.factor

    def undo() -> None:
        for way, (latency_us, bytes_per_s) in zip(ways, kept, strict=True):
            way.latency_us, way.bytes_per_s = latency_us, bytes_per_s

    return undo


def _far_link(fleet: VirtualFleet, fault: Fault) -> Undo:
    ways = [fleet.sim.network.path(*pair) for pair in ((fault.on, PLANNER), (PLANNER, fault.on))]
    for way in ways:
        way.latency_us = (1_000, int(1_000 + 10_000 * fault.factor))

    def undo() -> None:
        for way in ways:
            way.latency_us = type(way)().latency_us

    return undo


def _reset_box(fleet: VirtualFleet, fault: Fault) -> Undo:
    for edge in EDGE_NAMES:
        fleet.reset_between(edge, fault.on)
    return None


def _events(fleet: VirtualFleet, fault: Fault) -> Undo:
    ways = [fleet.sim.network.path(fault.on, edge) for edge in EDGE_NAMES]
    for way in ways:
        way.loss_rate, way.duplicate_rate, way.reorder_rate = 0.3, 0.3, 0.3

    def undo() -> None:
        for way in ways:
            way.loss_rate = way.duplicate_rate = way.reorder_rate = 0.0

    return undo


def _bad_list(fleet: VirtualFleet, fault: Fault) -> Undo:
    fleet.list_fault(fault.kind)
    return lambda: fleet.list_fault("")


def _flood(fleet: VirtualFleet, fault: Fault) -> Undo:
    rng = random.Random(f"flood {fleet.script.seed} {fault.at_ms}")
    for _ in range(FLOOD):
        fleet.extra(
            int(rng.random() * 400_000),
            leaves=fault.kind == "flood of hang-ups",
            half=fault.kind == "half-closing clients",
        )
    return None


_MAKERS: dict[str, Maker] = {
    "box hangs": _hang,
    "box stalls": _stall_box,
    "box dies": _die,
    "box slow": _slow,
    "box full": _full,
    "box forgets": _forget,
    "box resets": _resets,
    "box draining": _drain,
    "box gone": _drain,
    "rack dies": _die,
    "rack hangs": _hang,
    "all slow": _slow,
    "all forget": _forget,
    "edge dies": _kill_edge,
    "edge stalls": _stall_edge,
    "edge clock": _step_edge,
    "planner dies": _kill_planner,
    "planner stalls": _stall_planner,
    "planner clock": _step_planner,
    "link reset": _reset_link,
    "link cut up": lambda fleet, fault: _cut(fault.on, PLANNER, fleet, ""),
    "link cut down": lambda fleet, fault: _cut(PLANNER, fault.on, fleet, ""),
    "link slow": _far_link,
    "box cut there": lambda fleet, fault: _cut(fault.other, fault.on, fleet, fault.on),
    "box cut back": lambda fleet, fault: _cut(fault.on, fault.other, fleet, fault.on),
    "move cut": lambda fleet, fault: _cut(fault.on, fault.other, fleet, fault.on),
    "box connects refused": _connects,
    "box connects hang": _connects,
    "box connections reset": _reset_box,
    "box far": _far,
    "box narrow": _far,
    "events bad": _events,
    "list bad": _bad_list,
    "list half": _bad_list,
    "list missing": _bad_list,
    "flood": _flood,
    "flood of hang-ups": _flood,
    "half-closing clients": _flood,
}

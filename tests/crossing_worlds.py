"""Worlds in which two to four events cross with the protocol's steps, drawn by seeds, judged by an independent ledger.

`python -m tests.crossing_worlds FIRST COUNT [-v]` plays seeds and prints the count, the breaks and the time; with
`-v` also what the dispatcher said, and the book.
"""

from __future__ import annotations

import contextlib
import io
import json
import sys
import time
from collections import Counter
from dataclasses import dataclass, field, replace

from tests.crossing_clients import CrossingClients
from tests.crossing_draw import MADE_BY_THE_DISPATCHER, RIGHT_AFTER_US, Crossing, Plan, draw
from tests.crossing_events import Events
from tests.crossing_hosts import CrossingHost, CrossingPlatform
from tests.platform_standin import TOLD
from tests.world_ledger import Ledger
from yardspindle.core.request.graceful_shutdown import shutdown_times
from yardspindle.node.app import Node
from yardspindle.node.config import parse_config
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.virtual import EPOCH_US, Simulation, VirtualWorld

KILL_MORE_US = 700_000
KILL_AFTER_MOST_US = 3_000_000
UNEVEN_PART, UNEVEN_US = 0.3, (100, 6_000)  # of the worlds: a word may overtake a close on another connection
BELOW = 0.5  # of the moves, those to an agent whose revisions begin anew
WORLD_MOST_US = 120_000_000


class Log(io.StringIO):
    """What the dispatcher says, with the world's time."""

    def __init__(self, sim: Simulation) -> None:
        super().__init__()
        self.sim = sim

    def write(self, text: str) -> int:
        return super().write(f"{self.sim.now_us() - EPOCH_US:>9} {text}" if text.strip() else text)


@dataclass
class World:
    """One play of one plan."""

    plan: Plan
    sim: Simulation
    ledger: Ledger
    times: dict[tuple[bytes, str], int] = field(default_factory=dict)  # the first time of each step
    fired: list[str] = field(default_factory=list)
    waiting: list[Crossing] = field(default_factory=list)
    node: Node | None = None
    leaving_us: int = 0  # told to end

    def __post_init__(self) -> None:
        self.waiting = [c for c in self.plan.crossings if c.at_us is None]
        self.platform = CrossingPlatform(self.sim, self.ledger, self, self.plan.flavors, self.plan.conn_idle_us)
        if self.sim.random("ways").random() < UNEVEN_PART:
            for name in self.platform.hosts:
                self.sim.network.path("node", name).latency_us = UNEVEN_US
        self.events = Events(self)
        self.clients = CrossingClients(self)

    # --- steps

    def before(self, step: str, number: bytes, host: CrossingHost | None) -> int:
        self.times.setdefault((number, step), self.sim.now_us())
        put_off_us = 0
        for crossing in self._met(step, number):
            if crossing.offset_us <= 0 and not crossing.after_sent:
                self._fire(crossing, host)
                put_off_us = max(put_off_us, -crossing.offset_us)
        return put_off_us

    def after(self, step: str, number: bytes, host: CrossingHost | None) -> None:
        for crossing in self._met(step, number):
            if crossing.offset_us <= RIGHT_AFTER_US:
                self._fire(crossing, host)
            else:
                self.waiting.remove(crossing)
                self._at(crossing, self.sim.now_us() + crossing.offset_us, host)

    def _met(self, step: str, number: bytes) -> list[Crossing]:
        return [c for c in self.waiting if c.step == step and c.number == number]

    def _at(self, crossing: Crossing, at_us: int, host: CrossingHost | None) -> None:
        def due() -> None:
            self.platform.clients.spawn("crossing", self._fire, crossing, host)

        self.sim.scheduler.timers.set(at_us, due)

    def _fire(self, crossing: Crossing, host: CrossingHost | None) -> None:
        if crossing in self.waiting:
            self.waiting.remove(crossing)
        self.fired.append(crossing.event)
        self.events.fire(crossing, host)

    # --- the dispatcher

    def start(self) -> None:
        world = self.sim.program("node")
        data = json.dumps({"limits": {"sockets": 256}, "settings": self.plan.settings, "seed": f"{self.plan.seed:x}"})
        self.node = Node(world, parse_config(TOLD, data.encode()))
        world.spawn("start", self.node.start).join()

    def reload(self) -> None:
        """Discovery moves: a new configuration comes with SIGHUP."""
        assert self.node is not None
        if not self.platform.moved_us:
            below = self.platform.revision - 1 if self.sim.random("moved").random() < BELOW else 0
            self.platform.discovery("10.2.0.9:8500", below)
            self.platform.moved_us = self.sim.now_us()
        data = {"discovery": "10.2.0.9:8500", "settings": self.plan.settings}
        self.node.reload(parse_config(TOLD, json.dumps(data).encode()))

    def terminate(self) -> None:
        """SIGTERM, the program's own way to its end, and SIGKILL."""
        node = self.node
        if node is None or self.leaving_us:
            return
        self.leaving_us = self.ledger.term_us = self.sim.now_us()
        longest_us = max(int(row["give-up-us"]) for row in self.plan.settings["services"])
        kill_us = self.leaving_us + min(longest_us, KILL_AFTER_MOST_US) + KILL_MORE_US
        self.clients.crossing_us = shutdown_times(self.leaving_us, longest_us, self.ledger.resume).close_idle_us
        self.clients.terminated.set()
        world = node.world
        assert isinstance(world, VirtualWorld)

        def end() -> None:
            with contextlib.suppress(DeadlineExceeded), self.platform.clients.deadline(kill_us):
                drained.join()
                for task in world.tasks:  # as the loop does when the program's first task has ended
                    task.cancel()
                self.platform.sleep(1_000)
            if self.sim.now_us() >= kill_us:
                self.ledger.killed_us = self.sim.now_us()
            world.kill()
            self.ledger.ended_us = self.sim.now_us()

        drained = world.spawn("drain", node.drain)
        self.platform.clients.spawn("end", end)

    def main(self) -> None:
        self.start()
        for crossing in self.plan.crossings:
            if crossing.at_us is not None:
                self._at(crossing, crossing.at_us, None)
        self.clients.run()
        self.platform.sleep(1_500_000)


def once(plan: Plan) -> tuple[World, list[str], str]:
    """Play a plan: the world, its breaks, and what the dispatcher said."""
    sim = Simulation(plan.seed)
    family, allowed = plan.settings["family-info"], plan.settings["allowed"]
    rules = plan.settings["obligations"]["drain-grace-us"], family["let-go-by-us"], allowed["most-tries"]
    log = Log(sim)

    def main() -> World:
        world = World(plan, sim, Ledger(*rules, family["resume"]))
        world.main()
        return world

    with contextlib.redirect_stderr(log):
        world = sim.run("main", main)
    breaks = world.ledger.judge(sim.now_us()) + [f"crash: {text}" for text in sim.crashes]
    if sim.now_us() - EPOCH_US > WORLD_MOST_US:
        breaks.append("the world did not end")
    return world, breaks, log.getvalue()


def world_of(seed: int) -> tuple[World, list[str], str]:
    """Play a seed. What is to come before a step of the dispatcher's own needs a play without it first."""
    plan = draw(seed)
    for at, crossing in enumerate(plan.crossings):
        if crossing.offset_us < 0 and crossing.step in MADE_BY_THE_DISPATCHER:
            rest = [c for c in plan.crossings if c is not crossing and (c.at_us is not None or c.offset_us >= 0)]
            world, _, _ = once(replace(plan, crossings=rest))
            when = world.times.get((crossing.number, crossing.step))
            plan.crossings[at] = replace(crossing, at_us=when + crossing.offset_us if when else None, offset_us=0)
    return once(plan)


def play(seed: int) -> list[str]:
    """The breaks that the ledger finds in one world."""
    return world_of(seed)[1]


def main(arguments: list[str]) -> int:
    first, count = int(arguments[0]), int(arguments[1])
    began, broken, fired = time.monotonic(), 0, Counter[str]()
    for seed in range(first, first + count):
        world, breaks, log = world_of(seed)
        fired.update(world.fired)
        broken += bool(breaks)
        for text in breaks:
            print(f"seed {seed}: {text}", flush=True)
        if "-v" in arguments:
            print(log, *world.plan.crossings, *world.fired, *world.ledger.rows(), world.plan.settings, sep="\n")
    print(f"{count} worlds from {first}: {broken} with breaks, {time.monotonic() - began:.1f} s")
    print("events:", ", ".join(f"{name} {number}" for name, number in sorted(fired.items())))
    return bool(broken)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Simulated worlds in which two to four events strike at the protocol's steps, checked by an independent ledger.

`python -m tests.crossing_worlds FIRST COUNT [-v]` runs seeds and prints the violations, their count and the time; with
`-v` also the dispatcher's log and the ledger.
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
from tests.crossing_draw import DISPATCHER_STEPS, RIGHT_AFTER_US, Crossing, Plan, draw
from tests.crossing_events import Events
from tests.crossing_hosts import CrossingHost, CrossingPlatform
from tests.platform_standin import ENVIRONMENT
from tests.world_ledger import Ledger
from yardspindle.core.request.graceful_shutdown import shutdown_times
from yardspindle.node.app import Node
from yardspindle.node.config import parse_config
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.virtual import EPOCH_US, Simulation, VirtualWorld

# SIGKILL follows SIGTERM after min(longest deadline of a service, MAX_DEADLINE_US) + KILL_GRACE_US.
KILL_GRACE_US = 700_000
MAX_DEADLINE_US = 3_000_000
# In this share of the worlds latencies vary, so that a message may overtake a close on another connection.
UNEVEN_LATENCY_SHARE, UNEVEN_LATENCY_US = 0.3, (100, 6_000)
LOWER_REVISION_SHARE = 0.5  # of the moves: to an agent whose revisions are lower
MAX_WORLD_US = 120_000_000


class Log(io.StringIO):
    """Collects the dispatcher's log, with the simulated time."""

    def __init__(self, sim: Simulation) -> None:
        super().__init__()
        self.sim = sim

    def write(self, text: str) -> int:
        return super().write(f"{self.sim.now_us() - EPOCH_US:>9} {text}" if text.strip() else text)


@dataclass
class CrossingWorld:
    """One run of a plan; the simulated programs have Worlds (clock, sockets, files) of their own."""

    plan: Plan
    sim: Simulation
    ledger: Ledger
    first_step_us: dict[tuple[bytes, str], int] = field(default_factory=dict)  # when each step first happened
    fired: list[str] = field(default_factory=list)
    pending: list[Crossing] = field(default_factory=list)
    node: Node | None = None
    sigterm_us: int = 0  # when SIGTERM was sent; 0: not yet

    def __post_init__(self) -> None:
        self.pending = [c for c in self.plan.crossings if c.at_us is None]
        self.platform = CrossingPlatform(self.sim, self.ledger, self, self.plan.roles, self.plan.conn_idle_us)
        if self.sim.random("ways").random() < UNEVEN_LATENCY_SHARE:
            for name in self.platform.hosts:
                self.sim.network.path("node", name).latency_us = UNEVEN_LATENCY_US
        self.events = Events(self)
        self.clients = CrossingClients(self)

    # --- steps

    def before(self, step: str, request_id: bytes, host: CrossingHost | None) -> int:
        self.first_step_us.setdefault((request_id, step), self.sim.now_us())
        delay_us = 0
        for crossing in self._pending_at(step, request_id):
            if crossing.offset_us <= 0 and not crossing.after_sent:
                self._fire(crossing, host)
                delay_us = max(delay_us, -crossing.offset_us)
        return delay_us

    def after(self, step: str, request_id: bytes, host: CrossingHost | None) -> None:
        for crossing in self._pending_at(step, request_id):
            if crossing.offset_us <= RIGHT_AFTER_US:
                self._fire(crossing, host)
            else:
                self.pending.remove(crossing)
                self._fire_at(crossing, self.sim.now_us() + crossing.offset_us, host)

    def _pending_at(self, step: str, request_id: bytes) -> list[Crossing]:
        return [c for c in self.pending if c.step == step and c.request_id == request_id]

    def _fire_at(self, crossing: Crossing, at_us: int, host: CrossingHost | None) -> None:
        def due() -> None:
            self.platform.clients.spawn("crossing", self._fire, crossing, host)

        self.sim.scheduler.timers.set(at_us, due)

    def _fire(self, crossing: Crossing, host: CrossingHost | None) -> None:
        if crossing in self.pending:
            self.pending.remove(crossing)
        self.fired.append(crossing.event)
        self.events.fire(crossing, host)

    # --- the dispatcher

    def start(self) -> None:
        world = self.sim.program("node")
        data = json.dumps({"limits": {"sockets": 256}, "settings": self.plan.settings, "seed": f"{self.plan.seed:x}"})
        self.node = Node(world, parse_config(ENVIRONMENT, data.encode()))
        world.spawn("start", self.node.start).join()

    def reload(self) -> None:
        """Discovery moves to another agent: a new configuration is loaded, as by SIGHUP."""
        assert self.node is not None
        if not self.platform.moved_us:
            below = self.platform.revision - 1 if self.sim.random("moved").random() < LOWER_REVISION_SHARE else 0
            self.platform.discovery("10.2.0.9:8500", below)
            self.platform.moved_us = self.sim.now_us()
        data = {"discovery": "10.2.0.9:8500", "settings": self.plan.settings}
        self.node.reload(parse_config(ENVIRONMENT, json.dumps(data).encode()))

    def terminate(self) -> None:
        """Sends SIGTERM; SIGKILL follows if the graceful shutdown takes too long."""
        node = self.node
        if node is None or self.sigterm_us:
            return
        self.sigterm_us = self.ledger.term_us = self.sim.now_us()
        longest_us = max(int(row["give-up-us"]) for row in self.plan.settings["services"])
        kill_us = self.sigterm_us + min(longest_us, MAX_DEADLINE_US) + KILL_GRACE_US
        self.clients.close_idle_us = shutdown_times(self.sigterm_us, longest_us, self.ledger.resume).close_idle_us
        self.clients.terminated.set()
        world = node.world
        assert isinstance(world, VirtualWorld)

        def end() -> None:
            with contextlib.suppress(DeadlineExceeded), self.platform.clients.deadline(kill_us):
                drained.join()
                for task in world.tasks:  # as the event loop does when the program's first task has ended
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
                self._fire_at(crossing, crossing.at_us, None)
        self.clients.run()
        self.platform.sleep(1_500_000)


def run_plan(plan: Plan) -> tuple[CrossingWorld, list[str], str]:
    """Runs a plan; returns the world, the violations and the dispatcher's log."""
    sim = Simulation(plan.seed)
    family, allowed = plan.settings["family-info"], plan.settings["allowed"]
    rules = plan.settings["obligations"]["drain-grace-us"], family["let-go-by-us"], allowed["most-tries"]
    log = Log(sim)

    def main() -> CrossingWorld:
        world = CrossingWorld(plan, sim, Ledger(*rules, family["resume"]))
        world.main()
        return world

    with contextlib.redirect_stderr(log):
        world = sim.run("main", main)
    breaks = world.ledger.judge(sim.now_us()) + [f"crash: {text}" for text in sim.crashes]
    if sim.now_us() - EPOCH_US > MAX_WORLD_US:
        breaks.append("the world did not end")
    return world, breaks, log.getvalue()


def run_seed(seed: int) -> tuple[CrossingWorld, list[str], str]:
    """Runs a seed's plan.

    An event that comes before a step of the dispatcher cannot be triggered by that step: a first run without the event
    finds the time of the step, and `Crossing.at_us` is set from it.
    """
    plan = draw(seed)
    for at, crossing in enumerate(plan.crossings):
        if crossing.offset_us < 0 and crossing.step in DISPATCHER_STEPS:
            others = [c for c in plan.crossings if c is not crossing and (c.at_us is not None or c.offset_us >= 0)]
            world, _, _ = run_plan(replace(plan, crossings=others))
            when = world.first_step_us.get((crossing.request_id, crossing.step))
            plan.crossings[at] = replace(crossing, at_us=when + crossing.offset_us if when else None, offset_us=0)
    return run_plan(plan)


def breaks_of(seed: int) -> list[str]:
    """The violations that the ledger finds in a seed's world."""
    return run_seed(seed)[1]


def main(arguments: list[str]) -> int:
    first, count = int(arguments[0]), int(arguments[1])
    began, broken, fired = time.monotonic(), 0, Counter[str]()
    for seed in range(first, first + count):
        world, breaks, log = run_seed(seed)
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

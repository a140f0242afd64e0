"""Duty ownership: time without an owner by fault, store calls by fleet size, release of a dead edge's holds, outages.

The real programs run on the virtual World, so times are virtual and counts do not depend on the machine's speed.

    python -m benchmarks.ownership [RUNS]
"""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable
from typing import Any

import structlog

from yardspindle.core.config import parse
from yardspindle.core.fleet.sweep import epoch_of
from yardspindle.fleet.membership import join_fleet
from yardspindle.fleet.store.factory import open_store
from yardspindle.lab.etcd import EtcdStandIn
from yardspindle.lab.fleet import to_toml
from yardspindle.lab.fleet_simulation import FleetFault, FleetScript, FleetSimulation
from yardspindle.runtime.virtual import Simulation
from yardspindle.steward.app import Steward

S = 1_000_000
TTL_MS = 2_000
HOST = "127.0.0.1"
CELLS = 49  # in the fleet whose store calls are counted
DUTIES = CELLS + 2  # one sweep per cell, the clock and the release


class Stewards:
    """A store and stewards with duties but no engines."""

    def __init__(self, seed: int, stewards: int, cells: int, members: int = 0) -> None:
        self.sim = Simulation(seed)
        self.etcd = EtcdStandIn(self.sim.program("store"))
        self.calls: Counter[str] = Counter()
        self.etcd.record = lambda event, **more: self.calls.update([str(more.get("path", event))])  # type: ignore
        self.stewards: dict[str, Steward] = {}
        self.names = [f"s{n}" for n in range(stewards)]
        self.cells, self.members = cells, members

    def start(self) -> None:
        _, port = self.etcd.start(HOST, self.sim.next_port())
        rows = [f"count = {self.cells}"]
        for n in range(self.cells):
            rows += ["[[servers]]", f'name = "r{n}"', f'address = "{HOST}:{1 + n}"', 'kind = "reader"', f"cell = {n}"]
        self.sim.files["servers.toml"] = "\n".join(rows).encode()

        def config(name: str) -> Any:
            return parse(
                "bench",
                to_toml(
                    {
                        "planner": {"servers": "servers.toml", "reread_ms": 5_000},
                        "fleet": {
                            "store": [f"http://{HOST}:{port}"],
                            "ttl_ms": TTL_MS,
                            "margin_ms": 200,
                            "call_ms": 400,
                            "member": name,
                        },
                    }
                ),
            )

        for name in self.names:
            world = self.sim.program(name)
            self.stewards[name] = Steward(world, config(name), open_store(world, config(name).fleet), "bench")
            self.stewards[name].start()
        for n in range(self.members):
            world = self.sim.program(f"m{n}")
            world.spawn("join", join_fleet, world, config(f"m{n}").fleet, "edge", f"m{n}", f"epoch{n}", "z", "bench")

    def owner(self, duty: str) -> str | None:
        """Return the steward that can act on the duty now; a stalled one (`gate.shut`) cannot."""
        for name, steward in self.stewards.items():
            world = self.sim.programs[name]
            if (
                world.alive
                and not world.gate.shut
                and steward.fence_to_act(duty) is not None
                and duty in steward.duty_tasks
            ):
                return name
        return None

    def until(self, condition: Callable[[], bool], step_us: int = 2_000) -> int:
        began = self.sim.now_us()
        while not condition():
            self.sim.scheduler.sleep_until(self.sim.now_us() + step_us)
        return self.sim.now_us() - began


def time_without_owner(kind: str, seed: int) -> int:
    """Return the microseconds without an owner, from the fault or the last owner's stop to the next owner."""
    bench = Stewards(seed, 3, 3)
    gap = 0

    def program() -> None:
        nonlocal gap
        bench.start()
        sim = bench.sim
        bench.until(lambda: bench.owner("sweep/0") is not None)
        sim.scheduler.sleep_until(sim.now_us() + 2 * S + sim.random("when").randrange(2 * S))
        name = bench.owner("sweep/0")
        assert name is not None
        world = sim.programs[name]
        match kind:
            case "killed":
                world.kill()
            case "stopped":
                world.stall()
            case "cut from the store":
                sim.network.cut(name, "store")
                sim.network.cut("store", name)
                bench.until(lambda: bench.owner("sweep/0") is None)
            case "leaves":
                world.spawn("leave", bench.stewards[name].shut_down)
                bench.until(lambda: bench.owner("sweep/0") is None, 200)
            case "lease ended":
                bench.etcd.inject_fault("expire")
                bench.until(lambda: bench.owner("sweep/0") is None, 200)
        gap = bench.until(lambda: bench.owner("sweep/0") is not None, 500)

    bench.sim.run("bench", program)
    return gap


def calls_per_member(members: int) -> tuple[float, float]:
    """Return the store calls per second of an idle fleet, per member and in total."""
    bench = Stewards(1, 5, CELLS, members - 5)
    seconds = 20

    def program() -> None:
        bench.start()
        bench.sim.scheduler.sleep_until(bench.sim.now_us() + 10 * S)
        bench.calls.clear()
        bench.sim.scheduler.sleep_until(bench.sim.now_us() + seconds * S)

    bench.sim.run("bench", program)
    total = sum(n for path, n in bench.calls.items() if path.startswith("/v3")) / seconds
    return total / members, total


def time_to_last_release(seed: int, with_stewards: bool) -> int | None:
    """Return the microseconds from an edge's death to the release of its last hold.

    None if no engine held anything for the edge.
    """
    world = FleetSimulation(FleetScript(seed, (), tuple(range(0, 3_000, 120))))
    took: int | None = None

    def kill_edge() -> None:
        nonlocal took
        sim = world.sim
        if not with_stewards:
            for name in ("s0", "s1", "s2"):
                sim.programs[name].kill()
        # Kills the edge as soon as an engine holds something for it.
        world._apply_fault(FleetFault("dies holding", "edge0", "", 0, 0))
        epoch, died = world.edges["edge0"].instance_id, sim.now_us()
        if any(epoch_of(hold) == epoch for hold in world.held_ids()):
            while any(epoch_of(hold) == epoch for hold in world.held_ids()):
                sim.scheduler.sleep_until(sim.now_us() + 5_000)
            took = sim.now_us() - died

    real = world._run_fault
    world._run_fault = lambda fault, started: kill_edge() if fault.kind == "bench" else real(fault, started)  # type: ignore
    world.script = FleetScript(seed, (FleetFault("bench", "edge0", "", 500, 0),), world.script.requests)
    world._check_settled = lambda: None  # type: ignore[method-assign]
    world.run()
    return took


def outcomes(store: bool, seed: int) -> Counter[str]:
    """Count the outcomes of the same requests with the store available or unavailable throughout."""
    faults = () if store else (FleetFault("no leader", "store", "", 0, 14_000),)
    world = FleetSimulation(FleetScript(seed, faults, tuple(range(200, 12_000, 100))))
    world._check_settled = lambda: None  # type: ignore[method-assign]
    world.run()
    counts: Counter[str] = Counter()
    for edge in world.edges.values():
        tally = edge.core.lifecycle.counts
        counts.update(served=tally.served, refused=tally.refused, failed=tally.failed, left=tally.left)
    return counts


def quantiles(rows: list[int]) -> str:
    rows = sorted(rows)
    return f"p50 {rows[len(rows) // 2] / S:.3f} s, p99 {rows[min(len(rows) - 1, round(len(rows) * 0.99))] / S:.3f} s"


def main() -> None:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    runs = int(sys.argv[1]) if len(sys.argv) > 1 else 200
    print(f"lease {TTL_MS / 1_000:g} s, margin 0.2 s; {runs} runs each, virtual time")
    for kind in ("killed", "stopped", "cut from the store", "lease ended", "leaves"):
        print(
            f"without an owner, {kind}: {quantiles([time_without_owner(kind, seed) for seed in range(runs)])}",
            flush=True,
        )
    for members in (10, 200, 1_000):
        each, total = calls_per_member(members)
        print(
            f"{members} members, {DUTIES} duties: {each:.2f} store calls per second and member, {total:.0f} in all",
            flush=True,
        )
    after = [took for seed in range(max(runs // 8, 4)) if (took := time_to_last_release(seed, True)) is not None]
    print(
        f"from an edge's death to the release of its last hold, with stewards: {quantiles(after)} "
        f"({len(after)} deaths with holds)"
    )
    for store in (True, False):
        counts: Counter[str] = Counter()
        for seed in range(max(runs // 20, 2)):
            counts.update(outcomes(store, seed))
        print(f"store {'available' if store else 'unavailable'}: {dict(counts)}", flush=True)


if __name__ == "__main__":
    main()

"""Seeded runs of releases: store, stewards and unit supervisors in simulated time, with faults.

A unit is a dispatcher or model host; its process outlives its supervisor. A steward, which does background work for the
fleet, runs the release through the store, the key-value store that all share: it grants a unit a permit to be out of
service and writes an order, such as the version to run. At every grant, the number of units that are out, by permit or
by an outage older than KNOWN_OUTAGE_US, is recomputed from the store's rows alone and checked against the limits. Each
order starts its unit at most once. After the last fault, the release completes, or halts and is rolled back; then
every unit runs the same version and none is out.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from yardspindle.core.config import Config, Limit, parse
from yardspindle.core.fleet import release_plan as r
from yardspindle.core.fleet.members import FleetKeys
from yardspindle.core.fleet.release_keys import AuditEntry, ReleaseView, UnitKeys
from yardspindle.core.fleet.unit import UnitFile
from yardspindle.fleet.store.factory import open_store
from yardspindle.lab.etcd import EtcdStandIn
from yardspindle.lab.fleet import to_toml
from yardspindle.runtime.virtual import Simulation, VirtualWorld
from yardspindle.steward.app import Steward
from yardspindle.unit.app import UnitSupervisor

HOST, STORE = "127.0.0.1", "store"
STEWARDS, UNITS = ("s0", "s1", "s2"), tuple(f"u{n}" for n in range(6))
MAX_OUT = 2
LIMITS = (Limit("all", most_out=MAX_OUT), Limit("zone", most_out=1))
KNOWN_OUTAGE_US = 1_500_000  # a steward that grants a permit must know of any outage older than this
CHECK_INTERVAL_US, RELEASE_TIMEOUT_US = 50_000, 400_000_000
GOOD_VERSION = "good"
UNSTARTABLE_VERSION = "never"  # its process never runs
CRASHING_VERSION = "frail"  # ends 3 s after its start


class SimulatedUnit:
    """The process of a unit: it outlives the unit's supervisor and may crash."""

    def __init__(self, sim: Simulation, name: str) -> None:
        """Starts with no process."""
        self.sim, self.name = sim, name
        self.version, self.mark, self.start_number, self.started_us = "", "", 0, 0
        self.running = False
        self.no_start_until_us = 0  # starts before this time fail
        self.starts: Counter[str] = Counter()  # by mark, the id of a start, which stays if the supervisor repeats it

    def crash(self, for_us: int = 0) -> None:
        """End the process; it cannot be started again for the given time."""
        self.running = False
        self.no_start_until_us = self.sim.now_us() + for_us


class SimulatedRunner:
    """Starts, stops and checks a unit in virtual time for its supervisor (`UnitRunner` in unit/app.py)."""

    def __init__(self, world: VirtualWorld, unit: SimulatedUnit) -> None:
        """For one start of the supervisor; `world` is its simulated clock, network and files."""
        self._world, self._unit = world, unit
        self._process = (0, 0)

    def adopt(self, pid: int, born: int) -> None:
        """Take over a process that an earlier run of the supervisor started; `born`: its start time (UnitRunner)."""
        self._process = (pid, born)

    def id(self) -> tuple[int, int]:
        """The process id and start time of the unit's process; zeros if there is none (UnitRunner)."""
        return self._process

    def alive(self) -> bool:
        """Whether the unit's process is running (UnitRunner)."""
        if (
            self._unit.running
            and self._unit.version == CRASHING_VERSION
            and self._unit.sim.now_us() - self._unit.started_us > 3_000_000
        ):
            self._unit.crash()
        return self._unit.running and self._process == (self._unit.start_number, 1)

    def _take_time(self, max_us: int) -> None:
        self._world.sleep_until(
            self._world.now_us()
            + self._unit.sim.random(f"takes {self._unit.name} {self._unit.sim.next_number('takes')}").randrange(max_us)
        )

    def start(self, version: str, mark: str) -> int:
        """Start the unit, unless a process with this mark is running; 0 on success (UnitRunner)."""
        if not (self._unit.running and self._unit.mark == mark):
            self._unit.starts[mark] += 1
            self._unit.start_number += 1
            can_start = self._unit.sim.now_us() >= self._unit.no_start_until_us
            starts = version != UNSTARTABLE_VERSION and can_start
            self._unit.version, self._unit.mark, self._unit.running = version, mark, starts
            self._unit.started_us = self._unit.sim.now_us()
        self._process = (self._unit.start_number, 1)
        return 0

    def stop(self) -> None:
        """Stop the unit, and wait until it has exited (UnitRunner)."""
        self._take_time(1_000_000)
        self._unit.running = False

    def drain(self, version: str) -> int | None:
        """Wait until the unit is idle; 0 on success (UnitRunner)."""
        self._take_time(1_500_000)
        return 0

    def check(self, version: str) -> tuple[int | None, bytes]:
        """The health check's exit code (0: healthy, 1: cold, other: failing) and output (UnitRunner)."""
        self._take_time(200_000)
        return (0 if self._unit.sim.now_us() - self._unit.started_us > 800_000 else 1) if self._unit.running else 2, b""


class ReleaseSimulation:
    """One run of a seed: the programs, a release, faults and the checks."""

    def __init__(self, seed: int) -> None:
        """Starts no program before `run`."""
        self.rng = random.Random(f"release {seed}")
        self.sim = Simulation(seed)
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        self.simulated_units = {name: SimulatedUnit(self.sim, name) for name in UNITS}
        self.keys = UnitKeys(FleetKeys("main"))
        self.version = self.rng.choice(
            [GOOD_VERSION, GOOD_VERSION, GOOD_VERSION, UNSTARTABLE_VERSION, CRASHING_VERSION]
        )
        self._down_since: dict[str, int] = {}
        self._permits: set[str] = set()

    def run(self) -> tuple[str, ...]:
        """Run the release; returns the violations."""
        try:
            self.sim.run("release world", self._program)
        except RuntimeError as error:
            self.violations.append(f"liveness: {error}")
        return tuple(dict.fromkeys([*self.violations, *(f"crash: {text}" for text in self.sim.crashes)]))

    def _config(self, name: str) -> Config:
        limits = [{"group": row.group, "most_out": row.most_out} for row in LIMITS]
        return parse(
            "world",
            to_toml(
                {
                    "release": {"limit": limits},
                    "planner": {"servers": "servers.toml"},
                    "fleet": {
                        "store": [f"http://{HOST}:{self.port}"],
                        "ttl_ms": 2_000.0,
                        "margin_ms": 200.0,
                        "call_ms": 400.0,
                        "member": name,
                    },
                }
            ),
        )

    def start(self, name: str) -> None:
        """Start a steward, or a unit's supervisor."""
        world = self.sim.program(name)
        fleet = self._config(name).fleet
        store = open_store(world, fleet)
        if name in STEWARDS:
            Steward(world, self._config(name), store, "world").start()
            return
        groups: dict[Any, str] = {"zone": "abc"[int(name[1:]) % 3]}
        file = UnitFile(
            name,
            "dispatcher",
            "f",
            ("old", GOOD_VERSION, UNSTARTABLE_VERSION, CRASHING_VERSION),
            ("run",),
            f"{name}.state",
            groups,
            start_s=6.0,
        )
        UnitSupervisor(world, file, fleet, store, "world", SimulatedRunner(world, self.simulated_units[name])).start()

    def store_view(self) -> ReleaseView:
        """The rows of the release and its units, read directly from the store's data."""
        model = self.etcd.model
        return self.keys.read({row.key: row for row in model.rows(self.keys.root, b"\0")})

    def _wait_for(self, what: str, condition: Callable[[], bool], within_us: int = RELEASE_TIMEOUT_US) -> bool:
        until_us = self.sim.now_us() + within_us
        while not condition():
            if self.sim.now_us() > until_us or self.violations:
                self.violations.append(f"liveness: not reached: {what}")
                return False
            self.sim.scheduler.sleep_until(self.sim.now_us() + CHECK_INTERVAL_US)
        return True

    def _program(self) -> None:
        sim = self.sim
        self.etcd = EtcdStandIn(sim.program(STORE))
        self.etcd.record = self._check_permits  # type: ignore[method-assign]
        _, self.port = self.etcd.start(HOST, sim.next_port())
        sim.files["servers.toml"] = b"count = 0\n"
        for name in UNITS + STEWARDS:
            self.start(name)
        sim.scheduler.spawn("track outages", self._track_outages)
        if not self._wait_for("all units are healthy", lambda: self._all_run({"old"})):
            return
        places = self.store_view().placements
        release = r.create_release("r", r.PlanFile(self.version, "old", settle_s=1.0, start_s=25.0), places)
        self._update_release(release, "start")
        faults = [sim.scheduler.spawn("fault", self._run_fault) for _ in range(self.rng.randint(0, 5))]
        rollback_at_us = sim.now_us() + self.rng.randrange(40_000_000) if self.rng.random() < 0.3 else None
        for task in faults:
            task.join()
        while rollback_at_us is not None and sim.now_us() < rollback_at_us:
            sim.scheduler.sleep_until(sim.now_us() + CHECK_INTERVAL_US)
        if rollback_at_us is not None:
            self._operator_command("back")
        ends = {"done", "back"}
        if not self._wait_for("the release's end", lambda: self._phase() in {*ends, "halted"}):
            return
        for _ in range(4):  # a halted release is rolled back, and again if the roll-back halts
            if self._phase() == "halted":
                self.counts["halts"] += 1
                self._operator_command("back")
                self._wait_for("the roll-back", lambda: self._phase() in {*ends, "halted"})
        target = {"done": self.version, "back": "old"}.get(self._phase(), "")
        self._wait_for(f"all run {target}", lambda: self._all_run({target}) and not self.store_view().permits)
        self.counts[f"{self.version} {self._phase()}"] += 1
        for name, unit in self.simulated_units.items():
            self.violations += [
                f"once: {name} started {times} times for {mark}" for mark, times in unit.starts.items() if times > 1
            ]

    def _phase(self) -> str:
        release = self.store_view().release
        return release.phase if release is not None else ""

    def _all_run(self, versions: set[str]) -> bool:
        statuses = self.store_view().statuses
        return len(statuses) == len(UNITS) and all(
            row.standing == "well" and row.version in versions for row in statuses.values()
        )

    def _update_release(self, release: r.Release, what: str) -> None:
        txn = self.keys.update_release_by_operator(
            self.store_view(), release, AuditEntry(self.sim.now_us(), "ana", what)
        )
        if not self.etcd.model.txn(txn).succeeded:
            self.violations.append(f"operator: {what} was not accepted")
        self.etcd._notify_watches()

    def _operator_command(self, command: str) -> None:
        """Apply a command, unless the release's phase no longer allows it."""
        release = self.store_view().release
        changed = r.apply_operator_command(release, command, "") if release is not None else "none"
        if isinstance(changed, r.Release):  # else a text: why not
            self._update_release(changed, command)

    # --- faults

    def _run_fault(self) -> None:
        sim, rng = self.sim, self.rng
        at, duration_us = rng.randrange(30_000_000), rng.randrange(50_000, 6_000_000)
        kind = rng.choice(
            ["dies", "dies", "stalls", "cut", "crash", "crash", "crash", "no leader", "late", "lost", "expire"]
        )
        name = rng.choice(STEWARDS + UNITS)
        sim.scheduler.sleep_until(sim.now_us() + at)
        world = sim.programs[name]
        self.counts[kind] += 1
        undo: Callable[[], None] = lambda: None  # noqa: E731
        match kind:
            case "dies" if world.alive:
                world.kill()
                undo = lambda: self.start(name)  # noqa: E731
            case "stalls" if world.alive and not world.gate.shut:
                world.stall()
                undo = world.resume
            case "cut":
                sim.network.cut(name, STORE)
                undo = lambda: sim.network.restore(name, STORE)  # noqa: E731
            case "crash":
                # Of any unit, as `name` may be a steward; it cannot start for 3 times the fault's duration.
                self.simulated_units[rng.choice(UNITS)].crash(3 * duration_us)
            case "no leader":
                self.etcd.leaderless = True
                undo = lambda: setattr(self.etcd, "leaderless", False)  # noqa: E731
            case "late":
                self.etcd.late_us = 300_000
                undo = lambda: setattr(self.etcd, "late_us", 0)  # noqa: E731
            case "lost":
                self.etcd.responses_to_lose += 3
            case "expire":
                self.etcd.inject_fault("expire")
        sim.scheduler.sleep_until(sim.now_us() + duration_us)
        undo()

    # --- rules

    def _track_outages(self) -> None:
        """Record since when each unit is down without a permit, by the store's rows."""
        while True:
            now, view = self.sim.now_us(), self.store_view()
            for name in UNITS:
                status = view.statuses.get(name)
                if name in view.permits or (status is not None and status.standing == "well"):
                    self._down_since.pop(name, None)
                else:
                    self._down_since.setdefault(name, now)
            self.sim.scheduler.sleep_until(now + CHECK_INTERVAL_US)

    def _check_permits(self, event: str, **more: Any) -> None:
        """After each call to the store, check new permits against the limits."""
        permits = set(self.store_view().permits)
        new, self._permits = permits - self._permits, permits
        now = self.sim.now_us()
        for name in new:
            self.counts["grants"] += 1
            down = {unit for unit, since in self._down_since.items() if now - since > KNOWN_OUTAGE_US} - permits
            out = permits | down
            zone = {unit for unit in out if int(unit[1:]) % 3 == int(name[1:]) % 3}
            # A permit for a unit that is down anyway takes none out of service, and a roll-back has to reach it.
            already_out = name in self._down_since
            if not already_out and (len(out) > MAX_OUT or len(zone) > 1):
                self.violations.append(
                    f"limit: {name} got a permit with {sorted(permits - {name})} out, {sorted(down)} down"
                )


def run_release_seed(seed: int) -> tuple[tuple[str, ...], Counter[str]]:
    """Run a seed; returns violations, and counts of faults and events."""
    simulation = ReleaseSimulation(seed)
    return simulation.run(), simulation.counts

"""A day (`yardspindle lab day`) is a scripted load test of up to an hour, with real processes, which is then audited.

A file describes the fleet, the load and the faults with their times; all random choices come from its seed. `box` is an
engine, and a dispatcher is an edge (which holds the client connections) with its planner (which decides which engine
does what). The run ends by itself: the clients stop, open requests end, all processes are stopped by their ids, and the
audit reads the two journals (what clients and what engines recorded).
"""

from __future__ import annotations

import contextlib
import os
import signal
from collections.abc import Callable
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from yardspindle.core.config import ConfigError, decode_toml
from yardspindle.engine.http_client import ConnectError, ExchangeBroken, HttpClient
from yardspindle.lab.audit import AuditLimits, AuditReport, audit_journals
from yardspindle.lab.clients import ClientClass, ClientHabits, Clients, draw_request
from yardspindle.lab.engine import CONTROL
from yardspindle.lab.engine_settings import EngineSettings
from yardspindle.lab.fleet import Dispatcher, EngineInstance, LocalFleet
from yardspindle.runtime.process import Child, ChildError
from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.scheduler import DeadlineExceeded, Signal, Task

SETTLE_US = 6_500_000  # after the last request: longer than the defaults of a client's deadline and of a hold's expiry

Positive = Annotated[float, Meta(gt=0)]


class DayClass(Struct, forbid_unknown_fields=True, frozen=True):
    """A request class, as the router and its clients are configured with it."""

    name: str
    effect: Literal["safe", "unsafe"]  # unsafe: must not run twice
    share: Positive
    aim_ms: Positive = 1_500.0  # latency target
    give_up_ms: Positive = 4_000.0  # the router's time limit; each client gives up after 50 to 100% of it
    answer_tokens: Annotated[int, Meta(ge=1)] = 40
    worth: Positive = 1.0  # value of an answer in time, relative to the other classes


class DayFault(Struct, forbid_unknown_fields=True, frozen=True):
    """A fault, its time and target: an engine by name or drawn by role, or all of a rack (server list: `cell`)."""

    at_s: Annotated[float, Meta(ge=0)]
    do: Literal[
        # These act on one engine, "restart_rack" on all of a rack:
        "kill",
        "restart",  # kill it and start it again after `down_s`
        "hang",  # answer nothing, until "wake"
        "wake",
        "slow",  # by `factor`
        "normal",  # end "slow" and "full"
        "forget",  # clear the prefix cache
        "reset_streams",
        "full",  # refuse new requests
        "drain",  # list it as draining
        "remove",  # remove it from the server list
        "restart_rack",
        # These act on the planner of `dispatcher`:
        "kill_planner",  # and start it again after `down_s`
        "stall_planner",
        "wake_planner",
    ]
    box: str = ""
    role: Literal["reader", "writer", ""] = ""
    rack: int = 0
    dispatcher: int = 0
    factor: float = 1.0
    down_s: float = 1.0
    when: Literal["read", "move", "stream", ""] = ""  # apply it to the first engine at this stage; move: KV transfer


class Day(Struct, forbid_unknown_fields=True, frozen=True):
    """The description of a day (a scripted load test), as read from its file."""

    seed: int
    seconds: Annotated[float, Meta(gt=0, le=3_600)]
    rate_per_s: Annotated[float, Meta(gt=0, le=2_000)]
    classes: tuple[DayClass, ...]
    dispatchers: Annotated[int, Meta(ge=1, le=32)] = 3
    racks: Annotated[int, Meta(ge=1, le=64)] = 2
    readers: Annotated[int, Meta(ge=1, le=64)] = 3  # in each rack, as `writers`
    writers: Annotated[int, Meta(ge=1, le=64)] = 3
    cold_ms: Annotated[float, Meta(ge=0)] = 3_000.0  # how long a restarted engine has less than its full capacity
    box: dict[str, Any] = {}  # EngineSettings of all engines
    rules: dict[str, Any] = {}  # section `rules` of the router's settings
    habits: ClientHabits = msgspec.field(default_factory=ClientHabits)
    troubles: tuple[DayFault, ...] = ()  # faults


def load_day(path: str) -> Day:
    """Read the file of a day. Raises ConfigError and OSError."""
    with open(path, "rb") as file:
        day = decode_toml(path, file.read(), Day)
    if not day.classes:
        raise ConfigError(f"{path}: classes: empty")
    names = set(_engine_names(day))
    for index, fault in enumerate(day.troubles):
        if fault.box and fault.box not in names:
            raise ConfigError(f"{path}: troubles[{index}].box: no such box: {fault.box}")
        if fault.rack >= day.racks:
            raise ConfigError(f"{path}: troubles[{index}].rack: must be below {day.racks}")
        if fault.dispatcher >= day.dispatchers:
            raise ConfigError(f"{path}: troubles[{index}].dispatcher: must be below {day.dispatchers}")
    return day


def _engine_names(day: Day) -> list[str]:
    return [
        f"{kind}{rack}-{n}"
        for rack in range(day.racks)
        for kind, count in (("reader", day.readers), ("writer", day.writers))
        for n in range(count)
    ]


class DayRun:
    """Runs a day once: starts its processes, sends its requests, applies its faults and audits the journals."""

    def __init__(
        self, world: RealWorld, day: Day, print_line: Callable[[str], None], journal_folder: str | None = None
    ) -> None:
        """`world`: the interface to the real clock, sockets and files.

        `print_line` gets progress messages; `journal_folder` keeps the journals after the run.
        """
        self.world = world
        self.day = day
        self.print_line = print_line
        self.rng = world.random("day")
        rules = {"cold_ms": day.cold_ms, "start_capacity": 0.3, **day.rules}
        self.fleet = LocalFleet(
            world,
            {
                "classes": [
                    {
                        "name": c.name,
                        "effect": c.effect,
                        "aim_ms": c.aim_ms,
                        "give_up_ms": c.give_up_ms,
                        "worth": c.worth,
                    }
                    for c in day.classes
                ],
                "rules": rules,
                "edge": {"stalled_client_ms": 2_000.0},
                "log": {"level": "info"},
                "index": {"block_size": EngineSettings().block_size},
            },
            [],
            [Dispatcher(number) for number in range(day.dispatchers)],
        )
        folder = journal_folder or self.fleet.folder.name
        self.engine_journal = os.path.join(folder, "boxes.jsonl")
        self.client_journal = os.path.join(folder, "clients.jsonl")
        for path in (self.engine_journal, self.client_journal):
            open(path, "wb").close()
        for name in _engine_names(day):
            kind, rack = name[:6], int(name[6:].split("-")[0])  # "reader" and "writer" have six letters each
            settings = msgspec.convert(
                {
                    "name": name,
                    "role": "read" if kind == "reader" else "write",
                    "events": kind == "reader",
                    "journal": self.engine_journal,
                    "cold_ms": day.cold_ms,
                    "start_capacity": rules["start_capacity"],
                    # The engines behave as the router assumes; defaults as in `RulesConfig`.
                    "fall_multiple": rules.get("fall_multiple", 2.5),
                    "fall_ms": rules.get("fall_ms", 2_000.0),
                    **day.box,
                },
                EngineSettings,
            )
            settings = msgspec.structs.replace(settings, cold_ms=0.0)  # warm at the first start
            self.fleet.engines.append(EngineInstance(settings, rack, kind))
        self.http = HttpClient(world, 1_000_000, 1_000_000)
        self._tasks: list[Task] = []
        self._error: BaseException | None = None  # the first one that ended a task
        self._killed: set[Child] = set()  # engine processes that a fault killed

    def run(self) -> AuditReport:
        """Run the day and audit its journals. Raises the first error of any of its tasks, once all are stopped.

        By default an uncaught error ends the program if no other task waits for the one that failed. The tasks of
        faults and clients are waited for only at the end, so the fleet's processes would be left running; therefore
        the first such error is recorded, and ends the day.
        """
        ended = self.world.signal()

        def record_error(task: Task, error: BaseException) -> None:
            self._error = self._error or error
            ended.set()

        self.world.scheduler.on_crash = record_error
        try:
            self._spawn("play", self._play, ended)
            ended.wait()
        finally:
            self._cancel_tasks()
            codes = self.fleet.stop()
        if self._error is not None:
            raise self._error
        report = self.audit()
        self.fleet.remove_files()
        for name, code in codes.items():
            if name.startswith(("edge", "planner")) and code not in (0, -signal.SIGKILL):
                report.add_violation("edges and planners exit with status 0", f"{name} ended with {code}")
        return report

    def _play(self, ended: Signal) -> None:
        """Start the fleet, send the requests and carry out the faults; sets `ended` when all are over."""
        day, world = self.day, self.world
        self.print_line(f"starting {len(self.fleet.engines)} engines and {day.dispatchers} dispatchers")
        self.fleet.start()
        self.fleet.engines = [self._cold_from_now(engine) for engine in self.fleet.engines]
        started = world.now_us()
        faults = [self._spawn("trouble", self._run_fault, fault, started) for fault in day.troubles]
        requests = self._send_requests(started)
        for task in (*requests, *faults):
            task.join()
        world.sleep_until(world.now_us() + SETTLE_US)
        ended.set()

    def _spawn(self, name: str, function: Callable[..., None], *args: Any) -> Task:
        task = self.world.spawn(name, function, *args)
        self._tasks.append(task)
        return task

    def _cancel_tasks(self) -> None:
        """Cancel the tasks that still run and wait for their end: a fault in progress could start a process later."""
        running = [task for task in self._tasks if not task.done]
        for task in running:
            task.cancel()
        for task in running:
            with contextlib.suppress(Exception):  # `run` raises the first error
                task.join()

    def _cold_from_now(self, engine: EngineInstance) -> EngineInstance:
        """Change the settings so that a restart is cold; the running process keeps its own."""
        engine.settings = msgspec.structs.replace(engine.settings, cold_ms=self.day.cold_ms)
        return engine

    def audit(self) -> AuditReport:
        """Audit the journals written so far."""
        rules = self.day.rules  # what it leaves out is as in `RulesConfig`
        limits = AuditLimits(
            release_ms=rules.get("release_ms", 300.0),
            drain_grace_ms=rules.get("drain_grace_ms", 500.0),
            unsafe=tuple(c.name for c in self.day.classes if c.effect == "unsafe"),
        )
        return audit_journals(read_journal(self.client_journal), read_journal(self.engine_journal), limits)

    def _send_requests(self, started: int) -> list[Task]:
        day, world = self.day, self.world
        classes = tuple(ClientClass(c.name, c.share, c.give_up_ms, c.answer_tokens) for c in day.classes)
        clients = Clients(
            world,
            "yardspindle-demo",  # the model name that dispatchers have by default
            lambda line: world.append_file(self.client_journal, msgspec.json.encode(line) + b"\n"),
            day.habits,
        )
        edges = [("127.0.0.1", dispatcher.port) for dispatcher in self.fleet.dispatchers]
        tasks: list[Task] = []
        at, number = 0.0, 0
        while (at := at + self.rng.expovariate(day.rate_per_s)) < day.seconds:
            plan = draw_request(self.rng, number, classes, day.habits)
            number += 1
            world.sleep_until(started + int(at * 1e6))
            tasks.append(self._spawn("client", clients.request, plan, edges))
        self.print_line(f"{number} requests sent")
        return tasks

    # --- faults

    def _run_fault(self, fault: DayFault, started: int) -> None:
        self.world.sleep_until(started + int(fault.at_s * 1e6))
        dispatcher = self.fleet.dispatchers[fault.dispatcher]
        if fault.do.endswith("planner"):
            self.print_line(f"{fault.at_s:6.1f} s  {fault.do} {dispatcher.number}")
            return self._apply_to_planner(fault, dispatcher)
        if fault.do == "restart_rack":
            engines = [engine for engine in self.fleet.engines if engine.cell == fault.rack and engine.listed]
        else:
            candidates = [
                engine
                for engine in self.fleet.engines
                if engine.child is not None
                and engine.child.running()
                and engine.state == "serving"
                and engine.kind.startswith(fault.role)
            ]
            named = [engine for engine in self.fleet.engines if engine.settings.name == fault.box]
            engines = named or (
                [self._wait_for_stage(fault.when, candidates)] if fault.when else self.rng.sample(candidates, 1)
            )
        self.print_line(f"{fault.at_s:6.1f} s  {fault.do} {', '.join(engine.settings.name for engine in engines)}")
        for engine in engines:
            self._apply_to_engine(fault, engine)
        if fault.do in ("restart", "restart_rack"):
            self.world.sleep_until(self.world.now_us() + int(fault.down_s * 1e6))
            for engine in engines:
                self.fleet.launch_engine(engine)
            launched = [(engine, engine.child) for engine in engines]
            for engine, child in launched:
                assert child is not None
                self._wait_restarted(engine, child)
            self.fleet.write_list()

    def _wait_restarted(self, engine: EngineInstance, child: Child) -> None:
        """Wait until a restarted engine serves, unless another fault replaces or kills its process before that."""
        if engine.child is not child or child in self._killed:
            return
        try:
            self.fleet.wait_engine_ready(engine)
        except ChildError:
            if child not in self._killed:
                raise

    def _wait_for_stage(self, when: str, candidates: list[EngineInstance]) -> EngineInstance:
        """Wait until the journal shows a candidate in a read, a move (of KV cache) or a stream; returns that engine."""
        at = os.path.getsize(self.engine_journal)
        engines = {engine.settings.name: engine for engine in candidates}
        while True:
            with open(self.engine_journal, "rb") as file:
                file.seek(at)
                data = file.read()
            complete = data.rfind(b"\n") + 1
            at += complete
            for line in map(msgspec.json.decode, data[:complete].splitlines()):
                # A write fetches the KV cache first (move); "run" is recorded when it begins to decode (stream).
                stage = {"run": "stream"}.get(line["ev"]) or (
                    {"read": "read", "write": "move"}[line["stage"]] if line["ev"] == "arrive" else ""
                )
                if stage == when and line["box"] in engines:
                    return engines[line["box"]]
            self.world.sleep_until(self.world.now_us() + 2_000)

    def _apply_to_engine(self, fault: DayFault, engine: EngineInstance) -> None:
        match fault.do:
            case "kill" | "restart" | "restart_rack":
                self._kill_engine(engine)
            case "drain" | "remove":
                engine.state, engine.listed = "draining", fault.do == "drain"
                self.fleet.write_list()
                # The engine only records this in its journal: the audit counts the drain from then on.
                self.send_control(engine, "listed_draining")
            case _:
                self.send_control(engine, fault.do, fault.factor)

    def _kill_engine(self, engine: EngineInstance) -> None:
        assert engine.child is not None
        self._killed.add(engine.child)
        engine.child.send(signal.SIGKILL)
        engine.child.wait(self.world.now_us() + 5_000_000)
        line = {"t": self.world.now_us(), "box": engine.settings.name, "ev": "killed", "id": ""}
        self.world.append_file(self.engine_journal, msgspec.json.encode(line) + b"\n")

    def _apply_to_planner(self, fault: DayFault, dispatcher: Dispatcher) -> None:
        assert dispatcher.planner is not None
        if fault.do == "stall_planner":
            return dispatcher.planner.send(signal.SIGSTOP)
        if fault.do == "wake_planner":
            return dispatcher.planner.send(signal.SIGCONT)
        dispatcher.planner.send(signal.SIGKILL)
        dispatcher.planner.wait(self.world.now_us() + 5_000_000)
        self.world.sleep_until(self.world.now_us() + int(fault.down_s * 1e6))
        self.fleet.launch_planner(dispatcher)
        self.fleet.wait_planner_ready(dispatcher)

    def send_control(self, engine: EngineInstance, do: str, factor: float = 1.0) -> None:
        """Send an engine a fault command."""
        try:
            with self.world.deadline(self.world.now_us() + 2_000_000):
                response = self.http.request(
                    "127.0.0.1", engine.port, b"POST", CONTROL, [], msgspec.json.encode({"do": do, "factor": factor})
                )
                response.read_all()
                response.close()
        except (ConnectError, ExchangeBroken, DeadlineExceeded) as error:
            self.print_line(f"{engine.settings.name} did not answer {do}: {error}")


def read_journal(path: str) -> list[dict[str, Any]]:
    """The lines of a journal, decoded."""
    with open(path, "rb") as file:
        return [msgspec.json.decode(line) for line in file if line.strip()]

"""A fleet of child processes on loopback: stand-in engines, dispatchers, and their files.

A dispatcher is an edge (the process that holds the client connections) with its planner (the process that decides which
server does what). Used by `yardspindle up`, by scripted days, load runs and benchmarks. The system chooses each port at
a process's first start; restarts reuse it, so that other processes find a restarted one at its former address.
"""

from __future__ import annotations

import os
import signal
import sys
import tempfile
from dataclasses import dataclass, field
from typing import Any

import msgspec

from yardspindle.lab.engine_settings import EngineSettings
from yardspindle.runtime.process import Child, ChildError
from yardspindle.runtime.real import RealWorld

READY_TIMEOUT_US = 20_000_000
STOP_TIMEOUT_US = 5_000_000


@dataclass(slots=True)
class EngineInstance:
    """A stand-in engine, its process, and its entry in the server list."""

    settings: EngineSettings
    cell: int
    kind: str
    zone: str = "local"
    child: Child | None = None
    port: int = 0
    events_port: int = 0
    replay_port: int = 0
    state: str = "serving"
    up_since_ms: float = 0.0
    listed: bool = True


@dataclass(slots=True)
class Dispatcher:
    """An edge with its planner."""

    number: int
    planner: Child | None = None
    planner_port: int = 0
    edge: Child | None = None
    port: int = 0


@dataclass(slots=True)
class LocalFleet:
    """The processes and the folder of a fleet. `config` holds the settings that all dispatchers share.

    `world` is this program's interface to clock, sockets and files.
    """

    world: RealWorld
    config: dict[str, Any]
    engines: list[EngineInstance]
    dispatchers: list[Dispatcher]
    # Whether the dispatchers share a key-value store, a file in the folder, and a steward (for background tasks) runs.
    shared_store: bool = False
    steward: Child | None = None
    folder: tempfile.TemporaryDirectory[str] = field(
        default_factory=lambda: tempfile.TemporaryDirectory(prefix="yardspindle-")
    )
    started: list[Child] = field(default_factory=list)  # each process of each program, including restarts

    def path(self, name: str) -> str:
        """The path of a file in the fleet's folder."""
        return os.path.join(self.folder.name, name)

    def start(self) -> None:
        """Start all processes, engines first. Raises ChildError."""
        for engine in self.engines:
            self.launch_engine(engine)
        for engine in self.engines:
            self.wait_engine_ready(engine)
        self.write_list()
        for dispatcher in self.dispatchers:
            self.launch_planner(dispatcher)
        for dispatcher in self.dispatchers:
            self.wait_planner_ready(dispatcher)
            self.launch_edge(dispatcher)
        if self.shared_store:
            self.steward = self._child("steward", "steward", self._config_file(self.dispatchers[0]))
            self.steward.first_line(READY_TIMEOUT_US)
        for dispatcher in self.dispatchers:
            self.wait_edge_ready(dispatcher)

    def launch_engine(self, engine: EngineInstance) -> None:
        """Start an engine's process."""
        name = engine.settings.name
        file = self.path(f"{name}.json")
        with open(file, "wb") as out:
            out.write(msgspec.json.encode(engine.settings))
        # 0 at the first start: routers take the engine for warm.
        engine.up_since_ms = self.world.now_us() / 1_000 if engine.child is not None else 0.0
        engine.child = self._child(
            name,
            "engine",
            "--settings",
            file,
            "--port",
            str(engine.port),
            "--events-port",
            str(engine.events_port),
            "--replay-port",
            str(engine.replay_port),
        )

    def wait_engine_ready(self, engine: EngineInstance) -> None:
        """Wait until an engine serves."""
        assert engine.child is not None
        ready = engine.child.first_line(READY_TIMEOUT_US)
        engine.port = _port(ready)
        engine.events_port, engine.replay_port = (int(port) for port in ready.split()[2:])

    def launch_planner(self, dispatcher: Dispatcher) -> None:
        """Start a planner's process."""
        dispatcher.planner = self._child(f"planner{dispatcher.number}", "plan", self._config_file(dispatcher))

    def wait_planner_ready(self, dispatcher: Dispatcher) -> None:
        """Wait until a planner serves."""
        assert dispatcher.planner is not None
        dispatcher.planner_port = _port(dispatcher.planner.first_line(READY_TIMEOUT_US))

    def launch_edge(self, dispatcher: Dispatcher) -> None:
        """Start an edge's process."""
        dispatcher.edge = self._child(f"edge{dispatcher.number}", "edge", self._config_file(dispatcher))

    def wait_edge_ready(self, dispatcher: Dispatcher) -> None:
        """Wait until an edge serves, with its planner."""
        assert dispatcher.edge is not None
        dispatcher.port = _port(dispatcher.edge.first_line(READY_TIMEOUT_US))

    def write_list(self) -> None:
        """Replace the server list by the current state of the engines, atomically."""
        with open(self.path("servers.new"), "w") as out:
            out.write(server_list(self.engines))
        os.replace(self.path("servers.new"), self.path("servers.toml"))

    def stop(self) -> dict[str, int]:
        """Stop all processes, edges first; returns exit codes by name. The files stay until `remove_files`.

        Processes that still run after another start of their program replaced them are stopped too, without a code.
        """
        children = [d.edge for d in self.dispatchers] + [d.planner for d in self.dispatchers] + [self.steward]
        codes: dict[str, int] = {}
        try:
            for child in children:
                if child is not None and child.running():
                    child.terminate()
            for child in (*children, *(engine.child for engine in self.engines)):
                if child is not None:
                    codes[child.name] = child.stop(STOP_TIMEOUT_US)  # those already asked to end are only waited for
            for replaced in self.started:
                if replaced.running():
                    replaced.stop(STOP_TIMEOUT_US)
        finally:
            for started in self.started:
                started.send(signal.SIGKILL)
        return codes

    def remove_files(self) -> None:
        """Remove the fleet's folder."""
        self.folder.cleanup()

    def _child(self, name: str, *arguments: str) -> Child:
        argv = [sys.executable, "-m", "yardspindle", *arguments]
        child = Child(self.world, name, argv, self.path(f"{name}.log"))
        self.started.append(child)
        return child

    def _config_file(self, dispatcher: Dispatcher) -> str:
        file = self.path(f"dispatcher{dispatcher.number}.toml")
        edge = {
            "listen": f"127.0.0.1:{dispatcher.port}",
            "planner": f"127.0.0.1:{dispatcher.planner_port}",
            "number": dispatcher.number,
            "dispatchers": len(self.dispatchers),
            **self.config.get("edge", {}),
        }
        planner = {
            "listen": f"127.0.0.1:{dispatcher.planner_port}",
            "servers": self.path("servers.toml"),
            **self.config.get("planner", {}),
        }
        document = {**self.config, "edge": edge, "planner": planner}
        if self.shared_store:
            document["fleet"] = {"store": [f"file:{self.path('fleet.db')}"], **self.config.get("fleet", {})}
        with open(file, "wb") as out:
            out.write(to_toml(document))
        return file


def _port(ready: str) -> int:
    """The port in the line that a program prints once it serves: `ready URL ...`."""
    word, _, url = ready.partition(" ")
    if word != "ready":
        raise ChildError(f"not a ready line: {ready[:200]}")
    return int(url.split()[0].split("//")[-1].split("/")[0].rpartition(":")[2])


def server_list(engines: list[EngineInstance]) -> str:
    """The content of the server list file."""
    lines = [f"count = {sum(engine.listed for engine in engines)}"]
    for engine in engines:
        if engine.listed:
            lines += [
                "",
                "[[servers]]",
                f'name = "{engine.settings.name}"',
                f'address = "127.0.0.1:{engine.port}"',
                f'kind = "{engine.kind}"',
                f'zone = "{engine.zone}"',
                f"cell = {engine.cell}",
                f'state = "{engine.state}"',
                f"up_since_ms = {engine.up_since_ms:.3f}",
                f"places = {str(engine.settings.places).lower()}",
            ]
            if engine.settings.events:
                lines += [f'events = "127.0.0.1:{engine.events_port}"', f'replay = "127.0.0.1:{engine.replay_port}"']
    return "\n".join(lines) + "\n"


def to_toml(document: dict[str, Any]) -> bytes:
    """A configuration as TOML."""
    return msgspec.toml.encode(document)


def small_fleet(
    world: RealWorld, cells: int = 2, dispatchers: int = 1, journal: str = "", shared_store: bool = False
) -> LocalFleet:
    """A fleet with a reader and a writer in each cell. `yardspindle up` sets `shared_store`."""
    engines = []
    for cell in range(cells):
        for role, kind in (("read", "reader"), ("write", "writer")):
            settings = EngineSettings(
                name=f"{kind}{cell}",
                role=role,  # type: ignore[arg-type]
                journal=journal,
                events=role == "read",
            )
            engines.append(EngineInstance(settings, cell, kind))
    index = {"block_size": EngineSettings().block_size}
    return LocalFleet(
        world, {"index": index}, engines, [Dispatcher(number) for number in range(dispatchers)], shared_store
    )

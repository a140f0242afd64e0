"""Runs a complete router with stand-in engines in one World in a thread, for tests with blocking clients."""

from __future__ import annotations

import http.client
import json
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

from yardspindle.core.config import Config, parse
from yardspindle.edge.app import Edge
from yardspindle.lab.engine import StandInEngine
from yardspindle.lab.engine_settings import EngineSettings
from yardspindle.lab.fleet import to_toml
from yardspindle.planner.app import Planner
from yardspindle.runtime.real import RealWorld

CONFIG: dict[str, Any] = {
    "classes": [
        {"name": "chat", "effect": "safe", "aim_ms": 1_500, "give_up_ms": 3_000},
        {"name": "order", "effect": "unsafe", "aim_ms": 1_500, "give_up_ms": 3_000},
    ],
    "rules": {"max_retry_after_ms": 200},
    "planner": {"reread_ms": 20},
    "index": {"block_size": 64},
}
CALL_LIMIT_US = 20_000_000  # by the World's clock


class FleetThread:
    """Edge, planner and engines in one thread; `call` runs a function inside the World and returns its result."""

    def __init__(
        self,
        folder: Path,
        config: dict[str, Any] | None = None,
        engine_settings: tuple[EngineSettings, ...] | None = None,
        engine_type: type[StandInEngine] = StandInEngine,
        world_type: type[RealWorld] = RealWorld,
    ) -> None:
        self.folder = folder
        self.engine_type = engine_type
        self.journal = folder / "journal.jsonl"
        base = {**CONFIG, **(config or {})}
        self.engine_settings = engine_settings or (
            EngineSettings(name="r0", role="read"),
            EngineSettings(name="w0", role="write"),
        )
        self.document = {
            **base,
            "planner": {**base.get("planner", {}), "servers": str(folder / "servers.toml"), "listen": "127.0.0.1:0"},
        }
        self.world = world_type(seed=7)
        self.engines: list[StandInEngine] = []
        self.states: dict[str, str] = {}
        self._pending_calls: list[tuple[Callable[[], Any], list[Any], threading.Event]] = []
        self._ready, self._stop = threading.Event(), threading.Event()
        self.crashes: list[str] = []
        self._thread = threading.Thread(target=self._run)

    def __enter__(self) -> FleetThread:
        self._thread.start()
        assert self._ready.wait(20)
        assert not self.crashes, self.crashes
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        self._thread.join(20)
        assert not self._thread.is_alive()

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.port}/v1"

    def _run(self) -> None:
        self.world.scheduler.on_crash = lambda task, error: self.crashes.append(f"{task.name}: {error!r}")
        try:
            self.world.run("fleet", self._program)
        except BaseException as error:
            self.crashes.append(repr(error))
            raise
        finally:
            self._ready.set()

    def _program(self) -> None:
        for box in self.engine_settings:
            named = {name: getattr(box, name) for name in box.__struct_fields__}
            engine = self.engine_type(self.world, EngineSettings(**{**named, "journal": str(self.journal)}))
            engine.start("127.0.0.1", 0)
            self.engines.append(engine)
        self.write_server_list()
        self.start_planner("127.0.0.1:0")
        edge = {"planner": f"127.0.0.1:{self.planner_port}", **self.document.get("edge", {})}
        self.config = self._parse({**self.document, "edge": edge})
        self.edge = Edge(self.world, self.config)
        _, self.port = self.edge.start()
        self._ready.set()
        while not self._stop.is_set():
            self.world.sleep_until(self.world.now_us() + 2_000)
            while self._pending_calls:
                function, result, done = self._pending_calls.pop(0)
                try:
                    result.append(function())
                finally:
                    done.set()

    def start_planner(self, listen: str) -> None:
        planner = {**self.document["planner"], "listen": listen}
        self.planner = Planner(self.world, self._parse({**self.document, "planner": planner}))
        _, self.planner_port = self.planner.start()

    def stop_planner(self) -> None:
        """Simulate a killed planner: its links break and connects are refused."""
        assert self.planner._listener is not None
        self.planner._listener.close()
        for session in self.planner.sessions:
            session._stream.abort()

    def _parse(self, document: dict[str, Any]) -> Config:
        return parse("test", to_toml(document))

    def write_server_list(self, **states: str) -> None:
        self.states |= states
        rows = [f"count = {len(self.engines)}"]
        for engine in self.engines:
            kind = {"read": "reader", "write": "writer"}[engine.settings.role]
            rows += [
                "[[servers]]",
                f'name = "{engine.settings.name}"',
                f'address = "127.0.0.1:{engine.port}"',
                f'kind = "{kind}"',
                f'state = "{self.states.get(engine.settings.name, "serving")}"',
                f"places = {str(engine.settings.places).lower()}",
            ]
            if engine.settings.events:
                rows += [f'events = "127.0.0.1:{engine.events_port}"', f'replay = "127.0.0.1:{engine.replay_port}"']
        (self.folder / "servers.toml").write_text("\n".join(rows))

    def call(self, function: Callable[[], Any]) -> Any:
        result: list[Any] = []
        done = threading.Event()
        self._pending_calls.append((function, result, done))
        limit_us = self.world.now_us() + CALL_LIMIT_US
        while not done.wait(0.1):
            assert self.world.now_us() < limit_us
        return result[0]

    def until(self, condition: Callable[[], bool]) -> None:
        """Wait inside the World until a condition holds, at most 10 s."""

        def wait() -> bool:
            with self.world.deadline(self.world.now_us() + 10_000_000):
                while not condition():
                    self.world.sleep_until(self.world.now_us() + 2_000)
            return True

        assert self.call(wait)

    def control(self, name: str, do: str, factor: float = 1.0) -> None:
        port = next(engine.port for engine in self.engines if engine.settings.name == name)
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
        connection.request(
            "POST", "/v1/lab/control", json.dumps({"do": do, "factor": factor}), {"content-type": "application/json"}
        )
        assert connection.getresponse().status == 200
        connection.close()

    def events(self, kind: str) -> list[dict[str, Any]]:
        if not self.journal.exists():
            return []
        lines = self.journal.read_text().splitlines()
        return [event for event in map(json.loads, lines) if event["ev"] == kind]

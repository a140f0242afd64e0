"""Runs the real programs of a fleet on loopback: store, stewards, dispatchers and engines.

Each program reaches the store through a relay of its own, and each steward each engine likewise, so that tests can cut
single connections. Tests wait for events: journal lines, log lines or keys in the store.
"""

from __future__ import annotations

import http.client
import json
import signal
import socket
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

from tests.ports import port_of, reserve_port
from tests.relay import Relay
from yardspindle.lab.fleet import to_toml
from yardspindle.runtime.process import Child
from yardspindle.runtime.real import RealWorld

T = TypeVar("T")
START_TIMEOUT_US = 20_000_000
S = 1_000_000  # one second in microseconds
TTL_MS = 1_000
CONFIG: dict[str, Any] = {
    "classes": [{"name": "chat", "effect": "safe", "aim_ms": 1_500, "give_up_ms": 10_000}],
    "index": {"mode": "off"},
    "log": {"format": "json"},
}


class Processes:
    """Starts, signals and observes the programs; runs inside a program of a RealWorld."""

    def __init__(self, world: RealWorld, folder: Path, ttl_ms: int = TTL_MS) -> None:
        self.world, self.folder, self.ttl_ms = world, folder, ttl_ms
        self.children: dict[str, Child] = {}
        self.relays: dict[str, Relay] = {}
        self.ports: dict[str, int] = {}
        self.reserved: dict[str, socket.socket] = {}  # keep the ports of programs that are restarted
        self.engines: dict[str, tuple[str, int]] = {}  # engine: role, cell
        self.fault = ""  # name of the planted fault that every program runs with

    # --- starting

    def child(self, name: str, *arguments: str) -> str:
        """Start a program and return its ready line."""
        run = ["tests.planted_fleet", self.fault] if self.fault else ["yardspindle"]
        argv = [sys.executable, "-m", *run, *arguments]
        self.children[name] = Child(self.world, name, argv, str(self.folder / f"{name}.log"))
        return self.children[name].first_line(START_TIMEOUT_US)

    def reserve(self, name: str) -> int:
        """Return the port of a program, the same at each start."""
        if name not in self.reserved:
            self.reserved[name] = reserve_port()
        return port_of(self.reserved[name])

    def store(self) -> None:
        """Start the store."""
        ready = self.child("store", "lab", "etcd", "--journal", str(self.folder / "store.jsonl"))
        self.ports["store"] = int(ready.rpartition(":")[2])

    def relay(self, name: str, port: int) -> Relay:
        """Return the relay of this name to a port; starts it the first time."""
        if name not in self.relays:
            self.relays[name] = Relay(self.world, ("127.0.0.1", port))
        return self.relays[name]

    def engine(self, name: str, role: str, cell: int = 0, port: int = 0) -> None:
        """Start an engine at a port, by default at the one reserved for its name."""
        settings = {
            "name": name,
            "role": role,
            "journal": str(self.folder / f"{name}.jsonl"),
            "hold_ms": 60_000,
            "fences": str(self.folder / f"{name}.fences"),
        }
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(settings))
        ready = self.child(name, "engine", "--settings", str(file), "--port", str(port or self.reserve(name)))
        self.ports[name] = int(ready.split()[1].split("//")[1].split("/")[0].rpartition(":")[2])
        self.engines[name] = (role, cell)

    def write_server_list(self, steward: str = "") -> None:
        """Write the list of engines: direct addresses for dispatchers, one relay per engine for a steward."""
        rows = [f"count = {len(self.engines)}"]
        for name, (role, cell) in self.engines.items():
            port = self.relay(f"{name} {steward}", self.ports[name]).port if steward else self.ports[name]
            rows += [
                "[[servers]]",
                f'name = "{name}"',
                f'address = "127.0.0.1:{port}"',
                f'kind = "{"reader" if role == "read" else "writer"}"',
                f"cell = {cell}",
                "places = true",
            ]
        (self.folder / f"servers{steward}.toml").write_text("\n".join(rows) + "\n")

    def config(self, name: str, **sections: Any) -> str:
        relay = self.relay(f"store {name}", self.ports["store"])
        fleet = {
            "store": [f"http://{relay.address}"],
            "ttl_ms": self.ttl_ms,
            "margin_ms": self.ttl_ms / 10,
            "call_ms": self.ttl_ms / 4,
            "member": name,
            **sections.pop("fleet", {}),
        }
        file = self.folder / f"{name}.toml"
        file.write_bytes(to_toml({**CONFIG, "fleet": fleet, **sections}))
        return str(file)

    def steward(self, name: str) -> None:
        """Start a steward, with relays to all engines known so far."""
        self.write_server_list(name)
        self.child(name, "steward", self.config(name, planner={"servers": str(self.folder / f"servers{name}.toml")}))

    def dispatcher(self, number: int, dispatchers: int = 1) -> None:
        """Start a planner and its edge."""
        planner = {
            "servers": str(self.folder / "servers.toml"),
            "listen": f"127.0.0.1:{self.reserve(f'p{number}')}",
        }
        ready = self.child(f"planner{number}", "plan", self.config(f"planner{number}", planner=planner))
        self.ports[f"p{number}"] = int(ready.rpartition(":")[2])
        self.edge(number, dispatchers)

    def edge(self, number: int, dispatchers: int = 1) -> None:
        """Start the edge of a planner that runs; `dispatchers`: how many the fleet has."""
        edge = {
            "planner": f"127.0.0.1:{self.ports[f'p{number}']}",
            "number": number,
            "dispatchers": dispatchers,
            "listen": f"127.0.0.1:{self.reserve(f'edge{number}')}",
        }
        ready = self.child(f"edge{number}", "edge", self.config(f"edge{number}", edge=edge))
        self.ports[f"edge{number}"] = int(ready.split("//")[1].split("/")[0].rpartition(":")[2])

    # --- faults

    def send(self, name: str, number: signal.Signals) -> None:
        self.children[name].send(number)

    def kill(self, name: str) -> None:
        self.send(name, signal.SIGKILL)
        assert self.children[name].wait(self.world.now_us() + 5 * S) is not None

    def stop_all(self) -> None:
        for child in self.children.values():
            if child.running():
                child.send(signal.SIGCONT)
                child.send(signal.SIGKILL)
        for child in self.children.values():
            child.wait(self.world.now_us() + 5 * S)
        for reserved in self.reserved.values():
            reserved.close()

    # --- observing

    def until(self, what: str, poll: Callable[[], T | None], within_us: int = 15 * S) -> T:
        """Poll until a result is true and return it; fails with the description `what` after the time limit."""
        deadline_us = self.world.now_us() + within_us
        while True:
            result = poll()
            if result:
                return result
            assert self.world.now_us() < deadline_us, f"not seen: {what}"
            self.world.sleep_until(self.world.now_us() + 5_000)

    def lines(self, name: str) -> list[dict[str, Any]]:
        """Return the rows of a journal or, if there is none, of a program's log."""
        for file in (self.folder / f"{name}.jsonl", self.folder / f"{name}.log"):
            if file.exists():
                return [json.loads(line) for line in file.read_text().splitlines() if line.startswith("{")]
        return []

    def logged(self, name: str, event: str, **fields: Any) -> dict[str, Any] | None:
        """Return the last line of a program's log with this event and these fields."""
        path = self.folder / f"{name}.log"
        found = [json.loads(line) for line in path.read_text().splitlines() if f'"{event}"' in line]
        return next((row for row in reversed(found) if fields.items() <= row.items()), None)

    def call(self, port: int, method: str, path: str, body: Any = None, timeout: float = 10.0) -> tuple[int, bytes]:
        """Make an HTTP call from a thread, so that the relays keep running; status 0 if it failed."""
        result: list[tuple[int, bytes]] = []

        def work() -> None:
            connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
            try:
                connection.request(
                    method, path, json.dumps(body) if body is not None else None, {"content-type": "application/json"}
                )
                answer = connection.getresponse()
                result.append((answer.status, answer.read()))
            except OSError as error:
                result.append((0, str(error).encode()))
            finally:
                connection.close()

        thread = threading.Thread(target=work)
        thread.start()
        self.until("an answer", lambda: not thread.is_alive(), round(timeout * S) + 2 * S)
        return result[0]

    def control(self, do: str, **more: Any) -> None:
        assert self.call(self.ports["store"], "POST", "/lab/control", {"do": do, **more})[0] == 200

    def rows(self, prefix: str) -> dict[str, tuple[dict[str, Any], int]]:
        """Return the fleet's keys under a prefix with value and create revision."""
        import base64

        from yardspindle.core.fleet.kv import prefix_end

        key = f"/yardspindle/main/{prefix}".encode()
        status, data = self.call(
            self.ports["store"],
            "POST",
            "/v3/kv/range",
            {"key": base64.b64encode(key).decode(), "range_end": base64.b64encode(prefix_end(key)).decode()},
        )
        assert status == 200
        return {
            base64.b64decode(row["key"]).decode()[len(key) :]: (
                json.loads(base64.b64decode(row["value"])),
                int(row["create_revision"]),
            )
            for row in json.loads(data).get("kvs", [])
        }

    def owner(self, duty: str) -> tuple[str, int] | None:
        """Return the owner of a duty and its fence."""
        row = self.rows("duties/").get(duty)
        return (row[0]["name"], row[1]) if row else None

    def chat(self, number: int = 0, tokens: int = 4, text: str = "hello", timeout: float = 10.0) -> tuple[int, bytes]:
        body = {"model": "yardspindle-demo", "max_tokens": tokens, "messages": [{"role": "user", "content": text}]}
        return self.call(self.ports[f"edge{number}"], "POST", "/v1/chat/completions", body, timeout)

    def holds(self, engine: str) -> list[str]:
        status, data = self.call(self.ports[engine], "GET", "/v1/yardspindle/holds")
        assert status == 200
        return [row["id"] for row in json.loads(data)["holds"]]


def play(folder: Path, test: Callable[[Processes], None], ttl_ms: int = TTL_MS, plant: str = "") -> None:
    """Run a test with its programs and stop all of them afterwards."""
    world = RealWorld(seed=3)

    def program() -> None:
        processes = Processes(world, folder, ttl_ms)
        processes.fault = plant
        try:
            test(processes)
        finally:
            processes.stop_all()

    world.run("processes", program)

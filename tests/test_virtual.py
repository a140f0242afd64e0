"""The virtual World: the fleet runs unchanged on it, and the same seed plays the same run."""

from __future__ import annotations

import hashlib
import random
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest

from yardspindle.core.config import parse
from yardspindle.edge.app import Edge
from yardspindle.lab.audit import Figures, audit
from yardspindle.lab.clients import ClientClass, Clients, Habits, draw
from yardspindle.lab.engine import Engine, EngineSettings
from yardspindle.lab.fleet import to_toml
from yardspindle.planner.app import Planner
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.virtual import WINDOW_BYTES, VirtualWorld
from yardspindle.runtime.world import ConnectError, StreamError

ROOT = Path(__file__).parent.parent
CLASSES = (ClientClass("chat", 0.5, 5_000.0, 20), ClientClass("order", 0.5, 5_000.0, 20))
HABITS = Habits(hang_up=0.1, stop_reading=0.05, openings=3)


def play(seed: int, requests: int = 60) -> tuple[str, int, list[tuple[str, str]]]:
    """A day of edge, planner, engines and clients; the hash of all that passed, virtual seconds, breaks."""
    world = VirtualWorld(seed)
    lines: list[dict[str, Any]] = []

    def program() -> None:
        rows, engines = ["count = 4"], []
        for name, role, kind in (("r0", "read", "reader"), ("r1", "read", "reader"), ("w0", "write", "writer"),
                                 ("w1", "write", "writer")):
            settings = msgspec.convert({"name": name, "role": role, "journal": "boxes", "events": role == "read",
                                        "read_tokens_per_s": 20_000.0}, EngineSettings)
            engine = Engine(world, settings)
            engine.start("127.0.0.1", 0)
            engines.append(engine)
            rows += ["[[servers]]", f'name = "{name}"', f'address = "127.0.0.1:{engine.port}"', f'kind = "{kind}"',
                     "places = true"]
            if engine.events_port:
                rows += [f'events = "127.0.0.1:{engine.events_port}"', f'replay = "127.0.0.1:{engine.replay_port}"']
        world.files["servers.toml"] = "\n".join(rows).encode()
        document: dict[str, Any] = {"planner": {"listen": "127.0.0.1:0"}, "index": {"block_size": 64}}
        planner = Planner(world, parse("c", to_toml(document)))
        _, port = planner.start()
        edge = Edge(world, parse("c", to_toml({**document, "edge": {"planner": f"127.0.0.1:{port}"}})))
        _, edge_port = edge.start()
        rng = world.random("clients")
        clients = Clients(world, "yardspindle-demo", lines.append, HABITS)
        tasks = []
        for number in range(requests):
            plan = draw(rng, number, CLASSES, HABITS)
            tasks.append(world.spawn("client", clients.request, plan, [("127.0.0.1", edge_port)]))
            world.sleep_until(world.now_us() + rng.randrange(60_000))
        for task in tasks:
            task.join()
        world.sleep_until(world.now_us() + 6_000_000)
        assert not edge.core.life.open and not edge.core.releases.owed and not edge.core.watch.breaks
        assert not any(engine.states or engine.places or engine.load.running for engine in engines)

    started = world.now_us()
    world.run("fleet", program)
    boxes = world.files["boxes"]
    report = audit(lines, [msgspec.json.decode(line) for line in boxes.splitlines()], Figures(unsafe=("order",)))
    trace = hashlib.sha256(boxes + msgspec.json.encode(lines)).hexdigest()
    return trace, (world.now_us() - started) // 1_000_000, report.breaks


def test_the_fleet_runs_unchanged_and_the_same_seed_plays_the_same_run() -> None:
    first, seconds, breaks = play(1)
    assert breaks == [] and seconds > 6
    assert play(1)[0] == first != play(2)[0]


def test_the_run_is_the_same_under_another_hash_seed() -> None:
    code = "from tests.test_virtual import play; print(play(3, 25)[0])"
    traces = {subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True,
                             env={"PYTHONHASHSEED": seed, "PATH": ""}).stdout.splitlines()[-1] for seed in ("1", "77")}
    assert len(traces) == 1


def test_streams_keep_order_fill_and_end() -> None:
    world = VirtualWorld(5)

    def main() -> None:
        listener = world.listen("127.0.0.1", 0)
        near = world.connect("127.0.0.1", listener.port, world.now_us() + 1_000_000)
        far = listener.accept()
        data = random.Random(1).randbytes(3 * WINDOW_BYTES)

        def write() -> None:
            near.write(data)
            near.close()

        writer = world.spawn("writer", write)
        world.sleep_until(world.now_us() + 10_000_000)
        assert not writer.done, "the window is full"
        got = b""
        while piece := far.read(1_000):
            got += piece
        assert got == data
        far.write(b"nobody reads this")
        world.sleep_until(world.now_us() + 100_000)
        with pytest.raises(StreamError):
            far.read()
        listener.close()
        with pytest.raises(ConnectError, match="refused"):
            world.connect("127.0.0.1", listener.port, world.now_us() + 1_000_000)
        with pytest.raises(DeadlineExceeded), world.deadline(world.now_us() + 10**12):
            world.signal().wait()

    world.run("main", main)

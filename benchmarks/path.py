"""Overhead of the dispatcher: CPU per streamed event and per request, system calls, time to first token.

Run: python benchmarks/path.py. Everything runs on loopback with bounded load. Each ratio compares two
measurements of the same run:

- streamed event: CPU of the edge over that of a bare loop which copies bytes between two sockets on the same scheduler,
  both fed the same streams by the same stand-in engine;
- request: CPU of edge and planner for answers of one token, over the same bare loop;
- time to first token: through the dispatcher over the same two calls made directly to the same engines, alternating;
- system calls of the edge per request and per event, counted at its sockets; the poll is shared and not counted.

CPU time is the kernel's count for each process (`/proc/PID/schedstat`).
"""

from __future__ import annotations

import statistics
import sys
import threading
from pathlib import Path
from typing import Any

import click
import msgspec

sys.path.insert(0, str(Path(__file__).parent.parent))

from tests.fleet_thread import FleetThread
from yardspindle.cli.common import configure_logging
from yardspindle.core.config import LogConfig
from yardspindle.engine.http_client import HttpClient
from yardspindle.engine.vllm import READ_PARAMS
from yardspindle.lab.engine_settings import EngineSettings
from yardspindle.lab.fleet import Dispatcher, EngineInstance, LocalFleet
from yardspindle.protocol import http1
from yardspindle.protocol.sse import SseParser
from yardspindle.runtime import real_sockets
from yardspindle.runtime.process import Child
from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.world import Stream, StreamError

STREAMS = 40
EVENTS = 400
STEP_MS = 10.0
SHORT_REQUESTS = 400
HEADERS: http1.Headers = [(b"content-type", b"application/json")]


def cpu_ns(pid: int) -> int:
    return sum(int(path.read_text().split()[0]) for path in Path(f"/proc/{pid}/task").glob("*/schedstat"))


def body(tokens: int, number: int, **more: Any) -> bytes:
    return msgspec.json.encode(
        {
            "model": "yardspindle-demo",
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": f"{number} " + "word " * 100}],
            **more,
        }
    )


def stream(http: HttpClient, address: tuple[str, int], data: bytes) -> tuple[int, int]:
    """Return the number of events of an answer and when the first arrived."""
    response = http.request(*address, b"POST", b"/v1/chat/completions", HEADERS, data)
    parser, events, first = SseParser(), 0, 0
    while (piece := response.read()) is not None:
        first = first or http.world.now_us()
        events += len(parser.feed(piece))
    assert response.head.status == 200, response.head.status
    response.close()
    return events, first


def relay(world: RealWorld, upstream: tuple[str, int]) -> None:
    """Run the bare loop: copy bytes between two sockets in both directions."""
    listener = world.listen("127.0.0.1", 0)
    click.echo(f"ready http://127.0.0.1:{listener.port}/")
    sys.stdout.flush()

    def copy(source: Stream, sink: Stream) -> None:
        try:
            while data := source.read():
                sink.write(data)
        except StreamError:
            pass
        source.close()
        sink.close()

    def serve(near: Stream) -> None:
        far = world.connect(*upstream, world.now_us() + 1_000_000)
        world.spawn("up", copy, near, far)
        copy(far, near)

    while True:
        world.spawn("pair", serve, listener.accept())


def load(world: RealWorld, http: HttpClient, address: tuple[str, int], streams: int, rounds: int, tokens: int) -> int:
    """Return the events received by `streams` concurrent clients that send `rounds` requests each."""
    total = 0

    def client(number: int) -> None:
        nonlocal total
        for round_number in range(rounds):
            total += stream(http, address, body(tokens, number * 1_000 + round_number))[0]

    for task in [world.spawn("client", client, number) for number in range(streams)]:
        task.join()
    return total


def measure(world: RealWorld, fleet: LocalFleet, direct_engine: EngineInstance) -> None:
    http = HttpClient(world, 1_000_000, 4_000_000)
    here = str(Path(__file__))
    bare = Child(world, "relay", [sys.executable, here, "--relay", str(direct_engine.port)], fleet.path("relay.log"))
    bare_address = ("127.0.0.1", int(bare.first_line(10_000_000).rpartition(":")[2].strip("/")))
    dispatcher = fleet.dispatchers[0]
    address = ("127.0.0.1", dispatcher.port)
    assert dispatcher.edge is not None and dispatcher.planner is not None
    edge, planner = dispatcher.edge.pid, dispatcher.planner.pid
    try:
        load(world, http, address, 4, 2, 20)
        load(world, http, bare_address, 4, 2, 20)
        ratios, splits = [], []
        for _ in range(3):
            before = cpu_ns(edge), cpu_ns(bare.pid)
            edge_events = load(world, http, address, STREAMS, 1, EVENTS)
            bare_events = load(world, http, bare_address, STREAMS, 1, EVENTS)
            after = cpu_ns(edge), cpu_ns(bare.pid)
            ratios.append((after[0] - before[0]) / edge_events / ((after[1] - before[1]) / bare_events))
        print(
            f"CPU of a streamed event, edge / bare copy loop: {statistics.median(ratios):.2f} "
            f"(of {', '.join(f'{r:.2f}' for r in ratios)}); goal: at most 3"
        )
        for _ in range(3):
            started = [cpu_ns(pid) for pid in (edge, planner, bare.pid)]
            load(world, http, address, 4, SHORT_REQUESTS // 4, 1)
            load(world, http, bare_address, 4, SHORT_REQUESTS // 4, 1)
            ended = [cpu_ns(pid) for pid in (edge, planner, bare.pid)]
            splits.append([(b - a) / SHORT_REQUESTS for a, b in zip(started, ended, strict=True)])
        edge_part = statistics.median(s[0] / s[2] for s in splits)
        planner_part = statistics.median(s[1] / s[2] for s in splits)
        print(f"CPU of a request of one token, over the bare loop: edge {edge_part:.1f}, planner {planner_part:.1f}")
        first_tokens(world, fleet, http, address)
    finally:
        bare.stop(2_000_000)


def first_tokens(world: RealWorld, fleet: LocalFleet, http: HttpClient, address: tuple[str, int]) -> None:
    reader = next(engine for engine in fleet.engines if engine.kind == "reader")
    writer = next(engine for engine in fleet.engines if engine.kind == "writer")
    via_dispatcher, direct = [], []
    for number in range(100):
        started = world.now_us()
        _, first = stream(http, address, body(1, 10_000 + number))
        via_dispatcher.append(first - started)
        started = world.now_us()
        read = http.request(
            "127.0.0.1",
            reader.port,
            b"POST",
            b"/v1/chat/completions",
            [*HEADERS, (b"x-request-id", b"bench-%d" % number)],
            body(1, 20_000 + number, kv_transfer_params=READ_PARAMS),
        )
        params = msgspec.json.decode(read.read_all())["kv_transfer_params"]
        read.close()
        _, first = stream(
            http,
            ("127.0.0.1", writer.port),
            body(1, 20_000 + number, kv_transfer_params={**params, "do_remote_prefill": True}),
        )
        direct.append(first - started)
    ratio = statistics.median(via_dispatcher) / statistics.median(direct)
    print(
        f"time to first token, through the dispatcher / directly at the same engines: {ratio:.2f} (medians of 100 each)"
    )


def system_calls() -> None:
    """Count system calls at the edge's sockets only; all programs share one process and its poll."""
    import tempfile

    counts = {"recv": 0, "send": 0}

    class Counting:
        def __init__(self, sock: Any) -> None:
            self._sock = sock

        def recv(self, *arguments: int) -> bytes:
            counts["recv"] += 1
            data: bytes = self._sock.recv(*arguments)
            return data

        def send(self, data: bytes) -> int:
            counts["send"] += 1
            sent: int = self._sock.send(data)
            return sent

        def __getattr__(self, name: str) -> Any:
            return getattr(self._sock, name)

    with (
        tempfile.TemporaryDirectory() as folder,
        FleetThread(
            Path(folder),
            engine_settings=(
                EngineSettings(name="r0", role="read"),
                EngineSettings(name="w0", role="write", step_ms=2.0),
            ),
        ) as fleet,
    ):
        original_init = real_sockets.RealStream.__init__
        # Local ports of accepted connections, which are not connections from the edge to an engine.
        listening_ports = {fleet.port, fleet.planner_port}

        def counting_init(self: Any, world: RealWorld, sock: Any) -> None:
            original_init(self, world, sock)
            server_side = sock.getsockname()[1] == fleet.port
            to_engine = any(sock.getpeername()[1] == engine.port for engine in fleet.engines)
            if server_side or (to_engine and sock.getsockname()[1] not in listening_ports):
                self._sock = Counting(sock)

        real_sockets.RealStream.__init__ = counting_init  # type: ignore[method-assign]
        done: list[dict[str, int]] = []

        def client() -> None:
            world = RealWorld()

            def program() -> None:
                http = HttpClient(world, 1_000_000, 4_000_000)
                for tokens in (1, 201):
                    load(world, http, ("127.0.0.1", fleet.port), 1, 5, tokens)
                    before = dict(counts)
                    load(world, http, ("127.0.0.1", fleet.port), 1, 20, tokens)
                    done.append({name: counts[name] - before[name] for name in counts})

            world.run("client", program)

        thread = threading.Thread(target=client)
        thread.start()
        thread.join(60)
        real_sockets.RealStream.__init__ = original_init  # type: ignore[method-assign]
    short, long = done
    for name in counts:
        print(
            f"{name} calls: {short[name] / 20:.1f} a request of one token, "
            f"{(long[name] - short[name]) / 20 / 200:.2f} for each further event"
        )


@click.command()
@click.option("--relay", "relay_port", type=int, hidden=True)
def main(relay_port: int | None) -> None:
    configure_logging(LogConfig(level="error"))
    world = RealWorld()
    if relay_port is not None:
        world.run("relay", relay, world, ("127.0.0.1", relay_port))
        return
    instances = [
        EngineInstance(
            EngineSettings(
                name=name,
                role=role,  # type: ignore[arg-type]
                slots=200,
                queue=200,
                memory_tokens=4_000_000,
                step_ms=STEP_MS,
            ),
            0,
            kind,
        )
        for name, role, kind in (("r0", "read", "reader"), ("w0", "write", "writer"), ("b0", "both", "both"))
    ]
    instances[2].listed = False  # the bare loop's engine, which reads and writes
    config = {"log": {"level": "warning"}, "edge": {"stalled_client_ms": 60_000.0}}
    fleet = LocalFleet(world, config, instances, [Dispatcher(0)])

    def program() -> None:
        try:
            fleet.start()
            measure(world, fleet, instances[2])
        finally:
            fleet.stop()
            fleet.remove_files()

    world.run("bench", program)
    system_calls()


if __name__ == "__main__":
    main()

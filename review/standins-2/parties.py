"""Stand-ins for the platform of the users' pages: model hosts, discovery's agent, clients, and the real dispatcher.

All of them but the dispatchers run in one process, on loopback addresses and the real clock. Hosts, agent and clients
behave as PROTOCOL.md says of sound ones; a case injects its one disruption through the attributes named `trouble` or
through signals to the dispatchers. Every step is a row of the record, and the rules are judged on those rows alone.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
LIST_PIECES = 25
SLACK_S = 0.05  # PROTOCOL.md: every time limit is 50 ms longer
HELD_SLACK_S = 0.3  # PROTOCOL.md: the rule on what is held has 300 ms more
FINAL_SLACK_S = 0.5  # STANDING.md: later than half a second after its time a request without an answer is lost
LEFT_S = 0.1  # STANDING.md: an attempt that begins later than this after its client left is a break
UNKNOWN_READ_S = 0.3  # PROTOCOL.md: a writer answers 204 after 0.3 s if no read is out

# The form of WIRE's example, with the figures of the site file kigali-main of the users' kit.
SETTINGS: dict[str, Any] = {
    "me": 0,
    "instances": 2,
    "zone": "a",
    "azs": ["a", "b"],
    "shapes": ["prefill", "decode-a"],
    "membership-mode": "push",
    "services": [
        {
            "name": "enquiry",
            "goal-time-us": 1_500_000,
            "give-up-us": 7_500_000,
            "idempotency": "free",
            "group": "all",
            "late-worth": 0.1,
            "worth": 1.0,
            "stream": True,
            "window-us": 5_000_000,
        },
        {
            "name": "order",
            "goal-time-us": 1_000_000,
            "give-up-us": 5_000_000,
            "idempotency": "single_shot",
            "group": "all",
            "late-worth": 0.2,
            "worth": 3.0,
            "stream": True,
            "window-us": 5_000_000,
        },
    ],
    "family-info": {
        "duty-by-kind": ["read", "write"],
        "holds-allowed": True,
        "let-go-by-us": 300_000,
        "memory-tokens": [162_267, 134_792],
        "read-in-place": False,
        "resume": True,
        "aim-us-per-1000-prompt-tokens": [40_000.0, 60_000.0],
        "token-aim-us": [60_000.0, 50_000.0],
    },
    "obligations": {
        "drain-grace-us": 500_000,
        "answer-slack-us": 8_000,
        "ask-within-us": 10_000_000,
        "cold-us": 14_000_000,
        "fall-multiple": 2.5,
        "fall-us": 2_000_000,
        "start-capacity": 0.26,
    },
    "allowed": {
        "most-tries": 6,
        "cancel": True,
        "probes": False,
        "peers": False,
        "second-copies": False,
        "retry-after": True,
        "max-retry-after-us": 2_000_000,
        "conn-idle-us": 15_000_000,
        "connect-timeout-us": 250_000,
        "max-open": 24_147,
        "max-streams": 100,
    },
    "realms": [
        {"name": "nyabarongo-oil", "fraction": 0.5, "quota-per-s": 12.0},
        {"name": "virunga-fuels", "fraction": 0.5, "quota-per-s": 12.0},
    ],
    "over-share-worth": 0.05,
    "prices": {"cross-zone": 0.02, "late-fail": 0.03, "waste": 0.05},
    "tick-us": 2_000,
    "report": {"fields": [], "source": "off"},
    "clients": {"marks-retry": True},
}


def settings(**changes: Any) -> dict[str, Any]:
    """A copy of the settings; each keyword replaces a top-level value, or updates one that is an object."""
    made = copy.deepcopy(SETTINGS)
    for key, value in changes.items():
        name = key.replace("_", "-")
        if isinstance(value, dict):
            made[name].update(value)
        else:
            made[name] = value
    return made


class Record:
    """All that was sent, answered and run, in order; the broken rules among it."""

    def __init__(self) -> None:
        """Empty; its clock starts now."""
        self.began = time.monotonic()
        self.rows: list[tuple[float, str]] = []
        self.broken: list[str] = []

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.began

    def add(self, who: str, what: str, **more: object) -> None:
        """One row."""
        self.rows.append((self.now(), " ".join([who, what, *(f"{key}={value}" for key, value in more.items())])))

    def breaks(self, text: str) -> None:
        """Record a broken rule."""
        self.broken.append(f"{self.now():.3f} {text}")
        self.add("JUDGE", text)

    def write(self, path: Path) -> None:
        """Write the rows and, at the end, the verdict."""
        lines = [f"{at:9.3f} {text}" for at, text in self.rows]
        path.write_text("\n".join([*lines, "", f"broken: {len(self.broken)}", *self.broken]) + "\n")


@dataclass
class Message:
    """A request or answer as it came."""

    start: str
    headers: dict[str, str]
    body: bytes
    first_byte: float


class Connection:
    """An accepted connection, read with the kernel's own order: what came before a reset is read before the reset."""

    def __init__(self, sock: socket.socket, opened: float) -> None:
        """`opened`: when it was accepted."""
        self.sock, self.opened = sock, opened
        self.buffer = bytearray()
        self.first_byte = 0.0
        self._loop = asyncio.get_running_loop()

    async def message(self, record: Record, hold: Callable[[Connection], Awaitable[None]]) -> Message | None:
        """The next message with a Content-Length or none; None at the end. `hold` is awaited before each read."""
        first = record.now() if self.buffer else 0.0
        while True:
            head, found, rest = bytes(self.buffer).partition(b"\r\n\r\n")
            if found:
                lines = head.decode("latin-1").split("\r\n")
                pairs = [line.partition(":") for line in lines[1:]]
                headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
                length = int(headers.get("content-length", "0"))
                if len(rest) >= length:
                    self.buffer[:] = rest[length:]
                    return Message(lines[0], headers, rest[:length], first)
            await self._readable()
            await hold(self)
            data = await self._loop.sock_recv(self.sock, 65_536)
            if not data:
                return None
            first = first or record.now()
            self.buffer += data

    async def _readable(self) -> None:
        ready = self._loop.create_future()
        self._loop.add_reader(self.sock, lambda: ready.done() or ready.set_result(None))
        try:
            await ready
        finally:
            self._loop.remove_reader(self.sock)

    async def closed(self) -> None:
        """Wait until the peer has closed; what it sent is left unread."""
        while not self.is_closed():
            await asyncio.sleep(0.004)

    def is_closed(self) -> bool:
        """Whether the peer has closed or reset the connection, and nothing that it sent is unread."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    async def write(self, data: bytes) -> None:
        """Write all. Raises OSError."""
        await self._loop.sock_sendall(self.sock, data)

    def close(self, reset: bool = False) -> None:
        """Close."""
        if reset:
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


class Listener:
    """Accepts connections on loopback, each served by a task."""

    def __init__(self, serve: Callable[[Connection], Awaitable[None]], record: Record) -> None:
        """It listens once `start` was called."""
        self._serve, self._record = serve, record
        self.port = 0
        self.connections: set[Connection] = set()
        self._sock: socket.socket | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self, port: int = 0) -> None:
        """Listen on a free port, or on the given one."""
        self._sock = socket.create_server((LOOPBACK, port), backlog=256)
        self._sock.setblocking(False)
        self.port = self._sock.getsockname()[1]
        self._task = asyncio.create_task(self._accept(self._sock))

    async def _accept(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(listening)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(sock, self._record.now())
            self.connections.add(connection)
            asyncio.create_task(self._run(connection)).add_done_callback(lambda task: task.cancelled())

    async def _run(self, connection: Connection) -> None:
        try:
            await self._serve(connection)
        except OSError:
            pass
        finally:
            self.connections.discard(connection)
            connection.close()

    def stop(self) -> None:
        """Close the listener; connections stay."""
        if self._task is not None:
            self._task.cancel()
        if self._sock is not None:
            self._sock.close()


def plain(status: int, body: bytes = b"", *headers: str) -> bytes:
    """A complete answer."""
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def chunk(data: bytes) -> bytes:
    """A chunk of a stream."""
    return b"%x\r\n%s\r\n" % (len(data), data)


STREAM_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"


@dataclass
class Holds:
    """What hosts hold for one request, and its attempts that are out; for the rule that nothing is left pinned."""

    state: str | None = None
    places: set[str] = field(default_factory=set)
    out: int = 0
    since: float = 0.0
    reported: bool = False


class Host:
    """A model host: a reader or a writer. `trouble` may replace its handling of one call (returns True if it did)."""

    def __init__(self, platform: Platform, name: str, flavor: str, cell: int, zone: str = "a") -> None:
        """`flavor` is the kind of machine in the settings; the host listens once `start` was called."""
        self.platform, self.name, self.flavor, self.cell, self.zone = platform, name, flavor, cell, zone
        self.reads = flavor == "prefill"
        self.phase, self.up_since_ms = "Ready", 0
        self.draining_since: float | None = None  # when discovery had it
        self.listener = Listener(self._serve, platform.record)
        self.work_s = (0.01, 0.04)
        self.events, self.event_gap_s = 6, 0.03
        self.no_free_place = False  # a writer whose slots or memory are taken says 409 to a call for a place
        self.running = asyncio.Event()
        self.running.set()
        self.resumed_at = -1.0
        self.cut_at = 0.0  # connections opened before then
        self.old_silent_until = 0.0  # are silent until then
        self.trouble: Callable[[Host, Connection, str, str], Awaitable[bool]] | None = None

    def start(self, port: int = 0) -> None:
        """Listen on a free port, or on the given one."""
        self.listener.start(port)

    def hang(self) -> None:
        """Read and do nothing until `resume`."""
        self.running.clear()
        self.cut_at = self.platform.record.now()
        self.platform.record.add(self.name, "hangs")

    def resume(self, old_silent_s: float = 0.0) -> None:
        """Go on; connections that were opened before stay silent for so long."""
        self.cut_at = self.platform.record.now() if old_silent_s else 0.0
        self.old_silent_until = self.platform.record.now() + old_silent_s
        self.running.set()
        self.resumed_at = self.platform.record.now()
        self.platform.record.add(self.name, "runs", old_connections_silent_s=old_silent_s)

    def kill(self) -> None:
        """End as a killed process: the listener closes, connections are reset, all that it held is gone."""
        self.listener.stop()
        for connection in list(self.listener.connections):
            connection.close(reset=True)
        for holds in self.platform.holds.values():
            holds.places.discard(self.name)
            if holds.state == self.name:
                holds.state = None

    def entry(self) -> dict[str, Any]:
        """Its entry in discovery's list."""
        return {
            "id": self.name,
            "host_port": f"{LOOPBACK}:{self.listener.port}",
            "locality": self.zone,
            "flavor": self.flavor,
            "cell": self.cell,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": self.up_since_ms,
        }

    async def _hold(self, connection: Connection) -> None:
        """Wait while the host hangs, or while this connection is silent."""
        await self.running.wait()
        while connection.opened < self.cut_at and self.platform.record.now() < self.old_silent_until:
            await asyncio.sleep(0.01)
            await self.running.wait()

    async def _serve(self, connection: Connection) -> None:
        await self._hold(connection)
        while (message := await connection.message(self.platform.record, self._hold)) is not None:
            await self._call(connection, message)

    async def _call(self, connection: Connection, message: Message) -> None:
        method, target, _ = message.start.split(" ")
        platform, record = self.platform, self.platform.record
        if target.startswith("/bootstrap/rooms/"):
            number = target.rpartition("/")[2]
            await self._room(connection, method, number)
            return
        number = message.headers.get("req-id", "")
        stage = "read" if self.reads else "write"
        record.add(self.name, stage, id=number, deadline_ms=message.headers.get("req-deadline-ms"))
        platform.attempted(self, number, stage, message)
        if number not in platform.sent:
            record.breaks(f"{self.name} got a request with the id {number!r}, which no client sent")
            await connection.write(plain(400))
            return
        holds = platform.holds.setdefault(number, Holds())
        holds.out += 1
        over = asyncio.create_task(connection.closed())
        try:
            work = asyncio.create_task(self._work(connection, number, stage))
            await asyncio.wait({work, over}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel()
                record.add(self.name, f"{stage} ends: the dispatcher closed", id=number)
                with contextlib.suppress(asyncio.CancelledError, OSError):
                    await work
                raise ConnectionError
            work.result()
        finally:
            over.cancel()
            holds.out -= 1
            holds.since = record.now()

    async def _work(self, connection: Connection, number: str, stage: str) -> None:
        platform, record = self.platform, self.platform.record
        if self.trouble is not None and await self.trouble(self, connection, stage, number):
            return
        if self.phase != "Ready":
            record.add(self.name, f"{stage} declined: draining", id=number)
            await connection.write(plain(503, b"", "Srv-Declined: 1"))
            return
        holds = platform.holds[number]
        if self.reads:
            platform.reading.add(number)
            try:
                await self.pause(random.uniform(*self.work_s))
            finally:
                platform.reading.discard(number)
            holds.state = self.name
            record.add(self.name, "read ended, state held", id=number)
            await connection.write(plain(202, b'{"cached_tokens":64}'))
            return
        if holds.state is None:
            record.add(self.name, "write declined: no state", id=number)
            await connection.write(plain(410, b"", "Srv-Declined: 1"))
            return
        holds.state = None
        holds.places.clear()  # its own is used, and an attempt at another writer gives a place up
        platform.runs.setdefault(number, []).append((record.now(), self.name))
        await self.pause(random.uniform(*self.work_s))
        await self.stream(connection, number)

    async def stream(self, connection: Connection, number: str) -> None:
        """Write a whole answer."""
        events = answer_events(number, self.name, self.events)
        self.platform.answers.setdefault(number, []).append(b"".join(events))
        for at, event in enumerate(events):
            if at:
                await self.pause(self.event_gap_s)
            await connection.write((b"" if at else STREAM_HEAD) + chunk(event))
        await connection.write(b"0\r\n\r\n")
        self.platform.record.add(self.name, "write ended, served", id=number)

    async def pause(self, seconds: float) -> None:
        """Work for so long; a host that hangs stands still."""
        await asyncio.sleep(seconds)
        await self.running.wait()

    async def _room(self, connection: Connection, method: str, number: str) -> None:
        platform, record = self.platform, self.platform.record
        holds = platform.holds.setdefault(number, Holds())
        if method == "DELETE":
            record.add(self.name, "let go", id=number)
            holds.state, holds.places = None, set()
            await connection.write(plain(204))
            return
        record.add(self.name, "place asked", id=number)
        platform.attempted(self, number, "place", None)
        if self.phase != "Ready" or self.no_free_place:
            record.add(self.name, "place not held: 409", id=number)
            await connection.write(plain(409))
            return
        holds.places = {self.name}  # a second one gives the first up
        holds.since = max(holds.since, record.now())
        until = record.now() + UNKNOWN_READ_S
        while number not in platform.reading:
            if record.now() > until:
                record.add(self.name, "place asked, no read known: 204, the place is held all the same", id=number)
                await connection.write(plain(204))
                return
            await asyncio.sleep(0.005)
        record.add(self.name, "place held: 200", id=number)
        await connection.write(plain(200))


def answer_events(number: str, host: str, count: int) -> list[bytes]:
    """The events of an answer, which name the request and the host."""
    events = [
        b'data: {"choices":[{"index":0,"delta":{"content":"%s-%s-%d"},"finish_reason":null}]}\n\n'
        % (number.encode(), host.encode(), at)
        for at in range(count)
    ]
    usage = b'data: {"choices":[],"usage":{"prompt_tokens":512,"prompt_tokens_details":{"cached_tokens":64}}}\n\n'
    return [*events, usage, b"data: [DONE]\n\n"]


class Agent:
    """Discovery's agent on a dispatcher's machine. `answer_delay_s`: how long it takes for each answer."""

    def __init__(self, platform: Platform, name: str) -> None:
        """It listens once `start` was called."""
        self.platform, self.name = platform, name
        self.listener = Listener(self._serve, platform.record)
        self.answer_delay_s = 0.0
        self.list_takes_s = 0.0  # a whole list comes in pieces, evenly over this time
        self.told: dict[str, float] = {}  # when a drain was first written to the dispatcher

    @property
    def port(self) -> int:
        """Where it listens."""
        return self.listener.port

    async def _hold(self, connection: Connection) -> None:
        return

    async def _serve(self, connection: Connection) -> None:
        record = self.platform.record
        while (message := await connection.message(record, self._hold)) is not None:
            target = message.start.split(" ")[1]
            query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
            until = record.now() + int(query.get("wait", 0)) / 1_000
            index = int(query.get("index", -1))
            while index >= self.platform.revision and record.now() < until and not connection.is_closed():
                await asyncio.sleep(0.005)
            await asyncio.sleep(self.answer_delay_s)
            if connection.is_closed():
                record.add(self.name, "has no one to answer: the dispatcher has closed", call=target)
                return
            answer = plain(200, json.dumps(self.platform.listed()).encode())
            size = -(-len(answer) // LIST_PIECES) if self.list_takes_s else len(answer)
            for at in range(0, len(answer), size):
                if at:
                    await asyncio.sleep(self.list_takes_s / (LIST_PIECES - 1))
                if connection.is_closed():
                    record.add(self.name, "is cut off by the dispatcher", call=target, bytes=f"{at}/{len(answer)}")
                    return
                await connection.write(answer[at : at + size])
            record.add(self.name, "answers", call=target, revision=self.platform.revision)
            for host in self.platform.hosts.values():
                if host.phase != "Ready":
                    self.told.setdefault(host.name, record.now())


@dataclass
class Sent:
    """A client's request and what came of it."""

    id: str
    kind: str
    at: float
    deadline_s: float
    dispatcher: str
    ended: float | None = None
    status: int = 0
    whole: bool = False
    body: bytes = b""
    first_event: float | None = None
    left: float | None = None
    note: str = ""


class Dispatcher:
    """A dispatcher: the deploy file's `run`, as a process of its own."""

    def __init__(self, platform: Platform, name: str, agent: Agent, number: int) -> None:
        """It runs once `start` was called."""
        self.platform, self.name, self.agent, self.number = platform, name, agent, number
        self.port = free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.started = 0.0  # the first moment of its process
        self.killed: float | None = None
        self.terminated: float | None = None

    @property
    def log(self) -> Path:
        """What it writes to standard error, of its last start."""
        return self.platform.folder / f"{self.name}-{self.starts}.log"

    def write_config(self) -> Path:
        """Write its configuration file."""
        config = self.platform.folder / f"{self.name}.json"
        text = json.dumps(
            {
                "name": self.name,
                "listen": f"{LOOPBACK}:{self.port}",
                "discovery": f"{LOOPBACK}:{self.agent.port}",
                "seed": f"{random.getrandbits(64):016x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1_024},
                "known": self.platform.known or self.platform.listed(),
                "settings": {
                    **self.platform.settings,
                    "me": self.number,
                    "instances": self.platform.settings["instances"],
                },
            }
        )
        fresh = config.with_suffix(".new")
        fresh.write_text(text)
        fresh.rename(config)
        return config

    async def start(self) -> None:
        """Start it as the platform does."""
        self.starts += 1
        self.started = self.platform.record.now()
        self.killed = self.terminated = None
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        scratch = self.platform.folder / f"tmp-{self.name}-{self.starts}"
        scratch.mkdir()
        env = {
            **os.environ,
            "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": f"{LOOPBACK}:{self.port}",
            "ROUTER_DISCOVERY": f"{LOOPBACK}:{self.agent.port}",
            "ROUTER_CONFIG": str(self.write_config()),
            "TMPDIR": str(scratch),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(self.log, "wb") as errors:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=errors, stderr=errors
            )
        self.platform.record.add(self.name, "started", pid=self.process.pid)

    async def ready(self, limit_s: float = 30.0) -> None:
        """Wait until `GET /up` answers 200. Raises TimeoutError."""
        record = self.platform.record
        until = record.now() + limit_s
        while record.now() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 2.0)
                writer.close()
                if b" 200 " in line:
                    record.add(self.name, "ready")
                    return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} is not ready")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the program that `run` started."""
        assert self.process is not None
        if self.process.poll() is None:
            if number is signal.SIGKILL:
                self.killed = self.platform.record.now()
            if number is signal.SIGTERM:
                self.terminated = self.platform.record.now()
            self.process.send_signal(number)
            self.platform.record.add(self.name, f"gets {number.name}")

    def stop(self) -> None:
        """End it and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Platform:
    """The whole stand-in: hosts, agents, dispatchers, clients, and the judge of the rules."""

    def __init__(self, folder: Path, made: dict[str, Any], seed: int = 1) -> None:
        """`folder`: for files of the run; `made`: the settings that all dispatchers get."""
        self.folder, self.settings = folder, made
        self.random = random.Random(seed)
        self.record = Record()
        self.hosts: dict[str, Host] = {}
        self.agents: list[Agent] = []
        self.dispatchers: list[Dispatcher] = []
        self.revision = 41
        self.known: dict[str, Any] | None = None
        self.holds: dict[str, Holds] = {}
        self.reading: set[str] = set()
        self.sent: dict[str, Sent] = {}
        self.runs: dict[str, list[tuple[float, str]]] = {}
        self.answers: dict[str, list[bytes]] = {}
        self.attempts: list[tuple[float, float, str, str, str]] = []  # first byte, last byte, host, stage, id
        self.prefix = f"{random.getrandbits(32):08x}"
        self.count = 0
        self.grace_s = made["obligations"]["drain-grace-us"] / 1e6
        self.release_s = made["family-info"]["let-go-by-us"] / 1e6
        self.effects = {row["name"]: row["idempotency"] for row in made["services"]}

    def listed(self) -> dict[str, Any]:
        """Discovery's whole list."""
        return {
            "revision": self.revision,
            "complete": True,
            "members": [host.entry() for host in self.hosts.values() if host.phase != "Gone"],
        }

    async def add_hosts(self, readers: int, writers: int, cells: int = 2) -> None:
        """Start model hosts."""
        for flavor, count in (("prefill", readers), ("decode-a", writers)):
            for at in range(count):
                host = Host(self, f"{'r' if flavor == 'prefill' else 'w'}{at}", flavor, at % cells)
                host.start()
                self.hosts[host.name] = host

    async def add_dispatchers(self, count: int) -> None:
        """Start dispatchers, each with an agent, and wait until they are ready."""
        for at in range(count):
            agent = Agent(self, f"agent{at}")
            agent.listener.start()
            self.agents.append(agent)
            self.dispatchers.append(Dispatcher(self, f"n{at}", agent, at))
        for dispatcher in self.dispatchers:
            await dispatcher.start()
        for dispatcher in self.dispatchers:
            await dispatcher.ready()

    def drain(self, *names: str) -> None:
        """Discovery learns that hosts drain."""
        self.revision += 1
        for name in names:
            self.hosts[name].phase = "Terminating"
            self.hosts[name].draining_since = self.record.now()
            self.record.add("discovery", "has a drain", host=name, revision=self.revision)

    def attempted(self, host: Host, number: str, stage: str, message: Message | None) -> None:
        """A call has come to a host."""
        now = self.record.now()
        first = message.first_byte if message is not None else now
        if now - host.resumed_at < 0.1:
            first = 0.0  # it may have come at any time while the host hung
        self.attempts.append((first, now, host.name, stage, number))

    # --- clients

    def new_request(
        self, dispatcher: Dispatcher, kind: str, deadline_s: float, headers: str = ""
    ) -> tuple[Sent, bytes]:
        """A request with a new id, and its bytes."""
        self.count += 1
        number = f"{self.prefix}{self.count:08x}"
        sent = Sent(number, kind, self.record.now(), deadline_s, dispatcher.name)
        self.sent[number] = sent
        tenant = self.random.choice(self.settings["realms"])["name"]
        body = json.dumps(
            {
                "model": "chat",
                "stream": True,
                "max_tokens": 200,
                "messages": [{"role": "user", "content": "order heating oil " * 20}],
            }
        ).encode()
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {number}\r\nReq-Kind: {kind}\r\n"
            f"Req-Owner: {tenant}\r\nReq-Key: k{self.random.randrange(30)}\r\n"
            f"Req-Deadline-Ms: {round(deadline_s * 1_000)}\r\n"
            f"Req-Extra: prefix=p{self.random.randrange(6)},prompt_len=512,prefix_len=256,max_out=200\r\n{headers}"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return sent, head.encode() + body

    async def ask(
        self, dispatcher: Dispatcher, kind: str, deadline_s: float, leave_after_s: float | None = None
    ) -> Sent:
        """One request on a new connection, from its first byte to its end."""
        sent, data = self.new_request(dispatcher, kind, deadline_s)
        self.record.add("client", "sends", id=sent.id, kind=kind, to=dispatcher.name, deadline_s=deadline_s)
        limit = leave_after_s if leave_after_s is not None else deadline_s + 30.0
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(limit):
                reader, writer = await asyncio.open_connection(LOOPBACK, dispatcher.port)
                writer.write(data)
                await self._answer(sent, reader)
        except TimeoutError:
            sent.left = self.record.now()
            sent.note = "left"
        except (OSError, asyncio.IncompleteReadError) as error:
            sent.note = f"{type(error).__name__}"
        finally:
            if writer is not None:
                writer.close()
            sent.ended = self.record.now()
            self.record.add("client", "ends", id=sent.id, status=sent.status, whole=sent.whole, note=sent.note or "-")
        return sent

    async def _answer(self, sent: Sent, reader: asyncio.StreamReader) -> None:
        line = await reader.readline()
        if not line:
            sent.note = "closed with no answer"
            return
        sent.status = int(line.split()[1])
        length, chunked = 0, False
        while (line := await reader.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            if name.lower() == "content-length":
                length = int(value)
            if name.lower() == "transfer-encoding":
                chunked = True
        if not chunked:
            sent.body = await reader.readexactly(length)
            sent.whole = True
            return
        while True:
            line = await reader.readline()
            if not line:
                sent.note = "stream cut"
                return
            size = int(line, 16)
            data = await reader.readexactly(size + 2)
            if not size:
                sent.whole = True
                return
            sent.first_event = sent.first_event or self.record.now()
            sent.body += data[:-2]

    async def traffic(
        self,
        until_s: float,
        rate: float,
        dispatchers: Callable[[], list[Dispatcher]] | None = None,
        order_share: float = 0.45,
    ) -> None:
        """Requests at random times, `rate` a second over all dispatchers, until the record's clock shows `until_s`."""
        tasks = []
        deadlines = {row["name"]: row["give-up-us"] / 1e6 for row in self.settings["services"]}
        while self.record.now() < until_s:
            await asyncio.sleep(self.random.expovariate(rate))
            choice = dispatchers() if dispatchers is not None else self.dispatchers
            if choice:
                names = list(deadlines)
                kind = names[1] if self.random.random() < order_share else names[0]
                tasks.append(asyncio.create_task(self.ask(self.random.choice(choice), kind, deadlines[kind])))
        await asyncio.gather(*tasks)

    # --- judge

    async def watch_holds(self) -> None:
        """Report what is held too long while no attempt of its request is out; runs until it is cancelled."""
        limit = self.release_s + HELD_SLACK_S
        while True:
            await asyncio.sleep(0.02)
            now = self.record.now()
            for number, holds in self.holds.items():
                if (holds.state or holds.places) and not holds.out and now - holds.since > limit:
                    if not holds.reported:
                        holds.reported = True
                        where = f"state at {holds.state}, places at {sorted(holds.places)}"
                        self.record.breaks(f"pinned: {number}: {where}, {now - holds.since:.3f} s, limit {limit}")
                elif holds.reported and not holds.state and not holds.places:
                    holds.reported = False
                    self.record.add("JUDGE", "let go at last", id=number, held_s=f"{now - holds.since:.3f}")

    def still_held(self) -> None:
        """Record what was reported and is held to the end."""
        for number, holds in self.holds.items():
            if holds.reported:
                self.record.add("JUDGE", "held to the end", id=number, held_s=f"{self.record.now() - holds.since:.3f}")

    def judge_answers(self, frees: Callable[[Sent], bool] = lambda sent: False) -> None:
        """One final answer for each request, in time and of its own; `frees`: what an excuse of the pages covers."""
        for sent in self.sent.values():
            if sent.left is not None and sent.left < sent.at + sent.deadline_s + FINAL_SLACK_S:
                continue
            if frees(sent):
                continue
            ended = sent.ended if sent.ended is not None else self.record.now()
            answered = sent.first_event or (ended if sent.status else None)
            if not sent.status:
                self.record.breaks(f"lost: {sent.id} {sent.kind} at {sent.dispatcher}: {sent.note or 'no answer'}")
            elif answered is not None and answered - sent.at > sent.deadline_s + FINAL_SLACK_S:
                self.record.breaks(f"lost: {sent.id}: answered {answered - sent.at:.3f} s after it was sent")
            elif sent.status == 200 and sent.whole and sent.body not in self.answers.get(sent.id, []):
                self.record.breaks(f"lost: {sent.id}: its answer is of no model host")

    def judge_effects(self) -> None:
        """No second run of a request that may not be repeated, and no refusal after a run."""
        for number, runs in self.runs.items():
            sent = self.sent[number]
            if self.effects[sent.kind] == "free":
                continue
            if len(runs) > 1:
                self.record.breaks(f"twice: {number} {sent.kind} ran at {runs}")
            if sent.status in (429, 503):
                self.record.breaks(f"refused after a run: {number} {sent.kind} ran at {runs}")

    def judge_leaving(self) -> None:
        """No attempt begins more than 0.1 s after its client has closed its connection."""
        for first, _, host, stage, number in self.attempts:
            sent = self.sent.get(number)
            if stage == "place" or sent is None or sent.left is None:
                continue
            if first > sent.left + LEFT_S + SLACK_S:
                self.record.breaks(
                    f"lost: {stage} of {number} at {host} {first - sent.left:.3f} s after its client left"
                )

    def late_sends(self, told: Callable[[Host], float | None]) -> list[tuple[float, str, str, str]]:
        """Sends to draining hosts later than the grace after `told`: seconds after it, host, stage, id."""
        late = []
        for first, _, name, stage, number in self.attempts:
            at = told(self.hosts[name])
            if at is not None and first > at + self.grace_s + SLACK_S:
                late.append((first - at, name, stage, number))
        return late

    async def close(self) -> None:
        """End all processes and listeners."""
        for dispatcher in self.dispatchers:
            dispatcher.stop()
        for party in (*self.hosts.values(), *self.agents):
            party.listener.stop()


def free_port() -> int:
    """A port that is free now."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return int(sock.getsockname()[1])


@contextlib.contextmanager
def scratch() -> Iterator[Path]:
    """A temporary folder."""
    with tempfile.TemporaryDirectory(prefix="review-") as name:
        yield Path(name)


def play(folder: Path, made: dict[str, Any], day: Callable[[Platform, bool], Awaitable[None]], limit_s: float) -> int:
    """Play a case and write its record; 1 if a rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run(platform: Platform) -> int:
        try:
            async with asyncio.timeout(limit_s):
                await day(platform, trouble)
        except Exception as error:
            platform.record.add("case", "could not run", error=f"{type(error).__name__}: {error}")
            return 2
        finally:
            await platform.close()
            for log in sorted(platform.folder.glob("*.log")):
                lines = log.read_text(errors="replace").splitlines()
                for line in lines[:400]:
                    platform.record.rows.append((platform.record.now(), f"log of {log.stem}: {line}"))
            platform.record.write(folder / "record.txt")
        return 1 if platform.record.broken else 0

    async def main() -> int:
        with scratch() as temporary:
            platform = Platform(temporary, made)
            code = await run(platform)
            answers: dict[str, int] = {}
            for sent in platform.sent.values():
                key = str(sent.status or sent.note)
                answers[key] = answers.get(key, 0) + 1
            print(f"trouble {trouble}: answers {answers}, broken {len(platform.record.broken)}, exit {code}")
            for line in platform.record.broken[:10]:
                print("  " + line)
            return code

    return asyncio.run(main())

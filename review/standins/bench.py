"""What the cases share: the dispatcher's process, model hosts, discovery's agent, clients and the record.

All addresses are on loopback and all ports are free ones. Times are of the monotonic clock, which every process of the
machine reads alike.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST_PROGRAM = Path(__file__).resolve().with_name("host.py")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
MOST_S = 115.0  # of a whole play
# Figures of the rules, as `settings` has them, and the 50 ms by which every time limit is longer on sockets.
DRAIN_GRACE_S, HELD_S, SLACK_S = 0.5, 0.3, 0.05


class NotRun(Exception):
    """The case could not run."""


def settings(**changes: Any) -> dict[str, Any]:
    """Settings of a small deployment, with kigali-main's figures; `changes` replace whole parts."""
    base: dict[str, Any] = {
        "me": 0,
        "instances": 1,
        "zone": "a",
        "azs": ["a"],
        "kind-of-service": "twostage",
        "shapes": ["reads", "writes"],
        "stages": ["hosts"],
        "membership-mode": "push",
        "tick-us": 2000,
        "services": [
            {"name": "enquiry", "goal-time-us": 1500000, "give-up-us": 7500000, "idempotency": "free", "stream": True},
            {
                "name": "order",
                "goal-time-us": 1000000,
                "give-up-us": 5000000,
                "idempotency": "single_shot",
                "stream": True,
                "worth": 3.0,
            },
        ],
        "realms": [{"name": "north", "fraction": 1.0, "quota-per-s": 50.0}],
        "family-info": {
            "duty-by-kind": ["read", "write"],
            "holds-allowed": True,
            "let-go-by-us": 300000,
            "memory-tokens": [400000, 400000],
            "read-in-place": False,
            "resume": True,
        },
        "obligations": {
            "answer-slack-us": 8000,
            "drain-grace-us": 500000,
            "cold-us": 14000000,
            "fall-multiple": 2.5,
            "fall-us": 2000000,
            "start-capacity": 0.26,
        },
        "allowed": {
            "most-tries": 6,
            "max-open": 20000,
            "cancel": True,
            "retry-after": True,
            "max-retry-after-us": 2000000,
            "conn-idle-us": 15000000,
            "connect-timeout-us": 250000,
            "second-copies": False,
        },
    }
    return base | changes


def free_port() -> int:
    """A port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


@dataclass
class ModelHost:
    """A model host's process and its entry in discovery's list."""

    id: str
    flavor: str
    port: int
    process: subprocess.Popen[str]
    phase: str = "Ready"

    def entry(self) -> dict[str, Any]:
        """The entry as discovery tells it."""
        return {
            "id": self.id,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": "a",
            "flavor": self.flavor,
            "cell": 1,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": 0,
        }


class Agent:
    """Discovery's agent: the whole list and the watch of changes, as the protocol page describes them."""

    def __init__(self, members: Callable[[], list[dict[str, Any]]]) -> None:
        """`members` gives the whole list."""
        self.members = members
        self.revision = 1
        self.delay_s = 0.0  # how long each answer takes
        self.changed = asyncio.Event()
        self.calls: list[tuple[float, str]] = []
        self.told: list[tuple[float, int]] = []  # when a revision was written to the dispatcher
        self.connections: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def change(self) -> None:
        """The list has changed."""
        self.revision += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def body(self) -> bytes:
        """The whole list as JSON."""
        return json.dumps({"revision": self.revision, "complete": True, "members": self.members()}).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                self.calls.append((monotonic(), target))
                query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
                if "index" in query:
                    until = monotonic() + min(int(query.get("wait", 0)), 60_000) / 1000
                    while int(query["index"]) >= self.revision and monotonic() < until:
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(self.changed.wait(), max(until - monotonic(), 0.001))
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                revision, body = self.revision, self.body()
                if "index" in query and int(query["index"]) >= revision:
                    body = json.dumps({"revision": revision, "complete": False, "members": []}).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n" % len(body)
                    + body
                )
                await writer.drain()
                self.told.append((monotonic(), revision))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):  # the last: the play is over
            pass
        finally:
            self.connections.discard(writer)
            with contextlib.suppress(RuntimeError):
                writer.close()

    def stop_listening(self) -> None:
        """Accept no new connection."""
        if self.server is not None:
            self.server.close()

    def close_connections(self) -> None:
        """Close the open connections."""
        for writer in list(self.connections):
            writer.close()


@dataclass
class Answer:
    """What a client got."""

    id: str
    cls: str
    sent: float
    status: int = 0  # 0: no answer, the connection ended or the client stopped waiting
    ended: float = 0.0
    first: float = 0.0
    whole: bool = False
    body: bytes = b""
    note: str = ""


class Client:
    """One client: a connection that it keeps, one request at a time."""

    def __init__(self, port: int) -> None:
        """`port` of the dispatcher."""
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(self, request_id: str, cls: str = "enquiry", deadline_ms: int = 5000, key: str = "") -> Answer:
        """Send a request and read its answer, for 5 s more than the deadline before the first event."""
        answer = Answer(request_id, cls, monotonic())
        try:
            if self.writer is None:
                await self.connect()
            await self._exchange(answer, deadline_ms, key)
        except TimeoutError:
            answer.note = "the client stopped waiting"
            self.close()
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer.note = f"{type(error).__name__}: {error}"
            self.close()
        answer.ended = monotonic()
        return answer

    async def _exchange(self, answer: Answer, deadline_ms: int, key: str) -> None:
        assert self.reader is not None and self.writer is not None
        text = json.dumps({"model": answer.cls, "stream": True, "messages": [{"role": "user", "content": answer.id}]})
        self.writer.write(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\n"
            + f"Req-Id: {answer.id}\r\nReq-Kind: {answer.cls}\r\nReq-Owner: north\r\n".encode()
            + f"Req-Key: {key or answer.id}\r\nReq-Deadline-Ms: {deadline_ms}\r\n".encode()
            + b"Req-Extra: prompt_len=1000,prefix_len=0,max_out=200\r\n"
            + f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n{text}".encode()
        )
        answer.sent = monotonic()
        limit = deadline_ms / 1000 + 5
        head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), limit)
        answer.status = int(head.split(b" ")[1])
        headers = {
            line.partition(b":")[0].strip().lower(): line.partition(b":")[2].strip() for line in head.split(b"\r\n")[1:]
        }
        if headers.get(b"transfer-encoding") == b"chunked":
            while True:
                size = int(await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 30), 16)
                data = await asyncio.wait_for(self.reader.readexactly(size + 2), 30)
                answer.first = answer.first or monotonic()
                if not size:
                    break
                answer.body += data[:-2]
        else:
            answer.body = await self.reader.readexactly(int(headers.get(b"content-length", b"0")))
        answer.whole = True
        if headers.get(b"connection") == b"close":
            self.close()


@dataclass
class Bench:
    """One play: what it started, and its folder."""

    case: Path
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="review-")))
    hosts: dict[str, ModelHost] = field(default_factory=dict)
    processes: list[subprocess.Popen[Any]] = field(default_factory=list)
    lines: list[str] = field(default_factory=list)
    began: float = field(default_factory=monotonic)
    answers: list[Answer] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Make the folders."""
        for name in ("reads", "states", "places"):
            (self.folder / name).mkdir()

    def say(self, text: str, at: float | None = None) -> None:
        """Add a line to the record."""
        self.lines.append(f"{(at or monotonic()) - self.began:9.3f} {text}")

    def add_host(self, name: str, role: str, **options: Any) -> ModelHost:
        """Start a model host."""
        given = {"name": name, "role": role, "folder": str(self.folder), **options}
        process = subprocess.Popen(
            [sys.executable, str(HOST_PROGRAM), json.dumps(given)], stdout=subprocess.PIPE, text=True
        )
        self.processes.append(process)
        assert process.stdout is not None
        line = process.stdout.readline()
        if not line:
            raise NotRun(f"{name} did not start")
        host = self.hosts[name] = ModelHost(name, "reads" if role == "read" else "writes", int(line), process)
        return host

    def members(self) -> list[dict[str, Any]]:
        """Discovery's list."""
        return [host.entry() for host in self.hosts.values()]

    def write_config(self, port: int, discovery: int, sockets: int = 1024, **more: Any) -> Path:
        """Write the configuration file, whole."""
        path = self.folder / "config.json"
        contents = {
            "name": "n0",
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": {"revision": 1, "complete": True, "members": self.members()},
            "settings": settings(),
        } | more
        path.with_suffix(".new").write_text(json.dumps(contents))
        path.with_suffix(".new").replace(path)
        return path

    def start_dispatcher(self, port: int, discovery: int, config: Path, sockets: int = 0) -> subprocess.Popen[Any]:
        """Start the dispatcher by the `run` of the deploy file; `sockets`: the descriptors that it may hold."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "ROUTER_NAME": "n0",
            "ROUTER_LISTEN": f"127.0.0.1:{port}",
            "ROUTER_DISCOVERY": f"127.0.0.1:{discovery}",
            "ROUTER_CONFIG": str(config),
        }

        def limit() -> None:
            if sockets:
                resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))

        log = open(self.folder / "n0.log", "ab")  # noqa: SIM115
        process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log, preexec_fn=limit
        )
        log.close()
        self.processes.append(process)
        return process

    async def wait_up(self, port: int, seconds: float = 30) -> None:
        """Wait until `GET /up` answers 200."""
        until = monotonic() + seconds
        while monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: n0\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200 " in line:
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise NotRun("the dispatcher is not ready")

    async def ask_until(self, client: Client, until: float, pause_s: float = 0.001) -> None:
        """Have a client ask one request after the other, every other one an order; it waits after a refusal."""
        while monotonic() < until:
            number = len(self.answers) + 1
            self.answers.append(answer := Answer("", "", 0.0))
            request_id, cls = f"{number:016x}", "order" if number % 2 else "enquiry"
            answer.__dict__.update(vars(await client.ask(request_id, cls)))
            await asyncio.sleep(pause_s if answer.status == 200 else 0.2)
        client.close()

    def steps(self) -> list[dict[str, Any]]:
        """All steps that the hosts logged, by time."""
        rows = []
        for name in self.hosts:
            for line in (self.folder / f"{name}.jsonl").read_text().splitlines():
                with contextlib.suppress(ValueError):
                    rows.append(json.loads(line))
        return sorted(rows, key=lambda row: row["at"])

    def log(self) -> list[str]:
        """The dispatcher's log."""
        path = self.folder / "n0.log"
        return path.read_text(errors="replace").splitlines() if path.exists() else []

    def end(self) -> None:
        """End all that was started."""
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()

    def close(self) -> None:
        """Write the record and remove the folder."""
        asked = [
            f"{a.sent - self.began:9.3f} {a.id} {a.cls}: status {a.status}{' whole' if a.whole else ''}, "
            f"{len(a.body)} bytes, over after {a.ended - a.sent:.3f} s {a.note}"
            for a in self.answers
            if a.ended
        ]
        steps = [
            f"{row['at'] - self.began:9.3f} {row['host']}: {row['what']} {row['id']} "
            + " ".join(f"{name}={value}" for name, value in row.items() if name in ("how", "open", "told"))
            for row in self.steps()
        ]
        text = [*self.lines, "", "# what the clients sent and got", *asked, "", "# steps of the model hosts", *steps]
        text += ["", "# the dispatcher's log", *self.log()]
        (self.case / "record.txt").write_text("\n".join(text) + "\n")
        shutil.rmtree(self.folder, ignore_errors=True)


def play(case: Path, run: Callable[[Bench], Any]) -> int:
    """Run a case; `run` returns whether the rule held. Returns the exit status."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # what was started is ended then, too
    bench = Bench(case)
    status = NOT_RUN
    try:
        bench.say(f"TROUBLE={'1' if TROUBLE else '0'}, began {time.strftime('%H:%M:%S')}")
        held = asyncio.run(asyncio.wait_for(run(bench), MOST_S))
        statuses = [answer.status for answer in bench.answers if answer.ended]
        bench.say(f"answers by status (0: none): { ({s: statuses.count(s) for s in sorted(set(statuses))}) }")
        status = HELD if held else BROKEN
    except NotRun as error:
        bench.say(f"the case could not run: {error}")
    except Exception as error:  # a fault of the case, not of the rule
        bench.say(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        bench.end()
        bench.say(f"exit status {status}")
        print("\n".join(bench.lines[-12:]))
        bench.close()
    return status

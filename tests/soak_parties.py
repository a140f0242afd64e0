"""Participants of the soak test: dispatchers and hosts as processes, clients and discovery agents as asyncio tasks."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random
from time import monotonic, time
from typing import Any

from tests.crossing_ledger import Request, make_request
from tests.crossing_messages import plain, read_message
from tests.crossing_parties import LOOPBACK_ADDRESS
from tests.crossings import ALLOWED, SETTINGS
from tests.ports import port_of, reserve_port
from tests.soak_crowd import Crowds, PeakMemory
from tests.soak_discovery import AgentCall, AgentConnection, Answer, SlowDiscovery, draw_spans, serve_calls
from tests.soak_slow_start import OBLIGATIONS, ColdStart
from tests.soak_streams import StreamFaults
from tests.soak_withheld import SoakLedger, WithheldTime

ROOT = Path(__file__).parent.parent
RELEASE_S, GRACE_S = SETTINGS["family-info"]["let-go-by-us"] / 1e6, SETTINGS["obligations"]["drain-grace-us"] / 1e6
DEADLINES_MS = (3_000, 3_000, 1_500, 700)  # each run draws one for its requests
START_TIMEOUT_S = 20.0
ORDER_PROBABILITY, LEAVE_PROBABILITY = 0.4, 0.05
# Drawn per run: places are reserved ahead; clients resume broken streams; clients retry at once; many idle clients.
PLACES_PROBABILITY, RESUME_PROBABILITY = 0.7, 0.6
RETRIES_PROBABILITY, IDLE_CLIENTS_PROBABILITY = 0.6, 0.2
MAX_RETRIES = 2
WARM_BY_WORK_PROBABILITY = 0.5  # per run: cold hosts warm up by completed work instead of time
IDLE_CLIENTS, SOCKET_LIMIT = 420, 512  # idle connections to each dispatcher; its socket limit
MAX_LISTING_DELAY_S = 1.5  # the list shows a host's start at most this much later


@dataclass
class Plan:
    """Size of a run."""

    dispatchers: int = 6
    readers: int = 8
    writers: int = 12
    clients: int = 5  # per dispatcher
    seconds: float = 20.0
    faults: int = 24
    cold_returns: int = 2  # faults in which hosts restart cold while the other hosts of their role fail
    crowds: int = 2  # of bad clients, each at one dispatcher
    streams: int = 4  # faults in which a writer spoils its streams, or writes them slowly
    slow_discovery: int = 2  # faults in which all agents are slow


@dataclass
class DispatcherRun:
    """One dispatcher process, from start to end, with the ledger of what its clients saw."""

    name: str
    ledger: SoakLedger
    process: subprocess.Popen[bytes]
    log: Path
    drains_reported: dict[str, float] = field(
        default_factory=dict
    )  # draining hosts and when the dispatcher was sent their drain
    started: float = field(default_factory=monotonic)
    killed: float | None = None  # when it was sent SIGKILL
    ended: float | None = None  # when the process had exited


@dataclass
class SoakHost:
    """The soak test's record of one host process, which runs `tests.soak_host`, and its entry in the server list."""

    name: str
    role: str
    process: subprocess.Popen[bytes]
    port: int
    phase: str = "Ready"
    drained_at: float = 0.0  # when discovery had its drain
    up_since_ms: int = 0
    listed_from: float = 0.0  # when the list begins to show its last start
    listed_before_ms: int = 0  # the start time that the list shows until then

    def list_entry(self) -> dict[str, Any]:
        return {
            "id": self.name,
            "host_port": f"{LOOPBACK_ADDRESS}:{self.port}",
            "locality": "a",
            "cell": 1,
            "phase": self.phase,
            "flavor": "reads" if self.role == "read" else "writes",
            "size": 1.0,
            "up_since_ms": self.up_since_ms if monotonic() >= self.listed_from else self.listed_before_ms,
        }

    def inject_fault(self, kind: str, seconds: float = 0.0) -> None:
        assert self.process.stdin is not None
        with contextlib.suppress(OSError):  # the process has died meanwhile
            self.process.stdin.write(f"{kind} {seconds}\n".encode())
            self.process.stdin.flush()


def await_start(process: subprocess.Popen[bytes]) -> tuple[int, float, int]:
    """Wait until a host's process listens; returns its port, and when that was (monotonic clock, Unix time in ms)."""
    assert process.stdout is not None
    port = int(process.stdout.readline())
    return port, monotonic(), round(time() * 1_000)


class SoakCluster:
    """All processes, connections and records of one run."""

    def __init__(self, seed: int, plan: Plan, folder: Path, package: Path = ROOT) -> None:
        """`package`: the folder from which dispatchers import their program."""
        self.plan, self.folder, self.package = plan, folder, package
        self.random = Random(seed)
        self.family = {
            "holds-allowed": self.random.random() < PLACES_PROBABILITY,
            "resume": self.random.random() < RESUME_PROBABILITY,
        }
        self.deadline_ms = self.random.choice(DEADLINES_MS)
        self.retries = MAX_RETRIES if self.random.random() < RETRIES_PROBABILITY else 0
        self.has_idle_clients = self.random.random() < IDLE_CLIENTS_PROBABILITY
        self.warm_by_work = self.random.random() < WARM_BY_WORK_PROBABILITY
        self.cold_starts: list[ColdStart] = []
        self.burst_until = 0.0
        self.closed_unread = 0  # new connections closed unread near the socket limit, which the rules allow there
        self.injected: Counter[str] = Counter()
        self.idle_connections: list[asyncio.StreamWriter] = []
        self.hosts: dict[str, SoakHost] = {}
        self.runs: list[DispatcherRun] = []
        self.current: dict[str, DispatcherRun] = {}
        self.ports: dict[str, int] = {}
        self.reserved: list[socket.socket] = []  # keep the ports of hosts and dispatchers, which are restarted
        self.agents: dict[str, str] = {}
        self.servers: list[asyncio.Server] = []
        self.dead_hosts: set[str] = set()  # hosts that are dead at present
        self.ending_dispatchers: set[str] = set()  # dispatchers that a fault is about to end
        self.revision = 1
        self.silent_until = 0.0  # until then all agents are silent
        self.silent: dict[str, float] = {}  # stopped hosts and hosts with silent connections: end of the silence
        self.frozen: list[tuple[str, float, float]] = []  # host, begin and end of each stop
        self.crowds = Crowds(seed, plan.seconds, plan.crowds)
        self.stream_faults = StreamFaults(seed, plan.seconds, plan.streams)
        self.slow_discovery = SlowDiscovery(draw_spans(Random(f"{seed} discovery"), plan.seconds, plan.slow_discovery))
        self.memory = PeakMemory()
        self.event_log: list[str] = []
        self.began = monotonic()
        self.withheld = WithheldTime()
        self.ended = False
        self._requests = 0
        for kind in ("states", "reads", "open"):
            (folder / kind).mkdir()

    def log_event(self, text: str) -> None:
        self.event_log.append(f"{monotonic() - self.began:8.3f} {text}")

    # --- processes

    async def start_host(self, name: str, role: str, port: int = 0, cold: bool = False) -> None:
        if not port:
            self.reserved.append(reserve_port(LOOPBACK_ADDRESS))
            port = port_of(self.reserved[-1])
        argv = [sys.executable, "-m", "tests.soak_host", name, role, str(self.folder), LOOPBACK_ADDRESS, str(port)]
        ramp = "work" if self.warm_by_work else "time"
        process = subprocess.Popen(argv + [ramp] * cold, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.withheld.pids[process.pid] = name
        try:
            port, started_at, up_since_ms = await asyncio.to_thread(await_start, process)
        except BaseException:
            process.kill()  # ends the thread's wait, too
            raise
        self.hosts[name] = SoakHost(name, role, process, port)
        if cold:
            self.cold_starts.append(ColdStart(name, role, started_at, self.warm_by_work))
            self.hosts[name].up_since_ms = up_since_ms

    def start_dispatcher(self, name: str) -> None:
        config = self.folder / f"{name}.json"
        services = [
            {
                "name": kind,
                "goal-time-us": self.deadline_ms * 500,
                "give-up-us": self.deadline_ms * 1_000,
                "idempotency": effect,
            }
            for kind, effect in (("ask", "free"), ("order", "single_shot"))
        ]
        settings = {
            **SETTINGS,
            "services": services,
            "allowed": ALLOWED,
            "instances": self.plan.dispatchers,
            "obligations": {**SETTINGS["obligations"], **OBLIGATIONS},
            "family-info": {**SETTINGS["family-info"], **self.family},
        }
        config.write_text(
            json.dumps(
                {
                    "settings": settings,
                    "discovery": self.agents[name],
                    "limits": {"sockets": SOCKET_LIMIT, "memory_mb": self.crowds.memory_mb},
                    "known": self.server_list(),
                }
            )
        )
        env = {
            **os.environ,
            "ROUTER_NAME": name,
            "ROUTER_LISTEN": f"{LOOPBACK_ADDRESS}:{self.ports[name]}",
            "ROUTER_DISCOVERY": self.agents[name],
            "ROUTER_CONFIG": str(config),
            "PYTHONPATH": str(self.package),
        }
        log = self.folder / f"{name}-{len(self.runs)}.log"
        with open(log, "wb") as errors:
            process = subprocess.Popen(
                [sys.executable, "-m", "yardspindle.node"],
                cwd=self.folder,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=errors,
            )
        self.withheld.pids[process.pid] = name
        run = DispatcherRun(name, SoakLedger(RELEASE_S, GRACE_S, name, self.withheld), process, log)
        self.runs.append(run)
        self.current[name] = run

    async def wait_until_ready(self, name: str) -> None:
        until = monotonic() + START_TIMEOUT_S
        while b"ready" not in self.current[name].log.read_bytes():
            if monotonic() > until:
                raise TimeoutError(f"{name} is not ready: {self.current[name].log.read_text()}")
            await asyncio.sleep(0.02)

    # --- discovery

    def server_list(self) -> dict[str, Any]:
        return {"revision": self.revision, "complete": True, "members": [h.list_entry() for h in self.hosts.values()]}

    def discovery_answer(self) -> Answer:
        draining = tuple(host.name for host in self.hosts.values() if host.phase != "Ready")
        return Answer(plain(200, json.dumps(self.server_list()).encode()), draining)

    async def start_agent(self, name: str) -> None:
        server = await asyncio.start_server(partial(serve_calls, partial(self._answer_call, name)), LOOPBACK_ADDRESS, 0)
        self.servers.append(server)
        self.agents[name] = f"{LOOPBACK_ADDRESS}:{server.sockets[0].getsockname()[1]}"

    async def _answer_call(self, name: str, connection: AgentConnection, call: AgentCall) -> None:
        while monotonic() < self.silent_until or (call.index >= self.revision and monotonic() < call.until):
            await asyncio.sleep(0.005)
        run, is_slow, answer = self.current[name], self.slow_discovery.is_slow, self.discovery_answer()
        if is_slow:
            answer = await self.slow_discovery.send(self.discovery_answer, connection)
        for host in answer.draining:
            run.drains_reported.setdefault(host, monotonic())
        if not is_slow:
            await connection.write(answer.data)

    # --- clients

    async def run_client(self, name: str, number: int) -> None:
        rng = Random(f"{self.random.random()} {number}")
        while not self.ended:
            try:
                reader, writer = await asyncio.open_connection(LOOPBACK_ADDRESS, self.ports[name])
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                await self._use_connection(name, reader, writer, rng)
            finally:
                writer.close()

    async def open_idle_connections(self, name: str) -> None:
        """Open connections that send nothing and stay open as long as the dispatcher keeps them."""
        for _ in range(IDLE_CLIENTS):
            with contextlib.suppress(OSError):
                self.idle_connections.append((await asyncio.open_connection(LOOPBACK_ADDRESS, self.ports[name]))[1])

    async def _use_connection(
        self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rng: Random
    ) -> None:
        run, reused, tries_left = self.current[name], False, self.retries
        is_retry = False
        while not self.ended:
            if not is_retry and monotonic() >= self.burst_until:
                await asyncio.sleep(rng.uniform(0.0, 0.12))
            if self.ended or reader.at_eof():
                return
            record = self._next_request(name, run, rng, is_retry)
            disconnects = rng.random() < LEAVE_PROBABILITY
            try:
                writer.write(record.data)
                async with asyncio.timeout(rng.uniform(0.0, 0.4) if disconnects else self.deadline_ms / 1_000 + 20.0):
                    reusable = await self._read_answer(run, record, reader, reused)
            except TimeoutError:
                record.left_at = monotonic()  # the connection is closed now
                return
            except OSError:
                self._record_lost_connection(run, record, reused, "rst")
                return
            if not reusable:
                return
            reused = True
            is_retry = tries_left > 0 and record.answers[0][1].status != 200
            tries_left = tries_left - 1 if is_retry else self.retries

    def _next_request(self, name: str, run: DispatcherRun, rng: Random, is_retry: bool) -> Request:
        """Draw a client's next request and record it in the dispatcher's ledger."""
        self._requests += 1
        record = make_request(
            f"{name}.{self._requests}",
            "order" if rng.random() < ORDER_PROBABILITY else "ask",
            self.deadline_ms,
            headers=(b"Req-Retry: 1",) if is_retry else (),
            key=f"k{rng.randrange(40)}",
        )
        record.sent_at, record.written = monotonic(), len(record.data)
        run.ledger.requests.append(record)
        return record

    async def _read_answer(
        self, run: DispatcherRun, record: Request, reader: asyncio.StreamReader, reused: bool
    ) -> bool:
        """Read an answer; returns whether it was complete, so that the connection can be reused."""
        buffer = b""
        while True:
            data = await reader.read(1 << 16)
            buffer += data
            message, _ = read_message(buffer, not data)
            if message is not None and (message.whole or not data):
                record.answers.append((monotonic(), message))
                return message.whole
            if not data:
                self._record_lost_connection(run, record, reused, "fin")
                return False

    def _record_lost_connection(self, run: DispatcherRun, record: Request, reused: bool, how: str) -> None:
        """Record a connection that ended without an answer.

        Allowed if the dispatcher was killed, if the request crossed with the close of an idle connection, or if a new
        connection was closed unread near the socket limit.
        """
        if run.killed is not None:
            record.left_at = monotonic()
        elif reused:
            record.sent_after_close = True
        elif self.has_idle_clients:  # a new connection may be closed unread then
            record.sent_after_close = True
            self.closed_unread += 1
        else:
            run.ledger.violations.append(f"{record.id.decode()}: {how} on a new connection, without an answer")

    # --- the end

    async def close_agents(self) -> None:
        for writer in self.idle_connections:
            writer.close()
        for server in self.servers:
            server.close()
        await asyncio.sleep(0.01)
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def close(self) -> None:
        self.withheld.close()
        for process in [run.process for run in self.runs] + [host.process for host in self.hosts.values()]:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
            for pipe in (process.stdin, process.stdout):
                if pipe is not None:
                    pipe.close()
        for reserved in self.reserved:
            reserved.close()

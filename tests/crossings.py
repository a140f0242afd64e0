"""The real dispatcher between clients, hosts and an agent of ours on loopback, which take their steps when told to.

One thread reads all their sockets and notes what comes in a ledger; the test writes, ends connections and sends
signals, and waits for what a party has seen. `Stage.stopped` puts several events before one turn of the program.
"""

from __future__ import annotations

import contextlib
import json
import os
import resource
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from time import monotonic, sleep
from typing import Any

from tests.crossing_agent import Agent
from tests.crossing_ledger import HELD_MORE_S, Ledger
from tests.crossing_parties import BOUND_S, HERE, Call, Client, Host, Wire

RELEASE_S = 0.3
GRACE_S = 0.25
PLACE_S = 0.05  # most places are asked for within that time after their read has come
STARTS = 3
TICKS = os.sysconf("SC_CLK_TCK")
DUE_S = 0.01  # past its time a timer of the program is due
SETTINGS: dict[str, Any] = {
    "me": 0,
    "instances": 1,
    "zone": "a",
    "shapes": ["reads", "writes"],
    "membership-mode": "push",
    "family-info": {
        "duty-by-kind": ["read", "write"],
        "holds-allowed": True,
        "let-go-by-us": RELEASE_S * 1e6,
        "memory-tokens": [100_000, 100_000],
        "resume": True,
    },
    "obligations": {"drain-grace-us": GRACE_S * 1e6, "answer-slack-us": 8_000},
}
ALLOWED: dict[str, Any] = {
    "most-tries": 6,
    "cancel": True,
    "retry-after": True,
    "max-retry-after-us": 2_000_000,
    "conn-idle-us": 15_000_000,
    "connect-timeout-us": 250_000,
}
TROUBLE = (
    "rule broken",
    "a task failed",
    "a request's handler failed",
    "a timer failed",
    "the policy failed",
    "Traceback",
)
LATE = "rule broken rule=one final answer"  # its own clock goes on while it is stopped: the ledger judges that


class Stage(Wire):
    """A dispatcher and its surroundings."""

    ROOT = Path(__file__).parent.parent

    def __init__(
        self,
        folder: Path,
        give_up_ms: int = 5_000,
        readers: int = 1,
        writers: int = 1,
        package: Path = ROOT,
        sockets: int = 256,
        heard: bool = True,
        descriptors: int = 0,
        resume: bool = True,
        **allowed: Any,
    ) -> None:
        """`heard`: the agent answers; else the program is given once it waits for the agent's first list.

        `descriptors`: how many the machine gives the program; 0: as many as us.
        """
        super().__init__()
        self.folder, self.package, self.sockets, self.descriptors = folder, package, sockets, descriptors
        self.log: list[tuple[float, str]] = []
        self.clients: list[Client] = []
        self.hosts: list[Host] = []
        self._made, self._rest, self._seen = 0, b"", 0
        self.give_up_s = give_up_ms / 1_000
        services = [
            {"name": name, "goal-time-us": give_up_ms * 500, "give-up-us": give_up_ms * 1_000, "idempotency": effect}
            for name, effect in (("ask", "free"), ("order", "single_shot"))
        ]
        more = {name.replace("_", "-"): value for name, value in allowed.items()}
        self.settings = {
            **SETTINGS,
            "services": services,
            "allowed": {**ALLOWED, **more},
            "family-info": {**SETTINGS["family-info"], "resume": resume},
        }
        self._thread.start()
        self.agent = Agent(self, self.new_hosts(readers, writers, 200))
        self.agent.silent = not heard
        self.scene()
        for _ in range(STARTS):
            if self._start():
                return
        raise AssertionError(f"no start: {self.log}")

    def _start(self) -> bool:
        """Start the program; whether it is ready: its port may have been taken by a connection meanwhile."""
        spare = socket.create_server((HERE, 0))
        self.port = spare.getsockname()[1]
        spare.close()
        self.config = self.folder / "config.json"
        self.configure(self.agent)
        env = {
            **os.environ,
            "ROUTER_NAME": "n",
            "ROUTER_LISTEN": f"{HERE}:{self.port}",
            "ROUTER_DISCOVERY": self.agent.address,
            "ROUTER_CONFIG": str(self.config),
            "PYTHONPATH": str(self.package),
        }
        self.node = subprocess.Popen(
            [sys.executable, "-m", "yardspindle.node"],
            cwd=self.folder,
            env=env,
            stderr=subprocess.PIPE,
            stdout=subprocess.DEVNULL,
            preexec_fn=self._limit,
        )
        assert self.node.stderr is not None
        self._errors = self.node.stderr.fileno()
        seen = len(self.log)
        self.watch(self._errors, self._read_log)
        calls = self.agent.asked
        return not self.until(
            "a start",
            lambda: (
                "waits"
                if self.agent.silent and self.agent.asked > calls
                else next((row for _, row in self.log[seen:] if row.startswith(("ready", "ROUTER_LISTEN"))), "")
            ),
        ).startswith("R")

    def _limit(self) -> None:
        if self.descriptors:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))

    def configure(self, agent: Agent) -> None:
        """Write the configuration file."""
        known = {"known": json.loads(agent.listed())} if agent.silent else {}
        self.config.write_text(
            json.dumps(
                {"settings": self.settings, "discovery": agent.address, "limits": {"sockets": self.sockets}, **known}
            )
        )

    def __enter__(self) -> Stage:
        return self

    def __exit__(self, *_: object) -> None:
        if self.node.poll() is None:
            self.node.kill()
        self.node.wait(BOUND_S)
        self._ended = True
        self._thread.join(BOUND_S)
        with self.news:
            for key in list(self._selector.get_map().values()):
                if not isinstance(key.fileobj, int):
                    key.fileobj.close()  # type: ignore[attr-defined]
            self._selector.close()
        assert self.node.stderr is not None
        self.node.stderr.close()

    # --- parties

    def new_hosts(self, readers: int, writers: int, places: int | None = 200) -> list[Host]:
        self._made += 1
        names = [("read", at) for at in range(readers)] + [("write", at) for at in range(writers)]
        self.hosts = [Host(self, f"{role}er-{self._made}-{at}", role, places) for role, at in names]
        return self.hosts

    def scene(self) -> None:
        """A new ledger: what came before is judged."""
        with self.news:
            self.ledger = Ledger(RELEASE_S, GRACE_S, self.stalled)
            self.calls.clear()
            self.scenes, self.clean, self.judged = self.scenes + 1, False, False

    def fresh(self, readers: int = 1, writers: int = 1, places: int | None = 200) -> None:
        """New hosts instead of the old, of which the program knows nothing, and a new ledger."""
        self.agent.tell(*self.new_hosts(readers, writers, places))
        for client in self.clients:
            client.close()
        self.clients.clear()
        self.scene()

    def client(self) -> Client:
        self.clients.append(Client(self))
        return self.clients[-1]

    def host(self, role: str, at: int = 0) -> Host:
        return [host for host in self.hosts if host.role == role][at]

    def call(self, kind: str, number: str | None = None) -> Call:
        """Wait for the next call of a kind at any host."""
        wanted = None if number is None else self.number(number).encode()

        def look() -> Call | None:
            for known in self.calls:
                if known[1] == kind and wanted in (None, known[2]):
                    self.calls.remove(known)
                    return known[0]
            return None

        call = self.until(f"a {kind} of {number}", look)
        if kind == "read":
            self._with_its_place(call.id)
        return call

    def _with_its_place(self, number: bytes) -> None:
        """Give a read's place the time to be asked for before the read is answered."""
        until = monotonic() + PLACE_S
        with self.news:
            while not self.ledger.asked_place(number) and monotonic() < until:
                self.news.wait(until - monotonic())

    def play(self, *clients: Client) -> None:
        """Read and write whatever comes until each of these clients has its answer, or sees its connection end."""

        def over(client: Client) -> bool:
            return bool(client.end) or len(client.answers) >= len(client.requests)

        while self.until("calls or answers", lambda: bool(self.calls) or all(map(over, clients))):
            with self.news:
                if not self.calls:
                    return
                call, kind, _, _ = self.calls.pop(0)
            if kind == "read":
                self._with_its_place(call.id)
                call.answer(202)
            elif kind == "write":
                call.serve()
            else:
                call.answer({"place": 200, "free": 204}[kind])

    def _syn(self, host: Host) -> bool:
        port = f"{host.listener.getsockname()[1]:04X}"
        rows = [row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:]]
        return any(row[2].endswith(f":{port}") and row[3] == "02" for row in rows)

    def connecting(self, host: Host) -> None:
        """Wait until the program's connection to a host is being made: its SYN is out, unanswered."""
        self.until(f"a connection to {host.name}", lambda: self._syn(host))

    def connected(self, host: Host) -> None:
        """Wait until no connection to a host is being made, and those that were are used or ended."""
        self.until(
            f"no more connections to {host.name}",
            lambda: not self._syn(host) and all(call.end or call.count for call in host.connections if not call.ours),
        )

    # --- the program

    def signal(self, number: signal.Signals) -> None:
        with self.news:
            self.ledger.say(number.name)
            if number is signal.SIGTERM:
                self.ledger.term = monotonic()
        self.node.send_signal(number)

    @contextlib.contextmanager
    def stopped(self) -> Iterator[None]:
        """What is done meanwhile the program finds all at once."""
        begun = monotonic()
        self.node.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.node.pid, os.WSTOPPED)
        try:
            yield
        finally:
            with self.news:
                self.ledger.away.append((begun, monotonic()))
                self.ledger.say(f"stopped for {monotonic() - begun:.3f} s")
            self.node.send_signal(signal.SIGCONT)

    def at(self, time: float) -> None:
        """Wait for the clock: a timer of the program has to be due."""
        sleep(max(time - monotonic(), 0.0))

    def _read_log(self) -> None:
        data = os.read(self._errors, 1 << 16)
        if not data:
            self.unwatch(self._errors)
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            self.log.append((monotonic(), line.decode()))
            self.ledger.say(f"log: {line.decode()}")

    def line(self, text: str) -> float:
        """Wait for a line of the program's log; when it came."""
        return self.until(
            f"the line {text!r}", lambda: next((at for at, row in self.log if row.startswith(text)), None)
        )

    def exited(self) -> int:
        """Wait for the program's end."""
        return self.node.wait(BOUND_S)

    def busy(self) -> float:
        """Seconds of processor time that the program has used so far."""
        return sum(map(int, Path(f"/proc/{self.node.pid}/stat").read_text().rpartition(")")[2].split()[11:13])) / TICKS

    def open_descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.node.pid}/fd"))

    def memory(self) -> int:
        """The most bytes that the program has held so far."""
        rows = Path(f"/proc/{self.node.pid}/status").read_text().splitlines()
        return next(int(row.split()[1]) * 1_024 for row in rows if row.startswith("VmHWM"))

    def stalled(self) -> float:
        """See Wire: what the scheduler says of the program and of our own threads, and the machine of itself."""
        waited = 0
        for task in (f"/proc/{self.node.pid}", *map(str, Path("/proc/self/task").iterdir())):
            with contextlib.suppress(OSError, IndexError):
                waited += int(Path(task, "schedstat").read_text().split()[1])
        stolen = int(Path("/proc/stat").read_text().split()[8])
        return waited / 1e9 + stolen / TICKS

    def turn(self) -> None:
        """See Wire."""
        super().turn()
        for call in self.agent.calls if hasattr(self, "agent") else ():
            call.due()

    # --- judging

    def judge(self) -> list[str]:
        """Every break, once what is held has been let go of, or was held for too long."""
        self.judged = True
        until = monotonic() + RELEASE_S + HELD_MORE_S + 0.1
        with self.news:
            while self.ledger.owed() and monotonic() < until:
                self.news.wait(0.05)
            for client in self.clients:
                client.late_reset()
            rows = self.log[self._seen :]
            self._seen = len(self.log)
            found = self.ledger.judge() + [
                row for _, row in rows if row.startswith(TROUBLE) and not row.startswith(LATE)
            ]
            if self.node.poll() not in (None, 0):
                found.append(f"the program ended with {self.node.returncode}")
            return found

    def failed(self, number: str) -> None:
        """Wait for the word that an attempt of a request failed."""
        self.line(f"attempt failed id={self.number(number)} ")

    def check(self) -> None:
        """Nothing is broken."""
        found = self.judge()
        assert not found, "\n".join([*found, "", self.told()])
        self.clean = True


class Shared:
    """A stage for one test after another; after one that failed the next gets a new program."""

    def __init__(self, folder: Path, **settings: Any) -> None:
        self.folder, self.settings = folder, settings
        self.stage: Stage | None = None

    def fresh(self) -> Stage:
        if self.stage is not None and not self.stage.clean:
            self.close()
        if self.stage is None:
            self.stage = Stage(self.folder, **self.settings)
        self.stage.fresh()
        return self.stage

    def close(self) -> None:
        if self.stage is not None:
            self.stage.__exit__()
        self.stage = None

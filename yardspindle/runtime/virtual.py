"""A World of its own making: all programs of a fleet in one process, on a seeded clock, network and faults.

Nothing here waits: the clock jumps to the next due thing. A `Simulation` holds the one scheduler, the one true
clock, the network and the files; each program has a `VirtualWorld` of it, whose clock may be set apart from the true
one and may step, and which can be stalled (nothing in it runs, its kernel goes on) and killed (nothing it does
afterwards has any effect). The same seed plays the same run.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Literal, TypeVar

from yardspindle.runtime.scheduler import (
    Cancelled,
    Channel,
    Deadline,
    DeadlineExceeded,
    Gate,
    Scheduler,
    Signal,
    Task,
)
from yardspindle.runtime.virtual_network import Network, VirtualListener, VirtualMessages, VirtualStream
from yardspindle.runtime.world import ConnectError, Database, Listener, MessageSocket, Stream

T = TypeVar("T")
EPOCH_US = 1_700_000_000_000_000  # where every virtual clock starts
FIRST_PORT = 20_000
SKEW_US = 5_000_000
RETRY_US = 50_000  # how often a connection that hangs is tried anew, as a kernel repeats its SYN


class JumpingClock:
    """A poller that never waits."""

    def __init__(self) -> None:
        """At the epoch."""
        self._now_us = EPOCH_US

    def now_us(self) -> int:
        """The virtual time."""
        return self._now_us

    def wait(self, until_us: int | None) -> None:
        """Jump to a time; a time that has passed changes nothing."""
        if until_us is not None:
            self._now_us = max(self._now_us, until_us)

    def idle(self) -> bool:
        """Nothing comes from outside: what no timer wakes is stuck."""
        return True


class Simulation:
    """What all programs of one run share."""

    def __init__(self, seed: int) -> None:
        """Everything that is drawn comes from the seed."""
        self.seed = seed
        self._clock = JumpingClock()
        self.now_us = self._clock.now_us
        self.scheduler = Scheduler(self._clock)
        self.scheduler.on_crash = self._crash
        self.files: dict[str, bytes] = {}
        self.on_append: Callable[[str, bytes], None] | None = None
        self.network = Network(self)
        self.programs: dict[str, VirtualWorld] = {}
        self.crashes: list[str] = []
        self._ports = FIRST_PORT
        self._drawn: dict[str, int] = {}

    def run(self, name: str, function: Callable[..., T], *args: Any) -> T:
        """Run a task and all programs to the task's end."""
        return self.scheduler.run(name, function, *args)

    def program(self, name: str, skewed: bool = False) -> VirtualWorld:
        """The World of a program's start; a name comes again when the program starts again.

        `skewed`: its clock is set apart from the others'.
        """
        number = self.next_number(f"program {name}")
        self.programs[name] = VirtualWorld(self, name, number)
        if skewed:
            self.programs[name].step(self.random(f"clock of {name} {number}").randrange(SKEW_US))
        return self.programs[name]

    def random(self, name: str) -> random.Random:
        """A random stream of its own for each name."""
        return random.Random(f"{self.seed} {name}")

    def next_number(self, kind: str) -> int:
        """A running number of its kind."""
        self._drawn[kind] = self._drawn.get(kind, 0) + 1
        return self._drawn[kind]

    def next_port(self) -> int:
        """A port that none has used."""
        self._ports += 1
        return self._ports

    def _crash(self, task: Task, error: BaseException) -> None:
        world = next((world for world in self.programs.values() if world.gate is task.gate), None)
        if task.gate is None or (world is not None and world.alive):  # what a killed program's tasks do is nothing
            name = world.name if world is not None else "run"
            self.crashes.append(f"{name}: task {task.name}: {type(error).__name__}: {error}")


class VirtualWorld:
    """See World: one start of one program."""

    def __init__(self, sim: Simulation, name: str, number: int = 1) -> None:
        """Made by `Simulation.program`."""
        self.sim, self.name, self._number = sim, name, number
        self.scheduler = sim.scheduler
        self.stop = Signal(sim.scheduler)
        self.free_descriptor: Callable[[], bool] = lambda: False
        self.gate = Gate()
        self.alive = True
        self._ahead_us = 0  # of the true clock
        self._last_us = 0
        self._late: list[Callable[[], None]] = []  # callbacks that came due while it was stalled

    # --- faults

    def kill(self) -> None:
        """End it at once: its sockets are reset, and whatever its tasks still do has no effect."""
        if not self.alive:
            return
        self.alive = False
        self.sim.network.close_all(self)
        self.resume()
        for task in [task for task in self.scheduler.tasks if task.gate is self.gate]:
            self.scheduler.interrupt(task, Cancelled())

    def stall(self) -> None:
        """Run nothing of it until `resume`; its kernel still takes connections and bytes."""
        self.gate.shut = True

    def resume(self) -> None:
        """Go on, with all that has come due."""
        self.scheduler.open_gate(self.gate)
        late, self._late = self._late, []
        for callback in late:
            callback()

    def step(self, by_us: int) -> None:
        """Set its clock by so much; set back, it stands still until the time has caught up."""
        self._ahead_us += by_us

    @property
    def tasks(self) -> list[Task]:
        """What runs in it."""
        return [task for task in self.scheduler.tasks if task.gate is self.gate]

    # --- the World

    def now_us(self) -> int:
        """See World."""
        now = self.sim.now_us() + self._ahead_us
        if now > self._last_us:
            self._last_us = now
        return self._last_us

    def sleep_until(self, at_us: int) -> None:
        """See World."""
        self._lives()
        self.scheduler.sleep_until(at_us - self._ahead_us)

    def deadline(self, at_us: int) -> Deadline:
        """See World."""
        return self.scheduler.deadline(at_us - self._ahead_us)

    def spawn(self, name: str, function: Callable[..., Any], *args: Any) -> Task:
        """See World."""
        self._lives()
        task = self.scheduler.spawn(name, function, *args)
        task.gate = self.gate
        return task

    def current(self) -> Task:
        """See World."""
        return self.scheduler.current

    def call_at(self, at_us: int, callback: Callable[[], None]) -> Callable[[], None]:
        """See World."""

        def due() -> None:
            if self.gate.shut:
                self._late.append(due)
            elif self.alive:
                callback()

        return self.scheduler.timers.set(at_us - self._ahead_us, due).cancel

    def channel(self, capacity: int) -> Channel[Any]:
        """See World."""
        return self.scheduler.channel(capacity)

    def signal(self) -> Signal:
        """See World."""
        return Signal(self.scheduler)

    def listen(self, host: str, port: int, backlog: int = 512) -> Listener:
        """See World."""
        self._lives()
        listeners = self.sim.network.listeners
        port = port or self.sim.next_port()
        if (host, port) in listeners:
            raise OSError(98, "Address already in use")
        listeners[(host, port)] = VirtualListener(self, host, port, backlog)
        return listeners[(host, port)]

    def connect(self, host: str, port: int, deadline_us: int) -> Stream:
        """See World."""
        self._lives()
        limit = self.deadline(deadline_us)
        try:
            with limit:
                return self._connect(host, port)
        except DeadlineExceeded:
            if not limit.passed:  # the caller's own time is up: that says nothing of the host
                raise
            raise ConnectError("no connection in time") from None

    def _connect(self, host: str, port: int) -> Stream:
        network = self.sim.network
        while True:
            listener = network.listeners.get((host, port))
            far_name = listener.world.name if listener is not None else ""
            there, back = network.path(self.name, far_name), network.path(far_name, self.name)
            if not (there.cuts or back.cuts or there.hanging):
                break
            self.scheduler.sleep_until(self.sim.now_us() + RETRY_US)
        self.scheduler.sleep_until(self.sim.now_us() + network.latency_us(there) + network.latency_us(back))
        listener = network.listeners.get((host, port))  # it may have gone meanwhile
        if listener is None or there.refused:
            raise ConnectError("Connection refused")
        near, far = VirtualStream(self, host, back), VirtualStream(listener.world, "127.0.0.1", there)
        near.remote, far.remote = far, near
        if not listener.queue.try_put(far):
            raise ConnectError("Connection refused")
        return near

    def message_socket(
        self, kind: Literal["sub", "pub", "dealer", "router"], host: str, port: int, topic: bytes = b""
    ) -> MessageSocket:
        """See World."""
        self._lives()
        return VirtualMessages(self, kind, (host, port or self.sim.next_port()), topic)

    def random(self, name: str) -> random.Random:
        """See World."""
        return self.sim.random(f"{self.name} {self._number} {name}")

    def read_file(self, path: str, max_bytes: int = -1) -> bytes:
        """See World."""
        if path not in self.sim.files:
            raise FileNotFoundError(2, "No such file or directory", path)
        return self.sim.files[path][: None if max_bytes < 0 else max_bytes]

    def append_file(self, path: str, data: bytes) -> None:
        """See World."""
        if not self.alive:
            return
        self.sim.files[path] = self.sim.files.get(path, b"") + data
        if self.sim.on_append is not None:
            self.sim.on_append(path, data)

    def replace_file(self, path: str, data: bytes) -> None:
        """See World."""
        if self.alive:
            self.sim.files[path] = data

    def max_descriptors(self) -> int:
        """See World: no bound."""
        return 1 << 20

    def uptime_us(self) -> int:
        """See World."""
        return self.sim.now_us()

    def database(self, path: str) -> Database:
        """See World. There is none: programs here share a store over the network."""
        raise OSError(95, "Operation not supported", path)

    def _lives(self) -> None:
        if not self.alive:
            raise Cancelled

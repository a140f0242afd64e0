"""Deterministic simulation: all programs of a fleet in one process, with a seeded clock, network and faults.

No real time passes: the clock advances directly to the next timer. A `Simulation` owns the scheduler, the reference
clock, the network and the files. Each program runs in its own `VirtualWorld`, whose clock can be offset from the
reference clock and can step. A program can be stalled (its tasks stop, its kernel still accepts connections and data)
and killed (nothing it does afterwards has any effect). The same seed reproduces the same run.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Literal, TypeVar

from yardspindle.runtime.descriptors import DescriptorPriority
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
from yardspindle.runtime.service import run_service
from yardspindle.runtime.virtual_network import Network, VirtualListener, VirtualMessageSocket, VirtualStream
from yardspindle.runtime.world import ConnectError, Database, Listener, MessageSocket, Stream

T = TypeVar("T")
EPOCH_US = 1_700_000_000_000_000  # start of the reference clock
FIRST_PORT = 20_000
MAX_SKEW_US = 5_000_000  # bound of the drawn clock offset of a skewed program
CONNECT_RETRY_US = 50_000  # interval at which a hanging connect is retried, like the kernel's SYN retransmission


class VirtualClock:
    """A poller that advances a virtual clock instead of waiting."""

    def __init__(self) -> None:
        """Start at EPOCH_US."""
        self._now_us = EPOCH_US

    def now_us(self) -> int:
        """Return the virtual time in microseconds."""
        return self._now_us

    def wait(self, until_us: int | None) -> None:
        """Advance the clock to a time; a time in the past has no effect."""
        if until_us is not None:
            self._now_us = max(self._now_us, until_us)

    def idle(self) -> bool:
        """Return True: there are no external events, so tasks that no timer can wake are deadlocked."""
        return True


class Simulation:
    """The state that all programs of one simulated run share."""

    def __init__(self, seed: int) -> None:
        """Create an empty simulation; all random numbers derive from the seed."""
        self.seed = seed
        self._clock = VirtualClock()
        self.now_us = self._clock.now_us
        self.scheduler = Scheduler(self._clock)
        self.scheduler.on_crash = self._crash
        self.files: dict[str, bytes] = {}
        self.on_append: Callable[[str, bytes], None] | None = None
        self.network = Network(self)
        self.programs: dict[str, VirtualWorld] = {}
        self.crashes: list[str] = []
        self._last_port = FIRST_PORT
        self._last_numbers: dict[str, int] = {}

    def run(self, name: str, function: Callable[..., T], *args: Any) -> T:
        """Run a task, and the programs beside it, until the task ends; return its result."""
        return self.scheduler.run(name, function, *args)

    def program(self, name: str, skewed: bool = False) -> VirtualWorld:
        """Create the World of one run of a program; a restarted program uses the same name again.

        `skewed`: offset its clock from the reference clock by a random amount.
        """
        number = self.next_number(f"program {name}")
        self.programs[name] = VirtualWorld(self, name, number)
        if skewed:
            self.programs[name].step(self.random(f"clock of {name} {number}").randrange(MAX_SKEW_US))
        return self.programs[name]

    def random(self, name: str) -> random.Random:
        """Return a seeded random generator; each name has an independent sequence."""
        return random.Random(f"{self.seed} {name}")

    def next_number(self, kind: str) -> int:
        """Return the next number, from 1, of a separate sequence for each kind."""
        self._last_numbers[kind] = self._last_numbers.get(kind, 0) + 1
        return self._last_numbers[kind]

    def next_port(self) -> int:
        """Return an unused port."""
        self._last_port += 1
        return self._last_port

    def _crash(self, task: Task, error: BaseException) -> None:
        world = next((world for world in self.programs.values() if world.gate is task.gate), None)
        if task.gate is None or (world is not None and world.alive):  # errors after the kill are ignored
            name = world.name if world is not None else "simulation"  # a task of no program
            self.crashes.append(f"{name}: task {task.name}: {type(error).__name__}: {error}")


class VirtualWorld:
    """Implements World, the interface to clock, sockets, files and randomness, for one run of one program.

    It also injects faults into the program."""

    def __init__(self, sim: Simulation, name: str, number: int = 1) -> None:
        """Create the World of a program; called by `Simulation.program`."""
        self.sim, self.name, self._number = sim, name, number
        self.scheduler = sim.scheduler
        self.stop = Signal(sim.scheduler)
        self.free_descriptor: Callable[[bool], bool] = lambda essential: False
        self.descriptor_priority = DescriptorPriority()
        self.gate = Gate()
        self.alive = True
        self._clock_offset_us = 0  # relative to the reference clock
        self._last_us = 0
        self._deferred: list[Callable[[], None]] = []  # callbacks that became due while the program was stalled

    # --- Fault injection

    def kill(self) -> None:
        """Kill the program: its sockets are reset, and anything its tasks still do has no effect."""
        if not self.alive:
            return
        self.alive = False
        self.sim.network.close_all(self)
        self.resume()  # suspended tasks must run once more, to be cancelled
        for task in [task for task in self.scheduler.tasks if task.gate is self.gate]:
            self.scheduler.interrupt(task, Cancelled())

    def stall(self) -> None:
        """Suspend all its tasks until `resume`; its kernel still accepts connections and data."""
        self.gate.shut = True

    def resume(self) -> None:
        """Resume its tasks and run the callbacks that became due meanwhile."""
        self.scheduler.open_gate(self.gate)
        late, self._deferred = self._deferred, []
        for callback in late:
            callback()

    def step(self, by_us: int) -> None:
        """Step its clock; after a step back, `now_us` stays constant until the clock has caught up."""
        self._clock_offset_us += by_us

    @property
    def tasks(self) -> list[Task]:
        """The tasks of the program."""
        return [task for task in self.scheduler.tasks if task.gate is self.gate]

    # --- World

    def now_us(self) -> int:
        """The program's time in microseconds since the epoch (World)."""
        now = self.sim.now_us() + self._clock_offset_us
        if now > self._last_us:
            self._last_us = now
        return self._last_us

    def sleep_until(self, at_us: int) -> None:
        """Park the current task until the given time (World)."""
        self._check_alive()
        self.scheduler.sleep_until(at_us - self._clock_offset_us)

    def deadline(self, at_us: int) -> Deadline:
        """A context manager that limits the time of its block (World)."""
        return self.scheduler.deadline(at_us - self._clock_offset_us)

    def spawn(self, name: str, function: Callable[..., Any], *args: Any) -> Task:
        """Start a task that runs `function(*args)` (World)."""
        self._check_alive()
        task = self.scheduler.spawn(name, function, *args)
        task.gate = self.gate
        return task

    def spawn_service(self, name: str, function: Callable[..., Any], *args: Any) -> Task:
        """Start a task that has to go on, after an error too (World)."""
        return self.spawn(name, run_service, self.scheduler, function, args)

    def current(self) -> Task:
        """The running task (World)."""
        return self.scheduler.current

    def call_at(self, at_us: int, callback: Callable[[], None]) -> Callable[[], None]:
        """Schedule a callback; returns a function that cancels it (World)."""
        due_us = at_us - self._clock_offset_us
        return self.scheduler.timers.set(due_us, lambda: self._run_timer(callback)).cancel

    def _run_timer(self, callback: Callable[[], None]) -> None:
        """Call a timer's callback, or defer it until a stalled program goes on."""
        if self.gate.shut:
            self._deferred.append(lambda: self._run_timer(callback))
        elif self.alive:
            callback()

    def channel(self, capacity: int) -> Channel[Any]:
        """Create a bounded queue between tasks (World)."""
        return self.scheduler.channel(capacity)

    def signal(self) -> Signal:
        """Create a flag that tasks can wait for (World)."""
        return Signal(self.scheduler)

    def listen(self, host: str, port: int, backlog: int = 512) -> Listener:
        """Listen on an address; port 0: any free port (World)."""
        self._check_alive()
        listeners = self.sim.network.listeners
        port = port or self.sim.next_port()
        if (host, port) in listeners:
            raise OSError(98, "Address already in use")
        listeners[(host, port)] = VirtualListener(self, host, port, backlog)
        return listeners[(host, port)]

    def connect(self, host: str, port: int, deadline_us: int, essential: bool = False) -> Stream:
        """Connect to an address, waiting until the deadline at most (World)."""
        self._check_alive()
        limit = self.deadline(deadline_us)
        try:
            with limit:
                return self._connect(host, port)
        except DeadlineExceeded:
            if not limit.passed:  # an enclosing deadline of the caller passed: no evidence of a fault of the host
                raise
            raise ConnectError("no connection in time") from None

    def _connect(self, host: str, port: int) -> Stream:
        network = self.sim.network
        while True:
            listener = network.listeners.get((host, port))
            remote_name = listener.world.name if listener is not None else ""
            outbound, inbound = network.path(self.name, remote_name), network.path(remote_name, self.name)
            if not (outbound.cuts or inbound.cuts or outbound.hanging):
                break
            self.scheduler.sleep_until(self.sim.now_us() + CONNECT_RETRY_US)
        self.scheduler.sleep_until(self.sim.now_us() + network.latency_us(outbound) + network.latency_us(inbound))
        listener = network.listeners.get((host, port))  # it may have been closed meanwhile
        if listener is None or outbound.refused:
            raise ConnectError("Connection refused")
        local, remote = VirtualStream(self, host, inbound), VirtualStream(listener.world, "127.0.0.1", outbound)
        local.remote, remote.remote = remote, local
        if not listener.queue.try_put(remote):
            raise ConnectError("Connection refused")
        return local

    def message_socket(
        self, kind: Literal["sub", "pub", "dealer", "router"], host: str, port: int, topic: bytes = b""
    ) -> MessageSocket:
        """Create a ZeroMQ socket that is connected or bound (World)."""
        self._check_alive()
        return VirtualMessageSocket(self, kind, (host, port or self.sim.next_port()), topic)

    def random(self, name: str) -> random.Random:
        """A seeded random generator; each name has an independent sequence (World)."""
        return self.sim.random(f"{self.name} {self._number} {name}")

    def read_file(self, path: str, max_bytes: int = -1) -> bytes:
        """Read a file, or its first `max_bytes` (World)."""
        if path not in self.sim.files:
            raise FileNotFoundError(2, "No such file or directory", path)
        return self.sim.files[path][: None if max_bytes < 0 else max_bytes]

    def append_file(self, path: str, data: bytes) -> None:
        """Append to a file with a single write (World)."""
        if not self.alive:
            return
        self.sim.files[path] = self.sim.files.get(path, b"") + data
        if self.sim.on_append is not None:
            self.sim.on_append(path, data)

    def replace_file(self, path: str, data: bytes) -> None:
        """Replace a file atomically (World)."""
        if self.alive:
            self.sim.files[path] = data

    def max_descriptors(self) -> int:
        """The limit of open file descriptors (World), which the simulation does not enforce."""
        return 1 << 20

    def uptime_us(self) -> int:
        """Microseconds since the machine booted (World): all machines booted at the reference clock's zero."""
        return self.sim.now_us()

    def peak_memory_bytes(self) -> int:
        """Not known (World): all programs share a process."""
        return 0

    def take_longest_turn_us(self) -> int:
        """Zero (World): simulated time stands still while tasks run."""
        return 0

    def database(self, path: str) -> Database:
        """Not supported (World): simulated programs share a key-value store over the network instead."""
        raise OSError(95, "Operation not supported", path)

    def _check_alive(self) -> None:
        if not self.alive:
            raise Cancelled

"""The network of the virtual World: byte streams, listeners and message sockets between programs in one process.

Each direction between two programs is a `Way` with its own latency, jitter and bandwidth, and it can be cut: what is
sent on a cut way waits, as TCP keeps sending, and arrives in order once the way is whole again. Windows fill when the
far side does not read; reads and writes are at times partial. Message sockets lose, double and reorder as told.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from yardspindle.runtime.scheduler import Channel, Closed, Scheduler, Task
from yardspindle.runtime.world import Stream, StreamError

WINDOW_BYTES = 65_536  # sent and not read before a writer waits
LATENCY_US = (100, 2_000)  # drawn for each piece, unless the way says otherwise
PARTIAL = 0.05  # of reads and writes, those that take only a part
REORDERED_US = 200_000  # how much later than its time a message that lost its place comes


class Ground(Protocol):
    """What the network needs of the run that it belongs to."""

    scheduler: Scheduler

    @property
    def network(self) -> Network:
        """The one network of the run."""

    def now_us(self) -> int:
        """The true clock."""

    def random(self, name: str) -> Random:
        """A random stream of its own for each name."""

    def next_number(self, kind: str) -> int:
        """A running number of its kind."""


class Program(Protocol):
    """What the network needs of a program that it serves."""

    name: str
    scheduler: Scheduler

    @property
    def sim(self) -> Ground:
        """The run."""


@dataclass(slots=True)
class NetworkPath:
    """What meets the bytes that one program sends another."""

    latency_us: tuple[int, int] = LATENCY_US
    bytes_per_s: float = 0.0  # 0: no bound
    cuts: int = 0  # faults may overlap: whole again when the last is over
    refused: int = 0  # new connections are refused while above 0
    hanging: int = 0  # new connections hang while above 0
    loss_rate: float = 0.0  # part of messages (not of bytes: streams lose nothing)
    duplicate_rate: float = 0.0
    reorder_rate: float = 0.0
    held: list[Callable[[], None]] = field(default_factory=list)


class Network:
    """All ways, all listeners, all message sockets."""

    def __init__(self, sim: Ground) -> None:
        """Every way starts whole."""
        self.sim = sim
        self.rng = sim.random("network")
        self.paths: dict[tuple[str, str], NetworkPath] = {}
        self.listeners: dict[tuple[str, int], VirtualListener] = {}
        self.message_sockets: list[VirtualMessages] = []
        self.streams: dict[VirtualStream, None] = {}
        self.segments = 0

    def path(self, near: str, far: str) -> NetworkPath:
        """From one program to another."""
        found = self.paths.get((near, far))
        if found is None:
            found = self.paths[(near, far)] = NetworkPath()
        return found

    def latency_us(self, way: NetworkPath) -> int:
        """Drawn for one piece."""
        low, high = way.latency_us
        return low + int(self.rng.random() * (high - low))

    def cut(self, near: str, far: str) -> None:
        """Nothing sent from `near` arrives at `far` from now on."""
        self.path(near, far).cuts += 1

    def restore(self, near: str, far: str) -> None:
        """Take one cut back; what waited arrives, in order."""
        way = self.path(near, far)
        way.cuts -= 1
        if not way.cuts:
            held, way.held = way.held, []
            for arrive in held:
                arrive()

    def close_all(self, world: Program) -> None:
        """A program was killed: its kernel resets what it had open."""
        for listener in [row for row in self.listeners.values() if row.world is world]:
            listener.close()
        for stream in [row for row in self.streams if row.world is world]:
            stream.abort()
        for socket in [row for row in self.message_sockets if row.world is world]:
            socket.close()


class Waiting:
    """One task that waits for something to change."""

    __slots__ = ("_scheduler", "_task")

    def __init__(self, scheduler: Scheduler) -> None:
        """Nobody waits."""
        self._scheduler = scheduler
        self._task: Task | None = None

    def wait(self) -> None:
        """Until `wake`."""
        assert self._task is None, "two tasks wait for the same end of one stream"
        self._task = self._scheduler.current
        try:
            self._scheduler.park()
        finally:
            self._task = None

    def wake(self) -> None:
        """No effect when nobody waits."""
        if self._task is not None:
            self._scheduler.wake(self._task)


class VirtualStream:
    """One end of a connection."""

    def __init__(self, world: Program, peer: str, incoming: NetworkPath) -> None:
        """Made in pairs by `VirtualWorld.connect`; `incoming` is the way to this end."""
        self.peer = peer
        self.world = world
        self.network = world.sim.network
        self.remote: VirtualStream | None = None
        self._incoming = incoming
        self._inbox = bytearray()
        self._on_way = 0  # bytes to this end that were sent and not read
        self._arrives_us = 0  # when the last piece to this end arrives: pieces keep their order
        self._held = 0  # pieces to this end that a cut holds up
        self._ended = self._reset = self._closed = self._finished = False
        self._readable = Waiting(world.scheduler)
        self._writable = Waiting(world.scheduler)
        self.network.streams[self] = None

    def read(self, limit: int = 65_536) -> bytes:
        """See Stream."""
        while True:
            if self._closed or self._reset:
                raise StreamError("closed here" if self._closed else "Connection reset by peer")
            if self._inbox:
                if len(self._inbox) > 1 and self.network.rng.random() < PARTIAL:
                    limit = min(limit, self.network.rng.randrange(1, len(self._inbox)))
                data = bytes(self._inbox[:limit])
                del self._inbox[:limit]
                self._on_way -= len(data)
                if self.remote is not None:
                    self.remote._writable.wake()
                return data
            if self._ended:
                return b""
            self._readable.wait()

    def write(self, data: bytes) -> None:
        """See Stream."""
        rest = memoryview(data)
        while rest:
            far = self.remote
            if self._closed or self._reset or self._finished or far is None:
                raise StreamError("Connection reset by peer" if self._reset else "closed here")
            room = WINDOW_BYTES - far._on_way
            if room <= 0:
                self._writable.wait()
                self.world.scheduler.raise_interrupt()  # whoever called the writer off takes the rest for never written
                continue
            if len(rest) > 1 and self.network.rng.random() < PARTIAL:
                room = min(room, self.network.rng.randrange(1, len(rest)))
            piece = bytes(rest[:room])
            rest = rest[room:]
            far._come(piece)

    def is_idle(self) -> bool:
        """See Stream."""
        return not (self._closed or self._reset or self._ended or self._inbox)

    def wait_input(self) -> None:
        """See Stream."""
        while self.is_idle():
            self._readable.wait()

    def send_eof(self) -> None:
        """See Stream."""
        if not (self._closed or self._finished or self.remote is None):
            self._finished = True
            self.remote._later(0, self.remote._end)

    def close(self) -> None:
        """See Stream."""
        self._leave(lambda far: far._end())

    def abort(self) -> None:
        """See Stream."""
        self._leave(lambda far: far.receive_reset())

    @property
    def open(self) -> bool:
        """Whether this end is neither closed nor reset."""
        return not (self._closed or self._reset)

    def _leave(self, tell: Callable[[VirtualStream], None]) -> None:
        if self._closed:
            return
        self._closed = True
        self.network.streams.pop(self, None)
        self._readable.wake()
        self._writable.wake()
        far = self.remote
        if far is not None:
            unread = bool(self._inbox)
            far._later(0, lambda: far.receive_reset() if unread else tell(far))  # as a kernel does when it drops data

    def _later(self, size: int, happen: Callable[[], None]) -> None:
        """Let something arrive at this end, after all that was sent before it."""
        way = self._incoming
        if way.cuts:
            self._held += 1

            def arrive() -> None:
                self._held -= 1
                self._send_off(way, size, happen)

            way.held.append(arrive)
        else:
            self._send_off(way, size, happen)

    def _send_off(self, way: NetworkPath, size: int, happen: Callable[[], None]) -> None:
        sim = self.world.sim
        self.network.segments += 1
        due_us = max(self._arrives_us, sim.now_us() + self.network.latency_us(way))
        if way.bytes_per_s:
            due_us += int(size / way.bytes_per_s * 1e6)
        self._arrives_us = due_us
        sim.scheduler.timers.set(due_us, happen)

    def _come(self, data: bytes) -> None:
        self._on_way += len(data)
        self._later(len(data), lambda: self._arrive(data))

    def _arrive(self, data: bytes) -> None:
        if self._closed:
            if self.remote is not None:
                self.remote._later(0, self.remote.receive_reset)  # nobody reads here any more
            return
        self._inbox += data
        self._readable.wake()

    def _end(self) -> None:
        self._ended = True
        self._readable.wake()

    def receive_reset(self) -> None:
        """Break the stream as a reset from the peer does."""
        self._reset = True
        self._readable.wake()
        self._writable.wake()


class VirtualListener:
    """A listening socket."""

    def __init__(self, world: Program, host: str, port: int, backlog: int) -> None:
        """Made by `VirtualWorld.listen`."""
        self.host, self.port = host, port
        self.world = world
        self.queue: Channel[VirtualStream] = Channel(world.scheduler, backlog)

    def accept(self) -> Stream:
        """See Listener."""
        return self.queue.get()

    def stop(self, admit: Callable[[Stream], None]) -> None:
        """See Listener."""
        for stream in self.queue.drain():
            admit(stream)
        self.close()

    def close(self) -> None:
        """See Listener."""
        self.world.sim.network.listeners.pop((self.host, self.port), None)
        for stream in self.queue.drain():
            stream.abort()
        self.queue.close()


class VirtualMessages:
    """A message socket: what is neither lost nor out of its place keeps its order for each pair."""

    def __init__(self, world: Program, kind: str, at: tuple[str, int], topic: bytes) -> None:
        """Made by `VirtualWorld.message_socket`."""
        self.world, self._kind, self._at, self._topic = world, kind, at, topic
        self.network = world.sim.network
        self.port = at[1] if kind in ("pub", "router") else 0
        self.name = f"{kind}{world.sim.next_number('message socket')}".encode()
        self._inbox: deque[list[bytes]] = deque()
        self._readable = Waiting(world.scheduler)
        self._arrives_us = 0
        self._closed = False
        self.network.message_sockets.append(self)

    def receive(self) -> list[bytes]:
        """See MessageSocket."""
        while not self._inbox:
            if self._closed:
                raise Closed
            self._readable.wait()
        return self._inbox.popleft()

    def send(self, parts: list[bytes]) -> bool:
        """See MessageSocket."""
        peers = [other for other in self.network.message_sockets if other._at == self._at and other is not self]
        match self._kind:
            case "pub":
                for other in peers:
                    if other._kind == "sub" and parts[0].startswith(other._topic):
                        other._deliver(self, parts)
            case "dealer":
                for other in peers:
                    if other._kind == "router":
                        other._deliver(self, [self.name, *parts])
            case "router":
                for other in peers:
                    if other.name == parts[0]:
                        other._deliver(self, parts[1:])
            case _:
                return False
        return True

    def close(self) -> None:
        """See MessageSocket."""
        self._closed = True
        if self in self.network.message_sockets:
            self.network.message_sockets.remove(self)
        self._readable.wake()

    def _deliver(self, sender: VirtualMessages, parts: list[bytes]) -> None:
        network, sim = self.network, self.world.sim
        way = network.path(sender.world.name, self.world.name)
        if way.cuts or (way.loss_rate and network.rng.random() < way.loss_rate):
            return

        def arrive() -> None:
            if not self._closed:
                self._inbox.append(parts)
                self._readable.wake()

        due_us = sim.now_us() + network.latency_us(way)
        if way.reorder_rate and network.rng.random() < way.reorder_rate:
            sim.scheduler.timers.set(due_us + int(network.rng.random() * REORDERED_US), arrive)
            return
        self._arrives_us = max(self._arrives_us, due_us)
        sim.scheduler.timers.set(self._arrives_us, arrive)
        if way.duplicate_rate and network.rng.random() < way.duplicate_rate:
            sim.scheduler.timers.set(self._arrives_us + int(network.rng.random() * REORDERED_US), arrive)

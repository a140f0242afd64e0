"""Simulated network: byte streams, listeners and message sockets (ZeroMQ) between programs in one process.

Each direction between two programs is a `NetworkPath` with its own latency, jitter and bandwidth. A path can be cut:
segments of streams are then held, as TCP would retransmit them, and arrive in order once the path is restored; messages
are lost. A stream's window fills when the peer does not read, and a random part of reads and writes is partial. Message
sockets lose, duplicate and reorder messages at the rates of the path.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from yardspindle.runtime.scheduler import Channel, Closed, Scheduler, Task
from yardspindle.runtime.world import Stream, StreamError

WINDOW_BYTES = 65_536  # unread bytes at the peer above which a writer waits
LATENCY_US = (100, 2_000)  # default range from which the latency of each segment is drawn
PARTIAL_IO_PROBABILITY = 0.05  # that a read or write of several bytes transfers only a part
MAX_EXTRA_DELAY_US = 200_000  # bound of the extra delay of reordered and duplicated messages


class SimulationContext(Protocol):
    """What the network needs from the simulation that it belongs to."""

    scheduler: Scheduler

    @property
    def network(self) -> Network:
        """The network of the simulation."""

    def now_us(self) -> int:
        """Return the time of the reference clock in microseconds."""

    def random(self, name: str) -> Random:
        """Return a seeded random generator; each name has an independent sequence."""

    def next_number(self, kind: str) -> int:
        """Return the next number of a separate sequence for each kind."""


class Program(Protocol):
    """What the network needs from a program that uses it: its `VirtualWorld`, called `world` below."""

    name: str
    scheduler: Scheduler

    @property
    def sim(self) -> SimulationContext:
        """The simulation."""


@dataclass(slots=True)
class NetworkPath:
    """Properties and injected faults of one direction between two programs."""

    latency_us: tuple[int, int] = LATENCY_US
    bytes_per_s: float = 0.0  # 0: unlimited
    cuts: int = 0  # number of active cuts, as faults may overlap; the path works while it is 0
    refused: int = 0  # new connections are refused while above 0
    hanging: int = 0  # new connections hang while above 0
    loss_rate: float = 0.0  # fraction of messages; streams lose nothing
    duplicate_rate: float = 0.0
    reorder_rate: float = 0.0
    held: list[Callable[[], None]] = field(default_factory=list)  # deliveries deferred by a cut


class Network:
    """All paths, listeners, streams and message sockets of a simulation."""

    def __init__(self, sim: SimulationContext) -> None:
        """Create a network without faults."""
        self.sim = sim
        self.rng = sim.random("network")
        self.paths: dict[tuple[str, str], NetworkPath] = {}
        self.listeners: dict[tuple[str, int], VirtualListener] = {}
        self.message_sockets: list[VirtualMessageSocket] = []
        self.streams: dict[VirtualStream, None] = {}
        self.segments = 0

    def path(self, sender: str, receiver: str) -> NetworkPath:
        """Return the path from one program to another, creating it on first use."""
        path = self.paths.get((sender, receiver))
        if path is None:
            path = self.paths[(sender, receiver)] = NetworkPath()
        return path

    def latency_us(self, path: NetworkPath) -> int:
        """Draw the latency of one segment or message."""
        low, high = path.latency_us
        return low + int(self.rng.random() * (high - low))

    def cut(self, sender: str, receiver: str) -> None:
        """Cut the path: from now on nothing from `sender` arrives at `receiver`."""
        self.path(sender, receiver).cuts += 1

    def restore(self, sender: str, receiver: str) -> None:
        """End one cut; when it was the last, the held segments are delivered in order."""
        path = self.path(sender, receiver)
        path.cuts -= 1
        if not path.cuts:
            held, path.held = path.held, []
            for arrive in held:
                arrive()

    def close_all(self, world: Program) -> None:
        """Close the sockets of a killed program and reset its connections, as its kernel would."""
        for listener in [listener for listener in self.listeners.values() if listener.world is world]:
            listener.close()
        for stream in [stream for stream in self.streams if stream.world is world]:
            stream.abort()
        for socket in [socket for socket in self.message_sockets if socket.world is world]:
            socket.close()


class Waiter:
    """Parks at most one task until it is woken."""

    __slots__ = ("_scheduler", "_task")

    def __init__(self, scheduler: Scheduler) -> None:
        """Start without a waiting task."""
        self._scheduler = scheduler
        self._task: Task | None = None

    def wait(self) -> None:
        """Park the running task until `wake`."""
        assert self._task is None, "two tasks wait for the same direction of one stream"
        self._task = self._scheduler.current
        try:
            self._scheduler.park()
        finally:
            self._task = None

    def wake(self) -> None:
        """Wake the waiting task, if any."""
        if self._task is not None:
            self._scheduler.wake(self._task)


class VirtualStream:
    """Implements Stream: one end of a simulated connection."""

    def __init__(self, world: Program, peer: str, inbound_path: NetworkPath) -> None:
        """Create one end; `VirtualWorld.connect` creates both. `inbound_path` is the path from the peer to this end."""
        self.peer = peer
        self.world = world
        self.network = world.sim.network
        self.remote: VirtualStream | None = None
        self.sent_bytes = 0
        self._inbound_path = inbound_path
        self._inbox = bytearray()
        self._unread_bytes = 0  # sent by the peer and not yet read here
        self._last_arrival_us = 0  # arrival time of the last segment sent to this end; keeps segments in order
        self._held_segments = 0  # segments to this end held by a cut
        self._eof_received = self._eof_sent = False
        self._closed = False  # at this end
        self._reset = False  # by the peer
        self._readable = Waiter(world.scheduler)
        self._writable = Waiter(world.scheduler)
        self.network.streams[self] = None

    def read(self, limit: int = 16_384) -> bytes:
        """Wait for data; empty bytes at the end of the stream (Stream)."""
        while True:
            if self._closed or self._reset:
                raise StreamError("closed here" if self._closed else "Connection reset by peer")
            if self._inbox:
                if len(self._inbox) > 1 and self.network.rng.random() < PARTIAL_IO_PROBABILITY:
                    limit = min(limit, self.network.rng.randrange(1, len(self._inbox)))
                data = bytes(self._inbox[:limit])
                del self._inbox[:limit]
                self._unread_bytes -= len(data)
                if self.remote is not None:
                    self.remote._writable.wake()
                return data
            if self._eof_received:
                return b""
            self._readable.wait()

    def write(self, data: bytes) -> None:
        """Write all data, waiting while the peer does not read (Stream)."""
        rest = memoryview(data)
        while rest:
            remote = self.remote
            if self._closed or self._reset or self._eof_sent or remote is None:
                raise StreamError("Connection reset by peer" if self._reset else "closed here")
            room = WINDOW_BYTES - remote._unread_bytes
            if room <= 0:
                self._writable.wait()
                self.world.scheduler.raise_interrupt()  # whoever cancelled this task assumes that the rest is not sent
                continue
            if len(rest) > 1 and self.network.rng.random() < PARTIAL_IO_PROBABILITY:
                room = min(room, self.network.rng.randrange(1, len(rest)))
            segment = bytes(rest[:room])
            rest = rest[room:]
            self.sent_bytes += len(segment)
            remote._enqueue(segment)

    def is_idle(self) -> bool:
        """Whether there is no unread input and the peer has not closed (Stream)."""
        return not (self._closed or self._reset or self._eof_received or self._inbox)

    def wait_input(self) -> None:
        """Wait until the peer sends data or closes, without reading it (Stream)."""
        while self.is_idle():
            self._readable.wait()

    def send_eof(self) -> None:
        """Close the sending side only (Stream)."""
        if not (self._closed or self._eof_sent or self.remote is None):
            self._eof_sent = True
            self.remote._schedule(0, self.remote._receive_eof)

    def close(self) -> None:
        """Close the connection; with a reset if received bytes were not read (Stream)."""
        self._disconnect(lambda remote: remote._receive_eof())

    def abort(self) -> None:
        """Close with a reset, discarding unsent data (Stream)."""
        self._disconnect(lambda remote: remote.receive_reset())

    @property
    def open(self) -> bool:
        """Whether this end is neither closed nor reset."""
        return not (self._closed or self._reset)

    def _disconnect(self, notify: Callable[[VirtualStream], None]) -> None:
        if self._closed:
            return
        self._closed = True
        self.network.streams.pop(self, None)
        self._readable.wake()
        self._writable.wake()
        remote = self.remote
        if remote is not None:
            unread = bool(self._inbox)
            # Discarding unread data resets the connection, as in a kernel.
            remote._schedule(0, lambda: remote.receive_reset() if unread else notify(remote))

    def _schedule(self, size: int, callback: Callable[[], None]) -> None:
        """Run a callback when a segment of `size` bytes arrives at this end, after all segments sent before it."""
        path = self._inbound_path
        if path.cuts:
            self._held_segments += 1

            def arrive() -> None:
                self._held_segments -= 1
                self._transmit(path, size, callback)

            path.held.append(arrive)
        else:
            self._transmit(path, size, callback)

    def _transmit(self, path: NetworkPath, size: int, callback: Callable[[], None]) -> None:
        sim = self.world.sim
        self.network.segments += 1
        due_us = max(self._last_arrival_us, sim.now_us() + self.network.latency_us(path))
        if path.bytes_per_s:
            due_us += int(size / path.bytes_per_s * 1e6)
        self._last_arrival_us = due_us
        sim.scheduler.timers.set(due_us, callback)

    def _enqueue(self, data: bytes) -> None:
        self._unread_bytes += len(data)
        self._schedule(len(data), lambda: self._receive(data))

    def _receive(self, data: bytes) -> None:
        if self._closed:
            if self.remote is not None:
                self.remote._schedule(0, self.remote.receive_reset)  # this end is closed: reset the peer
            return
        self._inbox += data
        self._readable.wake()

    def _receive_eof(self) -> None:
        self._eof_received = True
        self._readable.wake()

    def receive_reset(self) -> None:
        """Reset this end, as when the peer sends a reset."""
        self._reset = True
        self._readable.wake()
        self._writable.wake()


class VirtualListener:
    """Implements Listener in the simulated network."""

    def __init__(self, world: Program, host: str, port: int, backlog: int) -> None:
        """Create a listener; called by `VirtualWorld.listen`."""
        self.host, self.port = host, port
        self.world = world
        self.queue: Channel[VirtualStream] = Channel(world.scheduler, backlog)

    def accept(self) -> Stream:
        """Wait for a connection and return it (Listener)."""
        return self.queue.get()

    def stop(self, admit: Callable[[Stream], None]) -> bool:
        """Stop listening and pass connections that were not accepted yet to `admit` (Listener)."""
        for stream in self.queue.drain():
            admit(stream)
        self.close()
        return True

    def close(self) -> None:
        """Stop listening and reset connections that were not accepted yet (Listener)."""
        self.world.sim.network.listeners.pop((self.host, self.port), None)
        for stream in self.queue.drain():
            stream.abort()
        self.queue.close()


class VirtualMessageSocket:
    """Implements MessageSocket; messages that are not chosen for reordering arrive in order."""

    def __init__(self, world: Program, kind: str, address: tuple[str, int], topic: bytes) -> None:
        """Create a message socket; called by `VirtualWorld.message_socket`."""
        self.world, self._kind, self._address, self._topic = world, kind, address, topic
        self.network = world.sim.network
        self.port = address[1] if kind in ("pub", "router") else 0
        self.name = f"{kind}{world.sim.next_number('message socket')}".encode()
        self._inbox: deque[list[bytes]] = deque()
        self._readable = Waiter(world.scheduler)
        self._last_arrival_us = 0
        self._closed = False
        self.network.message_sockets.append(self)

    def receive(self) -> list[bytes]:
        """Wait for the next message and return its parts (MessageSocket)."""
        while not self._inbox:
            if self._closed:
                raise Closed
            self._readable.wait()
        return self._inbox.popleft()

    def send(self, parts: list[bytes]) -> bool:
        """Send without waiting; False if the message was dropped (MessageSocket)."""
        peers = [
            other for other in self.network.message_sockets if other._address == self._address and other is not self
        ]
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
        """Close, discarding unsent messages (MessageSocket)."""
        self._closed = True
        if self in self.network.message_sockets:
            self.network.message_sockets.remove(self)
        self._readable.wake()

    def _deliver(self, sender: VirtualMessageSocket, parts: list[bytes]) -> None:
        network, sim = self.network, self.world.sim
        path = network.path(sender.world.name, self.world.name)
        if path.cuts or (path.loss_rate and network.rng.random() < path.loss_rate):
            return

        def arrive() -> None:
            if not self._closed:
                self._inbox.append(parts)
                self._readable.wake()

        due_us = sim.now_us() + network.latency_us(path)
        if path.reorder_rate and network.rng.random() < path.reorder_rate:
            sim.scheduler.timers.set(due_us + int(network.rng.random() * MAX_EXTRA_DELAY_US), arrive)
            return
        self._last_arrival_us = max(self._last_arrival_us, due_us)
        sim.scheduler.timers.set(self._last_arrival_us, arrive)
        if path.duplicate_rate and network.rng.random() < path.duplicate_rate:
            sim.scheduler.timers.set(self._last_arrival_us + int(network.rng.random() * MAX_EXTRA_DELAY_US), arrive)

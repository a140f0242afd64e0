"""A World of its own making: all programs of a fleet in one process, on a seeded clock and an in-memory network.

Nothing here waits: the clock jumps to the next due thing. Bytes take a drawn time to arrive, in order for each
direction, through a window that fills when the far side does not read. The same seed plays the same run. Faults of
network, files and processes are to come; so far connections are refused, closed and reset as on a real machine.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Any, Literal, TypeVar

from yardspindle.runtime.scheduler import Channel, Closed, Deadline, DeadlineExceeded, Scheduler, Signal, Task
from yardspindle.runtime.world import ConnectError, Listener, MessageSocket, Stream, StreamError

T = TypeVar("T")
EPOCH_US = 1_700_000_000_000_000  # where every virtual clock starts
WINDOW_BYTES = 65_536  # sent and not read before a writer waits
LATENCY_US = (100, 2_000)  # drawn for each piece
FIRST_PORT = 20_000


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


class _Waiting:
    """One task that waits for something to change."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._task: Task | None = None

    def wait(self) -> None:
        assert self._task is None, "two tasks wait for the same end of one stream"
        self._task = self._scheduler.current
        try:
            self._scheduler.park()
        finally:
            self._task = None

    def wake(self) -> None:
        if self._task is not None:
            self._scheduler.wake(self._task)


class VirtualStream:
    """One end of a connection."""

    def __init__(self, world: VirtualWorld, peer: str) -> None:
        """Made in pairs by `VirtualWorld`."""
        self.peer = peer
        self._world = world
        self.far: VirtualStream | None = None
        self._inbox = bytearray()
        self._on_way = 0  # bytes to this end that were sent and not read
        self._arrives_us = 0  # when the last piece to this end arrives: pieces keep their order
        self._ended = self._reset = self._closed = False
        self._readable = _Waiting(world.scheduler)
        self._writable = _Waiting(world.scheduler)

    def read(self, limit: int = 65_536) -> bytes:
        """See Stream."""
        while True:
            if self._closed or self._reset:
                raise StreamError("closed here" if self._closed else "Connection reset by peer")
            if self._inbox:
                data = bytes(self._inbox[:limit])
                del self._inbox[:limit]
                self._on_way -= len(data)
                if self.far is not None:
                    self.far._writable.wake()
                return data
            if self._ended:
                return b""
            self._readable.wait()

    def write(self, data: bytes) -> None:
        """See Stream."""
        rest = memoryview(data)
        while rest:
            far = self.far
            if self._closed or self._reset or far is None:
                raise StreamError("closed here" if self._closed else "Connection reset by peer")
            room = WINDOW_BYTES - far._on_way
            if room <= 0:
                self._writable.wait()
                continue
            piece = bytes(rest[:room])
            rest = rest[room:]
            far._come(piece)

    def quiet(self) -> bool:
        """See Stream."""
        return not (self._closed or self._reset or self._ended or self._inbox)

    def wait_input(self) -> None:
        """See Stream."""
        while self.quiet():
            self._readable.wait()

    def close(self) -> None:
        """See Stream."""
        self._leave(lambda far: far._end())

    def abort(self) -> None:
        """See Stream."""
        self._leave(lambda far: far._break())

    def _leave(self, tell: Callable[[VirtualStream], None]) -> None:
        if self._closed:
            return
        self._closed = True
        self._readable.wake()
        self._writable.wake()
        far = self.far
        if far is not None:
            unread = bool(self._inbox)
            far._later(lambda: far._break() if unread else tell(far))  # as a kernel does when it drops data

    def _later(self, happen: Callable[[], None]) -> None:
        world = self._world
        self._arrives_us = max(self._arrives_us, world.now_us() + world.latency_us())
        world.call_at(self._arrives_us, happen)

    def _come(self, data: bytes) -> None:
        self._on_way += len(data)
        self._later(lambda: self._arrive(data))

    def _arrive(self, data: bytes) -> None:
        if self._closed:
            if self.far is not None:
                self.far._later(self.far._break)  # nobody reads here any more
            return
        self._inbox += data
        self._readable.wake()

    def _end(self) -> None:
        self._ended = True
        self._readable.wake()

    def _break(self) -> None:
        self._reset = True
        self._readable.wake()
        self._writable.wake()


class VirtualListener:
    """A listening socket."""

    def __init__(self, world: VirtualWorld, host: str, port: int, backlog: int) -> None:
        """Made by `VirtualWorld.listen`."""
        self.host, self.port = host, port
        self._world = world
        self.queue: Channel[VirtualStream] = Channel(world.scheduler, backlog)

    def accept(self) -> Stream:
        """See Listener."""
        return self.queue.get()

    def close(self) -> None:
        """See Listener."""
        self._world.listeners.pop((self.host, self.port), None)
        for stream in self.queue.drain():
            stream.abort()
        self.queue.close()


class VirtualMessages:
    """A message socket: every message takes its time, and order is kept for each pair."""

    def __init__(self, world: VirtualWorld, kind: str, at: tuple[str, int], topic: bytes) -> None:
        """Made by `VirtualWorld.messages`."""
        self._world, self._kind, self._at, self._topic = world, kind, at, topic
        self.port = at[1] if kind in ("pub", "router") else 0
        self.name = f"{kind}{world.drawn('message socket')}".encode()
        self._inbox: deque[list[bytes]] = deque()
        self._readable = _Waiting(world.scheduler)
        self._arrives_us = 0
        self._closed = False

    def receive(self) -> list[bytes]:
        """See MessageSocket."""
        while not self._inbox:
            if self._closed:
                raise Closed
            self._readable.wait()
        return self._inbox.popleft()

    def send(self, parts: list[bytes]) -> bool:
        """See MessageSocket."""
        peers = [other for other in self._world.message_sockets if other._at == self._at and not other._closed]
        match self._kind:
            case "pub":
                for other in peers:
                    if other._kind == "sub" and parts[0].startswith(other._topic):
                        other._deliver(parts)
            case "dealer":
                for other in peers:
                    if other._kind == "router":
                        other._deliver([self.name, *parts])
            case "router":
                for other in peers:
                    if other.name == parts[0]:
                        other._deliver(parts[1:])
            case _:
                return False
        return True

    def close(self) -> None:
        """See MessageSocket."""
        self._closed = True
        if self in self._world.message_sockets:
            self._world.message_sockets.remove(self)
        self._readable.wake()

    def _deliver(self, parts: list[bytes]) -> None:
        def arrive() -> None:
            self._inbox.append(parts)
            self._readable.wake()

        self._arrives_us = max(self._arrives_us, self._world.now_us() + self._world.latency_us())
        self._world.call_at(self._arrives_us, arrive)


class VirtualWorld:
    """See World."""

    def __init__(self, seed: int) -> None:
        """Everything that is drawn comes from the seed."""
        self.seed = seed
        self._clock = JumpingClock()
        self.scheduler = Scheduler(self._clock)
        self.stop = Signal(self.scheduler)
        self.listeners: dict[tuple[str, int], VirtualListener] = {}
        self.message_sockets: list[VirtualMessages] = []
        self.files: dict[str, bytes] = {}
        self._network = self.random("network")
        self._ports = FIRST_PORT
        self._drawn: dict[str, int] = {}

    def run(self, name: str, function: Callable[..., T], *args: Any) -> T:
        """Run a program to its end."""
        return self.scheduler.run(name, function, *args)

    def latency_us(self) -> int:
        """Drawn for one piece."""
        return self._network.randint(*LATENCY_US)

    def drawn(self, kind: str) -> int:
        """A running number of its kind."""
        self._drawn[kind] = self._drawn.get(kind, 0) + 1
        return self._drawn[kind]

    def now_us(self) -> int:
        """See World."""
        return self._clock.now_us()

    def sleep_until(self, at_us: int) -> None:
        """See World."""
        self.scheduler.sleep_until(at_us)

    def deadline(self, at_us: int) -> Deadline:
        """See World."""
        return self.scheduler.deadline(at_us)

    def spawn(self, name: str, function: Callable[..., Any], *args: Any) -> Task:
        """See World."""
        return self.scheduler.spawn(name, function, *args)

    def current(self) -> Task:
        """See World."""
        return self.scheduler.current

    def call_at(self, at_us: int, callback: Callable[[], None]) -> Callable[[], None]:
        """See World."""
        return self.scheduler.timers.set(at_us, callback).cancel

    def channel(self, capacity: int) -> Channel[Any]:
        """See World."""
        return self.scheduler.channel(capacity)

    def signal(self) -> Signal:
        """See World."""
        return Signal(self.scheduler)

    def listen(self, host: str, port: int, backlog: int = 512) -> Listener:
        """See World."""
        if not port:
            self._ports += 1
            port = self._ports
        if (host, port) in self.listeners:
            raise OSError(98, "Address already in use")
        self.listeners[(host, port)] = VirtualListener(self, host, port, backlog)
        return self.listeners[(host, port)]

    def connect(self, host: str, port: int, deadline_us: int) -> Stream:
        """See World."""
        try:
            with self.deadline(deadline_us):
                self.sleep_until(self.now_us() + 2 * self.latency_us())
        except DeadlineExceeded:
            raise ConnectError("no connection in time") from None
        listener = self.listeners.get((host, port))
        near, far = VirtualStream(self, host), VirtualStream(self, "127.0.0.1")
        near.far, far.far = far, near
        if listener is None or not listener.queue.try_put(far):
            raise ConnectError("Connection refused")
        return near

    def messages(self, kind: Literal["sub", "pub", "dealer", "router"], host: str, port: int,
                 topic: bytes = b"") -> MessageSocket:
        """See World."""
        if not port:
            self._ports += 1
            port = self._ports
        socket = VirtualMessages(self, kind, (host, port), topic)
        self.message_sockets.append(socket)
        return socket

    def random(self, name: str) -> random.Random:
        """See World."""
        return random.Random(f"{self.seed} {name}")

    def read_file(self, path: str) -> bytes:
        """See World."""
        if path not in self.files:
            raise FileNotFoundError(2, "No such file or directory", path)
        return self.files[path]

    def append_file(self, path: str, data: bytes) -> None:
        """See World."""
        self.files[path] = self.files.get(path, b"") + data

"""The World (a program's interface to its environment) on a real machine: its clock, files, signals and sockets."""

from __future__ import annotations

import contextlib
import errno
import os
import random
import resource
import secrets
import signal as signals
import socket
import time
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, Literal, TypeVar

from yardspindle.runtime.descriptors import DescriptorPriority
from yardspindle.runtime.poller import READ_MASK, WRITE_MASK, PollPoller
from yardspindle.runtime.real_sockets import EXHAUSTION_ERRNOS, RealListener, RealStream
from yardspindle.runtime.scheduler import (
    Cancelled,
    Channel,
    Deadline,
    DeadlineExceeded,
    Scheduler,
    Signal,
    Task,
)
from yardspindle.runtime.service import run_service
from yardspindle.runtime.world import (
    ConnectError,
    ConnectReset,
    Database,
    DescriptorsExhausted,
    Listener,
    MessageSocket,
    Stream,
)

if TYPE_CHECKING:
    import zmq

T = TypeVar("T")
# A program that starts while the system is short of descriptors or buffers tries for so long to listen.
LISTEN_RETRY_LIMIT_US = 2_000_000
LISTEN_RETRY_PAUSE_US = 20_000


class RealWorld:
    """Implements World on the real machine, with non-blocking sockets and `select.poll`."""

    def __init__(self, seed: int | None = None) -> None:
        """Use the given seed, or one from the system's entropy source."""
        self.seed = secrets.randbits(63) if seed is None else seed
        self.poller = PollPoller()
        self.scheduler = Scheduler(self.poller)
        self.stop = Signal(self.scheduler)
        self.free_descriptor: Callable[[bool], bool] = lambda essential: False
        self.descriptor_priority = DescriptorPriority()
        self._zmq: zmq.Context[zmq.Socket[bytes]] | None = None

    def run(self, name: str, function: Callable[..., T], *args: Any) -> T:
        """Run a program's main task until it ends, and return its result."""
        try:
            return self.scheduler.run(name, function, *args)
        finally:
            if self._zmq is not None:  # left to the garbage collector, it would block forever on open sockets
                self._zmq.destroy(linger=0)
                self._zmq = None

    def now_us(self) -> int:
        """The program's time in microseconds since the epoch (World)."""
        return self.poller.now_us()

    def sleep_until(self, at_us: int) -> None:
        """Park the current task until the given time (World)."""
        self.scheduler.sleep_until(at_us)

    def deadline(self, at_us: int) -> Deadline:
        """A context manager that limits the time of its block (World)."""
        return self.scheduler.deadline(at_us)

    def spawn(self, name: str, function: Callable[..., Any], *args: Any) -> Task:
        """Start a task that runs `function(*args)` (World)."""
        return self.scheduler.spawn(name, function, *args)

    def spawn_service(self, name: str, function: Callable[..., Any], *args: Any) -> Task:
        """Start a task that has to go on, after an error too (World)."""
        return self.spawn(name, run_service, self.scheduler, function, args)

    def current(self) -> Task:
        """The running task (World)."""
        return self.scheduler.current

    def call_at(self, at_us: int, callback: Callable[[], None]) -> Callable[[], None]:
        """Schedule a callback; returns a function that cancels it (World)."""
        return self.scheduler.timers.set(at_us, callback).cancel

    def channel(self, capacity: int) -> Channel[Any]:
        """Create a bounded queue between tasks (World)."""
        return self.scheduler.channel(capacity)

    def signal(self) -> Signal:
        """Create a flag that tasks can wait for (World)."""
        return Signal(self.scheduler)

    def listen(self, host: str, port: int, backlog: int = 512) -> Listener:
        """Listen on an address; port 0: any free port (World)."""
        until_us = self.now_us() + LISTEN_RETRY_LIMIT_US
        while True:
            try:
                return self._listen(host, port, backlog)
            except OSError as error:
                if error.errno not in EXHAUSTION_ERRNOS or self.now_us() >= until_us:
                    raise
            self.sleep_until(self.now_us() + LISTEN_RETRY_PAUSE_US)

    def _listen(self, host: str, port: int, backlog: int) -> Listener:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, port))
            sock.listen(backlog)
            sock.setblocking(False)
        except OSError:
            sock.close()
            raise
        return RealListener(self, sock)

    def connect(self, host: str, port: int, deadline_us: int, essential: bool = False) -> Stream:
        """Connect by the deadline (World). Hosts are IP addresses: resolving a name would block the event loop."""
        sock = self._open_socket(socket.AF_INET6 if ":" in host else socket.AF_INET, essential)
        limit = self.deadline(deadline_us)
        try:
            sock.setblocking(False)
            code = sock.connect_ex((host, port))
            if code == errno.EINPROGRESS:
                with limit:
                    self.poller.block(self.scheduler, sock.fileno(), WRITE_MASK)
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise (ConnectReset if code == errno.ECONNRESET else ConnectError)(os.strerror(code))
            return RealStream(self, sock)
        except DeadlineExceeded:
            sock.close()
            if not limit.passed:  # an enclosing deadline of the caller passed: no evidence of a fault of the host
                raise
            raise ConnectError("no connection in time") from None
        except OSError as error:
            sock.close()
            raise ConnectError(str(error)) from None
        except (ConnectError, Cancelled):
            sock.close()
            raise

    def _open_socket(self, family: socket.AddressFamily, essential: bool) -> socket.socket:
        """Open a TCP socket. Raises DescriptorsExhausted, or ConnectReset: weak evidence of a fault of the server."""
        while essential or not self.descriptor_priority.claimed:
            try:
                return socket.socket(family, socket.SOCK_STREAM)
            except OSError as error:
                if error.errno not in EXHAUSTION_ERRNOS:
                    raise ConnectReset(os.strerror(error.errno or 0)) from None
                if not self.free_descriptor(essential):
                    break
        raise DescriptorsExhausted(os.strerror(errno.EMFILE))

    def message_socket(
        self, kind: Literal["sub", "pub", "dealer", "router"], host: str, port: int, topic: bytes = b""
    ) -> MessageSocket:
        """Create a ZeroMQ socket that is connected or bound (World)."""
        import zmq  # imported on first use: saves the library's memory in programs that send no messages

        from yardspindle.runtime.zeromq import ZmqSocket

        if self._zmq is None:
            self._zmq = zmq.Context()
        return ZmqSocket(self.scheduler, self.poller, self._zmq, kind, host, port, topic)

    def random(self, name: str) -> random.Random:
        """A seeded random generator; each name has an independent sequence (World)."""
        return random.Random(f"{self.seed} {name}")

    def read_file(self, path: str, max_bytes: int = -1) -> bytes:
        """Read a file, or its first `max_bytes`; a connection that can be spared makes room for it (World)."""
        while True:
            try:
                with open(path, "rb", opener=lambda name, flags: os.open(name, flags | os.O_NONBLOCK)) as file:
                    return file.read(max_bytes) or b""  # None is read from an empty pipe that has a writer
            except OSError as error:
                if error.errno not in EXHAUSTION_ERRNOS or not self.free_descriptor(True):
                    raise

    def append_file(self, path: str, data: bytes) -> None:
        """Append to a file, with a single write unless that one is short (World)."""
        descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
        try:
            _write_all(descriptor, data)
        finally:
            os.close(descriptor)

    def replace_file(self, path: str, data: bytes) -> None:
        """Replace a file atomically (World)."""
        descriptor = os.open(path + ".new", os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            _write_all(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(path + ".new", path)

    def max_descriptors(self) -> int:
        """The number of file descriptors that the program may have open (World)."""
        soft_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        return 1 << 20 if soft_limit == resource.RLIM_INFINITY else soft_limit  # RLIM_INFINITY is -1

    def uptime_us(self) -> int:
        """Microseconds since the machine booted (World)."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000

    def peak_memory_bytes(self) -> int:
        """The process's peak resident memory (World); the kernel tells it in KiB."""
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1_024

    def take_longest_turn_us(self) -> int:
        """The longest turn of the event loop since the last call (World)."""
        return self.poller.take_longest_turn_us()

    def database(self, path: str) -> Database:
        """Open a database that processes of one machine share (World)."""
        from yardspindle.runtime.database import SqliteDatabase  # on first use: not for a store in etcd

        return SqliteDatabase(path)

    def stop_on_signals(self) -> None:
        """Set `stop` on SIGINT or SIGTERM, exit on a second one; called once, from the main thread, inside `run`."""

        def stop() -> None:
            if self.stop.is_set:
                os._exit(130)  # second signal: exit without waiting for the drain
            self.stop.set()

        self.on_signals({signals.SIGINT: stop, signals.SIGTERM: stop})

    def on_signals(self, handlers: Mapping[signals.Signals, Callable[[], None]]) -> None:
        """Call a handler, in a separate task, for each signal; called once, from the main thread, inside `run`."""
        # A pipe, not a socket pair: not every environment supports Unix sockets.
        reader, writer = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        signals.set_wakeup_fd(writer, warn_on_full_buffer=False)
        for number in handlers:
            signals.signal(number, lambda *_: None)

        def watch() -> None:
            try:
                while True:
                    self.poller.block(self.scheduler, reader, READ_MASK)
                    with contextlib.suppress(BlockingIOError):
                        for number in os.read(reader, 64):
                            if number in handlers:  # in a task each: an error in one must not end the watch
                                self.spawn("signal", handlers[signals.Signals(number)])
            finally:
                signals.set_wakeup_fd(-1)
                os.close(reader)
                os.close(writer)

        self.spawn("signals", watch)


def _write_all(descriptor: int, data: bytes) -> None:
    """Write all data: a single write may be short, for example as the disk fills up. Raises OSError."""
    rest = memoryview(data)
    while rest:
        rest = rest[os.write(descriptor, rest) :]

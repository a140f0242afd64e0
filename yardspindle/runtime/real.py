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
import struct
import time
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, Literal, TypeVar

from yardspindle.runtime.poller import READ_MASK, WRITE_MASK, PollPoller
from yardspindle.runtime.scheduler import (
    Cancelled,
    Channel,
    Closed,
    Deadline,
    DeadlineExceeded,
    Scheduler,
    Signal,
    Task,
)
from yardspindle.runtime.world import (
    ConnectError,
    ConnectReset,
    Database,
    DescriptorsExhausted,
    Listener,
    MessageSocket,
    Stream,
    StreamError,
)

if TYPE_CHECKING:
    import zmq

T = TypeVar("T")
WOULD_BLOCK_ERRNOS = (errno.EAGAIN, errno.EWOULDBLOCK)
# Errors of the connection being accepted rather than of the listener (see accept(2)): further accepts can succeed.
ACCEPT_CONNECTION_ERRNOS = (
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.ENOPROTOOPT,
    errno.EHOSTDOWN,
    errno.ENONET,
    errno.EHOSTUNREACH,
    errno.EOPNOTSUPP,
    errno.ENETUNREACH,
    errno.ETIMEDOUT,
    errno.ECONNRESET,
    errno.EPERM,
    errno.EINTR,
)
EXHAUSTION_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
ACCEPT_RETRY_US = 50_000  # delay before accept is retried when no descriptor was free, for some connection to close


class RealStream:
    """Implements Stream with a non-blocking TCP socket."""

    def __init__(self, world: RealWorld, sock: socket.socket) -> None:
        """Take ownership of a connected socket."""
        self._world = world
        self._sock = sock
        self._descriptor = sock.fileno()
        self._drained = True  # the last read emptied the receive buffer: wait before the next one
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.peer = str(sock.getpeername()[0])
        except OSError:
            self.peer = "?"

    def read(self, limit: int = 65_536) -> bytes:
        """Wait for data; empty bytes at the end of the stream (Stream)."""
        while True:
            if self._descriptor < 0:
                raise StreamError("closed here")
            if self._drained:
                self._world.poller.block(self._world.scheduler, self._descriptor, READ_MASK)
                if self._descriptor < 0:
                    raise StreamError("closed here")
            self._drained = True
            try:
                data = self._sock.recv(limit)
            except OSError as error:
                if error.errno in WOULD_BLOCK_ERRNOS:
                    continue
                raise StreamError(os.strerror(error.errno or 0)) from None
            self._drained = 0 < len(data) < limit
            return data

    def write(self, data: bytes) -> None:
        """Write all data, waiting while the peer does not read (Stream)."""
        if self._descriptor < 0:
            raise StreamError("closed here")
        try:
            sent = self._sock.send(data)
            if sent == len(data):
                return
            rest = memoryview(data)[sent:]
        except OSError as error:
            if error.errno not in WOULD_BLOCK_ERRNOS:
                raise StreamError(os.strerror(error.errno or 0)) from None
            rest = memoryview(data)
        while rest:
            self._world.poller.block(self._world.scheduler, self._descriptor, WRITE_MASK)
            self._world.scheduler.raise_interrupt()  # whoever cancelled this task assumes that the rest is not sent
            if self._descriptor < 0:
                raise StreamError("closed here")
            try:
                rest = rest[self._sock.send(rest) :]
            except OSError as error:
                if error.errno not in WOULD_BLOCK_ERRNOS:
                    raise StreamError(os.strerror(error.errno or 0)) from None

    def is_idle(self) -> bool:
        """Whether there is no unread input and the peer has not closed (Stream)."""
        if self._descriptor < 0:
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except OSError as error:
            return error.errno in WOULD_BLOCK_ERRNOS
        return False

    def wait_input(self) -> None:
        """Wait until the peer sends data or closes, without reading it (Stream)."""
        if self._descriptor >= 0:
            self._world.poller.block(self._world.scheduler, self._descriptor, READ_MASK)

    def send_eof(self) -> None:
        """Close the sending side only (Stream)."""
        if self._descriptor >= 0:
            with contextlib.suppress(OSError):  # the connection was reset
                self._sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close the connection; with a reset if received bytes were not read (Stream)."""
        if self._descriptor >= 0:
            self._world.poller.unregister(self._descriptor)
            self._descriptor = -1
            self._sock.close()

    def abort(self) -> None:
        """Close with a reset, discarding unsent data (Stream)."""
        if self._descriptor >= 0:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.close()


class RealListener:
    """Implements Listener with a non-blocking TCP socket."""

    def __init__(self, world: RealWorld, sock: socket.socket) -> None:
        """Take ownership of a listening socket."""
        self._world = world
        self._sock = sock
        self.host, self.port = sock.getsockname()[:2]
        self.closed = False

    def accept(self) -> Stream:
        """Wait for a connection (Listener); without a free descriptor, retry later: clients stay in the backlog."""
        while True:
            if self.closed:
                raise Closed
            try:
                sock, _ = self._sock.accept()
                return RealStream(self._world, sock)
            except OSError as error:
                if error.errno in WOULD_BLOCK_ERRNOS:
                    self._world.poller.block(self._world.scheduler, self._sock.fileno(), READ_MASK)
                elif error.errno in EXHAUSTION_ERRNOS:
                    if self._world.free_descriptor():
                        continue
                    self._world.sleep_until(self._world.now_us() + ACCEPT_RETRY_US)
                elif error.errno not in ACCEPT_CONNECTION_ERRNOS:
                    raise

    def stop(self, admit: Callable[[Stream], None]) -> None:
        """Stop (Listener); of what connects after the last accept, `close` resets at most the one that is queued."""
        if not self.closed:
            with contextlib.suppress(OSError):
                self._accept_pending(admit)
                self._sock.listen(0)  # the kernel queues one connection and drops other SYNs, which clients resend
                self._accept_pending(admit)
            self.close()

    def _accept_pending(self, admit: Callable[[Stream], None]) -> None:
        while True:
            try:
                sock, _ = self._sock.accept()
                admit(RealStream(self._world, sock))
            except OSError as error:
                if error.errno in WOULD_BLOCK_ERRNOS:
                    return
                if error.errno not in ACCEPT_CONNECTION_ERRNOS:
                    raise

    def close(self) -> None:
        """Stop listening and reset connections that were not accepted yet (Listener)."""
        if not self.closed:
            self.closed = True
            self._world.poller.unregister(self._sock.fileno())
            self._sock.close()


class RealWorld:
    """Implements World on the real machine, with non-blocking sockets and `select.poll`."""

    def __init__(self, seed: int | None = None) -> None:
        """Use the given seed, or one from the system's entropy source."""
        self.seed = secrets.randbits(63) if seed is None else seed
        self.poller = PollPoller()
        self.scheduler = Scheduler(self.poller)
        self.stop = Signal(self.scheduler)
        self.free_descriptor: Callable[[], bool] = lambda: False
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

    def connect(self, host: str, port: int, deadline_us: int) -> Stream:
        """Connect by the deadline (World). Hosts are IP addresses: resolving a name would block the event loop."""
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:  # no reset, but also raised as ConnectReset: weak evidence of a fault of the server
            if error.errno in EXHAUSTION_ERRNOS and self.free_descriptor():
                return self.connect(host, port, deadline_us)
            raise (DescriptorsExhausted if error.errno in EXHAUSTION_ERRNOS else ConnectReset)(
                os.strerror(error.errno or 0)
            ) from None
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
        """Read a file, or its first `max_bytes` (World)."""
        with open(path, "rb", opener=lambda name, flags: os.open(name, flags | os.O_NONBLOCK)) as file:
            return file.read(max_bytes) or b""  # None is read from an empty pipe that has a writer

    def append_file(self, path: str, data: bytes) -> None:
        """Append to a file with a single write (World)."""
        descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
        try:
            os.write(descriptor, data)
        finally:
            os.close(descriptor)

    def replace_file(self, path: str, data: bytes) -> None:
        """Replace a file atomically (World)."""
        descriptor = os.open(path + ".new", os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            os.write(descriptor, data)
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
                            if number in handlers:
                                handlers[signals.Signals(number)]()
            finally:
                signals.set_wakeup_fd(-1)
                os.close(reader)
                os.close(writer)

        self.spawn("signals", watch)

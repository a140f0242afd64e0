"""The real World: `select.poll`, non-blocking sockets, the machine's clock, files and signals."""

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
WOULD_BLOCK = (errno.EAGAIN, errno.EWOULDBLOCK)
# Of the connection that would have been accepted, not of the listener (accept(2) names them): the next may be had.
LOST_IN_ACCEPT = (
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
OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
ACCEPT_PAUSE_US = 50_000  # after the descriptors ran out: time for some connection to close


class RealStream:
    """A non-blocking socket as a Stream."""

    def __init__(self, world: RealWorld, sock: socket.socket) -> None:
        """Take over a connected socket."""
        self._world = world
        self._sock = sock
        self._descriptor = sock.fileno()
        self._read_dry = True  # the last read took all there was: wait first, as another try would find nothing
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.peer = str(sock.getpeername()[0])
        except OSError:
            self.peer = "?"

    def read(self, limit: int = 65_536) -> bytes:
        """See Stream."""
        while True:
            if self._descriptor < 0:
                raise StreamError("closed here")
            if self._read_dry:
                self._world.poller.block(self._world.scheduler, self._descriptor, READ_MASK)
                if self._descriptor < 0:
                    raise StreamError("closed here")
            self._read_dry = True
            try:
                data = self._sock.recv(limit)
            except OSError as error:
                if error.errno in WOULD_BLOCK:
                    continue
                raise StreamError(os.strerror(error.errno or 0)) from None
            self._read_dry = 0 < len(data) < limit
            return data

    def write(self, data: bytes) -> None:
        """See Stream."""
        if self._descriptor < 0:
            raise StreamError("closed here")
        try:
            sent = self._sock.send(data)
            if sent == len(data):
                return
            rest = memoryview(data)[sent:]
        except OSError as error:
            if error.errno not in WOULD_BLOCK:
                raise StreamError(os.strerror(error.errno or 0)) from None
            rest = memoryview(data)
        while rest:
            self._world.poller.block(self._world.scheduler, self._descriptor, WRITE_MASK)
            self._world.scheduler.raise_interrupt()  # whoever called the writer off takes the rest for never written
            if self._descriptor < 0:
                raise StreamError("closed here")
            try:
                rest = rest[self._sock.send(rest) :]
            except OSError as error:
                if error.errno not in WOULD_BLOCK:
                    raise StreamError(os.strerror(error.errno or 0)) from None

    def is_idle(self) -> bool:
        """See Stream."""
        if self._descriptor < 0:
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except OSError as error:
            return error.errno in WOULD_BLOCK
        return False

    def wait_input(self) -> None:
        """See Stream."""
        if self._descriptor >= 0:
            self._world.poller.block(self._world.scheduler, self._descriptor, READ_MASK)

    def send_eof(self) -> None:
        """See Stream."""
        if self._descriptor >= 0:
            with contextlib.suppress(OSError):  # it is reset: there is nobody to tell
                self._sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """See Stream."""
        if self._descriptor >= 0:
            self._world.poller.forget(self._descriptor)
            self._descriptor = -1
            self._sock.close()

    def abort(self) -> None:
        """See Stream."""
        if self._descriptor >= 0:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.close()


class RealListener:
    """A listening socket."""

    def __init__(self, world: RealWorld, sock: socket.socket) -> None:
        """Take over a listening socket."""
        self._world = world
        self._sock = sock
        self.host, self.port = sock.getsockname()[:2]
        self.closed = False

    def accept(self) -> Stream:
        """See Listener. When descriptors run out it waits and goes on; the backlog holds the clients."""
        while True:
            if self.closed:
                raise Closed
            try:
                sock, _ = self._sock.accept()
                return RealStream(self._world, sock)
            except OSError as error:
                if error.errno in WOULD_BLOCK:
                    self._world.poller.block(self._world.scheduler, self._sock.fileno(), READ_MASK)
                elif error.errno in OUT_OF_DESCRIPTORS:
                    if self._world.free_descriptor():
                        continue
                    self._world.sleep_until(self._world.now_us() + ACCEPT_PAUSE_US)
                elif error.errno not in LOST_IN_ACCEPT:
                    raise

    def stop(self, admit: Callable[[Stream], None]) -> None:
        """See Listener. With no backlog the kernel answers no SYN once one more has come, and the client asks again."""
        if not self.closed:
            with contextlib.suppress(OSError):
                self._take(admit)
                self._sock.listen(0)
                self._take(admit)
            self.close()

    def _take(self, admit: Callable[[Stream], None]) -> None:
        while True:
            try:
                sock, _ = self._sock.accept()
                admit(RealStream(self._world, sock))
            except OSError as error:
                if error.errno in WOULD_BLOCK:
                    return
                if error.errno not in LOST_IN_ACCEPT:
                    raise

    def close(self) -> None:
        """See Listener."""
        if not self.closed:
            self.closed = True
            self._world.poller.forget(self._sock.fileno())
            self._sock.close()


class RealWorld:
    """See World."""

    def __init__(self, seed: int | None = None) -> None:
        """Draw a seed from the system unless one is given."""
        self.seed = secrets.randbits(63) if seed is None else seed
        self.poller = PollPoller()
        self.scheduler = Scheduler(self.poller)
        self.stop = Signal(self.scheduler)
        self.free_descriptor: Callable[[], bool] = lambda: False
        self._zmq: zmq.Context[zmq.Socket[bytes]] | None = None

    def run(self, name: str, function: Callable[..., T], *args: Any) -> T:
        """Run a program to its end."""
        try:
            return self.scheduler.run(name, function, *args)
        finally:
            if self._zmq is not None:  # left to the garbage collector it would wait for its open sockets, for ever
                self._zmq.destroy(linger=0)
                self._zmq = None

    def now_us(self) -> int:
        """See World."""
        return self.poller.now_us()

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
        """See World. Hosts are addresses, not names: a look-up would stop the loop."""
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            if error.errno in OUT_OF_DESCRIPTORS and self.free_descriptor():
                return self.connect(host, port, deadline_us)
            raise (DescriptorsExhausted if error.errno in OUT_OF_DESCRIPTORS else ConnectReset)(
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
            if not limit.passed:  # the caller's own time is up: that says nothing of the host
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
        """See World."""
        import zmq  # only here: a program that sends no messages does not pay for the library's memory

        from yardspindle.runtime.zeromq import ZmqSocket

        if self._zmq is None:
            self._zmq = zmq.Context()
        return ZmqSocket(self.scheduler, self.poller, self._zmq, kind, host, port, topic)

    def random(self, name: str) -> random.Random:
        """See World."""
        return random.Random(f"{self.seed} {name}")

    def read_file(self, path: str, max_bytes: int = -1) -> bytes:
        """See World."""
        with open(path, "rb", opener=lambda name, flags: os.open(name, flags | os.O_NONBLOCK)) as file:
            return file.read(max_bytes) or b""  # None from a pipe that has a writer and holds nothing

    def append_file(self, path: str, data: bytes) -> None:
        """See World."""
        descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
        try:
            os.write(descriptor, data)
        finally:
            os.close(descriptor)

    def replace_file(self, path: str, data: bytes) -> None:
        """See World."""
        descriptor = os.open(path + ".new", os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            os.write(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(path + ".new", path)

    def max_descriptors(self) -> int:
        """See World."""
        most = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        return 1 << 20 if most == resource.RLIM_INFINITY else most  # infinity is stated as -1

    def uptime_us(self) -> int:
        """See World."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000

    def database(self, path: str) -> Database:
        """See World."""
        from yardspindle.runtime.database import SqliteDatabase  # only here: a program without a store has none

        return SqliteDatabase(path)

    def stop_on_signals(self) -> None:
        """Set `stop` at SIGINT or SIGTERM; called from the main thread, inside `run`."""

        def stop() -> None:
            if self.stop.is_set:
                os._exit(130)  # a second signal: the drain is not waited for
            self.stop.set()

        self.on_signals({signals.SIGINT: stop, signals.SIGTERM: stop})

    def on_signals(self, handlers: Mapping[signals.Signals, Callable[[], None]]) -> None:
        """Call back in a task of its own at each signal; called once, from the main thread, inside `run`.

        Woken by a pipe, not by a pair of sockets: that would be one of Unix sockets, which not every place has.
        """
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

"""Non-blocking TCP sockets on the real machine: connections and listeners of `RealWorld` (runtime/real.py)."""

from __future__ import annotations

import contextlib
import errno
import os
import socket
import struct
from collections.abc import Callable
from typing import TYPE_CHECKING

from yardspindle.runtime.poller import READ_MASK, WRITE_MASK
from yardspindle.runtime.scheduler import Closed
from yardspindle.runtime.world import Stream, StreamError

if TYPE_CHECKING:
    from yardspindle.runtime.real import RealWorld

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
CLOSED_LISTENER_ERRNOS = (errno.EBADF, errno.EINVAL, errno.ENOTSOCK)  # no later accept can succeed
EXHAUSTION_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
BUFFER_ERRNOS = (errno.ENOBUFS, errno.ENOMEM)  # a connection is not broken by these
READ_BYTES = 16_384  # read at once by default
BUFFER_RETRY_US = 5_000
ACCEPT_RETRY_US = 50_000  # delay before accept is retried when no descriptor was free, for some connection to close


class RealStream:
    """Implements Stream with a non-blocking TCP socket."""

    def __init__(self, world: RealWorld, sock: socket.socket) -> None:
        """Take ownership of a connected socket."""
        self._world = world
        self._sock = sock
        self._descriptor = sock.fileno()
        self._drained = True  # the last read emptied the receive buffer: wait before the next one
        self.sent_bytes = 0
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.peer = str(sock.getpeername()[0])
        except OSError:
            self.peer = "?"

    def read(self, limit: int = READ_BYTES) -> bytes:
        """Wait for data; empty bytes at the end of the stream (Stream)."""
        while True:
            if self._descriptor < 0:
                raise StreamError("closed here")
            if self._drained:
                self._world.poller.block(self._world.scheduler, self._descriptor, READ_MASK)
            else:  # a peer that sends as fast as it is read must not keep the other tasks from running
                self._world.scheduler.yield_now()
            if self._descriptor < 0:
                raise StreamError("closed here")
            self._drained = True
            try:
                data = self._sock.recv(limit)
            except OSError as error:
                if error.errno in WOULD_BLOCK_ERRNOS:
                    continue
                self._pause_without_buffers(error)
                self._drained = False
                continue
            self._drained = 0 < len(data) < limit
            return data

    def write(self, data: bytes) -> None:
        """Write all data, waiting while the peer does not read (Stream)."""
        if self._descriptor < 0:
            raise StreamError("closed here")
        rest = self._send(memoryview(data))
        while rest:
            self._world.poller.block(self._world.scheduler, self._descriptor, WRITE_MASK)
            self._world.scheduler.raise_interrupt()  # whoever cancelled this task assumes that the rest is not sent
            if self._descriptor < 0:
                raise StreamError("closed here")
            rest = self._send(rest)

    def _send(self, data: memoryview) -> memoryview:
        """Send what the kernel takes now; returns the rest. Raises StreamError."""
        try:
            accepted = self._sock.send(data)
            self.sent_bytes += accepted
            return data[accepted:]
        except OSError as error:
            if error.errno not in WOULD_BLOCK_ERRNOS:
                self._pause_without_buffers(error)
            return data

    def _pause_without_buffers(self, error: OSError) -> None:
        """Wait until a call may be repeated that found no kernel memory. Raises StreamError for any other error."""
        if error.errno not in BUFFER_ERRNOS:
            raise StreamError(os.strerror(error.errno or 0)) from None
        self._world.sleep_until(self._world.now_us() + BUFFER_RETRY_US)
        if self._descriptor < 0:
            raise StreamError("closed here")

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
            with contextlib.suppress(OSError):  # closed without a reset then
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
            if self._world.descriptor_priority.claimed:
                self._pause()
                continue
            try:
                sock, _ = self._sock.accept()
                return RealStream(self._world, sock)
            except OSError as error:
                if error.errno in WOULD_BLOCK_ERRNOS:
                    self._world.poller.block(self._world.scheduler, self._sock.fileno(), READ_MASK)
                elif error.errno in EXHAUSTION_ERRNOS:
                    if not self._world.free_descriptor(False):
                        self._pause()
                elif error.errno in CLOSED_LISTENER_ERRNOS:
                    raise
                elif error.errno not in ACCEPT_CONNECTION_ERRNOS:
                    self._pause()

    def _pause(self) -> None:
        self._world.sleep_until(self._world.now_us() + ACCEPT_RETRY_US)

    def stop(self, admit: Callable[[Stream], None]) -> bool:
        """Stop (Listener); of what connects after the last accept, `close` resets at most the one that is queued."""
        if not self.closed:
            with contextlib.suppress(OSError):
                if not self._accept_pending(admit):
                    return False
                self._sock.listen(0)  # the kernel queues one connection and drops other SYNs, which clients resend
                if not self._accept_pending(admit):
                    return False
            self.close()
        return True

    def _accept_pending(self, admit: Callable[[Stream], None]) -> bool:
        """Accept all that wait; returns whether none is left, False for lack of a descriptor."""
        while True:
            try:
                sock, _ = self._sock.accept()
                admit(RealStream(self._world, sock))
            except OSError as error:
                if error.errno in WOULD_BLOCK_ERRNOS:
                    return True
                if error.errno in EXHAUSTION_ERRNOS:
                    if not self._world.free_descriptor(True):
                        return False
                elif error.errno not in ACCEPT_CONNECTION_ERRNOS:
                    raise

    def close(self) -> None:
        """Stop listening and reset connections that were not accepted yet (Listener)."""
        if not self.closed:
            self.closed = True
            self._world.poller.unregister(self._sock.fileno())
            self._sock.close()

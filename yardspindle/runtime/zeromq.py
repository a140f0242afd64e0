"""ZeroMQ sockets on the scheduler: a task waits for the descriptor of the ZeroMQ library as for any other.

The descriptor is edge-triggered: it can stay unreadable although a message is queued, because a send consumed the
notification. A receive therefore always tries first, and sockets that both send and receive also check periodically.
"""

from __future__ import annotations

from typing import Literal

import zmq

from yardspindle.runtime.poller import READ_MASK, PollPoller
from yardspindle.runtime.scheduler import Closed, DeadlineExceeded, Scheduler

KINDS = {"sub": zmq.SUB, "pub": zmq.PUB, "dealer": zmq.DEALER, "router": zmq.ROUTER}
HIGH_WATER_MARK = 10_000  # messages queued for a slow peer; more are dropped, a gap in the numbers of numbered messages
RECHECK_US = 20_000  # interval of the check for sockets that also send


class ZmqSocket:
    """Implements MessageSocket with a ZeroMQ socket."""

    def __init__(
        self,
        scheduler: Scheduler,
        poller: PollPoller,
        context: zmq.Context[zmq.Socket[bytes]],
        kind: Literal["sub", "pub", "dealer", "router"],
        host: str,
        port: int,
        topic: bytes,
    ) -> None:
        """Connect (`sub`, `dealer`) or bind (`pub`, `router`); port 0 binds to a free port. Raises OSError."""
        self._scheduler, self._poller = scheduler, poller
        try:
            self._socket = context.socket(KINDS[kind])
        except zmq.ZMQError as error:  # no descriptor is free
            raise OSError(error.errno, error.strerror) from None
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
        self._socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
        self._bidirectional = kind in ("dealer", "router")
        self.port = 0
        self.closed = False
        try:
            if kind == "sub":
                self._socket.setsockopt(zmq.SUBSCRIBE, topic)
            if kind in ("sub", "dealer"):
                self._socket.connect(f"tcp://{host}:{port}")
            elif port:
                self._socket.bind(f"tcp://{host}:{port}")
                self.port = port
            else:
                self.port = self._socket.bind_to_random_port(f"tcp://{host}")
        except zmq.ZMQError as error:
            self._socket.close()
            raise OSError(error.errno, error.strerror) from None
        self._descriptor = int(self._socket.getsockopt(zmq.FD))

    def receive(self) -> list[bytes]:
        """Wait for the next message and return its parts (MessageSocket)."""
        while True:
            if self.closed:
                raise Closed
            try:
                return self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                pass
            if int(self._socket.getsockopt(zmq.EVENTS)) & zmq.POLLIN:
                continue
            if not self._bidirectional:
                self._poller.block(self._scheduler, self._descriptor, READ_MASK)
                continue
            deadline = self._scheduler.deadline(self._poller.now_us() + RECHECK_US)
            try:
                with deadline:
                    self._poller.block(self._scheduler, self._descriptor, READ_MASK)
            except DeadlineExceeded:
                if not deadline.passed:
                    raise

    def send(self, parts: list[bytes]) -> bool:
        """Send without waiting; False if the message was dropped (MessageSocket)."""
        if self.closed:
            return False
        try:
            self._socket.send_multipart(parts, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        return True

    def close(self) -> None:
        """Close, discarding unsent messages (MessageSocket)."""
        if not self.closed:
            self.closed = True
            self._poller.unregister(self._descriptor)
            self._socket.close()

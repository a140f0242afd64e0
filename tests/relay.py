"""TCP relay between two programs that injects faults: delay, a cut of one or both directions, reset, refusal."""

from __future__ import annotations

from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.scheduler import Closed, Signal
from yardspindle.runtime.world import ConnectError, Listener, Stream, StreamError


class Relay:
    """Listens on loopback and forwards bytes to one address."""

    def __init__(self, world: RealWorld, target: tuple[str, int]) -> None:
        self.world, self.target = world, target
        self.delay_us = 0
        self.is_open = {"to_server": True, "to_client": True}  # data in a cut direction waits, as on a cut network
        self.reopened: Signal = world.signal()
        self.streams: dict[Stream, None] = {}
        self.connections = 0
        self.delayed_chunks = 0  # chunks that a cut has delayed so far
        self.listener: Listener = world.listen("127.0.0.1", 0)
        self.port = self.listener.port
        world.spawn("relay", self._accept, self.listener)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def cut(self, to_server: bool = True, to_client: bool = True) -> None:
        """Stop forwarding in these directions; connections stay open and new ones hang."""
        self.is_open = {
            "to_server": self.is_open["to_server"] and not to_server,
            "to_client": self.is_open["to_client"] and not to_client,
        }

    def restore(self) -> None:
        """Resume forwarding in both directions, delayed data first."""
        self.is_open = {"to_server": True, "to_client": True}
        reopened, self.reopened = self.reopened, self.world.signal()
        reopened.set()

    def reset(self) -> None:
        """Reset every connection."""
        for stream in list(self.streams):
            stream.abort()

    def refuse(self) -> None:
        """Close the listener and reset all connections, so that connects are refused."""
        self.listener.close()
        self.reset()

    def serve(self, target: tuple[str, int]) -> None:
        """Listen again, for a restarted program."""
        self.target = target
        self.listener = self.world.listen("127.0.0.1", self.port)
        self.world.spawn("relay", self._accept, self.listener)

    def _accept(self, listener: Listener) -> None:
        while True:
            try:
                near = listener.accept()
            except Closed:
                return
            self.connections += 1
            self.world.spawn("relay connection", self._connect, near)

    def _connect(self, client: Stream) -> None:
        self.streams[client] = None
        try:
            first = client.read()  # clients speak first
            self._wait_until_open("to_server")
            server = self.world.connect(*self.target, self.world.now_us() + 2_000_000)
            server.write(first)
        except (ConnectError, StreamError):
            client.abort()
            self.streams.pop(client, None)
            return
        self.streams[server] = None
        self.world.spawn("relay there", self._copy, client, server, "to_server")
        self.world.spawn("relay back", self._copy, server, client, "to_client")

    def _wait_until_open(self, direction: str) -> None:
        self.delayed_chunks += not self.is_open[direction]
        while not self.is_open[direction]:
            self.reopened.wait()

    def _copy(self, source: Stream, sink: Stream, direction: str) -> None:
        try:
            while data := source.read():
                if self.delay_us:
                    self.world.sleep_until(self.world.now_us() + self.delay_us)
                self._wait_until_open(direction)
                sink.write(data)
            self._wait_until_open(direction)
            sink.close()
        except StreamError:
            sink.abort()
        finally:
            source.close()
            self.streams.pop(source, None)
            self.streams.pop(sink, None)

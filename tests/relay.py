"""A relay of our own for one connection between two programs: it delays, falls silent, cuts one direction, resets."""

from __future__ import annotations

from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.scheduler import Closed, Signal
from yardspindle.runtime.world import ConnectError, Listener, Stream, StreamError


class Relay:
    """Listens on loopback and passes bytes on to one address."""

    def __init__(self, world: RealWorld, target: tuple[str, int]) -> None:
        self.world, self.target = world, target
        self.delay_us = 0
        self.passes = {"there": True, "back": True}  # by direction; what is cut waits, as on a cut network
        self.mended: Signal = world.signal()
        self.streams: dict[Stream, None] = {}
        self.connections = 0
        self.held = 0  # pieces that a cut has held up so far
        self.listener: Listener = world.listen("127.0.0.1", 0)
        self.port = self.listener.port
        world.spawn("relay", self._accept, self.listener)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def cut(self, there: bool = True, back: bool = True) -> None:
        """Nothing passes any more in these directions; connections stay open and new ones hang."""
        self.passes = {"there": self.passes["there"] and not there, "back": self.passes["back"] and not back}

    def mend(self) -> None:
        """Everything passes again, what waited first."""
        self.passes = {"there": True, "back": True}
        mended, self.mended = self.mended, self.world.signal()
        mended.set()

    def reset(self) -> None:
        """Break every connection."""
        for stream in list(self.streams):
            stream.abort()

    def refuse(self) -> None:
        """As a machine does when nobody listens."""
        self.listener.close()
        self.reset()

    def serve(self, target: tuple[str, int]) -> None:
        """Listen again, for a program that was started anew."""
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
            self.world.spawn("relay connection", self._connection, near)

    def _connection(self, near: Stream) -> None:
        self.streams[near] = None
        try:
            first = near.read()  # clients speak first
            self._gate("there")
            far = self.world.connect(*self.target, self.world.now_us() + 2_000_000)
            far.write(first)
        except (ConnectError, StreamError):
            near.abort()
            self.streams.pop(near, None)
            return
        self.streams[far] = None
        self.world.spawn("relay there", self._pass, near, far, "there")
        self.world.spawn("relay back", self._pass, far, near, "back")

    def _gate(self, way: str) -> None:
        self.held += not self.passes[way]
        while not self.passes[way]:
            self.mended.wait()

    def _pass(self, source: Stream, sink: Stream, way: str) -> None:
        try:
            while data := source.read():
                if self.delay_us:
                    self.world.sleep_until(self.world.now_us() + self.delay_us)
                self._gate(way)
                sink.write(data)
            self._gate(way)
            sink.close()
        except StreamError:
            sink.abort()
        finally:
            source.close()
            self.streams.pop(source, None)
            self.streams.pop(sink, None)

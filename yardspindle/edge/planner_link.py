"""The edge's end of the link: connects, greets, sends events in batches, carries back actions, reconnects.

Events wait in one bounded list while a frame is being written, so a burst becomes few frames. A planner that takes
none for so long that the list is full is treated as lost: the link is closed, and the core settles what is open.
"""

from __future__ import annotations

from collections.abc import Callable

import structlog

from yardspindle import interface as i
from yardspindle.core.fleet.planner_liveness import PlannerLiveness
from yardspindle.core.hosts.directory import Server
from yardspindle.link import frames
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.world import ConnectError, Stream, StreamError, World

MAX_PENDING_EVENTS = 50_000  # events; some seconds of a busy edge
MIN_RETRY_PAUSE_US = 50_000  # after a lost link; doubled up to the most, so that a dead planner costs little
MAX_RETRY_PAUSE_US = 1_000_000
HANDSHAKE_TIMEOUT_US = 2_000_000
CONNECT_TIMEOUT_US = 1_000_000

log = structlog.get_logger("yardspindle.edge.link")


class PlannerLink:
    """Keeps one link to the planner."""

    def __init__(
        self,
        world: World,
        address: tuple[str, int],
        hello: Callable[[], frames.Hello],
        on_up: Callable[[int], None],
        on_down: Callable[[], None],
        on_servers: Callable[[list[Server]], None],
        on_actions: Callable[[int, list[i.Action]], None],
        silent_us: int,
    ) -> None:
        """`silent_us`: how long a planner may take to answer a batch of events before it is taken for lost.

        `on_up` and `on_actions` are told the planner's epoch; `on_down` comes once after each `on_up`."""
        self._world = world
        self._address = address
        self._hello = hello
        self._on_up = on_up
        self._on_down = on_down
        self._on_servers = on_servers
        self._on_actions = on_actions
        self._pulse = PlannerLiveness(silent_us)
        self._pending_events: list[i.Event] = []
        self._wake = world.channel(1)
        self._stream: Stream | None = None
        self._number = 0
        self.last_answered = 0
        self.connected = world.signal()  # set by the first link that comes up

    def send_event(self, event: i.Event) -> None:
        """Send an event soon; dropped when there is no link, as the core has settled what it was about."""
        if self._stream is None:
            return
        if len(self._pending_events) >= MAX_PENDING_EVENTS:
            log.error("planner takes no events", waiting=len(self._pending_events))
            self._pending_events.clear()
            self._stream.abort()
            return
        self._pending_events.append(event)
        if not len(self._wake):
            self._wake.try_put(None)

    def check_liveness(self, now_us: int) -> None:
        """Cut a link whose planner no longer answers; the reading side settles what it had decided."""
        if self._stream is not None and self._pulse.timed_out(now_us):
            log.error("planner is silent; the link is cut", answered=self.last_answered, told=self._number)
            self._pulse.reset(now_us)
            self._stream.abort()

    def run(self) -> None:
        """Keep the link until cancelled."""
        pause_us = MIN_RETRY_PAUSE_US
        while True:
            try:
                stream = self._world.connect(*self._address, self._world.now_us() + CONNECT_TIMEOUT_US)
            except ConnectError as error:
                log.debug("no planner", reason=str(error))
            else:
                try:
                    if self._run_session(stream):
                        pause_us = MIN_RETRY_PAUSE_US
                finally:
                    stream.close()
            self._world.sleep_until(self._world.now_us() + pause_us)
            pause_us = min(2 * pause_us, MAX_RETRY_PAUSE_US)

    def _run_session(self, stream: Stream) -> bool:
        """One link's life; whether it came up."""
        reader = frames.FrameReader()
        try:
            with self._world.deadline(self._world.now_us() + HANDSHAKE_TIMEOUT_US):
                stream.write(frames.encode(self._hello()))
                epoch, waiting = self._greeted(stream, reader)
        except (StreamError, DeadlineExceeded, frames.LinkError) as error:
            log.warning("greeting failed", reason=str(error) or "no answer in time")
            return False
        self._pending_events.clear()
        self._pulse.reset(self._world.now_us())
        self._stream = stream
        sender = None
        try:
            self._on_up(epoch)
            self.connected.set()
            sender = self._world.spawn("link sender", self._send, stream)
            log.info("planner up", epoch=epoch)
            for frame in waiting:
                self._take(epoch, frame)
            while data := stream.read():
                for frame in reader.feed(data):
                    self._take(epoch, frame)
            log.warning("planner lost", reason="it closed the link")
        except (StreamError, frames.LinkError) as error:
            log.warning("planner lost", reason=str(error))
        finally:
            self._stream = None
            if sender is not None:
                sender.cancel()
            self._on_down()
        return True

    def _greeted(self, stream: Stream, reader: frames.FrameReader) -> tuple[int, list[frames.Frame]]:
        while True:
            data = stream.read()
            if not data:
                raise frames.LinkError("closed")
            got = reader.feed(data)
            if not got:
                continue
            first = got[0]
            if isinstance(first, frames.Bye):
                raise frames.LinkError(first.reason)
            if not isinstance(first, frames.Welcome) or first.version != frames.VERSION:
                raise frames.LinkError("the planner speaks another version")
            return first.epoch, got[1:]

    def _take(self, epoch: int, frame: frames.Frame) -> None:
        if isinstance(frame, frames.Actions):
            self.last_answered = frame.answers
            self._pulse.record_answered(self._world.now_us(), frame.answers)
            self._on_actions(epoch, [frames.from_wire(action) for action in frame.actions])
        elif isinstance(frame, frames.Servers):
            self._on_servers(frame.servers)
        elif isinstance(frame, frames.Bye):
            raise frames.LinkError(frame.reason)
        else:
            raise frames.LinkError(f"a planner does not send {type(frame).__name__}")

    def _send(self, stream: Stream) -> None:
        try:
            while True:
                self._wake.get()
                while self._pending_events and self._stream is stream:
                    events, self._pending_events = self._pending_events, []
                    self._number += 1
                    self._pulse.record_sent(self._world.now_us(), self._number)
                    stream.write(
                        frames.encode(
                            frames.Events(
                                self._number, self._world.now_us(), [frames.to_wire(event) for event in events]
                            )
                        )
                    )
        except (StreamError, frames.LinkError):
            stream.abort()  # the reading side sees it and settles everything

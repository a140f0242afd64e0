"""The edge's end of the link to the planner: handshake, batched events, incoming actions, reconnects.

An edge (the process that holds the client connections) sends the planner (the process that decides which server does
what) events, such as arrived requests and ended attempts, and receives actions, such as where to send a request.

Events wait in one bounded list while a frame is written, so a burst is sent in few frames. A planner that reads so
slowly that the list fills up counts as lost: the link is closed, and the edge's core (`EdgeCore`, the state machine of
its requests) ends the open requests that need a planner; streams run to their end.
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

MAX_PENDING_EVENTS = 50_000  # more mean that the planner does not read; a busy edge queues them in some seconds
MIN_RETRY_PAUSE_US = 50_000  # after a lost link; doubled up to the maximum, so that a dead planner costs little
MAX_RETRY_PAUSE_US = 1_000_000
HANDSHAKE_TIMEOUT_US = 2_000_000
CONNECT_TIMEOUT_US = 1_000_000

log = structlog.get_logger("yardspindle.edge.link")


class PlannerLink:
    """Keeps one link to the planner, passes events to it and its server lists and actions to the callbacks."""

    def __init__(
        self,
        world: World,
        address: tuple[str, int],
        hello: Callable[[], frames.Hello],
        on_up: Callable[[int], None],
        on_down: Callable[[], None],
        on_servers: Callable[[list[Server]], None],
        on_actions: Callable[[int, list[i.Action]], None],
        response_timeout_us: int,
    ) -> None:
        """`response_timeout_us`: how long a planner may take to answer a batch of events before it counts as lost.

        `hello` makes the first frame of a link, which names the edge. `on_up` and `on_actions` get the planner's epoch,
        a number that identifies one run of the planner; `on_down` is called once after each `on_up`. `world` is the
        interface to clock, sockets, files and randomness."""
        self._world = world
        self._address = address
        self._hello = hello
        self._on_up = on_up
        self._on_down = on_down
        self._on_servers = on_servers
        self._on_actions = on_actions
        self._liveness = PlannerLiveness(response_timeout_us)
        self._pending_events: list[i.Event] = []
        self._events_available = world.channel(1)
        self._stream: Stream | None = None
        self._last_sent_frame = 0  # number of an Events frame
        self.last_answered_frame = 0  # number of an Events frame
        self.first_connected = world.signal()  # set when the first link is up; never cleared

    def send_event(self, event: i.Event) -> None:
        """Queue an event for the planner. Without a link it is dropped: the core itself ends what needs a planner."""
        if self._stream is None:
            return
        if len(self._pending_events) >= MAX_PENDING_EVENTS:
            log.error("planner does not read events; the link is closed", waiting=len(self._pending_events))
            self._pending_events.clear()
            self._stream.abort()
            return
        self._pending_events.append(event)
        if not len(self._events_available):
            self._events_available.try_put(None)

    def check_liveness(self, now_us: int) -> None:
        """Close the link if the planner no longer answers; `run` then reports it as down."""
        if self._stream is not None and self._liveness.timed_out(now_us):
            # Both values are numbers of Events frames: the last that the planner answered, and the last sent.
            log.error(
                "planner is silent; the link is cut", answered=self.last_answered_frame, told=self._last_sent_frame
            )
            self._liveness.reset(now_us)
            self._stream.abort()

    def run(self) -> None:
        """Connect, and reconnect after each lost link, until cancelled."""
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
        """Run one link until it is lost; return whether its handshake succeeded."""
        reader = frames.FrameReader()
        try:
            with self._world.deadline(self._world.now_us() + HANDSHAKE_TIMEOUT_US):
                stream.write(frames.encode(self._hello()))
                epoch, early_frames = self._handshake(stream, reader)
        except (StreamError, DeadlineExceeded, frames.LinkError) as error:
            log.warning("handshake with the planner failed", reason=str(error) or "no answer in time")
            return False
        self._pending_events.clear()
        self._liveness.reset(self._world.now_us())
        self._stream = stream
        sender = None
        try:
            self._on_up(epoch)
            self.first_connected.set()
            sender = self._world.spawn("link sender", self._send_events, stream)
            log.info("planner up", epoch=epoch)
            for frame in early_frames:
                self._handle_frame(epoch, frame)
            while data := stream.read():
                for frame in reader.feed(data):
                    self._handle_frame(epoch, frame)
            log.warning("planner lost", reason="it closed the link")
        except (StreamError, frames.LinkError) as error:
            log.warning("planner lost", reason=str(error))
        finally:
            self._stream = None
            if sender is not None:
                sender.cancel()
            self._on_down()
        return True

    def _handshake(self, stream: Stream, reader: frames.FrameReader) -> tuple[int, list[frames.Frame]]:
        while True:
            data = stream.read()
            if not data:
                raise frames.LinkError("closed")
            received = reader.feed(data)
            if not received:
                continue
            first = received[0]
            if isinstance(first, frames.Bye):
                raise frames.LinkError(first.reason)
            if not isinstance(first, frames.Welcome) or first.version != frames.VERSION:
                raise frames.LinkError("the planner speaks another version")
            return first.epoch, received[1:]

    def _handle_frame(self, epoch: int, frame: frames.Frame) -> None:
        if isinstance(frame, frames.Actions):
            self.last_answered_frame = frame.answers  # number of the last Events frame that the planner processed
            self._liveness.record_answered(self._world.now_us(), frame.answers)
            self._on_actions(epoch, [frames.from_wire(action) for action in frame.actions])
        elif isinstance(frame, frames.Servers):
            self._on_servers(frame.servers)
        elif isinstance(frame, frames.Bye):
            raise frames.LinkError(frame.reason)
        else:
            raise frames.LinkError(f"a planner does not send {type(frame).__name__}")

    def _send_events(self, stream: Stream) -> None:
        try:
            while True:
                self._events_available.get()
                while self._pending_events and self._stream is stream:
                    events, self._pending_events = self._pending_events, []
                    self._last_sent_frame += 1
                    self._liveness.record_sent(self._world.now_us(), self._last_sent_frame)
                    stream.write(
                        frames.encode(
                            frames.Events(
                                self._last_sent_frame, self._world.now_us(), [frames.to_wire(event) for event in events]
                            )
                        )
                    )
        except (StreamError, frames.LinkError):
            stream.abort()  # `_run_session` sees the closed stream and reports the link as down

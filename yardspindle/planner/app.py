"""The planner as a program: accepts edges, hosts a policy for each, sends what it decides.

It opens no connection to an engine and knows no client. Each edge's link has its own task; a policy's timers run
on the planner's clock. An edge that cannot keep up with its actions is cut off: it settles and comes back.
"""

from __future__ import annotations

from importlib.metadata import version

import structlog
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

from yardspindle import interface as i
from yardspindle.api.errors import ApiError
from yardspindle.api.exchange import Exchange, Reply
from yardspindle.api.serving import Server, ServingLimits
from yardspindle.core.config import Config, microseconds, policy_settings, settings_hash, split_address
from yardspindle.core.hosts.server_list import ServerList
from yardspindle.core.request.planning import Decisions, PlanningSession
from yardspindle.fleet.membership import join_fleet
from yardspindle.fleet.server_list_file import ServerListFile
from yardspindle.link import frames
from yardspindle.policy import Policy
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import Closed, DeadlineExceeded
from yardspindle.runtime.world import Listener, Stream, StreamError, World

HANDSHAKE_TIMEOUT_US = 2_000_000
WRITE_TIMEOUT_US = 2_000_000  # an edge that takes no action for so long is cut off

VERSION = version("yardspindle")
log = structlog.get_logger("yardspindle.planner")


class Planner:
    """One planner."""

    def __init__(self, world: World, config: Config) -> None:
        """Nothing is opened before `start`."""
        self.world = world
        self.config = config
        self._agreed = settings_hash(config)
        self.epoch = max(world.now_us(), 1)  # later starts have later epochs
        self.server_list = ServerList(config)
        self.list_file = ServerListFile(world, config.planner.servers, config, self.server_list, self._news)
        self.sessions: list[EdgeSession] = []
        self.metrics = PlannerMetrics()
        self._listener: Listener | None = None

    def start(self) -> tuple[str, int]:
        """Read the list, listen and serve; gives the address. Raises ConfigError and OSError."""
        self.list_file.load()
        self._listener = self.world.listen(*split_address(self.config.planner.listen))
        self.world.spawn("servers", self.list_file.run, microseconds(self.config.planner.reread_ms))
        self.world.spawn("accept", self._accept, self._listener)
        if self.config.planner.metrics is not None:
            listener = self.world.listen(*split_address(self.config.planner.metrics))
            pages = Server(self.world, listener, _Pages(self), ServingLimits(), lambda fault: log.error(str(fault)))
            self.world.spawn("metrics", pages.serve)
        if self.config.fleet.store:
            name = f"planner-{self._listener.host}:{self._listener.port}"
            self.world.spawn(
                "join",
                join_fleet,
                self.world,
                self.config.fleet,
                "planner",
                name,
                str(self.epoch),
                self.config.edge.zone,
                VERSION,
            )
        return self._listener.host, self._listener.port

    def _accept(self, listener: Listener) -> None:
        while True:
            try:
                stream = listener.accept()
            except Closed:
                return
            self.world.spawn("edge", self._edge, stream)

    def _edge(self, stream: Stream) -> None:
        session: EdgeSession | None = None
        try:
            session = self._greet(stream)
            self.sessions.append(session)
            session.run()
        except (StreamError, DeadlineExceeded, frames.LinkError) as error:
            log.warning("edge lost", reason=str(error) or "no frame in time")
        finally:
            if session is not None and session in self.sessions:
                self.sessions.remove(session)
            self.metrics.linked_edges.set(len(self.sessions))
            stream.close()

    def _greet(self, stream: Stream) -> EdgeSession:
        reader = frames.FrameReader()
        with self.world.deadline(self.world.now_us() + HANDSHAKE_TIMEOUT_US):
            while True:
                data = stream.read()
                if not data:
                    raise frames.LinkError("closed before it greeted")
                got = reader.feed(data)
                if got:
                    break
        hello = got[0]
        reason = ""
        if not isinstance(hello, frames.Hello) or hello.version != frames.VERSION:
            reason = f"this planner speaks version {frames.VERSION}"
        elif hello.settings_hash != self._agreed:
            reason = "classes, kinds, tenants or rules differ between edge and planner"
        if reason or not isinstance(hello, frames.Hello):
            stream.write(frames.encode(frames.Bye(reason)))
            raise frames.LinkError(reason)
        settings = policy_settings(self.config, hello.number, hello.dispatchers, hello.zone)
        seed = self.world.random(f"policy {hello.number}").getrandbits(63)
        policy = Policy(settings, seed)
        planning = PlanningSession(
            lambda event, now_us: policy.handle(now_us, event), hello.now_us, self.world.now_us()
        )
        session = EdgeSession(self, stream, reader, planning, hello.number)
        self.metrics.linked_edges.set(len(self.sessions) + 1)
        log.info("edge up", edge=hello.number, zone=hello.zone)
        session.send(frames.Welcome(frames.VERSION, self.epoch))
        session.server_list_changed()
        for frame in got[1:]:
            session.handle_frame(frame)
        return session

    def _news(self) -> None:
        for session in list(self.sessions):
            session.server_list_changed()


class EdgeSession:
    """One edge's link and policy."""

    def __init__(
        self, planner: Planner, stream: Stream, reader: frames.FrameReader, planning: PlanningSession, number: int
    ) -> None:
        """Made by the planner once the edge has greeted."""
        self._planner = planner
        self._world = planner.world
        self._stream = stream
        self._reader = reader
        self._planning = planning
        self._number = number
        self._answers = 0
        self._timer_us: int | None = None
        self._cancel_timer = _nothing
        self._out = self._world.channel(4_096)

    def run(self) -> None:
        """Serve until the link ends."""
        sender = self._world.spawn("edge sender", self._send_all)
        try:
            while data := self._stream.read():
                for frame in self._reader.feed(data):
                    self.handle_frame(frame)
            log.info("edge gone", edge=self._number)
        finally:
            self._cancel_timer()
            self._out.close()
            sender.cancel()

    def handle_frame(self, frame: frames.Frame) -> None:
        """A frame of the edge."""
        if isinstance(frame, frames.Bye):
            raise frames.LinkError(frame.reason)
        if not isinstance(frame, frames.Events):
            raise frames.LinkError(f"an edge does not send {type(frame).__name__}")
        self._answers = frame.number
        self._planner.metrics.events.inc(len(frame.events))
        self._decided(self._planning.handle_events(frame.now_us, [frames.from_wire(e) for e in frame.events]), True)

    def server_list_changed(self) -> None:
        """The server list changed."""
        self.send(frames.Servers(self._planner.server_list.version, self._planner.server_list.addresses()))
        self._decided(self._planning.update_members(self._world.now_us(), self._planner.server_list))

    def send(self, frame: frames.Frame) -> None:
        """Put a frame on its way."""
        if self._out.closed:
            return
        if not self._out.try_put(frame):
            log.error("edge takes no actions", edge=self._number)
            self._stream.abort()

    def _decided(self, decisions: Decisions, answer: bool = False) -> None:
        roster, metrics = self._planner.server_list, self._planner.metrics
        for text in decisions.logs:
            log.info("policy", edge=self._number, text=text)
        for fault in decisions.errors:
            metrics.policy_errors.inc()
            log.error("policy failed on one event", edge=self._number, fault=fault)
        for action in decisions.actions:
            if isinstance(action, i.Send):
                metrics.attempts.labels(roster.name(action.server)).inc()
        if decisions.actions or answer:
            self.send(frames.Actions(self._answers, [frames.to_wire(action) for action in decisions.actions]))
        self._arm()

    def _arm(self) -> None:
        due_us = self._planning.next_due_us()
        if due_us != self._timer_us:
            self._cancel_timer()
            self._timer_us, self._cancel_timer = due_us, _nothing
            if due_us is not None:
                self._cancel_timer = self._world.call_at(due_us, self._due)

    def _due(self) -> None:
        self._timer_us, self._cancel_timer = None, _nothing
        self._decided(self._planning.tick(self._world.now_us()))

    def _send_all(self) -> None:
        try:
            while True:
                batch = [self._out.get(), *self._out.drain()]
                with self._world.deadline(self._world.now_us() + WRITE_TIMEOUT_US):
                    self._stream.write(b"".join(frames.encode(frame) for frame in batch))
        except (StreamError, DeadlineExceeded, Closed, frames.LinkError):
            self._stream.abort()  # the reading side ends the session


def _nothing() -> None:
    pass


class PlannerMetrics:
    """What the planner counts, for Prometheus."""

    def __init__(self) -> None:
        """All at zero."""
        self.registry = CollectorRegistry()
        self.linked_edges = Gauge("yardspindle_edges", "Edges that are linked", registry=self.registry)
        self.events = Counter("yardspindle_events", "Events heard", registry=self.registry)
        self.attempts = Counter("yardspindle_sends", "Attempts decided", ("server",), registry=self.registry)
        self.policy_errors = Counter(
            "yardspindle_policy_faults", "Events on which the policy failed", registry=self.registry
        )


class _Pages:
    """The planner's `/metrics`."""

    def __init__(self, planner: Planner) -> None:
        self._planner = planner

    def early_reply(self, head: http1.RequestHead) -> Reply | None:
        if head.target != b"/metrics" or head.method not in (b"GET", b"HEAD"):
            return ApiError(404, "not_found", "There is nothing at this path.").reply()
        return Reply(
            200,
            [(b"content-type", b"text/plain; version=0.0.4; charset=utf-8")],
            generate_latest(self._planner.metrics.registry),
        )

    def handle(self, exchange: Exchange) -> None:
        raise AssertionError("every page is answered early")

    def malformed(self, error: http1.ProtocolError) -> Reply:
        return ApiError(error.status, "malformed_request", error.reason).reply()

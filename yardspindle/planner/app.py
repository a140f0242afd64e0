"""The planner program: accepts links from edges, runs one policy for each and sends the policy's decisions.

An edge is a process that holds client connections and calls the engines (model servers). The policy is the module that
decides which server does what: it gets events of the edge (requests, ended attempts) and returns actions for it.

The planner connects to no engine and knows no clients. Each link has its own task; the policies' timers run on the
planner's clock. An edge that does not read its actions in time is disconnected. It then ends its open requests, except
those with a write (decode) in flight, whose answer may be streaming already, and connects again.
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

HANDSHAKE_TIMEOUT_US = 2_000_000  # for an edge's first frame after it has connected
WRITE_TIMEOUT_US = 2_000_000  # an edge that reads no actions for this long is disconnected
MAX_QUEUED_FRAMES = 4_096  # for one edge; an edge that leaves more unread is disconnected

VERSION = version("yardspindle")
log = structlog.get_logger("yardspindle.planner")


class Planner:
    """Serves edges: reads the server list and keeps one `EdgeSession` for each linked edge."""

    def __init__(self, world: World, config: Config) -> None:
        """Opens no files or sockets; see `start`. `world`: the interface to clock, sockets, files and randomness."""
        self.world = world
        self.config = config
        self._settings_hash = settings_hash(config)
        self.epoch = max(world.now_us(), 1)  # identifies this run; a later start has a higher epoch
        self.server_list = ServerList(config)
        self.list_file = ServerListFile(world, config.planner.servers, config, self.server_list, self._on_list_change)
        self.sessions: list[EdgeSession] = []
        self.metrics = PlannerMetrics()
        self._listener: Listener | None = None

    def start(self) -> tuple[str, int]:
        """Read the server list, start serving and return the address. Raises ConfigError and OSError."""
        self.list_file.load()
        self._listener = self.world.listen(*split_address(self.config.planner.listen))
        self.world.spawn_service("servers", self.list_file.run, microseconds(self.config.planner.reread_ms))
        self.world.spawn_service("accept", self._accept, self._listener)
        if self.config.planner.metrics is not None:
            listener = self.world.listen(*split_address(self.config.planner.metrics))
            metrics_server = Server(
                self.world, listener, _MetricsPage(self), ServingLimits(), lambda fault: log.error(str(fault))
            )
            self.world.spawn_service("metrics", metrics_server.serve)
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
            self.world.spawn("edge", self._serve_edge, stream)

    def _serve_edge(self, stream: Stream) -> None:
        session: EdgeSession | None = None
        try:
            session = self._handshake(stream)
            self.sessions.append(session)
            session.run()
        except (StreamError, DeadlineExceeded, frames.LinkError) as error:
            log.warning("edge lost", reason=str(error) or "no frame in time")
        finally:
            if session is not None and session in self.sessions:
                self.sessions.remove(session)
            self.metrics.linked_edges.set(len(self.sessions))
            stream.close()

    def _handshake(self, stream: Stream) -> EdgeSession:
        reader = frames.FrameReader()
        with self.world.deadline(self.world.now_us() + HANDSHAKE_TIMEOUT_US):
            while True:
                data = stream.read()
                if not data:
                    raise frames.LinkError("closed before the handshake")
                received = reader.feed(data)
                if received:
                    break
        hello = received[0]
        reason = ""
        if not isinstance(hello, frames.Hello) or hello.version != frames.VERSION:
            reason = f"this planner speaks version {frames.VERSION}"
        elif hello.settings_hash != self._settings_hash:
            # The parts of the configuration that `settings_hash` covers; of the tenants, the names alone.
            reason = "classes, kinds, tenants or rules differ between edge and planner"
        if reason or not isinstance(hello, frames.Hello):
            stream.write(frames.encode(frames.Bye(reason)))
            raise frames.LinkError(reason)
        settings = policy_settings(self.config, hello.number, hello.dispatchers, hello.zone)
        seed = self.world.random(f"policy {hello.number}").getrandbits(63)
        policy = Policy(settings, seed)
        planning = PlanningSession(
            lambda event, now_us: policy.handle(now_us, event),
            edge_now_us=hello.now_us,
            now_us=self.world.now_us(),
        )
        session = EdgeSession(self, stream, reader, planning, hello.number)
        self.metrics.linked_edges.set(len(self.sessions) + 1)
        log.info("edge up", edge=hello.number, zone=hello.zone)
        session.send(frames.Welcome(frames.VERSION, self.epoch))
        session.server_list_changed()
        for frame in received[1:]:
            session.handle_frame(frame)
        return session

    def _on_list_change(self) -> None:
        for session in list(self.sessions):
            session.server_list_changed()


class EdgeSession:
    """The link to one edge, and the policy that decides for it."""

    def __init__(
        self, planner: Planner, stream: Stream, reader: frames.FrameReader, planning: PlanningSession, number: int
    ) -> None:
        """Created by the planner after the handshake."""
        self._planner = planner
        self._world = planner.world
        self._stream = stream
        self._reader = reader
        self._planning = planning
        self._number = number
        self._last_events_number = 0
        self._timer_us: int | None = None
        self._cancel_timer = _no_timer
        self._send_queue = self._world.channel(MAX_QUEUED_FRAMES)

    def run(self) -> None:
        """Process the edge's frames until the link ends."""
        sender = self._world.spawn("edge sender", self._run_sender)
        try:
            while data := self._stream.read():
                for frame in self._reader.feed(data):
                    self.handle_frame(frame)
            log.info("edge disconnected", edge=self._number)
        finally:
            self._cancel_timer()
            self._send_queue.close()
            sender.cancel()

    def handle_frame(self, frame: frames.Frame) -> None:
        """Pass the events of a frame to the policy. Raises LinkError for any other frame."""
        if isinstance(frame, frames.Bye):
            raise frames.LinkError(frame.reason)
        if not isinstance(frame, frames.Events):
            raise frames.LinkError(f"an edge does not send {type(frame).__name__}")
        self._last_events_number = frame.number
        self._planner.metrics.events.inc(len(frame.events))
        # Always answered, as the edge counts a planner as lost that leaves a frame of events unanswered.
        self._apply_decisions(
            self._planning.handle_events(frame.now_us, [frames.from_wire(e) for e in frame.events]), always_reply=True
        )

    def server_list_changed(self) -> None:
        """Send the current server list to the edge, which connects to the servers, and to the policy (as `Members`)."""
        self.send(frames.Servers(self._planner.server_list.version, self._planner.server_list.addresses()))
        self._apply_decisions(self._planning.update_members(self._world.now_us(), self._planner.server_list))

    def send(self, frame: frames.Frame) -> None:
        """Queue a frame for the edge; disconnect the edge if its queue is full."""
        if self._send_queue.closed:
            return
        if not self._send_queue.try_put(frame):
            log.error("edge does not read its actions; disconnecting", edge=self._number)
            self._stream.abort()

    def _apply_decisions(self, decisions: Decisions, always_reply: bool = False) -> None:
        server_list, metrics = self._planner.server_list, self._planner.metrics
        for text in decisions.logs:
            log.info("policy", edge=self._number, text=text)
        for fault in decisions.errors:
            metrics.policy_errors.inc()
            log.error("policy failed on one event", edge=self._number, fault=fault)
        for action in decisions.actions:
            if isinstance(action, i.Send):
                metrics.attempts.labels(server_list.name(action.server)).inc()
        if decisions.actions or always_reply:
            self.send(
                frames.Actions(self._last_events_number, [frames.to_wire(action) for action in decisions.actions])
            )
        self._arm_timer()

    def _arm_timer(self) -> None:
        due_us = self._planning.next_due_us()
        if due_us != self._timer_us:
            self._cancel_timer()
            self._timer_us, self._cancel_timer = due_us, _no_timer
            if due_us is not None:
                self._cancel_timer = self._world.call_at(due_us, self._timer_due)

    def _timer_due(self) -> None:
        self._timer_us, self._cancel_timer = None, _no_timer
        self._apply_decisions(self._planning.tick(self._world.now_us()))

    def _run_sender(self) -> None:
        try:
            while True:
                batch = [self._send_queue.get(), *self._send_queue.drain()]
                with self._world.deadline(self._world.now_us() + WRITE_TIMEOUT_US):
                    self._stream.write(b"".join(frames.encode(frame) for frame in batch))
        except (StreamError, DeadlineExceeded, Closed, frames.LinkError):
            self._stream.abort()  # `run` sees the closed stream and ends the session


def _no_timer() -> None:
    pass


class PlannerMetrics:
    """The Prometheus metrics of the planner."""

    def __init__(self) -> None:
        """Register all metrics at zero."""
        self.registry = CollectorRegistry()
        self.linked_edges = Gauge("yardspindle_edges", "Edges that are linked", registry=self.registry)
        self.events = Counter("yardspindle_events", "Events received from edges", registry=self.registry)
        self.attempts = Counter(
            "yardspindle_sends", "Attempts that policies assigned to a server", ("server",), registry=self.registry
        )
        self.policy_errors = Counter(
            "yardspindle_policy_faults", "Events on which the policy failed", registry=self.registry
        )


class _MetricsPage:
    """Serves the planner's `/metrics` page."""

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
        raise AssertionError("early_reply answers every request")

    def malformed(self, error: http1.ProtocolError) -> Reply:
        return ApiError(error.status, "malformed_request", error.reason).reply()

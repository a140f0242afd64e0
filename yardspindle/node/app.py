"""The dispatcher on the platform: its front, the core's clock, discovery's news, restarts and new configurations."""

from __future__ import annotations

from collections.abc import Callable

from yardspindle.api.exchange import Exchange, Reply
from yardspindle.api.serving import Server, ServingLimits
from yardspindle.core.hosts.connection_pool import PoolTrust
from yardspindle.core.hosts.host_list import HostList
from yardspindle.core.hosts.shares import Shares
from yardspindle.core.request import commands as c
from yardspindle.core.request import timeouts
from yardspindle.core.request.answer import http_of
from yardspindle.core.request.edge_core import EdgeCore
from yardspindle.core.request.graceful_shutdown import shutdown_times
from yardspindle.core.request.planning import PlanningSession
from yardspindle.engine.http_client import HttpClient
from yardspindle.node import log, request
from yardspindle.node.config import NodeConfig
from yardspindle.node.discovery import Discovery
from yardspindle.node.executor import EPOCH, Executor
from yardspindle.node.hosts import LIMITS, Hosts
from yardspindle.node.running import Running
from yardspindle.node.trace import Trace
from yardspindle.policy import Policy
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.world import StreamError, World

TICK_US = 20_000  # how often the core's own deadlines are looked at; as often as the policy's
HOUSEKEEPING_US = 1_000_000
COUNTS_US = 30_000_000  # between lines of the log that tell the counts so far
UP = b"/up"
CLIENT_LIMITS = http1.Limits(line=8_192, head=16_384, headers=64, body=262_144)


class Node:
    """One dispatcher."""

    def __init__(self, world: World, config: NodeConfig) -> None:
        """Nothing is opened before `start`."""
        self.world = world
        self.config = config
        self.core = EdgeCore(config.rules, config.seed)
        policy = Policy(config.settings, config.seed)
        now = world.now_us()
        session = PlanningSession(lambda event, at_us: policy.handle(at_us, event), now, now)
        self.policy = policy
        self.hosts = HostList(config.roles)
        self.shares = Shares(min(config.limits.sockets, world.descriptors()), config.limits.memory_mb)
        idle_us = round(config.idle_us * timeouts.IDLE_PART)
        self.http = HttpClient(
            world,
            config.connect_us,
            idle_us,
            self.shares.kept,
            LIMITS,
            trust=PoolTrust(idle_us),
            head_us=timeouts.HEAD_US,
        )
        world.relieve = self.http.close_oldest
        self.executor = Executor(world, self.core, session, Hosts(self.http))
        self._settled = world.signal()  # discovery was heard, or the process is told to end: no more is waited for
        self.discovery = Discovery(world, config.discovery, self.hosts, self._news, self._settled)
        self._open_ids: set[bytes] = set()
        self._requests = 0
        self._server: Server | None = None
        self._ready = False
        self._told_us: int | None = None  # when the process was told to end
        self._refuse_us: int | None = None  # since when a request that comes is refused: the process is ending

    # --- program

    def start(self) -> None:
        """Listen, take the list that is known, and serve once discovery was heard or is silent. Raises OSError."""
        config = self.config
        listener = self.world.listen(*config.listen)
        limits = ServingLimits(
            CLIENT_LIMITS,
            idle_us=timeouts.IDLE_CLIENT_US,
            header_us=timeouts.SILENT_CLIENT_US,
            stalled_us=timeouts.STALLED_CLIENT_US,
            fresh_us=timeouts.SILENT_CLIENT_US,
            body_us=timeouts.SILENT_CLIENT_US,
            most=self.shares.clients,
            bodies=self.shares.bodies,
        )
        self._server = Server(self.world, listener, self, limits, _fault)
        self.executor.perform(self.core.planner_up(self.world.now_us(), EPOCH))
        self.hosts.known(config.known)
        self._news()
        self.discovery.start()
        self.world.spawn("accept", self._server.serve)
        self.world.spawn("tick", self._tick)
        try:
            with self.world.deadline(self.world.now_us() + timeouts.FIRST_LIST_US):
                self._settled.wait()
        except DeadlineExceeded:
            log.line("discovery has not answered yet", known=len(self.hosts))
        self._ready = self._told_us is None

    def stop(self) -> None:
        """Told to end: never up again from now on, and the first list is waited for no longer."""
        if self._told_us is None:
            self._told_us = self.world.now_us()
        self._ready = False
        self._settled.set()

    def reload(self, config: NodeConfig) -> None:
        """A new configuration file: what may change while running is where discovery is."""
        log.line("new configuration", discovery=f"{config.discovery[0]}:{config.discovery[1]}")
        self.discovery.move(config.discovery)

    def drain(self) -> None:
        """A planned restart: say so, serve what still comes, answer what was taken, then leave."""
        self.stop()
        assert self._server is not None and self._told_us is not None
        log.line("draining", open=len(self.executor.running))
        longest_us = max(round(cls.give_up_us) for cls in self.config.settings.classes)
        times = shutdown_times(self._told_us, longest_us, self.config.rules.resume)
        self._refuse_us = times.refuse_us
        self.world.sleep_until(times.close_us)
        self._server.close_idle()
        self.world.call_at(times.leave_us, self._leave)
        self._server.drain(times.gone_us)
        while (self.core.rooms.owed or self.executor.asking) and self.world.now_us() < times.let_go_us:
            self.world.sleep_until(self.world.now_us() + TICK_US)
        log.line("counts", **self.core.counts(), **self.policy.counts())

    def _leave(self) -> None:
        """The process is about to be killed: every request gets its answer now."""
        log.line("leaving", open=len(self.executor.running))
        self.executor.perform(self.core.leave(self.world.now_us()))

    def _tick(self) -> None:
        kept_us = counted_us = self.world.now_us()
        while True:
            now = self.world.now_us()
            self.world.sleep_until(now + TICK_US)
            if self.core.needs_time:
                self.executor.perform(self.core.tick(self.world.now_us()))
            if now - kept_us > HOUSEKEEPING_US:
                kept_us = now
                self.http.close_old()
                for number in list(self.executor.ids):
                    self.executor.forget(number)
            if now - counted_us > COUNTS_US:
                counted_us = now
                log.line("counts", **self.core.counts(), **self.policy.counts())

    def _news(self) -> None:
        now = self.world.now_us()
        for member in self.hosts.started:
            log.line(
                "host started",
                id=member.id,
                number=self.hosts.number(member.id),
                kind=member.flavor,
                up=f"{member.up_since_ms:.0f}",
            )
        self.executor.perform(self.core.servers(now, self.hosts.servers()))
        self.executor.members(self.hosts.members())

    # --- front

    def early(self, head: http1.RequestHead) -> Reply | None:
        """See Handler: all that the head alone shows to be wrong, before a byte of the body is read."""
        if head.target == UP and head.method in (b"GET", b"HEAD"):
            return Reply(200 if self._ready else 503, [], b"")
        try:
            self._asked(head)
        except request.Refused as refused:
            return _error(refused.status, refused.reason)
        return None

    def _asked(self, head: http1.RequestHead) -> request.Asked:
        asked = request.read_head(head, self.core.life.rules.effects)
        if asked.id in self._open_ids:
            raise request.Refused(409, "Req-Id: open already")
        return asked

    def malformed(self, error: http1.ProtocolError) -> Reply:
        """See Handler."""
        return _error(error.status, error.reason)

    def handle(self, exchange: Exchange) -> None:
        """See Handler."""
        came_us = exchange.came_us
        try:
            asked = self._asked(exchange.head)  # once more: the id may have come meanwhile
            request.check_body(exchange.body)
            if self._refuse_us is not None and came_us >= self._refuse_us:
                raise request.Refused(503, "draining")
        except request.Refused as refused:
            exchange.reply(_error(refused.status, refused.reason))
            return
        self._requests += 1
        number = self._requests
        ask = request.to_policy(asked, number, came_us, len(exchange.body))
        run = Running(ask, asked.id, exchange, self.world.signal(), trace=Trace(came_us))
        self._open_ids.add(asked.id)
        self.executor.running[number], self.executor.ids[number] = run, asked.id
        try:
            exchange.on_gone = self._gone(run)
            self.executor.perform(self.core.arrive(self.world.now_us(), ask))
            run.done.wait()
            self._finish(run)
        finally:
            if run.answer is None:  # however this ends, the core must hear of it
                self.executor.perform(self.core.client_left(self.world.now_us(), number))
            del self.executor.running[number]
            self._open_ids.discard(asked.id)
            self.executor.forget(number)
            end = "left" if run.answer is None else run.answer.code
            log.line("request", id=asked.id.decode(), **run.trace.fields(self.world.now_us(), ask, end))

    def _gone(self, run: Running) -> Callable[[], None]:
        def gone() -> None:
            if run.answer is None:
                self.executor.perform(self.core.client_left(self.world.now_us(), run.ask.request))
            run.done.set()

        return gone

    def _finish(self, run: Running) -> None:
        answer, exchange = run.answer, run.exchange
        if answer is None:
            raise StreamError("the client left")
        if answer.final is c.Final.SERVED:
            exchange.finish()
        elif answer.streamed:
            exchange.break_off()
        elif answer.final is c.Final.REFUSED:
            after = b"%d.%03d" % divmod(max(answer.retry_after_us, 0) // 1_000, 1_000)
            exchange.reply(_error(503, answer.code, [(b"retry-after", after)] if answer.retry_after_us else []))
        else:
            exchange.reply(_error(http_of(answer, unsafe=False).status, answer.code))


def _error(status: int, reason: str, headers: http1.Headers | None = None) -> Reply:
    return Reply(status, [(b"content-type", b"text/plain"), *(headers or [])], reason.encode() + b"\n")


def _fault(error: BaseException) -> None:
    if not isinstance(error, (StreamError, DeadlineExceeded)):
        log.line("a request's handler failed", fault=f"{type(error).__name__}: {error}")

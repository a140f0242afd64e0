"""The dispatcher on the platform: its HTTP front, timers, server list updates, restarts and configuration reloads.

It connects the core (`EdgeCore`, the state machine that follows each request), the policy (the module that decides
which model host does what), and discovery (the platform's agent that lists the model hosts).
"""

from __future__ import annotations

from collections.abc import Callable

from yardspindle.api.exchange import Exchange, Reply
from yardspindle.api.serving import Server, ServingLimits
from yardspindle.core.hosts.host_list import HostList
from yardspindle.core.hosts.idle_limit import IdleLimit
from yardspindle.core.hosts.resource_budget import MEBIBYTE, REQUEST_BYTES, ResourceBudget
from yardspindle.core.request import commands as c
from yardspindle.core.request import timeouts
from yardspindle.core.request.answer import http_error
from yardspindle.core.request.edge_core import EdgeCore
from yardspindle.core.request.graceful_shutdown import shutdown_times
from yardspindle.core.request.planning import PlanningSession
from yardspindle.engine.http_client import HttpClient
from yardspindle.node import log, request
from yardspindle.node.config import NodeConfig
from yardspindle.node.discovery import DiscoveryClient
from yardspindle.node.executor import EPOCH, Executor
from yardspindle.node.host_client import RESPONSE_LIMITS, HostClient
from yardspindle.node.running_request import RunningRequest
from yardspindle.node.trace import RequestTrace
from yardspindle.policy import Policy
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.world import StreamError, World

TICK_INTERVAL_US = 20_000  # how often the core's deadlines are checked; as often as the policy does (SWEEP_INTERVAL_US)
HOUSEKEEPING_INTERVAL_US = 1_000_000
COUNTS_LOG_INTERVAL_US = 30_000_000  # between log lines with the counters so far
HEALTH_PATH = b"/up"
CLIENT_LIMITS = http1.Limits(line=8_192, head=16_384, headers=64, body=262_144)  # bytes, but for the header count


class Node:
    """One dispatcher (router process): serves the platform's clients and connects core, policy and discovery.

    It implements `Handler` of api/exchange.py, which answers the requests that the HTTP server receives.
    """

    def __init__(self, world: World, config: NodeConfig) -> None:
        """Opens nothing; `start` does. `world`: the interface to clock, sockets, files and randomness."""
        self.world = world
        self.config = config
        self.core = EdgeCore(config.rules, config.seed)
        policy = Policy(config.settings, config.seed)
        now = world.now_us()
        session = PlanningSession(lambda event, at_us: policy.handle(at_us, event), edge_now_us=now, now_us=now)
        self.policy = policy
        self.host_list = HostList(config.roles)
        self.resources = ResourceBudget(min(config.limits.sockets, world.max_descriptors()), config.limits.memory_mb)
        idle_us = round(config.idle_us * timeouts.IDLE_REUSE_FRACTION)
        self.http = HttpClient(
            world,
            config.connect_us,
            idle_us,
            self.resources.idle_per_host,
            RESPONSE_LIMITS,
            idle_limit=IdleLimit(idle_us),
            head_us=timeouts.RESPONSE_HEAD_US,
        )
        world.free_descriptor = self._free_descriptor
        self.executor = Executor(world, self.core, session, HostClient(self.http))
        self._discovery_settled = world.signal()  # discovery answered, or the process is to stop
        self.discovery = DiscoveryClient(
            world, config.discovery, self.host_list, self._on_list_change, self._discovery_settled
        )
        self._open_ids: set[bytes] = set()
        self._last_request_number = 0
        self._server: Server | None = None
        self._ready = False
        self._stop_called_us: int | None = None
        self._refuse_from_us: int | None = None  # while stopping: requests received from then on are refused

    # --- program

    def start(self) -> None:
        """Listen, apply the configured list, be ready once discovery answered or timed out. Raises OSError."""
        config = self.config
        listener = self.world.listen(*config.listen)
        limits = ServingLimits(
            CLIENT_LIMITS,
            idle_us=timeouts.IDLE_CLIENT_US,
            header_us=timeouts.CLIENT_REQUEST_US,
            write_stall_us=timeouts.STALLED_CLIENT_US,
            first_byte_us=timeouts.CLIENT_REQUEST_US,
            body_us=timeouts.CLIENT_REQUEST_US,
            max_connections=self.resources.client_connections,
            max_body_bytes=self.resources.body_bytes,
            max_memory_bytes=self.resources.request_bytes,
            request_bytes=REQUEST_BYTES,
        )
        self._server = Server(self.world, listener, self, limits, _log_handler_error)
        self.executor.perform(self.core.planner_up(self.world.now_us(), EPOCH))
        self.host_list.restore(config.known)
        self._on_list_change()
        self.discovery.start()
        self.world.spawn_service("accept", self._server.serve)
        self.world.spawn_service("tick", self._tick)
        try:
            with self.world.deadline(self.world.now_us() + timeouts.FIRST_LIST_US):
                self._discovery_settled.wait()
        except DeadlineExceeded:
            log.write("discovery has not answered yet", known=len(self.host_list))
        self._ready = self._stop_called_us is None

    def stop(self) -> None:
        """Begin to stop: the health check says not ready, and `start` no longer waits for the first server list."""
        if self._stop_called_us is None:
            self._stop_called_us = self.world.now_us()
        self._ready = False
        self._discovery_settled.set()

    def reload(self, config: NodeConfig) -> None:
        """Apply a reloaded configuration; only the address of discovery can change while running."""
        log.write("new configuration", discovery=f"{config.discovery[0]}:{config.discovery[1]}")
        self.discovery.change_address(config.discovery)

    def drain(self) -> None:
        """Shut down gracefully: log it, serve what still arrives, answer what was accepted, then return.

        The return also waits, for a limited time, until hosts have released what they hold for ended requests.
        """
        self.stop()
        assert self._server is not None and self._stop_called_us is not None
        log.write("draining", open=len(self.executor.running))
        longest_us = max(round(cls.give_up_us) for cls in self.config.settings.classes)
        times = shutdown_times(self._stop_called_us, longest_us, self.config.rules.resume)
        self._refuse_from_us = times.refuse_us
        self.world.sleep_until(times.close_idle_us)
        self._server.close_idle()
        self.world.call_at(times.stop_us, self._end_open_requests)
        self._server.drain(times.exit_us)
        while (
            self.core.request_releases.pending or self.executor.places.awaited
        ) and self.world.now_us() < times.release_deadline_us:
            self.world.sleep_until(self.world.now_us() + TICK_INTERVAL_US)
        self._log_counts()

    def _free_descriptor(self, essential: bool) -> bool:
        """Close a connection to a host that can be spared; for an essential operation, else one to an idle client."""
        if self.http.close_oldest() or self.discovery.close_spare_call():
            return True
        if commands := self.core.close_oldest_late_answer(self.world.now_us()):
            self.executor.perform(commands)
            return True
        return essential and self._server is not None and self._server.close_longest_idle()

    def _end_open_requests(self) -> None:
        """Give every open request its final answer now: the process is about to be killed ("leaving" in the log)."""
        log.write("leaving", open=len(self.executor.running))
        self.executor.perform(self.core.shut_down(self.world.now_us()))

    def _tick(self) -> None:
        """Check the core's deadlines; at longer intervals, close old connections and log the counters."""
        housekept_us = logged_us = self.world.now_us()
        while True:
            now = self.world.now_us()
            self.world.sleep_until(now + TICK_INTERVAL_US)
            if self.core.needs_tick:
                self.executor.perform(self.core.tick(self.world.now_us()))
            if now - housekept_us > HOUSEKEEPING_INTERVAL_US:
                housekept_us = now
                self.http.close_expired()
                self._log_closed_clients()
                for number in list(self.executor.request_ids):
                    self.executor.forget(number)
            if now - logged_us > COUNTS_LOG_INTERVAL_US:
                logged_us = now
                self._log_counts()

    def _log_closed_clients(self) -> None:
        """One line for all connections that the server closed since the last one, by reason."""
        if self._server is not None and (closed := self._server.counts.take_unreported()):
            log.write("clients closed", open=self._server.connections, **closed)

    def _log_counts(self) -> None:
        log.write("counts", **self.core.counts(), **self.policy.counts())
        assert self._server is not None
        log.write(
            "load",
            peak_mib=self.world.peak_memory_bytes() // MEBIBYTE,
            limit_mib=self.resources.memory_mib,
            longest_turn_ms=self.world.take_longest_turn_us() // 1_000,
            clients=self._server.connections,
            **self._server.counts.as_dict(),
        )

    def _on_list_change(self) -> None:
        """Pass the changed server list to the core and the policy."""
        now = self.world.now_us()
        for member in self.host_list.started:
            log.write(
                "host started",
                id=member.id,
                number=self.host_list.number(member.id),
                kind=member.flavor,  # "flavor" in the messages of discovery
                up=f"{member.up_since_ms:.0f}",  # Unix time in milliseconds
            )
        self.executor.perform(self.core.update_servers(now, self.host_list.servers()))
        self.executor.update_members(self.host_list.members())

    # --- HTTP front

    def early_reply(self, head: http1.RequestHead) -> Reply | None:
        """Answer the health check, and refuse invalid requests before their body is read (`Handler.early_reply`)."""
        if head.target == HEALTH_PATH and head.method in (b"GET", b"HEAD"):
            return Reply(200 if self._ready else 503, [], b"")
        try:
            self._read_request(head)
        except request.Refused as refused:
            return _error_reply(refused.status, refused.reason)
        return None

    def _read_request(self, head: http1.RequestHead) -> request.ClientRequest:
        # `effects`: by configured class, whether its requests may be repeated.
        client_request = request.read_head(head, self.core.lifecycle.rules.effects)
        if client_request.id in self._open_ids:
            raise request.Refused(409, "Req-Id: open already")
        if client_request.id in self.executor.sent_ids:
            raise request.Refused(409, "Req-Id: sent on before, under the same id")
        return client_request

    def malformed(self, error: http1.ProtocolError) -> Reply:
        """The reply to input that is not valid HTTP (`Handler.malformed`)."""
        return _error_reply(error.status, error.reason)

    def handle(self, exchange: Exchange) -> None:
        """Run one client request from its arrival to its final answer (`Handler.handle`)."""
        received_us = exchange.received_us
        try:
            client_request = self._read_request(exchange.head)  # again: its id may be in use by now
            request.check_body(exchange.body)
            if self._refuse_from_us is not None and received_us >= self._refuse_from_us:
                raise request.Refused(503, "draining")
        except request.Refused as refused:
            exchange.reply(_error_reply(refused.status, refused.reason))
            return
        self._last_request_number += 1
        number = self._last_request_number
        policy_request = request.policy_request(client_request, number, received_us, len(exchange.body))
        running = RunningRequest(
            policy_request, client_request.id, exchange, self.world.signal(), trace=RequestTrace(received_us)
        )
        self._open_ids.add(client_request.id)
        self.executor.running[number], self.executor.request_ids[number] = running, client_request.id
        try:
            exchange.on_disconnect = self._on_disconnect(running)
            self.executor.perform(self.core.request_arrived(self.world.now_us(), policy_request))
            running.done.wait()
            self._end_response(running)
        finally:
            if running.answer is None:  # the core must learn of every end
                self.executor.perform(self.core.client_disconnected(self.world.now_us(), number))
            del self.executor.running[number]
            self._open_ids.discard(client_request.id)
            self.executor.forget(number)
            end = "left" if running.answer is None else running.answer.code  # "left": the client disconnected
            log.write(
                "request",
                id=client_request.id.decode(),
                **running.trace.log_fields(self.world.now_us(), policy_request, end),
            )

    def _on_disconnect(self, running: RunningRequest) -> Callable[[], None]:
        def on_disconnect() -> None:
            if running.answer is None:
                self.executor.perform(self.core.client_disconnected(self.world.now_us(), running.request.request))
            running.done.set()

        return on_disconnect

    def _end_response(self, running: RunningRequest) -> None:
        answer, exchange = running.answer, running.exchange
        if answer is None:
            raise StreamError("client disconnected")
        if answer.final is c.Final.SERVED:
            exchange.finish()
        elif answer.streamed:
            exchange.abort()
        elif answer.final is c.Final.REFUSED:
            retry_after = b"%d.%03d" % divmod(max(answer.retry_after_us, 0) // 1_000, 1_000)
            exchange.reply(
                _error_reply(503, answer.code, [(b"retry-after", retry_after)] if answer.retry_after_us else [])
            )
        else:
            # The status does not depend on `unsafe`, which adds a header that is not sent here.
            exchange.reply(_error_reply(http_error(answer, unsafe=False).status, answer.code))


def _error_reply(status: int, reason: str, headers: http1.Headers | None = None) -> Reply:
    return Reply(status, [(b"content-type", b"text/plain"), *(headers or [])], reason.encode() + b"\n")


def _log_handler_error(error: BaseException) -> None:
    if not isinstance(error, (StreamError, DeadlineExceeded)):
        log.write("a request's handler failed", fault=f"{type(error).__name__}: {error}")

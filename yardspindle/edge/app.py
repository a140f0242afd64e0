"""The edge program: HTTP routes, the chat request handler, the periodic tick of the core, start-up and drain.

An edge is the process that holds the client connections. The planner, another process, decides which engine (model
server) serves a request; the core (`EdgeCore`) is the state machine that checks and follows each decision.
"""

from __future__ import annotations

from dataclasses import replace
from importlib.metadata import version

import msgspec
import structlog

from yardspindle import interface as i
from yardspindle.api import chat
from yardspindle.api.errors import JSON_CONTENT_TYPE, ApiError, error_body, final_reply
from yardspindle.api.exchange import Exchange, Reply
from yardspindle.api.serving import Server, ServingLimits
from yardspindle.core.config import Config, ConfigError, edge_rules, microseconds, settings_hash, split_address
from yardspindle.core.hosts.directory import Server as ListedServer
from yardspindle.core.prefix.prefix_tracker import PrefixTracker, PromptBlocks
from yardspindle.core.prefix.tokenizer import ByteTokenizer, ModelTokenizer, Tokenizer
from yardspindle.core.request.answer import DONE, AnswerTracker, CollectedAnswer, http_error
from yardspindle.core.request.commands import Final
from yardspindle.core.request.edge_core import EdgeCore
from yardspindle.core.request.intake import AcceptedRequest, Intake, IntakeError, RequestFields
from yardspindle.edge.cache_events import CacheEventSubscriber
from yardspindle.edge.executor import Executor, RunningRequest, served_body
from yardspindle.edge.metrics import EdgeMetrics
from yardspindle.edge.planner_link import PlannerLink
from yardspindle.engine.http_client import HttpClient
from yardspindle.engine.vllm import EngineClient
from yardspindle.fleet.membership import join_fleet
from yardspindle.link import frames
from yardspindle.protocol import http1
from yardspindle.protocol.sse import write_event
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.world import StreamError, World

VERSION = version("yardspindle")
TICK_INTERVAL_US = 20_000  # how often the core checks its deadlines; the policy does as often (policy/state.py)
HOUSEKEEPING_INTERVAL_US = 1_000_000
PLANNER_WAIT_US = 2_000_000  # how long start-up waits for a planner: without one, the edge refuses every request
STREAM_HEADERS: http1.Headers = [
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-cache"),
]

log = structlog.get_logger("yardspindle.edge")


class Edge:
    """One edge: serves clients, links to the planner and sends attempts (calls for a request) to engines.

    The decisions about a request are made by `EdgeCore`; the `Executor` carries out its commands. An `Edge` implements
    `Handler` of api/exchange.py, which answers the requests that the HTTP server receives."""

    def __init__(self, world: World, config: Config) -> None:
        """Opens no sockets; see `start`. `world`: the interface to clock, sockets, files and randomness.

        Raises ConfigError if the tokenizer of the prefix index, which predicts cache hits, cannot be loaded.
        """
        self.world = world
        self.config = config
        self.instance_id = f"{world.random('edge id').getrandbits(48):012x}"
        # Classes whose requests clients must not repeat once these may have run.
        self._unsafe_classes = {row.name for row in config.classes if row.effect != "safe"}
        self._api_keys = chat.ApiKeys(config)
        self.metrics = EdgeMetrics()
        self.core = EdgeCore(edge_rules(config))
        self.intake = Intake(config)
        edge = config.edge
        self.http_client = HttpClient(world, microseconds(edge.connect_ms), microseconds(edge.engine_idle_ms))
        self.prefix_tracker = _create_prefix_tracker(world, config)
        self.cache_events = (
            CacheEventSubscriber(world, self.prefix_tracker) if self.prefix_tracker is not None else None
        )
        self.planner_link = PlannerLink(
            world,
            split_address(edge.planner),
            self._hello,
            self._planner_up,
            self._planner_down,
            self._update_servers,
            self._apply_actions,
            microseconds(edge.planner_silent_ms),
        )
        self.executor = Executor(
            world,
            self.core,
            EngineClient(self.http_client, self.instance_id),
            self.metrics,
            self.intake,
            microseconds(edge.stalled_stream_ms),
            self.planner_link.send_event,
            self.prefix_tracker,
        )
        self.limits = ServingLimits(
            http1.Limits(body=edge.max_body_bytes),
            microseconds(edge.idle_ms),
            microseconds(edge.header_ms),
            microseconds(edge.stalled_client_ms),
        )
        self._last_request_number = 0
        self._server: Server | None = None

    # --- program

    def start(self) -> tuple[str, int]:
        """Start serving; return the address once a planner is linked, or after a limited wait. Raises OSError."""
        listener = self.world.listen(*split_address(self.config.edge.listen))
        self._server = Server(self.world, listener, self, self.limits, _log_handler_error)
        self.world.spawn_service("accept", self._server.serve)
        self.world.spawn_service("planner link", self.planner_link.run)
        self.world.spawn_service("tick", self._tick)
        if self.config.fleet.store:
            self.world.spawn(
                "join",
                join_fleet,
                self.world,
                self.config.fleet,
                "edge",
                f"edge{self.config.edge.number}",
                self.instance_id,
                self.config.edge.zone,
                VERSION,
            )
        try:
            with self.world.deadline(self.world.now_us() + PLANNER_WAIT_US):
                self.planner_link.first_connected.wait()
        except DeadlineExceeded:
            log.warning("no planner linked yet; requests are refused until one is")
        return listener.host, listener.port

    def drain(self) -> None:
        """Stop accepting connections and let the requests in progress finish, until the drain deadline."""
        assert self._server is not None
        log.info("draining", open_requests=len(self.executor.running))
        self._server.drain(self.world.now_us() + microseconds(self.config.edge.drain_ms))
        self.http_client.close_all()  # idle connections to engines only; those in use stay open

    def _tick(self) -> None:
        housekeeping_us = self.world.now_us()
        while True:
            now = self.world.now_us()
            self.world.sleep_until(now + TICK_INTERVAL_US)
            self.planner_link.check_liveness(self.world.now_us())
            if self.core.busy:
                self.executor.perform(self.core.tick(self.world.now_us()))
            if now - housekeeping_us > HOUSEKEEPING_INTERVAL_US:
                housekeeping_us = now
                self.http_client.close_expired()
                if self.prefix_tracker is not None:
                    self.prefix_tracker.check_timeouts(now)

    # --- planner

    def _hello(self) -> frames.Hello:
        """The first message on a link to the planner; `dispatchers` is the number of edges in the fleet."""
        edge = self.config.edge
        return frames.Hello(
            frames.VERSION, edge.number, edge.dispatchers, edge.zone, self.world.now_us(), settings_hash(self.config)
        )

    def _planner_up(self, epoch: int) -> None:
        """A link to a planner is up; `epoch` identifies this run of the planner."""
        self.metrics.planner_up.set(1)
        self.executor.perform(self.core.planner_up(self.world.now_us(), epoch))

    def _planner_down(self) -> None:
        self.metrics.planner_up.set(0)
        self.executor.perform(self.core.planner_down(self.world.now_us()))

    def _update_servers(self, servers: list[ListedServer]) -> None:
        self.executor.perform(self.core.update_servers(self.world.now_us(), servers))
        if self.cache_events is not None:
            self.cache_events.update_servers(servers)

    def _apply_actions(self, epoch: int, actions: list[i.Action]) -> None:
        for action in actions:
            self.executor.perform(self.core.apply_action(self.world.now_us(), epoch, action))

    # --- routes

    def early_reply(self, head: http1.RequestHead) -> Reply | None:
        """Answer what needs no body: errors of the head, and all paths but the chat's (`Handler`)."""
        path = head.target.partition(b"?")[0]
        try:
            if path == chat.COMPLETIONS_PATH:
                self._api_keys.authenticate(head)
                chat.check_head(head)
                return None
            if (
                path != chat.MODELS_PATH
                and not path.startswith(chat.MODELS_PATH + b"/")
                and path not in (b"/metrics", b"/healthz")
            ):
                raise ApiError(404, "not_found", "There is nothing at this path.")
            if head.method not in (b"GET", b"HEAD"):
                raise ApiError(405, "method_not_allowed", "Use GET here.", headers=[(b"allow", b"GET, HEAD")])
            return self._reply_to_get(path, head)
        except ApiError as error:
            return error.reply()

    def _reply_to_get(self, path: bytes, head: http1.RequestHead) -> Reply:
        if path == b"/metrics":
            self.metrics.open_requests.set(len(self.core.lifecycle.requests))
            self.metrics.client_connections.set(self._server.connections if self._server else 0)
            if self.prefix_tracker is not None:
                self._set_index_metrics(self.prefix_tracker)
            return Reply(
                200, [(b"content-type", b"text/plain; version=0.0.4; charset=utf-8")], self.metrics.exposition()
            )
        if path == b"/healthz":  # the core's epoch is that of the linked planner, 0 while there is none
            return Reply(
                200 if self.core.epoch else 503,
                [JSON_CONTENT_TYPE],
                msgspec.json.encode({"planner": bool(self.core.epoch)}),
            )
        self._api_keys.authenticate(head)
        model = chat.model_object(self.config.model)
        if path == chat.MODELS_PATH:
            return Reply(200, [JSON_CONTENT_TYPE], msgspec.json.encode({"object": "list", "data": [model]}))
        if path[len(chat.MODELS_PATH) + 1 :] != self.config.model.encode():
            raise ApiError(404, "model_not_found", "There is no such model.", "model")
        return Reply(200, [JSON_CONTENT_TYPE], msgspec.json.encode(model))

    def _set_index_metrics(self, tracker: PrefixTracker) -> None:
        """Set the metrics of the prefix index.

        The trust in an engine (0 to 1) is how current its feed of cache events is, times how well its claims, the
        cached tokens that the feed implies, agreed with what its answers reported."""
        metrics, now = self.metrics, self.world.now_us()
        metrics.index_blocks.set(len(tracker.index))
        metrics.index_predicted.set(tracker.score.predicted)
        metrics.index_found.set(tracker.score.found)
        metrics.index_trust.clear()
        for name, feed in tracker.feeds.items():
            metrics.index_trust.labels(name).set(feed.trust(now) * tracker.claims.agreement(name))

    def malformed(self, error: http1.ProtocolError) -> Reply:
        """The reply to input that is not valid HTTP (`Handler`)."""
        return Reply(
            error.status, [JSON_CONTENT_TYPE], error_body("malformed_request", error.reason, "invalid_request_error")
        )

    # --- a chat request

    def handle(self, exchange: Exchange) -> None:
        """Run one chat request from its arrival to its final answer (`Handler`)."""
        try:
            run = self._accept(exchange)
        except ApiError as error:
            exchange.reply(error.reply())
            return
        number = run.accepted.request.request
        self.executor.running[number] = run
        try:
            exchange.on_disconnect = lambda: self._client_disconnected(run)
            self.executor.perform(self.core.request_arrived(run.received_us, run.accepted.request, not run.stream))
            run.done.wait()
            self._send_final_answer(run)
        finally:
            if run.answer is None:  # disconnected, or the handler failed; the core ignores a repeated notice
                self.executor.perform(self.core.client_disconnected(self.world.now_us(), number))
                self.metrics.clients_left.labels(run.accepted.request.cls).inc()
            del self.executor.running[number]
            self._log_request(run)

    def _accept(self, exchange: Exchange) -> RunningRequest:
        tenant = self._api_keys.authenticate(exchange.head)
        chat_request = chat.parse_request(exchange.body, exchange.head, tenant, self.config.model)
        exchange.drop_body()  # the parsed fields keep the buffer as long as they need it
        now = self.world.now_us()
        self._last_request_number += 1
        try:
            accepted = self.intake.accept(now, self._last_request_number, chat_request.request_fields)
        except IntakeError as error:
            raise ApiError(400, "invalid_value", str(error), error.param) from None
        prompt_blocks = PromptBlocks()
        claimed_tokens: dict[str, float] = {}
        if self.prefix_tracker is not None:
            accepted, prompt_blocks, claimed_tokens = self._predict_cached_prefixes(
                now, self.prefix_tracker, accepted, chat_request.request_fields
            )
        request_id = f"req-{self.instance_id}-{self._last_request_number}"
        response_head = b""
        if chat_request.stream:
            response_head = exchange.start(200, [*STREAM_HEADERS, (b"x-request-id", request_id.encode())])
        return RunningRequest(
            accepted,
            request_id,
            chat_request.fields,
            exchange,
            response_head,
            chat_request.stream,
            AnswerTracker(chat_request.include_usage or not chat_request.stream),
            None if chat_request.stream else CollectedAnswer(),
            now,
            self.world.signal(),
            prompt_blocks=prompt_blocks,
            claimed_tokens=claimed_tokens,
        )

    def _predict_cached_prefixes(
        self, now: int, tracker: PrefixTracker, accepted: AcceptedRequest, fields: RequestFields
    ) -> tuple[AcceptedRequest, PromptBlocks, dict[str, float]]:
        """Add to a request the cached prompt tokens predicted for each reader (prefill server).

        The field is `kept`. Also returns the prompt's blocks (runs of tokens that are cached as one) and, by reader,
        how many of its tokens the reader's cache events report as cached."""
        prompt_blocks = tracker.blocks(fields.messages, fields.tools)
        # all but writers (decode servers), which run no prefill
        readers = {
            s.name: s.number
            for s in self.core.lifecycle.directory.servers.values()
            if s.role is not i.Role.WRITE and s.closed_us is None
        }
        prompt_tokens = accepted.request.prompt_tokens
        claimed_tokens = tracker.claimed_tokens(now, prompt_blocks, prompt_tokens)
        predicted = tracker.predict(claimed_tokens, prompt_blocks, readers, prompt_tokens)
        if not predicted:
            return accepted, prompt_blocks, claimed_tokens
        kept = {readers[name]: float(round(count)) for name, count in predicted.items()}  # whole tokens, as in Intake
        return replace(accepted, request=replace(accepted.request, kept=kept)), prompt_blocks, claimed_tokens

    def _client_disconnected(self, run: RunningRequest) -> None:
        if run.answer is None:
            self.executor.perform(self.core.client_disconnected(self.world.now_us(), run.accepted.request.request))
        run.done.set()

    def _send_final_answer(self, run: RunningRequest) -> None:
        answer, exchange = run.answer, run.exchange
        if answer is None:
            raise StreamError("the client disconnected")
        self.metrics.final_answers.labels(run.accepted.request.cls, answer.final.value, answer.code).inc()
        request_id = run.request_id.encode()
        if answer.final is Final.SERVED:
            if run.stream:
                exchange.finish(write_event(DONE))
            else:
                exchange.reply(Reply(200, [JSON_CONTENT_TYPE, (b"x-request-id", request_id)], served_body(run)))
        elif answer.streamed and run.stream:
            error = error_body(answer.code, http_error(answer, unsafe=True).message, "server_error")
            exchange.send(write_event(error, b"error"), run.response_head)
            exchange.abort()
        elif run.client_error is not None and not answer.streamed:
            status, body = run.client_error  # the engine rejected the request itself
            exchange.reply(Reply(status, [JSON_CONTENT_TYPE, (b"x-request-id", request_id)], body))
        else:
            http_error_reply = http_error(answer, unsafe=run.accepted.request.cls in self._unsafe_classes)
            exchange.reply(final_reply(http_error_reply, request_id))

    def _log_request(self, run: RunningRequest) -> None:
        now, request, answer = self.world.now_us(), run.accepted.request, run.answer
        counts = run.answer_tracker.counts
        # Without an answer the client disconnected first, which the log calls "left".
        log.info(
            "request",
            request_id=run.request_id,
            cls=request.cls,
            tenant=request.tenant,
            final=answer.final.value if answer else "left",
            code=answer.code if answer else "client_left",
            stream=run.stream,
            events=run.answer_tracker.events,
            total_ms=(now - run.received_us) // 1_000,
            first_ms=(run.first_event_us - run.received_us) // 1_000 if run.first_event_us else None,
            prompt_tokens=counts.prompt if counts else None,
            completion_tokens=counts.completion if counts else None,
        )


def _create_prefix_tracker(world: World, config: Config) -> PrefixTracker | None:
    index = config.index
    if index.mode == "off":
        return None
    tokenizer: Tokenizer = ByteTokenizer()
    if index.tokenizer != "bytes":
        try:
            tokenizer = ModelTokenizer(world.read_file(index.tokenizer), world.read_file(index.chat_template).decode())
        except OSError as error:
            raise ConfigError(f"index.tokenizer: {error.filename}: {error.strerror}") from None
        except ValueError as error:
            raise ConfigError(f"index.tokenizer: {index.tokenizer}: {error}") from None
    return PrefixTracker(
        tokenizer,
        index.block_size,
        index.max_blocks,
        use_estimates=index.mode != "events",
        use_events=index.mode != "guess",
    )


def _log_handler_error(error: BaseException) -> None:
    if not isinstance(error, (StreamError, DeadlineExceeded)):
        log.error("request handler failed", fault=f"{type(error).__name__}: {error}", exc_info=error)

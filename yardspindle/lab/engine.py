"""A stand-in engine: speaks vLLM's two-stage calls and our extension, takes time, and can be told to misbehave.

It is no emulator of a GPU: a read takes its new tokens at a rate shared by the reads under way, an answer one step
for each token, slower the more run. What matters is that slots, queue, kept texts, states and places are real
things that run out, time out and are fetched over a socket by the writer from the reader. Every request, token
count, hold and release is appended to a journal before its effect can be seen: the audit reads nothing else.
"""

from __future__ import annotations

from typing import Any

import msgspec
import xxhash

from yardspindle.api.errors import JSON_CONTENT_TYPE, ApiError, error_body
from yardspindle.api.exchange import Exchange, Reply
from yardspindle.api.serving import Server, ServingLimits
from yardspindle.core.prefix.tokenizer import ByteTokenizer
from yardspindle.engine.http_client import ConnectError, ExchangeBroken
from yardspindle.engine.vllm import COMPLETIONS, HOLDS, PLACE_HEADER, PLACES
from yardspindle.lab.block_cache import BlockCache
from yardspindle.lab.engine_holds import HoldRegistry
from yardspindle.lab.engine_settings import Call, Control, EngineSettings, Held, text_of
from yardspindle.protocol import http1
from yardspindle.protocol.sse import write_event
from yardspindle.runtime.scheduler import DeadlineExceeded, Signal
from yardspindle.runtime.world import MessageSocket, StreamError, World

CONTROL = b"/v1/lab/control"
FETCH = b"/v1/lab/fetch/"
TOPIC = b"kv-events"
END_OF_REPLAY = (-1).to_bytes(8, "big", signed=True)
FETCH_US = 5_000_000


class StandInEngine(HoldRegistry):
    """One stand-in."""

    def __init__(self, world: World, settings: EngineSettings) -> None:
        """Nothing is opened before `start`."""
        super().__init__(world, settings)
        self.tokenizer = ByteTokenizer()
        salt = world.random(f"salt {settings.name} {world.now_us()}").getrandbits(63)
        self.cache = BlockCache(
            settings.cache_tokens // settings.block_size,
            settings.block_size,
            salt,
            self._publish,
            lambda: world.now_us() / 1e6,
        )
        self._events: MessageSocket | None = None
        self.events_port = self.replay_port = 0
        self.started_us = world.now_us()
        self.slow = 1.0
        self.reset = False
        self.hung: Signal | None = None
        self.host, self.port = "", 0

    def start(self, host: str, port: int, events_port: int = 0, replay_port: int = 0) -> tuple[str, int]:
        """Listen and serve. Raises OSError."""
        if self.settings.events:
            self._events = self.world.message_socket("pub", host, events_port)
            replay = self.world.message_socket("router", host, replay_port)
            self.events_port, self.replay_port = self._events.port, replay.port
            self.world.spawn("replay", self._replay, replay)
        listener = self.world.listen(host, port)
        self.host, self.port = listener.host, listener.port
        server = Server(self.world, listener, self, ServingLimits(), self._fault)
        self.world.spawn("accept", server.serve)
        self.world.spawn("expiry", self._expire)
        self.record("start")
        return self.host, self.port

    def _publish(self, number: int, data: bytes) -> None:
        if self._events is not None:
            self._events.send([TOPIC, number.to_bytes(8, "big"), data])

    def _replay(self, socket: MessageSocket) -> None:
        while True:
            client, *_, start = socket.receive()
            for number, data in list(self.cache.replay_buffer):
                if number >= int.from_bytes(start, "big"):
                    socket.send([client, b"", number.to_bytes(8, "big"), data])
            socket.send([client, b"", END_OF_REPLAY, b""])

    def _fault(self, fault: BaseException) -> None:
        self.record("fault", "", text=f"{type(fault).__name__}: {fault}")

    # --- routes

    def early_reply(self, head: http1.RequestHead) -> Reply | None:
        """See Handler."""
        target = head.target
        if head.method in (b"DELETE", b"GET") and self.hung is not None:
            self.hung.wait()
        if head.method == b"DELETE" and self.settings.places:
            return self._let_go(head)
        if head.method == b"GET" and target == HOLDS and self.settings.holds:
            return self._told(head)
        if head.method != b"POST":
            return ApiError(405, "method_not_allowed", "POST only.").reply()
        if target in (COMPLETIONS, CONTROL) or target.startswith(FETCH) or (target == PLACES and self.settings.places):
            return None
        return ApiError(404, "not_found", "No such path.").reply()

    def malformed(self, error: http1.ProtocolError) -> Reply:
        """See Handler."""
        return ApiError(error.status, "malformed_request", error.reason).reply()

    def handle(self, exchange: Exchange) -> None:
        """See Handler."""
        target = exchange.head.target
        if target == CONTROL:
            return self._control(exchange)
        if target == COMPLETIONS:
            return self._completion(exchange)
        if self.hung is not None:
            self.hung.wait()
        if target == PLACES:
            return self._place(exchange)
        return self._fetched(exchange, target[len(FETCH) :].decode())

    def _completion(self, exchange: Exchange) -> None:
        request = (exchange.head.get(b"x-request-id") or b"").decode()
        call = msgspec.json.decode(exchange.body, type=Call)
        params = call.kv_transfer_params or {}
        stage = "read" if params.get("do_remote_decode") else "write"
        lab_id = (call.metadata or {}).get("lab_id", "")
        self.record("arrive", request, stage=stage, lab=lab_id)
        gone = self.world.signal()

        def left() -> None:
            self.record("gone", request)  # seen on the socket, also while it hangs
            gone.set()

        exchange.on_disconnect = left
        if self.hung is not None:
            self.hung.wait()
        ended = "failed"
        try:
            ended = (self._read if stage == "read" else self._write)(exchange, request, call, params, lab_id, gone)
        except StreamError:
            ended = "client gone"
        finally:
            self.record("end", request, stage=stage, how=ended)

    def _control(self, exchange: Exchange) -> None:
        control = msgspec.json.decode(exchange.body, type=Control)
        self.record("control", "", do=control.do)
        match control.do:
            case "hang":
                self.hung = self.hung or self.world.signal()
            case "wake" if self.hung is not None:
                self.hung.set()
                self.hung = None
            case "slow":
                self.slow = control.factor
            case "forget":
                self.cache.clear()
            case "reset_streams":
                self.reset = True
                self.world.call_at(self.world.now_us() + 50_000, self._stop_resets)
            case "drain":
                self.draining = True
            case "full":
                self.full = True
            case "normal":
                self.slow, self.full, self.draining = 1.0, False, False
        exchange.reply(Reply(200, [JSON_CONTENT_TYPE], b"{}"))

    def _stop_resets(self) -> None:
        self.reset = False

    # --- capacity

    def _warmth(self) -> float:
        age_ms = (self.world.now_us() - self.started_us) / 1_000
        if age_ms >= self.settings.cold_ms:
            return 1.0
        return self.settings.start_capacity + (1 - self.settings.start_capacity) * age_ms / self.settings.cold_ms

    def _pause(self, microseconds: float, gone: Signal) -> bool:
        """Take time; whether the client is still there."""
        if not gone.is_set:
            try:
                with self.world.deadline(self.world.now_us() + int(microseconds)):
                    gone.wait()
            except DeadlineExceeded:
                pass
        while self.hung is not None:
            self.hung.wait()
        return not gone.is_set

    def _weigh(self, work_us: float) -> bool:
        """Count work sent to a cold engine; whether it stands it. See the rule on cold servers."""
        now, span = self.world.now_us(), self.settings.fall_ms * 1_000
        arrivals = self.load.arrivals
        arrivals.append((now, work_us))
        while arrivals and arrivals[0][0] < now - span:
            arrivals.popleft()
        warmth = self._warmth()
        budget = self.settings.fall_multiple * warmth * span * self.settings.slots
        return warmth >= 1.0 or sum(work for _, work in arrivals) <= budget

    def _enter(self, exchange: Exchange, request: str, tokens: int, work_us: float, gone: Signal) -> bool:
        if not self._weigh(work_us):
            self.record("fell", request)
            self.hung = self.world.signal()  # it stays down
        full = self.full or (self.load.running >= self.settings.slots and len(self.load.waiting) >= self.settings.queue)
        if full or self.draining:
            code = "engine_draining" if self.draining else "engine_full"
            self.record("turned away", request, code=code)
            exchange.reply(Reply(503, [JSON_CONTENT_TYPE], error_body(code, "No room.", "overloaded_error")))
            return False
        if self.load.running >= self.settings.slots or self.load.memory + tokens > self.settings.memory_tokens:
            turn = self.world.signal()
            self.load.waiting.append(turn)
            previous = exchange.on_disconnect

            def left() -> None:
                turn.set()
                if previous is not None:
                    previous()

            exchange.on_disconnect = left
            turn.wait()
            exchange.on_disconnect = previous
            if turn in self.load.waiting:
                self.load.waiting.remove(turn)
            elif exchange.disconnected and self.load.waiting:  # its turn had come: it passes to the next
                self.load.waiting.popleft().set()
            if exchange.disconnected:
                gone.set()
                raise StreamError("gone while waiting")
        self.load.running += 1
        self.load.memory += tokens
        return True

    # --- reading

    def _prompt(self, call: Call) -> tuple[int, int, list[int], bytes]:
        """Prompt tokens, those kept, its blocks, and the tokens themselves."""
        packed = self.tokenizer.encode_prompt([(m.role, text_of(m.content)) for m in call.messages], bytes(call.tools))
        hashes = self.cache.prompt_hashes(packed)
        return len(packed) // 4, self.cache.cached_prefix_blocks(hashes) * self.settings.block_size, hashes, packed

    def _read_prompt(self, call: Call, gone: Signal) -> tuple[int, int, bool]:
        total, kept, hashes, packed = self._prompt(call)
        work_us = (total - kept) / self.settings.read_tokens_per_s * 1e6
        there = self._pause(work_us * max(self.load.running, 1) * self.slow / self._warmth(), gone)
        self.cache.insert(hashes, packed)
        return total, kept, there

    def _read(
        self, exchange: Exchange, request: str, call: Call, params: dict[str, Any], lab_id: str, gone: Signal
    ) -> str:
        total, kept, *_ = self._prompt(call)
        if not self._enter(exchange, request, total, (total - kept) / self.settings.read_tokens_per_s * 1e6, gone):
            return "turned away"
        try:
            total, kept, there = self._read_prompt(call, gone)
        finally:
            self._leave(total)
        if not there:
            return "cancelled"
        if request in self.released_early:
            self.record("read", request, tokens=total, kept=kept, lab=lab_id)
        else:
            self.states[request] = Held(total, self.world.now_us() + int(self.settings.hold_ms * 1_000))
            self.record("hold state", request, tokens=total, kept=kept, lab=lab_id)
        answer = {
            "id": request,
            "object": "chat.completion",
            "choices": [],
            "usage": {"prompt_tokens": total, "completion_tokens": 1, "prompt_tokens_details": {"cached_tokens": kept}},
            "kv_transfer_params": {
                "remote_engine_id": self.settings.name,
                "remote_block_ids": [1],
                "remote_host": self.host,
                "remote_port": self.port,
                "remote_request_id": request,
            },
        }
        exchange.reply(Reply(200, [JSON_CONTENT_TYPE], msgspec.json.encode(answer)))
        return "read"

    # --- writing

    def _write(
        self, exchange: Exchange, request: str, call: Call, params: dict[str, Any], lab_id: str, gone: Signal
    ) -> str:
        total, kept, *_ = self._prompt(call)
        place = (exchange.head.get(PLACE_HEADER) or b"").decode()
        had_place = self.places.pop(place, None)
        if had_place is not None:
            self.record("take place", place)
            self._leave(had_place.tokens)
        elif place:
            self._remember(place)  # an answer to the asking may still be on its way
        steps = self._length(call, lab_id)
        if not self._enter(exchange, request, total, steps * self.settings.step_ms * 1_000, gone):
            return "turned away"
        try:
            if params.get("do_remote_prefill"):
                if not self._fetch(params, total, had_place is not None, gone):
                    self.record("no state", request)
                    exchange.reply(
                        Reply(409, [JSON_CONTENT_TYPE], error_body("no_state", "No state to fetch.", "state_error"))
                    )
                    return "no state"
            elif self.settings.role == "write":
                exchange.reply(
                    Reply(409, [JSON_CONTENT_TYPE], error_body("no_state", "No state was named.", "state_error"))
                )
                return "no state"
            elif not self._read_prompt(call, gone)[2]:
                return "cancelled"
            self.record("run", request, lab=lab_id, prompt=total, kept=kept)
            return self._answer(exchange, request, call, total, kept, steps, gone)
        finally:
            self._leave(total)

    def _length(self, call: Call, lab_id: str) -> int:
        most = call.max_completion_tokens or call.max_tokens or 32
        return 1 + xxhash.xxh3_64_intdigest(lab_id.encode()) % most if lab_id else most

    def _fetch(self, params: dict[str, Any], tokens: int, placed: bool, gone: Signal) -> bool:
        try:
            with self.world.deadline(self.world.now_us() + FETCH_US):
                response = self.http.request(
                    params["remote_host"],
                    params["remote_port"],
                    b"POST",
                    FETCH + str(params.get("remote_request_id", "-")).encode(),
                    [JSON_CONTENT_TYPE],
                    b"{}",
                )
                response.read_all()
                response.close()
        except (ConnectError, ExchangeBroken, DeadlineExceeded, KeyError):
            return False
        if response.head.status != 200:
            return False
        move_us = tokens / self.settings.move_tokens_per_s * 1e6 * (0.3 if placed else 1.0)
        return self._pause(move_us * self.slow, gone) or True

    def _fetched(self, exchange: Exchange, request: str) -> None:
        held = self.states.pop(request, None)
        if held is None:
            exchange.reply(ApiError(404, "no_state", "No such state.").reply())
            return
        self.record("fetched", request)
        exchange.reply(Reply(200, [JSON_CONTENT_TYPE], b"{}"))

    def _answer(
        self, exchange: Exchange, request: str, call: Call, total: int, kept: int, steps: int, gone: Signal
    ) -> str:
        sent = 0
        head = exchange.start(200, [(b"content-type", b"text/event-stream")]) if call.stream else b""
        base = {"id": f"chatcmpl-{request}", "object": "chat.completion.chunk", "created": 0, "model": "stand-in"}
        for step in range(steps):
            pause_us = self.settings.step_ms * 1_000 * self.slow / self._warmth() * (1 + self.load.running / 64)
            if not self._pause(pause_us, gone) or self.reset:
                self.record("sent", request, tokens=sent)
                exchange.stream.abort()
                exchange.abort()
                return "reset" if self.reset else "client gone"
            if call.stream:
                last = step == steps - 1
                delta = {"content": f" w{step}"} if step else {"role": "assistant", "content": f"w{step}"}
                chunk = {
                    **base,
                    "choices": [
                        {"index": 0, "delta": delta, "logprobs": None, "finish_reason": "stop" if last else None}
                    ],
                }
                exchange.send(write_event(msgspec.json.encode(chunk)), head)
                head = b""
            sent += 1
        usage = {
            "prompt_tokens": total,
            "completion_tokens": sent,
            "total_tokens": total + sent,
            "prompt_tokens_details": {"cached_tokens": kept},
        }
        self.record("sent", request, tokens=sent, whole=True)
        if not call.stream:
            text = " ".join(f"w{step}" for step in range(steps))
            exchange.reply(
                Reply(
                    200,
                    [JSON_CONTENT_TYPE],
                    msgspec.json.encode(
                        {
                            **base,
                            "object": "chat.completion",
                            "usage": usage,
                            "choices": [
                                {"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "stop"}
                            ],
                        }
                    ),
                )
            )
            return "served"
        tail = b""
        if (call.stream_options or {}).get("include_usage"):
            tail = write_event(msgspec.json.encode({**base, "choices": [], "usage": usage}))
        exchange.finish(tail + write_event(b"[DONE]"))
        return "served"

"""A stand-in engine: serves vLLM's two-stage calls and yardspindle's extensions, takes time, and injects faults.

It does not emulate a GPU: a read (prefill) processes its uncached tokens, a write (decode) takes one step per token;
n running requests make them n and 1 + n/64 times as long. Slots, queue, prefix cache, states (KV cache kept for the
decode) and places (memory reserved for a decode) run out and expire, and the writer fetches a state from its reader
over a socket. Every request, token count, hold and release is appended to a journal before its effect is visible.
The audit (audit.py, which checks a run against the router's rules) reads no other record of an engine.
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
from yardspindle.lab.engine_settings import ChatCall, EngineControl, EngineSettings, Hold, message_text, token_choice
from yardspindle.protocol import http1
from yardspindle.protocol.sse import write_event
from yardspindle.runtime.scheduler import DeadlineExceeded, Signal
from yardspindle.runtime.world import MessageSocket, StreamError, World

CONTROL = b"/v1/lab/control"
FETCH = b"/v1/lab/fetch/"
EVENTS_TOPIC = b"kv-events"
END_OF_REPLAY = (-1).to_bytes(8, "big", signed=True)
FETCH_TIMEOUT_US = 5_000_000


class StandInEngine(HoldRegistry):
    """One engine process: HTTP routes, simulated work, cache events and faults set by `POST /v1/lab/control`."""

    def __init__(self, world: World, settings: EngineSettings) -> None:
        """`world`: the interface to clock, sockets and files. Opens no sockets before `start`."""
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
        self.slowdown = 1.0  # a fault: the factor by which work takes longer
        self.reset = False  # a fault: streams are aborted
        self.hang_signal: Signal | None = None  # a fault: requests wait for it until the engine wakes
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
        server = Server(self.world, listener, self, ServingLimits(), self._record_fault)
        self.world.spawn("accept", server.serve)
        self.world.spawn("expiry", self._expire)
        self.record("start")
        return self.host, self.port

    def _publish(self, number: int, data: bytes) -> None:
        if self._events is not None:
            self._events.send([EVENTS_TOPIC, number.to_bytes(8, "big"), data])

    def _replay(self, socket: MessageSocket) -> None:
        while True:
            client, *_, start = socket.receive()
            for number, data in list(self.cache.replay_buffer):
                if number >= int.from_bytes(start, "big"):
                    socket.send([client, b"", number.to_bytes(8, "big"), data])
            socket.send([client, b"", END_OF_REPLAY, b""])

    def _record_fault(self, fault: BaseException) -> None:
        self.record("fault", "", text=f"{type(fault).__name__}: {fault}")

    # --- routes (methods of the `Handler` interface, api/exchange.py)

    def early_reply(self, head: http1.RequestHead) -> Reply | None:
        """The reply to a request that is answered without reading its body, or None (Handler)."""
        target = head.target
        if head.method in (b"DELETE", b"GET") and self.hang_signal is not None:
            self.hang_signal.wait()
        if head.method == b"DELETE" and self.settings.places:
            return self._handle_release(head)
        if head.method == b"GET" and target == HOLDS and self.settings.holds:
            return self._list_holds(head)
        if head.method != b"POST":
            return ApiError(405, "method_not_allowed", "POST only.").reply()
        if target in (COMPLETIONS, CONTROL) or target.startswith(FETCH) or (target == PLACES and self.settings.places):
            return None
        return ApiError(404, "not_found", "No such path.").reply()

    def malformed(self, error: http1.ProtocolError) -> Reply:
        """The reply to input that is not a valid request (Handler)."""
        return ApiError(error.status, "malformed_request", error.reason).reply()

    def handle(self, exchange: Exchange) -> None:
        """Answer a request (Handler)."""
        target = exchange.head.target
        if target == CONTROL:
            return self._control(exchange)
        if target == COMPLETIONS:
            return self._completion(exchange)
        if self.hang_signal is not None:
            self.hang_signal.wait()
        if target == PLACES:
            return self._reserve_place(exchange)
        return self._fetched(exchange, target[len(FETCH) :].decode())

    def _completion(self, exchange: Exchange) -> None:
        request = (exchange.head.get(b"x-request-id") or b"").decode()
        call = msgspec.json.decode(exchange.body, type=ChatCall)
        params = call.kv_transfer_params or {}
        stage = "read" if params.get("do_remote_decode") else "write"
        lab_id = (call.metadata or {}).get("lab_id", "")  # the client's try: for the audit; sets the answer's length
        self.record("arrive", request, stage=stage, lab=lab_id)
        closed = self.world.signal()  # set when the client disconnects

        def on_disconnect() -> None:
            self.record("gone", request)  # the socket is watched even while the engine hangs
            closed.set()

        exchange.on_disconnect = on_disconnect
        if self.hang_signal is not None:
            self.hang_signal.wait()
        outcome = "failed"  # journalled as `how`: this, "client gone", or what `_read` and `_write` return
        try:
            outcome = (self._read if stage == "read" else self._write)(exchange, request, call, params, lab_id, closed)
        except StreamError:
            outcome = "client gone"
        finally:
            self.record("end", request, stage=stage, how=outcome)

    def _control(self, exchange: Exchange) -> None:
        control = msgspec.json.decode(exchange.body, type=EngineControl)
        self.record("control", "", do=control.do)
        match control.do:
            case "hang":
                self.hang_signal = self.hang_signal or self.world.signal()
            case "wake" if self.hang_signal is not None:
                self.hang_signal.set()
                self.hang_signal = None
            case "slow":
                self.slowdown = control.factor
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
                self.slowdown, self.full, self.draining = 1.0, False, False
        exchange.reply(Reply(200, [JSON_CONTENT_TYPE], b"{}"))

    def _stop_resets(self) -> None:
        self.reset = False

    # --- capacity

    def _warmth(self) -> float:
        """Fraction of full speed: rises linearly from `start_capacity` to 1 during `cold_ms` after the start."""
        age_ms = (self.world.now_us() - self.started_us) / 1_000
        if age_ms >= self.settings.cold_ms:
            return 1.0
        return self.settings.start_capacity + (1 - self.settings.start_capacity) * age_ms / self.settings.cold_ms

    def _spend(self, microseconds: float, closed: Signal) -> bool:
        """Let the given time pass, and any hang; False if the client disconnected meanwhile."""
        if not closed.is_set:
            try:
                with self.world.deadline(self.world.now_us() + int(microseconds)):
                    closed.wait()
            except DeadlineExceeded:
                pass
        while self.hang_signal is not None:
            self.hang_signal.wait()
        return not closed.is_set

    def _within_cold_limit(self, work_us: float) -> bool:
        """Add to the work received in the last `fall_ms`; False if that overloads a cold engine (it then hangs)."""
        now, window_us = self.world.now_us(), self.settings.fall_ms * 1_000
        recent_work = self.load.recent_work
        recent_work.append((now, work_us))
        while recent_work and recent_work[0][0] < now - window_us:
            recent_work.popleft()
        warmth = self._warmth()
        budget = self.settings.fall_multiple * warmth * window_us * self.settings.slots
        return warmth >= 1.0 or sum(work for _, work in recent_work) <= budget

    def _admit(self, exchange: Exchange, request: str, tokens: int, work_us: float, closed: Signal) -> bool:
        """Take a slot, queueing for one if necessary; False if refused. Raises StreamError if the client leaves."""
        if not self._within_cold_limit(work_us):
            self.record("fell", request)
            self.hang_signal = self.world.signal()  # the overloaded engine never answers again
        full = self.full or (self.load.running >= self.settings.slots and len(self.load.waiting) >= self.settings.queue)
        if full or self.draining:
            code = "engine_draining" if self.draining else "engine_full"
            self.record("turned away", request, code=code)
            exchange.reply(Reply(503, [JSON_CONTENT_TYPE], error_body(code, "No room.", "overloaded_error")))
            return False
        if self.load.running >= self.settings.slots or self.load.memory_tokens + tokens > self.settings.memory_tokens:
            wakeup = self.world.signal()
            self.load.waiting.append(wakeup)
            previous = exchange.on_disconnect

            def on_disconnect() -> None:
                wakeup.set()
                if previous is not None:
                    previous()

            exchange.on_disconnect = on_disconnect
            wakeup.wait()
            exchange.on_disconnect = previous
            if wakeup in self.load.waiting:
                self.load.waiting.remove(wakeup)
            elif exchange.disconnected and self.load.waiting:  # a slot was given to this request: pass it on
                self.load.waiting.popleft().set()
            if exchange.disconnected:
                closed.set()
                raise StreamError("client disconnected while queued")
        self.load.running += 1
        self.load.memory_tokens += tokens
        return True

    # --- reading

    def _prompt(self, call: ChatCall) -> tuple[int, int, list[int], bytes]:
        """Number of prompt tokens, how many of them are cached, block hashes, and the packed tokens."""
        packed = self.tokenizer.encode_prompt(
            [(m.role, message_text(m.content)) for m in call.messages], bytes(call.tools)
        )
        hashes = self.cache.prompt_hashes(packed)
        return len(packed) // 4, self.cache.cached_prefix_blocks(hashes) * self.settings.block_size, hashes, packed

    def _read_prompt(self, call: ChatCall, closed: Signal) -> tuple[int, int, bool]:
        """Prefill a prompt: its tokens, the cached ones, and whether the client is still connected."""
        total, hits, hashes, packed = self._prompt(call)
        work_us = (total - hits) / self.settings.read_tokens_per_s * 1e6
        connected = self._spend(work_us * max(self.load.running, 1) * self.slowdown / self._warmth(), closed)
        self.cache.insert(hashes, packed)
        return total, hits, connected

    def _read(
        self, exchange: Exchange, request: str, call: ChatCall, params: dict[str, Any], lab_id: str, closed: Signal
    ) -> str:
        total, hits, *_ = self._prompt(call)
        if not self._admit(exchange, request, total, (total - hits) / self.settings.read_tokens_per_s * 1e6, closed):
            return "turned away"
        try:
            total, hits, connected = self._read_prompt(call, closed)
        finally:
            self._free_slot(total)
        if not connected:
            return "cancelled"
        if request in self.released_early:
            self.record("read", request, tokens=total, kept=hits, lab=lab_id)
        else:
            self.states[request] = Hold(total, self.world.now_us() + int(self.settings.hold_ms * 1_000))
            self.record("hold state", request, tokens=total, kept=hits, lab=lab_id)
        answer = {
            "id": request,
            "object": "chat.completion",
            "choices": [],
            "usage": {"prompt_tokens": total, "completion_tokens": 1, "prompt_tokens_details": {"cached_tokens": hits}},
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
        self, exchange: Exchange, request: str, call: ChatCall, params: dict[str, Any], lab_id: str, closed: Signal
    ) -> str:
        total, hits, *_ = self._prompt(call)
        place = (exchange.head.get(PLACE_HEADER) or b"").decode()
        reservation = self.places.pop(place, None)
        if reservation is not None:
            self.record("take place", place)
            self._free_slot(reservation.tokens)
        elif place:
            self._remember_release(place)  # the call that reserves it may arrive later and is then refused
        steps = self._answer_length(call, lab_id)
        if not self._admit(exchange, request, total, steps * self.settings.step_ms * 1_000, closed):
            return "turned away"
        try:
            if params.get("do_remote_prefill"):
                if not self._fetch(params, total, reservation is not None, closed):
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
            elif not self._read_prompt(call, closed)[2]:
                return "cancelled"
            self.record("run", request, lab=lab_id, prompt=total, kept=hits)
            return self._answer(exchange, request, call, total, hits, steps, closed)
        finally:
            self._free_slot(total)

    def _answer_length(self, call: ChatCall, lab_id: str) -> int:
        max_tokens = call.max_completion_tokens or call.max_tokens or 32
        return 1 + xxhash.xxh3_64_intdigest(lab_id.encode()) % max_tokens if lab_id else max_tokens

    def _fetch(self, params: dict[str, Any], tokens: int, has_place: bool, closed: Signal) -> bool:
        try:
            with self.world.deadline(self.world.now_us() + FETCH_TIMEOUT_US):
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
        move_us = tokens / self.settings.move_tokens_per_s * 1e6 * (0.3 if has_place else 1.0)  # faster to a place
        return self._spend(move_us * self.slowdown, closed) or True  # `_answer` ends the request if the client has left

    def _fetched(self, exchange: Exchange, request: str) -> None:  # a writer fetches a state
        held = self.states.pop(request, None)
        if held is None:
            exchange.reply(ApiError(404, "no_state", "No such state.").reply())
            return
        self.record("fetched", request)
        exchange.reply(Reply(200, [JSON_CONTENT_TYPE], b"{}"))

    def _answer(
        self, exchange: Exchange, request: str, call: ChatCall, total: int, hits: int, steps: int, closed: Signal
    ) -> str:
        head = exchange.start(200, [(b"content-type", b"text/event-stream")]) if call.stream else b""
        base = {"id": f"chatcmpl-{request}", "object": "chat.completion.chunk", "created": 0, "model": "stand-in"}
        for step in range(steps):
            pause_us = self.settings.step_ms * 1_000 * self.slowdown / self._warmth() * (1 + self.load.running / 64)
            if not self._spend(pause_us, closed) or self.reset:
                self.record("sent", request, tokens=step)
                exchange.stream.abort()
                exchange.abort()
                return "reset" if self.reset else "client gone"
            if call.stream:
                chunk = {**base, "choices": [token_choice(step, steps)]}
                try:
                    exchange.send(write_event(msgspec.json.encode(chunk)), head)
                except StreamError:  # the client disconnected, which the write found first
                    self.record("sent", request, tokens=step)
                    raise
                head = b""
        usage = {
            "prompt_tokens": total,
            "completion_tokens": steps,
            "total_tokens": total + steps,
            "prompt_tokens_details": {"cached_tokens": hits},
        }
        self.record("sent", request, tokens=steps, whole=True)
        if not call.stream:
            text = " ".join(f"w{step}" for step in range(steps))
            choice = {"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "stop"}
            completion = {**base, "object": "chat.completion", "usage": usage, "choices": [choice]}
            exchange.reply(Reply(200, [JSON_CONTENT_TYPE], msgspec.json.encode(completion)))
            return "served"
        tail = b""
        if (call.stream_options or {}).get("include_usage"):
            tail = write_event(msgspec.json.encode({**base, "choices": [], "usage": usage}))
        exchange.finish(tail + write_event(b"[DONE]"))
        return "served"

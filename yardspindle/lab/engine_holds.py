"""What a stand-in engine holds for others: states, places, their releases and ends; and whose orders it obeys.

Two extensions beside the edge's own releases: `GET /v1/yardspindle/holds` tells every hold with its id, and both this
and a release may come from somebody who acts for the fleet; they then name the duty and carry its fence, and one with
a lower fence than the highest met is turned away with 409 `stale_fence`. Fences outlast the process in a file.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from yardspindle.api.errors import JSON_CONTENT_TYPE, ApiError
from yardspindle.api.exchange import Exchange, Reply
from yardspindle.core.fleet.fences import FenceRegistry
from yardspindle.engine.http_client import HttpClient
from yardspindle.engine.vllm import DUTY_HEADER, FENCE_HEADER, PLACES, STATES, HoldRow, HoldsAnswer
from yardspindle.lab.engine_settings import EngineSettings, Held, Load, PlaceCall
from yardspindle.protocol import http1
from yardspindle.runtime.world import World

WINDOW_PARTS = 20


class HoldRegistry:
    """States and places of one engine."""

    def __init__(self, world: World, settings: EngineSettings) -> None:
        """Holding nothing; fences are those met by earlier starts."""
        self.world = world
        self.settings = settings
        self.load = Load()
        self.http = HttpClient(world, 1_000_000, 4_000_000)
        self.states: dict[str, Held] = {}
        self.places: dict[str, Held] = {}
        self.released_early: OrderedDict[str, None] = OrderedDict()  # ids let go before their read or place was there
        self.full = self.draining = False
        self.fences = FenceRegistry(self._known_fences())

    def _known_fences(self) -> dict[str, int]:
        known: dict[str, int] = {}
        try:
            lines = self.world.read_file(self.settings.fences).splitlines() if self.settings.fences else []
        except OSError:
            lines = []
        for line in lines:
            duty, fence = msgspec.json.decode(line, type=tuple[str, int])
            known[duty] = max(fence, known.get(duty, 0))
        return known

    def record(self, event: str, request: str = "", **more: object) -> None:
        """Append to the journal, at once."""
        if self.settings.journal:
            line = {"t": self.world.now_us(), "box": self.settings.name, "ev": event, "id": request, **more}
            self.world.append_file(self.settings.journal, msgspec.json.encode(line) + b"\n")

    def _leave(self, tokens: int) -> None:
        self.load.running -= 1
        self.load.memory -= tokens
        if self.load.waiting:
            self.load.waiting.popleft().set()

    # --- routes

    def _obeyed(self, head: http1.RequestHead) -> Reply | None:
        """The answer to an order with too low a fence; None for one that is obeyed, or that carries none."""
        fence = head.get(FENCE_HEADER)
        if fence is None:
            return None
        duty, number = (head.get(DUTY_HEADER) or b"").decode(), int(fence) if fence.isdigit() else 0
        before = self.fences.highest.get(duty, 0)
        admitted = self.fences.admits(duty, number)
        self.record("order", head.target.rpartition(b"/")[2].decode(), duty=duty, fence=number, admitted=admitted)
        if not admitted:
            return ApiError(409, "stale_fence", f"The fence in force is {before}.").reply()
        if self.settings.fences and number > before:
            self.world.append_file(self.settings.fences, msgspec.json.encode((duty, number)) + b"\n")
        return None

    def _told(self, head: http1.RequestHead) -> Reply:
        if (refused := self._obeyed(head)) is not None:
            return refused
        rows = [HoldRow(name, "state") for name in self.states] + [HoldRow(name, "place") for name in self.places]
        return Reply(200, [JSON_CONTENT_TYPE], msgspec.json.encode(HoldsAnswer(rows)))

    def _let_go(self, head: http1.RequestHead) -> Reply:
        if (refused := self._obeyed(head)) is not None:
            return refused
        for root, held in ((STATES, self.states), (PLACES, self.places)):
            if head.target.startswith(root + b"/"):
                self._release(held, head.target[len(root) + 1 :].decode())
                return Reply(204, [], b"")
        return ApiError(404, "not_found", "No such path.").reply()

    def _place(self, exchange: Exchange) -> None:
        call = msgspec.json.decode(exchange.body, type=PlaceCall)
        room = (
            self.load.running < self.settings.slots
            and not self.load.waiting
            and not self.draining
            and self.load.memory + call.tokens <= self.settings.memory_tokens
            and not self.full
        )
        if not room or call.place in self.released_early:
            exchange.reply(Reply(409, [JSON_CONTENT_TYPE], b'{"held":false}'))
            return
        self.load.running += 1
        self.load.memory += call.tokens
        self.places[call.place] = Held(call.tokens, self.world.now_us() + int(self.settings.hold_ms * 1_000))
        self.record("hold place", call.place)
        exchange.reply(Reply(200, [JSON_CONTENT_TYPE], b'{"held":true}'))

    def _release(self, held: dict[str, Held], request: str) -> None:
        known = held.pop(request, None)
        if known is None:
            self._remember(request)
            return
        self.record("release", request)
        if held is self.places:
            self._leave(known.tokens)

    def _remember(self, request: str) -> None:
        self.released_early[request] = None
        while len(self.released_early) > 10_000:
            self.released_early.popitem(last=False)

    def _expire(self) -> None:
        while True:
            self.world.sleep_until(self.world.now_us() + int(self.settings.hold_ms * 1_000 / WINDOW_PARTS))
            now = self.world.now_us()
            self.http.close_expired()
            for held in (self.states, self.places):
                for request, known in list(held.items()):
                    if now >= known.expires_us:
                        del held[request]
                        self.record("expire", request)
                        if held is self.places:
                            self._leave(known.tokens)

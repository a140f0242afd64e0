"""States and places that a stand-in engine holds: reservation, release, expiry, and the check of fencing tokens.

A state is the KV cache that a prefill leaves at its engine until the decode has fetched it; a place is memory reserved
at a decode engine. Both are normally released by an edge, the router's process that holds the client connections.
Two extensions serve to release what a dead edge left: `GET /v1/yardspindle/holds` lists every hold with its id, and a
list or release request may come from a steward, a process that does background work for the fleet. It then names its
duty (the background task, which has one owner at a time) and carries its fence (the number of that ownership), and is
refused with 409 `stale_fence` if a higher fence of that duty has been seen. The highest fences are kept in a file and
survive a restart.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from yardspindle.api.errors import JSON_CONTENT_TYPE, ApiError
from yardspindle.api.exchange import Exchange, Reply
from yardspindle.core.fleet.fences import FenceRegistry
from yardspindle.engine.http_client import HttpClient
from yardspindle.engine.vllm import DUTY_HEADER, FENCE_HEADER, PLACES, STATES, HoldRow, HoldsAnswer
from yardspindle.lab.engine_settings import EngineSettings, Hold, Load, PlaceCall
from yardspindle.protocol import http1
from yardspindle.runtime.world import World

EXPIRY_CHECKS_PER_HOLD = 20  # checks for expired holds within `hold_ms`, the time after which they expire
MAX_EARLY_RELEASES = 10_000  # ids kept of releases that arrived before their hold; the oldest are dropped first


class HoldRegistry:
    """States and places of one engine, its load, and its journal."""

    def __init__(self, world: World, settings: EngineSettings) -> None:
        """`world`: the interface to clock, sockets and files.

        Starts with no holds; the highest fences are read from the file that earlier starts wrote.
        """
        self.world = world
        self.settings = settings
        self.load = Load()
        self.http = HttpClient(world, 1_000_000, 4_000_000)
        self.states: dict[str, Hold] = {}
        self.places: dict[str, Hold] = {}
        self.released_early: OrderedDict[str, None] = OrderedDict()  # ids released before they were held
        self.full = self.draining = False  # set by faults: the engine refuses new calls although it has room
        self.fences = FenceRegistry(self._known_fences())

    def _known_fences(self) -> dict[str, int]:
        fences: dict[str, int] = {}
        try:
            lines = self.world.read_file(self.settings.fences).splitlines() if self.settings.fences else []
        except OSError:
            lines = []
        for line in lines:
            duty, fence = msgspec.json.decode(line, type=tuple[str, int])
            fences[duty] = max(fence, fences.get(duty, 0))
        return fences

    def record(self, event: str, request: str = "", **more: object) -> None:
        """Append an event to the journal, without buffering; its key `box` is the engine's name."""
        if self.settings.journal:
            line = {"t": self.world.now_us(), "box": self.settings.name, "ev": event, "id": request, **more}
            self.world.append_file(self.settings.journal, msgspec.json.encode(line) + b"\n")

    def _free_slot(self, tokens: int) -> None:
        """Free a slot and its memory, and wake the next queued request."""
        self.load.running -= 1
        self.load.memory_tokens -= tokens
        if self.load.waiting:
            self.load.waiting.popleft().set()

    # --- routes

    def _check_fence(self, head: http1.RequestHead) -> Reply | None:
        """The refusal of a request with a stale fence; None if its fence is current, or if it carries none.

        Each request with a fence is journalled as the event `order`, with the last part of its path: `holds`, or the id
        of the hold to release.
        """
        fence = head.get(FENCE_HEADER)
        if fence is None:
            return None
        duty, number = (head.get(DUTY_HEADER) or b"").decode(), int(fence) if fence.isdigit() else 0
        highest = self.fences.highest.get(duty, 0)
        admitted = self.fences.admits(duty, number)
        self.record("order", head.target.rpartition(b"/")[2].decode(), duty=duty, fence=number, admitted=admitted)
        if not admitted:
            return ApiError(409, "stale_fence", f"The highest fence seen of this duty is {highest}.").reply()
        if self.settings.fences and number > highest:
            self.world.append_file(self.settings.fences, msgspec.json.encode((duty, number)) + b"\n")
        return None

    def _list_holds(self, head: http1.RequestHead) -> Reply:
        if (refused := self._check_fence(head)) is not None:
            return refused
        rows = [HoldRow(name, "state") for name in self.states] + [HoldRow(name, "place") for name in self.places]
        return Reply(200, [JSON_CONTENT_TYPE], msgspec.json.encode(HoldsAnswer(rows)))

    def _handle_release(self, head: http1.RequestHead) -> Reply:
        if (refused := self._check_fence(head)) is not None:
            return refused
        for root, held in ((STATES, self.states), (PLACES, self.places)):
            if head.target.startswith(root + b"/"):
                self._release(held, head.target[len(root) + 1 :].decode())
                return Reply(204, [], b"")
        return ApiError(404, "not_found", "No such path.").reply()

    def _reserve_place(self, exchange: Exchange) -> None:
        call = msgspec.json.decode(exchange.body, type=PlaceCall)
        has_room = (
            self.load.running < self.settings.slots
            and not self.load.waiting
            and not self.draining
            and self.load.memory_tokens + call.tokens <= self.settings.memory_tokens
            and not self.full
        )
        if not has_room or call.place in self.released_early:
            exchange.reply(Reply(409, [JSON_CONTENT_TYPE], b'{"held":false}'))
            return
        self.load.running += 1
        self.load.memory_tokens += call.tokens
        self.places[call.place] = Hold(call.tokens, self.world.now_us() + int(self.settings.hold_ms * 1_000))
        self.record("hold place", call.place)
        exchange.reply(Reply(200, [JSON_CONTENT_TYPE], b'{"held":true}'))

    def _release(self, held: dict[str, Hold], request: str) -> None:
        hold = held.pop(request, None)
        if hold is None:
            self._remember_release(request)
            return
        self.record("release", request)
        if held is self.places:
            self._free_slot(hold.tokens)

    def _remember_release(self, request: str) -> None:
        self.released_early[request] = None
        while len(self.released_early) > MAX_EARLY_RELEASES:
            self.released_early.popitem(last=False)

    def _expire(self) -> None:
        while True:
            self.world.sleep_until(self.world.now_us() + int(self.settings.hold_ms * 1_000 / EXPIRY_CHECKS_PER_HOLD))
            now = self.world.now_us()
            self.http.close_expired()
            for held in (self.states, self.places):
                for request, hold in list(held.items()):
                    if now >= hold.expires_us:
                        del held[request]
                        self.record("expire", request)
                        if held is self.places:
                            self._free_slot(hold.tokens)

"""Stand-in hosts and discovery for worlds of crossings: events can meet each step, each byte goes to the ledger."""

from __future__ import annotations

import contextlib
import json
import re
from random import Random
from typing import Any, Protocol

from tests.platform_standin import HEAD, TOLD, Host, Platform, plain, read_request
from tests.world_ledger import Attempt, Hold, Ledger
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import DeadlineExceeded, Signal
from yardspindle.runtime.virtual import Simulation, VirtualWorld
from yardspindle.runtime.world import Stream, StreamError

ID = re.compile(rb"req-id: *([0-9a-z.]+)\r\n|/bootstrap/rooms/([0-9a-z.]+) ")
FOREVER_US = 60_000_000
SILENT_COUNTS_US = 6_000_000  # what a silent watch misses counts as told so long after it fell silent
MOVED_COUNTS_US = 4_000_000  # and what a new address has, so long after the new configuration
FIRST_REVISION = 9
MOMENT_US = 5_000  # between what discovery learns and its writing it
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"%s"},"finish_reason":null}]}\n\n'
USAGE = b'data: {"choices":[],"usage":{"prompt_tokens_details":{"cached_tokens":64}}}\n\n'


class Steps(Protocol):
    """What wants to know of each step: `before` gives how long the step is to be put off."""

    def before(self, step: str, number: bytes, host: CrossingHost | None) -> int:
        """A step is about to be made."""

    def after(self, step: str, number: bytes, host: CrossingHost | None) -> None:
        """It has been made."""


class Over(Exception):
    """The exchange has ended: closed by either side."""


class CrossingHost(Host):
    """A reader or writer that does what it was ordered for a request."""

    platform: CrossingPlatform

    def __init__(self, platform: CrossingPlatform, name: str, flavor: str, address: str) -> None:
        self.rng = platform.sim.random(f"host {name}")
        self.work_us = (self.rng.randrange(2_000, 60_000), self.rng.randrange(60_000, 250_000))
        self.gap_us = self.rng.randrange(3_000, 90_000)
        self.reads = flavor == "reads"
        self.open: dict[bytes, tuple[Attempt, Stream]] = {}  # attempts that are out here
        self.streams: dict[Stream, bool] = {}  # connections; True: between requests
        self.gone = False
        super().__init__(platform, name, flavor, address)

    # --- connections

    def serve(self, stream: Stream) -> None:
        self.streams[stream] = True
        parser = http1.RequestParser()
        try:
            while self.one(stream, parser):
                self.streams[stream] = True
        except (StreamError, Over, DeadlineExceeded):
            pass
        self.streams.pop(stream, None)
        stream.close()

    def one(self, to: Stream, parser: http1.RequestParser) -> bool:
        """One request; whether another may follow."""
        with self.world.deadline(self.world.now_us() + self.platform.conn_idle_us):
            to.wait_input()
        first_us, attempt = self.world.now_us(), None
        try:
            raw, head = b"", None
            while True:
                data = to.read()
                if not data:
                    return False
                self.streams[to] = False
                found, raw = ID.search(raw + data) if not ID.search(raw) else None, raw + data
                if found and raw.startswith(b"POST"):
                    attempt = self.begun(to, found[1], first_us) if found[1] else None
                    if attempt is None:
                        self.platform.ledger.places.append((found[2], self.name, first_us))
                parser.feed(data)
                while (event := parser.next_event()) is not None and not isinstance(event, http1.End):
                    head = event if isinstance(event, http1.RequestHead) else head
                if event is not None:
                    break
            assert head is not None
            if attempt is None:
                return self.room(to, head.method, head.target.rpartition(b"/")[2])
            attempt.last_us = self.world.now_us()
            attempt.told_ms = int(head.get(b"req-deadline-ms") or 0)
            self.made("read_last" if self.reads else "write_last", attempt.id)
            return self.respond(to, attempt)
        finally:
            if attempt is not None:
                attempt.over_us = attempt.over_us or self.world.now_us()
                if self.open.get(attempt.id, (None,))[0] is attempt:
                    del self.open[attempt.id]

    def begun(self, to: Stream, number: bytes, first_us: int) -> Attempt:
        attempt = Attempt(number, self.name, not self.reads, first_us)
        self.platform.ledger.attempts.append(attempt)
        self.open[number] = attempt, to
        self.made("read_first" if self.reads else "write_first", number)
        return attempt

    def room(self, to: Stream, method: bytes, number: bytes) -> bool:
        platform = self.platform
        if method == b"DELETE":
            platform.ledger.freed.append((number, self.world.now_us()))
            platform.states.discard(number)
            to.write(plain(204))
            return True
        self.made("place_last", number)
        came_us = self.world.now_us()
        if not any(number in host.open for host in platform.hosts.values() if host.reads):
            self.wait(to, 300_000)
            to.write(plain(204))
            return True
        self.wait(to, 1_000 + self.rng.randrange(8_000))
        status = 409 if self.rng.random() < 0.15 else 200
        self.due("place_answer", number, to)
        if status == 200:
            platform.ledger.holds.append(Hold(number, self.name, True, came_us))  # a write here may take it meanwhile
        to.write(plain(status))
        self.platform.steps.after("place_answer", number, self)
        return True

    # --- answers

    def respond(self, to: Stream, attempt: Attempt) -> bool:
        platform, number = self.platform, attempt.id
        self.wait(to, self.rng.randrange(*self.work_us))
        self.due("read_answer" if self.reads else "first_token", number, to)
        order = platform.orders.pop(number, "")
        if order == "silence":
            self.wait(to, FOREVER_US)
        if order in ("503", "410", "500"):
            return self.turned_away(to, attempt, int(order) if not self.reads or order != "410" else 503)
        if self.reads:
            return self.read(to, attempt, order)
        if number not in platform.states:
            attempt.no_state = True
            return self.turned_away(to, attempt, 410)
        return self.stream(to, attempt, order)

    def turned_away(self, to: Stream, attempt: Attempt, status: int) -> bool:
        attempt.never_ran = status != 500
        attempt.no_state = attempt.no_state or status == 410
        attempt.over_us = self.world.now_us()
        to.write(plain(status, b"", *([(b"srv-declined", b"1")] if status != 500 else [])))
        self.platform.steps.after("read_answer" if self.reads else "first_token", attempt.id, self)
        return True

    def read(self, to: Stream, attempt: Attempt, order: str) -> bool:
        answer = plain(202, b'{"cached_tokens":7}')
        self.keep(attempt)
        attempt.over_us = self.world.now_us()
        if order == "cut":
            to.write(answer[:-8])
            self.break_off(to)
        to.write(answer)
        if order == "second":
            self.again(to, answer)
        self.platform.steps.after("read_answer", attempt.id, self)
        return True

    def keep(self, attempt: Attempt) -> None:
        """The state of a read that ended well is there."""
        self.platform.states.add(attempt.id)
        self.platform.ledger.holds.append(Hold(attempt.id, self.name, False, self.world.now_us()))

    def stream(self, to: Stream, attempt: Attempt, order: str) -> bool:
        platform, number = self.platform, attempt.id
        if order == "cut":
            attempt.broken_us = self.world.now_us()
            to.write(HEAD)
            self.break_off(to)
        platform.states.discard(number)
        count = self.rng.randrange(3, 9)
        tag = b"%s-%d" % (number, len(platform.ledger.attempts))
        events = [EVENT % (b"%s-%d" % (tag, at)) for at in range(count)] + [USAGE, b"data: [DONE]\n\n"]
        for at, event in enumerate(events):
            if at:
                self.wait(to, self.gap_us if at < count else 1_000)
                self.due("chunk", number, to)
                order = platform.orders.pop(number, "") or order
            if order == "spoilt" and at:
                attempt.broken_us = self.world.now_us()
                to.write(self.rng.choice((b"zz\r\n", b"5\r\nhello!\r\n")))
                self.wait(to, FOREVER_US)
            if order == "silence":
                self.wait(to, FOREVER_US)
            attempt.body += event
            attempt.pieces.append((self.world.now_us(), len(attempt.body)))
            to.write((b"" if at else HEAD) + http1.write_chunk(event))
            platform.steps.after("chunk" if at else "first_token", number, self)
        self.due("last_chunk", number, to)
        order = platform.orders.pop(number, "") or order
        attempt.finished_us = attempt.over_us = self.world.now_us()
        to.write(http1.LAST_CHUNK)
        if order == "fin_last":
            to.close()
        elif order == "second":
            self.again(to, HEAD + b"".join(map(http1.write_chunk, events)) + http1.LAST_CHUNK)
        platform.steps.after("last_chunk", number, self)
        return order != "fin_last"

    def again(self, to: Stream, answer: bytes) -> None:
        """A second answer, right behind the first or some milliseconds late."""
        if self.rng.random() < 0.3:
            to.write(answer)
            return

        def late() -> None:
            self.sleep(self.rng.randrange(1_000, 8_001))
            with contextlib.suppress(StreamError):
                to.write(answer)

        self.world.spawn("second answer", late)

    def break_off(self, to: Stream) -> None:
        """End a connection inside an answer."""
        (to.close if self.rng.random() < 0.5 else to.abort)()
        raise Over

    def hang_up(self, number: bytes, reset: bool) -> None:
        """End the connection of an attempt that is out here; what a read has done by then may stay."""
        if number not in self.open:
            return
        attempt, to = self.open.pop(number)
        attempt.over_us = attempt.broken_us = self.world.now_us()
        if self.reads and attempt.last_us is not None and not self.gone and self.rng.random() < 0.5:
            self.keep(attempt)
        (to.abort if reset else to.close)()

    def leave(self) -> None:
        """The process dies: its connections are reset, and new ones refused."""
        self.gone = True
        self.platform.ledger.died[self.name] = self.world.now_us()
        for number in list(self.open):
            self.hang_up(number, True)
        for attempt in self.platform.ledger.attempts:  # what was just written is overtaken by the reset
            if attempt.host == self.name and (attempt.over_us or 0) > self.world.now_us() - MOMENT_US:
                attempt.broken_us = attempt.broken_us or self.world.now_us()
        self.world.kill()

    # --- time

    def wait(self, to: Stream, microseconds: int) -> None:
        """Work for a while. Raises Over once the other side closes."""
        with contextlib.suppress(DeadlineExceeded), self.world.deadline(self.world.now_us() + microseconds):
            to.wait_input()
            raise Over

    def due(self, step: str, number: bytes, to: Stream) -> None:
        """A step of this host's own is due. Raises Over if an event closed the connection."""
        put_off_us = self.platform.steps.before(step, number, self)
        if put_off_us:
            self.wait(to, put_off_us)
        if not to.is_idle():
            raise Over

    def made(self, step: str, number: bytes) -> None:
        """A step of the dispatcher's came."""
        self.platform.steps.before(step, number, self)
        self.platform.steps.after(step, number, self)


class CrossingPlatform(Platform):
    """One dispatcher's surroundings."""

    hosts: dict[str, CrossingHost]  # type: ignore[assignment]

    def __init__(self, sim: Simulation, ledger: Ledger, steps: Steps, flavors: list[str], conn_idle_us: int) -> None:
        self.ledger, self.steps, self.conn_idle_us = ledger, steps, conn_idle_us
        self.flavors = flavors
        self.orders: dict[bytes, str] = {}  # what a host is to do with a request's next answer
        self.rng: Random = sim.random("platform")
        self.changes: list[tuple[int, str]] = []  # revision and host
        self.undelivered: dict[str, int] = {}  # hosts whose change no list has told yet, and when it came
        self.silent_since_us = 0  # of the watches that fell silent, until a new call comes; 0: none has
        self.moved_us = 0
        self.older = False  # the next list is one of before
        self.news = Signal(sim.scheduler)
        super().__init__(sim)

    def __post_init__(self) -> None:
        for at, flavor in enumerate(self.flavors):
            self.add(f"{flavor}-{at}", flavor, f"10.3.0.{at}:9000")
        self.revision = FIRST_REVISION
        self.clients = self.sim.program("clients")
        self.discovery(TOLD["ROUTER_DISCOVERY"])

    def add(self, name: str, flavor: str, address: str) -> None:
        self.hosts[name] = CrossingHost(self, name, flavor, address)

    def joined(self, name: str) -> None:
        """Discovery learns of a new host."""
        self.revision += 1
        self.changes.append((self.revision, name))
        self.wake()

    # --- discovery

    def change(self, host: CrossingHost, phase: str) -> None:
        """Discovery learns of a host's drain or end."""
        if host.phase != "Ready":
            return
        host.phase = phase
        self.revision += 1
        self.changes.append((self.revision, host.name))
        counts_us = max(self.sim.now_us(), self.down_until_us)
        if self.silent_since_us:
            counts_us = max(counts_us, self.silent_since_us + SILENT_COUNTS_US)
        if self.moved_us:
            counts_us = max(counts_us, self.moved_us + MOVED_COUNTS_US)
        self.ledger.told[host.name] = counts_us
        self.undelivered[host.name] = self.sim.now_us()
        self.wake()

    def wake(self) -> None:
        """Let the watches look for what is new."""
        news, self.news = self.news, Signal(self.sim.scheduler)
        news.set()

    def silence(self) -> None:
        """The watches that are open fall silent."""
        self.watches += 1
        self.silent_since_us = self.sim.now_us()
        self.missed(self.silent_since_us + SILENT_COUNTS_US)

    def down(self, microseconds: int) -> None:
        """The agent is silent for a while and learns nothing."""
        self.down_until_us = max(self.down_until_us, self.sim.now_us() + microseconds)
        self.missed(self.down_until_us)

    def missed(self, counts_us: int) -> None:
        """What came in this very moment was not told yet."""
        for name, at in self.undelivered.items():
            if at > self.sim.now_us() - MOMENT_US:
                self.ledger.told[name] = max(self.ledger.told[name], counts_us)

    def members(self) -> list[dict[str, Any]]:
        return [row for row in super().members() if row["phase"] != "Gone"]

    def listed(self, since: int, below: int) -> bytes:
        rows, complete = super().members(), since < 0 or self.rng.random() < 0.5
        if complete:
            rows = [row for row in rows if row["phase"] != "Gone"]
        else:
            changed = {name for revision, name in self.changes if revision > since}
            rows = [row for row in rows if row["id"] in changed]
        if self.older:
            self.older = False
            return json.dumps(
                {"revision": 0, "complete": True, "members": [{**row, "phase": "Ready"} for row in super().members()]}
            ).encode()
        for name in self.undelivered:
            self.ledger.delivered(name, self.sim.now_us())
        self.undelivered.clear()
        return json.dumps({"revision": self.revision - below, "complete": complete, "members": rows}).encode()

    def discovery(self, address: str, below: int = 0) -> VirtualWorld:
        """An agent, whose revisions may begin lower."""
        world = self.sim.program(f"discovery {address}")
        host, _, port = address.rpartition(":")
        listener = world.listen(host, int(port))

        def serve(stream: Stream) -> None:
            parser, era = http1.RequestParser(), self.watches
            self.open_watches.append(stream)

            def silent() -> bool:
                return era != self.watches or world.now_us() < self.down_until_us

            with contextlib.suppress(StreamError):
                while (head := read_request(stream, parser)) is not None:
                    if era == self.watches:
                        self.silent_since_us = 0
                    query = dict(p.split(b"=") for p in head.target.partition(b"?")[2].split(b"&") if p)
                    index = int(query.get(b"index", -1 - below)) + below
                    until = world.now_us() + int(query.get(b"wait", 0)) * 1_000
                    while not silent() and index >= self.revision and world.now_us() < until and not self.older:
                        with contextlib.suppress(DeadlineExceeded), world.deadline(until):
                            self.news.wait()
                    if silent():
                        world.sleep_until(world.now_us() + 3_600_000_000)
                    stream.write(plain(200, self.listed(index, below)))

        def accept() -> None:
            while True:
                world.spawn("serve", serve, listener.accept())

        world.spawn("accept", accept)
        return world

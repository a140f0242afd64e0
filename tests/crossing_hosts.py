"""Simulated hosts and discovery for crossing worlds: events may strike at each step; the ledger records all bytes."""

from __future__ import annotations

import contextlib
import json
import re
from random import Random
from typing import Any, Protocol

from tests.platform_standin import ENVIRONMENT, HEAD, Host, Platform, plain, read_request
from tests.world_ledger import Attempt, Hold, Ledger
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import DeadlineExceeded, Signal
from yardspindle.runtime.virtual import Simulation, VirtualWorld
from yardspindle.runtime.world import Stream, StreamError

REQUEST_ID = re.compile(rb"req-id: *([0-9a-z.]+)\r\n|/bootstrap/rooms/([0-9a-z.]+) ")
NO_ANSWER_US = 60_000_000
UNKNOWN_READ_US = 300_000  # after this a writer asked for a place answers that it knows of no such read
SILENT_WATCH_LIMIT_US = 6_000_000  # after this the dispatcher must know of drains that a silent watch did not report
MOVED_AGENT_LIMIT_US = 4_000_000  # after this it must know what the agent at a new address lists
FIRST_REVISION = 9  # above 1, so that a second agent can begin with a lower revision
PROPAGATION_US = 5_000  # what was written or listed more recently than this may not have been sent yet
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"%s"},"finish_reason":null}]}\n\n'
USAGE = b'data: {"choices":[],"usage":{"prompt_tokens_details":{"cached_tokens":64}}}\n\n'


class Observer(Protocol):
    """Is called around each step of a request; `before` returns the delay of the step in microseconds."""

    def before(self, step: str, request_id: bytes, host: CrossingHost | None) -> int:
        """A step is about to happen."""

    def after(self, step: str, request_id: bytes, host: CrossingHost | None) -> None:
        """A step has happened."""


class ExchangeEnded(Exception):
    """Either side closed the connection during an exchange."""


class CrossingHost(Host):
    """A reader or writer that applies the fault set for a request, if any, to its next answer."""

    platform: CrossingPlatform

    def __init__(self, platform: CrossingPlatform, name: str, flavor: str, address: str) -> None:
        self.rng = platform.sim.random(f"host {name}")
        self.work_us = (self.rng.randrange(2_000, 60_000), self.rng.randrange(60_000, 250_000))
        self.gap_us = self.rng.randrange(3_000, 90_000)
        self.reads = flavor == "reads"
        self.in_flight: dict[bytes, tuple[Attempt, Stream]] = {}  # attempts in flight here
        self.streams: dict[Stream, bool] = {}  # connections; True: between requests
        self.dead = False
        super().__init__(platform, name, flavor, address)

    # --- connections

    def serve(self, stream: Stream) -> None:
        self.streams[stream] = True
        parser = http1.RequestParser()
        try:
            while self.serve_one(stream, parser):
                self.streams[stream] = True
        except (StreamError, ExchangeEnded, DeadlineExceeded):
            pass
        self.streams.pop(stream, None)
        stream.close()

    def serve_one(self, to: Stream, parser: http1.RequestParser) -> bool:
        """Serves one request; returns whether another may follow on the connection."""
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
                found, raw = REQUEST_ID.search(raw + data) if not REQUEST_ID.search(raw) else None, raw + data
                if found and raw.startswith(b"POST"):
                    attempt = self.begin_attempt(to, found[1], first_us) if found[1] else None
                    if attempt is None:
                        self.platform.ledger.places.append((found[2], self.name, first_us))
                parser.feed(data)
                while (event := parser.next_event()) is not None and not isinstance(event, http1.End):
                    head = event if isinstance(event, http1.RequestHead) else head
                if event is not None:
                    break
            assert head is not None
            if attempt is None:
                return self.answer_place(to, head.method, head.target.rpartition(b"/")[2])
            attempt.last_us = self.world.now_us()
            attempt.stated_deadline_ms = int(head.get(b"req-deadline-ms") or 0)
            self.on_dispatcher_step("read_last" if self.reads else "write_last", attempt.id)
            return self.respond(to, attempt)
        finally:
            if attempt is not None:
                attempt.over_us = attempt.over_us or self.world.now_us()
                if self.in_flight.get(attempt.id, (None,))[0] is attempt:
                    del self.in_flight[attempt.id]

    def begin_attempt(self, to: Stream, request_id: bytes, first_us: int) -> Attempt:
        attempt = Attempt(request_id, self.name, not self.reads, first_us)
        self.platform.ledger.attempts.append(attempt)
        self.in_flight[request_id] = attempt, to
        self.on_dispatcher_step("read_first" if self.reads else "write_first", request_id)
        return attempt

    def answer_place(self, to: Stream, method: bytes, request_id: bytes) -> bool:
        platform = self.platform
        if method == b"DELETE":
            platform.ledger.freed.append((request_id, self.world.now_us()))
            platform.states.discard(request_id)
            to.write(plain(204))
            return True
        self.on_dispatcher_step("place_last", request_id)
        requested_us = self.world.now_us()
        if not any(request_id in host.in_flight for host in platform.hosts.values() if host.reads):
            self.wait(to, UNKNOWN_READ_US)
            to.write(plain(204))
            return True
        self.wait(to, 1_000 + self.rng.randrange(8_000))
        status = 409 if self.rng.random() < 0.15 else 200
        self.before_step("place_answer", request_id, to)
        if status == 200:
            platform.ledger.holds.append(Hold(request_id, self.name, True, requested_us))
        to.write(plain(status))  # after the hold is recorded: a write may use the place at once
        self.platform.steps.after("place_answer", request_id, self)
        return True

    # --- answers

    def respond(self, to: Stream, attempt: Attempt) -> bool:
        platform, request_id = self.platform, attempt.id
        self.wait(to, self.rng.randrange(*self.work_us))
        self.before_step("read_answer" if self.reads else "first_token", request_id, to)
        fault = platform.answer_faults.pop(request_id, "")
        if fault == "silence":
            self.wait(to, NO_ANSWER_US)
        if fault in ("503", "410", "500"):  # 410 (no state) is an answer of writers only
            return self.decline(to, attempt, int(fault) if not self.reads or fault != "410" else 503)
        if self.reads:
            return self.read(to, attempt, fault)
        if request_id not in platform.states:
            attempt.no_state = True
            return self.decline(to, attempt, 410)
        return self.stream(to, attempt, fault)

    def decline(self, to: Stream, attempt: Attempt, status: int) -> bool:
        attempt.never_ran = status != 500
        attempt.no_state = attempt.no_state or status == 410
        attempt.over_us = self.world.now_us()
        to.write(plain(status, b"", *([(b"srv-declined", b"1")] if status != 500 else [])))
        self.platform.steps.after("read_answer" if self.reads else "first_token", attempt.id, self)
        return True

    def read(self, to: Stream, attempt: Attempt, fault: str) -> bool:
        answer = plain(202, b'{"cached_tokens":7}')
        self.keep_state(attempt)
        attempt.over_us = self.world.now_us()
        if fault == "cut":
            to.write(answer[:-8])
            self.break_connection(to)
        to.write(answer)
        if fault == "second":
            self.answer_twice(to, answer)
        self.platform.steps.after("read_answer", attempt.id, self)
        return True

    def keep_state(self, attempt: Attempt) -> None:
        """Keeps the state that a successful read leaves."""
        self.platform.states.add(attempt.id)
        self.platform.ledger.holds.append(Hold(attempt.id, self.name, False, self.world.now_us()))

    def stream(self, to: Stream, attempt: Attempt, fault: str) -> bool:
        platform, request_id = self.platform, attempt.id
        if fault == "cut":
            attempt.broken_us = self.world.now_us()
            to.write(HEAD)
            self.break_connection(to)
        platform.states.discard(request_id)
        count = self.rng.randrange(3, 9)
        tag = b"%s-%d" % (request_id, len(platform.ledger.attempts))
        events = [EVENT % (b"%s-%d" % (tag, at)) for at in range(count)] + [USAGE, b"data: [DONE]\n\n"]
        for at, event in enumerate(events):
            if at:
                self.wait(to, self.gap_us if at < count else 1_000)
                self.before_step("chunk", request_id, to)
                fault = platform.answer_faults.pop(request_id, "") or fault
            if fault == "spoilt" and at:
                attempt.broken_us = self.world.now_us()
                to.write(self.rng.choice((b"zz\r\n", b"5\r\nhello!\r\n")))
                self.wait(to, NO_ANSWER_US)
            if fault == "silence":
                self.wait(to, NO_ANSWER_US)
            attempt.body += event
            attempt.pieces.append((self.world.now_us(), len(attempt.body)))
            to.write((b"" if at else HEAD) + http1.write_chunk(event))
            platform.steps.after("chunk" if at else "first_token", request_id, self)
        self.before_step("last_chunk", request_id, to)
        fault = platform.answer_faults.pop(request_id, "") or fault
        attempt.finished_us = attempt.over_us = self.world.now_us()
        to.write(http1.LAST_CHUNK)
        if fault == "fin_last":
            to.close()
        elif fault == "second":
            self.answer_twice(to, HEAD + b"".join(map(http1.write_chunk, events)) + http1.LAST_CHUNK)
        platform.steps.after("last_chunk", request_id, self)
        return fault != "fin_last"

    def answer_twice(self, to: Stream, answer: bytes) -> None:
        """Sends a second answer, right behind the first or some milliseconds later."""
        if self.rng.random() < 0.3:
            to.write(answer)
            return

        def late() -> None:
            self.sleep(self.rng.randrange(1_000, 8_001))
            with contextlib.suppress(StreamError):
                to.write(answer)

        self.world.spawn("second answer", late)

    def break_connection(self, to: Stream) -> None:
        """Ends the connection inside an answer."""
        (to.close if self.rng.random() < 0.5 else to.abort)()
        raise ExchangeEnded

    def close_attempt(self, request_id: bytes, reset: bool) -> None:
        """Ends the connection of an attempt in flight here; a read's state may remain."""
        if request_id not in self.in_flight:
            return
        attempt, to = self.in_flight.pop(request_id)
        attempt.over_us = attempt.broken_us = self.world.now_us()
        if self.reads and attempt.last_us is not None and not self.dead and self.rng.random() < 0.5:
            self.keep_state(attempt)
        (to.abort if reset else to.close)()

    def die(self) -> None:
        """The process dies: its connections are reset, new ones refused."""
        self.dead = True
        self.platform.ledger.died[self.name] = self.world.now_us()
        for request_id in list(self.in_flight):
            self.close_attempt(request_id, True)
        for attempt in self.platform.ledger.attempts:  # the reset overtakes what was just written
            if attempt.host == self.name and (attempt.over_us or 0) > self.world.now_us() - PROPAGATION_US:
                attempt.broken_us = attempt.broken_us or self.world.now_us()
        self.world.kill()

    def wait(self, to: Stream, microseconds: int) -> None:
        """Works for this long. Raises ExchangeEnded once the other side closes."""
        with contextlib.suppress(DeadlineExceeded), self.world.deadline(self.world.now_us() + microseconds):
            to.wait_input()
            raise ExchangeEnded

    def before_step(self, step: str, request_id: bytes, to: Stream) -> None:
        """Runs the events before a step of this host. Raises ExchangeEnded if one closed the connection."""
        delay_us = self.platform.steps.before(step, request_id, self)
        if delay_us:
            self.wait(to, delay_us)
        if not to.is_idle():
            raise ExchangeEnded

    def on_dispatcher_step(self, step: str, request_id: bytes) -> None:
        """A step of the dispatcher reached this host."""
        self.platform.steps.before(step, request_id, self)
        self.platform.steps.after(step, request_id, self)


class CrossingPlatform(Platform):
    """The hosts and discovery of one simulated dispatcher."""

    hosts: dict[str, CrossingHost]  # type: ignore[assignment]

    def __init__(self, sim: Simulation, ledger: Ledger, steps: Observer, flavors: list[str], conn_idle_us: int) -> None:
        self.ledger, self.steps, self.conn_idle_us = ledger, steps, conn_idle_us
        self.flavors = flavors
        self.answer_faults: dict[bytes, str] = {}  # by request: the fault of its next answer, applied once
        self.rng: Random = sim.random("platform")
        self.changes: list[tuple[int, str]] = []  # revision and host
        self.undelivered: dict[str, int] = {}  # hosts whose change no list has reported yet, and when it happened
        self.silent_since_us = 0  # since when the watches are silent; 0: they are not
        self.moved_us = 0  # when the configuration named another agent; 0: never
        self.stale = False  # the next answer is an outdated list
        self.changed = Signal(sim.scheduler)
        super().__init__(sim)

    def __post_init__(self) -> None:
        for at, flavor in enumerate(self.flavors):
            self.add(f"{flavor}-{at}", flavor, f"10.3.0.{at}:9000")
        self.revision = FIRST_REVISION
        self.clients = self.sim.program("clients")
        self.discovery(ENVIRONMENT["ROUTER_DISCOVERY"])

    def add(self, name: str, flavor: str, address: str) -> None:
        self.hosts[name] = CrossingHost(self, name, flavor, address)

    def on_host_added(self, name: str) -> None:
        """Discovery lists a new host."""
        self.revision += 1
        self.changes.append((self.revision, name))
        self.wake_watches()

    # --- discovery

    def change_phase(self, host: CrossingHost, phase: str) -> None:
        """Discovery lists a host as draining or gone, and the ledger notes when the dispatcher must know."""
        if host.phase != "Ready":
            return
        host.phase = phase
        self.revision += 1
        self.changes.append((self.revision, host.name))
        known_us = max(self.sim.now_us(), self.down_until_us)
        if self.silent_since_us:
            known_us = max(known_us, self.silent_since_us + SILENT_WATCH_LIMIT_US)
        if self.moved_us:
            known_us = max(known_us, self.moved_us + MOVED_AGENT_LIMIT_US)
        self.ledger.drains_known[host.name] = known_us
        self.undelivered[host.name] = self.sim.now_us()
        self.wake_watches()

    def wake_watches(self) -> None:
        """Makes the waiting watches check for changes."""
        previous, self.changed = self.changed, Signal(self.sim.scheduler)
        previous.set()

    def silence_watches(self) -> None:
        """The open watches become silent."""
        self.silenced_watches += 1
        self.silent_since_us = self.sim.now_us()
        self.postpone_undelivered(self.silent_since_us + SILENT_WATCH_LIMIT_US)

    def stop_agent(self, microseconds: int) -> None:
        """The agent is silent for this long."""
        self.down_until_us = max(self.down_until_us, self.sim.now_us() + microseconds)
        self.postpone_undelivered(self.down_until_us)

    def postpone_undelivered(self, known_us: int) -> None:
        """Changes within PROPAGATION_US may not have been sent; the dispatcher must know of them by `known_us`."""
        for name, at in self.undelivered.items():
            if at > self.sim.now_us() - PROPAGATION_US:
                self.ledger.drains_known[name] = max(self.ledger.drains_known[name], known_us)

    def members(self) -> list[dict[str, Any]]:
        return [row for row in super().members() if row["phase"] != "Gone"]

    def list_body(self, since: int, below: int) -> bytes:
        rows, complete = super().members(), since < 0 or self.rng.random() < 0.5
        if complete:
            rows = [row for row in rows if row["phase"] != "Gone"]
        else:
            changed = {name for revision, name in self.changes if revision > since}
            rows = [row for row in rows if row["id"] in changed]
        if self.stale:
            self.stale = False
            return json.dumps(
                {"revision": 0, "complete": True, "members": [{**row, "phase": "Ready"} for row in super().members()]}
            ).encode()
        for name in self.undelivered:
            self.ledger.drain_delivered(name, self.sim.now_us())
        self.undelivered.clear()
        return json.dumps({"revision": self.revision - below, "complete": complete, "members": rows}).encode()

    def discovery(self, address: str, below: int = 0) -> VirtualWorld:
        """Starts an agent; another agent may count the same changes from a lower revision, by `below`."""
        world = self.sim.program(f"discovery {address}")
        host, _, port = address.rpartition(":")
        listener = world.listen(host, int(port))

        def serve(stream: Stream) -> None:
            parser, generation = http1.RequestParser(), self.silenced_watches
            self.open_watches.append(stream)

            def is_silent() -> bool:
                return generation != self.silenced_watches or world.now_us() < self.down_until_us

            with contextlib.suppress(StreamError):
                while (head := read_request(stream, parser)) is not None:
                    if generation == self.silenced_watches:
                        self.silent_since_us = 0
                    query = dict(p.split(b"=") for p in head.target.partition(b"?")[2].split(b"&") if p)
                    index = int(query.get(b"index", -1 - below)) + below
                    until = world.now_us() + int(query.get(b"wait", 0)) * 1_000
                    while not is_silent() and index >= self.revision and world.now_us() < until and not self.stale:
                        with contextlib.suppress(DeadlineExceeded), world.deadline(until):
                            self.changed.wait()
                    if is_silent():
                        world.sleep_until(world.now_us() + 3_600_000_000)
                    stream.write(plain(200, self.list_body(index, below)))

        def accept() -> None:
            while True:
                world.spawn("serve", serve, listener.accept())

        world.spawn("accept", accept)
        return world

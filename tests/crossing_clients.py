"""Clients for worlds of crossings: they ask, read, leave, flood and rest, and write down what they see."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from tests.crossing_draw import FRESH_REST, Ask
from tests.world_ledger import Asked
from yardspindle.core.request import timeouts
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import DeadlineExceeded, Signal
from yardspindle.runtime.world import ConnectError, Stream, StreamError

if TYPE_CHECKING:
    from tests.crossing_worlds import World

PATIENCE_US = 1_500_000  # past the time of a request
STREAM_US = 12_000_000
CONNECTS_AFTER_TERM_US = 200_000
RESTED_US = 1_000_000  # a new connection that has brought nothing for so long is one between requests


def written(number: bytes, cls: bytes, deadline_ms: int, session: bytes, body: bytes = b'{"stream":true}') -> bytes:
    headers = [
        (b"host", b"api"),
        (b"req-id", number),
        (b"req-kind", cls),
        (b"req-key", session),
        (b"req-deadline-ms", b"%d" % deadline_ms),
        (b"req-extra", b"prompt_len=1000,max_out=10"),
    ]
    return http1.write_request(b"POST", b"/v1/chat/completions", headers, body)


class Connection:
    """A client's connection."""

    def __init__(self, stream: Stream, made_us: int) -> None:
        self.stream, self.made_us = stream, made_us
        self.parser = http1.ResponseParser()
        self.used = False
        self.left = self.floods = False


class CrossingClients:
    """All clients of a world."""

    def __init__(self, world: World) -> None:
        self.world, self.platform, self.ledger = world, world.platform, world.ledger
        self.rng = world.sim.random("clients")
        self.now_us = world.sim.now_us
        self.open: dict[bytes, tuple[Ask, Connection]] = {}
        self.terminated: Signal = self.platform.clients.signal()
        self.crossing_us = 0  # when a dispatcher that was told to end shuts its resting connections

    def run(self) -> None:
        """Play all clients to their end."""
        spawn = self.platform.clients.spawn
        began_us = self.now_us()
        tasks = [spawn("client", self.client, asks, began_us) for asks in self.world.plan.clients]
        if any(crossing.event == "sigterm" for crossing in self.world.plan.crossings):
            tasks += [spawn("waits", self.waits, at) for at in range(3)]
        if self.world.plan.rest:
            tasks.append(spawn("rests", self.rests, self.world.plan.rest == FRESH_REST))
        for task in tasks:
            task.join()

    def client(self, asks: list[Ask], began_us: int) -> None:
        connection: Connection | None = None
        for ask in asks:
            self.platform.clients.sleep_until(began_us + ask.at_us)
            if connection is not None and (ask.new or not connection.stream.is_idle()):
                connection.stream.close()
                connection = None
            connection = self.ask(ask, connection)

    def waits(self, at: int) -> None:
        """Keeps a connection and uses it again in the moment in which a dispatcher that ends shuts it."""
        row = self.world.plan.settings["services"][at % 2]
        ask = Ask(b"w%d.0" % at, 0, row["name"], row["idempotency"], int(row["give-up-us"]) // 1_000, b"w", False)
        self.platform.sleep(5_000)
        connection = self.ask(ask, None)
        with contextlib.suppress(DeadlineExceeded), self.platform.clients.deadline(self.now_us() + 15_000_000):
            self.terminated.wait()
        if connection is not None and self.terminated.is_set:
            self.platform.clients.sleep_until(self.crossing_us + self.rng.randrange(-4_000, 2_000))
            self.ask(Ask(b"w%d.1" % at, 0, ask.cls, ask.effect, ask.deadline_ms, b"w", False), connection)

    def rests(self, fresh: bool) -> None:
        """Rests until the dispatcher shuts the connection, and asks in that moment."""
        row = self.world.plan.settings["services"][0]
        ask = Ask(b"r.0", 0, row["name"], row["idempotency"], int(row["give-up-us"]) // 1_000, b"r", False)
        self.platform.sleep(5_000)
        connection = self.connect() if fresh else self.ask(ask, None)
        if connection is not None:
            rest_us = timeouts.CLIENT_REQUEST_US if fresh else timeouts.IDLE_CLIENT_US
            self.platform.sleep(rest_us + self.rng.randrange(-6_000, 4_000))
            self.ask(Ask(b"r.1", 0, ask.cls, ask.effect, ask.deadline_ms, b"r", False), connection)

    # --- one request

    def connect(self) -> Connection | None:
        """A new connection; none after the dispatcher was told to end."""
        term_us = self.ledger.term_us
        if term_us is not None and self.now_us() > term_us + CONNECTS_AFTER_TERM_US:
            return None
        try:
            return Connection(self.platform.connect(), self.now_us())
        except ConnectError as error:
            self.ledger.unserved.append(f"a client's connection was not made: {error}")
            return None

    def ask(self, ask: Ask, connection: Connection | None) -> Connection | None:
        """Ask and read the answer; the connection, if it can be used again."""
        connection = connection or self.connect()
        if connection is None:
            return None
        fresh = not connection.used and self.now_us() < connection.made_us + RESTED_US
        connection.used = True
        self.open[ask.number] = ask, connection
        data = written(ask.number, ask.cls.encode(), ask.deadline_ms, ask.session)
        try:
            connection.stream.write(data[:-1])
            self.platform.sleep(self.world.before("client_sent", ask.number, None) or 0)
            connection.stream.write(data[-1:])
            row = Asked(ask.number, ask.effect, ask.deadline_ms * 1_000, self.now_us(), fresh)
            self.ledger.asked[ask.number] = row
            self.world.after("client_sent", ask.number, None)
            keep = self.read(row, connection)
        except StreamError:
            known = self.ledger.asked.get(ask.number)
            if known is not None and not connection.left and known.whole_us is None:
                known.closed_us = self.now_us()
            keep = False
        self.open.pop(ask.number, None)
        if connection.left or connection.floods:  # a flood ends with the close
            return None
        if not keep:
            self.close(ask.number, connection)
        return connection if keep else None

    def read(self, row: Asked, connection: Connection) -> bool:
        """The answer, piece by piece; whether the connection can be used again. Raises StreamError."""
        parser = connection.parser
        parser.expect_response(b"POST")
        limit_us, keep = row.sent_us + row.deadline_us + PATIENCE_US, False
        with contextlib.suppress(DeadlineExceeded), self.platform.clients.deadline(limit_us):
            keep = self.head(row, connection)
        if row.status == 200:
            with contextlib.suppress(DeadlineExceeded), self.platform.clients.deadline(self.now_us() + STREAM_US):
                keep = self.rest(row, connection, keep)
        elif row.status:
            with contextlib.suppress(DeadlineExceeded), self.platform.clients.deadline(self.now_us() + 500_000):
                keep = self.rest(row, connection, keep)
        if row.whole_us is not None:
            row.stray = bytes(parser.buffer)
        return keep and row.whole_us is not None

    def head(self, row: Asked, connection: Connection) -> bool:
        while (event := connection.parser.next_event()) is None:
            data = connection.stream.read()
            if not data:
                raise StreamError("closed")
            connection.parser.feed(data)
        assert isinstance(event, http1.ResponseHead)
        row.status = event.status
        return http1.keeps_alive(event)

    def rest(self, row: Asked, connection: Connection, keep: bool) -> bool:
        parser = connection.parser
        while True:
            event = parser.next_event()
            if event is None:
                data = connection.stream.read()
                if not data:
                    raise StreamError("closed")
                parser.feed(data)
            elif isinstance(event, http1.Data):
                row.body += event.data
                row.pieces.append((self.now_us(), len(row.body)))
            elif isinstance(event, http1.End):
                row.whole_us = self.now_us()
                return keep

    # --- leaving

    def close(self, number: bytes, connection: Connection, reset: bool = False) -> None:
        """The client closes: it has gone."""
        connection.left = True
        row = self.ledger.asked.get(number)
        if row is not None and row.whole_us is None and row.closed_us is None:
            row.left_us = self.now_us()
        (connection.stream.abort if reset else connection.stream.close)()

    def leave(self, number: bytes, reset: bool) -> Ask | None:
        """The client of an open request closes."""
        known = self.open.pop(number, None)
        if known is None:
            return None
        self.close(number, known[1], reset)
        return known[0]

    def flood(self, number: bytes, size: int) -> None:
        """The client of an open request sends many more and closes."""
        known = self.open.get(number)
        if known is None or number not in self.ledger.asked:
            return
        ask, connection = known
        if connection.floods:
            return
        connection.floods = True

        def pour() -> None:
            sent = at = 0
            with contextlib.suppress(StreamError):
                while sent < size and not connection.left:
                    more = b"%s.p%d" % (number, at)
                    data = written(
                        more,
                        ask.cls.encode(),
                        ask.deadline_ms,
                        ask.session,
                        b'{"stream":true,"x":"%s"}' % (b"x" * min(size, 20_000)),
                    )
                    connection.stream.write(data)
                    self.ledger.asked[more] = Asked(more, ask.effect, ask.deadline_ms * 1_000, self.now_us(), False)
                    sent, at = sent + len(data), at + 1

        def go() -> None:
            task = self.platform.clients.spawn("pour", pour)
            with contextlib.suppress(DeadlineExceeded), self.platform.clients.deadline(self.now_us() + 20_000):
                task.join()
            self.open.pop(number, None)
            self.close(number, connection)
            for more, row in self.ledger.asked.items():
                if more.startswith(number + b".p"):
                    row.left_us = self.now_us()

        self.platform.clients.spawn("flood", go)

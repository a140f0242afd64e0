"""Simulated clients of crossing worlds: they send, read, leave, flood and idle, and record what they see."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from tests.crossing_draw import IDLE_UNUSED, PlannedRequest
from tests.world_ledger import ClientRequest
from yardspindle.core.request import timeouts
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import DeadlineExceeded, Signal
from yardspindle.runtime.world import ConnectError, Stream, StreamError

if TYPE_CHECKING:
    from tests.crossing_worlds import CrossingWorld

ANSWER_SLACK_US = 1_500_000  # a client waits for its answer this long past the deadline
MAX_STREAM_US = 12_000_000  # a client reads a stream for this long
MAX_CONNECT_AFTER_SIGTERM_US = 200_000
MAX_FRESH_US = 1_000_000  # after this an unused connection may be closed like an idle one


def request_bytes(
    request_id: bytes, service: bytes, deadline_ms: int, session: bytes, body: bytes = b'{"stream":true}'
) -> bytes:
    headers = [
        (b"host", b"api"),
        (b"req-id", request_id),
        (b"req-kind", service),
        (b"req-key", session),
        (b"req-deadline-ms", b"%d" % deadline_ms),
        (b"req-extra", b"prompt_len=1000,max_out=10"),
    ]
    return http1.write_request(b"POST", b"/v1/chat/completions", headers, body)


class Connection:
    """A client's connection; `left`: the client closed it."""

    def __init__(self, stream: Stream, made_us: int) -> None:
        self.stream, self.made_us = stream, made_us
        self.parser = http1.ResponseParser()
        self.used = False
        self.left = self.flooding = False


class CrossingClients:
    """All clients of a world; `open` maps ids of unanswered requests to them and their connections."""

    def __init__(self, world: CrossingWorld) -> None:
        self.world, self.platform, self.ledger = world, world.platform, world.ledger
        self.rng = world.sim.random("clients")
        self.now_us = world.sim.now_us
        self.open: dict[bytes, tuple[PlannedRequest, Connection]] = {}
        self.terminated: Signal = self.platform.clients.signal()
        self.close_idle_us = 0  # when a dispatcher in graceful shutdown closes its idle connections

    def run(self) -> None:
        """Runs all clients to their end."""
        spawn = self.platform.clients.spawn
        began_us = self.now_us()
        tasks = [spawn("client", self.run_client, requests, began_us) for requests in self.world.plan.clients]
        if any(crossing.event == "sigterm" for crossing in self.world.plan.crossings):
            tasks += [spawn("shutdown client", self.reuse_at_shutdown, at) for at in range(3)]
        if self.world.plan.idle_client:
            tasks.append(spawn("idle client", self.reuse_at_idle_timeout, self.world.plan.idle_client == IDLE_UNUSED))
        for task in tasks:
            task.join()

    def run_client(self, requests: list[PlannedRequest], began_us: int) -> None:
        connection: Connection | None = None
        for planned in requests:
            self.platform.clients.sleep_until(began_us + planned.at_us)
            if connection is not None and (planned.new_connection or not connection.stream.is_idle()):
                connection.stream.close()
                connection = None
            connection = self.send_request(planned, connection)

    def reuse_at_shutdown(self, at: int) -> None:
        """Keeps a connection idle and uses it again at the moment a graceful shutdown closes it."""
        row = self.world.plan.settings["services"][at % 2]
        planned = PlannedRequest(
            b"w%d.0" % at, 0, row["name"], row["idempotency"], int(row["give-up-us"]) // 1_000, b"w", False
        )
        self.platform.sleep(5_000)
        connection = self.send_request(planned, None)
        with contextlib.suppress(DeadlineExceeded), self.platform.clients.deadline(self.now_us() + 15_000_000):
            self.terminated.wait()
        if connection is not None and self.terminated.is_set:
            self.platform.clients.sleep_until(self.close_idle_us + self.rng.randrange(-4_000, 2_000))
            self.send_request(
                PlannedRequest(
                    b"w%d.1" % at, 0, planned.service, planned.idempotency, planned.deadline_ms, b"w", False
                ),
                connection,
            )

    def reuse_at_idle_timeout(self, fresh: bool) -> None:
        """Stays idle until the dispatcher closes the connection, and sends a request at that moment.

        `fresh`: on a connection that has not been used before.
        """
        row = self.world.plan.settings["services"][0]
        planned = PlannedRequest(
            b"r.0", 0, row["name"], row["idempotency"], int(row["give-up-us"]) // 1_000, b"r", False
        )
        self.platform.sleep(5_000)
        connection = self.connect() if fresh else self.send_request(planned, None)
        if connection is not None:
            idle_us = timeouts.CLIENT_REQUEST_US if fresh else timeouts.IDLE_CLIENT_US
            self.platform.sleep(idle_us + self.rng.randrange(-6_000, 4_000))
            self.send_request(
                PlannedRequest(b"r.1", 0, planned.service, planned.idempotency, planned.deadline_ms, b"r", False),
                connection,
            )

    # --- one request

    def connect(self) -> Connection | None:
        """A new connection; None if refused, or too long after the dispatcher's SIGTERM."""
        term_us = self.ledger.term_us
        if term_us is not None and self.now_us() > term_us + MAX_CONNECT_AFTER_SIGTERM_US:
            return None
        try:
            return Connection(self.platform.connect(), self.now_us())
        except ConnectError as error:
            self.ledger.refused_connections.append(f"a client's connection was not made: {error}")
            return None

    def send_request(self, planned: PlannedRequest, connection: Connection | None) -> Connection | None:
        """Sends a request and reads its answer; returns the connection if it can be used again."""
        connection = connection or self.connect()
        if connection is None:
            return None
        fresh = not connection.used and self.now_us() < connection.made_us + MAX_FRESH_US
        connection.used = True
        self.open[planned.id] = planned, connection
        data = request_bytes(planned.id, planned.service.encode(), planned.deadline_ms, planned.session)
        try:
            connection.stream.write(data[:-1])
            self.platform.sleep(self.world.before("client_sent", planned.id, None) or 0)
            connection.stream.write(data[-1:])
            record = ClientRequest(planned.id, planned.idempotency, planned.deadline_ms * 1_000, self.now_us(), fresh)
            self.ledger.requests[planned.id] = record
            self.world.after("client_sent", planned.id, None)
            keep = self.read_response(record, connection)
        except StreamError:
            entry = self.ledger.requests.get(planned.id)
            if entry is not None and not connection.left and entry.whole_us is None:
                entry.closed_us = self.now_us()
            keep = False
        self.open.pop(planned.id, None)
        if connection.left or connection.flooding:  # a flood closes the connection itself
            return None
        if not keep:
            self.close(planned.id, connection)
        return connection if keep else None

    def read_response(self, record: ClientRequest, connection: Connection) -> bool:
        """Reads the answer piece by piece; returns whether the connection can be used again. Raises StreamError."""
        parser = connection.parser
        parser.expect_response(b"POST")
        limit_us, keep = record.sent_us + record.deadline_us + ANSWER_SLACK_US, False
        with contextlib.suppress(DeadlineExceeded), self.platform.clients.deadline(limit_us):
            keep = self.read_head(record, connection)
        if record.status == 200:
            with contextlib.suppress(DeadlineExceeded), self.platform.clients.deadline(self.now_us() + MAX_STREAM_US):
                keep = self.read_body(record, connection, keep)
        elif record.status:
            with contextlib.suppress(DeadlineExceeded), self.platform.clients.deadline(self.now_us() + 500_000):
                keep = self.read_body(record, connection, keep)
        if record.whole_us is not None:
            record.stray = bytes(parser.buffer)
        return keep and record.whole_us is not None

    def read_head(self, record: ClientRequest, connection: Connection) -> bool:
        while (event := connection.parser.next_event()) is None:
            data = connection.stream.read()
            if not data:
                raise StreamError("closed")
            connection.parser.feed(data)
        assert isinstance(event, http1.ResponseHead)
        record.status = event.status
        return http1.keeps_alive(event)

    def read_body(self, record: ClientRequest, connection: Connection, keep: bool) -> bool:
        parser = connection.parser
        while True:
            event = parser.next_event()
            if event is None:
                data = connection.stream.read()
                if not data:
                    raise StreamError("closed")
                parser.feed(data)
            elif isinstance(event, http1.Data):
                record.body += event.data
                record.pieces.append((self.now_us(), len(record.body)))
            elif isinstance(event, http1.End):
                record.whole_us = self.now_us()
                return keep

    # --- leaving

    def close(self, request_id: bytes, connection: Connection, reset: bool = False) -> None:
        """The client closes its connection and records that it left."""
        connection.left = True
        row = self.ledger.requests.get(request_id)
        if row is not None and row.whole_us is None and row.closed_us is None:
            row.left_us = self.now_us()
        (connection.stream.abort if reset else connection.stream.close)()

    def disconnect(self, request_id: bytes, reset: bool) -> PlannedRequest | None:
        """The client of an unanswered request leaves; returns the request."""
        entry = self.open.pop(request_id, None)
        if entry is None:
            return None
        self.close(request_id, entry[1], reset)
        return entry[0]

    def flood(self, request_id: bytes, size: int) -> None:
        """The client of an unanswered request sends many more requests, up to `size` bytes, and closes."""
        entry = self.open.get(request_id)
        if entry is None or request_id not in self.ledger.requests:
            return
        planned, connection = entry
        if connection.flooding:
            return
        connection.flooding = True

        def send_requests() -> None:
            sent = at = 0
            with contextlib.suppress(StreamError):
                while sent < size and not connection.left:
                    more = b"%s.p%d" % (request_id, at)
                    data = request_bytes(
                        more,
                        planned.service.encode(),
                        planned.deadline_ms,
                        planned.session,
                        b'{"stream":true,"x":"%s"}' % (b"x" * min(size, 20_000)),
                    )
                    connection.stream.write(data)
                    self.ledger.requests[more] = ClientRequest(
                        more, planned.idempotency, planned.deadline_ms * 1_000, self.now_us(), False
                    )
                    sent, at = sent + len(data), at + 1

        def send_and_close() -> None:
            task = self.platform.clients.spawn("flood sender", send_requests)
            with contextlib.suppress(DeadlineExceeded), self.platform.clients.deadline(self.now_us() + 20_000):
                task.join()
            self.open.pop(request_id, None)
            self.close(request_id, connection)
            for more, row in self.ledger.requests.items():
                if more.startswith(request_id + b".p"):
                    row.left_us = self.now_us()

        self.platform.clients.spawn("flood", send_and_close)

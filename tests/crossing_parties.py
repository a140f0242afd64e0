"""Clients and model hosts of the crossing tests: one thread reads their sockets, and the test writes to them."""

from __future__ import annotations

import contextlib
import os
import selectors
import socket
import struct
import threading
from collections.abc import Callable
from time import monotonic, time
from typing import Any, TypeVar

from tests.crossing_ledger import Attempt, Ledger, Request, make_request
from tests.crossing_messages import DONE, EVENT, HEAD, LAST_CHUNK, Message, chunk, plain, read_message

T = TypeVar("T")
MAX_WAIT_S = 10.0  # of any step of a test but the start of the program
# Used by this process only: a parallel test that connects to a port it has freed at 127.0.0.1 must not reach this one.
LOOPBACK_ADDRESS = f"127.{64 + (os.getpid() >> 16) % 64}.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"
SO_TIMESTAMPNS = 35  # Linux's value
UNKNOWN_READ_S = 0.3  # after this a writer asked for a place answers that it knows of no such read
POLL_INTERVAL_S = 0.02  # interval at which due answers are sent


class SocketLoop:
    """The thread that reads all sockets, and the state that clients, hosts and agents share.

    `changed` guards that state and is notified after each read; `ledger` belongs to the current test case.
    """

    def __init__(self) -> None:
        self.ledger = Ledger(0.0, 0.0, self.stalled_s)
        self.changed = threading.Condition(threading.RLock())
        self.calls: list[tuple[Call, str, bytes, int]] = []  # received by hosts, to be answered by the test
        self.scheduled_answers: list[tuple[float, Call, int]] = []  # when, to which call, status
        self.port, self.case_count = 0, 0  # the program's port; test cases begun
        self._selector = selectors.DefaultSelector()
        self._ended = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    def watch(self, sock: Any, readable: Callable[[], None]) -> None:
        with self.changed, contextlib.suppress(KeyError):  # watched already
            self._selector.register(sock, selectors.EVENT_READ, readable)

    def unwatch(self, sock: Any) -> None:
        with self.changed, contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(sock)

    def read_pending_ends(self) -> None:
        """Reads the ends of hosts' connections that have already arrived."""
        for key, _ in self._selector.select(0):
            call = getattr(key.data, "__self__", None)
            if isinstance(call, Call) and call.end_is_pending():
                call.on_readable()

    def full_id(self, name: str) -> str:
        """A request's id, unique among the test cases."""
        return f"{self.case_count}.{name}"

    def _run(self) -> None:
        while not self._ended:
            ready = self._selector.select(POLL_INTERVAL_S)
            with self.changed:
                for key, _ in ready:
                    if self._selector.get_map().get(key.fd) is key:
                        key.data()
                self.answer_due()
                if ready:
                    self.changed.notify_all()

    def answer_due(self) -> None:
        """Sends the scheduled answers that are due."""
        for known in [known for known in self.scheduled_answers if known[0] <= monotonic()]:
            self.scheduled_answers.remove(known)
            known[1].answer(known[2])

    def stalled_s(self) -> float:
        """For how many seconds the machine has kept the program and this process from running so far."""
        return 0.0

    def wait_for(self, what: str, probe: Callable[[], T | None], poll_s: float = 0.1, limit_s: float = 0.0) -> T:
        """Waits until `probe`, asked at each event and every `poll_s`, returns something true (limit 0: MAX_WAIT_S)."""
        deadline = monotonic() + (limit_s or MAX_WAIT_S)
        with self.changed:
            while not (seen := probe()):
                left = deadline - monotonic()
                assert left > 0, f"not seen in time: {what}\n" + self.transcript()
                self.changed.wait(min(left, poll_s))
            return seen

    def transcript(self) -> str:
        """The ledger's transcript so far, as text."""
        start = self.ledger.transcript[0][0] if self.ledger.transcript else 0.0
        return "\n".join(f"{at - start:8.4f} {text}" for at, text in self.ledger.transcript)


class Party:
    """A socket of the test: the loop's thread reads it, the test writes to it.

    `end` says how the connection ended: "fin", "rst" or "closed here"; empty while it is open.
    """

    def __init__(self, stage: SocketLoop, sock: socket.socket) -> None:
        self.stage, self.sock, self.buffer, self.end, self.write_failed = stage, sock, b"", "", False
        sock.settimeout(None)  # with a time-out, calls would wait despite MSG_DONTWAIT
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, struct.pack("ll", int(MAX_WAIT_S), 0))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        self.arrived = 0.0  # when the kernel received the bytes read last
        stage.watch(sock, self.on_readable)

    def on_readable(self) -> None:
        self.arrived = monotonic()
        try:
            data, control, _, _ = self.sock.recvmsg(1 << 20, 64, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            data, self.end = b"", "rst"
        else:
            for _, kind, stamp in control:
                if kind == SO_TIMESTAMPNS and data:
                    seconds, nanoseconds = struct.unpack("qq", stamp)
                    self.arrived -= max(time() - seconds - nanoseconds / 1e9, 0.0)
        self.buffer += data
        if not data:
            self.end = self.end or "fin"
            self.stage.unwatch(self.sock)
        self.on_data()

    def on_data(self) -> None:
        """Called after data, or the connection's end, was read."""

    def send(self, data: bytes) -> None:
        try:
            self.sock.sendall(data)
        except OSError:  # the peer closed; this consumes the socket's pending error
            self.write_failed = True

    def shutdown_write(self) -> None:
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def close(self, reset: bool = False) -> None:
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.stage.unwatch(self.sock)
        self.sock.close()
        self.end = self.end or "closed here"

    def end_is_pending(self) -> bool:
        """Whether the next thing to read is the peer's end."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def wait_end(self) -> str:
        """Waits until the peer ends the connection; returns "fin" or "rst"."""
        return self.stage.wait_for("the connection's end", lambda: self.end)


class Client(Party):
    """A client's connection."""

    def __init__(self, stage: SocketLoop) -> None:
        self.requests: list[Request] = []
        self.answers: list[Message] = []
        self.current: Message | None = None  # the answer being received
        super().__init__(stage, socket.create_connection((LOOPBACK_ADDRESS, stage.port), MAX_WAIT_S))

    def ask(
        self, number: str, cls: str = "ask", deadline_ms: int = 5_000, upto: int | None = None, **more: Any
    ) -> Request:
        """Sends a new request, or its first `upto` bytes."""
        record = self.prepare(number, cls, deadline_ms, **more)
        self.send_more(record, upto)
        return record

    def prepare(self, number: str, cls: str = "ask", deadline_ms: int = 5_000, **more: Any) -> Request:
        """Creates a request without sending it."""
        record = make_request(self.stage.full_id(number), cls, deadline_ms, **more)
        self.stage.ledger.requests.append(record)
        self.requests.append(record)
        return record

    def send_more(self, record: Request, upto: int | None = None) -> None:
        """Sends the rest of a request, or its bytes up to `upto`."""
        self.note_late_reset()
        data = record.data[record.written : upto]
        record.written += len(data)
        if record.written == len(record.data):
            record.stalled_s, record.sent_at = self.stage.stalled_s(), monotonic()
        self.send(data)
        record.sent_after_close = bool(self.end) or self.end_is_pending()

    def disconnect(self, how: str) -> None:
        """Leaves: "close" closes the socket, "rst" resets it, "fin" shuts down the sending side only."""
        with self.stage.ledger.lock:
            self.stage.ledger.log(f"the client leaves: {how}")
            for record in self.requests:
                record.left_at = record.left_at or monotonic()
        if how == "fin":
            self.shutdown_write()
        else:
            self.close(reset=how == "rst")

    def on_data(self) -> None:
        while self.buffer:
            self.current, size = read_message(self.buffer, self.end == "fin")
            if self.current is None or not self.current.whole:
                break
            self.buffer = self.buffer[size:]
            self._on_answer(self.current)
        if self.end:
            if self.current is not None and not self.current.whole:
                self._on_answer(self.current)
                self.buffer = b""
            self.stage.ledger.on_connection_end(self.requests, self.end, self.buffer)

    def _on_answer(self, message: Message) -> None:
        self.answers.append(message)
        self.stage.ledger.on_answer(self.requests, message)

    def note_late_reset(self) -> None:
        """Records a reset in reply to bytes written after the peer's end, which reading does not show."""
        if (
            self.sock.fileno() >= 0
            and self.end == "fin"
            and (self.write_failed or self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
        ):
            self.end = "rst"
            self.stage.ledger.on_connection_end(self.requests, "rst", b"")

    def wait_answer(self, which: int = -1) -> Message:
        """Waits for the answer to the latest request, or to the request with this index."""
        count = len(self.requests) if which < 0 else which + 1
        return self.stage.wait_for("an answer", lambda: self.answers[count - 1] if len(self.answers) >= count else None)

    def wait_first_data(self) -> Message:
        """Waits for the head and the first body bytes of an answer."""
        return self.stage.wait_for(
            "an answer's beginning", lambda: self.current if self.current and self.current.body else None
        )


class Call(Party):
    """A connection accepted by a host, and the calls received on it one after another.

    `kind` is the latest call's: "read", "write", "place" (reserve a place) or "free" (release what a request holds).
    """

    def __init__(self, host: Host, sock: socket.socket) -> None:
        self.host, self.first_byte_at = host, 0.0
        self.kind, self.id = "", b""
        self.attempt: Attempt | None = None
        self.count = 0  # of the calls received on this connection
        self.is_filler = sock.getpeername() in [known.getsockname() for known in host.backlog_fillers]
        super().__init__(host.stage, sock)

    def on_data(self) -> None:
        self.first_byte_at = self.first_byte_at or (self.arrived if self.buffer else 0.0)
        message, size = read_message(self.buffer)
        ledger = self.stage.ledger
        if message is not None and message.whole:
            self.buffer = self.buffer[size:]
            method, target = message.start.split()[:2]
            self.kind = {b"DELETE": "free"}.get(method, "place" if b"/rooms/" in target else self.host.role)
            self.id = message.headers.get(b"req-id") or target.rpartition(b"/")[2]
            self.stage.read_pending_ends()  # records first what ended before this call
            self.attempt = None
            if self.kind in ("read", "write"):
                self.attempt = Attempt(
                    self.id,
                    self.host.name,
                    self.kind,
                    float(message.headers[b"req-deadline-ms"]),
                    self.first_byte_at,
                    monotonic(),
                    self.stage.stalled_s(),
                    self.arrived,
                )
                ledger.on_attempt(self.attempt)
            else:  # a place may be held from now on, even before it is answered
                ledger.on_hold_change({"free": "freed", "place": "placed"}[self.kind], self.id)
            self.first_byte_at, self.count = 0.0, self.count + 1
            if self.kind == "place" and self.kind in self.host.auto_answers and not ledger.read_in_flight(self.id):
                self.stage.scheduled_answers.append((monotonic() + UNKNOWN_READ_S, self, 204))
            elif self.kind in self.host.auto_answers:
                self.answer(self.host.auto_answers[self.kind])
            else:
                self.stage.calls.append((self, self.kind, self.id, self.count))
        if self.end and self.attempt is not None:
            ledger.on_attempt_end(self.attempt, 0)

    def answer(self, status: int, body: bytes = b"", *headers: bytes) -> None:
        """Sends a complete answer."""
        if self.attempt is not None:
            self.stage.ledger.on_attempt_end(self.attempt, status)
        elif self.kind == "place" and status not in (200, 204):
            self.stage.ledger.on_place_refused(self.id)
        self.send(plain(status, body, *headers))

    def decline(self, status: int = 503) -> None:
        self.answer(status, b"", b"srv-declined: 1")

    def begin_stream(self, event: bytes = EVENT) -> None:
        """Sends the head of a stream and its first event."""
        self._send_event(event, HEAD)

    def send_event(self, event: bytes = EVENT) -> None:
        self._send_event(event, b"")

    def _send_event(self, event: bytes, before: bytes) -> None:
        assert self.attempt is not None
        self.attempt.events += event
        self.send(before + chunk(event))

    def end_stream(self, fin: bool = False) -> None:
        """Sends the last event and chunk; with `fin` also the connection's end, in the same segment."""
        assert self.attempt is not None
        self.attempt.events += DONE
        self.attempt.finished_at = monotonic()
        self.stage.ledger.on_attempt_end(self.attempt, 200)
        if fin:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
        self.send(chunk(DONE) + LAST_CHUNK)
        if fin:
            self.shutdown_write()

    def serve_stream(self) -> None:
        """Sends a complete stream of one event."""
        self.begin_stream()
        self.end_stream()

    def disconnect(self, reset: bool) -> None:
        """Ends the connection without an answer."""
        if self.attempt is not None:
            self.stage.ledger.on_attempt_end(self.attempt, 0)
        self.close(reset)


class Host:
    """A reader or writer; `auto_answers` maps the kinds of calls that it answers without the test to their status."""

    def __init__(self, stage: SocketLoop, name: str, role: str, places: int | None = 200) -> None:
        self.stage, self.name, self.role, self.phase = stage, name, role, "Ready"
        self.auto_answers: dict[str, int] = {"free": 204}
        if places is not None:
            self.auto_answers["place"] = places
        self.listener = socket.create_server((LOOPBACK_ADDRESS, 0), backlog=64)
        self.listener.setsockopt(
            socket.SOL_SOCKET, SO_TIMESTAMPNS, 1
        )  # inherited by accepted connections, from their first byte on
        self.connections: list[Call] = []
        self.backlog_fillers: list[socket.socket] = []
        stage.watch(self.listener, self.accept)

    def accept(self) -> None:
        with contextlib.suppress(OSError):
            self.connections.append(Call(self, self.listener.accept()[0]))
            self.connections[-1].on_readable()

    def stop_accepting(self) -> None:
        """Leaves further SYNs unanswered: fills the backlog with connections of the test's own."""
        self.stage.unwatch(self.listener)
        self.listener.listen(0)
        self.backlog_fillers.append(socket.create_connection(self.listener.getsockname(), MAX_WAIT_S))

    def freeze(self) -> None:
        """Simulates a partition: open connections stay open but are not read, and new ones are not established."""
        for call in self.connections:
            self.stage.unwatch(call.sock)
        self.stop_accepting()

    def thaw(self) -> None:
        """Reads the open connections again, also those that the program has closed; does not accept new ones yet."""
        for call in self.connections:
            if call.sock.fileno() >= 0 and not call.end:
                self.stage.watch(call.sock, call.on_readable)

    def resume_accepting(self) -> None:
        self.listener.listen(64)
        self.stage.watch(self.listener, self.accept)

    def entry(self) -> dict[str, Any]:
        return {
            "id": self.name,
            "host_port": f"{LOOPBACK_ADDRESS}:{self.listener.getsockname()[1]}",
            "locality": "a",
            "flavor": "reads" if self.role == "read" else "writes",
            "cell": 1,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": 0,
        }

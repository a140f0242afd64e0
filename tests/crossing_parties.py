"""Clients and model hosts for crossings: sockets that one thread reads and the test writes to."""

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

from tests.crossing_ledger import Attempt, Ledger, Request, request
from tests.crossing_messages import DONE, EVENT, HEAD, LAST, Message, chunk, plain, read_message

T = TypeVar("T")
BOUND_S = 10.0  # no step of a test waits longer
# An address of this process's own: tests beside it ask at ports of 127.0.0.1 whose programs have ended.
HERE = f"127.{64 + (os.getpid() >> 16) % 64}.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"
SO_TIMESTAMPNS = 35  # of Linux
UNKNOWN_S = 0.3  # after which a writer says that it knows of no read for which a place is asked
TURN_S = 0.02  # how often the agent looks at its clock


class Wire:
    """The thread that reads all sockets, and what the parties share."""

    def __init__(self) -> None:
        self.ledger = Ledger(0.0, 0.0, self.stalled)
        self.news = threading.Condition(threading.RLock())
        self.calls: list[tuple[Call, str, bytes, int]] = []  # that came to hosts and wait for the test
        self.later: list[tuple[float, Call, int]] = []  # answers that hosts give by themselves when it is time
        self.port, self.scenes = 0, 0
        self._selector = selectors.DefaultSelector()
        self._ended = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    def watch(self, sock: Any, readable: Callable[[], None]) -> None:
        with self.news:
            self._selector.register(sock, selectors.EVENT_READ, readable)

    def unwatch(self, sock: Any) -> None:
        with self.news, contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(sock)

    def sweep(self) -> None:
        """Read the ends of hosts' connections that are there already."""
        for key, _ in self._selector.select(0):
            call = getattr(key.data, "__self__", None)
            if isinstance(call, Call) and call.ending():
                call.readable()

    def number(self, name: str) -> str:
        """A request's id, which no other scene has."""
        return f"{self.scenes}.{name}"

    def _run(self) -> None:
        while not self._ended:
            ready = self._selector.select(TURN_S)
            with self.news:
                for key, _ in ready:
                    if self._selector.get_map().get(key.fd) is key:
                        key.data()
                self.turn()
                if ready:
                    self.news.notify_all()

    def turn(self) -> None:
        """What is due."""
        for known in [known for known in self.later if known[0] <= monotonic()]:
            self.later.remove(known)
            known[1].answer(known[2])

    def stalled(self) -> float:
        """Seconds that the machine has kept the programs from running so far."""
        return 0.0

    def until(self, what: str, look: Callable[[], T | None]) -> T:
        """Wait for something to be seen."""
        until = monotonic() + BOUND_S
        with self.news:
            while not (seen := look()):
                left = until - monotonic()
                assert left > 0, f"not seen in time: {what}\n" + self.told()
                self.news.wait(min(left, 0.1))
            return seen

    def told(self) -> str:
        """The story so far."""
        start = self.ledger.story[0][0] if self.ledger.story else 0.0
        return "\n".join(f"{at - start:8.4f} {text}" for at, text in self.ledger.story)


class Party:
    """A socket of ours: the stage reads it, the test writes to it."""

    def __init__(self, stage: Wire, sock: socket.socket) -> None:
        self.stage, self.sock, self.got, self.end, self.refused = stage, sock, b"", "", False
        sock.settimeout(None)  # else each call would wait for its time-out, MSG_DONTWAIT or not
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, struct.pack("ll", int(BOUND_S), 0))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        self.arrived = 0.0  # when the last bytes read had come to the machine
        stage.watch(sock, self.readable)

    def readable(self) -> None:
        self.arrived = monotonic()
        try:
            data, more, _, _ = self.sock.recvmsg(1 << 20, 64, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            data, self.end = b"", "rst"
        else:
            for _, kind, stamp in more:
                if kind == SO_TIMESTAMPNS and data:
                    seconds, nanoseconds = struct.unpack("qq", stamp)
                    self.arrived -= max(time() - seconds - nanoseconds / 1e9, 0.0)
        self.got += data
        if not data:
            self.end = self.end or "fin"
            self.stage.unwatch(self.sock)
        self.came()

    def came(self) -> None:
        """Something was read, or the end."""

    def send(self, data: bytes) -> None:
        try:
            self.sock.sendall(data)
        except OSError:  # the other end has gone; this takes the error from the socket
            self.refused = True

    def finish(self) -> None:
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def close(self, reset: bool = False) -> None:
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.stage.unwatch(self.sock)
        self.sock.close()
        self.end = self.end or "closed here"

    def ending(self) -> bool:
        """Whether the other end's end is the next thing to read."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def ended(self) -> str:
        """Wait for the other end to end the connection: "fin" or "rst"."""
        return self.stage.until("the connection's end", lambda: self.end)


class Client(Party):
    """A client's connection."""

    def __init__(self, stage: Wire) -> None:
        self.requests: list[Request] = []
        self.answers: list[Message] = []
        self.now: Message | None = None  # the answer that is coming
        super().__init__(stage, socket.create_connection((HERE, stage.port), BOUND_S))

    def ask(
        self, number: str, cls: str = "ask", deadline_ms: int = 5_000, upto: int | None = None, **more: Any
    ) -> Request:
        """Send a request, or its first bytes."""
        r = self.asks(number, cls, deadline_ms, **more)
        self.more(r, upto)
        return r

    def asks(self, number: str, cls: str = "ask", deadline_ms: int = 5_000, **more: Any) -> Request:
        """Make a request that is yet to be sent."""
        r = request(self.stage.number(number), cls, deadline_ms, **more)
        self.stage.ledger.requests.append(r)
        self.requests.append(r)
        return r

    def more(self, r: Request, upto: int | None = None) -> None:
        """Send a request's bytes on, up to this one or to the last."""
        self.late_reset()
        data = r.data[r.written : upto]
        r.written += len(data)
        if r.written == len(r.data):
            r.stalled, r.asked = self.stage.stalled(), monotonic()
        self.send(data)
        r.late = bool(self.end) or self.ending()

    def leave(self, how: str) -> None:
        """Close in good order, by a reset, or only the sending side."""
        with self.stage.ledger.lock:
            self.stage.ledger.say(f"the client leaves: {how}")
            for r in self.requests:
                r.left = r.left or monotonic()
        if how == "fin":
            self.finish()
        else:
            self.close(reset=how == "rst")

    def came(self) -> None:
        while self.got:
            self.now, size = read_message(self.got, self.end == "fin")
            if self.now is None or not self.now.whole:
                break
            self.got = self.got[size:]
            self._answered(self.now)
        if self.end:
            if self.now is not None and not self.now.whole:
                self._answered(self.now)
                self.got = b""
            self.stage.ledger.ended(self.requests, self.end, self.got)

    def _answered(self, message: Message) -> None:
        self.answers.append(message)
        self.stage.ledger.answered(self.requests, message)

    def late_reset(self) -> None:
        """Note a reset that answered bytes written after the other end's end; reading does not show it."""
        if (
            self.sock.fileno() >= 0
            and self.end == "fin"
            and (self.refused or self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
        ):
            self.end = "rst"
            self.stage.ledger.ended(self.requests, "rst", b"")

    def answer(self, which: int = -1) -> Message:
        """Wait for the answer to the latest request, or to that one."""
        count = len(self.requests) if which < 0 else which + 1
        return self.stage.until("an answer", lambda: self.answers[count - 1] if len(self.answers) >= count else None)

    def begun(self) -> Message:
        """Wait for the head of an answer and a part of its body."""
        return self.stage.until("an answer's beginning", lambda: self.now if self.now and self.now.body else None)


class Call(Party):
    """A connection at a host, and the calls that come on it one after another."""

    def __init__(self, host: Host, sock: socket.socket) -> None:
        self.host, self.first = host, 0.0
        self.kind, self.id = "", b""
        self.attempt: Attempt | None = None
        self.count = 0  # of the calls that came on this connection
        self.ours = sock.getpeername() in [known.getsockname() for known in host.fill]
        super().__init__(host.stage, sock)

    def came(self) -> None:
        self.first = self.first or (self.arrived if self.got else 0.0)
        message, size = read_message(self.got)
        ledger = self.stage.ledger
        if message is not None and message.whole:
            self.got = self.got[size:]
            method, target = message.start.split()[:2]
            self.kind = {b"DELETE": "free"}.get(method, "place" if b"/rooms/" in target else self.host.role)
            self.id = message.headers.get(b"req-id") or target.rpartition(b"/")[2]
            self.stage.sweep()  # what ended before this came is noted before it
            self.attempt = None
            if self.kind in ("read", "write"):
                self.attempt = Attempt(
                    self.id,
                    self.host.name,
                    self.kind,
                    float(message.headers[b"req-deadline-ms"]),
                    self.first,
                    monotonic(),
                    self.stage.stalled(),
                    self.arrived,
                )
                ledger.came(self.attempt)
            else:  # a place may be held from now on, answered or not
                ledger.move({"free": "freed", "place": "placed"}[self.kind], self.id)
            self.first, self.count = 0.0, self.count + 1
            if self.kind == "place" and self.kind in self.host.auto and not ledger.read_out(self.id):
                self.stage.later.append((monotonic() + UNKNOWN_S, self, 204))
            elif self.kind in self.host.auto:
                self.answer(self.host.auto[self.kind])
            else:
                self.stage.calls.append((self, self.kind, self.id, self.count))
        if self.end and self.attempt is not None:
            ledger.over(self.attempt, 0)

    def answer(self, status: int, body: bytes = b"", *headers: bytes) -> None:
        """Answer whole."""
        if self.attempt is not None:
            self.stage.ledger.over(self.attempt, status)
        elif self.kind == "place" and status not in (200, 204):
            self.stage.ledger.no_place(self.id)
        self.send(plain(status, body, *headers))

    def decline(self, status: int = 503) -> None:
        self.answer(status, b"", b"srv-declined: 1")

    def begin(self, event: bytes = EVENT) -> None:
        """The head of a stream and its first event."""
        self._event(event, HEAD)

    def event(self, event: bytes = EVENT) -> None:
        self._event(event, b"")

    def _event(self, event: bytes, before: bytes) -> None:
        assert self.attempt is not None
        self.attempt.events += event
        self.send(before + chunk(event))

    def last(self, fin: bool = False) -> None:
        """The last event and chunk; with `fin` the connection's end in the same segment."""
        assert self.attempt is not None
        self.attempt.events += DONE
        self.attempt.finished = monotonic()
        self.stage.ledger.over(self.attempt, 200)
        if fin:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
        self.send(chunk(DONE) + LAST)
        if fin:
            self.finish()

    def serve(self) -> None:
        """A whole short stream."""
        self.begin()
        self.last()

    def leave(self, reset: bool) -> None:
        """End the connection."""
        if self.attempt is not None:
            self.stage.ledger.over(self.attempt, 0)
        self.close(reset)


class Host:
    """A reader or writer. `auto` says which calls it answers by itself, and how."""

    def __init__(self, stage: Wire, name: str, role: str, places: int | None = 200) -> None:
        self.stage, self.name, self.role, self.phase = stage, name, role, "Ready"
        self.auto: dict[str, int] = {"free": 204}
        if places is not None:
            self.auto["place"] = places
        self.listener = socket.create_server((HERE, 0), backlog=64)
        self.listener.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)  # what it accepts is stamped from the start
        self.connections: list[Call] = []
        self.fill: list[socket.socket] = []
        stage.watch(self.listener, self.accept)

    def accept(self) -> None:
        with contextlib.suppress(OSError):
            self.connections.append(Call(self, self.listener.accept()[0]))
            self.connections[-1].readable()

    def shut(self) -> None:
        """Leave every further SYN unanswered: the backlog is full of our own."""
        self.stage.unwatch(self.listener)
        self.listener.listen(0)
        self.fill.append(socket.create_connection(self.listener.getsockname(), BOUND_S))

    def freeze(self) -> None:
        """Fall silent as a machine that is cut off: what is open stays open and is never read, nothing new comes up."""
        for call in self.connections:
            self.stage.unwatch(call.sock)
        self.shut()

    def thaw(self) -> None:
        """Read what lies in the connections that were open, also in those that were closed meanwhile."""
        for call in self.connections:
            if call.sock.fileno() >= 0 and not call.end:
                self.stage.watch(call.sock, call.readable)

    def open(self) -> None:
        self.listener.listen(64)
        self.stage.watch(self.listener, self.accept)

    def entry(self) -> dict[str, Any]:
        return {
            "id": self.name,
            "host_port": f"{HERE}:{self.listener.getsockname()[1]}",
            "locality": "a",
            "flavor": "reads" if self.role == "read" else "writes",
            "cell": 1,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": 0,
        }

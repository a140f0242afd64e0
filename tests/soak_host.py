"""A model host of the soak test as a process: `python -m tests.soak_host NAME ROLE FOLDER ADDRESS PORT [RAMP]`.

With RAMP (`time` or `work`) it has just come back, and works more slowly at first. It turns away what waits too long.
It speaks the platform's protocol and writes what it does to FOLDER/NAME.jsonl, with the machine's monotonic clock. What
hosts hold is shared as files: FOLDER/states/ID names the reader that holds a state, FOLDER/reads/ID a read that runs.
Lines on standard input order its troubles. A process that is stopped reads nothing; its machine takes bytes all the
same.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
import select
import socket
import struct
import sys
import threading
from pathlib import Path
from time import monotonic, sleep, time
from typing import Any

from tests.crossing_messages import DONE, EVENT, HEAD, LAST, Message, chunk, plain, read_message
from tests.crossing_parties import SO_TIMESTAMPNS, UNKNOWN_S
from tests.soak_slow_start import COLD_S, WARM_RATE, warmth

BACKLOG = 2  # connections that come up at a stopped process: later ones hang
EVENTS = 6
EVENT_S = 0.02
LOSE_S = 8.0  # a call that is taken and never answered ends with its connection
NO_PLACE_PART = 0.1
WAIT_MOST_S = 0.4  # work that waits for longer is turned away
LATE_PLACES_PART = 0.5  # of the places whose connection had ended when their call was read: they are held all the same


class ConnectionEnded(Exception):
    """The dispatcher ended the connection."""


class SoakHost:
    """One host."""

    def __init__(self, name: str, role: str, folder: Path, address: str, port: int, ramp: str = "") -> None:
        self.started = monotonic() if ramp else -COLD_S
        self.done = 0 if ramp == "work" else None
        self.free_at = 0.0  # when the work that it has taken on is done
        self.name, self.role, self.folder = name, role, folder
        self.log = open(folder / f"{name}.jsonl", "a", buffering=1)  # noqa: SIM115
        self.lock = threading.Lock()
        self.random = random.Random(f"{name} {monotonic()}")
        self.troubles: dict[str, float] = {}  # by kind: until when
        self.muted_since = 0.0
        self.connections: set[socket.socket] = set()
        self.listener = socket.create_server((address, port), backlog=BACKLOG)
        self.listener.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)

    def say(self, what: str, number: bytes, **more: Any) -> None:
        """Write down what happens, before it can be seen outside."""
        row = {"at": monotonic(), "what": what, "id": number.decode(), "host": self.name, "role": self.role, **more}
        with self.lock:
            self.log.write(json.dumps(row) + "\n")

    def troubled(self, kind: str) -> bool:
        return self.troubles.get(kind, 0.0) > monotonic()

    def run(self) -> None:
        threading.Thread(target=self._orders, daemon=True).start()
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self._connection, args=(sock,), daemon=True).start()

    def _orders(self) -> None:
        for line in sys.stdin:
            kind, seconds = line.split()
            if kind == "reset":
                for sock in list(self.connections):
                    with contextlib.suppress(OSError):
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                        sock.shutdown(socket.SHUT_RD)  # its thread wakes and closes it
            else:
                self.muted_since = monotonic() if kind == "mute" else self.muted_since
                self.troubles[kind] = monotonic() + float(seconds)
        os._exit(0)  # whoever gives the orders has gone

    def _connection(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.add(sock)
        got, first, reset, opened = b"", 0.0, False, monotonic()
        try:
            while True:
                data, arrived = receive(sock)
                while self.troubled("mute") and opened < self.muted_since:  # the host lives, this connection is silent
                    sleep(0.01)
                if not data:
                    return
                first, got = first or arrived, got + data
                message, size = read_message(got)
                if message is not None and message.whole:
                    got = got[size:]
                    self._call(sock, message, first, arrived)
                    first = 0.0
        except (OSError, ConnectionEnded):
            reset = True
        finally:
            self.connections.discard(sock)
            end(sock, reset)

    def _call(self, sock: socket.socket, message: Message, first: float, arrived: float) -> None:
        method, target = message.start.split()[:2]
        asks_place = b"/rooms/" in target and method == b"POST"
        if ended(sock) and not (asks_place and self.random.random() < LATE_PLACES_PART):
            raise ConnectionEnded  # by the time it is read its dispatcher has given it up
        if b"/rooms/" in target:
            (self._free if method == b"DELETE" else self._place)(sock, target.rpartition(b"/")[2])
            return
        number = message.headers[b"req-id"]
        attempt = f"{self.name} {monotonic()}"
        self.say(
            "taken",
            number,
            attempt=attempt,
            first=first,
            arrived=arrived,
            told=float(message.headers[b"req-deadline-ms"]),
        )
        how, events, finished = 0, b"", 0.0
        state = self.folder / "states" / number.decode()
        read = self.folder / "reads" / number.decode()
        left = False
        try:
            if self.role == "read":
                read.write_text(self.name)
                self._work(sock)
                read.unlink(missing_ok=True)
                if how := self._refusal():
                    self._decline(sock, number, attempt, how)
                    return
                state.write_text(self.name)
                left = True
                if self.troubled("lose"):
                    wait(sock, LOSE_S)
                how = 202
                self.say("over", number, attempt=attempt, how=how, left=True)
                sock.sendall(plain(202, b'{"cached_tokens":1}'))
                return
            if how := self._refusal() or (0 if gone(state) else 410):
                self._decline(sock, number, attempt, how)
                return
            self._work(sock)
            if self.troubled("lose"):
                wait(sock, LOSE_S)
            events = self._stream(sock, number, attempt)
            finished, how = monotonic(), 200
            self.say("over", number, attempt=attempt, how=how, events=events.decode(), finished=finished)
            sock.sendall(chunk(DONE) + LAST)
        finally:
            read.unlink(missing_ok=True)
            if not how:
                self.say("over", number, attempt=attempt, how=0, left=left and state.exists())

    def _decline(self, sock: socket.socket, number: bytes, attempt: str, status: int) -> None:
        self.say("over", number, attempt=attempt, how=status, closed=ended(sock))
        sock.sendall(plain(status, b"", *([b"srv-declined: 1"] if status != 500 else [])))

    def _refusal(self) -> int:
        if self.troubled("decline") or not self._room():
            return 503
        return 500 if self.troubled("error") else 0

    def _room(self) -> bool:
        """Take one more piece of work on, if it need not wait for too long."""
        with self.lock:
            now = monotonic()
            begins = max(self.free_at, now)
            if begins - now > WAIT_MOST_S:
                return False
            capacity = WARM_RATE[self.role] * warmth(self.role, now - self.started, self.done)
            self.free_at = begins + 1 / capacity
            self.done = None if self.done is None else self.done + 1
            return True

    def _work(self, sock: socket.socket) -> None:
        wait(sock, self.random.uniform(0.005, 0.06) + (0.3 if self.troubled("slow") else 0.0))

    def _stream(self, sock: socket.socket, number: bytes, attempt: str) -> bytes:
        """All events but the last; the whole stream, as it will be."""
        whole = EVENT * EVENTS + DONE
        self.say("stream", number, attempt=attempt, events=whole.decode())
        for at in range(EVENTS):
            if at:
                wait(sock, EVENT_S)
            sock.sendall((b"" if at else HEAD) + chunk(EVENT))
        return whole

    def _place(self, sock: socket.socket, number: bytes) -> None:
        self.say("placed", number)  # it may be held from now on, answered or not
        read = self.folder / "reads" / number.decode()
        until = monotonic() + UNKNOWN_S
        while not read.exists():
            if monotonic() > until:
                sock.sendall(plain(204))
                return
            wait(sock, 0.01)
        if self.random.random() < NO_PLACE_PART:
            self.say("no place", number)
            sock.sendall(plain(409))
        elif not self.troubled("lose"):
            sock.sendall(plain(200))

    def _free(self, sock: socket.socket, number: bytes) -> None:
        (self.folder / "states" / number.decode()).unlink(missing_ok=True)
        self.say("freed", number)
        if not self.troubled("lose"):
            sock.sendall(plain(204))


def gone(state: Path) -> bool:
    """Whether the state was there, and is taken now."""
    try:
        state.unlink()
    except FileNotFoundError:
        return False
    return True


def receive(sock: socket.socket) -> tuple[bytes, float]:
    """The next bytes, and when they had come to this machine."""
    data, more, _, _ = sock.recvmsg(1 << 16, 64)
    now = monotonic()
    for _, kind, stamp in more:
        if kind == SO_TIMESTAMPNS and data:
            seconds, nanoseconds = struct.unpack("qq", stamp)
            now -= max(time() - seconds - nanoseconds / 1e9, 0.0)
    return data, now


def ended(sock: socket.socket) -> bool:
    """Whether the other side has ended the connection."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def wait(sock: socket.socket, seconds: float) -> None:
    """Let time pass. Raises ConnectionEnded."""
    until = monotonic() + seconds
    while (left := until - monotonic()) > 0:
        if select.select([sock], [], [], left)[0]:
            if ended(sock):
                raise ConnectionEnded
            sleep(0.002)


def end(sock: socket.socket, reset: bool) -> None:
    with contextlib.suppress(OSError):
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


if __name__ == "__main__":
    host = SoakHost(sys.argv[1], sys.argv[2], Path(sys.argv[3]), sys.argv[4], int(sys.argv[5]), *sys.argv[6:])
    print(host.listener.getsockname()[1], flush=True)
    host.run()

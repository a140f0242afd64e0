"""Model host of the soak test as a process: `python -m tests.soak_host NAME ROLE FOLDER ADDRESS PORT [RAMP]`.

With RAMP (`time` or `work`) the host starts cold and warms up by time or by completed work. It refuses work that would
wait too long. It speaks the platform's protocol and logs its steps to FOLDER/NAME.jsonl with monotonic timestamps.
Hosts share what they hold through files: FOLDER/states/ID names the reader that holds a state, FOLDER/reads/ID a read
in progress, and the link FOLDER/open/ID@ATTEMPT the connection of an attempt. Lines on standard input inject faults.
A stopped process reads nothing, but the kernel still accepts bytes.
"""

from __future__ import annotations

import contextlib
import errno
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

from tests.crossing_messages import DONE, EVENT, HEAD, LAST_CHUNK, Message, chunk, plain, read_message
from tests.crossing_parties import SO_TIMESTAMPNS, UNKNOWN_READ_S
from tests.soak_slow_start import COLD_S, WARM_RATE_PER_S, warmth
from tests.soak_streams import spoil, trickle

BACKLOG = 2  # connections that are established while the process is stopped; further ones hang
# Of the kernel's interface for socket states.
NETLINK_SOCK_DIAG, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST = 4, 20, 1
ANY_STATE, NO_COOKIE = 0xFFFF_FFFF, (0xFFFF_FFFF, 0xFFFF_FFFF)
TCP_ESTABLISHED = 1  # neither end has closed
EVENTS = 6
EVENT_S = 0.02
LOST_CALL_S = 8.0  # how long a call stays unanswered under the `lose` fault; the dispatcher closes the connection first
NO_PLACE_PROBABILITY = 0.1
MAX_WAIT_S = 0.4  # work that would wait longer is refused
# Probability that a place is reserved although its connection had ended when the call was read.
LATE_PLACE_PROBABILITY = 0.5


class ConnectionEnded(Exception):
    """The dispatcher closed the connection."""


class SoakHost:
    """The host in its own process (`soak_parties.SoakHost` is the test's record of it).

    Serves reads or writes, one thread per connection, with faults injected through standard input.
    """

    def __init__(self, name: str, role: str, folder: Path, address: str, port: int, ramp: str = "") -> None:
        self.started = monotonic() if ramp else -COLD_S
        self.completed = (
            0 if ramp == "work" else None
        )  # work accepted since a cold start; None: warm, or warms up by time
        self.free_at = 0.0  # when all accepted work is done
        self.name, self.role, self.folder = name, role, folder
        self.log = open(folder / f"{name}.jsonl", "a", buffering=1)  # noqa: SIM115
        self.lock = threading.Lock()
        self.random = random.Random(f"{name} {monotonic()}")
        self.fault_ends: dict[str, float] = {}  # end time of each active fault, by kind
        self.muted_since = 0.0
        self.reset_at = 0.0  # when all connections were reset last
        self.connections: set[socket.socket] = set()
        self.listener = socket.create_server((address, port), backlog=BACKLOG)
        self.listener.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)

    def record(self, what: str, request_id: bytes, **more: Any) -> None:
        """Log a step before its effect is visible to the dispatcher."""
        row = {"at": monotonic(), "what": what, "id": request_id.decode(), "host": self.name, "role": self.role, **more}
        with self.lock:
            self.log.write(json.dumps(row) + "\n")

    def record_closed_attempts(self, request_id: bytes) -> None:
        """Log which attempts of a request, at any host, the dispatcher has closed, before a step that must follow that.

        The thread of an attempt may notice the close later, as it waits for the interpreter lock.
        """
        for name, connection in open_attempts(self.folder / "open", request_id.decode()):
            if is_closed(connection):
                self.record("closed", request_id, attempt=name)

    def has_fault(self, kind: str) -> bool:
        return self.fault_ends.get(kind, 0.0) > monotonic()

    def run(self) -> None:
        threading.Thread(target=self._read_commands, daemon=True).start()
        while True:
            sock, peer = self.listener.accept()
            threading.Thread(target=self._serve_connection, args=(sock, peer), daemon=True).start()

    def _read_commands(self) -> None:
        for line in sys.stdin:
            kind, seconds = line.split()
            if kind == "reset":
                self.reset_at = monotonic()
                for sock in list(self.connections):
                    with contextlib.suppress(OSError):
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                        sock.shutdown(socket.SHUT_RD)  # its thread wakes and closes it
            else:
                self.muted_since = monotonic() if kind == "mute" else self.muted_since
                self.fault_ends[kind] = monotonic() + float(seconds)
        os._exit(0)  # the soak process has exited

    def _serve_connection(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        connection = describe_connection(sock.getsockname(), peer)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.add(sock)
        buffer, first_byte_at, reset, opened = b"", 0.0, False, monotonic()
        try:
            while True:
                data, arrived = receive(sock)
                while self.has_fault("mute") and opened < self.muted_since:  # the host runs, the connection is silent
                    sleep(0.01)
                if not data:
                    return
                first_byte_at, buffer = first_byte_at or arrived, buffer + data
                message, size = read_message(buffer)
                if message is not None and message.whole:
                    buffer = buffer[size:]
                    self._serve_call(sock, connection, message, first_byte_at, arrived)
                    first_byte_at = 0.0
        except (OSError, ConnectionEnded):
            reset = True
        finally:
            self.connections.discard(sock)
            close_socket(sock, reset)

    def _serve_call(
        self, sock: socket.socket, connection: str, message: Message, first_byte_at: float, arrived: float
    ) -> None:
        method, target = message.start.split()[:2]
        reserves_place = b"/rooms/" in target and method == b"POST"
        self.record_closed_attempts(message.headers.get(b"req-id") or target.rpartition(b"/")[2])
        if peer_closed(sock) and not (reserves_place and self.random.random() < LATE_PLACE_PROBABILITY):
            raise ConnectionEnded  # the dispatcher gave the call up before it was read
        if b"/rooms/" in target:
            (self._release_state if method == b"DELETE" else self._reserve_place)(sock, target.rpartition(b"/")[2])
            return
        request_id = message.headers[b"req-id"]
        attempt = f"{self.name} {monotonic()}"
        open_attempt = self.folder / "open" / f"{request_id.decode()}@{attempt}"
        open_attempt.symlink_to(connection)
        self.record(
            "taken",
            request_id,
            attempt=attempt,
            first=first_byte_at,
            arrived=arrived,
            told=float(message.headers[b"req-deadline-ms"]),
        )
        status, events, finished = 0, b"", 0.0
        state = self.folder / "states" / request_id.decode()
        read = self.folder / "reads" / request_id.decode()
        state_kept = False
        try:
            if self.role == "read":
                read.write_text(self.name)
                self._work(sock)
                read.unlink(missing_ok=True)
                if status := self._refusal():
                    self._decline(sock, request_id, attempt, status)
                    return
                state.write_text(self.name)
                state_kept = True
                if self.has_fault("lose"):
                    wait(sock, LOST_CALL_S)
                status = 202
                self.record("over", request_id, attempt=attempt, how=status, left=True)
                sock.sendall(plain(202, b'{"cached_tokens":1}'))
                return
            if status := self._refusal() or (0 if take_state(state) else 410):
                self._decline(sock, request_id, attempt, status)
                return
            self._work(sock)
            if self.has_fault("lose"):
                wait(sock, LOST_CALL_S)
            events = self._stream(sock, request_id, attempt)
            finished, status = monotonic(), 200
            self.record("over", request_id, attempt=attempt, how=status, events=events.decode(), finished=finished)
            sock.sendall(chunk(DONE) + LAST_CHUNK)
        finally:
            read.unlink(missing_ok=True)
            if not status:
                self.record("over", request_id, attempt=attempt, how=0, left=state_kept and state.exists())
            open_attempt.unlink()

    def _decline(self, sock: socket.socket, request_id: bytes, attempt: str, status: int) -> None:
        self.record("over", request_id, attempt=attempt, how=status, closed=peer_closed(sock))
        sock.sendall(plain(status, b"", *([b"srv-declined: 1"] if status != 500 else [])))

    def _refusal(self) -> int:
        if self.has_fault("decline") or not self._accept_work():
            return 503
        return 500 if self.has_fault("error") else 0

    def _accept_work(self) -> bool:
        """Accept one piece of work unless it would wait longer than MAX_WAIT_S."""
        with self.lock:
            now = monotonic()
            begins = max(self.free_at, now)
            if begins - now > MAX_WAIT_S:
                return False
            capacity = WARM_RATE_PER_S[self.role] * warmth(self.role, now - self.started, self.completed)
            self.free_at = begins + 1 / capacity
            self.completed = None if self.completed is None else self.completed + 1
            return True

    def _work(self, sock: socket.socket) -> None:
        wait(sock, self.random.uniform(0.005, 0.06) + (0.3 if self.has_fault("slow") else 0.0))

    def _stream(self, sock: socket.socket, request_id: bytes, attempt: str) -> bytes:
        """Send all events but the last; returns the complete stream."""
        whole = EVENT * EVENTS + DONE
        self.record("stream", request_id, attempt=attempt, events=whole.decode())
        if self.has_fault("spoil"):
            spoil(sock, wait, lambda what, **more: self.record(what, request_id, **more))
            raise ConnectionEnded
        for at in range(EVENTS):
            if at:
                wait(sock, EVENT_S)
            if at == 1 and self.has_fault("trickle"):
                self._trickle(sock, request_id)
            else:
                sock.sendall((b"" if at else HEAD) + chunk(EVENT))
        return whole

    def _trickle(self, sock: socket.socket, request_id: bytes) -> None:
        begun = monotonic()
        self.record("slow stream", request_id)
        try:
            trickle(sock, wait)
        except (OSError, ConnectionEnded):
            self.record("slow stream cut", request_id, begun=begun, reset=self.reset_at >= begun)
            raise

    def _reserve_place(self, sock: socket.socket, request_id: bytes) -> None:
        self.record("placed", request_id)  # from here on the place may be held, whether or not the answer arrives
        read = self.folder / "reads" / request_id.decode()
        until = monotonic() + UNKNOWN_READ_S
        while not read.exists():
            if monotonic() > until:
                sock.sendall(plain(204))
                return
            wait(sock, 0.01)
        if self.random.random() < NO_PLACE_PROBABILITY:
            self.record("no place", request_id)
            sock.sendall(plain(409))
        elif not self.has_fault("lose"):
            sock.sendall(plain(200))

    def _release_state(self, sock: socket.socket, request_id: bytes) -> None:
        (self.folder / "states" / request_id.decode()).unlink(missing_ok=True)
        self.record("freed", request_id)
        if not self.has_fault("lose"):
            sock.sendall(plain(204))


def take_state(state: Path) -> bool:
    """Take the state; returns whether it existed."""
    try:
        state.unlink()
    except FileNotFoundError:
        return False
    return True


def open_attempts(folder: Path, request_id: str) -> list[tuple[str, str]]:
    """The attempts of a request that are in progress, each with its connection."""
    found = []
    for name in os.listdir(folder):
        number, _, attempt = name.partition("@")
        if number == request_id:
            with contextlib.suppress(FileNotFoundError):  # it has ended meanwhile
                found.append((attempt, os.readlink(folder / name)))
    return found


def describe_connection(local: tuple[str, int], peer: tuple[str, int]) -> str:
    return f"{local[0]} {local[1]} {peer[0]} {peer[1]}"


def is_closed(connection: str) -> bool:
    """Whether a TCP connection of any local process has been closed by its peer or is gone, as the kernel states it.

    Asks for this one by a netlink message: to read all of /proc/net/tcp takes over 10 ms with some thousand rows.
    """
    host, port, peer_host, peer_port = connection.split()
    request = b"".join(
        (
            struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ANY_STATE),
            struct.pack("!HH", int(port), int(peer_port)),
            *(socket.inet_aton(address).ljust(16, b"\0") for address in (host, peer_host)),
            struct.pack("=III", 0, *NO_COOKIE),
        )
    )
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as kernel:
        kernel.send(struct.pack("=IHHII", 16 + len(request), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0) + request)
        reply = kernel.recv(4_096)
    (kind,) = struct.unpack_from("=H", reply, 4)
    if kind == SOCK_DIAG_BY_FAMILY:
        return reply[17] != TCP_ESTABLISHED  # a listener's row stands for a connection that is gone
    (error,) = struct.unpack_from("=i", reply, 16)
    if error != -errno.ENOENT:
        raise OSError(-error, os.strerror(-error))
    return True


def receive(sock: socket.socket) -> tuple[bytes, float]:
    """Return the next bytes and when the kernel received them."""
    data, ancillary, _, _ = sock.recvmsg(1 << 16, 64)
    now = monotonic()
    for _, kind, stamp in ancillary:
        if kind == SO_TIMESTAMPNS and data:
            seconds, nanoseconds = struct.unpack("qq", stamp)
            now -= max(time() - seconds - nanoseconds / 1e9, 0.0)
    return data, now


def peer_closed(sock: socket.socket) -> bool:
    """Whether the peer has closed the connection."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def wait(sock: socket.socket, seconds: float) -> None:
    """Sleep; raises ConnectionEnded if the peer closes the connection meanwhile."""
    until = monotonic() + seconds
    while (remaining := until - monotonic()) > 0:
        if select.select([sock], [], [], remaining)[0]:
            if peer_closed(sock):
                raise ConnectionEnded
            sleep(0.002)


def close_socket(sock: socket.socket, reset: bool) -> None:
    with contextlib.suppress(OSError):
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


if __name__ == "__main__":
    host = SoakHost(sys.argv[1], sys.argv[2], Path(sys.argv[3]), sys.argv[4], int(sys.argv[5]), *sys.argv[6:])
    print(host.listener.getsockname()[1], flush=True)
    host.run()

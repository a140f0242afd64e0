"""The real World's sockets and signals."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import signal
import socket
import struct
import termios
import threading

import pytest

from tests.test_runtime import world
from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.real_sockets import ACCEPT_CONNECTION_ERRNOS
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.world import ConnectError, Stream, StreamError


def pair(w: RealWorld) -> tuple[Stream, Stream]:
    listener = w.listen("127.0.0.1", 0)
    accepted = w.spawn("accept", listener.accept)
    near = w.connect("127.0.0.1", listener.port, w.now_us() + 1_000_000)
    far: Stream = accepted.join()
    listener.close()
    return near, far


def test_a_writer_that_is_called_off_in_the_turn_in_which_it_could_go_on_writes_nothing_more() -> None:
    """The canceller treats data unwritten by then as never sent, and may tell a client so."""
    w = world()

    def main() -> None:
        near, far = pair(w)
        writer = w.spawn("writer", near.write, bytes(8_000_000))
        while not writer.parked:
            w.scheduler.yield_now()
        raw, sent = far._sock, near._sock.fileno()  # type: ignore[attr-defined]
        got, queued = 0, 1
        while writer.parked or queued:  # without a scheduler turn: wakes the writer and reads what was sent
            queued = struct.unpack("i", fcntl.ioctl(sent, termios.TIOCOUTQ, b"\0\0\0\0"))[0]
            with contextlib.suppress(BlockingIOError):
                while True:
                    got += len(raw.recv(1_000_000))
            w.poller.wait(w.now_us())
        writer.cancel()
        writer.join()
        near.close()
        assert got < 8_000_000 and not far.read()

    w.run("main", main)


def test_writes_wait_for_a_slow_reader_and_nothing_is_lost() -> None:
    w = world()

    def main() -> None:
        near, far = pair(w)
        data = os.urandom(8_000_000)

        def write() -> None:
            near.write(data)
            near.close()

        writer = w.spawn("writer", write)
        w.sleep_until(w.now_us() + 2_000)
        assert not writer.done, "the writer waits while the peer reads nothing"
        got = bytearray()
        while piece := far.read(10_000):
            got += piece
        assert bytes(got) == data

    w.run("main", main)


def test_resets_and_refusals_are_told_apart() -> None:
    w = world()

    def main() -> None:
        near, far = pair(w)
        far.abort()
        with pytest.raises(StreamError):
            near.read()
        listener = w.listen("127.0.0.1", 0)
        port = listener.port
        listener.close()
        with pytest.raises(ConnectError):
            w.connect("127.0.0.1", port, w.now_us() + 1_000_000)

    w.run("main", main)


@pytest.mark.parametrize(
    ("own_us", "callers_us", "raised"), [(20_000, 600_000_000, ConnectError), (600_000_000, 20_000, DeadlineExceeded)]
)
def test_a_connection_that_does_not_come_up(own_us: int, callers_us: int, raised: type[Exception]) -> None:
    """Past its own timeout the connect failed; past its caller's deadline nothing is known about the peer."""
    w = world()

    def main() -> None:
        listener = w.listen("127.0.0.1", 0, backlog=0)
        first = w.connect("127.0.0.1", listener.port, w.now_us() + 600_000_000)  # the backlog is full from now on
        with pytest.raises(raised) as caught, w.deadline(w.now_us() + callers_us):
            w.connect("127.0.0.1", listener.port, w.now_us() + own_us)
        assert type(caught.value) is raised
        first.close()

    w.run("main", main)


def test_closing_wakes_the_task_that_reads() -> None:
    w = world()

    def main() -> None:
        near, far = pair(w)

        def read() -> str:
            with pytest.raises(StreamError):
                near.read()
            return "woken"

        reader = w.spawn("reader", read)
        w.scheduler.yield_now()
        near.close()
        again, other = pair(w)  # may get the same descriptor
        assert reader.join() == "woken"
        other.write(b"x")
        assert again.read() == b"x"
        assert far.read() == b""

    w.run("main", main)


def test_an_idle_connection_that_the_peer_closed_is_not_quiet() -> None:
    w = world()

    def main() -> None:
        near, far = pair(w)
        assert near.is_idle()
        far.close()
        near.wait_input()
        assert not near.is_idle()

    w.run("main", main)


def test_a_signal_sets_stop_where_there_are_no_unix_sockets(monkeypatch: pytest.MonkeyPatch) -> None:
    """Every dispatcher of a fleet exited at its start, as the far end of a Unix socket had no address."""

    def no_unix(*_: object) -> None:
        raise OSError(errno.EAFNOSUPPORT, "no Unix sockets")

    monkeypatch.setattr(socket, "socketpair", no_unix)
    w = world()

    def main() -> None:
        w.stop_on_signals()
        w.scheduler.yield_now()
        threading.Timer(0, os.kill, (os.getpid(), signal.SIGTERM)).start()
        with w.deadline(w.now_us() + 5_000_000):
            w.stop.wait()

    before = signal.getsignal(signal.SIGTERM), signal.getsignal(signal.SIGINT)
    try:
        w.run("main", main)
    finally:
        signal.signal(signal.SIGTERM, before[0])
        signal.signal(signal.SIGINT, before[1])


class FailingSocket:
    """A listening socket whose accept fails once with each of the given errors."""

    def __init__(self, sock: socket.socket, errors: list[int]) -> None:
        self._sock, self.errors = sock, errors

    def accept(self) -> tuple[socket.socket, object]:
        if self.errors:
            raise OSError(self.errors.pop(0), "injected")
        return self._sock.accept()

    def __getattr__(self, name: str) -> object:
        return getattr(self._sock, name)


def test_errors_of_a_connection_that_is_accepted_do_not_end_the_listener() -> None:
    """With ENETUNREACH from one accept in eight the accepting task ended silently, and no client was served."""
    w = world()

    def main() -> None:
        listener = w.listen("127.0.0.1", 0)
        errors = list(ACCEPT_CONNECTION_ERRNOS)
        listener._sock = FailingSocket(listener._sock, errors)  # type: ignore[attr-defined]
        accepted = w.spawn("accept", listener.accept)
        near = w.connect("127.0.0.1", listener.port, w.now_us() + 1_000_000)
        far: Stream = accepted.join()
        assert not errors
        errors += ACCEPT_CONNECTION_ERRNOS
        admitted: list[Stream] = []
        second = w.connect("127.0.0.1", listener.port, w.now_us() + 1_000_000)
        listener.stop(admitted.append)
        assert len(admitted) == 1 and not errors
        for stream in (near, far, second, *admitted):
            stream.close()

    w.run("main", main)

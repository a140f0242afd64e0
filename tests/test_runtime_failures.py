"""System calls that fail for a while, and callbacks that fail, at the real World: nothing is given up for good."""

from __future__ import annotations

import errno
import os
import signal
import socket
from collections.abc import Callable
from typing import Any

import pytest

from tests.test_runtime import world
from tests.test_runtime_sockets import FailingSocket, pair
from yardspindle.runtime.real_sockets import RealListener
from yardspindle.runtime.scheduler import Task
from yardspindle.runtime.world import Stream

WAIT_US = 5_000_000


def failing(function: Callable[..., Any], *codes: int) -> Callable[..., Any]:
    """The function, whose first calls fail with these error numbers."""
    left = list(codes)

    def call(*args: Any, **named: Any) -> Any:
        if left:
            raise OSError(left.pop(0), "injected")
        return function(*args, **named)

    return call


def test_accepting_goes_on_after_errors_that_no_page_lists() -> None:
    """Guards against the listener being given up after an error number that accept(2) does not name."""
    w = world()

    def main() -> None:
        listener = w.listen("127.0.0.1", 0)
        listener._sock = FailingSocket(listener._sock, [errno.EIO, errno.ENOSR])  # type: ignore[attr-defined]
        accepted = w.spawn("accept", listener.accept)
        near = w.connect("127.0.0.1", listener.port, w.now_us() + WAIT_US)
        with w.deadline(w.now_us() + WAIT_US):
            far: Stream = accepted.join()
        near.close()
        far.close()

    w.run("main", main)


def test_connections_that_wait_at_the_stop_are_accepted_once_a_descriptor_is_free() -> None:
    """Guards against waiting connections being reset at a shutdown while no descriptor is free."""
    w = world()

    def main() -> None:
        listener = w.listen("127.0.0.1", 0)
        assert isinstance(listener, RealListener)
        near = w.connect("127.0.0.1", listener.port, w.now_us() + WAIT_US)
        listener._sock = FailingSocket(listener._sock, [errno.EMFILE])  # type: ignore[assignment]
        admitted: list[Stream] = []
        assert not listener.stop(admitted.append) and not listener.closed
        assert listener.stop(admitted.append) and listener.closed
        near.write(b"x")
        assert admitted[0].read() == b"x"

    w.run("main", main)


def test_a_program_listens_once_the_system_has_descriptors(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a start that fails as the system's table of files is full for a moment."""
    w = world()

    def main() -> None:
        with monkeypatch.context() as patch:
            patch.setattr(socket, "socket", failing(socket.socket, errno.ENFILE, errno.ENOBUFS))
            w.listen("127.0.0.1", 0).close()
        with pytest.raises(OSError, match="Cannot assign"):
            w.listen("192.0.2.1", 0)

    w.run("main", main)


def test_signals_are_heard_after_a_handler_that_failed() -> None:
    """Guards against SIGTERM and SIGHUP being lost after one handler has failed."""
    w, crashes = world(), []
    w.scheduler.on_crash = lambda task, error: crashes.append(error)
    heard: list[int] = []

    def main() -> None:
        second = w.signal()

        def handle() -> None:
            heard.append(1)
            if len(heard) == 1:
                raise MemoryError
            second.set()

        w.on_signals({signal.SIGHUP: handle})
        w.scheduler.yield_now()
        os.kill(os.getpid(), signal.SIGHUP)
        with w.deadline(w.now_us() + WAIT_US):
            while not crashes:
                w.sleep_until(w.now_us() + 1_000)
            os.kill(os.getpid(), signal.SIGHUP)
            second.wait()

    before = signal.getsignal(signal.SIGHUP)
    try:
        w.run("main", main)
    finally:
        signal.signal(signal.SIGHUP, before)
    assert [type(error) for error in crashes] == [MemoryError]


def test_a_timer_that_fails_keeps_no_other_one_from_firing() -> None:
    """Guards against the error of one timer ending the event loop, and the process with it."""
    w = world()
    errors: list[Exception] = []
    w.scheduler.on_timer_error = errors.append

    def fail() -> None:
        raise MemoryError

    def main() -> None:
        fired = w.signal()
        due_us = w.now_us() + 1_000
        w.call_at(due_us, fail)
        w.call_at(due_us, fired.set)
        with w.deadline(w.now_us() + WAIT_US):
            fired.wait()

    w.run("main", main)
    assert [type(error) for error in errors] == [MemoryError]


class FailingPoll:
    """A poll object whose first calls fail for lack of memory."""

    def __init__(self, poll: Any, failures: int) -> None:
        self._poll = poll
        self.poll = failing(poll.poll, *[errno.ENOMEM] * failures)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._poll, name)


def test_the_loop_goes_on_when_the_kernel_has_no_memory_to_poll() -> None:
    """Guards against ENOMEM from poll(2) ending the process."""
    w = world()
    w.poller._poll = FailingPoll(w.poller._poll, 3)  # type: ignore[assignment]

    def main() -> Task:
        w.sleep_until(w.now_us() + 10_000)
        return w.current()

    assert w.run("main", main).done


class ScarceSocket:
    """A connected socket whose first send and recv fail for lack of kernel memory."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.send = failing(sock.send, errno.ENOBUFS)
        self.recv = failing(sock.recv, errno.ENOMEM)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)


def test_a_connection_goes_on_after_a_lack_of_kernel_memory() -> None:
    """Guards against a client or host being given up as gone after one ENOBUFS of send or ENOMEM of recv."""
    w = world()

    def main() -> bytes:
        near, far = pair(w)
        for stream in (near, far):
            stream._sock = ScarceSocket(stream._sock)  # type: ignore[attr-defined]
        near.write(b"x")
        with w.deadline(w.now_us() + WAIT_US):
            return far.read()

    assert w.run("main", main) == b"x"

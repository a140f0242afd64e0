"""Child processes on the real machine: started, read, waited for and terminated without blocking the event loop.

The one exception is the wait after SIGKILL, for the short time in which the kernel ends the process. They use
`RealWorld`, the real machine's interface to clock, sockets and files.
"""

from __future__ import annotations

import errno
import os
import signal
import subprocess
from collections.abc import Callable, Sequence
from typing import TypeVar

from yardspindle.runtime.poller import READ_MASK
from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.real_sockets import EXHAUSTION_ERRNOS
from yardspindle.runtime.scheduler import DeadlineExceeded

T = TypeVar("T")


# The system lacks descriptors, memory or processes at the moment; the same call can succeed later.
SHORTAGE_ERRNOS = (*EXHAUSTION_ERRNOS, errno.EAGAIN)
SHORTAGE_RETRY_US = 20_000


def open_pidfd(world: RealWorld, pid: int) -> int | None:
    """Open a descriptor of a process, None if there is no such process; waits while the system has none free."""
    while True:
        try:
            return os.pidfd_open(pid)
        except ProcessLookupError:
            return None
        except OSError as error:
            if error.errno not in SHORTAGE_ERRNOS:
                raise
        world.sleep_until(world.now_us() + SHORTAGE_RETRY_US)


def retry_while_short(world: RealWorld, until_us: int, start: Callable[[], T]) -> T:
    """Start a process; tries again until `until_us` while the system is short of what that needs. Raises OSError."""
    while True:
        try:
            return start()
        except OSError as error:
            if error.errno not in SHORTAGE_ERRNOS or world.now_us() >= until_us:
                raise
        world.sleep_until(world.now_us() + SHORTAGE_RETRY_US)


class ChildError(Exception):
    """The child exited or timed out before it reported that it was ready."""


class Child:
    """A child process. Signals are sent to its process id only, never to a group or by name."""

    def __init__(self, world: RealWorld, name: str, argv: Sequence[str], log_path: str) -> None:
        """Start the process with its standard error appended to `log_path`.

        It runs in a session of its own, so signals from this program's terminal do not reach it.
        """
        self.name = name
        self._world = world
        with open(log_path, "ab") as log:
            self._process = subprocess.Popen(
                argv, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=log, start_new_session=True
            )
        assert self._process.stdout is not None
        self._stdout = self._process.stdout.fileno()
        os.set_blocking(self._stdout, False)
        self._buffer = b""
        self.log_path = log_path
        self._sigterm_sent = False

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    def first_line(self, timeout_us: int) -> str:
        """Wait for the first line of its standard output and return it. Raises ChildError."""
        try:
            with self._world.deadline(self._world.now_us() + timeout_us):
                while b"\n" not in self._buffer:
                    if self._stdout >= 0:
                        self._world.poller.block(self._world.scheduler, self._stdout, READ_MASK)
                    data = os.read(self._stdout, 4_096) if self._stdout >= 0 else b""
                    if not data:
                        raise ChildError(f"{self.name} exited before it was ready: {self._last_log_line()}")
                    self._buffer += data
        except DeadlineExceeded:
            raise ChildError(f"{self.name} was not ready within {timeout_us / 1e6:g} s") from None
        line, _, self._buffer = self._buffer.partition(b"\n")
        return line.decode()

    def _last_log_line(self) -> str:
        with open(self.log_path, "rb") as file:
            lines = file.read().decode(errors="replace").strip().splitlines()
        return lines[-1] if lines else "its log is empty"

    def running(self) -> bool:
        """Return whether the process is still running."""
        return self._process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process is still running."""
        if self.running():
            self._process.send_signal(number)

    def wait(self, until_us: int) -> int | None:
        """Wait for the process to exit; return its exit code, or None if it is still running at the deadline."""
        if self._process.poll() is None:
            pidfd = None
            try:
                with self._world.deadline(until_us):
                    pidfd = open_pidfd(self._world, self.pid)
                    if pidfd is not None:
                        self._world.poller.block(self._world.scheduler, pidfd, READ_MASK)
            except DeadlineExceeded:
                return None
            finally:
                if pidfd is not None:
                    os.close(pidfd)
        code = self._process.wait()
        if self._process.stdout is not None and self._stdout >= 0:
            self._world.poller.unregister(self._stdout)  # wakes a task in `first_line`
            self._stdout = -1
            self._process.stdout.close()
        return code

    def terminate(self) -> None:
        """Send SIGTERM, only once: a second SIGTERM would cut the drain short. SIGCONT resumes a stopped process."""
        if not self._sigterm_sent:
            self._sigterm_sent = True
            self.send(signal.SIGCONT)
            self.send(signal.SIGTERM)

    def stop(self, grace_us: int) -> int:
        """Send SIGTERM, then SIGKILL if the process is still running after the grace period; return its exit code."""
        self.terminate()
        code = self.wait(self._world.now_us() + grace_us)
        if code is None:
            self.send(signal.SIGKILL)
            code = self._process.wait()
        return code

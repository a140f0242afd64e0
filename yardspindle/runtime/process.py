"""Child processes on the real World: started, read line by line, waited for and ended without blocking the loop."""

from __future__ import annotations

import os
import signal
import subprocess
from collections.abc import Sequence

from yardspindle.runtime.poller import READ_MASK
from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.scheduler import DeadlineExceeded


class ChildError(Exception):
    """The child ended, or said nothing, before it was ready."""


class Child:
    """A process of ours; ended by its id alone."""

    def __init__(self, world: RealWorld, name: str, argv: Sequence[str], log_path: str) -> None:
        """Start it; its standard error is appended to `log_path`. It gets no terminal signals of ours."""
        self.name = name
        self._world = world
        with open(log_path, "ab") as log:
            self._process = subprocess.Popen(
                argv, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=log, start_new_session=True
            )
        assert self._process.stdout is not None
        self._out = self._process.stdout.fileno()
        os.set_blocking(self._out, False)
        self._buffer = b""
        self.log_path = log_path
        self._told = False

    @property
    def pid(self) -> int:
        """The process's id."""
        return self._process.pid

    def first_line(self, timeout_us: int) -> str:
        """The first line of its standard output. Raises ChildError."""
        try:
            with self._world.deadline(self._world.now_us() + timeout_us):
                while b"\n" not in self._buffer:
                    self._world.poller.block(self._world.scheduler, self._out, READ_MASK)
                    data = os.read(self._out, 4_096)
                    if not data:
                        raise ChildError(f"{self.name} ended before it was ready: {self._last_log()}")
                    self._buffer += data
        except DeadlineExceeded:
            raise ChildError(f"{self.name} was not ready in time") from None
        line, _, self._buffer = self._buffer.partition(b"\n")
        return line.decode()

    def _last_log(self) -> str:
        with open(self.log_path, "rb") as file:
            lines = file.read().decode(errors="replace").strip().splitlines()
        return lines[-1] if lines else "it said nothing"

    def running(self) -> bool:
        """Whether it still runs."""
        return self._process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if it still runs."""
        if self.running():
            self._process.send_signal(number)

    def wait(self, until_us: int) -> int | None:
        """Its exit code, or None if it still runs at the deadline."""
        if self._process.poll() is None:
            handle = os.pidfd_open(self.pid)
            try:
                with self._world.deadline(until_us):
                    self._world.poller.block(self._world.scheduler, handle, READ_MASK)
            except DeadlineExceeded:
                return None
            finally:
                os.close(handle)
        code = self._process.wait()
        if self._process.stdout is not None and not self._process.stdout.closed:
            self._process.stdout.close()
        return code

    def terminate(self) -> None:
        """Send SIGTERM once: a second one would cut its drain short."""
        if not self._told:
            self._told = True
            self.send(signal.SIGCONT)
            self.send(signal.SIGTERM)

    def stop(self, grace_us: int) -> int:
        """Ask it to end, then end it."""
        self.terminate()
        code = self.wait(self._world.now_us() + grace_us)
        if code is None:
            self.send(signal.SIGKILL)
            code = self._process.wait()
        return code

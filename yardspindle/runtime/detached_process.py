"""A long-lived process beside this one on the real World: it outlives its starter, and is known by id and start.

A process id comes again, so it is paired with the start time that the kernel keeps; signals go by a handle (pidfd) that
is opened first and checked after, so that they never reach another process.
"""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
from collections.abc import Sequence

from yardspindle.runtime.poller import READ_MASK
from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.scheduler import DeadlineExceeded

MARK = "YARDSPINDLE_UNIT"  # environment variable


def start_ticks_of(pid: int) -> int:
    """When a process started, in the kernel's ticks; 0 when there is none, or only its remains."""
    try:
        with open(f"/proc/{pid}/stat", "rb") as file:
            fields = file.read().rpartition(b")")[2].split()
    except OSError:
        return 0
    return 0 if fields[0] in (b"Z", b"X") else int(fields[19])


class DetachedProcess:
    """A process, ours or one that an earlier start of this program left running."""

    def __init__(
        self, world: RealWorld, pid: int, start_ticks: int, process: subprocess.Popen[bytes] | None = None
    ) -> None:
        """`started`: as `born` told it."""
        self._world, self.pid, self.start_ticks, self._process = world, pid, start_ticks, process

    @classmethod
    def start(cls, world: RealWorld, argv: Sequence[str], log_path: str, mark: str) -> DetachedProcess:
        """Start it in a session of its own, output appended to a file, its mark in its environment. Raises OSError."""
        with open(log_path, "ab") as log:
            process = subprocess.Popen(
                argv,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                env={**os.environ, MARK: mark},
            )
        return cls(world, process.pid, start_ticks_of(process.pid), process)

    @classmethod
    def find(cls, world: RealWorld, mark: str) -> DetachedProcess | None:
        """One that was started with a mark, by a program that was killed before it could write its id down."""
        wanted, found = f"{MARK}={mark}".encode(), []
        for name in os.listdir("/proc"):
            with contextlib.suppress(OSError):
                if name.isdigit():
                    with open(f"/proc/{name}/environ", "rb") as file:
                        marked = wanted in file.read().split(b"\0")
                    if marked and (started := start_ticks_of(int(name))):
                        found.append((started, int(name)))  # its own children carry the mark too: the oldest is it
        return cls(world, min(found)[1], min(found)[0]) if found else None

    def alive(self) -> bool:
        """Whether it still runs."""
        if self._process is not None and self._process.poll() is not None:
            return False
        return self.start_ticks != 0 and start_ticks_of(self.pid) == self.start_ticks

    def send(self, number: signal.Signals) -> None:
        """Send a signal to it, or to nobody."""
        with contextlib.suppress(OSError):
            handle = os.pidfd_open(self.pid)
            try:
                if start_ticks_of(self.pid) == self.start_ticks:
                    signal.pidfd_send_signal(handle, number)
            finally:
                os.close(handle)

    def wait(self, until_us: int) -> bool:
        """Wait for its end; whether it ended in time."""
        try:
            handle = os.pidfd_open(self.pid)
        except OSError:
            return True
        try:
            if not self.alive():
                return True
            with self._world.deadline(until_us):
                self._world.poller.block(self._world.scheduler, handle, READ_MASK)
            if self._process is not None:
                self._process.poll()
            return True
        except DeadlineExceeded:
            return False
        finally:
            os.close(handle)

"""Processes on the real machine that outlive the program that started them: a unit (a dispatcher or model host) keeps
running when its supervisor restarts. `RealWorld` is the real machine's interface to clock, sockets and files.

A process id can be reused, so a process is identified by its id together with its start time as recorded by the
kernel. A signal is sent through a pidfd that is opened before the start time is checked, so it cannot reach another
process.
"""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
from collections.abc import Sequence

from yardspindle.runtime.poller import READ_MASK
from yardspindle.runtime.process import open_pidfd
from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.scheduler import DeadlineExceeded

MARKER_VARIABLE = "YARDSPINDLE_UNIT"  # environment variable that identifies a process to `find`


def start_ticks_of(pid: int) -> int:
    """Return a process's start time in clock ticks since boot, or 0 if it does not exist or is a zombie.

    Raises OSError if that cannot be told now, as no descriptor is free.
    """
    try:
        with open(f"/proc/{pid}/stat", "rb") as file:
            # The name, field 2 of proc(5), is in parentheses and may hold spaces: start after it, at field 3.
            fields = file.read().rpartition(b")")[2].split()
    except (FileNotFoundError, ProcessLookupError):
        return 0
    return 0 if fields[0] in (b"Z", b"X") else int(fields[19])  # state and start time: fields 3 and 22


class DetachedProcess:
    """A process started by this program, or by an earlier run of it that has since exited."""

    def __init__(
        self, world: RealWorld, pid: int, start_ticks: int, process: subprocess.Popen[bytes] | None = None
    ) -> None:
        """`start_ticks` as returned by `start_ticks_of`; `process` is given if it is a child of this program."""
        self._world, self.pid, self.start_ticks, self._process = world, pid, start_ticks, process

    @classmethod
    def start(cls, world: RealWorld, argv: Sequence[str], log_path: str, marker: str) -> DetachedProcess:
        """Start a process in a session of its own, with `marker` in its environment and its output appended to a file.

        Raises OSError.
        """
        with open(log_path, "ab") as log:
            process = subprocess.Popen(
                argv,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                env={**os.environ, MARKER_VARIABLE: marker},
            )
        return cls(world, process.pid, start_ticks_of(process.pid), process)

    @classmethod
    def find(cls, world: RealWorld, marker: str) -> DetachedProcess | None:
        """Find a process by its marker, for a program that was killed before it could store the process id.

        Raises OSError if a process could not be looked at: it may be the one.
        """
        wanted, found = f"{MARKER_VARIABLE}={marker}".encode(), []
        for name in os.listdir("/proc"):
            if not name.isdigit():
                continue
            try:
                with open(f"/proc/{name}/environ", "rb") as file:
                    marked = wanted in file.read().split(b"\0")
            except (FileNotFoundError, ProcessLookupError, PermissionError):  # it ended, or is another user's
                continue
            if marked and (started := start_ticks_of(int(name))):
                found.append((started, int(name)))  # its children inherit the marker: take the oldest
        return cls(world, min(found)[1], min(found)[0]) if found else None

    def alive(self) -> bool:
        """Return whether the process is still running; one that cannot be looked at now counts as running."""
        if self._process is not None and self._process.poll() is not None:
            return False
        try:
            return self.start_ticks != 0 and start_ticks_of(self.pid) == self.start_ticks
        except OSError:
            return True

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process; no effect if it has exited. Waits while no descriptor is free."""
        pidfd = open_pidfd(self._world, self.pid)
        if pidfd is None:
            return
        try:
            if self.alive():
                with contextlib.suppress(ProcessLookupError):
                    signal.pidfd_send_signal(pidfd, number)
        finally:
            os.close(pidfd)

    def wait(self, until_us: int) -> bool:
        """Wait for the process to exit; return whether it exited by the deadline."""
        pidfd = None
        try:
            with self._world.deadline(until_us):
                pidfd = open_pidfd(self._world, self.pid)
                if pidfd is None or not self.alive():
                    return True
                self._world.poller.block(self._world.scheduler, pidfd, READ_MASK)
            if self._process is not None:
                self._process.poll()
            return True
        except DeadlineExceeded:
            return False
        finally:
            if pidfd is not None:
                os.close(pidfd)

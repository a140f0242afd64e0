"""Runs a unit (a dispatcher or model host) and its commands as local processes."""

from __future__ import annotations

import contextlib
import signal
from collections.abc import Sequence

import structlog

from yardspindle.core.fleet.unit import UnitFile
from yardspindle.runtime.detached_process import DetachedProcess
from yardspindle.runtime.process import Child, ChildError, retry_while_short
from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.scheduler import DeadlineExceeded

log = structlog.get_logger("yardspindle.unit")


class ProcessRunner:
    """Runs the unit's process detached, so that it outlives the supervisor (implements `UnitRunner` of unit/app.py)."""

    def __init__(self, world: RealWorld, file: UnitFile) -> None:
        """Starts nothing yet."""
        self._world, self._file = world, file
        self._service: DetachedProcess | None = None
        self._log = file.state + ".log"

    def adopt(self, pid: int, born: int) -> None:
        """Take over the process with this id and start time (`UnitRunner`)."""
        self._service = DetachedProcess(self._world, pid, born) if pid else None

    def id(self) -> tuple[int, int]:
        """The process id and start time; zeros if there is no process (`UnitRunner`)."""
        return (self._service.pid, self._service.start_ticks) if self._service is not None else (0, 0)

    def alive(self) -> bool:
        """Whether the unit's process is running (`UnitRunner`)."""
        return self._service is not None and self._service.alive()

    def start(self, version: str, mark: str) -> int:
        """Start the unit; returns 0, or 127 if it cannot be started (`UnitRunner`).

        `mark`: the id of this start, which the process carries in its environment. A running process that carries it is
        taken over; there is one if a supervisor was killed after starting it and before storing its process id."""
        argv = [part.replace("{version}", version) for part in self._file.run]

        def find_or_start() -> DetachedProcess:
            return DetachedProcess.find(self._world, mark) or DetachedProcess.start(self._world, argv, self._log, mark)

        try:
            until_us = self._world.now_us() + round(self._file.start_s * 1e6)
            self._service = retry_while_short(self._world, until_us, find_or_start)
        except OSError as error:
            log.error("unit could not be started", reason=str(error))
            return 127
        return 0

    def stop(self) -> None:
        """Send SIGTERM, then SIGKILL if the unit has not exited in `stop_s` (`UnitRunner`)."""
        if self._service is None:
            return
        for signal_number in (signal.SIGTERM, signal.SIGKILL):
            self._service.send(signal_number)
            if self._service.wait(self._world.now_us() + round(self._file.stop_s * 1e6)):
                return

    def drain(self, version: str) -> int | None:
        """Run the drain command, if the file has one; its exit code, or None if it timed out (`UnitRunner`)."""
        return self._run(self._file.drain, version, self._file.drain_s)[0] if self._file.drain else 0

    def check(self, version: str) -> tuple[int | None, bytes]:
        """Run the check command; its exit code and first line. Without a command the unit is healthy (`UnitRunner`)."""
        return self._run(self._file.check, version, self._file.check_s) if self._file.check else (0, b"")

    def _run(self, command: Sequence[str], version: str, timeout_s: float) -> tuple[int | None, bytes]:
        """Runs a command; gives its exit code, or None if it timed out, and the first line that it printed."""
        argv = [part.replace("{version}", version) for part in command]
        deadline_us, line = self._world.now_us() + round(timeout_s * 1e6), ""
        try:
            child = retry_while_short(self._world, deadline_us, lambda: Child(self._world, command[0], argv, self._log))
        except OSError as error:
            log.error("command could not be run", command=command[0], reason=str(error))
            return 127, b""
        with contextlib.suppress(ChildError, DeadlineExceeded):  # no line was printed in time
            line = child.first_line(round(timeout_s * 1e6))
        code = child.wait(deadline_us)
        if code is None:
            child.send(signal.SIGKILL)
            child.wait(self._world.now_us() + 1_000_000)
        return code, line.encode()

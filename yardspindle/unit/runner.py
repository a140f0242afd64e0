"""A unit and its commands as processes of this machine."""

from __future__ import annotations

import contextlib
import signal
from collections.abc import Sequence

import structlog

from yardspindle.core.fleet.unit import UnitFile
from yardspindle.runtime.process import Child, ChildError
from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.service import Service

log = structlog.get_logger("yardspindle.unit")


class ProcessRunner:
    """See Hands."""

    def __init__(self, world: RealWorld, file: UnitFile) -> None:
        """Nothing runs."""
        self._world, self._file = world, file
        self._service: Service | None = None
        self._log = file.state + ".log"

    def adopt(self, pid: int, born: int) -> None:
        """See Hands."""
        self._service = Service(self._world, pid, born) if pid else None

    def id(self) -> tuple[int, int]:
        """See Hands."""
        return (self._service.pid, self._service.started) if self._service is not None else (0, 0)

    def alive(self) -> bool:
        """See Hands."""
        return self._service is not None and self._service.alive()

    def start(self, version: str, mark: str) -> int:
        """See Hands."""
        argv = [part.replace("{version}", version) for part in self._file.run]
        try:
            self._service = Service.find(self._world, mark) or Service.start(self._world, argv, self._log, mark)
        except OSError as error:
            log.error("the unit cannot be started", reason=str(error))
            return 127
        return 0

    def stop(self) -> None:
        """See Hands."""
        if self._service is None:
            return
        for number in (signal.SIGTERM, signal.SIGKILL):
            self._service.send(number)
            if self._service.wait(self._world.now_us() + round(self._file.stop_s * 1e6)):
                return

    def drain(self, version: str) -> int | None:
        """See Hands."""
        return self._command(self._file.drain, version, self._file.drain_s)[0] if self._file.drain else 0

    def check(self, version: str) -> tuple[int | None, bytes]:
        """See Hands."""
        return self._command(self._file.check, version, self._file.check_s) if self._file.check else (0, b"")

    def _command(self, command: Sequence[str], version: str, seconds: float) -> tuple[int | None, bytes]:
        """A command's exit code, None when its time is up, and the first line that it printed."""
        argv = [part.replace("{version}", version) for part in command]
        until_us, line = self._world.now_us() + round(seconds * 1e6), ""
        try:
            child = Child(self._world, command[0], argv, self._log)
        except OSError as error:
            log.error("a command cannot be run", command=command[0], reason=str(error))
            return 127, b""
        with contextlib.suppress(ChildError, DeadlineExceeded):  # else it printed nothing
            line = child.first_line(round(seconds * 1e6))
        code = child.wait(until_us)
        if code is None:
            child.send(signal.SIGKILL)
            child.wait(self._world.now_us() + 1_000_000)
        return code, line.encode()

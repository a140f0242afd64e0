"""Reads the configuration file anew, as the platform asks for by SIGHUP, until the file could be read.

The platform announces a new configuration once. A read that fails for lack of a file descriptor or memory, or as the
file is just being replaced, is therefore repeated; until it succeeds the running configuration stays in force. A file
that was read but is not valid is not read again.
"""

from __future__ import annotations

from collections.abc import Callable

from yardspindle.core.config import ConfigError
from yardspindle.node import log
from yardspindle.node.config import ConfigUnreadable, NodeConfig
from yardspindle.runtime.scheduler import Task
from yardspindle.runtime.world import World

MIN_RETRY_PAUSE_US = (
    5_000  # doubled after each failure; a new configuration takes effect 4 s after SIGHUP at the latest
)
MAX_RETRY_PAUSE_US = 200_000
START_RETRY_LIMIT_US = 1_000_000  # a process has to be ready 6 s after its start


class ConfigReload:
    """Reads and applies the configuration file on request."""

    def __init__(self, world: World, read: Callable[[], NodeConfig], apply: Callable[[NodeConfig], None]) -> None:
        """`read` raises ConfigError, or ConfigUnreadable to be called again; `apply` gets the configuration.

        `world`: the interface to clock, sockets, files and randomness.
        """
        self._world = world
        self._read = read
        self._apply = apply
        self._requested = False
        self._task: Task | None = None

    def read_at_start(self) -> NodeConfig:
        """Read the file for the first time, for a limited time while the system lacks what that needs."""
        until_us = self._world.now_us() + START_RETRY_LIMIT_US
        while True:
            try:
                return self._read()
            except ConfigUnreadable as error:
                if not error.transient or self._world.now_us() >= until_us:
                    raise
            self._world.sleep_until(self._world.now_us() + MAX_RETRY_PAUSE_US)

    def request(self) -> None:
        """Read the file soon; a request while the file cannot be read is covered by the next try."""
        self._requested = True
        if self._task is None or self._task.done:
            self._task = self._world.spawn("reload", self._run)

    def _run(self) -> None:
        pause_us, logged_reason = MIN_RETRY_PAUSE_US, ""
        while self._requested:
            self._requested = False
            try:
                config = self._read()
            except ConfigUnreadable as error:
                if str(error) != logged_reason:
                    logged_reason = str(error)
                    log.write("the new configuration cannot be read yet", fault=error)
                self._requested = True
                self._pause(pause_us, error.descriptors_exhausted)
                pause_us = min(2 * pause_us, MAX_RETRY_PAUSE_US)
                continue
            except ConfigError as error:
                log.write("the new configuration is not taken", fault=error)  # the running one stays in force
                continue
            self._apply(config)

    def _pause(self, pause_us: int, descriptors_exhausted: bool) -> None:
        """Wait before the next try; if no descriptor was free, claim the next one."""
        if not descriptors_exhausted:
            self._world.sleep_until(self._world.now_us() + pause_us)
            return
        with self._world.descriptor_priority.claim():
            self._world.sleep_until(self._world.now_us() + MIN_RETRY_PAUSE_US)

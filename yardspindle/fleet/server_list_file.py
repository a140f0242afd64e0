"""Reads the list of prefill and decode servers from a file at a fixed interval; applies it completely or not at all.

A rejected file leaves the current list in force and is logged once, and again when the reason changes. The file is
polled: that costs little compared with a list that comes late and, unlike a file watch, notices every way of replacing
a file.
"""

from __future__ import annotations

from collections.abc import Callable

import structlog

from yardspindle.core.config import Config, ConfigError
from yardspindle.core.hosts.server_list import ServerList, parse_server_list
from yardspindle.runtime.world import World

log = structlog.get_logger("yardspindle.fleet")


class ServerListFile:
    """Keeps a `ServerList` up to date with a file."""

    def __init__(
        self, world: World, path: str, config: Config, server_list: ServerList, on_change: Callable[[], None]
    ) -> None:
        """`world`: the interface to clock, sockets and files. `on_change` is called after a list was applied."""
        self._world = world
        self._path = path
        self._config = config
        self._server_list = server_list
        self._on_change = on_change
        self._data: bytes | None = None
        self.error = ""
        self.rejected_count = 0

    def load(self) -> None:
        """Read the file and apply it if it changed. Raises ConfigError if it cannot be read or is not valid."""
        try:
            data = self._world.read_file(self._path)
        except OSError as error:
            raise ConfigError(f"{self._path}: {error.strerror}") from None
        if data == self._data:
            return
        document = parse_server_list(self._path, data, self._config)
        self._data = data
        if self._server_list.apply(document):
            # Logged for each list that is applied.
            log.info("server list", version=self._server_list.version, servers=len(document.servers))
            self._on_change()

    def run(self, interval_us: int) -> None:
        """Reload the file at each interval until cancelled."""
        while True:
            try:
                self.load()
                self.error = ""
            except ConfigError as error:
                if str(error) != self.error:
                    self.error = str(error)
                    self.rejected_count += 1
                    log.error("server list refused; the one in force stays", reason=self.error)
            self._world.sleep_until(self._world.now_us() + interval_us)

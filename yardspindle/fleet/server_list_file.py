"""The server list from a file, read again every so often; taken whole or not at all.

What is wrong with a file is said once, and again when the fault changes; the list in force stays. Reading is
cheap beside what a late list costs, and sees every way in which a file can be replaced.
"""

from __future__ import annotations

from collections.abc import Callable

import structlog

from yardspindle.core.config import Config, ConfigError
from yardspindle.core.hosts.server_list import ServerList, parse_server_list
from yardspindle.runtime.world import World

log = structlog.get_logger("yardspindle.fleet")


class ServerListFile:
    """Feeds a roster from a file."""

    def __init__(
        self, world: World, path: str, config: Config, roster: ServerList, on_change: Callable[[], None]
    ) -> None:
        """`on_news` is called when a changed list is in force."""
        self._world = world
        self._path = path
        self._config = config
        self._roster = roster
        self._on_news = on_change
        self._data: bytes | None = None
        self.error = ""
        self.rejected_count = 0

    def load(self) -> None:
        """Look at the file. Raises ConfigError when it cannot be taken."""
        try:
            data = self._world.read_file(self._path)
        except OSError as error:
            raise ConfigError(f"{self._path}: {error.strerror}") from None
        if data == self._data:
            return
        document = parse_server_list(self._path, data, self._config)
        self._data = data
        if self._roster.apply(document):
            log.info("server list", version=self._roster.version, servers=len(document.servers))
            self._on_news()

    def run(self, every_us: int) -> None:
        """Follow the file until cancelled."""
        while True:
            try:
                self.load()
                self.error = ""
            except ConfigError as error:
                if str(error) != self.error:
                    self.error = str(error)
                    self.rejected_count += 1
                    log.error("server list refused; the one in force stays", reason=self.error)
            self._world.sleep_until(self._world.now_us() + every_us)

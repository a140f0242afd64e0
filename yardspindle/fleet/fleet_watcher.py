"""Follows what the store holds of the fleet: read whole once, then watched; read anew after anything unsure.

A watch can fall silent without breaking. What else is heard of the store carries its revision (`expect`), and a view
that stays behind one for longer than a moment is read anew.
"""

from __future__ import annotations

from collections.abc import Callable

import structlog

from yardspindle.core.fleet.kv import Compacted, prefix_end
from yardspindle.core.fleet.members import FleetKeys, FleetView
from yardspindle.fleet.store.interface import Store, StoreError, Watch
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.world import World

WATCH_POLL_US = 200_000  # how often a quiet watch is looked at
MAX_LAG_US = 1_000_000  # how long the view may be behind what was heard elsewhere
MIN_RETRY_PAUSE_US, MAX_RETRY_PAUSE_US = 100_000, 2_000_000

log = structlog.get_logger("yardspindle.fleet")


class FleetWatcher:
    """One process's view of its fleet."""

    def __init__(self, world: World, store: Store, keys: FleetKeys, on_change: Callable[[], None]) -> None:
        """`on_news` is called after each change."""
        self._world, self._store, self._keys, self._on_news = world, store, keys, on_change
        self.view = FleetView(keys)
        self.confirmed_us = 0  # when the view was last known to be all that the store holds
        self.full_reads = 0
        self._behind_us = 0  # since when the view is behind

    def observe_revision(self, revision: int) -> None:
        """The store stands at least there, as something else told."""
        if revision <= self.view.revision:
            self._behind_us = 0
            self.confirmed_us = self._world.now_us()
        elif not self._behind_us:
            self._behind_us = self._world.now_us()

    def run(self) -> None:
        """Follow until cancelled."""
        pause_us = MIN_RETRY_PAUSE_US
        while True:
            try:
                rows = self._store.range(self._keys.root, prefix_end(self._keys.root))
                self.view.reset(rows.revision, rows.rows)
                self.full_reads += 1
                self._behind_us = 0
                self._heard()
                pause_us = MIN_RETRY_PAUSE_US
                watch = self._store.watch(self._keys.root, prefix_end(self._keys.root), rows.revision + 1)
                try:
                    self._follow(watch)
                finally:
                    watch.close()
            except Compacted:
                log.info("the store's history is gone; read anew", revision=self.view.revision)
            except StoreError as error:
                log.warning("the store is not followed", reason=str(error))
            self._world.sleep_until(self._world.now_us() + pause_us)
            pause_us = min(2 * pause_us, MAX_RETRY_PAUSE_US)

    def _follow(self, watch: Watch) -> None:
        while True:
            limit = self._world.deadline(self._world.now_us() + WATCH_POLL_US)
            try:
                with limit:
                    changes = watch.next()
            except DeadlineExceeded:
                if not limit.passed:
                    raise
                if self._behind_us and self._world.now_us() - self._behind_us > MAX_LAG_US:
                    log.warning("the watch is silent; read anew", revision=self.view.revision)
                    return
                continue
            self.view.apply(changes.revision, changes.changes)
            if self._behind_us:
                self._behind_us = self._world.now_us()
            self._heard()

    def _heard(self) -> None:
        self.confirmed_us = self._world.now_us()
        self._on_news()

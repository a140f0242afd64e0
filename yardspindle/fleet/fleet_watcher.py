"""Keeps a view (a local copy) of the fleet's data in the store, the key-value store that its processes share.

One full read, then a watch; another full read whenever the watch breaks or may have missed a change.
A watch can stop delivering without breaking. Other answers of the store carry its revision (`observe_revision`); if
the view is behind such a revision and the watch delivers nothing newer for `MAX_LAG_US`, all is read again.
"""

from __future__ import annotations

from collections.abc import Callable

import structlog

from yardspindle.core.fleet.kv import Changes, Compacted, prefix_end
from yardspindle.core.fleet.members import FleetKeys, FleetView
from yardspindle.fleet.store.interface import Store, StoreError, Watch
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.world import World

WATCH_POLL_US = 200_000  # how often a watch without changes is checked for lag
MAX_LAG_US = (
    1_000_000  # how long the watch may deliver nothing newer while the view is behind another answer's revision
)
MIN_RETRY_PAUSE_US, MAX_RETRY_PAUSE_US = 100_000, 2_000_000

log = structlog.get_logger("yardspindle.fleet")


class FleetWatcher:
    """Keeps one process's `FleetView` up to date with the store."""

    def __init__(self, world: World, store: Store, keys: FleetKeys, on_change: Callable[[], None]) -> None:
        """`world`: the interface to clock, sockets and files.

        `on_change` is called after each update of the view, also one that brings no changes.
        """
        self._world, self._store, self._keys, self._on_change = world, store, keys, on_change
        self.view = FleetView(keys)
        self.confirmed_us = 0  # when the view was last known to match the store
        self.full_reads = 0
        self._seen_revision = 0  # the latest that another answer carried
        self._behind_since_us = 0  # when a lag was found, or the view last advanced during it; 0: none known

    def observe_revision(self, revision: int) -> None:
        """Compare the view with a revision of the store that another answer carried."""
        if revision <= self.view.revision:
            self._behind_since_us = 0
            self.confirmed_us = self._world.now_us()
            return
        self._seen_revision = max(self._seen_revision, revision)
        if not self._behind_since_us:
            self._behind_since_us = self._world.now_us()

    def run(self) -> None:
        """Read and watch the store until cancelled."""
        pause_us = MIN_RETRY_PAUSE_US
        while True:
            try:
                rows = self._store.range(self._keys.root, prefix_end(self._keys.root))
                self.view.reset(rows.revision, rows.rows)
                self.full_reads += 1
                self._behind_since_us = self._seen_revision = 0
                self._view_updated()
                pause_us = MIN_RETRY_PAUSE_US
                watch = self._store.watch(self._keys.root, prefix_end(self._keys.root), rows.revision + 1)
                try:
                    self._apply_changes(watch)
                finally:
                    watch.close()
            except Compacted:
                log.info("the store has compacted the history; reading all again", revision=self.view.revision)
            except StoreError as error:
                log.warning("the store cannot be watched; retrying", reason=str(error))
            self._world.sleep_until(self._world.now_us() + pause_us)
            pause_us = min(2 * pause_us, MAX_RETRY_PAUSE_US)

    def _apply_changes(self, watch: Watch) -> None:
        while not self._lags():
            changes = self._next_changes(watch)
            if changes is None:
                continue
            is_newer = changes.revision > self.view.revision
            self.view.apply(changes.revision, changes.changes)
            if self.view.revision >= self._seen_revision:
                self._behind_since_us = 0
            elif self._behind_since_us and is_newer:  # the view catches up: MAX_LAG_US starts again
                self._behind_since_us = self._world.now_us()
            if is_newer or not self._behind_since_us:
                self._view_updated()
        log.warning("the watch delivers nothing; reading all again", revision=self.view.revision)

    def _lags(self) -> bool:
        return bool(self._behind_since_us) and self._world.now_us() - self._behind_since_us > MAX_LAG_US

    def _next_changes(self, watch: Watch) -> Changes | None:
        """What the watch delivers next; None if nothing comes for WATCH_POLL_US."""
        limit = self._world.deadline(self._world.now_us() + WATCH_POLL_US)
        try:
            with limit:
                return watch.next()
        except DeadlineExceeded:
            if not limit.passed:  # an enclosing deadline of the caller passed, not this one
                raise
            return None

    def _view_updated(self) -> None:
        self.confirmed_us = self._world.now_us()
        self._on_change()

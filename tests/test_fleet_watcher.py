"""The copy of the fleet's data is read anew when its watch delivers messages, but nothing newer."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass, field

import pytest

from tests.agent_standin import ENDLESS
from tests.platform_standin import plain, read_request
from yardspindle.core.fleet.kv import Changes, RangeResult
from yardspindle.core.fleet.members import FleetKeys
from yardspindle.fleet.fleet_watcher import MAX_LAG_US, WATCH_POLL_US, FleetWatcher
from yardspindle.fleet.store.etcd import EtcdStore
from yardspindle.fleet.store.etcd_json import WATCH_PATH
from yardspindle.protocol import http1
from yardspindle.runtime.virtual import Simulation, VirtualWorld
from yardspindle.runtime.world import Stream, StreamError

ADDRESS = ("10.9.0.1", 2379)
CALL_US = 500_000  # `call_ms`, by default
EMPTY_RANGE = b'{"header":{"cluster_id":"1","revision":"5"},"kvs":[],"count":"0"}'
CREATED = b'{"result":{"header":{"cluster_id":"1","revision":"5"},"created":true}}\n'
MESSAGE_PAUSE_US = WATCH_POLL_US // 4
OLD_REVISION, NEW_REVISION = 5, 9


@dataclass
class RepeatingStore:
    """A store whose watches deliver one revision again and again, without changes."""

    world: VirtualWorld
    revision: int = OLD_REVISION
    delivered_revision: int = OLD_REVISION
    reads: list[int] = field(default_factory=list)

    def range(self, key: bytes, end: bytes = b"", revision: int = 0) -> RangeResult:
        self.reads.append(self.world.now_us())
        return RangeResult(self.revision, ())

    def watch(self, key: bytes, end: bytes, revision: int) -> RepeatingStore:
        return self

    def next(self) -> Changes:
        self.world.sleep_until(self.world.now_us() + MESSAGE_PAUSE_US)
        return Changes(self.delivered_revision)

    def close(self) -> None:
        pass


def watch(delivered_revision: int) -> tuple[RepeatingStore, FleetWatcher, int, int]:
    """Follow the store for three times MAX_LAG_US, behind it from the first time on; returns when that was, too."""
    sim = Simulation(1)
    world = sim.program("watcher")

    def main() -> tuple[RepeatingStore, FleetWatcher, int, int]:
        store = RepeatingStore(world)
        watcher = FleetWatcher(world, store, FleetKeys("main"), lambda: None)  # type: ignore[arg-type]
        task = world.spawn("watcher", watcher.run)
        world.sleep_until(world.now_us() + MAX_LAG_US)
        store.revision, store.delivered_revision = NEW_REVISION, delivered_revision
        watcher.observe_revision(NEW_REVISION)
        behind_us = world.now_us()
        world.sleep_until(behind_us + MAX_LAG_US - MESSAGE_PAUSE_US)
        confirmed_us = watcher.confirmed_us
        world.sleep_until(behind_us + 2 * MAX_LAG_US)
        task.cancel()
        return store, watcher, behind_us, confirmed_us

    result: list[tuple[RepeatingStore, FleetWatcher, int, int]] = []
    sim.run("main", lambda: result.append(main()))
    return result[0]


def test_a_watch_that_repeats_an_old_revision_is_given_up_and_confirms_nothing() -> None:
    store, watcher, behind_us, confirmed_us = watch(OLD_REVISION)
    assert len(store.reads) == 2 and watcher.view.revision == NEW_REVISION
    assert store.reads[1] - behind_us < MAX_LAG_US + WATCH_POLL_US + 100_000  # the pause before a new try
    assert confirmed_us <= behind_us


def test_a_watch_that_catches_up_is_kept() -> None:
    store, watcher, behind_us, confirmed_us = watch(NEW_REVISION)
    assert len(store.reads) == 1 and watcher.view.revision == NEW_REVISION
    assert confirmed_us > behind_us


def serve_late(sim: Simulation, address: tuple[str, int], late_us: int) -> None:
    """An etcd gateway without rows; each answer is `late_us` late."""
    world = sim.program("etcd")
    listener = world.listen(*address)

    def serve(stream: Stream) -> None:
        parser = http1.RequestParser()
        with contextlib.suppress(StreamError):
            while (head := read_request(stream, parser)) is not None:
                world.sleep_until(world.now_us() + late_us)
                if head.target == WATCH_PATH:
                    stream.write(ENDLESS + http1.write_chunk(CREATED))
                    return
                stream.write(plain(200, EMPTY_RANGE))

    def accept() -> None:
        while True:
            world.spawn("serve", serve, listener.accept())

    world.spawn("accept", accept)


@pytest.mark.parametrize("late_us", [300_000, 1_000_000, 3_000_000])
def test_a_store_that_answers_late_is_read(late_us: int) -> None:
    """A call to the store is cut off after `call_ms` (0.5 s) and made again with the same limit, for good."""
    sim = Simulation(1)

    def main() -> None:
        serve_late(sim, ADDRESS, late_us)
        world = sim.program("watcher")
        watcher = FleetWatcher(world, EtcdStore(world, [ADDRESS], CALL_US), FleetKeys("main"), lambda: None)
        world.spawn("watcher", watcher.run)
        world.sleep_until(world.now_us() + 3 * late_us + MAX_LAG_US)
        assert watcher.full_reads and watcher.view.revision == OLD_REVISION

    sim.run("main", main)

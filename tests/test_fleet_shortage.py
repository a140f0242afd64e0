"""Joining the fleet and following cache events while the system is short of descriptors."""

from __future__ import annotations

import errno
from pathlib import Path
from typing import Any

import pytest

from tests.test_runtime import world
from tests.test_runtime_failures import failing
from yardspindle.cli.common import open_store_at_start
from yardspindle.core.config import FleetConfig
from yardspindle.core.hosts.directory import Server
from yardspindle.core.prefix.prefix_tracker import PrefixTracker
from yardspindle.core.prefix.tokenizer import ByteTokenizer
from yardspindle.edge.cache_events import CacheEventSubscriber
from yardspindle.fleet.membership import join_fleet
from yardspindle.fleet.store.embedded import BOOT_ID_PATH, EmbeddedStore
from yardspindle.fleet.store.interface import NotApplied, StoreError
from yardspindle.interface import Role, State
from yardspindle.runtime.database import SqliteDatabase
from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.world import DatabaseError

WAIT_US = 10_000_000


def test_a_store_whose_boot_cannot_be_told_is_not_used(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a process that ends all leases of the fleet, as it could not read which boot they are of."""
    w, path = world(), str(tmp_path / "store")
    read_file = w.read_file

    def main() -> None:
        store = EmbeddedStore(w, path, WAIT_US)
        lease = store.grant(60_000_000).lease
        monkeypatch.setattr(w, "read_file", failing(read_file, errno.EMFILE))
        with pytest.raises(StoreError, match=BOOT_ID_PATH):
            EmbeddedStore(w, path, WAIT_US)
        EmbeddedStore(w, path, WAIT_US).range(b"a")
        assert store.remaining_ttl_us(lease) > 0

    w.run("main", main)


def test_a_program_joins_its_fleet_once_the_store_can_be_opened(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a program that stays outside its fleet for good, as the store could not be opened at its start."""
    w = world()
    config = FleetConfig(store=(f"file:{tmp_path / 'store'}",), listen="127.0.0.1:0")

    def main() -> None:
        monkeypatch.setattr(w, "database", failing(w.database, errno.EMFILE))
        with w.deadline(w.now_us() + WAIT_US):
            join_fleet(w, config, "edge", "edge0", "1", "a", "0")
            store = EmbeddedStore(w, str(tmp_path / "store"), WAIT_US)
            while not store.range(b"", b"\xff").rows:
                w.sleep_until(w.now_us() + 10_000)

    w.run("main", main)


def test_a_steward_starts_though_its_first_call_is_not_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a program of the fleet that ends at its start, as one call to the store had no answer in time."""
    w = world()
    config = FleetConfig(store=(f"file:{tmp_path / 'store'}",))

    def no_answer(*_: Any) -> None:
        monkeypatch.undo()
        raise NotApplied("no answer in time")

    def main() -> None:
        monkeypatch.setattr(EmbeddedStore, "range", no_answer)
        assert open_store_at_start(w, config, read=True).range(b"a").rows == ()

    w.run("main", main)


def test_a_transaction_whose_rollback_failed_ends_before_the_next(tmp_path: Path) -> None:
    """Guards against a store that no call can use any more after one rollback that failed."""
    database = SqliteDatabase(str(tmp_path / "store"))
    database.begin()  # as it stays open when the rollback fails
    database.begin()
    database.commit()
    with pytest.raises(DatabaseError):
        database.run("COMMIT")
    database.close()


def test_cache_events_are_followed_once_a_socket_is_free(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the edge losing its planner for good, as a subscription found no free descriptor."""
    w = world()
    opened: list[tuple[Any, ...]] = []
    original = w.message_socket

    def message_socket(*args: Any) -> Any:
        opened.append(args)
        return original(*args)

    def main() -> None:
        monkeypatch.setattr(w, "message_socket", failing(message_socket, errno.EMFILE))
        publisher = original("pub", "127.0.0.1", 0)
        tracker = PrefixTracker(ByteTokenizer(), 16, 1_000, use_estimates=False, use_events=True)
        server = Server(1, "r1", "127.0.0.1", 1, Role.READ, State.SERVING, False, events=f"127.0.0.1:{publisher.port}")
        subscriber = CacheEventSubscriber(w, tracker)
        subscriber.update_servers([server])
        with w.deadline(w.now_us() + WAIT_US):
            while not opened:
                w.sleep_until(w.now_us() + 10_000)
        subscriber.update_servers([])
        publisher.close()

    w.run("main", main)
    assert isinstance(w, RealWorld) and opened[0][0] == "sub"

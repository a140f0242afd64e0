"""Creates the store (the key-value store that the fleet's processes share) that the configuration selects."""

from __future__ import annotations

from yardspindle.core.config import FleetConfig, microseconds, split_address
from yardspindle.fleet.store.embedded import EmbeddedStore
from yardspindle.fleet.store.etcd import EtcdStore
from yardspindle.fleet.store.interface import Store
from yardspindle.runtime.world import World


def open_store(world: World, config: FleetConfig) -> Store:
    """Open the store. etcd is not contacted yet; a file that cannot be used raises StoreError or OSError."""
    call_us = microseconds(config.call_ms)
    location = config.store[0]
    if location.startswith("file:"):
        return EmbeddedStore(world, location.removeprefix("file:"), call_us)
    return EtcdStore(world, [split_address(row.removeprefix("http://")) for row in config.store], call_us)

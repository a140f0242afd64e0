"""The store that a configuration names."""

from __future__ import annotations

from yardspindle.core.config import FleetConfig, microseconds, split_address
from yardspindle.fleet.store.embedded import EmbeddedStore
from yardspindle.fleet.store.etcd import EtcdStore
from yardspindle.fleet.store.interface import Store
from yardspindle.runtime.world import World


def open_store(world: World, config: FleetConfig) -> Store:
    """Open it; a store over the network is not asked yet. Raises StoreError, OSError: a file that cannot be used."""
    call_us = microseconds(config.call_ms)
    place = config.store[0]
    if place.startswith("file:"):
        return EmbeddedStore(world, place.removeprefix("file:"), call_us)
    return EtcdStore(world, [split_address(row.removeprefix("http://")) for row in config.store], call_us)

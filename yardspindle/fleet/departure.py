"""Asks for leave before a program ends: a permit, as a release would need it, within a bounded time."""

from __future__ import annotations

import structlog

from yardspindle.core.config import Config, microseconds
from yardspindle.core.fleet import permits as p
from yardspindle.core.fleet.kv import prefix_end
from yardspindle.core.fleet.members import FleetKeys
from yardspindle.core.fleet.release_keys import UnitKeys
from yardspindle.fleet.store.factory import open_store
from yardspindle.fleet.store.interface import StoreError
from yardspindle.runtime.world import World

RETRY_PAUSE_US = 200_000

log = structlog.get_logger("yardspindle.fleet")


def request_departure(world: World, config: Config, unit: str) -> bool:
    """Wait until this unit may go, at most `leave_wait_ms`: the platform ends it soon after. Whether it may."""
    until_us = world.now_us() + microseconds(config.fleet.leave_wait_ms)
    said = ""
    while world.now_us() < until_us:
        try:
            store = open_store(world, config.fleet)
            keys = UnitKeys(FleetKeys(config.fleet.name))
            rows = store.range(keys.root, prefix_end(keys.root))
            units = keys.read({row.key: row for row in rows.rows})
            no = p.check_departure(units.snapshot(config.release.limit, 0), unit)
            if unit in units.permits:  # perhaps from a call whose answer was lost, or a release's
                log.info("leave was given", unit=unit, by=units.permits[unit].by)
                return True
            if no is None:
                status = units.statuses.get(unit)
                permit = p.Permit(
                    unit, status.epoch if status is not None else "", unit, "asked to end", since_us=world.now_us()
                )
                store.txn(keys.grant_own_permit(units, permit))
                continue  # read back: it was given, or somebody else was let go meanwhile
            reason = no.reason
        except (StoreError, OSError) as error:
            reason = str(error)
        if reason != said:
            said = reason
            log.info("leave is not given now", unit=unit, reason=reason)
        world.sleep_until(min(world.now_us() + RETRY_PAUSE_US, until_us))
    log.warning("ends without leave: the time to ask is over", unit=unit, reason=said)
    return False

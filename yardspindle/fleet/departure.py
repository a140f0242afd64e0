"""Requests a departure permit before a program shuts down, in bounded time.

A permit is an entry in the fleet's shared key-value store that allows one unit (a dispatcher or model host) to be out
of service. Releases need the same permits, so a program that shuts down by itself counts against the same limits.
"""

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

log = structlog.get_logger("yardspindle.fleet")  # its events call the permit "leave"


def request_departure(world: World, config: Config, unit: str) -> bool:
    """Wait for a permit for this unit, at most `leave_wait_ms`, and return whether it was granted.

    The wait is bounded because the platform ends the program soon after its stop signal."""
    until_us = world.now_us() + microseconds(config.fleet.leave_wait_ms)
    logged_reason = ""
    while world.now_us() < until_us:
        try:
            store = open_store(world, config.fleet)
            keys = UnitKeys(FleetKeys(config.fleet.name))
            rows = store.range(keys.root, prefix_end(keys.root))
            units = keys.read({row.key: row for row in rows.rows})
            denial = p.check_departure(units.snapshot(config.release.limit, age_us=0), unit)
            if unit in units.permits:  # granted by a release, or by a call whose answer was lost
                log.info("leave was given", unit=unit, by=units.permits[unit].by)
                return True
            if denial is None:
                status = units.statuses.get(unit)
                permit = p.Permit(
                    unit,
                    status.epoch if status is not None else "",
                    by=unit,
                    why="asked to end",  # the unit's program got its stop signal
                    since_us=world.now_us(),
                )
                store.txn(keys.grant_own_permit(units, permit))
                continue  # read the store again: either this permit was granted, or another unit got one first
            reason = denial.reason
        except (StoreError, OSError) as error:
            reason = str(error)
        if reason != logged_reason:
            logged_reason = reason
            log.info("leave is not given now", unit=unit, reason=reason)
        world.sleep_until(min(world.now_us() + RETRY_PAUSE_US, until_us))
    # `leave_wait_ms` is over.
    log.warning("shutting down without leave: the wait has ended", unit=unit, reason=logged_reason)
    return False

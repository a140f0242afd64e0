"""The duty `release`: gives permits and orders, moves the release on, and halts it when it does harm."""

from __future__ import annotations

from collections.abc import Callable

import structlog
from msgspec.structs import replace

from yardspindle.core.config import Limit
from yardspindle.core.fleet import permits as p
from yardspindle.core.fleet import release_plan as r
from yardspindle.core.fleet.canary_analysis import OutcomeCounts, add_window
from yardspindle.core.fleet.kv import Txn, prefix_end
from yardspindle.core.fleet.members import FleetKeys
from yardspindle.core.fleet.release_keys import AuditEntry, ReleaseView, UnitKeys, drain_request_steps
from yardspindle.fleet.follow import Follower
from yardspindle.fleet.store.interface import Store, StoreError
from yardspindle.runtime.world import World

LOOK_US = 100_000  # between two looks: a step of a release takes seconds
WINDOW_US = 2_000_000  # of counts that are compared at once

log = structlog.get_logger("yardspindle.steward.release")


class ReleaseDuty:
    """See Duty."""

    def __init__(
        self,
        world: World,
        store: Store,
        keys: FleetKeys,
        follower: Follower,
        limits: tuple[Limit, ...],
        name: str,
        act: Callable[[], int | None],
    ) -> None:
        """`limits`: the fleet's; `act`: the fence to act with now, or None."""
        self._world, self._store, self._follower = world, store, follower
        self._keys, self._limits, self._name, self._act = UnitKeys(keys), limits, name, act
        self._counted: dict[str, p.UnitStatus] = {}  # what each unit had told at the last window
        self._window_us = world.now_us()

    def run(self) -> None:
        """See Duty."""
        while True:
            fence = self._act()
            if fence is not None:
                self._look(fence)
            self._world.sleep_until(self._world.now_us() + LOOK_US)

    def _look(self, fence: int) -> None:
        now = self._world.now_us()
        units = self._keys.read(self._follower.view.rows)
        steps = self._steps(units, now, now - self._follower.current_us, fence)
        if any(isinstance(step, r.GrantPermit) for step in steps):
            # Nobody is let go on what a watch told some time ago: the store is read, and it is decided once more.
            try:
                rows = self._store.range(self._keys.root, prefix_end(self._keys.root)).rows
            except StoreError as error:
                log.info("nobody is let go without the store's word", reason=str(error))
                return
            read_us = now
            units, now = self._keys.read({row.key: row for row in rows}), self._world.now_us()
            steps = self._steps(units, now, now - read_us, fence)
        for step in steps:
            self._do(now, fence, units, step)

    def _steps(self, units: ReleaseView, now: int, age_us: int, fence: int) -> list[r.Step]:
        fleet = units.snapshot(self._limits, age_us)
        release = units.release
        if release is not None and now - self._window_us >= WINDOW_US:
            self._window_us = now
            release = self._compare(units, release)
        steps: list[r.Step] = []
        if release is not None:
            steps = r.next_steps(release, fleet, units.orders, now, fence, self._name)
            if release is not units.release and not any(isinstance(step, r.UpdateRelease) for step in steps):
                steps.append(r.UpdateRelease(release))
        if not any(isinstance(step, r.GrantPermit) for step in steps):
            steps += drain_request_steps(units, fleet, now, fence, self._name)
        return steps

    def _do(self, now: int, fence: int, units: ReleaseView, step: r.Step) -> None:
        """One step; those after it that rest on the same rows are refused by the store, and decided anew."""
        txn: Txn
        match step:
            case r.GrantPermit():
                txn = self._keys.grant_permit(fence, units, step)
                log.info(
                    "unit let go",
                    unit=step.unit,
                    order=step.order.do,
                    number=step.order.number,
                    version=step.order.version,
                    fence=fence,
                )
            case r.ClosePermit(unit):
                txn = self._keys.close_permit(fence, units, unit)
                log.info("unit is back", unit=unit, fence=fence)
            case r.UpdateRelease(release):
                was = units.release.phase if units.release is not None else ""
                entry = None
                if release.phase != was:
                    entry = AuditEntry(now, self._name, f"release {release.id}: {release.phase}", release.why)
                    log.warning("release", id=release.id, phase=release.phase, why=release.why)
                txn = self._keys.update_release(fence, units, release, entry)
        try:
            self._store.txn(txn)
        except StoreError as error:  # unknown or not done: the view tells which, and the next look decides on it
            log.warning("a step without an answer", reason=str(error))

    def _compare(self, units: ReleaseView, release: r.Release) -> r.Release:
        """The counts of a window, released units against the others."""
        sums = {True: [0, 0], False: [0, 0]}
        for unit, status in units.statuses.items():
            before = self._counted.get(unit)
            if before is None or before.epoch != status.epoch:
                continue  # it started since: its next window counts
            both = sums[status.version == release.version]
            both[0] += max(status.served + status.bad - before.served - before.bad, 0)
            both[1] += max(status.bad - before.bad, 0)
        self._counted = dict(units.statuses)
        if release.phase != "running":
            return release
        trial = add_window(release.trial, OutcomeCounts(*sums[True]), OutcomeCounts(*sums[False]))
        return replace(release, trial=trial) if trial != release.trial else release

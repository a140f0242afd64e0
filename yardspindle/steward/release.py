"""The duty `release`: leads the fleet through a release (a new version) and through drains that operators request.

A duty is a background task of the fleet with one owner (a steward process) at a time. A unit is a dispatcher or model
host that a release restarts. This duty grants a unit a permit (the right to be unavailable for a while) and gives it
an order to restart or drain. It halts a release whose units fail more requests than the others.
"""

from __future__ import annotations

from collections.abc import Callable

import structlog
from msgspec.structs import replace

from yardspindle.core.config import Limit
from yardspindle.core.fleet import permits, release_plan
from yardspindle.core.fleet.canary_analysis import OutcomeCounts, add_window
from yardspindle.core.fleet.kv import Txn, prefix_end
from yardspindle.core.fleet.members import FleetKeys
from yardspindle.core.fleet.release_keys import AuditEntry, ReleaseView, UnitKeys, drain_request_steps
from yardspindle.fleet.fleet_watcher import FleetWatcher
from yardspindle.fleet.store.interface import Store, StoreError
from yardspindle.runtime.world import World

POLL_US = 100_000  # between two evaluations; a step of a release takes seconds
WINDOW_US = 2_000_000  # length of a window in which released units are compared with the others

log = structlog.get_logger("yardspindle.steward.release")


class ReleaseDuty:
    """The release duty (implements the interface `Duty` of steward/app.py)."""

    def __init__(
        self,
        world: World,
        store: Store,
        keys: FleetKeys,
        watcher: FleetWatcher,
        limits: tuple[Limit, ...],
        name: str,
        fence_to_act: Callable[[], int | None],
    ) -> None:
        """`limits`: for each group of units, how many may be unavailable and how many must serve.

        `fence_to_act`: the fencing token (a number that grows with each owner) to write with, or None if this process
        does not own the duty. `world`: the interface to clock, sockets, files and randomness.
        """
        self._world, self._store, self._watcher = world, store, watcher
        self._keys, self._limits, self._name, self._fence_to_act = UnitKeys(keys), limits, name, fence_to_act
        self._previous: dict[str, permits.UnitStatus] = {}  # each unit's status at the end of the last window
        self._window_us = world.now_us()

    def run(self) -> None:
        """Decide and write the next steps every POLL_US while the duty is owned, until cancelled (`Duty`)."""
        while True:
            fence = self._fence_to_act()
            if fence is not None:
                self._run_once(fence)
            self._world.sleep_until(self._world.now_us() + POLL_US)

    def _run_once(self, fence: int) -> None:
        now_us = self._world.now_us()
        view = self._keys.read(self._watcher.view.rows)
        steps = self._next_steps(view, now_us, now_us - self._watcher.confirmed_us, fence)
        if any(isinstance(step, release_plan.GrantPermit) for step in steps):
            # The watch on the store may lag: before a permit is granted, the store is read and the steps are computed
            # again.
            try:
                rows = self._store.range(self._keys.root, prefix_end(self._keys.root)).rows
            except StoreError as error:
                log.info("no permit granted: the store could not be read", reason=str(error))
                return
            read_us = now_us
            view, now_us = self._keys.read({row.key: row for row in rows}), self._world.now_us()
            steps = self._next_steps(view, now_us, now_us - read_us, fence)
        for step in steps:
            self._write_step(now_us, fence, view, step)

    def _next_steps(self, view: ReleaseView, now_us: int, age_us: int, fence: int) -> list[release_plan.Step]:
        fleet = view.snapshot(self._limits, age_us)
        release = view.release
        if release is not None and now_us - self._window_us >= WINDOW_US:
            self._window_us = now_us
            release = self._add_window(view, release)
        steps: list[release_plan.Step] = []
        if release is not None:
            steps = release_plan.next_steps(release, fleet, view.orders, now_us, fence, self._name)
            if release is not view.release and not any(isinstance(step, release_plan.UpdateRelease) for step in steps):
                steps.append(release_plan.UpdateRelease(release))
        if not any(isinstance(step, release_plan.GrantPermit) for step in steps):
            steps += drain_request_steps(view, fleet, now_us, fence, self._name)
        return steps

    def _write_step(self, now_us: int, fence: int, view: ReleaseView, step: release_plan.Step) -> None:
        """Writes one step to the store (the fleet's key-value store).

        If an earlier step has changed the rows that this one is based on, the store rejects it, and the next evaluation
        decides again.
        """
        txn: Txn
        match step:
            case release_plan.GrantPermit():
                txn = self._keys.grant_permit(fence, view, step)
                log.info(
                    "granting permit",
                    unit=step.unit,
                    order=step.order.do,
                    number=step.order.number,
                    version=step.order.version,
                    fence=fence,
                )
            case release_plan.ClosePermit(unit):
                txn = self._keys.close_permit(fence, view, unit)
                log.info("closing permit", unit=unit, fence=fence)
            case release_plan.UpdateRelease(release):
                previous_phase = view.release.phase if view.release is not None else ""
                entry = None
                if release.phase != previous_phase:
                    entry = AuditEntry(now_us, self._name, f"release {release.id}: {release.phase}", release.why)
                    log.warning("changing release phase", id=release.id, phase=release.phase, why=release.why)
                txn = self._keys.update_release(fence, view, release, entry)
        try:
            self._store.txn(txn)
        except StoreError as error:  # the next update of the view shows whether the store applied it
            log.warning("release step was not answered", reason=str(error))

    def _add_window(self, view: ReleaseView, release: release_plan.Release) -> release_plan.Release:
        """Adds a window's request counts, of released and other units, to the release's canary analysis (`trial`)."""
        totals = {True: [0, 0], False: [0, 0]}
        for unit, status in view.statuses.items():
            previous = self._previous.get(unit)
            if previous is None or previous.epoch != status.epoch:
                continue  # restarted during the window; it counts from the next one
            total = totals[status.version == release.version]
            total[0] += max(status.served + status.bad - previous.served - previous.bad, 0)
            total[1] += max(status.bad - previous.bad, 0)
        self._previous = dict(view.statuses)
        if release.phase != "running":
            return release
        test = add_window(release.trial, OutcomeCounts(*totals[True]), OutcomeCounts(*totals[False]))
        return replace(release, trial=test) if test != release.trial else release

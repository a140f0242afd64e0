"""The duty `clock`: compares the clocks of all members of the fleet, and reports the skewed ones.

A duty is a background task of the fleet with one owner (a steward process) at a time. Members are the registered
processes; each serves a status page over HTTP that states its time. The report goes into the store, the key-value
store that the fleet's processes share.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import structlog

from yardspindle.core.fleet.clock_skew import ClockOffset, estimate_offset, find_skewed_clocks
from yardspindle.core.fleet.kv import Put
from yardspindle.core.fleet.members import ClockReport, FleetKeys, Member
from yardspindle.engine.http_client import HttpClient
from yardspindle.fleet.fleet_watcher import FleetWatcher
from yardspindle.fleet.member_page import probe_member
from yardspindle.fleet.membership import Membership
from yardspindle.fleet.store.interface import Store, StoreError
from yardspindle.runtime.world import World

ROUND_PAUSE_US = 1_000_000  # from the end of a round over all members to the next one
REPORT_INTERVAL_US = 30_000_000  # how often offsets are reported while the set of skewed clocks is unchanged
CONNECT_TIMEOUT_US, IDLE_TIMEOUT_US = 300_000, 4_000_000
MAX_CONCURRENT = 32  # pages fetched in parallel

log = structlog.get_logger("yardspindle.steward.clock")


class ClockDuty:
    """The clock duty (implements the interface `Duty` of steward/app.py)."""

    def __init__(
        self,
        world: World,
        store: Store,
        keys: FleetKeys,
        watcher: FleetWatcher,
        membership: Membership,
        bound_us: int,
        fence_to_act: Callable[[], int | None],
    ) -> None:
        """`bound_us`: the largest tolerated offset of a member's clock.

        `fence_to_act`: the fencing token (a number that grows with each owner) to write with, or None if this process
        does not own the duty. `world`: the interface to clock, sockets, files and randomness.
        """
        self._world, self._store, self._keys, self._watcher = world, store, keys, watcher
        self._membership, self._bound_us, self._fence_to_act = membership, bound_us, fence_to_act
        self._http = HttpClient(world, CONNECT_TIMEOUT_US, IDLE_TIMEOUT_US)
        self._reported: ClockReport | None = None
        self._reported_us = 0

    def run(self) -> None:
        """Repeat rounds over all members until cancelled; write a report at changes and at intervals (`Duty`)."""
        while True:
            own = self._membership.member
            epochs = {name: member.epoch for name, member in self._watcher.view.members.items()} | {own.id: own.epoch}
            offsets = self._probe_all()
            report = find_skewed_clocks(
                {name: offset for name, offset in offsets.items() if name in epochs}, epochs, self._bound_us
            )
            now_us = self._world.now_us()
            # `out`: the epochs whose clock is skewed
            if (
                self._reported is None
                or report.out != self._reported.out
                or now_us - self._reported_us > REPORT_INTERVAL_US
            ):
                self._report(now_us, report)
            self._world.sleep_until(now_us + ROUND_PAUSE_US)

    def _probe_all(self) -> dict[str, ClockOffset]:
        offsets = {self._membership.member.id: ClockOffset(0, 0)}
        pending = [m for name, m in sorted(self._watcher.view.members.items()) if name not in offsets and m.page]

        def probe_next() -> None:
            while pending:
                self._probe(pending.pop(), offsets)

        for task in [self._world.spawn("probe clocks", probe_next) for _ in range(min(MAX_CONCURRENT, len(pending)))]:
            task.join()
        return offsets

    def _probe(self, member: Member, offsets: dict[str, ClockOffset]) -> None:
        sent_us = self._world.now_us()
        _, answer = probe_member(self._http, member.page)
        if answer is not None and answer.member.epoch == member.epoch:
            offsets[member.id] = estimate_offset(sent_us, answer.now_us, self._world.now_us())

    def _report(self, now_us: int, report: ClockReport) -> None:
        fence = self._fence_to_act()
        if fence is None:
            return
        try:
            if self._store.txn(
                self._keys.with_fence("clock", fence, Put(self._keys.clocks, msgspec.json.encode(report)))
            ).succeeded:
                self._reported, self._reported_us = report, now_us
                if report.out:
                    log.warning("clocks are skewed", epochs=list(report.out), offsets=report.offsets)
        except StoreError as error:
            log.info("clock report could not be written", reason=str(error))

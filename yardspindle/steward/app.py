"""The steward: takes duties of the fleet, one owner each, and carries them out. Thin I/O around `core/fleet`.

Every decision on who owns what is `ownership.step`; this turns its commands into store calls and tasks, and what
becomes of them into events. A duty's task asks `act()` before each thing it does: it gives the fence to do it with, or
nothing any more.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

import msgspec
import structlog

from yardspindle.core.config import Config, microseconds, split_address
from yardspindle.core.fleet import ownership as own
from yardspindle.core.fleet.kv import Put, Txn
from yardspindle.core.fleet.members import FleetKeys, Owner, StartCount, decode_holder, next_start_count
from yardspindle.core.hosts.server_list import ServerList
from yardspindle.fleet.file import FileSource
from yardspindle.fleet.follow import Follower
from yardspindle.fleet.membership import Membership, Turns
from yardspindle.fleet.store.interface import Store, StoreError
from yardspindle.runtime.scheduler import Task
from yardspindle.runtime.world import World
from yardspindle.steward.clock import ClockDuty
from yardspindle.steward.release import ReleaseDuty
from yardspindle.steward.sweep import SweepDuty

TICK_US = 20_000  # how often time alone is looked at: a hand-over is to take under 100 ms
RETRY_US = 50_000  # a store call for a duty that brought no answer
LEAVE_US = 2_000_000  # how long an end on purpose waits for the store

T = TypeVar("T")
log = structlog.get_logger("yardspindle.steward")


class Duty(Protocol):
    """Work that one owner does."""

    def run(self) -> None:
        """Until cancelled; a duty that has nothing more to do waits."""


class Steward:
    """One steward."""

    def __init__(self, world: World, config: Config, store: Store, version: str) -> None:
        """Nothing is opened before `start`."""
        self.world, self.config, self.store = world, config, store
        fleet = config.fleet
        self.epoch = f"{world.random('steward epoch').getrandbits(48):012x}"
        self.name = fleet.member or self.epoch
        self.keys = FleetKeys(fleet.name)
        self.roster = ServerList(config)
        self.follower = Follower(world, store, self.keys, self._news)
        self.membership = Membership(
            world,
            fleet,
            store,
            "steward",
            self.name,
            self.epoch,
            config.edge.zone,
            version,
            Turns(self._granted, self._kept, self._failed),
        )
        self.figures = own.LeaseTiming(microseconds(fleet.ttl_ms), microseconds(fleet.margin_ms))
        self.state = own.OwnershipState(self.name, self.figures)
        self.duty_tasks: dict[str, Task] = {}
        self._handing_over: list[Task] = []
        self._begun = False

    def start(self) -> tuple[str, int]:
        """Register and begin; gives the page's address. Raises OSError, ConfigError."""
        host, port = split_address(self.config.fleet.listen)
        source = FileSource(self.world, self.config.planner.servers, self.config, self.roster, self._news)
        source.read_once()
        self.state, _ = own.start(self.name, self.figures, self.world.now_us())
        self.membership.start(host, port)
        self._begun = True
        self.world.spawn("list", source.run, microseconds(self.config.planner.reread_ms))
        self.world.spawn("count starts", self._count_start)
        self.world.spawn("follow", self.follower.run)
        self.world.spawn("tick", self._tick)
        at = split_address(self.membership.member.page)
        return at[0], at[1]

    def shut_down(self) -> None:
        """End on purpose: hand every duty over, then take the registration back."""
        limit = self.world.deadline(self.world.now_us() + LEAVE_US)
        try:
            with limit:
                self._handle_event(own.ShutdownRequested())
                for task in list(self._handing_over):
                    task.join()
                self.membership.leave()
        except Exception as error:
            if not limit.passed:
                raise
            log.warning("left without the store's word; duties end with the lease", reason=str(error))

    def wanted(self) -> frozenset[str]:
        """The duties that there are: clock, release, and a sweep of each cell that has engines."""
        return frozenset(["clock", "release", *(f"sweep/{row.cell}" for row in self.roster.servers)])

    def fence_to_act(self, duty: str) -> int | None:
        """The fence to act with now, or None."""
        return own.may_act(self.state, self.world.now_us(), duty)

    # --- events

    def _granted(self, lease: int, sent_us: int, ttl_us: int) -> None:
        self._handle_event(own.LeaseGranted(lease, sent_us, ttl_us))

    def _kept(self, lease: int, sent_us: int, ttl_us: int, revision: int) -> None:
        self._handle_event(own.LeaseRenewed(lease, sent_us, ttl_us))
        self.follower.expect(revision)

    def _failed(self, granting: bool) -> None:
        self._handle_event(own.StoreCallFailed(granting))

    def _news(self) -> None:
        if self._begun:
            self._handle_event(own.ClockChecked(self.epoch in self.follower.view.clocks.out))
            self._handle_event(own.ViewUpdated(self.follower.view.duty_view(self.wanted())))

    def _tick(self) -> None:
        while True:
            self.world.sleep_until(self.world.now_us() + TICK_US)
            self._handle_event(own.Tick())

    def _handle_event(self, event: own.Event) -> None:
        """One event through the core, and its commands carried out."""
        now = self.world.now_us()
        self.state, commands = own.step(self.state, now, event)
        self.membership.say(own.is_eligible(self.state, now) or now >= self.state.until_us)
        for command in commands:
            match command:
                case own.RequestLease():
                    self.membership.renew(self.membership.lease)
                case own.AcquireDuty(duty, lease):
                    self.world.spawn(f"take {duty}", self._acquire, duty, lease)
                case own.StartDuty(duty, fence):
                    log.info("duty taken", duty=duty, fence=fence)
                    self.duty_tasks[duty] = self.world.spawn(f"duty {duty}", self._work(duty).run)
                case own.StopDuty(duty, fence, hand_over, why):
                    log.info("duty ended", duty=duty, fence=fence, why=why)
                    worker = self.duty_tasks.pop(duty, None)
                    if worker is not None:
                        worker.cancel()
                    if hand_over:
                        self._hand_over(duty, fence, worker)

    # --- duties

    def _work(self, duty: str) -> Duty:
        def act() -> int | None:
            return self.fence_to_act(duty)

        if duty == "clock":
            return ClockDuty(
                self.world,
                self.store,
                self.keys,
                self.follower,
                self.membership,
                microseconds(self.config.fleet.clock_bound_ms),
                act,
            )
        if duty == "release":
            return ReleaseDuty(
                self.world, self.store, self.keys, self.follower, self.config.release.limit, self.name, act
            )
        return SweepDuty(self.world, self.store, self.keys, self.follower, self.roster, duty, act)

    def _acquire(self, duty: str, lease: int) -> None:
        owner = Owner(self.name, self.epoch, self.world.now_us())
        try:
            answer = self.store.txn(self.keys.acquire(duty, owner, lease))
            row = next(iter(answer.results[-1]), None)
            revision = answer.revision
        except StoreError as error:
            log.warning("take without an answer", duty=duty, reason=str(error))
            self._handle_event(own.StoreCallFailed())
            looked = self._patiently(lambda: self.store.range(self.keys.duty(duty)), lambda: self.state.lease == lease)
            if looked is None:
                return
            row, revision = next(iter(looked.rows), None), looked.revision
        self._handle_event(own.AcquireResult(duty, lease, decode_holder(row) if row is not None else None, revision))

    def _hand_over(self, duty: str, fence: int, worker: Task | None) -> None:
        def hand_over() -> None:
            if worker is not None:
                worker.join()  # its last order is answered or given up before another may own the duty
            lease = self.state.lease
            self._patiently(lambda: self.store.txn(self.keys.hand_over(duty, fence)), lambda: self.state.lease == lease)

        self._handing_over = [task for task in self._handing_over if not task.done]
        self._handing_over.append(self.world.spawn(f"hand over {duty}", hand_over))

    def _patiently(self, call: Callable[[], T], still: Callable[[], bool]) -> T | None:
        """Repeat a call that may be repeated until it is answered, or it is of no use any more."""
        while still():
            try:
                return call()
            except StoreError as error:
                log.warning("the store did not answer", reason=str(error))
                self._handle_event(own.StoreCallFailed())
                self.world.sleep_until(self.world.now_us() + RETRY_US)
        return None

    def _count_start(self) -> None:
        """A process that comes and goes takes nothing for a while, longer each time."""
        key = self.keys.start_count(self.name)

        def count() -> StartCount:
            known = next(iter(self.store.range(key).rows), None)
            starts = next_start_count(known, self.world.now_us())
            self.store.txn(Txn(then=(Put(key, msgspec.json.encode(starts)),)))
            return starts

        starts = self._patiently(count, lambda: True)
        if starts is not None and starts.count:
            log.info("started again soon", recent=starts.count)
            self._handle_event(own.Restarted(starts.count))

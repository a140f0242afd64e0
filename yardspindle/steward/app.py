"""The steward program: acquires duties (the fleet's background tasks, each with one owner at a time) and runs them.

Several stewards may run; they share a store (a key-value store: etcd or a file) in which a duty is owned under a lease
and a fence, a number that grows with each owner, so that calls of an earlier owner can be rejected.

Ownership is decided by `core/fleet/ownership.step`; the steward turns its commands into store calls and tasks, and
their results into events. A duty's task calls `fence_to_act` before every action, and acts only if it returns a fence.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

import msgspec
import structlog

from yardspindle.core.config import Config, microseconds, split_address
from yardspindle.core.fleet import ownership
from yardspindle.core.fleet.kv import Put, Txn
from yardspindle.core.fleet.members import FleetKeys, Owner, StartCount, decode_holder, next_start_count
from yardspindle.core.hosts.server_list import ServerList
from yardspindle.fleet.fleet_watcher import FleetWatcher
from yardspindle.fleet.membership import LeaseCallbacks, Membership
from yardspindle.fleet.server_list_file import ServerListFile
from yardspindle.fleet.store.interface import Store, StoreError
from yardspindle.runtime.scheduler import Task
from yardspindle.runtime.world import World
from yardspindle.steward.clock import ClockDuty
from yardspindle.steward.release import ReleaseDuty
from yardspindle.steward.sweep import SweepDuty

TICK_US = 20_000  # interval of `Tick` events; well below the 100 ms in which a duty must pass to another steward
RETRY_US = 50_000  # delay before an unanswered store call for a duty is repeated
SHUTDOWN_TIMEOUT_US = 2_000_000  # how long a shutdown waits for the store

T = TypeVar("T")
log = structlog.get_logger("yardspindle.steward")


class Duty(Protocol):
    """A duty as its owner runs it; who owns a duty is recorded in the store (`Owner` of core/fleet/members.py)."""

    def run(self) -> None:
        """Runs until cancelled, even if there is nothing to do."""


class Steward:
    """A steward: a process that does background work for the whole fleet and serves no client requests."""

    def __init__(self, world: World, config: Config, store: Store, version: str) -> None:
        """Opens nothing yet; see `start`. `world`: the interface to clock, sockets, files and randomness."""
        self.world, self.config, self.store = world, config, store
        fleet = config.fleet
        self.epoch = f"{world.random('steward epoch').getrandbits(48):012x}"
        self.name = fleet.member or self.epoch
        self.keys = FleetKeys(fleet.name)
        self.server_list = ServerList(config)
        self.watcher = FleetWatcher(world, store, self.keys, self._on_view_change)
        self.membership = Membership(
            world,
            fleet,
            store,
            "steward",
            self.name,
            self.epoch,
            config.edge.zone,
            version,
            LeaseCallbacks(self._on_lease_granted, self._on_lease_renewed, self._on_call_failed),
        )
        self.lease_timing = ownership.LeaseTiming(microseconds(fleet.ttl_ms), microseconds(fleet.margin_ms))
        self.state = ownership.OwnershipState(self.name, self.lease_timing)
        self.duty_tasks: dict[str, Task] = {}
        self._hand_overs: list[Task] = []
        self._started = False

    def start(self) -> tuple[str, int]:
        """Registers the steward and starts its tasks; returns the address of its HTTP status page.

        Raises OSError and ConfigError.
        """
        host, port = split_address(self.config.fleet.listen)
        source = ServerListFile(
            self.world, self.config.planner.servers, self.config, self.server_list, self._on_view_change
        )
        source.load()
        self.state, _ = ownership.start(self.name, self.lease_timing, self.world.now_us())
        self.membership.start(host, port)
        self._started = True
        self.world.spawn_service("list", source.run, microseconds(self.config.planner.reread_ms))
        self.world.spawn_service("count starts", self._record_start)
        self.world.spawn_service("follow", self.watcher.run)
        self.world.spawn_service("tick", self._tick)
        address = split_address(self.membership.member.page)
        return address[0], address[1]

    def shut_down(self) -> None:
        """Gives up all duties for other stewards to take, then deletes the registration."""
        deadline = self.world.deadline(self.world.now_us() + SHUTDOWN_TIMEOUT_US)
        try:
            with deadline:
                self._handle_event(ownership.ShutdownRequested())
                for task in list(self._hand_overs):
                    task.join()
                self.membership.deregister()
        except Exception as error:
            if not deadline.passed:
                raise
            log.warning("store did not confirm the shutdown; duties end with the lease", reason=str(error))

    def required_duties(self) -> frozenset[str]:
        """The duties that must be owned: clock, release, and a sweep of each cell (group of servers) with engines."""
        return frozenset(["clock", "release", *(f"sweep/{server.cell}" for server in self.server_list.servers)])

    def fence_to_act(self, duty: str) -> int | None:
        """The fence (the owner's number) to act with now, or None if this steward does not own the duty."""
        return ownership.may_act(self.state, self.world.now_us(), duty)

    # --- events

    def _on_lease_granted(self, lease: int, sent_us: int, ttl_us: int) -> None:
        self._handle_event(ownership.LeaseGranted(lease, sent_us, ttl_us))

    def _on_lease_renewed(self, lease: int, sent_us: int, ttl_us: int, revision: int) -> None:
        self._handle_event(ownership.LeaseRenewed(lease, sent_us, ttl_us))
        self.watcher.observe_revision(revision)

    def _on_call_failed(self, granting: bool) -> None:
        self._handle_event(ownership.StoreCallFailed(granting))

    def _on_view_change(self) -> None:
        if self._started:
            # `clocks.out`: the epochs whose clock is skewed
            self._handle_event(ownership.ClockChecked(self.epoch in self.watcher.view.clocks.out))
            self._handle_event(ownership.ViewUpdated(self.watcher.view.duty_view(self.required_duties())))

    def _tick(self) -> None:
        while True:
            self.world.sleep_until(self.world.now_us() + TICK_US)
            self._handle_event(ownership.Tick())

    def _handle_event(self, event: ownership.Event) -> None:
        """Applies an event to the ownership state, and executes the resulting commands."""
        now_us = self.world.now_us()
        self.state, commands = ownership.step(self.state, now_us, event)
        # Without a valid lease the registration has ended, or is about to. `able` is then true, so that the
        # registration under the next lease starts with it.
        self.membership.set_able(ownership.is_eligible(self.state, now_us) or now_us >= self.state.lease_valid_until_us)
        for command in commands:
            match command:
                case ownership.RequestLease():
                    # Gives up the current lease; the membership then requests another.
                    self.membership.replace_lease(self.membership.lease)
                case ownership.AcquireDuty(duty, lease):
                    self.world.spawn(f"take {duty}", self._acquire, duty, lease)
                case ownership.StartDuty(duty, fence):
                    log.info("duty taken", duty=duty, fence=fence)
                    self.duty_tasks[duty] = self.world.spawn_service(f"duty {duty}", self._create_duty(duty).run)
                case ownership.StopDuty(duty, fence, hand_over, why):
                    log.info("duty ended", duty=duty, fence=fence, why=why)
                    task = self.duty_tasks.pop(duty, None)
                    if task is not None:
                        task.cancel()
                    if hand_over:
                        self._hand_over(duty, fence, task)

    # --- duties

    def _create_duty(self, duty: str) -> Duty:
        def fence_to_act() -> int | None:
            return self.fence_to_act(duty)

        if duty == "clock":
            return ClockDuty(
                self.world,
                self.store,
                self.keys,
                self.watcher,
                self.membership,
                microseconds(self.config.fleet.clock_bound_ms),
                fence_to_act,
            )
        if duty == "release":
            return ReleaseDuty(
                self.world, self.store, self.keys, self.watcher, self.config.release.limit, self.name, fence_to_act
            )
        return SweepDuty(self.world, self.store, self.keys, self.watcher, self.server_list, duty, fence_to_act)

    def _acquire(self, duty: str, lease: int) -> None:
        owner = Owner(self.name, self.epoch, self.world.now_us())
        try:
            answer = self.store.txn(self.keys.acquire(duty, owner, lease))
            row = next(iter(answer.results[-1]), None)
            revision = answer.revision
        except StoreError as error:
            log.warning("duty acquisition was not answered", duty=duty, reason=str(error))
            self._handle_event(ownership.StoreCallFailed())
            found = self._retry_until_answered(
                lambda: self.store.range(self.keys.duty(duty)), lambda: self.state.lease == lease
            )
            if found is None:
                return
            row, revision = next(iter(found.rows), None), found.revision
        self._handle_event(
            ownership.AcquireResult(duty, lease, decode_holder(row) if row is not None else None, revision)
        )

    def _hand_over(self, duty: str, fence: int, duty_task: Task | None) -> None:
        def hand_over() -> None:
            if duty_task is not None:
                duty_task.join()  # its last call must be answered or abandoned before another steward may own the duty
            lease = self.state.lease
            self._retry_until_answered(
                lambda: self.store.txn(self.keys.hand_over(duty, fence)), lambda: self.state.lease == lease
            )

        self._hand_overs = [task for task in self._hand_overs if not task.done]
        self._hand_overs.append(self.world.spawn(f"hand over {duty}", hand_over))

    def _retry_until_answered(self, call: Callable[[], T], still_needed: Callable[[], bool]) -> T | None:
        """Repeats an idempotent store call until it is answered, or until `still_needed` is false."""
        while still_needed():
            try:
                return call()
            except StoreError as error:
                log.warning("store call for a duty failed", reason=str(error))
                self._handle_event(ownership.StoreCallFailed())
                self.world.sleep_until(self.world.now_us() + RETRY_US)
        return None

    def _record_start(self) -> None:
        """Counts this start; after restarts in quick succession duties are taken only after a growing delay."""
        key = self.keys.start_count(self.name)

        def increment() -> StartCount:
            known = next(iter(self.store.range(key).rows), None)
            starts = next_start_count(known, self.world.now_us())
            self.store.txn(Txn(then=(Put(key, msgspec.json.encode(starts)),)))
            return starts

        starts = self._retry_until_answered(increment, lambda: True)
        if starts is not None and starts.count:
            log.info("restarted in quick succession", recent=starts.count)
            self._handle_event(ownership.Restarted(starts.count))

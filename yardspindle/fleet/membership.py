"""Registers a process as a member of its fleet, under a lease that is kept alive. No other work waits for it.

The registration is a row in the store (the key-value store that the fleet's processes share); the lease deletes it when
the process stops renewing. Runs in a task of its own. While the store is unavailable it retries with growing pauses.
Programs that depend on the lease, such as stewards (which own background tasks, called duties, under it), are notified
by `LeaseCallbacks`; others continue without the store.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import structlog

from yardspindle.core.config import FleetConfig, microseconds, split_address
from yardspindle.core.fleet.kv import KeyValue
from yardspindle.core.fleet.members import FleetKeys, Kind, Member, may_register
from yardspindle.fleet.member_page import MemberPage
from yardspindle.fleet.store.factory import open_store
from yardspindle.fleet.store.interface import InconsistentStore, Store, StoreError
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.world import World

KEEP_ALIVE_FRACTION = 1 / 3  # of the lease's time to live: the interval between keep-alive calls
LEASE_NOT_FOUND = "requested lease not found"  # etcd's error message, which the embedded store also uses
RETRY_FRACTION = 1 / 12  # of the time to live: the pause after a failed call; doubled up to the keep-alive interval

MIN_JOIN_RETRY_PAUSE_US = 100_000  # before a program that could not open the store or its page tries again
MAX_JOIN_RETRY_PAUSE_US = 5_000_000

log = structlog.get_logger("yardspindle.fleet")


@dataclass(slots=True)
class LeaseCallbacks:
    """Callbacks for the state of the lease. `sent_us` is the time just before the call was sent."""

    on_granted: Callable[[int, int, int], None]  # lease, sent_us, ttl_us
    on_renewed: Callable[[int, int, int, int], None]  # lease, sent_us, ttl_us (0: the lease has ended), store revision
    on_failed: Callable[[bool], None]  # whether the failed call was for a new lease


def _no_callbacks() -> LeaseCallbacks:
    return LeaseCallbacks(
        lambda lease, sent_us, ttl_us: None, lambda lease, sent_us, ttl_us, revision: None, lambda granting: None
    )


class Membership:
    """The lease and the registration of one process in its fleet."""

    def __init__(
        self,
        world: World,
        config: FleetConfig,
        store: Store,
        kind: Kind,
        name: str,
        epoch: str,
        zone: str,
        version: str,
        callbacks: LeaseCallbacks | None = None,
    ) -> None:
        """`world`: the interface to clock, sockets and files. Opens no sockets and makes no calls before `start`."""
        self._world, self._store = world, store
        self._ttl_us = microseconds(config.ttl_ms)
        self._listen, self._advertise = config.listen, config.advertise
        self.keys = FleetKeys(config.name)
        self.member = Member(name, kind, epoch, zone=zone, version=version, since_us=world.now_us())
        self._callbacks = callbacks or _no_callbacks()
        self.lease = 0  # 0: none; -1: deregistered
        self.refusal_reason = ""  # why registration is refused; a retry alone does not help
        self._update_needed = world.signal()
        self._abandoned_lease = 0  # a lease that the program has given up

    def start(self, host: str, port: int) -> None:
        """Serve the member page and start registering. Raises OSError if the page's address cannot be bound."""
        host, port = MemberPage(self._world, lambda: self.member).start(host, port)
        address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self.member = msgspec.structs.replace(self.member, page=self._advertise or address)
        self._world.spawn_service("membership", self._run)

    def set_able(self, able: bool) -> None:
        """Set whether this process can take duties (background tasks); a change is written to the store soon."""
        if able != self.member.able:
            self.member = msgspec.structs.replace(self.member, able=able)
            self._update_needed.set()

    def replace_lease(self, lease: int) -> None:
        """Give up a lease and request another; ignored if it is not the current one."""
        if lease and lease == self.lease:
            self._abandoned_lease = lease
            self._update_needed.set()

    def deregister(self) -> None:
        """Remove the registration by revoking the lease. What engines still hold for this epoch, a steward releases."""
        lease, self.lease = self.lease, -1
        if lease > 0:
            try:
                self._store.revoke(lease)
            except StoreError as error:
                log.warning("registration not removed; it ends when its lease expires", reason=str(error))

    # --- the task

    def _run(self) -> None:
        pause_us = self._ttl_us * RETRY_FRACTION
        while self.lease >= 0:
            try:
                if self._run_lease():
                    pause_us = self._ttl_us * RETRY_FRACTION
                    continue
            except InconsistentStore as error:
                # The store has lost data or is another store: registration fails until this process restarts.
                if str(error) != self.refusal_reason:
                    log.error("the store went back; nothing is taken from it or written to it", reason=str(error))
                self.refusal_reason = str(error)
                self._callbacks.on_failed(True)
            except StoreError as error:
                log.warning("no lease", reason=str(error))  # not granted or not usable; retried after a pause
                self._callbacks.on_failed(True)
            self._world.sleep_until(self._world.now_us() + round(pause_us))
            pause_us = min(2 * pause_us, self._ttl_us * KEEP_ALIVE_FRACTION)

    def _run_lease(self) -> bool:
        """Run one lease from its grant to its end; return False if the registration was refused."""
        sent_us = self._world.now_us()
        granted = self._store.grant(self._ttl_us)
        if not self._register(granted.lease):
            self._store.revoke(granted.lease)
            return False
        self.lease = granted.lease
        self._callbacks.on_granted(granted.lease, sent_us, granted.ttl_us)
        log.info("registered", member=self.member.id, epoch=self.member.epoch, lease=granted.lease)
        self._keep_alive(granted.lease, sent_us + granted.ttl_us)
        if self.lease > 0:
            self.lease = 0
            with contextlib.suppress(StoreError):
                self._store.revoke(granted.lease)  # deletes its rows now, not only when it expires
        return True

    def _register(self, lease: int) -> bool:
        registered: KeyValue | None = None
        while True:
            if not may_register(registered, self.member):
                assert registered is not None
                reason = f"{self.member.id}: another process is registered under this name: {registered.value.decode()}"
                # The registered process is an earlier start whose lease still runs, or a second copy of this process.
                if reason != self.refusal_reason:
                    log.error("not registered", reason=reason)
                self.refusal_reason = reason
                return False
            result = self._store.txn(self.keys.register(self.member, lease, registered))
            if result.succeeded:
                self.refusal_reason = ""
                self._update_needed = self._world.signal()
                return True
            rows = result.results[0]
            registered = rows[0] if rows else None

    def _keep_alive(self, lease: int, until_us: int) -> None:
        """Keep a lease alive until it ends or is given up; write changes of the registration."""
        pause_us, retry_us = self._ttl_us * KEEP_ALIVE_FRACTION, self._ttl_us * RETRY_FRACTION
        wait_us = pause_us
        while self.lease == lease and self._abandoned_lease != lease:
            try:
                with self._world.deadline(self._world.now_us() + round(wait_us)):
                    self._update_needed.wait()
            except DeadlineExceeded:
                pass
            if self.lease != lease or self._abandoned_lease == lease:
                return
            sent_us = self._world.now_us()
            try:
                if self._update_needed.is_set and not self._register(lease):
                    return
                renewal = self._store.keep_alive(lease)
            except StoreError as error:
                log.warning("lease not kept alive", reason=str(error))
                self._callbacks.on_failed(False)
                if self._world.now_us() >= until_us or LEASE_NOT_FOUND in str(error):
                    return
                self._world.sleep_until(self._world.now_us() + round(retry_us))
                wait_us = 0
                continue
            self._callbacks.on_renewed(lease, sent_us, renewal.ttl_us, renewal.revision)
            if not renewal.ttl_us:
                log.warning("the store has ended the lease", lease=lease)
                return
            until_us, wait_us = sent_us + renewal.ttl_us, pause_us


def join_fleet(world: World, config: FleetConfig, kind: Kind, name: str, epoch: str, zone: str, version: str) -> None:
    """Register a program that does not depend on the store: an unusable store is logged and tried again."""
    if not config.store:
        return
    host, port = split_address(config.listen)
    pause_us, logged_reason = MIN_JOIN_RETRY_PAUSE_US, ""
    while True:
        try:
            store = open_store(world, config)
            return Membership(world, config, store, kind, config.member or name, epoch, zone, version).start(host, port)
        except (StoreError, OSError) as error:
            if str(error) != logged_reason:
                logged_reason = str(error)
                # The program runs on without the fleet meanwhile.
                log.error("not a member of its fleet", kind=kind, store=list(config.store), reason=logged_reason)
        world.sleep_until(world.now_us() + pause_us)
        pause_us = min(2 * pause_us, MAX_JOIN_RETRY_PAUSE_US)

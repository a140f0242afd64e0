"""A process as a member of its fleet: a lease, a registration under it, kept alive. Nothing ever waits for it.

Runs in a task of its own beside whatever the program does. Without the store it tries on, with growing pauses; the
program is told of each turn (`on_granted`, `on_kept`, `on_failed`), and may do without.
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

KEEP_ALIVE_FRACTION = 1 / 3  # of the time to live: how often a lease is kept alive
LEASE_NOT_FOUND = "requested lease not found"  # as etcd words it
RETRY_FRACTION = 1 / 12  # of it: the pause after a call that failed; doubled up to the above

log = structlog.get_logger("yardspindle.fleet")


@dataclass(slots=True)
class LeaseCallbacks:
    """What a program wants to hear. Lease and the clock from before the call; `ttl_us` 0: it has ended."""

    on_granted: Callable[[int, int, int], None]
    on_renewed: Callable[[int, int, int, int], None]  # and the store's revision
    on_failed: Callable[[bool], None]  # whether while a lease was asked for


def _no_turns() -> LeaseCallbacks:
    return LeaseCallbacks(
        lambda lease, sent_us, ttl_us: None, lambda lease, sent_us, ttl_us, revision: None, lambda granting: None
    )


class Membership:
    """One process's place in its fleet."""

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
        """Nothing is opened before `start`."""
        self._world, self._store = world, store
        self._ttl_us = microseconds(config.ttl_ms)
        self._listen, self._advertise = config.listen, config.advertise
        self.keys = FleetKeys(config.name)
        self.member = Member(name, kind, epoch, zone=zone, version=version, since_us=world.now_us())
        self._turns = callbacks or _no_turns()
        self.lease = 0
        self.refusal_reason = ""  # why it is not registered, when that will not mend itself
        self._changed = world.signal()
        self._lost = 0  # a lease that its owner has given up

    def start(self, host: str, port: int) -> None:
        """Serve the page and begin to register. Raises OSError: the page's address cannot be had."""
        host, port = MemberPage(self._world, lambda: self.member).start(host, port)
        at = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self.member = msgspec.structs.replace(self.member, page=self._advertise or at)
        self._world.spawn("membership", self._run)

    def set_able(self, able: bool) -> None:
        """Tell the fleet whether this one takes duties; a change is written soon."""
        if able != self.member.able:
            self.member = msgspec.structs.replace(self.member, able=able)
            self._changed.set()

    def replace_lease(self, lease: int) -> None:
        """Give up a lease, and ask for another."""
        if lease and lease == self.lease:
            self._lost = lease
            self._changed.set()

    def deregister(self) -> None:
        """Take the registration back: ends the lease. What the epoch left is still looked after."""
        lease, self.lease = self.lease, -1
        if lease > 0:
            try:
                self._store.revoke(lease)
            except StoreError as error:
                log.warning("registration could not be taken back; it ends with its lease", reason=str(error))

    # --- the task

    def _run(self) -> None:
        pause_us = self._ttl_us * RETRY_FRACTION
        while self.lease >= 0:
            try:
                if self._once():
                    pause_us = self._ttl_us * RETRY_FRACTION
                    continue
            except InconsistentStore as error:
                if str(error) != self.refusal_reason:
                    log.error("the store went back; nothing is taken from it or written to it", reason=str(error))
                self.refusal_reason = str(error)
                self._turns.on_failed(True)
            except StoreError as error:
                log.warning("no lease", reason=str(error))
                self._turns.on_failed(True)
            self._world.sleep_until(self._world.now_us() + round(pause_us))
            pause_us = min(2 * pause_us, self._ttl_us * KEEP_ALIVE_FRACTION)

    def _once(self) -> bool:
        """One lease, from its asking to its end; whether there was one."""
        sent_us = self._world.now_us()
        granted = self._store.grant(self._ttl_us)
        if not self._register(granted.lease):
            self._store.revoke(granted.lease)
            return False
        self.lease = granted.lease
        self._turns.on_granted(granted.lease, sent_us, granted.ttl_us)
        log.info("registered", member=self.member.id, epoch=self.member.epoch, lease=granted.lease)
        self._keep(granted.lease, sent_us + granted.ttl_us)
        if self.lease > 0:
            self.lease = 0
            with contextlib.suppress(StoreError):
                self._store.revoke(granted.lease)  # what lies under it need not wait for its end
        return True

    def _register(self, lease: int) -> bool:
        known: KeyValue | None = None
        while True:
            if not may_register(known, self.member):
                assert known is not None
                reason = f"{self.member.id}: another process is registered under this name: {known.value.decode()}"
                if reason != self.refusal_reason:  # an earlier start of this one, until its lease ends; or a copy of it
                    log.error("not registered", reason=reason)
                self.refusal_reason = reason
                return False
            answer = self._store.txn(self.keys.register(self.member, lease, known))
            if answer.succeeded:
                self.refusal_reason = ""
                self._changed = self._world.signal()
                return True
            found = answer.results[0]
            known = found[0] if found else None

    def _keep(self, lease: int, until_us: int) -> None:
        """Keep a lease alive until it is lost or given up."""
        pause_us, retry_us = self._ttl_us * KEEP_ALIVE_FRACTION, self._ttl_us * RETRY_FRACTION
        wait_us = pause_us
        while self.lease == lease and self._lost != lease:
            try:
                with self._world.deadline(self._world.now_us() + round(wait_us)):
                    self._changed.wait()
            except DeadlineExceeded:
                pass
            if self.lease != lease or self._lost == lease:
                return
            sent_us = self._world.now_us()
            try:
                if self._changed.is_set and not self._register(lease):
                    return
                kept = self._store.keep_alive(lease)
            except StoreError as error:
                log.warning("lease not kept alive", reason=str(error))
                self._turns.on_failed(False)
                if self._world.now_us() >= until_us or LEASE_NOT_FOUND in str(error):
                    return
                self._world.sleep_until(self._world.now_us() + round(retry_us))
                wait_us = 0
                continue
            self._turns.on_renewed(lease, sent_us, kept.ttl_us, kept.revision)
            if not kept.ttl_us:
                log.warning("the store has ended the lease", lease=lease)
                return
            until_us, wait_us = sent_us + kept.ttl_us, pause_us


def join_fleet(world: World, config: FleetConfig, kind: Kind, name: str, epoch: str, zone: str, version: str) -> None:
    """Register a program that may do without: a store that cannot be used is logged, never waited for."""
    if not config.store:
        return
    host, port = split_address(config.listen)
    try:
        Membership(world, config, open_store(world, config), kind, config.member or name, epoch, zone, version).start(
            host, port
        )
    except (StoreError, OSError) as error:
        log.error("not a member of its fleet", kind=kind, store=list(config.store), reason=str(error))

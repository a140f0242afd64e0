"""The unit's program: registers, tells how the unit is, follows its orders, runs the commands of its file.

Every decision is `core/fleet/unit.step`. The unit itself outlives this program: after a restart it is found again by
what was remembered of it.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec
import structlog
from msgspec.structs import replace

from yardspindle.core.config import FleetConfig, microseconds, split_address
from yardspindle.core.fleet import unit as u
from yardspindle.core.fleet.kv import Put, Txn
from yardspindle.core.fleet.members import FleetKeys, decode_row
from yardspindle.core.fleet.permits import UnitPlacement, UnitStatus
from yardspindle.core.fleet.release_keys import UnitKeys
from yardspindle.core.fleet.release_plan import Order
from yardspindle.fleet.membership import Membership, Turns
from yardspindle.fleet.store.interface import Store, StoreError
from yardspindle.runtime.world import World

LOOK_US = 200_000  # how often the order is read, and the unit looked at
CHECK_US = 500_000  # between two checks
TELL_US = 1_000_000  # how often figures alone are told

log = structlog.get_logger("yardspindle.unit")


class Figures(msgspec.Struct, frozen=True):
    """What a check may print as a line of JSON."""

    load: float = 0.0
    room: float = 0.0
    served: int = 0
    bad: int = 0


class Hands(Protocol):
    """What runs a unit and its commands."""

    def adopt(self, pid: int, born: int) -> None:
        """What an earlier start of this program left running."""

    def id(self) -> tuple[int, int]:
        """Of what runs: process id and start; zeros for nothing."""

    def alive(self) -> bool:
        """Whether it runs."""

    def start(self, version: str, mark: str) -> int:
        """Start it, unless one with this mark runs; 0 when it was started."""

    def stop(self) -> None:
        """End it, and wait for its end."""

    def drain(self, version: str) -> int | None:
        """Wait until nothing runs in it; None when the time was up."""

    def check(self, version: str) -> tuple[int | None, bytes]:
        """How it is (0 well, 1 cold, else failing), and a line of figures."""


class UnitSupervisor:
    """One unit's program."""

    def __init__(
        self, world: World, file: u.UnitFile, fleet: FleetConfig, store: Store, version: str, hands: Hands
    ) -> None:
        """Nothing is started. Raises ValueError: the state file cannot be read."""
        self.world, self.file, self.store, self.hands = world, file, store, hands
        self.keys = UnitKeys(FleetKeys(fleet.name))
        try:
            memory = msgspec.json.decode(world.read_file(file.state), type=u.SavedState)
        except FileNotFoundError:
            memory = u.SavedState(file.versions[0])
        except msgspec.DecodeError as error:
            raise ValueError(f"{file.state}: {error}") from None
        self.state = u.UnitState(file, memory)
        hands.adopt(memory.pid, memory.born)
        self.membership = Membership(
            world,
            fleet,
            store,
            "unit",
            file.name,
            f"{world.random('unit').getrandbits(48):012x}",
            file.groups.get("zone", ""),
            version,
            Turns(lambda lease, sent, ttl: None, lambda *kept: None, lambda granting: None),
        )
        self._listen = split_address(file.page or fleet.listen)
        self._call_us = microseconds(fleet.call_ms)
        self._figures = Figures()
        self._told: tuple[UnitStatus, int] | None = None
        self._told_us = 0
        self._placed = False
        self._checking = False

    def start(self) -> str:
        """Register and begin. Raises OSError."""
        self.membership.start(*self._listen)
        self._perform(*u.resume(self.state, self.world.now_us(), self.hands.alive()))
        self.world.spawn("orders", self._orders)
        self.world.spawn("watch", self._watch)
        self.world.spawn("tell", self._tell)
        return self.membership.member.page

    def stop(self) -> None:
        """This program ends; the unit goes on."""
        self.membership.leave()

    # --- events

    def _feed(self, event: u.Event) -> None:
        self._perform(*u.step(self.state, self.world.now_us(), event))

    def _perform(self, state: u.UnitState, commands: Sequence[u.Command]) -> None:
        self.state = state
        for command in commands:
            match command:
                case u.SaveState(memory):
                    self._remember(memory)
                case u.RunCommand(what):
                    log.info("unit", do=what, version=self.state.saved.version, number=self.state.saved.number)
                    self.world.spawn(what, self._do, what)

    def _remember(self, memory: u.SavedState) -> None:
        """Written whole or not at all, before what it is about is done."""
        pid, born = self.hands.id()
        memory = replace(memory, pid=pid, born=born)
        self.state = u.with_changes(self.state, saved=memory)
        self.world.replace_file(self.file.state, msgspec.json.encode(memory))

    def _orders(self) -> None:
        key = self.keys.row_key("orders", self.file.name)
        while True:
            try:
                rows = self.store.range(key).rows
                order = decode_row(rows[0].value, Order) if rows else None
                if order is not None:
                    if order.number > self.state.saved.number:
                        log.info("order", number=order.number, do=order.do, version=order.version, fence=order.fence)
                    self._feed(u.OrderReceived(order))
            except StoreError as error:
                log.debug("no order without the store", reason=str(error))
            self._feed(u.Tick())
            self.world.sleep_until(self.world.now_us() + LOOK_US)

    def _watch(self) -> None:
        checked = 0
        while True:
            self.world.sleep_until(self.world.now_us() + LOOK_US // 2)
            if self.state.alive and not self.hands.alive() and self.state.saved.stage != "stopping":
                log.warning("the unit ended by itself", pid=self.state.saved.pid)
                self._feed(u.UnitExited())
            elif self.state.alive and not self._checking and self.world.now_us() - checked >= CHECK_US:
                checked = self.world.now_us()
                self._do("check")

    def _do(self, what: str) -> None:
        match what:
            case "check":
                self._checking = True
                try:
                    code, line = self.hands.check(self.state.saved.version)
                finally:
                    self._checking = False
                self._figures = decode_row(line, Figures) or self._figures
                self._feed(u.CommandEnded("check", code))
            case "drain":
                self._feed(u.CommandEnded("drain", self.hands.drain(self.state.saved.version)))
            case "stop":
                self.hands.stop()
                self._feed(u.CommandEnded("stop", 0))
            case "start":
                code = self.hands.start(self.state.saved.version, self._mark())
                if not code:
                    self._remember(self.state.saved)
                self._feed(u.CommandEnded("start", code))

    def _mark(self) -> str:
        """Sets this start of the unit apart from every other; the same when it is taken up again after a kill."""
        return f"{self.file.state} {self.state.saved.starts}"

    # --- what is told

    def status(self) -> UnitStatus:
        """The unit as it is."""
        memory, figures = self.state.saved, self._figures
        return UnitStatus(
            self.file.name,
            f"{memory.pid}-{memory.born}",
            self.state.standing,
            memory.version,
            memory.done,
            memory.refused,
            figures.load,
            figures.room,
            figures.served,
            figures.bad,
            memory.crashed,
        )

    def _tell(self) -> None:
        """Under the lease, so that silence shows by itself; what matters at once, figures now and then."""
        while True:
            self.world.sleep_until(self.world.now_us() + LOOK_US // 4)
            lease, status, now = self.membership.lease, self.status(), self.world.now_us()
            if lease <= 0:
                continue
            if self._told is not None and self._told[1] == lease:
                plain = replace(status, load=0.0, room=0.0, served=0, bad=0)
                before = replace(self._told[0], load=0.0, room=0.0, served=0, bad=0)
                if plain == before and (status == self._told[0] or now - self._told_us < TELL_US):
                    continue
            puts = [Put(self.keys.row_key("statuses", self.file.name), msgspec.json.encode(status), lease)]
            if not self._placed:
                groups = {str(name): value for name, value in self.file.groups.items()}
                puts.append(
                    Put(
                        self.keys.row_key("places", self.file.name),
                        msgspec.json.encode(UnitPlacement(self.file.name, self.file.kind, groups)),
                    )
                )
            try:
                self.store.txn(Txn(then=tuple(puts)))
                self._told, self._told_us, self._placed = (status, lease), now, True
            except StoreError as error:
                log.debug("the unit's status could not be told", reason=str(error))

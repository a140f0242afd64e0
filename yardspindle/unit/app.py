"""The unit supervisor: registers the unit, publishes its status, and carries out its orders.

A unit is a dispatcher or model host that a release restarts; a file names the commands that run, drain and check it.
Orders and statuses are rows of the store, the key-value store (etcd or a file) that the fleet's processes share; the
duty `release` of a steward writes the orders.

All decisions are made by `core/fleet/unit.step`. The unit's process outlives the supervisor, which finds it again after
a restart by its saved process id and start time.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec
import structlog
from msgspec.structs import replace

from yardspindle.core.config import FleetConfig, microseconds, split_address
from yardspindle.core.fleet import unit as unit_control
from yardspindle.core.fleet.kv import Put, Txn
from yardspindle.core.fleet.members import FleetKeys, decode_row
from yardspindle.core.fleet.permits import UnitPlacement, UnitStatus
from yardspindle.core.fleet.release_keys import UnitKeys
from yardspindle.core.fleet.release_plan import Order
from yardspindle.fleet.membership import LeaseCallbacks, Membership
from yardspindle.fleet.store.interface import Store, StoreError
from yardspindle.runtime.world import World

ORDER_POLL_US = 200_000  # how often the unit's order is read
PROCESS_POLL_US = 100_000  # how often it is checked whether the unit's process still runs
STATUS_POLL_US = 50_000  # how often the status is compared with the published one
CHECK_INTERVAL_US = 500_000  # between two check commands
SAVE_RETRY_US = 100_000  # between two tries to write the state file
METRICS_INTERVAL_US = 1_000_000  # minimum time between status updates in which only metrics differ

log = structlog.get_logger("yardspindle.unit")


class CheckMetrics(msgspec.Struct, frozen=True):
    """The metrics that a check command may print as one line of JSON, copied into the unit's `UnitStatus`.

    `load`: current work, in a measure that depends on the unit's role (streams, tokens); `room`: total capacity in the
    same measure; `served` and `bad`: requests since the unit's start that succeeded and failed.
    """

    load: float = 0.0
    room: float = 0.0
    served: int = 0
    bad: int = 0


class UnitRunner(Protocol):
    """Runs a unit's process and its commands."""

    def adopt(self, pid: int, born: int) -> None:
        """Take over a process that an earlier run of the supervisor started; nothing if `pid` is 0."""

    def id(self) -> tuple[int, int]:
        """The process id and start time of the unit's process; zeros if there is none."""

    def alive(self) -> bool:
        """Whether the unit's process is running."""

    def start(self, version: str, mark: str) -> int:
        """Start the unit, unless a process that carries `mark`, the id of one start, runs already; 0 on success."""

    def stop(self) -> None:
        """Stop the unit, and wait until it has exited."""

    def drain(self, version: str) -> int | None:
        """Run the drain command, which waits until the unit is idle; its exit code, or None if it timed out."""

    def check(self, version: str) -> tuple[int | None, bytes]:
        """The check's exit code and its metrics as JSON.

        0: healthy, 1: cold (not warmed up), other: failing, None: timed out. Without a check command always 0.
        """


class UnitSupervisor:
    """The supervisor of one unit; a process of its own beside the unit."""

    def __init__(
        self,
        world: World,
        file: unit_control.UnitFile,
        fleet: FleetConfig,
        store: Store,
        version: str,
        runner: UnitRunner,
    ) -> None:
        """Starts nothing yet. Raises ValueError if the file of saved state is malformed.

        `world`: the interface to clock, sockets, files and randomness.
        """
        self.world, self.file, self.store, self.runner = world, file, store, runner
        self.keys = UnitKeys(FleetKeys(fleet.name))
        try:
            saved = msgspec.json.decode(world.read_file(file.state), type=unit_control.SavedState)
        except FileNotFoundError:
            saved = unit_control.SavedState(file.versions[0])
        except msgspec.DecodeError as error:
            raise ValueError(f"{file.state}: {error}") from None
        self.state = unit_control.UnitState(file, saved)
        runner.adopt(saved.pid, saved.born)
        self.membership = Membership(
            world,
            fleet,
            store,
            "unit",
            file.name,
            f"{world.random('unit').getrandbits(48):012x}",
            file.groups.get("zone", ""),
            version,
            # A unit obeys orders whatever becomes of its lease; `_publish_status` reads the lease itself.
            LeaseCallbacks(lambda lease, sent, ttl: None, lambda *renewed: None, lambda granting: None),
        )
        self._listen = split_address(file.page or fleet.listen)
        self._call_us = microseconds(fleet.call_ms)
        self._metrics = CheckMetrics()
        self._published: tuple[UnitStatus, int] | None = None
        self._published_us = 0
        self._placement_published = False
        self._checking = False

    def start(self) -> str:
        """Registers the unit and starts supervising it. Returns the address of its status page. Raises OSError."""
        self.membership.start(*self._listen)
        self._apply(*unit_control.resume(self.state, self.world.now_us(), self.runner.alive()))
        self.world.spawn_service("orders", self._poll_orders)
        self.world.spawn_service("watch", self._watch_process)
        self.world.spawn_service("publish status", self._publish_status)
        return self.membership.member.page

    def stop(self) -> None:
        """Stops the supervisor; the unit keeps running."""
        self.membership.deregister()

    # --- events

    def _handle_event(self, event: unit_control.Event) -> None:
        self._apply(*unit_control.step(self.state, self.world.now_us(), event))

    def _apply(self, state: unit_control.UnitState, commands: Sequence[unit_control.Command]) -> None:
        self.state = state
        for command in commands:
            match command:
                case unit_control.SaveState(saved):
                    self._save(saved)
                case unit_control.RunCommand(what):
                    log.info(
                        "running unit command",
                        do=what,
                        version=self.state.saved.version,
                        number=self.state.saved.number,
                    )
                    self.world.spawn_service(what, self._run_command, what)

    def _save(self, saved: unit_control.SavedState) -> None:
        """Replaces the state file atomically. Nothing that depends on it is done before it is written."""
        pid, born = self.runner.id()
        self.state = unit_control.with_changes(self.state, saved=replace(saved, pid=pid, born=born))
        logged_reason = ""
        while True:
            try:  # the newest state: another task may have changed it during a pause
                return self.world.replace_file(self.file.state, msgspec.json.encode(self.state.saved))
            except OSError as error:
                if str(error) != logged_reason:
                    logged_reason = str(error)
                    log.error("unit state could not be saved; retrying", reason=logged_reason)
            self.world.sleep_until(self.world.now_us() + SAVE_RETRY_US)

    def _poll_orders(self) -> None:
        key = self.keys.row_key("orders", self.file.name)
        while True:
            try:
                rows = self.store.range(key).rows
                order = decode_row(rows[0].value, Order) if rows else None
                if order is not None:
                    if order.number > self.state.saved.number:
                        log.info(
                            "order received", number=order.number, do=order.do, version=order.version, fence=order.fence
                        )
                    self._handle_event(unit_control.OrderReceived(order))
            except StoreError as error:
                log.debug("order could not be read from the store", reason=str(error))
            self._handle_event(unit_control.Tick())
            self.world.sleep_until(self.world.now_us() + ORDER_POLL_US)

    def _watch_process(self) -> None:
        checked_us = 0
        while True:
            self.world.sleep_until(self.world.now_us() + PROCESS_POLL_US)
            if self.state.alive and not self.runner.alive() and self.state.saved.stage != "stopping":
                log.warning("unit exited unexpectedly", pid=self.state.saved.pid)
                self._handle_event(unit_control.UnitExited())
            elif self.state.alive and not self._checking and self.world.now_us() - checked_us >= CHECK_INTERVAL_US:
                checked_us = self.world.now_us()
                self._run_command("check")

    def _run_command(self, what: str) -> None:
        match what:
            case "check":
                self._checking = True
                try:
                    code, line = self.runner.check(self.state.saved.version)
                finally:
                    self._checking = False
                self._metrics = decode_row(line, CheckMetrics) or self._metrics
                self._handle_event(unit_control.CommandEnded("check", code))
            case "drain":
                self._handle_event(unit_control.CommandEnded("drain", self.runner.drain(self.state.saved.version)))
            case "stop":
                self.runner.stop()
                self._handle_event(unit_control.CommandEnded("stop", 0))
            case "start":
                code = self.runner.start(self.state.saved.version, self._mark())
                if not code:
                    self._save(self.state.saved)
                self._handle_event(unit_control.CommandEnded("start", code))

    def _mark(self) -> str:
        """Identifies this start of the unit; unchanged if a killed supervisor repeats the start."""
        return f"{self.file.state} {self.state.saved.starts}"

    # --- status

    def status(self) -> UnitStatus:
        """The unit's current status."""
        saved, metrics = self.state.saved, self._metrics
        return UnitStatus(
            self.file.name,
            f"{saved.pid}-{saved.born}",
            self.state.standing,
            saved.version,
            saved.done,  # number of the last order that ended
            saved.refused,  # why it failed; empty if it did not
            metrics.load,
            metrics.room,
            metrics.served,
            metrics.bad,
            saved.crashed,
        )

    def _publish_status(self) -> None:
        """Keeps the status in the store, until the lease ends. Changes of metrics alone are written less often."""
        while True:
            self.world.sleep_until(self.world.now_us() + STATUS_POLL_US)
            lease, status, now_us = self.membership.lease, self.status(), self.world.now_us()
            if lease <= 0:
                continue
            if self._published is not None and self._published[1] == lease:
                current = replace(status, load=0.0, room=0.0, served=0, bad=0)
                previous = replace(self._published[0], load=0.0, room=0.0, served=0, bad=0)
                if current == previous and (
                    status == self._published[0] or now_us - self._published_us < METRICS_INTERVAL_US
                ):
                    continue
            puts = [Put(self.keys.row_key("statuses", self.file.name), msgspec.json.encode(status), lease)]
            if not self._placement_published:
                groups = {str(name): value for name, value in self.file.groups.items()}
                puts.append(
                    Put(
                        self.keys.row_key("places", self.file.name),
                        msgspec.json.encode(UnitPlacement(self.file.name, self.file.kind, groups)),
                    )
                )
            try:
                self.store.txn(Txn(then=tuple(puts)))
                self._published, self._published_us, self._placement_published = (status, lease), now_us, True
            except StoreError as error:
                log.debug("unit status could not be written", reason=str(error))

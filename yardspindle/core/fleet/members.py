"""The fleet's records in the store (members, duties, clocks) and a process's view of them.

The store is a key-value store that the fleet's processes share: etcd or a file. A member is a process that is
registered there: an edge (holds the client connections), a planner (decides which server does what), a steward (runs
duties, the fleet's background tasks) or the supervisor of a unit (a dispatcher or model host that a release restarts).

Under `/yardspindle/FLEET/`: `members/KIND/NAME` is attached to its process's lease and names its epoch, one start of
one process; `epochs/EPOCH` has the same value without a lease, so that what an epoch left behind can be cleaned up
after its end; `duties/DUTY` is attached to its owner's lease; `starts/NAME` counts a steward's recent restarts;
`clocks` holds the latest report of clock offsets and skewed clocks.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Literal, TypeVar

import msgspec
from msgspec import Struct

from yardspindle.core.fleet.kv import Change, Compare, Delete, Get, KeyValue, Put, Txn
from yardspindle.core.fleet.ownership import DutyView, Holder

T = TypeVar("T")
ROOT = "/yardspindle"
Kind = Literal["edge", "planner", "steward", "unit"]
RECENT_START_US = 120_000_000  # a start this long after the previous one is no sign of a restart loop


class Member(Struct, frozen=True):
    """A process's registration.

    `page`: address of its HTTP page, which tells its registration and its clock for as long as the process runs.
    """

    name: str
    kind: Kind
    epoch: str
    page: str = ""
    zone: str = ""
    version: str = ""
    able: bool = True  # of a steward: whether it can take duties now
    since_us: int = 0  # start time, by its own clock

    @property
    def id(self) -> str:
        """The member's key within `members/`."""
        return f"{self.kind}/{self.name}"


class Owner(Struct, frozen=True):
    """The owner of a duty: the value of the duty's row (a key of the store with its value)."""

    name: str
    epoch: str
    since_us: int = 0  # when it acquired the duty, by its own clock


class StartCount(Struct, frozen=True):
    """The number of consecutive starts of a process that each followed soon after the previous one."""

    count: int = 0
    at_us: int = 0


class ClockReport(Struct, frozen=True):
    """Offsets from the fleet's median clock, in microseconds, by member; and the epochs whose clock is skewed.

    Skewed clocks are listed by epoch, not by name: a process reads its clock only at its start, so a restart may
    correct the error. The restarted process has a new epoch, for which the clock is evaluated afresh."""

    offsets: dict[str, int] = {}
    out: tuple[str, ...] = ()  # the epochs whose clock is skewed


def decode_row(data: bytes, kind: type[T]) -> T | None:
    """Decodes a stored value; None if it is malformed, in which case the row is ignored and left unchanged."""
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError:
        return None


class FleetKeys:
    """The keys of a fleet's records, and the transactions on them."""

    def __init__(self, fleet: str) -> None:
        """`fleet`: the fleet's name."""
        self.root = f"{ROOT}/{fleet}/".encode()
        self.members = self.root + b"members/"
        self.epochs = self.root + b"epochs/"
        self.duties = self.root + b"duties/"
        self.clocks = self.root + b"clocks"

    def member(self, member: Member) -> bytes:
        """The key of a member's registration."""
        return self.members + member.id.encode()

    def epoch(self, epoch: str) -> bytes:
        """The key of an epoch's record."""
        return self.epochs + epoch.encode()

    def duty(self, duty: str) -> bytes:
        """The key that a duty's owner holds."""
        return self.duties + duty.encode()

    def start_count(self, name: str) -> bytes:
        """The key of a process's count of recent starts."""
        return self.root + b"starts/" + name.encode()

    # --- transactions

    def register(self, member: Member, lease: int, known: KeyValue | None) -> Txn:
        """Registers a member. `known`: the current row, which is absent or was written by this same process."""
        key, value = self.member(member), msgspec.json.encode(member)
        return Txn(
            (Compare(key, "mod", "equal", known.mod if known is not None else 0),),
            (Put(key, value, lease), Put(self.epoch(member.epoch), value)),
            (Get(key),),
        )

    def acquire(self, duty: str, owner: Owner, lease: int) -> Txn:
        """Acquires a duty that has no owner; otherwise reads its owner."""
        key = self.duty(duty)
        return Txn(
            (Compare(key, "create", "equal", 0),), (Put(key, msgspec.json.encode(owner), lease), Get(key)), (Get(key),)
        )

    def hand_over(self, duty: str, fence: int) -> Txn:
        """Releases a duty if it is still held with this fence (the revision at which it was acquired)."""
        key = self.duty(duty)
        return Txn((Compare(key, "create", "equal", fence),), (Delete(key),))

    def with_fence(self, duty: str, fence: int, *then: Put | Delete) -> Txn:
        """Applies writes on behalf of a duty if it is still held with this fence."""
        return Txn((Compare(self.duty(duty), "create", "equal", fence),), then)


def may_register(known: KeyValue | None, member: Member) -> bool:
    """Whether a member may replace the row `known`; another process's registration stays until its lease ends."""
    if known is None:
        return True
    registered = decode_row(known.value, Member)
    return registered is not None and registered.epoch == member.epoch


def decode_holder(row: KeyValue) -> Holder:
    """The holder of a duty, from the duty's row; its name is "?" if the value is malformed."""
    owner = decode_row(row.value, Owner)
    return Holder(owner.name if owner is not None else "?", row.lease, row.create)


def next_start_count(known: KeyValue | None, now_us: int) -> StartCount:
    """The start count to record for a process that starts now."""
    previous = decode_row(known.value, StartCount) if known is not None else None
    recent = previous is not None and abs(now_us - previous.at_us) < RECENT_START_US
    return StartCount(previous.count + 1 if recent and previous is not None else 0, now_us)


@dataclass(slots=True)
class FleetView:
    """A process's copy of the fleet's records, kept current from a store watch."""

    keys: FleetKeys
    revision: int = 0
    members: dict[str, Member] = field(default_factory=dict)
    epochs: dict[str, Member] = field(default_factory=dict)
    duties: dict[str, Holder] = field(default_factory=dict)
    clocks: ClockReport = field(default_factory=ClockReport)
    rows: dict[bytes, KeyValue] = field(default_factory=dict)  # all other rows under the root

    def reset(self, revision: int, rows: Iterable[KeyValue]) -> None:
        """Replaces the view by all rows, read at a revision."""
        self.revision = revision
        self.members, self.epochs, self.duties, self.clocks, self.rows = {}, {}, {}, ClockReport(), {}
        for row in rows:
            self._put(row)

    def apply(self, revision: int, changes: Iterable[Change]) -> None:
        """Applies watch events; skips those already included in what was read."""
        for change in changes:
            if change.row.mod <= self.revision:
                continue
            if change.removed:
                self._remove(change.row.key)
            else:
                self._put(change.row)
        self.revision = max(self.revision, revision)

    def _put(self, row: KeyValue) -> None:
        keys = self.keys
        if row.key.startswith(keys.members):
            if (member := decode_row(row.value, Member)) is not None:
                self.members[row.key[len(keys.members) :].decode()] = member
        elif row.key.startswith(keys.epochs):
            if (member := decode_row(row.value, Member)) is not None:
                self.epochs[row.key[len(keys.epochs) :].decode()] = member
        elif row.key.startswith(keys.duties):
            self.duties[row.key[len(keys.duties) :].decode()] = decode_holder(row)
        elif row.key == keys.clocks:
            self.clocks = decode_row(row.value, ClockReport) or ClockReport()
        else:
            self.rows[row.key] = row

    def _remove(self, key: bytes) -> None:
        keys = self.keys
        for prefix, rows in ((keys.members, self.members), (keys.epochs, self.epochs), (keys.duties, self.duties)):
            if key.startswith(prefix):
                rows.pop(key[len(prefix) :].decode(), None)
        if key == keys.clocks:
            self.clocks = ClockReport()
        self.rows.pop(key, None)

    def duty_view(self, required: frozenset[str]) -> DutyView:
        """The input of `ownership.step`: holders, candidates and the duties that must be owned."""
        candidates = frozenset(m.name for m in self.members.values() if m.kind == "steward" and m.able)
        return DutyView(self.revision, dict(self.duties), candidates, required)

    def live_epochs(self) -> set[str]:
        """The epochs that are registered."""
        return {member.epoch for member in self.members.values()}

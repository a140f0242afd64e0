"""What processes say of themselves in the store, and what is known of them from it: never more than they said.

Under `/yardspindle/FLEET/`: `members/KIND/NAME` lies under its process's lease and names its epoch, one start of one
process; `epochs/EPOCH` says the same without a lease, so that what an epoch left behind can be looked into after its
end; `duties/DUTY` lies under its owner's lease; `starts/NAME` counts how often a steward came and went; `clocks` holds
the last word on whose clock is out.
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
STARTS_SPAN_US = 120_000_000  # a start so long after the one before says nothing of a process that comes and goes


class Member(Struct, frozen=True):
    """A process, as it says. `page`: where it answers for itself, for as long as it lives."""

    name: str
    kind: Kind
    epoch: str
    page: str = ""
    zone: str = ""
    version: str = ""
    able: bool = True  # of a steward: whether it would take duties now
    since_us: int = 0  # by its own clock

    @property
    def id(self) -> str:
        """Its place among the members."""
        return f"{self.kind}/{self.name}"


class Owner(Struct, frozen=True):
    """Who took a duty."""

    name: str
    epoch: str
    since_us: int = 0  # by its own clock


class StartCount(Struct, frozen=True):
    """How often a process started, each soon after the one before."""

    count: int = 0
    at_us: int = 0


class ClockReport(Struct, frozen=True):
    """Offsets against the fleet's middle, in microseconds, by member; and the epochs that are out by too much.

    Epochs, not names: a process takes its clock at its start, so one that was started again is judged anew."""

    offsets: dict[str, int] = {}
    out: tuple[str, ...] = ()


def decode_row(data: bytes, kind: type[T]) -> T | None:
    """A value as one of ours; None when it is not: it is left as it is, and nothing rests on it."""
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError:
        return None


class FleetKeys:
    """Where a fleet keeps what."""

    def __init__(self, fleet: str) -> None:
        """`fleet`: its name."""
        self.root = f"{ROOT}/{fleet}/".encode()
        self.members = self.root + b"members/"
        self.epochs = self.root + b"epochs/"
        self.duties = self.root + b"duties/"
        self.clocks = self.root + b"clocks"

    def member(self, member: Member) -> bytes:
        """A member's key."""
        return self.members + member.id.encode()

    def epoch(self, epoch: str) -> bytes:
        """An epoch's key."""
        return self.epochs + epoch.encode()

    def duty(self, duty: str) -> bytes:
        """A duty's key."""
        return self.duties + duty.encode()

    def start_count(self, name: str) -> bytes:
        """The key of a process's starts."""
        return self.root + b"starts/" + name.encode()

    # --- what is asked of the store

    def register(self, member: Member, lease: int, known: KeyValue | None) -> Txn:
        """Register, where `known` is what stands there now: nothing, or what this very process wrote."""
        key, value = self.member(member), msgspec.json.encode(member)
        return Txn(
            (Compare(key, "mod", "equal", known.mod if known is not None else 0),),
            (Put(key, value, lease), Put(self.epoch(member.epoch), value)),
            (Get(key),),
        )

    def acquire(self, duty: str, owner: Owner, lease: int) -> Txn:
        """Take a duty that nobody holds; else see who does."""
        key = self.duty(duty)
        return Txn(
            (Compare(key, "create", "equal", 0),), (Put(key, msgspec.json.encode(owner), lease), Get(key)), (Get(key),)
        )

    def hand_over(self, duty: str, fence: int) -> Txn:
        """Let go of a duty that is still held with this fence."""
        key = self.duty(duty)
        return Txn((Compare(key, "create", "equal", fence),), (Delete(key),))

    def with_fence(self, duty: str, fence: int, *then: Put | Delete) -> Txn:
        """Write something on behalf of a duty, if it is still held with this fence."""
        return Txn((Compare(self.duty(duty), "create", "equal", fence),), then)


def may_register(known: KeyValue | None, member: Member) -> bool:
    """Whether a registration may be put where `known` stands; another process's is left until its lease ends."""
    if known is None:
        return True
    there = decode_row(known.value, Member)
    return there is not None and there.epoch == member.epoch


def decode_holder(row: KeyValue) -> Holder | None:
    """Who holds a duty, by its key."""
    owner = decode_row(row.value, Owner)
    return Holder(owner.name if owner is not None else "?", row.lease, row.create)


def next_start_count(known: KeyValue | None, now_us: int) -> StartCount:
    """The count that a start now makes."""
    before = decode_row(known.value, StartCount) if known is not None else None
    recent = before is not None and abs(now_us - before.at_us) < STARTS_SPAN_US
    return StartCount(before.count + 1 if recent and before is not None else 0, now_us)


@dataclass(slots=True)
class FleetView:
    """The fleet as the store told it, row by row."""

    keys: FleetKeys
    revision: int = 0
    members: dict[str, Member] = field(default_factory=dict)
    epochs: dict[str, Member] = field(default_factory=dict)
    duties: dict[str, Holder] = field(default_factory=dict)
    clocks: ClockReport = field(default_factory=ClockReport)
    rows: dict[bytes, KeyValue] = field(default_factory=dict)  # what else lies under the root

    def reset(self, revision: int, rows: Iterable[KeyValue]) -> None:
        """All of it, read at a revision."""
        self.revision = revision
        self.members, self.epochs, self.duties, self.clocks, self.rows = {}, {}, {}, ClockReport(), {}
        for row in rows:
            self._put(row)

    def apply(self, revision: int, changes: Iterable[Change]) -> None:
        """What a watch told; rows read before count as told."""
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
            if (held := decode_holder(row)) is not None:
                self.duties[row.key[len(keys.duties) :].decode()] = held
        elif row.key == keys.clocks:
            self.clocks = decode_row(row.value, ClockReport) or ClockReport()
        else:
            self.rows[row.key] = row

    def _remove(self, key: bytes) -> None:
        keys = self.keys
        for start, rows in ((keys.members, self.members), (keys.epochs, self.epochs), (keys.duties, self.duties)):
            if key.startswith(start):
                rows.pop(key[len(start) :].decode(), None)
        if key == keys.clocks:
            self.clocks = ClockReport()
        self.rows.pop(key, None)

    def duty_view(self, wanted: frozenset[str]) -> DutyView:
        """What ownership rests on."""
        able = frozenset(m.name for m in self.members.values() if m.kind == "steward" and m.able)
        return DutyView(self.revision, dict(self.duties), able, wanted)

    def live_epochs(self) -> set[str]:
        """Epochs whose registration stands."""
        return {member.epoch for member in self.members.values()}

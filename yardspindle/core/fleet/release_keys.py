"""Where the store keeps units, permits, orders and the release, and the transactions on them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Literal, TypeVar

import msgspec
from msgspec import Struct

from yardspindle.core.config import Limit
from yardspindle.core.fleet import permits as p
from yardspindle.core.fleet import release_plan as r
from yardspindle.core.fleet.kv import Compare, Delete, KeyValue, Put, Txn
from yardspindle.core.fleet.members import FleetKeys, decode_row

T = TypeVar("T")
DUTY = "release"


class DrainRequest(Struct, frozen=True):
    """An operator wants a unit drained, or back."""

    do: Literal["drain", "undrain"]
    by: str
    why: str = ""


class AuditEntry(Struct, frozen=True):
    """A line of the audit trail."""

    at_us: int
    by: str
    what: str
    why: str = ""


@dataclass(slots=True)
class ReleaseView:
    """What the store holds of units and the release, by kind."""

    placements: dict[str, p.UnitPlacement] = field(default_factory=dict)
    statuses: dict[str, p.UnitStatus] = field(default_factory=dict)
    permits: dict[str, p.Permit] = field(default_factory=dict)
    orders: dict[str, r.Order] = field(default_factory=dict)
    wishes: dict[str, DrainRequest] = field(default_factory=dict)
    audit_log: dict[str, AuditEntry] = field(default_factory=dict)
    release: r.Release | None = None
    release_mod: int = 0
    head_mod: int = 0
    order_mods: dict[str, int] = field(default_factory=dict)

    def snapshot(self, limits: tuple[Limit, ...], age_us: int) -> p.FleetSnapshot:
        """What permits rest on."""
        return p.FleetSnapshot(self.placements, self.statuses, self.permits, limits, age_us)


class UnitKeys:
    """Under a fleet's root."""

    def __init__(self, keys: FleetKeys) -> None:
        """`keys`: the fleet's."""
        self.root = keys.root
        self.duty = keys.duty(DUTY)
        self.head = keys.root + b"permit-head"
        self.release = keys.root + b"release"

    def row_key(self, kind: str, unit: str) -> bytes:
        """A row's key: places, statuses, permits, orders, wishes or log."""
        return self.root + f"{kind}/{unit}".encode()

    def read(self, rows: Mapping[bytes, KeyValue]) -> ReleaseView:
        """All of it. What is not ours is passed over."""
        units = ReleaseView()
        kinds: tuple[tuple[bytes, dict[str, object], type], ...] = (
            (self.row_key("places", ""), units.placements, p.UnitPlacement),  # type: ignore[assignment]
            (self.row_key("statuses", ""), units.statuses, p.UnitStatus),
            (self.row_key("permits", ""), units.permits, p.Permit),
            (self.row_key("orders", ""), units.orders, r.Order),
            (self.row_key("wishes", ""), units.wishes, DrainRequest),
            (self.row_key("log", ""), units.audit_log, AuditEntry),
        )
        for key, row in rows.items():
            if key == self.head:
                units.head_mod = row.mod
            elif key == self.release:
                units.release, units.release_mod = decode_row(row.value, r.Release), row.mod
            for start, found, kind in kinds:
                if key.startswith(start) and (value := decode_row(row.value, kind)) is not None:
                    name = key[len(start) :].decode()
                    found[name] = value
                    if found is units.orders:
                        units.order_mods[name] = row.mod
        return units

    # --- transactions of the duty's owner

    def _under(self, fence: int, *compare: Compare) -> tuple[Compare, ...]:
        return Compare(self.duty, "create", "equal", fence), *compare

    def grant_permit(self, fence: int, units: ReleaseView, step: r.GrantPermit) -> Txn:
        """Permit and order at once, if nobody else was let go since the decision was made."""
        order = self.row_key("orders", step.unit)
        return Txn(
            self._under(
                fence,
                Compare(self.head, "mod", "equal", units.head_mod),
                Compare(order, "mod", "equal", units.order_mods.get(step.unit, 0)),
            ),
            (
                Put(self.row_key("permits", step.unit), msgspec.json.encode(step.permit)),
                Put(order, msgspec.json.encode(step.order)),
                Put(self.head, step.unit.encode()),
            ),
        )

    def close_permit(self, fence: int, units: ReleaseView, unit: str) -> Txn:
        """A permit's end; the unit's wish to be back is done with."""
        ends: list[Put | Delete] = [Delete(self.row_key("permits", unit)), Put(self.head, unit.encode())]
        if unit in units.wishes:
            ends.append(Delete(self.row_key("wishes", unit)))
        return Txn(self._under(fence, Compare(self.head, "mod", "equal", units.head_mod)), tuple(ends))

    def update_release(self, fence: int, units: ReleaseView, release: r.Release, entry: AuditEntry | None) -> Txn:
        """The release as it is now; a change of phase is told in the log."""
        puts = [Put(self.release, msgspec.json.encode(release))]
        if entry is not None:
            puts.append(self.entry(entry))
        return Txn(self._under(fence, Compare(self.release, "mod", "equal", units.release_mod)), tuple(puts))

    def grant_own_permit(self, units: ReleaseView, permit: p.Permit) -> Txn:
        """A unit's own permit, asked for because it was told to end; if nobody was let go since it looked."""
        return Txn(
            (
                Compare(self.head, "mod", "equal", units.head_mod),
                Compare(self.row_key("permits", permit.unit), "create", "equal", 0),
            ),
            (
                Put(self.row_key("permits", permit.unit), msgspec.json.encode(permit)),
                Put(self.head, permit.unit.encode()),
            ),
        )

    # --- transactions of an operator

    def entry(self, entry: AuditEntry) -> Put:
        """A line of the audit trail; two at one microsecond of one operator are the same word."""
        return Put(self.row_key("log", f"{entry.at_us:020d}-{entry.by}"), msgspec.json.encode(entry))

    def update_release_by_operator(self, units: ReleaseView, release: r.Release, entry: AuditEntry) -> Txn:
        """An operator's word on the release, if it stands as it was seen."""
        return Txn(
            (Compare(self.release, "mod", "equal", units.release_mod),),
            (Put(self.release, msgspec.json.encode(release)), self.entry(entry)),
        )

    def request_drain(self, unit: str, wish: DrainRequest, entry: AuditEntry) -> Txn:
        """A unit is to be drained, or back."""
        return Txn(then=(Put(self.row_key("wishes", unit), msgspec.json.encode(wish)), self.entry(entry)))


def drain_request_steps(units: ReleaseView, fleet: p.FleetSnapshot, now_us: int, fence: int, by: str) -> list[r.Step]:
    """What operators' wishes ask for next: one unit at a time, by the same permits as releases."""
    found: list[r.Step] = [
        r.ClosePermit(unit)
        for unit, permit in sorted(units.permits.items())
        if not permit.release and unit not in units.wishes and p.has_returned(permit, units.statuses.get(unit))
    ]
    for unit, wish in sorted(units.wishes.items()):
        permit, last = units.permits.get(unit), units.orders.get(unit)
        number = (last.number if last is not None else 0) + 1
        status = units.statuses.get(unit)
        epoch = status.epoch if status is not None else ""
        if permit is not None and permit.release:
            continue  # it is out for a release: that one brings it back
        if wish.do == "undrain":
            if permit is None or p.has_returned(permit, status) and last is not None and last.do == "undrain":
                found.append(r.ClosePermit(unit))
            elif last is None or last.do != "undrain":
                found.append(
                    r.GrantPermit(
                        unit,
                        r.Order(number, "undrain", "", DUTY, fence, wish.by),
                        p.Permit(unit, permit.epoch, wish.by, wish.why, "", permit.since_us, number),
                    )
                )
        elif permit is None and p.check_departure(fleet, unit) is None:
            found.append(
                r.GrantPermit(
                    unit,
                    r.Order(number, "drain", "", DUTY, fence, wish.by),
                    p.Permit(unit, epoch, wish.by, wish.why, "", now_us, 0),
                )
            )
    return found[:1]

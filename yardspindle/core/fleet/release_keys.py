"""The store's records of units, permits, orders and the release, and the transactions on them.

The store is a key-value store that the fleet's processes share: etcd or a file. A unit is a dispatcher or model host; a
permit allows it to be out of service, and an order tells its supervisor what to do. A release is the rollout of a
version to units, wave by wave. A duty is a background task with one owner at a time; the duty `release` grants permits
and gives orders, both for the release and for operators' drain requests.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Literal, TypeVar

import msgspec
from msgspec import Struct

from yardspindle.core.config import Limit
from yardspindle.core.fleet import permits as permit_rules
from yardspindle.core.fleet import release_plan
from yardspindle.core.fleet.kv import Compare, Delete, KeyValue, Put, Txn
from yardspindle.core.fleet.members import FleetKeys, decode_row

T = TypeVar("T")
RELEASE_DUTY = "release"


class DrainRequest(Struct, frozen=True):
    """An operator's request to drain a unit, or to undrain it."""

    do: Literal["drain", "undrain"]
    by: str
    why: str = ""


class AuditEntry(Struct, frozen=True):
    """An entry of the audit log: who changed a release or requested a drain, when and why."""

    at_us: int
    by: str
    what: str
    why: str = ""


@dataclass(slots=True)
class ReleaseView:
    """The store's records of units and the release, decoded."""

    placements: dict[str, permit_rules.UnitPlacement] = field(default_factory=dict)
    statuses: dict[str, permit_rules.UnitStatus] = field(default_factory=dict)
    permits: dict[str, permit_rules.Permit] = field(default_factory=dict)
    orders: dict[str, release_plan.Order] = field(default_factory=dict)
    drain_requests: dict[str, DrainRequest] = field(default_factory=dict)
    audit_log: dict[str, AuditEntry] = field(default_factory=dict)
    release: release_plan.Release | None = None
    release_mod: int = 0  # revision that last wrote the release
    # Revision that last wrote the head key. Each grant and each closing of a permit writes that key, on condition that
    # it is unchanged: of two decisions made from the same permits, only one is written, so limits on units out hold.
    head_mod: int = 0
    order_mods: dict[str, int] = field(default_factory=dict)  # by unit: revision that last wrote its order

    def snapshot(self, limits: tuple[Limit, ...], age_us: int) -> permit_rules.FleetSnapshot:
        """The input of a permit decision; `age_us`: time since this view was read from the store."""
        return permit_rules.FleetSnapshot(self.placements, self.statuses, self.permits, limits, age_us)


class UnitKeys:
    """The keys of these records under a fleet's root, and the transactions on them."""

    def __init__(self, keys: FleetKeys) -> None:
        """`keys`: the fleet's keys."""
        self.root = keys.root
        self.duty = keys.duty(RELEASE_DUTY)
        self.head = keys.root + b"permit-head"
        self.release = keys.root + b"release"

    def row_key(self, kind: str, unit: str) -> bytes:
        """The key of a row; `kind` is places, statuses, permits, orders, wishes or log.

        These names are stored. `places` holds `ReleaseView.placements` (the units' kinds and groups), `wishes` its
        `drain_requests`, and `log` its `audit_log`.
        """
        return self.root + f"{kind}/{unit}".encode()

    def read(self, rows: Mapping[bytes, KeyValue]) -> ReleaseView:
        """Decodes all rows; skips malformed and unrelated ones."""
        view = ReleaseView()
        kinds: tuple[tuple[bytes, dict[str, object], type], ...] = (
            (self.row_key("places", ""), view.placements, permit_rules.UnitPlacement),  # type: ignore[assignment]
            (self.row_key("statuses", ""), view.statuses, permit_rules.UnitStatus),
            (self.row_key("permits", ""), view.permits, permit_rules.Permit),
            (self.row_key("orders", ""), view.orders, release_plan.Order),
            (self.row_key("wishes", ""), view.drain_requests, DrainRequest),
            (self.row_key("log", ""), view.audit_log, AuditEntry),
        )
        for key, row in rows.items():
            if key == self.head:
                view.head_mod = row.mod
            elif key == self.release:
                view.release, view.release_mod = decode_row(row.value, release_plan.Release), row.mod
            for prefix, decoded, kind in kinds:
                if key.startswith(prefix) and (value := decode_row(row.value, kind)) is not None:
                    name = key[len(prefix) :].decode()
                    decoded[name] = value
                    if decoded is view.orders:
                        view.order_mods[name] = row.mod
        return view

    # --- transactions of the release duty's owner

    def _with_fence(self, fence: int, *compare: Compare) -> tuple[Compare, ...]:
        return Compare(self.duty, "create", "equal", fence), *compare

    def grant_permit(self, fence: int, view: ReleaseView, step: release_plan.GrantPermit) -> Txn:
        """Writes a permit and its order, if no other permit was granted or closed since the view was read."""
        order = self.row_key("orders", step.unit)
        return Txn(
            self._with_fence(
                fence,
                Compare(self.head, "mod", "equal", view.head_mod),
                Compare(order, "mod", "equal", view.order_mods.get(step.unit, 0)),
            ),
            (
                Put(self.row_key("permits", step.unit), msgspec.json.encode(step.permit)),
                Put(order, msgspec.json.encode(step.order)),
                Put(self.head, step.unit.encode()),
            ),
        )

    def close_permit(self, fence: int, view: ReleaseView, unit: str) -> Txn:
        """Deletes a unit's permit, and its drain or undrain request."""
        writes: list[Put | Delete] = [Delete(self.row_key("permits", unit)), Put(self.head, unit.encode())]
        if unit in view.drain_requests:
            writes.append(Delete(self.row_key("wishes", unit)))
        return Txn(self._with_fence(fence, Compare(self.head, "mod", "equal", view.head_mod)), tuple(writes))

    def update_release(
        self, fence: int, view: ReleaseView, release: release_plan.Release, entry: AuditEntry | None
    ) -> Txn:
        """Writes the release's new state, with an audit entry if there is one."""
        puts = [Put(self.release, msgspec.json.encode(release))]
        if entry is not None:
            puts.append(self.put_audit_entry(entry))
        return Txn(self._with_fence(fence, Compare(self.release, "mod", "equal", view.release_mod)), tuple(puts))

    # --- transaction of a unit that shuts down, without a fence

    def grant_own_permit(self, view: ReleaseView, permit: permit_rules.Permit) -> Txn:
        """Grants a process that was asked to shut down a permit of its own, if the view's permits are unchanged."""
        return Txn(
            (
                Compare(self.head, "mod", "equal", view.head_mod),
                Compare(self.row_key("permits", permit.unit), "create", "equal", 0),
            ),
            (
                Put(self.row_key("permits", permit.unit), msgspec.json.encode(permit)),
                Put(self.head, permit.unit.encode()),
            ),
        )

    # --- transactions of an operator

    def put_audit_entry(self, entry: AuditEntry) -> Put:
        """Writes an audit entry; two by one author in the same microsecond count as the same entry."""
        return Put(self.row_key("log", f"{entry.at_us:020d}-{entry.by}"), msgspec.json.encode(entry))

    def update_release_by_operator(self, view: ReleaseView, release: release_plan.Release, entry: AuditEntry) -> Txn:
        """Writes an operator's change to the release, if it is unchanged since the view was read."""
        return Txn(
            (Compare(self.release, "mod", "equal", view.release_mod),),
            (Put(self.release, msgspec.json.encode(release)), self.put_audit_entry(entry)),
        )

    def request_drain(self, unit: str, request: DrainRequest, entry: AuditEntry) -> Txn:
        """Writes an operator's request to drain or undrain a unit."""
        return Txn(then=(Put(self.row_key("wishes", unit), msgspec.json.encode(request)), self.put_audit_entry(entry)))


def drain_request_steps(
    view: ReleaseView, fleet: permit_rules.FleetSnapshot, now_us: int, fence: int, by: str
) -> list[release_plan.Step]:
    """The next step, at most one, for operators' drain requests and for permits that no release has asked for.

    Drains are under the same permits as releases. A permit without a drain request, such as one that a unit granted
    itself to shut down, is closed once its unit is back. The signature follows `release_plan.next_steps`, but `by`, the
    duty's owner, is not used: these permits and orders name the operator who requested the drain.
    """
    found: list[release_plan.Step] = [
        release_plan.ClosePermit(unit)
        for unit, permit in sorted(view.permits.items())
        if not permit.release
        and unit not in view.drain_requests
        and permit_rules.has_returned(permit, view.statuses.get(unit))
    ]
    for unit, request in sorted(view.drain_requests.items()):
        permit, last = view.permits.get(unit), view.orders.get(unit)
        number = (last.number if last is not None else 0) + 1
        status = view.statuses.get(unit)
        epoch = status.epoch if status is not None else ""
        if permit is not None and permit.release:
            continue  # a release has taken it out of service and brings it back
        if request.do == "undrain":
            if (
                permit is None
                or permit_rules.has_returned(permit, status)
                and last is not None
                and last.do == "undrain"
            ):
                found.append(release_plan.ClosePermit(unit))
            elif last is None or last.do != "undrain":
                found.append(
                    release_plan.GrantPermit(
                        unit,
                        release_plan.Order(number, "undrain", "", RELEASE_DUTY, fence, request.by),
                        permit_rules.Permit(unit, permit.epoch, request.by, request.why, "", permit.since_us, number),
                    )
                )
        elif permit is None and permit_rules.check_departure(fleet, unit) is None:
            found.append(
                release_plan.GrantPermit(
                    unit,
                    release_plan.Order(number, "drain", "", RELEASE_DUTY, fence, request.by),
                    permit_rules.Permit(unit, epoch, request.by, request.why, "", now_us, 0),
                )
            )
    return found[:1]

"""Decides whether a unit may be taken out of service now, so that no group has too many units unavailable at once.

A unit is a dispatcher or model host that a release restarts. It counts in every group that it belongs to (its zone,
cell, rack, role and kind). A unit is unavailable if it has a permit; or without one, as an unplanned outage, if its
standing is not "well" or it has no status ("silent"). Missing information thus counts against a permit, and a snapshot
of the fleet older than `MAX_VIEW_AGE_US` permits nothing. A permit outlives the process that holds it; it ends when the
unit has been restarted and is well, when it is well after an order to undrain it, or at an operator's request. Grants
are serialised: each is a transaction of the fleet's store, conditional on a head key that every grant writes.

An order is a command of the release duty to a unit's supervisor to drain, undrain or restart the unit; the orders of a
unit are numbered.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Literal

from msgspec import Struct

from yardspindle.core.config import Limit

# A cold unit has started recently and has not regained its full capacity.
Standing = Literal["well", "cold", "failing", "draining", "stopped", "starting"]
RETRY_AFTER_US = 2_000_000  # delay before asking again after a denial that may change with time
MAX_VIEW_AGE_US = 3_000_000  # an older snapshot grants no permit; of the order of a lease's time to live


class UnitPlacement(Struct, frozen=True):
    """A unit's kind and groups as last registered. Kept when the unit disappears, so that it counts as unavailable."""

    unit: str
    kind: Literal["dispatcher", "host"]
    groups: dict[str, str] = {}


class UnitStatus(Struct, frozen=True):
    """A unit's report on itself, which its supervisor writes to the store; the row ends with the supervisor's lease."""

    unit: str
    epoch: str  # identifies the running process; differs after each start
    standing: Standing
    version: str = ""
    done: int = 0  # number of the last order that ended, whether it was carried out or failed
    refused: str = ""  # why the last order was rejected or failed; else empty
    load: float = 0.0  # current work, in a measure that depends on its role (streams, tokens)
    room: float = 0.0  # total capacity, the load included, in the same measure
    served: int = 0  # requests since its start that ended well; compared between versions
    bad: int = 0  # requests since its start that ended badly
    crashed: int = 0  # unexpected exits since its last order


class Permit(Struct, frozen=True):
    """Permission to be unavailable. `epoch`: the unit's at the grant; `number`: of the last order given under it."""

    unit: str
    epoch: str
    by: str  # who asked for it
    why: str = ""
    release: str = ""  # id of the release for which it was granted; empty: a drain or shutdown
    since_us: int = 0  # by the granting process's clock
    number: int = 0


@dataclass(frozen=True, slots=True)
class Denial:
    """A refused permit. `retry_after_us`: 0 if only a change of limits or units can change the decision."""

    reason: str
    retry_after_us: int


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """The input of a permit decision, read at one revision of the store."""

    placements: Mapping[str, UnitPlacement]
    statuses: Mapping[str, UnitStatus]
    permits: Mapping[str, Permit]
    limits: tuple[Limit, ...]
    age_us: int = 0  # time since it was read from the store
    reserve: float = 0.1  # fraction of the capacity that must stay free


def unplanned_reason(fleet: FleetSnapshot, unit: str) -> str:
    """Why a unit without a permit is unavailable; empty if it is available."""
    if unit in fleet.permits:
        return ""
    status = fleet.statuses.get(unit)
    if status is None:
        return "silent"
    return "" if status.standing == "well" else status.standing


def unavailable_units(fleet: FleetSnapshot) -> dict[str, str]:
    """All unavailable units, with the reason."""
    found = {unit: "permit" for unit in fleet.permits if unit in fleet.placements}
    for unit in fleet.placements:
        if why := unplanned_reason(fleet, unit):
            found[unit] = why
    return found


def groups_of(placement: UnitPlacement) -> list[tuple[str, str]]:
    """The (group, value) pairs that a unit belongs to: ("all", its kind), and one for each group, as ("zone", "a")."""
    return [("all", placement.kind), *sorted((name, value) for name, value in placement.groups.items() if value)]


def max_unavailable(limit: Limit, size: int) -> int:
    """How many units of a group of this size a limit allows to be unavailable."""
    bounds = [size]
    if limit.most_out is not None:
        bounds.append(limit.most_out)
    if limit.most_out_share is not None:
        bounds.append(math.floor(limit.most_out_share * size + 1e-9))
    if limit.least_serving is not None:
        bounds.append(size - limit.least_serving)
    return max(min(bounds), 0)


def units_in_group(fleet: FleetSnapshot, group: str, value: str) -> list[str]:
    """The units in a group, such as zone "a"."""
    return [unit for unit, placement in fleet.placements.items() if (group, value) in groups_of(placement)]


def violated_limits(fleet: FleetSnapshot) -> list[str]:
    """The exceeded limits: after unplanned outages, lowered limits, or a unit's change of group."""
    unavailable, found = unavailable_units(fleet), []
    values = sorted({pair for placement in fleet.placements.values() for pair in groups_of(placement)})
    for limit in fleet.limits:
        for group, value in values:
            if group == limit.group and limit.only in ("", value):
                units = units_in_group(fleet, group, value)
                count, allowed = sum(unit in unavailable for unit in units), max_unavailable(limit, len(units))
                if count > allowed:
                    found.append(f"{group} {value}: {count} of {len(units)} out, {allowed} allowed")
    return found


def check_departure(fleet: FleetSnapshot, unit: str) -> Denial | None:
    """Whether a unit may become unavailable now: None if it may, which includes a unit that already has a permit."""
    if fleet.age_us > MAX_VIEW_AGE_US:
        return Denial(f"the last known state of the fleet is {fleet.age_us / 1e6:.1f} s old", RETRY_AFTER_US)
    if unit in fleet.permits:
        return None
    placement = fleet.placements.get(unit)
    if placement is None:
        return Denial("there is no such unit", 0)
    unavailable = unavailable_units(fleet)
    if unit in unavailable:
        return None  # repairing it takes no other unit away; if denied, two failed units could block each other
    for limit in fleet.limits:
        for group, value in groups_of(placement):
            if group != limit.group or limit.only not in ("", value):
                continue
            units = units_in_group(fleet, group, value)
            allowed = max_unavailable(limit, len(units))
            others = sorted(name for name in units if name in unavailable and name != unit)
            if len(others) + 1 > allowed:
                if allowed == 0:
                    return Denial(f"{group} {value}: none of {len(units)} may ever be out", 0)
                who = ", ".join(f"{name} ({unavailable[name]})" for name in others[:4])
                return Denial(
                    f"{group} {value}: {len(others)} of {len(units)} out, {allowed} allowed: {who}", RETRY_AFTER_US
                )
    return _check_capacity(fleet, placement, unavailable)


def _check_capacity(fleet: FleetSnapshot, placement: UnitPlacement, unavailable: Mapping[str, str]) -> Denial | None:
    """Denies a departure after which the remaining units of its role could not carry the role's load."""
    role = placement.groups.get("role", placement.kind)
    peers = [
        status
        for unit, other in fleet.placements.items()
        if unit not in unavailable
        and unit != placement.unit
        and other.groups.get("role", other.kind) == role
        and (status := fleet.statuses.get(unit)) is not None
    ]
    own = fleet.statuses.get(placement.unit)
    load = sum(peer.load for peer in peers) + (own.load if own is not None else 0.0)
    capacity = sum(peer.room for peer in peers) * (1 - fleet.reserve)
    if load > capacity and load > 0:
        # docs/operate/releases.md quotes this text. "Room" is the capacity of the other units of the role less the
        # reserve; "it" is the unit that is to leave, whose load counts as the others have to take it over.
        return Denial(f"role {role}: load {load:g}, room without it {capacity:g}", RETRY_AFTER_US)
    return None


def has_returned(permit: Permit, status: UnitStatus | None) -> bool:
    """Whether a unit with a permit is back in service: restarted and well, or well after an order to undrain it."""
    if status is None or status.standing != "well":
        return False
    return status.epoch != permit.epoch or (permit.number > 0 and status.done >= permit.number)


def permanent_denials(placements: Iterable[UnitPlacement], limits: Iterable[Limit], units: Iterable[str]) -> list[str]:
    """Why a release can never complete: unknown units, and limits that never allow a unit to leave."""
    known = {placement.unit: placement for placement in placements}
    idle = FleetSnapshot(known, {unit: UnitStatus(unit, "", "well") for unit in known}, {}, tuple(limits))
    found = []
    for unit in units:
        if unit not in known:
            found.append(f"{unit}: there is no such unit")
        elif (denial := check_departure(idle, unit)) is not None:
            found.append(f"{unit}: {denial.reason}")
    return found

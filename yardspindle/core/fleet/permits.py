"""Never too many out: whether a unit may leave on purpose now, from what is known of all units and limits.

A unit counts in every group it lies in. Out is whoever has a permit, and whoever is out by accident: silent, cold,
failing. What is not known counts against leaving: a unit not heard of is out, a view older than stated gives nothing. A
permit outlives its holder; it ends when the unit is seen back and well in another epoch (or by its own undrain), or by
an operator's word. Grants are made one after another: each is a transaction on the head that the one before moved.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Literal

from msgspec import Struct

from yardspindle.core.config import Limit

Standing = Literal["well", "cold", "failing", "draining", "stopped", "starting"]
AGAIN_US = 2_000_000  # after a "not now" that time alone may change
MAX_VIEW_AGE_US = 3_000_000  # how old the view may be at a grant: of the order of a lease


class UnitPlacement(Struct, frozen=True):
    """Where a unit lies, as it was last registered. Kept when the unit is gone: it is then missing, not forgotten."""

    unit: str
    kind: Literal["dispatcher", "host"]
    groups: dict[str, str] = {}


class UnitStatus(Struct, frozen=True):
    """What a unit says of itself, under its lease."""

    unit: str
    epoch: str  # of what runs in it; another one after each start
    standing: Standing
    version: str = ""
    done: int = 0  # the number of the last order carried out
    refused: str = ""  # why the last order was not
    load: float = 0.0  # present work, in units of its own choice for its role (streams, tokens)
    room: float = 0.0  # what it can carry of that
    served: int = 0  # counts since its start, for comparisons
    bad: int = 0
    crashed: int = 0  # times that it ended by itself since its last order


class Permit(Struct, frozen=True):
    """Leave to be out. `epoch`: what ran when it was given; `number`: the last order given under it."""

    unit: str
    epoch: str
    by: str
    why: str = ""
    release: str = ""
    since_us: int = 0  # by the giver's clock
    number: int = 0


@dataclass(frozen=True, slots=True)
class Denial:
    """No permit. `again_us`: when asking may help; 0 when only a change of limits or units does."""

    reason: str
    retry_after_us: int


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """All that a decision rests on, read at one revision."""

    placements: Mapping[str, UnitPlacement]
    statuses: Mapping[str, UnitStatus]
    permits: Mapping[str, Permit]
    limits: tuple[Limit, ...]
    age_us: int = 0  # since the store said so
    reserve: float = 0.1  # part of the room that must stay free


def unplanned_reason(fleet: FleetSnapshot, unit: str) -> str:
    """Why a unit is out though nobody let it go, or nothing."""
    if unit in fleet.permits:
        return ""
    status = fleet.statuses.get(unit)
    if status is None:
        return "silent"
    return "" if status.standing == "well" else status.standing


def unavailable_units(fleet: FleetSnapshot) -> dict[str, str]:
    """Every unit that is out, and why."""
    found = {unit: "permit" for unit in fleet.permits if unit in fleet.placements}
    for unit in fleet.placements:
        if why := unplanned_reason(fleet, unit):
            found[unit] = why
    return found


def groups_of(place: UnitPlacement) -> list[tuple[str, str]]:
    """The groups that a unit lies in."""
    return [("all", place.kind), *sorted((name, value) for name, value in place.groups.items() if value)]


def max_unavailable(limit: Limit, size: int) -> int:
    """How many of a group may be out; never more than its size."""
    most = [size]
    if limit.most_out is not None:
        most.append(limit.most_out)
    if limit.most_out_share is not None:
        most.append(math.floor(limit.most_out_share * size + 1e-9))
    if limit.least_serving is not None:
        most.append(size - limit.least_serving)
    return max(min(most), 0)


def members(fleet: FleetSnapshot, group: str, value: str) -> list[str]:
    """The units of a group's value."""
    return [unit for unit, place in fleet.placements.items() if (group, value) in groups_of(place)]


def violated_limits(fleet: FleetSnapshot) -> list[str]:
    """Limits that more units are out of than they allow: by accident, by lowered limits, or by a unit that moved."""
    gone, found = unavailable_units(fleet), []
    values = sorted({pair for place in fleet.placements.values() for pair in groups_of(place)})
    for limit in fleet.limits:
        for group, value in values:
            if group == limit.group and limit.only in ("", value):
                units = members(fleet, group, value)
                missing, most = sum(unit in gone for unit in units), max_unavailable(limit, len(units))
                if missing > most:
                    found.append(f"{group} {value}: {missing} of {len(units)} out, {most} allowed")
    return found


def check_departure(fleet: FleetSnapshot, unit: str) -> Denial | None:
    """Whether a unit may go out now: None when it may. One that has its permit already may."""
    if fleet.age_us > MAX_VIEW_AGE_US:
        return Denial(f"the view is {fleet.age_us / 1e6:.1f} s old", AGAIN_US)
    if unit in fleet.permits:
        return None
    place = fleet.placements.get(unit)
    if place is None:
        return Denial("there is no such unit", 0)
    gone = unavailable_units(fleet)
    if unit in gone:
        return None  # it is out by accident, and mending it takes nobody else away: else two such wait for each other
    for limit in fleet.limits:
        for group, value in groups_of(place):
            if group != limit.group or limit.only not in ("", value):
                continue
            units = members(fleet, group, value)
            most = max_unavailable(limit, len(units))
            others = sorted(name for name in units if name in gone and name != unit)
            if len(others) + 1 > most:
                if most == 0:
                    return Denial(f"{group} {value}: none of {len(units)} may ever be out", 0)
                who = ", ".join(f"{name} ({gone[name]})" for name in others[:4])
                return Denial(f"{group} {value}: {len(others)} of {len(units)} out, {most} allowed: {who}", AGAIN_US)
    return _room(fleet, place, gone)


def _room(fleet: FleetSnapshot, place: UnitPlacement, gone: Mapping[str, str]) -> Denial | None:
    """What is left must carry the present load of its role, with room."""
    role = place.groups.get("role", place.kind)
    peers = [
        status
        for unit, other in fleet.placements.items()
        if unit not in gone
        and unit != place.unit
        and other.groups.get("role", other.kind) == role
        and (status := fleet.statuses.get(unit)) is not None
    ]
    own = fleet.statuses.get(place.unit)
    load = sum(peer.load for peer in peers) + (own.load if own is not None else 0.0)
    room = sum(peer.room for peer in peers) * (1 - fleet.reserve)
    if load > room and load > 0:
        return Denial(f"role {role}: load {load:g}, room without it {room:g}", AGAIN_US)
    return None


def has_returned(permit: Permit, status: UnitStatus | None) -> bool:
    """Whether what was let go is back: another start of it is well, or it was undrained on an order."""
    if status is None or status.standing != "well":
        return False
    return status.epoch != permit.epoch or (permit.number > 0 and status.done >= permit.number)


def permanent_denials(places: Iterable[UnitPlacement], limits: Iterable[Limit], units: Iterable[str]) -> list[str]:
    """What makes a release impossible before it begins: unknown units, and limits under which one can never go."""
    known = {place.unit: place for place in places}
    empty = FleetSnapshot(known, {unit: UnitStatus(unit, "", "well") for unit in known}, {}, tuple(limits))
    found = []
    for unit in units:
        if unit not in known:
            found.append(f"{unit}: there is no such unit")
        elif (no := check_departure(empty, unit)) is not None:
            found.append(f"{unit}: {no.reason}")
    return found

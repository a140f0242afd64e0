"""A release as desired state: waves of units that are to run a version, and the next step from what is seen now.

Pure: whoever owns the duty `release` reads the release, the units' statuses, permits and limits, and gets what is to be
written next. Everything that matters is in the store, so another owner goes on where this one died, at any point. The
way back is a release of the version before over the same units, newest wave first, through the same permits.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Literal

from msgspec import Meta, Struct
from msgspec.structs import replace

from yardspindle.core.fleet import permits as p
from yardspindle.core.fleet.canary_analysis import SequentialTest

Phase = Literal["running", "halted", "going back", "done", "back", "abandoned"]
FIRST_WAVE = 1  # a single unit shows a version that does not start at all
ZONE_WAVE = 3  # then a few of one zone: what is wrong with the place shows in one place
CRASHES_MOST = 2  # of one released unit before a release halts: one may be chance
LAST_WAVES_SHARE = 0.25  # then by share


class PlanFile(Struct, forbid_unknown_fields=True, frozen=True):
    """What an operator writes. `units`: names; empty for all of `kind`."""

    version: Annotated[str, Meta(min_length=1)]
    before: Annotated[str, Meta(min_length=1)]  # the version to go back to
    units: tuple[str, ...] = ()
    kind: Literal["dispatcher", "host"] = "dispatcher"
    settle_s: Annotated[float, Meta(ge=0)] = 30.0
    start_s: Annotated[float, Meta(gt=0)] = 120.0  # in which a unit must be well after its start


class Release(Struct, frozen=True):
    """A release under way."""

    id: str
    version: str
    before: str
    waves: tuple[tuple[str, ...], ...]
    settle_us: int
    start_us: int
    phase: Phase = "running"
    why: str = ""
    wave: int = 0
    settled_us: int = 0  # since when the present wave is whole, by its owner's clock; 0: it is not
    trial: SequentialTest = SequentialTest()


class Order(Struct, frozen=True):
    """What a unit is to do: drained, stopped, started with a version; or let back in as it is."""

    number: int  # one higher than the last for this unit: each is carried out once
    do: Literal["go", "undrain", "drain"]
    version: str
    duty: str
    fence: int
    by: str = ""


def waves(places: Mapping[str, p.UnitPlacement], units: list[str]) -> tuple[tuple[str, ...], ...]:
    """One unit, then a few of its zone, then shares spread over zones and cells."""
    left = sorted(units)
    if not left:
        return ()
    first, left = left[:FIRST_WAVE], left[FIRST_WAVE:]
    zone = places[first[0]].groups.get("zone", "")
    near = [unit for unit in left if places[unit].groups.get("zone", "") == zone][:ZONE_WAVE]
    left = [unit for unit in left if unit not in near]
    ranks: dict[tuple[str, str], int] = {}
    order = []
    for unit in left:  # the first of each place, then the second of each
        at = (places[unit].groups.get("zone", ""), places[unit].groups.get("cell", ""))
        ranks[at] = ranks.get(at, -1) + 1
        order.append((ranks[at], at, unit))
    spread = [unit for *_, unit in sorted(order)]
    size = max(math.ceil(LAST_WAVES_SHARE * len(units)), 1)
    rest = [tuple(spread[at : at + size]) for at in range(0, len(spread), size)]
    return tuple(wave for wave in (tuple(first), tuple(near), *rest) if wave)


@dataclass(frozen=True, slots=True)
class GrantPermit:
    """Give a unit its permit and its order, in one transaction."""

    unit: str
    order: Order
    permit: p.Permit


@dataclass(frozen=True, slots=True)
class ClosePermit:
    """A permit's unit is back."""

    unit: str


@dataclass(frozen=True, slots=True)
class UpdateRelease:
    """Write the release as it is now."""

    release: Release


Step = GrantPermit | ClosePermit | UpdateRelease


def target_version(release: Release) -> str:
    """The version that its units are to run."""
    return release.before if release.phase in ("going back", "back") else release.version


def order_of_units(release: Release) -> list[tuple[str, ...]]:
    """The waves to go through: backwards, newest first, on the way back."""
    if release.phase == "going back":
        return [tuple(reversed(wave)) for wave in reversed(release.waves)]
    return list(release.waves)


def next_steps(
    release: Release, fleet: p.FleetSnapshot, orders: Mapping[str, Order], now_us: int, fence: int, by: str
) -> list[Step]:
    """What is to be done next. At most one unit is let go at a time: the next grant sees the one before."""
    found: list[Step] = [
        ClosePermit(unit)
        for unit, permit in fleet.permits.items()
        if permit.release == release.id and p.has_returned(permit, fleet.statuses.get(unit))
    ]
    if release.phase not in ("running", "going back"):
        return found
    if release.phase == "running" and (why := _halt_reason(release, fleet, now_us)):
        return [*found, UpdateRelease(replace(release, phase="halted", why=why, settled_us=0))]
    sequence = order_of_units(release)
    version = target_version(release)
    if release.wave >= len(sequence):
        phase: Phase = "back" if release.phase == "going back" else "done"
        return [*found, UpdateRelease(replace(release, phase=phase, settled_us=0))]
    wave = sequence[release.wave]
    for unit in wave:
        status, permit = fleet.statuses.get(unit), fleet.permits.get(unit)
        if status is not None and status.version == version and status.standing == "well" and permit is None:
            continue
        if permit is not None and not _another_way(permit, orders.get(unit), version):
            continue  # it is on its way
        if status is not None and status.version == version and permit is None and status.standing != "well":
            continue  # it is out by accident, with the right version: nothing to order
        if permit is None and p.check_departure(fleet, unit) is not None:
            return found
        last = orders.get(unit)
        number = (last.number if last is not None else 0) + 1
        epoch = permit.epoch if permit is not None else status.epoch if status is not None else ""
        order = Order(number, "go", version, "release", fence, by)
        return [
            *found,
            GrantPermit(
                unit,
                order,
                p.Permit(
                    unit,
                    epoch,
                    by,
                    f"release {release.id}",
                    release.id,
                    permit.since_us if permit is not None else now_us,
                    number,
                ),
            ),
        ]
    whole = all(unit not in fleet.permits and _runs(fleet, unit, version) for unit in wave)
    if not whole:
        return [*found, UpdateRelease(replace(release, settled_us=0))] if release.settled_us else found
    if not release.settled_us:
        return [*found, UpdateRelease(replace(release, settled_us=max(now_us, 1)))]
    if now_us - release.settled_us >= release.settle_us:
        return [*found, UpdateRelease(replace(release, wave=release.wave + 1, settled_us=0))]
    return found


def _runs(fleet: p.FleetSnapshot, unit: str, version: str) -> bool:
    status = fleet.statuses.get(unit)
    return status is not None and status.version == version and status.standing == "well"


def _another_way(permit: p.Permit, last: Order | None, version: str) -> bool:
    """Whether a unit that is out was sent after another version than the one that is wanted now."""
    return last is None or last.version != version


def _halt_reason(release: Release, fleet: p.FleetSnapshot, now_us: int) -> str:
    """Why a release halts by itself, or nothing."""
    if release.trial.shows_harm:
        return f"released units do worse than the others (evidence {release.trial.evidence:.0f} to 1)"
    for unit in (unit for wave in release.waves for unit in wave):
        status = fleet.statuses.get(unit)
        if status is not None and status.version == release.version and status.crashed >= CRASHES_MOST:
            return f"{unit} ended by itself {status.crashed} times"
    for unit, permit in fleet.permits.items():
        if permit.release != release.id or unit not in fleet.placements:
            continue
        status = fleet.statuses.get(unit)
        if status is not None and status.refused and status.done >= permit.number:
            return f"{unit}: {status.refused}"
        if now_us - permit.since_us > release.start_us:
            return f"{unit} is not back after {release.start_us / 1e6:g} s"
    return ""


def create_release(id: str, plan: PlanFile, places: Mapping[str, p.UnitPlacement]) -> Release:
    """A plan as a release, not started."""
    units = list(plan.units) or [unit for unit, place in places.items() if place.kind == plan.kind]
    return Release(
        id, plan.version, plan.before, waves(places, units), round(plan.settle_s * 1e6), round(plan.start_s * 1e6)
    )


def apply_operator_command(release: Release, word: str, why: str) -> Release | str:
    """What an operator's word makes of a release, or why it cannot be."""
    phase = release.phase
    match word:
        case "halt" if phase in ("running", "going back"):
            return replace(release, phase="halted", why=why, settled_us=0)
        case "resume" if phase == "halted":
            return replace(release, phase="running", why=why, trial=SequentialTest())
        case "back" if phase in ("running", "halted", "done"):
            return replace(release, phase="going back", why=why, wave=0, settled_us=0)
        case "abandon" if phase in ("running", "halted", "going back"):
            return replace(release, phase="abandoned", why=why)
    return f"a release that is {phase} cannot {word}"

"""A release as desired state: waves of units that must run a version, and the next steps given the current state.

A unit is a dispatcher or model host. The release is carried out by the owner of the duty `release`, a background task
with one owner at a time.

Pure: the owner passes in the release, the units' statuses, permits and limits, and gets the steps to write next. All
state is in the store, so that another owner can continue at any point. A rollback installs the previous version on the
same units, newest wave first, under the same permits (`permits.py`).
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Literal

from msgspec import Meta, Struct
from msgspec.structs import replace

from yardspindle.core.fleet import permits
from yardspindle.core.fleet.canary_analysis import SequentialTest

# "going back": the rollback is in progress; "back": it is complete.
Phase = Literal["running", "halted", "going back", "done", "back", "abandoned"]
FIRST_WAVE_SIZE = 1  # a single unit reveals a version that does not start at all
ZONE_WAVE_SIZE = 3  # then a few units of the same zone, so that a fault specific to the zone stays in one zone
CRASHES_TO_HALT = 2  # of one released unit; a single crash may be chance
LATER_WAVE_FRACTION = 0.25  # size of each later wave, as a fraction of all units


class PlanFile(Struct, forbid_unknown_fields=True, frozen=True):
    """The operator's release file. `units`: unit names; empty for all units of `kind`."""

    version: Annotated[str, Meta(min_length=1)]
    before: Annotated[str, Meta(min_length=1)]  # the version to which a rollback returns
    units: tuple[str, ...] = ()
    kind: Literal["dispatcher", "host"] = "dispatcher"
    settle_s: Annotated[float, Meta(ge=0)] = 30.0  # from the completion of a wave to the next wave
    start_s: Annotated[float, Meta(gt=0)] = 120.0  # time within which a unit must be back and well


class Release(Struct, frozen=True):
    """The state of a release."""

    id: str
    version: str
    before: str
    waves: tuple[tuple[str, ...], ...]
    settle_us: int
    start_us: int
    phase: Phase = "running"
    why: str = ""
    wave: int = 0
    settled_us: int = 0  # since when the current wave is complete, by the owner's clock; 0: it is not
    trial: SequentialTest = SequentialTest()  # the test whether the version does harm


class Order(Struct, frozen=True):
    """Order to a unit's supervisor: `go` drains, stops and starts it with a version; `(un)drain` leaves its version."""

    number: int  # one higher than the unit's previous order, so that each is carried out once
    do: Literal["go", "undrain", "drain"]
    version: str
    duty: str  # the duty (background task with one owner at a time) by whose owner it was given
    fence: int  # grows with each owner of the duty, so that orders of a former owner are refused
    by: str = ""


def plan_waves(placements: Mapping[str, permits.UnitPlacement], units: list[str]) -> tuple[tuple[str, ...], ...]:
    """Divides units into waves: one unit, then a few of its zone, then equal parts spread over zones and cells.

    A cell is a group of servers within which KV caches move fast.
    """
    remaining = sorted(units)
    if not remaining:
        return ()
    first, remaining = remaining[:FIRST_WAVE_SIZE], remaining[FIRST_WAVE_SIZE:]
    zone = placements[first[0]].groups.get("zone", "")
    same_zone = [unit for unit in remaining if placements[unit].groups.get("zone", "") == zone][:ZONE_WAVE_SIZE]
    remaining = [unit for unit in remaining if unit not in same_zone]
    ranks: dict[tuple[str, str], int] = {}
    ranked = []
    for unit in remaining:  # the first unit of each zone and cell, then the second of each, and so on
        location = (placements[unit].groups.get("zone", ""), placements[unit].groups.get("cell", ""))
        ranks[location] = ranks.get(location, -1) + 1
        ranked.append((ranks[location], location, unit))
    spread = [unit for *_, unit in sorted(ranked)]
    size = max(math.ceil(LATER_WAVE_FRACTION * len(units)), 1)
    later = [tuple(spread[start : start + size]) for start in range(0, len(spread), size)]
    return tuple(wave for wave in (tuple(first), tuple(same_zone), *later) if wave)


@dataclass(frozen=True, slots=True)
class GrantPermit:
    """Give a unit its permit and its order in one transaction."""

    unit: str
    order: Order
    permit: permits.Permit


@dataclass(frozen=True, slots=True)
class ClosePermit:
    """End the permit of a unit that is back in service."""

    unit: str


@dataclass(frozen=True, slots=True)
class UpdateRelease:
    """Write the release's new state."""

    release: Release


Step = GrantPermit | ClosePermit | UpdateRelease


def target_version(release: Release) -> str:
    """The version that the release's units must run in its current phase."""
    return release.before if release.phase in ("going back", "back") else release.version


def wave_sequence(release: Release) -> list[tuple[str, ...]]:
    """The waves in the order in which they are processed: reversed during a rollback."""
    if release.phase == "going back":
        return [tuple(reversed(wave)) for wave in reversed(release.waves)]
    return list(release.waves)


def next_steps(
    release: Release, fleet: permits.FleetSnapshot, orders: Mapping[str, Order], now_us: int, fence: int, by: str
) -> list[Step]:
    """The steps to take next. At most one unit gets a permit at a time, so that each grant sees the previous one."""
    found: list[Step] = [
        ClosePermit(unit)
        for unit, permit in fleet.permits.items()
        if permit.release == release.id and permits.has_returned(permit, fleet.statuses.get(unit))
    ]
    if release.phase not in ("running", "going back"):
        return found
    if release.phase == "running" and (why := _halt_reason(release, fleet, now_us)):
        return [*found, UpdateRelease(replace(release, phase="halted", why=why, settled_us=0))]
    sequence = wave_sequence(release)
    version = target_version(release)
    if release.wave >= len(sequence):
        phase: Phase = "back" if release.phase == "going back" else "done"
        return [*found, UpdateRelease(replace(release, phase=phase, settled_us=0))]
    wave = sequence[release.wave]
    for unit in wave:
        status, permit = fleet.statuses.get(unit), fleet.permits.get(unit)
        if status is not None and status.version == version and status.standing == "well" and permit is None:
            continue
        if permit is not None and not _needs_new_order(orders.get(unit), version):
            continue  # the order is in progress
        if status is not None and status.version == version and permit is None and status.standing != "well":
            continue  # an unplanned outage with the right version: an order would not help
        if permit is None and permits.check_departure(fleet, unit) is not None:
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
                permits.Permit(
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
    complete = all(unit not in fleet.permits and _runs_well(fleet, unit, version) for unit in wave)
    if not complete:
        return [*found, UpdateRelease(replace(release, settled_us=0))] if release.settled_us else found
    if not release.settled_us:
        return [*found, UpdateRelease(replace(release, settled_us=max(now_us, 1)))]
    if now_us - release.settled_us >= release.settle_us:
        return [*found, UpdateRelease(replace(release, wave=release.wave + 1, settled_us=0))]
    return found


def _runs_well(fleet: permits.FleetSnapshot, unit: str, version: str) -> bool:
    status = fleet.statuses.get(unit)
    return status is not None and status.version == version and status.standing == "well"


def _needs_new_order(last: Order | None, version: str) -> bool:
    """Whether a unit's last order was for another version than the one required now."""
    return last is None or last.version != version


def _halt_reason(release: Release, fleet: permits.FleetSnapshot, now_us: int) -> str:
    """Why a release must be halted automatically; empty if it need not be."""
    if release.trial.shows_harm:
        return f"released units do worse than the others (likelihood ratio {release.trial.evidence:.0f})"
    for unit in (unit for wave in release.waves for unit in wave):
        status = fleet.statuses.get(unit)
        if status is not None and status.version == release.version and status.crashed >= CRASHES_TO_HALT:
            return f"{unit} ended by itself {status.crashed} times"  # without an order: unexpected exits
    for unit, permit in fleet.permits.items():
        if permit.release != release.id or unit not in fleet.placements:
            continue
        status = fleet.statuses.get(unit)
        if status is not None and status.refused and status.done >= permit.number:
            return f"{unit}: {status.refused}"
        if now_us - permit.since_us > release.start_us:
            return f"{unit} is not back after {release.start_us / 1e6:g} s"
    return ""


def create_release(id: str, plan: PlanFile, placements: Mapping[str, permits.UnitPlacement]) -> Release:
    """Creates the initial state of a release from the operator's plan."""
    units = list(plan.units) or [unit for unit, placement in placements.items() if placement.kind == plan.kind]
    return Release(
        id,
        plan.version,
        plan.before,
        plan_waves(placements, units),
        round(plan.settle_s * 1e6),
        round(plan.start_s * 1e6),
    )


def apply_operator_command(release: Release, command: str, why: str) -> Release | str:
    """The release after an operator's command, or an error message if its phase does not allow the command."""
    phase = release.phase
    match command:
        case "halt" if phase in ("running", "going back"):
            return replace(release, phase="halted", why=why, settled_us=0)
        case "resume" if phase == "halted":
            return replace(release, phase="running", why=why, trial=SequentialTest())
        case "back" if phase in ("running", "halted", "done"):
            return replace(release, phase="going back", why=why, wave=0, settled_us=0)
        case "abandon" if phase in ("running", "halted", "going back"):
            return replace(release, phase="abandoned", why=why)
    return f"the command {command!r} is not allowed in phase {phase!r} of a release"

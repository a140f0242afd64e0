"""The unit supervisor's state machine: carries out each order once, in the stages drain, stop, start and check.

A unit is a dispatcher or model host that a release restarts; its supervisor is the process that runs it. Pure: `step`
maps the state, the time and an event to the next state and commands. Each stage is saved before it begins
(`SaveState`), so that a supervisor that is killed between stop and start resumes with the start and never stops the
unit a second time. Orders are read from the fleet's store only, where each was written under its issuer's fence (a
number that grows with each new issuer); an order with a lower fence than one already obeyed is ignored. The issuer is
the owner of the duty `release`, a background task with one owner at a time.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import Annotated, Any, Literal

from msgspec import Meta, Struct
from msgspec.structs import replace

from yardspindle.core.config import Address, Name, NotNegative, Positive
from yardspindle.core.fleet.fences import FenceRegistry
from yardspindle.core.fleet.permits import Standing
from yardspindle.core.fleet.release_plan import Order

Stage = Literal["idle", "draining", "stopping", "starting", "checking"]
MIN_RESTART_DELAY_US, MAX_RESTART_DELAY_US = 500_000, 60_000_000  # delay before a crashed unit is restarted


class UnitFile(Struct, forbid_unknown_fields=True, frozen=True):
    """The file of `yardspindle unit FILE.toml`: a unit and its commands, in which `{version}` is substituted."""

    name: Name
    kind: Literal["dispatcher", "host"]
    fleet: Annotated[str, Meta(min_length=1)]  # path of the file with the `[fleet]` section
    versions: Annotated[tuple[str, ...], Meta(min_length=1)]  # that can be started on this machine
    run: Annotated[tuple[str, ...], Meta(min_length=1)]  # starts the unit, which is stopped by SIGTERM
    state: Annotated[str, Meta(min_length=1)]  # path of the file in which the supervisor saves its progress
    groups: dict[Literal["zone", "cell", "role", "kind", "rack"], str] = {}
    drain: tuple[str, ...] = ()  # exits once the unit is idle; if empty, the unit is drained by SIGTERM alone
    check: tuple[str, ...] = ()  # exit code 0: well, 1: cold (not yet at full capacity), other: failing
    page: Address | None = None  # address of the supervisor's HTTP page; None: `listen` of `[fleet]`
    drain_s: NotNegative = 30.0  # time-out of `drain`
    stop_s: Positive = 10.0  # from SIGTERM to SIGKILL
    start_s: Positive = 60.0  # time within which `check` must report the started unit well
    check_s: Positive = 2.0  # time-out of `check`


class SavedState(Struct, frozen=True):
    """The part of the state that survives a restart of the supervisor."""

    version: str  # the version to run
    number: int = 0  # of the last order that was begun
    done: int = 0  # number of the last order that ended, whether it was carried out or failed
    stage: Stage = "starting"
    fence: int = 0  # the highest fence obeyed
    refused: str = ""  # why the last order failed; empty if it did not
    drained: bool = False  # the last order was to drain: the unit stays drained, and is not restarted if it exits
    starts: int = 0  # number of starts begun; distinguishes each start from all others
    crashed: int = 0  # unexpected exits since the last order
    pid: int = 0  # of the running unit
    born: int = 0  # its start time as reported by the machine, because process ids are reused


@dataclass(frozen=True, slots=True)
class UnitState:
    """The state of a unit's supervisor."""

    file: UnitFile
    saved: SavedState
    stage_since_us: int = 0  # when the current stage began
    alive: bool = False  # the unit's process is running
    standing: Standing = "stopped"
    crashes: int = 0  # since the unit was last well
    restart_from_us: int = 0  # no restart before this time


# --- events


@dataclass(frozen=True, slots=True)
class OrderReceived:
    """The unit's current order in the store."""

    order: Order


@dataclass(frozen=True, slots=True)
class CommandEnded:
    """A `RunCommand` ended; `code`: the exit code, or None if it timed out."""

    what: Literal["drain", "stop", "start", "check"]
    code: int | None


@dataclass(frozen=True, slots=True)
class UnitExited:
    """The unit's process has exited unexpectedly."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic event by which restarts are scheduled."""


Event = OrderReceived | CommandEnded | UnitExited | Tick


# --- commands


@dataclass(frozen=True, slots=True)
class SaveState:
    """Save the state before the commands that follow are executed."""

    saved: SavedState


@dataclass(frozen=True, slots=True)
class RunCommand:
    """Drain, stop, start or check the unit, with the command line of its file if it has one; `CommandEnded` follows."""

    what: Literal["drain", "stop", "start", "check"]


Command = SaveState | RunCommand


def step(state: UnitState, now_us: int, event: Event) -> tuple[UnitState, tuple[Command, ...]]:
    """The next state, and the `Command`s to execute in order."""
    saved = state.saved
    match event:
        case OrderReceived(order):
            return _apply_order(state, now_us, order)
        case CommandEnded("drain", _) if saved.stage == "draining":
            # A time-out counts as drained: after so long the operators' platform does not wait for a drain either.
            if saved.drained:
                return _remain_drained(state, now_us)
            return _enter_stage(state, now_us, "stopping", RunCommand("stop"))
        case CommandEnded("stop", _) if saved.stage == "stopping":
            return _enter_stage(with_changes(state, alive=False), now_us, "starting", RunCommand("start"))
        case CommandEnded("start", code) if saved.stage == "starting":
            if code != 0:
                return _record_failed_start(state, now_us, f"version {saved.version} did not start")
            return _enter_stage(
                with_changes(state, alive=True, standing="starting"), now_us, "checking", RunCommand("check")
            )
        case CommandEnded("check", code):
            return _apply_check(state, now_us, code)
        case UnitExited():
            delay_us = min(MIN_RESTART_DELAY_US << min(state.crashes, 10), MAX_RESTART_DELAY_US)
            saved = replace(saved, crashed=saved.crashed + 1)
            exited = with_changes(
                state,
                saved=saved,
                alive=False,
                standing="stopped",
                crashes=state.crashes + 1,
                restart_from_us=now_us + delay_us,
            )
            if saved.stage == "checking":
                return _record_failed_start(exited, now_us, f"version {saved.version} ended by itself")
            return exited, (SaveState(saved),)
        case Tick():  # restarts a crashed unit with growing delays, even if the last order failed
            if not state.alive and saved.stage == "idle" and now_us >= state.restart_from_us and not saved.drained:
                return _enter_stage(state, now_us, "starting", RunCommand("start"))
    return state, ()


def resume(state: UnitState, now_us: int, alive: bool) -> tuple[UnitState, tuple[Command, ...]]:
    """Starts the supervisor, possibly in the middle of an order. `alive`: the process of the saved state still runs."""
    state = with_changes(state, alive=alive, stage_since_us=now_us)
    match state.saved.stage:
        case "draining":
            return state, (RunCommand("drain"),)
        case "stopping" if alive:
            return state, (RunCommand("stop"),)
        case "starting" if not alive:
            # The same start: a process that it already started is found by the number of the start (`starts`).
            return state, (RunCommand("start"),)
        case "stopping":
            return _enter_stage(state, now_us, "starting", RunCommand("start"))
        case "starting" | "checking":
            return _enter_stage(state, now_us, "checking", RunCommand("check"))
    return state, ()


def with_changes(state: UnitState, **changes: Any) -> UnitState:
    """A copy of the state with some fields replaced."""
    return dataclasses.replace(state, **changes)


def _enter_stage(
    state: UnitState, now_us: int, stage: Stage, command: RunCommand
) -> tuple[UnitState, tuple[Command, ...]]:
    saved = replace(state.saved, stage=stage, starts=state.saved.starts + (stage == "starting"))
    return with_changes(state, saved=saved, stage_since_us=now_us), (SaveState(saved), command)


def _remain_drained(state: UnitState, now_us: int) -> tuple[UnitState, tuple[Command, ...]]:
    saved = replace(state.saved, stage="idle", done=state.saved.number)
    return with_changes(state, saved=saved, stage_since_us=now_us, standing="draining"), (SaveState(saved),)


def _apply_order(state: UnitState, now_us: int, order: Order) -> tuple[UnitState, tuple[Command, ...]]:
    saved = state.saved
    fences = FenceRegistry({order.duty: saved.fence})
    if order.number <= saved.number or not fences.admits(order.duty, order.fence):
        return state, ()  # already carried out, or issued by a former owner of the duty `release`
    saved = replace(saved, number=order.number, fence=order.fence, refused="", drained=order.do == "drain", crashed=0)
    if order.do == "go" and order.version not in state.file.versions:
        saved = replace(
            saved, done=order.number, refused=f"version {order.version} is not in `versions` of the unit's file"
        )
        return with_changes(state, saved=saved), (SaveState(saved),)
    if order.do == "undrain":
        ordered = with_changes(state, saved=saved)
        if state.alive:
            return _enter_stage(ordered, now_us, "checking", RunCommand("check"))
        return _enter_stage(ordered, now_us, "starting", RunCommand("start"))
    if order.do == "go":
        saved = replace(saved, version=order.version)
    ordered = with_changes(state, saved=saved)
    if state.alive:
        return _enter_stage(with_changes(ordered, standing="draining"), now_us, "draining", RunCommand("drain"))
    if order.do == "go":
        return _enter_stage(ordered, now_us, "starting", RunCommand("start"))
    return _remain_drained(ordered, now_us)


def _apply_check(state: UnitState, now_us: int, code: int | None) -> tuple[UnitState, tuple[Command, ...]]:
    standing: Standing = "well" if code == 0 else "cold" if code == 1 else "failing"
    if not state.alive:
        return state, ()
    if state.saved.drained and state.saved.stage == "idle":
        return state, ()
    checked = with_changes(state, standing=standing, crashes=0 if code == 0 else state.crashes)
    if state.saved.stage != "checking":
        return checked, ()
    if code == 0:
        saved = replace(state.saved, stage="idle", done=state.saved.number, refused="")
        return with_changes(checked, saved=saved), (SaveState(saved),)
    if now_us - state.stage_since_us > state.file.start_s * 1e6:
        return _record_failed_start(
            checked, now_us, f"version {state.saved.version} is not well after {state.file.start_s:g} s"
        )
    return checked, ()


def _record_failed_start(state: UnitState, now_us: int, why: str) -> tuple[UnitState, tuple[Command, ...]]:
    """Ends a failed start. If an order asked for it, the reason is reported; a failed restart after a crash is not."""
    by_order = state.saved.done < state.saved.number
    saved = replace(
        state.saved, stage="idle", done=state.saved.number, refused=why if by_order else state.saved.refused
    )
    return with_changes(state, saved=saved, stage_since_us=now_us), (SaveState(saved),)

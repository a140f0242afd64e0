"""What the program beside a unit does next: orders carried out once, in order of drain, stop, start, check.

Pure: `step` takes the state, the time and an event. What was begun is written down before it is done (`Remember`), so
that a program that is killed between stop and start goes on with the start and never stops a second time. Orders come
from the store alone, where each was written under the fence of who gave it; one of a lower fence than one met is passed
over.
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
PAUSE_FIRST_US, PAUSE_MOST_US = 500_000, 60_000_000  # before a crashed unit is started again


class UnitFile(Struct, forbid_unknown_fields=True, frozen=True):
    """`yardspindle unit FILE.toml`: a unit, and the commands that carry out its orders. `{version}` is put in."""

    name: Name
    kind: Literal["dispatcher", "host"]
    fleet: Annotated[str, Meta(min_length=1)]  # file with the `[fleet]` section
    versions: Annotated[tuple[str, ...], Meta(min_length=1)]  # that can be started here
    run: Annotated[tuple[str, ...], Meta(min_length=1)]  # the unit itself; it is ended by SIGTERM
    state: Annotated[str, Meta(min_length=1)]  # file in which this program remembers what it has begun
    groups: dict[Literal["zone", "cell", "role", "kind", "rack"], str] = {}
    drain: tuple[str, ...] = ()  # ends when nothing runs in the unit any more; without it SIGTERM has to do
    check: tuple[str, ...] = ()  # exit code 0: well; 1: cold; else failing
    page: Address | None = None
    drain_s: NotNegative = 30.0
    stop_s: Positive = 10.0
    start_s: Positive = 60.0
    check_s: Positive = 2.0


class SavedState(Struct, frozen=True):
    """What outlasts this program."""

    version: str  # that is to run
    number: int = 0  # the last order that was begun
    done: int = 0  # the last order that was carried out
    stage: Stage = "starting"
    fence: int = 0  # the highest obeyed
    refused: str = ""
    drained: bool = False  # it stays drained, and is up
    starts: int = 0  # so many were begun: sets one start apart from every other
    crashed: int = 0  # times that it ended by itself since the last order
    pid: int = 0  # what runs
    born: int = 0  # and when it started, by the machine: a process id comes again


@dataclass(frozen=True, slots=True)
class UnitState:
    """A unit's program."""

    file: UnitFile
    saved: SavedState
    since_us: int = 0  # of the present stage
    alive: bool = False
    standing: Standing = "stopped"
    crashes: int = 0
    again_us: int = 0  # not to be started before


# --- what happens


@dataclass(frozen=True, slots=True)
class OrderReceived:
    """The order as the store has it."""

    order: Order


@dataclass(frozen=True, slots=True)
class CommandEnded:
    """A command ended: `code` None when its time was up."""

    what: Literal["drain", "stop", "start", "check"]
    code: int | None


@dataclass(frozen=True, slots=True)
class UnitExited:
    """What ran has ended."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time went by."""


Event = OrderReceived | CommandEnded | UnitExited | Tick


# --- what is to be done


@dataclass(frozen=True, slots=True)
class SaveState:
    """Write the memory down before what follows."""

    memory: SavedState


@dataclass(frozen=True, slots=True)
class RunCommand:
    """Run a command; answered by `Ended`."""

    what: Literal["drain", "stop", "start", "check"]


Command = SaveState | RunCommand


def step(state: UnitState, now_us: int, event: Event) -> tuple[UnitState, tuple[Command, ...]]:
    """The next state, and what is to be done, in order."""
    memory = state.saved
    match event:
        case OrderReceived(order):
            return _ordered(state, now_us, order)
        case CommandEnded("drain", _) if (
            memory.stage == "draining"
        ):  # drained, or its time is up: the platform's would be too
            if memory.drained:
                return _stay(state, now_us)
            return _stage(state, now_us, "stopping", RunCommand("stop"))
        case CommandEnded("stop", _) if memory.stage == "stopping":
            return _stage(with_changes(state, alive=False), now_us, "starting", RunCommand("start"))
        case CommandEnded("start", code) if memory.stage == "starting":
            if code != 0:
                return _failed(state, now_us, f"version {memory.version} did not start")
            return _stage(with_changes(state, alive=True, standing="starting"), now_us, "checking", RunCommand("check"))
        case CommandEnded("check", code):
            return _checked(state, now_us, code)
        case UnitExited():
            pause_us = min(PAUSE_FIRST_US << min(state.crashes, 10), PAUSE_MOST_US)
            memory = replace(memory, crashed=memory.crashed + 1)
            down = with_changes(
                state,
                saved=memory,
                alive=False,
                standing="stopped",
                crashes=state.crashes + 1,
                again_us=now_us + pause_us,
            )
            if memory.stage == "checking":
                return _failed(down, now_us, f"version {memory.version} ended by itself")
            return down, (SaveState(memory),)
        case Tick():  # what ended by itself is started again, at growing pauses, whether or not an order went wrong
            if not state.alive and memory.stage == "idle" and now_us >= state.again_us and not memory.drained:
                return _stage(state, now_us, "starting", RunCommand("start"))
    return state, ()


def resume(state: UnitState, now_us: int, alive: bool) -> tuple[UnitState, tuple[Command, ...]]:
    """This program begins, perhaps in the middle of an order; `alive`: what it remembers still runs."""
    state = with_changes(state, alive=alive, since_us=now_us)
    match state.saved.stage:
        case "draining":
            return state, (RunCommand("drain"),)
        case "stopping" if alive:
            return state, (RunCommand("stop"),)
        case "starting" if not alive:
            return state, (RunCommand("start"),)  # the same start: if it was made, it is found by its mark
        case "stopping":
            return _stage(state, now_us, "starting", RunCommand("start"))
        case "starting" | "checking":
            return _stage(state, now_us, "checking", RunCommand("check"))
    return state, ()


def with_changes(state: UnitState, **changes: Any) -> UnitState:
    """A copy of the state with some fields replaced."""
    return dataclasses.replace(state, **changes)


def _stage(state: UnitState, now_us: int, stage: Stage, do: RunCommand) -> tuple[UnitState, tuple[Command, ...]]:
    memory = replace(state.saved, stage=stage, starts=state.saved.starts + (stage == "starting"))
    return with_changes(state, saved=memory, since_us=now_us), (SaveState(memory), do)


def _stay(state: UnitState, now_us: int) -> tuple[UnitState, tuple[Command, ...]]:
    memory = replace(state.saved, stage="idle", done=state.saved.number)
    return with_changes(state, saved=memory, since_us=now_us, standing="draining"), (SaveState(memory),)


def _ordered(state: UnitState, now_us: int, order: Order) -> tuple[UnitState, tuple[Command, ...]]:
    memory = state.saved
    fences = FenceRegistry({order.duty: memory.fence})
    if order.number <= memory.number or not fences.admits(order.duty, order.fence):
        return state, ()  # carried out before, or of an owner who was replaced
    memory = replace(memory, number=order.number, fence=order.fence, refused="", drained=order.do == "drain", crashed=0)
    if order.do == "go" and order.version not in state.file.versions:
        memory = replace(memory, done=order.number, refused=f"version {order.version} is not here")
        return with_changes(state, saved=memory), (SaveState(memory),)
    if order.do == "undrain":
        ordered = with_changes(state, saved=memory)
        if state.alive:
            return _stage(ordered, now_us, "checking", RunCommand("check"))
        return _stage(ordered, now_us, "starting", RunCommand("start"))
    if order.do == "go":
        memory = replace(memory, version=order.version)
    ordered = with_changes(state, saved=memory)
    if state.alive:
        return _stage(with_changes(ordered, standing="draining"), now_us, "draining", RunCommand("drain"))
    if order.do == "go":
        return _stage(ordered, now_us, "starting", RunCommand("start"))
    return _stay(ordered, now_us)


def _checked(state: UnitState, now_us: int, code: int | None) -> tuple[UnitState, tuple[Command, ...]]:
    standing: Standing = "well" if code == 0 else "cold" if code == 1 else "failing"
    if not state.alive:
        return state, ()
    if state.saved.drained and state.saved.stage == "idle":
        return state, ()
    checked = with_changes(state, standing=standing, crashes=0 if code == 0 else state.crashes)
    if state.saved.stage != "checking":
        return checked, ()
    if code == 0:
        memory = replace(state.saved, stage="idle", done=state.saved.number, refused="")
        return with_changes(checked, saved=memory), (SaveState(memory),)
    if now_us - state.since_us > state.file.start_s * 1e6:
        return _failed(checked, now_us, f"version {state.saved.version} is not well after {state.file.start_s:g} s")
    return checked, ()


def _failed(state: UnitState, now_us: int, why: str) -> tuple[UnitState, tuple[Command, ...]]:
    """A start ended badly. That of an order is told, for whoever decides; after a crash it is one more crash."""
    ordered = state.saved.done < state.saved.number
    memory = replace(
        state.saved, stage="idle", done=state.saved.number, refused=why if ordered else state.saved.refused
    )
    return with_changes(state, saved=memory, since_us=now_us), (SaveState(memory),)

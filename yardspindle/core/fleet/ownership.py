"""One owner at a time: what a process that may own duties does next, from what it knows and what has just happened.

A duty's key lies under its owner's lease in the store; its fence is the revision at which it was taken. The owner
counts its lease from before the call that last kept it alive was sent, less a margin, and stops by itself before the
store gives the duty away. That is a courtesy: a process that sleeps through it and wakes is stopped by the fence,
which every store write compares and every receiver of orders checks.

Pure: `step` takes a state, the time on the process's own clock and an event, and gives the next state with what is to
be done. The program runs it, the seeded worlds play it, and the explicit-state model checks it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from yardspindle.core.fleet import duty_assignment

TURN_PART = 0.1  # of the time to live: what each place behind the first in turn waits before it takes a free duty
SETTLE_PART = 1.0  # of it: how long nothing may have changed hands before excess is handed over
LOSSES_MOST = 6  # doublings of the pause after lost leases and restarts
HEALTH_WEIGHT = 0.2  # of the last store call in the running mean of how many succeed
SICK, WELL = 0.6, 0.9  # under the first a process takes nothing more, until it is back over the second


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Microseconds. `margin_us`: what clocks may drift apart in a time to live, and an order's way to its receiver."""

    ttl_us: int
    margin_us: int


@dataclass(frozen=True, slots=True)
class Holder:
    """Who holds a duty, by the store."""

    name: str
    lease: int
    fence: int


@dataclass(frozen=True, slots=True)
class DutyView:
    """What the store told last, at one revision."""

    revision: int = 0
    duties: Mapping[str, Holder] = field(default_factory=dict)
    candidates: frozenset[str] = frozenset()
    wanted: frozenset[str] = frozenset()  # the duties that there are


@dataclass(frozen=True, slots=True)
class OwnershipState:
    """One process."""

    name: str
    figures: LeaseTiming
    lease: int = 0
    until_us: int = 0  # by its own clock it may act before this; 0 with no lease
    asking: bool = False  # a call for a lease is out
    held: tuple[tuple[str, int], ...] = ()  # duty, fence
    open: tuple[str, ...] = ()  # takes whose outcome is not known yet
    view: DutyView = field(default_factory=DutyView)
    free_us: tuple[tuple[str, int], ...] = ()  # duty, since when it is seen free
    changed_us: int = 0  # when a duty was last seen to change hands
    losses: int = 0  # leases lost, and starts soon after one another
    able_us: int = 0  # takes nothing before this
    health: float = 1.0
    sick: bool = False
    clock_skewed: bool = False  # its clock is out by more than leases bear
    leaving: bool = False


# --- what happens


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A lease was granted; `sent_us`: the own clock before the call was sent."""

    lease: int
    sent_us: int
    ttl_us: int


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """A lease was kept alive; `ttl_us` 0: the store has ended it."""

    lease: int
    sent_us: int
    ttl_us: int


@dataclass(frozen=True, slots=True)
class StoreCallFailed:
    """A store call failed or its answer was lost."""

    granting: bool = False


@dataclass(frozen=True, slots=True)
class ViewUpdated:
    """What the store holds now."""

    seen: DutyView


@dataclass(frozen=True, slots=True)
class AcquireResult:
    """A duty as the store has it, after a take whose outcome was lost, or the answer to a take."""

    duty: str
    lease: int  # that the take was made under
    holder: Holder | None
    revision: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Time went by."""


@dataclass(frozen=True, slots=True)
class ClockChecked:
    """Whether the clock is out by too much."""

    yes: bool


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The process is to end: hand everything over."""


@dataclass(frozen=True, slots=True)
class Restarted:
    """This process started again soon after an earlier start, so many times in a row."""

    times: int


Event = (
    LeaseGranted
    | LeaseRenewed
    | StoreCallFailed
    | ViewUpdated
    | AcquireResult
    | Tick
    | ClockChecked
    | ShutdownRequested
    | Restarted
)


# --- what is to be done


@dataclass(frozen=True, slots=True)
class RequestLease:
    """Ask for a lease, and register under it."""


@dataclass(frozen=True, slots=True)
class AcquireDuty:
    """Put the duty's key under the lease, if there is none; answer with `Looked`, or look it up when it is unknown."""

    duty: str
    lease: int


@dataclass(frozen=True, slots=True)
class StartDuty:
    """Act for a duty with this fence."""

    duty: str
    fence: int


@dataclass(frozen=True, slots=True)
class StopDuty:
    """Act no more for a duty; `hand_over`: then remove its key, if it still has this fence."""

    duty: str
    fence: int
    hand_over: bool
    why: str


Command = RequestLease | AcquireDuty | StartDuty | StopDuty


def start(name: str, figures: LeaseTiming, now_us: int) -> tuple[OwnershipState, tuple[Command, ...]]:
    """A process begins."""
    return OwnershipState(name, figures, asking=True, able_us=now_us), (RequestLease(),)


def may_act(state: OwnershipState, now_us: int, duty: str) -> int | None:
    """The fence to act with, or None: asked anew before each act."""
    if now_us >= state.until_us or state.clock_skewed:
        return None
    return dict(state.held).get(duty)


def is_eligible(state: OwnershipState, now_us: int) -> bool:
    """Whether it may take a duty now; said in its registration, so that others need not wait for it."""
    return (
        now_us >= state.able_us
        and not state.sick
        and not state.clock_skewed
        and not state.leaving
        and now_us < state.until_us
    )


def step(state: OwnershipState, now_us: int, event: Event) -> tuple[OwnershipState, tuple[Command, ...]]:
    """The next state, and what is to be done, in order."""
    commands: list[Command] = []
    state = _expire_lease(state, now_us, commands)
    match event:
        case LeaseGranted(lease, sent_us, ttl_us):
            if state.asking and sent_us + ttl_us - state.figures.margin_us > now_us:
                state = replace(state, lease=lease, asking=False, until_us=sent_us + ttl_us - state.figures.margin_us)
            elif state.asking:  # it came too late to be of use
                state = replace(state, asking=True)
                commands.append(RequestLease())
            state = _heard(state, True)
        case LeaseRenewed(lease, sent_us, ttl_us) if lease == state.lease:
            if ttl_us:
                state = replace(state, until_us=max(state.until_us, sent_us + ttl_us - state.figures.margin_us))
                state = _heard(state, True)
            else:
                state = _lose(state, now_us, commands, "the store has ended its lease")
        case StoreCallFailed(granting):
            state = _heard(state, False)
            if granting and state.asking:
                commands.append(RequestLease())
        case ViewUpdated(seen) if seen.revision >= state.view.revision:
            state = _told(state, now_us, seen, commands)
        case AcquireResult(duty, lease, holder, revision):
            state = _apply_acquire_result(state, now_us, duty, lease, holder, revision, commands)
        case ClockChecked(yes):
            if yes and not state.clock_skewed:
                state = _drop(state, now_us, state.held, commands, True, "its clock is out")
            state = replace(state, clock_skewed=yes)
        case Restarted(times) if times:
            state = replace(
                state,
                losses=state.losses + times,
                able_us=max(state.able_us, now_us + (state.figures.ttl_us << min(times - 1, LOSSES_MOST))),
            )
        case ShutdownRequested():
            state = _drop(replace(state, leaving=True), now_us, state.held, commands, True, "it ends")
        case _:
            pass
    return _choose(state, now_us, commands), tuple(commands)


def _expire_lease(state: OwnershipState, now_us: int, commands: list[Command]) -> OwnershipState:
    """Its time is over by its own clock: it stops, whatever the store says."""
    if state.lease and now_us >= state.until_us:
        return _lose(state, now_us, commands, "its lease could not be kept alive")
    return state


def _lose(state: OwnershipState, now_us: int, commands: list[Command], why: str) -> OwnershipState:
    state = _drop(state, now_us, state.held, commands, False, why)
    losses = state.losses + 1
    pause_us = state.figures.ttl_us << min(losses - 1, LOSSES_MOST)
    commands.append(RequestLease())
    return replace(state, lease=0, until_us=0, asking=True, open=(), losses=losses, able_us=now_us + pause_us)


def _drop(
    state: OwnershipState,
    now_us: int,
    duties: tuple[tuple[str, int], ...],
    commands: list[Command],
    hand_over: bool,
    why: str,
) -> OwnershipState:
    for duty, fence in duties:
        commands.append(StopDuty(duty, fence, hand_over, why))
    return replace(state, held=tuple(row for row in state.held if row not in duties), changed_us=now_us)


def _heard(state: OwnershipState, well: bool) -> OwnershipState:
    health = state.health + HEALTH_WEIGHT * (well - state.health)
    return replace(state, health=health, sick=health < (WELL if state.sick else SICK))


def _told(state: OwnershipState, now_us: int, seen: DutyView, commands: list[Command]) -> OwnershipState:
    """What is ours by our books and not by the store's is lost; a duty is free from when it is seen to be."""
    lost = tuple(
        (duty, fence)
        for duty, fence in state.held
        if fence <= seen.revision and seen.duties.get(duty) != Holder(state.name, state.lease, fence)
    )
    state = _drop(state, now_us, lost, commands, False, "the store has given it away") if lost else state
    since = dict(state.free_us)
    free = sorted(duty for duty in seen.wanted if duty not in seen.duties)
    state = replace(
        state,
        view=seen,
        free_us=tuple((duty, since.get(duty, now_us)) for duty in free),
        changed_us=now_us if dict(seen.duties) != dict(state.view.duties) else state.changed_us,
    )
    unwanted = tuple(row for row in state.held if row[0] not in seen.wanted)
    return _drop(state, now_us, unwanted, commands, True, "there is no such duty any more") if unwanted else state


def _apply_acquire_result(
    state: OwnershipState,
    now_us: int,
    duty: str,
    lease: int,
    holder: Holder | None,
    revision: int,
    commands: list[Command],
) -> OwnershipState:
    if lease != state.lease or duty not in state.open:
        return state  # taken under a lease that is over: the key goes with it
    state = replace(state, open=tuple(name for name in state.open if name != duty))
    if holder is None or (holder.name, holder.lease) != (state.name, state.lease):
        return state
    if state.leaving or state.clock_skewed:
        commands.append(StopDuty(duty, holder.fence, True, "it came too late"))
        return state
    commands.append(StartDuty(duty, holder.fence))
    return replace(
        state,
        held=(*state.held, (duty, holder.fence)),
        changed_us=now_us,
        free_us=tuple(row for row in state.free_us if row[0] != duty),
    )


def _holders(state: OwnershipState) -> dict[str, str]:
    """Duty to name, with what we hold or are about to, which the store's last word may not have yet."""
    holders = {duty: holder.name for duty, holder in state.view.duties.items()}
    return holders | dict.fromkeys([duty for duty, _ in state.held] + list(state.open), state.name)


def _choose(state: OwnershipState, now_us: int, commands: list[Command]) -> OwnershipState:
    """Take what is free and our turn; hand over one of too many."""
    if not is_eligible(state, now_us):
        return state
    holders = _holders(state)
    candidates = state.view.candidates | {state.name}
    free = {duty: since for duty, since in state.free_us if duty not in holders}
    pause_us = TURN_PART * state.figures.ttl_us
    taken: list[str] = []
    for duty, order in duty_assignment.candidate_orders(free, holders, candidates).items():
        if now_us - free[duty] >= order.index(state.name) * pause_us:
            taken.append(duty)
            commands.append(AcquireDuty(duty, state.lease))
    state = replace(state, open=(*state.open, *taken))
    settled = now_us - state.changed_us >= SETTLE_PART * state.figures.ttl_us
    if settled and not free and not state.open:
        spare = duty_assignment.duty_to_hand_over(state.name, holders, candidates)
        rows = tuple(row for row in state.held if row[0] == spare)
        if rows:
            return _drop(state, now_us, rows, commands, True, "another holds fewer")
    return state

"""The duty ownership protocol: each duty has at most one owner at a time, enforced by leases and fencing tokens.

A duty is a background task of the fleet; its owner is a steward (a process that runs duties). It acts by writes to the
store and by orders: commands to other processes, such as engines. The store is a key-value store that the fleet's
processes share: etcd or a file. A duty's key in the store is attached to its owner's lease; its fence is the revision
at which it was acquired. The owner measures its lease from before the last successful renewal was sent, less a margin,
and stops on its own before the store can give the duty to another. Safety does not depend on that: a process that was
suspended past its lease and resumes is stopped by the fence, which every store write compares and every process that
receives orders checks.

Pure: `step` maps a state, the time on the process's own clock and an event to the next state and the commands to
execute. It is run by the steward, by the seeded simulations and by the explicit-state model checker.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from yardspindle.core.fleet import duty_assignment

TURN_DELAY_FRACTION = 0.1  # of the lease's time to live (TTL): delay per rank before a candidate takes a free duty
SETTLE_FRACTION = 1.0  # of the TTL: how long ownership must be unchanged before excess duties are handed over
MAX_BACKOFF_DOUBLINGS = 6  # of the delay after lost leases and restarts
SUCCESS_RATE_WEIGHT = 0.2  # weight of the latest store call in the moving average of successes
# Success rates of store calls: below the first a process acquires no duties until the rate reaches the second again.
UNHEALTHY_BELOW, HEALTHY_ABOVE = 0.6, 0.9


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """In microseconds. `margin_us` covers clock drift within one TTL, and the time that an order takes to arrive."""

    ttl_us: int
    margin_us: int


@dataclass(frozen=True, slots=True)
class Holder:
    """The holder of a duty according to the store."""

    name: str
    lease: int
    fence: int


@dataclass(frozen=True, slots=True)
class DutyView:
    """The latest known contents of the store that matter for ownership, at one of its revisions."""

    revision: int = 0
    duties: Mapping[str, Holder] = field(default_factory=dict)
    candidates: frozenset[str] = frozenset()
    required: frozenset[str] = frozenset()  # the duties that must be owned


@dataclass(frozen=True, slots=True)
class OwnershipState:
    """The protocol state of one steward."""

    name: str
    timing: LeaseTiming
    lease: int = 0
    lease_valid_until_us: int = 0  # by its own clock; until then it may act for its duties; 0: no lease
    lease_requested: bool = False  # a lease request is in flight
    held: tuple[tuple[str, int], ...] = ()  # duty and fence
    pending: tuple[str, ...] = ()  # duties with an acquire whose outcome is not known yet
    view: DutyView = field(default_factory=DutyView)
    free_since_us: tuple[tuple[str, int], ...] = ()  # duty, and when it was first seen without an owner
    last_change_us: int = 0  # when a duty last changed owner
    losses: int = 0  # leases lost since its start, plus the restarts reported then; never reset
    eligible_from_us: int = 0  # acquires no duty before this time
    store_success_rate: float = 1.0  # moving average
    store_unhealthy: bool = False
    clock_skewed: bool = False  # by more than the lease margin tolerates
    leaving: bool = False


# --- events


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """The store granted a lease; `sent_us`: local time before the call was sent."""

    lease: int
    sent_us: int
    ttl_us: int


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """The store answered a renewal of the lease; `ttl_us` is 0 if it has ended the lease."""

    lease: int
    sent_us: int
    ttl_us: int


@dataclass(frozen=True, slots=True)
class StoreCallFailed:
    """A store call failed or its answer was lost."""

    granting: bool = False  # the call was a lease request


@dataclass(frozen=True, slots=True)
class ViewUpdated:
    """A new view of the store is available."""

    view: DutyView


@dataclass(frozen=True, slots=True)
class AcquireResult:
    """Who holds a duty after an attempt to acquire it: from the store's answer, or read later if that was lost."""

    duty: str
    lease: int  # under which this process tried to acquire it
    holder: Holder | None
    revision: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic event by which time-outs are checked."""


@dataclass(frozen=True, slots=True)
class ClockChecked:
    """Whether this process's clock is reported as skewed by the owner of the duty `clock` (`clock_skew.py`)."""

    skewed: bool


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The process is shutting down and hands over all its duties."""


@dataclass(frozen=True, slots=True)
class Restarted:
    """The process has restarted `times` times in quick succession."""

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


# --- commands


@dataclass(frozen=True, slots=True)
class RequestLease:
    """Request a lease from the store, and register this process as a member under it."""


@dataclass(frozen=True, slots=True)
class AcquireDuty:
    """Create the duty's key under the lease unless it exists; report an `AcquireResult`, even if the answer is lost."""

    duty: str
    lease: int


@dataclass(frozen=True, slots=True)
class StartDuty:
    """Start acting for a duty with this fence."""

    duty: str
    fence: int


@dataclass(frozen=True, slots=True)
class StopDuty:
    """Stop acting for a duty; if `hand_over`, then delete its key, provided that it still has this fence."""

    duty: str
    fence: int
    hand_over: bool
    why: str


Command = RequestLease | AcquireDuty | StartDuty | StopDuty


def start(name: str, timing: LeaseTiming, now_us: int) -> tuple[OwnershipState, tuple[Command, ...]]:
    """The initial state and commands of a process."""
    return OwnershipState(name, timing, lease_requested=True, eligible_from_us=now_us), (RequestLease(),)


def may_act(state: OwnershipState, now_us: int, duty: str) -> int | None:
    """Whether the process may act for a duty: the fence to act with, or else None; asked again before every action."""
    if now_us >= state.lease_valid_until_us or state.clock_skewed:
        return None
    return dict(state.held).get(duty)


def is_eligible(state: OwnershipState, now_us: int) -> bool:
    """Whether it may acquire duties now; published in its registration, so that other stewards need not wait for it."""
    return (
        now_us >= state.eligible_from_us
        and not state.store_unhealthy
        and not state.clock_skewed
        and not state.leaving
        and now_us < state.lease_valid_until_us
    )


def step(state: OwnershipState, now_us: int, event: Event) -> tuple[OwnershipState, tuple[Command, ...]]:
    """The next state, and the commands to execute in order."""
    commands: list[Command] = []
    state = _expire_lease(state, now_us, commands)
    match event:
        case LeaseGranted(lease, sent_us, ttl_us):
            if state.lease_requested and sent_us + ttl_us - state.timing.margin_us > now_us:
                state = replace(
                    state,
                    lease=lease,
                    lease_requested=False,
                    lease_valid_until_us=sent_us + ttl_us - state.timing.margin_us,
                )
            elif state.lease_requested:  # the grant arrived too late to be used: request another
                state = replace(state, lease_requested=True)
                commands.append(RequestLease())
            state = _record_store_call(state, True)
        case LeaseRenewed(lease, sent_us, ttl_us) if lease == state.lease:
            if ttl_us:
                state = replace(
                    state,
                    lease_valid_until_us=max(state.lease_valid_until_us, sent_us + ttl_us - state.timing.margin_us),
                )
                state = _record_store_call(state, True)
            else:
                state = _lose_lease(state, now_us, commands, "the store has ended its lease")
        case StoreCallFailed(granting):
            state = _record_store_call(state, False)
            if granting and state.lease_requested:
                commands.append(RequestLease())
        case ViewUpdated(view) if view.revision >= state.view.revision:
            state = _apply_view(state, now_us, view, commands)
        case AcquireResult(duty, lease, holder, revision):
            state = _apply_acquire_result(state, now_us, duty, lease, holder, revision, commands)
        case ClockChecked(skewed):
            if skewed and not state.clock_skewed:
                state = _stop_duties(state, now_us, state.held, commands, True, "its clock is skewed")
            state = replace(state, clock_skewed=skewed)
        case Restarted(times) if times:
            state = replace(
                state,
                losses=state.losses + times,
                eligible_from_us=max(
                    state.eligible_from_us, now_us + (state.timing.ttl_us << min(times - 1, MAX_BACKOFF_DOUBLINGS))
                ),
            )
        case ShutdownRequested():
            state = _stop_duties(
                replace(state, leaving=True), now_us, state.held, commands, True, "the process is shutting down"
            )
        case _:
            pass
    return _choose_duties(state, now_us, commands), tuple(commands)


def _expire_lease(state: OwnershipState, now_us: int, commands: list[Command]) -> OwnershipState:
    """Gives up a lease that has expired by the process's own clock, whatever the store says."""
    if state.lease and now_us >= state.lease_valid_until_us:
        return _lose_lease(state, now_us, commands, "its lease could not be kept alive")
    return state


def _lose_lease(state: OwnershipState, now_us: int, commands: list[Command], why: str) -> OwnershipState:
    state = _stop_duties(state, now_us, state.held, commands, False, why)
    losses = state.losses + 1
    backoff_us = state.timing.ttl_us << min(losses - 1, MAX_BACKOFF_DOUBLINGS)
    commands.append(RequestLease())
    return replace(
        state,
        lease=0,
        lease_valid_until_us=0,
        lease_requested=True,
        pending=(),
        losses=losses,
        eligible_from_us=now_us + backoff_us,
    )


def _stop_duties(
    state: OwnershipState,
    now_us: int,
    duties: tuple[tuple[str, int], ...],
    commands: list[Command],
    hand_over: bool,
    why: str,
) -> OwnershipState:
    for duty, fence in duties:
        commands.append(StopDuty(duty, fence, hand_over, why))
    return replace(state, held=tuple(entry for entry in state.held if entry not in duties), last_change_us=now_us)


def _record_store_call(state: OwnershipState, succeeded: bool) -> OwnershipState:
    rate = state.store_success_rate + SUCCESS_RATE_WEIGHT * (succeeded - state.store_success_rate)
    return replace(
        state,
        store_success_rate=rate,
        store_unhealthy=rate < (HEALTHY_ABOVE if state.store_unhealthy else UNHEALTHY_BELOW),
    )


def _apply_view(state: OwnershipState, now_us: int, view: DutyView, commands: list[Command]) -> OwnershipState:
    """Stops duties that the store no longer assigns to this process, and tracks since when duties are free."""
    lost = tuple(
        (duty, fence)
        for duty, fence in state.held
        if fence <= view.revision and view.duties.get(duty) != Holder(state.name, state.lease, fence)
    )
    state = (
        _stop_duties(state, now_us, lost, commands, False, "the store no longer names this process as the owner")
        if lost
        else state
    )
    free_since_us = dict(state.free_since_us)
    free = sorted(duty for duty in view.required if duty not in view.duties)
    state = replace(
        state,
        view=view,
        free_since_us=tuple((duty, free_since_us.get(duty, now_us)) for duty in free),
        last_change_us=now_us if dict(view.duties) != dict(state.view.duties) else state.last_change_us,
    )
    obsolete = tuple(entry for entry in state.held if entry[0] not in view.required)
    return _stop_duties(state, now_us, obsolete, commands, True, "the duty no longer exists") if obsolete else state


def _apply_acquire_result(
    state: OwnershipState,
    now_us: int,
    duty: str,
    lease: int,
    holder: Holder | None,
    revision: int,
    commands: list[Command],
) -> OwnershipState:
    if lease != state.lease or duty not in state.pending:
        # The lease has ended, and the store deletes its keys; or this acquire's result was reported before.
        return state
    state = replace(state, pending=tuple(name for name in state.pending if name != duty))
    if holder is None or (holder.name, holder.lease) != (state.name, state.lease):
        return state
    if state.leaving or state.clock_skewed:
        commands.append(StopDuty(duty, holder.fence, True, "acquired after the process had become ineligible"))
        return state
    commands.append(StartDuty(duty, holder.fence))
    return replace(
        state,
        held=(*state.held, (duty, holder.fence)),
        last_change_us=now_us,
        free_since_us=tuple(entry for entry in state.free_since_us if entry[0] != duty),
    )


def _expected_holders(state: OwnershipState) -> dict[str, str]:
    """Holder names by duty, including duties acquired or being acquired here that the view may not show yet."""
    holders = {duty: holder.name for duty, holder in state.view.duties.items()}
    return holders | dict.fromkeys([duty for duty, _ in state.held] + list(state.pending), state.name)


def _choose_duties(state: OwnershipState, now_us: int, commands: list[Command]) -> OwnershipState:
    """Acquires free duties once this process's turn has come; hands over one duty if it holds too many."""
    if not is_eligible(state, now_us):
        return state
    holders = _expected_holders(state)
    candidates = state.view.candidates | {state.name}
    free_since_us = {duty: since_us for duty, since_us in state.free_since_us if duty not in holders}
    turn_us = TURN_DELAY_FRACTION * state.timing.ttl_us
    acquired: list[str] = []
    for duty, order in duty_assignment.candidate_orders(free_since_us, holders, candidates).items():
        if now_us - free_since_us[duty] >= order.index(state.name) * turn_us:
            acquired.append(duty)
            commands.append(AcquireDuty(duty, state.lease))
    state = replace(state, pending=(*state.pending, *acquired))
    settled = now_us - state.last_change_us >= SETTLE_FRACTION * state.timing.ttl_us
    if settled and not free_since_us and not state.pending:
        excess = duty_assignment.duty_to_hand_over(state.name, holders, candidates)
        entries = tuple(entry for entry in state.held if entry[0] == excess)
        if entries:
            return _stop_duties(state, now_us, entries, commands, True, "another process holds fewer duties")
    return state

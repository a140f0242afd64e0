"""Explicit-state model checker for duty ownership: two processes, one store and one receiver, every order of events.

The processes run the production transition function, the store the production transactions, and the receiver the
production fence check. The model adds only the environment: calls commit late, answers are late or lost, a process
stops at any point, an order waits in a socket, the store ends a lease early. Calls other than acquisitions are answered
at once, except that one lease renewal may be answered late.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from yardspindle.core.fleet import ownership as own
from yardspindle.core.fleet.fences import FenceRegistry
from yardspindle.core.fleet.kv import Put
from yardspindle.core.fleet.kv_model import StoreModel
from yardspindle.core.fleet.members import FleetKeys, Owner, decode_holder

KEYS, DUTY = FleetKeys("m"), "d"
STEP_US = 1_000_000  # one time step; leases last whole seconds
NAMES = ("a", "b")


@dataclass(frozen=True)
class Call:
    """A store call in flight; `answer` is set once it has committed."""

    who: int
    # grant, keep: get or renew a lease; take: acquire the duty; look: read the duty's owner after the answer to `take`
    # is lost; over: hand the duty over
    kind: str
    sent_us: int
    lease: int = 0
    fence: int = 0
    answer: object = None
    done: bool = False


@dataclass(frozen=True)
class ModelState:
    """One state of the model: processes, calls and orders in flight, and the store."""

    now: int
    states: tuple[own.OwnershipState, ...]
    calls: tuple[Call, ...]
    stopped: tuple[bool, ...]
    orders: tuple[tuple[int, int], ...]  # process and fence of orders waiting in a socket
    accepted: tuple[int, ...]  # fences of the orders obeyed, in order
    highest: int
    written: tuple[int, ...]  # fences of writes that the store accepted
    store: StoreModel
    early: bool  # a lease was ended early
    ever_stopped: bool
    lost: int  # answers lost so far
    late: bool = False  # an answer has been delayed

    def key(self) -> str:
        store = (
            self.store.revision,
            sorted((n, k.expires_us) for n, k in self.store.leases.items()),
            self.store.rows(b"\0", b"\0"),
        )
        return repr(
            (
                self.now,
                self.states,
                self.calls,
                self.stopped,
                self.orders,
                self.accepted[-1:],
                self.highest,
                self.written[-1:],
                store,
                self.early,
                self.ever_stopped,
                self.lost,
                self.late,
            )
        )


@dataclass(frozen=True)
class ModelOptions:
    """Options of a search: guards that can be removed, events that may occur, and bounds.

    With a guard removed the search must find the violation that the guard prevents.
    """

    receiver_compares: bool = True
    store_compares: bool = True
    lease_counts_from_send: bool = True
    late: bool = False  # the answer to one lease renewal may be late
    lost: bool = False  # the answer to one acquisition may be lost
    stops: bool = False  # one process may stop and wake up again
    orders: int = 0  # how many orders may wait in sockets at once
    early: bool = False  # the store may end one lease early
    ttl: int = 3  # of leases, in time steps; also `margin` and `until`
    margin: int = 1  # by which an owner stops acting before its lease ends
    until: int = 7  # when the model's time ends
    states: int = 20_000  # maximum number of states searched


class Explorer:
    """Searches all reachable states breadth first for a violation."""

    def __init__(self, rules: ModelOptions) -> None:
        self.rules = rules

    def initial(self) -> ModelState:
        states, calls = [], []
        for who, name in enumerate(NAMES):
            state, commands = own.start(name, own.LeaseTiming(self.rules.ttl * STEP_US, self.rules.margin * STEP_US), 0)
            states.append(state)
            calls += self._calls_for(who, 0, commands)
        model = ModelState(0, tuple(states), (), (False, False), (), (), 0, (), StoreModel(), False, False, 0)
        for call in calls:
            model = self._commit(model, model.calls, call)
            model = self._deliver_answer(model, model.calls[:-1], model.calls[-1])
        return model

    def _calls_for(self, who: int, now: int, commands: tuple[own.Command, ...]) -> list[Call]:
        calls = []
        for command in commands:
            match command:
                case own.RequestLease():
                    calls.append(Call(who, "grant", now))
                case own.AcquireDuty(_, lease):
                    calls.append(Call(who, "take", now, lease))
                case own.StopDuty(_, fence, True, _):
                    calls.append(Call(who, "over", now, fence=fence))
                case _:
                    pass
        return calls

    def feed(self, model: ModelState, who: int, event: own.Event) -> ModelState:
        state, commands = own.step(model.states[who], model.now, event)
        states = list(model.states)
        states[who] = state
        model = replace(model, states=tuple(states))
        for call in self._calls_for(who, model.now, commands):
            if call.kind == "take":
                model = replace(model, calls=(*model.calls, call))
            else:  # answered at once; their failures are covered by the seeded simulations
                model = self._commit(model, model.calls, call)
                model = self._deliver_answer(model, model.calls[:-1], model.calls[-1])
        return model

    # --- possible next events

    def successors(self, model: ModelState) -> Iterator[tuple[str, ModelState]]:
        if model.now < self.rules.until * STEP_US:
            yield "time", self._advance_time(model, False)
            if self.rules.late and not model.late:
                yield "time, and an answer that is late", self._advance_time(model, True)
        for at, call in enumerate(model.calls):
            rest = model.calls[:at] + model.calls[at + 1 :]
            if call.done and not model.stopped[call.who]:
                yield f"late answer to {NAMES[call.who]}", self._deliver_answer(model, rest, call)
            elif not call.done:
                then = self._commit(model, rest, call)
                answered = then.calls[-1]
                if not model.stopped[call.who]:
                    yield f"{NAMES[call.who]} takes", self._deliver_answer(then, then.calls[:-1], answered)
                if self.rules.lost and not model.lost:
                    look = Call(call.who, "look", model.now, call.lease, done=True)
                    yield "an answer is lost", replace(then, lost=1, calls=(*then.calls[:-1], look))
        for who in range(2):
            fence = own.may_act(model.states[who], model.now, DUTY)
            room = len(model.orders) < self.rules.orders and (who, fence) not in model.orders
            if fence is not None and not model.stopped[who] and room:
                yield f"{NAMES[who]} orders", replace(model, orders=(*model.orders, (who, fence)))
            if model.stopped[who]:
                yield f"{NAMES[who]} wakes", replace(model, stopped=(False, False))
            elif self.rules.stops and not model.ever_stopped and fence is not None:
                stopped = (who == 0, who == 1)
                yield f"{NAMES[who]} is stopped", replace(model, stopped=stopped, ever_stopped=True)
        for at, (who, fence) in enumerate(model.orders):
            left = model.orders[:at] + model.orders[at + 1 :]
            yield f"order {fence} of {NAMES[who]} arrives", self._deliver_order(replace(model, orders=left), fence)
        if model.store.leases and not model.early and self.rules.early:
            store = model.store.copy()
            store.revoke(min(store.leases))
            yield "a lease ends early", replace(model, store=store, early=True)

    def _advance_time(self, model: ModelState, late: bool) -> ModelState:
        now, store = model.now + STEP_US, model.store.copy()
        store.expire(now)
        model = replace(model, now=now, store=store)
        for who in range(2):
            if model.stopped[who]:
                continue
            row = next(iter(model.store.rows(KEYS.duty(DUTY), b"")), None)
            held = {} if row is None else {DUTY: decode_holder(row)}
            model = self.feed(
                model,
                who,
                own.ViewUpdated(own.DutyView(model.store.revision, held, frozenset(NAMES), frozenset([DUTY]))),
            )
            if model.states[who].lease and not any(c.who == who and c.kind == "keep" for c in model.calls):
                model = self._commit(model, model.calls, Call(who, "keep", now, model.states[who].lease))
                if late and not model.late:
                    model = replace(model, late=True)
                else:
                    model = self._deliver_answer(model, model.calls[:-1], model.calls[-1])
        return model

    def _commit(self, model: ModelState, rest: tuple[Call, ...], call: Call) -> ModelState:
        store = model.store.copy()
        answer: object = None
        store.expire(model.now)
        match call.kind:
            case "grant":
                answer = store.grant(model.now, self.rules.ttl)
            case "keep":
                answer = store.keep_alive(model.now, call.lease)
            case "take" if call.lease in store.leases:
                answer = store.txn(KEYS.acquire(DUTY, Owner(NAMES[call.who], ""), call.lease))
            case "over":
                store.txn(KEYS.hand_over(DUTY, call.fence))
        return replace(model, store=store, calls=(*rest, replace(call, answer=answer, done=True)))

    def _deliver_answer(self, model: ModelState, rest: tuple[Call, ...], call: Call) -> ModelState:
        model = replace(model, calls=rest)
        sent = call.sent_us if self.rules.lease_counts_from_send else model.now
        row = next(iter(model.store.rows(KEYS.duty(DUTY), b"")), None)
        match call.kind:
            case "grant":
                assert isinstance(call.answer, int)
                return self.feed(model, call.who, own.LeaseGranted(call.answer, sent, self.rules.ttl * STEP_US))
            case "keep":
                assert isinstance(call.answer, int)
                return self.feed(model, call.who, own.LeaseRenewed(call.lease, sent, call.answer * STEP_US))
            case "take" if call.answer is not None:
                row = call.answer.results[-1][0]  # type: ignore[attr-defined]
            case "over":
                return model
            case _:
                pass
        held = decode_holder(row) if row is not None else None
        return self.feed(model, call.who, own.AcquireResult(DUTY, call.lease, held, model.store.revision))

    def _deliver_order(self, model: ModelState, fence: int) -> ModelState:
        """Deliver an order: the receiver checks its fence, and a write under that fence goes to the store."""
        receiver = FenceRegistry({DUTY: model.highest} if model.highest else {})
        if receiver.admits(DUTY, fence) or not self.rules.receiver_compares:
            model = replace(model, accepted=(*model.accepted, fence), highest=max(model.highest, fence))
        store = model.store.copy()
        txn = KEYS.with_fence(DUTY, fence, Put(KEYS.clocks, b""))
        done = store.txn(txn if self.rules.store_compares else replace(txn, compare=()))
        return replace(model, store=store, written=(*model.written, fence) if done.succeeded else model.written)

    # --- invariants

    def violation(self, before: ModelState, model: ModelState) -> str:
        acting = [own.may_act(state, model.now, DUTY) for state in model.states]
        if not model.early and all(fence is not None for fence in acting):
            return f"two owners at once: fences {acting}"
        for what, rows in (("obeyed", model.accepted), ("written", model.written)):
            if len(rows) > 1 and rows[-1] < max(rows):
                return f"fence {rows[-1]} {what} after {max(rows)}"
        return ""

    def explore(self) -> tuple[int, str, list[str]]:
        """Return the number of states seen, the violation (or ""), and the events that led to it."""
        first = self.initial()
        seen, frontier = {first.key()}, [(first, [""])]
        while frontier:
            after = []
            for model, path in frontier:
                for what, then in self.successors(model):
                    if problem := self.violation(model, then):
                        return len(seen), problem, [*path[1:], what]
                    key = then.key()
                    if key not in seen:
                        seen.add(key)
                        after.append((then, [*path, what]))
                if len(seen) >= self.rules.states:
                    return len(seen), "", []
            frontier = after
        return len(seen), "", []

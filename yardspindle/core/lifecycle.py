"""The life of a request at the edge: who has an attempt out, what is held, which final answer went out.

The planner decides; this core carries its actions out as far as the five rules let it. Its interlocks hold with
the planner dead, slow or wrong:

- one final answer for each request taken, none after it, at the latest `answer_slack_us` after its time is up;
- an unsafe request that may have run is never sent, and never refused, again;
- no two attempts of a request are out at once;
- nothing new goes to a server known to drain, or be gone, for longer than the grace;
- a state or place with no attempt out is let go in time, and at once when the request ends.

It never chooses a server. Events and results come in with the time; commands go out in order.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from yardspindle import interface as i
from yardspindle.core import commands as c
from yardspindle.core.directory import Directory, Server
from yardspindle.core.proof import PROVES_NOT_RUN, harmless_to_repeat, may_have_run

PINNED_PART = 0.75  # of the release time: after it the edge lets go itself; the policy acts at half


@dataclass(frozen=True, slots=True)
class EdgeRules:
    """What the edge's interlocks need of the settings; times in microseconds."""

    effects: dict[str, i.Effect]
    release_us: int
    drain_grace_us: int
    answer_slack_us: int
    retry_after_us: int  # advice with a refusal that the edge makes by itself
    max_attempts: int
    most_open: int
    writers_read: bool = False
    resume: bool = False  # clients ask for the rest of a stream that was broken off
    release_whole: bool = False  # engines let go of all that is held for a request together, and of nothing less


@dataclass(slots=True)
class Attempt:
    """An attempt that is out."""

    number: int
    server: Server
    sent_us: int
    place: int | None = None  # that a write is to take


@dataclass(slots=True)
class Place:
    """A place asked at a writer, and whether the writer has said yes."""

    number: int
    server: Server
    held: bool = False


@dataclass(slots=True)
class Open:
    """A request that was taken and is not done with."""

    ask: i.Request
    effect: i.Effect
    epoch: int  # of the planner that knows it; 0 when none does any more
    whole: bool = False  # the client sees nothing before the last token: its time runs on after the first
    attempts: int = 0
    out: Attempt | None = None
    streaming: bool = False
    ran: bool = False
    final: c.Final | None = None  # also set (to FAILED) when the client left: nothing may follow
    state: Any = None
    state_attempt: int = 0
    state_at: Server | None = None
    place: Place | None = None
    places: int = 0
    held: bool = False  # `release_whole`: a state or place may be held for it somewhere
    unsure: bool = False  # and a read's connection was closed without its word: its state may come after a release
    idle_since_us: int = 0  # since when no attempt is out


def phase(r: Open) -> str:
    """Where a request stands, in a few words: for pages, traces and the count of transitions."""
    if r.final is not None:
        return "settling" if r.out is not None else "over"
    if r.streaming:
        at = "streaming"
    elif r.out is None:
        at = "read" if r.state_at is not None else "waiting"
    elif r.out.server.role is i.Role.READ:
        at = "reading"
    else:
        at = "writing"
    if r.place is not None:
        at += ", place held" if r.place.held else ", place asked"
    return at if r.epoch else f"{at}, no planner"


@dataclass(slots=True)
class Tally:
    """Counts for the metrics."""

    taken: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0
    interlocks: dict[str, int] = field(default_factory=dict)


class Lifecycle:
    """All requests of one edge."""

    def __init__(self, rules: EdgeRules) -> None:
        """Start without a planner."""
        self.rules = rules
        self.directory = Directory()
        self.open: dict[int, Open] = {}
        self.epoch = 0  # of the planner that decides; 0: none
        self.tally = Tally()
        self._commands: list[c.Command] = []

    # --- the planner comes and goes

    def planner_up(self, now_us: int, epoch: int) -> list[c.Command]:
        """A planner decides from now on; what an earlier one decided is finished without it."""
        if self.epoch:
            self.planner_down(now_us)
        self.epoch = epoch
        self.directory = Directory()
        return self._take()

    def planner_down(self, now_us: int) -> list[c.Command]:
        """No planner decides: settle at once what cannot go on without one; streams go on to their end.

        A write that is out may still answer, so it is waited for; a read leads nowhere and is let go.
        """
        self.epoch = 0
        for r in list(self.open.values()):
            if r.epoch and r.final is None:
                r.epoch = 0
                if r.out is not None and r.out.server.role is i.Role.READ:
                    self._abort(now_us, r)
                if r.out is None:
                    self._give_up(r, "planner_lost")
            r.epoch = 0
        return self._take()

    def leave(self, now_us: int) -> list[c.Command]:
        """This program is about to end: answer everything, and break off what streams."""
        self.epoch = 0
        for r in list(self.open.values()):
            r.epoch = 0
            if r.final is not None:
                continue
            if r.streaming:
                self._move(now_us, r)
                continue
            if r.out is not None:
                self._abort(now_us, r)
            self._give_up(r, "draining", 0)  # others are there: no time to wait for
        return self._take()

    def servers(self, now_us: int, listed: list[Server]) -> list[c.Command]:
        """The planner's list of servers, complete."""
        self.directory.replace(now_us, listed)
        return self._take()

    # --- clients

    def arrive(self, now_us: int, ask: i.Request, whole: bool = False) -> list[c.Command]:
        """A client's request: taken, and told to the planner, or refused at once. Raises KeyError: its class."""
        r = Open(ask, self.rules.effects[ask.cls], self.epoch, whole, idle_since_us=now_us)
        assert ask.request not in self.open, "a request's number comes twice"
        self.tally.taken += 1
        full = len(self.open) >= self.rules.most_open
        self.open[ask.request] = r
        if full or not self.epoch:
            self._give_up(r, "planner_lost" if not full else "edge_full")
        else:
            self._tell(r, ask)
        return self._take()

    def client_left(self, now_us: int, request: int) -> list[c.Command]:
        """The client hung up, or cannot be written to: nothing more is owed, all that runs is stopped."""
        r = self.open.get(request)
        if r is not None and r.final is None:
            r.final = c.Final.FAILED
            self.tally.left += 1
            self._tell(r, i.Hangup(request))
            self._settle(now_us, r)
        return self._take()

    # --- what the planner wants

    def act(self, now_us: int, epoch: int, action: i.Action) -> list[c.Command]:
        """Carry out one action of a planner's start; one of an earlier start is passed over."""
        if epoch != self.epoch or not epoch:
            return self._take()
        match action:
            case i.Send():
                self._send(now_us, action)
            case i.Ahead():
                self._ahead(action)
            case i.Discard():
                self._with(action.request, self._release)
            case i.Refuse():
                self._with(action.request, lambda r: self._refuse(now_us, r, action.retry_after_us))
            case i.Fail():
                self._with(action.request, lambda r: self._answer(now_us, r, c.Final.FAILED, "gave_up"))
            case i.Cancel():
                self._with(action.request, lambda r: self._cancel(now_us, r, action.attempt))
            case i.Move() if self.rules.resume:
                self._with(action.request, lambda r: self._move(now_us, r))
            case i.CloseIdle() if (server := self.directory.servers.get(action.server)) is not None:
                self._commands.append(c.CloseIdle(server))
            case _:
                pass  # timers, messages and lists are the planner's own
        return self._take()

    def _with(self, request: int, do: Callable[[Open], None]) -> None:
        r = self.open.get(request)
        if r is not None and r.epoch == self.epoch:
            do(r)

    def _send(self, now_us: int, send: i.Send) -> None:
        r = self.open.get(send.request)
        if r is None or r.epoch != self.epoch:
            return
        number, r.attempts = r.attempts, r.attempts + 1  # counted also when it is not made, as the policy does
        why, server = self._hindrance(now_us, r, send.server)
        if why is not None or server is None:
            self._interlock(r, why or "unknown server")
            note = 1 if why == "no state" else 0
            status = i.Status.FULL if note else i.Status.MOOT
            self._tell(r, i.Outcome(send.request, number, send.server, status, 0, r.final is not None, note))
            return
        r.out = Attempt(number, server, now_us)
        until_us = r.ask.expires_us
        if send.timeout_us:
            until_us = min(until_us, now_us + send.timeout_us)
        if server.role is i.Role.READ:
            if not self.rules.release_whole:  # else what an earlier read left is let go of with what this one leaves
                self._release_state(r)
            self._commands.append(c.Read(send.request, number, server, until_us))
            return
        place = r.place
        if place is not None and place.server is not server:
            self._release_place(r)
        r.place = None
        held = r.out.place = place.number if place is not None and place.server is server else None
        self._commands.append(c.Write(send.request, number, server, until_us, r.state, held))

    def _hindrance(self, now_us: int, r: Open, number: int) -> tuple[str | None, Server | None]:
        """Why an attempt must not be made, or the server that it goes to."""
        if r.final is not None or now_us >= r.ask.expires_us:
            return "request over", None
        if r.out is not None:
            return "second attempt", None
        if r.attempts > self.rules.max_attempts:
            return "too many attempts", None
        if r.ran and r.effect is not i.Effect.SAFE:
            return "may have run", None
        if number not in self.directory.servers:
            return "unknown server", None
        server = self.directory.open_for(number, now_us, self.rules.drain_grace_us)
        if server is None:
            return "drain", None
        if server.role is i.Role.WRITE and r.state_at is None and not self.rules.writers_read:
            return "no state", None  # also where ours was let go: the engine would read the whole prompt itself
        return None, server

    def _ahead(self, ahead: i.Ahead) -> None:
        r = self.open.get(ahead.request)
        if r is None or r.epoch != self.epoch or r.final is not None or r.streaming:
            return
        self._release_place(r)
        server = self.directory.servers.get(ahead.server)
        if r.out is None or r.out.server.role is not i.Role.READ or server is None:
            return
        if server.closed_us is not None or not server.places:
            return  # asked nowhere: as at a writer that cannot be heard, no note comes
        r.places += 1
        r.place = Place(r.places, server)
        r.held = True
        self._commands.append(c.AskPlace(
            ahead.request, r.places, server, r.ask.prompt_tokens, r.out.server, r.out.number))

    def _refuse(self, now_us: int, r: Open, retry_after_us: int) -> None:
        if r.out is not None and may_have_run(r.out.server.role, i.Status.CANCELLED):
            r.ran = True
        if harmless_to_repeat(r.effect, r.ran):
            self._answer(now_us, r, c.Final.REFUSED, "overloaded", retry_after_us)
        else:
            self._interlock(r, "refused though it may have run")
            self._answer(now_us, r, c.Final.FAILED, "may_have_run")

    def _move(self, now_us: int, r: Open) -> None:
        """Break a running stream off: its client comes again for the rest. What has not begun is left alone."""
        if r.final is None and r.streaming:
            self._final(r, c.Final.FAILED, "moved")
            self._settle(now_us, r)

    def _cancel(self, now_us: int, r: Open, number: int) -> None:
        if r.out is not None and r.out.number == number and not r.streaming:
            self._abort(now_us, r)
            self._forget_if_done(r)

    # --- what engines answer

    def place_answered(self, now_us: int, request: int, number: int, server: Server,
                       held: bool | None) -> list[c.Command]:
        """A writer said yes or no to a place, or (None) was not heard; a place nobody wants is let go."""
        r = self.open.get(request)
        place = r.place if r is not None else None
        if r is None or place is None or place.number != number:
            if held is not False and not self.rules.release_whole:
                self._commands.append(c.ReleasePlace(request, number, server))
            elif held is not False and r is None:
                self._commands.append(c.ReleaseAll(request, False))
            elif held is not False and r is not None:  # the word that let go may have come before the asking
                r.held = True
                if r.out is None and r.state_at is None:  # else it is let go of with what the attempt leaves
                    self._release(r)
            return self._take()
        if held is None and self.rules.release_whole:
            return self._take()  # it may be held: a write there will take it, and the end lets go of it
        if held is None:
            self._release_place(r)
            self._commands.append(c.ReleasePlace(request, number, server))
            return self._take()
        place.held = held
        if not held:
            r.place = None
        if r.out is not None and r.out.server.role is i.Role.READ:
            self._tell(r, i.Note(request, r.out.number, r.out.server.number, held))
        return self._take()

    def first_token(self, now_us: int, request: int, number: int) -> bool:
        """The answer begins: from now on the request belongs to this stream. False: its request is over."""
        r = self.open.get(request)
        if r is None or r.final is not None or r.out is None or r.out.number != number:
            return False
        r.streaming = True
        r.state, r.state_at, r.held = None, None, False  # the writer has fetched it, and what else was held is gone
        self._tell(r, i.First(request, number, r.out.server.number, now_us - r.out.sent_us))
        return True

    def told(self) -> list[c.Command]:
        """The commands that `first_token` left."""
        return self._take()

    def attempt_ended(self, now_us: int, request: int, number: int, status: i.Status, note: int = 0,
                      state: Any = None, stale: bool = False) -> list[c.Command]:
        """An attempt ended by itself or by its time-out; `state` comes with a read, `stale` of a kept connection."""
        r = self.open.get(request)
        if r is None or r.out is None or r.out.number != number:
            return self._take()  # it was called off, and its end has been told
        out, r.out = r.out, None
        r.idle_since_us = now_us
        r.ran = r.ran or may_have_run(out.server.role, status)
        if status is i.Status.READ:
            r.state, r.state_at, r.state_attempt, r.held = state, out.server, number, True
        elif out.server.role is i.Role.READ and self.rules.release_whole:
            r.unsure = r.unsure or status not in PROVES_NOT_RUN
            r.held = r.held or r.unsure
            self._release(r)
        elif out.server.role is i.Role.READ:  # it may still be reading, or hold a state that we never heard of
            self._commands.append(c.ReleaseState(request, number, out.server))
        elif note == 1:
            self._release_state(r)
        if status not in (i.Status.SERVED, i.Status.FULL) and not r.streaming:
            self._untaken(r, out)
        if r.streaming or status is i.Status.SERVED:
            served = status is i.Status.SERVED
            self._final(r, c.Final.SERVED if served else c.Final.FAILED, "served" if served else "stream_broken")
        self._tell(r, i.Outcome(request, number, out.server.number, status, now_us - out.sent_us,
                                r.final is not None, note, stale=stale))
        if r.final is None and not r.epoch:
            self._give_up(r, "planner_lost")
        self._settle(now_us, r)
        return self._take()

    def still_held(self, request: int, unsure: bool) -> None:
        """A newer attempt came before the word that was to let go: its own end lets go, also if it never ran."""
        r = self.open.get(request)
        if r is not None:
            r.held, r.unsure = True, r.unsure or unsure

    # --- time

    def tick(self, now_us: int) -> list[c.Command]:
        """Keep the rules that time breaks; called every few milliseconds' tens while requests are open."""
        for r in list(self.open.values()):
            if r.final is None and r.whole and r.streaming and now_us >= r.ask.expires_us:
                self._final(r, c.Final.FAILED, "deadline")
                self._settle(now_us, r)
            elif r.final is None and not r.streaming and now_us >= r.ask.expires_us + self.rules.answer_slack_us:
                self._interlock(r, "answer overdue")
                self._answer(now_us, r, c.Final.FAILED, "deadline")
            elif (r.out is None and (r.state_at is not None or r.place is not None or r.held)
                    and now_us - r.idle_since_us > PINNED_PART * self.rules.release_us):
                self._interlock(r, "held too long")
                self._release(r)
        return self._take()

    # --- ends

    def _give_up(self, r: Open, code: str, retry_after_us: int | None = None) -> None:
        """Answer without a planner, at once: refuse where trying again is harmless."""
        if harmless_to_repeat(r.effect, r.ran):
            self._final(r, c.Final.REFUSED, code,
                        self.rules.retry_after_us if retry_after_us is None else retry_after_us)
        else:
            self._final(r, c.Final.FAILED, "may_have_run")
        self._release(r)
        self._forget_if_done(r)

    def _answer(self, now_us: int, r: Open, final: c.Final, code: str, retry_after_us: int = 0) -> None:
        if r.final is not None or r.streaming:
            return  # the first answer, or the stream, crossed with this one
        self._final(r, final, code, retry_after_us)
        self._settle(now_us, r)

    def _final(self, r: Open, final: c.Final, code: str, retry_after_us: int = 0) -> None:
        """The only place from which a final answer goes out."""
        assert r.final is None, "a second final answer"
        r.final = final
        match final:
            case c.Final.SERVED:
                self.tally.served += 1
            case c.Final.REFUSED:
                self.tally.refused += 1
            case c.Final.FAILED:
                self.tally.failed += 1
        self._commands.append(c.Answer(r.ask.request, final, code, retry_after_us, r.streaming))

    def _settle(self, now_us: int, r: Open) -> None:
        """After its end: stop what runs, let go of what is held, forget it."""
        if r.final is not None:
            if r.out is not None:
                self._abort(now_us, r)
            self._release(r)
            self._forget_if_done(r)

    def _abort(self, now_us: int, r: Open) -> None:
        out = r.out
        assert out is not None
        r.out, r.idle_since_us = None, now_us
        r.ran = r.ran or may_have_run(out.server.role, i.Status.CANCELLED)
        self._commands.append(c.Abort(r.ask.request, out.number))
        if not r.streaming:
            self._untaken(r, out)
        if out.server.role is i.Role.READ and self.rules.release_whole:
            r.held = r.unsure = True  # it may end well just as it is called off
            self._release(r)
        elif out.server.role is i.Role.READ:
            self._commands.append(c.ReleaseState(r.ask.request, out.number, out.server))
        self._tell(r, i.Outcome(r.ask.request, out.number, out.server.number, i.Status.CANCELLED,
                                now_us - out.sent_us, r.final is not None))

    def _untaken(self, r: Open, out: Attempt) -> None:
        """A write ended without the writer's word that it had come: its place may still be held there."""
        if self.rules.release_whole:
            r.held = r.held or out.place is not None
        elif out.place is not None:
            self._commands.append(c.ReleasePlace(r.ask.request, out.place, out.server))

    def _forget_if_done(self, r: Open) -> None:
        if r.final is not None and r.out is None:
            self.open.pop(r.ask.request, None)

    def _release(self, r: Open) -> None:
        """Let go of all that no attempt waits on."""
        if self.rules.release_whole:
            return self._release_all(r)
        if r.out is None or r.out.server.role is i.Role.READ:
            self._release_state(r)
        self._release_place(r)

    def _release_all(self, r: Open) -> None:
        """One word lets go of everything; none while a write is out, since it would take the state from under it."""
        if r.held and (r.out is None or r.out.server.role is i.Role.READ):
            self._commands.append(c.ReleaseAll(r.ask.request, r.unsure))
            r.state, r.state_at, r.place, r.held, r.unsure = None, None, None, False, False

    def _release_state(self, r: Open) -> None:
        if r.state_at is not None:
            if not self.rules.release_whole:
                self._commands.append(c.ReleaseState(r.ask.request, r.state_attempt, r.state_at))
            r.state, r.state_at = None, None

    def _release_place(self, r: Open) -> None:
        """A place whose answer is still out is let go when that comes (`place_answered`)."""
        if r.place is not None and r.place.held and not self.rules.release_whole:
            self._commands.append(c.ReleasePlace(r.ask.request, r.place.number, r.place.server))
        r.place = None

    def _tell(self, r: Open, event: i.Event) -> None:
        if r.epoch and r.epoch == self.epoch:
            self._commands.append(c.TellPlanner(event))

    def _interlock(self, r: Open, rule: str) -> None:
        self.tally.interlocks[rule] = self.tally.interlocks.get(rule, 0) + 1
        self._commands.append(c.Warn(r.ask.request, rule))

    def _take(self) -> list[c.Command]:
        taken, self._commands = self._commands, []
        return taken

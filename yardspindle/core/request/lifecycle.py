"""The life of a request at the edge: who has an attempt out, what is held, which final answer went out.

The planner decides; this core carries its actions out as far as the five rules let it. Its interlocks hold with
the planner dead, slow or wrong:

- one final answer for each request taken, none after it, at the latest `answer_slack_us` after its time is up;
- an unsafe request that may have run is never sent, and never refused, again;
- no two attempts of a request are out at once;
- nothing new goes to a server known to drain, or be gone, for longer than the grace;
- a state or place is let go in time unless a running server is known to have an attempt, and at once when the
  request ends (`holds.py`).

It never chooses a server. Events and results come in with the time; commands go out in order.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from yardspindle import interface as i
from yardspindle.core.hosts.directory import Directory, Server
from yardspindle.core.request import commands as c
from yardspindle.core.request.evidence import PROVES_ACCEPTED, Evidence
from yardspindle.core.request.held_resources import HeldResources
from yardspindle.core.request.records import Attempt, RequestRecord
from yardspindle.core.request.retry_safety import PROVES_NOT_RUN, harmless_to_repeat, may_have_run


class Lifecycle(HeldResources):
    """All requests of one edge."""

    # --- the planner comes and goes

    def planner_up(self, now_us: int, epoch: int) -> list[c.Command]:
        """A planner decides from now on; what an earlier one decided is finished without it."""
        if self.epoch:
            self.planner_down(now_us)
        self.epoch = epoch
        self.directory = Directory()
        return self._take_commands()

    def planner_down(self, now_us: int) -> list[c.Command]:
        """No planner decides: settle at once what cannot go on without one; streams go on to their end.

        A write that is out may still answer, so it is waited for; a read leads nowhere and is let go.
        """
        self.epoch = 0
        for r in list(self.requests.values()):
            if r.epoch and r.final is None:
                r.epoch = 0
                if r.attempt is not None and r.attempt.server.role is i.Role.READ:
                    self._abort(now_us, r, c.AbortReason.PLANNER_LOST)
                if r.attempt is None:
                    self._give_up(r, "planner_lost")
            r.epoch = 0
        return self._take_commands()

    def shut_down(self, now_us: int) -> list[c.Command]:
        """This program is about to end: answer everything.

        Streams go on, unless clients ask for their rest: there each is broken off once what has come was passed on.
        """
        self.epoch = 0
        for r in list(self.requests.values()):
            r.epoch = 0
            if r.final is not None:
                continue
            if r.streaming:
                if self.rules.resume and r.attempt is not None:
                    self._commands.append(c.FlushStream(r.request.request, r.attempt.number))
                continue
            if r.attempt is not None:
                r.may_have_run = (
                    r.may_have_run or self.rules.release_by_request and r.attempt.written
                )  # a read, too: see docs/questions.md
                self._abort(now_us, r, c.AbortReason.SHUTDOWN)
            self._give_up(r, "draining", 0)  # others are there: no time to wait for
        return self._take_commands()

    def stream_flushed(self, now_us: int, request: int) -> list[c.Command]:
        """All that had come of a stream when this program was about to end was passed on: break it off."""
        if (r := self.requests.get(request)) is not None:
            self._move(now_us, r)
        return self._take_commands()

    def update_servers(self, now_us: int, listed: list[Server]) -> list[c.Command]:
        """The planner's list of servers, complete."""
        self.directory.replace(now_us, listed)
        return self._take_commands()

    # --- clients

    def request_arrived(self, now_us: int, request: i.Request, buffered: bool = False) -> list[c.Command]:
        """A client's request: taken, and told to the planner, or refused at once. Raises KeyError: its class."""
        r = RequestRecord(request, self.rules.effects[request.cls], self.epoch, buffered, held_since_us=now_us)
        assert request.request not in self.requests, "a request's number comes twice"
        self.counts.taken += 1
        full = len(self.requests) >= self.rules.max_open_requests
        self.requests[request.request] = r
        if full or not self.epoch:
            self._give_up(r, "planner_lost" if not full else "edge_full")
        else:
            self._tell(r, request)
        return self._take_commands()

    def client_disconnected(self, now_us: int, request: int) -> list[c.Command]:
        """The client hung up, or cannot be written to: nothing more is owed, all that runs is stopped."""
        r = self.requests.get(request)
        if r is not None and r.final is None:
            r.final = c.Final.FAILED
            self.counts.left += 1
            self._tell(r, i.Hangup(request))
            self._settle(now_us, r)
        return self._take_commands()

    # --- what the planner wants

    def apply_action(self, now_us: int, epoch: int, action: i.Action) -> list[c.Command]:
        """Carry out one action of a planner's start; one of an earlier start is passed over."""
        if epoch != self.epoch or not epoch:
            return self._take_commands()
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
        return self._take_commands()

    def _with(self, request: int, do: Callable[[RequestRecord], None]) -> None:
        r = self.requests.get(request)
        if r is not None and r.epoch == self.epoch:
            do(r)

    def _send(self, now_us: int, send: i.Send) -> None:
        r = self.requests.get(send.request)
        if r is None or r.epoch != self.epoch:
            return
        number, r.attempt_count = (
            r.attempt_count,
            r.attempt_count + 1,
        )  # counted also when it is not made, as the policy does
        why, server = self._reason_not_to_send(now_us, r, send.server)
        if why is not None or server is None:
            self._interlock(r, why or "unknown server")
            note = 1 if why == "no state" else 0
            status = i.Status.FULL if note else i.Status.MOOT
            self._tell(r, i.Outcome(send.request, number, send.server, status, 0, r.final is not None, note))
            return
        until_us = r.request.expires_us
        if send.timeout_us:
            until_us = min(until_us, now_us + send.timeout_us)
        evidence = Evidence.DECIDED if self.rules.release_by_request else Evidence.ACCEPTED  # where it is not told
        r.attempt = Attempt(number, server, now_us, until_us, evidence)
        if server.role is i.Role.READ:
            if (
                not self.rules.release_by_request
            ):  # else what an earlier read left is let go of with what this one leaves
                self._release_state(r)
            self._commands.append(c.Read(send.request, number, server, until_us))
            return
        place = r.place
        if place is not None and place.server is not server:
            self._release_place(r)
        r.place = None
        held = r.attempt.place = place.number if place is not None and place.server is server else None
        self._commands.append(c.Write(send.request, number, server, until_us, r.state, held))

    def _reason_not_to_send(self, now_us: int, r: RequestRecord, number: int) -> tuple[str | None, Server | None]:
        """Why an attempt must not be made, or the server that it goes to."""
        if r.final is not None or now_us >= r.request.expires_us:
            return "request over", None
        if r.attempt is not None:
            return "second attempt", None
        if r.attempt_count > self.rules.max_attempts:
            return "too many attempts", None
        if r.may_have_run and r.effect is not i.Effect.SAFE:
            return "may have run", None
        if number not in self.directory.servers:
            return "unknown server", None
        server = self.directory.accepting(number, now_us, self.rules.drain_grace_us)
        if server is None:
            return "drain", None
        if server.role is i.Role.WRITE and r.state_server is None and not self.rules.writers_read:
            return "no state", None  # also where ours was let go: the engine would read the whole prompt itself
        return None, server

    def _refuse(self, now_us: int, r: RequestRecord, retry_after_us: int) -> None:
        if r.attempt is not None and may_have_run(r.attempt.server.role, i.Status.CANCELLED):
            r.may_have_run = True
        if harmless_to_repeat(r.effect, r.may_have_run):
            self._answer(now_us, r, c.Final.REFUSED, "overloaded", retry_after_us)
        else:
            self._interlock(r, "refused though it may have run")
            self._answer(now_us, r, c.Final.FAILED, "may_have_run")

    def _move(self, now_us: int, r: RequestRecord) -> None:
        """Break a running stream off: its client comes again for the rest. What has not begun is left alone."""
        if r.final is None and r.streaming:
            self._final(r, c.Final.FAILED, "moved")
            self._settle(now_us, r)

    def _cancel(self, now_us: int, r: RequestRecord, number: int) -> None:
        if r.attempt is not None and r.attempt.number == number and not r.streaming:
            self._abort(now_us, r, c.AbortReason.POLICY)
            self._forget_if_done(r)

    # --- what engines answer

    def first_token(self, now_us: int, request: int, number: int) -> bool:
        """The answer begins: from now on the request belongs to this stream. False: its request is over."""
        r = self.requests.get(request)
        if r is None or r.final is not None or r.attempt is None or r.attempt.number != number:
            return False
        r.streaming = True
        r.state, r.state_server = None, None  # the writer has fetched it, and what else was held is gone
        r.held = bool(r.unanswered_places)  # but for a place that may yet come to be
        self._tell(r, i.First(request, number, r.attempt.server.number, now_us - r.attempt.sent_us))
        return True

    def take_commands(self) -> list[c.Command]:
        """The commands that `first_token` left."""
        return self._take_commands()

    def attempt_ended(
        self,
        now_us: int,
        request: int,
        number: int,
        status: i.Status,
        note: int = 0,
        state: Any = None,
        stale: bool = False,
    ) -> list[c.Command]:
        """An attempt ended by itself or by its time-out; `state` comes with a read, `stale` of a kept connection."""
        r = self.requests.get(request)
        if r is None or r.attempt is None or r.attempt.number != number:
            return self._take_commands()  # it was called off, and its end has been told
        out, r.attempt = r.attempt, None
        if out.accepted or status in PROVES_ACCEPTED:
            r.held_since_us = now_us
        r.may_have_run = r.may_have_run or may_have_run(out.server.role, status)
        if status is i.Status.TIMEOUT:
            self._may_lie_unread(r, out)
        if status is i.Status.READ:
            r.state, r.state_server, r.state_attempt, r.held = state, out.server, number, True
        elif out.server.role is i.Role.READ and self.rules.release_by_request:
            if status not in PROVES_NOT_RUN:
                r.may_hold_later = True
                self._hold(now_us, r)
            self._release(r)
        elif out.server.role is i.Role.READ:  # it may still be reading, or hold a state that we never heard of
            self._commands.append(c.ReleaseState(request, number, out.server))
        elif note == 1:
            self._release_state(r)
        if status not in (i.Status.SERVED, i.Status.FULL) and not r.streaming:
            self._unconfirmed_write(now_us, r, out)
        if r.streaming or status is i.Status.SERVED:
            served = status is i.Status.SERVED
            self._final(r, c.Final.SERVED if served else c.Final.FAILED, "served" if served else "stream_broken")
        self._tell(
            r,
            i.Outcome(
                request, number, out.server.number, status, now_us - out.sent_us, r.final is not None, note, stale=stale
            ),
        )
        if r.final is None and not r.epoch:
            self._give_up(r, "planner_lost")
        self._settle(now_us, r)
        return self._take_commands()

    def remaining_ms(self, now_us: int, request: int, number: int) -> int:
        """What an attempt whose first byte is about to be written may tell its server; 0: it must not go out.

        Connections take time, and so do other waits before a first byte: the client may have left since the attempt
        was decided on, its time may be up, and the list in force now may forbid the server.
        """
        r = self.requests.get(request)
        if r is None or r.final is not None or r.attempt is None or r.attempt.number != number:
            return 0
        if not self._as_connected(
            self.directory.accepting(r.attempt.server.number, now_us, self.rules.drain_grace_us), r.attempt.server
        ):
            self._interlock(r, "drain while connecting")
            return 0
        return max((r.attempt.deadline_us - now_us) // 1_000, 0)

    def listed_server(self, request: int) -> Server | None:
        """The server of a request's attempt, by the list in force now."""
        r = self.requests.get(request)
        return self.directory.servers.get(r.attempt.server.number) if r is not None and r.attempt is not None else None

    def attempt_written(self, request: int, number: int) -> None:
        """An attempt's last byte is written."""
        r = self.requests.get(request)
        if r is not None and r.attempt is not None and r.attempt.number == number:
            r.attempt.evidence = max(r.attempt.evidence, Evidence.WRITTEN)

    def attempt_answered(self, request: int, number: int) -> None:
        """The first bytes of an attempt's answer came."""
        r = self.requests.get(request)
        if r is not None and r.attempt is not None and r.attempt.number == number:
            r.attempt.evidence = Evidence.ACCEPTED

    def is_unwritten(self, request: int, number: int) -> bool:
        """Whether an attempt is on its way whose last byte is not written."""
        r = self.requests.get(request)
        return r is not None and r.attempt is not None and r.attempt.number == number and not r.attempt.written

    # --- time

    def tick(self, now_us: int) -> list[c.Command]:
        """Keep the rules that time breaks; called every few milliseconds' tens while requests are open."""
        for r in list(self.requests.values()):
            if r.final is None and r.buffered and r.streaming and now_us >= r.request.expires_us:
                self._final(r, c.Final.FAILED, "deadline")
                self._settle(now_us, r)
            elif r.final is None and not r.streaming and now_us >= r.request.expires_us + self.rules.answer_slack_us:
                self._interlock(r, "answer overdue")
                self._answer(now_us, r, c.Final.FAILED, "deadline")
            else:
                self._look_at_what_is_held(now_us, r)
        return self._take_commands()

"""State machine of the requests at the edge: attempts in flight, resources held, final answers.

The edge holds the client connections, the planner decides which server does what. An attempt is one send of a request's
stage, read (prefill) or write (decode), to one server. A state is the KV cache that a read leaves; a place is memory
reserved at a writer. The edge carries out the planner's actions as far as five rules allow. These interlocks hold even
when the planner is down, slow or wrong:

- every accepted request gets exactly one final answer, at most `answer_slack_us` after its deadline;
- an unsafe request (one that must not run twice) that may have run is neither sent again nor refused;
- a request never has two attempts in flight;
- no new work goes to a server that has been draining or gone for longer than the grace period;
- a state or place is released in time unless a running server is known to have an attempt, and at once when the
  request ends (`held_resources.py`).

Metrics and logs have names for them (`rule_checker.py`), one for the second and third together.

The edge never chooses a server. Events and results come in with the current time; commands go out in order.
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
from yardspindle.core.request.retry_safety import NOTE_NO_STATE, PROVES_NOT_RUN, harmless_to_repeat, may_have_run


class Lifecycle(HeldResources):
    """All requests of one edge; turns events and the planner's actions into commands."""

    # --- planner, shutdown and server list

    def planner_up(self, now_us: int, epoch: int) -> list[c.Command]:
        """A planner takes over; requests of an earlier one are finished without a planner. `epoch`: its run."""
        if self.epoch:
            self.planner_down(now_us)
        self.epoch = epoch
        self.directory = Directory()
        return self._take_commands()

    def planner_down(self, now_us: int) -> list[c.Command]:
        """No planner is connected: end at once what needs one; streams run to their end.

        A write in flight may still answer, so it is awaited; a read is useless without a planner and is aborted.
        """
        self.epoch = 0
        for record in list(self.requests.values()):
            if record.epoch and record.final is None:
                record.epoch = 0
                if record.attempt is not None and record.attempt.server.role is i.Role.READ:
                    self._abort(now_us, record, c.AbortReason.PLANNER_LOST)
                if record.attempt is None:
                    self._end_without_policy(record, "planner_lost")
            record.epoch = 0
        return self._take_commands()

    def shut_down(self, now_us: int) -> list[c.Command]:
        """The process is about to exit: answer everything.

        Streams go on, unless clients resume them: then each is cut once all that has arrived is passed on.
        """
        self.epoch = 0
        for record in list(self.requests.values()):
            record.epoch = 0
            if record.final is not None:
                continue
            if record.streaming:
                if self.rules.resume and record.attempt is not None:
                    self._commands.append(c.FlushStream(record.request.request, record.attempt.number))
                continue
            if record.attempt is not None:
                # On the platform, which has `release_by_request`, an attempt that was sent counts as run when the
                # process exits, even a read (docs/questions.md).
                record.may_have_run = record.may_have_run or self.rules.release_by_request and record.attempt.written
                self._abort(now_us, record, c.AbortReason.SHUTDOWN)
            self._end_without_policy(record, "draining", 0)  # other dispatchers can serve it: no need to wait
        return self._take_commands()

    def stream_flushed(self, now_us: int, request: int) -> list[c.Command]:
        """All that had arrived of a stream at shutdown is passed on: cut it."""
        if (record := self.requests.get(request)) is not None:
            self._cut_stream(now_us, record)
        return self._take_commands()

    def update_servers(self, now_us: int, listed: list[Server]) -> list[c.Command]:
        """Apply the planner's complete list of servers."""
        self.directory.replace(now_us, listed)
        return self._take_commands()

    # --- clients

    def request_arrived(self, now_us: int, request: i.Request, buffered: bool = False) -> list[c.Command]:
        """Accept a client's request and pass it to the planner, or refuse it. Raises KeyError for an unknown class."""
        record = RequestRecord(request, self.rules.effects[request.cls], self.epoch, buffered, held_since_us=now_us)
        assert request.request not in self.requests, "duplicate request number"
        self.counts.taken += 1
        full = len(self.requests) >= self.rules.max_open_requests
        self.requests[request.request] = record
        if full or not self.epoch:
            self._end_without_policy(record, "planner_lost" if not full else "edge_full")
        else:
            self._notify(record, request)
        return self._take_commands()

    def client_disconnected(self, now_us: int, request: int) -> list[c.Command]:
        """The client disconnected or cannot be written to: it needs no answer, and all its work is stopped."""
        record = self.requests.get(request)
        if record is not None and record.final is None:
            record.final = c.Final.FAILED
            self.counts.left += 1
            self._notify(record, i.Hangup(request))
            self._settle(now_us, record)
        return self._take_commands()

    # --- actions of the planner

    def apply_action(self, now_us: int, epoch: int, action: i.Action) -> list[c.Command]:
        """Carry out an action of the planner with this epoch; one of an earlier epoch is ignored."""
        if epoch != self.epoch or not epoch:
            return self._take_commands()
        match action:
            case i.Send():
                self._send(now_us, action)
            case i.Ahead():
                self._reserve_place(action)
            case i.Discard():
                self._with_record(action.request, self._release)
            case i.Refuse():
                self._with_record(action.request, lambda record: self._refuse(now_us, record, action.retry_after_us))
            case i.Fail():
                self._with_record(
                    action.request, lambda record: self._answer(now_us, record, c.Final.FAILED, "gave_up")
                )
            case i.Cancel():
                self._with_record(action.request, lambda record: self._cancel(now_us, record, action.attempt))
            case i.Move() if self.rules.resume:
                self._with_record(action.request, lambda record: self._cut_stream(now_us, record))
            case i.CloseIdle() if (server := self.directory.servers.get(action.server)) is not None:
                self._commands.append(c.CloseIdle(server))
            case _:
                pass  # timers, messages and lists are handled in the planner
        return self._take_commands()

    def _with_record(self, request: int, do: Callable[[RequestRecord], None]) -> None:
        record = self.requests.get(request)
        if record is not None and record.epoch == self.epoch:
            do(record)

    def _send(self, now_us: int, send: i.Send) -> None:
        record = self.requests.get(send.request)
        if record is None or record.epoch != self.epoch:
            return
        # Counted even if it is not made: the policy counts its sends alike and names an attempt by that number.
        number, record.attempt_count = record.attempt_count, record.attempt_count + 1
        why, server = self._reason_not_to_send(now_us, record, send.server)
        if why is not None or server is None:
            self._interlock(record, why or "unknown server")
            # A missing state is reported as by an engine that finds none: the policy then has the prompt read again.
            note = NOTE_NO_STATE if why == "no state" else 0
            status = i.Status.FULL if note else i.Status.MOOT
            self._notify(
                record, i.Outcome(send.request, number, send.server, status, 0, record.final is not None, note)
            )
            return
        deadline_us = record.request.expires_us
        if send.timeout_us:
            deadline_us = min(deadline_us, now_us + send.timeout_us)
        # Without `release_by_request` (one release frees all of a request) the I/O does not report progress.
        evidence = Evidence.DECIDED if self.rules.release_by_request else Evidence.ACCEPTED
        record.attempt = Attempt(number, server, now_us, deadline_us, evidence)
        if server.role is i.Role.READ:
            if not self.rules.release_by_request:  # else released together with what this read leaves
                self._release_state(record)
            self._commands.append(c.Read(send.request, number, server, deadline_us))
            return
        place = record.place
        if place is not None and place.server is not server:
            self._release_place(record)
        record.place = None
        held = record.attempt.place = place.number if place is not None and place.server is server else None
        self._commands.append(c.Write(send.request, number, server, deadline_us, record.state, held))

    def _reason_not_to_send(self, now_us: int, record: RequestRecord, number: int) -> tuple[str | None, Server | None]:
        """The rule that forbids an attempt, or the server that it goes to."""
        if record.final is not None or now_us >= record.request.expires_us:
            return "request over", None
        if record.attempt is not None:
            return "second attempt", None
        if record.attempt_count > self.rules.max_attempts:
            return "too many attempts", None
        if record.may_have_run and record.effect is not i.Effect.SAFE:
            return "may have run", None
        if number not in self.directory.servers:
            return "unknown server", None
        server = self.directory.accepting(number, now_us, self.rules.drain_grace_us)
        if server is None:
            return "drain", None
        if server.role is i.Role.WRITE and record.state_server is None and not self.rules.writers_read:
            return "no state", None  # also after its release: the engine would read the whole prompt itself
        return None, server

    def _refuse(self, now_us: int, record: RequestRecord, retry_after_us: int) -> None:
        if record.attempt is not None and may_have_run(record.attempt.server.role, i.Status.CANCELLED):
            record.may_have_run = True
        if harmless_to_repeat(record.effect, record.may_have_run):
            self._answer(now_us, record, c.Final.REFUSED, "overloaded", retry_after_us)
        else:
            self._interlock(record, "refused though it may have run")
            self._answer(now_us, record, c.Final.FAILED, "may_have_run")

    def _cut_stream(self, now_us: int, record: RequestRecord) -> None:
        """Cut a running stream, whose client resumes it elsewhere. A request that does not stream yet is left alone."""
        if record.final is None and record.streaming:
            self._final(record, c.Final.FAILED, "moved")
            self._settle(now_us, record)

    def _cancel(self, now_us: int, record: RequestRecord, number: int) -> None:
        if record.attempt is not None and record.attempt.number == number and not record.streaming:
            self._abort(now_us, record, c.AbortReason.POLICY)
            self._forget_if_done(record)

    # --- results from engines

    def first_token(self, now_us: int, request: int, number: int) -> bool:
        """The answer begins and the request is bound to this attempt; False if the request is over."""
        record = self.requests.get(request)
        if record is None or record.final is not None or record.attempt is None or record.attempt.number != number:
            return False
        record.streaming = True
        record.state, record.state_server = None, None  # the writer has fetched it, and nothing else is held
        record.held = bool(record.unanswered_places)  # except a place that may still be granted
        self._notify(record, i.First(request, number, record.attempt.server.number, now_us - record.attempt.sent_us))
        return True

    def take_commands(self) -> list[c.Command]:
        """The commands that `first_token` produced."""
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
        """An attempt ended or timed out.

        `note`: see `interface.Outcome`; `state`: a read's result; `stale`: a kept-alive connection turned out to be
        closed when it was used again, or was reset during connect, which says little about the server.
        """
        record = self.requests.get(request)
        if record is None or record.attempt is None or record.attempt.number != number:
            return self._take_commands()  # it was aborted, and its end has been reported
        attempt, record.attempt = record.attempt, None
        if attempt.accepted or status in PROVES_ACCEPTED:
            record.held_since_us = now_us
        record.may_have_run = record.may_have_run or may_have_run(attempt.server.role, status)
        if status is i.Status.TIMEOUT:
            self._track_unread(record, attempt)
        if status is i.Status.READ:
            record.state, record.state_server, record.state_attempt, record.held = state, attempt.server, number, True
        elif attempt.server.role is i.Role.READ and self.rules.release_by_request:
            if status not in PROVES_NOT_RUN:
                record.may_hold_later = True
                self._mark_held(now_us, record)
            self._release(record)
        elif attempt.server.role is i.Role.READ:  # it may still be reading, or hold a state that was never reported
            self._commands.append(c.ReleaseState(request, number, attempt.server))
        elif note == NOTE_NO_STATE:
            self._release_state(record)
        if status not in (i.Status.SERVED, i.Status.FULL) and not record.streaming:
            self._unconfirmed_write(now_us, record, attempt)
        if record.streaming or status is i.Status.SERVED:
            served = status is i.Status.SERVED
            self._final(record, c.Final.SERVED if served else c.Final.FAILED, "served" if served else "stream_broken")
        self._notify(
            record,
            i.Outcome(
                request,
                number,
                attempt.server.number,
                status,
                now_us - attempt.sent_us,
                record.final is not None,
                note,
                stale=stale,
            ),
        )
        if record.final is None and not record.epoch:
            self._end_without_policy(record, "planner_lost")
        self._settle(now_us, record)
        return self._take_commands()

    def remaining_ms(self, now_us: int, request: int, number: int) -> int:
        """Time left for an attempt whose first byte is about to be written; 0: it must not be sent.

        Connecting and other waits take time: since the decision the client may have disconnected, the deadline passed
        or the server started to drain.
        """
        record = self.requests.get(request)
        if record is None or record.final is not None or record.attempt is None or record.attempt.number != number:
            return 0
        if not self._same_address(
            self.directory.accepting(record.attempt.server.number, now_us, self.rules.drain_grace_us),
            record.attempt.server,
        ):
            self._interlock(record, "drain while connecting")
            return 0
        return max((record.attempt.deadline_us - now_us) // 1_000, 0)

    def listed_server(self, request: int) -> Server | None:
        """The server of a request's attempt, as listed now."""
        record = self.requests.get(request)
        return (
            self.directory.servers.get(record.attempt.server.number)
            if record is not None and record.attempt is not None
            else None
        )

    def attempt_written(self, request: int, number: int) -> None:
        """An attempt's last byte is written: it may run from now on."""
        record = self.requests.get(request)
        if record is not None and record.attempt is not None and record.attempt.number == number:
            record.attempt.evidence = max(record.attempt.evidence, Evidence.WRITTEN)

    def attempt_answered(self, request: int, number: int) -> None:
        """The first bytes of an attempt's answer arrived: a running server has it."""
        record = self.requests.get(request)
        if record is not None and record.attempt is not None and record.attempt.number == number:
            record.attempt.evidence = Evidence.ACCEPTED

    def is_unwritten(self, request: int, number: int) -> bool:
        """Whether the attempt is in flight and its last byte is not written yet."""
        record = self.requests.get(request)
        return (
            record is not None
            and record.attempt is not None
            and record.attempt.number == number
            and not record.attempt.written
        )

    # --- clock

    def tick(self, now_us: int) -> list[c.Command]:
        """Enforce deadlines and time limits; called every few tens of milliseconds while requests are open."""
        for record in list(self.requests.values()):
            if record.final is None and record.buffered and record.streaming and now_us >= record.request.expires_us:
                self._final(record, c.Final.FAILED, "deadline")
                self._settle(now_us, record)
            elif (
                record.final is None
                and not record.streaming
                and now_us >= record.request.expires_us + self.rules.answer_slack_us
            ):
                self._interlock(record, "answer overdue")
                self._answer(now_us, record, c.Final.FAILED, "deadline")
            else:
                self._check_held(now_us, record)
        return self._take_commands()

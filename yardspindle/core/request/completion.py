"""Ends requests at the edge: final answers, aborts of attempts and releases of what engines hold.

The edge is the process that holds the client connections; the planner decides which server does what. Engines hold for
a request its state (the KV cache that a read leaves) and its place (memory reserved at the writer).
"""

from __future__ import annotations

from yardspindle import interface as i
from yardspindle.core.hosts.directory import Directory
from yardspindle.core.request import commands as c
from yardspindle.core.request.records import Attempt, EdgeRules, RequestCounts, RequestRecord
from yardspindle.core.request.retry_safety import harmless_to_repeat, may_have_run


class RequestCompletion:
    """Table of an edge's open requests, with the steps that end one. Base of `Lifecycle`."""

    def __init__(self, rules: EdgeRules) -> None:
        """No planner is connected at first."""
        self.rules = rules
        self.directory = Directory()
        self.requests: dict[int, RequestRecord] = {}
        self.epoch = 0  # identifies the run of the planner in charge; 0: none
        self.counts = RequestCounts()
        self._commands: list[c.Command] = []

    def _end_without_policy(self, record: RequestRecord, code: str, retry_after_us: int | None = None) -> None:
        """End a request by the edge's own decision: refuse it if a retry is harmless, else fail it."""
        if harmless_to_repeat(record.effect, record.may_have_run):
            self._final(
                record, c.Final.REFUSED, code, self.rules.retry_after_us if retry_after_us is None else retry_after_us
            )
        else:
            self._final(record, c.Final.FAILED, "may_have_run")
        self._release(record)
        self._forget_if_done(record)

    def _answer(self, now_us: int, record: RequestRecord, final: c.Final, code: str, retry_after_us: int = 0) -> None:
        """Give a request that is still unanswered its final answer, and end all its work."""
        if record.final is not None or record.streaming:
            return  # already answered, or its stream began while this answer was under way
        self._final(record, final, code, retry_after_us)
        self._settle(now_us, record)

    def _final(self, record: RequestRecord, final: c.Final, code: str, retry_after_us: int = 0) -> None:
        """Record and send the final answer; every answer passes here."""
        assert record.final is None, "a second final answer"
        record.final = final
        match final:
            case c.Final.SERVED:
                self.counts.served += 1
            case c.Final.REFUSED:
                self.counts.refused += 1
            case c.Final.FAILED:
                self.counts.failed += 1
        self._commands.append(c.Answer(record.request.request, final, code, retry_after_us, record.streaming))

    def _settle(self, now_us: int, record: RequestRecord) -> None:
        """Once a request has its final answer: abort its attempt, release what is held and drop the record."""
        if record.final is not None:
            if record.attempt is not None:
                self._abort(now_us, record, c.AbortReason.REQUEST_OVER)
            self._release(record)
            self._forget_if_done(record)

    def _abort(self, now_us: int, record: RequestRecord, reason: c.AbortReason) -> None:
        attempt = record.attempt
        assert attempt is not None
        record.attempt = None
        if attempt.accepted:
            record.held_since_us = now_us
        if attempt.written:
            record.may_have_run = record.may_have_run or may_have_run(attempt.server.role, i.Status.CANCELLED)
        self._commands.append(c.Abort(record.request.request, attempt.number, attempt.server, reason))
        self._track_unread(record, attempt)
        if not record.streaming:
            self._unconfirmed_write(now_us, record, attempt)
        if attempt.server.role is i.Role.READ and self.rules.release_by_request:
            if attempt.written:
                record.may_hold_later = True  # the read may succeed at the moment of the abort
                self._mark_held(now_us, record)
            self._release(record)
        elif attempt.server.role is i.Role.READ:
            self._commands.append(c.ReleaseState(record.request.request, attempt.number, attempt.server))
        self._notify(
            record,
            i.Outcome(
                record.request.request,
                attempt.number,
                attempt.server.number,
                i.Status.CANCELLED,
                now_us - attempt.sent_us,
                record.final is not None,
            ),
        )

    def _track_unread(self, record: RequestRecord, attempt: Attempt, silent: bool = False) -> None:
        """Track an attempt that ended without an answer: its server may read it later and keep a state."""
        # Reads that a server had accepted are tracked too: a paused host may resume one. Writes are not: a server that
        # receives one late finds no state to fetch.
        if self.rules.release_by_request and attempt.written and attempt.server.role is not i.Role.WRITE:
            self._commands.append(c.TrackUnreadCall(record.request.request, attempt.server, silent))

    def _mark_held(self, now_us: int, record: RequestRecord) -> None:
        """Note that an engine may hold something for the request from now on, unless that is noted already."""
        if not record.held:
            record.held, record.held_since_us = True, now_us

    def _unconfirmed_write(self, now_us: int, record: RequestRecord, attempt: Attempt) -> None:
        """Handle a write that ended without the writer's confirmation: its place may still be held there."""
        if self.rules.release_by_request:
            if attempt.place is not None:
                self._mark_held(now_us, record)
        elif attempt.place is not None:
            self._commands.append(c.ReleasePlace(record.request.request, attempt.place, attempt.server))

    def _forget_if_done(self, record: RequestRecord) -> None:
        if record.final is not None and record.attempt is None:
            self.requests.pop(record.request.request, None)

    def _release(self, record: RequestRecord) -> None:
        """Release everything that no attempt depends on (a read does not: it leaves a state of its own)."""
        if self.rules.release_by_request:
            return self._release_all(record)
        if record.attempt is None or record.attempt.server.role is i.Role.READ:
            self._release_state(record)
        self._release_place(record)
        record.held = False

    def _release_all(self, record: RequestRecord) -> None:
        """Release everything with one message, unless an attempt may be running that needs its state or place."""
        if record.held and (
            record.attempt is None or record.attempt.server.role is i.Role.READ and not record.attempt.written
        ):
            if record.final is not None:
                self._give_up_unanswered_places(record)
            self._commands.append(c.ReleaseAll(record.request.request, record.may_hold_later))
            record.state, record.state_server, record.place, record.held, record.may_hold_later = (
                None,
                None,
                None,
                False,
                False,
            )

    def _give_up_unanswered_places(self, record: RequestRecord) -> None:
        """Give up unanswered calls for places. A writer may grant one after the release, so the release is repeated."""
        for number, place in sorted(record.unanswered_places.items()):
            self._commands.append(c.AwaitLateAnswer(record.request.request, number, place.server))
            record.may_hold_later = True
        record.unanswered_places.clear()

    def _release_state(self, record: RequestRecord) -> None:
        if record.state_server is not None:
            if not self.rules.release_by_request:
                self._commands.append(c.ReleaseState(record.request.request, record.state_attempt, record.state_server))
            record.state, record.state_server = None, None

    def _release_place(self, record: RequestRecord) -> None:
        """Release a place that is held; one not yet answered is released on its answer (`place_answered`)."""
        if record.place is not None and record.place.held and not self.rules.release_by_request:
            self._commands.append(c.ReleasePlace(record.request.request, record.place.number, record.place.server))
        record.place = None

    def _notify(self, record: RequestRecord, event: i.Event) -> None:
        """Send an event to the planner, if the planner that knows the request is still in charge."""
        if record.epoch and record.epoch == self.epoch:
            self._commands.append(c.NotifyPlanner(event))

    def _interlock(self, record: RequestRecord, rule: str) -> None:
        """Count and log that an interlock (a rule enforced at the edge) was applied."""
        self.counts.interlocks[rule] = self.counts.interlocks.get(rule, 0) + 1
        self._commands.append(c.Warn(record.request.request, rule))

    def _take_commands(self) -> list[c.Command]:
        commands, self._commands = self._commands, []
        return commands

"""Places and KV states that engines hold for unanswered requests, and the time limit for releasing them.

A place is memory reserved at a writer (decode server); a state is the KV cache that a reader (prefill server) keeps
until the writer has fetched it. What is held must be used by an attempt or released within the configured release time.
That time does not run while a running server is known to have an attempt (`evidence.py`), and starts anew when that
attempt ends. It does run while a connection is being made, and after the attempt's bytes are written, as an
unresponsive server never reads them. An attempt that no running server is known to have by `RELEASE_FRACTION` of the
time is aborted and what is held is released; the rest is for the release to be confirmed.

With `release_by_request`, one message to any engine releases all that engines hold for a request. Without it, each
state and place is released at its own engine, and every attempt in flight counts as accepted by a running server.
"""

from __future__ import annotations

from yardspindle import interface as i
from yardspindle.core.hosts.directory import Server
from yardspindle.core.request import commands as c
from yardspindle.core.request.completion import RequestCompletion
from yardspindle.core.request.evidence import Evidence
from yardspindle.core.request.records import Attempt, Place, RequestRecord, UnansweredPlace
from yardspindle.core.request.retry_safety import NOTE_NO_STATE, may_have_run

RELEASE_FRACTION = 0.75  # of the release time: the edge then releases by itself; the routing policy does so at half
CONNECTS_WHILE_HELD = 2  # writers that can be tried one after another within that time while a state is held
# A running writer answers a call for a place within this time: one that knows of no read of the request waits for 0.3 s
# before it answers that, and then it is unknown whether the place is held. After a longer silence the connection may be
# dead.
PLACE_ANSWER_LIMIT_US = 450_000


class HeldResources(RequestCompletion):
    """Reserves places for an edge's requests and enforces the time limit on what is held."""

    @property
    def held_connect_timeout_us(self) -> int | None:
        """Connect time-out of a write while its state stays held; None (the usual one) without `release_by_request`."""
        return (
            round(RELEASE_FRACTION * self.rules.release_us / CONNECTS_WHILE_HELD)
            if self.rules.release_by_request
            else None
        )

    # --- places

    def _reserve_place(self, ahead: i.Ahead) -> None:
        record = self.requests.get(ahead.request)
        if record is None or record.epoch != self.epoch or record.final is not None or record.streaming:
            return
        self._release_place(record)
        server = self.directory.servers.get(ahead.server)
        if record.attempt is None or record.attempt.server.role is not i.Role.READ or server is None:
            return
        if server.closed_us is not None or not server.places:
            return  # no call is made, and the policy gets no answer, as if the writer were unreachable
        record.place_count += 1
        record.place = Place(record.place_count, server)
        self._commands.append(
            c.ReservePlace(
                ahead.request,
                record.place_count,
                server,
                record.request.prompt_tokens,
                record.attempt.server,
                record.attempt.number,
            )
        )

    def may_reserve_place(self, request: int, number: int, read_attempt: int) -> bool:
        """Whether a call for a place that is about to be written is still wanted: its read is in flight."""
        record = self.requests.get(request)
        if record is None or record.final is not None or record.place is None or record.place.number != number:
            return False
        if record.attempt is None or record.attempt.number != read_attempt or not record.attempt.written:
            return False
        server = self.directory.servers.get(record.place.server.number)
        return server is not None and server.closed_us is None and self._same_address(server, record.place.server)

    def place_requested(self, now_us: int, request: int, number: int, server: Server) -> None:
        """The call for a place is being written: from now on the place may be held, whatever the answer."""
        record = self.requests.get(request)
        if record is not None:
            record.unanswered_places[number] = UnansweredPlace(server, now_us)
            self._mark_held(now_us, record)

    def place_answered(
        self, now_us: int, request: int, number: int, server: Server, held: bool | None
    ) -> list[c.Command]:
        """A writer granted or declined a place, or (None) did not answer; a place no longer wanted is released."""
        if held is None and self.rules.release_by_request:
            record = self.requests.get(request)
            asked = record.unanswered_places.get(number) if record is not None else None
            # If it is not on record when the call was written, the connection is taken to be dead, to be safe.
            silent = asked is None or now_us - asked.sent_us > PLACE_ANSWER_LIMIT_US
            self._commands.append(c.TrackUnreadCall(request, server, silent))
        return self._settle_place(now_us, request, number, server, held)

    def place_not_sent(self, request: int, number: int, ask_elsewhere: bool) -> list[c.Command]:
        """A call for a place was not sent, which shows nothing about its read: no writer has declined the place.

        `ask_elsewhere`: the policy may ask another writer, as nothing suggests that this one is unreachable.
        """
        record = self.requests.get(request)
        if record is None or record.place is None or record.place.number != number:
            return self._take_commands()
        record.place = None
        if ask_elsewhere and record.attempt is not None and record.attempt.server.role is i.Role.READ:
            self._notify(record, i.Note(request, record.attempt.number, record.attempt.server.number, False))
        return self._take_commands()

    def place_overdue(self, now_us: int, request: int, number: int, server: Server) -> list[c.Command]:
        """A writer did not answer a call for a place in time; its connection is open."""
        self._commands.append(c.AwaitLateAnswer(request, number, server))
        return self._settle_place(now_us, request, number, server, None)

    def _settle_place(
        self, now_us: int, request: int, number: int, server: Server, held: bool | None
    ) -> list[c.Command]:
        record = self.requests.get(request)
        place = record.place if record is not None else None
        if record is not None:
            record.unanswered_places.pop(number, None)
        if record is None or place is None or place.number != number:
            if held is not False and not self.rules.release_by_request:
                self._commands.append(c.ReleasePlace(request, number, server))
            elif held is not False:
                self._release_late_place(now_us, request, repeat=False)
            return self._take_commands()
        if held is None and self.rules.release_by_request:
            return self._take_commands()  # a place held after all is used by a write or released with the request
        if held is None:
            self._release_place(record)
            self._commands.append(c.ReleasePlace(request, number, server))
            return self._take_commands()
        place.held = held
        if not held:
            record.place = None
        if record.attempt is not None and record.attempt.server.role is i.Role.READ:
            self._mark_read_accepted(record.attempt)
            self._notify(record, i.Note(request, record.attempt.number, record.attempt.server.number, held))
        return self._take_commands()

    def late_place_answered(self, now_us: int, request: int, held: bool | None) -> list[c.Command]:
        """A writer has read a call for a place that was given up; None: it does not say whether it holds the place."""
        if held is not False:
            self._release_late_place(now_us, request, repeat=held is None)
        return self._take_commands()

    def _release_late_place(self, now_us: int, request: int, repeat: bool) -> None:
        """Release a place that a writer holds, or may hold, after it was no longer wanted.

        While an attempt is in flight that the release would harm, the time limit on what is held runs from now on.
        """
        record = self.requests.get(request)
        if record is None:
            self._commands.append(c.ReleaseAll(request, repeat))
            return
        # An earlier release may have arrived before the call for the place.
        self._mark_held(now_us, record)
        record.may_hold_later = record.may_hold_later or repeat
        # A release now would free a held state too; the place is released together with that state later.
        if record.state_server is None:
            self._release(record)

    def _mark_read_accepted(self, read: Attempt) -> None:
        """Called when a writer grants or declines a place: it does so only once a running reader has the read."""
        if read.written:
            read.evidence = Evidence.ACCEPTED

    def _same_address(self, listed: Server | None, connected: Server) -> bool:
        return listed is not None and (listed.host, listed.port) == (connected.host, connected.port)

    # --- time limit

    def _check_held(self, now_us: int, record: RequestRecord) -> None:
        """Release what has been held for too long, and abort an attempt that no running server is known to have."""
        # `record.held`: an engine may hold something for it, confirmed or not. With `release_by_request`, a place alone
        # (neither `held` nor a state) is one whose call is not written yet, for which no attempt is aborted.
        may_be_held = record.held or record.state_server is not None or record.place is not None
        if not may_be_held or now_us - record.held_since_us <= RELEASE_FRACTION * self.rules.release_us:
            return
        if record.attempt is None:
            self._interlock(record, "held too long")
            self._release(record)
        elif not record.attempt.accepted and not record.streaming and (record.held or record.state_server is not None):
            self._abort_unconfirmed(now_us, record, record.attempt)

    def _abort_unconfirmed(self, now_us: int, record: RequestRecord, attempt: Attempt) -> None:
        """Abort an attempt that may never have reached a running server, and release what it kept held."""
        self._interlock(record, "held while unanswered" if attempt.written else "held while connecting")
        reason = c.AbortReason.UNANSWERED if attempt.written else c.AbortReason.NOT_CONNECTED
        self._commands.append(c.Abort(record.request.request, attempt.number, attempt.server, reason))
        if attempt.written:  # idle connections to an unresponsive server may be dead too: the next call opens a new one
            self._commands.append(c.CloseIdle(attempt.server))
            if record.place is not None and not record.place.held:
                self._commands.append(c.CloseIdle(record.place.server))
        record.attempt = None
        self._track_unread(record, attempt, silent=True)
        status = i.Status.TIMEOUT if attempt.written else i.Status.CONNECT_FAILED
        if attempt.server.role is i.Role.READ:
            # The read may succeed at the moment of the abort.
            record.may_hold_later = record.may_hold_later or attempt.written
            status = i.Status.CANCELLED  # the unresponsive server may be the one with the place: neither is blamed
        else:
            record.may_have_run = record.may_have_run or may_have_run(attempt.server.role, status)
        self._unconfirmed_write(now_us, record, attempt)  # its place may be held; no effect on a read, which has none
        self._give_up_unanswered_places(record)
        self._release(record)
        self._notify(
            record,
            i.Outcome(
                record.request.request,
                attempt.number,
                attempt.server.number,
                status,
                now_us - attempt.sent_us,
                False,
                NOTE_NO_STATE,
            ),
        )
        if not record.epoch:  # no planner knows the request any more
            self._end_without_policy(record, "planner_lost")

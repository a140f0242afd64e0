"""What engines hold for a request while it has no answer: places asked, and the time in which all of it is let go of.

What is held is used by an attempt or let go of in the time of the rule. That time stops only while a running server is
known to have an attempt (`evidence.py`): not while a connection is made, and not because the attempt's bytes were
written, which a server that has fallen silent never reads. An attempt of which there is no word by `PINNED_PART` of
the time is called off and what is held let go of; the rest of the time is for the release to be heard.
"""

from __future__ import annotations

from yardspindle import interface as i
from yardspindle.core.hosts.directory import Server
from yardspindle.core.request import commands as c
from yardspindle.core.request.completion import RequestCompletion
from yardspindle.core.request.evidence import Evidence
from yardspindle.core.request.records import Attempt, Place, RequestRecord, UnansweredPlace
from yardspindle.core.request.retry_safety import may_have_run

RELEASE_FRACTION = 0.75  # of the release time: after it the edge lets go itself; the policy acts at half
CONNECTS_WHILE_HELD = 2  # writers that can be tried one after another in that time while a state is held
PLACE_UNKNOWN_US = 450_000  # a writer that knows no read for a place says so after 0.3 s
NOTHING_HELD = 1  # the note of an attempt after which no state is held any more


class HeldResources(RequestCompletion):
    """Places and states of the requests of one edge."""

    @property
    def held_connect_timeout_us(self) -> int | None:
        """In what time a write's connection has to come up, as what is held meanwhile counts as held."""
        return (
            round(RELEASE_FRACTION * self.rules.release_us / CONNECTS_WHILE_HELD)
            if self.rules.release_by_request
            else None
        )

    # --- places

    def _ahead(self, ahead: i.Ahead) -> None:
        r = self.requests.get(ahead.request)
        if r is None or r.epoch != self.epoch or r.final is not None or r.streaming:
            return
        self._release_place(r)
        server = self.directory.servers.get(ahead.server)
        if r.attempt is None or r.attempt.server.role is not i.Role.READ or server is None:
            return
        if server.closed_us is not None or not server.places:
            return  # asked nowhere: as at a writer that cannot be heard, no note comes
        r.place_count += 1
        r.place = Place(r.place_count, server)
        self._commands.append(
            c.ReservePlace(
                ahead.request, r.place_count, server, r.request.prompt_tokens, r.attempt.server, r.attempt.number
            )
        )

    def may_reserve_place(self, request: int, number: int, read_attempt: int) -> bool:
        """Whether a place whose asking is about to be written is still wanted there: the read for it is out."""
        r = self.requests.get(request)
        if r is None or r.final is not None or r.place is None or r.place.number != number:
            return False
        if r.attempt is None or r.attempt.number != read_attempt or not r.attempt.written:
            return False
        server = self.directory.servers.get(r.place.server.number)
        return server is not None and server.closed_us is None and self._as_connected(server, r.place.server)

    def place_requested(self, now_us: int, request: int, number: int, server: Server) -> None:
        """The call for a place is being written: from now on it may be held, whatever is answered."""
        r = self.requests.get(request)
        if r is not None:
            r.unanswered_places[number] = UnansweredPlace(server, now_us)
            self._hold(now_us, r)

    def place_answered(
        self, now_us: int, request: int, number: int, server: Server, held: bool | None
    ) -> list[c.Command]:
        """A writer said yes or no to a place, or (None) was not heard; a place nobody wants is let go."""
        r = self.requests.get(request)
        if held is None and self.rules.release_by_request:
            asked = r.unanswered_places.get(number) if r is not None else None
            silent = asked is None or now_us - asked.sent_us > PLACE_UNKNOWN_US
            self._commands.append(c.TrackUnreadCall(request, server, silent))
        place = r.place if r is not None else None
        if r is not None:
            r.unanswered_places.pop(number, None)
        if r is None or place is None or place.number != number:
            self._place_too_late(now_us, r, request, number, server, held)
            return self._take_commands()
        if held is None and self.rules.release_by_request:
            return self._take_commands()  # it may be held: a write there will take it, and the end lets go of it
        if held is None:
            self._release_place(r)
            self._commands.append(c.ReleasePlace(request, number, server))
            return self._take_commands()
        place.held = held
        if not held:
            r.place = None
        if r.attempt is not None and r.attempt.server.role is i.Role.READ:
            self._read_is_known(r.attempt)
            self._tell(r, i.Note(request, r.attempt.number, r.attempt.server.number, held))
        return self._take_commands()

    def _place_too_late(
        self, now_us: int, r: RequestRecord | None, request: int, number: int, server: Server, held: bool | None
    ) -> None:
        if held is False:
            return
        if not self.rules.release_by_request:
            self._commands.append(c.ReleasePlace(request, number, server))
        elif r is None:
            self._commands.append(c.ReleaseAll(request, False))
        else:  # the word that let go may have come before the asking
            self._hold(now_us, r)
            if r.state_server is None:
                self._release(r)

    def _read_is_known(self, read: Attempt) -> None:
        """A writer's yes or no to a place: it gives either only if a read of the request runs somewhere."""
        if read.written:
            read.evidence = Evidence.ACCEPTED

    def _as_connected(self, listed: Server | None, connected: Server) -> bool:
        return listed is not None and (listed.host, listed.port) == (connected.host, connected.port)

    # --- time

    def _look_at_what_is_held(self, now_us: int, r: RequestRecord) -> None:
        """Let go of what is held for too long, and call off the attempt that no running server is known to have."""
        held = r.held or r.state_server is not None or r.place is not None
        if not held or now_us - r.held_since_us <= RELEASE_FRACTION * self.rules.release_us:
            return
        if r.attempt is None:
            self._interlock(r, "held too long")
            self._release(r)
        elif not r.attempt.accepted and not r.streaming and (r.held or r.state_server is not None):
            self._call_off(now_us, r, r.attempt)

    def _call_off(self, now_us: int, r: RequestRecord, out: Attempt) -> None:
        """An attempt that may never have come to a running server must not keep what is held any longer."""
        self._interlock(r, "held while unanswered" if out.written else "held while connecting")
        reason = c.AbortReason.UNANSWERED if out.written else c.AbortReason.NOT_CONNECTED
        self._commands.append(c.Abort(r.request.request, out.number, out.server, reason))
        if out.written:  # what else is kept open to a silent server may be as silent: the next call takes a new one
            self._commands.append(c.CloseIdle(out.server))
            if r.place is not None and not r.place.held:
                self._commands.append(c.CloseIdle(r.place.server))
        r.attempt = None
        self._may_lie_unread(r, out, silent=True)
        status = i.Status.TIMEOUT if out.written else i.Status.CONNECT_FAILED
        if out.server.role is i.Role.READ:
            r.may_hold_later = r.may_hold_later or out.written  # it may end well just as it is called off
            status = i.Status.CANCELLED  # the server that is silent may be the place's: no blame for either
        else:
            r.may_have_run = r.may_have_run or may_have_run(out.server.role, status)
        self._unconfirmed_write(now_us, r, out)
        self._stop_asking(r)
        self._release(r)
        self._tell(
            r,
            i.Outcome(
                r.request.request, out.number, out.server.number, status, now_us - out.sent_us, False, NOTHING_HELD
            ),
        )
        if not r.epoch:
            self._give_up(r, "planner_lost")

"""How a request at the edge ends: the one way out for final answers, and what is called off and let go of after it."""

from __future__ import annotations

from yardspindle import interface as i
from yardspindle.core.hosts.directory import Directory
from yardspindle.core.request import commands as c
from yardspindle.core.request.records import Attempt, EdgeRules, RequestCounts, RequestRecord
from yardspindle.core.request.retry_safety import harmless_to_repeat, may_have_run


class RequestCompletion:
    """The requests of one edge, their final answers and releases."""

    def __init__(self, rules: EdgeRules) -> None:
        """Start without a planner."""
        self.rules = rules
        self.directory = Directory()
        self.requests: dict[int, RequestRecord] = {}
        self.epoch = 0  # of the planner that decides; 0: none
        self.counts = RequestCounts()
        self._commands: list[c.Command] = []

    def _give_up(self, r: RequestRecord, code: str, retry_after_us: int | None = None) -> None:
        """Answer without a planner, at once: refuse where trying again is harmless."""
        if harmless_to_repeat(r.effect, r.may_have_run):
            self._final(
                r, c.Final.REFUSED, code, self.rules.retry_after_us if retry_after_us is None else retry_after_us
            )
        else:
            self._final(r, c.Final.FAILED, "may_have_run")
        self._release(r)
        self._forget_if_done(r)

    def _answer(self, now_us: int, r: RequestRecord, final: c.Final, code: str, retry_after_us: int = 0) -> None:
        if r.final is not None or r.streaming:
            return  # the first answer, or the stream, crossed with this one
        self._final(r, final, code, retry_after_us)
        self._settle(now_us, r)

    def _final(self, r: RequestRecord, final: c.Final, code: str, retry_after_us: int = 0) -> None:
        """The only place from which a final answer goes out."""
        assert r.final is None, "a second final answer"
        r.final = final
        match final:
            case c.Final.SERVED:
                self.counts.served += 1
            case c.Final.REFUSED:
                self.counts.refused += 1
            case c.Final.FAILED:
                self.counts.failed += 1
        self._commands.append(c.Answer(r.request.request, final, code, retry_after_us, r.streaming))

    def _settle(self, now_us: int, r: RequestRecord) -> None:
        """After its end: stop what runs, let go of what is held, forget it."""
        if r.final is not None:
            if r.attempt is not None:
                self._abort(now_us, r, c.AbortReason.REQUEST_OVER)
            self._release(r)
            self._forget_if_done(r)

    def _abort(self, now_us: int, r: RequestRecord, reason: c.AbortReason) -> None:
        out = r.attempt
        assert out is not None
        r.attempt = None
        if out.accepted:
            r.held_since_us = now_us
        if out.written:
            r.may_have_run = r.may_have_run or may_have_run(out.server.role, i.Status.CANCELLED)
        self._commands.append(c.Abort(r.request.request, out.number, out.server, reason))
        self._may_lie_unread(r, out)
        if not r.streaming:
            self._unconfirmed_write(now_us, r, out)
        if out.server.role is i.Role.READ and self.rules.release_by_request:
            if out.written:
                r.may_hold_later = True  # it may end well just as it is called off
                self._hold(now_us, r)
            self._release(r)
        elif out.server.role is i.Role.READ:
            self._commands.append(c.ReleaseState(r.request.request, out.number, out.server))
        self._tell(
            r,
            i.Outcome(
                r.request.request,
                out.number,
                out.server.number,
                i.Status.CANCELLED,
                now_us - out.sent_us,
                r.final is not None,
            ),
        )

    def _may_lie_unread(self, r: RequestRecord, out: Attempt, silent: bool = False) -> None:
        """An attempt is over without its server's answer: it may be read there later, and leave a state."""
        # A read that was taken may also go on at a host that was stopped in the midst of it. A write that is read late
        # finds its state gone.
        if self.rules.release_by_request and out.written and out.server.role is not i.Role.WRITE:
            self._commands.append(c.TrackUnreadCall(r.request.request, out.server, silent))

    def _hold(self, now_us: int, r: RequestRecord) -> None:
        """Something may be held for it from now on, unless it is already."""
        if not r.held:
            r.held, r.held_since_us = True, now_us

    def _unconfirmed_write(self, now_us: int, r: RequestRecord, out: Attempt) -> None:
        """A write ended without the writer's word that it had come: its place may still be held there."""
        if self.rules.release_by_request:
            if out.place is not None:
                self._hold(now_us, r)
        elif out.place is not None:
            self._commands.append(c.ReleasePlace(r.request.request, out.place, out.server))

    def _forget_if_done(self, r: RequestRecord) -> None:
        if r.final is not None and r.attempt is None:
            self.requests.pop(r.request.request, None)

    def _release(self, r: RequestRecord) -> None:
        """Let go of all that no attempt waits on."""
        if self.rules.release_by_request:
            return self._release_all(r)
        if r.attempt is None or r.attempt.server.role is i.Role.READ:
            self._release_state(r)
        self._release_place(r)
        r.held = False

    def _release_all(self, r: RequestRecord) -> None:
        """One word lets go of everything; none under an attempt that may run, whose state or place it would take."""
        if r.held and (r.attempt is None or r.attempt.server.role is i.Role.READ and not r.attempt.written):
            if r.final is not None:
                self._stop_asking(r)
            self._commands.append(c.ReleaseAll(r.request.request, r.may_hold_later))
            r.state, r.state_server, r.place, r.held, r.may_hold_later = None, None, None, False, False

    def _stop_asking(self, r: RequestRecord) -> None:
        """A place whose answer is awaited may come to be held after the word: it is called off, and that said again."""
        for number, place in sorted(r.unanswered_places.items()):
            self._commands.append(c.AbortPlace(r.request.request, number))
            # A writer that reads such a call answers at once: whatever it answers on other connections, this one may
            # be silent.
            self._commands.append(c.TrackUnreadCall(r.request.request, place.server, silent=True))
            r.may_hold_later = True
        r.unanswered_places.clear()

    def _release_state(self, r: RequestRecord) -> None:
        if r.state_server is not None:
            if not self.rules.release_by_request:
                self._commands.append(c.ReleaseState(r.request.request, r.state_attempt, r.state_server))
            r.state, r.state_server = None, None

    def _release_place(self, r: RequestRecord) -> None:
        """A place whose answer is still out is let go when that comes (`place_answered`)."""
        if r.place is not None and r.place.held and not self.rules.release_by_request:
            self._commands.append(c.ReleasePlace(r.request.request, r.place.number, r.place.server))
        r.place = None

    def _tell(self, r: RequestRecord, event: i.Event) -> None:
        if r.epoch and r.epoch == self.epoch:
            self._commands.append(c.NotifyPlanner(event))

    def _interlock(self, r: RequestRecord, rule: str) -> None:
        self.counts.interlocks[rule] = self.counts.interlocks.get(rule, 0) + 1
        self._commands.append(c.Warn(r.request.request, rule))

    def _take_commands(self) -> list[c.Command]:
        taken, self._commands = self._commands, []
        return taken

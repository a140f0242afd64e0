"""The edge's core: request life cycles, the rule checker and the pending releases.

The edge is the process that holds the client connections; the planner is the process that decides which server does
what. The edge's I/O handles requests through the class `EdgeCore` alone. Every command passes the rule checker before
it goes out; releases are queued and go out as engines can be reached.

An attempt is one send of a request's stage to one server: a reader (prefill) or writer (decode). A release frees a
state (the KV cache that a read leaves) or a place (memory reserved at a writer). An interlock is a rule at the edge
that stops an action of the planner.
"""

from __future__ import annotations

from typing import Any

from yardspindle import interface as i
from yardspindle.core.hosts.directory import Server
from yardspindle.core.request import commands as c
from yardspindle.core.request.engine_releases import PendingRelease, ReleaseQueues, ResourceKind
from yardspindle.core.request.late_answers import LateAnswers, LateCall
from yardspindle.core.request.lifecycle import Lifecycle
from yardspindle.core.request.records import EdgeRules
from yardspindle.core.request.request_releases import RequestRelease, RequestReleases
from yardspindle.core.request.rule_checker import RuleChecker
from yardspindle.core.request.unread_calls import Probe, UnreadCalls


class EdgeCore:
    """One edge's core. Events come in with the current time; commands come back, to be carried out in order."""

    def __init__(self, rules: EdgeRules, seed: int = 0) -> None:
        """Start without a planner; the seed makes edges differ where they must not all choose alike."""
        self.lifecycle = Lifecycle(rules)
        self.rule_checker = RuleChecker(rules)
        self.engine_releases = ReleaseQueues()
        self.request_releases = RequestReleases(seed)
        self.unread_calls = UnreadCalls(rules.release_us, rules.idle_connection_us)
        self.late_answers = LateAnswers()

    @property
    def epoch(self) -> int:
        """Epoch (the number of one run) of the planner in charge; 0: none."""
        return self.lifecycle.epoch

    @property
    def busy(self) -> bool:
        """Whether a request is open or a release is pending."""
        return bool(self.lifecycle.requests or self.engine_releases.pending or self.request_releases.pending)

    @property
    def needs_tick(self) -> bool:
        """Whether `tick` has to be called."""
        return self.busy or self.unread_calls.active

    def counts(self) -> dict[str, int]:
        """Counts since the start: requests, their ends, actions stopped by interlocks, expired releases, violations."""
        broken = {
            f"broken_{rule.replace(' ', '_')}": count
            for rule, count in sorted(self.rule_checker.violation_counts.items())
        }
        lapsed = self.request_releases.evicted + self.engine_releases.evicted + self.unread_calls.evicted
        releases = {
            "releases_lapsed": lapsed,
            "unread_calls": len(self.unread_calls),
            "late_answers": len(self.late_answers),
        }
        return self.lifecycle.counts.as_dict() | releases | {"violations": sum(broken.values())} | broken

    def planner_up(self, now_us: int, epoch: int) -> list[c.Command]:
        """A planner takes over."""
        return self._out(now_us, self.lifecycle.planner_up(now_us, epoch))

    def planner_down(self, now_us: int) -> list[c.Command]:
        """No planner is connected."""
        return self._out(now_us, self.lifecycle.planner_down(now_us))

    def shut_down(self, now_us: int) -> list[c.Command]:
        """The edge's process is about to exit."""
        return self._out(now_us, self.lifecycle.shut_down(now_us))

    def stream_flushed(self, now_us: int, request: int) -> list[c.Command]:
        """All that had arrived of a stream at shutdown is passed on."""
        return self._out(now_us, self.lifecycle.stream_flushed(now_us, request))

    def update_servers(self, now_us: int, listed: list[Server]) -> list[c.Command]:
        """Apply the planner's list of servers."""
        commands = self.lifecycle.update_servers(now_us, listed)
        self.request_releases.retain_servers(self.lifecycle.directory.servers)
        self.engine_releases.retain_servers(self.lifecycle.directory.servers.values())
        servers = self.lifecycle.directory.servers.items()
        present = {number for number, server in servers if server.state is not i.State.GONE}
        self.unread_calls.retain_servers(now_us, present)
        commands += [c.AbortPlace(call.request, call.place) for call in self.late_answers.remove_unlisted(present)]
        return self._out(now_us, commands)

    def request_arrived(self, now_us: int, request: i.Request, buffered: bool = False) -> list[c.Command]:
        """A client's request; `buffered`: it gets its answer in one piece, after the last token."""
        self.rule_checker.request_arrived(now_us, request, buffered)
        return self._out(now_us, self.lifecycle.request_arrived(now_us, request, buffered))

    def client_disconnected(self, now_us: int, request: int) -> list[c.Command]:
        """The client disconnected."""
        self.rule_checker.client_disconnected(now_us, request)
        return self._out(now_us, self.lifecycle.client_disconnected(now_us, request))

    def apply_action(self, now_us: int, epoch: int, action: i.Action) -> list[c.Command]:
        """Carry out an action of the planner with this epoch."""
        return self._out(now_us, self.lifecycle.apply_action(now_us, epoch, action))

    def place_answered(
        self, now_us: int, request: int, number: int, server: Server, held: bool | None
    ) -> list[c.Command]:
        """A writer granted or declined a place (memory reserved for a write), or (None) did not answer."""
        self.rule_checker.place_answered(now_us, request, number, server.name, held)
        return self._out(now_us, self.lifecycle.place_answered(now_us, request, number, server, held))

    def place_not_sent(
        self, now_us: int, request: int, number: int, server: Server, ask_elsewhere: bool
    ) -> list[c.Command]:
        """A call for a place was not sent; `ask_elsewhere`: the policy may ask another writer."""
        self.rule_checker.place_answered(now_us, request, number, server.name, None)
        return self._out(now_us, self.lifecycle.place_not_sent(request, number, ask_elsewhere))

    def place_overdue(self, now_us: int, request: int, number: int, server: Server) -> list[c.Command]:
        """A writer did not answer a call for a place in time; its connection is open."""
        self.rule_checker.place_answered(now_us, request, number, server.name, None)
        return self._out(now_us, self.lifecycle.place_overdue(now_us, request, number, server))

    def late_answer_ended(self, now_us: int, request: int, place: int, held: bool | None) -> list[c.Command]:
        """A writer answered a call for a place that was given up, or (None) may hold it without having said so."""
        call = self.late_answers.remove(request, place)
        if call is None:
            return []
        return self._out(now_us, self.lifecycle.late_place_answered(now_us, request, held))

    def close_oldest_late_answer(self, now_us: int) -> list[c.Command]:
        """A descriptor is needed: await one late answer less."""
        call = self.late_answers.remove_oldest()
        return [self._close_late_call(now_us, call)] if call is not None else []

    def first_token(self, now_us: int, request: int, number: int) -> tuple[bool, list[c.Command]]:
        """An attempt's answer begins; returns whether its request is still open, and the commands."""
        begun = self.lifecycle.first_token(now_us, request, number)
        if begun:
            self.rule_checker.stream_began(request)
        return begun, self._out(now_us, self.lifecycle.take_commands())

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
        """An attempt ended or timed out; `note`, `state` and `stale` as in `Lifecycle.attempt_ended`."""
        if status is i.Status.TIMEOUT and self.lifecycle.is_unwritten(request, number):
            status = i.Status.MOOT  # timed out before its last byte was written: nothing of it has run
        self.rule_checker.attempt_ended(now_us, request, number, status, note)
        return self._out(now_us, self.lifecycle.attempt_ended(now_us, request, number, status, note, state, stale))

    def start_sending(self, now_us: int, request: int, number: int) -> int:
        """An attempt's first byte is about to be written: the milliseconds left for it, 0 if it must not be sent.

        No attempt is sent while a release of its request is pending: the release would take what the attempt needs, and
        could not be sent itself for as long as the attempt lies unread at some server.
        """
        left_ms, server = self.lifecycle.remaining_ms(now_us, request, number), self.lifecycle.listed_server(request)
        if not left_ms or not self.rule_checker.may_send(
            now_us, request, number, server, self.release_pending(request)
        ):
            return 0
        return left_ms

    def release_pending(self, request: int) -> bool:
        """Whether a release of what earlier attempts of a request left is pending."""
        return request in self.request_releases.pending

    def may_reserve_place(self, request: int, number: int, read_attempt: int) -> bool:
        """Whether a place is still wanted: its read is in flight and its writer accepts new work."""
        return self.lifecycle.may_reserve_place(request, number, read_attempt)

    def place_requested(self, now_us: int, request: int, number: int, server: Server) -> bool:
        """The call for a place is about to be written; returns whether it may be. The place may be held from now on."""
        if not self.rule_checker.may_reserve_place(
            now_us, request, number, self.lifecycle.directory.servers.get(server.number)
        ):
            return False
        self.lifecycle.place_requested(now_us, request, number, server)
        return True

    def server_answered(self, now_us: int, server: int, sent_us: int) -> None:
        """A server answered a call whose first byte was written at `sent_us` or later."""
        self.request_releases.server_answered(now_us, server)
        self.unread_calls.server_answered(now_us, server, sent_us)

    def server_unresponsive(self, now_us: int, server: int) -> None:
        """A server could not be reached, broke a connection or did not answer."""
        self.request_releases.server_unresponsive(now_us, server)

    def tracks_release(self, request: int) -> bool:
        """Whether a release of a request is pending, will be repeated or may become due."""
        if request in self.request_releases.pending:
            return True
        return self.unread_calls.tracks(request) or self.late_answers.awaits(request)

    def may_send_release(self, release: RequestRelease) -> bool:
        """Whether a release that is about to be written is still pending and takes nothing from an attempt."""
        return self.request_releases.pending.get(release.request) is release and self.rule_checker.may_release(
            release.request
        )

    def attempt_written(self, request: int, number: int) -> None:
        """An attempt's last byte is written: it may run from now on."""
        self.lifecycle.attempt_written(request, number)
        self.rule_checker.attempt_written(request, number)

    def attempt_answered(self, request: int, number: int) -> None:
        """The first bytes of an attempt's answer arrived: a running server has it."""
        self.lifecycle.attempt_answered(request, number)
        self.rule_checker.attempt_answered(request, number)

    def tick(self, now_us: int) -> list[c.Command]:
        """Enforce deadlines and send what is due."""
        self._repeat_due_releases(now_us)
        commands = self._out(now_us, self.lifecycle.tick(now_us))
        commands += self._due_probes(now_us)
        self.rule_checker.check_time(now_us)
        for release in self.request_releases.take_overdue(now_us, self.lifecycle.rules.release_us):
            self.rule_checker.release_overdue(now_us, release.request, release.since_us)
        return [*commands, *self._violations()]

    def release_settled(self, now_us: int, release: PendingRelease, confirmed: bool) -> list[c.Command]:
        """An engine confirmed a release of one state or place, or did not."""
        self.engine_releases.settled(now_us, release, confirmed)
        return self._due_releases(now_us)

    def request_release_settled(
        self,
        now_us: int,
        release: RequestRelease,
        server: int,
        confirmed: bool | None,
        late: bool = False,
        sent_us: int = 0,
    ) -> list[c.Command]:
        """An engine confirmed the release of all that is held for a request, or did not, or (None) was not asked.

        `late`: the call had been reported overdue; `sent_us`: not later than its first byte was written.
        """
        if confirmed:
            self.unread_calls.server_answered(now_us, server, sent_us)
        if late:
            self.request_releases.late_call_settled(now_us, release, server, bool(confirmed))
        else:
            self.request_releases.settled(now_us, release, server, confirmed)
        return self._due_releases(now_us)

    def may_send_probe(self, probe: Probe) -> bool:
        """Whether a probe that is about to be written is still wanted and takes nothing from an attempt."""
        return self.unread_calls.is_current(probe) and self.rule_checker.may_release(probe.request)

    def probe_settled(self, now_us: int, probe: Probe, answered: bool | None, sent_us: int) -> list[c.Command]:
        """A probe of a silent engine was answered, or was not, or (None) was not sent for a reason of this process."""
        self.unread_calls.probe_settled(now_us, probe, answered, sent_us)
        if answered:
            self.request_releases.server_answered(now_us, probe.server)
        elif answered is False:
            self.request_releases.server_unresponsive(now_us, probe.server)
        self._repeat_due_releases(now_us)
        return [*self._due_releases(now_us), *self._due_probes(now_us)]

    def request_release_overdue(
        self, now_us: int, release: RequestRelease, server: int
    ) -> tuple[bool, list[c.Command]]:
        """A release call is overdue; returns whether to keep waiting for it, and commands for further calls."""
        unresponsive = self.lifecycle.directory.servers.get(server)
        commands: list[c.Command] = [c.CloseIdle(unresponsive)] if unresponsive is not None else []
        if not self.request_releases.call_overdue(now_us, release, server):
            return False, commands
        return True, [*commands, *self._due_releases(now_us)]

    def _out(self, now_us: int, commands: list[c.Command]) -> list[c.Command]:
        """Check commands, queue the releases among them, and add the releases that are due."""
        allowed = self.rule_checker.check(now_us, commands)
        if len(allowed) < len(commands):
            for command in commands:
                if isinstance(command, (c.Read, c.Write)) and command not in allowed:
                    allowed += self.lifecycle.attempt_ended(now_us, command.request, command.attempt, i.Status.MOOT)
        out: list[c.Command] = []
        for command in allowed:
            match command:
                case c.ReleaseState(request, attempt, server):
                    self.engine_releases.add(now_us, server, ResourceKind.STATE, request, attempt)
                case c.ReleasePlace(request, place, server):
                    self.engine_releases.add(now_us, server, ResourceKind.PLACE, request, place)
                case c.ReleaseAll(request, repeat):
                    self.request_releases.add(now_us, request, repeat)
                case c.TrackUnreadCall(request, server, silent):
                    is_place = server.role is i.Role.WRITE
                    self.unread_calls.add(now_us, request, server.number, is_place, silent)
                case c.AwaitLateAnswer():
                    out += self._await_late_answer(now_us, command)
                case c.Abort(reason=c.AbortReason.UNANSWERED | c.AbortReason.NOT_CONNECTED):
                    self.request_releases.server_unresponsive(now_us, command.server.number)
                    out.append(command)
                case _:
                    out.append(command)
        return [*out, *self._due_releases(now_us), *self._violations()]

    def _await_late_answer(self, now_us: int, command: c.AwaitLateAnswer) -> list[c.Command]:
        """Await a late answer, and track its call until its server runs again, as it may answer late even then."""
        request, server = command.request, command.server.number
        self.unread_calls.add(now_us, request, server, is_place=True, silent=False)
        closed = self.late_answers.add(LateCall(request, command.place, server))
        return [command] if closed is None else [command, self._close_late_call(now_us, closed)]

    def _close_late_call(self, now_us: int, call: LateCall) -> c.Command:
        """Close a call's connection: from then on nothing tells when its server has read the call."""
        self.unread_calls.add(now_us, call.request, call.server, is_place=True, silent=True)
        return c.AbortPlace(call.request, call.place)

    def _repeat_due_releases(self, now_us: int) -> None:
        for request in self.unread_calls.take_due(now_us, self.lifecycle.requests.keys()):
            self.request_releases.repeat(now_us, request)

    def _due_probes(self, now_us: int) -> list[c.Command]:
        servers = self.lifecycle.directory.servers
        return [
            c.SendProbe(probe, servers[probe.server])
            for probe in self.unread_calls.take_probes(now_us, self.lifecycle.requests.keys())
        ]

    def _due_releases(self, now_us: int) -> list[c.Command]:
        due: list[c.Command] = []
        if self.engine_releases.pending:
            due += [c.SendRelease(release) for release in self.engine_releases.take_due(now_us)]
        if self.request_releases.pending:
            due += [
                c.SendRequestRelease(release, server)
                for release, server in self.request_releases.take_due(now_us, self.lifecycle.directory.servers)
            ]
        return due

    def _violations(self) -> list[c.Command]:
        return [
            c.ReportViolation(violation.rule, violation.request, violation.text)
            for violation in self.rule_checker.take_violations()
        ]

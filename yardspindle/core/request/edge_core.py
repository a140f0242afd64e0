"""The edge's whole core: life cycles, the watch on the rules, and what engines are still to let go of.

The edge's I/O calls this and nothing else of the core for a request's life. Every command passes the watch before
it goes out; releases become what is owed to each engine and come out as that engine can be told.
"""

from __future__ import annotations

from typing import Any

from yardspindle import interface as i
from yardspindle.core.hosts.directory import Server
from yardspindle.core.request import commands as c
from yardspindle.core.request.lifecycle import Lifecycle
from yardspindle.core.request.open import EdgeRules
from yardspindle.core.request.releases import Owed, Releases, Thing
from yardspindle.core.request.rooms import Room, Rooms
from yardspindle.core.request.rules import RuleWatch
from yardspindle.core.request.unread_calls import UnreadCalls


class EdgeCore:
    """One edge's core. Every method takes the time and gives the commands to carry out, in order."""

    def __init__(self, rules: EdgeRules, seed: int = 0) -> None:
        """Start without a planner; the seed is for what all edges must not choose alike."""
        self.life = Lifecycle(rules)
        self.watch = RuleWatch(rules)
        self.releases = Releases()
        self.rooms = Rooms(seed)
        self.unread = UnreadCalls(rules.release_us)

    @property
    def epoch(self) -> int:
        """The planner that decides; 0: none."""
        return self.life.epoch

    @property
    def busy(self) -> bool:
        """Whether a request is open or a release is owed."""
        return bool(self.life.open or self.releases.owed or self.rooms.owed)

    @property
    def needs_time(self) -> bool:
        """Whether time has to be looked at."""
        return self.busy or bool(self.unread.requests)

    def counts(self) -> dict[str, int]:
        """What was taken, how it ended, what was stopped by itself, and the rules found broken, since the start."""
        broken = {f"broken_{rule.replace(' ', '_')}": count for rule, count in sorted(self.watch.violations.items())}
        releases = {"releases_lapsed": self.rooms.lapsed + self.releases.lapsed}
        return self.life.tally.fields() | releases | {"violations": sum(broken.values())} | broken

    def planner_up(self, now_us: int, epoch: int) -> list[c.Command]:
        """A planner decides from now on."""
        return self._out(now_us, self.life.planner_up(now_us, epoch))

    def planner_down(self, now_us: int) -> list[c.Command]:
        """No planner decides."""
        return self._out(now_us, self.life.planner_down(now_us))

    def leave(self, now_us: int) -> list[c.Command]:
        """This program is about to end."""
        return self._out(now_us, self.life.leave(now_us))

    def last_said(self, now_us: int, request: int) -> list[c.Command]:
        """What had come of a stream when this program was about to end was passed on."""
        return self._out(now_us, self.life.last_said(now_us, request))

    def servers(self, now_us: int, listed: list[Server]) -> list[c.Command]:
        """The planner's list of servers."""
        commands = self.life.servers(now_us, listed)
        self.rooms.keep(self.life.directory.servers)
        self.unread.keep(
            [number for number, server in self.life.directory.servers.items() if server.state is not i.State.GONE]
        )
        return self._out(now_us, commands)

    def arrive(self, now_us: int, ask: i.Request, whole: bool = False) -> list[c.Command]:
        """A client's request; `whole`: it sees nothing of its answer before the last token."""
        self.watch.arrived(now_us, ask, whole)
        return self._out(now_us, self.life.arrive(now_us, ask, whole))

    def client_left(self, now_us: int, request: int) -> list[c.Command]:
        """The client hung up."""
        self.watch.left(now_us, request)
        return self._out(now_us, self.life.client_left(now_us, request))

    def act(self, now_us: int, epoch: int, action: i.Action) -> list[c.Command]:
        """An action of a planner's start."""
        return self._out(now_us, self.life.act(now_us, epoch, action))

    def place_answered(
        self, now_us: int, request: int, number: int, server: Server, held: bool | None
    ) -> list[c.Command]:
        """A writer said yes or no to a place, or (None) was not heard."""
        self.watch.place(now_us, request, number, server.name, held)
        return self._out(now_us, self.life.place_answered(now_us, request, number, server, held))

    def first_token(self, now_us: int, request: int, number: int) -> tuple[bool, list[c.Command]]:
        """The answer begins; whether the request is still there for it."""
        begun = self.life.first_token(now_us, request, number)
        if begun:
            self.watch.began(request)
        return begun, self._out(now_us, self.life.told())

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
        """An attempt ended by itself or by its time-out."""
        if status is i.Status.TIMEOUT and self.life.unwritten(request, number):
            status = i.Status.MOOT  # its time was up before its last byte was written: nothing of it has run
        self.watch.ended(now_us, request, number, status, note)
        return self._out(now_us, self.life.attempt_ended(now_us, request, number, status, note, state, stale))

    def sending(self, now_us: int, request: int, number: int) -> int:
        """An attempt's first byte is about to be written: the milliseconds that it may tell, 0 if it must not go out.

        None goes out while a release of its request is owed (`owes`): the release would take what the attempt needs,
        and left out it would stay unsaid for as long as the attempt lies unread somewhere.
        """
        left_ms, server = self.life.left_ms(now_us, request, number), self.life.listed(request)
        if not left_ms or not self.watch.sending(now_us, request, number, server, self.owes(request)):
            return 0
        return left_ms

    def owes(self, request: int) -> bool:
        """Whether some engine is still to let go of what an earlier attempt of a request left."""
        return request in self.rooms.owed

    def asking(self, request: int, number: int, read_attempt: int) -> bool:
        """Whether a place is still to be asked for: its read is out, and its writer takes new work."""
        return self.life.may_ask(request, number, read_attempt)

    def place_asked(self, now_us: int, request: int, number: int, server: Server) -> bool:
        """The call for a place is about to be written; whether it may be. From now on the place may be held."""
        if not self.watch.place_asked(now_us, request, number, self.life.directory.servers.get(server.number)):
            return False
        self.life.place_asked(now_us, request, number, server)
        return True

    def server_heard(self, now_us: int, server: int) -> None:
        """A server answered something."""
        self.rooms.heard(now_us, server)
        self.unread.heard(now_us, server)

    def server_silent(self, now_us: int, server: int) -> None:
        """A server did not come up, broke off, or did not answer."""
        self.rooms.silent(now_us, server)

    def remembers(self, request: int) -> bool:
        """Whether a release of a request is owed, or will be said again."""
        return request in self.rooms.owed or request in self.unread.requests

    def freeing(self, room: Room) -> bool:
        """Whether a release whose first byte is about to be written is owed, and takes nothing from an attempt."""
        return self.rooms.owed.get(room.request) is room and self.watch.releasing(room.request)

    def written(self, request: int, number: int) -> None:
        """An attempt's last byte is written: from now on it is out."""
        self.life.written(request, number)
        self.watch.written(request, number)

    def heard(self, request: int, number: int) -> None:
        """The first bytes of an attempt's answer came: a running server has it."""
        self.life.heard(request, number)
        self.watch.heard(request, number)

    def tick(self, now_us: int) -> list[c.Command]:
        """Look at the clock."""
        for request in self.unread.take_due(now_us, self.life.open.keys()):
            self.rooms.say_again(now_us, request)
        commands = self._out(now_us, self.life.tick(now_us))
        self.watch.check_time(now_us)
        for room in self.rooms.take_overdue(now_us, self.life.rules.release_us):
            self.watch.release_overdue(now_us, room.request, room.since_us)
        return [*commands, *self._broken()]

    def release_settled(self, now_us: int, owed: Owed, heard: bool) -> list[c.Command]:
        """An engine confirmed a release, or was not heard."""
        self.releases.settled(now_us, owed, heard)
        return self._due(now_us)

    def room_settled(
        self, now_us: int, room: Room, server: int, heard: bool | None, late: bool = False
    ) -> list[c.Command]:
        """An engine let go of all that was held for a request, or was not heard, or (None) not asked; `late`: it had
        been overdue.
        """
        if heard:
            self.unread.heard(now_us, server)
        if late:
            self.rooms.settled_late(now_us, room, server, bool(heard))
        else:
            self.rooms.settled(now_us, room, server, heard)
        return self._due(now_us)

    def room_overdue(self, now_us: int, room: Room, server: int) -> tuple[bool, list[c.Command]]:
        """An engine has not been heard in time. Whether it is waited for on, and who is asked meanwhile."""
        silent = self.life.directory.servers.get(server)
        commands: list[c.Command] = [c.CloseIdle(silent)] if silent is not None else []
        if not self.rooms.overdue(now_us, room, server):
            return False, commands
        return True, [*commands, *self._due(now_us)]

    def _out(self, now_us: int, commands: list[c.Command]) -> list[c.Command]:
        allowed = self.watch.check(now_us, commands)
        if len(allowed) < len(commands):
            for command in commands:
                if isinstance(command, (c.Read, c.Write)) and command not in allowed:
                    allowed += self.life.attempt_ended(now_us, command.request, command.attempt, i.Status.MOOT)
        out: list[c.Command] = []
        for command in allowed:
            match command:
                case c.ReleaseState(request, attempt, server):
                    self.releases.owe(now_us, server, Thing.STATE, request, attempt)
                case c.ReleasePlace(request, place, server):
                    self.releases.owe(now_us, server, Thing.PLACE, request, place)
                case c.ReleaseAll(request, again):
                    self.rooms.owe(now_us, request, again)
                case c.CallUnread(request, server, silent):
                    self.unread.add(now_us, request, server.number, silent)
                case c.Abort(reason=c.AbortReason.UNANSWERED | c.AbortReason.NOT_CONNECTED):
                    self.rooms.silent(now_us, command.server.number)
                    out.append(command)
                case _:
                    out.append(command)
        return [*out, *self._due(now_us), *self._broken()]

    def _due(self, now_us: int) -> list[c.Command]:
        due: list[c.Command] = []
        if self.releases.owed:
            due += [c.Release(owed) for owed in self.releases.take_due(now_us)]
        if self.rooms.owed:
            due += [c.Free(room, server) for room, server in self.rooms.take_due(now_us, self.life.directory.servers)]
        return due

    def _broken(self) -> list[c.Command]:
        return [c.Broken(found.rule, found.request, found.text) for found in self.watch.take_breaks()]

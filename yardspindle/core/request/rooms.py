"""What is held for a request anywhere, where one word to any engine lets go of all of it.

A release is owed by request, not by engine: any engine that lives passes it on, so one that does not come up is no
excuse. The engine heard last is asked first, and several others at once when it does not answer: where a part of the
fleet is cut off, most of those heard last are silent. One that was silent comes last for every other request too, and
those of which nothing is known come in an order of each edge's own, or a fleet would ask one engine, dead or not, at
the same moment. A read whose connection
was closed may still leave its state after the word came, so that one is said once more a little later. A word that
comes while a newer attempt of the request runs would take that attempt's state or place, and an attempt that lies
unread at a silent engine would keep the word from being said: so no attempt is written while one is owed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from hashlib import blake2b

from yardspindle.core.hosts.directory import Server
from yardspindle.interface import State

AT_ONCE_MOST = 64  # words out at a time, so that a dead fleet does not draw a task for each request
PRECAUTIONS_MOST = 8  # of the words out: those for calls that may lie unread must not keep others waiting
LATE_MOST = 16  # calls that others are asked beside: a host may be slow to accept, but a dead fleet says nothing
AGAIN_US = 120_000  # a read's end that crossed with our closing has come by then, and the rule's time has not
MORE_AT_ONCE = 3  # engines asked together once one was silent: with half of them cut off one in eight fails
TRIES_AT_ONCE = 10  # engines asked without a pause, in four rounds; the rule gives 300 ms in all
PAUSE_US = 100_000
LAPSE_US = 10_000_000  # engines let go by themselves; a day later nobody could be told anyway


@dataclass(slots=True)
class Room:
    """What may be held for one request."""

    request: int
    since_us: int
    due_us: int
    again: bool
    out: set[int] = field(default_factory=set)  # engines that are being asked
    tried: list[int] = field(default_factory=list)  # engines that did not answer, in order
    heard: bool = False  # an engine has let go at least once
    said: int = 0  # how many times an engine has
    precaution: bool = False  # nothing is known to be held: a call that lies unread may come to hold something
    overdue: bool = False  # and this was told, as none had in time


class Rooms:
    """All that is owed, by request."""

    def __init__(self, seed: int = 0) -> None:
        """Nothing is owed; the seed orders the engines of which nothing is known."""
        self.owed: dict[int, Room] = {}
        self.lapsed = 0
        self._seed = seed
        self._out = 0
        self._late = 0
        self._heard: dict[int, int] = {}
        self._silent: dict[int, int] = {}

    def heard(self, now_us: int, server: int) -> None:
        """An engine answered something."""
        self._heard[server] = now_us
        self._silent.pop(server, None)

    def silent(self, now_us: int, server: int) -> None:
        """An engine did not come up, broke off, or did not answer."""
        self._heard.pop(server, None)
        self._silent[server] = now_us

    def keep(self, servers: Mapping[int, Server]) -> None:
        """Forget the engines that are known no more."""
        self._heard = {number: at for number, at in self._heard.items() if number in servers}
        self._silent = {number: at for number, at in self._silent.items() if number in servers}

    def owe(self, now_us: int, request: int, again: bool) -> None:
        """All that is held for a request is to be let go of."""
        known = self.owed.get(request)
        if known is None:
            self.owed[request] = Room(request, now_us, now_us, again)
            return
        if known.precaution:
            known.precaution, known.since_us = False, now_us
        if known.out:
            known.again = True  # the word that is out may have come before what is meant now
        else:
            known.due_us, known.again = now_us, known.again or again

    def say_again(self, now_us: int, request: int) -> None:
        """A release is said once more, as a call may have been read since."""
        if request not in self.owed:
            self.owed[request] = Room(request, now_us, now_us, again=False, precaution=True)

    def take_overdue(self, now_us: int, limit_us: int) -> list[Room]:
        """Those that no engine has heard for so long, each once."""
        late = [
            room
            for room in self.owed.values()
            if not room.heard and not room.overdue and not room.precaution and now_us - room.since_us > limit_us
        ]
        for room in late:
            room.overdue = True
        return late

    def take_due(self, now_us: int, servers: Mapping[int, Server]) -> list[tuple[Room, Server]]:
        """What to say now, and to whom; each is answered for with `settled`."""
        due: list[tuple[Room, Server]] = []
        precautions = sum(len(room.out) for room in self.owed.values() if room.precaution)
        for room in sorted(self.owed.values(), key=lambda room: room.precaution):
            if room.out or room.due_us > now_us:
                continue
            if room.precaution:
                if precautions >= PRECAUTIONS_MOST:
                    break
                precautions += 1
            if now_us - room.since_us >= LAPSE_US:
                del self.owed[room.request]
                self.lapsed += 1
                continue
            if self._out >= AT_ONCE_MOST:
                break
            asked = self._ask(room, servers)
            room.out = {server.number for server in asked}
            self._out += len(asked)
            due += [(room, server) for server in asked]
        return due

    def _ask(self, room: Room, servers: Mapping[int, Server]) -> list[Server]:
        """Whom to ask now: one, or some that are unlike each other and those that did not answer.

        Servers fall silent by role or by zone. Those that were heard last may all be of the part that just did, and
        each round costs a quarter of the rule's time.
        """
        known = [server for server in servers.values() if server.state is not State.GONE]
        alike = Counter[object]()
        for number in room.tried:
            if number in servers:
                alike.update(_parts(servers[number]))
        chosen: list[Server] = []
        for _ in range(min(MORE_AT_ONCE if room.tried else 1, len(known))):
            server = min((s for s in known if s not in chosen), key=lambda s: self._order(room, alike, s))
            chosen.append(server)
            alike.update(_parts(server))
        return chosen

    def _order(self, room: Room, alike: Counter[object], server: Server) -> tuple[object, ...]:
        """In which order servers are asked: first those that did not fail us, of parts that did not."""
        return (
            room.tried.count(server.number),
            self._silent.get(server.number, 0),
            sum(alike[part] for part in _parts(server)),
            -self._heard.get(server.number, 0),
            blake2b(b"%d %d" % (self._seed, server.number), digest_size=8).digest(),
        )

    def settled(self, now_us: int, room: Room, server: int, heard: bool | None) -> None:
        """An engine let go, or was not heard; None: it was not asked, for want of a descriptor."""
        self._out -= 1
        if heard:
            self.heard(now_us, server)
        if self.owed.get(room.request) is not room or server not in room.out:
            return  # not owed any more, or another engine has already taken the word
        room.out.discard(server)
        if heard is None:
            room.due_us = now_us
        elif not heard:
            self.silent(now_us, server)
            room.tried.append(server)
            room.due_us = now_us + (0 if len(room.tried) < TRIES_AT_ONCE else PAUSE_US)
        else:
            self._said(now_us, room)

    def overdue(self, now_us: int, room: Room, server: int) -> bool:
        """An engine has not been heard in time: others are asked. Whether it is waited for on."""
        if self._late >= LATE_MOST or room.precaution:
            return False
        self._late += 1
        self.settled(now_us, room, server, False)
        return True

    def settled_late(self, now_us: int, room: Room, server: int, heard: bool) -> None:
        """An engine that was overdue let go, or was not heard."""
        self._late -= 1
        if heard:
            self.heard(now_us, server)
            if self.owed.get(room.request) is room and server in room.tried:  # else another has taken the word
                self._said(now_us, room)

    def _said(self, now_us: int, room: Room) -> None:
        room.heard = True
        room.said += 1
        if room.again:
            room.again, room.due_us = False, now_us + AGAIN_US
            room.out.clear()
            room.tried.clear()
        else:
            del self.owed[room.request]


def _parts(server: Server) -> tuple[object, ...]:
    """What a server may fail with: its role, its zone."""
    return server.role, server.zone

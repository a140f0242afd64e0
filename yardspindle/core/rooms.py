"""What is held for a request anywhere, where one word to any engine lets go of all of it.

A release is owed by request, not by engine: any engine that lives passes it on, so one that does not come up is no
excuse. The engine heard last is asked first, and another at once when it does not answer. A read whose connection
was closed may still leave its state after the word came, so that one is said once more a little later. A word that
comes while a newer attempt of the request runs would take that attempt's state or place: whatever is still owed is
forgotten when an attempt is sent, whose own end lets go of everything.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from yardspindle.core.directory import Server
from yardspindle.interface import State

AT_ONCE_MOST = 16  # words out at a time, so that a dead fleet does not draw a task for each request
AGAIN_US = 120_000  # a read's end that crossed with our closing has come by then, and the rule's time has not
TRIES_AT_ONCE = 4  # engines asked without a pause; the rule gives 300 ms in all
PAUSE_US = 100_000
LAPSE_US = 10_000_000  # engines let go by themselves; a day later nobody could be told anyway


@dataclass(slots=True)
class Room:
    """What may be held for one request."""

    request: int
    since_us: int
    due_us: int
    again: bool
    out: bool = False
    tried: list[int] = field(default_factory=list)  # engines that did not answer, in order


class Rooms:
    """All that is owed, by request."""

    def __init__(self) -> None:
        """Nothing is owed."""
        self.owed: dict[int, Room] = {}
        self.lapsed = 0
        self._out = 0
        self._heard: dict[int, int] = {}

    def heard(self, now_us: int, server: int) -> None:
        """An engine answered something."""
        self._heard[server] = now_us

    def silent(self, server: int) -> None:
        """An engine did not come up, or broke off."""
        self._heard.pop(server, None)

    def keep(self, servers: Mapping[int, Server]) -> None:
        """Forget the engines that are known no more."""
        self._heard = {number: at for number, at in self._heard.items() if number in servers}

    def owe(self, now_us: int, request: int, again: bool) -> None:
        """All that is held for a request is to be let go of."""
        known = self.owed.get(request)
        if known is None:
            self.owed[request] = Room(request, now_us, now_us, again)
        elif known.out:
            known.again = True  # the word that is out may have come before what is meant now
        else:
            known.due_us, known.again = now_us, known.again or again

    def in_use(self, request: int) -> None:
        """A newer attempt is sent."""
        self.owed.pop(request, None)

    def take_due(self, now_us: int, servers: Mapping[int, Server]) -> list[tuple[Room, Server]]:
        """What to say now, and to whom; each is answered for with `settled`."""
        due: list[tuple[Room, Server]] = []
        for room in list(self.owed.values()):
            if room.out or room.due_us > now_us:
                continue
            if now_us - room.since_us >= LAPSE_US:
                del self.owed[room.request]
                self.lapsed += 1
                continue
            if self._out >= AT_ONCE_MOST:
                break
            server = self._ask(room, servers)
            if server is None:
                break
            room.out = True
            self._out += 1
            due.append((room, server))
        return due

    def _ask(self, room: Room, servers: Mapping[int, Server]) -> Server | None:
        known = [server for server in servers.values() if server.state is not State.GONE]
        return min(known, default=None, key=lambda s: (
            room.tried.count(s.number), -self._heard.get(s.number, 0), s.number))

    def settled(self, now_us: int, room: Room, server: int, heard: bool) -> None:
        """An engine let go, or was not heard."""
        room.out = False
        self._out -= 1
        if self.owed.get(room.request) is not room:
            return
        if not heard:
            self.silent(server)
            room.tried.append(server)
            room.due_us = now_us + (0 if len(room.tried) < TRIES_AT_ONCE else PAUSE_US)
            return
        self.heard(now_us, server)
        if room.again:
            room.again, room.due_us = False, now_us + AGAIN_US
            room.tried.clear()
        else:
            del self.owed[room.request]

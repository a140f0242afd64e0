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

MAX_IN_FLIGHT = 64  # words out at a time, so that a dead fleet does not draw a task for each request
PRECAUTIONS_MOST = 8  # of the words out: those for calls that may lie unread must not keep others waiting
MAX_LATE_CALLS = 16  # calls that others are asked beside: a host may be slow to accept, but a dead fleet says nothing
REPEAT_DELAY_US = 120_000  # a read's end that crossed with our closing has come by then, and the rule's time has not
RETRY_FANOUT = 3  # engines asked together once one was silent: with half of them cut off one in eight fails
IMMEDIATE_TRIES = 10  # engines asked without a pause, in four rounds; the rule gives 300 ms in all
RETRY_PAUSE_US = 100_000
EXPIRY_US = 10_000_000  # engines let go by themselves; a day later nobody could be told anyway


@dataclass(slots=True)
class RequestRelease:
    """What may be held for one request."""

    request: int
    since_us: int
    due_us: int
    repeat: bool
    in_flight: set[int] = field(default_factory=set)  # engines that are being asked
    failed: list[int] = field(default_factory=list)  # engines that did not answer, in order
    confirmed: bool = False  # an engine has let go at least once
    confirmations: int = 0  # how many times an engine has
    precautionary: bool = False  # nothing is known to be held: a call that lies unread may come to hold something
    overdue_reported: bool = False  # and this was told, as none had in time


class RequestReleases:
    """All that is owed, by request."""

    def __init__(self, seed: int = 0) -> None:
        """Nothing is owed; the seed orders the engines of which nothing is known."""
        self.pending: dict[int, RequestRelease] = {}
        self.expired = 0
        self._seed = seed
        self._in_flight = 0
        self._late_calls = 0
        self._last_answer_us: dict[int, int] = {}
        self._last_failure_us: dict[int, int] = {}

    def server_answered(self, now_us: int, server: int) -> None:
        """An engine answered something."""
        self._last_answer_us[server] = now_us
        self._last_failure_us.pop(server, None)

    def server_unresponsive(self, now_us: int, server: int) -> None:
        """An engine did not come up, broke off, or did not answer."""
        self._last_answer_us.pop(server, None)
        self._last_failure_us[server] = now_us

    def retain_servers(self, servers: Mapping[int, Server]) -> None:
        """Forget the engines that are known no more."""
        self._last_answer_us = {number: at for number, at in self._last_answer_us.items() if number in servers}
        self._last_failure_us = {number: at for number, at in self._last_failure_us.items() if number in servers}

    def add(self, now_us: int, request: int, again: bool) -> None:
        """All that is held for a request is to be let go of."""
        known = self.pending.get(request)
        if known is None:
            self.pending[request] = RequestRelease(request, now_us, now_us, again)
            return
        if known.precautionary:
            known.precautionary, known.since_us = False, now_us
        if known.in_flight:
            known.repeat = True  # the word that is out may have come before what is meant now
        else:
            known.due_us, known.repeat = now_us, known.repeat or again

    def repeat(self, now_us: int, request: int) -> None:
        """A release is said once more, as a call may have been read since."""
        if request not in self.pending:
            self.pending[request] = RequestRelease(request, now_us, now_us, repeat=False, precautionary=True)

    def take_overdue(self, now_us: int, limit_us: int) -> list[RequestRelease]:
        """Those that no engine has heard for so long, each once."""
        late = [
            room
            for room in self.pending.values()
            if not room.confirmed
            and not room.overdue_reported
            and not room.precautionary
            and now_us - room.since_us > limit_us
        ]
        for room in late:
            room.overdue_reported = True
        return late

    def take_due(self, now_us: int, servers: Mapping[int, Server]) -> list[tuple[RequestRelease, Server]]:
        """What to say now, and to whom; each is answered for with `settled`."""
        due: list[tuple[RequestRelease, Server]] = []
        precautions = sum(len(room.in_flight) for room in self.pending.values() if room.precautionary)
        for room in sorted(self.pending.values(), key=lambda room: room.precautionary):
            if room.in_flight or room.due_us > now_us:
                continue
            if room.precautionary:
                if precautions >= PRECAUTIONS_MOST:
                    break
                precautions += 1
            if now_us - room.since_us >= EXPIRY_US:
                del self.pending[room.request]
                self.expired += 1
                continue
            if self._in_flight >= MAX_IN_FLIGHT:
                break
            asked = self._ask(room, servers)
            room.in_flight = {server.number for server in asked}
            self._in_flight += len(asked)
            due += [(room, server) for server in asked]
        return due

    def _ask(self, room: RequestRelease, servers: Mapping[int, Server]) -> list[Server]:
        """Whom to ask now: one, or some that are unlike each other and those that did not answer.

        Servers fall silent by role or by zone. Those that were heard last may all be of the part that just did, and
        each round costs a quarter of the rule's time.
        """
        known = [server for server in servers.values() if server.state is not State.GONE]
        alike = Counter[object]()
        for number in room.failed:
            if number in servers:
                alike.update(_parts(servers[number]))
        chosen: list[Server] = []
        for _ in range(min(RETRY_FANOUT if room.failed else 1, len(known))):
            server = min((s for s in known if s not in chosen), key=lambda s: self._order(room, alike, s))
            chosen.append(server)
            alike.update(_parts(server))
        return chosen

    def _order(self, room: RequestRelease, alike: Counter[object], server: Server) -> tuple[object, ...]:
        """In which order servers are asked: first those that did not fail us, of parts that did not."""
        return (
            room.failed.count(server.number),
            self._last_failure_us.get(server.number, 0),
            sum(alike[part] for part in _parts(server)),
            -self._last_answer_us.get(server.number, 0),
            blake2b(b"%d %d" % (self._seed, server.number), digest_size=8).digest(),
        )

    def settled(self, now_us: int, room: RequestRelease, server: int, heard: bool | None) -> None:
        """An engine let go, or was not heard; None: it was not asked, for want of a descriptor."""
        self._in_flight -= 1
        if heard:
            self.server_answered(now_us, server)
        if self.pending.get(room.request) is not room or server not in room.in_flight:
            return  # not owed any more, or another engine has already taken the word
        room.in_flight.discard(server)
        if heard is None:
            room.due_us = now_us
        elif not heard:
            self.server_unresponsive(now_us, server)
            room.failed.append(server)
            room.due_us = now_us + (0 if len(room.failed) < IMMEDIATE_TRIES else RETRY_PAUSE_US)
        else:
            self._said(now_us, room)

    def call_overdue(self, now_us: int, room: RequestRelease, server: int) -> bool:
        """An engine has not been heard in time: others are asked. Whether it is waited for on."""
        if self._late_calls >= MAX_LATE_CALLS or room.precautionary:
            return False
        self._late_calls += 1
        self.settled(now_us, room, server, False)
        return True

    def late_call_settled(self, now_us: int, room: RequestRelease, server: int, heard: bool) -> None:
        """An engine that was overdue let go, or was not heard."""
        self._late_calls -= 1
        if heard:
            self.server_answered(now_us, server)
            if self.pending.get(room.request) is room and server in room.failed:  # else another has taken the word
                self._said(now_us, room)

    def _said(self, now_us: int, room: RequestRelease) -> None:
        room.confirmed = True
        room.confirmations += 1
        if room.repeat:
            room.repeat, room.due_us = False, now_us + REPEAT_DELAY_US
            room.in_flight.clear()
            room.failed.clear()
        else:
            del self.pending[room.request]


def _parts(server: Server) -> tuple[object, ...]:
    """What a server may fail with: its role, its zone."""
    return server.role, server.zone

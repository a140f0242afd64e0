"""Pending releases by request, where one message to any engine releases all that any engine holds for the request.

What is held is a state (the KV cache that a read leaves) or a place (memory reserved for a write). Any live engine
forwards such a release to the others, so it can be delivered while some engines are down. The engine that answered last
is asked first; if it does not answer, several others are asked at once, since in a partition most of those that
answered last are unreachable. An engine that did not answer is asked last for all other requests too. Those of which
nothing is known are asked in an order of each edge's own, or a whole fleet would ask one engine, dead or not, at the
same moment.

A read whose connection was closed may still leave its state after the release, which is therefore repeated a little
later. A release that arrives while a newer attempt of its request runs would take that attempt's state or place, and an
attempt that lies unread at an unresponsive engine would block the release: so no attempt is written while a release of
its request is pending.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from hashlib import blake2b

from yardspindle.core.hosts.directory import Server
from yardspindle.interface import State

MAX_IN_FLIGHT = 64  # calls at a time, so that a dead fleet does not cost a task for each request
MAX_PRECAUTIONARY = 8  # of those; releases for calls that engines may not have read yet must not delay others
MAX_LATE_CALLS = 16  # overdue calls still awaited: a host may be slow to accept, but a dead fleet never answers
# A read that succeeds while its connection is being closed has left its state by then. Less than the release time.
REPEAT_DELAY_US = 120_000
RETRY_FANOUT = 3  # engines asked at once after one did not answer: with half unreachable, one round in eight fails
IMMEDIATE_TRIES = 10  # engines asked without a pause, in four rounds; the platform's rule allows 300 ms in all
RETRY_PAUSE_US = 100_000
# By then the platform's hosts have freed what they hold by a time-out of their own: a later release is pointless. (The
# engines of `engine_releases.py`, which take releases of single states and places, have a longer one.)
EXPIRY_US = 10_000_000


@dataclass(slots=True)
class RequestRelease:
    """The pending release of all that is held for one request."""

    request: int
    since_us: int
    due_us: int
    repeat: bool
    in_flight: set[int] = field(default_factory=set)  # engines that are being asked now
    failed: list[int] = field(default_factory=list)  # engines that did not answer, in order; may repeat
    confirmed: bool = False  # an engine has confirmed at least once
    confirmations: int = 0  # how many times that was
    precautionary: bool = False  # nothing is known to be held, but a call that lies unread may come to hold something
    overdue_reported: bool = False  # that no engine confirmed in time was reported


class RequestReleases:
    """All pending releases, by request, and what is known of the engines to ask."""

    def __init__(self, seed: int = 0) -> None:
        """Nothing is pending; the seed orders the engines of which nothing is known."""
        self.pending: dict[int, RequestRelease] = {}
        self.expired = 0
        self._seed = seed
        self._in_flight = 0
        self._late_calls = 0
        self._last_answer_us: dict[int, int] = {}
        self._last_failure_us: dict[int, int] = {}

    def server_answered(self, now_us: int, server: int) -> None:
        """An engine answered a call."""
        self._last_answer_us[server] = now_us
        self._last_failure_us.pop(server, None)

    def server_unresponsive(self, now_us: int, server: int) -> None:
        """An engine could not be reached, broke a connection or did not answer."""
        self._last_answer_us.pop(server, None)
        self._last_failure_us[server] = now_us

    def retain_servers(self, servers: Mapping[int, Server]) -> None:
        """Forget the engines that are no longer known."""
        self._last_answer_us = {number: at for number, at in self._last_answer_us.items() if number in servers}
        self._last_failure_us = {number: at for number, at in self._last_failure_us.items() if number in servers}

    def add(self, now_us: int, request: int, repeat: bool) -> None:
        """Queue the release of all that is held for a request, optionally repeated a little later."""
        known = self.pending.get(request)
        if known is None:
            self.pending[request] = RequestRelease(request, now_us, now_us, repeat)
            return
        if known.precautionary:
            known.precautionary, known.since_us = False, now_us
        if known.in_flight:
            known.repeat = True  # the release in flight may arrive before what is to be released now
        else:
            known.due_us, known.repeat = now_us, known.repeat or repeat

    def repeat(self, now_us: int, request: int) -> None:
        """Repeat a release as a precaution, as an unread call may have been read since the first."""
        if request not in self.pending:
            self.pending[request] = RequestRelease(request, now_us, now_us, repeat=False, precautionary=True)

    def take_overdue(self, now_us: int, limit_us: int) -> list[RequestRelease]:
        """The releases that no engine has confirmed within the limit, each reported once."""
        late = [
            release
            for release in self.pending.values()
            if not release.confirmed
            and not release.overdue_reported
            and not release.precautionary
            and now_us - release.since_us > limit_us
        ]
        for release in late:
            release.overdue_reported = True
        return late

    def take_due(self, now_us: int, servers: Mapping[int, Server]) -> list[tuple[RequestRelease, Server]]:
        """The calls to make now; `settled` has to be called for each."""
        due: list[tuple[RequestRelease, Server]] = []
        precautionary = sum(len(release.in_flight) for release in self.pending.values() if release.precautionary)
        for release in sorted(self.pending.values(), key=lambda release: release.precautionary):
            if release.in_flight or release.due_us > now_us:
                continue
            if release.precautionary:
                if precautionary >= MAX_PRECAUTIONARY:
                    break
                precautionary += 1
            if now_us - release.since_us >= EXPIRY_US:
                del self.pending[release.request]
                self.expired += 1
                continue
            if self._in_flight >= MAX_IN_FLIGHT:
                break
            asked = self._choose_engines(release, servers)
            release.in_flight = {server.number for server in asked}
            self._in_flight += len(asked)
            due += [(release, server) for server in asked]
        return due

    def _choose_engines(self, release: RequestRelease, servers: Mapping[int, Server]) -> list[Server]:
        """The engines to ask now: one, or after a failure several that differ from each other and from the failed ones.

        Servers fail by role or by zone. Those that answered last may all be of the part that just failed, and each
        round takes a quarter of the release time.
        """
        known = [server for server in servers.values() if server.state is not State.GONE]
        used_domains = Counter[object]()
        for number in release.failed:
            if number in servers:
                used_domains.update(_failure_domains(servers[number]))
        chosen: list[Server] = []
        for _ in range(min(RETRY_FANOUT if release.failed else 1, len(known))):
            server = min((s for s in known if s not in chosen), key=lambda s: self._order(release, used_domains, s))
            chosen.append(server)
            used_domains.update(_failure_domains(server))
        return chosen

    def _order(self, release: RequestRelease, used_domains: Counter[object], server: Server) -> tuple[object, ...]:
        """Sort key: fewest failures for this release, oldest failure, other roles and zones, most recent answer."""
        return (
            release.failed.count(server.number),
            self._last_failure_us.get(server.number, 0),
            sum(used_domains[domain] for domain in _failure_domains(server)),
            -self._last_answer_us.get(server.number, 0),
            blake2b(b"%d %d" % (self._seed, server.number), digest_size=8).digest(),
        )

    def settled(self, now_us: int, release: RequestRelease, server: int, confirmed: bool | None) -> None:
        """An engine confirmed, or did not; None: it was not asked, for lack of a file descriptor."""
        self._in_flight -= 1
        if confirmed:
            self.server_answered(now_us, server)
        if self.pending.get(release.request) is not release or server not in release.in_flight:
            return  # no longer pending, or another engine has already confirmed
        release.in_flight.discard(server)
        if confirmed is None:
            release.due_us = now_us
        elif not confirmed:
            self.server_unresponsive(now_us, server)
            release.failed.append(server)
            release.due_us = now_us + (0 if len(release.failed) < IMMEDIATE_TRIES else RETRY_PAUSE_US)
        else:
            self._confirmed(now_us, release)

    def call_overdue(self, now_us: int, release: RequestRelease, server: int) -> bool:
        """A call is overdue: others are asked. Returns whether to keep waiting for it."""
        if self._late_calls >= MAX_LATE_CALLS or release.precautionary:
            return False
        self._late_calls += 1
        self.settled(now_us, release, server, False)
        return True

    def late_call_settled(self, now_us: int, release: RequestRelease, server: int, confirmed: bool) -> None:
        """An overdue call ended: the engine confirmed, or did not."""
        self._late_calls -= 1
        if confirmed:
            self.server_answered(now_us, server)
            # If the release is no longer pending, another engine has confirmed it.
            if self.pending.get(release.request) is release and server in release.failed:
                self._confirmed(now_us, release)

    def _confirmed(self, now_us: int, release: RequestRelease) -> None:
        release.confirmed = True
        release.confirmations += 1
        if release.repeat:
            release.repeat, release.due_us = False, now_us + REPEAT_DELAY_US
            release.in_flight.clear()
            release.failed.clear()
        else:
            del self.pending[release.request]


def _failure_domains(server: Server) -> tuple[object, ...]:
    """What servers may fail together with: role and zone."""
    return server.role, server.zone

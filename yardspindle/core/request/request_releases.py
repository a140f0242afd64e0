"""Pending releases by request, where one message to any engine releases all that any engine holds for the request.

What is held is a state (the KV cache that a read leaves) or a place (memory reserved for a write). Any live engine
forwards such a release to the others, so it can be delivered while some engines are down. The engine that answered last
is asked first; if it does not answer, several others are asked at once, since in a partition most of those that
answered last are unreachable. An engine that did not answer is asked last for all other requests too. Those of which
nothing is known are asked in an order of each edge's own, or a whole fleet would ask one engine, dead or not, at the
same moment.

A release is pending until an engine has confirmed it, however long that takes: nothing says that engines free what they
hold by themselves. After the first rounds the pauses grow; they end as soon as any engine answers again. Only releases
that are due cost time (heaps), however many are pending.

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
from heapq import heappop, heappush

from yardspindle.core.hosts.directory import Server
from yardspindle.interface import State

MAX_IN_FLIGHT = 64  # calls at a time, so that a dead fleet does not cost a task for each request
MAX_PRECAUTIONARY = 8  # of those; releases for calls that engines may not have read yet must not delay others
MAX_LATE_CALLS = 16  # overdue calls still awaited: a host may be slow to accept, but a dead fleet never answers
# A read that succeeds while its connection is being closed has left its state by then. Less than the release time.
REPEAT_DELAY_US = 120_000
RETRY_FANOUT = 3  # engines asked at once after one did not answer: with half unreachable, one round in eight fails
IMMEDIATE_TRIES = 10  # engines asked without a pause, in four rounds; the platform's rule allows 300 ms in all
RETRY_PAUSE_US = 100_000  # after those, doubled from round to round
MAX_RETRY_PAUSE_US = 1_600_000
MAX_PENDING = 20_000  # beyond it the oldest is evicted and counted
MAX_REMEMBERED_FAILURES = 64  # of one release, to choose other engines


@dataclass(slots=True)
class RequestRelease:
    """The pending release of all that is held for one request."""

    request: int
    since_us: int
    due_us: int
    repeat: bool
    in_flight: set[int] = field(default_factory=set)  # engines that are being asked now
    failed: list[int] = field(default_factory=list)  # engines that did not answer last, in order; may repeat
    tries: int = 0  # calls that no engine answered
    failed_us: int = 0  # when the last one ended
    confirmed: bool = False  # an engine has confirmed at least once
    confirmations: int = 0  # how many times that was
    precautionary: bool = False  # nothing is known to be held, but a call that lies unread may come to hold something


class RequestReleases:
    """All pending releases, by request, and what is known of the engines to ask."""

    def __init__(self, seed: int = 0) -> None:
        """Nothing is pending; the seed orders the engines of which nothing is known."""
        self.pending: dict[int, RequestRelease] = {}
        self.evicted = 0
        self._backed_off: dict[int, RequestRelease] = {}  # those that wait for longer than RETRY_PAUSE_US
        # By due time and request; outdated if the pending release has another due time or is in flight.
        self._due: list[tuple[int, int]] = []
        self._due_precautionary: list[tuple[int, int]] = []
        self._precautionary_in_flight: dict[int, RequestRelease] = {}
        self._unreported: dict[int, RequestRelease] = {}  # that may still turn out to be overdue
        self._seed = seed
        self._in_flight = 0
        self._late_calls = 0
        self._last_answer_us: dict[int, int] = {}
        self._last_failure_us: dict[int, int] = {}

    def server_answered(self, now_us: int, server: int) -> None:
        """An engine answered a call: releases that were backed off are tried again."""
        self._last_answer_us[server] = now_us
        self._last_failure_us.pop(server, None)
        backed_off, self._backed_off = self._backed_off, {}
        for release in backed_off.values():
            self._schedule(release, min(release.due_us, max(now_us, release.failed_us + RETRY_PAUSE_US)))

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
            self._add(RequestRelease(request, now_us, now_us, repeat))
            return
        if known.precautionary:
            known.precautionary, known.since_us = False, now_us
            self._unreported[request] = known
            self._precautionary_in_flight.pop(request, None)
        if known.in_flight:
            known.repeat = True  # the release in flight may arrive before what is to be released now
        else:
            known.repeat = known.repeat or repeat
            self._schedule(known, now_us)

    def repeat(self, now_us: int, request: int) -> None:
        """Repeat a release as a precaution, as an unread call may have been read since the first."""
        if request not in self.pending:
            self._add(RequestRelease(request, now_us, now_us, repeat=False, precautionary=True))

    def _add(self, release: RequestRelease) -> None:
        self.pending[release.request] = release
        self._schedule(release, release.due_us)
        if not release.precautionary:
            self._unreported[release.request] = release
        if len(self.pending) > MAX_PENDING:
            self._remove(next(iter(self.pending.values())))
            self.evicted += 1

    def _remove(self, release: RequestRelease) -> None:
        del self.pending[release.request]
        self._backed_off.pop(release.request, None)
        self._precautionary_in_flight.pop(release.request, None)

    def _schedule(self, release: RequestRelease, due_us: int) -> None:
        release.due_us = due_us
        heappush(self._due_precautionary if release.precautionary else self._due, (due_us, release.request))

    def take_overdue(self, now_us: int, limit_us: int) -> list[RequestRelease]:
        """The releases that no engine has confirmed within the limit, each reported once."""
        late = []
        for request, release in list(self._unreported.items()):
            if release.confirmed or self.pending.get(request) is not release:
                del self._unreported[request]
            elif now_us - release.since_us > limit_us:
                del self._unreported[request]
                late.append(release)
        return late

    def take_due(self, now_us: int, servers: Mapping[int, Server]) -> list[tuple[RequestRelease, Server]]:
        """The calls to make now; `settled` has to be called for each."""
        due: list[tuple[RequestRelease, Server]] = []
        while (release := self._pop_due(now_us)) is not None:
            asked = self._choose_engines(release, servers)
            if not asked:  # no engine is listed
                self._schedule(release, now_us + RETRY_PAUSE_US)
                continue
            release.in_flight = {server.number for server in asked}
            self._in_flight += len(asked)
            if release.precautionary:
                self._precautionary_in_flight[release.request] = release
            due += [(release, server) for server in asked]
        return due

    def _pop_due(self, now_us: int) -> RequestRelease | None:
        """Take a release that is due and may be sent within the limits on calls in flight; precautionary ones last."""
        for heap in (self._due, self._due_precautionary):
            while heap and heap[0][0] <= now_us:
                due_us, request = heap[0]
                release = self.pending.get(request)
                if release is None or release.in_flight or release.due_us != due_us:
                    heappop(heap)
                    continue
                if self._in_flight >= MAX_IN_FLIGHT or (release.precautionary and self._precautionary_calls_full()):
                    break
                heappop(heap)
                return release
        return None

    def _precautionary_calls_full(self) -> bool:
        calls = sum(len(release.in_flight) for release in self._precautionary_in_flight.values())
        return calls >= MAX_PRECAUTIONARY

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
        if not release.in_flight:
            self._precautionary_in_flight.pop(release.request, None)
        if confirmed is None:
            self._schedule(release, now_us)
        elif not confirmed:
            self.server_unresponsive(now_us, server)
            self._failed(now_us, release, server)
        else:
            self._confirmed(now_us, release)

    def _failed(self, now_us: int, release: RequestRelease, server: int) -> None:
        release.failed.append(server)
        del release.failed[:-MAX_REMEMBERED_FAILURES]
        release.tries, release.failed_us = release.tries + 1, now_us
        pause_us = 0
        if release.tries >= IMMEDIATE_TRIES:
            rounds = (release.tries - IMMEDIATE_TRIES) // RETRY_FANOUT
            pause_us = min(RETRY_PAUSE_US << min(rounds, 10), MAX_RETRY_PAUSE_US)
        if pause_us > RETRY_PAUSE_US:
            self._backed_off[release.request] = release
        self._schedule(release, now_us + pause_us)

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
            release.repeat = False
            release.in_flight.clear()
            release.failed.clear()
            release.tries = 0
            self._backed_off.pop(release.request, None)
            self._precautionary_in_flight.pop(release.request, None)
            self._schedule(release, now_us + REPEAT_DELAY_US)
        else:
            self._remove(release)


def _failure_domains(server: Server) -> tuple[object, ...]:
    """What servers may fail together with: role and zone."""
    return server.role, server.zone

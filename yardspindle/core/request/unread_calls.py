"""Tracks calls that may lie unread at a server after their connection was closed, until they cannot take effect.

A server that was paused or partitioned reads, on its return, what had been written to it and may act on it: it holds a
place (memory reserved for a decode), or finishes a read (prefill) and keeps its state, for a request that ended long
ago. The release sent at that end arrived too early. How long a server stays silent is not known, so no time-out ends
the tracking: a call is tracked until its server has answered something that was sent after the call was closed, or has
left the list. Until then the request's release is repeated at even pauses, and after it as long as the call may still
take effect.

So that an answer comes as soon as the server runs again, a silent server is sent probes, one at a time: a release of
one of the requests whose calls it may have. Their number depends on the silent servers, not on the calls.

A server may answer on other connections while the one with the call is unresponsive. That cannot be told from a call
that was lost, so its release is repeated until a running server has closed the connection as idle. Calls for places
keep their connections for the server's answer where they can (`late_answers.py`) and need no such repeats.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from itertools import takewhile

from yardspindle.core.request.repeated_releases import RepeatedReleases

AFTER_ANSWER_US = 120_000  # after an answer: by then the server has read what lay in its other connections
AFTER_SILENCE_US = 400_000  # the same for a server that was silent, which has much to read
UNFINISHED_READ_US = 2_000_000  # after an answer: by then a read that was interrupted or delayed has ended
MAX_TRACKED = 5_000  # requests; beyond it the oldest is evicted and counted
PERIOD_FRACTION = 0.75  # of the release time limit, from one probe to the next
MAX_PROBES = 32  # in flight, each with a connection of its own
MAX_PROBE_WAIT_US = 2_000_000  # for an answer; then a new connection is made, as the old one may be dead
PROBE_WAIT_FRACTION = 0.5  # of the time for which a server is silent: how long a probe waits for an answer


@dataclass(slots=True)
class UnreadCall:
    """A call that ended without an answer."""

    closed_us: int
    is_place: bool  # a call for a place, else a read
    silent: bool  # its connection may be unresponsive while its server answers on others
    after_silence: bool = False  # its server answered nothing for a while, then again


@dataclass(slots=True, eq=False)
class Probe:
    """A release to be sent to a silent server, for its answer."""

    server: int
    request: int
    started_us: int
    wait_us: int  # limit for the call
    new_connection: bool  # a pooled one may be unresponsive
    first: bool  # no earlier one failed since the server last answered


@dataclass(slots=True)
class ServerCalls:
    """What may lie unread at one server, and the probes that are sent to it."""

    silent_since_us: int
    due_us: int  # of the next probe
    calls: dict[int, UnreadCall] = field(default_factory=dict)  # by request, in the order of `closed_us`
    probe: Probe | None = None  # in flight
    failed: bool = False  # a probe failed since the server last answered


class UnreadCalls:
    """All calls that may lie unread, the probes of their servers and the repeats of their releases."""

    def __init__(self, release_us: int, idle_connection_us: int) -> None:
        """No calls yet.

        `release_us`: the time limit for releasing what is held; `idle_connection_us`: the time after which a running
        server has closed a connection that nothing passed on.
        """
        self._period_us = round(PERIOD_FRACTION * release_us)
        self._idle_connection_us = idle_connection_us
        self._servers: dict[int, ServerCalls] = {}
        self._servers_of: dict[int, set[int]] = {}  # by request, oldest first
        self._repeats = RepeatedReleases(release_us)
        self._probes_in_flight = 0
        self.evicted = 0

    def __len__(self) -> int:
        """The number of requests with a call that may lie unread."""
        return len(self._servers_of)

    @property
    def active(self) -> bool:
        """Whether a call is tracked or a release will be repeated."""
        return bool(self._repeats.entries)

    def tracks(self, request: int) -> bool:
        """Whether a call of the request is tracked or its release will be repeated."""
        return request in self._repeats.entries

    def add(self, now_us: int, request: int, server: int, is_place: bool, silent: bool) -> None:
        """A call was written to a server, and its connection was closed without an answer."""
        at_server = self._servers.get(server)
        if at_server is None:
            at_server = self._servers[server] = ServerCalls(now_us, now_us + self._period_us)
        before = at_server.calls.pop(request, None)
        at_server.calls[request] = UnreadCall(
            now_us,
            is_place or (before is not None and before.is_place),
            silent or (before is not None and before.silent),
        )
        self._servers_of.setdefault(request, set()).add(server)
        self._repeats.schedule(now_us, request, now_us + self._period_us, now_us)
        if len(self._servers_of) > MAX_TRACKED:
            self._forget(next(iter(self._servers_of)))
            self.evicted += 1

    def server_answered(self, now_us: int, server: int, sent_us: int) -> None:
        """A server answered a call that was sent at `sent_us`: it has read, or reads now, what was closed before."""
        at_server = self._servers.get(server)
        if at_server is None:
            return
        probe = at_server.probe
        if at_server.failed or (probe is not None and now_us - probe.started_us >= self._period_us):
            for call in at_server.calls.values():
                call.after_silence = True
            # Calls that were closed after `sent_us` need one more answer.
            at_server.failed, at_server.probe, at_server.due_us = False, None, now_us
        at_server.silent_since_us = now_us
        for request, call in list(takewhile(lambda item: item[1].closed_us <= sent_us, at_server.calls.items())):
            self._remove(request, server)
            self._repeat_release(now_us, request, call)

    def _repeat_release(self, now_us: int, request: int, call: UnreadCall) -> None:
        """The server of a call answers: repeat the release as long as the call may still take effect."""
        first_us = now_us if call.after_silence else now_us + AFTER_ANSWER_US
        until_us = max(first_us, now_us + self._effective_for_us(call))
        self._repeats.schedule(now_us, request, first_us, until_us, quick=call.after_silence)

    def _effective_for_us(self, call: UnreadCall) -> int:
        """How long after its server's answer a call may still take effect."""
        if not (call.silent or call.after_silence):
            return AFTER_ANSWER_US
        if not call.is_place:
            return UNFINISHED_READ_US
        # Its connection may stay unresponsive also when the server was so as a whole.
        return self._idle_connection_us if call.silent else AFTER_SILENCE_US

    def retain_servers(self, now_us: int, listed: Collection[int]) -> None:
        """Forget calls to servers that are no longer listed: they are gone, with all that they held."""
        for server in [server for server in self._servers if server not in listed]:
            for request in list(self._servers[server].calls):
                self._remove(request, server)
                if request not in self._servers_of:
                    self._repeats.forget_unproven(now_us, request)

    def take_due(self, now_us: int, running: Collection[int]) -> list[int]:
        """The requests whose release is to be repeated now; for those that still run, their end releases everything."""
        return self._repeats.take_due(now_us, running, self._servers_of)

    def take_probes(self, now_us: int, running: Collection[int]) -> list[Probe]:
        """The probes to send now; `probe_settled` has to be called for each.

        Only requests that have ended lend their release to a probe.
        """
        probes = []
        for server, at_server in self._servers.items():
            if self._probes_in_flight >= MAX_PROBES:
                break
            if at_server.probe is not None or at_server.due_us > now_us:
                continue
            request = next((request for request in at_server.calls if request not in running), None)
            if request is None:
                continue
            at_server.probe = self._make_probe(now_us, server, at_server, request)
            self._probes_in_flight += 1
            probes.append(at_server.probe)
        return probes

    def _make_probe(self, now_us: int, server: int, at_server: ServerCalls, request: int) -> Probe:
        wait_us = round(PROBE_WAIT_FRACTION * (now_us - at_server.silent_since_us))
        return Probe(
            server,
            request,
            now_us,
            min(max(wait_us, 2 * self._period_us), MAX_PROBE_WAIT_US),
            at_server.failed or any(call.silent for call in at_server.calls.values()),
            not at_server.failed,
        )

    def is_current(self, probe: Probe) -> bool:
        """Whether a probe that is about to be written still serves a purpose."""
        at_server = self._servers.get(probe.server)
        return at_server is not None and at_server.probe is probe

    def probe_settled(self, now_us: int, probe: Probe, answered: bool | None, sent_us: int) -> None:
        """A probe ended: with an answer to what was sent at `sent_us`, without, or (None) it was not sent from here."""
        self._probes_in_flight -= 1
        if answered:
            self.server_answered(now_us, probe.server, sent_us)
        if not self.is_current(probe):
            return  # its server answered another call meanwhile, or nothing is left to ask for
        at_server = self._servers.pop(probe.server)
        self._servers[probe.server] = at_server  # the others come first now
        at_server.probe = None
        at_server.failed = at_server.failed or answered is False
        at_server.due_us = max(now_us, probe.started_us + self._period_us)

    def _remove(self, request: int, server: int) -> None:
        calls = self._servers[server].calls
        del calls[request]
        if not calls:
            del self._servers[server]
        servers = self._servers_of[request]
        servers.discard(server)
        if not servers:
            del self._servers_of[request]

    def _forget(self, request: int) -> None:
        for server in list(self._servers_of[request]):
            self._remove(request, server)
        self._repeats.forget(request)

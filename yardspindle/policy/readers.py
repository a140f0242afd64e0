"""Choice of the reader: rendezvous hashing by key, bounded by backlog and expected delay.

A reader is a server that runs the prefill stage (a read), a writer one that runs the decode stage. A state is
the KV cache that a read leaves until the writer has fetched it; a cell is a group of servers within which
states move fast. A key is the request's shared prefix, else its session, else its own number. An attempt is
one send of a request's stage to one server.
"""

from __future__ import annotations

import math
from hashlib import blake2b

from yardspindle import interface as i
from yardspindle.policy.servers import ServerHealth
from yardspindle.policy.state import (
    BASE_EJECTION_US,
    KEY_WINDOW_US,
    LOSS_WINDOW_US,
    MAX_DELAY_AIM_FRACTION,
    MAX_KEYS,
    MAX_ORDER_ENTRIES,
    OpenRequest,
    Server,
)

# Longest wait of this router's prompt tokens at a reader, as a fraction of the latency target (aim). A reader
# with a longer backlog gets no more of them until none of them are pending there.
MAX_BACKLOG_AIM_FRACTION = 0.25
# How many readers beyond those that a key is spread over (`_spread_width`) may read its prompts, too.
SPILL_READERS = 1
MAX_KEY_SHARE = 1.5  # one key may load a reader with this multiple of its even share of all requests
# Weight of the readers in this router's own zone; with two zones they get four in five keys.
OWN_ZONE_WEIGHT = 4.0


class ReaderSelection(ServerHealth):
    """Chooses the server that reads a prompt."""

    def _expected_delay(self, server: Server) -> float:
        """Return how long a read is expected to wait at a server, by what this router has observed."""
        # Without a limit on this delay, a reader that many routers have filled answers late, its reads are
        # repeated, and the overload outlives its cause. In a cell without writers, moving the state out of
        # the cell counts as well.
        delay = max(
            server.delay_us - (self.now_us - server.delay_seen_us),
            0.0
            if self.cell_shares.get(server.entry.cell, (0.0, 0.0))[1]
            else self._cell_delay(server.entry.cell),
        )
        unanswered = [
            (number, sent_us)
            for (number, _), sent_us in server.in_flight.items()
            if sent_us >= server.last_answered_send_us
        ]
        # The oldest unanswered read has already been delayed by its age, which may be longer. But a single
        # lost request makes a reader look overloaded as long as nothing else is sent there, so trial requests
        # are let through, at doubling intervals. This is done only while connections are seen to break: if no
        # requests are lost, trials only add load to overloaded or hung readers.
        trials_allowed = self.now_us - self.last_loss_us < LOSS_WINDOW_US
        if unanswered and not (
            trials_allowed
            and self.now_us - unanswered[-1][1] >= max(BASE_EJECTION_US, (self.now_us - unanswered[0][1]) / 2)
        ):
            delay = max(
                delay,
                self.now_us - unanswered[0][1] - self._service_time(self.open_requests[unanswered[0][0]]),
            )
        return delay

    def _service_time(self, request: OpenRequest) -> float:
        """Return how long the request's read takes without queueing."""
        return request.uncached_tokens / max(self.max_read_rate, 1e-9)

    def _attempt_lost(self, request: OpenRequest) -> bool:
        """Return whether the request's attempt was lost on the way and may be cancelled and retried.

        Network devices between router and servers drop requests silently, and each such request would wait
        for its deadline. An attempt counts as lost when its server has answered one that was sent later; a
        server that hangs or is overloaded answers neither.
        """
        attempt, server = next(iter(request.in_flight.items()))
        sent_us = server.in_flight[(request.arrival.request, attempt)]
        repeatable = server.role is i.Role.READ or request.cls.effect is i.Effect.SAFE
        return self.settings.cancel and repeatable and server.last_answered_send_us > sent_us

    def _overdue(self, request: OpenRequest) -> bool:
        """Return whether an attempt of the request has been unanswered for longer than expected."""
        sent_us = [
            s.in_flight.get((request.arrival.request, attempt), self.now_us)
            for attempt, s in request.in_flight.items()
        ]
        return bool(sent_us) and (
            self.now_us - sent_us[0]
            > MAX_DELAY_AIM_FRACTION * request.aim_us + 2 * self._service_time(request)
        )

    def _avoidance_time(self, delay_us: float) -> float:
        """Return for how long to avoid a reader or link with an observed delay.

        When many routers each retry an overloaded reader as soon as the delay has passed, they keep it
        overloaded for good, with work whose clients have left. Waiting longer by the service time of one read
        per other router lets its queue drain.
        """
        excess = min(max(delay_us / self.min_aim_us - MAX_DELAY_AIM_FRACTION, 0.0), 1.0)
        return delay_us + excess * (self.settings.instances - 1) * self.mean_service_us

    def _cell_delay(self, cell: int) -> float:
        """Return the expected delay of moving a state out of a cell.

        It is long where a link is slow or congested or the writers elsewhere are full; the answers to prompts
        that are read in such a cell come too late.
        """
        delay_us, seen_us = self.cell_delays.get(cell, (0.0, self.now_us))
        return delay_us - (self.now_us - seen_us)

    def _record_cell_delay(
        self, request: OpenRequest, server: Server, sent_us: int | None, first: bool
    ) -> None:
        """Record the delay of an attempt whose state came from another cell.

        `first`: its answer has begun, so this delay replaces the recorded one instead of only raising it.
        """
        if (
            sent_us is not None
            and request.reader is not None
            and (cell := request.reader.entry.cell) != server.entry.cell
        ):
            delay_us = self._avoidance_time(self.now_us - sent_us)
            self.cell_delays[cell] = (
                (delay_us if first else max(delay_us, self._cell_delay(cell))),
                self.now_us,
            )

    def _reader_order(self, key: str) -> list[Server]:
        """Return all readers in the order of preference for a key.

        It is the same at every router of a zone with the same settings and server list. It is cached, because
        ranking a whole fleet is expensive.
        """
        if key not in self.reader_orders:
            if len(self.reader_orders) * len(self.servers) > MAX_ORDER_ENTRIES:
                self.reader_orders.clear()
            readers = (s for s in self.servers.values() if s.role is not i.Role.WRITE and not s.inactive)
            self.reader_orders[key] = sorted(readers, key=lambda s: self._rank(key, s))
        return self.reader_orders[key]

    def _rank(self, key: str, server: Server) -> float:
        """Return a server's weighted rendezvous hash for a key; the lowest comes first."""
        digest = blake2b(f"{key} {server.entry.server}".encode(), digest_size=6).digest()
        weight = server.entry.units * max(self.cell_weights[server.entry.cell], 1e-9)
        # Where attempts across zones have a cost, the router's own zone is preferred: otherwise half of all
        # attempts cross in a fleet of two zones. It is only a weight, so that a busy zone can overflow into
        # idle ones: a weight of 20 overloads the readers of a busy zone in a burst while others are idle.
        if self.settings.cross_zone_price and server.entry.zone == self.settings.zone:
            weight *= OWN_ZONE_WEIGHT
        return -math.log((int.from_bytes(digest) + 1) / (1 << 48)) / weight

    def _spread_width(self, key: str) -> int:
        """Return over how many readers a key is spread, in proportion to its share of the requests."""
        # A prefix shared by most sessions overloads a single reader while others are idle. One router among
        # many sees too few of its requests to notice that by their number, but the key's share of them is the
        # same for any number of routers. The current request is not counted: a router with little traffic
        # counts about ten requests in the window, so this one alone would give a new key a tenth of them, and
        # the fleet would read each prefix, and each turn of a session, at another reader.
        share = max(self.key_counts.get(key, 0.0) - 1, 0.0) / max(self.key_count_total, 1.0)
        return max(1, math.ceil(share * len(self._reader_order(key)) / MAX_KEY_SHARE))

    def _count_key(self, key: str) -> None:
        """Count a request of a key; counts are halved every half window, and dropped beyond MAX_KEYS keys."""
        if self.now_us - self.keys_aged_us > KEY_WINDOW_US / 2 or len(self.key_counts) > MAX_KEYS:
            self.key_counts = {
                k: n / 2 for k, n in self.key_counts.items() if n > 0.25 and len(self.key_counts) <= MAX_KEYS
            }
            self.reader_orders.clear()  # its entries for keys that no longer occur would pile up
            self.key_count_total, self.keys_aged_us = sum(self.key_counts.values()), self.now_us
        self.key_counts[key] = self.key_counts.get(key, 0.0) + 1
        self.key_count_total += 1

    def _choose_reader(self, request: OpenRequest) -> Server | None:
        """Return the first reader in the key's order without much delay or backlog, or None."""
        order, width = self._reader_order(request.key), self._spread_width(request.key)
        if width > 1:  # a session stays with one of the key's readers, which has its earlier turns cached
            order = (
                sorted(order[:width], key=lambda s: self._rank(request.arrival.session or "", s))
                + order[width:]
            )
        request.home_reader = order[0] if order else None
        # Where connecting failed, the whole zone may have failed, which a router learns host by host. Other
        # zones are tried first: six refusals within milliseconds can use up a request's attempts in one zone.
        order = sorted(
            (s for s in order if self._usable(s, request)),
            key=lambda s: s.entry.zone in request.unreachable_zones,
        )
        # Backlog in tokens that takes MAX_BACKLOG_AIM_FRACTION of the aim at the observed rate.
        max_backlog_tokens = (
            MAX_BACKLOG_AIM_FRACTION * request.aim_us * self.mean_backlog_tokens / max(self.mean_read_us, 1.0)
        )
        # A request with a shared prefix stays with the first readers of its key's order, however short the
        # prefix is: reading it at ever more readers would evict other cached prefixes everywhere, and a later
        # turn of its session would find most of its tokens uncached at the new reader. Requests without a
        # shared prefix may go to any reader, and so keep off those of the others.
        if request.arrival.prefix_tokens:
            # Readers further down the order may be used while this router has no attempt there; the fewer the
            # more routers there are, as each of them knows less about which readers are idle.
            far = order[width + SPILL_READERS : width + len(order) // self.settings.instances]
            order = order[: width + SPILL_READERS] + [s for s in far if not s.in_flight]
        timely = [s for s in order if self._expected_delay(s) <= MAX_DELAY_AIM_FRACTION * request.aim_us]
        order = [s for s in timely if self._admits(request, s, request.home_reader)]
        if not order:
            return None
        backlogs = [s.pending_tokens + self._uncached_tokens(request, s) for s in order]
        best = 0 if backlogs[0] <= max_backlog_tokens else backlogs.index(min(backlogs))
        request.uncached_tokens = self._uncached_tokens(request, order[best])
        return order[best] if not order[best].pending_tokens or backlogs[best] <= max_backlog_tokens else None

    def _uncached_tokens(self, request: OpenRequest, server: Server) -> float:
        """Return how many tokens of the prompt a reader must compute, beyond those it has cached."""
        cached = max(
            server.cached_tokens.get(request.arrival.prefix or "", 0.0),
            server.cached_tokens.get(request.arrival.session or "", 0.0),
        )
        # `kept` comes from the prefix index (which prompt prefixes each engine has cached). It is more exact
        # than this router's own reads: other routers read there too, and prefixes get evicted.
        if request.arrival.kept is not None:
            cached = request.arrival.kept.get(server.entry.server, cached)
        return max(request.arrival.prompt_tokens - cached, 1.0)

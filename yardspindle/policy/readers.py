"""The choice of reader: a key's order, bounded by our tokens, past what is late."""

from __future__ import annotations

import math
from hashlib import blake2b

from yardspindle import interface as i
from yardspindle.policy.servers import Hosts
from yardspindle.policy.state import KEY_SPAN_US, KEYS_MOST, LATE_AIM_PART, TRIAL_US, Open, Server

AIM_PART_READER = 0.25  # part of the aim our tokens may wait at a reader; past it at all, none
SPILL = 1  # readers past those of its spread that a key may be read at
SPREAD_TIMES = 1.5  # one key may bring a reader so many times its even part of all requests
OWN_ZONE_TIMES = 4.0  # how many times as readily a reader of our zone draws keys: four in five of two zones


class Readers(Hosts):
    """Where a prompt is read."""

    def _late(self, server: Server) -> float:  # what a read waits there, by what we saw
        # Where many routers fill a reader, reads came late, were repeated, and the jam outlived its cause.
        late = max(
            server.late_us - (self.now_us - server.late_at),
            0.0 if self.cells.get(server.entry.cell, (0.0, 0.0))[1] else self._slow(server.entry.cell),
        )
        out = [(number, sent) for (number, _), sent in server.out.items() if sent >= server.answered_us]
        # The oldest that is out may be later still. One request lost on its way looks like a reader that
        # jams, as long as nothing else is sent there: so trials go, each after twice the time of the last;
        # but only where connections are seen to break: elsewhere they fed jammed or hung readers alone.
        trial = self.now_us - self.lossy_us < KEY_SPAN_US
        if out and not (trial and self.now_us - out[-1][1] >= max(TRIAL_US, (self.now_us - out[0][1]) / 2)):
            late = max(late, self.now_us - out[0][1] - self._own(self.open_requests[out[0][0]]))
        return late

    def _own(self, r: Open) -> float:  # the time that its read takes with nothing in its way
        return r.new / max(self.max_read_rate, 1e-9)

    def _lost(self, r: Open) -> bool:
        """Whether its attempt got lost on its way: others that were sent after it have been answered."""
        # Machines between a router and its servers swallow requests without a word: waited for to the end,
        # each is lost. A server that hangs or jams answers none that came later, and is not meant here.
        seq, server = next(iter(r.out.items()))
        sent = server.out[(r.ask.request, seq)]
        may = server.role is i.Role.READ or r.cls.effect is i.Effect.SAFE
        return self.settings.cancel and may and server.answered_us > sent

    def _overdue(self, r: Open) -> bool:  # its attempt, without an answer yet
        sent = [s.out.get((r.ask.request, seq), self.now_us) for seq, s in r.out.items()]
        return bool(sent) and self.now_us - sent[0] > LATE_AIM_PART * r.aim_us + 2 * self._own(r)

    def _longer(self, late_us: float) -> float:  # for how long to keep off what was late, or did not answer
        # When many routers each try a jammed reader or link again once its lateness is worked off, they feed
        # the jam for good: its queue is work whose clients left. A read of each other longer lets it clear.
        over = min(max(late_us / self.min_aim_us - LATE_AIM_PART, 0.0), 1.0)
        return late_us + over * (self.settings.instances - 1) * self.mean_service_us

    def _slow(self, cell: int) -> float:  # what a state waits on its way out of a cell, by what we saw
        # A slowed or crowded link, or full writers elsewhere: what is read there is written too late.
        took, at = self.links.get(cell, (0.0, self.now_us))
        return took - (self.now_us - at)

    def _moved(self, r: Open, server: Server, sent: int | None, first: bool) -> None:
        if sent is not None and r.reader is not None and (cell := r.reader.entry.cell) != server.entry.cell:
            took = self._longer(self.now_us - sent)
            self.links[cell] = (took if first else max(took, self._slow(cell))), self.now_us

    def _reader_order(
        self, key: str
    ) -> list[Server]:  # the same at every router; kept, as ranking a fleet is dear
        if key not in self.orders:
            readers = (s for s in self.servers.values() if s.role is not i.Role.WRITE and not s.inactive)
            self.orders[key] = sorted(readers, key=lambda s: self._rank(key, s))
        return self.orders[key]

    def _rank(self, key: str, server: Server) -> float:  # weighted rendezvous hash
        digest = blake2b(f"{key} {server.entry.server}".encode(), digest_size=6).digest()
        weight = server.entry.units * max(self.pull[server.entry.cell], 1e-9)
        # Where attempts across zones cost: else in two zones half of all do. No more than a weight, as
        # zones differ in load: with 20 the readers of a busy zone jammed in a burst while others idled.
        if self.settings.cross_zone_price and server.entry.zone == self.settings.zone:
            weight *= OWN_ZONE_TIMES
        return -math.log((int.from_bytes(digest) + 1) / (1 << 48)) / weight

    def _spread_width(self, key: str) -> int:
        """On how many readers a key is spread: as many as its part of the requests needs."""
        # One reader for a text that most sessions share jams though the others are idle, and a router
        # among many sees too little of it to know: the part of the requests is the same at any number.
        # The request at hand says nothing of the others: counted, it made any key of a router that sees few
        # a tenth of all, and the fleet read each text, and each turn of a session, at another reader.
        part = max(self.key_counts.get(key, 0.0) - 1, 0.0) / max(self.key_count_total, 1.0)
        return max(1, math.ceil(part * len(self._reader_order(key)) / SPREAD_TIMES))

    def _count_key(self, key: str) -> None:  # its requests, halved as they age
        if self.now_us - self.keys_us > KEY_SPAN_US / 2 or len(self.key_counts) > KEYS_MOST:
            self.key_counts = {
                k: n / 2 for k, n in self.key_counts.items() if n > 0.25 and len(self.key_counts) <= KEYS_MOST
            }
            self.orders.clear()
            self.key_count_total, self.keys_us = sum(self.key_counts.values()), self.now_us
        self.key_counts[key] = self.key_counts.get(key, 0.0) + 1
        self.key_count_total += 1

    def _reader(self, r: Open) -> Server | None:
        """The first reader in the key's order that is not late and that our tokens leave under the bound."""
        order, wide = self._reader_order(r.key), self._spread_width(r.key)
        if wide > 1:  # a session keeps to its reader among them, where its earlier turns are kept
            order = sorted(order[:wide], key=lambda s: self._rank(r.ask.session or "", s)) + order[wide:]
        r.home_reader = order[0] if order else None
        # Zones are lost whole, and each router finds out host by host: six refusals in as many milliseconds
        # used up a request's attempts in a zone that was gone. Its next read is tried in another zone first.
        order = sorted((s for s in order if self._usable(s, r)), key=lambda s: s.entry.zone in r.unreached)
        # Texts read ever farther from home make all forget all, and a session's later turn leaves most behind
        # there, however short its shared text. What shares none may go anywhere, out of the others' way.
        bound = AIM_PART_READER * r.aim_us * self.read_tokens / max(self.usual, 1.0)
        if r.ask.prefix_tokens:
            far = order[
                wide + SPILL : wide + len(order) // self.settings.instances
            ]  # few routers know who idles
            order = order[: wide + SPILL] + [s for s in far if not s.out]
        timely = [s for s in order if self._late(s) <= LATE_AIM_PART * r.aim_us]
        order = [s for s in timely if self._admits(r, s, r.home_reader)]
        if not order:
            return None
        ahead = [s.pending_tokens + self._new(r, s) for s in order]
        best = 0 if ahead[0] <= bound else ahead.index(min(ahead))
        r.new = self._new(r, order[best])
        return order[best] if not order[best].pending_tokens or ahead[best] <= bound else None

    def _new(self, r: Open, server: Server) -> float:  # what a reader must read, but for what it read for us
        kept = max(server.kept.get(r.ask.prefix or "", 0.0), server.kept.get(r.ask.session or "", 0.0))
        if r.ask.kept is not None:  # an index knows better than our own reads: others read there, texts go
            kept = r.ask.kept.get(server.entry.server, kept)
        return max(r.ask.prompt_tokens - kept, 1.0)

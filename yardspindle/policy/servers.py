"""Membership and health: who serves, what a cell is given, who is paused, who is cold."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from yardspindle import interface as i
from yardspindle.policy.slow_start import SlowStart
from yardspindle.policy.state import KEY_SPAN_US, LONG_AGO_US, TRIAL_US, Open, Server

LIST_LATE_US = 6_000_000  # after so long at the latest what discovery has counts as told
START_MOVED_US = 100_000  # two starts of a server are farther apart; a planner's and an edge's clocks differ
PULL_MOST = 1.1  # a reader in a cell with many writers gets at most so many times its even part of the keys
PULL_ROUNDS = 8  # in which the parts of the cells come to add up to one


class Hosts(SlowStart):
    """What this router knows of each server, and whether a request may go there."""

    def _members(self, event: i.Members) -> None:
        if not self.settings.list_pushed and event.list_kind in (i.ListKind.STALE, i.ListKind.FAILED):
            self.acts.append(i.Watch(True))  # at the start, and again when the subscription is lost
        self.orders.clear()
        named = {entry.server for entry in event.entries}
        for entry, kind in ((e, self.kinds[e.kind]) for e in event.entries if e.kind in self.kinds):
            known = self.servers.setdefault(
                entry.server,
                Server(entry, kind.role, kind.memory_tokens, self._since(entry), lot=self.lots.random()),
            )
            moved_us = abs(entry.up_since_us - known.entry.up_since_us)
            if entry.up_since_us and moved_us > START_MOVED_US:  # restarted: what we held against it is void
                known.failures, known.ejected_until_us, known.started_us = 0, 0, self._since(entry)
                known.refused = 0
                known.full.clear()
                known.kept.clear()
            known.entry = entry if entry.units > 0 else replace(entry, units=1e-9)
            known.inactive, known.gone_us = entry.state is not i.State.SERVING, self.now_us
        if event.list_kind not in (i.ListKind.STALE, i.ListKind.FAILED):
            self.listed_us = self.now_us
        if event.list_kind in (i.ListKind.COMPLETE, i.ListKind.STALE):
            for server in [s for n, s in self.servers.items() if n not in named and not s.inactive]:
                server.inactive, server.gone_us = True, self.now_us
        # Where servers are replaced by new ones all day, what is known of the old must not pile up.
        self.servers = {
            n: s
            for n, s in self.servers.items()
            if not s.inactive or s.out or s.streams or n in named or self.now_us - s.gone_us < KEY_SPAN_US
        }
        self.listed = Counter(s.role for s in self.servers.values() if not s.inactive)
        self._weigh([s for s in self.servers.values() if not s.inactive])

    def _since(self, entry: i.Entry) -> int:
        """When a server that is listed with this start began to serve, by our clock.

        Clocks of machines are stepped: a start that the list before did not tell came after that list, or
        while it was on its way, and before now. One that tells another time may have come this moment.
        """
        if not entry.up_since_us:
            return LONG_AGO_US
        likely = self.listed_us - LIST_LATE_US <= entry.up_since_us <= self.now_us
        return entry.up_since_us if likely else self.now_us

    def _weigh(self, serving: list[Server]) -> None:  # a cell's part of the reads follows its writers
        units = {s.entry.cell: [0.0, 0.0] for s in serving}
        for s in serving:
            for at, other in enumerate((i.Role.WRITE, i.Role.READ)):
                units[s.entry.cell][at] += s.entry.units * (s.role is not other)
        total = [max(sum(column), 1e-9) for column in zip(*units.values(), strict=True)]
        parts = {c: (max(r, 1e-9) / total[0], w / total[1]) for c, (r, w) in units.items()}
        scale = 1.0
        for _ in range(PULL_ROUNDS):
            self.pull = {c: min(scale * w / r, PULL_MOST) for c, (r, w) in parts.items()}
            even = sum(r * self.pull[c] for c, (r, _) in parts.items())
            scale /= max(even, 1e-9)
        # Cells with writers may be too few to read for all: the others read the rest, else a few readers
        # jam while the many in cells that have no writers, or have lost them, idle. Costs moves out of cells.
        rest = max(1 - even, 0.0) / max(PULL_MOST - even, 1e-9)
        self.pull = {c: pull + rest * (PULL_MOST - pull) for c, pull in self.pull.items()}
        self.cells = {c: (r * self.pull[c], w) for c, (r, w) in parts.items()}
        self.spare = [max(w - r, 0.0) for r, w in self.cells.values()]

    def _eject(self, server: Server, why: str) -> None:  # pause it, then let single trials through
        server.failures += 1
        server.refused += why == i.Status.CONNECT_FAILED.value
        if server.failures == 1:
            server.failed_us = self.now_us
            self.acts.append(i.Log(f"ejected {server.entry.server}: {why}"))
        server.ejected_until_us = self.now_us + TRIAL_US * (1 << min(server.failures - 1, 3))

    def _alive(self, server: Server, r: Open, sent: int | None) -> None:  # lives, and takes the tenant's work
        # It was down, so it restarted, and the list, seconds late, has not told yet. Connections that broke
        # on the way are no restart: taken for one, a few resets had most of a warm fleet count as cold.
        if server.refused and (sent or self.now_us) >= server.failed_us:
            server.started_us = self.now_us
        server.failures = server.refused = 0
        server.answered_us = max(server.answered_us, sent or LONG_AGO_US)
        server.full.pop(r.ask.tenant, None)

    def _usable(self, server: Server, r: Open) -> bool:  # not shut (for the tenant), no trial out
        shut = max(server.ejected_until_us, server.full.get(r.ask.tenant, (0, 0))[0])
        return (
            not server.inactive
            and self.now_us >= shut
            and not (server.failures and server.out and self.now_us - max(server.out.values()) < TRIAL_US)
            and server.entry.server not in r.avoid
        )

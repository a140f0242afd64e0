"""Membership and health: who serves, what a cell is given, who is paused, who is cold."""

from __future__ import annotations

from dataclasses import replace

from yardspindle import interface as i
from yardspindle.policy.state import KEY_SPAN_US, LONG_AGO_US, TRIAL_US, Open, Server, State

SLOW_START_PART = 0.8  # of the requests that a cold server gets for what it can do: room for chance, repeats
PULL_MOST = 1.1  # a reader in a cell with many writers gets at most so many times its even part of the keys
PULL_ROUNDS = 8  # in which the parts of the cells come to add up to one


class Hosts(State):
    """What this router knows of each server, and whether a request may go there."""

    def _members(self, event: i.Members) -> None:
        if not self.set.list_pushed and event.list_kind in (i.ListKind.STALE, i.ListKind.FAILED):
            self.acts.append(i.Watch(True))  # at the start, and again when the subscription is lost
        self.orders.clear()
        named = {entry.server for entry in event.entries}
        for entry, kind in ((e, self.kinds[e.kind]) for e in event.entries if e.kind in self.kinds):
            known = self.servers.setdefault(
                entry.server, Server(entry, kind.role, kind.memory_tokens, entry.up_since_us or LONG_AGO_US))
            if entry.up_since_us > known.entry.up_since_us:  # restarted: what we held against it is void
                known.failures, known.ejected_until, known.since_us = 0, 0, entry.up_since_us
                known.refused = 0
                known.full.clear()
                known.kept.clear()
            known.entry = entry if entry.units > 0 else replace(entry, units=1e-9)
            known.gone, known.gone_us = entry.state is not i.State.SERVING, self.now
        if event.list_kind in (i.ListKind.COMPLETE, i.ListKind.STALE):
            for server in [s for n, s in self.servers.items() if n not in named and not s.gone]:
                server.gone, server.gone_us = True, self.now
        # Where servers are replaced by new ones all day, what is known of the old must not pile up.
        self.servers = {n: s for n, s in self.servers.items() if not s.gone or s.out or s.streams
                        or n in named or self.now - s.gone_us < KEY_SPAN_US}
        self._weigh([s for s in self.servers.values() if not s.gone])

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
            server.failed_us = self.now
            self.acts.append(i.Log(f"ejected {server.entry.server}: {why}"))
        server.ejected_until = self.now + TRIAL_US * (1 << min(server.failures - 1, 3))

    def _alive(self, server: Server, r: Open, sent: int | None) -> None:  # lives, and takes the tenant's work
        # It was down, so it restarted, and the list, seconds late, has not told yet. Connections that broke
        # on the way are no restart: taken for one, a few resets had most of a warm fleet count as cold.
        if server.refused and (sent or self.now) >= server.failed_us:
            server.since_us = self.now
        server.failures = server.refused = 0
        server.answered_us = max(server.answered_us, sent or LONG_AGO_US)
        server.full.pop(r.ask.tenant, None)

    def _warmth(self, server: Server) -> float:
        """What part of its capacity a server has surely regained; its ramp is not told: take a line."""
        age = 0 if server.refused else self.now - server.since_us  # refused: it may be back, freshly started
        start = self.set.start_capacity
        return start + (1 - start) * min(max(age, 0) / max(self.set.cold_us, 1), 1.0)

    def _log_slow_start(self, r: Open, server: Server) -> None:
        """Tell of an attempt that goes to a cold server: the fleet's sum is put together from all routers' logs."""
        warmth = self._warmth(server)
        if warmth < 1:
            self.slow_start_sent += 1
            age = "unknown" if server.refused else f"{(self.now - server.since_us) // 1_000} ms"
            self.acts.append(i.Log(f"slow start: request {r.ask.request}, attempt {r.attempts}, to "
                                   f"{server.entry.server}, age {age}, warmth {warmth:.2f}"))

    def counts(self) -> dict[str, int]:
        """Counts since the start, by name, for a line of a log."""
        return {"slow_start_sent": self.slow_start_sent, "slow_start_withheld": self.slow_start_withheld}

    def _fit(self, usable: list[Server], known: int, r: Open) -> list[Server]:
        """Leave out what is cold, but for the part of the requests that it can do."""
        part = SLOW_START_PART * len(usable) / max(known, 1)
        fit = [s for s in usable if (warmth := self._warmth(s)) >= 1 or r.draw < part * warmth]
        self.slow_start_withheld += len(fit) < len(usable)
        return fit

    def _usable(self, server: Server, r: Open) -> bool:  # not shut (for the tenant), no trial out
        shut = max(server.ejected_until, server.full.get(r.ask.tenant, (0, 0))[0])
        return (not server.gone and self.now >= shut
                and not (server.failures and server.out and self.now - max(server.out.values()) < TRIAL_US)
                and server.entry.server not in r.avoid)

"""Server membership and health: the server list, outlier ejection, and the share of reads per cell.

A read is the prefill stage, run by a reader; a writer runs the decode stage and fetches the KV state that the
read left. A cell is a group of servers within which such states move fast.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from yardspindle import interface as i
from yardspindle.policy.slow_start import SlowStart
from yardspindle.policy.state import (
    BASE_EJECTION_US,
    LONG_AGO_US,
    REMOVED_SERVER_RETENTION_US,
    OpenRequest,
    Server,
)

# Longest delay until a change that discovery (the service that lists the servers) knows of has reached this
# router.
MAX_LIST_DELAY_US = 6_000_000
# Reported start times that differ by less are the same start; two starts of one server are farther apart. The
# times may differ because they are converted, not exactly, from the clock of the planner (the process that
# runs this policy) to that of the edge (the process that holds the client connections).
START_TOLERANCE_US = 100_000
# A reader in a cell with many writers gets at most this multiple of its even share of the keys.
MAX_CELL_WEIGHT = 1.1
# Iterations that scale the weights until the cells' shares of the reads add up to about one; what is missing
# after these, because weights are capped, is shared out at the end.
CELL_WEIGHT_ITERATIONS = 8


class ServerHealth(SlowStart):
    """Keeps what this router knows of each server and decides whether a request may go there."""

    def _update_servers(self, event: i.Members) -> None:
        """Apply a message of the server list."""
        if not self.settings.list_pushed and event.list_kind in (i.ListKind.STALE, i.ListKind.FAILED):
            self.actions.append(i.Watch(True))  # at the start, and again when the subscription is lost
        self.reader_orders.clear()
        listed = {entry.server for entry in event.entries}
        for entry, kind in ((e, self.kinds[e.kind]) for e in event.entries if e.kind in self.kinds):
            known = self.servers.setdefault(
                entry.server,
                Server(
                    entry,
                    kind.role,
                    kind.memory_tokens,
                    self._start_time(entry),
                    share_draw=self.server_random.random(),  # rounds its allowance in slow start
                ),
            )
            start_change_us = abs(entry.up_since_us - known.entry.up_since_us)
            if entry.up_since_us and start_change_us > START_TOLERANCE_US:
                # The server has restarted: earlier failures and cached prefixes no longer apply.
                known.failures, known.ejected_until_us, known.started_us = 0, 0, self._start_time(entry)
                known.connect_failures = 0
                known.full_by_tenant.clear()
                known.cached_tokens.clear()
            known.entry = entry if entry.units > 0 else replace(entry, units=1e-9)
            known.inactive, known.inactive_since_us = entry.state is not i.State.SERVING, self.now_us
        if event.list_kind not in (i.ListKind.STALE, i.ListKind.FAILED):
            self.last_list_us = self.now_us
        if event.list_kind in (i.ListKind.COMPLETE, i.ListKind.STALE):
            for server in [s for n, s in self.servers.items() if n not in listed and not s.inactive]:
                server.inactive, server.inactive_since_us = True, self.now_us
        # Drop servers that were removed long ago; where servers are replaced all day they would pile up.
        self.servers = {
            n: s
            for n, s in self.servers.items()
            if not s.inactive
            or s.in_flight
            or s.streams
            or n in listed
            or self.now_us - s.inactive_since_us < REMOVED_SERVER_RETENTION_US
        }
        self.serving_by_role = Counter(s.role for s in self.servers.values() if not s.inactive)
        self._update_cell_weights([s for s in self.servers.values() if not s.inactive])

    def _start_time(self, entry: i.Entry) -> int:
        """Return when a listed server started, by this router's clock.

        Machine clocks get stepped, so a reported start is checked: a start that the previous list did not
        show happened after that list, or while it was on its way, and before now. If the reported time is
        outside this range, the server is taken to have started now.
        """
        if not entry.up_since_us:
            return LONG_AGO_US
        plausible = self.last_list_us - MAX_LIST_DELAY_US <= entry.up_since_us <= self.now_us
        return entry.up_since_us if plausible else self.now_us

    def _update_cell_weights(self, serving: list[Server]) -> None:
        """Set each cell's share of the reads by its share of the writers; few states then leave the cell."""
        units = {s.entry.cell: [0.0, 0.0] for s in serving}  # read and write capacity of each cell
        for s in serving:  # a server counts as a reader unless it is a writer only, and the other way round
            for column, other_role in enumerate((i.Role.WRITE, i.Role.READ)):
                units[s.entry.cell][column] += s.entry.units * (s.role is not other_role)
        total = [max(sum(values), 1e-9) for values in zip(*units.values(), strict=True)]
        shares = {c: (max(read, 1e-9) / total[0], write / total[1]) for c, (read, write) in units.items()}
        scale = 1.0
        for _ in range(CELL_WEIGHT_ITERATIONS):
            self.cell_weights = {
                c: min(scale * write / read, MAX_CELL_WEIGHT) for c, (read, write) in shares.items()
            }
            assigned = sum(read * self.cell_weights[c] for c, (read, _) in shares.items())
            scale /= max(assigned, 1e-9)
        # The readers in cells with writers may be too few for all reads. The others then get the rest:
        # otherwise a few readers are overloaded while the many in cells without writers, or whose writers
        # failed, are idle. The price is that states move between cells.
        rest = max(1 - assigned, 0.0) / max(MAX_CELL_WEIGHT - assigned, 1e-9)
        self.cell_weights = {
            c: weight + rest * (MAX_CELL_WEIGHT - weight) for c, weight in self.cell_weights.items()
        }
        self.cell_shares = {c: (read * self.cell_weights[c], write) for c, (read, write) in shares.items()}
        self.spare_write_capacity = [max(write - read, 0.0) for read, write in self.cell_shares.values()]

    def _eject(self, server: Server, why: str) -> None:
        """Eject a server for a time that doubles with each failure, up to eight times BASE_EJECTION_US.

        Afterwards trial requests go there. The log line is quoted in docs/on-call.md; its number is the
        server's in the server list.
        """
        server.failures += 1
        server.connect_failures += why == i.Status.CONNECT_FAILED.value
        if server.failures == 1:
            server.first_failure_us = self.now_us
            self.actions.append(i.Log(f"ejected {server.entry.server}: {why}"))
        server.ejected_until_us = self.now_us + BASE_EJECTION_US * (1 << min(server.failures - 1, 3))

    def _record_answer(self, server: Server, request: OpenRequest, sent_us: int | None) -> None:
        """Clear the failures of a server that answered, and its pause for the request's tenant (customer)."""
        # An answer after failed connects means that the server restarted: the list is seconds late and does
        # not show it yet. Connections that broke after they were established are no sign of a restart: a few
        # resets would make most of a warm fleet count as cold.
        if server.connect_failures and (sent_us or self.now_us) >= server.first_failure_us:
            server.started_us = self.now_us
        server.failures = server.connect_failures = 0
        server.last_answered_send_us = max(server.last_answered_send_us, sent_us or LONG_AGO_US)
        server.full_by_tenant.pop(request.arrival.tenant, None)

    def _usable(self, server: Server, request: OpenRequest) -> bool:
        """Return whether the server is serving, not paused and not excluded for the request.

        A server with failures gets one trial in each BASE_EJECTION_US while the trials are unanswered.
        """
        paused_until = max(
            server.ejected_until_us, server.full_by_tenant.get(request.arrival.tenant, (0, 0))[0]
        )
        return (
            not server.inactive
            and self.now_us >= paused_until
            and not (
                server.failures
                and server.in_flight
                and self.now_us - max(server.in_flight.values()) < BASE_EJECTION_US
            )
            and server.entry.server not in request.excluded_servers
        )

"""Decides which edges are dead, so that their holds at engines can be released; never those of one that may be alive.

An edge is a process that holds client connections. Its holds are the KV states and the reserved memory (places) that
engines keep for its requests. An epoch is one start of a process; it is confirmed dead when its registration has ended
*and* its page (an HTTP page that tells its epoch) proves it: the machine refuses connections there, or another epoch
answers. An expired lease alone proves nothing: an edge that is cut off from the store goes on serving. A page that does
not answer proves nothing either: the network path may be down, or the process suspended. An epoch that has ended cannot
start again, so a confirmed death is final.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from yardspindle.core.fleet.members import FleetView, Member

EPOCH_RETENTION_US = 60_000_000  # twice the time-out after which engines free by themselves what a dead epoch held
PROBE_RETRY_US = 200_000  # delay before an inconclusive probe is repeated; doubled up to the maximum
MAX_PROBE_RETRY_US = 5_000_000
RECENT_DEATH_US = EPOCH_RETENTION_US / 10  # for so long after a death, calls in flight at an engine may turn into holds
RECENT_SWEEP_INTERVAL_US = 500_000  # within RECENT_DEATH_US after a death
IDLE_SWEEP_INTERVAL_US = 10_000_000  # otherwise: finds holds of epochs whose end this process has not seen


class ProbeResult(Enum):
    """Outcome of an attempt to fetch a member's page."""

    REFUSED = "refused"  # connection refused by the machine: nothing listens there
    ANSWERED = "answered"
    NO_ANSWER = "silent"  # timed out or broken off


@dataclass(slots=True)
class EndedEpoch:
    """An epoch whose registration has ended."""

    member: Member
    since_us: int
    probe_us: int = 0  # when its page is probed next
    retry_us: int = PROBE_RETRY_US
    confirmed_us: int = 0  # when its death was confirmed; 0: unknown whether it is alive


@dataclass(slots=True)
class EndedEpochs:
    """The edge epochs without a registration in the store, which may have left holds at engines."""

    ended: dict[str, EndedEpoch] = field(default_factory=dict)

    def update(self, now_us: int, view: FleetView) -> None:
        """Adds epochs whose registration has ended; drops those registered again or removed from the store."""
        live = view.live_epochs()
        for epoch, member in view.epochs.items():
            if member.kind == "edge" and epoch not in live and epoch not in self.ended:
                self.ended[epoch] = EndedEpoch(member, now_us, now_us)
        for epoch in [e for e in self.ended if e in live or e not in view.epochs]:
            del self.ended[epoch]

    def due_probes(self, now_us: int) -> list[tuple[str, Member]]:
        """The epochs whose page must be probed now; schedules the next probe of each."""
        due = []
        for epoch, entry in self.ended.items():
            if not entry.confirmed_us and now_us >= entry.probe_us:
                entry.probe_us = now_us + entry.retry_us
                entry.retry_us = min(2 * entry.retry_us, MAX_PROBE_RETRY_US)
                due.append((epoch, entry.member))
        return due

    def record_probe(self, now_us: int, epoch: str, result: ProbeResult, found: str) -> bool:
        """Records a probe of an epoch's page, at which epoch `found` answered; whether the death is confirmed."""
        entry = self.ended.get(epoch)
        if entry is None:
            return False
        proved = result is ProbeResult.REFUSED or (result is ProbeResult.ANSWERED and found not in ("", epoch))
        if proved and not entry.confirmed_us:
            entry.confirmed_us = now_us
        return bool(entry.confirmed_us)

    def confirmed_dead(self) -> set[str]:
        """The epochs whose death is confirmed."""
        return {epoch for epoch, entry in self.ended.items() if entry.confirmed_us}

    def expired(self, now_us: int) -> list[str]:
        """Epochs dead for so long that no engine holds anything of them: their record in the store can be deleted."""
        return [
            epoch
            for epoch, entry in self.ended.items()
            if entry.confirmed_us and now_us - entry.confirmed_us > EPOCH_RETENTION_US
        ]

    def next_sweep_us(self, now_us: int, last_us: int) -> int:
        """When the engines' holds must be listed again, given the time of the last sweep."""
        recent = any(
            entry.confirmed_us and now_us - entry.confirmed_us < RECENT_DEATH_US for entry in self.ended.values()
        )
        return last_us + (RECENT_SWEEP_INTERVAL_US if recent else IDLE_SWEEP_INTERVAL_US)


def epoch_of(hold: str) -> str:
    """The epoch that owns a hold, taken from the hold's id."""
    return hold.partition("-")[0]


def holds_to_release(holds: list[str], dead: set[str]) -> list[str]:
    """The holds of an engine that belong to a dead epoch."""
    return [hold for hold in holds if epoch_of(hold) in dead]

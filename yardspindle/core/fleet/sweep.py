"""What is let go of at engines on behalf of edges that are gone: nothing of one that lives, or may live.

An epoch is gone for good when its registration has ended *and* its page proves it: the machine refuses connections
there, or another epoch answers. A lease that ended proves nothing by itself: an edge that was cut off from the store
goes on serving. A page that does not answer proves nothing either: the way to it may be cut, or the process stopped.
Once gone an epoch cannot come back, so what is proved stays proved.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from yardspindle.core.fleet.members import FleetView, Member

FORGET_US = 60_000_000  # after its end engines hold nothing of an epoch any more: twice their own time-out
ASK_AGAIN_US = 200_000  # a page whose answer was no proof; doubled up to the most
ASK_MOST_US = 5_000_000
SWEEP_AGAIN_US = 500_000  # while an epoch is freshly gone: what was under way at an engine may end as a hold
IDLE_US = 10_000_000  # with nobody freshly gone: holds of epochs whose end this owner has not seen


class ProbeResult(Enum):
    """What became of asking a page."""

    REFUSED = "refused"  # by the machine: nobody listens there
    ANSWERED = "answered"
    NO_ANSWER = "silent"  # no answer in time, or broken off


@dataclass(slots=True)
class Ended:
    """An epoch without a registration."""

    member: Member
    since_us: int
    ask_us: int = 0  # when its page is to be asked
    pause_us: int = ASK_AGAIN_US
    gone_us: int = 0  # since when it is proved to be gone; 0: its fate is unknown


@dataclass(slots=True)
class EndedEpochs:
    """The epochs that may have left something behind."""

    ended: dict[str, Ended] = field(default_factory=dict)

    def update(self, now_us: int, view: FleetView) -> None:
        """Take note of registrations that ended, and of epochs that are forgotten."""
        living = view.live_epochs()
        for epoch, member in view.epochs.items():
            if member.kind == "edge" and epoch not in living and epoch not in self.ended:
                self.ended[epoch] = Ended(member, now_us, now_us)
        for epoch in [e for e in self.ended if e in living or e not in view.epochs]:
            del self.ended[epoch]  # it registered anew, or everything of it is done

    def due_probes(self, now_us: int) -> list[tuple[str, Member]]:
        """Epochs whose page is to be asked now."""
        due = []
        for epoch, row in self.ended.items():
            if not row.gone_us and now_us >= row.ask_us:
                row.ask_us = now_us + row.pause_us
                row.pause_us = min(2 * row.pause_us, ASK_MOST_US)
                due.append((epoch, row.member))
        return due

    def record_probe(self, now_us: int, epoch: str, answer: ProbeResult, found: str) -> bool:
        """What asking a page of an ended epoch brought (`found`: the epoch that answered); whether it is gone."""
        row = self.ended.get(epoch)
        if row is None:
            return False
        proved = answer is ProbeResult.REFUSED or (answer is ProbeResult.ANSWERED and found not in ("", epoch))
        if proved and not row.gone_us:
            row.gone_us = now_us
        return bool(row.gone_us)

    def confirmed_dead(self) -> set[str]:
        """Epochs that are gone for good."""
        return {epoch for epoch, row in self.ended.items() if row.gone_us}

    def expired(self, now_us: int) -> list[str]:
        """Epochs gone for so long that nothing of them is held anywhere: their record can go."""
        return [epoch for epoch, row in self.ended.items() if row.gone_us and now_us - row.gone_us > FORGET_US]

    def next_sweep_us(self, now_us: int, last_us: int) -> int:
        """When engines are to be asked for what they hold, after the last time."""
        fresh = any(row.gone_us and now_us - row.gone_us < FORGET_US / 10 for row in self.ended.values())
        return last_us + (SWEEP_AGAIN_US if fresh else IDLE_US)


def epoch_of(hold: str) -> str:
    """The epoch whose hold it is, by its id."""
    return hold.partition("-")[0]


def holds_to_release(holds: list[str], gone: set[str]) -> list[str]:
    """Of an engine's holds, those whose epoch is gone for good."""
    return [hold for hold in holds if epoch_of(hold) in gone]

"""How far a box's cache events agree with what its reads then find: a box that lies is no longer believed.

Events can be in perfect order and wrong: a publisher of another model, a proxy that mixes boxes up, a bug. Each read
says how much it really found (`cached_tokens`), so what was claimed before it can be judged. One number, from 0 to 1:
the smaller of claimed and found over the larger, as a running mean. Claims are judged also while they are not
believed, so a box that was mended is believed again.
"""

from __future__ import annotations

JUDGED_TOKENS_LEAST = 64.0  # under it a claim and a find agree or not by the cut of one block
LEARN = 0.1  # weight of one read: some ten bad reads end belief, one in a while does not
BELIEVED_LEAST = 0.5  # agreement from which a box's claims are told


class ClaimAccuracy:
    """The agreement of each box's claims with its reads."""

    def __init__(self) -> None:
        """Believe every box at first."""
        self._agreement: dict[str, float] = {}

    def judge(self, box: str, claimed: float, found: float) -> None:
        """A read at a box found so many tokens kept of those claimed."""
        most = max(claimed, found)
        if most < JUDGED_TOKENS_LEAST:
            return
        before = self._agreement.get(box, 1.0)
        self._agreement[box] = before + LEARN * (min(claimed, found) / most - before)

    def agreement(self, box: str) -> float:
        """From 0 to 1."""
        return self._agreement.get(box, 1.0)

    def trusted(self, box: str) -> bool:
        """Whether the box's claims are told."""
        return self.agreement(box) >= BELIEVED_LEAST

    def forget(self, box: str) -> None:
        """The box left or started anew: it is judged afresh."""
        self._agreement.pop(box, None)

"""How far an engine's cache events agree with what its reads (prefills) find; the claims of an engine that disagrees
are not used.

Events can be in perfect order and still be wrong: a publisher of another model, a proxy that mixes engines up, a bug.
Each read reports what it really found (`cached_tokens`), so what was claimed before it can be checked. The agreement
is a number from 0 to 1: the smaller of claimed and found over the larger, as a running mean. Claims are also checked
while they are not trusted, so that an engine which was repaired becomes trusted again.
"""

from __future__ import annotations

MIN_JUDGED_TOKENS = 64.0  # claimed or found; with fewer, rounding to whole blocks dominates the agreement
# Weight of one read. From full agreement, seven reads in a row that find nothing of what was claimed end the trust; an
# occasional one does not.
LEARNING_RATE = 0.1
MIN_AGREEMENT = 0.5  # from which an engine's claims are used


class ClaimAccuracy:
    """The agreement of each engine's claims with its reads."""

    def __init__(self) -> None:
        """Trusts every engine at first."""
        self._agreement: dict[str, float] = {}

    def record(self, engine: str, claimed: float, found: float) -> None:
        """Records a read that found `found` cached tokens where the engine had claimed `claimed`."""
        larger = max(claimed, found)
        if larger < MIN_JUDGED_TOKENS:
            return
        before = self._agreement.get(engine, 1.0)
        self._agreement[engine] = before + LEARNING_RATE * (min(claimed, found) / larger - before)

    def agreement(self, engine: str) -> float:
        """The running mean of the agreement, from 0 to 1."""
        return self._agreement.get(engine, 1.0)

    def trusted(self, engine: str) -> bool:
        """Whether the engine's claims are used for predictions."""
        return self.agreement(engine) >= MIN_AGREEMENT

    def forget(self, engine: str) -> None:
        """Forgets an engine that was removed or restarted."""
        self._agreement.pop(engine, None)

"""Estimates which blocks an engine still has cached, from the router's own reads, for engines without cache events.

A read (prefill) leaves its blocks in the cache of the reader (prefill server), and later reads evict them. What matters
is therefore not time but the *volume*: how many uncached tokens the engine has read since a block was last used. Each
block is stamped with the engine's volume at its last use. The volume that evicts a block differs by engine and is not
published. It is learned from each read's `cached_tokens`: for each power of two of that volume, the fraction of the
expected blocks that were found. A block counts as held while that probability is at least one half. When an engine has
nothing of several blocks that it very likely held, its cache was lost: all estimates for it are dropped at once.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

HELD_PROBABILITY = 0.5  # at least this: a block wrongly taken as held costs as much as one wrongly taken as evicted
LEARNING_RATE = 0.15  # weight of one observation in its bucket's probability
PRIOR_PROBABILITY = 0.9  # before any observation, at any volume: engines evict nothing while they have room
MIN_LOST_BLOCKS = 4  # expected and none found: the cache was lost; fewer may be chance
VOLUME_BUCKETS = 40  # one for each power of two of tokens


@dataclass(slots=True)
class _EngineEstimate:
    """What was observed of one engine."""

    stamps: dict[int, float] = field(default_factory=dict)  # by block: the engine's volume when it was last used
    volume: float = 0.0  # uncached tokens that the engine read for this router
    probabilities: list[float] = field(default_factory=lambda: [PRIOR_PROBABILITY] * VOLUME_BUCKETS)  # still held


class PrefixEstimate:
    """Estimates for all engines, of at most `max_blocks` blocks.

    Beyond that, the least recently used blocks of the engine with the most are forgotten.
    """

    def __init__(self, block_size: int, max_blocks: int) -> None:
        """`block_size` in tokens."""
        self._block_size = block_size
        self._max_blocks = max_blocks
        self._engines: dict[str, _EngineEstimate] = {}
        self.correct = 0.0  # blocks that had a stamp and were found
        self.incorrect = 0.0
        self.cache_losses = 0

    def longest_match(self, engine: str, hashes: Sequence[int]) -> int:
        """The number of leading blocks of the chain that the engine probably holds."""
        known = self._engines.get(engine)
        if known is None:
            return 0
        for depth, block in enumerate(hashes):
            stamp = known.stamps.get(block)
            if stamp is None or self._probability(known, known.volume - stamp) < HELD_PROBABILITY:
                return depth
        return len(hashes)

    def record_read(self, engine: str, hashes: Sequence[int], prompt_tokens: int, cached_tokens: int | None) -> None:
        """Learns from a finished read. `cached_tokens` is None if the engine did not report it."""
        known = self._engines.setdefault(engine, _EngineEstimate())
        if cached_tokens is not None:
            self._learn(known, hashes, cached_tokens // self._block_size)
        known.volume += max(prompt_tokens - (cached_tokens or self.longest_match(engine, hashes) * self._block_size), 0)
        for block in hashes:
            known.stamps.pop(block, None)
            known.stamps[block] = known.volume
        total = sum(len(row.stamps) for row in self._engines.values())
        # Forget the oldest blocks of the engine with the most: the excess, but only down to an even share of the limit.
        while total > self._max_blocks:
            fullest = max(self._engines.values(), key=lambda row: len(row.stamps))
            excess = min(total - self._max_blocks, max(len(fullest.stamps) - self._max_blocks // len(self._engines), 1))
            for block in [block for block, _ in zip(fullest.stamps, range(excess), strict=False)]:
                del fullest.stamps[block]
            total -= excess

    def forget(self, engine: str) -> None:
        """Drops all estimates for an engine that restarted."""
        self._engines.pop(engine, None)

    def _learn(self, known: _EngineEstimate, hashes: Sequence[int], found: int) -> None:
        known_blocks = expected_held = 0
        for depth, block in enumerate(hashes):
            stamp = known.stamps.get(block)
            if stamp is None:
                break
            bucket = _volume_bucket(known.volume - stamp)
            probability = known.probabilities[bucket]
            expected_held += probability >= HELD_PROBABILITY
            known_blocks += 1
            was_held = depth < found
            self.correct += was_held
            self.incorrect += not was_held
            # Only the first block and the two at the end of what was found count: the blocks of a prompt are used
            # together, so they are not independent observations.
            if known_blocks in (1, found, found + 1):
                known.probabilities[bucket] += LEARNING_RATE * (was_held - probability)
                self._restore_monotonicity(known, bucket)
        if found == 0 and expected_held >= MIN_LOST_BLOCKS:
            self.cache_losses += 1
            known.stamps.clear()
            known.probabilities = [
                max(probability, PRIOR_PROBABILITY) for probability in known.probabilities
            ]  # the loss says nothing of eviction by volume
            return
        for block in hashes[found:known_blocks]:
            known.stamps.pop(block, None)

    def _restore_monotonicity(self, known: _EngineEstimate, bucket: int) -> None:
        """Keeps probabilities non-increasing with the volume, around the bucket that has just changed."""
        for lower in range(bucket):
            known.probabilities[lower] = max(known.probabilities[lower], known.probabilities[bucket])
        for higher in range(bucket + 1, VOLUME_BUCKETS):
            known.probabilities[higher] = min(known.probabilities[higher], known.probabilities[bucket])

    def _probability(self, known: _EngineEstimate, volume: float) -> float:
        return known.probabilities[_volume_bucket(volume)]


def _volume_bucket(tokens: float) -> int:
    return min(int(tokens).bit_length(), VOLUME_BUCKETS - 1)

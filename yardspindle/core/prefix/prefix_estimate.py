"""Which blocks a box still holds, guessed from our own reads, for engines that publish no cache events.

A read leaves its blocks at the reader; later reads push them out. So what counts is not time but how many tokens the
box has read new since a block was last used: its *stamp*. How much pushes a block out differs by box and is not told;
it is learned from each read's `cached_tokens`: by powers of two of that volume, the part of what was guessed that was
found. A block is taken for held while that chance is at least one half. A box that had nothing of what it very likely
held has forgotten everything: all guesses about it go at once.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

HELD_CHANCE = 0.5  # a block counts as held from this chance on: a wrong guess either way costs the same read
LEARN = 0.15  # weight of a read's evidence in its volume's chance
PRIOR_CHANCE = 0.9  # before any evidence: engines keep texts as long as they have room
FORGOT_BLOCKS = 4  # so many blocks held for sure and none found: it forgot everything; fewer may be chance
VOLUMES = 40  # powers of two of tokens


@dataclass(slots=True)
class _Box:
    stamps: dict[int, float] = field(default_factory=dict)  # block: the box's volume when it was last used
    volume: float = 0.0  # tokens read new, by us
    chances: list[float] = field(default_factory=lambda: [PRIOR_CHANCE] * VOLUMES)


class PrefixEstimate:
    """Guesses for all boxes, at most `most_blocks` of them in all; past it the fullest box's oldest are forgotten."""

    def __init__(self, block_size: int, most_blocks: int) -> None:
        """`block_size` in tokens."""
        self._block_size = block_size
        self._most = most_blocks
        self._engines: dict[str, _Box] = {}
        self.right = 0.0  # blocks guessed and found
        self.wrong = 0.0
        self.cache_losses = 0

    def longest_match(self, box: str, hashes: Sequence[int]) -> int:
        """How many of the chain's first blocks the box is taken to hold."""
        known = self._engines.get(box)
        if known is None:
            return 0
        for depth, block in enumerate(hashes):
            stamp = known.stamps.get(block)
            if stamp is None or self._chance(known, known.volume - stamp) < HELD_CHANCE:
                return depth
        return len(hashes)

    def record_read(self, box: str, hashes: Sequence[int], prompt_tokens: int, cached_tokens: int | None) -> None:
        """A read ended at a box; `cached_tokens` is what it had kept, or None where it does not say."""
        known = self._engines.setdefault(box, _Box())
        if cached_tokens is not None:
            self._judge(known, hashes, cached_tokens // self._block_size)
        known.volume += max(prompt_tokens - (cached_tokens or self.longest_match(box, hashes) * self._block_size), 0)
        for block in hashes:
            known.stamps.pop(block, None)
            known.stamps[block] = known.volume
        held = sum(len(box.stamps) for box in self._engines.values())
        while held > self._most:  # the fullest box gives its oldest down to its even part, or what is over
            fullest = max(self._engines.values(), key=lambda box: len(box.stamps))
            over = min(held - self._most, max(len(fullest.stamps) - self._most // len(self._engines), 1))
            for block in [block for block, _ in zip(fullest.stamps, range(over), strict=False)]:
                del fullest.stamps[block]
            held -= over

    def forget(self, box: str) -> None:
        """The box started anew."""
        self._engines.pop(box, None)

    def _judge(self, known: _Box, hashes: Sequence[int], found: int) -> None:
        guessed = sure = 0
        for depth, block in enumerate(hashes):
            stamp = known.stamps.get(block)
            if stamp is None:
                break
            at = _volume(known.volume - stamp)
            chance = known.chances[at]
            sure += chance >= HELD_CHANCE
            guessed += 1
            held = depth < found
            self.right += held
            self.wrong += not held
            if guessed in (1, found, found + 1):  # the blocks of one text are one piece of evidence, not many
                known.chances[at] += LEARN * (held - chance)
                self._keep_order(known, at)
        if found == 0 and sure >= FORGOT_BLOCKS:
            self.cache_losses += 1
            known.stamps.clear()
            known.chances = [max(chance, PRIOR_CHANCE) for chance in known.chances]  # not the volume's doing
            return
        for block in hashes[found:guessed]:
            known.stamps.pop(block, None)

    def _keep_order(self, known: _Box, at: int) -> None:
        """More volume never makes it likelier that a block is still there."""
        for lower in range(at):
            known.chances[lower] = max(known.chances[lower], known.chances[at])
        for higher in range(at + 1, VOLUMES):
            known.chances[higher] = min(known.chances[higher], known.chances[at])

    def _chance(self, known: _Box, volume: float) -> float:
        return known.chances[_volume(volume)]


def _volume(tokens: float) -> int:
    return min(int(tokens).bit_length(), VOLUMES - 1)

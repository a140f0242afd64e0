"""Which box holds which blocks: a map from block to a bit set of boxes, and the longest match of all boxes in one walk.

Blocks of one text are mostly held by the same boxes, so the bit sets are interned: a block costs one entry of a dict
and a pointer. A box that forgets everything at once gets a new bit and its old one is dead: believed in constant
time, and swept out of the map bit by bit afterwards.

Memory is bounded by a number of blocks. New blocks are on probation until a request asks for them; a flood of texts
that nobody asks for again pushes out only other blocks on probation, never those in use. What is pushed out is merely
forgotten here: the index says less than is held, never more.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

PROTECTED_PART = 0.8  # of all blocks: what was asked for may fill so much, the rest is always open to new texts
SWEEP_BLOCKS = 64  # looked at for dead bits with each update: a sweep ends long before its bit is wanted again
INTERNED_LEAST = 1_024


class PrefixIndex:
    """Blocks and the boxes that hold them. Boxes are known by name."""

    def __init__(self, most_blocks: int) -> None:
        """Hold at most so many blocks."""
        if most_blocks < 1:
            raise ValueError(f"most_blocks: {most_blocks} is under 1")
        self._most = most_blocks
        self._probation: dict[int, int] = {}
        self._protected: dict[int, int] = {}
        self._interned: dict[int, int] = {0: 0}
        self._bit: dict[str, int] = {}  # a box's number of its bit
        self._engine_by_bit: list[str | None] = []  # by bit; None: dead or free
        self._free: list[int] = []
        self._dead = 0  # bits to be swept out
        self._sweep: Iterator[int] | None = None
        self._sweeping = 0
        self._held: dict[str, int] = {}
        self.evicted = 0

    def __len__(self) -> int:
        """Blocks known."""
        return len(self._probation) + len(self._protected)

    @property
    def engines(self) -> list[str]:
        """Boxes of which something was said."""
        return list(self._bit)

    def block_count(self, box: str) -> int:
        """Blocks that a box holds, as far as this knows."""
        return self._held.get(box, 0)

    def store(self, box: str, hashes: Iterable[int]) -> None:
        """A box holds these blocks now."""
        number = self._bit.get(box)
        if number is None:
            number = self._new_bit(box)
        bit = 1 << number
        probation, protected, added = self._probation, self._protected, 0
        for block in hashes:
            where = protected if block in protected else probation
            before = where.get(block, 0)
            if before & bit:
                continue
            where[block] = self._intern(before & ~self._dead | bit)
            added += 1
        self._held[box] = self._held.get(box, 0) + added
        while len(probation) + len(protected) > self._most:
            oldest = next(iter(probation or protected))
            self._uncount((probation or protected).pop(oldest))
            self.evicted += 1
        self._sweep_some()

    def remove(self, box: str, hashes: Iterable[int]) -> None:
        """A box holds these blocks no longer; those unknown are passed over."""
        number = self._bit.get(box)
        if number is None:
            return
        bit = 1 << number
        for block in hashes:
            where = self._protected if block in self._protected else self._probation
            before = where.get(block, 0)
            if before & bit:
                self._held[box] -= 1
                left = before & ~bit & ~self._dead
                if left:
                    where[block] = self._intern(left)
                else:
                    del where[block]
        self._sweep_some()

    def clear(self, box: str) -> None:
        """A box holds nothing any more."""
        number = self._bit.pop(box, None)
        self._held.pop(box, None)
        if number is not None:
            self._engine_by_bit[number] = None
            self._dead |= 1 << number

    def match(self, hashes: Sequence[int]) -> dict[str, int]:
        """For each box that holds any beginning of the chain: how many of its first blocks."""
        probation, protected = self._probation, self._protected
        live = ~self._dead
        found: dict[str, int] = {}
        alive, depth = -1, 0
        for depth, block in enumerate(hashes):
            holders = protected.get(block)
            if holders is None:
                holders = probation.pop(block, 0)
                if holders:  # asked for: it moves out of the reach of a flood
                    protected[block] = holders
            holders &= live & alive
            if alive != holders and depth:
                self._note(alive & ~holders, depth, found)
            alive = holders
            if not alive:
                break
        else:
            depth = len(hashes)
        if alive and hashes:
            self._note(alive, depth, found)
        while len(protected) > PROTECTED_PART * self._most:
            oldest = next(iter(protected))
            probation[oldest] = protected.pop(oldest)
        return found

    def longest_match(self, box: str, hashes: Sequence[int]) -> int:
        """How many of the chain's first blocks one box holds."""
        number = self._bit.get(box)
        if number is None:
            return 0
        for depth, block in enumerate(hashes):
            if not (self._protected.get(block) or self._probation.get(block, 0)) >> number & 1:
                return depth
        return len(hashes)

    def _note(self, bits: int, depth: int, found: dict[str, int]) -> None:
        while bits:
            low = bits & -bits
            box = self._engine_by_bit[low.bit_length() - 1]
            if box is not None:
                found[box] = depth
            bits ^= low

    def _new_bit(self, box: str) -> int:
        if self._free:
            number = self._free.pop()
            self._engine_by_bit[number] = box
        else:
            number = len(self._engine_by_bit)
            self._engine_by_bit.append(box)
        self._bit[box] = number
        return number

    def _intern(self, holders: int) -> int:
        known = self._interned.get(holders)
        if known is not None:
            return known
        if len(self._interned) > max(INTERNED_LEAST, len(self) // 4):
            self._interned = {0: 0}
            for value in (*self._probation.values(), *self._protected.values()):
                self._interned[value] = value
        self._interned[holders] = holders
        return holders

    def _uncount(self, holders: int) -> None:
        bits = holders & ~self._dead
        while bits:
            low = bits & -bits
            box = self._engine_by_bit[low.bit_length() - 1]
            if box is not None:
                self._held[box] -= 1
            bits ^= low

    def _sweep_some(self) -> None:
        """Take dead bits out of a few blocks; a bit that was dead through a whole pass is free again."""
        if self._sweep is None:
            if not self._dead:
                return
            self._sweeping = self._dead
            self._sweep = iter([*self._probation, *self._protected])
        for _ in range(SWEEP_BLOCKS):
            block = next(self._sweep, None)
            if block is None:
                self._sweep = None
                bits = self._sweeping
                self._dead &= ~bits
                while bits:
                    low = bits & -bits
                    self._free.append(low.bit_length() - 1)
                    bits ^= low
                return
            where = self._protected if block in self._protected else self._probation
            holders = where.get(block)
            if holders is not None and holders & self._sweeping:
                left = holders & ~self._dead
                if left:
                    where[block] = self._intern(left)
                else:
                    del where[block]

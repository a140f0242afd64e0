"""A map from block to the engines that hold it, with the longest match of all engines found in one walk.

A block is a run of prompt tokens with the hash of the prompt up to its end (`blocks.py`). The holders of a block are a
bit set with one bit for each engine. Blocks of one prompt are mostly held by the same engines, so the bit sets are
interned: a block costs one dict entry and a pointer. Clearing an engine takes constant time: it gets a new bit with its
next block, and its old bit is dead: ignored at once, and free for another engine once a sweep of the map in small steps
has removed it from all blocks.

Memory is bounded by the number of blocks, in two segments: new blocks are on probation until a request asks for
them, so a flood of prompts that are never repeated evicts only other blocks on probation, not those in use. Eviction
only makes the index forget a block: it then reports less than the engines hold, never more.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

PROTECTED_FRACTION = 0.8  # of all blocks may be protected; the rest is always available for new prompts
SWEEP_BLOCKS = 64  # checked for dead bits at each update, so that these are soon free again and bit sets stay short
MIN_INTERNED = 1_024  # unused interned bit sets are dropped when there are more, and more than a quarter of the blocks


class PrefixIndex:
    """Blocks and the engines that hold them. Engines are identified by name."""

    def __init__(self, max_blocks: int) -> None:
        """Holds at most `max_blocks` blocks. Raises ValueError for less than one."""
        if max_blocks < 1:
            raise ValueError(f"max_blocks: {max_blocks} is under 1")
        self._max_blocks = max_blocks
        self._probation: dict[int, int] = {}
        self._protected: dict[int, int] = {}
        self._interned: dict[int, int] = {0: 0}
        self._bit_by_engine: dict[str, int] = {}
        self._engine_by_bit: list[str | None] = []  # None: the bit is dead or free
        self._free_bits: list[int] = []
        self._dead_mask = 0  # bits that are to be swept out of the map
        self._sweep: Iterator[int] | None = None
        self._sweep_mask = 0  # dead bits that the current sweep removes
        self._block_counts: dict[str, int] = {}
        self.evicted = 0

    def __len__(self) -> int:
        """Blocks in the index."""
        return len(self._probation) + len(self._protected)

    @property
    def engines(self) -> list[str]:
        """Engines that stored blocks since they were last cleared."""
        return list(self._bit_by_engine)

    def block_count(self, engine: str) -> int:
        """Number of indexed blocks that an engine holds."""
        return self._block_counts.get(engine, 0)

    def store(self, engine: str, hashes: Iterable[int]) -> None:
        """Adds blocks that an engine now holds, evicting the oldest blocks beyond the limit."""
        number = self._bit_by_engine.get(engine)
        if number is None:
            number = self._new_bit(engine)
        bit = 1 << number
        probation, protected, added = self._probation, self._protected, 0
        for block in hashes:
            segment = protected if block in protected else probation
            before = segment.get(block, 0)
            if before & bit:
                continue
            segment[block] = self._intern(before & ~self._dead_mask | bit)
            added += 1
        self._block_counts[engine] = self._block_counts.get(engine, 0) + added
        while len(probation) + len(protected) > self._max_blocks:
            oldest = next(iter(probation or protected))
            self._subtract_holders((probation or protected).pop(oldest))
            self.evicted += 1
        self._sweep_step()

    def remove(self, engine: str, hashes: Iterable[int]) -> None:
        """Removes blocks that an engine no longer holds; unknown blocks are ignored."""
        number = self._bit_by_engine.get(engine)
        if number is None:
            return
        bit = 1 << number
        for block in hashes:
            segment = self._protected if block in self._protected else self._probation
            before = segment.get(block, 0)
            if before & bit:
                self._block_counts[engine] -= 1
                left = before & ~bit & ~self._dead_mask
                if left:
                    segment[block] = self._intern(left)
                else:
                    del segment[block]
        self._sweep_step()

    def clear(self, engine: str) -> None:
        """Removes an engine with all its blocks."""
        number = self._bit_by_engine.pop(engine, None)
        self._block_counts.pop(engine, None)
        if number is not None:
            self._engine_by_bit[number] = None
            self._dead_mask |= 1 << number

    def match(self, hashes: Sequence[int]) -> dict[str, int]:
        """The number of leading blocks of the chain that each engine holds; engines with none are left out.

        The blocks found move from probation to the protected segment.
        """
        probation, protected = self._probation, self._protected
        live = ~self._dead_mask
        found: dict[str, int] = {}
        matching, depth = -1, 0  # the engines that hold all blocks so far, as a bit set; -1: all engines
        for depth, block in enumerate(hashes):
            holders = protected.get(block)
            if holders is None:
                holders = probation.pop(block, 0)
                if holders:  # requested: a flood of new blocks cannot evict it now
                    protected[block] = holders
            holders &= live & matching
            if matching != holders and depth:
                self._record_depth(matching & ~holders, depth, found)
            matching = holders
            if not matching:
                break
        else:
            depth = len(hashes)
        if matching and hashes:
            self._record_depth(matching, depth, found)
        while len(protected) > PROTECTED_FRACTION * self._max_blocks:
            oldest = next(iter(protected))
            probation[oldest] = protected.pop(oldest)
        return found

    def longest_match(self, engine: str, hashes: Sequence[int]) -> int:
        """The number of leading blocks of the chain that one engine holds."""
        number = self._bit_by_engine.get(engine)
        if number is None:
            return 0
        for depth, block in enumerate(hashes):
            if not (self._protected.get(block) or self._probation.get(block, 0)) >> number & 1:
                return depth
        return len(hashes)

    def _record_depth(self, bits: int, depth: int, found: dict[str, int]) -> None:
        while bits:
            low = bits & -bits
            engine = self._engine_by_bit[low.bit_length() - 1]
            if engine is not None:
                found[engine] = depth
            bits ^= low

    def _new_bit(self, engine: str) -> int:
        if self._free_bits:
            number = self._free_bits.pop()
            self._engine_by_bit[number] = engine
        else:
            number = len(self._engine_by_bit)
            self._engine_by_bit.append(engine)
        self._bit_by_engine[engine] = number
        return number

    def _intern(self, holders: int) -> int:
        known = self._interned.get(holders)
        if known is not None:
            return known
        if len(self._interned) > max(MIN_INTERNED, len(self) // 4):
            self._interned = {0: 0}
            for value in (*self._probation.values(), *self._protected.values()):
                self._interned[value] = value
        self._interned[holders] = holders
        return holders

    def _subtract_holders(self, holders: int) -> None:
        bits = holders & ~self._dead_mask
        while bits:
            low = bits & -bits
            engine = self._engine_by_bit[low.bit_length() - 1]
            if engine is not None:
                self._block_counts[engine] -= 1
            bits ^= low

    def _sweep_step(self) -> None:
        """Clears dead bits in a few blocks. After a whole pass, the bits that were dead at its start are free again."""
        if self._sweep is None:
            if not self._dead_mask:
                return
            self._sweep_mask = self._dead_mask
            self._sweep = iter([*self._probation, *self._protected])
        for _ in range(SWEEP_BLOCKS):
            block = next(self._sweep, None)
            if block is None:
                self._sweep = None
                bits = self._sweep_mask
                self._dead_mask &= ~bits
                while bits:
                    low = bits & -bits
                    self._free_bits.append(low.bit_length() - 1)
                    bits ^= low
                return
            segment = self._protected if block in self._protected else self._probation
            holders = segment.get(block)
            if holders is not None and holders & self._sweep_mask:
                left = holders & ~self._dead_mask
                if left:
                    segment[block] = self._intern(left)
                else:
                    del segment[block]

"""A stand-in engine's kept texts: blocks, least recently used out first, and the events that tell of them.

Events are those of vLLM, in numbered batches, with the last ones kept for replay. Names of blocks are salted as an
engine's are: nobody outside can compute them.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable

import msgspec

from yardspindle.core.prefix.blocks import block_hashes
from yardspindle.core.prefix.cache_feed import AllBlocksCleared, Batch, BlockRemoved, BlockStored, CacheEvent

REPLAY_BATCHES = 10_000


class BlockCache:
    """Room for so many blocks."""

    def __init__(
        self,
        capacity: int,
        block_size: int,
        salt: int,
        publish: Callable[[int, bytes], None],
        now_s: Callable[[], float],
    ) -> None:
        """`publish` gets each batch's number and bytes."""
        self.capacity, self.block_size = capacity, block_size
        self._salt = salt
        self._publish = publish
        self._now_s = now_s
        self.blocks: OrderedDict[int, None] = OrderedDict()
        self.replay_buffer: deque[tuple[int, bytes]] = deque(maxlen=REPLAY_BATCHES)
        self._number = 0

    def cached_prefix_blocks(self, hashes: list[int]) -> int:
        """Blocks of a chain that are kept."""
        for depth, block in enumerate(hashes):
            if block not in self.blocks:
                return depth
        return len(hashes)

    def prompt_hashes(self, packed: bytes) -> list[int]:
        """A prompt's blocks."""
        return block_hashes(packed, self.block_size)

    def insert(self, hashes: list[int], packed: bytes) -> None:
        """A prompt was read: its blocks are kept, the end of the chain to go first."""
        new = [at for at, block in enumerate(hashes) if block not in self.blocks]
        events: list[CacheEvent] = []
        for at in new:  # one event for each run without a break, as engines tell them
            if events and at - 1 in new:
                stored = events[-1]
                assert isinstance(stored, BlockStored)
                stored.block_hashes.append(hashes[at] ^ self._salt)
                stored.token_ids.extend(self._tokens(packed, at))
            else:
                parent = hashes[at - 1] ^ self._salt if at else None
                events.append(BlockStored([hashes[at] ^ self._salt], parent, self._tokens(packed, at), self.block_size))
        for block in reversed(hashes):
            self.blocks.pop(block, None)
            self.blocks[block] = None
        gone: list[int | bytes] = []
        while len(self.blocks) > self.capacity:
            gone.append(self.blocks.popitem(last=False)[0] ^ self._salt)
        if gone:
            events.append(BlockRemoved(gone))
        self._tell(events)

    def clear(self) -> None:
        """Forget everything."""
        self.blocks.clear()
        self._tell([AllBlocksCleared()])

    def _tokens(self, packed: bytes, at: int) -> list[int]:
        step = 4 * self.block_size
        return list(memoryview(packed[at * step : (at + 1) * step]).cast("I"))

    def _tell(self, events: list[CacheEvent]) -> None:
        if events:
            data = msgspec.msgpack.encode(Batch(self._now_s(), events))
            self.replay_buffer.append((self._number, data))
            self._publish(self._number, data)
            self._number += 1

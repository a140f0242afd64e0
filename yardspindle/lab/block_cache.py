"""A stand-in engine's prefix cache: an LRU of token blocks that publishes cache events (blocks stored, removed).

Events are vLLM's, in numbered batches; the latest batches are kept for replay. Published block hashes are salted, as
an engine's are, so that no other process can compute them.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable

import msgspec

from yardspindle.core.prefix.blocks import block_hashes
from yardspindle.core.prefix.cache_feed import AllBlocksCleared, Batch, BlockRemoved, BlockStored, CacheEvent

REPLAY_BATCHES = 10_000  # kept for subscribers that missed some


class BlockCache:
    """An LRU cache with room for `capacity` blocks."""

    def __init__(
        self,
        capacity: int,
        block_size: int,
        salt: int,
        publish: Callable[[int, bytes], None],
        now_s: Callable[[], float],
    ) -> None:
        """`publish` is called with each batch's number and encoded bytes."""
        self.capacity, self.block_size = capacity, block_size
        self._salt = salt
        self._publish = publish
        self._now_s = now_s
        self.blocks: OrderedDict[int, None] = OrderedDict()
        self.replay_buffer: deque[tuple[int, bytes]] = deque(maxlen=REPLAY_BATCHES)
        self._number = 0

    def cached_prefix_blocks(self, hashes: list[int]) -> int:
        """How many leading blocks of a chain (the block hashes of a prompt, in order) are cached."""
        for depth, block in enumerate(hashes):
            if block not in self.blocks:
                return depth
        return len(hashes)

    def prompt_hashes(self, packed: bytes) -> list[int]:
        """Hashes of a prompt's full blocks, from its packed tokens."""
        return block_hashes(packed, self.block_size)

    def insert(self, hashes: list[int], packed: bytes) -> None:
        """Insert the blocks of a prompt after its prefill; later ones of a chain are evicted before earlier ones."""
        new = [at for at, block in enumerate(hashes) if block not in self.blocks]
        events: list[CacheEvent] = []
        for at in new:  # one event for each run of consecutive blocks, as engines send them
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
        evicted: list[int | bytes] = []
        while len(self.blocks) > self.capacity:
            evicted.append(self.blocks.popitem(last=False)[0] ^ self._salt)
        if evicted:
            events.append(BlockRemoved(evicted))
        self._publish_events(events)

    def clear(self) -> None:
        """Drop all blocks."""
        self.blocks.clear()
        self._publish_events([AllBlocksCleared()])

    def _tokens(self, packed: bytes, at: int) -> list[int]:
        block_bytes = 4 * self.block_size  # a packed token is 4 bytes
        return list(memoryview(packed[at * block_bytes : (at + 1) * block_bytes]).cast("I"))

    def _publish_events(self, events: list[CacheEvent]) -> None:
        if events:
            data = msgspec.msgpack.encode(Batch(self._now_s(), events))
            self.replay_buffer.append((self._number, data))
            self._publish(self._number, data)
            self._number += 1

"""Applies one engine's cache events to the prefix index, in order and each once, and handles faults of the feed.

The prefix index records which blocks (runs of prompt tokens) each engine has in its KV cache. Events arrive in batches
with a sequence number and the publisher's time. Faults are handled as follows:

- *gap*: later batches are buffered up to a limit, and a replay of the missing ones is requested. If the replay does
  not bring them, what is known of the engine is uncertain from then on, and the buffered batches are applied;
- *duplicate* or *late* batch: ignored;
- *reordered* batch: buffered until its predecessors have arrived;
- *restarted publisher* (a number at or below the last one, with a later time): the engine holds nothing, and numbers
  count from there;
- *unknown parent block*: the blocks cannot be placed in a chain, so they are left out and counted. The index then
  reports less than the engine holds, never more;
- *other block size*: left out and counted.

Trust in uncertain knowledge halves at a fixed interval. The knowledge becomes certain again when the engine reports
that its cache was cleared or restarts, when a replay covers all events from the first one, or when so many blocks
were reported since that the old ones hardly matter.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from msgspec import Struct

from yardspindle.core.prefix.blocks import NO_PARENT, block_hashes, pack_tokens
from yardspindle.core.prefix.prefix_index import PrefixIndex

MAX_EARLY_BATCHES = 256  # buffered behind a gap; beyond it the gap is skipped
# From a gap until it is skipped without its replay. Waiting is useful: engines keep batches for longer than asking for
# a replay of them takes.
REPLAY_TIMEOUT_US = 2_000_000
TRUST_HALF_LIFE_US = 5_000_000  # of what was known before a gap; assumes that cache contents turn over about as fast
MIN_TRUST = 0.5  # below it an engine's events are not used: the router's own estimate is better
MAX_BLOCK_HASHES = 400_000  # engine hashes remembered for each engine; the oldest are dropped first
# Blocks reported after a gap until the knowledge is certain again; at least as many as were known before it.
MIN_RENEWED_BLOCKS = 2_000

EngineBlockHash = int | bytes


class BlockStored(Struct, array_like=True, tag=True):
    """vLLM event: blocks were stored in the cache."""

    block_hashes: list[EngineBlockHash]
    parent_block_hash: EngineBlockHash | None
    token_ids: list[int]
    block_size: int


class BlockRemoved(Struct, array_like=True, tag=True):
    """vLLM event: blocks were evicted."""

    block_hashes: list[EngineBlockHash]


class AllBlocksCleared(Struct, array_like=True, tag=True):
    """vLLM event: the whole cache was cleared."""


CacheEvent = BlockStored | BlockRemoved | AllBlocksCleared


class Batch(Struct, array_like=True):
    """vLLM event batch: the publisher's time in seconds, and events in order."""

    ts: float
    events: list[CacheEvent]


@dataclass(slots=True)
class FeedCounts:
    """Counters of batches received and of faults in the feed."""

    batches: int = 0
    duplicates: int = 0
    out_of_order: int = 0
    gaps: int = 0
    unfilled_gaps: int = 0
    restarts: int = 0
    unknown_parents: int = 0
    incompatible: int = 0  # blocks of another size, or with tokens that do not fit it


@dataclass(slots=True)
class CacheFeed:
    """The event feed of one engine. `block_size` is the fleet's configured block size, in tokens."""

    engine: str
    index: PrefixIndex
    block_size: int
    counts: FeedCounts = field(default_factory=FeedCounts)
    last_number: int | None = None  # of the last batch applied
    last_ts: float = 0.0
    uncertain_since_us: int | None = None  # None while the knowledge is certain
    _early: dict[int, Batch] = field(default_factory=dict)  # buffered behind a gap, by number
    _replay_requested_us: int | None = None
    _router_hashes: dict[EngineBlockHash, int] = field(default_factory=dict)  # by engine hash
    _blocks_since_uncertain: int = 0
    _blocks_when_uncertain: int = 0

    def receive(self, now_us: int, number: int, batch: Batch) -> int | None:
        """Handles a received batch. Returns the number from which to request a replay, if one is needed now."""
        self.counts.batches += 1
        if self.last_number is not None and number <= self.last_number:
            if batch.ts <= self.last_ts:
                self.counts.duplicates += 1
                return None
            self._reset()
        if self.last_number is None and number > 0:  # subscribed late: earlier events are unknown
            self._mark_uncertain(now_us)
            self.last_number = number - 1
            self._apply(now_us, number, batch)
            return 0  # request all that the engine still keeps, from its first batch
        if self.last_number is not None and number > self.last_number + 1:
            return self._buffer_out_of_order(now_us, number, batch)
        self._apply(now_us, number, batch)
        self._apply_consecutive(now_us)
        return None

    def receive_replay(self, now_us: int, batches: Sequence[tuple[int, Batch]]) -> None:
        """Applies the batches that the publisher replayed. Batches still missing afterwards are lost."""
        if (
            self.last_number is not None
            and batches
            and not self._early
            and self.uncertain_since_us is not None
            and batches[0][0] == 0
            and batches[-1][0] >= self.last_number
        ):
            last, self.uncertain_since_us = self.last_number, None  # all events from the first one: certain again
            self._clear_blocks()
            self.last_number = None
            for number, batch in batches:
                if number <= last:
                    self._apply(now_us, number, batch)
        for number, batch in batches:
            if self.last_number is None or number == self.last_number + 1:
                self._apply(now_us, number, batch)
        if self.last_number is not None:
            for number in [number for number in self._early if number <= self.last_number]:
                del self._early[number]  # in the replay; applied again, it would undo the effect of later batches
        self._apply_consecutive(now_us)
        if self._early:
            self._skip_gap(now_us)
        self._replay_requested_us = None

    def check_timeout(self, now_us: int) -> None:
        """Stops waiting for a replay that did not arrive in time."""
        if self._replay_requested_us is not None and now_us - self._replay_requested_us > REPLAY_TIMEOUT_US:
            self._replay_requested_us = None
            if self._early:
                self._skip_gap(now_us)

    def subscription_lost(self, now_us: int) -> None:
        """The subscription broke: events may have been missed."""
        self._mark_uncertain(now_us)

    def engine_restarted(self) -> None:
        """The server list reports a restart of the engine: its cache is empty, its next batch may have any number."""
        if self.last_number is not None:
            self._reset()

    def trust(self, now_us: int) -> float:
        """How reliable the knowledge of the engine is, from 0 to 1."""
        if self.last_number is None:
            return 0.0
        if self.uncertain_since_us is None:
            return 1.0
        return float(0.5 ** ((now_us - self.uncertain_since_us) / TRUST_HALF_LIFE_US))

    def _buffer_out_of_order(self, now_us: int, number: int, batch: Batch) -> int | None:
        """Buffers a batch behind a gap. Returns the number from which to request a replay, if one is needed now."""
        self.counts.out_of_order += 1
        self._early[number] = batch
        if len(self._early) > MAX_EARLY_BATCHES:
            self._skip_gap(now_us)
            return None
        if self._replay_requested_us is not None:
            return None
        self.counts.gaps += 1
        self._replay_requested_us = now_us
        assert self.last_number is not None
        return self.last_number + 1

    def _apply_consecutive(self, now_us: int) -> None:
        while self.last_number is not None and (batch := self._early.pop(self.last_number + 1, None)) is not None:
            self._apply(now_us, self.last_number + 1, batch)
        if not self._early:
            self._replay_requested_us = None

    def _skip_gap(self, now_us: int) -> None:
        """Applies the buffered batches behind a gap that could not be filled."""
        self.counts.unfilled_gaps += 1
        self._mark_uncertain(now_us)
        for number in sorted(self._early):
            self._apply(now_us, number, self._early.pop(number))
        self._replay_requested_us = None

    def _mark_uncertain(self, now_us: int) -> None:
        if self.uncertain_since_us is None:
            self.uncertain_since_us = now_us
        self._blocks_since_uncertain, self._blocks_when_uncertain = 0, self.index.block_count(self.engine)

    def _reset(self) -> None:
        self.counts.restarts += 1
        self._clear_blocks()
        self._early.clear()
        self.last_number, self._replay_requested_us, self.uncertain_since_us = None, None, None

    def _clear_blocks(self) -> None:
        self.index.clear(self.engine)
        self._router_hashes.clear()

    def _apply(self, now_us: int, number: int, batch: Batch) -> None:
        self.last_number, self.last_ts = number, max(self.last_ts, batch.ts)
        for event in batch.events:
            match event:
                case BlockStored():
                    self._store(event)
                case BlockRemoved(hashes):
                    removed = [
                        self._router_hashes.pop(engine_hash)
                        for engine_hash in hashes
                        if engine_hash in self._router_hashes
                    ]
                    self.index.remove(self.engine, removed)
                case AllBlocksCleared():
                    self._clear_blocks()
                    self.uncertain_since_us = None

    def _store(self, event: BlockStored) -> None:
        parent = NO_PARENT if event.parent_block_hash is None else self._router_hashes.get(event.parent_block_hash)
        if parent is None:
            self.counts.unknown_parents += len(event.block_hashes)
            return
        compatible = (
            event.block_size == self.block_size and len(event.token_ids) == len(event.block_hashes) * self.block_size
        )
        try:
            hashes = block_hashes(pack_tokens(event.token_ids), self.block_size, parent) if compatible else []
        except OverflowError:
            compatible = False
        if not compatible:
            self.counts.incompatible += len(event.block_hashes)
            return
        for engine_hash, block in zip(event.block_hashes, hashes, strict=True):
            self._router_hashes[engine_hash] = block
        while len(self._router_hashes) > MAX_BLOCK_HASHES:
            del self._router_hashes[next(iter(self._router_hashes))]
        self.index.store(self.engine, hashes)
        if self.uncertain_since_us is not None:
            self._blocks_since_uncertain += len(hashes)
            if self._blocks_since_uncertain >= max(self._blocks_when_uncertain, MIN_RENEWED_BLOCKS):
                self.uncertain_since_us = None

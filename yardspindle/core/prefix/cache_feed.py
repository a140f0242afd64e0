"""One box's cache events: in order, once, and with a stated answer to everything that can go wrong with them.

Events come in batches with a sequence number and the publisher's time. The answers:

- *gap*: later batches wait (a few), the missing ones are asked for again; if they cannot be had, what was known of
  the box is unsure from then on, and what comes is taken from where it goes on;
- *repeat* or *late*: passed over;
- *reorder*: the early one waits for its turn;
- *a publisher that started anew* (a number at or under the last, with a later time): the box holds nothing, and
  its numbers count from there;
- *parent not known*: the blocks hang nowhere, so they are left out and counted: the index says less, never more;
- *another block size*: left out and counted.

Unsure knowledge halves with time, until a box's own word (everything cleared, a new start) makes it sure again, or so
many blocks were told anew that the old ones hardly count.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from msgspec import Struct

from yardspindle.core.prefix.blocks import NO_PARENT, block_hashes, pack_tokens
from yardspindle.core.prefix.prefix_index import PrefixIndex

MAX_EARLY_BATCHES = 256  # batches that wait for a missing one; past it the gap is taken as it is
REPLAY_TIMEOUT_US = 2_000_000  # for the missing batches to come; an engine keeps them for longer than it takes to ask
TRUST_HALF_LIFE_US = 5_000_000  # in which trust in what was known before a gap halves: texts turn over in such times
MIN_TRUST = 0.5  # trust under which a box's blocks are not told: our own guess is better
TRANSLATED_MOST = 400_000  # engine's names of blocks kept for each box; the oldest go first
RENEWED_LEAST = 2_000  # blocks told since a doubt, and no fewer than were held then: then it is sure again

BlockName = int | bytes


class BlockStored(Struct, array_like=True, tag=True):
    """vLLM's event: blocks were stored."""

    block_hashes: list[BlockName]
    parent_block_hash: BlockName | None
    token_ids: list[int]
    block_size: int


class BlockRemoved(Struct, array_like=True, tag=True):
    """vLLM's event: blocks were evicted."""

    block_hashes: list[BlockName]


class AllBlocksCleared(Struct, array_like=True, tag=True):
    """vLLM's event: everything was dropped."""


CacheEvent = BlockStored | BlockRemoved | AllBlocksCleared


class Batch(Struct, array_like=True):
    """vLLM's batch: the publisher's time in seconds, and events in order."""

    ts: float
    events: list[CacheEvent]


@dataclass(slots=True)
class FeedCounts:
    """What came and what was made of it."""

    batches: int = 0
    duplicates: int = 0
    out_of_order: int = 0
    gaps: int = 0
    unfilled_gaps: int = 0
    restarts: int = 0
    unknown_parents: int = 0
    incompatible: int = 0


@dataclass(slots=True)
class CacheFeed:
    """Feeds one box's events to the index. `block_size` is the fleet's."""

    box: str
    index: PrefixIndex
    block_size: int
    counts: FeedCounts = field(default_factory=FeedCounts)
    last_number: int | None = None
    last_ts: float = 0.0
    unsure_us: int | None = None
    _early: dict[int, Batch] = field(default_factory=dict)
    _asked_us: int | None = None
    _names: dict[BlockName, int] = field(default_factory=dict)
    _renewed: int = 0
    _doubted: int = 0

    def receive(self, now_us: int, number: int, batch: Batch) -> int | None:
        """A batch came; gives the number from which to ask for a replay, if one is wanted now."""
        self.counts.batches += 1
        if self.last_number is not None and number <= self.last_number:
            if batch.ts <= self.last_ts:
                self.counts.duplicates += 1
                return None
            self._start_anew()
        if self.last_number is None and number > 0:  # we come late: what was told before is not known
            self._doubt(now_us)
            self.last_number = number - 1
            self._apply(now_us, number, batch)
            return 0  # an engine replays what it still has, from the beginning
        if self.last_number is not None and number > self.last_number + 1:
            return self._wait(now_us, number, batch)
        self._apply(now_us, number, batch)
        self._go_on(now_us)
        return None

    def receive_replay(self, now_us: int, batches: Sequence[tuple[int, Batch]]) -> None:
        """What the publisher still had; what is missing after it is lost."""
        if (
            self.last_number is not None
            and batches
            and not self._early
            and self.unsure_us is not None
            and batches[0][0] == 0
            and batches[-1][0] >= self.last_number
        ):
            last, self.unsure_us = self.last_number, None  # the whole story from the start: nothing is left to doubt
            self._forget_all()
            self.last_number = None
            for number, batch in batches:
                if number <= last:
                    self._apply(now_us, number, batch)
        for number, batch in batches:
            if self.last_number is None or number == self.last_number + 1:
                self._apply(now_us, number, batch)
        if self.last_number is not None:
            for number in [number for number in self._early if number <= self.last_number]:
                del self._early[number]  # the replay brought it; to apply it again would go back to it
        self._go_on(now_us)
        if self._early:
            self._skip(now_us)
        self._asked_us = None

    def check_timeout(self, now_us: int) -> None:
        """A replay that did not come is no longer waited for."""
        if self._asked_us is not None and now_us - self._asked_us > REPLAY_TIMEOUT_US:
            self._asked_us = None
            if self._early:
                self._skip(now_us)

    def subscription_lost(self, now_us: int) -> None:
        """The subscription broke: what was told meanwhile is not known."""
        self._doubt(now_us)

    def engine_restarted(self) -> None:
        """The list says that the box started anew; its own first batch, when it comes, counts from there."""
        if self.last_number is not None:
            self._start_anew()

    def trust(self, now_us: int) -> float:
        """From 0 to 1: how far what is known of the box is to be believed."""
        if self.last_number is None:
            return 0.0
        if self.unsure_us is None:
            return 1.0
        return float(0.5 ** ((now_us - self.unsure_us) / TRUST_HALF_LIFE_US))

    def _wait(self, now_us: int, number: int, batch: Batch) -> int | None:
        self.counts.out_of_order += 1
        self._early[number] = batch
        if len(self._early) > MAX_EARLY_BATCHES:
            self._skip(now_us)
            return None
        if self._asked_us is not None:
            return None
        self.counts.gaps += 1
        self._asked_us = now_us
        assert self.last_number is not None
        return self.last_number + 1

    def _go_on(self, now_us: int) -> None:
        while self.last_number is not None and (batch := self._early.pop(self.last_number + 1, None)) is not None:
            self._apply(now_us, self.last_number + 1, batch)
        if not self._early:
            self._asked_us = None

    def _skip(self, now_us: int) -> None:
        """Go on behind a gap that stays."""
        self.counts.unfilled_gaps += 1
        self._doubt(now_us)
        for number in sorted(self._early):
            self._apply(now_us, number, self._early.pop(number))
        self._asked_us = None

    def _doubt(self, now_us: int) -> None:
        if self.unsure_us is None:
            self.unsure_us = now_us
        self._renewed, self._doubted = 0, self.index.block_count(self.box)

    def _start_anew(self) -> None:
        self.counts.restarts += 1
        self._forget_all()
        self._early.clear()
        self.last_number, self._asked_us, self.unsure_us = None, None, None

    def _forget_all(self) -> None:
        self.index.clear(self.box)
        self._names.clear()

    def _apply(self, now_us: int, number: int, batch: Batch) -> None:
        self.last_number, self.last_ts = number, max(self.last_ts, batch.ts)
        for event in batch.events:
            match event:
                case BlockStored():
                    self._stored(event)
                case BlockRemoved(hashes):
                    gone = [self._names.pop(name) for name in hashes if name in self._names]
                    self.index.remove(self.box, gone)
                case AllBlocksCleared():
                    self._forget_all()
                    self.unsure_us = None

    def _stored(self, event: BlockStored) -> None:
        parent = NO_PARENT if event.parent_block_hash is None else self._names.get(event.parent_block_hash)
        if parent is None:
            self.counts.unknown_parents += len(event.block_hashes)
            return
        fits = event.block_size == self.block_size and len(event.token_ids) == len(event.block_hashes) * self.block_size
        try:
            hashes = block_hashes(pack_tokens(event.token_ids), self.block_size, parent) if fits else []
        except OverflowError:
            fits = False
        if not fits:
            self.counts.incompatible += len(event.block_hashes)
            return
        for name, block in zip(event.block_hashes, hashes, strict=True):
            self._names[name] = block
        while len(self._names) > TRANSLATED_MOST:
            del self._names[next(iter(self._names))]
        self.index.store(self.box, hashes)
        if self.unsure_us is not None:
            self._renewed += len(hashes)
            if self._renewed >= max(self._doubted, RENEWED_LEAST):
                self.unsure_us = None

"""What readers are known to hold of a prompt: by their events where they publish them, else by our own guesses.

The index never chooses. For each reader it says how many of the prompt's tokens are there already; the policy weighs
that at the readers that it may use anyway. A reader whose events are in doubt is told of in proportion to the trust,
and under one half our guess takes over.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from yardspindle.core.prefix.blocks import TOKEN_BYTES, block_hashes
from yardspindle.core.prefix.cache_feed import MIN_TRUST, Batch, CacheFeed
from yardspindle.core.prefix.claim_accuracy import ClaimAccuracy
from yardspindle.core.prefix.prefix_estimate import PrefixEstimate
from yardspindle.core.prefix.prefix_index import PrefixIndex
from yardspindle.core.prefix.tokenizer import Messages, Tokenizer


@dataclass(slots=True)
class PredictionScore:
    """How right what was told has been, in tokens."""

    predicted: int = 0
    found: int = 0
    read: int = 0


@dataclass(frozen=True, slots=True)
class PromptBlocks:
    """A prompt's blocks, and its length in the router's own tokens: engines may count others."""

    hashes: Sequence[int] = ()
    tokens: int = 0


@dataclass(slots=True)
class PrefixTracker:
    """All that is known of kept texts."""

    tokenizer: Tokenizer
    block_size: int
    max_blocks: int
    use_estimates: bool = True
    use_events: bool = True  # of events
    index: PrefixIndex = field(init=False)
    estimate: PrefixEstimate = field(init=False)
    feeds: dict[str, CacheFeed] = field(default_factory=dict)
    claims: ClaimAccuracy = field(default_factory=ClaimAccuracy)
    ignored_batches: int = 0  # batches for boxes that are not on the list
    score: PredictionScore = field(default_factory=PredictionScore)

    def __post_init__(self) -> None:
        """Start knowing nothing."""
        self.index = PrefixIndex(self.max_blocks)
        self.estimate = PrefixEstimate(self.block_size, self.max_blocks)

    def blocks(self, messages: Messages, tools: bytes) -> PromptBlocks:
        """A prompt's blocks."""
        packed = self.tokenizer.encode_prompt(messages, tools)
        return PromptBlocks(block_hashes(packed, self.block_size), len(packed) // TOKEN_BYTES)

    def set_publishers(self, publishing: Iterable[str]) -> None:
        """Which boxes publish events; what was told of others is dropped."""
        wanted = set(publishing) if self.use_events else set()
        for box in [box for box in self.feeds if box not in wanted]:
            self.index.clear(box)
            self.claims.forget(box)
            del self.feeds[box]
        for box in sorted(wanted):
            if box not in self.feeds:
                self.feeds[box] = CacheFeed(box, self.index, self.block_size)

    def receive_batch(self, now_us: int, box: str, number: int, batch: Batch) -> int | None:
        """Events of a box; gives the number from which a replay is wanted, if one is."""
        feed = self.feeds.get(box)
        if feed is None:
            self.ignored_batches += 1
            return None
        return feed.receive(now_us, number, batch)

    def receive_replay(self, now_us: int, box: str, batches: Sequence[tuple[int, Batch]]) -> None:
        """What a box still had of its events."""
        if (feed := self.feeds.get(box)) is not None:
            feed.receive_replay(now_us, batches)

    def subscription_lost(self, now_us: int, box: str) -> None:
        """A box's events stopped coming."""
        if (feed := self.feeds.get(box)) is not None:
            feed.subscription_lost(now_us)

    def check_timeouts(self, now_us: int) -> None:
        """Look at the clock."""
        for feed in self.feeds.values():
            feed.check_timeout(now_us)

    def engine_restarted(self, box: str) -> None:
        """The list says that a box started anew: it holds nothing."""
        self.estimate.forget(box)
        self.claims.forget(box)
        if (feed := self.feeds.get(box)) is not None:
            feed.engine_restarted()

    def claimed_tokens(self, now_us: int, blocks: PromptBlocks, prompt_tokens: float) -> dict[str, float]:
        """Of `prompt_tokens`, those that each box's own events say it holds, as far as these are in order."""
        if not blocks.hashes:
            return {}
        found = self.index.match(blocks.hashes)
        of_block = self.block_size / blocks.tokens * prompt_tokens
        claims: dict[str, float] = {}
        for box, feed in self.feeds.items():
            trust = feed.trust(now_us)
            if trust >= MIN_TRUST:
                claims[box] = found.get(box, 0) * of_block * trust
        return claims

    def predict(
        self, claims: dict[str, float], blocks: PromptBlocks, boxes: Iterable[str], prompt_tokens: float
    ) -> dict[str, float]:
        """What the policy is told: claims of boxes that are believed, else our guess; unknown boxes are left out."""
        told: dict[str, float] = {}
        for box in boxes:
            if box in claims and self.claims.trusted(box):
                told[box] = claims[box]
            elif self.use_estimates and blocks.hashes:
                of_block = self.block_size / blocks.tokens * prompt_tokens
                told[box] = self.estimate.longest_match(box, blocks.hashes) * of_block
        return told

    def predict_from_index(
        self, now_us: int, blocks: PromptBlocks, boxes: Iterable[str], prompt_tokens: float
    ) -> dict[str, float]:
        """Claims and what is told of them in one."""
        return self.predict(self.claimed_tokens(now_us, blocks, prompt_tokens), blocks, boxes, prompt_tokens)

    def record_read(
        self,
        box: str,
        blocks: PromptBlocks,
        prompt_tokens: int,
        cached_tokens: int | None,
        predicted: float | None,
        claimed: float | None = None,
    ) -> None:
        """A read ended at a box, as the engine counted it; `told` to the policy and `claimed` by the box before it."""
        if claimed is not None and cached_tokens is not None:
            self.claims.judge(box, claimed, cached_tokens)
        if self.use_estimates:
            part = blocks.tokens / max(prompt_tokens, 1)  # engine's tokens as ours
            cached = None if cached_tokens is None else round(cached_tokens * part)
            self.estimate.record_read(box, blocks.hashes, blocks.tokens, cached)
        if predicted is not None and cached_tokens is not None:
            self.score.predicted += round(predicted)
            self.score.found += min(round(predicted), cached_tokens)
        self.score.read += prompt_tokens

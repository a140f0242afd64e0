"""What readers are known to hold of a prompt: by their events where they publish them, else by our own guesses.

The index never chooses. For each reader it says how many of the prompt's tokens are there already; the policy weighs
that at the readers that it may use anyway. A reader whose events are in doubt is told of in proportion to the trust,
and under one half our guess takes over.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from yardspindle.core.texts.blocks import TOKEN_BYTES, chain
from yardspindle.core.texts.cache_feed import SURE_LEAST, Batch, CacheFeed
from yardspindle.core.texts.claims import Claims
from yardspindle.core.texts.prefix_guess import PrefixGuess
from yardspindle.core.texts.prefix_index import PrefixIndex
from yardspindle.core.texts.tokens import Messages, Tokenizer


@dataclass(slots=True)
class Score:
    """How right what was told has been, in tokens."""

    told: int = 0
    found: int = 0
    read: int = 0


@dataclass(frozen=True, slots=True)
class Blocks:
    """A prompt's blocks, and its length in the router's own tokens: engines may count others."""

    hashes: Sequence[int] = ()
    tokens: int = 0


@dataclass(slots=True)
class PrefixKnowledge:
    """All that is known of kept texts."""

    tokenizer: Tokenizer
    block_size: int
    most_blocks: int
    guessing: bool = True
    following: bool = True  # of events
    index: PrefixIndex = field(init=False)
    guess: PrefixGuess = field(init=False)
    feeds: dict[str, CacheFeed] = field(default_factory=dict)
    claims: Claims = field(default_factory=Claims)
    ignored: int = 0  # batches for boxes that are not on the list
    score: Score = field(default_factory=Score)

    def __post_init__(self) -> None:
        """Start knowing nothing."""
        self.index = PrefixIndex(self.most_blocks)
        self.guess = PrefixGuess(self.block_size, self.most_blocks)

    def blocks(self, messages: Messages, tools: bytes) -> Blocks:
        """A prompt's blocks."""
        packed = self.tokenizer.packed(messages, tools)
        return Blocks(chain(packed, self.block_size), len(packed) // TOKEN_BYTES)

    def listed(self, publishing: Iterable[str]) -> None:
        """Which boxes publish events; what was told of others is dropped."""
        wanted = set(publishing) if self.following else set()
        for box in [box for box in self.feeds if box not in wanted]:
            self.index.clear(box)
            self.claims.forget(box)
            del self.feeds[box]
        for box in sorted(wanted):
            if box not in self.feeds:
                self.feeds[box] = CacheFeed(box, self.index, self.block_size)

    def batch(self, now_us: int, box: str, number: int, batch: Batch) -> int | None:
        """Events of a box; gives the number from which a replay is wanted, if one is."""
        feed = self.feeds.get(box)
        if feed is None:
            self.ignored += 1
            return None
        return feed.take(now_us, number, batch)

    def replayed(self, now_us: int, box: str, batches: Sequence[tuple[int, Batch]]) -> None:
        """What a box still had of its events."""
        if (feed := self.feeds.get(box)) is not None:
            feed.replayed(now_us, batches)

    def lost(self, now_us: int, box: str) -> None:
        """A box's events stopped coming."""
        if (feed := self.feeds.get(box)) is not None:
            feed.lost(now_us)

    def tick(self, now_us: int) -> None:
        """Look at the clock."""
        for feed in self.feeds.values():
            feed.tick(now_us)

    def restarted(self, box: str) -> None:
        """The list says that a box started anew: it holds nothing."""
        self.guess.forget(box)
        self.claims.forget(box)
        if (feed := self.feeds.get(box)) is not None:
            feed.restarted()

    def claimed(self, now_us: int, blocks: Blocks, prompt_tokens: float) -> dict[str, float]:
        """Of `prompt_tokens`, those that each box's own events say it holds, as far as these are in order."""
        if not blocks.hashes:
            return {}
        found = self.index.match(blocks.hashes)
        of_block = self.block_size / blocks.tokens * prompt_tokens
        claims: dict[str, float] = {}
        for box, feed in self.feeds.items():
            trust = feed.trust(now_us)
            if trust >= SURE_LEAST:
                claims[box] = found.get(box, 0) * of_block * trust
        return claims

    def told(
        self, claims: dict[str, float], blocks: Blocks, boxes: Iterable[str], prompt_tokens: float
    ) -> dict[str, float]:
        """What the policy is told: claims of boxes that are believed, else our guess; unknown boxes are left out."""
        told: dict[str, float] = {}
        for box in boxes:
            if box in claims and self.claims.believed(box):
                told[box] = claims[box]
            elif self.guessing and blocks.hashes:
                of_block = self.block_size / blocks.tokens * prompt_tokens
                told[box] = self.guess.longest(box, blocks.hashes) * of_block
        return told

    def kept(self, now_us: int, blocks: Blocks, boxes: Iterable[str], prompt_tokens: float) -> dict[str, float]:
        """Claims and what is told of them in one."""
        return self.told(self.claimed(now_us, blocks, prompt_tokens), blocks, boxes, prompt_tokens)

    def read(
        self,
        box: str,
        blocks: Blocks,
        prompt_tokens: int,
        cached_tokens: int | None,
        told: float | None,
        claimed: float | None = None,
    ) -> None:
        """A read ended at a box, as the engine counted it; `told` to the policy and `claimed` by the box before it."""
        if claimed is not None and cached_tokens is not None:
            self.claims.judge(box, claimed, cached_tokens)
        if self.guessing:
            part = blocks.tokens / max(prompt_tokens, 1)  # engine's tokens as ours
            cached = None if cached_tokens is None else round(cached_tokens * part)
            self.guess.read(box, blocks.hashes, blocks.tokens, cached)
        if told is not None and cached_tokens is not None:
            self.score.told += round(told)
            self.score.found += min(round(told), cached_tokens)
        self.score.read += prompt_tokens

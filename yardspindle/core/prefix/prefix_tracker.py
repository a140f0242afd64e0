"""Predicts how many of a prompt's tokens each reader (prefill server) has cached: from its cache events where it
publishes them, else from the router's own estimates.

The prediction alone chooses no reader: the routing policy weighs it among the readers that it may use. For a reader
whose events are uncertain, the prediction is scaled by the trust in them; below a trust of one half the estimate
replaces it.
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
    """How accurate the predictions were, in tokens.

    `predicted` tokens, how many of them were `found`, and the prompt tokens of all reads, predicted or not (`read`).
    """

    predicted: int = 0
    found: int = 0
    read: int = 0


@dataclass(frozen=True, slots=True)
class PromptBlocks:
    """A prompt's block hashes, and its length as the router tokenizes it; engines may count differently."""

    hashes: Sequence[int] = ()
    tokens: int = 0


@dataclass(slots=True)
class PrefixTracker:
    """What is known of the prefixes that engines (model servers) have cached."""

    tokenizer: Tokenizer
    block_size: int
    max_blocks: int
    use_estimates: bool = True
    use_events: bool = True
    index: PrefixIndex = field(init=False)
    estimate: PrefixEstimate = field(init=False)
    feeds: dict[str, CacheFeed] = field(default_factory=dict)
    claims: ClaimAccuracy = field(default_factory=ClaimAccuracy)  # whether events agree with what reads found
    ignored_batches: int = 0  # batches of engines that are not on the server list
    score: PredictionScore = field(default_factory=PredictionScore)

    def __post_init__(self) -> None:
        """Creates the empty index and estimates."""
        self.index = PrefixIndex(self.max_blocks)
        self.estimate = PrefixEstimate(self.block_size, self.max_blocks)

    def blocks(self, messages: Messages, tools: bytes) -> PromptBlocks:
        """Tokenizes a prompt and hashes its blocks."""
        packed = self.tokenizer.encode_prompt(messages, tools)
        return PromptBlocks(block_hashes(packed, self.block_size), len(packed) // TOKEN_BYTES)

    def set_publishers(self, engines: Iterable[str]) -> None:
        """Sets which engines publish events. What others had published is dropped."""
        wanted = set(engines) if self.use_events else set()
        for engine in [engine for engine in self.feeds if engine not in wanted]:
            self.index.clear(engine)
            self.claims.forget(engine)
            del self.feeds[engine]
        for engine in sorted(wanted):
            if engine not in self.feeds:
                self.feeds[engine] = CacheFeed(engine, self.index, self.block_size)

    def receive_batch(self, now_us: int, engine: str, number: int, batch: Batch) -> int | None:
        """Applies an engine's batch. Returns the number from which to request a replay, if one is needed now."""
        feed = self.feeds.get(engine)
        if feed is None:
            self.ignored_batches += 1
            return None
        return feed.receive(now_us, number, batch)

    def receive_replay(self, now_us: int, engine: str, batches: Sequence[tuple[int, Batch]]) -> None:
        """Applies the batches that an engine replayed."""
        if (feed := self.feeds.get(engine)) is not None:
            feed.receive_replay(now_us, batches)

    def subscription_lost(self, now_us: int, engine: str) -> None:
        """The subscription to an engine's events broke."""
        if (feed := self.feeds.get(engine)) is not None:
            feed.subscription_lost(now_us)

    def check_timeouts(self, now_us: int) -> None:
        """Stops waiting for replays that are overdue."""
        for feed in self.feeds.values():
            feed.check_timeout(now_us)

    def engine_restarted(self, engine: str) -> None:
        """The server list reports a restart of an engine: its cache is empty."""
        self.estimate.forget(engine)
        self.claims.forget(engine)
        if (feed := self.feeds.get(engine)) is not None:
            feed.engine_restarted()

    def claimed_tokens(self, now_us: int, blocks: PromptBlocks, prompt_tokens: float) -> dict[str, float]:
        """Of `prompt_tokens`, how many each engine holds by its own events, scaled by the trust in them.

        The blocks found count as used: they move to the index's protected segment (`PrefixIndex.match`).
        """
        if not blocks.hashes:
            return {}
        found = self.index.match(blocks.hashes)
        tokens_per_block = self.block_size / blocks.tokens * prompt_tokens
        claims: dict[str, float] = {}
        for engine, feed in self.feeds.items():
            trust = feed.trust(now_us)
            if trust >= MIN_TRUST:
                claims[engine] = found.get(engine, 0) * tokens_per_block * trust
        return claims

    def predict(
        self, claims: dict[str, float], blocks: PromptBlocks, engines: Iterable[str], prompt_tokens: float
    ) -> dict[str, float]:
        """Cached tokens by engine, for the policy: the claims of trusted engines, else estimates where these are on.

        Engines with neither are left out.
        """
        predicted: dict[str, float] = {}
        for engine in engines:
            if engine in claims and self.claims.trusted(engine):
                predicted[engine] = claims[engine]
            elif self.use_estimates and blocks.hashes:
                tokens_per_block = self.block_size / blocks.tokens * prompt_tokens
                predicted[engine] = self.estimate.longest_match(engine, blocks.hashes) * tokens_per_block
        return predicted

    def predict_from_index(
        self, now_us: int, blocks: PromptBlocks, engines: Iterable[str], prompt_tokens: float
    ) -> dict[str, float]:
        """Computes the claims and predicts from them in one call."""
        return self.predict(self.claimed_tokens(now_us, blocks, prompt_tokens), blocks, engines, prompt_tokens)

    def record_read(
        self,
        engine: str,
        blocks: PromptBlocks,
        prompt_tokens: int,
        cached_tokens: int | None,
        predicted: float | None,
        claimed: float | None = None,
    ) -> None:
        """Records a finished read with the engine's own token counts.

        `predicted` is what the policy was given, and `claimed` what the engine's events said, before the read.
        """
        if claimed is not None and cached_tokens is not None:
            self.claims.record(engine, claimed, cached_tokens)
        if self.use_estimates:
            ratio = blocks.tokens / max(prompt_tokens, 1)  # converts the engine's token count to the router's
            cached = None if cached_tokens is None else round(cached_tokens * ratio)
            self.estimate.record_read(engine, blocks.hashes, blocks.tokens, cached)
        if predicted is not None and cached_tokens is not None:
            self.score.predicted += round(predicted)
            self.score.found += min(round(predicted), cached_tokens)
        self.score.read += prompt_tokens

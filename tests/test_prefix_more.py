"""More of the prefix index: cache feeds, estimates, and engines whose claims turn out wrong."""

from __future__ import annotations

import random
from collections import OrderedDict

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.test_prefix import BLOCK_SIZE, Publisher, engines
from yardspindle.core.prefix.blocks import block_hashes, pack_tokens
from yardspindle.core.prefix.cache_feed import (
    MAX_EARLY_BATCHES,
    TRUST_HALF_LIFE_US,
    AllBlocksCleared,
    Batch,
    BlockRemoved,
    BlockStored,
    CacheFeed,
)
from yardspindle.core.prefix.prefix_estimate import PrefixEstimate
from yardspindle.core.prefix.prefix_index import PrefixIndex
from yardspindle.core.prefix.prefix_tracker import PrefixTracker
from yardspindle.core.prefix.tokenizer import ByteTokenizer, ModelTokenizer


def test_coming_late_the_whole_story_is_asked_for() -> None:
    publisher, index = Publisher(), PrefixIndex(10_000)
    feed = CacheFeed("a", index, BLOCK_SIZE)
    publisher.read([1] * 8)
    publisher.read([2] * 8)
    assert feed.receive(0, *publisher.sent[1]) == 0 and feed.trust(1) < 1.0
    feed.receive_replay(1, publisher.sent)
    assert feed.trust(10**9) == 1.0 and index.block_count("a") == 4


def test_what_does_not_fit_is_left_out_and_counted() -> None:
    index = PrefixIndex(100)
    feed = CacheFeed("a", index, BLOCK_SIZE)
    feed.receive(
        0,
        0,
        Batch(
            1.0,
            [
                BlockStored([9], 8, [1] * BLOCK_SIZE, BLOCK_SIZE),
                BlockStored([1], None, [1] * 8, 8),
                BlockStored([1], None, [1], BLOCK_SIZE),
                BlockStored([1], None, [-1] * BLOCK_SIZE, BLOCK_SIZE),
                BlockRemoved([3]),
            ],
        ),
    )
    assert (feed.counts.unknown_parents, feed.counts.incompatible, index.block_count("a")) == (1, 3, 0)


def test_early_batches_are_bounded() -> None:
    publisher = Publisher()
    for number in range(MAX_EARLY_BATCHES + 50):
        publisher.read([number] * BLOCK_SIZE)
    feed = CacheFeed("a", PrefixIndex(10_000), BLOCK_SIZE)
    feed.receive(0, *publisher.sent[0])
    for item in publisher.sent[2:]:
        feed.receive(0, *item)
        assert len(feed._early) <= MAX_EARLY_BATCHES + 1
    assert feed.counts.unfilled_gaps == 1 and feed.last_number == publisher.number - 1


def test_a_replay_that_brings_what_waited_does_not_go_back_to_it() -> None:
    publisher, index = Publisher(), PrefixIndex(10_000)
    for number in range(10):
        publisher.read([number] * BLOCK_SIZE)
    feed = CacheFeed("a", index, BLOCK_SIZE)
    feed.receive(0, *publisher.sent[0])
    assert feed.receive(0, *publisher.sent[4]) == 1 and feed.receive(0, *publisher.sent[5]) is None
    feed.receive_replay(
        0,
        [
            (number, msgspec.msgpack.decode(msgspec.msgpack.encode(batch), type=Batch))
            for number, batch in publisher.sent[1:]
        ],
    )
    assert (feed.last_number, feed.counts.unfilled_gaps, feed.trust(0)) == (9, 0, 1.0)
    assert feed.receive(0, *publisher.sent[9]) is None and feed.counts.duplicates == 1


def test_batches_are_vllms_bytes() -> None:
    """Laid out by hand as vLLM's encoder does: arrays with the tag first; further fields are ignored."""
    data = msgspec.msgpack.encode(
        [
            1.5,
            [
                ["BlockStored", [11, b"x"], None, [1] * 8, 4, None, "GPU"],
                ["BlockRemoved", [11], "GPU"],
                ["AllBlocksCleared"],
            ],
            0,
        ]
    )
    batch = msgspec.msgpack.decode(data, type=Batch)
    assert batch == Batch(1.5, [BlockStored([11, b"x"], None, [1] * 8, 4), BlockRemoved([11]), AllBlocksCleared()])


# --- estimates


class LruCache:
    """An engine's cache of a fixed number of blocks, which evicts the least recently used first."""

    def __init__(self, room: int) -> None:
        self.room = room
        self.blocks: OrderedDict[int, None] = OrderedDict()

    def read(self, hashes: list[int]) -> int:
        found = 0
        while found < len(hashes) and hashes[found] in self.blocks:
            found += 1
        for block in reversed(hashes):
            self.blocks.pop(block, None)
            self.blocks[block] = None
        while len(self.blocks) > self.room:
            self.blocks.popitem(last=False)
        return found


def test_guesses_learn_how_much_pushes_a_text_out() -> None:
    rng = random.Random(1)
    cache, estimate = LruCache(room=600), PrefixEstimate(BLOCK_SIZE, 100_000)
    prompts = [block_hashes(pack_tokens([n, n + 1, n + 2, n + 3] * 40), BLOCK_SIZE) for n in range(60)]
    errors = []
    for step in range(4_000):
        hashes = prompts[min(int(rng.paretovariate(0.7)) - 1, 59)]
        estimated = estimate.longest_match("a", hashes)
        found = cache.read(hashes)
        if step > 2_000:
            errors.append(abs(estimated - found) / len(hashes))
        estimate.record_read("a", hashes, len(hashes) * BLOCK_SIZE, found * BLOCK_SIZE)
    assert sum(errors) / len(errors) < 0.2
    untrained = PrefixEstimate(BLOCK_SIZE, 100_000)
    untrained.record_read("a", prompts[0], 160, 0)
    assert untrained.longest_match("a", prompts[0]) == len(prompts[0]) and untrained.longest_match("b", prompts[0]) == 0


def test_a_box_that_forgot_everything_is_believed_at_once() -> None:
    estimate = PrefixEstimate(BLOCK_SIZE, 100_000)
    prompts = [block_hashes(pack_tokens([n] * 40), BLOCK_SIZE) for n in range(10)]
    for hashes in prompts:
        estimate.record_read("a", hashes, 40, 0)
    estimate.record_read("a", prompts[0], 40, 40)
    estimate.record_read("a", prompts[1], 40, 0)
    assert estimate.cache_losses == 1
    assert [estimate.longest_match("a", hashes) for hashes in prompts[:3]] == [0, 10, 0]


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.tuples(engines, st.lists(st.integers(1, 10**6), min_size=1, max_size=30)), max_size=60),
    st.integers(1, 50),
)
def test_guesses_are_bounded_in_all(reads: list[tuple[str, list[int]]], max_blocks: int) -> None:
    estimate = PrefixEstimate(BLOCK_SIZE, max_blocks)
    for engine, hashes in reads:
        estimate.record_read(engine, hashes, len(hashes) * BLOCK_SIZE, None)
        assert sum(len(known.stamps) for known in estimate._engines.values()) <= max_blocks


# --- the tracker


def test_events_count_while_they_are_trusted_and_guesses_after() -> None:
    tracker = PrefixTracker(ByteTokenizer(), BLOCK_SIZE, 1_000)
    blocks = tracker.blocks([("user", b"0123456789")], b"")
    tokens = list(b"<|user|>0123456789")
    assert (len(blocks.hashes), blocks.tokens) == (4, 18)
    tracker.set_publishers(["a"])
    assert tracker.predict_from_index(0, blocks, ["a", "b"], 18.0) == {"a": 0.0, "b": 0.0}
    stored = BlockStored([1, 2, 3, 4], None, tokens[:16], BLOCK_SIZE)
    assert tracker.receive_batch(0, "a", 0, Batch(1.0, [stored])) is None
    assert tracker.predict_from_index(0, blocks, ["a", "b"], 18.0) == {"a": 16.0, "b": 0.0}
    assert tracker.predict_from_index(0, blocks, ["a"], 9.0) == {"a": 8.0}, (
        "an engine may count a prompt's tokens differently"
    )
    assert tracker.receive_batch(0, "nobody", 0, Batch(1.0, [])) is None and tracker.ignored_batches == 1
    tracker.subscription_lost(0, "a")
    assert tracker.predict_from_index(TRUST_HALF_LIFE_US // 2, blocks, ["a"], 18.0)["a"] == pytest.approx(16 * 0.5**0.5)
    tracker.record_read("a", blocks, 18, 8, predicted=16.0)
    assert tracker.predict_from_index(2 * TRUST_HALF_LIFE_US, blocks, ["a"], 18.0) == {"a": 16.0}, (
        "estimated from our own read"
    )
    assert (tracker.score.predicted, tracker.score.found) == (16, 8)
    tracker.engine_restarted("a")
    assert tracker.predict_from_index(2 * TRUST_HALF_LIFE_US, blocks, ["a"], 18.0) == {"a": 0.0}
    tracker.set_publishers([])
    assert not tracker.feeds and tracker.index.block_count("a") == 0


def test_a_box_whose_claims_its_reads_belie_is_not_believed_until_they_agree() -> None:
    tracker = PrefixTracker(ByteTokenizer(), BLOCK_SIZE, 10_000, use_estimates=False)
    blocks = tracker.blocks([("user", b"x" * 400)], b"")
    tracker.set_publishers(["liar", "hider", "honest"])
    stored = [BlockStored(list(range(1, 103)), None, list(b"<|user|>" + b"x" * 400), BLOCK_SIZE)]
    for engine, events in (("liar", stored), ("hider", []), ("honest", stored)):
        tracker.receive_batch(0, engine, 0, Batch(1.0, list(events)))
    found = {"liar": 0, "hider": 408, "honest": 400}
    for _ in range(10):
        claims = tracker.claimed_tokens(0, blocks, 408.0)
        for engine, cached in found.items():
            tracker.record_read(engine, blocks, 408, cached, None, claims[engine])
    assert set(tracker.predict_from_index(0, blocks, found, 408.0)) == {"honest"}
    for _ in range(20):
        tracker.record_read("liar", blocks, 408, 400, None, tracker.claimed_tokens(0, blocks, 408.0)["liar"])
    assert set(tracker.predict_from_index(0, blocks, found, 408.0)) == {"honest", "liar"}
    tracker.engine_restarted("hider")
    assert tracker.claims.trusted("hider")
    tracker.record_read("liar", blocks, 40, 0, None, 40.0)
    assert tracker.claims.agreement("liar") > 0.9, "too few tokens to judge by"


def test_a_models_own_tokenizer_and_template() -> None:
    import tokenizers

    model = tokenizers.Tokenizer(tokenizers.models.WordLevel({"hi": 1, "you": 2, "user": 3, "?": 0}, unk_token="?"))
    model.pre_tokenizer = tokenizers.pre_tokenizers.Whitespace()
    template = "{% for m in messages %}{{ m.role }} {{ m.content }} {% endfor %}"
    tokenizer = ModelTokenizer(model.to_str().encode(), template)
    assert tokenizer.encode_prompt([("user", b"hi you")], b"") == pack_tokens([3, 1, 2])
    with pytest.raises(ValueError):
        ModelTokenizer(b"{}", "x")
    with pytest.raises(ValueError):
        ModelTokenizer(model.to_str().encode(), "{% for")
